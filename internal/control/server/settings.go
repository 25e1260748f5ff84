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

	"github.com/go-faster/errors"
	"google.golang.org/grpc"

	"gentianpond/internal/control/journaler"
	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/repairer"
)

// defaultSnapshotEvery is the number of applied entries between snapshots. It
// keeps a restart after hundreds of changes within milliseconds.
const defaultSnapshotEvery = 1000

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
	// Hosts are all control hosts, this one included.
	Hosts []repairer.Host
	// SnapshotEvery is the number of applied entries between snapshots; 0 is
	// 1,000.
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
	disk journaler.Disk
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
	fail(!seen[s.Name], "host %q is not among the control hosts", s.Name)
	if s.disk == nil {
		s.disk = journaler.System{}
	}
	s.SnapshotEvery = cmp.Or(s.SnapshotEvery, defaultSnapshotEvery)
	return errors.Join(errs...)
}

// host returns the configured host of a name.
func (s *Settings) host(name string) (repairer.Host, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return repairer.Host{}, false
}
