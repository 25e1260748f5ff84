// Package estimator learns how much work requests are for backend servers, and keeps
// account of the work that each server still has to do. It does no I/O and reads no clock.
//
// The work of a request is the time for which it occupies a slot of a server of usual
// speed. Requests are told apart by route and service first. Where there is enough
// evidence, the account and the fingerprint of a request refine the estimate by factors,
// which are learned from all services of the route together: a fan-out to 36 shards gives
// 36 samples of its fingerprint at once.
//
// The speed of each server is learned apart from the work of requests, from how much
// longer the server takes than what was expected of the request.
package estimator

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEntries bounds the entries of each kind. With 71 accounts on 4 routes and 36 to 54
	// shards, 500 are in use; the rest is for fingerprints.
	maxEntries = 4096
	// lifetime is the age of the last sample of a route from which its requests are
	// unknown. A host of a fleet of 135 gets one request of a rare route in 5 s.
	lifetime = 30 * time.Second
	// minRouteSamples is the evidence from which the requests of a route are known.
	minRouteSamples = 8.0
	// servicePrior, accountPrior and fingerprintPrior are the evidence, in samples, at which an
	// entry counts as much as the more general one.
	servicePrior     = 8.0
	accountPrior     = 8.0
	fingerprintPrior = 4.0
	// costMemory and speedMemory are the most samples that an entry averages over.
	costMemory  = 64.0
	speedMemory = 16.0
	// outlierRatio is the multiple of the expected work up to which a sample counts. A pause
	// of a server makes a request of 5 ms look like one of 150 ms.
	outlierRatio = 3.0
	// boundWeight is the weight of a send that ended without an answer, whose latency is
	// only a lower bound.
	boundWeight = 0.25
	// maxQueueShare is the share of a latency that may be due to the queue of the server. A
	// sample with more says little about the work.
	maxQueueShare = 0.75
	// minWork and maxWork bound all samples, in seconds, and maxFactor and maxSpeed bound the
	// factors of accounts, fingerprints and servers.
	minWork   = 50e-6
	maxWork   = 600.0
	maxFactor = 100.0
	maxSpeed  = 10.0
)

// Request tells requests apart.
type Request struct {
	// Route and Service are the names of the route and of the service that gets the request.
	Route   string
	Service string
	// Account is the name of the client account, empty if there is none.
	Account string
	// Fingerprint identifies equal requests.
	Fingerprint uint64
}

