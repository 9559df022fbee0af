package replication

import "time"

// installView takes over a decided view that is newer than the known one. One of the same epoch is the same view, as an
// epoch has one decree (the search's rule that no two views of an epoch are decided).
func (m *Machine) installView(v View) {
	if v.Epoch <= m.view.Epoch || !v.valid() {
		return
	}
	// Who holds the record of the epoch before, as its replica or because it was staged, holds that of the next.
	known := m.view.Epoch > 0 || m.identity.Founder
	carriesRecord := known && v.Epoch == m.view.Epoch+1 && m.replica.RecordEpoch == m.view.Epoch
	m.view, m.vote, m.candidacy = v, Vote{}, nil
	m.resetElection()
	m.saveInstalledView(carriesRecord)
	m.prunePeers()
	m.dropTransfers()
	clear(m.transfers.positions)
	m.primary.learnerSendAt = m.now
	if v.Primary == m.identity.ID && m.holdsRecord() {
		m.becomePrimary()
	} else {
		m.becomeFollower()
	}
}

// resetElection restarts the timers for a new view.
func (m *Machine) resetElection() {
	m.election = electionState{
		viewSince:         m.now,
		lastHeartbeat:     m.now,
		helloAt:           m.now + m.opt.HeartbeatInterval,
		campaignNotBefore: m.now,
	}
	m.peers.foundersSeen = map[string]bool{}
}

// saveInstalledView has the view, and what it makes of this machine's record, written. A machine that was removed
// begins anew: the members of the view no longer count its identity, so what that holds and promised is over
// (TestRemovedMemberDrawsNewIdentity).
func (m *Machine) saveInstalledView(carriesRecord bool) {
	v := &m.view
	if m.identity.Joined && !v.has(m.identity.ID) {
		if m.app.Restore(0, nil) == nil {
			m.drawIdentity(false)
		}
		return
	}
	if v.has(m.identity.ID) && !m.identity.Joined {
		m.identity.Joined = true
		m.saveIdentity()
	}
	if carriesRecord && v.rank(m.identity.ID) >= 0 {
		m.replica.RecordEpoch = v.Epoch
		m.saveReplica()
	}
	m.saveView()
	m.saveVote()
}

// prunePeers forgets what is known of machines that are no members any more.
func (m *Machine) prunePeers() {
	lastActive := map[ID]time.Duration{}
	for _, o := range m.view.Members {
		if at, ok := m.peers.lastActive[o.ID]; ok {
			lastActive[o.ID] = at
		}
	}
	m.peers.lastActive = lastActive
	for id := range m.peers.laggedAt {
		if !m.view.has(id) {
			delete(m.peers.laggedAt, id)
		}
	}
	m.pruneDeparting()
}

// becomeFollower makes this machine a backup, a witness or no member of its view.
func (m *Machine) becomeFollower() {
	m.primary.active = false
	m.primary.progress = nil
	m.failPending()
	clear(m.primary.joiners)
}

// becomePrimary makes this machine the primary of its view. It takes no backup to be in sync before that has said so in
// this view: what a backup acknowledged in an earlier view may have been replaced since. Reads that came before the
// view wait for a round of this one.
func (m *Machine) becomePrimary() {
	p := &m.primary
	p.active = true
	for addr, j := range p.joiners {
		if m.view.has(j.ID) {
			delete(p.joiners, addr)
		}
	}
	p.viewStartSeq, p.readRound, p.heartbeatAt = m.log.seq, 0, m.now
	p.contact = backupContact{}
	p.progress = map[ID]*progress{}
	for _, id := range m.view.Backups {
		p.progress[id] = &progress{stalledSince: m.now}
	}
	m.graceForUnseen()
	for i := range p.pendingReads {
		p.pendingReads[i].at = 0
	}
	m.broadcastHeartbeat()
	m.advanceCommit()
}

// graceForUnseen gives members that this machine hasn't heard lately a time-out to answer its first heartbeat.
func (m *Machine) graceForUnseen() {
	for _, o := range m.view.Members {
		at := m.peers.lastActive[o.ID]
		if m.now-at > m.opt.ElectionTimeout/2 && m.view.rank(o.ID) > 0 || at == 0 {
			m.peers.lastActive[o.ID] = m.now
		}
	}
}

// failPending answers all that is pending: another machine is primary.
func (m *Machine) failPending() {
	for _, w := range m.primary.pendingWrites {
		m.answer(w.token, LostPrimacy, w.at)
	}
	for _, w := range m.primary.pendingReads {
		m.answer(w.token, LostPrimacy, 0)
	}
	m.primary.pendingWrites, m.primary.pendingReads = nil, nil
}
