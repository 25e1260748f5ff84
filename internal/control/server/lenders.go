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
	// claimed is sent to hosts that know no lender while this leader has led for too short a
	// time to decide.
	claimed            *messenger.Lending
	claimedFingerprint uint64
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
	report := allotter.HostReport{Name: r.GetHost(), Zone: r.GetZone(), Position: int(r.GetLends()) - 1, Fleet: int(r.GetFleet()), Informed: r.GetLending() != 0}
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
		t.claimed, t.claimedFingerprint = nil, 0
		if claimed := t.roster.Claimed(now); t.wanted && len(claimed) > 0 {
			t.claimed, _, t.claimedFingerprint = encodeLenders(claimed)
		}
		return
	}
	lending, digest, fingerprint := encodeLenders(l.Lenders)
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

// encodeLenders returns the message with a list of lenders, the digest of the list and its
// fingerprint, which is not 0.
func encodeLenders(list []allotter.Lender) (*messenger.Lending, *xxhash.Digest, uint64) {
	m := &messenger.Lending{}
	digest := xxhash.New()
	for _, lender := range list {
		m.Lenders = append(m.Lenders, &messenger.Lender{Address: lender.Address.String(), Position: uint32(lender.Position)})
		_, _ = fmt.Fprintln(digest, lender.Address, lender.Position)
	}
	return m, digest, max(digest.Sum64(), 1)
}

// current returns what the host that sent a request is told, with its fingerprint.
func (t *lenderTracker) current(r *messenger.WatchRequest) (*messenger.Lending, uint64) {
	switch {
	case t.lending == nil && r.GetLending() == 0:
		return t.claimed, t.claimedFingerprint
	case t.roster.IsLender(r.GetHost()):
		return t.full, t.fullFingerprint
	}
	return t.lending, t.lendingFingerprint
}

// isNews reports whether a host that has accounts lacks the lenders.
func (t *lenderTracker) isNews(r *messenger.WatchRequest) bool {
	_, fingerprint := t.current(r)
	return r.GetAccounts() && fingerprint != 0 && fingerprint != r.GetLending()
}

// addTo adds the lenders to the reply to a host that has accounts.
func (t *lenderTracker) addTo(reply *messenger.WatchReply, r *messenger.WatchRequest) {
	if !r.GetAccounts() {
		return
	}
	lending, fingerprint := t.current(r)
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
