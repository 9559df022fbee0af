package replication

import "slices"

// alive reports whether a member answered within ElectionTimeout.
func (m *Machine) alive(id ID) bool {
	at, ok := m.peers.lastActive[id]
	return id == m.identity.ID || ok && m.now-at < m.opt.ElectionTimeout
}

func (m *Machine) quorumAlive() bool {
	n := 0
	for _, o := range m.view.Members {
		if m.alive(o.ID) {
			n++
		}
	}
	return n >= m.view.quorum()
}

// laggedRecently reports whether a member was replaced within MemberTimeout because it lagged.
func (m *Machine) laggedRecently(id ID) bool {
	at, ok := m.peers.laggedAt[id]
	return ok && m.now-at < m.opt.MemberTimeout
}

// backupCandidates returns the members that may become backups now.
func (m *Machine) backupCandidates(members []Member, except func(ID) bool) []candidate {
	var cs []candidate
	for _, o := range members {
		// A joiner among them answered within ElectionTimeout.
		if o.ID == m.identity.ID || m.view.has(o.ID) && !m.alive(o.ID) || except(o.ID) {
			continue
		}
		cand := m.newCandidate(o)
		cand.holdsRecord = m.view.rank(o.ID) >= 0
		cs = append(cs, cand)
	}
	return cs
}

// newCandidate returns the candidate for a member, without holdsRecord.
func (m *Machine) newCandidate(o Member) candidate {
	return candidate{
		Member:         o,
		lagged:         m.laggedRecently(o.ID),
		nearlyCaughtUp: m.nearlyCaughtUp(o.ID),
		leaving:        m.peers.departing[o.ID],
	}
}

// reconfigure proposes a next view with this machine as primary when a backup is lost or the view can be improved.
func (m *Machine) reconfigure() {
	if !m.leading() || m.candidacy != nil || m.now < m.election.campaignNotBefore {
		return
	}
	bad := map[ID]bool{}
	dead, stopped := false, false
	for id, p := range m.primary.progress {
		late := p.stalledSince >= 0 && m.now-p.stalledSince >= m.opt.WriteTimeout
		if !m.alive(id) || late {
			bad[id] = true
		}
		dead = dead || !m.alive(id)
		stopped = stopped || p.stopped
	}
	plan, c := m.nextPlan(func(id ID) bool { return bad[id] })
	switch {
	case !m.quorumAlive():
		// Without a quorum no machine can be replaced. A backup that receives this machine's heartbeats but whose
		// answers are lost would never time out: the candidacy ends the heartbeats, so that it may take over.
		if dead {
			m.campaign()
		}
	case len(bad) > 0 || stopped:
		if c.enough {
			for id := range bad {
				m.peers.laggedAt[id] = m.now
			}
			m.campaign()
		}
	case !m.ready() || !c.enough:
	case plan.urgent || m.replacesDeparting(c):
		m.campaign()
	case m.now-m.election.viewSince < m.opt.ElectionTimeout || m.awaitsLearner(c):
	case plan.changed || m.improvesView(c):
		m.campaign()
	}
}

// nextPlan returns the members of the next view and a choice of its backups among those that aren't excepted.
func (m *Machine) nextPlan(except func(ID) bool) (memberPlan, choice) {
	plan := m.nextMembers()
	return plan, choose(m.requiredTolerance(), m.self(), plan.members, m.backupCandidates(plan.members, except))
}

// canReplaceDeparting reports whether a next view would take a role or the membership from a departing machine.
func (m *Machine) canReplaceDeparting() bool {
	plan, c := m.nextPlan(func(ID) bool { return false })
	return c.enough && (plan.urgent || m.replacesDeparting(c))
}

// replacesDeparting reports whether a choice takes the role from a departing backup, or gives a departing primary a
// backup to hand over to.
func (m *Machine) replacesDeparting(c choice) bool {
	leaves := func(id ID) bool { return m.peers.departing[id] }
	if slices.ContainsFunc(c.backups, leaves) {
		return false
	}
	return slices.ContainsFunc(m.view.Backups, leaves) || m.departure.begun && len(c.backups) > 0 && !m.hasSuccessor()
}

// improvesView reports whether a choice has more backups than the view, or spreads the holders over more regions or
// zones.
func (m *Machine) improvesView(c choice) bool {
	holders := []Member{m.self()}
	for _, b := range m.view.Backups {
		o, _ := m.view.member(b)
		holders = append(holders, o)
	}
	wanted := m.opt.Tolerance.spreadWanted()
	zones, regions := spread(holders)
	zones, regions = min(zones, wanted.zones), min(regions, wanted.regions)
	spreadBetter := c.regions > regions || c.regions == regions && c.zones > zones
	return len(c.backups) > len(m.view.Backups) || c.full && spreadBetter
}
