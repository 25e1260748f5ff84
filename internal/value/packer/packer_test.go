package packer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRoundTrip guards against documents that come back changed, and against
// damaged data that passes for a document.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		data, err := Pack(text)
		require.NoError(t, err)
		back, err := Unpack(data, int64(len(text)))
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, back))
		_, err = Unpack(data[:len(data)-1], int64(len(text)))
		require.ErrorIs(t, err, ErrDamaged)
		if len(text) > 0 {
			_, err = Unpack(data, int64(len(text)-1))
			require.ErrorIs(t, err, ErrDamaged)
		}
	})
}
