package replication

import "slices"

// alive reports whether a member answered lately.
func (m *Machine) alive(id ID) bool {
	at, ok := m.heard[id]
	return id == m.id.ID || ok && m.now-at < m.opt.SuspectAfter
}

func (m *Machine) majorityAlive() bool {
	n := 0
	for _, o := range m.view.Members {
		if m.alive(o.ID) {
			n++
		}
	}
	return n >= m.view.majority()
}

// slowLately reports whether a member was left out not long ago.
func (m *Machine) slowLately(id ID) bool {
	at, ok := m.slow[id]
	return ok && m.now-at < m.opt.ForgetAfter
}

// aliveAmong are the machines among members that may become backups now.
func (m *Machine) aliveAmong(members []Member, except func(ID) bool) []candidate {
	var cs []candidate
	for _, o := range members {
		// A joiner among them answered within SuspectAfter.
		if o.ID == m.id.ID || m.view.has(o.ID) && !m.alive(o.ID) || except(o.ID) {
			continue
		}
		cs = append(cs, candidate{Member: o, holder: m.view.rank(o.ID) >= 0, slow: m.slowLately(o.ID), near: m.near(o.ID), leaving: m.leavers[o.ID]})
	}
	return cs
}

// reform proposes a next view, led by this machine again, when a backup is lost or the view can be better.
func (m *Machine) reform() {
	if !m.leading() || m.cand != nil || m.now < m.retryAt {
		return
	}
	bad := map[ID]bool{}
	dead, stopped := false, false
	for id, p := range m.peers {
		late := p.behind >= 0 && m.now-p.behind >= m.opt.WriteWithin
		if !m.alive(id) || late {
			bad[id] = true
		}
		dead = dead || !m.alive(id)
		stopped = stopped || p.stopped
	}
	plan, c := m.nextPlan(func(id ID) bool { return bad[id] })
	switch {
	case !m.majorityAlive():
		// Without answers nobody can be replaced. A backup that hears this machine, but isn't heard by it, may do better.
		if dead {
			m.campaign()
		}
	case len(bad) > 0 || stopped:
		if c.enough {
			for id := range bad {
				m.slow[id] = m.now
			}
			m.campaign()
		}
	case !m.ready() || !c.enough:
	case plan.urgent || m.relieves(c):
		m.campaign()
	case m.now-m.viewSince < m.opt.SuspectAfter || m.awaitsLearner(c):
	case plan.changed || m.betters(c):
		m.campaign()
	}
}

// nextPlan is what the next view should be: its members, and backups that aren't excepted.
func (m *Machine) nextPlan(except func(ID) bool) (memberPlan, choice) {
	plan := m.nextMembers()
	return plan, choose(m.wanted(), m.self(), plan.members, m.aliveAmong(plan.members, except))
}

// relievesLeavers reports whether a next view would take a role or the membership from a machine that leaves.
func (m *Machine) relievesLeavers() bool {
	plan, c := m.nextPlan(func(ID) bool { return false })
	return c.enough && (plan.urgent || m.relieves(c))
}

// relieves reports whether a choice takes the role from a backup that leaves, or gives a primary that leaves somebody to
// hand over to.
func (m *Machine) relieves(c choice) bool {
	leaves := func(id ID) bool { return m.leavers[id] }
	if slices.ContainsFunc(c.backups, leaves) {
		return false
	}
	return slices.ContainsFunc(m.view.Backups, leaves) || m.leave.begun && len(c.backups) > 0 && !m.hasSuccessor()
}

// betters reports whether a choice has more backups than the view, or ones that are spread better.
func (m *Machine) betters(c choice) bool {
	holders := []Member{m.self()}
	for _, b := range m.view.Backups {
		o, _ := m.view.member(b)
		holders = append(holders, o)
	}
	wanted := m.opt.Survive.spreadWanted()
	zones, regions := spread(holders)
	zones, regions = min(zones, wanted.zones), min(regions, wanted.regions)
	return len(c.backups) > len(m.view.Backups) || c.full && (c.regions > regions || c.regions == regions && c.zones > zones)
}
