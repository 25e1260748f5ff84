package forwarder

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"gentianpond/internal/route/router"
	"gentianpond/internal/settings/loader"
)

// TestPlacementHandler guards against a question that brings no answer because the host has no
// table, and against one that may hold any amount of memory.
func TestPlacementHandler(t *testing.T) {
	s := loader.RelaySettings{Name: "entry", Zone: "z", Listen: freeAddress(t), Ready: freeAddress(t), Seeds: []netip.AddrPort{freeAddress(t)}, Cost: true}
	f, err := New(s, Adapter{
		DecodeDocument:      func([]byte) (*router.Table, error) { return nil, router.ErrInvalid },
		NewEntryHandler:     func(RequestRelayer) http.Handler { return http.NotFoundHandler() },
		NewReadinessHandler: func(func() bool) http.Handler { return http.NotFoundHandler() },
	}, log.New(io.Discard), tally.NoopScope)
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.clientListener.Close(); _ = f.readinessListener.Close() })
	server := httptest.NewServer(f.NewPlacementHandler())
	t.Cleanup(server.Close)
	ask := func(text string) (int, string) {
		res, err := http.Post(server.URL, "application/json", strings.NewReader(text))
		require.NoError(t, err)
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return res.StatusCode, string(body)
	}
	status, body := ask(`{"method":"GET","host":"h","target":"/x"}`)
	require.Equal(t, http.StatusOK, status)
	require.Contains(t, body, `"refusal":"not ready"`)
	status, _ = ask("nonsense")
	require.Equal(t, http.StatusBadRequest, status)
	status, _ = ask(`{"host":"` + strings.Repeat("x", maxPlacementBytes) + `"}`)
	require.Equal(t, http.StatusBadRequest, status)
}
