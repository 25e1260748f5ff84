// Package lender takes requests from the allowances of client accounts: at this host, or with
// a message to the host that grants the requests of the account to all entry hosts. It also
// serves these messages. Package allotter has the rules.
package lender

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"gentianpond/internal/host/delegator"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/allotter"
	"gentianpond/internal/route/pacer"
	"gentianpond/internal/route/router"
)

const (
	// askTime bounds the time in which lenders are asked for one request. The backup is asked
	// as well once the lender has not replied for hedgeTime.
	askTime   = 30 * time.Millisecond
	hedgeTime = 10 * time.Millisecond
	// giveTime bounds the time to return requests.
	giveTime = 200 * time.Millisecond
	// checkInterval is how often the contact with the control hosts and the connections to
	// lenders are checked.
	checkInterval = 250 * time.Millisecond
	// connectsPerCheck is the number of connections that are opened at a time, so that a
	// new lender with a fifth of a core is not called by the whole fleet at once.
	connectsPerCheck = 2
	// logInterval is the least time between two lines about lenders that do not reply.
	logInterval = time.Second
	// bufferBytes is the size of the buffers of a connection, whose messages are small.
	bufferBytes = 4 << 10
	// pingInterval and pingTimeout detect a connection that is broken.
	pingInterval = 10 * time.Second
	pingTimeout  = time.Second
)

// Config holds the settings of a lender.
type Config struct {
	// Address is where this host serves others. It is not valid if it serves none.
	Address netip.AddrPort
	// Bounds are what the platform allows beyond the limits; zero means the defaults.
	Bounds allotter.Bounds
	// ContactAt returns the time of the last contact with the control hosts.
	ContactAt func() time.Time
	Log       *log.Logger
	Scope     tally.Scope
}

// Lender implements relayer.Allowances. Use New. It is safe for concurrent use.
type Lender struct {
	config Config
	conns  messenger.Conns
	// giving wakes Run when there is something to give back.
	giving chan struct{}
	// askTime is askTime except in tests.
	askTime time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	allotter *allotter.Allotter
	// table is the routing table whose limits are in force.
	table     *router.Table
	hasLimits bool
	// stopping is set by StopLending.
	stopping bool
	// lenders and callers are the hosts that this one may ask and that may ask it.
	lenders []allotter.Lender
	callers map[netip.Addr]struct{}
	// connected holds the lenders to which connections are kept.
	connected map[netip.AddrPort]struct{}
	// gifts counts the requests to give back.
	gifts map[gift]int
	// mode is the mode in the last line of the log, and failureLoggedAt the time of the last
	// line about a lender that did not reply.
	mode            allotter.Mode
	failureLoggedAt time.Time
}

// gift identifies to whom requests are given back.
type gift struct {
	address netip.AddrPort
	account string
	backup  bool
}

// New returns a lender that knows no accounts.
func New(c Config) *Lender {
	if c.Bounds.Window <= 0 {
		c.Bounds = allotter.DefaultBounds
	}
	l := &Lender{
		config: c, askTime: askTime, giving: make(chan struct{}, 1), allotter: allotter.New(c.Address, c.Bounds), callers: map[netip.Addr]struct{}{},
		connected: map[netip.AddrPort]struct{}{}, gifts: map[gift]int{},
	}
	l.conns.DialOptions = []grpc.DialOption{
		grpc.WithContextDialer(delegator.NewDialer(c.Address)), grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
	return l
}

// Update replaces the limits, the lenders, the hosts that may call this one, and its place
// among the entry hosts.
func (l *Lender) Update(table *router.Table, lending allotter.Lending, callers []netip.Addr, position pacer.Position) {
	now, contactAt := time.Now(), l.config.ContactAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Contact(now, contactAt)
	l.allotter.Move(now, position)
	if table != nil && table != l.table {
		limits := map[string]allotter.Limit{}
		for _, a := range table.Accounts() {
			if a.Rate > 0 {
				limits[a.Name] = allotter.Limit{Rate: a.Rate, Burst: a.Burst}
			}
		}
		l.table, l.hasLimits = table, len(limits) > 0
		l.allotter.SetLimits(now, limits)
	}
	if !l.hasLimits {
		return
	}
	if lending.Known {
		l.setLending(now, lending)
	}
	clear(l.callers)
	for _, a := range callers {
		l.callers[a] = struct{}{}
	}
}

// setLending replaces the lenders.
func (l *Lender) setLending(now time.Time, lending allotter.Lending) {
	changed := !slices.Equal(lending.Lenders, l.lenders)
	l.allotter.SetLending(now, lending)
	l.lenders = lending.Lenders
	if changed {
		l.config.Log.Info("lenders of client accounts changed", "lenders", len(l.lenders), "lends", l.allotter.IsLender(),
			"hosts", lending.Hosts, "absent", lending.Absent)
	}
}

// HasLimits implements subscriber.LendingLearner.
func (l *Lender) HasLimits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasLimits
}

// KnowsLending implements subscriber.LendingLearner.
func (l *Lender) KnowsLending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allotter.KnowsLending()
}

// StopLending prepares for the end of this process: the control hosts are told to let others
// lend, and until then it goes on.
func (l *Lender) StopLending() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopping = true
}

// MayLend implements subscriber.LendingLearner. The control hosts may name another lender as
// soon as they hear that it returned false.
func (l *Lender) MayLend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopping {
		l.allotter.Retire()
	}
	return !l.stopping && l.config.Address.IsValid()
}

