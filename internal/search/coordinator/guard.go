package coordinator

// crashGuard limits the sub-requests of a query that may crash backend servers.
// After a first crash it lets only one more sub-request through, a probe that
// runs alone on its server. If the probe is answered, the query goes on; if its
// connection breaks too, the query sends nothing more.
type crashGuard struct {
	// alone makes sub-requests run alone on their server until one is answered.
	alone bool
	// canary holds back all shards but the first until that one is answered.
	canary bool
	// heldShards are the shards that canary holds back.
	heldShards []uint32

	// brokenShards are the shards, other than the probed one, whose connection
	// broke. They are sent again when the probe is answered.
	brokenShards []uint32
	// crashes counts broken connections; the answer to a probe resets it.
	crashes int
	// probing is true from the first crash until the probe is answered.
	probing bool
	// stopped is true when the query must send nothing more.
	stopped bool
}

// release is the set of shards that the guard lets the query send next.
type release struct {
	shards []uint32
	// held is true for shards that were held back: these are first attempts.
	held bool
	// alone is true for a probe.
	alone bool
}

// nextAlone reports whether the next sub-request has to run alone on its server.
func (g *crashGuard) nextAlone() bool { return g.alone || g.probing }

// crashed reports whether a connection broke since the last answered probe.
func (g *crashGuard) crashed() bool { return g.crashes > 0 }

// mayHedge reports whether hedges may be sent.
func (g *crashGuard) mayHedge() bool { return !g.stopped && !g.alone && g.crashes == 0 }

// mayRetry reports whether retries and reroutes may be sent.
func (g *crashGuard) mayRetry() bool { return !g.stopped && g.crashes == 0 }

// recordCrash records that the connection of a sub-request for the shard broke;
// alone tells whether it ran alone. It returns the probe to send, if any: a crash
// of a sub-request that ran alone, or while canary holds back the others, stops
// the query.
func (g *crashGuard) recordCrash(shard uint32, alone bool) release {
	g.crashes++
	g.brokenShards = append(g.brokenShards, shard)
	switch {
	case g.stopped || g.probing && !alone:
		return release{}
	case alone || g.canary:
		g.stopped = true
		return release{}
	default:
		g.probing = true
		g.brokenShards = g.brokenShards[:len(g.brokenShards)-1]
		return release{shards: []uint32{shard}, alone: true}
	}
}

// recordAnswer records an answer; alone tells whether its sub-request ran alone.
// The answer to a probe, or to the first sub-request while canary holds back the
// others, releases the shards that wait for it.
func (g *crashGuard) recordAnswer(alone bool) release {
	switch {
	case g.stopped:
		return release{}
	case g.canary:
		next := release{shards: g.heldShards, held: true}
		g.alone, g.canary, g.heldShards = false, false, nil
		return next
	case g.probing && alone:
		next := release{shards: g.brokenShards}
		g.probing, g.brokenShards, g.crashes = false, nil, 0
		return next
	default:
		return release{}
	}
}

// stop makes the query send nothing more. It is called when the sub-request that
// had to show that the query is harmless neither ran nor crashed its server.
func (g *crashGuard) stop() { g.stopped = true }
