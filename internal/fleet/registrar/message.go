package registrar

import (
	"net/netip"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
)

// ErrInvalid means that a message names no usable server.
var ErrInvalid = errors.New("invalid registration")

// maxText bounds names in bytes, maxSlots the slots of one server.
const (
	maxText  = 256
	maxSlots = 1 << 16
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
		Changed:     s.Changed,
	}
	if s.Address.IsValid() {
		m.Address = s.Address.String()
	}
	if s.Cold > 0 {
		m.Cold = durationpb.New(s.Cold)
	}
	if s.State == Gone {
		m.Ended = timestamppb.New(s.Ended)
	}
	return m
}

// FromMessage converts and checks a message of the inner protocol. Errors are
// ErrInvalid.
func FromMessage(m *messenger.Registration) (Server, error) {
	s := Server{
		Name:        m.GetServer(),
		Service:     m.GetService(),
		Zone:        m.GetZone(),
		Slots:       int(m.GetSlots()),
		Incarnation: m.GetIncarnation(),
		Sequence:    m.GetSequence(),
		State:       State(m.GetState()),
		Cold:        m.GetCold().AsDuration(),
		Changed:     m.GetChanged(),
	}
	if m.GetEnded().IsValid() {
		s.Ended = m.GetEnded().AsTime()
	}
	if s.Name == "" || len(s.Name) > maxText || m.GetState() > uint32(Gone) {
		return Server{}, errors.Wrapf(ErrInvalid, "server %q in state %d", s.Name, m.GetState())
	}
	if s.State == Gone || s.State == Silent {
		// Neither needs more than the name; the rest of a record is kept.
		s.Address, _ = netip.ParseAddrPort(m.GetAddress())
		return s, nil
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return Server{}, errors.Wrapf(ErrInvalid, "server %s: %v", s.Name, err)
	}
	s.Address = address
	if s.Service == "" || len(s.Service) > maxText || len(s.Zone) > maxText || s.Slots < 1 || s.Slots > maxSlots {
		return Server{}, errors.Wrapf(ErrInvalid, "server %s: service %q, zone %q, %d slots", s.Name, s.Service, s.Zone, s.Slots)
	}
	return s, nil
}