// Load is the load that a server reported with an answer.
type Load struct {
	// Known is false if the server reported none.
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Ending tells how a send ended.
type Ending uint8

const (
	// Untold is the end of a send that tells nothing of the work, such as a failure.
	Untold Ending = iota
	// Answered is the end of a send that the server ran to its end.
	Answered
	// Unfinished is the end of a send that was cancelled or timed out while the server may
	// have been working on it.
	Unfinished
)

// Result is what is known at the end of a send.
type Result struct {
	Ending Ending
	// Elapsed is the time from when the request was written until its answer or end, and
	// RoundTrip is the part of it that the network takes. An Elapsed of 0 means that nothing
	// was written.
	Elapsed   time.Duration
	RoundTrip time.Duration
	// Load is the load in the answer.
	Load Load
}

// Estimate is the expected work of a request.
type Estimate struct {
	// Work is the expected work at usual speed.
	Work time.Duration
	// Samples is the evidence for the route. Account and Fingerprint are the factors by which
	// the account alone, and both together, differ from the route at this service.
	Samples     float64
	Account     float64
	Fingerprint float64
}

// Send is what Begin counted for a request. The zero value was never counted, and Finish
// ignores it.
type Send struct {
	// work is the work in seconds that was counted. It is the estimate if known is set.
	work float64
	// at is when the request was sent, since Estimator.base.
	at           time.Duration
	known, begun bool
}

// keys identifies the entries of a request.
type keys struct {
	route, service, account, fingerprint uint64
}

// Estimator holds the estimates of one host. It is not safe for concurrent use.
type Estimator struct {
	// works holds the mean work in seconds by route and by route and service. factors holds
	// those of accounts and fingerprints relative to the work at the same service.
	works   table
	factors table
	// services holds the mean work of all requests of a service, by its name.
	services table
	servers  map[string]*server
	// base is when the first request was sent.
	base time.Time
}

// New returns an estimator without evidence.
func New() *Estimator { return &Estimator{servers: map[string]*server{}} }

// Names of the kinds of entries in their keys.
const (
	routeSeed = iota + 1
	serviceSeed
	accountSeed
	fingerprintSeed
)

// keysOf returns the keys of the entries of a request.
func keysOf(r Request) keys {
	route := xxhash.Sum64String(r.Route)
	k := keys{route: mix(route, routeSeed), service: mix(route^mix(xxhash.Sum64String(r.Service), serviceSeed), serviceSeed)}
	if r.Account != "" {
		k.account = mix(route^mix(xxhash.Sum64String(r.Account), accountSeed), accountSeed)
	}
	if r.Fingerprint != 0 {
		k.fingerprint = mix(route^mix(r.Fingerprint, fingerprintSeed), fingerprintSeed)
	}
	return k
}

// mix scatters a key and a seed (the finalizer of MurmurHash3).
func mix(x, seed uint64) uint64 {
	x += seed * 0x9e3779b97f4a7c15
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Estimate returns the expected work of a request, and false while there is too little
// evidence or only old evidence for its route. It changes nothing.
func (e *Estimator) Estimate(now time.Time, r Request) (Estimate, bool) {
	k := keysOf(r)
	work, base, ok := e.work(now, k)
	if !ok {
		return Estimate{}, false
	}
	route, _ := e.works.get(k.route)
	return Estimate{
		Work: seconds(work), Samples: route.samples, Fingerprint: work / base, Account: e.accountFactor(k),
	}, true
}

// work returns the expected work of a request in seconds, and that of all requests of its
// route to the service.
func (e *Estimator) work(now time.Time, k keys) (work, base float64, ok bool) {
	route, found := e.works.get(k.route)
	if !found || route.samples < minRouteSamples || now.Sub(route.last) > lifetime {
		return 0, 0, false
	}
	base = route.mean
	if s, found := e.works.get(k.service); found {
		base = s.shrunk(base, servicePrior)
	}
	factor := e.accountFactor(k)
	if k.fingerprint != 0 {
		if f, found := e.factors.get(k.fingerprint); found {
			factor = f.shrunk(factor, fingerprintPrior)
		}
	}
	return clamp(base*factor, minWork, maxWork), base, true
}

// accountFactor returns the factor by which the requests of an account differ from all of
// the route.
func (e *Estimator) accountFactor(k keys) float64 {
	if k.account == 0 {
		return 1
	}
	a, found := e.factors.get(k.account)
	if !found {
		return 1
	}
	return a.shrunk(1, accountPrior)
}

// accountEvidence returns how far an account is known, from 0 to 1. The first requests of an
// account do not tell whether it is their server that takes long or all of its requests do.
func (e *Estimator) accountEvidence(k keys) float64 {
	if k.account == 0 {
		return 1
	}
	a, _ := e.factors.get(k.account)
	return a.samples / (a.samples + accountPrior)
}

// learn adds a sample of the work of a request, in seconds at usual speed. What is known of
// the account and the fingerprint is left out of the sample for the route and the service, so
// that a burst of costly requests does not make all others look costly.
func (e *Estimator) learn(now time.Time, k keys, sample, weight float64, bound bool) {
	work, base, known := e.work(now, k)
	// A lower bound tells something only if less was expected.
	if bound && (!known || sample <= work) {
		return
	}
	if !known {
		e.works.add(now, k.route, sample, weight, costMemory)
		e.works.add(now, k.service, sample, weight, costMemory)
		return
	}
	factor := clamp(work/base, 1/maxFactor, maxFactor)
	e.works.add(now, k.route, sample/factor, weight, costMemory)
	e.works.add(now, k.service, sample/factor, weight, costMemory)
	ratio := clamp(sample/base, 1/maxFactor, maxFactor)
	if k.account != 0 {
		e.factors.add(now, k.account, ratio, weight, costMemory)
	}
	if k.fingerprint != 0 {
		e.factors.add(now, k.fingerprint, ratio, weight, costMemory)
	}
}

// Len returns the number of entries held: those of requests and those of servers.
func (e *Estimator) Len() (requests, servers int) {
	return e.works.len() + e.factors.len() + e.services.len(), len(e.servers)
}

// clamp returns x within the bounds; NaN becomes the lower one.
func clamp(x, low, high float64) float64 {
	if !(x > low) {
		return low
	}
	return math.Min(x, high)
}

// seconds converts seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
