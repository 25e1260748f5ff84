package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gentianpond/internal/host/gateway"
)

// seed makes arrivals and slow requests the same in every run.
const seed = 20260104

// load is a stream of searches with seeded random gaps, independent of the
// answers, spread over the entry hosts in turn.
type load struct {
	archive string
	lane    string
	shards  int
	// rate is in searches per second.
	rate  float64
	count int
	// halfway is called once half of the searches have been sent.
	halfway func()
	// prefix makes the queries differ from those of other loads.
	prefix string
	// body makes the query text; without it each query is different.
	body func(i int) string
}

// outcome is the results of a load.
type outcome struct {
	latencies []time.Duration
	searches  int
	shards    int
	answered  int
	complete  int
	codes     map[string]int
}

// run sends the load and waits for all answers.
func (x *system) run(ctx context.Context, l load) outcome {
	r := rand.New(rand.NewPCG(seed, uint64(l.shards)))
	o := outcome{searches: l.count, shards: l.count * l.shards, codes: map[string]int{}}
	var mu sync.Mutex
	var group sync.WaitGroup
	next := time.Now()
	for i := range l.count {
		if i == l.count/2 && l.halfway != nil {
			l.halfway()
		}
		time.Sleep(time.Until(next))
		next = next.Add(time.Duration(r.ExpFloat64() / l.rate * float64(time.Second)))
		group.Go(func() {
			start := time.Now()
			a, err := x.search(ctx, l, i)
			latency := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			o.add(a, err, latency, l.shards)
		})
	}
	group.Wait()
	slices.Sort(o.latencies)
	return o
}

func (x *system) search(ctx context.Context, l load, i int) (gateway.SearchAnswer, error) {
	text := fmt.Sprintf("%s%s %d", l.prefix, l.archive, i)
	if l.body != nil {
		text = l.body(i)
	}
	query, err := json.Marshal(text)
	if err != nil {
		return gateway.SearchAnswer{}, err
	}
	var a gateway.SearchAnswer
	err = x.post(ctx, x.entries[i%len(x.entries)], "/v1/search", nil, gateway.SearchRequest{
		ID: fmt.Sprint(i), Archive: l.archive, Lane: l.lane, Query: query,
	}, &a)
	return a, err
}

func (o *outcome) add(a gateway.SearchAnswer, err error, latency time.Duration, shards int) {
	o.latencies = append(o.latencies, latency)
	if err != nil {
		o.codes["error"]++
		return
	}
	if a.Outcome != gateway.OutcomeRan {
		o.codes[a.Outcome+" "+a.Code]++
		return
	}
	o.answered += int(a.Coverage.Answered)
	if int(a.Coverage.Answered) == shards {
		o.complete++
	}
}

// quantile returns the smallest latency that at least the share q of all
// latencies does not exceed. The latencies are sorted.
func quantile(latencies []time.Duration, q float64) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	rank := int(q*float64(len(latencies))+0.999999) - 1
	return latencies[min(max(rank, 0), len(latencies)-1)]
}

// table prints markdown.
func table(title string, header []string, rows [][]string) {
	fmt.Printf("\n### %s\n\n", title)
	fmt.Println("| " + strings.Join(header, " | ") + " |")
	fmt.Println(strings.Repeat("|---", len(header)) + "|")
	for _, row := range rows {
		fmt.Println("| " + strings.Join(row, " | ") + " |")
	}
}

func millis(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) }

func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}
