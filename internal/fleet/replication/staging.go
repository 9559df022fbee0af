package replication

import "time"

// position is the last reported end of a machine's record, and when staged changes last advanced it.
type position struct {
	seq, digest uint64
	movedAt     time.Duration
}

// recordPosition stores the end of the sender's record, and reports whether it changed. The position is only a hint:
// the receiver of changes checks that they follow its record.
func (m *Machine) recordPosition(msg *Message) bool {
	was, ok := m.transfers.positions[msg.From.ID]
	if ok && was.seq == msg.Seq && was.digest == msg.Digest {
		return false
	}
	m.transfers.positions[msg.From.ID] = position{seq: msg.Seq, digest: msg.Digest}
	return true
}

// stageRecord sends the record to a future backup: only the changes that it lacks if its record is a prefix of this
// machine's and they are still in the log, else the complete record.
func (m *Machine) stageRecord(to Member) {
	if at, ok := m.transfers.positions[to.ID]; ok && m.hasPrefix(at) {
		changes := m.log.changesAfter(at.seq, m.opt.ChunkBytes)
		if len(changes) > 0 || at.seq == m.log.seq {
			m.send(to.Addr, Message{
				Kind:      KindStageChanges,
				Seq:       at.seq,
				Digest:    at.digest,
				Changes:   changes,
				Committed: m.knownCommit(),
				Total:     m.log.seq,
			})
			return
		}
	}
	m.sendRecord(KindStage, to)
}

// stage sends the record to the future backups that don't hold it, before their view is proposed: no matter which
// proposal is decided, a backup that becomes a holder has all acknowledged changes (TestStagedBeforeProposed). If one
// doesn't store the record in time, the view is chosen again without it.
func (m *Machine) stage(again bool) {
	c := m.candidacy
	open, late := false, false
	for _, b := range c.value.Backups {
		o, _ := c.value.member(b)
		p := c.promises[m.voterID(o)]
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

// handleStage receives a chunk of a proposer's record. Once it is complete, this machine's record is valid for the
// epoch.
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

// handleStaged records that a future backup has the record on disk.
func (m *Machine) handleStaged(msg *Message) {
	if c := m.candidacy; c != nil && c.phase == staging {
		c.staged[msg.From.ID] = true
		m.dropTransfer(msg.From.ID)
		m.runPhase(false)
	}
}

// handleStageChanges appends changes of a proposer's record. Only once all of them are there is this machine's record
// valid for the epoch (TestPartialChangesMakeNoHolder).
func (m *Machine) handleStageChanges(msg *Message) {
	if m.view.Epoch == 0 || m.view.rank(msg.From.ID) < 0 {
		return
	}
	if !m.holdsRecord() && m.replica.RecordEpoch != m.view.Epoch || m.lacksCommitted(msg) {
		if !m.appendChanges(msg) || m.log.seq < msg.Total {
			m.send(msg.From.Addr, Message{Kind: KindTransferAck, Seq: m.log.seq, Digest: m.log.digest})
			return
		}
		m.replica.RecordEpoch = m.view.Epoch
		m.saveReplica()
	}
	m.send(msg.From.Addr, Message{Kind: KindStaged, Seq: m.log.seq, Digest: m.log.digest})
}

// handleStagePosition continues staging changes from the reported end of a future backup's record.
func (m *Machine) handleStagePosition(msg *Message) {
	c := m.candidacy
	if c == nil || c.phase != staging {
		return
	}
	to, ok := c.value.member(msg.From.ID)
	if !ok || c.value.rank(to.ID) <= 0 || c.staged[to.ID] || !m.recordPosition(msg) {
		return
	}
	m.transfers.positions[to.ID] = position{seq: msg.Seq, digest: msg.Digest, movedAt: m.now}
	m.stageRecord(to)
}
