package subscriber

import (
	"context"
	"fmt"
	"sync"

	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/protocol/messenger"
	"gentianpond/internal/value/container"
)

const (
	// maxQueued is how many reports wait for a leader.
	maxQueued = 1024
	// maxBatch is how many reports go into one request.
	maxBatch = 256
)

// queue holds the reports that were not sent yet.
type queue struct {
	mu      sync.Mutex
	ring    container.Ring[*messenger.Observation]
	filled  chan struct{}
	count   uint64
	dropped uint64
}

func newQueue() *queue {
	return &queue{ring: container.NewRing[*messenger.Observation](maxQueued), filled: make(chan struct{}, 1)}
}

// Suspect queues a report and reports whether there was room. A report without
// an id gets one. Reports are repeated with their ids until a leader has
// counted them or Run ends.
func (s *Subscriber) Suspect(o quarantiner.Observation) bool {
	q := s.suspects
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count++
	if o.ID == "" {
		o.ID = fmt.Sprintf("%s/%d/%d", s.config.Member.Name, s.config.Member.Incarnation, q.count)
	}
	if !q.ring.Push(observation(o)) {
		q.dropped++
		return false
	}
	select {
	case q.filled <- struct{}{}:
	default:
	}
	return true
}

// Dropped returns the number of reports for which there was no room.
func (s *Subscriber) Dropped() uint64 {
	s.suspects.mu.Lock()
	defer s.suspects.mu.Unlock()
	return s.suspects.dropped
}

func observation(o quarantiner.Observation) *messenger.Observation {
	return &messenger.Observation{
		Id:          o.ID,
		Fingerprint: o.Fingerprint,
		Archive:     o.Archive,
		Server:      o.Server,
		Incarnation: o.Incarnation,
		Crashed:     o.Crashed,
		Alone:       o.Alone,
	}
}

func (q *queue) batch() []*messenger.Observation {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*messenger.Observation
	for len(list) < maxBatch {
		o, ok := q.ring.Pop()
		if !ok {
			break
		}
		list = append(list, o)
	}
	return list
}

func (s *Subscriber) suspectLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.suspects.filled:
		}
		for batch := s.suspects.batch(); len(batch) > 0; batch = s.suspects.batch() {
			if err := s.send(ctx, batch); err != nil {
				s.config.Log.Warn("crash reports lost", "count", len(batch), "err", err)
				return
			}
		}
	}
}

func (s *Subscriber) send(ctx context.Context, batch []*messenger.Observation) error {
	request := &messenger.SuspectRequest{Observations: batch}
	_, err := ask(ctx, s.locator, func(ctx context.Context, c messenger.ControlClient) (*messenger.SuspectReply, error) {
		return c.Suspect(ctx, request)
	}, (*messenger.SuspectReply).GetGranted)
	return err
}
