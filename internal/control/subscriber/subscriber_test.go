package subscriber

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/test/seeder"
)

func TestMain(m *testing.M) {
	seeder.SetDefaults(seeder.Defaults{Seed: 1, Checks: 1000})
	goleak.VerifyTestMain(m, goleak.Cleanup(os.Exit))
}

// fakeHost is a control host with scripted answers. Each call takes the next step
// of the script; the last step repeats.
type fakeHost struct {
	messenger.ControlClient
	mu     sync.Mutex
	script []step
	calls  []any
	times  []time.Time
}

// step is one scripted answer: an error, no answer, a redirect, a reply without a
// leader, or an answer as the leader.
type step struct {
	err    error
	silent bool // no answer until the caller's context ends
	delay  time.Duration
	leader string // address of the leader for a redirect
	grant  bool   // answer as the leader
	reply  *messenger.SyncReply
}

func (f *fakeHost) setScript(script ...step) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.script = script
}

func (f *fakeHost) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

func (f *fakeHost) nextStep(ctx context.Context, request any) (step, error) {
	f.mu.Lock()
	s := f.script[0]
	if len(f.script) > 1 {
		f.script = f.script[1:]
	}
	f.calls = append(f.calls, request)
	f.times = append(f.times, time.Now())
	f.mu.Unlock()
	if s.silent {
		<-ctx.Done()
		return s, ctx.Err()
	}
	if s.delay > 0 && !wait(ctx, s.delay) {
		return s, ctx.Err()
	}
	return s, s.err
}

func (f *fakeHost) Sync(ctx context.Context, r *messenger.SyncRequest, _ ...grpc.CallOption) (*messenger.SyncReply, error) {
	s, err := f.nextStep(ctx, r)
	if err != nil {
		return nil, err
	}
	if s.reply != nil {
		return s.reply, nil
	}
	return &messenger.SyncReply{Leader: s.leader, Granted: s.grant}, nil
}

func (f *fakeHost) orderReply(ctx context.Context, r any) (*messenger.OrderReply, error) {
	s, err := f.nextStep(ctx, r)
	reply := &messenger.OrderReply{Leader: s.leader}
	if s.grant {
		reply.Verdict = uint32(recorder.VerdictGranted)
	}
	return reply, err
}

func (f *fakeHost) Reserve(ctx context.Context, r *messenger.ReserveRequest, _ ...grpc.CallOption) (*messenger.OrderReply, error) {
	return f.orderReply(ctx, r)
}

func (f *fakeHost) Complete(ctx context.Context, r *messenger.CompleteRequest, _ ...grpc.CallOption) (*messenger.OrderReply, error) {
	return f.orderReply(ctx, r)
}

func (f *fakeHost) Suspect(ctx context.Context, r *messenger.SuspectRequest, _ ...grpc.CallOption) (*messenger.SuspectReply, error) {
	s, err := f.nextStep(ctx, r)
	return &messenger.SuspectReply{Leader: s.leader, Granted: s.grant}, err
}

var errRefused = errors.New("connection refused")

const (
	addrA = "127.0.0.1:1"
	addrB = "127.0.0.1:2"
	addrC = "127.0.0.1:3"
)

// harness is a Subscriber with three scripted control hosts.
type harness struct {
	*Subscriber
	a, b, c *fakeHost
	expired []time.Time
	cancel  context.CancelFunc
	done    chan error
}

func newHarness() *harness {
	r := &harness{a: &fakeHost{}, b: &fakeHost{}, c: &fakeHost{}, done: make(chan error, 1)}
	fakes := map[string]*fakeHost{addrA: r.a, addrB: r.b, addrC: r.c}
	var addresses []netip.AddrPort
	for _, addr := range []string{addrA, addrB, addrC} {
		fakes[addr].setScript(step{err: errRefused})
		addresses = append(addresses, netip.MustParseAddrPort(addr))
	}
	r.Subscriber = New(Config{
		Member:         assigner.Member{Name: "host", Incarnation: 5},
		Addresses:      addresses,
		OnLeaseExpired: func() { r.expired = append(r.expired, time.Now()) },
		Connect: func(addr netip.AddrPort) (messenger.ControlClient, io.Closer, error) {
			return fakes[addr.String()], nil, nil
		},
	})
	return r
}

func (r *harness) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	r.cancel = cancel
	go func() { r.done <- r.Run(ctx) }()
}

func (r *harness) stop(t *testing.T) {
	r.cancel()
	require.ErrorIs(t, <-r.done, context.Canceled)
}

