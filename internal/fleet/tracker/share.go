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
	// MaxShare bounds the bytes of one Share unless a single announcement
	// exceeds it; the rest follows with the next call.
	MaxShare = 16 << 10
	// summaryLeast is the number of servers of one zone that must drain
	// within one Share for a zone summary.
	summaryLeast = 32
	// digestBits is the size of the content digest in a renewal. It fits in
	// three bytes of the encoding.
	digestBits = 21
)

// item is one record that Share has to send, with the number that counts as
// sent afterwards.
type item struct {
	record *record
	number uint64
}

// Share returns what changed after the number since, oldest first, and the
// number to ask for next. A caller that starts, or that needs everything
// again, passes 0. One call returns about MaxShare bytes at most.
//
// A change of content is sent in full. Renewals, draining and lost servers are
// sent in the short form: server, incarnation, sequence, draining, load and a
// digest of the content by which the receiver finds out that it missed a
// change. When many servers of one zone drain at once, one zone summary
// precedes them, which lists the servers of the zone that stay.
func (t *Table) Share(now time.Time, since uint64) (last uint64, shared []*messenger.Shared) {
	t.advance(now)
	items := t.itemsAfter(since)
	shared, items = t.summarize(items)
	size := 0
	for _, s := range shared {
		size += proto.Size(s)
	}
	for i, it := range items {
		s := it.record.shared(t.latest, since)
		size += proto.Size(s)
		if size > MaxShare && i > 0 {
			return items[i-1].number, shared
		}
		shared = append(shared, s)
	}
	return t.number, shared
}

// itemsAfter lists what was touched after since in the order of its numbers.
func (t *Table) itemsAfter(since uint64) []item {
	var items []item
	for e := t.recent.Front(); e != nil; e = e.Next() {
		r := e.Value.(*record)
		if r.touched() <= since {
			break
		}
		number := r.renewed
		if r.changed > since {
			number = r.changed
		}
		items = append(items, item{r, number})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].number < items[j].number })
	return items
}

// shared returns what a caller that knows everything up to since needs.
func (r *record) shared(now time.Time, since uint64) *messenger.Shared {
	// Rounding down keeps the lease on the safe side.
	remaining := max(0, r.LeaseEnd.Sub(now).Truncate(time.Millisecond))
	gone := !r.known || r.Draining || remaining == 0
	if r.changed > since && !gone {
		m := r.Message()
		m.Uptime = durationpb.New(now.Sub(r.Started).Truncate(time.Millisecond))
		return &messenger.Shared{Announcement: m, Remaining: durationpb.New(remaining)}
	}
	s := &messenger.Shared{
		Renewal: true,
		Announcement: &messenger.Announcement{
			Server:      r.Server.Server,
			Incarnation: r.Incarnation,
			Sequence:    r.Sequence,
			Draining:    r.Draining,
		},
	}
	if !gone {
		s.Announcement.Load = r.Load
		s.Digest = r.digest
	}
	if remaining > 0 {
		s.Remaining = durationpb.New(remaining)
	}
	return s
}

// summarize returns a summary for each zone of which summaryLeast servers or
// more drain among the items and of which fewer stay. Of the servers that a
// summary covers, only those heard directly remain among the items: they make
// the receiver's state exact, and their number is paged like any other.
func (t *Table) summarize(items []item) ([]*messenger.Shared, []item) {
	least := t.summaryLeast
	if least == 0 {
		least = summaryLeast
	}
	gone := map[string]int{}
	for _, it := range items {
		if it.record.known && it.record.Draining {
			gone[it.record.Zone]++
		}
	}
	var zones []string
	for zone, n := range gone {
		if n >= least {
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
		stay := t.staying(zone)
		if len(stay) > gone[zone] {
			continue
		}
		covered[zone] = true
		summaries = append(summaries, &messenger.Shared{Summary: &messenger.ZoneSummary{Zone: zone, Staying: stay}})
	}
	items = slices.DeleteFunc(items, func(it item) bool {
		r := it.record
		return r.known && r.Draining && !r.direct && covered[r.Zone]
	})
	return summaries, items
}

// staying returns the hashes of the servers of the zone that do not drain.
func (t *Table) staying(zone string) []uint32 {
	var hashes []uint32
	for name, r := range t.records {
		if r.known && r.Zone == zone && !r.Draining && !r.lost && !r.suspended {
			hashes = append(hashes, nameHash(name))
		}
	}
	slices.Sort(hashes)
	return hashes
}

func nameHash(server string) uint32 { return uint32(xxhash.Sum64String(server)) }

// digest hashes the content of a, which is all that a renewal leaves out.
func digest(a Announcement) uint32 {
	var d xxhash.Digest
	d.Reset()
	text := func(s string) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(len(s))))
		_, _ = d.WriteString(s)
	}
	number := func(n int) {
		_, _ = d.Write(binary.AppendUvarint(nil, uint64(n)))
	}
	text(a.Address.String())
	text(a.Zone)
	number(a.Slots)
	number(a.Connections)
	for _, s := range a.Served {
		text(s.Archive)
		text(s.Snapshot)
		number(s.Count)
		number(len(s.Shards))
		for _, shard := range s.Shards {
			number(shard)
		}
		number(len(s.Lanes))
		for _, lane := range s.Lanes {
			text(lane)
		}
	}
	return uint32(d.Sum64() & (1<<digestBits - 1))
}
