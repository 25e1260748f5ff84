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
creates it. Give the same --id again when the answer was lost: the change is
not applied twice. An empty file removes the section.`

func newApply() command {
	sub := newSubcommand("apply", helpApply)
	var o operator
	var team, file, id string
	var version uint64
	author := userName()
	o.flags(sub)
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
			id = requestID()
			fmt.Println("id:", id)
		}
		r := &messenger.ChangeRequest{Id: id, Team: team, Version: version, Section: section, Author: author}
		return o.apply(ctx, r)
	}}
}

// userName returns the name of the user who runs the program.
func userName() string {
	u, err := user.Current()
	if err != nil {
		return "unknown"
	}
	return u.Username
}

func (o *operator) apply(ctx context.Context, r *messenger.ChangeRequest) error {
	var reply *messenger.ChangeReply
	err := o.ask(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
		var err error
		reply, err = c.Change(ctx, r)
		answered := reply.GetCode() != "" && reply.GetCode() != "unavailable"
		return leaderHint(answered, reply.GetLeader()), err
	})
	if errors.Is(err, errUsage) {
		return err
	}
	if err != nil {
		return errors.Wrapf(errUnknown, "change %s: %v; give the same id again", r.GetId(), err)
	}
	return changeResult(reply)
}

func changeResult(r *messenger.ChangeReply) error {
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
