package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

const helpQuarantine = `List, clear or pin fingerprints of requests that crash backend servers.

A pinned fingerprint is refused until it is cleared.`

func newQuarantine() command {
	sub := newSubcommand("quarantine", helpQuarantine)
	var o operator
	var fingerprint, archive string
	action := "list"
	author := userName()
	o.flags(sub)
	sub.AddPositionalValue(&action, "action", 1, false, "list, clear or pin.")
	sub.AddPositionalValue(&fingerprint, "fingerprint", 2, false, "Fingerprint, hexadecimal.")
	sub.String(&archive, "r", "archive", "Archive of a pinned fingerprint.")
	sub.String(&author, "a", "author", "Who makes the change.")
	return command{sub: sub, run: func(ctx context.Context) error {
		r := &messenger.ReleaseRequest{Action: action, Archive: archive, Author: author}
		if fingerprint != "" {
			n, err := strconv.ParseUint(fingerprint, 16, 64)
			if err != nil {
				return errors.Wrapf(errUsage, "fingerprint %q is not hexadecimal", fingerprint)
			}
			r.Fingerprint = n
		}
		return o.release(ctx, r)
	}}
}

func (o *operator) release(ctx context.Context, r *messenger.ReleaseRequest) error {
	var reply *messenger.SuspectReply
	err := o.ask(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
		var err error
		reply, err = c.Release(ctx, r)
		return leaderHint(reply.GetGranted(), reply.GetLeader()), err
	})
	if err != nil {
		return err
	}
	for _, s := range reply.GetSuspects() {
		fmt.Printf("%016x archive %s state %d crashes %d until %s pinned %t\n", s.GetFingerprint(), s.GetArchive(),
			s.GetState(), s.GetCrashes(), s.GetExpiry().AsTime().Format(time.RFC3339), s.GetPinned())
	}
	return nil
}
