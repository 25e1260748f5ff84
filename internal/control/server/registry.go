package server

import (
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// attendance is the leader's memory of check-ins. Renewals are not written to
// the log, so that a new leader starts with an empty one.
type attendance struct {
	// since is when this host began to listen as the leader.
	since time.Duration
	heard map[string]time.Duration
}

func newAttendance(now time.Duration) *attendance {
	return &attendance{since: now, heard: map[string]time.Duration{}}
}

// note records a check-in.
func (a *attendance) note(now time.Duration, server string) { a.heard[server] = now }

// pause accounts for a time in which this host heard nobody because it did not
// run.
func (a *attendance) pause(now time.Duration) { a.since = now }

// silent returns the ready servers without a check-in for longer than silence.
// When fewer than half of the servers were heard in that time, the fault is
// more likely this host's own link than the servers', and none is returned.
func (a *attendance) silent(now, silence time.Duration, registry *registrar.Registry) []registrar.Server {
	var list []registrar.Server
	known, heard := 0, 0
	registry.EachPresent(func(s registrar.Server) {
		known++
		at, ok := a.heard[s.Name]
		if ok && now-at <= silence {
			heard++
		}
		if s.State == registrar.Ready && now-max(at, a.since) > silence {
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

// enrolment is a check-in that waits for the log.
type enrolment struct {
	message *messenger.Registration
	done    func(*messenger.RegisterReply, error)
}

// register takes a check-in. What changes the registry is acknowledged when it
// is committed; the changes of one round of the loop share a command.
func (l *loop) register(r *messenger.RegisterRequest, done func(*messenger.RegisterReply, error)) {
	if !l.leads() {
		done(&messenger.RegisterReply{Leader: l.leader()}, nil)
		return
	}
	s, err := registrar.FromMessage(r.GetRegistration())
	if err != nil {
		done(nil, errors.Wrap(errInvalid, err.Error()))
		return
	}
	if s.State != registrar.Gone {
		l.attendance.note(l.now(), s.Name)
	}
	verdict := l.keeper.Registry().Classify(s)
	if verdict != registrar.VerdictChange {
		l.scope.Tagged(map[string]string{"verdict": verdict.String()}).Counter("checkins").Inc(1)
		done(&messenger.RegisterReply{Granted: true}, nil)
		return
	}
	l.log.Info("backend server changed", "server", s.Name, "service", s.Service, "address", s.Address, "state", s.State,
		"incarnation", s.Incarnation, "sequence", s.Sequence)
	l.enrolments = append(l.enrolments, enrolment{message: r.GetRegistration(), done: done})
}

// enrol proposes the check-ins of this round.
func (l *loop) enrol() {
	if len(l.enrolments) == 0 {
		return
	}
	list := l.enrolments
	l.enrolments = nil
	c := &messenger.Registrations{}
	for _, e := range list {
		c.List = append(c.List, e.message)
	}
	l.propose(&messenger.Command{Action: &messenger.Command_Register{Register: c}}, func(_ keeper.Result, err error) {
		for _, e := range list {
			switch {
			case errors.Is(err, replicator.ErrNotLeader):
				e.done(&messenger.RegisterReply{Leader: l.leader()}, nil)
			case err != nil:
				e.done(nil, proposeError(err))
			default:
				e.done(&messenger.RegisterReply{Granted: true}, nil)
			}
		}
	})
}

// noteSilent marks servers that stopped checking in.
func (l *loop) noteSilent(now time.Duration) {
	if l.silencing {
		return
	}
	list := l.attendance.silent(now, l.settings.Silence, l.keeper.Registry())
	if len(list) == 0 {
		return
	}
	c := &messenger.Registrations{}
	for _, s := range list {
		l.log.Warn("backend server is silent", "server", s.Name, "incarnation", s.Incarnation, "after", l.settings.Silence)
		c.List = append(c.List, s.Message())
	}
	l.silencing = true
	l.propose(&messenger.Command{Action: &messenger.Command_Register{Register: c}}, func(_ keeper.Result, err error) {
		l.silencing = false
		if err != nil {
			l.log.Warn("silent backend servers not noted", "err", err)
		}
	})
}
