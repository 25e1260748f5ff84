// Command bench measures small systems built in one process on loopback from
// the real packages and fake backend servers, and prints markdown tables.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"runtime"
	"runtime/pprof"
	"time"

	"github.com/go-faster/errors"
)

// defaultCores leaves some cores of a 10-core machine to other processes.
const defaultCores = 6

// bench holds the options of all parts.
type bench struct {
	// scale multiplies the numbers of requests.
	scale float64
	// examplesDir is the folder with the users' workload files.
	examplesDir string
	// shapeFilter restricts the part tail to shapes whose name contains it.
	shapeFilter string
	// verbose turns on verbosef.
	verbose bool
}

// scaled returns n multiplied by the scale, at least 1.
func (b *bench) scaled(n int) int { return max(1, int(float64(n)*b.scale)) }

// verbosef prints a line to the standard error, apart from the results, if the
// flag -verbose is set.
func (b *bench) verbosef(format string, args ...any) {
	if b.verbose {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}
}

// part is one benchmark, which the flag -part selects by name.
type part struct {
	name string
	run  func(context.Context, *bench) error
}

var parts = []part{
	{"tail", runTail},
	{"lanes", runLanes},
	{"width", runWidth},
	{"canary", runCanary},
	{"orders", runOrders},
	{"change", runChange},
	{"crash", runCrash},
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func run() error {
	b := &bench{}
	name := flag.String("part", "", "the only part to run; all without it")
	cores := flag.Int("cores", defaultCores, "the number of cores to use")
	flag.Float64Var(&b.scale, "scale", 1, "factor for the numbers of requests")
	flag.StringVar(&b.examplesDir, "examples", "examples", "folder with the users' workload files")
	flag.StringVar(&b.shapeFilter, "shape", "", "run the part tail only for shapes whose name contains this")
	profile := flag.String("profile", "", "file for a CPU profile")
	flag.BoolVar(&b.verbose, "verbose", false, "print progress and counters to the standard error")
	flag.Parse()
	runtime.GOMAXPROCS(*cores)
	stop, err := startProfile(*profile)
	if err != nil {
		return err
	}
	defer stop()
	// All fakes announce themselves through the default transport. With its two
	// idle connections per host most announcements would open a new connection.
	transport := http.DefaultTransport.(*http.Transport)
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 0, 256
	found := false
	for _, p := range parts {
		if *name != "" && p.name != *name {
			continue
		}
		found = true
		start := time.Now()
		if err := p.run(context.Background(), b); err != nil {
			return errors.Wrap(err, p.name)
		}
		b.verbosef("part %s took %s", p.name, time.Since(start).Round(time.Millisecond))
	}
	if !found {
		return errors.Errorf("unknown part %q", *name)
	}
	return nil
}

// startProfile writes a CPU profile until stop is called. Without a path it does
// nothing.
func startProfile(path string) (stop func(), err error) {
	if path == "" {
		return func() {}, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, errors.Wrap(err, "create profile")
	}
	if err := pprof.StartCPUProfile(f); err != nil {
		return nil, errors.Join(errors.Wrap(err, "start profile"), f.Close())
	}
	return func() {
		pprof.StopCPUProfile()
		_ = f.Close()
	}, nil
}
