package replication

import (
	"time"
)

// adopt takes over a decided view that is newer than ours.
func (m *Machine) adopt(v View) {
	if v.Epoch <= m.view.Epoch || !v.valid() {
		return
	}
	known := m.view.Epoch > 0 || m.id.Founder
	next := known && v.Epoch == m.view.Epoch+1 && m.stand.RecordEpoch == m.view.Epoch
	m.view, m.vote, m.cand = v, Vote{}, nil
	m.viewSince, m.lastBeat, m.retryAt, m.helloAt = m.now, m.now, m.now, m.now+m.opt.BeatEvery
	m.refusals, m.highest = 0, 0
	m.seeds = map[string]bool{}
	if m.id.Joined && !v.has(m.id.ID) {
		// Left out: what this identity holds and promised is over.
		if m.app.Restore(0, nil) == nil {
			m.drawIdentity(false)
		}
	} else {
		if v.has(m.id.ID) && !m.id.Joined {
			m.id.Joined = true
			m.putIdentity()
		}
		if next && v.rank(m.id.ID) >= 0 {
			m.stand.RecordEpoch = v.Epoch
			m.putStanding()
		}
		m.putView()
		m.putVote()
	}
	heard := map[ID]time.Duration{}
	for _, o := range v.Members {
		if at, ok := m.heard[o.ID]; ok {
			heard[o.ID] = at
		}
	}
	m.heard = heard
	m.dropTransfers()
	clear(m.positions)
	m.learnAt = m.now
	for id := range m.slow {
		if !v.has(id) {
			delete(m.slow, id)
		}
	}
	m.forgetLeavers()
	m.led = v.Primary == m.id.ID && m.holder()
	m.peers = nil
	if !m.led {
		m.abandon()
		clear(m.joiners)
		return
	}
	for a, j := range m.joiners {
		if v.has(j.ID) {
			delete(m.joiners, a)
		}
	}
	m.leadSeq, m.round, m.beatAt = m.seq, 0, m.now
	m.peers, m.contact = map[ID]*peer{}, contact{}
	for _, b := range v.Backups {
		m.peers[b] = &peer{behind: m.now}
	}
	for _, o := range v.Members { // grace for those not heard yet
		if m.now-m.heard[o.ID] > m.opt.SuspectAfter/2 && v.rank(o.ID) > 0 || m.heard[o.ID] == 0 {
			m.heard[o.ID] = m.now
		}
	}
	for i := range m.reads {
		m.reads[i].at = 0
	}
	m.beat()
	m.advance()
}

// abandon answers all that waits: another leads.
func (m *Machine) abandon() {
	for _, w := range m.writes {
		m.answer(w.token, LostPrimacy, w.at)
	}
	for _, w := range m.reads {
		m.answer(w.token, LostPrimacy, 0)
	}
	m.writes, m.reads = nil, nil
}
