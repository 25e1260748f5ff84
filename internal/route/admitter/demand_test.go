package admitter

import (
	"bufio"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// demandScript holds the requests of a script until their effect is asked for.
type demandScript struct {
	requests map[time.Duration][]string
}

func (s *demandScript) run(t *testing.T, line string) string {
	words := strings.Fields(line)
	args := map[string]string{"share": "0.8"}
	for _, w := range words[1:] {
		key, value, _ := strings.Cut(w, "=")
		args[key] = value
	}
	duration := func(key string) time.Duration {
		d, err := time.ParseDuration(args[key])
		require.NoError(t, err)
		return d
	}
	switch words[0] {
	case "new":
		s.requests = nil
	case "requests":
		if s.requests == nil {
			s.requests = map[time.Duration][]string{}
		}
		for at := duration("from"); at < duration("to"); at += duration("every") {
			s.requests[at] = append(s.requests[at], args["account"])
		}
	case "standing":
		d := &Demand{}
		for _, at := range slices.Sorted(maps.Keys(s.requests)) {
			for _, name := range s.requests[at] {
				d.Record(epoch.Add(at), name)
			}
		}
		share, err := strconv.ParseFloat(args["share"], 64)
		require.NoError(t, err)
		standing := d.Standing(epoch.Add(duration("at")), args["account"])
		own, others := standing.shares(share)
		return fmt.Sprintf("excess %.2f of %.2f; share %.2f others %.2f\n", standing.Excess, standing.TotalExcess, own, others)
	}
	return ""
}

// TestDemand guards against accounts that pay for the burst of another one, for a burst of
// all accounts, or for chance. A service sends 0.8 of its requests unless a script says
// otherwise.
func TestDemand(t *testing.T) {
	s := &demandScript{}
	datadriven.RunTest(t, "testdata/demand", func(t *testing.T, d *datadriven.TestData) string {
		lines := bufio.NewScanner(strings.NewReader(d.Cmd + " " + argText(d) + "\n" + d.Input))
		output := ""
		for lines.Scan() {
			if strings.TrimSpace(lines.Text()) != "" {
				output += s.run(t, lines.Text())
			}
		}
		return output
	})
}

// argText returns the arguments of the first line of a script.
func argText(d *datadriven.TestData) string {
	var words []string
	for _, a := range d.CmdArgs {
		words = append(words, a.String())
	}
	return strings.Join(words, " ")
}

// TestDemandBounds guards against state that grows with the number of accounts, against
// shares outside of their bounds, against a starved account, and against more or fewer
// requests being sent than the throttle asks for.
func TestDemandBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := &Demand{}
		now := epoch
		seed := rapid.IntRange(0, 2000).Draw(t, "first account")
		for i := range maxAccounts + 300 {
			d.Record(now, strconv.Itoa(seed+i%rapid.SampledFrom([]int{3, 70, 3000}).Draw(t, "accounts")))
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			require.LessOrEqual(t, d.Len(), maxAccounts)
			require.Equal(t, d.Len(), d.order.Len())
			if i > 100 && i%50 != 0 {
				continue
			}
			s := d.Standing(now, strconv.Itoa(seed))
			require.GreaterOrEqual(t, s.Excess, 0.0)
			require.LessOrEqual(t, s.Excess, 1.0)
			share := rapid.Float64Range(minShare, 1).Draw(t, "share")
			own, others := s.shares(share)
			require.GreaterOrEqual(t, own, -1e-9)
			require.LessOrEqual(t, own, others+1e-9)
			require.LessOrEqual(t, others, 1+1e-9)
			throttle := Throttle{droppedShare: 1 - share, adjustedAt: now}
			best := throttle.AccountShare(now, 0, 6, Standing{TotalExcess: s.TotalExcess})
			for rank := range 6 {
				require.GreaterOrEqual(t, throttle.AccountShare(now, rank, 6, s), 0.25*best)
			}
		}
		// The shares, weighted with the requests, add up to that of the throttle.
		sum, total, share := 0.0, 0.0, 0.7
		for name, e := range d.accounts {
			own, _ := d.Standing(now, name).shares(share)
			weight := e.Value.(*account).recent
			sum += own * weight
			total += weight
		}
		require.InDelta(t, share, sum/total, 0.05)
	})
}

// TestNoAccounts guards against another share for customers without accounts.
func TestNoAccounts(t *testing.T) {
	throttle := Throttle{droppedShare: 0.4, adjustedAt: epoch}
	for rank := range 3 {
		require.InDelta(t, throttle.SentShare(epoch, rank, 3), throttle.AccountShare(epoch, rank, 3, Standing{}), 1e-9)
	}
}