// sleepAndSettle advances the fake clock by d and waits until all goroutines block.
func sleepAndSettle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// Guards against a lease that is counted from the reply instead of the request,
// and against a redirect that is not followed.
func TestLeaseCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		start := time.Now()
		r.a.setScript(step{leader: addrB})
		r.b.setScript(step{grant: true, delay: 300 * time.Millisecond}, step{silent: true})
		r.start(t)
		sleepAndSettle(400 * time.Millisecond)
		require.Equal(t, start.Add(MaxLease), r.State().LeaseEnd)
		require.True(t, r.State().LeaseCovers(start.Add(MaxLease-1)))
		require.False(t, r.State().LeaseCovers(start.Add(MaxLease)))
		r.stop(t)
	})
}

// Guards against a lease that expires although a new leader is available, while the
// old leader does not answer and another host still redirects to it.
func TestSilentLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		r.a.setScript(step{grant: true}, step{silent: true})
		r.b.setScript(step{leader: addrA}, step{leader: addrA}, step{leader: addrA}, step{leader: addrC})
		r.c.setScript(step{}, step{}, step{}, step{grant: true})
		r.start(t)
		for range 20 {
			sleepAndSettle(500 * time.Millisecond)
			require.True(t, r.State().LeaseCovers(time.Now()))
		}
		require.Empty(t, r.expired)
		require.Greater(t, r.c.callCount(), 5)
		r.stop(t)
	})
}

// Guards against a host that continues after the end of its lease, calls
// OnLeaseExpired twice for one lease, or never recovers.
func TestExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		start := time.Now()
		r.a.setScript(step{grant: true}, step{grant: true}, step{err: errRefused})
		r.start(t)
		sleepAndSettle(10 * time.Second)
		require.Equal(t, []time.Time{start.Add(syncInterval + MaxLease)}, r.expired)
		calls := r.a.callCount() + r.b.callCount() + r.c.callCount()
		// One round of 3 calls takes at least 250 ms.
		require.Less(t, calls, 130, "no back-off")
		r.c.setScript(step{grant: true}, step{err: errRefused})
		sleepAndSettle(maxRoundDelay)
		require.True(t, r.State().LeaseCovers(time.Now()))
		sleepAndSettle(5 * time.Second)
		require.Len(t, r.expired, 2)
		r.stop(t)
	})
}

// Guards against a repeated order request that names another attempt or keeps
// calling a host that is no longer the leader.
func TestOrdersFollowTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		r.a.setScript(step{silent: true}, step{err: errRefused})
		r.b.setScript(step{}, step{leader: addrC})
		r.c.setScript(step{leader: addrB}, step{grant: true})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		answer, err := r.ReserveOrder(ctx, OrderIntent{Key: "1-a", Attempt: "x", Fingerprint: 7, Retention: time.Hour})
		require.NoError(t, err)
		require.Equal(t, recorder.VerdictGranted, answer.Verdict)
		var calls []any
		for _, f := range []*fakeHost{r.a, r.b, r.c} {
			calls = append(calls, f.calls...)
		}
		require.Greater(t, len(calls), 4)
		for _, call := range calls {
			require.Same(t, calls[0], call)
		}
		_, err = r.CompleteOrder(ctx, OrderCompletion{Key: "1-a", Attempt: "x", Outcome: recorder.OutcomeRan})
		require.NoError(t, err)
	})
}

// Guards against a caller that waits longer than its deadline, and against a short
// deadline of one caller that makes all callers leave the leader.
func TestOrderUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 160*time.Millisecond)
		defer cancel()
		_, err := r.ReserveOrder(ctx, OrderIntent{Key: "1-a", Attempt: "x"})
		require.ErrorIs(t, err, ErrUnavailable)
		require.Equal(t, 160*time.Millisecond, time.Since(start))
		r.a.setScript(step{silent: true})
		before, _, _ := r.locator.currentHost()
		r.locator.redirect(before, addrA)
		ctx, cancel = context.WithTimeout(context.Background(), 160*time.Millisecond)
		defer cancel()
		_, err = r.ReserveOrder(ctx, OrderIntent{Key: "1-a", Attempt: "x"})
		require.ErrorIs(t, err, ErrUnavailable)
		target, _, _ := r.locator.currentHost()
		require.Equal(t, addrA, target.String(), "a short deadline moved all callers")
	})
}

