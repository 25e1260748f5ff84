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
	// maxQueuedReports bounds the crash reports that wait for a leader.
	maxQueuedReports = 1024
	// maxBatchReports bounds the crash reports in one request.
	maxBatchReports = 256
)

// reportQueue holds the crash reports that have not been sent yet.
type reportQueue struct {
	// mu guards ring, lastNumber and dropped.
	mu sync.Mutex
	// ring holds the reports that wait to be sent, at most maxQueuedReports of them.
	ring     container.Ring[*messenger.Observation]
	nonEmpty chan struct{} // signals that a report was queued
	// lastNumber is the number of the last report, part of the ids of reports.
	lastNumber uint64
	// leaving holds the servers that are about to stop, at most maxQueuedReports of them.
	leaving []*messenger.Process
	// dropped is the number of reports that found the ring full.
	dropped uint64
}

func newReportQueue() *reportQueue {
	return &reportQueue{ring: container.NewRing[*messenger.Observation](maxQueuedReports), nonEmpty: make(chan struct{}, 1)}
}

// ReportObservation queues a crash report and returns false if the queue is full. A
// report without an id gets one. Reports are sent repeatedly under the same id until
// the leader has confirmed them or Run ends.
func (s *Subscriber) ReportObservation(o quarantiner.Observation) bool {
	return s.reports.add(o, s.config.Member.Name, s.config.Member.Incarnation)
}

// add queues a report of a host and returns false if the queue is full. A report without
// an id gets one.
func (q *reportQueue) add(o quarantiner.Observation, host string, incarnation uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNumber++
	if o.ID == "" {
		o.ID = fmt.Sprintf("%s/%d/%d", host, incarnation, q.lastNumber)
	}
	if !q.ring.Push(o.Message()) {
		q.dropped++
		return false
	}
	select {
	case q.nonEmpty <- struct{}{}:
	default:
	}
	return true
}

// addLeaving queues a server that is about to stop.
func (q *reportQueue) addLeaving(server string, incarnation uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.leaving) >= maxQueuedReports {
		q.dropped++
		return
	}
	q.leaving = append(q.leaving, &messenger.Process{Server: server, Incarnation: incarnation})
	select {
	case q.nonEmpty <- struct{}{}:
	default:
	}
}

// takeLeaving removes and returns the servers that are about to stop.
func (q *reportQueue) takeLeaving() []*messenger.Process {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.leaving
	q.leaving = nil
	return list
}

// DroppedReports returns the number of crash reports dropped because the queue was
// full.
func (s *Subscriber) DroppedReports() uint64 {
	s.reports.mu.Lock()
	defer s.reports.mu.Unlock()
	return s.reports.dropped
}

// nextBatch removes and returns up to maxBatchReports reports.
func (q *reportQueue) nextBatch() []*messenger.Observation {
	q.mu.Lock()
	defer q.mu.Unlock()
	var list []*messenger.Observation
	for len(list) < maxBatchReports {
		o, ok := q.ring.Pop()
		if !ok {
			break
		}
		list = append(list, o)
	}
	return list
}

// reportLoop sends the queued crash reports until ctx ends.
func (s *Subscriber) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reports.nonEmpty:
		}
		for batch := s.reports.nextBatch(); len(batch) > 0; batch = s.reports.nextBatch() {
			if err := s.sendReports(ctx, batch); err != nil {
				s.config.Log.Warn("crash reports not delivered", "count", len(batch), "err", err)
				return
			}
		}
	}
}

// sendReports sends reports until the leader confirms them or ctx ends.
func (s *Subscriber) sendReports(ctx context.Context, batch []*messenger.Observation) error {
	request := &messenger.SuspectRequest{Observations: batch}
	_, err := askLeader(ctx, s.locator, func(ctx context.Context, c messenger.ControlClient) (*messenger.SuspectReply, error) {
		return c.Suspect(ctx, request)
	}, (*messenger.SuspectReply).GetGranted)
	return err
}
