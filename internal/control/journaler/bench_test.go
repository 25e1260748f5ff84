package journaler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func openForBenchmark(b *testing.B) (string, *Journal) {
	folder := b.TempDir()
	_, err := Create(folder)
	require.NoError(b, err)
	j, _, err := Open(folder)
	require.NoError(b, err)
	return folder, j
}

func BenchmarkSave(b *testing.B) {
	for _, size := range []uint64{1, 4, 16, 64} {
		b.Run(fmt.Sprintf("batch-%d", size), func(b *testing.B) {
			_, j := openForBenchmark(b)
			next := uint64(1)
			for b.Loop() {
				require.NoError(b, j.Save(Batch{Records: makeRecords(next, size)}))
				next += size
			}
			b.ReportMetric(float64(next-1)/b.Elapsed().Seconds(), "records/s")
			require.NoError(b, j.Close())
		})
	}
}

func BenchmarkOpen(b *testing.B) {
	for _, n := range []uint64{500, 5000} {
		b.Run(fmt.Sprintf("records-%d", n), func(b *testing.B) {
			folder, j := openForBenchmark(b)
			for i := range n {
				require.NoError(b, j.Save(Batch{Records: makeRecords(i+1, 1)}))
			}
			require.NoError(b, j.Close())
			for b.Loop() {
				j, state, err := Open(folder)
				require.NoError(b, err)
				require.Len(b, state.Records, int(n))
				require.NoError(b, j.Close())
			}
		})
	}
}
