package keeper

import (
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// routingDocument is the routing document in force, compressed as the operator sent
// it. The operator chooses the versions; only a document with a higher version
// replaces the current one.
type routingDocument struct {
	// published is true once there is a document.
	published bool
	// version is the operator's, which may be 0.
	version uint64
	// packed is the compressed text.
	packed []byte
}

// replaceIfNewer replaces the document by the one of the request if there is none or its
// version is higher, and returns the version then in force.
func (r *routingDocument) replaceIfNewer(p *messenger.PublishRequest) uint64 {
	if !r.published || p.GetVersion() > r.version {
		*r = routingDocument{published: true, version: p.GetVersion(), packed: p.GetPacked()}
	}
	return r.version
}

// RoutingDocument returns the version and the compressed text of the routing document in
// force, and false if there is none. The text must not be modified.
func (k *Keeper) RoutingDocument() (version uint64, packed []byte, ok bool) {
	return k.routing.version, k.routing.packed, k.routing.published
}

// SupersedesRouting reports whether a routing document of a version would replace the one in
// force.
func (k *Keeper) SupersedesRouting(version uint64) bool {
	return !k.routing.published || version > k.routing.version
}

// Registry returns the registry of backend servers, which must not be modified.
func (k *Keeper) Registry() *registrar.Registry { return k.registry }

// applyRegistrations applies the registrations of one command and returns how many
// servers changed. It skips invalid ones, and stale ones, which come from check-ins
// that a newer check-in has superseded.
func (k *Keeper) applyRegistrations(list []*messenger.Registration) int {
	changed := 0
	for _, m := range list {
		s, err := registrar.FromMessage(m)
		if err == nil && k.registry.Apply(k.appliedIndex, k.latestTime, s) {
			changed++
		}
	}
	return changed
}

// copyRoutingAndRegistryTo copies the routing document and the registry to the state
// that a snapshot holds.
func (k *Keeper) copyRoutingAndRegistryTo(state *messenger.KeeperState) {
	if k.routing.published {
		state.Routing = &messenger.PublishRequest{Version: k.routing.version, Packed: k.routing.packed}
	}
	for _, s := range k.registry.Records() {
		state.Registrations = append(state.Registrations, s.Message())
	}
	state.RegistryFloor = k.registry.Floor()
}

// restoreRoutingAndRegistryFrom replaces the routing document and the registry by
// those in the state of a snapshot. Like applyRegistrations it skips invalid ones, which
// another version may have stored, so that they do not keep the host from starting.
func (k *Keeper) restoreRoutingAndRegistryFrom(state *messenger.KeeperState) {
	k.routing = routingDocument{published: state.Routing != nil, version: state.GetRouting().GetVersion(), packed: state.GetRouting().GetPacked()}
	var list []registrar.Server
	for _, m := range state.Registrations {
		s, err := registrar.FromMessage(m)
		if err != nil {
			k.skippedRegistrations++
			continue
		}
		list = append(list, s)
	}
	k.registry = registrar.Restore(list, state.RegistryFloor)
}

// SkippedRegistrations returns the number of invalid registrations in the snapshot that
// was restored last.
func (k *Keeper) SkippedRegistrations() int { return k.skippedRegistrations }
