package replication

// A disk that was restored to an earlier state has forgotten changes that it acknowledged. That can't be seen on the
// disk alone. What is here finds it out by what others remember, so that such a machine is brought what it lacks and
// doesn't become primary with it (TestRestoredDiskNeverLeads, TestRestoredDiskCatchesUp).

// regressed reports whether a backup's record is shorter than it was: its answer to a round was sent after the round
// began, when it had said that it has more.
func (p *progress) regressed(round uint64, msg *Message) bool {
	return msg.Round != 0 && msg.Round == round && msg.Seq < p.matchAtRoundStart
}

// knownCommit is up to where changes were committed, as far as this machine has heard, whatever of them it has.
func (m *Machine) knownCommit() uint64 { return max(m.log.committed, m.log.reportedCommit) }

// hasAllCommitted reports whether this candidate has all that was committed, as far as those who promised have heard. A
// candidate that hasn't proposes nothing: the machine that has it may come back.
func (m *Machine) hasAllCommitted() bool { return m.log.seq >= m.knownCommit() }

// restageRegressed has holders that lack what was committed brought the record like any other machine.
func (m *Machine) restageRegressed() {
	for id, p := range m.candidacy.promises {
		if id != m.voter() && p.seq < m.knownCommit() {
			p.holdsRecord = false
		}
	}
}

// lacksCommitted reports whether this machine's record is shorter than what the sender knows to be committed.
func (m *Machine) lacksCommitted(msg *Message) bool { return m.log.seq < msg.Committed }
