package admitter

import (
	"container/list"
	"math"
	"time"
)

// Fairness between accounts. It handles the burst of one account while a service is
// congested: the account's requests beyond what is usual for it are dropped first, and
// those of the others as before or less.

const (
	// recentTime and usualTime are the time constants of the averages of an account's
	// requests. A host of a large fleet sees about one request a second of the largest
	// account, and needs some seconds to tell a burst of it from chance. A burst of 6 s
	// changes the usual number by a tenth.
	recentTime = 4 * time.Second
	usualTime  = time.Minute
	// learningTime is how long requests are recorded before any of them count as beyond
	// the usual number.
	learningTime = 20 * time.Second
	// maxAccounts bounds the accounts that are tracked. The one that has been silent for
	// the longest time is forgotten.
	maxAccounts = 1024
	// minRatio is the smallest ratio of the sent share of a request to that of the most
	// urgent one of an account that is not over its usual number. Served a quarter as
	// often counts as starved.
	minRatio = 0.3
)

// Demand tracks the requests of accounts at one host. The zero value is ready for use.
type Demand struct {
	// accounts holds the elements of order by name. The value of an element is an
	// *account, the one with the latest request comes first.
	accounts map[string]*list.Element
	order    list.List
	// total counts the requests of all accounts.
	total counts
	// since is the time of the first request.
	since time.Time
}

// account is what is tracked of an account.
type account struct {
	name string
	counts
}

// counts are numbers of requests, of which older ones count less.
type counts struct {
	recent, usual float64
	// at is the time to which the numbers apply.
	at time.Time
}

// decay brings the counts to a time.
func (c *counts) decay(now time.Time) {
	if elapsed := now.Sub(c.at).Seconds(); elapsed > 0 {
		c.recent *= math.Exp(-elapsed / recentTime.Seconds())
		c.usual *= math.Exp(-elapsed / usualTime.Seconds())
		c.at = now
	}
}

// record counts one request.
func (c *counts) record(now time.Time) {
	c.decay(now)
	c.recent++
	c.usual++
}

// Record counts a request of an account. An empty name stands for requests without one.
func (d *Demand) Record(now time.Time, name string) {
	if d.accounts == nil {
		d.accounts = map[string]*list.Element{}
		d.since = now
	}
	d.total.record(now)
	e, ok := d.accounts[name]
	if ok {
		d.order.MoveToFront(e)
	} else {
		if len(d.accounts) >= maxAccounts {
			oldest := d.order.Remove(d.order.Back()).(*account)
			delete(d.accounts, oldest.name)
		}
		e = d.order.PushFront(&account{name: name})
		d.accounts[name] = e
	}
	e.Value.(*account).record(now)
}

// Len returns the number of accounts that are tracked.
func (d *Demand) Len() int { return len(d.accounts) }

// Standing tells how an account compares to its usual demand. The zero value stands for
// one that does not exceed it while no other does.
type Standing struct {
	// Excess is the share of the account's recent requests beyond its usual number,
	// TotalExcess that of the requests of all accounts.
	Excess      float64
	TotalExcess float64
}

// Over reports whether the account exceeds its usual demand.
func (s Standing) Over() bool { return s.Excess > 0 }

// Standing returns the standing of an account.
func (d *Demand) Standing(now time.Time, name string) Standing {
	if d.accounts == nil || now.Sub(d.since) < learningTime {
		return Standing{}
	}
	d.total.decay(now)
	// usualWeight turns a usual number into one of the recent time.
	usualWeight := recentTime.Seconds() / usualTime.Seconds() / (1 - math.Exp(-now.Sub(d.since).Seconds()/usualTime.Seconds()))
	var s Standing
	sum := 0.0
	for e := d.order.Front(); e != nil; e = e.Next() {
		a := e.Value.(*account)
		a.decay(now)
		excess := d.excess(&a.counts, usualWeight)
		sum += excess
		if a.name == name && a.recent > 0 {
			s.Excess = excess / a.recent
		}
	}
	if d.total.recent > 0 {
		s.TotalExcess = min(sum/d.total.recent, 1)
	}
	return s
}

// excess returns the number of recent requests of an account beyond its usual number. What
// is usual grows with the demand of the others, since all accounts take part in a burst of
// one kind of request, and leaves room for chance.
func (d *Demand) excess(c *counts, usualWeight float64) float64 {
	growth := 1.0
	if others := (d.total.usual - c.usual) * usualWeight; others > 0 {
		growth = max(1, (d.total.recent-c.recent)/others)
	}
	usual := growth * c.usual * usualWeight
	return max(0, c.recent-usual-math.Sqrt(usual)-1)
}

// shares returns the shares of the account's requests, and of those of accounts that are
// not over their usual demand, that are sent to a service of whose requests a share is
// sent. What exceeds the usual demand is dropped first.
func (s Standing) shares(share float64) (own, others float64) {
	dropped := 1 - share
	if s.TotalExcess <= 0 {
		return share, share
	}
	droppedExcess := min(1, dropped/s.TotalExcess)
	others = 1
	if s.TotalExcess < 1 {
		others = 1 - max(0, dropped-s.TotalExcess)/(1-s.TotalExcess)
	}
	return (1-s.Excess)*others + s.Excess*(1-droppedExcess), others
}

// AccountShare is like SentShare for a request of an account with the given standing. No
// request is dropped so often that its account would be starved.
func (t *Throttle) AccountShare(now time.Time, priority, priorityCount int, s Standing) float64 {
	share := t.share(now)
	if share >= 1 {
		return 1
	}
	own, others := s.shares(share)
	return max(rankedShare(own, priority, priorityCount), minRatio*rankedShare(others, 0, priorityCount))
}
