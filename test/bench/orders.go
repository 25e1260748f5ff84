package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/gateway"
	"gentianpond/test/fakes/searcher"
)

// ordersPerClient is the number of orders per client.
const ordersPerClient = 40

// runOrders compares the latency and throughput of orders with those of searches
// in an archive of one shard.
func runOrders(ctx context.Context, b *bench) error {
	s := syntheticShape(syntheticReplicas, 1)
	for i := range s.searchers {
		// Enough slots that the backend servers are not the limit.
		s.searchers[i].Slots, s.searchers[i].Connections = 64, 64
	}
	x, err := startSystem(ctx, s, options{archiveSettings: map[string]any{"deadline": "2s"}, behavior: searcher.Behavior{Delay: time.Millisecond}})
	if err != nil {
		return err
	}
	defer x.stop()
	var rows [][]string
	for _, clients := range []int{1, 16, 64} {
		for _, kind := range []string{"search", "order"} {
			row, err := x.measureClients(ctx, kind, clients, b.scaled(ordersPerClient)*clients)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	printTable("orders: against searches of width 1", []string{"kind", "at once", "requests", "p50 ms", "p99 ms", "per second", "ran", "journal saves per order and control host"}, rows)
	return nil
}

// measureClients sends total requests of one kind from concurrent clients that
// each wait for their answer, and returns the table row.
func (x *system) measureClients(ctx context.Context, kind string, clients, total int) ([]string, error) {
	var latencies []time.Duration
	var mu sync.Mutex
	var group sync.WaitGroup
	var next, ran atomic.Int64
	saves := x.control.journalSaves()
	begin := time.Now()
	for range clients {
		group.Go(func() {
			for i := int(next.Add(1)); i <= total; i = int(next.Add(1)) {
				start := time.Now()
				outcome, err := x.sendRequest(ctx, kind, clients, i)
				latency := time.Since(start)
				if err == nil && outcome == gateway.OutcomeRan {
					ran.Add(1)
				}
				mu.Lock()
				latencies = append(latencies, latency)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	took := time.Since(begin)
	slices.Sort(latencies)
	perOrder := "-"
	if kind == "order" {
		perOrder = fmt.Sprintf("%.2f", float64(x.control.journalSaves()-saves)/float64(total)/float64(len(x.control.hosts)))
	}
	if ran.Load() == 0 {
		return nil, errors.Errorf("no %s ran", kind)
	}
	return []string{
		kind, fmt.Sprint(clients), fmt.Sprint(total), formatMillis(quantile(latencies, 0.5)), formatMillis(quantile(latencies, 0.99)),
		fmt.Sprintf("%.0f", float64(total)/took.Seconds()), formatPercent(int(ran.Load()), total), perOrder,
	}, nil
}

// sendRequest sends the i-th search or order and returns the outcome.
func (x *system) sendRequest(ctx context.Context, kind string, clients, i int) (string, error) {
	a := x.shape.archives[0]
	if kind == "search" {
		answer, err := x.search(ctx, load{archive: a.name, prefix: fmt.Sprint(clients, " ")}, i)
		return answer.Outcome, err
	}
	body, err := json.Marshal(fmt.Sprintf("invoice %d %d", clients, i))
	if err != nil {
		return "", err
	}
	key := fmt.Sprintf("%d-%d-%d", time.Now().Unix(), clients, i)
	var answer gateway.OrderAnswer
	err = x.postJSON(ctx, x.entryAddresses[i%len(x.entryAddresses)], "/v1/order", http.Header{gateway.IdempotencyKeyHeader: {key}},
		gateway.OrderRequest{ID: fmt.Sprint(i), Archive: a.name, Body: body}, &answer)
	return answer.Outcome, err
}

// journalSaves returns how often the control hosts wrote and synced their journals.
func (g *controlGroup) journalSaves() int {
	n := 0
	for _, t := range g.metrics.Snapshot().Timers() {
		if strings.HasSuffix(t.Name(), "save") {
			n += len(t.Values())
		}
	}
	return n
}
