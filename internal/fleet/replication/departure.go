package replication

import (
	"maps"
	"time"
)

// Graceful shutdown: a primary hands its role to a backup in sync, a backup is replaced by another machine that takes
// the record first, and the primary removes a departing member at once where the membership tolerates as much without
// it. Nothing here is needed for safety: a departing machine is one that may soon be lost.

// departure is the graceful shutdown of this machine.
type departure struct {
	begun         bool   // Leave was called
	releasedEpoch uint64 // the epoch in which the primary released this machine
}

// Leave begins the graceful shutdown of this machine. It goes on serving meanwhile; Status.Released says when its end
// costs the others nothing. Whether it comes back is not known, so it gives up its role and not its membership: the
// primary removes it where the quorum falls with it.
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

// released reports whether this departing machine has no role left that others would miss. While it holds the record it
// isn't: it may have one of too few replicas (TestDepartingMemberHoldsNoOnlyReplica).
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

// recordDeparture notes whether the sender, a member, is departing.
func (m *Machine) recordDeparture(msg *Message) {
	if m.peers.departing[msg.From.ID] == msg.Leaving || !m.view.has(msg.From.ID) {
		return
	}
	m.setDeparting(msg.From.ID, msg.Leaving)
}

// rejectJoiner forgets a joiner that is departing. A view that takes it in may be under way: it goes out of that at
// once.
func (m *Machine) rejectJoiner(j *joiner) {
	delete(m.primary.joiners, j.Addr)
	m.setDeparting(j.ID, true)
}

// setDeparting replaces the set of departing members: a copy of the machine may share the older one.
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

// pruneDeparting forgets departing machines that are no members any more.
func (m *Machine) pruneDeparting() {
	departing := map[ID]bool{}
	for id := range m.peers.departing {
		if m.view.has(id) {
			departing[id] = true
		}
	}
	m.peers.departing = departing
}

// handOver asks a backup in sync, which stays and has the complete record, to take over.
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

// hasSuccessor reports whether a backup may take over from this primary and stay.
func (m *Machine) hasSuccessor() bool {
	for _, id := range m.view.Backups {
		if m.alive(id) && !m.peers.departing[id] {
			return true
		}
	}
	return false
}

// requiredTolerance is what the next view must tolerate: a departing primary needs a backup to hand over to.
func (m *Machine) requiredTolerance() FailureTolerance {
	s := m.opt.Tolerance
	if m.departure.begun {
		s.Nodes = max(s.Nodes, 1)
	}
	return s
}
