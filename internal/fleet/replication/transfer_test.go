package replication

import (
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"
)

// smallChunk is a chunk size in bytes with which a record of two changes needs several chunks.
const smallChunk = 2

// TestSearchChunks checks the rules in every reachable state when records of two or more changes are sent in several
// chunks.
func TestSearchChunks(t *testing.T) {
	for _, sh := range []shape{
		{
			name:       "three writes, snapshots and a takeover",
			members:    3,
			small:      true,
			chunkBytes: smallChunk,
			budget:     budget{writes: 2, waits: 1},
			want:       reach{led: 2, acked: 2},
		},
		{
			name:       "a write, a takeover and a lost disk",
			members:    3,
			small:      true,
			chunkBytes: smallChunk,
			budget:     budget{writes: 1, waits: 1, wipes: 1},
			want:       reach{led: 2, acked: 2, joined: true, wipes: 1},
		},
		{
			name:       "a write, a takeover and a restart",
			members:    3,
			small:      true,
			chunkBytes: smallChunk,
			budget:     budget{writes: 1, waits: 1, crashes: 1},
			want:       reach{led: 2, acked: 2},
		},
	} {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			search(t, sh)
		})
	}
}

// chunked returns the messages in which a primary sends a record to its backup.
func chunked(h *scriptedCore, body string, chunkBytes int) []Message {
	var chunks []Message
	seq, digest := uint64(9), uint64(99)
	for at := 0; at < len(body); at += chunkBytes {
		chunks = append(chunks, Message{
			Kind: KindSnapshot, Seq: seq, Digest: digest, Checksum: xxhash.Sum64String(body), Total: uint64(len(body)),
			Offset: uint64(at), Body: []byte(body[at:min(at+chunkBytes, len(body))]),
		})
	}
	return chunks
}

// nineChanges is a record of nine changes in the encoding of logApp.
const nineChanges = "a\nb\nc\nd\ne\nf\ng\nh\ni"

// TestDamagedRecord: a record that was corrupted in transit is rejected; it is installed when sent again undamaged.
func TestDamagedRecord(t *testing.T) {
	h := newScriptedCore(t)
	chunks := chunked(h, nineChanges, 6)
	damaged := slices.Clone(chunks)
	damaged[1].Body = []byte("cXdYeZ")
	for _, msg := range damaged {
		sent := h.deliver(h.backup, h.primary, msg)
		h.Assert(sent, qt.HasLen, 1)
		h.Assert(sent[0].Kind, qt.Equals, KindTransferAck)
	}
	h.Assert(h.backup.m.Status().Seq, qt.Equals, uint64(2))
	h.Assert(strings.Join(h.backup.app.log, ","), qt.Equals, "w1,w2")
	for i, msg := range chunks {
		sent := h.deliver(h.backup, h.primary, msg)
		if i < len(chunks)-1 {
			h.Assert(sent[0].Kind, qt.Equals, KindTransferAck)
			h.Assert(sent[0].Offset, qt.Equals, msg.Offset+uint64(len(msg.Body)))
			continue
		}
		h.Assert(sent[0].Kind, qt.Equals, KindHeartbeatAck)
		h.Assert(sent[0].Seq, qt.Equals, uint64(9))
	}
	h.Assert(string(h.backup.disk.Snapshot.Body), qt.Equals, nineChanges)
}

// TestChunksInAnyOrder: a record is assembled from chunks that are duplicated, late or out of order, and is complete
// only once all chunks were received.
func TestChunksInAnyOrder(t *testing.T) {
	for seed := range uint64(200) {
		h := &scriptedCore{C: qt.New(t)}
		r := rand.New(rand.NewPCG(seed, 1))
		chunks := chunked(h, nineChanges, 1+int(seed%7))
		a := assembly{total: len(nineChanges)}
		for steps := 0; len(a.body) < a.total; steps++ {
			h.Assert(steps < 10_000, qt.IsTrue)
			msg := chunks[r.IntN(len(chunks))]
			a.add(int(msg.Offset), msg.Body)
			h.Assert(string(a.body), qt.Equals, nineChanges[:len(a.body)])
		}
	}
}

// TestLostChunks: a transfer completes although every third message is lost, if it is a chunk.
func TestLostChunks(t *testing.T) {
	c := qt.New(t)
	core := newSlowLinkCore(c, 3, FailureTolerance{Nodes: 1}, 400_000)
	sent := 0
	core.lost = func(msg *Message) bool {
		sent++
		return msg.Total > 0 && sent%3 == 0
	}
	core.startWithLoad(0)
}

// TestLogIsKeptForRecord: a machine that lost its disk receives the record and catches up, although the log would be
// compacted several times during the transfer.
func TestLogIsKeptForRecord(t *testing.T) {
	c := qt.New(t)
	const size = 6_000_000
	core := startSlowLinkCoreWith(
		c, 3, FailureTolerance{Nodes: 1}, size, 40_000,
	) // 4.8 s on the link; 100 changes or 4 s in the log
	n, primary := core.byRole(Witness), core.primary()
	n.wipeAndRejoin()
	sent := primary.sent
	near := func() bool { return n.durableSeq()+20 > core.acked }
	c.Assert(core.runUntil(10*time.Second, near), qt.IsTrue, qt.Commentf("%s", core.describe()))
	core.runUntil(20*time.Second, func() bool { return false })
	c.Assert(near(), qt.IsTrue, qt.Commentf("%s", core.describe()))
	c.Assert(primary.sent-sent < 2*size, qt.IsTrue, qt.Commentf("%d bytes were sent", primary.sent-sent))
}

