package replication

import "time"

// Learners are the members that don't hold the record, and machines that are about to join. The primary sends them the
// record in the background while it serves. Safety doesn't depend on their records. A learner that becomes a backup
// lacks only a few changes, so the core is not unavailable while the complete record crosses a slow link.

// learnerHeartbeats is the number of heartbeat intervals between two messages of changes to a learner. It limits the
// load on the learner's disk.
const learnerHeartbeats = 4

// learners returns the machines that are sent the record in the background.
func (m *Machine) learners() []Member {
	var all []Member
	for _, o := range m.view.Members {
		if m.view.rank(o.ID) < 0 && m.alive(o.ID) && !m.peers.departing[o.ID] {
			all = append(all, o)
		}
	}
	return append(all, m.joining()...)
}

// catchUpLearners sends all learners the changes that they lack.
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

// catchUpLearner sends one learner the changes that it lacks if they are still in the log, else the complete record.
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

// hasPrefix reports whether a record that ends at the position is a prefix of this machine's and the changes after it
// are still in the log.
func (m *Machine) hasPrefix(at position) bool {
	digest, known := m.log.digestAt(at.seq)
	return known && digest == at.digest
}

// nearlyCaughtUp reports whether a machine is known to lack only changes that are still in the log.
func (m *Machine) nearlyCaughtUp(id ID) bool {
	at, ok := m.transfers.positions[id]
	return ok && m.hasPrefix(at)
}

// transferToLearner sends the complete record to at most one learner at a time, as heartbeats queue behind it.
func (m *Machine) transferToLearner(to Member) {
	if m.transfers.outgoing[to.ID] != nil || !m.learnerTransferActive(m.opt.ElectionTimeout) {
		m.sendRecord(KindSnapshot, to)
	}
}

// learnerTransferActive reports whether a complete record is being transferred to a learner and has made progress
// within the given time.
func (m *Machine) learnerTransferActive(within time.Duration) bool {
	for id, t := range m.transfers.outgoing {
		if m.primary.progress[id] == nil && m.now-t.movedAt < within {
			return true
		}
	}
	return false
}

// awaitsLearner reports whether a choice of backups includes one that needs the complete record while a transfer of it
// to a learner is in progress. A view that is not urgent waits for that transfer.
func (m *Machine) awaitsLearner(c choice) bool {
	for _, b := range c.backups {
		if m.view.rank(b) < 0 && !m.nearlyCaughtUp(b) {
			return m.learnerTransferActive(m.opt.WriteTimeout)
		}
	}
	return false
}

// handleLearnerAppend appends changes of the primary's record.
func (m *Machine) handleLearnerAppend(msg *Message) {
	if m.isLearner() {
		m.appendChanges(msg)
	}
	m.sendHeartbeatAck(msg.From.Addr, 0)
}

// handleLearnerSnapshot receives a chunk of the primary's record, unless that is a known prefix of this machine's.
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

// isLearner reports whether this machine receives the primary's record without being a holder. Once a proposer has
// staged its record here and was answered, nothing may replace that record (TestStagedRecordStays).
func (m *Machine) isLearner() bool {
	return !m.holdsRecord() && m.replica.RecordEpoch != m.view.Epoch
}
