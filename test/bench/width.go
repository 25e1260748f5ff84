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
	// widthIdleTime is how long the idle system is measured.
	widthIdleTime = 2 * time.Second
)

// resourceUsage is the CPU time and the allocations of the process, up to a point
// in time or between two.
type resourceUsage struct {
	cpu time.Duration
	// allocs is the number of heap objects allocated.
	allocs  uint64
	takenAt time.Time
}

// currentUsage returns the usage since the start of the process.
func currentUsage() (resourceUsage, error) {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return resourceUsage{}, errors.Wrap(err, "read usage")
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return resourceUsage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), allocs: m.Mallocs, takenAt: time.Now()}, nil
}

// usageAboveIdle runs f and returns the CPU time and allocations that exceed those
// of an idle system over the same time. The argument idle is the usage of the idle
// system over widthIdleTime.
func usageAboveIdle(idle resourceUsage, f func() error) (resourceUsage, error) {
	before, err := currentUsage()
	if err != nil {
		return resourceUsage{}, err
	}
	if err := f(); err != nil {
		return resourceUsage{}, err
	}
	after, err := currentUsage()
	if err != nil {
		return resourceUsage{}, err
	}
	idleRatio := float64(after.takenAt.Sub(before.takenAt)) / float64(widthIdleTime)
	return resourceUsage{
		cpu:    after.cpu - before.cpu - time.Duration(idleRatio*float64(idle.cpu)),
		allocs: after.allocs - before.allocs - min(uint64(idleRatio*float64(idle.allocs)), after.allocs-before.allocs),
	}, nil
}

// runWidth measures the cost of a sub-request by the number of shards. The part of
// the cost that the fakes cause is estimated by one direct call through package
// caller, which includes the client's side of one HTTP request.
func runWidth(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, width := range []int{10, 34, 100, 340} {
		row, err := measureWidth(ctx, b, width)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printTable("width: cost per sub-request", []string{"shards", "searches", "complete answers", "CPU µs", "direct call CPU µs", "difference µs", "allocations", "direct call allocations", "difference"}, rows)
	return nil
}

// measureWidth returns the table row of one width.
func measureWidth(ctx context.Context, b *bench, width int) ([]string, error) {
	x, err := startSystem(ctx, syntheticShape(syntheticReplicas, width), options{archiveSettings: map[string]any{"deadline": "2s"}, behavior: searcher.Behavior{}})
	if err != nil {
		return nil, err
	}
	defer x.stop()
	a := x.shape.archives[0]
	searches := max(1, b.scaled(widthSubrequests)/width)
	send := func(prefix string, n int) loadResult {
		o := loadResult{searches: n, requestedShards: n * width, failureCodes: map[string]int{}}
		for i := range n {
			answer, err := x.search(ctx, load{archive: a.name, prefix: prefix}, i)
			o.add(answer, err, 0, width)
		}
		return o
	}
	send("warm", 20)
	idle, err := usageAboveIdle(resourceUsage{}, func() error {
		time.Sleep(widthIdleTime)
		return nil
	})
	if err != nil {
		return nil, err
	}
	var o loadResult
	systemUsage, err := usageAboveIdle(idle, func() error {
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
	directUsage, err := usageAboveIdle(idle, func() error {
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
	microsPerCall := func(u resourceUsage) float64 { return float64(u.cpu) / float64(time.Microsecond) / float64(calls) }
	allocsPerCall := func(u resourceUsage) float64 { return float64(u.allocs) / float64(calls) }
	return []string{
		fmt.Sprint(width), fmt.Sprint(searches), formatPercent(o.completeAnswers, o.searches),
		fmt.Sprintf("%.0f", microsPerCall(systemUsage)), fmt.Sprintf("%.0f", microsPerCall(directUsage)), fmt.Sprintf("%.0f", microsPerCall(systemUsage)-microsPerCall(directUsage)),
		fmt.Sprintf("%.0f", allocsPerCall(systemUsage)), fmt.Sprintf("%.0f", allocsPerCall(directUsage)), fmt.Sprintf("%.0f", allocsPerCall(systemUsage)-allocsPerCall(directUsage)),
	}, nil
}
