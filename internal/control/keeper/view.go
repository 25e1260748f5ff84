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
	// maxDepartedMembers is the number of stopped hosts that are remembered. It only
	// has to cover the time until messages sent before a host stopped have arrived.
	maxDepartedMembers = 1024
	maxNameBytes       = 128 // of a host, zone, team, author or change id
)

// view is the numbered list of the entry hosts in service. Each start of an entry host
// has its own incarnation, which is larger than those before.
type view struct {
	// number grows by one with every change of members.
	number uint64
	// members is sorted by name. It is replaced, never modified, because View
	// returns it.
	members []*messenger.Member
	// departed holds the incarnations that left the view on a stop, oldest first.
	departed []*messenger.Member
}

// applyChange applies a change and reports whether it altered the members. The number
// grows by at most one, however many hosts the change names.
func (v *view) applyChange(c *messenger.ViewChange) bool {
	changed := false
	for _, m := range c.Remove {
		changed = v.removeMember(m) || changed
	}
	for _, m := range c.Leave {
		changed = v.removeStopped(m) || changed
	}
	for _, m := range c.Add {
		changed = v.addMember(m) || changed
	}
	if changed {
		v.number++
	}
	return changed
}

// searchMember returns the index of the member with a name, or where to insert it,
// and whether it was found.
func (v *view) searchMember(name string) (int, bool) {
	return slices.BinarySearchFunc(v.members, name, func(m *messenger.Member, name string) int {
		return strings.Compare(m.Name, name)
	})
}

// addMember adds a host to the view or replaces an older incarnation of it. A late
// message of an older incarnation has no effect. The leader adds a newer
// incarnation only after the older one's lease has ended.
func (v *view) addMember(m *messenger.Member) bool {
	if m.GetName() == "" || len(m.Name) > maxNameBytes || len(m.Zone) > maxNameBytes || v.hasDeparted(m) {
		return false
	}
	if _, err := netip.ParseAddrPort(m.Address); err != nil {
		return false
	}
	m = &messenger.Member{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation}
	i, found := v.searchMember(m.Name)
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

// removeMember removes a host if its incarnation is the given one. A silent host that
// has restarted under a new incarnation stays in the view.
func (v *view) removeMember(m *messenger.Member) bool {
	i, found := v.searchMember(m.GetName())
	if !found || v.members[i].Incarnation != m.Incarnation {
		return false
	}
	v.members = slices.Delete(slices.Clone(v.members), i, i+1)
	return true
}

// removeStopped removes a host that stops and remembers it, so that a sync request
// that was sent before the stop and arrives after it does not add the host again. An
// older incarnation stays: it may hold a lease.
func (v *view) removeStopped(m *messenger.Member) bool {
	if m.GetName() == "" || len(m.Name) > maxNameBytes {
		return false
	}
	if !v.hasDeparted(m) {
		v.departed = slices.DeleteFunc(v.departed, func(d *messenger.Member) bool { return d.Name == m.Name })
		v.departed = append(v.departed, &messenger.Member{Name: m.Name, Incarnation: m.Incarnation})
		v.departed = v.departed[max(0, len(v.departed)-maxDepartedMembers):]
	}
	return v.removeMember(m)
}

// hasDeparted reports whether this or a newer incarnation of a host has stopped.
func (v *view) hasDeparted(m *messenger.Member) bool {
	return slices.ContainsFunc(v.departed, func(d *messenger.Member) bool {
		return d.Name == m.Name && d.Incarnation >= m.Incarnation
	})
}

// View returns the current view. It must not be modified; later changes of the view
// do not modify it.
func (k *Keeper) View() *messenger.View {
	return &messenger.View{Number: k.view.number, Members: k.view.members}
}

// Member returns the member of the view with this name.
func (k *Keeper) Member(name string) (*messenger.Member, bool) {
	i, found := k.view.searchMember(name)
	if !found {
		return nil, false
	}
	return k.view.members[i], true
}

// WouldChangeView reports whether a change would alter the current view, so that
// the leader can skip proposals without effect.
func (k *Keeper) WouldChangeView(c *messenger.ViewChange) bool {
	copied := k.view
	copied.departed = slices.Clone(copied.departed)
	return copied.applyChange(c)
}
