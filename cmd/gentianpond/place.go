package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"gentianpond/internal/host/forwarder"
	"gentianpond/internal/route/relayer"
)

const helpPlace = `Ask a relay where a request would be sent now, and why. Nothing is sent.

Relays answer at the address of their metrics page. Servers that are about equal are
chosen at random, so that the next request may go to another one. The allowance of
the account is not used up.`

// placementPath is the path of the page that the command asks.
const placementPath = "/placement"

func newPlaceCommand() command {
	sub := newSubcommand("place", helpPlace)
	relay, r := "127.0.0.1:9102", forwarder.PlacementRequest{Method: "GET"}
	var body string
	var asJSON bool
	sub.String(&relay, "r", "relay", "Address of the metrics page of a relay, IP:port.")
	sub.String(&r.Method, "m", "method", "Method of the request.")
	sub.String(&r.Account, "a", "account", "Name of the client account.")
	sub.String(&body, "b", "body", "File with the body of the request.")
	sub.Bool(&asJSON, "j", "json", "Print JSON.")
	sub.AddPositionalValue(&r.Host, "host", 1, true, "Requested host, without a port.")
	sub.AddPositionalValue(&r.Target, "path", 2, true, "Path with query.")
	return command{sub: sub, run: func(ctx context.Context) error {
		if body != "" {
			data, err := os.ReadFile(body)
			if err != nil {
				return errors.Wrap(errUsage, err.Error())
			}
			r.Body = data
		}
		var p relayer.Placement
		if err := postJSON(ctx, relay, placementPath, nil, r, &p); err != nil {
			return err
		}
		if asJSON {
			e := json.NewEncoder(os.Stdout)
			e.SetIndent("", "\t")
			if err := e.Encode(p); err != nil {
				return errors.Wrap(err, "write placement")
			}
			return nil
		}
		return printPlacement(os.Stdout, p)
	}}
}

// printPlacement prints a placement for people.
func printPlacement(out io.Writer, p relayer.Placement) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s at a host in zone %s, table %d", p.Fingerprint, p.Zone, p.Table)
	if p.Route != "" {
		fmt.Fprintf(&b, ": route %s (%s)", p.Route, p.Kind)
	}
	b.WriteString("\n")
	if p.Account != "" {
		fmt.Fprintf(&b, "account %s: allowance %s", p.Account, p.Allowance)
		if p.Rate > 0 {
			fmt.Fprintf(&b, " of %g requests a second", p.Rate)
		}
		b.WriteString("\n")
	}
	if p.Suspicion != "" {
		fmt.Fprintf(&b, "suspected to crash servers: %s\n", p.Suspicion)
	}
	switch {
	case p.Refusal != "":
		fmt.Fprintf(&b, "would be refused: %s\n", p.Refusal)
	case p.Dropped > 0:
		fmt.Fprintf(&b, "would be refused because of congestion with a probability of %.2f\n", p.Dropped)
	default:
		b.WriteString("would be sent\n")
	}
	for _, s := range p.Services {
		printService(&b, s)
	}
	if _, err := io.WriteString(out, b.String()); err != nil {
		return errors.Wrap(err, "write placement")
	}
	return nil
}

// printService prints a service and its servers.
func printService(b *strings.Builder, s relayer.Service) {
	fmt.Fprintf(b, "service %s: %s", s.Name, s.State)
	if s.Weight > 0 {
		fmt.Fprintf(b, ", gets %.2f of the requests", s.Weight)
	}
	if s.Sent < 1 {
		fmt.Fprintf(b, ", congested: gets %.2f of them", s.Sent)
	}
	if s.Cost > 0 {
		fmt.Fprintf(b, ", cost %.1f ms (account x%.2f, with this request x%.2f, %.0f samples)", s.Cost, s.Account, s.Request, s.Samples)
	} else {
		b.WriteString(", cost unknown")
	}
	b.WriteString("\n")
	for _, c := range s.Servers {
		printCandidate(b, c)
	}
}

// printCandidate prints a server.
func printCandidate(b *strings.Builder, c relayer.Candidate) {
	mark := " "
	if c.Chosen {
		mark = ">"
	}
	fmt.Fprintf(b, "%s %s zone %s %s %s", mark, c.Name, c.Zone, c.State, c.Class)
	if c.Ramp > 0 {
		fmt.Fprintf(b, " %.2f", c.Ramp)
	}
	if c.Expected > 0 {
		fmt.Fprintf(b, ", expected %.1f ms", c.Expected)
	} else {
		fmt.Fprintf(b, ", score %.1f ms", c.Score)
	}
	if c.Connect > 0 {
		fmt.Fprintf(b, " and %.0f ms for a connection", c.Connect)
	}
	fmt.Fprintf(b, ", %d open", c.Open)
	if c.Work > 0 {
		fmt.Fprintf(b, " with %.1f ms of work", c.Work)
	}
	if c.Speed > 0 {
		fmt.Fprintf(b, ", takes x%.2f", c.Speed)
	}
	if c.Reported {
		fmt.Fprintf(b, ", reported %d running and %d waiting on %d slots %.0f ms ago", c.Running, c.Waiting, c.Slots, c.Age)
	}
	for _, o := range []struct {
		set  bool
		text string
	}{
		{c.Near, "same zone"}, {c.Slow, "slow"}, {c.Failures > 0, fmt.Sprintf("failures %.2f", c.Failures)},
		{c.Limit > 0, fmt.Sprintf("limit %g a second", c.Limit)}, {c.Pause > 0, fmt.Sprintf("pause %.0f ms", c.Pause)},
		{len(c.Out) > 0, "gets nothing: " + strings.Join(c.Out, ", ")},
	} {
		if o.set {
			b.WriteString(", " + o.text)
		}
	}
	b.WriteString("\n")
}
