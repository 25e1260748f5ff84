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
// its servers.
func Owner(v View, server, zone string) (Member, bool) {
	if m, ok := best(v.Members, server, func(m Member) bool { return m.Zone == zone }); ok {
		return m, true
	}
	return best(v.Members, server, func(Member) bool { return true })
}

func best(members []Member, server string, among func(Member) bool) (Member, bool) {
	var owner Member
	var highest uint64
	found := false
	for _, m := range members {
		if !among(m) {
			continue
		}
		score := weight(m.Name, server)
		if !found || score > highest || (score == highest && m.Name < owner.Name) {
			owner, highest, found = m, score, true
		}
	}
	return owner, found
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
