package replication

import "time"

// installView installs a decided view if it is newer than the known one. A decided view of the same epoch is the same
// view, as only one is decided per epoch (a rule that the search checks).
func (m *Machine) installView(v View) {
	if v.Epoch <= m.view.Epoch || !v.valid() {
		return
	}
	// A machine that holds the record of the previous epoch, as a replica or because it was staged, holds that of the
	// next one.
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

// saveInstalledView persists the view and its effect on this machine's record. A machine that was removed starts over
// with a new identity: the members of the view no longer count the old one, so its record and promises are void
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

// prunePeers removes the state of machines that are no longer members.
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

// becomeFollower gives this machine the role of a backup, a witness or a non-member of its view.
func (m *Machine) becomeFollower() {
	m.primary.active = false
	m.primary.progress = nil
	m.failPending()
	clear(m.primary.joiners)
}

// becomePrimary makes this machine the primary of its view. It doesn't consider a backup in sync until the backup has
// confirmed that in this view: changes that it acknowledged in an earlier view may have been replaced since. Reads
// received before the view wait for a read round of this one.
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

// graceForUnseen gives members that were not heard from recently a full time-out to answer the first heartbeat.
func (m *Machine) graceForUnseen() {
	for _, o := range m.view.Members {
		at := m.peers.lastActive[o.ID]
		if m.now-at > m.opt.ElectionTimeout/2 && m.view.rank(o.ID) > 0 || at == 0 {
			m.peers.lastActive[o.ID] = m.now
		}
	}
}

// failPending answers all pending writes and reads with LostPrimacy.
func (m *Machine) failPending() {
	for _, w := range m.primary.pendingWrites {
		m.answer(w.token, LostPrimacy, w.at)
	}
	for _, w := range m.primary.pendingReads {
		m.answer(w.token, LostPrimacy, 0)
	}
	m.primary.pendingWrites, m.primary.pendingReads = nil, nil
}
