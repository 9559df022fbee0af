package replication

import (
	"slices"
	"time"
)

// Propose asks for a change. It is answered at once with NotPrimary or Busy, or later with Committed or LostPrimacy.
// body must not be changed afterwards. While too few machines are there it waits without a bound: the caller may give up
// on its token, its place is taken until the answer.
func (m *Machine) Propose(now time.Duration, token uint64, body []byte) Output {
	before := m.Status()
	m.begin(now)
	switch {
	case !m.led:
		m.answer(token, NotPrimary, 0)
	case len(m.writes) >= maxWaiting:
		m.answer(token, Busy, 0)
	default:
		m.append(token, body)
	}
	return m.end(before)
}

func (m *Machine) append(token uint64, body []byte) {
	prev := Message{Kind: KindAppend, Seq: m.seq, Digest: m.digest, Committed: m.committed}
	c := Change{Seq: m.seq + 1, Digest: Chain(m.digest, m.seq+1, body), Body: body}
	m.take(c)
	m.keep(c)
	m.writes = append(m.writes, waiting{token: token, at: c.Seq})
	if !m.leading() {
		return // a new view is on its way and takes it along
	}
	prev.Changes = []Change{c}
	for _, b := range m.view.Backups {
		p := m.peers[b]
		if p.behind < 0 {
			p.behind = m.now
		}
		if p.step && p.seq+uint64(len(m.writes)) >= c.Seq {
			to, _ := m.view.member(b)
			if len(body) > m.opt.ChunkBytes {
				m.sendRecord(KindSnapshot, to)
				continue
			}
			p.sent = m.now
			m.send(to.Addr, prev)
		}
	}
	m.advance()
}

// Read asks for a point of the record that is at least as new as all that was answered before. It is answered at once
// with NotPrimary or Busy, or later with Confirmed or LostPrimacy.
func (m *Machine) Read(now time.Duration, token uint64) Output {
	before := m.Status()
	m.begin(now)
	switch {
	case !m.led:
		m.answer(token, NotPrimary, 0)
	case len(m.reads) >= maxWaiting:
		m.answer(token, Busy, 0)
	default:
		m.reads = append(m.reads, waiting{token: token})
		m.advance()
	}
	return m.end(before)
}

// advance answers what the backups' answers allow, and asks them anew for reads that came since.
func (m *Machine) advance() {
	if !m.ready() {
		return
	}
	seq, round := m.seq, ^uint64(0)
	for _, p := range m.peers {
		seq, round = min(seq, p.seq), min(round, p.round)
	}
	m.contact.confirm(round)
	m.committed = max(m.committed, seq)
	done := 0
	for done < len(m.writes) && m.writes[done].at <= m.committed {
		m.answer(m.writes[done].token, Committed, m.writes[done].at)
		done++
	}
	m.writes = slices.Delete(m.writes, 0, done)
	if done > 0 {
		m.handOver()
	}
	asked := false
	m.reads = slices.DeleteFunc(m.reads, func(w waiting) bool {
		if len(m.peers) == 0 || w.at != 0 && w.at <= round {
			m.answer(w.token, Confirmed, m.committed)
			return true
		}
		asked = asked || w.at != 0
		return false
	})
	if len(m.reads) > 0 && !asked {
		m.nextRound()
		for _, b := range m.view.Backups {
			to, _ := m.view.member(b)
			m.send(to.Addr, m.beatMessage())
		}
	}
}

// nextRound begins a round of confirmations for all reads that came before it.
func (m *Machine) nextRound() {
	m.round++
	m.contact.begin(m.round, m.now)
	for i := range m.reads {
		if m.reads[i].at == 0 {
			m.reads[i].at = m.round
		}
	}
	for _, p := range m.peers {
		p.roundSeq = p.seq
	}
}

func (m *Machine) beatMessage() Message {
	return Message{Kind: KindBeat, Round: m.round, Seq: m.seq, Digest: m.digest, Committed: m.committed}
}

// beat tells all that this machine leads.
func (m *Machine) beat() {
	m.beatAt = m.now + m.opt.BeatEvery
	m.nextRound()
	pending := len(m.leavers) > 0 && (!m.ready() || m.relievesLeavers())
	for _, o := range m.view.Members {
		msg := m.beatMessage()
		msg.Release = m.leavers[o.ID] && !pending && m.view.rank(o.ID) < 0
		m.send(o.Addr, msg)
	}
}

// resend sends again what the backups lack.
func (m *Machine) resend() {
	for _, b := range m.view.Backups {
		p := m.peers[b]
		if p.step && p.seq < m.seq && m.now-p.sent >= m.opt.BeatEvery {
			digest, ok := m.digestAt(p.seq)
			m.bring(p, b, p.seq, digest, ok)
		}
	}
}

