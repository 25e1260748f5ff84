package relayer

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/router"
)

// statusHandler answers with a status that net/http does not write.
func statusHandler(status string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Odd\r\nId: %s\r\nStamp: s\r\nContent-Length: 2\r\n\r\nok", status, r.Header.Get("Id"))
	}
}

// TestUndefinedStatus guards against taking a response with a status that HTTP does not define for
// an answer: a safe request is sent to another server, an unsafe one ends without an answer.
func TestUndefinedStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		safe := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
		safe.servers["a"].setHandler(statusHandler(status))
		for range 3 {
			a := safe.get(t, "/x")
			require.Equal(t, Served, a.Reason, status)
			require.Equal(t, http.StatusOK, a.Status, status)
		}
		unsafe := newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
		for _, b := range unsafe.servers {
			b.setHandler(statusHandler(status))
		}
		require.Equal(t, Broken, unsafe.get(t, "/x").Reason, status)
		require.EqualValues(t, 1, unsafe.servers["a"].requests.Load()+unsafe.servers["b"].requests.Load())
	}
}
