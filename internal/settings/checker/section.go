package checker

import (
	"time"

	"gentianpond/internal/order/recorder"
	"gentianpond/internal/settings/scanner"
)

// MaxCeiling is the longest deadline that an archive may allow. A host that is
// cut off loses its backend servers 5 s after its last sync; work that it
// started before must have ended by then, or a server would run more requests
// than it has slots.
const MaxCeiling = 4 * time.Second

// Defaults of an archive.
const (
	DefaultDeadline  = 400 * time.Millisecond
	DefaultCeiling   = MaxCeiling
	DefaultHedge     = 0.05
	DefaultQuantile  = 0.95
	DefaultRetry     = 0.1
	DefaultRetention = 24 * time.Hour
)

// Limits of an archive.
const (
	minDeadline = time.Millisecond
	// maxHedge and maxRetry keep extra load below the level at which retries
	// sustain an overload.
	maxHedge     = 0.5
	maxRetry     = 0.5
	minQuantile  = 0.5
	maxQuantile  = 0.9999
	minRetention = time.Minute
	maxRetention = recorder.MaxRetention
	maxShards    = 1 << 20
)

// DefaultArchive returns the settings of an archive that sets nothing.
func DefaultArchive(name string) Archive {
	return Archive{
		Name:      name,
		Deadline:  DefaultDeadline,
		Ceiling:   DefaultCeiling,
		Hedge:     DefaultHedge,
		Retry:     DefaultRetry,
		Quantile:  DefaultQuantile,
		Canary:    CanaryAlert,
		Retention: DefaultRetention,
		Lanes:     []Lane{Interactive, Bulk},
	}
}

// parseSection reads the section of team. Owners maps archives to the team
// that lists them and gains the archives of this section.
func parseSection(team string, n scanner.Node, owners map[string]string) Section {
	section := Section{Team: team, Text: n.Text()}
	o, ok := n.Object("archives")
	if !ok {
		return section
	}
	archives, ok := o.Field("archives")
	if !ok {
		return section
	}
	members, _ := archives.Members()
	for _, m := range members {
		checkName(m.Key)
		if owner, ok := owners[m.Name]; ok {
			m.Key.Fault("archive %q belongs to team %q", m.Name, owner)
		}
		owners[m.Name] = team
		section.Archives = append(section.Archives, parseArchive(m.Name, m.Value))
	}
	return section
}

func parseArchive(name string, n scanner.Node) Archive {
	a := DefaultArchive(name)
	o, ok := n.Object("deadline", "ceiling", "hedge", "quantile", "retry", "canary",
		"retention", "shards", "lanes")
	if !ok {
		return a
	}
	parseDeadlines(o, &a)
	if n, ok := o.Field("hedge"); ok {
		a.Hedge, _ = n.Float(0, maxHedge)
	}
	if n, ok := o.Field("quantile"); ok {
		a.Quantile, _ = n.Float(minQuantile, maxQuantile)
	}
	if n, ok := o.Field("retry"); ok {
		a.Retry, _ = n.Float(0, maxRetry)
	}
	if n, ok := o.Field("canary"); ok {
		a.Canary = parseCanary(n)
	}
	if n, ok := o.Field("retention"); ok {
		a.Retention, _ = n.Duration(minRetention, maxRetention)
	}
	if n, ok := o.Field("shards"); ok {
		v, _ := n.Uint(0, maxShards)
		a.Shards = int(v)
	}
	if n, ok := o.Field("lanes"); ok {
		a.Lanes = parseLanes(n)
	}
	return a
}

// parseDeadlines reads deadline and ceiling. When only one is given, the
// default of the other yields to it.
func parseDeadlines(o scanner.Object, a *Archive) {
	deadline, hasDeadline := o.Field("deadline")
	ceiling, hasCeiling := o.Field("ceiling")
	if hasDeadline {
		a.Deadline, hasDeadline = deadline.Duration(minDeadline, MaxCeiling)
	}
	if hasCeiling {
		a.Ceiling, hasCeiling = ceiling.Duration(minDeadline, MaxCeiling)
	}
	if a.Deadline <= a.Ceiling {
		return
	}
	switch {
	case hasDeadline && hasCeiling:
		deadline.Fault("deadline %s exceeds ceiling %s", a.Deadline, a.Ceiling)
	case hasDeadline:
		a.Ceiling = a.Deadline
	case hasCeiling:
		a.Deadline = a.Ceiling
	}
}

func parseCanary(n scanner.Node) Canary {
	name, ok := n.String()
	if !ok {
		return CanaryAlert
	}
	c, ok := canaryByName(name)
	if !ok {
		n.Fault(`canary %q is not "always", "alert" or "off"`, name)
	}
	return c
}

func parseLanes(n scanner.Node) []Lane {
	nodes, ok := n.Array()
	if !ok {
		return nil
	}
	if len(nodes) == 0 {
		n.Fault("no lane is listed; leave the field out to allow all")
	}
	var lanes []Lane
	seen := map[Lane]bool{}
	for _, n := range nodes {
		s, ok := n.String()
		if !ok {
			continue
		}
		lane := Lane(s)
		if lane != Interactive && lane != Bulk {
			n.Fault("lane %q is not %q or %q", s, Interactive, Bulk)
			continue
		}
		if seen[lane] {
			n.Fault("lane %q is listed twice", s)
			continue
		}
		seen[lane] = true
		lanes = append(lanes, lane)
	}
	return lanes
}
