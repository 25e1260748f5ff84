package registrar

import (
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
)

// ErrInvalid is the error of FromMessage for a registration that cannot be used.
var ErrInvalid = errors.New("invalid registration")

// maxNameBytes bounds the names of a server, its service and its zone, maxSlots
// the slots of one server.
const (
	maxNameBytes = 256
	maxSlots     = 1 << 16
)

// Message returns s as a message of the inner protocol.
func (s Server) Message() *messenger.Registration {
	m := &messenger.Registration{
		Server:      s.Name,
		Service:     s.Service,
		Zone:        s.Zone,
		Slots:       uint32(s.Slots),
		Incarnation: s.Incarnation,
		Sequence:    s.Sequence,
		State:       uint32(s.State),
		Changed:     s.ChangeIndex,
	}
	if s.Address.IsValid() {
		m.Address = s.Address.String()
	}
	if s.ColdRemaining > 0 {
		m.Cold = durationpb.New(s.ColdRemaining)
	}
	if s.State == Gone {
		m.Ended = timestamppb.New(s.EndedAt)
	}
	return m
}

// FromMessage converts and checks a registration of the inner protocol. It returns
// ErrInvalid for a value out of range, and for an unusable address unless the
// state is Gone or Silent.
func FromMessage(m *messenger.Registration) (Server, error) {
	s := Server{
		Name:          m.GetServer(),
		Service:       m.GetService(),
		Zone:          m.GetZone(),
		Slots:         int(m.GetSlots()),
		Incarnation:   m.GetIncarnation(),
		Sequence:      m.GetSequence(),
		State:         State(m.GetState()),
		ColdRemaining: m.GetCold().AsDuration(),
		ChangeIndex:   m.GetChanged(),
	}
	if m.GetEnded().IsValid() {
		s.EndedAt = m.GetEnded().AsTime()
	}
	if s.Name == "" || len(s.Name) > maxNameBytes || m.GetState() > uint32(Gone) {
		return Server{}, errors.Wrapf(ErrInvalid, "server name %q or state %d out of range", s.Name, m.GetState())
	}
	if s.State == Gone || s.State == Silent {
		// These states need no more than the name; the registry keeps the rest
		// of the known record.
		s.Address, _ = netip.ParseAddrPort(m.GetAddress())
		return s, nil
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return Server{}, errors.Wrapf(ErrInvalid, "parse address of server %s: %v", s.Name, err)
	}
	s.Address = address
	if s.Service == "" || len(s.Service) > maxNameBytes || len(s.Zone) > maxNameBytes || s.Slots < 1 || s.Slots > maxSlots {
		return Server{}, errors.Wrapf(ErrInvalid, "server %s: service %q, zone %q or %d slots out of range", s.Name, s.Service, s.Zone, s.Slots)
	}
	return s, nil
}
