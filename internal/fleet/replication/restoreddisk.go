package replication

// A disk that was restored to an earlier state lacks changes that it acknowledged, which the disk alone doesn't show.
// The functions in this file detect it by the state that other machines remember, so that such a machine receives the
// missing changes and doesn't become primary without them (TestRestoredDiskNeverLeads, TestRestoredDiskCatchesUp).

// regressed reports whether a backup's record has become shorter: the answer to the current round was sent after the
// round began, and by then the backup had already acknowledged more.
func (p *progress) regressed(round uint64, msg *Message) bool {
	return msg.Round != 0 && msg.Round == round && msg.Seq < p.matchAtRoundStart
}

// knownCommit returns the highest commit index known to this machine; its own record may end before it.
func (m *Machine) knownCommit() uint64 { return max(m.log.committed, m.log.reportedCommit) }

// hasAllCommitted reports whether this candidate has all changes that the members that promised know to be committed. A
// candidate that lacks some proposes nothing, as a machine that has them may come back.
func (m *Machine) hasAllCommitted() bool { return m.log.seq >= m.knownCommit() }

// restageRegressed clears holdsRecord of the promised holders that lack committed changes, so that they are staged like
// any other machine.
func (m *Machine) restageRegressed() {
	for id, p := range m.candidacy.promises {
		if id != m.voter() && p.seq < m.knownCommit() {
			p.holdsRecord = false
		}
	}
}

// lacksCommitted reports whether this machine's record ends before the sender's commit index.
func (m *Machine) lacksCommitted(msg *Message) bool { return m.log.seq < msg.Committed }
