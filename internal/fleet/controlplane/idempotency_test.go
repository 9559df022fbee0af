package controlplane

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"
	"pgregory.net/rapid"
)

// proposed is the result of judged for a call without a verdict, which is to be proposed.
const proposed = 0

// judged returns the status of the verdict on a call.
func judged(r *controlState, call *Command) int {
	if v := r.judge(call); v != nil {
		return v.status
	}
	return proposed
}

// updateCommand returns an update that only changes the version.
func updateCommand(base, version int64) *Command {
	return &Command{Base: base, Body: fmt.Appendf(nil, `{"ver":%d}`, version)}
}

// accept checks that a call is to be proposed, and applies it.
func accept(tb testing.TB, r *controlState, call *Command) {
	tb.Helper()
	qt.Assert(tb, judged(r, call), qt.Equals, proposed, qt.Commentf("%d %s", call.Base, call.Body))
	apply(tb, r, call)
}

// apply applies a call to a state.
func apply(tb testing.TB, r *controlState, call *Command) {
	tb.Helper()
	b, err := call.MarshalMsg(nil)
	qt.Assert(tb, err, qt.IsNil)
	r.Apply(r.seq+1, b)
	r.takeCommitted(r.seq)
}

// acceptMore has a state accept n changes that raise the version by one each.
func acceptMore(tb testing.TB, r *controlState, n int) {
	tb.Helper()
	for range n {
		apply(tb, r, updateCommand(r.doc.Version(), r.doc.Version()+1))
	}
}

// restored returns a state restored from the snapshot of another.
func restored(tb testing.TB, r *controlState) *controlState {
	tb.Helper()
	next := &controlState{}
	qt.Assert(tb, next.Restore(r.seq, r.Snapshot()), qt.IsNil)
	return next
}

// storedBy returns the decoded snapshot of a state.
func storedBy(tb rapid.TB, r *controlState) (s StoredState) {
	tb.Helper()
	if _, err := s.UnmarshalMsg(r.Snapshot()); err != nil {
		tb.Fatal(err)
	}
	return s
}

// fromStored returns a state restored from a snapshot.
func fromStored(tb rapid.TB, seq uint64, s *StoredState) *controlState {
	tb.Helper()
	b, err := s.MarshalMsg(nil)
	if err != nil {
		tb.Fatal(err)
	}
	r := &controlState{}
	if err := r.Restore(seq, b); err != nil {
		tb.Fatal(err)
	}
	return r
}

// TestVerdicts checks the answer to a change on each kind of base, also after a restore.
func TestVerdicts(t *testing.T) {
	r := &controlState{}
	first, second, third := replaceCommand(0, "5", "a"), replaceCommand(5, "7", "a"), updateCommand(7, 12)
	for _, call := range []*Command{first, second, third} {
		accept(t, r, call)
	}
	asReplace := func(c *Command) *Command { return &Command{Replace: !c.Replace, Base: c.Base, Body: c.Body} }
	for _, tc := range []struct {
		name string
		call *Command
		want int
	}{
		{"the first change again", first, http.StatusOK},
		{"a change in the middle again", second, http.StatusOK},
		{"the newest change again", third, http.StatusOK},
		{"other content under the same number", replaceCommand(5, "7", "b"), http.StatusPreconditionFailed},
		{"another number on the same base", replaceCommand(5, "9", "a"), http.StatusPreconditionFailed},
		{"the same content on the base before", replaceCommand(0, "7", "a"), http.StatusPreconditionFailed},
		{"the same content on a skipped base", replaceCommand(6, "7", "a"), http.StatusPreconditionFailed},
		{"the same content on the newest base", replaceCommand(12, "7", "a"), http.StatusBadRequest},
		{"the same body as another operation", asReplace(third), http.StatusPreconditionFailed},
		{"an invalid change on an older base", &Command{Base: 5, Body: []byte("{")}, http.StatusPreconditionFailed},
		{"an invalid change on the newest base", &Command{Base: 12, Body: []byte("{")}, http.StatusBadRequest},
		{"a change on a base that is not reached", updateCommand(13, 14), http.StatusServiceUnavailable},
		{"a new change", updateCommand(12, 13), proposed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, judged(r, tc.call), qt.Equals, tc.want)
			qt.Check(t, judged(restored(t, r), tc.call), qt.Equals, tc.want, qt.Commentf("after a snapshot"))
		})
	}
}

