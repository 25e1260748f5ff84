package main

import (
	"context"
	"fmt"

	"gentianpond/internal/protocol/messenger"
)

const helpShow = `Print the configuration in force, a section per team with its version.

With --history, print who changed what and when instead.`

func newShow() command {
	sub := newSubcommand("show", helpShow)
	var o operator
	var team string
	var history bool
	o.flags(sub)
	sub.String(&team, "t", "team", "Show only the section of this team.")
	sub.Bool(&history, "", "history", "Show the history of changes.")
	return command{sub: sub, run: func(ctx context.Context) error {
		var r *messenger.ShowReply
		err := o.ask(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
			var err error
			r, err = c.Show(ctx, &messenger.ShowRequest{})
			return leaderHint(r.GetGranted(), r.GetLeader()), err
		})
		if err != nil {
			return err
		}
		fmt.Printf("revision %d\n", r.GetRevision())
		if history {
			printHistory(r, team)
			return nil
		}
		for _, s := range r.GetSections() {
			if team == "" || team == s.GetTeam() {
				fmt.Printf("\n%s, version %d\n%s\n", s.GetTeam(), s.GetVersion(), s.GetText())
			}
		}
		return nil
	}}
}

// unknownLeader stands for a leader that the host asked does not know.
const unknownLeader = "unknown"

// leaderHint returns "" when the reply came from the leader.
func leaderHint(granted bool, leader string) string {
	switch {
	case granted:
		return ""
	case leader == "":
		return unknownLeader
	default:
		return leader
	}
}

func printHistory(r *messenger.ShowReply, team string) {
	for _, h := range r.GetHistory() {
		if team == "" || team == h.GetTeam() {
			fmt.Printf("%s revision %d: %s version %d by %s, change %s\n",
				h.GetTime().AsTime().Format("2006-01-02T15:04:05Z"), h.GetRevision(), h.GetTeam(), h.GetVersion(), h.GetAuthor(), h.GetId())
		}
	}
}
