package server

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
)

// lenderTracker tells entry hosts which of them grant the requests of client accounts, if
// they have accounts.
type lenderTracker struct {
	roster *allotter.Roster
	// wanted is true once a host with accounts has watched.
	wanted bool
	// lending is sent to hosts and full to lenders, who also get the addresses of callers.
	// The fingerprints are 0 while they are unknown.
	lending, full                       *messenger.Lending
	lendingFingerprint, fullFingerprint uint64
}

// newLenderTracker returns the tracker of a leader that begins to receive watch requests at
// now.
func newLenderTracker(now time.Duration) *lenderTracker {
	return &lenderTracker{roster: allotter.NewRoster(now)}
}

// record records a watch request that arrived at now.
func (t *lenderTracker) record(now time.Duration, r *messenger.WatchRequest) {
	// A request that seeks the leader does not describe the host.
	if r.GetSeek() {
		t.roster.Touch(now, r.GetHost())
		return
	}
	t.wanted = t.wanted || r.GetAccounts()
	report := allotter.HostReport{Name: r.GetHost(), Zone: r.GetZone(), Position: int(r.GetLends()) - 1, Fleet: int(r.GetFleet())}
	// Hosts of the release before accounts do not lend.
	if address, err := netip.ParseAddrPort(r.GetPeer()); err == nil && r.GetLender() {
		report.Address = address
	}
	t.roster.Report(now, report)
}

// update brings the lenders up to date.
func (t *lenderTracker) update(now time.Duration, logger *log.Logger) {
	l, known := t.roster.Lending(now)
	if !known || !t.wanted {
		t.lending, t.full, t.lendingFingerprint, t.fullFingerprint = nil, nil, 0, 0
		return
	}
	lending := &messenger.Lending{}
	digest := xxhash.New()
	for _, lender := range l.Lenders {
		lending.Lenders = append(lending.Lenders, &messenger.Lender{Address: lender.Address.String(), Position: uint32(lender.Position)})
		_, _ = fmt.Fprintln(digest, lender.Address, lender.Position)
	}
	fingerprint := max(digest.Sum64(), 1)
	if fingerprint != t.lendingFingerprint && len(lending.GetLenders()) > 0 {
		logger.Info("lenders of client accounts changed", "lenders", len(lending.GetLenders()), "hosts", l.Hosts, "absent", l.Absent)
	}
	full := &messenger.Lending{Lenders: lending.GetLenders(), Hosts: uint32(l.Hosts), Absent: uint32(l.Absent)}
	_, _ = fmt.Fprintln(digest, l.Hosts, l.Absent)
	for _, address := range t.roster.Addresses(now) {
		full.Callers = append(full.Callers, address.Addr().String())
	}
	full.Callers = slices.Compact(full.Callers)
	for _, caller := range full.GetCallers() {
		_, _ = fmt.Fprintln(digest, caller)
	}
	t.lending, t.lendingFingerprint = lending, fingerprint
	t.full, t.fullFingerprint = full, max(digest.Sum64(), 1)
}

// current returns what a host is told, with its fingerprint.
func (t *lenderTracker) current(host string) (*messenger.Lending, uint64) {
	if t.roster.IsLender(host) {
		return t.full, t.fullFingerprint
	}
	return t.lending, t.lendingFingerprint
}

// isNews reports whether a host that has accounts lacks the lenders.
func (t *lenderTracker) isNews(r *messenger.WatchRequest) bool {
	_, fingerprint := t.current(r.GetHost())
	return r.GetAccounts() && fingerprint != 0 && fingerprint != r.GetLending()
}

// addTo adds the lenders to the reply to a host that has accounts.
func (t *lenderTracker) addTo(reply *messenger.WatchReply, r *messenger.WatchRequest) {
	if !r.GetAccounts() {
		return
	}
	lending, fingerprint := t.current(r.GetHost())
	reply.Lending = fingerprint
	if fingerprint != r.GetLending() {
		reply.Lent = lending
	}
}

// markHeld returns a function that tells the host how long its request was held, so that it
// knows when it was last in contact, and then calls done.
func (l *loop) markHeld(arrived time.Duration, r *messenger.WatchRequest, done func(*messenger.WatchReply, error)) func(*messenger.WatchReply, error) {
	return func(reply *messenger.WatchReply, err error) {
		if reply.GetGranted() {
			now := l.now()
			reply.Held = durationpb.New(now - arrived)
			l.watchingHosts.lenders.roster.Touch(now, r.GetHost())
		}
		done(reply, err)
	}
}
