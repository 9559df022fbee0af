package replication

// inSync reports whether this backup's record is a prefix of its primary's and it still answers in its view.
func (m *Machine) inSync() bool {
	return m.view.Epoch > 0 && m.holdsRecord() && !m.stopped() && m.replica.InSyncEpoch == m.view.Epoch
}

// fromPrimary reports whether the primary of this machine's view, another machine, sent a message.
func (m *Machine) fromPrimary(msg *Message) bool {
	return m.view.Epoch > 0 && msg.From.ID == m.view.Primary && m.view.Primary != m.identity.ID
}

// sendHeartbeatAck sends the primary where this machine's record ends. round is the read round it answers, 0 for none.
func (m *Machine) sendHeartbeatAck(to string, round uint64) {
	holder := m.holdsRecord()
	m.send(to, Message{
		Kind:        KindHeartbeatAck,
		Round:       round,
		Seq:         m.log.seq,
		Digest:      m.log.digest,
		InSync:      m.inSync(),
		HoldsRecord: holder,
		Stopped:     holder && m.stopped(),
	})
}

// markInSync notes on the disk that the record is a prefix of the primary's in this epoch.
func (m *Machine) markInSync() {
	if m.replica.InSyncEpoch != m.view.Epoch {
		m.replica.InSyncEpoch = m.view.Epoch
		m.saveReplica()
	}
}

// learnCommit takes over the primary's commit index as far as this record goes. Only in sync are the changes up to
// there the primary's.
func (m *Machine) learnCommit(msg *Message) {
	if m.inSync() {
		m.log.committed = max(m.log.committed, min(msg.Committed, m.log.seq))
	}
}

// handleHeartbeat answers the primary's heartbeat. A record of the same length and digest as the primary's is in sync;
// one that is longer may differ in what is beyond (TestAppendToAnotherRecord).
func (m *Machine) handleHeartbeat(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	m.election.lastHeartbeat = m.now
	m.log.reportedCommit = max(m.log.reportedCommit, msg.Committed)
	if msg.Release {
		m.departure.releasedEpoch = m.view.Epoch
	}
	if m.holdsRecord() && !m.stopped() && msg.Seq == m.log.seq && msg.Digest == m.log.digest {
		m.markInSync()
	}
	m.learnCommit(msg)
	m.sendHeartbeatAck(msg.From.Addr, msg.Round)
}

// handleAppend appends changes of the primary's record. A stopped backup takes nothing more and says so.
func (m *Machine) handleAppend(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	if !m.holdsRecord() {
		m.handleLearnerAppend(msg)
		return
	}
	m.election.lastHeartbeat = m.now
	if !m.stopped() {
		if m.appendChanges(msg) {
			m.markInSync()
		}
		m.learnCommit(msg)
	}
	m.sendHeartbeatAck(msg.From.Addr, 0)
}

// handleSnapshot takes chunks of the primary's record.
func (m *Machine) handleSnapshot(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	if !m.holdsRecord() {
		m.handleLearnerSnapshot(msg)
		return
	}
	m.election.lastHeartbeat = m.now
	// Once in sync, what was acknowledged in this epoch never goes back: an older snapshot may come late
	// (TestLateSnapshotIsNotTaken).
	if !m.stopped() && (m.replica.InSyncEpoch != m.view.Epoch || msg.Seq > m.log.seq) {
		body, complete := m.receiveChunk(msg)
		if !complete {
			return
		}
		if m.replace(msg.Seq, msg.Digest, body) {
			m.markInSync()
			m.learnCommit(msg)
		}
	}
	m.sendHeartbeatAck(msg.From.Addr, 0)
}
