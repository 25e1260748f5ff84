// Package server runs a control host: it joins the replicated log, its journal
// on disk and the state machine to the grpc service Control.
//
// One goroutine owns the three parts. It takes events from a bounded queue,
// saves what the log core asks for with one sync per batch, then sends,
// applies and answers. Each peer has a goroutine that sends to it.
//
// The leader of the control hosts keeps the view, the numbered list of the entry hosts
// that share the backend servers. A member of the view dispatches requests only while it
// holds a lease, which each sync request renews. A member has released a view once it
// has no requests in flight to servers that the view took from it; the view is settled
// once all have. Backend servers report their state by check-ins, and entry hosts
// receive changes of the routing document and the registry by watch requests. A hello is
// an Exchange request by which a control host announces the id of its data folder to the
// others.
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
	"gentianpond/internal/host/acceptor"
	"gentianpond/internal/protocol/messenger"
)

// defaultSnapshotEvery is the number of applied entries between snapshots. It keeps a
// restart after hundreds of changes within milliseconds.
const defaultSnapshotEvery = 1000

const (
	// defaultVoters lets the group survive the loss of one host.
	defaultVoters = 3
	// defaultGrace bounds a planned stop.
	defaultGrace = 6 * time.Second
	// defaultSilentAfter is five check-ins of the usual interval of 1.2 s; single
	// check-ins may be seconds late.
	defaultSilentAfter = 6 * time.Second
)

// ErrSettings reports settings that cannot be used.
var ErrSettings = errors.New("invalid control settings")

// Settings describe one control host.
type Settings struct {
	// Name identifies this host among the control hosts. In an open group it is the IP
	// address of Inner.
	Name string
	// Zone is the availability zone of this host.
	Zone string
	// Zones are the availability zones of the installation, by name, with the region of
	// each. It may be empty.
	Zones map[string]string
	// Inner is the address on which this host serves the other hosts.
	Inner netip.AddrPort
	// Data is the folder of the durable state.
	Data string
	// Hosts lists all control hosts, this one included. Without it the group is open:
	// hosts find each other through Seeds and through the members.
	Hosts []repairer.Host
	// Seeds are the inner addresses of control hosts of an open group. The host
	// at an address is named after its IP address.
	Seeds []netip.AddrPort
	// Bootstrap is true only at the very first start of an open group. The seeds are
	// then its first voters.
	Bootstrap bool
	// Voters is the number of voters that an open group keeps; 0 is 3.
	Voters int
	// Grace is how long a planned stop may take; 0 is 6 s. Most of it is only used while
	// another host takes over the vote of this one.
	Grace time.Duration
	// SilentAfter is how long a backend server may go without a check-in before the
	// registry marks it as silent; 0 is 6 s.
	SilentAfter time.Duration
	// SnapshotEvery is the least number of applied entries between snapshots; 0 is
	// 1,000. Snapshots of more than 1 MB are made less often.
	SnapshotEvery uint64
	// MemoryBytes and Files are the memory and the file descriptors of the host, of which the
	// connections of other hosts get a part. Without them the defaults of package acceptor apply.
	MemoryBytes int64
	Files       int
	// CheckDocument returns all faults of a configuration document. It must be the
	// same on all hosts; nil accepts every document.
	CheckDocument keeper.Validator
	// Listener is used in place of listening on Inner unless nil.
	Listener net.Listener
	// ServerOptions and DialOptions are added to those of the inner protocol.
	ServerOptions []grpc.ServerOption
	DialOptions   []grpc.DialOption

	// fileSystem is that of the operating system unless a test sets another one.
	fileSystem journaler.FileSystem
}

// normalize fills in defaults and returns all errors at once.
func (s *Settings) normalize() error {
	var errs []error
	failIf := func(bad bool, text string, args ...any) {
		if bad {
			errs = append(errs, errors.Wrapf(ErrSettings, text, args...))
		}
	}
	failIf(s.Name == "", "name is empty")
	failIf(s.Data == "", "data folder is empty")
	failIf(s.Listener == nil && !s.Inner.IsValid(), "inner address is missing")
	seen := map[string]bool{}
	for _, h := range s.Hosts {
		failIf(h.Name == "" || !h.Address.IsValid(), "host %q has no name or no address", h.Name)
		failIf(seen[h.Name], "host %q is listed twice", h.Name)
		seen[h.Name] = true
	}
	if s.isOpenGroup() {
		failIf(len(s.Seeds) == 0, "there are neither hosts nor seeds")
		failIf(s.Name != "" && s.Name != s.Inner.Addr().String(), "host %q of an open group is not named after its address %s", s.Name, s.Inner.Addr())
	} else {
		failIf(!seen[s.Name], "host %q is not among the control hosts", s.Name)
	}
	s.Voters = cmp.Or(s.Voters, defaultVoters)
	s.Grace = cmp.Or(s.Grace, defaultGrace)
	s.SilentAfter = cmp.Or(s.SilentAfter, defaultSilentAfter)
	s.DialOptions = append([]grpc.DialOption{messenger.FromAddress(s.Inner.Addr())}, s.DialOptions...)
	s.MemoryBytes = cmp.Or(s.MemoryBytes, acceptor.DefaultMemoryBytes)
	s.Files = cmp.Or(s.Files, acceptor.DefaultFiles)
	if s.fileSystem == nil {
		s.fileSystem = journaler.OSFileSystem{}
	}
	s.SnapshotEvery = cmp.Or(s.SnapshotEvery, defaultSnapshotEvery)
	return errors.Join(errs...)
}

// isOpenGroup reports whether the hosts of the group are found through seeds instead
// of listed.
func (s *Settings) isOpenGroup() bool { return len(s.Hosts) == 0 }

// hostByName returns the listed host of a name.
func (s *Settings) hostByName(name string) (repairer.Host, bool) {
	for _, h := range s.Hosts {
		if h.Name == name {
			return h, true
		}
	}
	return repairer.Host{}, false
}
