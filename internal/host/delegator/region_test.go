package delegator

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/control/subscriber"
	"gentianpond/internal/route/relayer"
)

// TestExcludedZones guards against a request that is handed over to a host in a zone where it
// may not be processed, although no other host is known.
func TestExcludedZones(t *testing.T) {
	d := &Delegator{lastUsed: map[netip.AddrPort]time.Time{}}
	d.SetPeers([]subscriber.Peer{
		{Address: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "near"}, {Address: netip.MustParseAddrPort("127.0.0.1:2"), Zone: "far"},
	})
	near := relayer.Request{MayHandOverTo: func(zone string) bool { return zone == "near" }}
	none := relayer.Request{MayHandOverTo: func(string) bool { return false }}
	for range 20 {
		require.Equal(t, "near", d.take(time.Now(), d.excludedFor(near)).zone)
		require.Nil(t, d.take(time.Now(), d.excludedFor(none)))
		require.NotNil(t, d.take(time.Now(), d.excludedFor(relayer.Request{})))
	}
}
