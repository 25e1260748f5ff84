package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

const helpStatus = `Print what each control host knows: leader, term, voters, entry hosts, what
is in force where, and repairs under way.

GET /v1/status on an entry host lists backend servers and snapshots.`

func newStatus() command {
	sub := newSubcommand("status", helpStatus)
	var o operator
	o.flags(sub)
	return command{sub: sub, run: func(ctx context.Context) error {
		hosts, err := o.hosts()
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
		defer cancel()
		var failed error
		for _, host := range hosts {
			_, err := askOne(ctx, host, func(ctx context.Context, c messenger.ControlClient) (string, error) {
				r, err := c.Status(ctx, &messenger.StatusRequest{})
				if err == nil {
					printStatus(r)
				}
				return "", err
			})
			if err != nil {
				fmt.Printf("control host %s does not answer: %v\n", host, err)
				failed = errors.New("a control host does not answer")
			}
		}
		return failed
	}}
}

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
	for _, text := range r.GetRepairs() {
		fmt.Println("  repair:", text)
	}
}
