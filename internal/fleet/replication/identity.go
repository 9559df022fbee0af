package replication

import (
	"fmt"
	"slices"
)

// drawIdentity begins anew with an empty record, as a machine that knows m.view and has a new identity. A machine that
// lost its disk has forgotten what it promised, so it must not vote as who it was (TestWipedWitnessHasNoVote).
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

// self is this machine as a member.
func (m *Machine) self() Member {
	s := m.opt.Self
	s.ID = m.identity.ID
	return s
}

// voter is the identity by which this machine votes in its view; "" when it has no vote.
func (m *Machine) voter() ID {
	return m.voterOf(m.self(), m.identity.Founder)
}

// senderVoter is the identity by which the sender votes in this machine's view; "" when it has no vote.
func (m *Machine) senderVoter(msg *Message) ID { return m.voterOf(msg.From, msg.Founder) }

// voterOf is the identity by which a machine votes in this machine's view: in view 0 founders alone vote, each as its
// address.
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

// voterID is the identity under which a machine's vote is counted in this machine's view.
func (m *Machine) voterID(o Member) ID {
	if m.view.Epoch == 0 {
		return seedID(o.Addr)
	}
	return o.ID
}

// holdsRecord reports whether this machine is the primary or a backup of its view and its disk has all that was
// committed before the view. A machine that is named a backup but was never brought the record has no say
// (TestStaleRecordHasNoVote).
func (m *Machine) holdsRecord() bool {
	if m.view.Epoch == 0 {
		return m.voter() != ""
	}
	return m.view.rank(m.identity.ID) >= 0 && m.replica.RecordEpoch == m.view.Epoch
}

// rank is this machine's turn among the holders.
func (m *Machine) rank() int {
	if m.view.Epoch > 0 {
		return max(m.view.rank(m.identity.ID), 0)
	}
	return max(slices.IndexFunc(m.view.Members, func(o Member) bool { return o.Addr == m.identity.Addr }), 0)
}
