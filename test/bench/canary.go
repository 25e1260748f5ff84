package main

import (
	"context"
	"fmt"

	"gentianpond/test/fakes/searcher"
)

// runCanary compares the latency under the canary settings when no server
// crashes.
func runCanary(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, canary := range []string{"off", "alert", "always"} {
		x, err := startSystem(ctx, syntheticShape(syntheticReplicas, 34), options{
			archiveSettings: map[string]any{"deadline": "400ms", "canary": canary},
			behavior:        searcher.Behavior{Delay: answerDelay, SlowDelay: slowAnswerDelay, SlowEvery: slowAnswerEvery},
		})
		if err != nil {
			return err
		}
		a := x.shape.archives[0]
		l := load{archive: a.name, shards: a.shards, rate: 50, count: warmupSearches, prefix: "warm"}
		x.runLoad(ctx, l)
		l.count, l.prefix = b.scaled(300), ""
		o := x.runLoad(ctx, l)
		rows = append(rows, []string{canary, fmt.Sprint(o.searches), formatMillis(quantile(o.latencies, 0.5)), formatMillis(quantile(o.latencies, 0.99)), formatPercent(o.completeAnswers, o.searches)})
		x.stop()
	}
	printTable("canary: 34 shards, every query new, no crash", []string{"canary", "searches", "p50 ms", "p99 ms", "complete answers"}, rows)
	return nil
}
