// Package server runs a control host: it joins the replicated log, its journal
// on disk and the state machine to the grpc service Control.
//
// One goroutine owns the three parts. It takes events from a bounded queue,
// saves what the log core asks for with one sync per batch, then sends,
// applies and answers. Each peer has a goroutine that sends to it.
package server

import (
	"cmp"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/repairer"
)

// defaultSnapshotEvery is the number of applied entries between snapshots. It
// keeps a restart after hundreds of changes within milliseconds.
const defaultSnapshotEvery = 1000

const (
	// defaultVoters outlives the loss of one host.
	defaultVoters = 3
	// defaultSilence is five check-ins of the usual interval of 1.2 s; single
	// check-ins may be seconds late.
	defaultSilence = 6 * time.Second
)

// ErrSettings reports settings that cannot be used.
var ErrSettings = errors.New("invalid control settings")

// Settings describe one control host.
type Settings struct {
	Name string
	Zone string
	// Inner is the address on which the inner service listens.
	Inner netip.AddrPort
	// Data is the folder of the durable state.
	Data string
	// Hosts are all control hosts, this one included. Without them the group
	// is open: hosts find each other through Seeds and through the members.
	Hosts []repairer.Host
	// Seeds are the inner addresses of control hosts of an open group. The host
	// at an address is named after its IP address.
	Seeds []netip.AddrPort
	// Bootstrap is true only at the very first start of an open group. The seeds
	// are then its first voters.
	Bootstrap bool
	// Voters is the number of voters that an open group is kept at; 0 is 3.
	Voters int
	// Silence is how long a backend server may go without a check-in before the
	// registry calls it silent; 0 is 6 s.
	Silence time.Duration
	// SnapshotEvery is the least number of applied entries between snapshots;
	// 0 is 1,000. Snapshots of more than 1 MB are made less often.
	SnapshotEvery uint64
	// Check returns all faults of a configuration document. It must be the
	// same on all hosts; nil accepts every document.
	Check keeper.Check
	// Listener is used in place of listening on Inner unless nil.
	Listener net.Listener
	// ServerOptions and DialOptions are added to those of the inner protocol.
	ServerOptions []grpc.ServerOption
	DialOptions   []grpc.DialOption

	// disk is that of the operating system unless a test sets another one.
	disk journaler.FileSystem
}

// complete fills in defaults and returns all errors at once.
func (s *Settings) complete() error {
	var errs []error
	fail := func(bad bool, text string, args ...any) {
		if bad {
			errs = append(errs, errors.Wrapf(ErrSettings, text, args...))
		}
	}
	fail(s.Name == "", "name is empty")
	fail(s.Data == "", "data folder is empty")
	fail(s.Listener == nil && !s.Inner.IsValid(), "inner address is missing")
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		fail(h.Name == "" || !h.Address.IsValid(), "host %q has no name or no address", h.Name)
		fail(seen[h.Name], "host %q is listed twice", h.Name)
		seen[h.Name] = true
	}
	if s.open() {
		fail(len(s.Seeds) == 0, "there are neither hosts nor seeds")
		fail(s.Name != "" && s.Name != s.Inner.Addr().String(), "host %q of an open group is not named after its address %s", s.Name, s.Inner.Addr())
	} else {
		fail(!seen[s.Name], "host %q is not among the control hosts", s.Name)
	}
	s.Voters = cmp.Or(s.Voters, defaultVoters)
	s.Silence = cmp.Or(s.Silence, defaultSilence)
	if s.disk == nil {
		s.disk = journaler.OSFileSystem{}
	}
	s.SnapshotEvery = cmp.Or(s.SnapshotEvery, defaultSnapshotEvery)
	return errors.Join(errs...)
}

// open reports whether hosts are found instead of listed.
func (s *Settings) open() bool { return len(s.Hosts) == 0 }

// host returns the configured host of a name.
func (s *Settings) host(name string) (repairer.Host, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return repairer.Host{}, false
}
