// Command soak runs the real programs as separate processes on one machine,
// injects faults from outside, and checks what callers and backend servers are
// promised. A run is named by its seed; timing makes runs of one seed differ.
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
	if err := soakAll(*seed, *seeds, *length, *keep); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func soakAll(seed uint64, seeds int, length time.Duration, keep string) error {
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
		r, err := run(binary, folderOf(root, seed+i), seed+i, length)
		if err != nil {
			return err
		}
		fmt.Printf("seed %d: %d requests, %d served, documents up to %d, %d complaints\n", seed+i, r.asked, r.served, r.versions, len(r.complaints))
		for _, c := range r.complaints {
			fmt.Println("   ", c)
		}
		if len(r.complaints) > 0 {
			broken++
			continue
		}
		if err := os.RemoveAll(folderOf(root, seed+i)); err != nil {
			return err
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise, logs in %s", broken, seeds, root)
	}
	return os.RemoveAll(root)
}
