package main

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"gentianpond/internal/protocol/messenger"
)

const helpEvacuate = `Order that no request is sent to the backend servers of an availability zone,
withdraw that order, or list the evacuated zones.

An order is in force on the entry hosts some milliseconds after it is acknowledged, and
survives the restart of all hosts. All control hosts have to run a version with this
command before it is used.`

func newEvacuateCommand() command {
	sub := newSubcommand("evacuate", helpEvacuate)
	var control controlHosts
	var zone string
	action := "list"
	control.addFlags(sub)
	sub.AddPositionalValue(&action, "action", 1, false, "list, order or withdraw.")
	sub.AddPositionalValue(&zone, "zone", 2, false, "Availability zone.")
	return command{sub: sub, run: func(ctx context.Context) error {
		r, err := evacuateRequest(action, zone)
		if err != nil {
			return err
		}
		return control.runEvacuateAction(ctx, r)
	}}
}

// evacuateRequest returns the request for an action. Its error is errUsage.
func evacuateRequest(action, zone string) (*messenger.EvacuateRequest, error) {
	switch {
	case action == "list" && zone == "":
		return &messenger.EvacuateRequest{}, nil
	case action == "list":
		return nil, errors.Wrap(errUsage, "list takes no zone")
	case action != "order" && action != "withdraw":
		return nil, errors.Wrapf(errUsage, "action %q is not list, order or withdraw", action)
	case zone == "":
		return nil, errors.Wrapf(errUsage, "%s needs a zone", action)
	}
	return &messenger.EvacuateRequest{Zone: zone, Withdrawn: action == "withdraw"}, nil
}

// runEvacuateAction has the leader carry out a request and prints the evacuated zones.
func (h *controlHosts) runEvacuateAction(ctx context.Context, r *messenger.EvacuateRequest) error {
	var reply *messenger.EvacuateReply
	var refusal error
	err := h.callLeader(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
		var err error
		reply, err = c.Evacuate(ctx, r)
		if status.Code(err) == codes.InvalidArgument {
			// Every leader would refuse it.
			refusal = errors.Wrap(errUsage, status.Convert(err).Message())
			return "", nil
		}
		return leaderHint(reply.GetGranted(), reply.GetLeader()), err
	})
	if err = errors.Join(err, refusal); err != nil {
		return err
	}
	for _, zone := range reply.GetEvacuated() {
		fmt.Printf("zone %s is evacuated\n", zone)
	}
	if len(reply.GetEvacuated()) == 0 {
		fmt.Println("no zone is evacuated")
	}
	return nil
}
