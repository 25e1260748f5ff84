// Command capacity measures the CPU, memory and traffic that control costs per
// entry host and per backend server, with real messages through the real codec,
// and prints the slopes from which docs/CAPACITY.md is computed.
//
// It builds the program, runs one control host and one entry host as child
// processes, and simulates the other hosts and the backend servers itself.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

const help = `Measure the cost of control per entry host and per backend server.

Parts: sync (control host against entry hosts), fleet (entry host against
backend servers), share (bytes between entry hosts).`

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run() error {
	p := flaggy.NewParser("capacity")
	p.Description = help
	part := "all"
	window := 10 * time.Second
	p.String(&part, "p", "part", "Part to measure: sync, fleet, share or all.")
	p.Duration(&window, "w", "window", "Time over which each size is measured.")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		return err
	}
	dir, err := os.MkdirTemp("", "gentianpond-capacity-")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	m := &measurement{dir: dir, program: filepath.Join(dir, "gentianpond"), window: window}
	if out, err := exec.Command("go", "build", "-o", m.program, "./cmd/gentianpond").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	parts := []struct {
		name string
		run  func() error
	}{{"sync", m.measureSync}, {"fleet", m.measureFleet}, {"share", m.measureShare}}
	for _, x := range parts {
		if part != "all" && part != x.name {
			continue
		}
		if err := x.run(); err != nil {
			return errors.Wrap(err, x.name)
		}
	}
	return nil
}

// measurement is one run of the command.
type measurement struct {
	// dir holds the program, the settings, data and logs of its processes.
	dir string
	// program is the path of the program under test.
	program string
	// window is the time over which each size is measured.
	window time.Duration
	// groupsFormed is the number of control groups formed so far. It keeps the
	// files of one group apart from those of the next.
	groupsFormed int
}

// fitLine returns the slope and the intercept of the least-squares line through
// the points.
func fitLine(x, y []float64) (perUnit, intercept float64) {
	var sx, sy, sxx, sxy float64
	n := float64(len(x))
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return perUnit, (sy - perUnit*sx) / n
}
