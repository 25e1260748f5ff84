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
	// changesPerRow is the number of changes in each row of the table.
	changesPerRow = 20
	// changePollInterval is the resolution of the time until a change is in force.
	changePollInterval = 5 * time.Millisecond
)

// runChange measures the time from the acceptance of a change until all entry
// hosts have it in force.
func runChange(ctx context.Context, _ *bench) error {
	x, err := startSystem(ctx, syntheticShape(syntheticReplicas, 10), options{})
	if err != nil {
		return err
	}
	defer x.stop()
	var rows [][]string
	version := uint64(0)
	for _, stopLeader := range []bool{false, true} {
		var accepted, inForce []time.Duration
		for i := range changesPerRow {
			if stopLeader && i == changesPerRow/2 {
				s, err := x.control.leaderStatus(ctx)
				if err != nil {
					return err
				}
				x.control.stopHosts[s.GetHost()]()
			}
			a, f, err := x.measureChange(ctx, version)
			if err != nil {
				return err
			}
			accepted, inForce = append(accepted, a), append(inForce, f)
			version++
		}
		slices.Sort(accepted)
		slices.Sort(inForce)
		label := "all control hosts"
		if stopLeader {
			label = "leader stopped after the 10th"
		}
		rows = append(rows, []string{
			label, fmt.Sprint(changesPerRow), formatMillis(quantile(accepted, 0.5)), formatMillis(quantile(accepted, 1)), formatMillis(quantile(inForce, 0.5)), formatMillis(quantile(inForce, 1)),
		})
	}
	printTable("change: in force on all 9 entry hosts", []string{"control", "changes", "sent to accepted p50 ms", "max ms", "accepted to in force p50 ms", "max ms"}, rows)
	return nil
}

// measureChange submits one change and waits until every entry host has it. It
// returns the time until the change was accepted and the time from there until it
// was in force.
func (x *system) measureChange(ctx context.Context, version uint64) (accepted, inForce time.Duration, err error) {
	sent := time.Now()
	reply, err := x.control.submitChange(ctx, &messenger.ChangeRequest{
		Id: fmt.Sprint("change-", version), Team: "probe", Version: version, Author: "bench",
		Section: fmt.Appendf(nil, `{"archives": {"probe": {"deadline": "%dms"}}}`, 100+version),
	})
	if err != nil {
		return 0, 0, err
	}
	start := time.Now()
	for _, entry := range x.entryAddresses {
		for {
			var s gateway.Status
			if err := x.getJSON(ctx, entry, "/v1/status", &s); err == nil && s.Revision >= reply.GetRevision() {
				break
			}
			if time.Since(start) > startTimeout {
				return 0, 0, errors.Errorf("change %d was not in force on every entry host in time", version)
			}
			time.Sleep(changePollInterval)
		}
	}
	return start.Sub(sent), time.Since(start), nil
}
