package pacer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// rateFraction is the fraction of a limit that is divided among the hosts. The rest
	// covers probes and hosts that have joined but that others do not count yet.
	rateFraction = 0.9
	// burstTime is the time for which the hosts together may save up what a limit
	// allows.
	burstTime = 1500 * time.Millisecond
	// probeSlot is the time in which one host of the fleet may probe a limited server.
	probeSlot = 4 * time.Second
	// ColdBurstTime is the burst time for servers that are cold. It keeps any second within
	// one and a half times the limit and five requests, also while hosts come and go.
	ColdBurstTime = 250 * time.Millisecond
	// ColdExtraBurst uses a part of the five requests.
	ColdExtraBurst = 3
)

// Position is the place of a host among the entry hosts. The zero value means that it
// is unknown.
type Position struct {
	// Rank is from 0 to Count-1 and differs from those of all other hosts. Count is the
	// number of hosts.
	Rank  int
	Count int
}

// Share is the part of a rate limit that one host may use: Rate requests a second and
// at most Burst of them at once.
type Share struct {
	Rate  float64
	Burst float64
}

// Share returns this host's share of the limit, in requests a second, of a server. The
// shares of all hosts add up to rateFraction of the limit and to a burst of burstTime.
//
// In a large fleet the part of each host is less than one request in the time that
// counts, and one saved request on each host would exceed the limit many times over.
// Only as many hosts as there are whole requests in the common burst then have a share.
// Which ones is different for each server. While its position is unknown, a host has no
// share.
func (p Position) Share(limit float64, server string) Share {
	return p.shareOf(limit, server, burstTime, 0)
}

// shareOf is Share for a common burst of what the limit allows in the given time, and extra
// requests more.
func (p Position) shareOf(limit float64, server string, burstTime time.Duration, extra float64) Share {
	if p.Count <= 0 || limit <= 0 {
		return Share{}
	}
	burst := max(1, limit*burstTime.Seconds()+extra)
	holders := int(min(float64(p.Count), burst))
	// The holders are neighbors by rank, so that a change of the number of hosts moves
	// only a few shares.
	first := int(fraction(server) * float64(p.Count))
	if (p.Rank-first+p.Count)%p.Count >= holders {
		return Share{}
	}
	return Share{Rate: rateFraction * limit / float64(holders), Burst: burst / float64(holders)}
}

// probeSlotAt returns the number of the probe slot that contains a time, and whether it
// is this host's. The slots follow the time of day, which hosts have in common; a clock
// that is wrong moves only the probes of its own host.
func (p Position) probeSlotAt(at time.Time) (number int64, own bool) {
	number = probeSlotNumber(at)
	return number, p.Count > 0 && number%int64(p.Count) == int64(p.Rank)
}

// probeSlotNumber returns the number of the probe slot that contains a time.
func probeSlotNumber(at time.Time) int64 { return at.UnixNano() / int64(probeSlot) }

// fraction maps a name to a number in [0, 1).
func fraction(name string) float64 {
	return float64(xxhash.Sum64String(name)>>11) / (1 << 53)
}
