package replicator

// preCampaign asks the voters whether this member could win an election,
// without raising the term. A member that returns from isolation therefore does
// not disturb a stable leader.
func (c *Core) preCampaign() {
	if !c.canCampaign() {
		return
	}
	c.role = RolePreCandidate
	c.leaderID = 0
	c.requestVotes(Message{Kind: MessagePreVote, Term: c.term + 1})
}

// campaign starts an election in a new term. context is sent with each request
// for a vote.
func (c *Core) campaign(context uint64) {
	c.role = RoleCandidate
	c.leaderID = 0
	c.term++
	c.votedFor = c.id
	c.resetElectionDeadline()
	c.requestVotes(Message{Kind: MessageVote, Term: c.term, Context: context})
}

// canCampaign reports whether this member may start an election: it must be a
// voter in the newest membership of its log and not be installing a snapshot.
func (c *Core) canCampaign() bool {
	m, ok := c.memberships.latest().find(c.id)
	return ok && m.Voter && c.installingSnapshot == nil
}

// requestVotes sends a copy of m to every other voter. Learners are not asked.
func (c *Core) requestVotes(m Message) {
	c.votesGranted = map[uint64]bool{c.id: true}
	m.Index = c.log.lastIndex()
	m.LogTerm, _ = c.log.termAt(m.Index)
	for _, member := range c.memberships.latest().members {
		if member.Voter && member.ID != c.id {
			m.To = member.ID
			c.enqueue(m)
		}
	}
	c.countVotes()
}

// countVotes moves on to the election or the leadership once a majority of the
// voters has granted its pre-vote or vote.
func (c *Core) countVotes() {
	if !c.memberships.latest().hasMajority(func(id uint64) bool { return c.votesGranted[id] }) {
		return
	}
	if c.role == RolePreCandidate {
		c.campaign(0)
		return
	}
	c.becomeLeader()
}

// hasLiveLeader reports whether this member leads, or has heard from the leader
// within the minimum election timeout. It then ignores requests for votes
// (leader stickiness).
func (c *Core) hasLiveLeader() bool {
	if c.role == RoleLeader {
		return true
	}
	return c.leaderID != 0 && c.now-c.lastLeaderContact < c.cfg.ElectionTimeout
}

// isUpToDate reports whether a log that ends at index with the given term is at
// least as up to date as this member's log.
func (c *Core) isUpToDate(index, term uint64) bool {
	last := c.log.lastIndex()
	lastTerm, _ := c.log.termAt(last)
	return term > lastTerm || term == lastTerm && index >= last
}

// mayGrantVote reports whether this member may grant the vote that m requests.
// A member that its own log does not list grants none.
//
// A learner does grant votes. A candidate asks only the voters of its own log,
// so a learner that is asked was promoted by an entry that has not reached it
// yet, and held every committed entry at that time. If it refused, the loss of
// another host at that moment would leave no quorum.
func (c *Core) mayGrantVote(m Message) bool {
	_, member := c.memberships.latest().find(c.id)
	return member && c.isUpToDate(m.Index, m.LogTerm)
}

// handlePreVoteRequest answers with the requested term if it grants the
// pre-vote. It records nothing, so a member may grant any number of pre-votes.
func (c *Core) handlePreVoteRequest(m Message) {
	if m.Term > c.term && c.mayGrantVote(m) {
		c.enqueue(Message{Kind: MessagePreVoteReply, To: m.From, Term: m.Term})
		return
	}
	c.enqueue(Message{Kind: MessagePreVoteReply, To: m.From, Reject: true})
}

// handleVoteRequest grants at most one vote in a term, and none once the leader
// of the term is known.
func (c *Core) handleVoteRequest(m Message) {
	voteAvailable := c.votedFor == m.From || c.votedFor == 0 && c.leaderID == 0
	if !voteAvailable || !c.mayGrantVote(m) {
		c.enqueue(Message{Kind: MessageVoteReply, To: m.From, Reject: true})
		return
	}
	c.votedFor = m.From
	c.resetElectionDeadline()
	c.enqueue(Message{Kind: MessageVoteReply, To: m.From})
}

// handlePreVoteReply counts a pre-vote that was granted for the next term.
func (c *Core) handlePreVoteReply(m Message) {
	if c.role == RolePreCandidate && !m.Reject && m.Term == c.term+1 {
		c.votesGranted[m.From] = true
		c.countVotes()
	}
}

// handleVoteReply counts a vote that was granted in the current term.
func (c *Core) handleVoteReply(m Message) {
	if c.role == RoleCandidate && !m.Reject {
		c.votesGranted[m.From] = true
		c.countVotes()
	}
}
