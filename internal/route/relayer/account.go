package relayer

import (
	"context"
	"time"

	"gentianpond/internal/route/router"
)

// Allowances grants the requests of accounts that have a limit, summed over all hosts.
type Allowances interface {
	// Take takes one request from the allowance of an account. If there is no room, it
	// reports false and after what time there will be. A request that is late, because its
	// answer would come after the latency objective, gets room only if there is enough for
	// those that are not.
	Take(ctx context.Context, a *router.Account, late bool) (wait time.Duration, ok bool)
	// Return gives back what Take took for a request that has not run and will not. It must
	// not block.
	Return(a *router.Account)
}

// identify returns the account of a request, nil if it has none, and prepares the headers
// for backend servers and other hosts: they get the name of the account and never the key.
// It reports false if the request needs a key of an account and has none. Without accounts
// in the table it changes nothing.
//
// A host that handed the request over has authenticated it. One of the release before
// accounts passed on the key instead of the name.
func (r *Relayer) identify(table *router.Table, route *router.Route, request *Request) (*router.Account, bool) {
	if !table.HasAccounts() {
		return nil, true
	}
	codec := r.config.Codec
	account, ok := table.Authenticate(codec.Key(request.Header))
	if request.Delegated && request.Account != "" {
		account, ok = table.Account(request.Account)
	}
	if !ok {
		codec.SetAccount(request.Header, "")
		return nil, route.Public
	}
	codec.SetAccount(request.Header, account.Name)
	return account, true
}

// takeAllowance takes a request from the allowance of its account. The host that the client
// connected to has done that for a request that was handed over.
func (r *Relayer) takeAllowance(ctx context.Context, account *router.Account, route *router.Route, request *Request) (time.Duration, bool) {
	if !r.isLimited(account, request) {
		return 0, true
	}
	return r.config.Allowances.Take(ctx, account, request.isLate(route))
}

// isLate reports whether the latency objective has passed since the client first sent the
// request. Clients that come back after a refusal have less time left than the route allows.
func (r *Request) isLate(route *router.Route) bool {
	return !r.Deadline.IsZero() && route.Objective > 0 && route.Timeout-r.Deadline.Sub(r.Received) >= route.Objective
}

// returnAllowance gives back what takeAllowance took for a request that has not run.
func (r *Relayer) returnAllowance(account *router.Account, request *Request) {
	if r.isLimited(account, request) {
		r.config.Allowances.Return(account)
	}
}

// isLimited reports whether a request counts against an allowance at this host.
func (r *Relayer) isLimited(account *router.Account, request *Request) bool {
	return account != nil && account.Rate > 0 && r.config.Allowances != nil && !request.Delegated
}

// refuseAllowance logs and counts a request beyond the allowance of its account, and returns
// its answer.
func (r *Relayer) refuseAllowance(request *Request, account *router.Account, wait time.Duration) Answer {
	a := r.Refuse(request, OverAllowance)
	a.RetryAfter = max(wait, minRetryAfter)
	r.config.Scope.Counter("requests_over_allowance").Inc(1)
	r.config.Log.Debug("account is over its allowance", "request", request.ID, "account", account.Name, "rate", account.Rate, "retry", a.RetryAfter)
	return a
}
