package quarantiner

import (
	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
)

// Message returns the suspicion as a message of the inner protocol.
func (s Suspicion) Message() *messenger.Suspicion {
	m := &messenger.Suspicion{
		Fingerprint: s.Fingerprint,
		Archive:     s.Archive,
		State:       uint32(s.State),
		Crashes:     uint32(s.Crashes),
		Expiry:      timestamppb.New(s.Expiry),
		Pinned:      s.State == StatePinned,
		Server:      s.Server,
		Incarnation: s.Incarnation,
		Rounds:      int32(s.Rounds),
		Quarantines: uint32(s.Quarantines),
		Proven:      s.Proven,
	}
	if !s.LastCrash.IsZero() {
		m.Crash = timestamppb.New(s.LastCrash)
	}
	for _, p := range s.Before {
		m.Before = append(m.Before, &messenger.Process{Server: p.Server, Incarnation: p.Incarnation})
	}
	return m
}

// SuspicionFromMessage returns the suspicion in a message of the inner protocol.
func SuspicionFromMessage(m *messenger.Suspicion) Suspicion {
	s := Suspicion{
		Fingerprint: m.GetFingerprint(),
		Archive:     m.GetArchive(),
		State:       State(m.GetState()),
		Crashes:     int(m.GetCrashes()),
		Expiry:      m.GetExpiry().AsTime(),
		Server:      m.GetServer(),
		Incarnation: m.GetIncarnation(),
		Rounds:      int(m.GetRounds()),
		Quarantines: int(m.GetQuarantines()),
		Proven:      m.GetProven(),
	}
	if m.GetCrash() != nil {
		s.LastCrash = m.GetCrash().AsTime()
	}
	for _, p := range m.GetBefore() {
		s.Before = append(s.Before, Process{Server: p.GetServer(), Incarnation: p.GetIncarnation()})
	}
	return s
}

// Message returns the observation as a message of the inner protocol.
func (o Observation) Message() *messenger.Observation {
	return &messenger.Observation{
		Id:          o.ID,
		Fingerprint: o.Fingerprint,
		Archive:     o.Archive,
		Server:      o.Server,
		Incarnation: o.Incarnation,
		Crashed:     o.Crashed,
		Alone:       o.Alone,
		Round:       int32(o.Round),
		Proven:      o.Proven,
	}
}

// ObservationFromMessage returns the observation in a message of the inner protocol.
func ObservationFromMessage(m *messenger.Observation) Observation {
	return Observation{
		ID:          m.GetId(),
		Fingerprint: m.GetFingerprint(),
		Archive:     m.GetArchive(),
		Server:      m.GetServer(),
		Incarnation: m.GetIncarnation(),
		Crashed:     m.GetCrashed(),
		Alone:       m.GetAlone(),
		Round:       int(m.GetRound()),
		Proven:      m.GetProven(),
	}
}
