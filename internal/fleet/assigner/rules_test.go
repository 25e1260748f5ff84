package assigner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var epoch = time.Date(2025, 6, 1, 12, 0, 0, 0, time.UTC)

func member(name, zone string) Member {
	return Member{Name: name, Zone: zone, Address: netip.MustParseAddrPort("127.0.0.1:8201"), Incarnation: 1}
}

func view(number uint64, names ...string) View {
	v := View{Number: number}
	for _, name := range names {
		v.Members = append(v.Members, member(name, "z"))
	}
	return v
}

// ownedBy returns a server that the named host owns in every given view.
func ownedBy(t *testing.T, name string, views ...View) string {
	t.Helper()
search:
	for i := range 1000 {
		server := fmt.Sprintf("server-%d", i)
		for _, v := range views {
			if m, ok := Owner(v, server, "z"); !ok || m.Name != name {
				continue search
			}
		}
		return server
	}
	t.Fatalf("no server is owned by %s in all views", name)
	return ""
}

// TestRules guards against dispatch while the host has no lease, no settled view
// or no unbroken ownership of the server, and against a view that is reported as
// released while work to a server that it took is in flight.
func TestRules(t *testing.T) {
	ab, abc, a := view(2, "a", "b"), view(3, "a", "b", "c"), view(1, "a")
	kept := ownedBy(t, "a", a, ab, abc)
	lost := ownedBy(t, "c", abc)
	now, end := epoch, epoch.Add(4*time.Second)
	may := func(r *DispatchRules, server string) bool { return r.MayDispatch(now, server, "z", end) }
	at := func(number uint64, v View) View { v.Number = number; return v }

	t.Run("no view", func(t *testing.T) {
		require.False(t, may(&DispatchRules{Self: member("a", "z")}, kept))
	})
	t.Run("first view unsettled", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(a, false)
		require.False(t, may(&r, kept))
		r.Adopt(a, true)
		require.True(t, may(&r, kept))
		require.False(t, r.MayDispatch(end, kept, "z", end), "the lease has ended")
	})
	t.Run("kept through unsettled views", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(a, true)
		r.Adopt(ab, false)
		r.Adopt(abc, false)
		require.True(t, may(&r, kept))
		require.False(t, may(&r, lost))
	})
	t.Run("skipped a view", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(a, true)
		r.Adopt(abc, false)
		require.False(t, may(&r, kept))
		r.Adopt(abc, true)
		require.True(t, may(&r, kept))
	})
	t.Run("owned, lost and owned again", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(a, true)
		r.Adopt(at(2, abc), false)
		r.Adopt(at(3, a), false)
		require.False(t, may(&r, lost))
		require.True(t, may(&r, kept))
		r.Adopt(at(3, a), true)
		require.True(t, may(&r, lost))
	})
	t.Run("late reply", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(abc, true)
		r.Adopt(a, true)
		require.Equal(t, uint64(3), r.AdoptedView().Number)
		require.False(t, may(&r, lost))
		r.Adopt(abc, false)
		require.True(t, r.Settled())
	})
	t.Run("other process of the same name", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Self.Incarnation = 2
		r.Adopt(a, true)
		require.False(t, may(&r, kept))
	})
	t.Run("too many unsettled views", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		r.Adopt(a, true)
		for n := range uint64(maxViewChain) {
			require.True(t, may(&r, kept))
			r.Adopt(at(2+n, ab), false)
		}
		require.False(t, may(&r, kept))
	})
	t.Run("released", func(t *testing.T) {
		r := DispatchRules{Self: member("a", "z")}
		busy := map[string]bool{}
		released := func() uint64 { return r.ReleasedView(func(server string) bool { return busy[server] }) }
		require.Zero(t, released())
		r.Adopt(a, true)
		require.Equal(t, uint64(1), released())
		require.True(t, may(&r, lost))
		require.True(t, may(&r, kept))
		busy[lost], busy[kept] = true, true
		r.Adopt(at(2, abc), false)
		require.Equal(t, uint64(1), released())
		busy[lost] = false
		require.Equal(t, uint64(2), released(), "work to a server that is kept holds up nothing")
		busy[kept] = false
		released()
		require.Empty(t, r.grantedTargets, "idle servers are not kept")
		require.True(t, may(&r, kept))
		require.Len(t, r.grantedTargets, 1, "work that starts again is noted again")
	})
}

// TestOwner guards against an owner outside the server's zone while the zone
// has hosts, against an owner that depends on the order of the members, and
// against a new host that moves servers between other hosts.
func TestOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "members")
		var v View
		zones := map[string]bool{}
		for i := range n {
			zone := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "zone")
			zones[zone] = true
			v.Members = append(v.Members, member(fmt.Sprintf("host-%d", i), zone))
		}
		server := rapid.StringMatching(`[a-z]{1,8}-[0-9]{1,3}`).Draw(t, "server")
		zone := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "server zone")
		owner, ok := Owner(v, server, zone)
		require.True(t, ok)
		if zones[zone] {
			require.Equal(t, zone, owner.Zone)
		}
		permuted := View{Members: rapid.Permutation(v.Members).Draw(t, "permutation")}
		permutedOwner, _ := Owner(permuted, server, zone)
		require.Equal(t, owner, permutedOwner)
		if !zones[zone] {
			return
		}
		added := member("host-new", rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "new zone"))
		widened := View{Members: append(append([]Member(nil), v.Members...), added)}
		newOwner, _ := Owner(widened, server, zone)
		if newOwner != owner {
			require.Equal(t, added, newOwner)
		}
	})
	_, ok := Owner(View{}, "server", "x")
	require.False(t, ok)
}

// TestSpread guards against a host that owns far more or fewer servers than its
// share.
func TestSpread(t *testing.T) {
	var v View
	for i := range 9 {
		v.Members = append(v.Members, member(fmt.Sprintf("entry-%d", i), "z"))
	}
	ix := NewOwnerIndex(v)
	owned := map[string]int{}
	for i := range 9000 {
		m, _ := ix.Owner(fmt.Sprintf("counter-%d-%d", i/3, i%3), "z")
		owned[m.Name]++
	}
	for name, n := range owned {
		require.InDelta(t, 1000, n, 150, name)
	}
}

// TestViewFromMessage guards against a view that loses members in its message, names
// one twice or has an address that is not IP:port.
func TestViewFromMessage(t *testing.T) {
	v := view(7, "a", "b")
	got, err := ViewFromMessage(v.Message())
	require.NoError(t, err)
	require.Equal(t, v, got)
	_, err = ViewFromMessage(view(7, "a", "a").Message())
	require.ErrorIs(t, err, ErrInvalid)
	bad := view(7, "a").Message()
	bad.Members[0].Address = "entry-1:80"
	_, err = ViewFromMessage(bad)
	require.ErrorIs(t, err, ErrInvalid)
}
