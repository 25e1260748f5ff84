package gateway

import (
	"net/http"
	"time"

	"gentianpond/internal/control/subscriber"
)

// Status is the answer to GET /v1/status.
type Status struct {
	Host     string            `json:"host"`
	Zone     string            `json:"zone"`
	Ready    bool              `json:"ready"`
	Lease    string            `json:"lease"`
	Revision uint64            `json:"revision"`
	View     uint64            `json:"view"`
	Settled  bool              `json:"settled"`
	Members  []string          `json:"members"`
	Servers  []ServerStatus    `json:"servers"`
	Archives []ArchiveSnapshot `json:"archives"`
}

// ServerStatus describes one usable backend server.
type ServerStatus struct {
	Server      string `json:"server"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Incarnation uint64 `json:"incarnation"`
	Owner       string `json:"owner"`
	Lease       string `json:"lease"`
}

// ArchiveSnapshot describes the snapshot that new queries of an archive use.
type ArchiveSnapshot struct {
	Archive  string   `json:"archive"`
	Snapshot string   `json:"snapshot"`
	Shards   uint32   `json:"shards"`
	Missing  []uint32 `json:"missing"`
}

func (g *Gateway) handleStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	state := g.control.State()
	s := Status{
		Host: g.self.Name, Zone: g.self.Zone, Ready: !g.draining.Load() && state.Holds(now),
		Lease: until(state.Lease, now), Revision: state.Revision, View: state.View.Number, Settled: state.Settled,
		Members: members(state), Servers: g.servers(now), Archives: []ArchiveSnapshot{},
	}
	for name, m := range g.coordinator.Directory().Snapshots() {
		if snapshot, ok := m.Pick(); ok {
			s.Archives = append(s.Archives, ArchiveSnapshot{
				Archive: name, Snapshot: snapshot.Version(), Shards: snapshot.ShardCount(), Missing: append([]uint32{}, snapshot.MissingShards()...),
			})
		}
	}
	reply(w, http.StatusOK, s)
}

func members(state subscriber.State) []string {
	names := []string{}
	for _, m := range state.View.Members {
		names = append(names, m.Name)
	}
	return names
}

func (g *Gateway) servers(now time.Time) []ServerStatus {
	g.fleetMu.Lock()
	usable := g.fleet.Usable(now)
	g.fleetMu.Unlock()
	list := []ServerStatus{}
	directory := g.coordinator.Directory()
	for _, s := range usable {
		b, _ := directory.Backend(s.ServerName)
		list = append(list, ServerStatus{
			Server: s.ServerName, Address: s.Address.String(), Zone: s.Zone, Incarnation: s.Incarnation, Owner: b.Owner.Name, Lease: until(s.LeaseEnd, now),
		})
	}
	return list
}

func until(end, now time.Time) string { return max(0, end.Sub(now)).Round(time.Millisecond).String() }
