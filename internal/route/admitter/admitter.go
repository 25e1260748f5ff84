// Package admitter decides which share of the requests for a service may be sent
// while its backend servers are congested. It does no I/O and reads no clock.
//
// It answers the load pattern of a service that gets more requests than its
// servers can run, for example a shard that has lost two of three replicas. Its
// servers then work through long queues, and every answer is late: all the work
// is lost. A request that is left out at once costs its caller one part, or a
// prompt refusal, and the others are answered in time.
package admitter

import (
	"math"
	"time"
)

const (
	// least is the smallest share that is sent, so that the end of congestion
	// shows.
	least = 0.1
	// cut is the factor of the share for a congested answer. Answers to requests
	// that were sent before the last cut do not count: they say nothing of its
	// effect, and together they would cut the share to nothing.
	cut = 0.8
	// step and growth raise the share for each other answer.
	step   = 0.005
	growth = 0.005
	// rounds is the number of requests waiting for each slot from which a server
	// counts as congested.
	rounds = 1
)

// Sign is what one answer says of the load of its server.
type Sign struct {
	// Shed is true when the server refused the request.
	Shed bool
	// Known is false for servers that do not tell their load.
	Known bool
	// Running, Waiting and Slots are the server's requests and room.
	Running int
	Waiting int
	Slots   int
	// Late is true when the answer came, or would have come, after the objective.
	Late bool
}

// Congested reports whether an answer shows a server with a long queue. A server
// that refuses work while it has free slots fails, and is not congested.
func (s Sign) Congested() bool {
	if !s.Known {
		return s.Late
	}
	if s.Shed {
		return s.Running >= s.Slots
	}
	return s.Late && s.Waiting >= rounds*max(s.Slots, 1)
}

// Gate holds the share of one service that is sent. The zero value sends all.
type Gate struct {
	// held is the share that is not sent.
	held float64
	// cutAt is when the share was cut last.
	cutAt time.Time
}

// Observe takes an answer at the time now to a request that left at sent.
func (g *Gate) Observe(now, sent time.Time, congested bool) {
	share := 1 - g.held
	if congested {
		if sent.Before(g.cutAt) {
			return
		}
		g.cutAt = now
		share *= cut
	} else {
		share += step + growth*share
	}
	g.held = 1 - min(max(share, least), 1)
}

// Share returns the share of requests with a rank among ranks priorities, 0
// being the highest, that are sent. Less urgent requests give way first.
func (g *Gate) Share(rank, ranks int) float64 {
	share := 1 - g.held
	if share >= 1 || ranks <= 1 {
		return share
	}
	// The exponents keep the mean share close to that of a single priority: from
	// 1/2 for the most urgent to 3/2 for the least urgent.
	exponent := 0.5 + float64(min(rank, ranks-1))/float64(ranks-1)
	return math.Pow(share, exponent)
}
