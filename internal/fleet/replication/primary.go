package replication

import (
	"cmp"
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
}

func (m *Machine) beatMessage() Message {
	return Message{Kind: KindBeat, Round: m.round, Seq: m.seq, Digest: m.digest, Committed: m.committed}
}

// beat tells all that this machine leads.
func (m *Machine) beat() {
	m.beatAt = m.now + m.opt.BeatEvery
	m.nextRound()
	for _, o := range m.view.Members {
		m.send(o.Addr, m.beatMessage())
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
	wait := m.opt.BeatEvery
	if !known {
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
			Changes: slices.Clone(m.changes[seq-m.base.Seq:]),
		})
		return
	}
	m.send(to.Addr, Message{
		Kind: KindSnapshot, Seq: m.seq, Digest: m.digest, Committed: m.committed, Body: m.app.Snapshot(),
	})
}

func (m *Machine) onBeatAck(msg *Message) {
	if !m.led {
		return
	}
	if j := m.joiners[msg.From.Addr]; j != nil && j.ID == msg.From.ID {
		j.confirmed, j.heard = true, m.now
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
		p.seq = max(p.seq, msg.Seq)
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
	if m.holder() && !m.stopped() && msg.Seq == m.seq && msg.Digest == m.digest {
		m.stepped()
	}
	m.learnCommitted(msg)
	m.ack(msg.From.Addr, msg.Round)
}

func (m *Machine) onAppend(msg *Message) {
	if !m.fromPrimary(msg) || !m.holder() {
		return
	}
	m.lastBeat = m.now
	if !m.stopped() {
		rest, ok := msg.Changes, msg.Seq == m.seq && msg.Digest == m.digest
		for !ok && len(rest) > 0 {
			ok = rest[0].Seq == m.seq && rest[0].Digest == m.digest
			rest = rest[1:]
		}
		if ok {
			m.stepped()
			taken := 0
			for _, c := range rest {
				if c.Seq != m.seq+1 || c.Digest != Chain(m.digest, c.Seq, c.Body) {
					break
				}
				m.take(c)
				taken++
			}
			m.keep(rest[:taken]...)
		}
		m.learnCommitted(msg)
	}
	m.ack(msg.From.Addr, 0)
}

func (m *Machine) onSnapshot(msg *Message) {
	if !m.fromPrimary(msg) || !m.holder() {
		return
	}
	m.lastBeat = m.now
	// Once in step, what was acknowledged in this epoch never goes back: an older snapshot may come late.
	if !m.stopped() && (m.stand.StepEpoch != m.view.Epoch || msg.Seq > m.seq) && m.replace(msg.Seq, msg.Digest, msg.Body) {
		m.stepped()
		m.learnCommitted(msg)
	}
	m.ack(msg.From.Addr, 0)
}

func (m *Machine) majorityAlive() bool {
	n := 0
	for _, o := range m.view.Members {
		if m.alive(o.ID) {
			n++
		}
	}
	return n >= m.view.majority()
}

// slowLately reports whether a member was left out not long ago.
func (m *Machine) slowLately(id ID) bool {
	at, ok := m.slow[id]
	return ok && m.now-at < m.opt.ForgetAfter
}

// joining lists the machines to be taken in.
func (m *Machine) joining() []Member {
	var js []Member
	for a, j := range m.joiners {
		if m.now-j.heard >= m.opt.SuspectAfter {
			if m.now-j.heard >= m.opt.ForgetAfter {
				delete(m.joiners, a)
			}
			continue
		}
		if j.confirmed && !m.view.has(j.ID) {
			js = append(js, j.Member)
		}
	}
	sortMembers(js)
	return js
}

// nextMembers are the members that the next view should have: with the machines that joined, without the older
// identities of their addresses, and without those silent for longest where that lowers the majority.
func (m *Machine) nextMembers() (next []Member, changed bool) {
	next = slices.Clone(m.view.Members)
	if !m.led {
		return next, false
	}
	for _, j := range m.joining() {
		next = slices.DeleteFunc(next, func(o Member) bool { return o.Addr == j.Addr })
		if len(next) < maxMembers {
			next, changed = append(next, j), true
		}
	}
	// Never below what the loss of all that may be lost leaves a majority of: who comes back may be needed.
	least := max(3, 2*m.opt.Survive.Copies()-1)
	var silent []Member
	for _, o := range next {
		at, ok := m.heard[o.ID]
		if o.ID != m.id.ID && m.view.has(o.ID) && (!ok || m.now-at >= m.opt.ForgetAfter) {
			silent = append(silent, o)
		}
	}
	slices.SortStableFunc(silent, func(a, b Member) int { return cmp.Compare(m.heard[a.ID], m.heard[b.ID]) })
	silent = silent[:max(0, min(len(silent), len(next)-least))]
	if (len(next)-len(silent))/2 < len(next)/2 {
		next, changed = slices.DeleteFunc(next, func(o Member) bool { return slices.Contains(silent, o) }), true
	}
	sortMembers(next)
	return next, changed
}

// aliveAmong are the machines among members that may become backups now.
func (m *Machine) aliveAmong(members []Member, except func(ID) bool) []candidate {
	var cs []candidate
	for _, o := range members {
		// A joiner among them answered within SuspectAfter.
		if o.ID == m.id.ID || m.view.has(o.ID) && !m.alive(o.ID) || except(o.ID) {
			continue
		}
		cs = append(cs, candidate{Member: o, holder: m.view.rank(o.ID) >= 0, slow: m.slowLately(o.ID)})
	}
	return cs
}

// reform proposes a next view, led by this machine again, when a backup is lost or the view can be better.
func (m *Machine) reform() {
	if !m.leading() || m.cand != nil || m.now < m.retryAt {
		return
	}
	bad := map[ID]bool{}
	dead, stopped := false, false
	for id, p := range m.peers {
		late := p.behind >= 0 && m.now-p.behind >= m.opt.WriteWithin
		if !m.alive(id) || late {
			bad[id] = true
		}
		dead = dead || !m.alive(id)
		stopped = stopped || p.stopped
	}
	members, changed := m.nextMembers()
	c := choose(m.opt.Survive, m.self(), members, m.aliveAmong(members, func(id ID) bool { return bad[id] }))
	switch {
	case !m.majorityAlive():
		// Without answers nobody can be replaced. A backup that hears this machine, but isn't heard by it, may do better.
		if dead {
			m.campaign()
		}
	case len(bad) > 0 || stopped:
		if c.enough {
			for id := range bad {
				m.slow[id] = m.now
			}
			m.campaign()
		}
	case m.ready() && m.now-m.viewSince >= m.opt.SuspectAfter && c.enough:
		holders := []Member{m.self()}
		for _, b := range m.view.Backups {
			o, _ := m.view.member(b)
			holders = append(holders, o)
		}
		z, r := spread(holders)
		z, r = min(z, max(m.opt.Survive.Zones, 0)+1), min(r, max(m.opt.Survive.Regions, 0)+1)
		better := c.full && (c.regions > r || c.regions == r && c.zones > z)
		if changed || len(c.backups) > len(m.view.Backups) || better {
			m.campaign()
		}
	}
}
