package allotter

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianpond/internal/route/pacer"
)

const (
	// changeReserve is the part of the slack that covers new lenders, which start with
	// startTokens each, and requests that run later than they were granted.
	changeReserve = 10
	// maxLenderExtra is the number of requests by which the lender's burst exceeds that of
	// the account, at most lenderExtraShare of what the bound allows beyond the limit. An
	// account with Poisson arrivals at 0.6 of its limit and a burst of 5 would otherwise be
	// refused 3 of 1,000 requests.
	maxLenderExtra   = 4
	lenderExtraShare = 0.3
	// backupExtraShare is the part of the rest that the backup gets. The hosts' own shares
	// are the other part.
	backupExtraShare = 2.0 / 3
	// burstExtraShare is the part of a share that may be saved up.
	burstExtraShare = 0.5
)

// Bounds are what the platform allows: in any time of length Window, an account may run
// (rate*Window + burst) * (1+Overage) + Slack requests.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultBounds are used where the platform names none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.05, Slack: 5}

// extra returns how many requests may be granted in a window beyond the limit.
func (b Bounds) extra(l Limit) float64 {
	return max(0, b.Overage*(l.Rate*b.Window.Seconds()+l.Burst)+b.Slack-min(changeReserve, b.Slack/2))
}

// lenderExtra returns how much of that the lender may save up.
func (b Bounds) lenderExtra(l Limit) float64 { return min(lenderExtraShare*b.extra(l), maxLenderExtra) }

// lenderShare returns what the lender may grant if this share of the hosts is not absent.
func (b Bounds) lenderShare(l Limit, present float64) pacer.Share {
	return pacer.Share{Rate: l.Rate * present, Burst: max(1, l.Burst*present+b.lenderExtra(l))}
}

// backupShare returns what the backup of the lender may grant.
func (b Bounds) backupShare(l Limit) pacer.Share {
	return b.spend(l, backupExtraShare*(b.extra(l)-b.lenderExtra(l)))
}

// apartShare returns what all hosts together may grant on their own while a lender may grant
// as well.
func (b Bounds) apartShare(l Limit) pacer.Share {
	return b.spend(l, (1-backupExtraShare)*(b.extra(l)-b.lenderExtra(l)))
}

// spend returns the share that grants at most this many requests in a window, and no more
// than half of the limit.
func (b Bounds) spend(l Limit, requests float64) pacer.Share {
	burst := burstExtraShare * requests
	return pacer.Share{Rate: min(l.Rate/2, (requests-burst)/b.Window.Seconds()), Burst: burst}
}

// divide returns the part of a share that belongs to the host at a position. Only as many
// hosts as the share has whole requests in its burst have a part, which ones differs between
// accounts; see pacer.Position.Share.
func divide(s pacer.Share, p pacer.Position, name string) pacer.Share {
	if p.Count <= 0 || s.Rate <= 0 {
		return pacer.Share{}
	}
	burst := max(1, s.Burst)
	holders := int(min(float64(p.Count), burst))
	first := int(fraction(name) * float64(p.Count))
	if (p.Rank-first+p.Count)%p.Count >= holders {
		return pacer.Share{}
	}
	return pacer.Share{Rate: s.Rate / float64(holders), Burst: burst / float64(holders)}
}

// chooseGranters chooses the lender of an account and its backup by rendezvous hashing over
// the positions.
func (a *Allotter) chooseGranters(name string) granters {
	var g granters
	var best, second uint64
	for _, l := range a.lending.Lenders {
		score := positionScore(name, l.Position)
		switch {
		case score > best:
			g.lender, g.backup = l.Address, g.lender
			best, second = score, best
		case score > second:
			g.backup, second = l.Address, score
		}
	}
	return g
}

// positionScore returns the score of a position for an account, which is never 0.
func positionScore(name string, position int) uint64 {
	d := xxhash.New()
	var number [8]byte
	binary.LittleEndian.PutUint64(number[:], uint64(position))
	// A digest returns no errors.
	_, _ = d.Write(number[:])
	_, _ = d.WriteString(name)
	return max(d.Sum64(), 1)
}

// fraction maps a name to a number in [0, 1).
func fraction(name string) float64 { return float64(xxhash.Sum64String(name)>>11) / (1 << 53) }
