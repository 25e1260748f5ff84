package gatherer

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestDecide guards against waiting in vain, against answers with too few parts
// and against late answers that were ready in time. The plan is the same for
// all: objective 100 ms, answers leave at 90 ms, limit 1 s, 10 shards of which 9
// are needed.
func TestDecide(t *testing.T) {
	start := time.Unix(1000, 0)
	plan := Plan{
		Start: start, Aim: start.Add(90 * time.Millisecond), Limit: start.Add(time.Second),
		Objective: 100 * time.Millisecond, Shards: 10, Need: 9,
	}
	datadriven.RunTest(t, "testdata/decide", func(t *testing.T, d *datadriven.TestData) string {
		var at string
		var parts, open int
		_, err := fmt.Sscan(d.Input, &at, &parts, &open)
		require.NoError(t, err)
		after, err := time.ParseDuration(at)
		require.NoError(t, err)
		verdict, until := plan.Decide(start.Add(after), parts, open)
		if verdict == Wait {
			return fmt.Sprintf("%s until %s\n", verdict, until.Sub(start))
		}
		return verdict.String() + "\n"
	})
}
