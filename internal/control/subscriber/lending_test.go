package subscriber

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
)

// fakeLending is a LendingLearner.
type fakeLending struct{ limits, knows, stopping bool }

func (f *fakeLending) HasLimits() bool    { return f.limits }
func (f *fakeLending) KnowsLending() bool { return f.knows }
func (f *fakeLending) MayLend() bool      { return !f.stopping }

// TestLending guards against a host that takes a late reply for contact, that keeps lenders
// which may have been replaced, or that does not tell a new leader that it lends.
func TestLending(t *testing.T) {
	own := netip.MustParseAddrPort("10.0.0.1:1")
	learner := &fakeLending{limits: true, knows: true}
	changes := 0
	w := NewWatcher(WatcherConfig{Host: "h", Peer: Peer{Address: own}, Lending: learner, Log: log.New(io.Discard),
		OnChange: func(RoutingState) { changes++ }})
	request := func() *messenger.WatchRequest {
		r := &messenger.WatchRequest{}
		w.addLending(r)
		return r
	}
	reply := &messenger.WatchReply{Granted: true, Lending: 5, Held: durationpb.New(time.Second), Lent: &messenger.Lending{
		Lenders: []*messenger.Lender{{Address: "10.0.0.2:1"}, {Address: own.String(), Position: 3}}, Hosts: 7, Absent: 2, Callers: []string{"10.0.0.9", "odd"}}}
	receive := func(sent time.Time) {
		w.noteContact(sent, reply)
		w.applyWatchReply(reply, time.Now())
	}
	sent := time.Now().Add(-2 * time.Second)
	receive(sent)
	s := w.State()
	require.Equal(t, sent.Add(time.Second), s.ContactAt)
	require.Equal(t, allotter.Lending{Known: true, Hosts: 7, Absent: 2,
		Lenders: []allotter.Lender{{Address: netip.MustParseAddrPort("10.0.0.2:1")}, {Address: own, Position: 3}}}, s.Lending)
	require.Equal(t, []netip.Addr{netip.MustParseAddr("10.0.0.9")}, s.Callers)
	r := request()
	require.True(t, r.GetAccounts() && r.GetLender())
	require.EqualValues(t, 5, r.GetLending())
	require.EqualValues(t, 4, r.GetLends())
	require.EqualValues(t, 9, r.GetFleet())

	learner.stopping = true
	r = request()
	require.False(t, r.GetLender())
	require.Zero(t, r.GetLends())
	learner.stopping = false

	// The same lenders again, and a leader that does not know them yet, change nothing.
	receive(time.Now().Add(-time.Second))
	reply.Lending, reply.Lent = 0, nil
	receive(time.Now().Add(-time.Second))
	require.Equal(t, 1, changes)
	require.True(t, w.State().Lending.Known)

	learner.knows = false
	r = request()
	require.Zero(t, r.GetLending())
	require.Zero(t, r.GetLends())
	require.False(t, w.State().Lending.Known)

	// A reply after a loss of contact makes no use of older lenders.
	learner.knows = true
	reply.Lending, reply.Lent = 6, &messenger.Lending{Hosts: 1}
	receive(time.Now().Add(-time.Second))
	require.True(t, w.State().Lending.Known)
	reply.Lending, reply.Lent = 0, nil
	receive(time.Now().Add(allotter.TouchTime))
	require.False(t, w.State().Lending.Known)
	require.Zero(t, w.firstHold(time.Second))
	learner.limits = false
	require.False(t, request().GetAccounts())
	require.Equal(t, time.Second, w.firstHold(time.Second))
}
