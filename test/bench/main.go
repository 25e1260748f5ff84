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

// defaultCores leaves some cores of a 10-core machine to others.
const defaultCores = 6

// bench is what all parts share.
type bench struct {
	// scale multiplies the numbers of requests.
	scale float64
	// examples is the folder with the users' workload files.
	examples string
	// shape restricts the part tail to shapes whose name contains it.
	shape   string
	verbose bool
}

// count returns n at the chosen scale.
func (b *bench) count(n int) int { return max(1, int(float64(n)*b.scale)) }

// note prints to the standard error, which is no part of the results.
func (b *bench) note(format string, args ...any) {
	if b.verbose {
		fmt.Fprintf(os.Stderr, format+"\n", args...)
	}
}

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
	flag.StringVar(&b.examples, "examples", "examples", "folder with the users' workload files")
	flag.StringVar(&b.shape, "shape", "", "run the part tail only for shapes whose name contains this")
	profile := flag.String("profile", "", "file for a CPU profile")
	flag.BoolVar(&b.verbose, "verbose", false, "print progress and counters to the standard error")
	flag.Parse()
	runtime.GOMAXPROCS(*cores)
	stop, err := startProfile(*profile)
	if err != nil {
		return err
	}
	defer stop()
	// All fakes announce themselves through the default transport; with its
	// two idle connections per host most announcements would open a new one.
	transport := http.DefaultTransport.(*http.Transport)
	transport.MaxIdleConns, transport.MaxIdleConnsPerHost = 0, 256
	known := false
	for _, p := range parts {
		if *name != "" && p.name != *name {
			continue
		}
		known = true
		start := time.Now()
		if err := p.run(context.Background(), b); err != nil {
			return errors.Wrap(err, p.name)
		}
		b.note("part %s took %s", p.name, time.Since(start).Round(time.Millisecond))
	}
	if !known {
		return errors.Errorf("unknown part %q", *name)
	}
	return nil
}

// startProfile writes a CPU profile until stop is called.
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
