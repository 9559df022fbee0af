package replication

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// scriptedCore is a core of three in sync with two changes, to whose machines a test then passes single messages.
type scriptedCore struct {
	*qt.C
	s                        *sim
	primary, backup, witness *simNode
	view                     View
}

func newScriptedCore(t *testing.T) *scriptedCore {
	c := qt.New(t)
	s := newSim(11, 3, 3, FailureTolerance{Nodes: 1})
	startAndConverge(t, s, []int{0, 1, 2}, 0)
	h := &scriptedCore{C: c, s: s, primary: s.healthyPrimary()}
	s.writeTo(h.primary)
	s.writeTo(h.primary)
	s.runUntil(s.now+time.Second, nil)
	c.Assert(s.ackedMax, qt.Equals, uint64(2))
	h.view = h.primary.m.Status().View
	for _, b := range s.nodes {
		switch b.m.Status().Role {
		case Backup:
			h.backup = b
		case Witness:
			h.witness = b
		}
	}
	return h
}

// deliver passes b a message from another machine in the view's epoch, applies the write to b's disk and returns the
// answers.
func (h *scriptedCore) deliver(b, from *simNode, msg Message) []Message {
	msg.From, _ = h.view.member(from.disk.Identity.ID)
	msg.Epoch, msg.View = h.view.Epoch, &h.view
	return h.persist(b, b.m.Step(h.s.clock(b), "", &msg))
}

func (h *scriptedCore) persist(b *simNode, out Output) []Message {
	save(&b.disk, out.Write)
	var ms []Message
	for _, e := range out.Send {
		ms = append(ms, e.Msg)
	}
	return ms
}

// restart restarts b from its disk at the current time, without its first tick.
func (h *scriptedCore) restart(b *simNode) {
	b.app = &logApp{err: &h.s.err}
	m, err := New(h.s.options(b), b.disk, b.app)
	h.Assert(err, qt.IsNil)
	b.m, b.started = m, h.s.now
}

// timeOutPrimary advances b's time without messages until it begins a candidacy, for a second at most, and returns the
// messages that it sends then.
func (h *scriptedCore) timeOutPrimary(b *simNode) []Message {
	for range 10 { // in steps, so that it doesn't detect a freeze
		h.s.now += 100 * ms
		if sent := h.persist(b, b.m.Tick(h.s.clock(b))); b.m.candidacy != nil {
			return sent
		}
	}
	return nil
}

func (h *scriptedCore) heartbeat() Message {
	return Message{Kind: KindHeartbeat, Round: 99, Seq: 2, Digest: h.primary.m.log.digest, Committed: 2}
}

func TestStoppedBackupDoesNotAnswer(t *testing.T) {
	h := newScriptedCore(t)
	ack := h.deliver(h.backup, h.primary, h.heartbeat())
	h.Assert(ack[0].InSync, qt.IsTrue)
	h.Assert(ack[0].Round, qt.Equals, uint64(99))
	sent := h.timeOutPrimary(h.backup)
	h.Assert(sent[0].Kind, qt.Equals, KindPrepare)
	third := Change{Seq: 3, Body: []byte("3")}
	third.Digest = ChainDigest(h.primary.m.log.digest, 3, third.Body)
	for range 2 { // before and after a restart
		for _, msg := range []Message{
			h.heartbeat(),
			{Kind: KindAppend, Seq: 2, Digest: h.primary.m.log.digest, Changes: []Change{third}},
			{Kind: KindSnapshot, Seq: 3, Digest: third.Digest, Body: []byte("w1\nw2\n3")},
		} {
			ack = h.deliver(h.backup, h.primary, msg)
			ack = ack[len(ack)-1:]
			h.Assert(ack[0].Kind, qt.Equals, KindHeartbeatAck)
			h.Assert(ack[0].InSync, qt.IsFalse)
			h.Assert(ack[0].Stopped, qt.IsTrue)
			h.Assert(ack[0].Seq, qt.Equals, uint64(2))
		}
		h.restart(h.backup)
	}
}

