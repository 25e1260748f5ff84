package connector

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestCutHead guards against an answer that looks whole although the server stopped in the
// middle of its head and closed the connection: every cut before the blank line is an error,
// and so is every cut of a body that has a length or chunks.
func TestCutHead(t *testing.T) {
	// complete is the number of bytes from which on the response counts as complete.
	for _, c := range []struct {
		text     string
		complete int
	}{
		{text: "HTTP/1.1 200 OK\r\nId: 1\r\nX-Stamp: a.b\r\nContent-Length: 12\r\nServer: x\r\n\r\nwhole answer"},
		{text: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: 1\r\nX-Stamp: a.b\r\nServer: long enough to be cut\r\n\r\n"},
		{text: "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\nX-Stamp: a.b\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		{text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"},
		{text: "HTTP/1.1 200 OK\nId: 1\nContent-Length: 2\n\nok"},
		{text: "HTTP/1.1 204 No Content\r\nId: 1\r\nX-Stamp: a.b\r\n\r\n"},
		// Without a length the end of the connection ends the body, but not the head.
		{text: "HTTP/1.1 200 OK\r\nId: 1\r\nX-Stamp: a.b\r\n\r\nok", complete: len("HTTP/1.1 200 OK\r\nId: 1\r\nX-Stamp: a.b\r\n\r\n")},
		{text: "HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\nok", complete: len("HTTP/1.1 200 OK\r\nConnection: close\r\nId: 1\r\n\r\n")},
	} {
		complete := c.complete
		if complete == 0 {
			complete = len(c.text)
		}
		for n := range len(c.text) + 1 {
			name := fmt.Sprintf("%q", c.text[:n])
			local, remote := net.Pipe()
			go func() {
				_, _ = io.ReadFull(remote, make([]byte, 1))
				go func() { _, _ = io.Copy(io.Discard, remote) }()
				_, _ = io.WriteString(remote, c.text[:n])
				_ = remote.Close()
			}()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			conn := newConn(local)
			response, reusable, err := conn.exchange(ctx, &Request{Method: "GET", Target: "/", Host: "h"})
			cancel()
			conn.close()
			if n < complete {
				require.ErrorIs(t, err, ErrBroken, name)
				continue
			}
			require.NoError(t, err, name)
			require.Equal(t, strings.HasPrefix(c.text, "HTTP/1.1 204"), response.Status == 204)
			require.False(t, reusable && n < len(c.text), name)
		}
	}
}
