package replication

import (
	"slices"
	"time"
)

// Each input runs between beginInput and endInput. Its results are collected in out and write. The caller writes before
// it sends and answers, so a handler may change the state and send in any order.

// beginInput starts an input. A time before that of the last input is replaced by the latter.
func (m *Machine) beginInput(now time.Duration) {
	m.out, m.write = Output{}, Write{}
	if now < m.now {
		now = m.now
	}
	frozen := m.started && now-max(m.now, m.tickDue) > m.opt.ElectionTimeout/2
	m.now = now
	if !m.started {
		m.start()
	}
	if frozen {
		m.restartTimeouts()
	}
}

// start initializes the timers, and the identity if the disk is empty, at the first input of the process.
func (m *Machine) start() {
	m.started = true
	m.primary.heartbeatAt = m.now
	m.election.lastHeartbeat = m.now
	m.election.viewSince = m.now
	m.election.helloAt = m.now
	m.election.campaignNotBefore = m.now
	if r := m.view.rank(m.identity.ID); r > 0 {
		m.election.campaignNotBefore = m.now + time.Duration(r)*m.opt.ElectionStagger
	}
	if m.identity.ID == "" {
		founder := m.opt.Bootstrap && !m.diskLost && slices.Contains(m.opt.Seeds, m.opt.Self.Addr)
		if founder {
			m.view = firstView(m.opt.Seeds)
		}
		m.drawIdentity(founder)
	}
	m.out.StatusChanged = true
}

// restartTimeouts restarts all time-outs after this machine was frozen: it received nothing meanwhile, which doesn't
// mean that the others are lost (TestThawedMachineWaits). It changes nothing else: earlier read rounds and answers keep
// their age.
func (m *Machine) restartTimeouts() {
	m.election.lastHeartbeat = m.now
	for id := range m.peers.lastActive {
		m.peers.lastActive[id] = m.now
	}
	for _, p := range m.primary.progress {
		if p.stalledSince >= 0 {
			p.stalledSince = m.now
		}
	}
	for _, j := range m.primary.joiners {
		j.firstActive = m.now
	}
}

// endInput ends an input and returns its Output.
func (m *Machine) endInput(before Status) Output {
	after := m.Status()
	if before.ID != after.ID || before.Role != after.Role || before.Epoch != after.Epoch ||
		before.Ready != after.Ready || before.Released != after.Released {
		m.out.StatusChanged = true
	}
	if !m.write.Empty() {
		w := m.write
		m.out.Write = &w
	}
	m.out.Committed = m.log.committed
	m.tickDue = m.NextTick()
	out := m.out
	m.out, m.write = Output{}, Write{}
	return out
}

// send queues a message.
func (m *Machine) send(to string, msg Message) {
	if to == "" || to == m.opt.Self.Addr {
		return
	}
	msg.From = m.self()
	msg.Epoch = m.view.Epoch
	msg.Founder = m.identity.Founder && m.view.Epoch == 0
	msg.Leaving = m.departure.begun
	switch msg.Kind {
	case KindView, KindHeartbeat, KindPrepare, KindAccept, KindStage, KindStageChanges, KindSnapshot:
		if m.view.Epoch > 0 {
			v := m.view
			msg.View = &v
		}
	}
	m.out.Send = append(m.out.Send, Envelope{To: to, Msg: msg})
}

// answer ends the Propose or Read with this token.
func (m *Machine) answer(token uint64, r Result, seq uint64) {
	m.out.Answer = append(m.out.Answer, Answer{Token: token, Result: r, Seq: seq})
}

// saveVote, saveIdentity, saveView and saveReplica add the current value of that part of the persistent state to the
// input's Write.
func (m *Machine) saveVote() {
	v := m.vote
	m.write.Vote = &v
}

func (m *Machine) saveIdentity() {
	v := m.identity
	m.write.Identity = &v
}

func (m *Machine) saveView() {
	v := m.view
	m.write.View = &v
}

func (m *Machine) saveReplica() {
	m.replica.Committed = m.log.committed
	v := m.replica
	m.write.Replica = &v
}