func TestLateSnapshotIsNotTaken(t *testing.T) {
	h := newScriptedCore(t)
	for range 2 {
		ack := h.deliver(h.backup, h.primary, Message{
			Kind: KindSnapshot, Seq: 1, Digest: ChainDigest(0, 1, []byte("w1")), Body: []byte("w1"),
		})
		h.Assert(ack[len(ack)-1].Seq, qt.Equals, uint64(2))
		h.Assert(h.backup.app.log, qt.HasLen, 2)
		h.restart(h.backup)
	}
}

func TestAcceptedValueIsProposed(t *testing.T) {
	h := newScriptedCore(t)
	sent := h.timeOutPrimary(h.backup)
	value := h.view
	value.Epoch++
	value.Backups = []ID{h.witness.disk.Identity.ID}
	sent = h.deliver(h.backup, h.witness, Message{
		Kind: KindPromise, Ballot: sent[0].Ballot, Accepted: Ballot{N: 1, ID: "x"}, Value: &value,
	})
	h.Assert(sent[0].Kind, qt.Equals, KindAccept)
	h.Assert(*sent[0].Value, qt.DeepEquals, value)
}

// TestStagedBeforeProposed: a future backup has the record on disk before its view is proposed, both when it receives
// the complete record, as its own record isn't a prefix of the proposer's, and when it receives the changes that it
// lacks.
func TestStagedBeforeProposed(t *testing.T) {
	h := newScriptedCore(t)
	stagedBeforeProposed(h, Message{Kind: KindPromise, Seq: 1, Digest: 99}, KindStage)
	h.Assert(string(h.witness.disk.Snapshot.Body), qt.Equals, "w1\nw2")
	h = newScriptedCore(t)
	stagedBeforeProposed(h, Message{Kind: KindPromise}, KindStageChanges)
	h.Assert(h.witness.disk.Snapshot, qt.IsNil)
	h.Assert(h.witness.disk.Changes, qt.DeepEquals, h.backup.disk.Changes)
}

func stagedBeforeProposed(h *scriptedCore, promise Message, by Kind) {
	h.Helper()
	ballot := h.timeOutPrimary(h.backup)[0].Ballot
	promise.Ballot = ballot
	sent := h.deliver(h.backup, h.witness, promise)
	h.Assert(sent, qt.HasLen, 1)
	h.Assert(sent[0].Kind, qt.Equals, by)
	staged := h.deliver(h.witness, h.backup, sent[0])
	h.Assert(staged[0].Kind, qt.Equals, KindStaged)
	h.Assert(h.witness.disk.Replica.RecordEpoch, qt.Equals, h.view.Epoch)
	sent = h.deliver(h.backup, h.witness, staged[0])
	h.Assert(sent[0].Kind, qt.Equals, KindAccept)
	h.Assert(sent[0].Value.Backups, qt.DeepEquals, []ID{h.witness.disk.Identity.ID})
	h.deliver(h.backup, h.witness, Message{Kind: KindAccepted, Ballot: ballot})
	h.Assert(h.backup.disk.View.Epoch, qt.Equals, h.view.Epoch+1)
	h.Assert(h.backup.m.Status().Role, qt.Equals, Primary)
	h.Assert(h.backup.m.Status().Ready, qt.IsFalse) // not before the backup is in sync
}

