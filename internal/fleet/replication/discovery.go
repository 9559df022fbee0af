package replication

import (
	"slices"
	"time"
)

// helloMessage asks for the decided view, and to join where this machine is no member.
func (m *Machine) helloMessage() Message {
	return Message{Kind: KindHello, Join: m.voter() == "" && !m.departure.begun}
}

// sendHello asks the primary, or all addresses that are known, for the decided view when there is a reason: this
// machine is no member, or hears no primary, or as primary no quorum.
func (m *Machine) sendHello() {
	nonMember := m.view.Epoch == 0 || !m.view.has(m.identity.ID)
	noContact := m.now-m.election.lastHeartbeat >= m.opt.ElectionTimeout
	if m.primary.active {
		noContact = !m.quorumAlive()
	}
	m.election.helloAt = m.now + m.opt.ElectionTimeout
	if nonMember {
		m.election.helloAt = m.now + m.opt.HeartbeatInterval
	}
	if nonMember && !noContact && m.view.Epoch > 0 {
		if p, ok := m.view.member(m.view.Primary); ok {
			m.send(p.Addr, m.helloMessage())
		}
		return
	}
	if !nonMember && !noContact {
		return
	}
	to := slices.Clone(m.opt.Seeds)
	for _, o := range m.view.Members {
		to = append(to, o.Addr)
	}
	slices.Sort(to)
	for _, a := range slices.Compact(to) {
		m.send(a, m.helloMessage())
	}
}

// tellView sends the decided view to the sender of a message of an older epoch.
func (m *Machine) tellView(msg *Message) {
	if msg.Kind != KindView {
		m.send(msg.From.Addr, Message{Kind: KindView})
	}
}

// askForView asks the sender of a message of a newer epoch for its view, unless another was asked just now.
func (m *Machine) askForView(msg *Message) {
	if msg.Kind != KindView && m.now >= m.election.helloAt-m.opt.HeartbeatInterval/2 {
		m.send(msg.From.Addr, m.helloMessage())
	}
}

// handleView counts the founders that answer during a first start. A decided view was installed before.
func (m *Machine) handleView(msg *Message) {
	if m.view.Epoch == 0 && m.senderVoter(msg) != "" {
		m.peers.foundersSeen[msg.From.Addr] = true
		m.tickFounder()
	}
}

// handleHello tells the decided view, and takes note of who asks to become a member.
func (m *Machine) handleHello(msg *Message) {
	m.send(msg.From.Addr, Message{Kind: KindView})
	if m.view.Epoch == 0 {
		m.handleView(msg)
		return
	}
	if !m.leading() || !msg.Join || msg.From.ID == "" || m.view.has(msg.From.ID) {
		return
	}
	j := m.primary.joiners[msg.From.Addr]
	if j == nil || j.ID != msg.From.ID {
		if j == nil && len(m.primary.joiners) >= maxJoiners {
			return
		}
		j = &joiner{Member: msg.From, firstActive: m.now}
		m.primary.joiners[msg.From.Addr] = j
	}
	j.lastActive = m.now
	m.send(j.Addr, m.heartbeatMessage()) // its answer shows that this identity lives
}

// tickFounder begins the first candidacy of all: the lowest address once all founders answered, else whose turn it is
// once a majority did.
func (m *Machine) tickFounder() {
	if m.view.Epoch > 0 || m.voter() == "" || m.candidacy != nil {
		return
	}
	seen := 1
	for _, o := range m.view.Members {
		if o.Addr != m.identity.Addr && m.peers.foundersSeen[o.Addr] {
			seen++
		}
	}
	turn := m.now >= m.election.viewSince+m.opt.ElectionTimeout+time.Duration(m.rank())*m.opt.ElectionStagger
	if seen == len(m.view.Members) && (m.rank() == 0 || m.stopped()) || seen >= m.view.quorum() && turn {
		m.campaign()
	}
}
