package main

import (
	"fmt"
	"path/filepath"
	"time"

	"gentianpond/internal/settings/sizer"
)

// shape describes the hosts, archives and backend servers of one system.
type shape struct {
	name  string
	zones []string
	// entryCount is the number of entry hosts.
	entryCount int
	archives   []archive
	// searchers are the backend servers of all archives.
	searchers []sizer.Searcher
}

// archive is one archive of a shape.
type archive struct {
	name   string
	shards int
	// slots is the number of slots of each of its backend servers.
	slots int
}

// The sizes of synthetic archives, which equal those of the users' large
// applications.
const (
	syntheticSlots       = 3
	syntheticConnections = 30
	syntheticConnectTime = 6 * time.Millisecond
	syntheticEntryCount  = 9
	syntheticReplicas    = 2
)

// userEntryCounts holds the number of entry hosts that each user has today.
var userEntryCounts = map[string]int{"limfjord": 9, "portmore": 8}

// userShape reads the shape of a user's system from the workload file.
func userShape(examples, user string) (shape, error) {
	w, err := sizer.ReadWorkload(filepath.Join(examples, user, "workload.json"))
	if err != nil {
		return shape{}, err
	}
	s := shape{name: user, zones: w.Zones, entryCount: userEntryCounts[user], searchers: w.Searchers()}
	for _, a := range w.Applications {
		s.archives = append(s.archives, archive{name: a.Name, shards: a.ShardCount(), slots: a.Slots})
	}
	return s, nil
}

// syntheticShape returns a shape with one archive per width. The width is the
// number of shards.
func syntheticShape(replicas int, widths ...int) shape {
	s := shape{name: fmt.Sprint("width", widths), zones: []string{"zone-1", "zone-2", "zone-3"}, entryCount: syntheticEntryCount}
	for _, width := range widths {
		name := fmt.Sprintf("width-%d", width)
		s.archives = append(s.archives, archive{name: name, shards: width, slots: syntheticSlots})
		for i := range width * replicas {
			shard, replica := i%width, i/width
			s.searchers = append(s.searchers, sizer.Searcher{
				Name: fmt.Sprintf("%s-%d-%d", name, shard, replica), Zone: s.zones[(shard+replica)%len(s.zones)],
				Archive: name, Count: width, Shards: []int{shard},
				Slots: syntheticSlots, Connections: syntheticConnections, Connect: syntheticConnectTime,
			})
		}
	}
	return s
}