func TestPromisesAreKept(t *testing.T) {
	h := newScriptedCore(t)
	w := h.witness
	id := h.backup.disk.Identity.ID
	value := h.view
	value.Epoch++
	high, low := Ballot{N: 50, ID: id}, Ballot{N: 40, ID: id}
	sent := h.deliver(w, h.backup, Message{Kind: KindPrepare, Ballot: high})
	h.Assert(sent[0].Kind, qt.Equals, KindPromise)
	for range 2 {
		sent = h.deliver(w, h.backup, Message{Kind: KindPrepare, Ballot: low})
		h.Assert(sent[len(sent)-1].Kind, qt.Equals, KindReject)
		h.Assert(sent[len(sent)-1].Ballot, qt.Equals, high)
		sent = h.deliver(w, h.backup, Message{Kind: KindAccept, Ballot: low, Value: &value})
		h.Assert(sent[0].Kind, qt.Equals, KindReject)
		h.restart(w)
	}
	sent = h.deliver(w, h.backup, Message{Kind: KindAccept, Ballot: high, Value: &value})
	h.Assert(sent[len(sent)-1].Kind, qt.Equals, KindAccepted)
	h.restart(w)
	for n := range uint64(2) {
		sent = h.deliver(w, h.backup, Message{Kind: KindPrepare, Ballot: Ballot{N: 60 + n, ID: id}})
		promise := sent[len(sent)-1]
		h.Assert(promise.Kind, qt.Equals, KindPromise)
		h.Assert(promise.Accepted, qt.Equals, high)
		h.Assert(*promise.Value, qt.DeepEquals, value)
		h.restart(w)
	}
	// A prepare of a non-member is ignored.
	stranger := Message{
		Kind: KindPrepare, From: Member{ID: "stranger", Addr: "10.0.8.8:7000"}, Epoch: h.view.Epoch,
		Ballot: Ballot{N: 99, ID: "stranger"},
	}
	h.Assert(h.persist(w, w.m.Step(h.s.clock(w), "", &stranger)), qt.HasLen, 0)
}

// TestStaleRecordHasNoVote: a machine that is a backup of the view, but whose record is valid for an older epoch only,
// neither acknowledges nor proposes.
func TestStaleRecordHasNoVote(t *testing.T) {
	h := newScriptedCore(t)
	h.backup.disk.Replica = ReplicaState{}
	h.restart(h.backup)
	sent := h.deliver(h.backup, h.primary, h.heartbeat())
	h.Assert(sent[len(sent)-1].InSync, qt.IsFalse)
	h.Assert(sent[len(sent)-1].HoldsRecord, qt.IsFalse)
	for _, msg := range h.timeOutPrimary(h.backup) {
		h.Assert(msg.Kind, qt.Not(qt.Equals), KindPrepare)
	}
	h.Assert(h.backup.m.candidacy, qt.IsNil)
}

// TestSlowBackupIsReplaced: a backup whose disk is slow and which doesn't acknowledge is replaced within 5 s, and the
// pending write commits in the next view.
func TestSlowBackupIsReplaced(t *testing.T) {
	h := newScriptedCore(t)
	s := h.s
	h.backup.slow = s.now + time.Hour
	h.backup.diskFree = s.now + 30*time.Second
	s.writeTo(h.primary)
	began := s.now
	h.Assert(s.runUntil(began+5*time.Second, func() bool { return s.ackedMax == 3 }), qt.IsTrue)
	h.Assert(h.primary.m.Status().Epoch > h.view.Epoch, qt.IsTrue)
	h.Assert(s.err, qt.IsNil)
}

// TestTakeover: after the loss of the primary another one is ready within a second, which is the election time-out and
// some heartbeats.
func TestTakeover(t *testing.T) {
	h := newScriptedCore(t)
	s := h.s
	s.kill(h.primary)
	began := s.now
	h.Assert(s.runUntil(began+5*time.Second, func() bool { return s.leader() != nil }), qt.IsTrue)
	h.Assert(s.now-began < time.Second, qt.IsTrue, qt.Commentf("%v", s.now-began))
}

// TestFrozenPrimary: a primary that thaws after another machine took over acknowledges nothing in its old view.
func TestFrozenPrimary(t *testing.T) {
	h := newScriptedCore(t)
	s := h.s
	h.primary.frozen = s.now + 3*time.Second
	h.Assert(s.runUntil(s.now+2900*ms, nil), qt.IsFalse)
	h.Assert(s.leader(), qt.Equals, h.backup)
	s.writeTo(h.backup)
	s.runUntil(s.now+90*ms, nil)
	h.Assert(s.ackedMax, qt.Equals, uint64(3))
	s.runUntil(h.primary.frozen, nil)
	out := h.primary.m.Read(s.clock(h.primary), 1000)
	h.Assert(out.Answer, qt.HasLen, 0)
	s.input(h.primary, out)
	out = h.primary.m.Propose(s.clock(h.primary), 1001, []byte("late"))
	h.Assert(out.Answer, qt.HasLen, 0)
	var results []Result
	next := View{}
	next = h.backup.m.Status().View
	for _, a := range h.primary.m.Step(s.clock(h.primary), "", &Message{
		Kind: KindView, From: h.backup.m.self(), Epoch: next.Epoch, View: &next,
	}).Answer {
		results = append(results, a.Result)
	}
	h.Assert(results, qt.DeepEquals, []Result{LostPrimacy, LostPrimacy})
	h.Assert(h.primary.m.Status().Role, qt.Not(qt.Equals), Primary)
}

