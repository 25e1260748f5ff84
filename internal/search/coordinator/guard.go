package coordinator

// guard holds back sub-requests of a query that may crash backend servers. A
// query that was never near a crash passes unhindered. After a first crash
// nothing more is sent except one sub-request that runs alone; if that is
// answered the query goes on, if it breaks too the query sends nothing more.
type guard struct {
	// alone makes sub-requests run alone until one was answered; canary holds
	// all but the first one back until then.
	alone  bool
	canary bool
	held   []uint32

	broken  []uint32
	crashes int
	probing bool
	stopped bool
}

// step is what the guard lets the query send next.
type step struct {
	shards []uint32
	// held shards are sent for the first time.
	held  bool
	alone bool
}

// lone reports whether the next sub-request has to run alone.
func (g *guard) lone() bool { return g.alone || g.probing }

func (g *guard) crashed() bool { return g.crashes > 0 }

// mayHedge and mayRetry report whether extra sub-requests are allowed.
func (g *guard) mayHedge() bool { return !g.stopped && !g.alone && g.crashes == 0 }
func (g *guard) mayRetry() bool { return !g.stopped && g.crashes == 0 }

// broke notes that a shard's connection broke.
func (g *guard) broke(shard uint32, alone bool) step {
	g.crashes++
	g.broken = append(g.broken, shard)
	switch {
	case g.stopped || g.probing && !alone:
		return step{}
	case alone || g.canary:
		g.stopped = true
		return step{}
	default:
		g.probing = true
		g.broken = g.broken[:len(g.broken)-1]
		return step{shards: []uint32{shard}, alone: true}
	}
}

// answered notes an answer. One that came from a lone run, or from the first
// sub-request of a held query, releases the rest.
func (g *guard) answered(alone bool) step {
	switch {
	case g.stopped:
		return step{}
	case g.canary:
		next := step{shards: g.held, held: true}
		g.alone, g.canary, g.held = false, false, nil
		return next
	case g.probing && alone:
		next := step{shards: g.broken}
		g.probing, g.broken, g.crashes = false, nil, 0
		return next
	default:
		return step{}
	}
}

// undecided notes that the sub-request that was to prove the query harmless
// neither ran nor crashed. Nothing more is sent.
func (g *guard) undecided() { g.stopped = true }
