package main

import (
	"context"
	"fmt"

	"gentianpond/test/fakes/searcher"
)

// runCanary compares the settings of the canary when no server crashes.
func runCanary(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, canary := range []string{"off", "alert", "always"} {
		x, err := start(ctx, syntheticShape(syntheticReplicas, 34), options{
			settings: map[string]any{"deadline": "400ms", "canary": canary},
			behavior: searcher.Behavior{Delay: tailDelay, Slow: tailSlow, SlowEvery: tailEvery},
		})
		if err != nil {
			return err
		}
		a := x.shape.archives[0]
		l := load{archive: a.name, shards: a.shards, rate: 50, count: tailWarm, prefix: "warm"}
		x.run(ctx, l)
		l.count, l.prefix = b.count(300), ""
		o := x.run(ctx, l)
		rows = append(rows, []string{canary, fmt.Sprint(o.searches), millis(quantile(o.latencies, 0.5)), millis(quantile(o.latencies, 0.99)), percent(o.complete, o.searches)})
		x.stop()
	}
	table("canary: 34 shards, every query new, no crash", []string{"canary", "searches", "p50 ms", "p99 ms", "complete answers"}, rows)
	return nil
}
