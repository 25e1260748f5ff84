// Package rationer decides which clients of a process may hold connections and memory, and which
// of them are disconnected when either is used up. It makes the decisions only: it reads no clock
// and does no input or output.
package rationer

import (
	"net/netip"
	"time"
)

//go:generate go run golang.org/x/tools/cmd/stringer@v0.49.0 -type=Phase -linecomment -output=phase_string.go

// Phase is what a client's connection is used for.
type Phase uint8

// The phases. A client is not disconnected in favor of others while its request runs.
const (
	// Idle lasts until the first byte of a request.
	Idle Phase = iota // idle
	// Head lasts until the head of the request is complete.
	Head // head
	// Body lasts until the body is complete.
	Body // body
	// Running lasts until the first byte of the answer.
	Running // running
	// Writing lasts until the answer is written.
	Writing // writing
)

const (
	// progressRate is the rate, in bytes a second, at which a client counts as making progress
	// all the time.
	progressRate = 32 << 10
	// minLag is the lag below which a client is never disconnected: it may only be waiting for
	// this process.
	minLag = 20 * time.Millisecond
	// newcomerGrace is the lag up to which a client without a request is not preferred to those
	// that have had one: the request may be on its way.
	newcomerGrace = 500 * time.Millisecond
)

// Limits is what all clients together may hold.
type Limits struct {
	// Clients is the number of connections.
	Clients int
	// PerAddress is the number of connections from one address; 0 means no limit.
	PerAddress int
	// Bytes is the memory for heads, bodies and answers.
	Bytes int64
}

// Client is a client of a Rationer.
type Client struct {
	phase Phase
	// address is where the client connected from, the zero value if that is not known.
	address netip.Addr
	// served is set once a request of the client has reached its handler.
	served bool
	// paidUntil is the time up to which the progress of the client is sufficient. The lag is
	// the time since then.
	paidUntil time.Time
	// held is the memory that the client holds.
	held int64
	// joined numbers the clients in the order in which they joined. It decides between equals.
	joined uint64
}

// Phase returns the phase of the client.
func (c *Client) Phase() Phase { return c.phase }

// Held returns the memory that the client holds.
func (c *Client) Held() int64 { return c.held }

// lag returns for how long the client's progress has not been sufficient.
func (c *Client) lag(now time.Time) time.Duration { return max(0, now.Sub(c.paidUntil)) }

// weight is the lag times the memory that the client would hold with extra more bytes.
func (c *Client) weight(extra int64, now time.Time) float64 {
	return c.lag(now).Seconds() * float64(c.held+extra)
}

// Rationer keeps account of the clients of a process. Use New. It is not safe for concurrent use.
type Rationer struct {
	limits  Limits
	clients map[*Client]struct{}
	used    int64
	joined  uint64
}

// New returns a Rationer without clients.
func New(l Limits) *Rationer { return &Rationer{limits: l, clients: map[*Client]struct{}{}} }

// Clients returns the number of clients, and Used the memory that they hold.
func (r *Rationer) Clients() int { return len(r.clients) }

// Used returns the memory that all clients hold.
func (r *Rationer) Used() int64 { return r.used }

// Join adds a client whose address does not matter. If there are too many, victim is the one to
// disconnect, which has left already; if there is none, ok is false and the newcomer is to be
// refused.
//
// It answers the load of many connections that send nothing or little.
func (r *Rationer) Join(now time.Time) (c, victim *Client, ok bool) {
	return r.join(netip.Addr{}, len(r.clients) >= r.limits.Clients, now)
}

// Replace is Join when there is no room, whatever the limits say: a client has to leave for the
// newcomer.
func (r *Rationer) Replace(now time.Time) (c, victim *Client, ok bool) {
	return r.join(netip.Addr{}, true, now)
}

// JoinFrom is Join for a client that connects from an address. If there are too many from there, the
// victim is one of them.
//
// It answers the load of many connections from a few addresses.
func (r *Rationer) JoinFrom(from netip.Addr, now time.Time) (c, victim *Client, ok bool) {
	return r.join(from, len(r.clients) >= r.limits.Clients, now)
}

// join adds a client from an address. If there are too many, or too many from there, a victim leaves.
func (r *Rationer) join(from netip.Addr, full bool, now time.Time) (c, victim *Client, ok bool) {
	crowded := r.limits.PerAddress > 0 && r.countFrom(from) >= r.limits.PerAddress
	if crowded || full {
		victim = r.slowest(now, func(c *Client) bool { return !crowded || c.address == from })
		if victim == nil {
			return nil, nil, false
		}
		r.Leave(victim)
	}
	r.joined++
	c = &Client{address: from, paidUntil: now, joined: r.joined}
	r.clients[c] = struct{}{}
	return c, victim, true
}

// countFrom returns the number of clients from an address.
func (r *Rationer) countFrom(address netip.Addr) int {
	n := 0
	for c := range r.clients {
		if c.address == address {
			n++
		}
	}
	return n
}

