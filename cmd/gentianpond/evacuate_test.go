package main

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEvacuateRequest guards against a mistyped command that evacuates a zone or withdraws
// an order.
func TestEvacuateRequest(t *testing.T) {
	for _, wrong := range [][2]string{{"list", "a"}, {"order", ""}, {"withdraw", ""}, {"", "a"}, {"orders", "a"}} {
		_, err := evacuateRequest(wrong[0], wrong[1])
		require.ErrorIs(t, err, errUsage, "%q", wrong)
	}
	r, err := evacuateRequest("order", "a")
	require.NoError(t, err)
	require.Equal(t, "a", r.GetZone())
	require.False(t, r.GetWithdrawn())
	r, err = evacuateRequest("withdraw", "a")
	require.NoError(t, err)
	require.True(t, r.GetWithdrawn())
	r, err = evacuateRequest("list", "")
	require.NoError(t, err)
	require.Empty(t, r.GetZone())
}
