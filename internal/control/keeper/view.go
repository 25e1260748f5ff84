package keeper

import (
	"net/netip"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"gentianpond/internal/protocol/messenger"
)

const (
	// maxMembers bounds the view, which every entry host receives.
	maxMembers = 8192
	// maxDeparted is how many hosts that stopped are remembered. It only has
	// to outlast messages that were sent before a host stopped.
	maxDeparted = 1024
	// maxName bounds names and ids in bytes.
	maxName = 128
)

// view is the list of entry hosts, sorted by name, with a number that grows
// with every change.
type view struct {
	number  uint64
	members []*messenger.Member
	// departed holds the hosts that stopped for good, oldest first.
	departed []*messenger.Member
}

// apply makes at most one new view of a change and reports whether it did.
func (v *view) apply(c *messenger.ViewChange) bool {
	changed := false
	for _, m := range c.Remove {
		changed = v.remove(m) || changed
	}
	for _, m := range c.Leave {
		changed = v.leave(m) || changed
	}
	for _, m := range c.Add {
		changed = v.add(m) || changed
	}
	if changed {
		v.number++
	}
	return changed
}

func (v *view) find(name string) (int, bool) {
	return slices.BinarySearchFunc(v.members, name, func(m *messenger.Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// add puts a host into the view or replaces an older incarnation of it. A
// message of an older incarnation that arrives late changes nothing. The leader
// adds a newer incarnation only when the older one's lease has ended.
func (v *view) add(m *messenger.Member) bool {
	if m.GetName() == "" || len(m.Name) > maxName || len(m.Zone) > maxName || v.hasLeft(m) {
		return false
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return false
	}
	m = &messenger.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation}
	i, found := v.find(m.Name)
	switch {
	case !found && len(v.members) >= maxMembers:
		return false
	case !found:
		v.members = slices.Insert(slices.Clone(v.members), i, m)
		return true
	case v.members[i].Incarnation > m.Incarnation || proto.Equal(v.members[i], m):
		return false
	}
	v.members = slices.Clone(v.members)
	v.members[i] = m
	return true
}

// remove takes out a host. A host that came back under a new incarnation
// stays: it is not the one that was silent.
func (v *view) remove(m *messenger.Member) bool {
	i, found := v.find(m.GetName())
	if !found || v.members[i].Incarnation != m.Incarnation {
		return false
	}
	v.members = slices.Delete(slices.Clone(v.members), i, i+1)
	return true
}

// leave takes out a host that stops and remembers it, so that a sync request
// which was sent before and arrives later does not add it again. An older
// incarnation stays: it may hold a lease.
func (v *view) leave(m *messenger.Member) bool {
	if m.GetName() == "" || len(m.Name) > maxName {
		return false
	}
	if !v.hasLeft(m) {
		v.departed = slices.DeleteFunc(v.departed, func(d *messenger.Member) bool { return d.Name == m.Name })
		v.departed = append(v.departed, &messenger.Member{Name: m.Name, Incarnation: m.Incarnation})
		v.departed = v.departed[max(0, len(v.departed)-maxDeparted):]
	}
	return v.remove(m)
}

func (v *view) hasLeft(m *messenger.Member) bool {
	return slices.ContainsFunc(v.departed, func(d *messenger.Member) bool {
		return d.Name == m.Name && d.Incarnation >= m.Incarnation
	})
}

// View returns the view. It must not be modified; later views do not change
// it.
func (k *Keeper) View() *messenger.View {
	return &messenger.View{Number: k.view.number, Members: k.view.members}
}

// Member returns the member of the view with this name.
func (k *Keeper) Member(name string) (*messenger.Member, bool) {
	i, found := k.view.find(name)
	if !found {
		return nil, false
	}
	return k.view.members[i], true
}

// ViewChanges reports whether a change would make a new view now, so that the
// leader proposes nothing that would have no effect.
func (k *Keeper) ViewChanges(c *messenger.ViewChange) bool {
	trial := k.view
	trial.departed = slices.Clone(trial.departed)
	return trial.apply(c)
}
