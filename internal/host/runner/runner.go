// Package runner runs the parts of a process, such as its servers and loops, as one
// group: when one part ends, all the others are stopped. A planned stop is one that
// the process chose or that a signal asked for, not a failure.
package runner

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// ErrStopped is the result of a part that ended for a planned stop.
var ErrStopped = errors.New("stopped")

// Group is a set of parts that run and stop together. The zero value is an
// empty group.
type Group struct {
	parts run.Group
}

// Add adds a part that ends with its context, which ends when any part of the group
// does.
func (g *Group) Add(part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.parts.Add(func() error { return part(ctx) }, func(error) { cancel() })
}

// AddServer adds a part that runs serve and ends when stop is called.
func (g *Group) AddServer(serve func() error, stop func()) {
	g.parts.Add(serve, func(error) { stop() })
}

// AddSignalHandler adds a part that ends the group on SIGTERM or SIGINT. Before that
// it runs drain, unless that is nil. Drain may take as long as it needs; a second
// signal ends its context.
func (g *Group) AddSignalHandler(drain func(context.Context)) {
	g.Add(func(ctx context.Context) error {
		firstSignal, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		<-firstSignal.Done()
		stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		secondSignal, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		if drain != nil {
			drain(secondSignal)
		}
		return ErrStopped
	})
}

// Run starts all parts and returns when all have ended, with the error of the first
// that did. A planned stop is no error.
func (g *Group) Run() error {
	err := g.parts.Run()
	if errors.Is(err, ErrStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
