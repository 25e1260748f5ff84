// Command gentianpond runs and operates a query tier between callers and backend
// servers.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/integrii/flaggy"
)

// version is set by the linker for a release.
var version = "development"

const helpMain = `gentianpond answers searches and runs orders over many backend servers.

Exit codes: 0 done; 1 failed; 2 wrong arguments, settings or document;
3 refused, the request did not run; 4 it is unknown whether it ran;
5 lost a race against another change.`

// The exit codes, as listed in helpMain.
const (
	exitFailed  = 1
	exitUsage   = 2
	exitNotRun  = 3
	exitUnknown = 4
	exitRace    = 5
)

// The errors that have an exit code of their own.
var (
	errUsage   = errors.New("wrong arguments")
	errNotRun  = errors.New("not run")
	errUnknown = errors.New("unknown whether it ran")
	errRace    = errors.New("conflicting change")
)

// command is a subcommand with its flags, and the function that runs it once the
// flags are parsed.
type command struct {
	sub *flaggy.Subcommand
	run func(context.Context) error
}

func main() {
	err := runCommand(os.Args[1:])
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "gentianpond:", err)
	os.Exit(exitCode(err))
}

// runCommand parses the arguments and runs the subcommand that they name.
func runCommand(args []string) error {
	p := flaggy.NewParser("gentianpond")
	p.Description = helpMain
	p.Version = version
	commands := []command{
		newEntryCommand(), newControlCommand(), newFormCommand(), newDemoCommand(), newCheckCommand(), newApplyCommand(), newShowCommand(), newStatusCommand(),
		newSearchCommand(), newOrderCommand(), newQuarantineCommand(), newEvacuateCommand(), newRelayCommand(), newMemberCommand(), newExplainCommand(),
		newPlaceCommand(),
	}
	for _, c := range commands {
		p.AttachSubcommand(c.sub, 1)
	}
	if err := p.ParseArgs(args); err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	for _, c := range commands {
		if c.sub.Used {
			return c.run(context.Background())
		}
	}
	p.ShowHelp()
	return errors.Wrap(errUsage, "no command given")
}

// exitCode returns the exit code of the error that err wraps, or exitFailed if the
// error has none of its own.
func exitCode(err error) int {
	codes := []struct {
		err  error
		code int
	}{{errUsage, exitUsage}, {errNotRun, exitNotRun}, {errUnknown, exitUnknown}, {errRace, exitRace}}
	for _, c := range codes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return exitFailed
}

// newSubcommand returns a subcommand with its help text; the text's first
// line is the summary.
func newSubcommand(name, help string) *flaggy.Subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = help
	return sub
}
