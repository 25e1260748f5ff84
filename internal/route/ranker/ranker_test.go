package ranker

import (
	"bytes"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestGreatest guards against records that are lost, duplicated or out of order, and
// against treating a short remainder of a part as a record.
func TestGreatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 60), 0, 5).Draw(t, "parts")
		count := rapid.IntRange(0, 20).Draw(t, "count")
		var all [][]byte
		for _, p := range parts {
			for i := 0; i+RecordSize <= len(p); i += RecordSize {
				all = append(all, p[i:i+RecordSize])
			}
		}
		slices.SortFunc(all, bytes.Compare)
		slices.Reverse(all)
		want := bytes.Join(all[:min(count, len(all))], nil)
		require.True(t, bytes.Equal(want, Greatest(parts, count)))
	})
}
