package keeper

import (
	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/protocol/messenger"
)

// routing is the routing document in force, as its operator sent it, packed. Versions
// are the operator's; the highest one wins, and another document under a
// version that is not higher changes nothing.
type routing struct {
	version uint64
	packed  []byte
}

func (r *routing) publish(p *messenger.PublishRequest) uint64 {
	if p.GetVersion() > r.version {
		r.version = p.GetVersion()
		r.packed = p.GetPacked()
	}
	return r.version
}

// Routing returns the version and the packed text of the routing document in
// force. The version is 0 while there is none. The data must not be modified.
func (k *Keeper) Routing() (version uint64, packed []byte) {
	return k.routing.version, k.routing.packed
}

// Registry returns the registry of backend servers, which must not be modified.
func (k *Keeper) Registry() *registrar.Registry { return k.registry }

// register applies the changes of one command. Those that are invalid or stale
// are left out: the check-ins that they came from are overtaken.
func (k *Keeper) register(list []*messenger.Registration) int {
	changed := 0
	for _, m := range list {
		s, err := registrar.FromMessage(m)
		if err == nil && k.registry.Apply(k.index, k.now, s) {
			changed++
		}
	}
	return changed
}

func (k *Keeper) saveRouting(state *messenger.KeeperState) {
	if k.routing.version > 0 {
		state.Routing = &messenger.PublishRequest{Version: k.routing.version, Packed: k.routing.packed}
	}
	for _, s := range k.registry.Records() {
		state.Registrations = append(state.Registrations, s.Message())
	}
	state.RegistryFloor = k.registry.Floor()
}

func (k *Keeper) loadRouting(state *messenger.KeeperState) error {
	k.routing = routing{version: state.GetRouting().GetVersion(), packed: state.GetRouting().GetPacked()}
	var list []registrar.Server
	for _, m := range state.Registrations {
		s, err := registrar.FromMessage(m)
		if err != nil {
			return err
		}
		list = append(list, s)
	}
	k.registry = registrar.Restore(list, state.RegistryFloor)
	return nil
}
