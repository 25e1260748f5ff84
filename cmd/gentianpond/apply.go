package main

import (
	"context"
	"fmt"
	"os"
	"os/user"
	"strings"

	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

const helpApply = `Replace the section of one team in the configuration document.

The change is accepted only if the section still has the given version; 0
creates it. When the answer is lost, repeat the command with the same --id:
the change is not applied twice. An empty file removes the section.`

// newApplyCommand returns the command that replaces the section of one team in the
// configuration document.
func newApplyCommand() command {
	sub := newSubcommand("apply", helpApply)
	var control controlHosts
	var team, file, id string
	var version uint64
	author := currentUserName()
	control.addFlags(sub)
	sub.UInt64(&version, "v", "replaces", "Version of the section that the change replaces.")
	sub.String(&id, "i", "id", "Id of the change; a new one is made and printed without it.")
	sub.String(&author, "a", "author", "Who makes the change.")
	sub.AddPositionalValue(&team, "team", 1, true, "Team that owns the section.")
	sub.AddPositionalValue(&file, "file", 2, true, "File with the section, JSON with comments.")
	return command{sub: sub, run: func(ctx context.Context) error {
		section, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(errUsage, err.Error())
		}
		if id == "" {
			id = newRequestID()
			fmt.Println("id:", id)
		}
		r := &messenger.ChangeRequest{Id: id, Team: team, Version: version, Section: section, Author: author}
		return control.applyChange(ctx, r)
	}}
}

// currentUserName returns the login name of the user who runs the program, or
// "unknown" if the system does not tell.
func currentUserName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

// applyChange sends the change of a section to the leader of the control hosts and
// prints the result. Without an answer the error is errUnknown, because the change
// may have been applied.
func (h *controlHosts) applyChange(ctx context.Context, r *messenger.ChangeRequest) error {
	var reply *messenger.ChangeReply
	err := h.callLeader(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
		var err error
		reply, err = c.Change(ctx, r)
		answered := reply.GetCode() != "" && reply.GetCode() != "unavailable"
		return leaderHint(answered, reply.GetLeader()), err
	})
	if errors.Is(err, errUsage) {
		return err
	}
	if err != nil {
		return errors.Wrapf(errUnknown, "send change %s: %v; repeat it with the same id", r.GetId(), err)
	}
	return printChangeResult(reply)
}

// printChangeResult prints an accepted change and returns any other result as an
// error.
func printChangeResult(r *messenger.ChangeReply) error {
	switch r.GetCode() {
	case "accepted":
		fmt.Printf("accepted: revision %d, section version %d\n", r.GetRevision(), r.GetVersion())
		return nil
	case "conflict":
		return errors.Wrapf(errRace, "the section has version %d", r.GetVersion())
	default:
		var lines []string
		for _, f := range r.GetFaults() {
			lines = append(lines, fmt.Sprintf("line %d, column %d: %s", f.GetLine(), f.GetColumn(), f.GetText()))
		}
		return errors.Wrapf(errUsage, "%s:\n%s", r.GetCode(), strings.Join(lines, "\n"))
	}
}
