package replicator

import "time"

// handoverVote marks the votes of a campaign that the leader asked for.
const handoverVote = 1

// TransferLeadership asks a voter that holds the whole log to campaign at once. A planned
// stop of the leader then costs a round of votes instead of an election timeout.
// It does nothing unless this member leads and such a voter was heard from lately;
// messages may be lost, so that it has to be called until another member leads.
func (c *Core) TransferLeadership(now time.Duration) {
	c.setTime(now)
	if c.role != RoleLeader {
		return
	}
	for _, m := range c.members.latest().members {
		p := c.progress[m.ID]
		if !m.Voter || m.ID == c.id || p == nil {
			continue
		}
		if p.match == c.log.last() && c.now-p.heard < c.cfg.ElectionTimeout {
			c.send(Message{Kind: MessageHandover, To: m.ID})
			return
		}
	}
}

// handleHandover campaigns for the leader that is about to stop. The usual question
// whether an election could be won is left out: followers that hear from the leader
// would answer no.
func (c *Core) handleHandover(m Message) {
	if c.role == RoleFollower && c.leader == m.From && c.promotable() {
		c.campaign(handoverVote)
	}
}

// forHandover reports whether a vote is asked for because the leader stops. Such a
// vote is not ignored for the sake of that leader. It is as safe as any other: the
// candidate needs a majority with logs that are not ahead of its own.
func forHandover(m Message) bool { return m.Kind == MessageVote && m.Context == handoverVote }
