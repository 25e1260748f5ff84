package pinner

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestScripts runs the scripts, each of which guards against the failure that its
// first comment states. A line of an offer holds the server, snapshot, shard count
// and shards.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var m *SnapshotList
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			var after []string
			switch d.Cmd {
			case "build":
				var minimum int
				d.MaybeScanArgs(t, "minimum", &minimum)
				m = Build(parseOffers(t, d), uint32(minimum))
			case "next":
				d.ScanArgs(t, "after", &after)
			}
			for _, c := range m.Conflicts() {
				fmt.Fprintln(&out, c)
			}
			s, ok := m.Next(after...)
			if !ok {
				return out.String() + "no snapshot\n"
			}
			fmt.Fprintf(&out, "snapshot %s, %d of %d shards, missing %v\n", s.Version(), s.CoveredShards(), s.ShardCount(), s.MissingShards())
			for shard := range min(s.ShardCount(), 4) {
				fmt.Fprintf(&out, "  %d: %v\n", shard, s.Candidates(shard))
			}
			return out.String()
		})
	})
}

func parseOffers(t *testing.T, d *datadriven.TestData) []Offer {
	var offers []Offer
	for line := range strings.Lines(d.Input) {
		words := strings.Fields(line)
		o := Offer{Server: words[0], Snapshot: words[1]}
		numbers := make([]uint32, 0, len(words))
		for _, word := range words[2:] {
			n, err := strconv.ParseUint(word, 10, 32)
			require.NoError(t, err)
			numbers = append(numbers, uint32(n))
		}
		o.ShardCount, o.Shards = numbers[0], numbers[1:]
		offers = append(offers, o)
	}
	return offers
}

// TestPick guards against a snapshot that mixes versions or partitionings, against a
// wrong denominator of coverage, and against an older or less covered snapshot than
// the best one.
func TestPick(t *testing.T) {
	offer := rapid.Custom(func(t *rapid.T) Offer {
		return Offer{
			Server:     rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "server"),
			Snapshot:   rapid.SampledFrom([]string{"9", "10", "11"}).Draw(t, "snapshot"),
			ShardCount: rapid.SampledFrom([]uint32{0, 2, 2, 2, 3, MaxShardCount + 1}).Draw(t, "count"),
			Shards:     rapid.SliceOfN(rapid.Uint32Range(0, 3), 0, 3).Draw(t, "shards"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		offers := rapid.SliceOfN(offer, 0, 12).Draw(t, "offers")
		minimum := rapid.Uint32Range(0, 3).Draw(t, "minimum")
		m := Build(offers, minimum)
		var want []reference
		for _, version := range []string{"11", "10", "9"} {
			if r := newReference(offers, version); r.count >= minimum && r.covered() > 0 {
				want = append(want, r)
			}
		}
		slices.SortStableFunc(want, func(a, b reference) int {
			return cmp.Compare(b.covered()*float64(a.count), a.covered()*float64(b.count))
		})
		require.Len(t, m.Snapshots(), len(want))
		var after []string
		for _, r := range want {
			s, ok := m.Next(after...)
			require.True(t, ok)
			require.Equal(t, r.version, s.Version())
			require.Equal(t, r.count, s.ShardCount())
			require.EqualValues(t, r.covered(), s.CoveredShards())
			require.Len(t, s.MissingShards(), int(s.ShardCount()-s.CoveredShards()))
			for shard := range s.ShardCount() + 1 {
				require.Equal(t, r.servers[shard], s.Candidates(shard))
			}
			after = append(after, r.version)
		}
		_, ok := m.Next(after...)
		require.False(t, ok)
	})
}

// reference is a snapshot computed shard by shard from all offers.
type reference struct {
	version string
	count   uint32
	servers map[uint32][]string
}

func (r reference) covered() float64 { return float64(len(r.servers)) }

func newReference(offers []Offer, version string) reference {
	r := reference{version: version, servers: map[uint32][]string{}}
	for _, o := range offers {
		if o.Snapshot == version && o.ShardCount <= MaxShardCount {
			r.count = max(r.count, o.ShardCount)
		}
	}
	for shard := range r.count {
		for _, server := range []string{"a", "b", "c", "d"} {
			holds := func(o Offer) bool {
				return o.Server == server && o.Snapshot == version && o.ShardCount == r.count &&
					slices.Contains(o.Shards, shard)
			}
			if slices.ContainsFunc(offers, holds) {
				r.servers[shard] = append(r.servers[shard], server)
			}
		}
	}
	return r
}

// TestCompare guards against a wrong order of versions: numbers must compare by
// value, other texts by length first.
func TestCompare(t *testing.T) {
	order := []string{"0", "9", "09", "10", "99999999999999999999", "100000000000000000000", "", "a", "v9", "v10"}
	for i, a := range order {
		for j, b := range order {
			require.Equal(t, cmp.Compare(i, j), CompareVersions(a, b), "%q, %q", a, b)
		}
	}
}

// BenchmarkPick measures the choice of a snapshot and a visit of the replicas of
// every shard.
func BenchmarkPick(b *testing.B) {
	for _, width := range []uint32{10, 34, 100, 340} {
		b.Run(fmt.Sprint(width), func(b *testing.B) {
			var offers []Offer
			for i := range 3 * width {
				offers = append(offers, Offer{Server: fmt.Sprint(i), Snapshot: "8", ShardCount: width, Shards: []uint32{i / 3}})
			}
			m := Build(offers, 0)
			b.ReportAllocs()
			for b.Loop() {
				s, _ := m.Pick()
				for shard := range s.ShardCount() {
					if len(s.Candidates(shard)) != 3 {
						b.Fatal(shard)
					}
				}
			}
		})
	}
}
