package server

import (
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// checkInTracker holds the times of the check-ins that this host received as the
// leader. Renewals are not written to the log, so a new leader starts with an empty
// one.
type checkInTracker struct {
	// listeningSince is when this host began to receive check-ins as the leader, or
	// resumed after a pause.
	listeningSince time.Duration
	// lastCheckIn holds the loop's time of the latest check-in by server name.
	lastCheckIn map[string]time.Duration
	// coldEnds holds until when each server is cold, as the entry hosts know it, by name.
	coldEnds map[string]coldEnd
}

// newCheckInTracker returns the tracker of a leader that begins to receive check-ins at
// now.
func newCheckInTracker(now time.Duration) *checkInTracker {
	return &checkInTracker{listeningSince: now, lastCheckIn: map[string]time.Duration{}, coldEnds: map[string]coldEnd{}}
}

// recordCheckIn records that a check-in of the named backend server arrived at now.
func (t *checkInTracker) recordCheckIn(now time.Duration, server string) { t.lastCheckIn[server] = now }

// resetSilence makes silence count from now, after a pause in which this host did not
// run and so received nothing.
func (t *checkInTracker) resetSilence(now time.Duration) { t.listeningSince = now }

// silentServers returns the ready servers without a check-in for longer than silence.
// When fewer than half of the servers checked in during that time, the fault is more
// likely this host's own link than the servers', and none is returned.
func (t *checkInTracker) silentServers(now, silence time.Duration, registry *registrar.Registry) []registrar.Server {
	var list []registrar.Server
	known, heard := 0, 0
	registry.EachPresent(func(s registrar.Server) {
		known++
		at, ok := t.lastCheckIn[s.Name]
		if ok && now-at <= silence {
			heard++
		}
		if s.State == registrar.Ready && now-max(at, t.listeningSince) > silence {
			list = append(list, registrar.Server{
				Name: s.Name, Incarnation: s.Incarnation, Sequence: s.Sequence, State: registrar.Silent,
			})
		}
	})
	if 2*heard < known {
		return nil
	}
	return list
}

// pendingCheckIn is a check-in that has not been proposed yet. done sends the reply
// once the check-in is committed or the proposal has failed.
type pendingCheckIn struct {
	// message is the registration that the check-in carries.
	message *messenger.Registration
	done    func(*messenger.RegisterReply, error)
}

// handleCheckIn handles a check-in. One that changes the registry is acknowledged when
// it is committed; the changes of one iteration of the loop share a command.
func (l *loop) handleCheckIn(r *messenger.RegisterRequest, done func(*messenger.RegisterReply, error)) {
	if !l.isLeader() {
		done(&messenger.RegisterReply{Leader: l.leaderAddress()}, nil)
		return
	}
	s, err := registrar.FromMessage(r.GetRegistration())
	if err == nil {
		err = s.Check()
	}
	if err != nil {
		done(nil, errors.Wrap(errInvalid, err.Error()))
		return
	}
	if s.State != registrar.Gone {
		l.checkIns.recordCheckIn(l.now(), s.Name)
	}
	verdict := l.classify(s)
	if verdict != registrar.VerdictChange {
		l.scope.Tagged(map[string]string{"verdict": verdict.String()}).Counter("checkins").Inc(1)
		done(&messenger.RegisterReply{Granted: true}, nil)
		return
	}
	l.log.Info("backend server registration changed", "server", s.Name, "service", s.Service, "address", s.Address, "state", s.State,
		"incarnation", s.Incarnation, "sequence", s.Sequence)
	l.pendingCheckIns = append(l.pendingCheckIns, pendingCheckIn{message: r.GetRegistration(), done: done})
}

// markLeaving records servers that told an entry host that they are about to stop as
// draining, as if they had said so in a check-in. Their later check-ins as ready change
// nothing.
func (l *loop) markLeaving(list []*messenger.Process, done func(*messenger.SuspectReply, error)) {
	if !l.isLeader() {
		done(&messenger.SuspectReply{Leader: l.leaderAddress()}, nil)
		return
	}
	for _, p := range list {
		s, ok := l.keeper.Registry().Get(p.GetServer())
		if !ok || s.Incarnation != p.GetIncarnation() || s.State != registrar.Ready && s.State != registrar.Silent {
			continue
		}
		s.State = registrar.Draining
		s.Sequence++
		l.log.Info("backend server told an entry host that it is leaving", "server", s.Name, "service", s.Service, "incarnation", s.Incarnation)
		l.pendingCheckIns = append(l.pendingCheckIns, pendingCheckIn{message: s.Message(), done: func(*messenger.RegisterReply, error) {}})
	}
	done(&messenger.SuspectReply{Granted: true}, nil)
}

// proposeCheckIns proposes the pending check-ins as one command.
func (l *loop) proposeCheckIns() {
	if len(l.pendingCheckIns) == 0 {
		return
	}
	list := l.pendingCheckIns
	l.pendingCheckIns = nil
	c := &messenger.Registrations{}
	for _, e := range list {
		c.List = append(c.List, e.message)
	}
	l.propose(&messenger.Command{Action: &messenger.Command_Register{Register: c}}, func(_ keeper.Result, err error) {
		for _, e := range list {
			if err != nil {
				delete(l.checkIns.coldEnds, e.message.GetServer())
			}
			switch {
			case errors.Is(err, replicator.ErrNotLeader):
				e.done(&messenger.RegisterReply{Leader: l.leaderAddress()}, nil)
			case err != nil:
				e.done(nil, proposalStatus(err))
			default:
				e.done(&messenger.RegisterReply{Granted: true}, nil)
			}
		}
	})
}

// markSilentServers proposes to mark the servers that stopped checking in as silent.
func (l *loop) markSilentServers(now time.Duration) {
	if l.markingSilent {
		return
	}
	list := l.checkIns.silentServers(now, l.settings.SilentAfter, l.keeper.Registry())
	if len(list) == 0 {
		return
	}
	c := &messenger.Registrations{}
	for _, s := range list {
		l.log.Warn("backend server is silent", "server", s.Name, "incarnation", s.Incarnation, "after", l.settings.SilentAfter)
		c.List = append(c.List, s.Message())
	}
	l.markingSilent = true
	l.propose(&messenger.Command{Action: &messenger.Command_Register{Register: c}}, func(_ keeper.Result, err error) {
		l.markingSilent = false
		if err != nil {
			l.log.Warn("silent backend servers not marked", "err", err)
		}
	})
}
