package replication

// A disk that was put back as it was earlier has forgotten changes that it acknowledged. Nobody can tell that from the disk alone.
// What is here finds it out by what others remember, so that such a machine is brought what it lacks and doesn't lead with it.

// wentBack reports whether a backup's record is shorter than it was: its answer to a round was sent after the round began, when
// it had said that it has more.
func (p *peer) wentBack(round uint64, msg *Message) bool {
	return msg.Round != 0 && msg.Round == round && msg.Seq < p.roundSeq
}

// restored reports whether this candidate lacks changes that were committed, as one of those who promised was told by a primary.
// It then proposes nothing: who has them may come back.
func (m *Machine) restored() bool {
	for _, p := range m.cand.promises {
		if p.settled > m.seq {
			return true
		}
	}
	return false
}
