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

// ordersCount is the number of orders per client.
const ordersCount = 40

// runOrders compares orders with searches of width 1.
func runOrders(ctx context.Context, b *bench) error {
	s := syntheticShape(syntheticReplicas, 1)
	for i := range s.searchers {
		// Enough slots that the backend servers are not the limit.
		s.searchers[i].Slots, s.searchers[i].Connections = 64, 64
	}
	x, err := start(ctx, s, options{settings: map[string]any{"deadline": "2s"}, behavior: searcher.Behavior{Delay: time.Millisecond}})
	if err != nil {
		return err
	}
	defer x.stop()
	var rows [][]string
	for _, clients := range []int{1, 16, 64} {
		for _, kind := range []string{"search", "order"} {
			row, err := x.clients(ctx, kind, clients, b.count(ordersCount)*clients)
			if err != nil {
				return err
			}
			rows = append(rows, row)
		}
	}
	table("orders: against searches of width 1", []string{"kind", "at once", "requests", "p50 ms", "p99 ms", "per second", "ran", "journal saves per order and control host"}, rows)
	return nil
}

// clients sends total requests from clients that each wait for their answer.
func (x *system) clients(ctx context.Context, kind string, clients, total int) ([]string, error) {
	var latencies []time.Duration
	var mu sync.Mutex
	var group sync.WaitGroup
	var next, ran atomic.Int64
	saves := x.control.saves()
	begin := time.Now()
	for range clients {
		group.Go(func() {
			for i := int(next.Add(1)); i <= total; i = int(next.Add(1)) {
				start := time.Now()
				outcome, err := x.one(ctx, kind, clients, i)
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
		perOrder = fmt.Sprintf("%.2f", float64(x.control.saves()-saves)/float64(total)/float64(len(x.control.hosts)))
	}
	if ran.Load() == 0 {
		return nil, errors.Errorf("no %s ran", kind)
	}
	return []string{
		kind, fmt.Sprint(clients), fmt.Sprint(total), millis(quantile(latencies, 0.5)), millis(quantile(latencies, 0.99)),
		fmt.Sprintf("%.0f", float64(total)/took.Seconds()), percent(int(ran.Load()), total), perOrder,
	}, nil
}

func (x *system) one(ctx context.Context, kind string, clients, i int) (string, error) {
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
	err = x.post(ctx, x.entries[i%len(x.entries)], "/v1/order", http.Header{gateway.IdempotencyKeyHeader: {key}},
		gateway.OrderRequest{ID: fmt.Sprint(i), Archive: a.name, Body: body}, &answer)
	return answer.Outcome, err
}

// saves returns how often the control hosts wrote and synced their journals.
func (g *controlGroup) saves() int {
	n := 0
	for _, t := range g.scope.Snapshot().Timers() {
		if strings.HasSuffix(t.Name(), "save") {
			n += len(t.Values())
		}
	}
	return n
}
