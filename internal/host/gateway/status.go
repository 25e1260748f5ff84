package gateway

import (
	"net/http"
	"time"

	"gentianpond/internal/control/subscriber"
)

// Status is the answer to GET /v1/status.
type Status struct {
	// Host is the name of this host.
	Host string `json:"host"`
	// Zone is the availability zone of this host.
	Zone string `json:"zone"`
	// Ready is true while this host has a lease and is not draining.
	Ready bool `json:"ready"`
	// Lease is the remaining time of this host's lease.
	Lease string `json:"lease"`
	// Revision is that of the configuration document.
	Revision uint64 `json:"revision"`
	// View is the number of the view.
	View uint64 `json:"view"`
	// Settled is true when all members have released what the view took from them.
	Settled bool `json:"settled"`
	// Members holds the names of the entry hosts in the view.
	Members []string `json:"members"`
	// Servers lists the usable backend servers that this host knows of.
	Servers []ServerStatus `json:"servers"`
	// Archives lists the archives that have a snapshot to search.
	Archives []ArchiveSnapshot `json:"archives"`
}

// ServerStatus describes one usable backend server.
type ServerStatus struct {
	// Server is the name of the backend server.
	Server  string `json:"server"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Incarnation grows with each restart of the server.
	Incarnation uint64 `json:"incarnation"`
	// Owner is the entry host that sends requests to the server.
	Owner string `json:"owner"`
	// Lease is the remaining time of the server's lease.
	Lease string `json:"lease"`
}

// ArchiveSnapshot describes the snapshot that new queries of an archive use.
type ArchiveSnapshot struct {
	Archive string `json:"archive"`
	// Snapshot is the version of the snapshot.
	Snapshot string `json:"snapshot"`
	// Shards is the number of shards of the snapshot.
	Shards uint32 `json:"shards"`
	// Missing lists the shards that no usable server offers.
	Missing []uint32 `json:"missing"`
}

// handleStatus serves GET /v1/status.
func (g *Gateway) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	state := g.control.State()
	s := Status{
		Host: g.self.Name, Zone: g.self.Zone, Ready: !g.draining.Load() && state.LeaseCovers(now),
		Lease: remainingTime(state.LeaseEnd, now), Revision: state.ConfigRevision, View: state.View.Number, Settled: state.Settled,
		Members: memberNames(state), Servers: g.serverStatuses(now), Archives: []ArchiveSnapshot{},
	}
	for name, m := range g.coordinator.Directory().Snapshots() {
		if snapshot, ok := m.Pick(); ok {
			s.Archives = append(s.Archives, ArchiveSnapshot{
				Archive: name, Snapshot: snapshot.Version(), Shards: snapshot.ShardCount(), Missing: append([]uint32{}, snapshot.MissingShards()...),
			})
		}
	}
	writeJSON(w, http.StatusOK, s)
}

// memberNames returns the names of the entry hosts in the view.
func memberNames(state subscriber.State) []string {
	names := []string{}
	for _, m := range state.View.Members {
		names = append(names, m.Name)
	}
	return names
}

// serverStatuses describes the usable backend servers.
func (g *Gateway) serverStatuses(now time.Time) []ServerStatus {
	g.fleetMu.Lock()
	usable := g.fleet.Usable(now)
	g.fleetMu.Unlock()
	list := []ServerStatus{}
	directory := g.coordinator.Directory()
	for _, s := range usable {
		b, _ := directory.Backend(s.ServerName)
		list = append(list, ServerStatus{
			Server: s.ServerName, Address: s.Address.String(), Zone: s.Zone, Incarnation: s.Incarnation, Owner: b.Owner.Name, Lease: remainingTime(s.LeaseEnd, now),
		})
	}
	return list
}

// remainingTime formats the time from now to end, which is 0 once end has passed.
func remainingTime(end, now time.Time) string {
	return max(0, end.Sub(now)).Round(time.Millisecond).String()
}
