package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/search/caller"
)

// TestUndefinedStatus guards against believing a response with a status that HTTP does not define:
// an order that ran would count as not started.
func TestUndefinedStatus(t *testing.T) {
	for _, status := range []string{"000", "600"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\n%s: no\r\nContent-Length: 0\r\n\r\n", status, caller.StartedHeader)
		}))
		c := caller.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1)
		res := c.Call(t.Context(), caller.OrderPath, caller.Message{Query: "q", Deadline: "1s"})
		require.Equal(t, caller.Failed, res.Status, "status %s: %v", status, res.Err)
		c.CloseIdle()
		server.Close()
	}
}
