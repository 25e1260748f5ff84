package server

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"gentianpond/internal/control/repairer"
	"gentianpond/internal/control/replicator"
	"gentianpond/internal/protocol/messenger"
)

const (
	// helloMemory is how long a host that was heard is greeted and known.
	helloMemory = 30 * time.Second
	// maxHellos bounds the hosts that are remembered.
	maxHellos = 64
	// replacedAfter is how long the old identity of a host has to be silent, once
	// the host was heard under a new one, before it loses its vote. In an open
	// group an address belongs to one machine, so that the old process has ended.
	replacedAfter = time.Second
	// lostAfter is the silence after which a voter of an open group is replaced
	// by a learner that holds everything committed. It is longer than a restart.
	lostAfter = 5 * time.Second
	// forgottenAfter is the silence after which a learner is removed.
	forgottenAfter = 20 * time.Second
)

// hello is the last sign of life of a control host. Address and zone are known
// in open groups only.
type hello struct {
	id      uint64
	at      time.Duration
	address netip.AddrPort
	zone    string
}

// hellos holds the last sign of life of each control host.
type hellos map[string]hello

// list returns the signs of life for the repairer.
func (h hellos) list(now time.Duration) []repairer.Hello {
	var list []repairer.Hello
	for name, sign := range h {
		list = append(list, repairer.Hello{Name: name, ID: sign.id, Age: now - sign.at})
	}
	return list
}

// nameOf returns the host that last used an id.
func (h hellos) nameOf(id uint64) string {
	for name, sign := range h {
		if sign.id == id {
			return name
		}
	}
	return ""
}

// forget drops hosts that were not heard for long.
func (h hellos) forget(now time.Duration) {
	for name, sign := range h {
		if now-sign.at > helloMemory {
			delete(h, name)
		}
	}
}

// noteHello remembers the sender of a request. In an open group any host that
// names itself after its address counts.
func (l *loop) noteHello(r *messenger.ExchangeRequest) {
	if r.GetFrom() == l.settings.Name {
		return
	}
	sign := hello{id: r.GetFromIncarnation(), at: l.now(), zone: r.GetZone()}
	if !l.settings.open() {
		if _, ok := l.settings.host(r.GetFrom()); ok {
			l.hellos[r.GetFrom()] = sign
		}
		return
	}
	address, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil || address.Addr().String() != r.GetFrom() {
		l.scope.Counter("hellos_refused").Inc(1)
		return
	}
	l.hellos.forget(l.now())
	if _, ok := l.hellos[r.GetFrom()]; !ok && len(l.hellos) >= maxHellos {
		return
	}
	sign.address = address
	l.hellos[r.GetFrom()] = sign
}

// hosts returns the control hosts: those of the settings or, in an open group,
// the members and those that were heard.
func (l *loop) hosts() []repairer.Host {
	if !l.settings.open() {
		return l.settings.Hosts
	}
	found := map[string]repairer.Host{}
	for _, m := range l.status.Members {
		found[m.Name] = repairer.Host{Name: m.Name, Zone: m.Zone, Address: m.Address}
	}
	for name, sign := range l.hellos {
		found[name] = repairer.Host{Name: name, Zone: sign.zone, Address: sign.address}
	}
	found[l.settings.Name] = repairer.Host{Name: l.settings.Name, Zone: l.settings.Zone, Address: l.settings.Inner}
	var list []repairer.Host
	for _, h := range found {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b repairer.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// greeted returns the hosts to greet: all known ones, the seeds and those that
// another host named.
func (l *loop) greeted() []repairer.Host {
	list := slices.Clone(l.hosts())
	if !l.settings.open() {
		return list
	}
	for _, a := range append(slices.Clone(l.settings.Seeds), l.named...) {
		name := a.Addr().String()
		if !slices.ContainsFunc(list, func(h repairer.Host) bool { return h.Name == name }) {
			list = append(list, repairer.Host{Name: name, Address: a})
		}
	}
	return list
}

// learn takes the members that a greeted host named.
func (l *loop) learn(known []string) {
	var named []netip.AddrPort
	for _, text := range known {
		if a, err := netip.ParseAddrPort(text); err == nil && len(named) < maxHellos {
			named = append(named, a)
		}
	}
	if len(named) > 0 {
		l.named = named
	}
}

// limits returns those of the repairer.
func (l *loop) limits() repairer.Limits {
	if !l.settings.open() {
		return repairer.Limits{}
	}
	return repairer.Limits{ReplaceAfter: replacedAfter, Voters: l.settings.Voters, RemoveVoterAfter: lostAfter, RemoveLearnerAfter: forgottenAfter}
}

// addresses returns the inner addresses of the members, the leader first.
func addresses(status replicator.Status) []string {
	var list []string
	for _, m := range status.Members {
		if !m.Address.IsValid() {
			continue
		}
		if m.ID == status.Leader {
			list = slices.Insert(list, 0, m.Address.String())
			continue
		}
		list = append(list, m.Address.String())
	}
	return list
}
