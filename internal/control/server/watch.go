package server

import (
	"time"

	"gentianpond/internal/protocol/messenger"
)

const (
	// maxWatchWait is the longest time for which a watch request is held.
	maxWatchWait = 2 * time.Second
	// watchRetention is how long an entry host counts as watching after its last
	// request. It covers a held request and the time until the next one arrives.
	watchRetention = maxWatchWait + 2*time.Second
	// minWatchInterval is the least time between two checks of the held requests, so
	// that changes that come together are sent together. watchIntervalPerHost is what
	// each entry host adds to it, because a change is sent to all of them.
	minWatchInterval     = 40 * time.Millisecond
	watchIntervalPerHost = time.Millisecond
)

// heldWatch is a watch request that is answered at holdUntil or when there is news. done
// sends the reply.
type heldWatch struct {
	// request names the versions that the entry host already has.
	request *messenger.WatchRequest
	// holdUntil is the loop's time at which the request is answered even without news.
	holdUntil time.Duration
	done      func(*messenger.WatchReply, error)
}

// handleWatch holds a request until there is news for it. A request that seeks the
// leader is held until there is one.
func (l *loop) handleWatch(r *messenger.WatchRequest, done func(*messenger.WatchReply, error)) {
	now := l.now()
	leads, leader := l.isLeader(), l.leaderAddress()
	if leads {
		l.watchingHosts.recordWatch(now, r)
		l.recordLimits(now, r)
		l.watchingHosts.lenders.record(now, r)
	}
	if leads && r.GetSeek() {
		done(&messenger.WatchReply{Granted: true, Control: memberAddresses(l.status)}, nil)
		return
	}
	if !leads && (leader != "" || !r.GetSeek()) {
		done(&messenger.WatchReply{Leader: leader}, nil)
		return
	}
	until := now + min(r.GetWait().AsDuration(), maxWatchWait)
	l.heldWatches = append(l.heldWatches, heldWatch{request: r, holdUntil: until, done: l.markHeld(now, r, done)})
}

// answerWatches replies to the held requests that have news or have waited long
// enough. Entry hosts that have a state need no read confirmation: they ignore an older
// one, and learn of a newer leader within an election timeout. One that has just
// started would use an older state of a former leader, with backend servers that have
// left.
func (l *loop) answerWatches(now time.Duration) {
	if len(l.heldWatches) == 0 || now < l.nextWatchCheck {
		return
	}
	l.nextWatchCheck = now + max(minWatchInterval, time.Duration(len(l.watchingHosts.hosts))*watchIntervalPerHost)
	leads, leader := l.isLeader(), l.leaderAddress()
	l.trackSuspects()
	if leads {
		l.watchingHosts.lenders.update(now, l.log)
	}
	kept := l.heldWatches[:0]
	for _, w := range l.heldWatches {
		switch {
		case w.request.GetSeek() && !leads && leader == "" && now < w.holdUntil:
			kept = append(kept, w)
		case w.request.GetSeek() || !leads:
			w.done(&messenger.WatchReply{Granted: leads, Leader: leader, Control: memberAddresses(l.status)}, nil)
		case (l.hasNews(w.request) || now >= w.holdUntil) && hasNoState(w.request):
			l.answerConfirmed(w)
		case l.hasNews(w.request) || now >= w.holdUntil:
			w.done(l.watchReply(now, w.request), nil)
		default:
			kept = append(kept, w)
		}
	}
	clear(l.heldWatches[len(kept):])
	l.heldWatches = kept
}

// hasNoState reports whether the entry host has received nothing yet.
func hasNoState(r *messenger.WatchRequest) bool {
	return r.GetVersion() == 0 && r.GetHolding() != messenger.Holding_HOLDING_DOCUMENT && r.GetRegistry() == 0
}

// lacksDocument reports whether the routing document in force is newer than what the entry
// host has. A host of an earlier version takes no document of version 0.
func (l *loop) lacksDocument(r *messenger.WatchRequest) bool {
	version, _, ok := l.keeper.RoutingDocument()
	return ok && (r.GetVersion() < version || r.GetHolding() == messenger.Holding_HOLDING_NONE)
}

// answerConfirmed replies to a held request once this host is known to lead still.
func (l *loop) answerConfirmed(w heldWatch) {
	l.confirmLeadership(func(confirmed bool) {
		if !confirmed {
			w.done(&messenger.WatchReply{Leader: l.leaderAddress()}, nil)
			return
		}
		w.done(l.watchReply(l.now(), w.request), nil)
	})
}

// hasNews reports whether the routing document, the registry, the quarantine of requests
// on routes or the evacuations are newer than what the entry host has. The last two are
// news only for hosts that follow them.
func (l *loop) hasNews(r *messenger.WatchRequest) bool {
	return l.lacksDocument(r) || r.GetRegistry() < l.keeper.Registry().LastChange() ||
		r.GetGuards() && r.GetSuspects() < l.suspects.lastChange || l.watchingHosts.lenders.isNews(r) ||
		r.GetEvacuates() && r.GetEvacuation() < l.keeper.EvacuationNumber()
}

// watchReply returns the current versions with the routing document and the
// registrations that the entry host lacks.
func (l *loop) watchReply(now time.Duration, r *messenger.WatchRequest) *messenger.WatchReply {
	version, packed, _ := l.keeper.RoutingDocument()
	reply := &messenger.WatchReply{
		Granted:  true,
		Version:  version,
		Registry: l.keeper.Registry().LastChange(),
		Hosts:    l.watchingHosts.countHosts(now),
		Control:  memberAddresses(l.status),
	}
	if reply.Hosts > 0 {
		reply.Rank = l.watchingHosts.rankOf(r.GetHost())
		l.addPeers(reply, r)
	}
	l.watchingHosts.lenders.addTo(reply, r)
	reply.Limits = l.limits.lastChange
	reply.Changed = l.limits.changesSince(now, l.keeper.Registry(), r.GetLimits())
	if r.GetGuards() {
		reply.Suspects = l.suspects.lastChange
		reply.Suspect, reply.Whole = l.suspects.changesSince(time.Now(), r.GetSuspects())
	}
	l.addEvacuations(reply, r)
	if l.lacksDocument(r) {
		reply.Packed = packed
	}
	if r.GetRegistry() < reply.Registry {
		list, complete := l.keeper.Registry().ChangesSince(r.GetRegistry())
		reply.Complete = complete
		for _, s := range list {
			if r.GetEvacuates() {
				s.ColdRemaining = l.coldTimeOf(now, time.Now(), s)
			}
			reply.Registrations = append(reply.Registrations, s.Message())
		}
	}
	return reply
}
