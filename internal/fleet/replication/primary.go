package replication

import (
	"slices"
	"time"
)

// Propose requests a change. It is answered immediately with NotPrimary or Busy, or later with Committed or
// LostPrimacy. body must not be changed afterwards. While too few machines answer it stays pending without a time
// limit: the caller may stop waiting for its token, which remains pending until it is answered.
func (m *Machine) Propose(now time.Duration, token uint64, body []byte) Output {
	before := m.Status()
	m.beginInput(now)
	if m.admits(token, len(m.primary.pendingWrites)) {
		m.appendProposal(token, body)
	}
	return m.endInput(before)
}

// admits reports whether a write or read is accepted, given the number of pending ones; if not, it answers it.
func (m *Machine) admits(token uint64, pending int) bool {
	switch {
	case !m.primary.active:
		m.answer(token, NotPrimary, 0)
		return false
	case pending >= maxPending:
		m.answer(token, Busy, 0)
		return false
	}
	return true
}

// appendProposal appends a change to the record and sends it to the backups in sync that lag by no more than the
// pending writes. The primary's own disk counts like a backup's: the change is written before the answer is sent.
func (m *Machine) appendProposal(token uint64, body []byte) {
	prev := Message{Kind: KindAppend, Seq: m.log.seq, Digest: m.log.digest, Committed: m.log.committed}
	c := Change{Seq: m.log.seq + 1, Digest: ChainDigest(m.log.digest, m.log.seq+1, body), Body: body}
	m.applyChange(c)
	m.saveChanges(c)
	m.primary.pendingWrites = append(m.primary.pendingWrites, pendingRequest{token: token, at: c.Seq})
	if !m.leading() {
		return // this machine proposes a new view, which will include the change
	}
	prev.Changes = []Change{c}
	for _, b := range m.view.Backups {
		p := m.primary.progress[b]
		if p.stalledSince < 0 {
			p.stalledSince = m.now
		}
		if p.inSync && p.match+uint64(len(m.primary.pendingWrites)) >= c.Seq {
			to, _ := m.view.member(b)
			if len(body) > m.opt.ChunkBytes {
				m.sendRecord(KindSnapshot, to)
				continue
			}
			p.sentAt = m.now
			m.send(to.Addr, prev)
		}
	}
	m.advanceCommit()
}

// Read requests a Seq up to which the record contains all changes acknowledged before the Read (a linearizable read).
// It is answered immediately with NotPrimary or Busy, or later with Confirmed or LostPrimacy.
func (m *Machine) Read(now time.Duration, token uint64) Output {
	before := m.Status()
	m.beginInput(now)
	if m.admits(token, len(m.primary.pendingReads)) {
		m.primary.pendingReads = append(m.primary.pendingReads, pendingRequest{token: token})
		m.advanceCommit()
	}
	return m.endInput(before)
}

// advanceCommit advances the commit index to the last change that all backups have, answers the writes and reads that
// this allows, and begins a read round for newer reads. All backups count, not a majority of them: the one left out may
// be the only holder that stopped and proposes a view (the search checks that no acknowledged change is lost and no
// read is stale).
func (m *Machine) advanceCommit() {
	if !m.ready() {
		return
	}
	seq, round := m.log.seq, ^uint64(0)
	for _, p := range m.primary.progress {
		seq, round = min(seq, p.match), min(round, p.readRound)
	}
	m.primary.contact.confirm(round)
	m.log.committed = max(m.log.committed, seq)
	m.answerWrites()
	m.answerReads(round)
}

// answerWrites answers the writes that are committed.
func (m *Machine) answerWrites() {
	done := 0
	for done < len(m.primary.pendingWrites) && m.primary.pendingWrites[done].at <= m.log.committed {
		m.answer(m.primary.pendingWrites[done].token, Committed, m.primary.pendingWrites[done].at)
		done++
	}
	m.primary.pendingWrites = slices.Delete(m.primary.pendingWrites, 0, done)
	if done > 0 {
		m.handOver()
	}
}

// answerReads answers the reads whose round all backups have answered, as in raft's ReadIndex: the round must begin
// after the read was received. An answer to an older round proves nothing, as another view may have been decided since.
func (m *Machine) answerReads(round uint64) {
	asked := false
	m.primary.pendingReads = slices.DeleteFunc(m.primary.pendingReads, func(w pendingRequest) bool {
		if len(m.primary.progress) == 0 || w.at != 0 && w.at <= round {
			m.answer(w.token, Confirmed, m.log.committed)
			return true
		}
		asked = asked || w.at != 0
		return false
	})
	if len(m.primary.pendingReads) == 0 || asked {
		return
	}
	m.beginReadRound()
	for _, b := range m.view.Backups {
		to, _ := m.view.member(b)
		m.send(to.Addr, m.heartbeatMessage())
	}
}

// beginReadRound begins a round of heartbeats that confirms all reads received before it.
func (m *Machine) beginReadRound() {
	m.primary.readRound++
	m.primary.contact.begin(m.primary.readRound, m.now)
	for i := range m.primary.pendingReads {
		if m.primary.pendingReads[i].at == 0 {
			m.primary.pendingReads[i].at = m.primary.readRound
		}
	}
	for _, p := range m.primary.progress {
		p.matchAtRoundStart = p.match
	}
}

