// Package keeper implements the replicated state machine of the control hosts. It
// holds the configuration, the routing document, the registry of backend servers,
// the order ledger, the quarantine list and the view of entry hosts. It is
// deterministic, so that all hosts that apply the same commands hold the same
// state: it reads no clock and no random numbers and does no I/O.
//
// The view is the numbered list of the entry hosts in service. The order ledger
// records each order for which an attempt was granted, and its outcome. The
// quarantine list holds the requests suspected of crashing backend servers.
package keeper

import (
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/order/recorder"
	"gentianpond/internal/protocol/messenger"
)

var (
	// ErrAlreadyApplied is the result of a command whose log index is not larger
	// than that of the last command applied.
	ErrAlreadyApplied = errors.New("command was applied before")
	// ErrUnknownCommand is the result of a command that cannot be decoded or has an
	// unknown action. The state is unchanged. The host may run an older version of
	// the program than the leader; if it continued, its state would diverge from that
	// of the other hosts.
	ErrUnknownCommand = errors.New("unknown command")
)

// Result is the outcome of one command. Either Err or the field that belongs to
// the command's action is set.
type Result struct {
	// Err is or wraps ErrAlreadyApplied or ErrUnknownCommand, and is nil otherwise.
	Err error
	// ChangeReply is the reply to a change of the configuration.
	ChangeReply *messenger.ChangeReply
	// OrderReply is the order ledger's reply to a reservation or a completion.
	OrderReply *messenger.OrderReply
	// CountedReports is the number of crash reports that changed the quarantine list.
	CountedReports int
	// ReleaseApplied reports whether an operator's clear or pin of a suspicion took
	// effect.
	ReleaseApplied bool
	// ViewChanged reports whether the view changed.
	ViewChanged bool
	// RoutingVersion is the version of the routing document in force after the command.
	RoutingVersion uint64
	// EvacuationChanged reports whether an order about an availability zone had an effect.
	EvacuationChanged bool
	// ChangedServers is the number of backend servers whose registration changed.
	ChangedServers int
}

// Keeper is the replicated state machine. Use New. It is not safe for concurrent
// use.
type Keeper struct {
	// appliedIndex is the log index of the last command applied.
	appliedIndex uint64
	// latestTime is the largest time of any command applied.
	latestTime time.Time

	// config is the replicated configuration, with one section per team.
	config config
	// ledger is the order ledger, with a record for each idempotency key.
	ledger *recorder.Ledger
	// quarantine is the list of requests suspected of crashing backend servers.
	quarantine *quarantiner.Table
	// routes is the same for requests on routes. It has a list of its own, because the
	// revision of the other one must be equal on hosts of all versions.
	routes *quarantiner.Table
	// view is the numbered list of the entry hosts in service.
	view view
	// routing is the routing document in force, as the operator sent it.
	routing routingDocument
	// evacuations holds the orders about availability zones.
	evacuations evacuations
	// registry is the set of known backend servers, skippedRegistrations the number of
	// invalid ones in the snapshot that was restored last.
	registry             *registrar.Registry
	skippedRegistrations int
}

// New returns an empty state machine. The validator must return the same faults for
// the same document on all hosts; with nil every document is valid.
func New(validate Validator) *Keeper {
	k := &Keeper{
		config:     newConfig(validate),
		ledger:     recorder.New(recorder.Limits{}),
		quarantine: quarantiner.New(quarantiner.Limits{}),
		routes:     quarantiner.NewForRoutes(quarantiner.Limits{}),
		registry:   registrar.New(),
	}
	return k
}

// AppliedIndex returns the log index of the last command applied.
func (k *Keeper) AppliedIndex() uint64 { return k.appliedIndex }

// LatestTime returns the largest proposal time of any command applied.
func (k *Keeper) LatestTime() time.Time { return k.latestTime }

// EncodeCommand encodes a command for the replicated log. The proposer must have
// set its time.
func EncodeCommand(c *messenger.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// Apply applies one committed command. Commands must be applied in log order; a
// command whose index is not larger than that of the last one changes nothing.
func (k *Keeper) Apply(index uint64, command []byte) Result {
	if index <= k.appliedIndex {
		return Result{Err: ErrAlreadyApplied}
	}
	k.appliedIndex = index
	var c messenger.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return Result{Err: errors.Wrap(ErrUnknownCommand, err.Error())}
	}
	if !c.GetTime().IsValid() || c.Action == nil {
		return Result{Err: ErrUnknownCommand}
	}
	k.advanceTime(c.Time.AsTime())
	return k.applyAction(&c)
}

// advanceTime advances the state machine's time and expires records. The time never
// goes back: a new leader whose clock is behind must not revive expired records.
func (k *Keeper) advanceTime(now time.Time) {
	if now.After(k.latestTime) {
		k.latestTime = now
	}
	k.ledger.Advance(k.latestTime)
	k.quarantine.Advance(k.latestTime)
	k.routes.Advance(k.latestTime)
}

// applyAction applies the action of a command at the state machine's time.
func (k *Keeper) applyAction(c *messenger.Command) Result {
	switch action := c.Action.(type) {
	case *messenger.Command_Change:
		return Result{ChangeReply: k.config.handleChange(k.latestTime, action.Change)}
	case *messenger.Command_Reserve:
		return Result{OrderReply: k.reserveOrder(action.Reserve)}
	case *messenger.Command_Complete:
		return Result{OrderReply: k.completeOrder(action.Complete)}
	case *messenger.Command_Suspect:
		return Result{CountedReports: k.applyObservations(action.Suspect)}
	case *messenger.Command_Release:
		return Result{ReleaseApplied: k.applyRelease(action.Release)}
	case *messenger.Command_View:
		return Result{ViewChanged: k.view.applyChange(action.View)}
	case *messenger.Command_Publish:
		return k.applyPublish(action.Publish)
	case *messenger.Command_Register:
		return Result{ChangedServers: k.applyRegistrations(action.Register.GetList())}
	default:
		return Result{Err: ErrUnknownCommand}
	}
}
