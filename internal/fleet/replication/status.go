package replication

// Status tells how things stand. It may be called between inputs.
func (m *Machine) Status() Status {
	s := Status{ID: m.id.ID, View: m.view, Epoch: m.view.Epoch, Committed: m.committed, Seq: m.seq}
	if p, ok := m.view.member(m.view.Primary); ok {
		s.PrimaryAddr = p.Addr
	}
	switch {
	case m.led:
		s.Role, s.Ready = Primary, m.ready()
	case m.view.Epoch == 0 || !m.view.has(m.id.ID):
		s.Role = Outside
	case m.view.rank(m.id.ID) >= 0:
		s.Role = Backup
	default:
		s.Role = Witness
	}
	s.Released = m.released()
	if s.Role == Backup || s.Role == Witness {
		s.Ready = m.started && m.now-m.lastBeat < m.opt.SuspectAfter
	}
	return s
}
