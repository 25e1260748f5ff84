package main

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"gentianpond/internal/route/relayer"
)

// TestPrintPlacement guards against lines that leave out why a server gets nothing or why the
// request is refused.
func TestPrintPlacement(t *testing.T) {
	var out strings.Builder
	require.NoError(t, printPlacement(&out, relayer.Placement{
		Zone: "z", Table: 7, Route: "r", Kind: "safe", Account: "one", Rate: 5, Allowance: "room", Fingerprint: "00ff", Required: 1,
		Services: []relayer.Service{{
			Name: "s", Sent: 1, State: "available", Cost: 12.5, Samples: 40, Account: 1.5, Request: 2, Chosen: "a",
			Servers: []relayer.Candidate{
				{Name: "a", Zone: "z", State: "ready", Chosen: true, Class: "usable", Near: true, Expected: 14, Open: 1, Work: 6, Speed: 0.9, Reported: true, Running: 2, Waiting: 1, Slots: 4, Age: 80},
				{Name: "b", Zone: "y", State: "ready", Class: "cold", Ramp: 0.5, Score: 20, Connect: 8, Out: []string{"paused", "rate limit"}, Pause: 500, Limit: 3},
			},
		}, {Name: "s2", Sent: 0.8, State: "limited"}},
	}))
	require.Equal(t, `request 00ff at a host in zone z, table 7: route r (safe)
account one: allowance room of 5 requests a second
would be sent
service s: available, cost 12.5 ms (account x1.50, with this request x2.00, 40 samples)
> a zone z ready usable, expected 14.0 ms, 1 open with 6.0 ms of work, takes x0.90, reported 2 running and 1 waiting on 4 slots 80 ms ago, same zone
  b zone y ready cold 0.50, score 20.0 ms and 8 ms for a connection, 0 open, limit 3 a second, pause 500 ms, gets nothing: paused, rate limit
service s2: limited, congested: gets 0.80 of them, cost unknown
`, out.String())
	out.Reset()
	require.NoError(t, printPlacement(&out, relayer.Placement{Zone: "z", Fingerprint: "00ff", Refusal: "not ready"}))
	require.Contains(t, out.String(), "would be refused: not ready\n")
}
