package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianpond/test/fakes/searcher"
)

// The crashing request of the part crash.
const (
	crashSends = 20
	crashPause = 100 * time.Millisecond
	crashText  = "crash the server"
)

// runCrash counts the backend servers that one crashing request takes down
// when its caller sends it again and again. Lost servers stay lost.
func runCrash(ctx context.Context, _ *bench) error {
	var rows [][]string
	for _, baseline := range []bool{true, false} {
		row, err := crashSystem(ctx, baseline)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	table("crash: one crashing request sent 20 times", []string{"system", "shards", "backend servers", "lost at the first send", "lost after 20 sends", "outcomes of the sends", "shards answered after", "complete answers after"}, rows)
	return nil
}

func crashSystem(ctx context.Context, baseline bool) ([]string, error) {
	var x *system
	var mu sync.Mutex
	lost := map[string]bool{}
	crashed := func(server string) {
		mu.Lock()
		defer mu.Unlock()
		lost[server] = true
		for _, f := range x.fakes {
			if f.Name == server {
				f.kill()
			}
		}
	}
	count := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(lost)
	}
	x, err := start(ctx, syntheticShape(3, 10), options{
		baseline: baseline, settings: map[string]any{"deadline": "400ms"}, onCrash: crashed,
		behavior: searcher.Behavior{Delay: tailDelay, Crash: crashText},
	})
	if err != nil {
		return nil, err
	}
	defer x.stop()
	a := x.shape.archives[0]
	x.run(ctx, load{archive: a.name, shards: a.shards, rate: 100, count: tailWarm, prefix: "warm"})
	outcomes := map[string]int{}
	first := 0
	for i := range crashSends {
		answer, err := x.search(ctx, load{archive: a.name, body: func(int) string { return crashText }}, i)
		if err != nil {
			return nil, err
		}
		outcomes[answer.Outcome]++
		time.Sleep(crashPause)
		if i == 0 {
			first = count()
		}
	}
	after := x.run(ctx, load{archive: a.name, shards: a.shards, rate: 100, count: 100, prefix: "after"})
	return []string{
		x.label(), fmt.Sprint(a.shards), fmt.Sprint(len(x.fakes)), fmt.Sprint(first), fmt.Sprint(count()),
		fmt.Sprintf("ran %d, not run %d, unknown %d", outcomes["ran"], outcomes["not run"], outcomes["unknown"]),
		percent(after.answered, after.shards), percent(after.complete, after.searches),
	}, nil
}
