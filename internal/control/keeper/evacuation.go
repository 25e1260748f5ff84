package keeper

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"gentianpond/internal/protocol/messenger"
)

// withdrawnRetention is how long a withdrawn order is kept. Servers of the zone may be cold
// for that long, which entry hosts that have just started have to know.
const withdrawnRetention = time.Hour

// evacuations holds the orders that no request is sent to the servers of an availability
// zone.
type evacuations struct {
	// number is the log index of the last change, 0 before the first.
	number uint64
	// orders is keyed by zone.
	orders map[string]zoneOrder
}

// zoneOrder is the last order about a zone.
type zoneOrder struct {
	// withdrawn is true if the zone was evacuated and is not any more.
	withdrawn bool
	// at is the time of the command.
	at time.Time
}

// apply applies a command and reports whether it changed anything: a repeated order has no
// effect, and neither has the withdrawal of what was not ordered.
func (e *evacuations) apply(index uint64, now time.Time, zone string, withdrawn bool) bool {
	if zone == "" || e.isEvacuated(zone) == !withdrawn {
		return false
	}
	maps.DeleteFunc(e.orders, func(_ string, o zoneOrder) bool { return o.withdrawn && now.Sub(o.at) >= withdrawnRetention })
	if e.orders == nil {
		e.orders = map[string]zoneOrder{}
	}
	e.orders[zone] = zoneOrder{withdrawn: withdrawn, at: now}
	e.number = index
	return true
}

// isEvacuated reports whether an order is in force for a zone.
func (e *evacuations) isEvacuated(zone string) bool {
	o, ok := e.orders[zone]
	return ok && !o.withdrawn
}

// messages returns the orders in order of their zones.
func (e *evacuations) messages() []*messenger.Evacuation {
	var list []*messenger.Evacuation
	for _, zone := range slices.Sorted(maps.Keys(e.orders)) {
		o := e.orders[zone]
		list = append(list, &messenger.Evacuation{Zone: zone, Withdrawn: o.withdrawn, Time: timestamppb.New(o.at)})
	}
	return list
}

// applyPublish applies a command that holds a routing document, or an order about an
// availability zone in place of one. An order has version 0, a zone and no document.
func (k *Keeper) applyPublish(p *messenger.PublishRequest) Result {
	if p.GetVersion() > 0 || p.GetZone() == "" && len(p.GetPacked()) > 0 {
		return Result{RoutingVersion: k.routing.replaceIfNewer(p)}
	}
	changed := k.evacuations.apply(k.appliedIndex, k.latestTime, p.GetZone(), p.GetWithdrawn())
	return Result{RoutingVersion: k.routing.version, EvacuationChanged: changed}
}

// EvacuationNumber returns the number of the last change of an evacuation. It grows with
// each change and is 0 before the first.
func (k *Keeper) EvacuationNumber() uint64 { return k.evacuations.number }

// IsEvacuated reports whether no request may be sent to the servers of a zone.
func (k *Keeper) IsEvacuated(zone string) bool { return k.evacuations.isEvacuated(zone) }

// EvacuatedZones returns the evacuated zones in order of their names.
func (k *Keeper) EvacuatedZones() []string {
	var list []string
	for _, m := range k.evacuations.messages() {
		if !m.GetWithdrawn() {
			list = append(list, m.GetZone())
		}
	}
	return list
}

// Evacuations returns the last orders about zones, in order of their names, with the time
// of each. Withdrawn ones are forgotten some time after.
func (k *Keeper) Evacuations() []*messenger.Evacuation { return k.evacuations.messages() }

// copyEvacuationsTo copies the evacuations to the state that a snapshot holds.
func (k *Keeper) copyEvacuationsTo(state *messenger.KeeperState) {
	state.Evacuations, state.Evacuation = k.evacuations.messages(), k.evacuations.number
}

// restoreEvacuationsFrom replaces the evacuations by those in the state of a snapshot.
// Earlier versions of the program wrote none.
func (k *Keeper) restoreEvacuationsFrom(state *messenger.KeeperState) {
	k.evacuations = evacuations{number: state.GetEvacuation(), orders: map[string]zoneOrder{}}
	for _, m := range state.GetEvacuations() {
		k.evacuations.orders[m.GetZone()] = zoneOrder{withdrawn: m.GetWithdrawn(), at: m.GetTime().AsTime()}
	}
}
