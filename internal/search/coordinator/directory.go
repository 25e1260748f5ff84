package coordinator

import (
	"time"

	"gentianpond/internal/fleet/assigner"
	"gentianpond/internal/fleet/tracker"
	"gentianpond/internal/search/pinner"
	"gentianpond/internal/settings/checker"
)

// Backend is a usable backend server and its owner.
type Backend struct {
	Name        string
	Zone        string
	Incarnation uint64
	Slots       int
	Started     time.Time
	Load        float64
	Owner       assigner.Member
}

// Directory is an immutable picture of what can be searched and where. It is
// rebuilt when the fleet, the view or the configuration changes.
type Directory struct {
	archives map[string]archive
	backends map[string]Backend
}

type archive struct {
	settings checker.Archive
	snapshot *pinner.Map
}

// NewDirectory builds the directory. Servers without an owner are left out.
func NewDirectory(usable []tracker.Server, view assigner.View, document checker.Document) *Directory {
	d := &Directory{archives: map[string]archive{}, backends: map[string]Backend{}}
	offers := map[string][]pinner.Offer{}
	for _, s := range usable {
		owner, ok := assigner.Owner(view, s.Server, s.Zone)
		if !ok {
			continue
		}
		d.backends[s.Server] = Backend{
			Name: s.Server, Zone: s.Zone, Incarnation: s.Incarnation, Slots: s.Slots, Started: s.Started, Load: s.Load, Owner: owner,
		}
		for _, served := range s.Served {
			offers[served.Archive] = append(offers[served.Archive], offer(s.Server, served))
		}
	}
	for _, section := range document.Sections {
		for _, a := range section.Archives {
			d.archives[a.Name] = archive{settings: a, snapshot: pinner.Build(offers[a.Name], uint32(a.Shards))}
		}
	}
	return d
}

func offer(server string, s tracker.Served) pinner.Offer {
	o := pinner.Offer{Server: server, Snapshot: s.Snapshot, Count: uint32(s.Count)}
	for _, shard := range s.Shards {
		o.Shards = append(o.Shards, uint32(shard))
	}
	return o
}

// Archive returns the settings of an archive and whether it exists.
func (d *Directory) Archive(name string) (checker.Archive, bool) {
	if d == nil {
		return checker.Archive{}, false
	}
	a, ok := d.archives[name]
	return a.settings, ok
}

// Archives returns the snapshots of every archive by name.
func (d *Directory) Archives() map[string]*pinner.Map {
	if d == nil {
		return nil
	}
	m := make(map[string]*pinner.Map, len(d.archives))
	for name, a := range d.archives {
		m[name] = a.snapshot
	}
	return m
}

// Backend returns a usable backend server.
func (d *Directory) Backend(name string) (Backend, bool) {
	if d == nil {
		return Backend{}, false
	}
	b, ok := d.backends[name]
	return b, ok
}
