package replication

import "time"

type phase uint8

const (
	preparing phase = iota
	staging
	accepting
)

type promise struct {
	member   Member
	accepted Ballot
	value    *View
	holder   bool
	at       time.Duration
	bad      bool   // didn't take the stage
	seq      uint64 // where its record stands
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
	if m.cand != nil || m.now < m.retryAt || !m.holder() {
		return
	}
	if !m.stopped() {
		m.stand.StoppedEpoch = m.view.Epoch + 1
		m.putStanding()
		m.dropTransfers() // what is staged holds all that was acknowledged until now
	}
	b := Ballot{N: max(m.vote.Promised.N, m.highest) + 1, ID: m.id.ID}
	m.vote.Promised = b
	m.putVote()
	m.cand = &candidacy{
		ballot: b, since: m.now, resendAt: m.now + m.opt.BeatEvery,
		promises: map[ID]*promise{m.voter(): {
			member: m.self(), accepted: m.vote.Accepted, value: m.vote.Value, holder: true, at: m.now,
		}},
		staged: map[ID]bool{}, accepted: map[ID]bool{},
	}
	m.propose(true)
}

// propose does what the candidacy's phase allows; with again it also sends (again) what isn't answered yet.
func (m *Machine) propose(again bool) {
	switch m.cand.phase {
	case preparing:
		m.prepare(again)
	case staging:
		m.stage(again)
	case accepting:
		m.accept(again)
	}
}

func (m *Machine) prepare(again bool) {
	c := m.cand
	if again {
		for _, o := range m.view.Members {
			m.send(o.Addr, Message{Kind: KindPrepare, Ballot: c.ballot})
		}
	}
	if len(c.promises) < m.view.majority() {
		return
	}
	if !m.hasCommitted() {
		return
	}
	m.doubtRestored()
	var newest *promise
	for _, p := range c.promises {
		if p.value != nil && (newest == nil || newest.accepted.less(p.accepted)) {
			newest = p
		}
	}
	if newest != nil {
		m.enter(accepting, newest.value)
		return
	}
	if v := m.newView(); v != nil {
		m.enter(staging, v)
	}
}

func (m *Machine) enter(p phase, v *View) {
	m.cand.phase, m.cand.value, m.cand.since, m.cand.resendAt = p, v, m.now, m.now+m.opt.BeatEvery
	m.propose(true)
}

// newView is the view to propose; nil while too few are there for it.
func (m *Machine) newView() *View {
	c := m.cand
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
		if o.ID == m.id.ID {
			continue
		}
		key := o.ID
		if m.view.Epoch == 0 {
			key = seedID(o.Addr)
		}
		cand := candidate{Member: o, slow: m.slowLately(o.ID), near: m.near(o.ID), leaving: m.leavers[o.ID]}
		if p := c.promises[key]; p != nil {
			if p.bad || m.now-p.at >= 2*m.opt.SuspectAfter {
				continue
			}
			cand.holder = p.holder
		} else if m.view.has(o.ID) {
			continue
		} // else a joiner that answered lately
		from = append(from, cand)
	}
	best := choose(m.wanted(), m.self(), members, from)
	full := best.full && (m.view.Epoch > 0 || len(members) == len(m.view.Members))
	if !best.enough {
		if m.now-c.since >= m.opt.WriteWithin {
			for _, p := range c.promises {
				p.bad = false
			}
		}
		return nil
	}
	if !full && m.now-c.since < m.opt.SuspectAfter {
		return nil
	}
	return &View{Epoch: m.view.Epoch + 1, Members: members, Primary: m.id.ID, Backups: best.backups}
}

// stage puts the record on the disks of the coming backups that don't hold it.
func (m *Machine) stage(again bool) {
	c := m.cand
	open, late := false, false
	for _, b := range c.value.Backups {
		key := b
		o, _ := c.value.member(b)
		if m.view.Epoch == 0 {
			key = seedID(o.Addr)
		}
		p := c.promises[key]
		if c.staged[b] || p != nil && p.holder {
			continue
		}
		open = true
		if m.stalled(b, c.since, m.opt.WriteWithin) {
			late = true
			m.dropTransfer(b)
			m.slow[b] = m.now
			if p != nil {
				p.bad = true
			} else {
				delete(m.joiners, o.Addr)
			}
		}
	}
	switch {
	case !open:
		m.enter(accepting, c.value)
	case late:
		c.phase, c.value, c.since = preparing, nil, m.now
		m.propose(true)
	case again:
		c.resendAt = m.now + m.opt.BeatEvery
		for _, b := range c.value.Backups {
			p := c.promises[b]
			if !c.staged[b] && (p == nil || !p.holder) {
				o, _ := c.value.member(b)
				m.stageRecord(o)
			}
		}
	}
}

