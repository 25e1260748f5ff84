// Package assigner decides which entry host may dispatch to which backend
// server. It does no I/O; time is an argument of each call.
package assigner

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"gentianpond/internal/protocol/messenger"
)

// ErrInvalid is the sentinel for a view whose message cannot be converted.
var ErrInvalid = errors.New("view is invalid")

// Member is one entry host of a view.
type Member struct {
	Name string
	Zone string
	// Address is the address of the host's inner service.
	Address netip.AddrPort
	// Incarnation tells the processes of one host apart.
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

// View is a numbered list of entry hosts. The zero value is the view before
// the first one: it has no members.
type View struct {
	Number  uint64
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

// FromMessage converts a view of the inner protocol. The error is an
// ErrInvalid.
func FromMessage(m *messenger.View) (View, error) {
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

// Find returns the named member.
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
// members if there is none. It is false for a view without members. The
// result depends on names and zones only, so that a host that restarts keeps
// its servers. For more than a few servers of one view an Index is cheaper.
func Owner(v View, server, zone string) (Member, bool) {
	return NewIndex(v).Owner(server, zone)
}

// Index finds owners in one view. It is safe for concurrent use.
type Index struct {
	View  View
	zones map[string][]int
	all   []int
}

// NewIndex returns the index of v, which must not change afterwards.
func NewIndex(v View) *Index {
	ix := &Index{View: v, zones: map[string][]int{}}
	for i, m := range v.Members {
		ix.zones[m.Zone] = append(ix.zones[m.Zone], i)
		ix.all = append(ix.all, i)
	}
	return ix
}

// Owner returns the member that owns the backend server; see the function
// Owner.
func (ix *Index) Owner(server, zone string) (Member, bool) {
	among, ok := ix.zones[zone]
	if !ok {
		among = ix.all
	}
	var owner Member
	var highest uint64
	for n, i := range among {
		m := ix.View.Members[i]
		score := weight(m.Name, server)
		if n == 0 || score > highest || (score == highest && m.Name < owner.Name) {
			owner, highest = m, score
		}
	}
	return owner, len(among) > 0
}

// weight hashes the pair. The separator cannot occur in a name, so that no
// two pairs hash the same text.
func weight(member, server string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(member)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(server)
	return d.Sum64()
}
