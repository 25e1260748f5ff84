package main

import (
	"context"
	"fmt"
	"sync"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// The load of the part lanes. Each bulk worker sends its next search as soon as
// the last one was answered, which keeps more bulk searches waiting than there are
// slots.
const (
	// lanesSearchRate is the number of interactive searches per second.
	lanesSearchRate = 50
	// lanesSearches is the number of interactive searches per row of the table.
	lanesSearches    = 500
	lanesBulkWorkers = 24
)

// runLanes compares interactive latency with and without a bulk backlog.
func runLanes(ctx context.Context, b *bench) error {
	var rows [][]string
	for _, baseline := range []bool{true, false} {
		x, err := startSystem(ctx, syntheticShape(syntheticReplicas, 10), options{
			baseline: baseline, archiveSettings: map[string]any{"deadline": "400ms"}, behavior: searcher.Behavior{Delay: answerDelay},
		})
		if err != nil {
			return err
		}
		rows = append(rows, x.measureLanes(ctx, b)...)
		x.stop()
	}
	printTable("lanes: interactive searches with and without a bulk backlog", []string{"system", "bulk", "searches", "p50 ms", "p99 ms", "p99 with / without", "complete answers", "bulk searches answered"}, rows)
	return nil
}

// measureLanes returns the table rows without and with the bulk backlog.
func (x *system) measureLanes(ctx context.Context, b *bench) [][]string {
	a := x.shape.archives[0]
	interactive := load{archive: a.name, lane: gateway.LaneInteractive, shards: a.shards, rate: lanesSearchRate, count: b.scaled(lanesSearches)}
	warm := interactive
	warm.count, warm.prefix = warmupSearches, "warm"
	x.runLoad(ctx, warm)
	without := x.runLoad(ctx, interactive)
	bulkCtx, cancel := context.WithCancel(ctx)
	var workers sync.WaitGroup
	var mu sync.Mutex
	ran := 0
	for w := range lanesBulkWorkers {
		workers.Go(func() {
			for i := w; bulkCtx.Err() == nil; i += lanesBulkWorkers {
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
	with := x.runLoad(ctx, interactive)
	cancel()
	workers.Wait()
	slow, fast := quantile(with.latencies, 0.99), quantile(without.latencies, 0.99)
	row := func(bulk string, o loadResult, ratio, ran string) []string {
		return []string{x.label(), bulk, fmt.Sprint(o.searches), formatMillis(quantile(o.latencies, 0.5)), formatMillis(quantile(o.latencies, 0.99)), ratio, formatPercent(o.completeAnswers, o.searches), ran}
	}
	return [][]string{
		row("none", without, "-", "-"),
		row("backlog", with, fmt.Sprintf("%.2f", float64(slow)/float64(fast)), fmt.Sprint(ran)),
	}
}
