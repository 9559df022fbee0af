package replication

import "time"

// phase is the phase of a candidacy.
type phase uint8

const (
	preparing phase = iota // asks the members to promise the ballot
	staging                // transfers the record to future backups that lack it
	accepting              // asks the members to accept the view
)

// promise is a member's promise of the candidacy's ballot.
type promise struct {
	member      Member
	accepted    Ballot // ballot under which it accepted value
	value       *View  // accepted view; nil: none
	holdsRecord bool
	at          time.Duration // when the promise was received
	stageFailed bool          // it didn't store the staged record in time
	seq         uint64        // last Seq of its record
}

// candidacy is this machine's proposal for the next epoch.
type candidacy struct {
	ballot   Ballot
	phase    phase
	since    time.Duration   // when the phase began
	resendAt time.Duration   // when unanswered requests are sent again
	promises map[ID]*promise // by identity in the view
	value    *View           // the proposed view; nil while preparing
	staged   map[ID]bool     // future backups that have the staged record on disk
	accepted map[ID]bool     // by identity in the view
}

// campaign begins a candidacy: this holder of the record stops acknowledging in its view and asks for promises.
//
// The stop is on disk before the first prepare is sent and is never undone in this epoch. The primary of the view needs
// the answers of all its backups, so from then on no change that this record lacks is acknowledged in the view. The
// primary of the next view, whichever is decided, therefore has all acknowledged changes
// (TestStoppedBackupDoesNotAnswer).
func (m *Machine) campaign() {
	if m.candidacy != nil || m.now < m.election.campaignNotBefore || !m.holdsRecord() {
		return
	}
	if !m.stopped() {
		m.replica.StoppedEpoch = m.view.Epoch + 1
		m.saveReplica()
		m.dropTransfers() // a staged record must contain all changes acknowledged before the stop
	}
	b := Ballot{N: max(m.vote.Promised.N, m.election.highestRejection) + 1, ID: m.identity.ID}
	m.vote.Promised = b
	m.saveVote()
	m.candidacy = &candidacy{
		ballot:   b,
		since:    m.now,
		resendAt: m.now + m.opt.HeartbeatInterval,
		promises: map[ID]*promise{m.voter(): {
			member:      m.self(),
			accepted:    m.vote.Accepted,
			value:       m.vote.Value,
			holdsRecord: true,
			at:          m.now,
		}},
		staged:   map[ID]bool{},
		accepted: map[ID]bool{},
	}
	m.runPhase(true)
}

// runPhase advances the candidacy as far as the answers allow. With again it also sends the requests of the phase that
// are not answered yet.
func (m *Machine) runPhase(again bool) {
	switch m.candidacy.phase {
	case preparing:
		m.prepare(again)
	case staging:
		m.stage(again)
	case accepting:
		m.accept(again)
	}
}

// prepare waits for the promises of a majority and then proposes the view that was accepted under the highest ballot
// among them, as it may already be decided (TestNewestAcceptanceIsProposed). Only if none was accepted does it choose
// a view itself.
func (m *Machine) prepare(again bool) {
	c := m.candidacy
	if again {
		for _, o := range m.view.Members {
			m.send(o.Addr, Message{Kind: KindPrepare, Ballot: c.ballot})
		}
	}
	if len(c.promises) < m.view.quorum() {
		return
	}
	if !m.hasAllCommitted() {
		return
	}
	m.restageRegressed()
	newest := c.newestAccepted()
	if newest != nil {
		m.enterPhase(accepting, newest.value)
		return
	}
	if v := m.proposedView(); v != nil {
		m.enterPhase(staging, v)
	}
}

// newestAccepted returns the promise with the view accepted under the highest ballot, nil if none accepted a view.
func (c *candidacy) newestAccepted() *promise {
	var newest *promise
	for _, p := range c.promises {
		if p.value != nil && (newest == nil || newest.accepted.less(p.accepted)) {
			newest = p
		}
	}
	return newest
}

// enterPhase enters a phase with the view to propose.
func (m *Machine) enterPhase(p phase, v *View) {
	c := m.candidacy
	c.phase, c.value = p, v
	c.since = m.now
	c.resendAt = m.now + m.opt.HeartbeatInterval
	m.runPhase(true)
}

