// Package keeper is the state machine that the replicated log drives. It holds
// the configuration, the routing document, the registry of backend servers, the
// order ledger, the quarantine and the view of entry hosts. All hosts that apply
// the same commands hold the same state: it reads no clock and no random numbers
// and does no I/O.
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
	// ErrApplied is the result of a command whose index was applied before.
	ErrApplied = errors.New("command was applied before")
	// ErrCommand is the result of a command that cannot be decoded or whose
	// action this program does not know. The state is unchanged. A host that
	// gets it may run an older program than the leader; going on would let its
	// state differ from that of the other hosts.
	ErrCommand = errors.New("unknown command")
)

// Result is the answer to one command. The field of the command's kind is set.
type Result struct {
	Err    error
	Change *messenger.ChangeReply
	Order  *messenger.OrderReply
	// Counted is the number of crash reports that changed the quarantine.
	Counted int
	// Released reports whether an operator's clear or pin took effect.
	Released bool
	// Viewed reports whether the view changed.
	Viewed bool
	// Published is the version of the routing document in force.
	Published uint64
	// Registered is the number of servers whose record changed.
	Registered int
}

// Keeper is the state machine. Use New. It is not safe for concurrent use.
type Keeper struct {
	index  uint64
	now    time.Time
	config config
	ledger *recorder.Ledger
	book   *quarantiner.Table
	view   view

	routing  routing
	registry *registrar.Registry
}

// New returns a keeper in its first state. The check must give the same faults
// for the same document on all hosts; nil accepts every document.
func New(check Check) *Keeper {
	k := &Keeper{
		config: newConfig(check),
		ledger: recorder.New(recorder.Limits{}),
		book:   quarantiner.New(quarantiner.Limits{}),

		registry: registrar.New(),
	}
	return k
}

// Applied returns the index of the last command that was applied.
func (k *Keeper) Applied() uint64 { return k.index }

// Time returns the largest time of any command applied.
func (k *Keeper) Time() time.Time { return k.now }

// Encode returns a command for the log, with the proposer's time.
func Encode(c *messenger.Command) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "encode command")
	}
	return data, nil
}

// Apply runs one committed command. Commands come in the order of the log; an
// index that is not larger than the last one changes nothing.
func (k *Keeper) Apply(index uint64, command []byte) Result {
	if index <= k.index {
		return Result{Err: ErrApplied}
	}
	k.index = index
	var c messenger.Command
	if err := proto.Unmarshal(command, &c); err != nil {
		return Result{Err: errors.Wrap(ErrCommand, err.Error())}
	}
	if !c.GetTime().IsValid() || c.Action == nil {
		return Result{Err: ErrCommand}
	}
	k.advance(c.Time.AsTime())
	return k.run(&c)
}

// advance moves the state machine's time, which never goes back: a leader
// whose clock is behind must not revive what has expired.
func (k *Keeper) advance(now time.Time) {
	if now.After(k.now) {
		k.now = now
	}
	k.ledger.Advance(k.now)
	k.book.Advance(k.now)
}

func (k *Keeper) run(c *messenger.Command) Result {
	switch action := c.Action.(type) {
	case *messenger.Command_Change:
		return Result{Change: k.config.change(k.now, action.Change)}
	case *messenger.Command_Reserve:
		return Result{Order: k.reserve(action.Reserve)}
	case *messenger.Command_Complete:
		return Result{Order: k.complete(action.Complete)}
	case *messenger.Command_Suspect:
		return Result{Counted: k.suspect(action.Suspect)}
	case *messenger.Command_Release:
		return Result{Released: k.release(action.Release)}
	case *messenger.Command_View:
		return Result{Viewed: k.view.apply(action.View)}
	case *messenger.Command_Publish:
		return Result{Published: k.routing.publish(action.Publish)}
	case *messenger.Command_Register:
		return Result{Registered: k.register(action.Register.GetList())}
	default:
		return Result{Err: ErrCommand}
	}
}
