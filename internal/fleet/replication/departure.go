package replication

import (
	"maps"
	"time"
)

// Graceful shutdown: a primary hands its role to a backup in sync, a backup is replaced by a machine that first
// receives the record, and the primary removes a departing member immediately if the remaining members tolerate the
// required losses. Safety doesn't depend on it: a departing machine is treated as one that may soon be lost.

// departure is the graceful shutdown of this machine.
type departure struct {
	begun         bool   // Leave was called
	releasedEpoch uint64 // the epoch in which the primary released this machine
}

// Leave begins the graceful shutdown of this machine. It keeps serving until Status.Released reports that the others no
// longer need it. As it may come back, it gives up its role but not its membership: the primary removes it only where
// that lowers the quorum.
func (m *Machine) Leave(now time.Duration) Output {
	before := m.Status()
	m.beginInput(now)
	m.departure.begun = true
	if m.leading() {
		m.handOver()
	} else if p, ok := m.view.member(m.view.Primary); ok {
		m.sendHeartbeatAck(p.Addr, 0)
	}
	return m.endInput(before)
}

// released reports whether the others no longer need this departing machine. A holder of the record is not released, as
// there may be too few replicas without it (TestDepartingMemberHoldsNoOnlyReplica).
func (m *Machine) released() bool {
	switch {
	case !m.departure.begun:
		return false
	case !m.view.has(m.identity.ID) || len(m.view.Members) == 1:
		return true
	case m.view.rank(m.identity.ID) >= 0:
		return false
	}
	return m.departure.releasedEpoch == m.view.Epoch
}

// recordDeparture records whether the sender, if it is a member, is departing.
func (m *Machine) recordDeparture(msg *Message) {
	if m.peers.departing[msg.From.ID] == msg.Leaving || !m.view.has(msg.From.ID) {
		return
	}
	m.setDeparting(msg.From.ID, msg.Leaving)
}

// rejectJoiner removes a joiner that is departing. A view that admits it may already be proposed; marking it as
// departing has the view after that remove it immediately.
func (m *Machine) rejectJoiner(j *joiner) {
	delete(m.primary.joiners, j.Addr)
	m.setDeparting(j.ID, true)
}

// setDeparting replaces the set of departing members instead of changing it, as a copy of the machine may share it.
func (m *Machine) setDeparting(id ID, leaving bool) {
	if leaving && len(m.peers.departing) >= maxMembers+maxJoiners {
		return
	}
	departing := maps.Clone(m.peers.departing)
	if departing == nil {
		departing = map[ID]bool{}
	}
	if leaving {
		departing[id] = true
	} else {
		delete(departing, id)
	}
	m.peers.departing = departing
}

// pruneDeparting removes departing machines that are no longer members.
func (m *Machine) pruneDeparting() {
	departing := map[ID]bool{}
	for id := range m.peers.departing {
		if m.view.has(id) {
			departing[id] = true
		}
	}
	m.peers.departing = departing
}

// handOver asks a backup in sync that is not departing and has the complete record to take over.
func (m *Machine) handOver() {
	if !m.departure.begun || !m.ready() || m.candidacy != nil {
		return
	}
	for _, id := range m.view.Backups {
		p := m.primary.progress[id]
		if p.match != m.log.seq || !m.alive(id) || m.peers.departing[id] {
			continue
		}
		to, _ := m.view.member(id)
		m.send(to.Addr, Message{Kind: KindHandover, Seq: m.log.seq, Digest: m.log.digest, Committed: m.log.committed})
		return
	}
}

// handleHandover takes over from a departing primary.
func (m *Machine) handleHandover(msg *Message) {
	if !m.fromPrimary(msg) || !m.inSync() || m.departure.begun || msg.Seq != m.log.seq || msg.Digest != m.log.digest {
		return
	}
	m.learnCommit(msg)
	m.election.campaignNotBefore = m.now
	m.campaign()
}

// hasSuccessor reports whether there is a responsive backup that is not departing and may take over from this primary.
func (m *Machine) hasSuccessor() bool {
	for _, id := range m.view.Backups {
		if m.alive(id) && !m.peers.departing[id] {
			return true
		}
	}
	return false
}

// requiredTolerance returns the losses that the next view must tolerate: a departing primary needs at least one backup
// to hand over to.
func (m *Machine) requiredTolerance() FailureTolerance {
	s := m.opt.Tolerance
	if m.departure.begun {
		s.Nodes = max(s.Nodes, 1)
	}
	return s
}
