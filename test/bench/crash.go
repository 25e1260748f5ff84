package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianpond/test/fakes/searcher"
)

// The requests of the part crash.
const (
	// crashSendCount is how often the crashing request is sent.
	crashSendCount = 20
	// crashSendPause is the pause after each send, before the lost servers are
	// counted.
	crashSendPause = 100 * time.Millisecond
	// crashQuery is the query that crashes the fake backend servers.
	crashQuery = "crash the server"
)

// runCrash counts the backend servers that one crashing request takes down
// when its caller sends it again and again. Lost servers stay lost.
func runCrash(ctx context.Context, _ *bench) error {
	var rows [][]string
	for _, baseline := range []bool{true, false} {
		row, err := measureCrash(ctx, baseline)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	printTable("crash: one crashing request sent 20 times", []string{"system", "shards", "backend servers", "lost at the first send", "lost after 20 sends", "outcomes of the sends", "shards answered after", "complete answers after"}, rows)
	return nil
}

// measureCrash returns the table row of one system.
func measureCrash(ctx context.Context, baseline bool) ([]string, error) {
	var x *system
	var mu sync.Mutex
	lost := map[string]bool{}
	recordCrash := func(server string) {
		mu.Lock()
		defer mu.Unlock()
		lost[server] = true
		for _, f := range x.fakes {
			if f.Name == server {
				f.kill()
			}
		}
	}
	lostCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(lost)
	}
	x, err := startSystem(ctx, syntheticShape(3, 10), options{
		baseline: baseline, archiveSettings: map[string]any{"deadline": "400ms"}, onCrash: recordCrash,
		behavior: searcher.Behavior{Delay: answerDelay, CrashText: crashQuery},
	})
	if err != nil {
		return nil, err
	}
	defer x.stop()
	a := x.shape.archives[0]
	x.runLoad(ctx, load{archive: a.name, shards: a.shards, rate: 100, count: warmupSearches, prefix: "warm"})
	outcomes := map[string]int{}
	lostAtFirstSend := 0
	for i := range crashSendCount {
		answer, err := x.search(ctx, load{archive: a.name, queryText: func(int) string { return crashQuery }}, i)
		if err != nil {
			return nil, err
		}
		outcomes[answer.Outcome]++
		time.Sleep(crashSendPause)
		if i == 0 {
			lostAtFirstSend = lostCount()
		}
	}
	after := x.runLoad(ctx, load{archive: a.name, shards: a.shards, rate: 100, count: 100, prefix: "after"})
	return []string{
		x.label(), fmt.Sprint(a.shards), fmt.Sprint(len(x.fakes)), fmt.Sprint(lostAtFirstSend), fmt.Sprint(lostCount()),
		fmt.Sprintf("ran %d, not run %d, unknown %d", outcomes["ran"], outcomes["not run"], outcomes["unknown"]),
		formatPercent(after.answeredShards, after.requestedShards), formatPercent(after.completeAnswers, after.searches),
	}, nil
}
