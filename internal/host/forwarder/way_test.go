package forwarder

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWay guards against partial answers that leave too late on hosts with a
// small share of a core, and against a margin that costs half an objective where
// clients are near.
func TestWay(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	client, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = client.Close() }()
	conn, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	const most = 15 * time.Millisecond
	c := &clientConn{conn: conn}
	near := c.way(most, 1)
	require.Less(t, near, most/2)
	require.GreaterOrEqual(t, near, processing)
	require.GreaterOrEqual(t, c.way(most, 0.2), 5*processing)
	require.LessOrEqual(t, c.way(most, 0.01), most)
	pipe, _ := net.Pipe()
	require.Equal(t, most, (&clientConn{conn: pipe}).way(most, 1), "the round trip is not known")
}
