package coordinator

import (
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/search/pinner"
	"gentianpond/internal/settings/checker"
)

// Backend is a usable backend server with its owner, the entry host that sends
// requests to it.
type Backend struct {
	Name string
	// Zone is the server's own availability zone.
	Zone string
	// Incarnation identifies the server's process; a restart raises it.
	Incarnation uint64
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Started is when the server's process started, by this host's clock.
	Started time.Time
	// Load is the load that the server reported last, 0 to 1.
	Load float64
	// Owner is the entry host that sends all requests to the server.
	Owner assigner.Member
}

// Directory is an immutable index of the archives with their snapshots and of
// the usable backend servers. It is rebuilt when the fleet, the view (the list of
// the entry hosts that share the backend servers) or the configuration changes.
type Directory struct {
	// archives holds the archives by name.
	archives map[string]archive
	// backends holds the usable backend servers by name.
	backends map[string]Backend
}

// archive is the settings of an archive with its usable snapshots.
type archive struct {
	settings checker.ArchiveSettings
	// snapshots holds the usable snapshots, the preferred one first.
	snapshots *pinner.SnapshotList
}

// NewDirectory builds a directory of the archives in the configuration document
// and of the usable servers. Servers without an owner in the view are left out.
func NewDirectory(usable []tracker.Server, view assigner.View, document checker.Document) *Directory {
	d := &Directory{archives: map[string]archive{}, backends: map[string]Backend{}}
	offers := map[string][]pinner.Offer{}
	for _, s := range usable {
		owner, ok := assigner.Owner(view, s.ServerName, s.Zone)
		if !ok {
			continue
		}
		d.backends[s.ServerName] = Backend{
			Name: s.ServerName, Zone: s.Zone, Incarnation: s.Incarnation, Slots: s.Slots, Started: s.Started, Load: s.Load, Owner: owner,
		}
		for _, served := range s.Served {
			offers[served.Archive] = append(offers[served.Archive], newOffer(s.ServerName, served))
		}
	}
	for _, section := range document.Sections {
		for _, a := range section.Archives {
			d.archives[a.Name] = archive{settings: a, snapshots: pinner.Build(offers[a.Name], uint32(a.Shards))}
		}
	}
	return d
}

// newOffer converts the announcement of one snapshot to an offer of the server.
func newOffer(server string, s tracker.ServedSnapshot) pinner.Offer {
	o := pinner.Offer{Server: server, Snapshot: s.Snapshot, ShardCount: uint32(s.ShardCount)}
	for _, shard := range s.Shards {
		o.Shards = append(o.Shards, uint32(shard))
	}
	return o
}

// ArchiveSettings returns the settings of an archive and whether it exists.
func (d *Directory) ArchiveSettings(name string) (checker.ArchiveSettings, bool) {
	if d == nil {
		return checker.ArchiveSettings{}, false
	}
	a, ok := d.archives[name]
	return a.settings, ok
}

// Snapshots returns the usable snapshots of every archive by archive name.
func (d *Directory) Snapshots() map[string]*pinner.SnapshotList {
	if d == nil {
		return nil
	}
	m := make(map[string]*pinner.SnapshotList, len(d.archives))
	for name, a := range d.archives {
		m[name] = a.snapshots
	}
	return m
}

// Backend returns the named backend server and whether it is usable.
func (d *Directory) Backend(name string) (Backend, bool) {
	if d == nil {
		return Backend{}, false
	}
	b, ok := d.backends[name]
	return b, ok
}
