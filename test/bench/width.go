package main

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/search/caller"
	"gentianpond/test/fakes/searcher"
)

const (
	// widthSubrequests is the number of sub-requests per width.
	widthSubrequests = 20000
	widthIdle        = 2 * time.Second
)

// usage is what the process has spent.
type usage struct {
	cpu    time.Duration
	allocs uint64
	at     time.Time
}

func used() (usage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return usage{}, errors.Wrap(err, "read usage")
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), allocs: m.Mallocs, at: time.Now()}, nil
}

// spent runs f and returns the CPU time and allocations that exceed those of
// an idle system over the same time.
func spent(idle usage, f func() error) (usage, error) {
	before, err := used()
	if err != nil {
		return usage{}, err
	}
	if err := f(); err != nil {
		return usage{}, err
	}
	after, err := used()
	if err != nil {
		return usage{}, err
	}
	share := float64(after.at.Sub(before.at)) / float64(widthIdle)
	return usage{
		cpu:    after.cpu - before.cpu - time.Duration(share*float64(idle.cpu)),
		allocs: after.allocs - before.allocs - min(uint64(share*float64(idle.allocs)), after.allocs-before.allocs),
	}, nil
}

// runWidth measures the cost of a sub-request. The share of the fakes is that
// of one direct call through package caller, which includes the client's side
// of one HTTP request.
func runWidth(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, width := range []int{10, 34, 100, 340} {
		row, err := widthSystem(ctx, b, width)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	table("width: cost per sub-request", []string{"shards", "searches", "complete answers", "CPU µs", "direct call CPU µs", "difference µs", "allocations", "direct call allocations", "difference"}, rows)
	return nil
}

func widthSystem(ctx context.Context, b *bench, width int) ([]string, error) {
	x, err := start(ctx, syntheticShape(syntheticReplicas, width), options{settings: map[string]any{"deadline": "2s"}, behavior: searcher.Behavior{}})
	if err != nil {
		return nil, err
	}
	defer x.stop()
	a := x.shape.archives[0]
	searches := max(1, b.count(widthSubrequests)/width)
	send := func(prefix string, n int) outcome {
		o := outcome{searches: n, shards: n * width, codes: map[string]int{}}
		for i := range n {
			answer, err := x.search(ctx, load{archive: a.name, prefix: prefix}, i)
			o.add(answer, err, 0, width)
		}
		return o
	}
	send("warm", 20)
	idle, err := spent(usage{}, func() error {
		time.Sleep(widthIdle)
		return nil
	})
	if err != nil {
		return nil, err
	}
	var o outcome
	tier, err := spent(idle, func() error {
		o = send("", searches)
		return nil
	})
	if err != nil {
		return nil, err
	}
	f := x.fakes[0]
	direct := caller.New(f.Addr(), 1)
	defer direct.CloseIdle()
	calls := searches * width
	bare, err := spent(idle, func() error {
		for i := range calls {
			r := direct.Call(ctx, caller.SearchPath, caller.Message{
				Query: "direct", Attempt: fmt.Sprint(i), Incarnation: f.Incarnation(), Archive: a.name, Snapshot: snapshotName, Deadline: "1s", Body: []byte(`"direct"`),
			})
			if r.Status != caller.Answered {
				return errors.Wrapf(r.Err, "direct call %s", r.Status)
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	micros := func(u usage) float64 { return float64(u.cpu) / float64(time.Microsecond) / float64(calls) }
	allocs := func(u usage) float64 { return float64(u.allocs) / float64(calls) }
	return []string{
		fmt.Sprint(width), fmt.Sprint(searches), percent(o.complete, o.searches),
		fmt.Sprintf("%.0f", micros(tier)), fmt.Sprintf("%.0f", micros(bare)), fmt.Sprintf("%.0f", micros(tier)-micros(bare)),
		fmt.Sprintf("%.0f", allocs(tier)), fmt.Sprintf("%.0f", allocs(bare)), fmt.Sprintf("%.0f", allocs(tier)-allocs(bare)),
	}, nil
}
