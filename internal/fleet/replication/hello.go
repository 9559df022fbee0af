package replication

import (
	"slices"
	"time"
)

// hello asks for the view, and to be taken in where this machine is no member.
func (m *Machine) hello() Message {
	return Message{Kind: KindHello, Join: m.voter() == "" && !m.leave.begun}
}

// sayHello asks around when there is a reason: no member yet, or no word of a primary.
func (m *Machine) sayHello() {
	outside := m.view.Epoch == 0 || !m.view.has(m.id.ID)
	silent := m.now-m.lastBeat >= m.opt.SuspectAfter
	if m.led {
		silent = !m.majorityAlive()
	}
	m.helloAt = m.now + m.opt.SuspectAfter
	if outside {
		m.helloAt = m.now + m.opt.BeatEvery
	}
	if outside && !silent && m.view.Epoch > 0 {
		if p, ok := m.view.member(m.view.Primary); ok {
			m.send(p.Addr, m.hello())
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
		m.send(a, m.hello())
	}
}

func (m *Machine) onHello(msg *Message) {
	m.send(msg.From.Addr, Message{Kind: KindView})
	if m.view.Epoch == 0 {
		if m.voterOf(msg) != "" {
			m.seeds[msg.From.Addr] = true
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
		j = &joiner{Member: msg.From, since: m.now}
		m.joiners[msg.From.Addr] = j
	}
	j.heard = m.now
	m.send(j.Addr, m.beatMessage()) // its answer shows that this identity lives
}

// tickFounder begins the first candidacy of all: the lowest address when all founders were heard, else whose turn it
// is when a majority was.
func (m *Machine) tickFounder() {
	if m.view.Epoch > 0 || m.voter() == "" || m.cand != nil {
		return
	}
	heard := 1
	for _, o := range m.view.Members {
		if o.Addr != m.id.Addr && m.seeds[o.Addr] {
			heard++
		}
	}
	turn := m.now >= m.viewSince+m.opt.SuspectAfter+time.Duration(m.rank())*m.opt.StaggerEach
	if heard == len(m.view.Members) && (m.rank() == 0 || m.stopped()) || heard >= m.view.majority() && turn {
		m.campaign()
	}
}
