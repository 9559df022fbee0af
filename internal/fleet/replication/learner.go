package replication

import "time"

// Learners are the members that don't hold the record, and machines that are about to join. The primary brings them the record
// in the background, while it answers. No rule counts on what they have, but one that is to become a backup then lacks a
// few changes only, and the core isn't without an answer for the time that the whole record takes on a thin link.

// learnBeats is how many heartbeats lie between two messages of changes to a learner: its disk has other work.
const learnBeats = 4

// learners lists who is to be brought the record in the background.
func (m *Machine) learners() []Member {
	var all []Member
	for _, o := range m.view.Members {
		if m.view.rank(o.ID) < 0 && m.alive(o.ID) && !m.leavers[o.ID] {
			all = append(all, o)
		}
	}
	return append(all, m.joining()...)
}

// bringLearners sends learners what they lack.
func (m *Machine) bringLearners() {
	if m.now < m.learnAt {
		return
	}
	m.learnAt = m.now + learnBeats*m.opt.BeatEvery
	for id, t := range m.transfers {
		if m.peers[id] == nil && m.now-max(t.sentAt, t.movedAt) >= m.opt.SuspectAfter {
			m.dropTransfer(id)
		}
	}
	for _, o := range m.learners() {
		m.bringLearner(o)
	}
}

func (m *Machine) bringLearner(to Member) {
	at, ok := m.positions[to.ID]
	if !ok {
		return // it hasn't told yet
	}
	if !m.knows(at) {
		m.transferToLearner(to)
		return
	}
	if at.seq == m.seq {
		m.dropTransfer(to.ID)
		return
	}
	changes := m.changesAfter(at.seq)
	if len(changes) == 0 {
		m.transferToLearner(to)
		return
	}
	m.send(to.Addr, Message{Kind: KindAppend, Seq: at.seq, Digest: at.digest, Committed: m.committed, Changes: changes})
}

// knows reports whether a record at a position is a part of ours from which the changes are still kept.
func (m *Machine) knows(at position) bool {
	digest, known := m.digestAt(at.seq)
	return known && digest == at.digest
}

// near reports whether a machine is known to lack only changes that are still kept.
func (m *Machine) near(id ID) bool {
	at, ok := m.positions[id]
	return ok && m.knows(at)
}

// transferToLearner sends the whole record to one learner at a time: heartbeats wait behind it.
func (m *Machine) transferToLearner(to Member) {
	if m.transfers[to.ID] != nil || !m.teaching(m.opt.SuspectAfter) {
		m.sendRecord(KindSnapshot, to)
	}
}

// teaching reports whether a whole record is on its way to some learner and has moved within the time given.
func (m *Machine) teaching(within time.Duration) bool {
	for id, t := range m.transfers {
		if m.peers[id] == nil && m.now-t.movedAt < within {
			return true
		}
	}
	return false
}

// awaitsLearner reports whether a choice of backups takes one that lacks more than changes while the record is on its way to
// some learner: a view that isn't urgent waits for that.
func (m *Machine) awaitsLearner(c choice) bool {
	for _, b := range c.backups {
		if m.view.rank(b) < 0 && !m.near(b) {
			return m.teaching(m.opt.WriteWithin)
		}
	}
	return false
}

// onLearnerAppend takes changes of the primary's record.
func (m *Machine) onLearnerAppend(msg *Message) {
	if m.learns() {
		m.follow(msg)
	}
	m.ack(msg.From.Addr, 0)
}

// onLearnerSnapshot takes chunks of the primary's record, unless it is a part of ours.
func (m *Machine) onLearnerSnapshot(msg *Message) {
	digest, known := m.digestAt(msg.Seq)
	if m.learns() && !(known && digest == msg.Digest) {
		body, whole := m.assemble(msg)
		if !whole {
			return
		}
		m.replace(msg.Seq, msg.Digest, body)
	}
	m.ack(msg.From.Addr, 0)
}

// learns reports whether this machine takes the primary's record without holding it. Once a proposer has staged its record here,
// that is promised, and nothing may take its place.
func (m *Machine) learns() bool {
	return !m.holder() && m.stand.RecordEpoch != m.view.Epoch
}
