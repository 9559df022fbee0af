package replication

import (
	"time"
)

// installView takes over a decided view that is newer than ours.
func (m *Machine) installView(v View) {
	if v.Epoch <= m.view.Epoch || !v.valid() {
		return
	}
	known := m.view.Epoch > 0 || m.identity.Founder
	next := known && v.Epoch == m.view.Epoch+1 && m.replica.RecordEpoch == m.view.Epoch
	m.view, m.vote, m.candidacy = v, Vote{}, nil
	m.viewSince, m.lastHeartbeat, m.campaignNotBefore, m.helloAt = m.now, m.now, m.now, m.now+m.opt.HeartbeatInterval
	m.rejections, m.highestRejection = 0, 0
	m.foundersSeen = map[string]bool{}
	if m.identity.Joined && !v.has(m.identity.ID) {
		// Left out: what this identity holds and promised is over.
		if m.app.Restore(0, nil) == nil {
			m.drawIdentity(false)
		}
	} else {
		if v.has(m.identity.ID) && !m.identity.Joined {
			m.identity.Joined = true
			m.saveIdentity()
		}
		if next && v.rank(m.identity.ID) >= 0 {
			m.replica.RecordEpoch = v.Epoch
			m.saveReplica()
		}
		m.saveView()
		m.saveVote()
	}
	heard := map[ID]time.Duration{}
	for _, o := range v.Members {
		if at, ok := m.lastActive[o.ID]; ok {
			heard[o.ID] = at
		}
	}
	m.lastActive = heard
	m.dropTransfers()
	clear(m.positions)
	m.learnerSendAt = m.now
	for id := range m.laggedAt {
		if !v.has(id) {
			delete(m.laggedAt, id)
		}
	}
	m.pruneDeparting()
	m.isPrimary = v.Primary == m.identity.ID && m.holdsRecord()
	m.progress = nil
	if !m.isPrimary {
		m.failPending()
		clear(m.joiners)
		return
	}
	for a, j := range m.joiners {
		if v.has(j.ID) {
			delete(m.joiners, a)
		}
	}
	m.viewStartSeq, m.readRound, m.heartbeatAt = m.seq, 0, m.now
	m.progress, m.contact = map[ID]*progress{}, quorumContact{}
	for _, b := range v.Backups {
		m.progress[b] = &progress{stalledSince: m.now}
	}
	for _, o := range v.Members { // grace for those not heard yet
		if m.now-m.lastActive[o.ID] > m.opt.ElectionTimeout/2 && v.rank(o.ID) > 0 || m.lastActive[o.ID] == 0 {
			m.lastActive[o.ID] = m.now
		}
	}
	for i := range m.pendingReads {
		m.pendingReads[i].at = 0
	}
	m.broadcastHeartbeat()
	m.advanceCommit()
}

// failPending answers all that waits: another leads.
func (m *Machine) failPending() {
	for _, w := range m.pendingWrites {
		m.answer(w.token, LostPrimacy, w.at)
	}
	for _, w := range m.pendingReads {
		m.answer(w.token, LostPrimacy, 0)
	}
	m.pendingWrites, m.pendingReads = nil, nil
}