// TestResubmittedAfterManyChanges checks that a change resubmitted after thousands of others is acknowledged again. If
// it is older than all remembered changes the answer is 503, also for another change on its base.
func TestResubmittedAfterManyChanges(t *testing.T) {
	qt.Assert(t, maxRemembered >= 4096, qt.IsTrue)
	r := &controlState{}
	first, conflicting := replaceCommand(0, "5", "a"), replaceCommand(0, "5", "b")
	accept(t, r, first)
	after := 0
	for _, upTo := range []int{1, 63, 64, 200, 1000, 4095, maxRemembered - 1} {
		acceptMore(t, r, upTo-after)
		after = upTo
		for _, one := range []*controlState{r, restored(t, r)} {
			qt.Check(t, judged(one, first), qt.Equals, http.StatusOK, qt.Commentf("after %d changes", upTo))
			qt.Check(t, judged(one, conflicting), qt.Equals, http.StatusPreconditionFailed, qt.Commentf("after %d changes", upTo))
		}
	}
	acceptMore(t, r, 1)
	for _, one := range []*controlState{r, restored(t, r)} {
		for _, call := range []*Command{first, conflicting, updateCommand(4, 5), {Base: 0, Body: []byte("{")}} {
			qt.Check(t, judged(one, call), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%d %s", call.Base, call.Body))
		}
		qt.Check(t, judged(one, updateCommand(5, 6)), qt.Equals, http.StatusOK)
		qt.Check(t, judged(one, updateCommand(5, 7)), qt.Equals, http.StatusPreconditionFailed)
	}
	acceptMore(t, r, 3*maxRemembered)
	qt.Check(t, r.accepted.versions, qt.HasLen, maxRemembered)
	qt.Check(t, cap(r.accepted.versions) <= 2*maxRemembered, qt.IsTrue, qt.Commentf("%d", cap(r.accepted.versions)))
	qt.Check(t, judged(r, updateCommand(5, 6)), qt.Equals, http.StatusServiceUnavailable)
	oldest := r.accepted.oldestBase
	qt.Check(t, judged(r, updateCommand(oldest, oldest+1)), qt.Equals, http.StatusOK)
	qt.Check(t, judged(r, updateCommand(oldest-1, oldest)), qt.Equals, http.StatusServiceUnavailable)
}

// TestRememberedBytes checks that the remembered changes stay within their size bound in a snapshot, also with the
// longest versions.
func TestRememberedBytes(t *testing.T) {
	a := acceptedChanges{}
	for i := range int64(maxRemembered + 10) {
		a.add(1<<62+i, ^uint64(i))
	}
	var s StoredState
	a.store(&s)
	b, err := s.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	empty, err := (&StoredState{}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	const oldestBase, arrayHeads = 2 + 9, 2 * 2
	qt.Check(t, len(b)-len(empty) <= rememberedBytes+oldestBase+arrayHeads, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// TestOlderBuildsSnapshot checks that the snapshot of a build that didn't store the oldest base is read, and that no
// change is rejected that may have been accepted before it.
func TestOlderBuildsSnapshot(t *testing.T) {
	r := &controlState{}
	first, second, third := replaceCommand(0, "5", "a"), replaceCommand(5, "7", "a"), updateCommand(7, 12)
	for _, call := range []*Command{first, second, third} {
		accept(t, r, call)
	}
	older := storedBy(t, r)
	older.OldestBase = nil
	older.Versions, older.Digests = older.Versions[1:], older.Digests[1:]
	back := fromStored(t, r.seq, &older)
	for range 2 {
		for _, tc := range []struct {
			call *Command
			want int
		}{
			{first, http.StatusServiceUnavailable},
			{second, http.StatusOK},
			{replaceCommand(5, "7", "b"), http.StatusServiceUnavailable},
			{third, http.StatusOK},
			{updateCommand(7, 13), http.StatusPreconditionFailed},
			{updateCommand(12, 13), proposed},
		} {
			qt.Check(t, judged(back, tc.call), qt.Equals, tc.want, qt.Commentf("%d %s", tc.call.Base, tc.call.Body))
		}
		back = restored(t, back)
	}
	acceptMore(t, back, maxRemembered-1)
	qt.Check(t, judged(back, third), qt.Equals, http.StatusOK)
	qt.Check(t, judged(back, second), qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, back.accepted.oldestBase, qt.Equals, int64(7), qt.Commentf("known, as the change before was"))

	// Even older builds stored no accepted changes.
	older.Versions, older.Digests = nil, nil
	back = fromStored(t, r.seq, &older)
	for _, call := range []*Command{first, second, third} {
		qt.Check(t, judged(back, call), qt.Equals, http.StatusServiceUnavailable)
	}
	qt.Check(t, judged(back, updateCommand(12, 13)), qt.Equals, proposed)
	acceptMore(t, back, 1)
	qt.Check(t, judged(back, updateCommand(12, 13)), qt.Equals, http.StatusOK)
	qt.Check(t, judged(back, third), qt.Equals, http.StatusServiceUnavailable)

	// A build that stores more changes than this one.
	more := storedBy(t, r)
	more.Versions, more.Digests = nil, nil
	for i := range int64(maxRemembered + 7) {
		more.Versions, more.Digests = append(more.Versions, i+1), append(more.Digests, uint64(i))
	}
	more.Document = []byte(fmt.Sprintf(`{"ver":%d,"routing":[],"svcs":[{"name":"s"}]}`, maxRemembered+7))
	back = fromStored(t, r.seq, &more)
	qt.Check(t, back.accepted.versions, qt.HasLen, maxRemembered)
	qt.Check(t, back.accepted.oldestBase, qt.Equals, int64(7))
}

// TestOlderBuildsRead checks that older builds find the document, the versions and the digests under the keys they
// expect.
func TestOlderBuildsRead(t *testing.T) {
	r := &controlState{}
	accept(t, r, replaceCommand(0, "5", "a"))
	accept(t, r, updateCommand(5, 6))
	fields, _, err := msgp.ReadMapStrIntfBytes(r.Snapshot(), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fields["d"], qt.DeepEquals, any(r.doc.Show()))
	qt.Check(t, fields["v"], qt.DeepEquals, any([]any{int64(5), int64(6)}))
	qt.Check(t, fields["x"], qt.DeepEquals, any([]any{r.accepted.digests[0], r.accepted.digests[1]}))
}

// TestDamagedSnapshot checks that a snapshot with inconsistent remembered changes is rejected, and that the state stays
// unchanged.
func TestDamagedSnapshot(t *testing.T) {
	r := &controlState{}
	accept(t, r, replaceCommand(0, "5", "a"))
	accept(t, r, updateCommand(5, 6))
	before, seq := r.Snapshot(), r.seq
	for _, tc := range []struct {
		name   string
		damage func(s *StoredState)
		want   string
	}{
		{
			"a digest is missing",
			func(s *StoredState) { s.Digests = s.Digests[:1] },
			"record: the accepted changes have unequal numbers of versions and digests",
		},
		{
			"the newest is missing",
			func(s *StoredState) { s.Versions, s.Digests = s.Versions[:1], s.Digests[:1] },
			"record: the versions of .* are inconsistent",
		},
		{
			"versions fall",
			func(s *StoredState) { slices.Reverse(s.Versions) },
			"record: the versions of .* are inconsistent",
		},
		{
			"the base is not below",
			func(s *StoredState) { s.OldestBase = &s.Versions[0] },
			"record: the versions of .* are inconsistent",
		},
		{"the document is damaged", func(s *StoredState) { s.Document = s.Document[1:] }, "record: configuration: .*"},
		{"the residency is damaged", func(s *StoredState) { s.Residency = []byte{0} }, "record: .*"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := storedBy(t, r)
			tc.damage(&s)
			b, err := s.MarshalMsg(nil)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, r.Restore(9, b), qt.ErrorMatches, tc.want)
			qt.Check(t, r.seq, qt.Equals, seq)
			qt.Check(t, r.Snapshot(), qt.DeepEquals, before)
		})
	}
}

// TestLostLogTail checks that a change that was applied but lost with the end of the log is proposed again, unless
// another change was accepted on its base.
func TestLostLogTail(t *testing.T) {
	r := &controlState{}
	accept(t, r, replaceCommand(0, "5", "a"))
	committed, seq := r.Snapshot(), r.seq
	lost, after := updateCommand(5, 6), updateCommand(6, 7)
	accept(t, r, lost)
	accept(t, r, after)
	v := r.judge(lost)
	qt.Assert(t, v.status, qt.Equals, http.StatusOK)
	qt.Assert(t, v.seq, qt.Equals, r.seq, qt.Commentf("withheld until the state is committed"))
	qt.Assert(t, r.Restore(seq, committed), qt.IsNil)
	qt.Check(t, judged(r, after), qt.Equals, http.StatusServiceUnavailable,
		qt.Commentf("acceptable once the previous change is resubmitted"))
	qt.Check(t, judged(r, lost), qt.Equals, proposed)
	accept(t, r, replaceCommand(5, "8", "b"))
	qt.Check(t, judged(r, lost), qt.Equals, http.StatusPreconditionFailed)
	qt.Check(t, judged(r, after), qt.Equals, http.StatusPreconditionFailed)
}
