package server

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"gentianpond/internal/control/keeper"
	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

// duties does what is due without any event.
func (l *loop) duties(now time.Duration) {
	l.answerWatchers(now)
	if !l.leads() {
		l.greet(now)
		return
	}
	if now < l.dutyAt {
		return
	}
	l.dutyAt = now + duty
	l.maintainView(now)
	l.maintainMembers(now)
	l.noteSilent(now)
}

// greet announces this host's id to the others while it knows no leader: it
// may have a new id, or may have been removed without hearing of it.
func (l *loop) greet(now time.Duration) {
	if now < l.greetAt || (l.isMember() && l.status.Leader != 0) {
		return
	}
	l.greetAt = now + greeting
	for _, h := range l.greeted() {
		if h.Name != l.settings.Name {
			l.senders.send(h.Address, outgoing{name: h.Name})
		}
	}
}

func (l *loop) isMember() bool {
	for _, m := range l.status.Members {
		if m.ID == l.status.ID {
			return true
		}
	}
	return false
}

// maintainView proposes the next view, one at a time.
func (l *loop) maintainView(now time.Duration) {
	if l.viewing {
		return
	}
	c := l.roster.change(now, l.keeper.View(), l.keeper.ViewChanges)
	if c == nil {
		return
	}
	l.viewing = true
	l.propose(&messenger.Command{Action: &messenger.Command_View{View: c}}, func(_ keeper.Result, err error) {
		l.viewing = false
		l.logView(c, err)
	})
}

func (l *loop) logView(c *messenger.ViewChange, err error) {
	if err != nil {
		l.log.Warn("view not changed", "err", err)
		return
	}
	for _, m := range c.Add {
		l.log.Info("entry host joined", "host", m.GetName(), "incarnation", m.GetIncarnation())
	}
	for _, m := range c.Remove {
		l.log.Warn("entry host removed", "host", m.GetName(), "incarnation", m.GetIncarnation(), "reason", fmt.Sprintf("silent for %s", removal))
	}
	for _, m := range c.Leave {
		l.log.Info("entry host left", "host", m.GetName(), "incarnation", m.GetIncarnation())
	}
}

// maintainMembers takes the next step of a repair.
func (l *loop) maintainMembers(now time.Duration) {
	status := l.core.Status()
	plan := repairer.NextChange(l.limits(), l.hosts(), status, l.hellos.list(now))
	change, ok := plan.Change.Get()
	if !ok {
		l.noteRepair(plan.Reason)
		return
	}
	err := l.core.ProposeChange(now, change)
	if errors.Is(err, replicator.ErrNoCommitInTerm) || errors.Is(err, replicator.ErrPendingChange) {
		return
	}
	l.repair = plan.Reason
	if err != nil {
		l.log.Warn("membership not changed", "change", change.Kind, "host", change.Member.Name, "id", change.Member.ID, "err", err)
		return
	}
	l.log.Info("changing the membership", "change", change.Kind, "host", change.Member.Name, "id", change.Member.ID, "reason", plan.Reason)
}

// noteRepair logs why a repair waits, once for each member and cause: the
// numbers in the reason change all the time.
func (l *loop) noteRepair(reason string) {
	if withoutDigits(reason) != withoutDigits(l.repair) && reason != "" {
		l.log.Info("membership change waits", "reason", reason)
	}
	l.repair = reason
}

func withoutDigits(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' || r == 'm' || r == 'µ' || r == 'n' {
			return -1
		}
		return r
	}, s)
}

// logMembers reports the membership after a change. It is in force before it
// is committed, so that several committed changes may show the same one.
func (l *loop) logMembers() {
	var names []string
	for _, m := range l.core.Status().Members {
		kind := "learner"
		if m.Voter {
			kind = "voter"
		}
		names = append(names, fmt.Sprintf("%s=%s", m.Name, kind))
	}
	members := strings.Join(names, " ")
	if members != l.members {
		l.members = members
		l.log.Info("membership in force", "members", members)
	}
}
