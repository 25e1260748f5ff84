package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"gentianpond/test/fakes/searcher"
)

// The fake backend servers and the load of the part tail. Other parts use some of
// these values too.
const (
	// answerDelay is the time that a fake takes to answer.
	answerDelay = 4 * time.Millisecond
	// slowAnswerDelay is the time that one in slowAnswerEvery requests takes
	// instead.
	slowAnswerDelay = 80 * time.Millisecond
	slowAnswerEvery = 100
	// warmupSearches is the number of searches before the measured ones.
	warmupSearches = 100
	// cancelPause lets cancelled sub-requests end before they are counted.
	cancelPause = 300 * time.Millisecond
)

// tailLoad is one system of the part tail with the load that each of its archives
// gets.
type tailLoad struct {
	shape shape
	// rate is in searches per second.
	rate float64
	// count is the number of searches.
	count int
}

// tailLoads returns the systems of both users and synthetic ones.
func tailLoads(b *bench) ([]tailLoad, error) {
	limfjord, err := userShape(b.examplesDir, "limfjord")
	if err != nil {
		return nil, err
	}
	portmore, err := userShape(b.examplesDir, "portmore")
	if err != nil {
		return nil, err
	}
	return []tailLoad{
		{limfjord, 100, b.scaled(600)},
		{portmore, 100, b.scaled(600)},
		{syntheticShape(syntheticReplicas, 10, 34), 100, b.scaled(600)},
		{syntheticShape(syntheticReplicas, 100), 60, b.scaled(600)},
		{syntheticShape(syntheticReplicas, 340), 20, b.scaled(300)},
	}, nil
}

// runTail measures the latency and completeness of searches at the tail, with all
// replicas and after the loss of one replica of each shard.
func runTail(ctx context.Context, b *bench) error {
	runs, err := tailLoads(b)
	if err != nil {
		return err
	}
	var allReplicas, lostReplicas [][]string
	for _, r := range runs {
		if !strings.Contains(r.shape.name, b.shapeFilter) {
			continue
		}
		for _, baseline := range []bool{true, false} {
			w, l, err := measureTail(ctx, b, r, baseline)
			if err != nil {
				return err
			}
			allReplicas, lostReplicas = append(allReplicas, w...), append(lostReplicas, l...)
		}
	}
	header := []string{"archive", "system", "shards", "searches", "p50 ms", "p99 ms", "p99.9 ms", "shards answered", "complete answers", "extra load", "shed", "most at once / slots"}
	printTable("tail: all replicas", header, allReplicas)
	printTable("tail: one replica of each shard killed half way", header, lostReplicas)
	return nil
}

// measureTail returns the table rows of one system, first with all replicas, then
// with the loss of one replica of each shard.
func measureTail(ctx context.Context, b *bench, r tailLoad, baseline bool) (allReplicas, lostReplicas [][]string, err error) {
	x, err := startSystem(ctx, r.shape, options{
		baseline: baseline, archiveSettings: map[string]any{"deadline": "400ms"},
		behavior: searcher.Behavior{Delay: answerDelay, SlowDelay: slowAnswerDelay, SlowEvery: slowAnswerEvery},
	})
	if err != nil {
		return nil, nil, err
	}
	defer x.stop()
	warm := r
	warm.count = min(warmupSearches, r.count)
	x.runTailLoad(ctx, b, warm, "warm", nil)
	allReplicas = x.runTailLoad(ctx, b, r, "whole", nil)
	lostReplicas = x.runTailLoad(ctx, b, r, "lost", x.killReplicas)
	return allReplicas, lostReplicas, nil
}

// killReplicas kills the first replica of each shard.
func (x *system) killReplicas() {
	for _, f := range x.fakes {
		if strings.HasSuffix(f.Name, "-0") {
			f.kill()
		}
	}
}

// runTailLoad sends the load to all archives at the same time and returns a table
// row for each. The function halfway is called once half of the searches of the
// first archive have been sent.
func (x *system) runTailLoad(ctx context.Context, b *bench, r tailLoad, prefix string, halfway func()) [][]string {
	archives := x.shape.archives
	before := make([]requestCounts, len(archives))
	results := make([]loadResult, len(archives))
	countersBefore := x.subrequestCounters()
	var group sync.WaitGroup
	for i, a := range archives {
		before[i] = sumCounts(x.fakes, a.name)
		l := load{archive: a.name, shards: a.shards, rate: r.rate, count: r.count, prefix: prefix}
		if i == 0 {
			l.halfway = halfway
		}
		group.Go(func() { results[i] = x.runLoad(ctx, l) })
	}
	group.Wait()
	time.Sleep(cancelPause)
	var rows [][]string
	for i, a := range archives {
		c := sumCounts(x.fakes, a.name).since(before[i])
		o := results[i]
		rows = append(rows, []string{
			a.name, x.label(), fmt.Sprint(a.shards), fmt.Sprint(o.searches),
			formatMillis(quantile(o.latencies, 0.5)), formatMillis(quantile(o.latencies, 0.99)), formatMillis(quantile(o.latencies, 0.999)),
			formatPercent(o.answeredShards, o.requestedShards), formatPercent(o.completeAnswers, o.searches), formatPercent(c.searches-o.requestedShards, o.requestedShards),
			fmt.Sprint(c.shed), fmt.Sprintf("%d / %d", c.mostRunning, a.slots),
		})
		b.verbosef("%s %s %s: %v codes %v", prefix, x.label(), a.name, rows[len(rows)-1], o.failureCodes)
	}
	for name, n := range x.subrequestCounters() {
		b.verbosef("%s %s %s: %d", prefix, x.label(), name, n-countersBefore[name])
	}
	return rows
}

// label returns the name of the system in the tables.
func (x *system) label() string {
	if x.baseline {
		return "baseline"
	}
	return "design"
}

// subrequestCounters returns the totals of the entry hosts' counters of
// sub-requests.
func (x *system) subrequestCounters() map[string]int64 {
	values := map[string]int64{}
	for _, name := range []string{"subrequests_first", "subrequests_hedged", "subrequests_retried", "subrequests_rerouted", "broken_connections", "answers_dropped"} {
		values[name] = x.counterTotal(name)
	}
	return values
}
