package replication

import "time"

// Learners are the members that don't hold the record, and machines that are about to join. The primary sends them the
// record in the background, while it answers. No safety rule counts on what they have, but one that is to become a
// backup then lacks a few changes only, and the core isn't without an answer for the time that the complete record
// takes on a slow link.

// learnerHeartbeats is how many heartbeats lie between two messages of changes to a learner: its disk has other
// work.
const learnerHeartbeats = 4

// learners lists who is to be brought the record in the background.
func (m *Machine) learners() []Member {
	var all []Member
	for _, o := range m.view.Members {
		if m.view.rank(o.ID) < 0 && m.alive(o.ID) && !m.peers.departing[o.ID] {
			all = append(all, o)
		}
	}
	return append(all, m.joining()...)
}

// catchUpLearners sends learners what they lack.
func (m *Machine) catchUpLearners() {
	if m.now < m.primary.learnerSendAt {
		return
	}
	m.primary.learnerSendAt = m.now + learnerHeartbeats*m.opt.HeartbeatInterval
	for id, t := range m.transfers.outgoing {
		if m.primary.progress[id] == nil && m.now-max(t.sentAt, t.movedAt) >= m.opt.ElectionTimeout {
			m.dropTransfer(id)
		}
	}
	for _, o := range m.learners() {
		m.catchUpLearner(o)
	}
}

// catchUpLearner sends one learner what it lacks: changes where they are still kept, else the complete record.
func (m *Machine) catchUpLearner(to Member) {
	at, ok := m.transfers.positions[to.ID]
	if !ok {
		return // its record's end isn't known yet
	}
	if !m.hasPrefix(at) {
		m.transferToLearner(to)
		return
	}
	if at.seq == m.log.seq {
		m.dropTransfer(to.ID)
		return
	}
	changes := m.log.changesAfter(at.seq, m.opt.ChunkBytes)
	if len(changes) == 0 {
		m.transferToLearner(to)
		return
	}
	m.send(to.Addr, Message{
		Kind:      KindAppend,
		Seq:       at.seq,
		Digest:    at.digest,
		Committed: m.log.committed,
		Changes:   changes,
	})
}

// hasPrefix reports whether a record at a position is a prefix of this machine's from which the changes are still kept.
func (m *Machine) hasPrefix(at position) bool {
	digest, known := m.log.digestAt(at.seq)
	return known && digest == at.digest
}

// nearlyCaughtUp reports whether a machine is known to lack only changes that are still kept.
func (m *Machine) nearlyCaughtUp(id ID) bool {
	at, ok := m.transfers.positions[id]
	return ok && m.hasPrefix(at)
}

// transferToLearner sends the complete record to one learner at a time: heartbeats wait behind it.
func (m *Machine) transferToLearner(to Member) {
	if m.transfers.outgoing[to.ID] != nil || !m.learnerTransferActive(m.opt.ElectionTimeout) {
		m.sendRecord(KindSnapshot, to)
	}
}

// learnerTransferActive reports whether a complete record is on its way to some learner and has moved within the time
// given.
func (m *Machine) learnerTransferActive(within time.Duration) bool {
	for id, t := range m.transfers.outgoing {
		if m.primary.progress[id] == nil && m.now-t.movedAt < within {
			return true
		}
	}
	return false
}

// awaitsLearner reports whether a choice of backups takes one that lacks more than changes while the record is on its
// way to some learner: a view that isn't urgent waits for that.
func (m *Machine) awaitsLearner(c choice) bool {
	for _, b := range c.backups {
		if m.view.rank(b) < 0 && !m.nearlyCaughtUp(b) {
			return m.learnerTransferActive(m.opt.WriteTimeout)
		}
	}
	return false
}

// handleLearnerAppend takes changes of the primary's record.
func (m *Machine) handleLearnerAppend(msg *Message) {
	if m.isLearner() {
		m.appendChanges(msg)
	}
	m.sendHeartbeatAck(msg.From.Addr, 0)
}

// handleLearnerSnapshot takes chunks of the primary's record, unless it is a prefix of this machine's.
func (m *Machine) handleLearnerSnapshot(msg *Message) {
	digest, known := m.log.digestAt(msg.Seq)
	if m.isLearner() && !(known && digest == msg.Digest) {
		body, complete := m.receiveChunk(msg)
		if !complete {
			return
		}
		m.replace(msg.Seq, msg.Digest, body)
	}
	m.sendHeartbeatAck(msg.From.Addr, 0)
}

// isLearner reports whether this machine takes the primary's record without holding it. Once a proposer has staged its
// record here, that is promised, and nothing may take its place (TestStagedRecordStays).
func (m *Machine) isLearner() bool {
	return !m.holdsRecord() && m.replica.RecordEpoch != m.view.Epoch
}