// Ready reports whether requests of accounts with a limit can be granted.
func (l *Lender) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.hasLimits || l.allotter.KnowsLending()
}

// Take implements relayer.Allowances.
func (l *Lender) Take(ctx context.Context, a *router.Account, late bool) (wait time.Duration, ok bool) {
	now := time.Now()
	end := now.Add(l.askTime)
	steps, wait, quiet := l.steps(now, a.Name)
	if quiet {
		l.config.Scope.Counter("refused").Inc(1)
		return wait, false
	}
	if len(steps) == 0 {
		return l.takeOwn(a.Name, 0)
	}
	verdict, wait := l.takeLent(ctx, steps, a.Name, late, end)
	switch verdict {
	case allotter.Granted:
		l.config.Scope.Counter("granted").Inc(1)
		return 0, true
	case allotter.Refused:
		l.config.Scope.Counter("refused").Inc(1)
		return wait, false
	}
	return l.takeOwn(a.Name, wait)
}

// steps returns the attempts to take a request, or the time to wait if there are to be none.
func (l *Lender) steps(now time.Time, account string) (steps []allotter.Step, wait time.Duration, quiet bool) {
	contactAt := l.config.ContactAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Contact(now, contactAt)
	if wait, quiet := l.allotter.Quiet(now, account); quiet {
		return nil, wait, true
	}
	return l.allotter.Steps(now, account), 0, false
}

// takeOwn takes a request from this host's own share. The caller waits for the backup of the
// lender if that refused the request.
func (l *Lender) takeOwn(account string, wait time.Duration) (time.Duration, bool) {
	now := time.Now()
	l.mu.Lock()
	own, ok := l.allotter.Take(now, account)
	l.mu.Unlock()
	if ok {
		l.config.Scope.Counter("fallen_back").Inc(1)
		return 0, true
	}
	l.config.Scope.Counter("refused").Inc(1)
	if wait == 0 {
		wait = own
	}
	return wait, false
}

// try makes one attempt to take a request until a time.
func (l *Lender) try(ctx context.Context, s allotter.Step, account string, late bool, until time.Time) (allotter.Verdict, time.Duration) {
	if s.Here {
		return l.lend(account, s.Backup, late)
	}
	l.mu.Lock()
	l.allotter.Asking(time.Now(), s.Address)
	l.mu.Unlock()
	l.config.Scope.Counter("asked").Inc(1)
	callCtx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	reply, err := l.ask(callCtx, s, account, late)
	switch {
	case err == nil:
		l.recordAnswer(s.Address)
		verdict, wait := allotter.Verdict(reply.GetVerdict()), reply.GetWait().AsDuration()
		if verdict == allotter.Refused && !s.Backup && !late {
			l.recordRefusal(account, wait)
		}
		return verdict, wait
	case status.Code(err) == codes.PermissionDenied:
		// The lender was not yet told of this host.
		l.recordAnswer(s.Address)
	case ctx.Err() == nil:
		l.recordFailure(s.Address, err)
	}
	return allotter.NotLender, 0
}

// ask sends a request for an allowance.
func (l *Lender) ask(ctx context.Context, s allotter.Step, account string, late bool) (*messenger.TakeReply, error) {
	conn, err := l.conns.Get(s.Address)
	if err != nil {
		return nil, err
	}
	return messenger.NewRelayClient(conn).Take(ctx, &messenger.TakeRequest{Account: account, Backup: s.Backup, Apart: l.isApart(), Late: late})
}

// isApart reports whether this host is out of touch with the control hosts.
func (l *Lender) isApart() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allotter.Mode(time.Now()) != allotter.InTouch
}

// recordAnswer records that a lender replied.
func (l *Lender) recordAnswer(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allotter.Answered(time.Now(), address) {
		l.config.Log.Info("lender replies again", "host", address)
	}
}

// recordRefusal records that the lender of an account refused a request.
func (l *Lender) recordRefusal(account string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Refused(time.Now(), account, wait)
}

// recordFailure records that a lender did not reply.
func (l *Lender) recordFailure(address netip.AddrPort, err error) {
	l.config.Scope.Counter("unanswered").Inc(1)
	now := time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.allotter.Failed(now, address) && now.Sub(l.failureLoggedAt) >= logInterval {
		l.failureLoggedAt = now
		l.config.Log.Warn("lender does not reply", "host", address, "err", err)
	}
}

// lend grants a request as the lender of the account or its backup.
func (l *Lender) lend(account string, backup, late bool) (allotter.Verdict, time.Duration) {
	now, contactAt := time.Now(), l.config.ContactAt()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Contact(now, contactAt)
	return l.allotter.Lend(now, account, backup, late)
}

// Return implements relayer.Allowances. A request that was granted elsewhere than where it is
// given back is still granted once less.
func (l *Lender) Return(a *router.Account) {
	now, contactAt := time.Now(), l.config.ContactAt()
	l.config.Scope.Counter("returned").Inc(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allotter.Contact(now, contactAt)
	steps := l.allotter.Steps(now, a.Name)
	if len(steps) == 0 {
		l.allotter.RestoreOwn(now, a.Name)
		return
	}
	l.giveTo(now, steps[0], a.Name)
}

// giveTo gives a request back. The caller holds the mutex.
func (l *Lender) giveTo(now time.Time, s allotter.Step, account string) {
	if s.Here {
		l.allotter.Restore(now, account, 1, s.Backup)
		return
	}
	l.gifts[gift{s.Address, account, s.Backup}]++
	select {
	case l.giving <- struct{}{}:
	default:
	}
}
