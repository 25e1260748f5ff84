package main

import (
	"context"
	"fmt"
	"sync"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// The load of the part lanes: the workers send the next bulk search as soon as
// the last one was answered, which keeps more work waiting than slots.
const (
	lanesRate    = 50
	lanesCount   = 500
	lanesWorkers = 24
)

// runLanes compares interactive latency with and without a bulk backlog.
func runLanes(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, baseline := range []bool{true, false} {
		x, err := start(ctx, syntheticShape(syntheticReplicas, 10), options{
			baseline: baseline, settings: map[string]any{"deadline": "400ms"}, behavior: searcher.Behavior{Delay: tailDelay},
		})
		if err != nil {
			return err
		}
		rows = append(rows, x.lanes(ctx, b)...)
		x.stop()
	}
	table("lanes: interactive searches with and without a bulk backlog", []string{"system", "bulk", "searches", "p50 ms", "p99 ms", "p99 with / without", "complete answers", "bulk searches answered"}, rows)
	return nil
}

func (x *system) lanes(ctx context.Context, b *bench) [][]string {
	a := x.shape.archives[0]
	interactive := load{archive: a.name, lane: gateway.LaneInteractive, shards: a.shards, rate: lanesRate, count: b.count(lanesCount)}
	warm := interactive
	warm.count, warm.prefix = tailWarm, "warm"
	x.run(ctx, warm)
	without := x.run(ctx, interactive)
	bulkCtx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	var mu sync.Mutex
	ran := 0
	for w := range lanesWorkers {
		workers.Go(func() {
			for i := w; bulkCtx.Err() == nil; i += lanesWorkers {
				answer, err := x.search(bulkCtx, load{archive: a.name, lane: gateway.LaneBulk, prefix: "bulk"}, i)
				if err == nil && answer.Outcome == gateway.OutcomeRan {
					mu.Lock()
					ran++
					mu.Unlock()
				}
			}
		})
	}
	interactive.prefix = "busy"
	with := x.run(ctx, interactive)
	cancel()
	workers.Wait()
	slow, fast := quantile(with.latencies, 0.99), quantile(without.latencies, 0.99)
	row := func(bulk string, o outcome, ratio, ran string) []string {
		return []string{x.label(), bulk, fmt.Sprint(o.searches), millis(quantile(o.latencies, 0.5)), millis(quantile(o.latencies, 0.99)), ratio, percent(o.complete, o.searches), ran}
	}
	return [][]string{
		row("none", without, "-", "-"),
		row("backlog", with, fmt.Sprintf("%.2f", float64(slow)/float64(fast)), fmt.Sprint(ran)),
	}
}