func (m *Machine) onStage(msg *Message) {
	if m.view.Epoch == 0 || m.view.rank(msg.From.ID) < 0 {
		return
	}
	if !m.holder() || m.lacks(msg) {
		same := m.stand.RecordEpoch == m.view.Epoch && msg.Seq == m.seq && msg.Digest == m.digest
		if !same {
			body, whole := m.assemble(msg)
			if !whole || !m.replace(msg.Seq, msg.Digest, body) {
				return
			}
			m.stand.RecordEpoch = m.view.Epoch
			m.putStanding()
		}
	}
	m.send(msg.From.Addr, Message{Kind: KindStaged, Seq: m.seq, Digest: m.digest})
}

func (m *Machine) onStaged(msg *Message) {
	if c := m.cand; c != nil && c.phase == staging {
		c.staged[msg.From.ID] = true
		m.dropTransfer(msg.From.ID)
		m.propose(false)
	}
}

func (m *Machine) accept(again bool) {
	c := m.cand
	if !c.accepted[m.voter()] {
		c.accepted[m.voter()] = true
		m.vote.Accepted, m.vote.Value = c.ballot, c.value
		m.putVote()
	}
	if len(c.accepted) >= m.view.majority() {
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
	m.adopt(v)
	told := map[string]bool{}
	for _, o := range append(append([]Member{}, old.Members...), v.Members...) {
		if told[o.Addr] || m.led && v.has(o.ID) { // those get the beat
			continue
		}
		told[o.Addr] = true
		m.send(o.Addr, Message{Kind: KindView})
	}
}

// yieldTo gives up a candidacy below ballot b for some time.
func (m *Machine) yieldTo(b Ballot, wait time.Duration) {
	if m.cand != nil && m.cand.ballot.less(b) {
		m.cand = nil
	}
	m.highest = max(m.highest, b.N)
	m.retryAt = max(m.retryAt, m.now+wait)
}

func (m *Machine) onPrepare(msg *Message) {
	if m.voter() == "" || m.voterOf(msg) == "" || msg.Ballot.ID != msg.From.ID {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindRefuse, Ballot: m.vote.Promised})
		return
	}
	if msg.Ballot != m.vote.Promised {
		m.vote.Promised = msg.Ballot
		m.putVote()
		m.lastBeat = m.now
		m.yieldTo(msg.Ballot, m.opt.SuspectAfter+m.jitter(m.opt.StaggerEach))
		if p := m.peers[msg.From.ID]; p != nil {
			p.stopped = true
		}
	}
	m.send(msg.From.Addr, Message{
		Kind: KindPromise, Ballot: msg.Ballot, Accepted: m.vote.Accepted, Value: m.vote.Value, Holder: m.holder(),
		Seq: m.seq, Digest: m.digest, Committed: m.knownCommitted(),
	})
}

func (m *Machine) onPromise(msg *Message) {
	c, id := m.cand, m.voterOf(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != preparing {
		return
	}
	m.notePosition(msg)
	bad := false
	if p := c.promises[id]; p != nil {
		bad = p.bad
	}
	c.promises[id] = &promise{
		member: msg.From, accepted: msg.Accepted, value: msg.Value, holder: msg.Holder, at: m.now, bad: bad, seq: msg.Seq,
	}
	m.toldCommitted = max(m.toldCommitted, msg.Committed)
	m.propose(false)
}

func (m *Machine) onAccept(msg *Message) {
	if m.voter() == "" || m.voterOf(msg) == "" || msg.Value == nil || msg.Value.Epoch != m.view.Epoch+1 || !msg.Value.valid() {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindRefuse, Ballot: m.vote.Promised})
		return
	}
	if m.vote.Accepted != msg.Ballot {
		m.vote = Vote{Promised: msg.Ballot, Accepted: msg.Ballot, Value: msg.Value}
		m.putVote()
		m.lastBeat = m.now
		m.yieldTo(msg.Ballot, m.opt.SuspectAfter+m.jitter(m.opt.StaggerEach))
	}
	m.send(msg.From.Addr, Message{Kind: KindAccepted, Ballot: msg.Ballot})
}

func (m *Machine) onAccepted(msg *Message) {
	c, id := m.cand, m.voterOf(msg)
	if c == nil || id == "" || c.ballot != msg.Ballot || c.phase != accepting {
		return
	}
	c.accepted[id] = true
	m.propose(false)
}

func (m *Machine) onRefuse(msg *Message) {
	if m.cand == nil || m.voterOf(msg) == "" || !m.cand.ballot.less(msg.Ballot) {
		return
	}
	m.refusals++
	spread := m.opt.StaggerEach * time.Duration(1+min(m.refusals, 8))
	m.yieldTo(msg.Ballot, m.opt.StaggerEach*time.Duration(1+m.rank())+m.jitter(spread))
}
