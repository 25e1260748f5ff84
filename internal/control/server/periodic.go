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

// runPeriodicTasks does the work that is due without any event: held watch requests and
// the addresses of known hosts on every host, hellos on a host that does not lead, and maintenance on the leader.
func (l *loop) runPeriodicTasks(now time.Duration) {
	l.answerWatches(now)
	l.updateKnownHosts(now)
	if !l.isLeader() {
		l.sendHellos(now)
		return
	}
	if now < l.nextMaintenance {
		return
	}
	l.nextMaintenance = now + maintenanceInterval
	l.maintainView(now)
	l.maintainMembership(now)
	l.repeatVersionZero()
	l.markSilentServers(now)
}

// sendHellos announces this host's id to the others while it knows no leader: it may
// have a new id, or may have been removed without being told.
func (l *loop) sendHellos(now time.Duration) {
	if now < l.nextHello || (l.isMember() && l.status.Leader != 0) {
		return
	}
	l.nextHello = now + helloInterval
	for _, h := range l.helloReceivers() {
		if h.Name != l.settings.Name {
			l.senders.enqueue(h.Address, outgoingMessage{receiver: h.Name})
		}
	}
}

// isMember reports whether this host's id is in the membership.
func (l *loop) isMember() bool {
	for _, m := range l.status.Members {
		if m.ID == l.status.ID {
			return true
		}
	}
	return false
}

// maintainView proposes the next change of the view, one at a time.
func (l *loop) maintainView(now time.Duration) {
	if l.changingView {
		return
	}
	c := l.entryHosts.nextChange(now, l.keeper.View(), l.keeper.WouldChangeView)
	if c == nil {
		return
	}
	l.changingView = true
	l.propose(&messenger.Command{Action: &messenger.Command_View{View: c}}, func(_ keeper.Result, err error) {
		l.changingView = false
		l.logViewChange(c, err)
	})
}

// logViewChange logs the outcome of the proposal of c, which failed with err unless err
// is nil.
func (l *loop) logViewChange(c *messenger.ViewChange, err error) {
	if err != nil {
		l.log.Warn("view not changed", "err", err)
		return
	}
	for _, m := range c.Add {
		l.log.Info("entry host joined", "host", m.GetName(), "incarnation", m.GetIncarnation())
	}
	for _, m := range c.Remove {
		l.log.Warn("entry host removed", "host", m.GetName(), "incarnation", m.GetIncarnation(), "reason", fmt.Sprintf("silent for %s", removeAfter))
	}
	for _, m := range c.Leave {
		l.log.Info("entry host left", "host", m.GetName(), "incarnation", m.GetIncarnation())
	}
}

// maintainMembership proposes the next membership change of a repair.
func (l *loop) maintainMembership(now time.Duration) {
	status := l.core.Status()
	plan := repairer.NextChange(l.repairLimits(), l.controlHosts(), status, l.repairerHellos(now))
	change, ok := plan.Change.Get()
	if !ok {
		l.logRepairWait(plan.Reason)
		return
	}
	err := l.core.ProposeChange(now, change)
	if errors.Is(err, replicator.ErrNoCommitInTerm) || errors.Is(err, replicator.ErrPendingChange) {
		return
	}
	l.repairReason = plan.Reason
	if err != nil {
		l.log.Warn("membership not changed", "change", change.Kind, "host", change.Member.Name, "id", change.Member.ID, "err", err)
		return
	}
	l.log.Info("changing the membership", "change", change.Kind, "host", change.Member.Name, "id", change.Member.ID, "reason", plan.Reason)
}

// logRepairWait logs why a repair waits, once for each member and cause: the numbers
// in the reason change all the time.
func (l *loop) logRepairWait(reason string) {
	if withoutDigits(reason) != withoutDigits(l.repairReason) && reason != "" {
		l.log.Info("membership change is waiting", "reason", reason)
	}
	l.repairReason = reason
}

// withoutDigits removes the numbers and time units from a reason, so that reasons that
// differ only in these compare as equal.
func withoutDigits(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r == '.' || r == 'm' || r == 'µ' || r == 'n' {
			return -1
		}
		return r
	}, s)
}

// logMembers logs the membership after a change. It is in force before it is
// committed, so several committed changes may show the same one.
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
	if members != l.loggedMembers {
		l.loggedMembers = members
		l.log.Info("membership in force", "members", members)
	}
}
