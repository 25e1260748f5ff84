package replicator

import "time"

// transferVoteContext is the Context of a MessageVote in an election that the
// leader itself asked for.
const transferVoteContext = 1

// TransferLeadership asks a voter that holds the leader's whole log to start an
// election at once. A planned stop of the leader then costs one round of votes
// instead of an election timeout.
//
// It does nothing unless this member leads and has heard from such a voter
// within the election timeout. The message may be lost, so the caller repeats
// the call until another member leads.
func (c *Core) TransferLeadership(now time.Duration) {
	c.advanceTime(now)
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.memberships.latest().members {
		p := c.progress[m.ID]
		if !m.Voter || m.Outgoing || m.ID == c.id || p == nil {
			continue
		}
		if p.matchIndex == c.log.lastIndex() && c.now-p.lastReplyAt < c.cfg.ElectionTimeout {
			c.enqueue(Message{Kind: MessageTimeoutNow, To: m.ID})
			return
		}
	}
}

// handleTimeoutNow starts an election on behalf of the leader that is about to
// stop. It skips the pre-vote, which the followers would refuse while they hear
// from that leader.
func (c *Core) handleTimeoutNow(m Message) {
	if c.role == RoleFollower && c.leaderID == m.From && c.canCampaign() {
		c.campaign(transferVoteContext)
	}
}

// isTransferVote reports whether m requests a vote for a leadership transfer.
// Such a request is not ignored in favor of the live leader. It is as safe as
// any other, because the candidate needs a majority whose logs are not ahead of
// its own.
func isTransferVote(m Message) bool { return m.Kind == MessageVote && m.Context == transferVoteContext }