func (m *Machine) heartbeatMessage() Message {
	return Message{
		Kind:      KindHeartbeat,
		Round:     m.primary.readRound,
		Seq:       m.log.seq,
		Digest:    m.log.digest,
		Committed: m.log.committed,
	}
}

// broadcastHeartbeat sends a heartbeat to all members. Departing witnesses are released unless a next view would still
// take a role or the membership from a departing machine.
func (m *Machine) broadcastHeartbeat() {
	m.primary.heartbeatAt = m.now + m.opt.HeartbeatInterval
	m.beginReadRound()
	pending := len(m.peers.departing) > 0 && (!m.ready() || m.canReplaceDeparting())
	for _, o := range m.view.Members {
		msg := m.heartbeatMessage()
		msg.Release = m.peers.departing[o.ID] && !pending && m.view.rank(o.ID) < 0
		m.send(o.Addr, msg)
	}
}

// resend retransmits the changes that backups in sync lack.
func (m *Machine) resend() {
	for _, b := range m.view.Backups {
		p := m.primary.progress[b]
		if p.inSync && p.match < m.log.seq && m.now-p.sentAt >= m.opt.HeartbeatInterval {
			digest, ok := m.log.digestAt(p.match)
			m.catchUp(p, b, p.match, digest, ok)
		}
	}
}

// catchUp sends a backup whose record ends at (seq, digest) the changes that it lacks if they are still in the log,
// else a snapshot. known is whether that record is a known prefix of this machine's.
func (m *Machine) catchUp(p *progress, id ID, seq, digest uint64, known bool) {
	var changes []Change
	if known {
		changes = m.log.changesAfter(seq, m.opt.ChunkBytes)
		known = len(changes) > 0 || seq == m.log.seq
	}
	wait := m.opt.HeartbeatInterval
	if !known && m.transfers.outgoing[id] == nil {
		wait = max(wait, m.opt.WriteTimeout/2)
	}
	if p.everSent && m.now-p.sentAt < wait {
		return
	}
	p.sentAt, p.everSent = m.now, true
	to, _ := m.view.member(id)
	if known {
		m.send(to.Addr, Message{
			Kind:      KindAppend,
			Seq:       seq,
			Digest:    digest,
			Committed: m.log.committed,
			Changes:   changes,
		})
		return
	}
	m.sendRecord(KindSnapshot, to)
}

// handleHeartbeatAck records the end of a member's or joiner's record and, for a backup, its progress.
func (m *Machine) handleHeartbeatAck(msg *Message) {
	if !m.primary.active {
		return
	}
	if j := m.primary.joiners[msg.From.Addr]; j != nil && j.ID == msg.From.ID {
		j.confirmed, j.lastActive = true, m.now
		m.recordPosition(msg)
	} else if m.view.has(msg.From.ID) {
		m.recordPosition(msg)
	}
	p := m.primary.progress[msg.From.ID]
	if p == nil || !m.leading() {
		return
	}
	if msg.Stopped {
		m.recordStoppedBackup(p)
		return
	}
	switch {
	case msg.InSync:
		m.updateProgress(p, msg)
	case !p.inSync && msg.HoldsRecord:
		d, ok := m.log.digestAt(msg.Seq)
		m.catchUp(p, msg.From.ID, msg.Seq, msg.Digest, ok && d == msg.Digest)
	}
	m.advanceCommit()
}

// updateProgress records the answer of a backup that is in sync.
func (m *Machine) updateProgress(p *progress, msg *Message) {
	if !p.inSync || msg.Seq > p.match {
		p.stalledSince = m.now
	}
	p.inSync = true
	if p.regressed(m.primary.readRound, msg) {
		p.match, p.stalledSince = msg.Seq, m.now
	}
	p.match = max(p.match, msg.Seq)
	m.finishTransfer(msg.From.ID, p.match)
	p.readRound = max(p.readRound, msg.Round)
	if p.match == m.log.seq {
		p.stalledSince = -1
	}
}

// recordStoppedBackup records that a backup proposes a view, and delays this machine's own candidacy so that the
// backup's can finish.
func (m *Machine) recordStoppedBackup(p *progress) {
	if !p.stopped {
		p.stopped = true
		wait := m.opt.ElectionTimeout + m.jitter(m.opt.ElectionStagger)
		m.election.campaignNotBefore = max(m.election.campaignNotBefore, m.now+wait)
	}
}

// stopped reports whether this machine is fenced in its view: it acknowledges nothing more. This is stored on disk: a
// holder that proposed must not acknowledge again after a restart, as the view that it proposed may be decided
// (TestStoppedBackupDoesNotAnswer).
func (m *Machine) stopped() bool { return m.replica.StoppedEpoch == m.view.Epoch+1 }

// leading reports whether this machine is the primary and not stopped.
func (m *Machine) leading() bool { return m.primary.active && !m.stopped() }

// ready reports whether this machine leads, and all backups are in sync and have the record up to its end at the
// beginning of the view. Before that nothing is answered: a backup's record may differ, and changes that earlier
// primaries committed may be on too few disks.
func (m *Machine) ready() bool {
	if !m.leading() {
		return false
	}
	for _, p := range m.primary.progress {
		if !p.inSync || p.match < m.primary.viewStartSeq {
			return false
		}
	}
	return true
}

// jitter returns a random duration below d.
func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.opt.Rand() % uint64(d))
}
