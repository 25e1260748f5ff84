package admitter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetryAfter guards against times that callers with a short time limit never honour, and
// against other times than before for the rest.
func TestRetryAfter(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for _, c := range []struct{ left, least, most time.Duration }{
		{294 * time.Millisecond, 50 * time.Millisecond, 98 * time.Millisecond},
		{150 * time.Millisecond, 25 * time.Millisecond, 50 * time.Millisecond},
		{60 * time.Millisecond, minRetryAfter, maxRetryAfter},
		{0, minRetryAfter, maxRetryAfter},
		{800 * time.Millisecond, minRetryAfter, maxRetryAfter},
		{8 * time.Second, minRetryAfter, maxRetryAfter},
	} {
		for range 100 {
			after := RetryAfter(r, c.left)
			require.GreaterOrEqual(t, after, c.least, c.left)
			require.LessOrEqual(t, after, c.most, c.left)
		}
	}
}
