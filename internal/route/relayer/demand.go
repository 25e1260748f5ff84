package relayer

import (
	"strconv"
	"time"

	"gentianpond/internal/route/admitter"
)

// recordDemand counts the request for its account and looks up how the account compares to
// its usual demand. Requests without an account count together. Without accounts in the
// routing table it does nothing. The caller holds the lock.
func (q *query) recordDemand(now time.Time) {
	if !q.table.HasAccounts() {
		return
	}
	name := ""
	if q.account != nil {
		name = q.account.Name
	}
	r := q.relayer
	r.demand.Record(now, name)
	q.standing = r.demand.Standing(now, name)
	r.config.Scope.Gauge("accounts_tracked").Update(float64(r.demand.Len()))
}

// sentShare returns the share of such requests that is sent to a service. The caller holds
// the lock.
func (q *query) sentShare(now time.Time, service string) float64 {
	throttle, rank, rankCount := q.relayer.throttle(service), q.table.Rank(q.route, q.account), q.table.RankCount()
	if !q.table.HasAccounts() {
		return throttle.SentShare(now, rank, rankCount)
	}
	return throttle.AccountShare(now, rank, rankCount, q.standing)
}

// leaveOut returns which shards are left out because they are congested. The caller holds
// the lock.
func (q *query) leaveOut(now time.Time) []bool {
	shares := make([]float64, len(q.shards))
	for i := range q.shards {
		shares[i] = q.sentShare(now, q.shards[i].service)
	}
	return admitter.LeaveOut(q.relayer.rand, shares, q.plan.Shards-q.plan.MinParts)
}

// countRefusal counts a request that is refused before it is sent to any server.
func (q *query) countRefusal(reason Reason) {
	q.relayer.config.Scope.Tagged(map[string]string{
		"reason": reason.String(), "rank": strconv.Itoa(q.table.Rank(q.route, q.account)), "over": strconv.FormatBool(q.standing.Over()),
	}).Counter("requests_refused").Inc(1)
}
