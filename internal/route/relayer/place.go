package relayer

import (
	"math/rand/v2"
	"time"

	"gentianpond/internal/fleet/registrar"
	"gentianpond/internal/guard/quarantiner"
	"gentianpond/internal/route/admitter"
	"gentianpond/internal/route/estimator"
	"gentianpond/internal/route/router"
)

// AllowancePeeker is implemented by Allowances that can tell how long an account has to wait
// without taking anything.
type AllowancePeeker interface {
	Peek(a *router.Account) (wait time.Duration, ok bool)
}

// Placement tells where a request would be sent now, and why. Durations are in milliseconds.
type Placement struct {
	// Zone is that of the host, and Table the version of its routing table.
	Zone  string `json:"zone"`
	Table uint64 `json:"table"`
	Route string `json:"route,omitempty"`
	Kind  string `json:"kind,omitempty"`
	// Account is the client account, empty if there is none. Rate is its limit. Allowance is
	// "unlimited", "room", "used up" or "unknown".
	Account     string  `json:"account,omitempty"`
	Rate        float64 `json:"rate,omitempty"`
	Allowance   string  `json:"allowance,omitempty"`
	Fingerprint string  `json:"fingerprint"`
	// Suspicion is the state of the request if it is suspected to crash servers.
	Suspicion string `json:"suspicion,omitempty"`
	// Refusal tells why the request would be refused, empty if it would be sent. Dropped is the
	// probability that it would be refused because of congestion.
	Refusal string  `json:"refusal,omitempty"`
	Dropped float64 `json:"dropped,omitempty"`
	// Required is the least number of services that have to answer.
	Required int       `json:"required,omitempty"`
	Services []Service `json:"services,omitempty"`
}

// Service is a service that would get the request: a shard of a fan-out, or one of those that
// the requests of the route are split among.
type Service struct {
	Name string `json:"name"`
	// Weight is the share of the requests of the route that the service gets if they are split.
	Weight float64 `json:"weight,omitempty"`
	// Sent is the share of such requests that is not dropped because of congestion.
	Sent  float64 `json:"sent"`
	State string  `json:"state"`
	// Cost is the expected work of the request, 0 if unknown; then servers are ranked by
	// their latency. Account and Request are the factors in it of the account, and of both the
	// account and this request.
	Cost    float64 `json:"cost,omitempty"`
	Samples float64 `json:"samples,omitempty"`
	Account float64 `json:"account,omitempty"`
	Request float64 `json:"request,omitempty"`
	// Chosen is the server that would most likely be chosen, empty if there is none. Servers
	// that are about equal are chosen at random.
	Chosen  string      `json:"chosen,omitempty"`
	Servers []Candidate `json:"servers,omitempty"`
}

// Candidate is a server of a service.
type Candidate struct {
	Name   string `json:"name"`
	Zone   string `json:"zone"`
	State  string `json:"state"`
	Chosen bool   `json:"chosen,omitempty"`
	// Out tells why the server gets no request, empty if it may get it.
	Out []string `json:"out,omitempty"`
	// Class and Ramp are those of the selector. Near means that the server is in the host's zone.
	Class string  `json:"class"`
	Ramp  float64 `json:"ramp,omitempty"`
	Near  bool    `json:"near,omitempty"`
	Slow  bool    `json:"slow,omitempty"`
	// Expected is the expected time until the answer by cost, 0 if unknown, and Score the one by
	// latency and requests.
	Expected float64 `json:"expected,omitempty"`
	Score    float64 `json:"score"`
	// Connect is the time that a new connection adds, 0 if there is one.
	Connect  float64 `json:"connect,omitempty"`
	Failures float64 `json:"failures,omitempty"`
	// Open is the number of this host's requests to the server and Work their expected work.
	// Speed is the relative time that the server takes for the same work.
	Open  int     `json:"open"`
	Work  float64 `json:"work,omitempty"`
	Speed float64 `json:"speed,omitempty"`
	// Running, Waiting and Slots are what the server last reported, Age ms ago.
	Reported bool    `json:"reported"`
	Running  int     `json:"running"`
	Waiting  int     `json:"waiting"`
	Slots    int     `json:"slots"`
	Age      float64 `json:"age,omitempty"`
	// Limit is the rate limit in force in requests a second, and Pause for how long the server
	// wants no requests.
	Limit float64 `json:"limit,omitempty"`
	Pause float64 `json:"pause,omitempty"`
}

