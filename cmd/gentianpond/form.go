package main

import (
	"context"
	"fmt"
	"os"

	"gentianpond/internal/control/server"
	"gentianpond/internal/observe/reporter"
)

const helpForm = `Form the first group of control hosts, once in the life of a system.

Start the other control hosts first, then run this command on one host, then
start the control host there. The others are added one at a time. The command
refuses if this host's data folder is in use or another control host already
belongs to a group.`

// newFormCommand returns the command that forms the first group of control hosts.
func newFormCommand() command {
	sub := newSubcommand("form", helpForm)
	path := "control.json"
	var unreachable bool
	sub.String(&path, "s", "settings", "File with the settings of this control host.")
	sub.Bool(&unreachable, "", "unreachable", "Continue when a control host does not answer; only if you know that it belongs to no group.")
	return command{sub: sub, run: func(ctx context.Context) error {
		s, err := readControlSettings(path)
		if err != nil {
			return err
		}
		options := server.FormOptions{AllowUnreachable: unreachable}
		if err := server.Form(ctx, serverSettings(s), options, reporter.NewLogger(os.Stderr, "form")); err != nil {
			return err
		}
		fmt.Println("the group is formed, start the control host now")
		return nil
	}}
}
