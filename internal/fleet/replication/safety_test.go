package replication

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hand is a core of three in step with two changes, whose backup is then driven by hand.
type hand struct {
	*qt.C
	s                        *sim
	primary, backup, witness *box
	view                     View
}

func newHand(t *testing.T) *hand {
	c := qt.New(t)
	s := newSim(11, 3, 3, Survive{Nodes: 1})
	calm(t, s, []int{0, 1, 2}, 0)
	h := &hand{C: c, s: s, primary: s.well()}
	s.writeTo(h.primary)
	s.writeTo(h.primary)
	s.runUntil(s.now+time.Second, nil)
	c.Assert(s.ackedMax, qt.Equals, uint64(2))
	h.view = h.primary.m.Status().View
	for _, b := range s.boxes {
		switch b.m.Status().Role {
		case Backup:
			h.backup = b
		case Witness:
			h.witness = b
		}
	}
	return h
}

// give hands b a message of from in the view's epoch and returns the answers, after the disk has the write.
func (h *hand) give(b, from *box, msg Message) []Message {
	msg.From, _ = h.view.member(from.disk.Identity.ID)
	msg.Epoch, msg.View = h.view.Epoch, &h.view
	return h.done(b, b.m.Receive(h.s.clock(b), "", &msg))
}

func (h *hand) done(b *box, out Output) []Message {
	save(&b.disk, out.Write)
	var ms []Message
	for _, e := range out.Send {
		ms = append(ms, e.Msg)
	}
	return ms
}

// restart begins b's next life, at the very time, without its first tick.
func (h *hand) restart(b *box) {
	b.app = &logApp{err: &h.s.err}
	m, err := New(h.s.options(b), b.disk, b.app)
	h.Assert(err, qt.IsNil)
	b.m, b.started = m, h.s.now
}

// suspect lets b hear nothing until it proposes itself, a second at most, and returns what it sends then.
func (h *hand) suspect(b *box) []Message {
	for range 10 { // in steps, so that it doesn't take itself for frozen
		h.s.now += 100 * ms
		if sent := h.done(b, b.m.Tick(h.s.clock(b))); b.m.cand != nil {
			return sent
		}
	}
	return nil
}

func (h *hand) beat() Message {
	return Message{Kind: KindBeat, Round: 99, Seq: 2, Digest: h.primary.m.digest, Committed: 2}
}

func TestStoppedBackupDoesNotAnswer(t *testing.T) {
	h := newHand(t)
	ack := h.give(h.backup, h.primary, h.beat())
	h.Assert(ack[0].Step, qt.IsTrue)
	h.Assert(ack[0].Round, qt.Equals, uint64(99))
	sent := h.suspect(h.backup)
	h.Assert(sent[0].Kind, qt.Equals, KindPrepare)
	third := Change{Seq: 3, Body: []byte("3")}
	third.Digest = Chain(h.primary.m.digest, 3, third.Body)
	for range 2 { // before and after a restart
		for _, msg := range []Message{
			h.beat(),
			{Kind: KindAppend, Seq: 2, Digest: h.primary.m.digest, Changes: []Change{third}},
			{Kind: KindSnapshot, Seq: 3, Digest: third.Digest, Body: []byte("w1\nw2\n3")},
		} {
			ack = h.give(h.backup, h.primary, msg)
			ack = ack[len(ack)-1:]
			h.Assert(ack[0].Kind, qt.Equals, KindBeatAck)
			h.Assert(ack[0].Step, qt.IsFalse)
			h.Assert(ack[0].Stopped, qt.IsTrue)
			h.Assert(ack[0].Seq, qt.Equals, uint64(2))
		}
		h.restart(h.backup)
	}
}

func TestLateSnapshotIsNotTaken(t *testing.T) {
	h := newHand(t)
	for range 2 {
		ack := h.give(h.backup, h.primary, Message{
			Kind: KindSnapshot, Seq: 1, Digest: Chain(0, 1, []byte("w1")), Body: []byte("w1"),
		})
		h.Assert(ack[len(ack)-1].Seq, qt.Equals, uint64(2))
		h.Assert(h.backup.app.log, qt.HasLen, 2)
		h.restart(h.backup)
	}
}

func TestAcceptedValueIsProposed(t *testing.T) {
	h := newHand(t)
	sent := h.suspect(h.backup)
	value := h.view
	value.Epoch++
	value.Backups = []ID{h.witness.disk.Identity.ID}
	sent = h.give(h.backup, h.witness, Message{
		Kind: KindPromise, Ballot: sent[0].Ballot, Accepted: Ballot{N: 1, ID: "x"}, Value: &value,
	})
	h.Assert(sent[0].Kind, qt.Equals, KindAccept)
	h.Assert(*sent[0].Value, qt.DeepEquals, value)
}

// TestStagedBeforeProposed: the coming backup has the record on its disk before its view is proposed, whether it is brought
// all of it, as its own record isn't a part of the proposer's, or the changes that it lacks.
func TestStagedBeforeProposed(t *testing.T) {
	h := newHand(t)
	stagedBeforeProposed(h, Message{Kind: KindPromise, Seq: 1, Digest: 99}, KindStage)
	h.Assert(string(h.witness.disk.Snapshot.Body), qt.Equals, "w1\nw2")
	h = newHand(t)
	stagedBeforeProposed(h, Message{Kind: KindPromise}, KindStageChanges)
	h.Assert(h.witness.disk.Snapshot, qt.IsNil)
	h.Assert(h.witness.disk.Changes, qt.DeepEquals, h.backup.disk.Changes)
}

