package replication

import (
	"slices"
	"time"
)

// helloMessage asks for the view, and to be taken in where this machine is no member.
func (m *Machine) helloMessage() Message {
	return Message{Kind: KindHello, Join: m.voter() == "" && !m.departure.begun}
}

// sendHello asks around when there is a reason: no member yet, or no word of a primary.
func (m *Machine) sendHello() {
	outside := m.view.Epoch == 0 || !m.view.has(m.identity.ID)
	silent := m.now-m.lastHeartbeat >= m.opt.ElectionTimeout
	if m.isPrimary {
		silent = !m.quorumAlive()
	}
	m.helloAt = m.now + m.opt.ElectionTimeout
	if outside {
		m.helloAt = m.now + m.opt.HeartbeatInterval
	}
	if outside && !silent && m.view.Epoch > 0 {
		if p, ok := m.view.member(m.view.Primary); ok {
			m.send(p.Addr, m.helloMessage())
		}
		return
	}
	if !outside && !silent {
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

func (m *Machine) handleHello(msg *Message) {
	m.send(msg.From.Addr, Message{Kind: KindView})
	if m.view.Epoch == 0 {
		if m.senderVoter(msg) != "" {
			m.foundersSeen[msg.From.Addr] = true
			m.tickFounder()
		}
		return
	}
	if !m.leading() || !msg.Join || msg.From.ID == "" || m.view.has(msg.From.ID) {
		return
	}
	j := m.joiners[msg.From.Addr]
	if j == nil || j.ID != msg.From.ID {
		if j == nil && len(m.joiners) >= maxJoiners {
			return
		}
		j = &joiner{Member: msg.From, firstActive: m.now}
		m.joiners[msg.From.Addr] = j
	}
	j.lastActive = m.now
	m.send(j.Addr, m.heartbeatMessage()) // its answer shows that this identity lives
}

// tickFounder begins the first candidacy of all: the lowest address when all founders were heard, else whose turn it
// is when a majority was.
func (m *Machine) tickFounder() {
	if m.view.Epoch > 0 || m.voter() == "" || m.candidacy != nil {
		return
	}
	heard := 1
	for _, o := range m.view.Members {
		if o.Addr != m.identity.Addr && m.foundersSeen[o.Addr] {
			heard++
		}
	}
	turn := m.now >= m.viewSince+m.opt.ElectionTimeout+time.Duration(m.rank())*m.opt.ElectionStagger
	if heard == len(m.view.Members) && (m.rank() == 0 || m.stopped()) || heard >= m.view.quorum() && turn {
		m.campaign()
	}
}
