package tracker

import (
	"encoding/binary"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"gentianpond/internal/protocol/messenger"
)

const (
	// MaxShareBytes bounds the messages that one call of Share returns, unless the
	// summaries or a single announcement exceed it; the rest follows with the next
	// call.
	MaxShareBytes = 16 << 10
	// minSummaryServers is how many draining servers of one zone must be pending in
	// one call of Share for a zone summary.
	minSummaryServers = 32
	// digestBits is the size of the content digest in a renewal. It fits in
	// three bytes of the encoding.
	digestBits = 21
)

// shareItem is one record that Share has to return, with the number of its change
// or renewal, from which a caller that received it may go on.
type shareItem struct {
	record *record
	// shareNumber is the record's changeNumber or, if the caller knows that change
	// already, its renewalNumber.
	shareNumber uint64
}

// Share returns what changed after the number since, oldest first, and the number
// to pass in the next call. A caller that starts, or that needs everything again,
// passes 0. One call returns about MaxShareBytes at most.
//
// A change of content is shared in full. Renewals, draining and lost servers are
// shared in the short form: server, incarnation, sequence, draining, load and a
// digest of the content by which the receiver notices that it missed a change.
// When many servers of one zone drain at once, one zone summary precedes them and
// lists the servers of the zone that stay.
func (t *Table) Share(now time.Time, since uint64) (last uint64, shared []*messenger.Shared) {
	t.advanceTime(now)
	items := t.itemsAfter(since)
	shared, items = t.summarize(items)
	size := 0
	for _, s := range shared {
		size += proto.Size(s)
	}
	for i, it := range items {
		s := it.record.sharedMessage(t.latestTime, since)
		size += proto.Size(s)
		if size > MaxShareBytes && i > 0 {
			return items[i-1].shareNumber, shared
		}
		shared = append(shared, s)
	}
	return t.lastShareNumber, shared
}

// itemsAfter returns the records with changes or renewals after the number since,
// in the order of the numbers. A record that has both counts by its change.
func (t *Table) itemsAfter(since uint64) []shareItem {
	var items []shareItem
	for e := t.recent.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.newestShareNumber() <= since {
			break
		}
		number := r.renewalNumber
		if r.changeNumber > since {
			number = r.changeNumber
		}
		items = append(items, shareItem{r, number})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].shareNumber < items[j].shareNumber })
	return items
}

// sharedMessage returns the message about r for a caller that knows all changes up
// to the number since.
func (r *record) sharedMessage(now time.Time, since uint64) *messenger.Shared {
	// Rounding down never lengthens the lease.
	remaining := max(0, r.LeaseEnd.Sub(now).Truncate(time.Millisecond))
	lostOrDraining := !r.contentKnown || r.Draining || remaining == 0
	if r.changeNumber > since && !lostOrDraining {
		m := r.Message()
		m.Uptime = durationpb.New(now.Sub(r.Started).Truncate(time.Millisecond))
		return &messenger.Shared{Announcement: m, Remaining: durationpb.New(remaining)}
	}
	s := &messenger.Shared{
		Renewal: true,
		Announcement: &messenger.Announcement{
			Server:      r.ServerName,
			Incarnation: r.Incarnation,
			Sequence:    r.Sequence,
			Draining:    r.Draining,
		},
	}
	if !lostOrDraining {
		s.Announcement.Load = r.Load
		s.Digest = r.digest
	}
	if remaining > 0 {
		s.Remaining = durationpb.New(remaining)
	}
	return s
}

// summarize returns a summary for each zone of which minSummaryServers or more
// drain among the items and no more than those stay, and the items that are still
// to be shared. Of the draining servers that a summary covers, only those heard
// directly remain among the items: they make the receiver's state exact, and
// Share spreads them over several calls like all others.
func (t *Table) summarize(items []shareItem) ([]*messenger.Shared, []shareItem) {
	minServers := t.minSummaryOverride
	if minServers == 0 {
		minServers = minSummaryServers
	}
	drainingByZone := map[string]int{}
	for _, it := range items {
		if it.record.contentKnown && it.record.Draining {
			drainingByZone[it.record.Zone]++
		}
	}
	var zones []string
	for zone, n := range drainingByZone {
		if n >= minServers {
			zones = append(zones, zone)
		}
	}
	if zones == nil {
		return nil, items
	}
	sort.Strings(zones)
	var summaries []*messenger.Shared
	covered := map[string]bool{}
	for _, zone := range zones {
		hashes := t.stayingHashes(zone)
		if len(hashes) > drainingByZone[zone] {
			continue
		}
		covered[zone] = true
		summaries = append(summaries, &messenger.Shared{Summary: &messenger.ZoneSummary{Zone: zone, Staying: hashes}})
	}
	items = slices.DeleteFunc(items, func(it shareItem) bool {
		r := it.record
		return r.contentKnown && r.Draining && !r.heardDirectly && covered[r.Zone]
	})
	return summaries, items
}

// stayingHashes returns the sorted name hashes of the servers of the zone that
// are neither draining nor lost nor suspended.
func (t *Table) stayingHashes(zone string) []uint32 {
	var hashes []uint32
	for name, r := range t.records {
		if r.contentKnown && r.Zone == zone && !r.Draining && !r.lost && !r.suspended {
			hashes = append(hashes, nameHash(name))
		}
	}
	slices.Sort(hashes)
	return hashes
}

// nameHash returns the hash by which a zone summary names a server.
func nameHash(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// contentDigest hashes the fields of a that a renewal leaves out.
func contentDigest(a Announcement) uint32 {
	var d xxhash.Digest
	d.Reset()
	addString := func(s string) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	addInt := func(n int) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(n)))
	}
	addString(a.Address.String())
	addString(a.Zone)
	addInt(a.Slots)
	addInt(a.ConnectionLimit)
	for _, s := range a.Served {
		addString(s.Archive)
		addString(s.Snapshot)
		addInt(s.ShardCount)
		addInt(len(s.Shards))
		for _, shard := range s.Shards {
			addInt(shard)
		}
		addInt(len(s.Lanes))
		for _, lane := range s.Lanes {
			addString(lane)
		}
	}
	return uint32(d.Sum64() & (1<<digestBits - 1))
}
