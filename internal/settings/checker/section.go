package checker

import (
	"time"

	"gentianpond/internal/order/recorder"
	"gentianpond/internal/settings/scanner"
)

// MaxDeadline is the longest deadline that an archive may allow. An entry host
// that loses contact with the control hosts loses its backend servers 5 s after
// its last sync. Requests that it started before must have ended by then, or a
// server would run more requests than it has slots.
const MaxDeadline = 4 * time.Second

// Defaults for the settings of an archive. The fields of ArchiveSettings say
// what the values mean.
const (
	DefaultDeadline      = 400 * time.Millisecond
	DefaultCeiling       = MaxDeadline
	DefaultHedgeRatio    = 0.05
	DefaultHedgeQuantile = 0.95
	DefaultRetryRatio    = 0.1
	DefaultRetention     = 24 * time.Hour
)

// Limits for the settings of an archive.
const (
	minDeadline = time.Millisecond
	// maxHedgeRatio and maxRetryRatio keep the extra load below the level at
	// which retries sustain an overload.
	maxHedgeRatio    = 0.5
	maxRetryRatio    = 0.5
	minHedgeQuantile = 0.5
	maxHedgeQuantile = 0.9999
	minRetention     = time.Minute
	maxRetention     = recorder.MaxRetention
	maxShardCount    = 1 << 20
)

// DefaultArchive returns the settings of an archive whose entry is empty.
func DefaultArchive(name string) ArchiveSettings {
	return ArchiveSettings{
		Name:      name,
		Deadline:  DefaultDeadline,
		Ceiling:   DefaultCeiling,
		Hedge:     DefaultHedgeRatio,
		Retry:     DefaultRetryRatio,
		Quantile:  DefaultHedgeQuantile,
		Canary:    CanaryAlert,
		Retention: DefaultRetention,
		Lanes:     []Lane{LaneInteractive, LaneBulk},
	}
}

// parseSection reads the section of team from n. It reports a fault for each archive
// that teamOfArchive, which maps the names of archives to teams, already holds and
// adds the archives of this section to it.
func parseSection(team string, n scanner.Node, teamOfArchive map[string]string) Section {
	section := Section{Team: team, Text: n.Source()}
	object, ok := n.Object("archives")
	if !ok {
		return section
	}
	archives, ok := object.Field("archives")
	if !ok {
		return section
	}
	members, _ := archives.Members()
	for _, m := range members {
		requireValidName(m.Key)
		if otherTeam, ok := teamOfArchive[m.Name]; ok {
			m.Key.Fault("archive %q belongs to team %q", m.Name, otherTeam)
		}
		teamOfArchive[m.Name] = team
		section.Archives = append(section.Archives, parseArchive(m.Name, m.Value))
	}
	return section
}

// parseArchive reads the settings of one archive. Fields that are absent have their
// defaults.
func parseArchive(name string, node scanner.Node) ArchiveSettings {
	a := DefaultArchive(name)
	object, ok := node.Object("deadline", "ceiling", "hedge", "quantile", "retry", "canary",
		"retention", "shards", "lanes")
	if !ok {
		return a
	}
	parseDeadlines(object, &a)
	if n, ok := object.Field("hedge"); ok {
		a.Hedge, _ = n.Float(0, maxHedgeRatio)
	}
	if n, ok := object.Field("quantile"); ok {
		a.Quantile, _ = n.Float(minHedgeQuantile, maxHedgeQuantile)
	}
	if n, ok := object.Field("retry"); ok {
		a.Retry, _ = n.Float(0, maxRetryRatio)
	}
	if n, ok := object.Field("canary"); ok {
		a.Canary = parseCanary(n)
	}
	if n, ok := object.Field("retention"); ok {
		a.Retention, _ = n.Duration(minRetention, maxRetention)
	}
	if n, ok := object.Field("shards"); ok {
		v, _ := n.Uint(0, maxShardCount)
		a.Shards = int(v)
	}
	if n, ok := object.Field("lanes"); ok {
		a.Lanes = parseLanes(n)
	}
	return a
}

// parseDeadlines reads the deadline and the ceiling. If only one is given and
// the default of the other contradicts it, both get the given value.
func parseDeadlines(o scanner.Object, a *ArchiveSettings) {
	deadline, hasDeadline := o.Field("deadline")
	ceiling, hasCeiling := o.Field("ceiling")
	if hasDeadline {
		a.Deadline, hasDeadline = deadline.Duration(minDeadline, MaxDeadline)
	}
	if hasCeiling {
		a.Ceiling, hasCeiling = ceiling.Duration(minDeadline, MaxDeadline)
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

// parseCanary reads the name of a Canary. It returns CanaryAlert if the value is
// faulty.
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

// parseLanes reads a list of lanes, which must not be empty or repeat a lane.
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
	for _, element := range nodes {
		name, ok := element.String()
		if !ok {
			continue
		}
		lane := Lane(name)
		if lane != LaneInteractive && lane != LaneBulk {
			element.Fault("lane %q is not %q or %q", name, LaneInteractive, LaneBulk)
			continue
		}
		if seen[lane] {
			element.Fault("lane %q is listed twice", name)
			continue
		}
		seen[lane] = true
		lanes = append(lanes, lane)
	}
	return lanes
}
