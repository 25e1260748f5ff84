// Command soak runs the built programs as separate processes on one machine,
// injects faults from outside, and checks the guarantees that callers and
// backend servers are given. The seed of a run determines its random choices;
// timing still makes runs of one seed differ.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"gentianpond/test/standin"
)

func main() {
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds")
	length := flag.Duration("length", 15*time.Second, "time with faults for each seed")
	keep := flag.String("keep", "", "folder for logs; the default is a temporary one that is removed unless a promise was broken")
	flag.Parse()
	if err := runSeeds(*seed, *seeds, *length, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// runSeeds runs the seeds one after the other and prints what each found. The
// logs of a seed are removed if all its checks passed.
func runSeeds(seed uint64, seeds int, length time.Duration, keep string) error {
	root, err := os.MkdirTemp(keep, "soak-")
	if err != nil {
		return err
	}
	binary, err := standin.Build(root)
	if err != nil {
		return err
	}
	broken := 0
	for i := range uint64(seeds) {
		r, err := runSeed(binary, seedFolder(root, seed+i), seed+i, length)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, documents up to %d, %d complaints\n", seed+i, r.requests, r.served, r.lastVersion, len(r.failures))
		for _, c := range r.failures {
			fmt.Println("   ", c)
		}
		if len(r.failures) > 0 {
			broken++
			continue
		}
		if err := os.RemoveAll(seedFolder(root, seed+i)); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise, logs in %s", broken, seeds, root)
	}
	return os.RemoveAll(root)
}
