package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/gateway"
	"gentianpond/internal/protocol/messenger"
)

const (
	changeCount = 20
	// changePoll is the resolution of the time until a change is in force.
	changePoll = 5 * time.Millisecond
)

// runChange measures the time from the acceptance of a change until all entry
// hosts have it in force.
func runChange(ctx context.Context, _ *bench) error {
	x, err := start(ctx, syntheticShape(syntheticReplicas, 10), options{})
	if err != nil {
		return err
	}
	defer x.stop()
	var rows [][]string
	version := uint64(0)
	for _, lose := range []bool{false, true} {
		var accepted, force []time.Duration
		for i := range changeCount {
			if lose && i == changeCount/2 {
				s, err := x.control.leader(ctx)
				if err != nil {
					return err
				}
				x.control.stops[s.GetHost()]()
			}
			a, f, err := x.change(ctx, version)
			if err != nil {
				return err
			}
			accepted, force = append(accepted, a), append(force, f)
			version++
		}
		slices.Sort(accepted)
		slices.Sort(force)
		label := "all control hosts"
		if lose {
			label = "leader stopped after the 10th"
		}
		rows = append(rows, []string{
			label, fmt.Sprint(changeCount), millis(quantile(accepted, 0.5)), millis(quantile(accepted, 1)), millis(quantile(force, 0.5)), millis(quantile(force, 1)),
		})
	}
	table("change: in force on all 9 entry hosts", []string{"control", "changes", "sent to accepted p50 ms", "max ms", "accepted to in force p50 ms", "max ms"}, rows)
	return nil
}

// change makes one change and waits until every entry host has it.
func (x *system) change(ctx context.Context, version uint64) (accepted, force time.Duration, err error) {
	sent := time.Now()
	reply, err := x.control.change(ctx, &messenger.ChangeRequest{
		Id: fmt.Sprint("change-", version), Team: "probe", Version: version, Author: "bench",
		Section: fmt.Appendf(nil, `{"archives": {"probe": {"deadline": "%dms"}}}`, 100+version),
	})
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	for _, entry := range x.entries {
		for {
			var s gateway.Status
			if err := x.get(ctx, entry, "/v1/status", &s); err == nil && s.Revision >= reply.GetRevision() {
				break
			}
			if time.Since(start) > startTimeout {
				return 0, 0, errors.Errorf("change %d is not in force in time", version)
			}
			time.Sleep(changePoll)
		}
	}
	return start.Sub(sent), time.Since(start), nil
}
