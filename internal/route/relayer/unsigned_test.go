package relayer

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/router"
)

// TestUnsignedSuccess guards against a success without a signature that is passed on to the
// client: a safe request is sent to another server, an unsafe one may have run.
func TestUnsignedSuccess(t *testing.T) {
	unsigned := func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("unsigned")) }
	env := newTestEnv(t, []router.Route{singleRoute(router.Safe)}, map[string][]string{"s": {"a", "b"}})
	env.servers["a"].setHandler(unsigned)
	for range 10 {
		a := env.get(t, "/x")
		require.Equal(t, Served, a.Reason)
		require.NotEqual(t, "unsigned", string(a.Body))
	}
	env = newTestEnv(t, []router.Route{singleRoute(router.Unsafe)}, map[string][]string{"s": {"a", "b"}})
	env.servers["a"].setHandler(unsigned)
	env.servers["b"].setHandler(unsigned)
	require.Equal(t, Broken, env.get(t, "/x").Reason)
	require.EqualValues(t, 1, env.servers["a"].requests.Load()+env.servers["b"].requests.Load())
	// A failure of the server needs no signature.
	for _, s := range env.servers {
		s.setHandler(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) })
	}
	require.Equal(t, http.StatusNotFound, env.get(t, "/x").Status)
}
