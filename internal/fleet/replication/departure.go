package replication

import (
	"maps"
	"time"
)

// A process that was told to end leaves in order: a primary hands its role to a backup that is in step, a backup is
// replaced by another machine that takes the record first, and the primary drops a member that leaves at once where
// the set bears as much without it. Nothing here is needed for safety: a machine that leaves is one that may soon be lost.

// departure is what a machine that was told to end keeps in mind.
type departure struct {
	begun         bool
	releasedEpoch uint64 // the epoch in which the primary said that it needs this machine no more
}

// Leave tells the machine that its process is about to end. It serves on meanwhile; Status.Released tells when its end
// costs the others nothing. Whether it comes back is not known, so it gives up its role and not its membership: the
// primary drops it where the majority that is needed falls with it.
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

// released reports whether a machine that leaves has no role left that others would miss.
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

// recordDeparture keeps which members of the view are about to end.
func (m *Machine) recordDeparture(msg *Message) {
	if m.peers.departing[msg.From.ID] == msg.Leaving || !m.view.has(msg.From.ID) {
		return
	}
	m.setDeparting(msg.From.ID, msg.Leaving)
}

// rejectJoiner forgets a joiner that is about to end. A view that takes it in may be on its way: it goes out of that at once.
func (m *Machine) rejectJoiner(j *joiner) {
	delete(m.primary.joiners, j.Addr)
	m.setDeparting(j.ID, true)
}

func (m *Machine) setDeparting(id ID, leaving bool) {
	if leaving && len(m.peers.departing) >= maxMembers+maxJoiners {
		return
	}
	leavers := maps.Clone(m.peers.departing)
	if leavers == nil {
		leavers = map[ID]bool{}
	}
	if leaving {
		leavers[id] = true
	} else {
		delete(leavers, id)
	}
	m.peers.departing = leavers
}

// pruneDeparting drops what is known of machines that are no members any more.
func (m *Machine) pruneDeparting() {
	leavers := map[ID]bool{}
	for id := range m.peers.departing {
		if m.view.has(id) {
			leavers[id] = true
		}
	}
	m.peers.departing = leavers
}

// handOver asks a backup in step to take over, once nothing waits for an acknowledgement or a heartbeat later.
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

// handleHandover takes over from a primary that leaves.
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

// requiredTolerance is what the next view must survive: a primary that leaves needs a backup to hand over to.
func (m *Machine) requiredTolerance() FailureTolerance {
	s := m.opt.Tolerance
	if m.departure.begun {
		s.Nodes = max(s.Nodes, 1)
	}
	return s
}