// TestNewestAcceptanceIsProposed: if a majority has accepted views under two ballots, the view with the higher ballot
// is proposed, whichever of them the proposer accepted itself.
func TestNewestAcceptanceIsProposed(t *testing.T) {
	for _, own := range []uint64{50, 70} {
		h := newScriptedCore(t)
		id := h.primary.disk.Identity.ID
		view := func(backup *simNode) *View {
			v := h.view
			v.Epoch++
			v.Backups = []ID{backup.disk.Identity.ID}
			return &v
		}
		byOwn, byOther := view(h.backup), view(h.witness)
		sent := h.deliver(h.backup, h.primary, Message{Kind: KindAccept, Ballot: Ballot{N: own, ID: id}, Value: byOwn})
		h.Assert(sent[len(sent)-1].Kind, qt.Equals, KindAccepted)
		ballot := h.timeOutPrimary(h.backup)[0].Ballot
		sent = h.deliver(h.backup, h.witness, Message{
			Kind: KindPromise, Ballot: ballot, Accepted: Ballot{N: 60, ID: id}, Value: byOther,
		})
		h.Assert(sent[0].Kind, qt.Equals, KindAccept)
		want := byOther
		if own > 60 {
			want = byOwn
		}
		h.Assert(sent[0].Value, qt.DeepEquals, want)
	}
}

// TestAppendToAnotherRecord: a backup whose record isn't a prefix of the primary's appends no change that follows a
// different record, and doesn't report that it is in sync.
func TestAppendToAnotherRecord(t *testing.T) {
	h := newScriptedCore(t)
	digest := h.primary.m.log.digest
	other := Change{Seq: 3, Body: []byte("other")}
	other.Digest = ChainDigest(digest, 3, other.Body)
	h.backup.disk.Changes = append(h.backup.disk.Changes, other)
	h.backup.disk.Replica.InSyncEpoch = 0
	h.restart(h.backup)
	third := Change{Seq: 3, Body: []byte("third")}
	third.Digest = ChainDigest(digest, 3, third.Body)
	sent := h.deliver(h.backup, h.primary, Message{Kind: KindAppend, Seq: 2, Digest: digest, Changes: []Change{third}})
	ack := sent[len(sent)-1]
	h.Assert(ack.Kind, qt.Equals, KindHeartbeatAck)
	h.Assert(ack.InSync, qt.IsFalse)
	h.Assert(h.backup.app.log, qt.DeepEquals, []string{"w1", "w2", "other"})
}

// TestRemovedMemberDrawsNewIdentity: a machine that learns of a view without it starts over with a new identity and an
// empty record, in memory and on disk.
func TestRemovedMemberDrawsNewIdentity(t *testing.T) {
	h := newScriptedCore(t)
	before := h.backup.disk.Identity.ID
	next := h.view
	next.Epoch++
	next.Backups = []ID{h.witness.disk.Identity.ID}
	next.Members = nil
	for _, o := range h.view.Members {
		if o.ID != before {
			next.Members = append(next.Members, o)
		}
	}
	h.view = next
	h.deliver(h.backup, h.primary, Message{Kind: KindView})
	h.Assert(h.backup.disk.Identity.ID, qt.Not(qt.Equals), before)
	h.Assert(h.backup.disk.Identity.Joined, qt.IsFalse)
	h.Assert(h.backup.disk.Replica, qt.Equals, ReplicaState{})
	h.Assert(h.backup.disk.Vote.Promised, qt.Equals, Ballot{})
	h.Assert(h.backup.disk.Changes, qt.HasLen, 0)
	h.Assert(h.backup.app.log, qt.HasLen, 0)
	h.Assert(h.backup.m.Status().Role, qt.Equals, NonMember)
}