// milliseconds returns a duration as a number of milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Place returns where a request would be sent now. Account is the name of its account, empty
// if it has no key. Nothing is sent or taken, and nothing changes that later choices depend on.
func (r *Relayer) Place(request Request) Placement {
	routing := r.routing.Load()
	p := Placement{Zone: r.config.Zone, Fingerprint: fingerprintText(request.fingerprint())}
	if routing.table == nil {
		p.Refusal = NotReady.String()
		return p
	}
	p.Table = routing.table.Version
	route, ok := routing.table.Match(request.Host, request.Path)
	if !ok {
		p.Refusal = NoRoute.String()
		return p
	}
	p.Route, p.Kind = route.Name, route.Kind.String()
	q := &query{relayer: r, route: route, table: routing.table, fingerprint: request.fingerprint()}
	if routing.table.HasAccounts() {
		if account, ok := routing.table.Account(request.Account); ok {
			q.account = account
		} else if !route.Public {
			p.refuse(Unauthorized)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	q.placeAccount(&p)
	if stop := r.stopAt.Load(); stop != nil && stop.Sub(now) < route.Objective {
		p.refuse(NotReady)
	}
	if s := r.guard.Suspicion(now, q.fingerprint); s.State != quarantiner.StateClear {
		p.Suspicion = s.State.String()
		if s.State == quarantiner.StateQuarantined || s.State == quarantiner.StatePinned {
			p.refuse(Quarantined)
		}
	}
	q.placeServices(now, routing, &p)
	return p
}

// refuse sets the reason of the refusal unless there is one.
func (p *Placement) refuse(reason Reason) {
	if p.Refusal == "" {
		p.Refusal = reason.String()
	}
}

// placeAccount adds the account and whether it has room.
func (q *query) placeAccount(p *Placement) {
	if q.account == nil {
		return
	}
	p.Account, p.Rate, p.Allowance = q.account.Name, q.account.Rate, "unlimited"
	if q.account.Rate <= 0 || q.relayer.config.Allowances == nil {
		return
	}
	p.Allowance = "unknown"
	if peeker, ok := q.relayer.config.Allowances.(AllowancePeeker); ok {
		p.Allowance = "room"
		if _, ok := peeker.Peek(q.account); !ok {
			p.Allowance = "used up"
			p.refuse(OverAllowance)
		}
	}
}

// placeServices adds the services, and whether enough of them can get the request. The
// caller holds the lock.
func (q *query) placeServices(now time.Time, routing *routingState, p *Placement) {
	r := q.relayer
	// The choice draws random numbers. Those of the relayer are left as they are.
	random := r.rand
	r.rand = rand.New(rand.NewPCG(1, 1))
	defer func() { r.rand = random }()
	p.Required = 1
	weight := 0.0
	if q.route.Fanout() {
		p.Required = q.route.MinParts()
	}
	for _, t := range q.route.Targets {
		weight += t.Weight
	}
	open, limitedCount := 0, 0
	for i, name := range q.route.Services() {
		s := Service{Name: name, Sent: 1}
		if t := r.throttles[name]; t != nil {
			s.Sent = t.SentShare(now, q.table.Rank(q.route, q.account), q.table.RankCount())
		}
		if !q.route.Fanout() {
			s.Weight = q.route.Targets[i].Weight / max(weight, 1e-9)
		}
		state := r.availabilityOf(now, routing, name, q.allowsServer)
		s.State = [...]string{unknown: "no server", unreachable: "unreachable", limited: "limited", available: "available"}[state]
		switch state {
		case available:
			open++
		case limited:
			limitedCount++
		}
		q.placeServers(now, routing, &s)
		p.Services = append(p.Services, s)
	}
	switch missing := p.Required - open; {
	case missing > limitedCount:
		p.refuse(NoServer)
	case missing > 0:
		p.refuse(RateLimited)
	}
	p.Dropped = droppedShare(p.Services, p.Required, q.route.Fanout())
}

// droppedShare returns the probability that a request is refused because of congestion.
func droppedShare(services []Service, required int, fanout bool) float64 {
	if !fanout {
		share := 0.0
		for _, s := range services {
			share += s.Weight * (1 - s.Sent)
		}
		return share
	}
	shares := make([]float64, len(services))
	for i, s := range services {
		shares[i] = s.Sent
	}
	return admitter.RefusedShare(shares, len(services)-required)
}

// placeServers adds the servers of a service and the one that would be chosen. The caller
// holds the lock.
func (q *query) placeServers(now time.Time, routing *routingState, s *Service) {
	r := q.relayer
	estimate, known := r.cost.set(now, q.costRequest(s.Name))
	if known {
		s.Cost, s.Samples, s.Account, s.Request = milliseconds(estimate.Work), estimate.Samples, estimate.Account, estimate.Fingerprint
	}
	r.selector.Uncounted(func() {
		if target, _ := r.pickServer(now, routing, s.Name, nil, q.allowsServer); target != nil {
			s.Chosen = target.Name
		}
	})
	m := routing.services[s.Name]
	for _, names := range [][]string{m.ready, m.silent} {
		for _, name := range names {
			c := q.describe(now, routing.servers[name])
			if known {
				expected, slow, _ := r.cost.expectedTime(now, name)
				c.Expected, c.Slow = milliseconds(time.Duration(expected)), slow
			}
			c.Chosen = name == s.Chosen
			s.Servers = append(s.Servers, c)
		}
	}
}

// describe returns what is known of a server. The caller holds the lock.
func (q *query) describe(now time.Time, s *server) Candidate {
	r := q.relayer
	c := Candidate{
		Name: s.Name, Zone: s.Zone, State: "ready", Slots: s.Slots, Limit: r.limits.Limit(s.Name), Pause: milliseconds(s.pause(now)),
		Connect: milliseconds(r.selector.ExtraLatency(s.Name)),
	}
	if s.State == registrar.Silent {
		c.State = "silent"
	}
	for _, o := range []struct {
		reason string
		out    bool
	}{
		{"down", s.down.Load()}, {"misdirected", s.misdirected.Load()}, {"leaving", s.leaving.Load()},
		{"paused", c.Pause > 0}, {"rate limit", !r.limits.HasRoom(now, s.Name)},
		{"region", !q.allowsServer(s)}, {"cold limit", !r.cold.HasRoom(now, s.Name)},
	} {
		if o.out {
			c.Out = append(c.Out, o.reason)
		}
	}
	if d, ok := r.selector.Describe(now, s.Name); ok {
		c.Class, c.Near, c.Slow, c.Failures, c.Open, c.Score = d.Class, d.Near, d.Slow, d.Failures, d.InFlight, milliseconds(d.Score)
		if d.Ramp < 1 {
			c.Ramp = d.Ramp
		}
	}
	if l := s.load.Load(); l != nil {
		c.Reported, c.Running, c.Waiting, c.Slots, c.Age = true, l.Running, l.Waiting, l.Slots, milliseconds(now.Sub(l.receivedAt))
	}
	if e, ok := r.cost.server(now, s.Name); ok {
		c.Work, c.Speed = milliseconds(e.Work), e.Speed
	}
	return c
}

// server returns what the estimator knows of a server.
func (c *costing) server(now time.Time, name string) (estimator.Server, bool) {
	if c == nil {
		return estimator.Server{}, false
	}
	return c.estimator.Server(now, name)
}