// slowest returns the client with the longest lag among those that have had no request, if it
// exceeds the grace for newcomers, else among all. It considers only clients for which eligible is
// true, and returns nil if none of them lags.
func (r *Rationer) slowest(now time.Time, eligible func(*Client) bool) *Client {
	var all, unserved *Client
	for c := range r.clients {
		if c.phase == Running || c.lag(now) < minLag || !eligible(c) {
			continue
		}
		if slower(c, all) {
			all = c
		}
		if !c.served && c.lag(now) >= newcomerGrace && slower(c, unserved) {
			unserved = c
		}
	}
	if unserved != nil {
		return unserved
	}
	return all
}

// slower reports whether c lags more than d, which may be nil.
func slower(c, d *Client) bool {
	return d == nil || c.paidUntil.Before(d.paidUntil) || c.paidUntil.Equal(d.paidUntil) && c.joined < d.joined
}

// Leave removes a client and returns what it holds. A client that has left is ignored.
func (r *Rationer) Leave(c *Client) {
	if r.has(c) {
		r.used -= c.held
		c.held = 0
		delete(r.clients, c)
	}
}

// has reports whether the client has not left.
func (r *Rationer) has(c *Client) bool {
	_, ok := r.clients[c]
	return ok
}

// Enter records that a client is in another phase from now on.
func (r *Rationer) Enter(c *Client, p Phase, now time.Time) {
	c.phase, c.paidUntil = p, now
	c.served = c.served || p == Running
}

// Progress records that n bytes were received from or sent to a client.
func (r *Rationer) Progress(c *Client, n int, now time.Time) {
	c.paidUntil = c.paidUntil.Add(time.Duration(float64(n) / progressRate * float64(time.Second)))
	if c.paidUntil.After(now) {
		c.paidUntil = now
	}
}

// Reserve lets a client hold n more bytes. If the memory is used up, victims are the clients to
// disconnect, which have left already; if disconnecting those that have made less progress for the
// memory that they hold is not enough, ok is false and nothing changes.
//
// It answers the load of many requests of legal size at once that stop short of their end.
func (r *Rationer) Reserve(c *Client, n int64, now time.Time) (victims []*Client, ok bool) {
	if !r.has(c) {
		return nil, false
	}
	victims, ok = r.makeRoom(c, n, now)
	if !ok {
		return nil, false
	}
	r.hold(c, n, victims)
	return victims, true
}

// Hold is Reserve for memory that is in use already: the client holds it in any case.
//
// It answers the load of clients that ask and never read the answer.
func (r *Rationer) Hold(c *Client, n int64, now time.Time) (victims []*Client) {
	if !r.has(c) {
		return nil
	}
	victims, _ = r.makeRoom(c, n, now)
	r.hold(c, n, victims)
	return victims
}

// Charge lets a client hold n bytes that are in use already, also beyond the limit; see Relieve.
func (r *Rationer) Charge(c *Client, n int64) {
	if r.has(c) {
		r.hold(c, n, nil)
	}
}

// Add counts n bytes that no client holds, also beyond the limit, or returns them if n is negative.
//
// It answers the load of requests that are handled after their client has left.
func (r *Rationer) Add(n int64) { r.used += n }

// Exceeded reports whether the clients would hold more than the limit with n more bytes.
func (r *Rationer) Exceeded(n int64) bool { return r.used+n > r.limits.Bytes }

// Relieve returns the clients to disconnect, which have left already, so that the limit is kept
// again. If disconnecting those that have made less progress than c for the memory that they hold is
// not enough, ok is false and c is to be disconnected too.
func (r *Rationer) Relieve(c *Client, now time.Time) (victims []*Client, ok bool) {
	victims, ok = r.makeRoom(c, 0, now)
	r.hold(c, 0, victims)
	return victims, ok
}

func (r *Rationer) hold(c *Client, n int64, victims []*Client) {
	for _, v := range victims {
		r.Leave(v)
	}
	c.held += n
	r.used += n
}

// makeRoom returns the clients to disconnect so that c can hold n more bytes, and whether that is
// enough.
func (r *Rationer) makeRoom(c *Client, n int64, now time.Time) (victims []*Client, ok bool) {
	excess := r.used + n - r.limits.Bytes
	own := c.weight(n, now)
	chosen := map[*Client]bool{c: true}
	for excess > 0 {
		var victim *Client
		for v := range r.clients {
			if chosen[v] || v.held == 0 || v.phase == Running || v.lag(now) < minLag || v.weight(0, now) <= own {
				continue
			}
			if victim == nil || v.weight(0, now) > victim.weight(0, now) || v.weight(0, now) == victim.weight(0, now) && v.joined < victim.joined {
				victim = v
			}
		}
		if victim == nil {
			return victims, false
		}
		chosen[victim] = true
		victims = append(victims, victim)
		excess -= victim.held
	}
	return victims, true
}

// Release takes n bytes back from a client.
func (r *Rationer) Release(c *Client, n int64) {
	if r.has(c) {
		n = min(n, c.held)
		c.held -= n
		r.used -= n
	}
}