func stagedBeforeProposed(h *hand, promise Message, by Kind) {
	h.Helper()
	ballot := h.suspect(h.backup)[0].Ballot
	promise.Ballot = ballot
	sent := h.give(h.backup, h.witness, promise)
	h.Assert(sent, qt.HasLen, 1)
	h.Assert(sent[0].Kind, qt.Equals, by)
	staged := h.give(h.witness, h.backup, sent[0])
	h.Assert(staged[0].Kind, qt.Equals, KindStaged)
	h.Assert(h.witness.disk.Standing.RecordEpoch, qt.Equals, h.view.Epoch)
	sent = h.give(h.backup, h.witness, staged[0])
	h.Assert(sent[0].Kind, qt.Equals, KindAccept)
	h.Assert(sent[0].Value.Backups, qt.DeepEquals, []ID{h.witness.disk.Identity.ID})
	sent = h.give(h.backup, h.witness, Message{Kind: KindAccepted, Ballot: ballot})
	h.Assert(h.backup.disk.View.Epoch, qt.Equals, h.view.Epoch+1)
	h.Assert(h.backup.m.Status().Role, qt.Equals, Primary)
	h.Assert(h.backup.m.Status().Ready, qt.IsFalse) // not before the backup is in step
}

func TestPromisesAreKept(t *testing.T) {
	h := newHand(t)
	w := h.witness
	id := h.backup.disk.Identity.ID
	value := h.view
	value.Epoch++
	high, low := Ballot{N: 50, ID: id}, Ballot{N: 40, ID: id}
	sent := h.give(w, h.backup, Message{Kind: KindPrepare, Ballot: high})
	h.Assert(sent[0].Kind, qt.Equals, KindPromise)
	for range 2 {
		sent = h.give(w, h.backup, Message{Kind: KindPrepare, Ballot: low})
		h.Assert(sent[len(sent)-1].Kind, qt.Equals, KindRefuse)
		h.Assert(sent[len(sent)-1].Ballot, qt.Equals, high)
		sent = h.give(w, h.backup, Message{Kind: KindAccept, Ballot: low, Value: &value})
		h.Assert(sent[0].Kind, qt.Equals, KindRefuse)
		h.restart(w)
	}
	sent = h.give(w, h.backup, Message{Kind: KindAccept, Ballot: high, Value: &value})
	h.Assert(sent[len(sent)-1].Kind, qt.Equals, KindAccepted)
	h.restart(w)
	for n := range uint64(2) {
		sent = h.give(w, h.backup, Message{Kind: KindPrepare, Ballot: Ballot{N: 60 + n, ID: id}})
		promise := sent[len(sent)-1]
		h.Assert(promise.Kind, qt.Equals, KindPromise)
		h.Assert(promise.Accepted, qt.Equals, high)
		h.Assert(*promise.Value, qt.DeepEquals, value)
		h.restart(w)
	}
	// Who is no member has no say.
	stranger := Message{
		Kind: KindPrepare, From: Member{ID: "stranger", Addr: "10.0.8.8:7000"}, Epoch: h.view.Epoch,
		Ballot: Ballot{N: 99, ID: "stranger"},
	}
	h.Assert(h.done(w, w.m.Receive(h.s.clock(w), "", &stranger)), qt.HasLen, 0)
}

// TestOldRecordHasNoSay: a machine that the view names, but whose record is of an older epoch, neither acknowledges nor
// proposes.
func TestOldRecordHasNoSay(t *testing.T) {
	h := newHand(t)
	h.backup.disk.Standing = Standing{}
	h.restart(h.backup)
	sent := h.give(h.backup, h.primary, h.beat())
	h.Assert(sent[len(sent)-1].Step, qt.IsFalse)
	h.Assert(sent[len(sent)-1].Holder, qt.IsFalse)
	for _, msg := range h.suspect(h.backup) {
		h.Assert(msg.Kind, qt.Not(qt.Equals), KindPrepare)
	}
	h.Assert(h.backup.m.cand, qt.IsNil)
}

// TestSlowBackupIsReplaced: a backup that beats but doesn't acknowledge is left out within bounds, and the write
// that waited for it commits in the next view.
func TestSlowBackupIsReplaced(t *testing.T) {
	h := newHand(t)
	s := h.s
	h.backup.slow = s.now + time.Hour
	h.backup.diskFree = s.now + 30*time.Second
	s.writeTo(h.primary)
	began := s.now
	h.Assert(s.runUntil(began+5*time.Second, func() bool { return s.ackedMax == 3 }), qt.IsTrue)
	h.Assert(h.primary.m.Status().Epoch > h.view.Epoch, qt.IsTrue)
	h.Assert(s.err, qt.IsNil)
}

// TestTakeover: with the primary gone, another is ready within its time-out and some beats.
func TestTakeover(t *testing.T) {
	h := newHand(t)
	s := h.s
	s.kill(h.primary)
	began := s.now
	h.Assert(s.runUntil(began+5*time.Second, func() bool { return s.leader() != nil }), qt.IsTrue)
	h.Assert(s.now-began < time.Second, qt.IsTrue, qt.Commentf("%v", s.now-began))
}

// TestFrozenPrimary: a primary that wakes after another took over answers nothing of its old view.
func TestFrozenPrimary(t *testing.T) {
	h := newHand(t)
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
	for _, a := range h.primary.m.Receive(s.clock(h.primary), "", &Message{
		Kind: KindView, From: h.backup.m.self(), Epoch: next.Epoch, View: &next,
	}).Answer {
		results = append(results, a.Result)
	}
	h.Assert(results, qt.DeepEquals, []Result{LostPrimacy, LostPrimacy})
	h.Assert(h.primary.m.Status().Role, qt.Not(qt.Equals), Primary)
}
