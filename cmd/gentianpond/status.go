package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

const helpStatus = `Print the status of each control host: leader, term, voters, entry hosts with
the revision in force on each, rate limits that backend servers name, evacuated zones, and
repairs in progress.

Use GET /v1/status on an entry host to list backend servers and snapshots.`

func newStatusCommand() command {
	sub := newSubcommand("status", helpStatus)
	var control controlHosts
	control.addFlags(sub)
	return command{sub: sub, run: func(ctx context.Context) error {
		hosts, err := control.parseAddresses()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, controlTimeout)
		defer cancel()
		var statusErr error
		for _, host := range hosts {
			_, err := callHost(ctx, host, func(ctx context.Context, c messenger.ControlClient) (string, error) {
				r, err := c.Status(ctx, &messenger.StatusRequest{})
				if err == nil {
					printStatus(r)
				}
				return "", err
			})
			if err != nil {
				fmt.Printf("control host %s does not answer: %v\n", host, err)
				statusErr = errors.New("a control host does not answer")
			}
		}
		return statusErr
	}}
}

// printStatus prints the status of one control host, as that host sees the group.
func printStatus(r *messenger.StatusReply) {
	fmt.Printf("control host %s: %s, term %d, leader %s, commit %d, applied %d, revision %d, view %d, settled %t\n",
		r.GetHost(), r.GetRole(), r.GetTerm(), r.GetLeader(), r.GetCommit(), r.GetApplied(), r.GetRevision(), r.GetView(), r.GetSettled())
	for _, v := range r.GetVoters() {
		fmt.Printf("  member %s %s zone %s id %d voter %t match %d silent %s\n",
			v.GetName(), v.GetAddress(), v.GetZone(), v.GetIncarnation(), v.GetVoter(), v.GetMatch(), v.GetSilent().AsDuration())
	}
	for _, e := range r.GetEntries() {
		fmt.Printf("  entry host %s zone %s revision %d adopted %d released %d silent %s\n", e.GetMember().GetName(),
			e.GetMember().GetZone(), e.GetRevision(), e.GetAdopted(), e.GetReleased(), e.GetSilent().AsDuration())
	}
	for _, m := range r.GetLimits() {
		fmt.Printf("  rate limit %s: %g requests a second for all entry hosts, named %s ago\n", m.GetServer(), m.GetRate(), m.GetAge().AsDuration())
	}
	for _, zone := range r.GetEvacuated() {
		fmt.Printf("  zone %s is evacuated\n", zone)
	}
	for _, s := range r.GetSuspects() {
		fmt.Printf("  request %016x of service %s: %s, crashed %d servers\n", s.GetFingerprint(), s.GetArchive(),
			quarantiner.State(s.GetState()), s.GetCrashes())
	}
	for _, text := range r.GetRepairs() {
		fmt.Println("  repair:", text)
	}
}
