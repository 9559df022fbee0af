package replication

import (
	"fmt"
	"slices"
)

// drawIdentity starts as a machine with an empty disk that knows m.view.
func (m *Machine) drawIdentity(founder bool) {
	m.identity = Identity{
		ID:   ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand())),
		Addr: m.opt.Self.Addr, Founder: founder, Joined: founder,
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
	id := m.identity.ID
	if m.view.Epoch == 0 {
		if !m.identity.Founder {
			return ""
		}
		id = seedID(m.identity.Addr)
	}
	if !m.view.has(id) {
		return ""
	}
	return id
}

// senderVoter is the identity by which the sender votes in our view.
func (m *Machine) senderVoter(msg *Message) ID {
	id := msg.From.ID
	if m.view.Epoch == 0 {
		if !msg.Founder {
			return ""
		}
		id = seedID(msg.From.Addr)
	}
	if !m.view.has(id) {
		return ""
	}
	return id
}

// holdsRecord reports whether this machine holds the record of its view.
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