// Guards against crash reports that are lost while there is no leader, repeated
// under new ids, or queued without bound.
func TestSuspects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		for i := range maxQueuedReports + 10 {
			require.Equal(t, i < maxQueuedReports, r.ReportObservation(quarantiner.Observation{Fingerprint: uint64(i)}))
		}
		require.EqualValues(t, 10, r.DroppedReports())
		r.start(t)
		sleepAndSettle(3 * time.Second)
		r.c.setScript(step{grant: true})
		sleepAndSettle(3 * time.Second)
		seen := map[string]uint64{}
		for _, call := range r.c.calls {
			request, ok := call.(*messenger.SuspectRequest)
			if !ok {
				continue
			}
			require.LessOrEqual(t, len(request.Observations), maxBatchReports)
			for _, o := range request.Observations {
				if f, ok := seen[o.Id]; ok {
					require.Equal(t, f, o.Fingerprint)
				}
				seen[o.Id] = o.Fingerprint
			}
		}
		require.Len(t, seen, maxQueuedReports)
		require.True(t, r.ReportObservation(quarantiner.Observation{ID: "mine"}))
		sleepAndSettle(time.Second)
		last := r.c.calls
		require.Condition(t, func() bool {
			for _, call := range last {
				if s, ok := call.(*messenger.SuspectRequest); ok && s.Observations[0].Id == "mine" {
					return true
				}
			}
			return false
		})
		r.stop(t)
	})
}

// Guards against a stopping host that renews its lease, or is added to the view
// again by a sync request that was in flight.
func TestLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		r.a.setScript(step{grant: true}, step{silent: true}, step{grant: true})
		r.start(t)
		sleepAndSettle(600 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		left := time.Now()
		require.NoError(t, r.Leave(ctx))
		require.Zero(t, time.Since(left), "waited for a sync in flight")
		require.False(t, r.State().LeaseCovers(time.Now()))
		calls := r.a.callCount()
		require.True(t, r.a.calls[calls-1].(*messenger.SyncRequest).Leaving)
		r.syncOnce(ctx)
		sleepAndSettle(10 * time.Second)
		require.Equal(t, calls, r.a.callCount(), "synced after it left")
		require.False(t, r.State().LeaseCovers(time.Now()))
		r.stop(t)
	})
}

// Guards against a renewed lease that is visible before the host acts on the new
// state.
func TestChangedBeforeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness()
		var held []bool
		var revisions []uint64
		r.config.OnChange = func(s State) {
			held = append(held, s.LeaseCovers(time.Now()), r.State().LeaseCovers(time.Now()))
			revisions = append(revisions, s.ConfigRevision, r.State().ConfigRevision)
		}
		r.a.setScript(step{reply: &messenger.SyncReply{Granted: true, Revision: 3, Document: []byte("{}")}})
		r.start(t)
		sleepAndSettle(5 * time.Second)
		require.Equal(t, []bool{false, false}, held)
		require.Equal(t, []uint64{3, 3}, revisions)
		r.stop(t)
	})
}

// Guards against replies that revert the state, or that renew the lease without
// bringing the host up to date. Script: testdata/merge.
func TestMerge(t *testing.T) {
	var s *Subscriber
	base := time.Unix(1_800_000_000, 0)
	datadriven.RunTest(t, "testdata/merge", func(t *testing.T, d *datadriven.TestData) string {
		if d.Cmd == "new" {
			s = New(Config{})
			return ""
		}
		var sent, revision, view, quarantine int
		var document string
		d.MaybeScanArgs(t, "sent", &sent)
		d.MaybeScanArgs(t, "revision", &revision)
		d.MaybeScanArgs(t, "view", &view)
		d.MaybeScanArgs(t, "quarantine", &quarantine)
		d.MaybeScanArgs(t, "document", &document)
		reply := &messenger.SyncReply{
			Revision: uint64(revision), Document: []byte(document), View: &messenger.View{Number: uint64(view)},
			Quarantine: uint64(quarantine), SuspectsSet: d.HasArg("suspects"), Settled: d.HasArg("settled"),
		}
		at := base.Add(time.Duration(sent) * time.Second)
		err := s.applySyncReply(reply, at, at)
		state := s.State()
		out := fmt.Sprintf("revision=%d document=%s view=%d settled=%t quarantine=%d", state.ConfigRevision, state.ConfigDocument,
			state.View.Number, state.Settled, state.QuarantineRevision)
		if !state.LeaseEnd.IsZero() {
			out += fmt.Sprintf(" lease=%d", int(state.LeaseEnd.Sub(base).Seconds()))
		}
		if err != nil {
			out += "\n" + err.Error()
		}
		return out + "\n"
	})
}

