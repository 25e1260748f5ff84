package gatherer

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestDecide guards against waiting for parts that cannot come, against answers with
// too few parts, and against late answers that are complete enough and still wait. All cases
// use one plan: objective 100 ms (150 ms is late), soft deadline 90 ms, hard deadline 1 s, 9 of 10
// shards needed.
func TestDecide(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := Plan{
		Start: start, SoftDeadline: start.Add(90 * time.Millisecond), HardDeadline: start.Add(time.Second),
		Shards: 10, MinParts: 9,
	}
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		var elapsedText string
		var parts, openShards int
		_, err := fmt.Sscan(d.Input, &elapsedText, &parts, &openShards)
		require.NoError(t, err)
		elapsed, err := time.ParseDuration(elapsedText)
		require.NoError(t, err)
		verdict, until := plan.Decide(start.Add(elapsed), parts, openShards)
		if verdict == Wait {
			return fmt.Sprintf("%s until %s\n", verdict, until.Sub(start))
		}
		return verdict.String() + "\n"
	})
}
