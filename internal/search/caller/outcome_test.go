package caller_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"gentianpond/internal/search/caller"
)

// TestOrderOutcomes guards against an order that is called not started because of the status
// of a server that does not state it. Each line of the script is the reply to one order.
func TestOrderOutcomes(t *testing.T) {
	datadriven.RunTest(t, "testdata/outcomes", func(t *testing.T, d *datadriven.TestData) string {
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			words := strings.Fields(line)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				header, length := "Retry-After: 3\r\n", 2
				if slices.Contains(words, "stated") {
					header += caller.StartedHeader + ": no\r\n"
				}
				if slices.Contains(words, "short") {
					length = 10
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\n%sContent-Length: %d\r\n\r\n{}", words[0], header, length)
			}))
			c := caller.New(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), 1)
			res := c.Call(t.Context(), caller.OrderPath, caller.Message{Query: "q", Attempt: "1", Deadline: "1s"})
			fmt.Fprintf(&out, "%-16s %s, not started: %t\n", strings.Join(words, " "), res.Status, res.Status.NotStarted())
			c.CloseIdle()
			server.Close()
		}
		return out.String()
	})
}
