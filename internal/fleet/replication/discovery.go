package replication

import (
	"slices"
	"time"
)

// helloMessage returns a request for the decided view, with Join set if this machine is not a member.
func (m *Machine) helloMessage() Message {
	return Message{Kind: KindHello, Join: m.voter() == "" && !m.departure.begun}
}

// sendHello asks the primary, or all known addresses, for the decided view if this machine is not a member, has lost
// contact with the primary, or is a primary without a responsive quorum.
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

// sendView sends the decided view to the sender of a message of an older epoch.
func (m *Machine) sendView(msg *Message) {
	if msg.Kind != KindView {
		m.send(msg.From.Addr, Message{Kind: KindView})
	}
}

// askForView asks the sender of a message of a newer epoch for its view, unless a hello was sent very recently.
func (m *Machine) askForView(msg *Message) {
	if msg.Kind != KindView && m.now >= m.election.helloAt-m.opt.HeartbeatInterval/2 {
		m.send(msg.From.Addr, m.helloMessage())
	}
}

// handleView counts the founders that answer during the bootstrap. A decided view in the message is already installed
// by Step.
func (m *Machine) handleView(msg *Message) {
	if m.view.Epoch == 0 && m.senderVoter(msg) != "" {
		m.peers.foundersSeen[msg.From.Addr] = true
		m.tickFounder()
	}
}

// handleHello answers with the decided view, and records a sender that asks to become a member.
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
	m.send(j.Addr, m.heartbeatMessage()) // its answer confirms that the joiner still has this identity
}

// tickFounder begins a candidacy of the bootstrap: the founder with the lowest address does so once all founders have
// answered; the others follow in turn, by address, once a majority has answered.
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
