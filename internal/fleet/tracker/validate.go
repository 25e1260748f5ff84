package tracker

import (
	"fmt"
	"math"
	"net/netip"
	"strings"

	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/settings/scanner"
)

// Limits of one announcement. They bound the memory and the traffic that one
// server can cause.
const (
	maxSlots           = 4096
	maxConnections     = 65535
	maxServedSnapshots = 64
	maxShardCount      = 1 << 20
	// maxListedShards bounds the shards that all snapshots list together.
	maxListedShards = 8192
)

// ErrInvalid is the error of announcements that break a rule of the format.
var ErrInvalid = scanner.ErrInvalid

// InvalidError lists all faults of an announcement. errors.Is reports true
// for ErrInvalid.
type InvalidError struct {
	// Faults describes each fault in words.
	Faults []string
}

// Error returns all faults in one line.
func (e *InvalidError) Error() string {
	return "announcement is invalid: " + strings.Join(e.Faults, "; ")
}

// Unwrap returns ErrInvalid.
func (e *InvalidError) Unwrap() error { return ErrInvalid }

// addFault appends a fault, formatted as by fmt.Sprintf.
func (e *InvalidError) addFault(format string, args ...any) {
	e.Faults = append(e.Faults, fmt.Sprintf(format, args...))
}

// Validate returns an *InvalidError that lists all faults of a, or nil.
func (a Announcement) Validate() error {
	var e InvalidError
	if !scanner.ValidName(a.ServerName) {
		e.addFault("server %q is not a name", a.ServerName)
	}
	if !isHostAddress(a.Address) {
		e.addFault("address %q is not IP:port of a host", a.Address)
	}
	if !scanner.ValidName(a.Zone) {
		e.addFault("zone %q is not a name", a.Zone)
	}
	if a.Incarnation == 0 {
		e.addFault("incarnation is 0")
	}
	if a.Sequence == 0 {
		e.addFault("sequence is 0")
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		e.addFault("slots %d is not from 1 to %d", a.Slots, maxSlots)
	}
	if a.ConnectionLimit < 1 || a.ConnectionLimit > maxConnections {
		e.addFault("connections %d is not from 1 to %d", a.ConnectionLimit, maxConnections)
	}
	if math.IsNaN(a.Load) || a.Load < 0 || a.Load > 1 {
		e.addFault("load %v is not from 0 to 1", a.Load)
	}
	if a.Uptime < 0 || a.Uptime > maxUptime {
		e.addFault("uptime %s is not from 0 to %s", a.Uptime, maxUptime)
	}
	a.validateServed(&e)
	if len(e.Faults) > 0 {
		return &e
	}
	return nil
}

// isHostAddress reports whether a is an address that a host can have and connect
// to. It opens no connection.
func isHostAddress(a netip.AddrPort) bool {
	return a.IsValid() && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}

// knownLane reports whether lane is the interactive or the bulk lane.
func knownLane(lane string) bool {
	return lane == LaneInteractive || lane == LaneBulk
}

// validateServed adds the faults of the served snapshots to e. It checks the limits of
// the lists first and looks at single snapshots only within these.
func (a Announcement) validateServed(e *InvalidError) {
	if len(a.Served) > maxServedSnapshots {
		e.addFault("%d snapshots are served, more than %d", len(a.Served), maxServedSnapshots)
		return
	}
	type key struct{ archive, snapshot string }
	seen := map[key]bool{}
	total := 0
	for _, s := range a.Served {
		total += len(s.Shards)
	}
	if total > maxListedShards {
		e.addFault("%d shards are listed, more than %d", total, maxListedShards)
		return
	}
	for _, s := range a.Served {
		k := key{s.Archive, s.Snapshot}
		if seen[k] {
			e.addFault("archive %q snapshot %q is listed twice", s.Archive, s.Snapshot)
		}
		seen[k] = true
		s.validate(e)
	}
}

// validate adds the faults of s to e.
func (s ServedSnapshot) validate(e *InvalidError) {
	where := fmt.Sprintf("archive %q snapshot %q", s.Archive, s.Snapshot)
	if !scanner.ValidName(s.Archive) {
		e.addFault("%s: the archive is not a name", where)
	}
	if !scanner.ValidName(s.Snapshot) {
		e.addFault("%s: the snapshot is not a name", where)
	}
	if s.ShardCount < 1 || s.ShardCount > maxShardCount {
		e.addFault("%s: count %d is not from 1 to %d", where, s.ShardCount, maxShardCount)
	}
	if len(s.Shards) == 0 {
		e.addFault("%s: no shards are listed", where)
	}
	shards := map[int]bool{}
	for _, shard := range s.Shards {
		if shard < 0 || shard >= s.ShardCount {
			e.addFault("%s: shard %d is not less than count %d", where, shard, s.ShardCount)
		}
		if shards[shard] {
			e.addFault("%s: shard %d is listed twice", where, shard)
		}
		shards[shard] = true
	}
	lanes := map[string]bool{}
	for _, lane := range s.Lanes {
		if !knownLane(lane) {
			e.addFault("%s: lane %q is not %q or %q", where, lane, LaneInteractive, LaneBulk)
		}
		if lanes[lane] {
			e.addFault("%s: lane %q is listed twice", where, lane)
		}
		lanes[lane] = true
	}
}

// validateShortForm returns an *InvalidError that lists all faults of a message in
// the short form, or nil.
func validateShortForm(m *messenger.Announcement) error {
	var e InvalidError
	if !scanner.ValidName(m.GetServer()) {
		e.addFault("server %q is not a name", m.GetServer())
	}
	if m.GetIncarnation() == 0 || m.GetSequence() == 0 {
		e.addFault("incarnation or sequence of %q is 0", m.GetServer())
	}
	if math.IsNaN(m.GetLoad()) || m.GetLoad() < 0 || m.GetLoad() > 1 {
		e.addFault("load %v of %q is not from 0 to 1", m.GetLoad(), m.GetServer())
	}
	if len(e.Faults) > 0 {
		return &e
	}
	return nil
}