// Guards against a host that skips a member that it cannot decode and so has another
// view than the other hosts, and against a lease on such a view.
func TestInvalidView(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, members := range [][]*messenger.Member{
		{{Name: "a", Address: addrA}, {Name: "b", Address: "somewhere"}},
		{{Name: "a", Address: addrA}, {Name: "a", Address: addrB}},
		{{Address: addrA}},
	} {
		s := New(Config{})
		reply := &messenger.SyncReply{View: &messenger.View{Number: 1, Members: members}}
		require.ErrorIs(t, s.applySyncReply(reply, now, now), assigner.ErrInvalid)
		require.Zero(t, s.State().View.Number)
		require.Zero(t, s.State().LeaseEnd)
	}
}

// Guards against a revision that decreases, or a document that does not belong to
// the revision, for any order of replies.
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Config{})
		now := time.Unix(1_800_000_000, 0)
		for range rapid.IntRange(1, 20).Draw(t, "replies") {
			revision := rapid.Uint64Range(0, 6).Draw(t, "revision")
			reply := &messenger.SyncReply{Revision: revision, View: &messenger.View{Number: rapid.Uint64Range(0, 3).Draw(t, "view")}}
			if rapid.Bool().Draw(t, "with document") {
				reply.Document = fmt.Append(nil, revision)
			}
			now = now.Add(time.Second)
			before := s.State()
			err := s.applySyncReply(reply, now, now)
			after := s.State()
			require.GreaterOrEqual(t, after.ConfigRevision, before.ConfigRevision)
			require.GreaterOrEqual(t, after.View.Number, before.View.Number)
			if after.ConfigRevision > 0 {
				require.Equal(t, fmt.Sprint(after.ConfigRevision), string(after.ConfigDocument))
			}
			renewed := after.LeaseEnd.After(before.LeaseEnd)
			require.Equal(t, err == nil, renewed)
			if renewed {
				require.Equal(t, revision, after.ConfigRevision, "lease on a state that is not current")
			}
		}
	})
}

// Guards against suspicions that expire too late or too early on a host whose clock
// differs from the leader's.
func TestQuarantineClock(t *testing.T) {
	book := quarantiner.New(quarantiner.Limits{})
	leader := time.Unix(1_800_000_000, 0)
	book.Observe(leader, quarantiner.Observation{ID: "1", Fingerprint: 7, Archive: "orders", Crashed: true})
	local := leader.Add(-time.Hour)
	var reply messenger.SyncReply
	reply.Time = timestamppb.New(leader)
	for _, s := range book.Suspicions() {
		reply.Suspects = append(reply.Suspects, &messenger.Suspicion{Fingerprint: s.Fingerprint, State: uint32(s.State), Expiry: timestamppb.New(s.Expiry)})
	}
	for _, a := range book.Alerts() {
		reply.Alerts = append(reply.Alerts, &messenger.Alert{Archive: a.Archive, Crash: timestamppb.New(a.LastCrash)})
	}
	list := newQuarantineList(&reply, local)
	require.Equal(t, quarantiner.VerdictAlone, list.Verdict(7, local.Add(quarantiner.TTL-1)))
	require.Equal(t, quarantiner.VerdictRun, list.Verdict(7, local.Add(quarantiner.TTL)))
	require.True(t, list.HasAlert("orders", local.Add(quarantiner.TTL-1)))
	require.False(t, list.HasAlert("orders", local.Add(quarantiner.TTL)))
}

// controlServer serves a fakeHost over gRPC.
type controlServer struct {
	messenger.UnimplementedControlServer
	fake *fakeHost
}

func (s controlServer) Sync(ctx context.Context, r *messenger.SyncRequest) (*messenger.SyncReply, error) {
	return s.fake.Sync(ctx, r)
}

// Guards against a Subscriber that works with fakeHost but not over gRPC.
func TestOverGRPC(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f := &fakeHost{}
	f.setScript(step{reply: &messenger.SyncReply{Granted: true, Revision: 1, Document: []byte("{}")}})
	g := messenger.NewServer()
	messenger.RegisterControlServer(g, controlServer{fake: f})
	served := make(chan error, 1)
	go func() { served <- g.Serve(listener) }()
	changed := make(chan State, 1)
	s := New(Config{
		Member:    assigner.Member{Name: "host", Address: netip.MustParseAddrPort(addrA)},
		Addresses: []netip.AddrPort{listener.Addr().(*net.TCPAddr).AddrPort()},
		OnChange:  func(s State) { changed <- s },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	require.EqualValues(t, 1, (<-changed).ConfigRevision)
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	g.Stop()
	require.NoError(t, <-served)
}
