package main

import (
	"context"
	"fmt"

	"gentianpond/internal/protocol/messenger"
)

const helpShow = `Print the configuration in force: the section of each team with its version.

With --history, print the author and time of each change instead.`

// newShowCommand returns the command that prints the configuration document in force.
func newShowCommand() command {
	sub := newSubcommand("show", helpShow)
	var control controlHosts
	var team string
	var history bool
	control.addFlags(sub)
	sub.String(&team, "t", "team", "Show only the section of this team.")
	sub.Bool(&history, "", "history", "Show the history of changes.")
	return command{sub: sub, run: func(ctx context.Context) error {
		var r *messenger.ShowReply
		err := control.callLeader(ctx, func(ctx context.Context, c messenger.ControlClient) (string, error) {
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

// unknownLeader is the hint of a host that knows no leader. It is no address, so that
// callLeader goes on to the next host.
const unknownLeader = "unknown"

// leaderHint returns "" if the leader has answered, else the leader's address that
// the reply names, or unknownLeader if it names none.
func leaderHint(answered bool, leader string) string {
	switch {
	case answered:
		return ""
	case leader == "":
		return unknownLeader
	default:
		return leader
	}
}

// printHistory prints the changes of the team's section, or all changes if team is
// "".
func printHistory(r *messenger.ShowReply, team string) {
	for _, h := range r.GetHistory() {
		if team == "" || team == h.GetTeam() {
			fmt.Printf("%s revision %d: %s version %d by %s, change %s\n",
				h.GetTime().AsTime().Format("2006-01-02T15:04:05Z"), h.GetRevision(), h.GetTeam(), h.GetVersion(), h.GetAuthor(), h.GetId())
		}
	}
}
