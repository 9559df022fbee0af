package replication

import "time"

// position is where a machine's record stands, and when changes that were staged last moved it.
type position struct {
	seq, digest uint64
	movedAt     time.Duration
}

// recordPosition keeps where the sender's record stands, and reports whether that is news. It is a hint: what it leads to is
// checked by the receiver.
func (m *Machine) recordPosition(msg *Message) bool {
	was, ok := m.transfers.positions[msg.From.ID]
	if ok && was.seq == msg.Seq && was.digest == msg.Digest {
		return false
	}
	m.transfers.positions[msg.From.ID] = position{seq: msg.Seq, digest: msg.Digest}
	return true
}

// stageRecord brings a coming backup the record: the changes that it lacks where its record is a part of ours that we still
// know, else all of it.
func (m *Machine) stageRecord(to Member) {
	if at, ok := m.transfers.positions[to.ID]; ok && m.hasPrefix(at) {
		changes := m.log.changesAfter(at.seq, m.opt.ChunkBytes)
		if len(changes) > 0 || at.seq == m.log.seq {
			m.send(to.Addr, Message{
				Kind: KindStageChanges, Seq: at.seq, Digest: at.digest, Changes: changes, Committed: m.knownCommit(), Total: m.log.seq,
			})
			return
		}
	}
	m.sendRecord(KindStage, to)
}

// handleStageChanges takes changes of a proposer's record. Only with all of them does this machine hold the record.
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

// handleStagePosition goes on with staging from where a coming backup stands.
func (m *Machine) handleStagePosition(msg *Message) {
	c := m.candidacy
	if c == nil || c.phase != staging {
		return
	}
	if to, ok := c.value.member(msg.From.ID); ok && c.value.rank(to.ID) > 0 && !c.staged[to.ID] && m.recordPosition(msg) {
		m.transfers.positions[to.ID] = position{msg.Seq, msg.Digest, m.now}
		m.stageRecord(to)
	}
}
