package replication

import "time"

// Each member is an acceptor of the ballots for the epoch after its own. It stores the highest promised ballot and the
// accepted value on disk before it answers (TestPromisesAreKept): a majority that promised a ballot accepts none below
// it, so no two views of one epoch are decided.

// handlePrepare promises a ballot that isn't below the promised one, and answers with the accepted value.
func (m *Machine) handlePrepare(msg *Message) {
	if m.voter() == "" || m.senderVoter(msg) == "" || msg.Ballot.ID != msg.From.ID {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindReject, Ballot: m.vote.Promised})
		return
	}
	if msg.Ballot != m.vote.Promised {
		m.vote.Promised = msg.Ballot
		m.saveVote()
		m.election.lastHeartbeat = m.now
		m.yieldTo(msg.Ballot, m.opt.ElectionTimeout+m.jitter(m.opt.ElectionStagger))
		if p := m.primary.progress[msg.From.ID]; p != nil {
			p.stopped = true
		}
	}
	m.send(msg.From.Addr, Message{
		Kind:        KindPromise,
		Ballot:      msg.Ballot,
		Accepted:    m.vote.Accepted,
		Value:       m.vote.Value,
		HoldsRecord: m.holdsRecord(),
		Seq:         m.log.seq,
		Digest:      m.log.digest,
		Committed:   m.knownCommit(),
	})
}

// handleAccept accepts a view under a ballot that isn't below the promised one.
func (m *Machine) handleAccept(msg *Message) {
	if m.voter() == "" || m.senderVoter(msg) == "" {
		return
	}
	if msg.Value == nil || msg.Value.Epoch != m.view.Epoch+1 || !msg.Value.valid() {
		return
	}
	if msg.Ballot.less(m.vote.Promised) {
		m.send(msg.From.Addr, Message{Kind: KindReject, Ballot: m.vote.Promised})
		return
	}
	if m.vote.Accepted != msg.Ballot {
		m.vote = Vote{Promised: msg.Ballot, Accepted: msg.Ballot, Value: msg.Value}
		m.saveVote()
		m.election.lastHeartbeat = m.now
		m.yieldTo(msg.Ballot, m.opt.ElectionTimeout+m.jitter(m.opt.ElectionStagger))
	}
	m.send(msg.From.Addr, Message{Kind: KindAccepted, Ballot: msg.Ballot})
}

// yieldTo abandons a candidacy whose ballot is below b, and begins no other for the time wait.
func (m *Machine) yieldTo(b Ballot, wait time.Duration) {
	if m.candidacy != nil && m.candidacy.ballot.less(b) {
		m.candidacy = nil
	}
	m.election.highestRejection = max(m.election.highestRejection, b.N)
	m.election.campaignNotBefore = max(m.election.campaignNotBefore, m.now+wait)
}
