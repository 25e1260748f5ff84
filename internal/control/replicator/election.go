package replicator

// preCampaign asks whether an election could be won, without raising the term.
// A member that was isolated therefore does not disturb a stable leader.
func (c *Core) preCampaign() {
	if !c.promotable() {
		return
	}
	c.role = RolePreCandidate
	c.leader = 0
	c.collectVotes(Message{Kind: MessagePreVote, Term: c.term + 1})
}

// campaign asks for votes in a new term. Context is that of the messages.
func (c *Core) campaign(context uint64) {
	c.role = RoleCandidate
	c.leader = 0
	c.term++
	c.vote = c.id
	c.resetDeadline()
	c.collectVotes(Message{Kind: MessageVote, Term: c.term, Context: context})
}

// promotable reports whether this member may campaign: only voters of the
// newest membership in its log may.
func (c *Core) promotable() bool {
	m, ok := c.members.latest().find(c.id)
	return ok && m.Voter && c.installing == nil
}

// collectVotes asks every other voter with a copy of m; learners are never asked,
// and only voters are counted.
func (c *Core) collectVotes(m Message) {
	c.votes = map[uint64]bool{c.id: true}
	m.Index = c.log.last()
	m.LogTerm, _ = c.log.term(m.Index)
	for _, member := range c.members.latest().members {
		if member.Voter && member.ID != c.id {
			m.To = member.ID
			c.send(m)
		}
	}
	c.countVotes()
}

func (c *Core) countVotes() {
	set := c.members.latest()
	granted := 0
	for _, m := range set.members {
		if m.Voter && c.votes[m.ID] {
			granted++
		}
	}
	if granted <= set.voters()/2 {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(0)
		return
	}
	c.becomeLeader()
}

// sticky reports whether this member leads, or has heard from the leader
// within the least election timeout. It then ignores requests for votes.
func (c *Core) sticky() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leader != 0 && c.now-c.contact < c.cfg.ElectionTimeout
}

// upToDate reports whether a log that ends at index with term holds at least
// what this log holds.
func (c *Core) upToDate(index, term uint64) bool {
	last := c.log.last()
	lastTerm, _ := c.log.term(last)
	return term > lastTerm || term == lastTerm && index >= last
}

// eligible reports whether a vote may be granted to the sender of m. A member
// outside its own membership grants none. A learner does: a candidate asks
// only the voters of its own log, so a learner that is asked has been made a
// voter by an entry that has not reached it, after it held everything
// committed. If it refused, losing another host right then would leave no
// quorum.
func (c *Core) eligible(m Message) bool {
	_, member := c.members.latest().find(c.id)
	return member && c.upToDate(m.Index, m.LogTerm)
}

func (c *Core) handlePreVote(m Message) {
	if m.Term > c.term && c.eligible(m) {
		c.send(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.send(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
}

func (c *Core) handleVote(m Message) {
	free := c.vote == m.From || c.vote == 0 && c.leader == 0
	if !free || !c.eligible(m) {
		c.send(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	c.vote = m.From
	c.resetDeadline()
	c.send(Message{Kind: MessageVoteReply, To: m.From})
}

func (c *Core) handlePreVoteReply(m Message) {
	if c.role == RolePreCandidate && !m.Reject && m.Term == c.term+1 {
		c.votes[m.From] = true
		c.countVotes()
	}
}

func (c *Core) handleVoteReply(m Message) {
	if c.role == RoleCandidate && !m.Reject {
		c.votes[m.From] = true
		c.countVotes()
	}
}
