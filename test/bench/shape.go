package main

import (
	"fmt"
	"path/filepath"
	"time"

	"gentianpond/internal/settings/sizer"
)

// shape is the size of one system.
type shape struct {
	name      string
	zones     []string
	entries   int
	archives  []archive
	searchers []sizer.Searcher
}

// archive is one archive of a shape.
type archive struct {
	name   string
	shards int
	slots  int
}

// The sizes of synthetic archives, those of the users' large applications.
const (
	syntheticSlots       = 3
	syntheticConnections = 30
	syntheticConnect     = 6 * time.Millisecond
	syntheticEntries     = 9
	syntheticReplicas    = 2
)

// entriesOf is the number of entry hosts of each user today.
var entriesOf = map[string]int{"limfjord": 9, "portmore": 8}

// userShape reads the sizes of a user.
func userShape(examples, user string) (shape, error) {
	w, err := sizer.ReadWorkload(filepath.Join(examples, user, "workload.json"))
	if err != nil {
		return shape{}, err
	}
	s := shape{name: user, zones: w.Zones, entries: entriesOf[user], searchers: w.Searchers()}
	for _, a := range w.Applications {
		s.archives = append(s.archives, archive{name: a.Name, shards: a.ShardCount(), slots: a.Slots})
	}
	return s, nil
}

// syntheticShape has one archive per width.
func syntheticShape(replicas int, widths ...int) shape {
	s := shape{name: fmt.Sprint("width", widths), zones: []string{"zone-1", "zone-2", "zone-3"}, entries: syntheticEntries}
	for _, width := range widths {
		name := fmt.Sprintf("width-%d", width)
		s.archives = append(s.archives, archive{name: name, shards: width, slots: syntheticSlots})
		for i := range width * replicas {
			shard, replica := i%width, i/width
			s.searchers = append(s.searchers, sizer.Searcher{
				Name: fmt.Sprintf("%s-%d-%d", name, shard, replica), Zone: s.zones[(shard+replica)%len(s.zones)],
				Archive: name, Count: width, Shards: []int{shard},
				Slots: syntheticSlots, Connections: syntheticConnections, Connect: syntheticConnect,
			})
		}
	}
	return s
}
