package replication

// inSync reports whether this backup's record is a prefix of its primary's and the backup is not stopped in its view.
func (m *Machine) inSync() bool {
	return m.view.Epoch > 0 && m.holdsRecord() && !m.stopped() && m.replica.InSyncEpoch == m.view.Epoch
}

// fromPrimary reports whether a message was sent by the primary of this machine's view, and that is another machine.
func (m *Machine) fromPrimary(msg *Message) bool {
	return m.view.Epoch > 0 && msg.From.ID == m.view.Primary && m.view.Primary != m.identity.ID
}

// sendHeartbeatAck sends the end of this machine's record to the primary. round is the read round that it answers, 0
// for none.
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

// markInSync persists that the record is a prefix of the primary's in this epoch.
func (m *Machine) markInSync() {
	if m.replica.InSyncEpoch != m.view.Epoch {
		m.replica.InSyncEpoch = m.view.Epoch
		m.saveReplica()
	}
}

// learnCommit advances the commit index to the primary's, at most to the end of this record. Only a record in sync is
// known to contain the primary's changes up to there.
func (m *Machine) learnCommit(msg *Message) {
	if m.inSync() {
		m.log.committed = max(m.log.committed, min(msg.Committed, m.log.seq))
	}
}

// handleHeartbeat answers the primary's heartbeat. A record of the same length and digest as the primary's is in sync;
// a longer one may contain changes that the primary lacks (TestAppendToAnotherRecord).
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

// handleAppend appends changes of the primary's record. A stopped backup appends nothing; its answer has Stopped set.
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

// handleSnapshot receives a chunk of the primary's record, and installs the record once it is complete.
func (m *Machine) handleSnapshot(msg *Message) {
	if !m.fromPrimary(msg) {
		return
	}
	if !m.holdsRecord() {
		m.handleLearnerSnapshot(msg)
		return
	}
	m.election.lastHeartbeat = m.now
	// Once in sync, the record never becomes shorter in this epoch, as its changes were acknowledged: a snapshot that
	// is delayed may be older than the record (TestLateSnapshotIsNotTaken).
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
