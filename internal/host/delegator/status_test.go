package delegator

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/route/relayer"
)

// TestUndefinedStatus guards against passing on a status that HTTP does not define, which a host of
// an older version takes from a backend server.
func TestUndefinedStatus(t *testing.T) {
	for status, want := range map[uint32]relayer.Reason{
		0: relayer.Broken, 99: relayer.Broken, 600: relayer.Broken, 1 << 31: relayer.Broken, http.StatusOK: relayer.Served, 599: relayer.Served,
	} {
		a := decodeReply(&messenger.ForwardReply{Reason: relayer.Served.String(), Status: status})
		require.Equal(t, want, a.Reason, status)
	}
	a := decodeReply(&messenger.ForwardReply{Reason: relayer.Shed.String()})
	require.Equal(t, relayer.Shed, a.Reason)
}
