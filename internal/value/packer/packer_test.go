package packer

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestRoundTrip guards against documents that Unpack returns changed, and against
// truncated or overlong data that Unpack accepts.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOf(rapid.Byte()).Draw(t, "text")
		packed, err := Pack(text)
		require.NoError(t, err)
		unpacked, err := Unpack(packed, int64(len(text)))
		require.NoError(t, err)
		require.True(t, bytes.Equal(text, unpacked))
		_, err = Unpack(packed[:len(packed)-1], int64(len(text)))
		require.ErrorIs(t, err, ErrDamaged)
		if len(text) > 0 {
			_, err = Unpack(packed, int64(len(text)-1))
			require.ErrorIs(t, err, ErrDamaged)
		}
	})
}
