package server

import (
	"math"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// oddRegistrations returns registrations that no host can use. sound is changed for each.
func oddRegistrations(sound registrar.Server) map[string]registrar.Server {
	list := map[string]registrar.Server{}
	for name, change := range map[string]func(*registrar.Server){
		"name that is no text":    func(s *registrar.Server) { s.Name = "\xff" },
		"name of two lines":       func(s *registrar.Server) { s.Name = "a\r\nb: c" },
		"service that is no text": func(s *registrar.Server) { s.Service = "s\xfe" },
		"zone that is no text":    func(s *registrar.Server) { s.Zone = "\xc3" },
		"port 0":                  func(s *registrar.Server) { s.Address = netip.AddrPortFrom(s.Address.Addr(), 0) },
		"every address":           func(s *registrar.Server) { s.Address = netip.MustParseAddrPort("0.0.0.0:80") },
		"many addresses":          func(s *registrar.Server) { s.Address = netip.MustParseAddrPort("224.0.0.1:80") },
		"no slots":                func(s *registrar.Server) { s.Slots = 0 },
		"too many slots":          func(s *registrar.Server) { s.Slots = math.MaxUint32 + 2 },
		"leaving without a name":  func(s *registrar.Server) { *s = registrar.Server{State: registrar.Gone} },
		"leaving, name no text":   func(s *registrar.Server) { *s = registrar.Server{Name: "\xff", State: registrar.Gone} },
	} {
		odd := sound
		odd.Name = "odd"
		change(&odd)
		list[name] = odd
	}
	return list
}

// Guards against an odd registration that is not refused for good, that takes sound ones
// with it, or that keeps control hosts from restarting, from their log or from a snapshot,
// or entry hosts from following.
func TestOddRegistrations(t *testing.T) {
	for _, snapshotEvery := range []uint64{0, 1} {
		g := newOpenGroup(t)
		start := func(bootstrap bool) (all []*Server) {
			for _, a := range g.seeds {
				all = append(all, g.startWith(a, func(s *Settings) { s.Bootstrap, s.SnapshotEvery, s.SilentAfter = bootstrap, snapshotEvery, time.Minute }))
			}
			return all
		}
		all := start(true)
		g.publish(all[0], 1, "one")
		leader := g.running[g.waitForLeader(all)].server
		sound := registrar.Server{Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:80"), Zone: "z", Slots: 1, Incarnation: 1, Sequence: 1}
		names := map[string]bool{}
		for kind, odd := range oddRegistrations(sound) {
			for _, s := range all {
				_, err := s.Register(t.Context(), odd)
				require.ErrorIs(t, err, ErrInvalidRequest, kind)
			}
			// Both arrive in the same iteration of the leader's loop, as from control hosts
			// that do not check.
			beside := sound
			beside.Name = "beside " + kind
			beside.Address = netip.AddrPortFrom(sound.Address.Addr(), uint16(1000+len(names)))
			names[beside.Name] = true
			var group sync.WaitGroup
			group.Add(2)
			leader.events <- func(l *loop) {
				l.handleCheckIn(&messenger.RegisterRequest{Registration: odd.Message()}, func(_ *messenger.RegisterReply, err error) {
					group.Done()
					if odd.Slots != math.MaxUint32+2 {
						require.Error(t, err, kind)
					}
				})
				l.handleCheckIn(&messenger.RegisterRequest{Registration: beside.Message()}, func(r *messenger.RegisterReply, err error) {
					group.Done()
					require.NoError(t, err, kind)
					require.True(t, r.GetGranted(), kind)
				})
			}
			group.Wait()
		}
		for a := range g.running {
			g.stop(a)
		}
		all = start(false)
		g.publish(all[0], 2, "two")
		leader = g.running[g.waitForLeader(all)].server
		reply, err := (&service{server: leader}).Watch(t.Context(), &messenger.WatchRequest{Host: "h", Wait: durationpb.New(0)})
		require.NoError(t, err)
		for _, m := range reply.GetRegistrations() {
			delete(names, m.GetServer())
		}
		require.Empty(t, names, "sound registrations that were lost")
	}
}
