package replication

import (
	"fmt"
	"slices"
)

// drawIdentity resets the machine to an empty record and a new identity; it keeps m.view. A machine that lost its disk
// has lost its promises, so it must not vote under its former identity (TestWipedWitnessHasNoVote).
func (m *Machine) drawIdentity(founder bool) {
	m.identity = Identity{
		ID:      ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand())),
		Addr:    m.opt.Self.Addr,
		Founder: founder,
		Joined:  founder,
	}
	m.vote, m.replica = Vote{}, ReplicaState{}
	m.log = recordLog{reportedCommit: m.log.reportedCommit}
	m.write = Write{Reset: true}
	m.saveIdentity()
	m.saveView()
	m.saveVote()
	m.saveReplica()
}

// self returns this machine as a Member.
func (m *Machine) self() Member {
	s := m.opt.Self
	s.ID = m.identity.ID
	return s
}

// voter returns the identity under which this machine votes in its view, "" if it has no vote.
func (m *Machine) voter() ID {
	return m.voterOf(m.self(), m.identity.Founder)
}

// senderVoter returns the identity under which the sender votes in this machine's view, "" if it has no vote.
func (m *Machine) senderVoter(msg *Message) ID { return m.voterOf(msg.From, msg.Founder) }

// voterOf returns the identity under which a machine votes in this machine's view, "" if it has no vote. In view 0 only
// founders vote, each under its address.
func (m *Machine) voterOf(o Member, founder bool) ID {
	if m.view.Epoch == 0 && !founder {
		return ""
	}
	id := m.voterID(o)
	if !m.view.has(id) {
		return ""
	}
	return id
}

// voterID returns the identity under which a machine's vote is counted in this machine's view.
func (m *Machine) voterID(o Member) ID {
	if m.view.Epoch == 0 {
		return seedID(o.Addr)
	}
	return o.ID
}

// holdsRecord reports whether this machine is the primary or a backup of its view and its disk has all changes that
// were committed before the view. A machine that is named as a backup but never received the record is not a holder
// (TestStaleRecordHasNoVote).
func (m *Machine) holdsRecord() bool {
	if m.view.Epoch == 0 {
		return m.voter() != ""
	}
	return m.view.rank(m.identity.ID) >= 0 && m.replica.RecordEpoch == m.view.Epoch
}

// rank returns this machine's rank among the holders (in view 0 among the seeds), 0 if it has none.
func (m *Machine) rank() int {
	if m.view.Epoch > 0 {
		return max(m.view.rank(m.identity.ID), 0)
	}
	return max(slices.IndexFunc(m.view.Members, func(o Member) bool { return o.Addr == m.identity.Addr }), 0)
}
