// Package runner starts the parts of a process as one group: when one part
// ends, all the others are stopped.
package runner

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/oklog/run"
)

// ErrStopped is the result of a group that was asked to stop.
var ErrStopped = errors.New("stopped")

// Group is a set of parts that run and stop together. The zero value is an
// empty group.
type Group struct {
	parts run.Group
}

// Add adds a part. Its context ends when any part of the group ends.
func (g *Group) Add(part func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	g.parts.Add(func() error { return part(ctx) }, func(error) { cancel() })
}

// AddServer adds a part that ends when stop is called.
func (g *Group) AddServer(serve func() error, stop func()) {
	g.parts.Add(serve, func(error) { stop() })
}

// AddSignalHandler ends the group on SIGTERM or SIGINT. Before that it runs drain,
// which may take as long as it needs; a second signal cuts it short through
// its context.
func (g *Group) AddSignalHandler(drain func(context.Context)) {
	g.Add(func(ctx context.Context) error {
		first, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		<-first.Done()
		stop()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		second, cancel := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer cancel()
		if drain != nil {
			drain(second)
		}
		return ErrStopped
	})
}

// Run starts all parts and returns when all have ended, with the result of
// the first that did. A planned stop is no error.
func (g *Group) Run() error {
	err := g.parts.Run()
	if errors.Is(err, ErrStopped) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
