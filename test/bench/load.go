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

// randomSeed makes arrivals and slow requests the same in every run.
const randomSeed = 20260104

// load is an open-loop stream of searches: they are sent at seeded random
// intervals, independent of the answers, to the entry hosts in turn.
type load struct {
	archive string
	lane    string
	// shards is the number of shards of the archive.
	shards int
	// rate is in searches per second.
	rate float64
	// count is the number of searches.
	count int
	// halfway is called once half of the searches have been sent.
	halfway func()
	// prefix makes the queries differ from those of other loads.
	prefix string
	// queryText returns the text of the i-th query. Without it each query is
	// different.
	queryText func(i int) string
}

// loadResult sums up the answers to a load.
type loadResult struct {
	latencies []time.Duration
	searches  int
	// requestedShards is the number of shard answers that all searches need.
	requestedShards int
	answeredShards  int
	// completeAnswers is the number of searches that all shards answered.
	completeAnswers int
	// failureCodes counts the searches without a result: failed requests under
	// "error", others under their outcome and code.
	failureCodes map[string]int
}

// runLoad sends the load and waits for all answers. The latencies of the result
// are sorted.
func (x *system) runLoad(ctx context.Context, l load) loadResult {
	r := rand.New(rand.NewPCG(randomSeed, uint64(l.shards)))
	o := loadResult{searches: l.count, requestedShards: l.count * l.shards, failureCodes: map[string]int{}}
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

// search sends the i-th search of a load.
func (x *system) search(ctx context.Context, l load, i int) (gateway.SearchAnswer, error) {
	text := fmt.Sprintf("%s%s %d", l.prefix, l.archive, i)
	if l.queryText != nil {
		text = l.queryText(i)
	}
	query, err := json.Marshal(text)
	if err != nil {
		return gateway.SearchAnswer{}, err
	}
	var a gateway.SearchAnswer
	err = x.postJSON(ctx, x.entryAddresses[i%len(x.entryAddresses)], "/v1/search", nil, gateway.SearchRequest{
		ID: fmt.Sprint(i), Archive: l.archive, Lane: l.lane, Query: query,
	}, &a)
	return a, err
}

// add counts one answer, or the error that came in its place.
func (o *loadResult) add(a gateway.SearchAnswer, err error, latency time.Duration, shards int) {
	o.latencies = append(o.latencies, latency)
	if err != nil {
		o.failureCodes["error"]++
		return
	}
	if a.Outcome != gateway.OutcomeRan {
		o.failureCodes[a.Outcome+" "+a.Code]++
		return
	}
	o.answeredShards += int(a.Coverage.Answered)
	if int(a.Coverage.Answered) == shards {
		o.completeAnswers++
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

// printTable prints a markdown table.
func printTable(title string, header []string, rows [][]string) {
	fmt.Printf("\n### %s\n\n", title)
	fmt.Println("| " + strings.Join(header, " | ") + " |")
	fmt.Println(strings.Repeat("|---", len(header)) + "|")
	for _, row := range rows {
		fmt.Println("| " + strings.Join(row, " | ") + " |")
	}
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func formatPercent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(whole))
}
