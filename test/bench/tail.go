package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"gentianpond/test/fakes/searcher"
)

// The searches of the part tail.
const (
	tailDelay = 4 * time.Millisecond
	tailSlow  = 80 * time.Millisecond
	tailEvery = 100
	// tailWarm is the number of searches before the measured ones.
	tailWarm = 100
	// tailPause lets cancelled sub-requests end before they are counted.
	tailPause = 300 * time.Millisecond
)

// tailRun is one system of the part tail, with its load per archive.
type tailRun struct {
	shape shape
	rate  float64
	count int
}

func tailRuns(b *bench) ([]tailRun, error) {
	limfjord, err := userShape(b.examples, "limfjord")
	if err != nil {
		return nil, err
	}
	portmore, err := userShape(b.examples, "portmore")
	if err != nil {
		return nil, err
	}
	return []tailRun{
		{limfjord, 100, b.count(600)},
		{portmore, 100, b.count(600)},
		{syntheticShape(syntheticReplicas, 10, 34), 100, b.count(600)},
		{syntheticShape(syntheticReplicas, 100), 60, b.count(600)},
		{syntheticShape(syntheticReplicas, 340), 20, b.count(300)},
	}, nil
}

func runTail(ctx context.Context, b *bench) error {
	runs, err := tailRuns(b)
	if err != nil {
		return err
	}
	var whole, lost [][]string
	for _, r := range runs {
		if !strings.Contains(r.shape.name, b.shape) {
			continue
		}
		for _, baseline := range []bool{true, false} {
			w, l, err := tailSystem(ctx, b, r, baseline)
			if err != nil {
				return err
			}
			whole, lost = append(whole, w...), append(lost, l...)
		}
	}
	header := []string{"archive", "system", "shards", "searches", "p50 ms", "p99 ms", "p99.9 ms", "shards answered", "complete answers", "extra load", "shed", "most at once / slots"}
	table("tail: all replicas", header, whole)
	table("tail: one replica of each shard killed half way", header, lost)
	return nil
}

// tailSystem measures one system, first with all replicas, then with the loss
// of one replica of each shard.
func tailSystem(ctx context.Context, b *bench, r tailRun, baseline bool) (whole, lost [][]string, err error) {
	x, err := start(ctx, r.shape, options{
		baseline: baseline, settings: map[string]any{"deadline": "400ms"},
		behavior: searcher.Behavior{Delay: tailDelay, Slow: tailSlow, SlowEvery: tailEvery},
	})
	if err != nil {
		return nil, nil, err
	}
	defer x.stop()
	warm := r
	warm.count = min(tailWarm, r.count)
	x.tail(ctx, b, warm, "warm", nil)
	whole = x.tail(ctx, b, r, "whole", nil)
	lost = x.tail(ctx, b, r, "lost", x.killReplicas)
	return whole, lost, nil
}

// killReplicas kills the first replica of each shard.
func (x *system) killReplicas() {
	for _, f := range x.fakes {
		if strings.HasSuffix(f.Name, "-0") {
			f.kill()
		}
	}
}

// tail sends the load to all archives at the same time.
func (x *system) tail(ctx context.Context, b *bench, r tailRun, prefix string, halfway func()) [][]string {
	archives := x.shape.archives
	before := make([]counts, len(archives))
	outcomes := make([]outcome, len(archives))
	extra := x.extras()
	var group sync.WaitGroup
	for i, a := range archives {
		before[i] = countsOf(x.fakes, a.name)
		l := load{archive: a.name, shards: a.shards, rate: r.rate, count: r.count, prefix: prefix}
		if i == 0 {
			l.halfway = halfway
		}
		group.Go(func() { outcomes[i] = x.run(ctx, l) })
	}
	group.Wait()
	time.Sleep(tailPause)
	var rows [][]string
	for i, a := range archives {
		c := countsOf(x.fakes, a.name).since(before[i])
		o := outcomes[i]
		rows = append(rows, []string{
			a.name, x.label(), fmt.Sprint(a.shards), fmt.Sprint(o.searches),
			millis(quantile(o.latencies, 0.5)), millis(quantile(o.latencies, 0.99)), millis(quantile(o.latencies, 0.999)),
			percent(o.answered, o.shards), percent(o.complete, o.searches), percent(c.searches-o.shards, o.shards),
			fmt.Sprint(c.shed), fmt.Sprintf("%d / %d", c.most, a.slots),
		})
		b.note("%s %s %s: %v codes %v", prefix, x.label(), a.name, rows[len(rows)-1], o.codes)
	}
	for name, n := range x.extras() {
		b.note("%s %s %s: %d", prefix, x.label(), name, n-extra[name])
	}
	return rows
}

func (x *system) label() string {
	if x.baseline {
		return "baseline"
	}
	return "design"
}

// extras returns the entry hosts' counters of sub-requests.
func (x *system) extras() map[string]int64 {
	values := map[string]int64{}
	for _, name := range []string{"subrequests_first", "subrequests_hedged", "subrequests_retried", "subrequests_rerouted", "broken_connections", "answers_dropped"} {
		values[name] = x.counter(name)
	}
	return values
}
