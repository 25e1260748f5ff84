// Package assigner decides which entry host may dispatch to which backend
// server. Rendezvous hashing over the hosts of a view gives each server one
// owner. A host dispatches only while it holds a lease, which the leader of the
// control hosts grants for a limited time. The package does no I/O; calls that
// depend on time take it as an argument.
package assigner

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

// ErrInvalid is the error of ViewFromMessage for a view that cannot be used.
var ErrInvalid = errors.New("view is invalid")

// Member is one entry host of a view.
type Member struct {
	Name string
	Zone string
	// Address is the address of the host's inner service.
	Address netip.AddrPort
	// Incarnation tells the processes of one host apart; it grows with each
	// start of the host.
	Incarnation uint64
}

// Message returns m as a message of the inner protocol.
func (m Member) Message() *messenger.Member {
	return &messenger.Member{
		Name:        m.Name,
		Zone:        m.Zone,
		Address:     m.Address.String(),
		Incarnation: m.Incarnation,
	}
}

// View is a numbered list of the entry hosts that share the backend servers. The
// zero value is the view before the first one: it has no members.
type View struct {
	// Number grows by one with each change of the members.
	Number uint64
	// Members are the entry hosts of the view.
	Members []Member
}

// Message returns v as a message of the inner protocol.
func (v View) Message() *messenger.View {
	m := &messenger.View{Number: v.Number}
	for _, member := range v.Members {
		m.Members = append(m.Members, member.Message())
	}
	return m
}

// ViewFromMessage converts a view of the inner protocol. It returns ErrInvalid if a
// member has no name, the name of another member or an unusable address.
func ViewFromMessage(m *messenger.View) (View, error) {
	v := View{Number: m.GetNumber()}
	seen := map[string]bool{}
	for _, member := range m.GetMembers() {
		address, err := netip.ParseAddrPort(member.GetAddress())
		if err != nil {
			return View{}, errors.Wrapf(ErrInvalid, "member %q: %v", member.GetName(), err)
		}
		if member.GetName() == "" || seen[member.GetName()] {
			return View{}, errors.Wrapf(ErrInvalid, "member %q is unnamed or listed twice", member.GetName())
		}
		seen[member.GetName()] = true
		v.Members = append(v.Members, Member{
			Name:        member.GetName(),
			Zone:        member.GetZone(),
			Address:     address,
			Incarnation: member.GetIncarnation(),
		})
	}
	return v, nil
}

// Find returns the member with the given name and whether there is one.
func (v View) Find(name string) (Member, bool) {
	for _, m := range v.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}

// Owner returns the member that owns the backend server in the view, by
// rendezvous hashing over the members in the server's zone, or over all
// members if that zone has none. It returns false for a view without members.
// The result depends on names and zones only, so that a host that restarts keeps
// its servers. For more than a few servers of one view an OwnerIndex is cheaper.
func Owner(v View, server, zone string) (Member, bool) {
	return NewOwnerIndex(v).Owner(server, zone)
}

// OwnerIndex finds the owners of backend servers in one view. It is safe for
// concurrent use.
type OwnerIndex struct {
	// View is the view that the index is of; it must not change.
	View View
	// membersByZone holds the positions in View.Members of each zone's members.
	membersByZone map[string][]int
	// allMembers holds the positions in View.Members of all members.
	allMembers []int
}

// NewOwnerIndex returns the index of v, which must not change afterwards.
func NewOwnerIndex(v View) *OwnerIndex {
	ix := &OwnerIndex{View: v, membersByZone: map[string][]int{}}
	for i, m := range v.Members {
		ix.membersByZone[m.Zone] = append(ix.membersByZone[m.Zone], i)
		ix.allMembers = append(ix.allMembers, i)
	}
	return ix
}

// Owner returns the member that owns the backend server, by the rule of the
// function Owner.
func (ix *OwnerIndex) Owner(server, zone string) (Member, bool) {
	candidates, ok := ix.membersByZone[zone]
	if !ok {
		candidates = ix.allMembers
	}
	var owner Member
	var highest uint64
	for n, i := range candidates {
		m := ix.View.Members[i]
		weight := rendezvousWeight(m.Name, server)
		if n == 0 || weight > highest || (weight == highest && m.Name < owner.Name) {
			owner, highest = m, weight
		}
	}
	return owner, len(candidates) > 0
}

// rendezvousWeight returns the weight of a member for a server: the member of
// highest weight owns the server. The separator cannot occur in a name, so that
// no two pairs hash the same text.
func rendezvousWeight(member, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