// proposedView returns the view to propose, nil while too few machines have answered or a better choice of backups may
// still become possible.
func (m *Machine) proposedView() *View {
	c := m.candidacy
	members := m.proposedMembers()
	best := choose(m.requiredTolerance(), m.self(), members, m.promisedCandidates(members))
	full := best.full && (m.view.Epoch > 0 || len(members) == len(m.view.Members))
	if !best.enough {
		if m.now-c.since >= m.opt.WriteTimeout {
			c.retryFailedStages()
		}
		return nil
	}
	if !full && m.now-c.since < m.opt.ElectionTimeout {
		return nil
	}
	return &View{Epoch: m.view.Epoch + 1, Members: members, Primary: m.identity.ID, Backups: best.backups}
}

// proposedMembers returns the members of the view to propose: in view 0 the founders that promised.
func (m *Machine) proposedMembers() []Member {
	if m.view.Epoch > 0 {
		return m.nextMembers().members
	}
	var members []Member
	for _, p := range m.candidacy.promises {
		members = append(members, p.member)
	}
	sortMembers(members)
	return members
}

// promisedCandidates returns the members that may become backups: those that promised recently and whose staging didn't
// fail, and joiners, which answered recently but don't vote.
func (m *Machine) promisedCandidates(members []Member) []candidate {
	var cs []candidate
	for _, o := range members {
		if o.ID == m.identity.ID {
			continue
		}
		cand := m.newCandidate(o)
		p := m.candidacy.promises[m.voterID(o)]
		switch {
		case p == nil && m.view.has(o.ID):
			continue
		case p != nil && (p.stageFailed || m.now-p.at >= 2*m.opt.ElectionTimeout):
			continue
		case p != nil:
			cand.holdsRecord = p.holdsRecord
		}
		cs = append(cs, cand)
	}
	return cs
}

// retryFailedStages makes members whose staging failed eligible again; there are too few candidates without them.
func (c *candidacy) retryFailedStages() {
	for _, p := range c.promises {
		p.stageFailed = false
	}
}

// accept asks the members to accept the view. It is decided by a majority of the members of the current view, not of
// the proposed one (TestOldMembersDecide).
func (m *Machine) accept(again bool) {
	c := m.candidacy
	if !c.accepted[m.voter()] {
		c.accepted[m.voter()] = true
		m.vote.Accepted, m.vote.Value = c.ballot, c.value
		m.saveVote()
	}
	if len(c.accepted) >= m.view.quorum() {
		m.decide(*c.value)
		return
	}
	if again {
		for _, o := range m.view.Members {
			if !c.accepted[o.ID] {
				m.send(o.Addr, Message{Kind: KindAccept, Ballot: c.ballot, Value: c.value})
			}
		}
	}
}

// decide installs the view that a majority accepted, and notifies all members of both views.
func (m *Machine) decide(v View) {
	old := m.view
	m.installView(v)
	notified := map[string]bool{}
	for _, o := range append(append([]Member{}, old.Members...), v.Members...) {
		if notified[o.Addr] || m.primary.active && v.has(o.ID) { // members of the new view get the heartbeat
			continue
		}
		notified[o.Addr] = true
		m.send(o.Addr, Message{Kind: KindView})
	}
}

// handlePromise counts a promise. A repeated promise replaces the older one.
func (m *Machine) handlePromise(msg *Message) {
	c, id := m.candidacy, m.senderVoter(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != preparing {
		return
	}
	m.recordPosition(msg)
	failed := false
	if p := c.promises[id]; p != nil {
		failed = p.stageFailed
	}
	c.promises[id] = &promise{
		member:      msg.From,
		accepted:    msg.Accepted,
		value:       msg.Value,
		holdsRecord: msg.HoldsRecord,
		at:          m.now,
		stageFailed: failed,
		seq:         msg.Seq,
	}
	m.log.reportedCommit = max(m.log.reportedCommit, msg.Committed)
	m.runPhase(false)
}

// handleAccepted counts an acceptance.
func (m *Machine) handleAccepted(msg *Message) {
	c, id := m.candidacy, m.senderVoter(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != accepting {
		return
	}
	c.accepted[id] = true
	m.runPhase(false)
}

// handleReject abandons a candidacy whose ballot is below a promised one, with a backoff that grows with the number of
// rejections.
func (m *Machine) handleReject(msg *Message) {
	if m.candidacy == nil || m.senderVoter(msg) == "" || !m.candidacy.ballot.less(msg.Ballot) {
		return
	}
	m.election.rejections++
	spread := m.opt.ElectionStagger * time.Duration(1+min(m.election.rejections, 8))
	m.yieldTo(msg.Ballot, m.opt.ElectionStagger*time.Duration(1+m.rank())+m.jitter(spread))
}
