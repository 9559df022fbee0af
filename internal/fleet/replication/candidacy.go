package replication

import "time"

type phase uint8

const (
	preparing phase = iota
	staging
	accepting
)

type promise struct {
	member      Member
	accepted    Ballot
	value       *View
	holdsRecord bool
	at          time.Duration
	stageFailed bool   // didn't take the stage
	seq         uint64 // where its record stands
}

// candidacy is this machine's proposal for the next epoch.
type candidacy struct {
	ballot   Ballot
	phase    phase
	since    time.Duration // the phase
	resendAt time.Duration
	promises map[ID]*promise // by identity in the view
	value    *View
	staged   map[ID]bool
	accepted map[ID]bool
}

// campaign begins a candidacy: this holder stops answering in its view and asks for promises.
func (m *Machine) campaign() {
	if m.candidacy != nil || m.now < m.election.campaignNotBefore || !m.holdsRecord() {
		return
	}
	if !m.stopped() {
		m.replica.StoppedEpoch = m.view.Epoch + 1
		m.saveReplica()
		m.dropTransfers() // what is staged holds all that was acknowledged until now
	}
	b := Ballot{N: max(m.vote.Promised.N, m.election.highestRejection) + 1, ID: m.identity.ID}
	m.vote.Promised = b
	m.saveVote()
	m.candidacy = &candidacy{
		ballot: b, since: m.now, resendAt: m.now + m.opt.HeartbeatInterval,
		promises: map[ID]*promise{m.voter(): {
			member: m.self(), accepted: m.vote.Accepted, value: m.vote.Value, holdsRecord: true, at: m.now,
		}},
		staged: map[ID]bool{}, accepted: map[ID]bool{},
	}
	m.runPhase(true)
}

// runPhase does what the candidacy's phase allows; with again it also sends (again) what isn't answered yet.
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
	var newest *promise
	for _, p := range c.promises {
		if p.value != nil && (newest == nil || newest.accepted.less(p.accepted)) {
			newest = p
		}
	}
	if newest != nil {
		m.enterPhase(accepting, newest.value)
		return
	}
	if v := m.proposedView(); v != nil {
		m.enterPhase(staging, v)
	}
}

func (m *Machine) enterPhase(p phase, v *View) {
	m.candidacy.phase, m.candidacy.value, m.candidacy.since, m.candidacy.resendAt = p, v, m.now, m.now+m.opt.HeartbeatInterval
	m.runPhase(true)
}

// proposedView is the view to propose; nil while too few are there for it.
func (m *Machine) proposedView() *View {
	c := m.candidacy
	var members []Member
	var from []candidate
	if m.view.Epoch == 0 {
		for _, p := range c.promises {
			members = append(members, p.member)
		}
		sortMembers(members)
	} else {
		members = m.nextMembers().members
	}
	for _, o := range members {
		if o.ID == m.identity.ID {
			continue
		}
		key := o.ID
		if m.view.Epoch == 0 {
			key = seedID(o.Addr)
		}
		cand := candidate{Member: o, lagged: m.laggedRecently(o.ID), nearlyCaughtUp: m.nearlyCaughtUp(o.ID), leaving: m.peers.departing[o.ID]}
		if p := c.promises[key]; p != nil {
			if p.stageFailed || m.now-p.at >= 2*m.opt.ElectionTimeout {
				continue
			}
			cand.holdsRecord = p.holdsRecord
		} else if m.view.has(o.ID) {
			continue
		} // else a joiner that answered lately
		from = append(from, cand)
	}
	best := choose(m.requiredTolerance(), m.self(), members, from)
	full := best.full && (m.view.Epoch > 0 || len(members) == len(m.view.Members))
	if !best.enough {
		if m.now-c.since >= m.opt.WriteTimeout {
			for _, p := range c.promises {
				p.stageFailed = false
			}
		}
		return nil
	}
	if !full && m.now-c.since < m.opt.ElectionTimeout {
		return nil
	}
	return &View{Epoch: m.view.Epoch + 1, Members: members, Primary: m.identity.ID, Backups: best.backups}
}

// stage puts the record on the disks of the coming backups that don't hold it.
func (m *Machine) stage(again bool) {
	c := m.candidacy
	open, late := false, false
	for _, b := range c.value.Backups {
		key := b
		o, _ := c.value.member(b)
		if m.view.Epoch == 0 {
			key = seedID(o.Addr)
		}
		p := c.promises[key]
		if c.staged[b] || p != nil && p.holdsRecord {
			continue
		}
		open = true
		if m.stalled(b, c.since, m.opt.WriteTimeout) {
			late = true
			m.dropTransfer(b)
			m.peers.laggedAt[b] = m.now
			if p != nil {
				p.stageFailed = true
			} else {
				delete(m.primary.joiners, o.Addr)
			}
		}
	}
	switch {
	case !open:
		m.enterPhase(accepting, c.value)
	case late:
		c.phase, c.value, c.since = preparing, nil, m.now
		m.runPhase(true)
	case again:
		c.resendAt = m.now + m.opt.HeartbeatInterval
		for _, b := range c.value.Backups {
			p := c.promises[b]
			if !c.staged[b] && (p == nil || !p.holdsRecord) {
				o, _ := c.value.member(b)
				m.stageRecord(o)
			}
		}
	}
}

