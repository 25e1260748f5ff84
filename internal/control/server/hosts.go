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
	// helloRetention is how long a control host is remembered after its last request.
	helloRetention = 30 * time.Second
	// maxHellos bounds the hosts of an open group that are remembered, and the
	// addresses that are taken from a reply to a hello.
	maxHellos = 64
)

// hello describes the sender of the latest Exchange request from a control host.
type hello struct {
	// id identifies the data folder that the sender runs on.
	id uint64
	// receivedAt is the loop's time at which the request arrived.
	receivedAt time.Duration
	// address and zone are the sender's inner address and availability zone. They are
	// used in open groups only.
	address netip.AddrPort
	zone    string
	// leaving is true if the sender is about to stop.
	leaving bool
}

// hellos holds the latest hello of each control host by name. Every Exchange request
// counts as one.
type hellos map[string]hello

// repairerHellos returns the hellos with their age, as the repairer takes them, and one
// of this host.
func (l *loop) repairerHellos(now time.Duration) []repairer.Hello {
	list := []repairer.Hello{{Name: l.settings.Name, ID: l.status.ID, Leaving: l.senders.leaving.Load()}}
	for name, last := range l.hellos {
		list = append(list, repairer.Hello{Name: name, ID: last.id, Age: now - last.receivedAt, Leaving: last.leaving})
	}
	return list
}

// hostOfID returns the name of the host that last used an id, or an empty string.
func (h hellos) hostOfID(id uint64) string {
	for name, last := range h {
		if last.id == id {
			return name
		}
	}
	return ""
}

// dropExpired drops hosts whose latest hello is older than helloRetention.
func (h hellos) dropExpired(now time.Duration) {
	for name, last := range h {
		if now-last.receivedAt > helloRetention {
			delete(h, name)
		}
	}
}

// recordHello records the sender of a request. In an open group it accepts any host
// whose name is its IP address.
func (l *loop) recordHello(r *messenger.ExchangeRequest) {
	if r.GetFrom() == l.settings.Name {
		return
	}
	received := hello{id: r.GetFromIncarnation(), receivedAt: l.now(), zone: r.GetZone(), leaving: r.GetLeaving()}
	if !l.settings.isOpenGroup() {
		if _, ok := l.settings.hostByName(r.GetFrom()); ok {
			l.hellos[r.GetFrom()] = received
		}
		return
	}
	address, err := netip.ParseAddrPort(r.GetAddress())
	if err != nil || address.Addr().String() != r.GetFrom() {
		l.scope.Counter("hellos_refused").Inc(1)
		return
	}
	l.hellos.dropExpired(l.now())
	if _, ok := l.hellos[r.GetFrom()]; !ok && len(l.hellos) >= maxHellos {
		return
	}
	received.address = address
	l.hellos[r.GetFrom()] = received
}

// controlHosts returns the control hosts: those of the settings or, in an open group,
// the members and the hosts that sent a hello.
func (l *loop) controlHosts() []repairer.Host {
	if !l.settings.isOpenGroup() {
		return l.settings.Hosts
	}
	found := map[string]repairer.Host{}
	for _, m := range l.status.Members {
		found[m.Name] = repairer.Host{Name: m.Name, Zone: m.Zone, Address: m.Address}
	}
	for name, last := range l.hellos {
		found[name] = repairer.Host{Name: name, Zone: last.zone, Address: last.address}
	}
	found[l.settings.Name] = repairer.Host{Name: l.settings.Name, Zone: l.settings.Zone, Address: l.settings.Inner}
	var list []repairer.Host
	for _, h := range found {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b repairer.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// helloReceivers returns the hosts to send a hello to: all control hosts and, in an
// open group, the seeds and those that another host reported.
func (l *loop) helloReceivers() []repairer.Host {
	list := slices.Clone(l.controlHosts())
	if !l.settings.isOpenGroup() {
		return list
	}
	for _, a := range append(slices.Clone(l.settings.Seeds), l.reportedHosts...) {
		name := a.Addr().String()
		if !slices.ContainsFunc(list, func(h repairer.Host) bool { return h.Name == name }) {
			list = append(list, repairer.Host{Name: name, Address: a})
		}
	}
	return list
}

// storeReportedHosts replaces the reported hosts by the valid addresses in known, which
// another host sent in its reply to a hello. Without a valid address it changes nothing.
func (l *loop) storeReportedHosts(known []string) {
	var reported []netip.AddrPort
	for _, text := range known {
		if a, err := netip.ParseAddrPort(text); err == nil && len(reported) < maxHellos {
			reported = append(reported, a)
		}
	}
	if len(reported) > 0 {
		l.reportedHosts = reported
	}
}

// repairLimits returns the limits by which the repairer replaces members. A group with
// listed hosts uses the repairer's defaults.
func (l *loop) repairLimits() repairer.Limits {
	if !l.settings.isOpenGroup() {
		return repairer.Limits{}
	}
	return repairer.OpenGroupLimits(l.settings.Voters)
}

// memberAddresses returns the inner addresses of the members, the leader first.
func memberAddresses(status replicator.Status) []string {
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
