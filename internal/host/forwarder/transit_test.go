package forwarder

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTransitTime guards against partial responses that are sent too late on hosts
// with a small share of a core, and against a margin that uses up half of the latency
// objective where clients are near.
func TestTransitTime(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const fallback = 15 * time.Millisecond
	c := &clientConn{Conn: conn}
	near := c.transitTime(fallback, 1)
	require.Less(t, near, fallback/2)
	require.GreaterOrEqual(t, near, responseCPUTime)
	require.GreaterOrEqual(t, c.transitTime(fallback, 0.2), 5*responseCPUTime)
	require.LessOrEqual(t, c.transitTime(fallback, 0.01), fallback)
	pipe, _ := net.Pipe()
	require.Equal(t, fallback, (&clientConn{Conn: pipe}).transitTime(fallback, 1), "the round trip is not known")
}
