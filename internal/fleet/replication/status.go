package replication

// Status returns the machine's state. It may be called between inputs.
func (m *Machine) Status() Status {
	s := Status{ID: m.identity.ID, View: m.view, Epoch: m.view.Epoch, Committed: m.log.committed, Seq: m.log.seq}
	if p, ok := m.view.member(m.view.Primary); ok {
		s.PrimaryAddr = p.Addr
	}
	switch {
	case m.primary.active:
		s.Role, s.Ready = Primary, m.ready()
	case m.view.Epoch == 0 || !m.view.has(m.identity.ID):
		s.Role = NonMember
	case m.view.rank(m.identity.ID) >= 0:
		s.Role = Backup
	default:
		s.Role = Witness
	}
	s.Released = m.released()
	if s.Role == Backup || s.Role == Witness {
		s.Ready = m.started && m.now-m.election.lastHeartbeat < m.opt.ElectionTimeout
	}
	return s
}
