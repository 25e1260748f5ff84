package main

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
)

const helpQuarantine = `List, clear or pin the fingerprints of requests that crash backend servers.

A pinned fingerprint is refused until it is cleared. Requests to an archive are pinned with
--archive, requests on a route of a relay with --service.`

func newQuarantineCommand() command {
	sub := newSubcommand("quarantine", helpQuarantine)
	var control controlHosts
	var fingerprint, archive, service string
	action := "list"
	author := currentUserName()
	control.addFlags(sub)
	sub.AddPositionalValue(&action, "action", 1, false, "list, clear or pin.")
	sub.AddPositionalValue(&fingerprint, "fingerprint", 2, false, "Fingerprint, hexadecimal.")
	sub.String(&archive, "r", "archive", "Archive of a pinned fingerprint.")
	sub.String(&service, "v", "service", "Backend service of a pinned fingerprint on a route.")
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
		if err := checkQuarantineArguments(action, fingerprint, archive, service); err != nil {
			return err
		}
		if action == "pin" && service != "" {
			r.Action, r.Archive = "pinroute", service
		}
		return control.runQuarantineAction(ctx, r)
	}}
}

// checkQuarantineArguments returns errUsage for an unknown action, for a change without a
// fingerprint, which would pin or clear fingerprint 0, and for an archive beside a service.
func checkQuarantineArguments(action, fingerprint, archive, service string) error {
	if archive != "" && service != "" {
		return errors.Wrap(errUsage, "a request goes to an archive or to a service")
	}
	switch action {
	case "list":
		return nil
	case "clear", "pin":
		if fingerprint == "" {
			return errors.Wrapf(errUsage, "%s needs a fingerprint", action)
		}
		return nil
	}
	return errors.Wrapf(errUsage, "action %q is not list, clear or pin", action)
}

// runQuarantineAction has the leader carry out the action of r and prints the
// fingerprints that it returns.
func (h *controlHosts) runQuarantineAction(ctx context.Context, r *messenger.ReleaseRequest) error {
	var reply *messenger.SuspectReply
	err := h.callLeader(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
		var err error
		reply, err = c.Release(ctx, r)
		return leaderHint(reply.GetGranted(), reply.GetLeader()), err
	})
	if err != nil {
		return err
	}
	for _, s := range reply.GetSuspects() {
		until := s.GetExpiry().AsTime().Format(time.RFC3339)
		if s.GetPinned() {
			until = "cleared"
		}
		target := "archive"
		if s.GetRoute() {
			target = "service"
		}
		fmt.Printf("%016x %s %s %s crashes %d until %s\n", s.GetFingerprint(), target, s.GetArchive(),
			quarantiner.State(s.GetState()), s.GetCrashes(), until)
	}
	if len(reply.GetSuspects()) == 0 {
		fmt.Println("no suspected or quarantined fingerprints")
	}
	return nil
}