// TestThawedMachineWaits: a machine that was frozen doesn't consider the others lost because it received nothing
// meanwhile: neither a backup its primary, nor a primary its backup.
func TestThawedMachineWaits(t *testing.T) {
	for _, role := range []Role{Backup, Primary} {
		h := newScriptedCore(t)
		b := h.backup
		if role == Primary {
			b = h.primary
		}
		out := b.m.Tick(h.s.clock(b) + 3*time.Second)
		h.persist(b, out)
		h.Assert(b.m.Status().Role, qt.Equals, role)
		h.Assert(b.m.candidacy, qt.IsNil)
		h.Assert(b.m.stopped(), qt.IsFalse)
	}
}

// TestOldMembersDecide: a view that removes members is decided by a majority of the previous members, not of the new
// ones.
func TestOldMembersDecide(t *testing.T) {
	h := &scriptedCore{C: qt.New(t), s: newSim(11, 5, 5, FailureTolerance{Nodes: 1})}
	s := h.s
	startAndConverge(t, s, []int{0, 1, 2, 3, 4}, 0)
	h.primary = s.healthyPrimary()
	h.view = h.primary.m.Status().View
	var unresponsive, voters []*simNode
	for _, b := range s.nodes {
		switch {
		case b == h.primary:
		case b.m.Status().Role == Witness && len(unresponsive) < 2:
			unresponsive = append(unresponsive, b)
		default:
			voters = append(voters, b)
		}
	}
	for _, b := range unresponsive {
		s.kill(b)
	}
	proposes := func() bool { return h.primary.m.candidacy != nil && h.primary.m.candidacy.phase == accepting }
	h.Assert(s.runUntil(s.now+10*time.Second, proposes), qt.IsTrue)
	h.Assert(h.primary.m.candidacy.value.Members, qt.HasLen, 3)
	accepted := Message{Kind: KindAccepted, Ballot: h.primary.m.candidacy.ballot}
	h.deliver(h.primary, voters[0], accepted)
	h.Assert(h.primary.m.Status().Epoch, qt.Equals, h.view.Epoch)
	h.deliver(h.primary, voters[1], accepted)
	h.Assert(h.primary.m.Status().Epoch, qt.Equals, h.view.Epoch+1)
	h.Assert(s.err, qt.IsNil)
}

// TestUnresponsiveMembersStay: unresponsive members are removed only if a majority would remain after the largest
// tolerated loss.
func TestUnresponsiveMembersStay(t *testing.T) {
	c := qt.New(t)
	s := newSim(11, 5, 5, FailureTolerance{Nodes: 2})
	startAndConverge(t, s, []int{0, 1, 2, 3, 4}, 0)
	p := s.healthyPrimary()
	killed := 0
	for _, b := range s.nodes {
		if b.m.Status().Role == Witness && killed < 2 {
			s.kill(b)
			killed++
		}
	}
	c.Assert(killed, qt.Equals, 2)
	s.runUntil(s.now+10*time.Second, nil)
	c.Assert(p.m.Status().View.Members, qt.HasLen, 5)
	c.Assert(s.err, qt.IsNil)
}

// TestJoinerConfirmsIdentity: a joiner is admitted only after its identity has answered a heartbeat, as its request may
// be old and the machine may have another identity by now.
func TestJoinerConfirmsIdentity(t *testing.T) {
	h := newScriptedCore(t)
	joiner := Message{Kind: KindHello, From: Member{ID: "joiner", Addr: "10.0.9.1:7000"}, Join: true}
	asked := h.persist(h.primary, h.primary.m.Step(h.s.clock(h.primary), "", &joiner))
	h.Assert(asked[len(asked)-1].Kind, qt.Equals, KindHeartbeat)
	h.Assert(h.primary.m.joining(), qt.HasLen, 0)
	answer := Message{Kind: KindHeartbeatAck, From: joiner.From, Epoch: h.view.Epoch, Round: asked[len(asked)-1].Round}
	h.persist(h.primary, h.primary.m.Step(h.s.clock(h.primary), "", &answer))
	h.Assert(h.primary.m.joining(), qt.DeepEquals, []Member{joiner.From})
}
