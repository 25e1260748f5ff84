package server

import (
	"time"

	"gentianpond/internal/protocol/messenger"
)

const (
	// watchLimit is the longest time that a watch is held.
	watchLimit = 2 * time.Second
	// watchMemory is how long an entry host counts after its last watch. It
	// covers a held watch and the way back.
	watchMemory = watchLimit + 2*time.Second
	// watchPause is the least time between two looks for news, so that changes
	// that come together travel together, and watchEach what each entry host adds to
	// it: a change is sent to all of them.
	watchPause = 40 * time.Millisecond
	watchEach  = time.Millisecond
)

// watcher is a watch that is held.
type watcher struct {
	request *messenger.WatchRequest
	until   time.Duration
	done    func(*messenger.WatchReply, error)
}

// audience is the leader's memory of the entry hosts that watch.
type audience struct {
	since time.Duration
	hosts map[string]time.Duration
}

func newAudience(now time.Duration) *audience {
	return &audience{since: now, hosts: map[string]time.Duration{}}
}

func (a *audience) note(now time.Duration, host string) { a.hosts[host] = now }

// count returns the number of entry hosts, or 0 while this host has led for too
// short a time to know them all.
func (a *audience) count(now time.Duration) uint32 {
	for name, at := range a.hosts {
		if now-at > watchMemory {
			delete(a.hosts, name)
		}
	}
	if now-a.since < watchMemory {
		return 0
	}
	return uint32(len(a.hosts))
}

// watch holds a request until there is news for it, and a question for the leader
// until there is one.
func (l *loop) watch(r *messenger.WatchRequest, done func(*messenger.WatchReply, error)) {
	now := l.now()
	leads, leader := l.leads(), l.leader()
	if leads {
		l.audience.note(now, r.GetHost())
	}
	if leads && r.GetSeek() {
		done(&messenger.WatchReply{Granted: true, Control: addresses(l.status)}, nil)
		return
	}
	if !leads && (leader != "" || !r.GetSeek()) {
		done(&messenger.WatchReply{Leader: leader}, nil)
		return
	}
	until := now + min(r.GetWait().AsDuration(), watchLimit)
	l.watchers = append(l.watchers, watcher{request: r, until: until, done: done})
}

// answerWatchers answers the watches that have news or have waited long enough.
// They need no read confirmation: what they get is committed, and an entry host
// that follows a host which was the leader learns of a newer one within an
// election timeout.
func (l *loop) answerWatchers(now time.Duration) {
	if len(l.watchers) == 0 || now < l.watchAt {
		return
	}
	l.watchAt = now + max(watchPause, time.Duration(len(l.audience.hosts))*watchEach)
	leads, leader := l.leads(), l.leader()
	kept := l.watchers[:0]
	for _, w := range l.watchers {
		switch {
		case w.request.GetSeek() && !leads && leader == "" && now < w.until:
			kept = append(kept, w)
		case w.request.GetSeek() || !leads:
			w.done(&messenger.WatchReply{Granted: leads, Leader: leader, Control: addresses(l.status)}, nil)
		case l.news(w.request) || now >= w.until:
			w.done(l.watchReply(now, w.request), nil)
		default:
			kept = append(kept, w)
		}
	}
	clear(l.watchers[len(kept):])
	l.watchers = kept
}

// news reports whether the host lacks anything.
func (l *loop) news(r *messenger.WatchRequest) bool {
	version, _ := l.keeper.Routing()
	return r.GetVersion() < version || r.GetRegistry() < l.keeper.Registry().LastChange()
}

func (l *loop) watchReply(now time.Duration, r *messenger.WatchRequest) *messenger.WatchReply {
	version, packed := l.keeper.Routing()
	reply := &messenger.WatchReply{
		Granted:  true,
		Version:  version,
		Registry: l.keeper.Registry().LastChange(),
		Hosts:    l.audience.count(now),
		Control:  addresses(l.status),
	}
	if r.GetVersion() < version {
		reply.Packed = packed
	}
	if r.GetRegistry() < reply.Registry {
		list, complete := l.keeper.Registry().ChangesSince(r.GetRegistry())
		reply.Complete = complete
		for _, s := range list {
			reply.Registrations = append(reply.Registrations, s.Message())
		}
	}
	return reply
}