// bring sends a backup that stands at (seq, digest) what it lacks: changes where they are still known, else a snapshot.
func (m *Machine) bring(p *peer, id ID, seq, digest uint64, known bool) {
	var changes []Change
	if known {
		changes = m.changesAfter(seq)
		known = len(changes) > 0 || seq == m.seq
	}
	wait := m.opt.BeatEvery
	if !known && m.transfers[id] == nil {
		wait = max(wait, m.opt.WriteWithin/2)
	}
	if p.sentAny && m.now-p.sent < wait {
		return
	}
	p.sent, p.sentAny = m.now, true
	to, _ := m.view.member(id)
	if known {
		m.send(to.Addr, Message{
			Kind: KindAppend, Seq: seq, Digest: digest, Committed: m.committed,
			Changes: changes,
		})
		return
	}
	m.sendRecord(KindSnapshot, to)
}

func (m *Machine) onBeatAck(msg *Message) {
	if !m.led {
		return
	}
	if j := m.joiners[msg.From.Addr]; j != nil && j.ID == msg.From.ID {
		j.confirmed, j.heard = true, m.now
		m.notePosition(msg)
	} else if m.view.has(msg.From.ID) {
		m.notePosition(msg)
	}
	p := m.peers[msg.From.ID]
	if p == nil || !m.leading() {
		return
	}
	if msg.Stopped {
		m.stoppedPeer(p)
		return
	}
	switch {
	case msg.Step:
		if !p.step || msg.Seq > p.seq {
			p.behind = m.now
		}
		p.step = true
		if p.wentBack(m.round, msg) {
			p.seq, p.behind = msg.Seq, m.now
		}
		p.seq = max(p.seq, msg.Seq)
		m.endTransfer(msg.From.ID, p.seq)
		p.round = max(p.round, msg.Round)
		if p.seq == m.seq {
			p.behind = -1
		}
	case !p.step && msg.Holder:
		d, ok := m.digestAt(msg.Seq)
		m.bring(p, msg.From.ID, msg.Seq, msg.Digest, ok && d == msg.Digest)
	}
	m.advance()
}

// stoppedPeer notes that a backup proposes a view of its own; it gets time before this machine does the same.
func (m *Machine) stoppedPeer(p *peer) {
	if !p.stopped {
		p.stopped = true
		m.retryAt = max(m.retryAt, m.now+m.opt.SuspectAfter+m.jitter(m.opt.StaggerEach))
	}
}

// jitter is a random time below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.opt.Rand() % uint64(d))
}

// inStep reports whether this backup's record is a prefix of its primary's.
func (m *Machine) inStep() bool {
	return m.view.Epoch > 0 && m.holder() && !m.stopped() && m.stand.StepEpoch == m.view.Epoch
}

func (m *Machine) fromPrimary(msg *Message) bool {
	return m.view.Epoch > 0 && msg.From.ID == m.view.Primary && m.view.Primary != m.id.ID
}

// ack tells the primary where this machine's record stands.
func (m *Machine) ack(to string, round uint64) {
	holder := m.holder()
	m.send(to, Message{
		Kind: KindBeatAck, Round: round, Seq: m.seq, Digest: m.digest,
		Step: m.inStep(), Holder: holder, Stopped: holder && m.stopped(),
	})
}

// stepped notes that the record is a prefix of the primary's.
func (m *Machine) stepped() {
	if m.stand.StepEpoch != m.view.Epoch {
		m.stand.StepEpoch = m.view.Epoch
		m.putStanding()
	}
}

func (m *Machine) learnCommitted(msg *Message) {
	if m.inStep() {
		m.committed = max(m.committed, min(msg.Committed, m.seq))
	}
}

func (m *Machine) onBeat(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	m.lastBeat = m.now
	m.toldCommitted = max(m.toldCommitted, msg.Committed)
	if msg.Release {
		m.leave.releasedFor = m.view.Epoch
	}
	if m.holder() && !m.stopped() && msg.Seq == m.seq && msg.Digest == m.digest {
		m.stepped()
	}
	m.learnCommitted(msg)
	m.ack(msg.From.Addr, msg.Round)
}

func (m *Machine) onAppend(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	if !m.holder() {
		m.onLearnerAppend(msg)
		return
	}
	m.lastBeat = m.now
	if !m.stopped() {
		if m.follow(msg) {
			m.stepped()
		}
		m.learnCommitted(msg)
	}
	m.ack(msg.From.Addr, 0)
}

func (m *Machine) onSnapshot(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	if !m.holder() {
		m.onLearnerSnapshot(msg)
		return
	}
	m.lastBeat = m.now
	// Once in step, what was acknowledged in this epoch never goes back: an older snapshot may come late.
	if !m.stopped() && (m.stand.StepEpoch != m.view.Epoch || msg.Seq > m.seq) {
		body, whole := m.assemble(msg)
		if !whole {
			return
		}
		if m.replace(msg.Seq, msg.Digest, body) {
			m.stepped()
			m.learnCommitted(msg)
		}
	}
	m.ack(msg.From.Addr, 0)
}