// TestPartialChangesMakeNoHolder: a machine that received only some of the changes that it lacks, or changes that don't
// follow its record, doesn't report itself as staged.
func TestPartialChangesMakeNoHolder(t *testing.T) {
	h := newScriptedCore(t)
	ballot := h.timeOutPrimary(h.backup)[0].Ballot
	all := h.backup.disk.Changes
	h.Assert(all, qt.HasLen, 2)
	held := h.witness.disk.Replica.RecordEpoch
	notStaged := func(msg Message) {
		h.Helper()
		msg.Kind, msg.Ballot = KindStageChanges, ballot
		sent := h.deliver(h.witness, h.backup, msg)
		h.Assert(sent, qt.HasLen, 1)
		h.Assert(sent[0].Kind, qt.Equals, KindTransferAck)
		h.Assert(sent[0].Seq, qt.Equals, h.witness.m.Status().Seq)
		h.Assert(h.witness.disk.Replica.RecordEpoch, qt.Equals, held)
	}
	seq := h.witness.m.Status().Seq
	notStaged(Message{Seq: 7, Digest: 7, Total: 2})
	notStaged(Message{Seq: seq, Digest: h.witness.m.log.digest, Changes: all[seq:], Total: 3})
	sent := h.deliver(
		h.witness, h.backup,
		Message{Kind: KindStageChanges, Ballot: ballot, Seq: all[1].Seq, Digest: all[1].Digest, Total: 2},
	)
	h.Assert(sent[0].Kind, qt.Equals, KindStaged)
	h.Assert(h.witness.disk.Replica.RecordEpoch, qt.Equals, h.view.Epoch)
}

// TestStagedRecordStays: once a proposer's record is staged, a late snapshot of the primary, which may be shorter,
// doesn't replace it.
func TestStagedRecordStays(t *testing.T) {
	h := newScriptedCore(t)
	stagedBeforeProposed(h, Message{Kind: KindPromise, Seq: 1, Digest: 99}, KindStage)
	h = newScriptedCore(t)
	ballot := h.timeOutPrimary(h.backup)[0].Ballot
	staged := h.deliver(
		h.witness, h.backup, Message{Kind: KindStage, Ballot: ballot, Seq: 3, Digest: 33, Body: []byte("w1\nw2\nx")},
	)
	h.Assert(staged[0].Kind, qt.Equals, KindStaged)
	h.deliver(
		h.witness, h.primary,
		Message{Kind: KindSnapshot, Seq: 2, Digest: h.primary.m.log.digest, Body: []byte("w1\nw2")},
	)
	h.Assert(strings.Join(h.witness.app.log, ","), qt.Equals, "w1,w2,x")
	h.Assert(h.witness.disk.Replica.RecordEpoch, qt.Equals, h.view.Epoch)
}

// TestNearLearnerIsPreferred: of two candidates for backup the one that has caught up as a learner is chosen, and
// changes are acknowledged again within 1.5 s.
func TestNearLearnerIsPreferred(t *testing.T) {
	c := qt.New(t)
	core := startSlowLinkCore(c, 4, FailureTolerance{Nodes: 1}, recordBytes)
	core.runUntil(10*time.Second, func() bool { return false }) // all witnesses catch up as learners
	core.byRole(Witness).wipeAndRejoin()                        // the first one has to start over
	acked := core.acked
	core.longestGap, core.ackedAt = 0, core.now
	core.byRole(Backup).stop()
	c.Assert(
		core.runUntil(10*time.Second, func() bool { return core.acked >= acked+10 }), qt.IsTrue,
		qt.Commentf("%s", core.describe()),
	)
	t.Logf("no acknowledgement for %v", core.longestGap)
	c.Check(core.longestGap < 1500*ms, qt.IsTrue, qt.Commentf("%v", core.longestGap))
}

// TestStagedRecordIsCurrent: a primary proposes a view while it is transferring an older image to a learner. It stages
// its record up to the stop, not the older image, which lacks acknowledged changes.
func TestStagedRecordIsCurrent(t *testing.T) {
	h := newScriptedCore(t)
	m := h.primary.m
	old := &image{seq: 1, digest: ChainDigest(0, 1, []byte("w1")), checksum: 1, body: []byte("w1")}
	h.Assert(m.reachableFrom(old), qt.IsTrue)
	m.transfers.image, m.transfers.outgoing["learner"] = old, &transfer{kind: KindSnapshot, image: old}
	before := m.Status()
	m.beginInput(h.s.clock(h.primary))
	m.campaign()
	h.persist(h.primary, m.endInput(before))
	h.Assert(m.stopped(), qt.IsTrue)
	var staged []Message
	// Neither machine is a holder or has a prefix of the primary's record.
	for _, b := range []*simNode{h.backup, h.witness} {
		staged = append(
			staged,
			h.deliver(h.primary, b, Message{Kind: KindPromise, Ballot: m.candidacy.ballot, Seq: 1, Digest: 99})...,
		)
	}
	staged = slices.DeleteFunc(staged, func(msg Message) bool { return msg.Kind != KindStage })
	h.Assert(len(staged) > 0, qt.IsTrue)
	for _, msg := range staged {
		h.Assert(msg.Seq, qt.Equals, uint64(2))
		h.Assert(string(msg.Body), qt.Equals, "w1\nw2")
	}
}