func (m *Machine) handleStage(msg *Message) {
	if m.view.Epoch == 0 || m.view.rank(msg.From.ID) < 0 {
		return
	}
	if !m.holdsRecord() || m.lacksCommitted(msg) {
		same := m.replica.RecordEpoch == m.view.Epoch && msg.Seq == m.log.seq && msg.Digest == m.log.digest
		if !same {
			body, complete := m.receiveChunk(msg)
			if !complete || !m.replace(msg.Seq, msg.Digest, body) {
				return
			}
			m.replica.RecordEpoch = m.view.Epoch
			m.saveReplica()
		}
	}
	m.send(msg.From.Addr, Message{Kind: KindStaged, Seq: m.log.seq, Digest: m.log.digest})
}

func (m *Machine) handleStaged(msg *Message) {
	if c := m.candidacy; c != nil && c.phase == staging {
		c.staged[msg.From.ID] = true
		m.dropTransfer(msg.From.ID)
		m.runPhase(false)
	}
}

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

// decide takes over the view that a majority accepted, and tells it.
func (m *Machine) decide(v View) {
	old := m.view
	m.installView(v)
	notified := map[string]bool{}
	for _, o := range append(append([]Member{}, old.Members...), v.Members...) {
		if notified[o.Addr] || m.primary.active && v.has(o.ID) { // those get the beat
			continue
		}
		notified[o.Addr] = true
		m.send(o.Addr, Message{Kind: KindView})
	}
}

// yieldTo gives up a candidacy below ballot b for some time.
func (m *Machine) yieldTo(b Ballot, wait time.Duration) {
	if m.candidacy != nil && m.candidacy.ballot.less(b) {
		m.candidacy = nil
	}
	m.election.highestRejection = max(m.election.highestRejection, b.N)
	m.election.campaignNotBefore = max(m.election.campaignNotBefore, m.now+wait)
}

func (m *Machine) handlePrepare(msg *Message) {
	if m.voter() == "" || m.senderVoter(msg) == "" || msg.Ballot.ID != msg.From.ID {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindReject, Ballot: m.vote.Promised})
		return
	}
	if msg.Ballot != m.vote.Promised {
		m.vote.Promised = msg.Ballot
		m.saveVote()
		m.election.lastHeartbeat = m.now
		m.yieldTo(msg.Ballot, m.opt.ElectionTimeout+m.jitter(m.opt.ElectionStagger))
		if p := m.primary.progress[msg.From.ID]; p != nil {
			p.stopped = true
		}
	}
	m.send(msg.From.Addr, Message{
		Kind: KindPromise, Ballot: msg.Ballot, Accepted: m.vote.Accepted, Value: m.vote.Value, HoldsRecord: m.holdsRecord(),
		Seq: m.log.seq, Digest: m.log.digest, Committed: m.knownCommit(),
	})
}

func (m *Machine) handlePromise(msg *Message) {
	c, id := m.candidacy, m.senderVoter(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != preparing {
		return
	}
	m.recordPosition(msg)
	bad := false
	if p := c.promises[id]; p != nil {
		bad = p.stageFailed
	}
	c.promises[id] = &promise{
		member: msg.From, accepted: msg.Accepted, value: msg.Value, holdsRecord: msg.HoldsRecord, at: m.now, stageFailed: bad, seq: msg.Seq,
	}
	m.log.reportedCommit = max(m.log.reportedCommit, msg.Committed)
	m.runPhase(false)
}

func (m *Machine) handleAccept(msg *Message) {
	if m.voter() == "" || m.senderVoter(msg) == "" || msg.Value == nil || msg.Value.Epoch != m.view.Epoch+1 || !msg.Value.valid() {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindReject, Ballot: m.vote.Promised})
		return
	}
	if m.vote.Accepted != msg.Ballot {
		m.vote = Vote{Promised: msg.Ballot, Accepted: msg.Ballot, Value: msg.Value}
		m.saveVote()
		m.election.lastHeartbeat = m.now
		m.yieldTo(msg.Ballot, m.opt.ElectionTimeout+m.jitter(m.opt.ElectionStagger))
	}
	m.send(msg.From.Addr, Message{Kind: KindAccepted, Ballot: msg.Ballot})
}

func (m *Machine) handleAccepted(msg *Message) {
	c, id := m.candidacy, m.senderVoter(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != accepting {
		return
	}
	c.accepted[id] = true
	m.runPhase(false)
}

func (m *Machine) handleReject(msg *Message) {
	if m.candidacy == nil || m.senderVoter(msg) == "" || !m.candidacy.ballot.less(msg.Ballot) {
		return
	}
	m.election.rejections++
	spread := m.opt.ElectionStagger * time.Duration(1+min(m.election.rejections, 8))
	m.yieldTo(msg.Ballot, m.opt.ElectionStagger*time.Duration(1+m.rank())+m.jitter(spread))
}
