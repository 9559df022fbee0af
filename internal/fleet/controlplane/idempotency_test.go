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

// proposed stands for a call that judge would have proposed.
const proposed = 0

// judged is the status of the verdict on a call.
func judged(r *record, call *Call) int {
	if v := r.judge(call); v != nil {
		return v.status
	}
	return proposed
}

// nextVersion is an update that changes the version alone.
func nextVersion(base, version int64) *Call {
	return &Call{Base: base, Body: fmt.Appendf(nil, `{"ver":%d}`, version)}
}

// accept has a record accept a call.
func accept(tb testing.TB, r *record, call *Call) {
	tb.Helper()
	qt.Assert(tb, judged(r, call), qt.Equals, proposed, qt.Commentf("%d %s", call.Base, call.Body))
	apply(tb, r, call)
}

// apply has a record apply a call.
func apply(tb testing.TB, r *record, call *Call) {
	tb.Helper()
	b, err := call.MarshalMsg(nil)
	qt.Assert(tb, err, qt.IsNil)
	r.Apply(r.seq+1, b)
	r.settle(r.seq)
}

// acceptMore has a record accept n changes that raise the version by one each.
func acceptMore(tb testing.TB, r *record, n int) {
	tb.Helper()
	for range n {
		apply(tb, r, nextVersion(r.doc.Version(), r.doc.Version()+1))
	}
}

// restored is a record that was read from the snapshot of another.
func restored(tb testing.TB, r *record) *record {
	tb.Helper()
	next := &record{}
	qt.Assert(tb, next.Restore(r.seq, r.Snapshot()), qt.IsNil)
	return next
}

// storedBy is the decoded snapshot of a record.
func storedBy(tb testing.TB, r *record) (s Stored) {
	tb.Helper()
	_, err := s.UnmarshalMsg(r.Snapshot())
	qt.Assert(tb, err, qt.IsNil)
	return s
}

// fromStored is a record read from a snapshot.
func fromStored(tb testing.TB, seq uint64, s *Stored) *record {
	tb.Helper()
	b, err := s.MarshalMsg(nil)
	qt.Assert(tb, err, qt.IsNil)
	r := &record{}
	qt.Assert(tb, r.Restore(seq, b), qt.IsNil)
	return r
}

// TestVerdicts: who is told what of a change on each kind of base, also after a snapshot.
func TestVerdicts(t *testing.T) {
	r := &record{}
	first, second, third := orderOf(0, "5", "a"), orderOf(5, "7", "a"), nextVersion(7, 12)
	for _, call := range []*Call{first, second, third} {
		accept(t, r, call)
	}
	asReplace := func(c *Call) *Call { return &Call{Replace: !c.Replace, Base: c.Base, Body: c.Body} }
	for _, tc := range []struct {
		name string
		call *Call
		want int
	}{
		{"the first change again", first, http.StatusOK},
		{"a change in the middle again", second, http.StatusOK},
		{"the newest change again", third, http.StatusOK},
		{"other content under the same number", orderOf(5, "7", "b"), http.StatusPreconditionFailed},
		{"another number on the same base", orderOf(5, "9", "a"), http.StatusPreconditionFailed},
		{"the same content on the base before", orderOf(0, "7", "a"), http.StatusPreconditionFailed},
		{"the same content on a base that was passed over", orderOf(6, "7", "a"), http.StatusPreconditionFailed},
		{"the same content on the newest base", orderOf(12, "7", "a"), http.StatusBadRequest},
		{"the same body as another operation", asReplace(third), http.StatusPreconditionFailed},
		{"an invalid change on an older base", &Call{Base: 5, Body: []byte("{")}, http.StatusPreconditionFailed},
		{"an invalid change on the newest base", &Call{Base: 12, Body: []byte("{")}, http.StatusBadRequest},
		{"a change on a base that is not reached", nextVersion(13, 14), http.StatusServiceUnavailable},
		{"a new change", nextVersion(12, 13), proposed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			qt.Check(t, judged(r, tc.call), qt.Equals, tc.want)
			qt.Check(t, judged(restored(t, r), tc.call), qt.Equals, tc.want, qt.Commentf("after a snapshot"))
		})
	}
}

// TestSentAgainMuchLater: a change that comes again after thousands of others is acknowledged again; one that lies before all that
// is remembered gets no clear answer, and neither does another one on its base.
func TestSentAgainMuchLater(t *testing.T) {
	qt.Assert(t, maxRemembered >= 4096, qt.IsTrue)
	r := &record{}
	first, rival := orderOf(0, "5", "a"), orderOf(0, "5", "b")
	accept(t, r, first)
	after := 0
	for _, upTo := range []int{1, 63, 64, 200, 1000, 4095, maxRemembered - 1} {
		acceptMore(t, r, upTo-after)
		after = upTo
		for _, one := range []*record{r, restored(t, r)} {
			qt.Check(t, judged(one, first), qt.Equals, http.StatusOK, qt.Commentf("after %d changes", upTo))
			qt.Check(t, judged(one, rival), qt.Equals, http.StatusPreconditionFailed, qt.Commentf("after %d changes", upTo))
		}
	}
	acceptMore(t, r, 1)
	for _, one := range []*record{r, restored(t, r)} {
		for _, call := range []*Call{first, rival, nextVersion(4, 5), {Base: 0, Body: []byte("{")}} {
			qt.Check(t, judged(one, call), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%d %s", call.Base, call.Body))
		}
		qt.Check(t, judged(one, nextVersion(5, 6)), qt.Equals, http.StatusOK)
		qt.Check(t, judged(one, nextVersion(5, 7)), qt.Equals, http.StatusPreconditionFailed)
	}
	acceptMore(t, r, 3*maxRemembered)
	qt.Check(t, r.accepted.versions, qt.HasLen, maxRemembered)
	qt.Check(t, cap(r.accepted.versions) <= 2*maxRemembered, qt.IsTrue, qt.Commentf("%d", cap(r.accepted.versions)))
	qt.Check(t, judged(r, nextVersion(5, 6)), qt.Equals, http.StatusServiceUnavailable)
	oldest := r.accepted.oldestBase
	qt.Check(t, judged(r, nextVersion(oldest, oldest+1)), qt.Equals, http.StatusOK)
	qt.Check(t, judged(r, nextVersion(oldest-1, oldest)), qt.Equals, http.StatusServiceUnavailable)
}

// TestRememberedBytes: the remembered changes stay within their bound in a snapshot, also with the longest versions.
func TestRememberedBytes(t *testing.T) {
	a := acceptedChanges{}
	for i := range int64(maxRemembered + 10) {
		a.add(1<<62+i, ^uint64(i))
	}
	var s Stored
	a.store(&s)
	b, err := s.MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	empty, err := (&Stored{}).MarshalMsg(nil)
	qt.Assert(t, err, qt.IsNil)
	const oldestBase, arrayHeads = 2 + 9, 2 * 2
	qt.Check(t, len(b)-len(empty) <= rememberedBytes+oldestBase+arrayHeads, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
}

// TestOlderBuildsSnapshot: the snapshot of a build that doesn't tell what its oldest change was built on is read; nothing is refused
// that may have been accepted before it.
func TestOlderBuildsSnapshot(t *testing.T) {
	r := &record{}
	first, second, third := orderOf(0, "5", "a"), orderOf(5, "7", "a"), nextVersion(7, 12)
	for _, call := range []*Call{first, second, third} {
		accept(t, r, call)
	}
	older := storedBy(t, r)
	older.OldestBase = nil
	older.Versions, older.Digests = older.Versions[1:], older.Digests[1:]
	back := fromStored(t, r.seq, &older)
	for range 2 {
		for _, tc := range []struct {
			call *Call
			want int
		}{
			{first, http.StatusServiceUnavailable},
			{second, http.StatusOK},
			{orderOf(5, "7", "b"), http.StatusServiceUnavailable},
			{third, http.StatusOK},
			{nextVersion(7, 13), http.StatusPreconditionFailed},
			{nextVersion(12, 13), proposed},
		} {
			qt.Check(t, judged(back, tc.call), qt.Equals, tc.want, qt.Commentf("%d %s", tc.call.Base, tc.call.Body))
		}
		back = restored(t, back)
	}
	acceptMore(t, back, maxRemembered-1)
	qt.Check(t, judged(back, third), qt.Equals, http.StatusOK)
	qt.Check(t, judged(back, second), qt.Equals, http.StatusServiceUnavailable)
	qt.Check(t, back.accepted.oldestBase, qt.Equals, int64(7), qt.Commentf("known, as the change before was"))

	// Still older ones remembered nothing.
	older.Versions, older.Digests = nil, nil
	back = fromStored(t, r.seq, &older)
	for _, call := range []*Call{first, second, third} {
		qt.Check(t, judged(back, call), qt.Equals, http.StatusServiceUnavailable)
	}
	qt.Check(t, judged(back, nextVersion(12, 13)), qt.Equals, proposed)
	acceptMore(t, back, 1)
	qt.Check(t, judged(back, nextVersion(12, 13)), qt.Equals, http.StatusOK)
	qt.Check(t, judged(back, third), qt.Equals, http.StatusServiceUnavailable)

	// One that remembers more than this build does.
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

// TestOlderBuildsRead: older builds find the document, the versions and the digests where they look for them.
func TestOlderBuildsRead(t *testing.T) {
	r := &record{}
	accept(t, r, orderOf(0, "5", "a"))
	accept(t, r, nextVersion(5, 6))
	fields, _, err := msgp.ReadMapStrIntfBytes(r.Snapshot(), nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, fields["d"], qt.DeepEquals, any(r.doc.Show()))
	qt.Check(t, fields["v"], qt.DeepEquals, any([]any{int64(5), int64(6)}))
	qt.Check(t, fields["x"], qt.DeepEquals, any([]any{r.accepted.digests[0], r.accepted.digests[1]}))
}

// TestDamagedSnapshot: a snapshot whose remembered changes can't be right is refused, and the record stays as it is.
func TestDamagedSnapshot(t *testing.T) {
	r := &record{}
	accept(t, r, orderOf(0, "5", "a"))
	accept(t, r, nextVersion(5, 6))
	before, seq := r.Snapshot(), r.seq
	for _, tc := range []struct {
		name   string
		damage func(s *Stored)
		want   string
	}{
		{"a digest is missing", func(s *Stored) { s.Digests = s.Digests[:1] }, "record: as many versions as digests are due"},
		{"the newest is missing", func(s *Stored) { s.Versions, s.Digests = s.Versions[:1], s.Digests[:1] }, "record: .* do not follow .*"},
		{"versions fall", func(s *Stored) { slices.Reverse(s.Versions) }, "record: .* do not follow .*"},
		{"the base is not below", func(s *Stored) { s.OldestBase = &s.Versions[0] }, "record: .* do not follow .*"},
		{"the document is damaged", func(s *Stored) { s.Document = s.Document[1:] }, "record: configuration: .*"},
		{"the residency is damaged", func(s *Stored) { s.Rested = []byte{0} }, "record: .*"},
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

// TestLostTail: a change that was applied but lost with the end of its record is proposed again, unless another one took its base.
func TestLostTail(t *testing.T) {
	r := &record{}
	accept(t, r, orderOf(0, "5", "a"))
	committed, seq := r.Snapshot(), r.seq
	lost, after := nextVersion(5, 6), nextVersion(6, 7)
	accept(t, r, lost)
	accept(t, r, after)
	v := r.judge(lost)
	qt.Assert(t, v.status, qt.Equals, http.StatusOK)
	qt.Assert(t, v.seq, qt.Equals, r.seq, qt.Commentf("not told before all of this is committed"))
	qt.Assert(t, r.Restore(seq, committed), qt.IsNil)
	qt.Check(t, judged(r, after), qt.Equals, http.StatusServiceUnavailable, qt.Commentf("it can be accepted once the one before comes again"))
	qt.Check(t, judged(r, lost), qt.Equals, proposed)
	accept(t, r, orderOf(5, "8", "b"))
	qt.Check(t, judged(r, lost), qt.Equals, http.StatusPreconditionFailed)
	qt.Check(t, judged(r, after), qt.Equals, http.StatusPreconditionFailed)
}

// line is the model of a record: the calls that it accepted, oldest first.
type line struct {
	calls     []*Call
	versions  []int64
	committed int // so many can't be lost any more
}

func (l *line) current() int64 {
	if len(l.versions) == 0 {
		return 0
	}
	return l.versions[len(l.versions)-1]
}

// at is the place of a call in the line, or -1.
func (l *line) at(call *Call) int {
	return slices.IndexFunc(l.calls, func(c *Call) bool {
		return c == call || c.Replace == call.Replace && c.Base == call.Base && string(c.Body) == string(call.Body)
	})
}

// TestSentAgainAtAnyTime: over changes by some operators, copies that come at any time, snapshots, takeovers that lose what isn't
// committed and up to thousands of changes between, a call is acknowledged only if it was accepted, refused only if it never is, and
// left without a clear answer only if it is older than all that is remembered or ahead of the record.
func TestSentAgainAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, model := &record{}, &line{}
		var sent []*Call // all calls ever sent: each may come again
		refused := map[*Call]bool{}
		bulk := 0
		snapshots := map[int][]byte{0: nil} // by length of the line
		push := func(call *Call) {
			b, err := call.MarshalMsg(nil)
			if err != nil {
				t.Fatal(err)
			}
			r.Apply(r.seq+1, b)
			r.settle(0)
			model.calls, model.versions = append(model.calls, call), append(model.versions, r.doc.Version())
		}
		judge := func(call *Call) {
			v := r.judge(call)
			at := model.at(call)
			remembered := len(model.calls) - maxRemembered
			switch {
			case v == nil:
				if at >= 0 || call.Base != model.current() {
					t.Fatalf("proposed on %d at version %d, accepted at %d", call.Base, model.current(), at)
				}
				if refused[call] {
					t.Fatalf("accepted after it was refused: on %d", call.Base)
				}
				push(call)
				if r.doc.Version() == call.Base {
					t.Fatalf("proposed though it is invalid: on %d %s", call.Base, call.Body)
				}
			case v.status == http.StatusOK:
				if at < 0 {
					t.Fatalf("acknowledged though it was not accepted: on %d %s", call.Base, call.Body)
				}
			case v.status == http.StatusServiceUnavailable:
				if at >= 0 && at >= remembered {
					t.Fatalf("no clear answer though %d of %d is remembered", at, len(model.calls))
				}
				if at < 0 && call.Base <= model.current() && (remembered <= 0 || call.Base >= model.versions[remembered-1]) {
					t.Fatalf("no clear answer on %d, though all from there on is remembered", call.Base)
				}
			default:
				if at >= 0 {
					t.Fatalf("refused with %d though it was accepted at %d of %d", v.status, at, len(model.calls))
				}
				if v.seq != uint64(len(model.calls)) {
					t.Fatalf("judged by %d of %d changes", v.seq, len(model.calls))
				}
				if model.committed == len(model.calls) { // it may be told
					refused[call] = true
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"a new call": func(t *rapid.T) {
				base := model.current()
				if rapid.IntRange(0, 3).Draw(t, "guess") == 0 {
					base = rapid.Int64Range(max(0, base-9), base+4).Draw(t, "base")
				}
				version := base + rapid.Int64Range(0, 3).Draw(t, "step")
				host := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")
				call := orderOf(base, fmt.Sprint(version), host)
				sent = append(sent, call)
				if rapid.Bool().Draw(t, "arrives") {
					judge(call)
				}
			},
			"a copy comes": func(t *rapid.T) {
				if len(sent) > 0 {
					judge(rapid.SampledFrom(sent).Draw(t, "copy"))
				}
			},
			"a rival of a call": func(t *rapid.T) {
				if len(sent) > 0 {
					call := *rapid.SampledFrom(sent).Draw(t, "call")
					call.Replace = rapid.Bool().Draw(t, "replace")
					call.Base += rapid.Int64Range(0, 1).Draw(t, "base")
					sent = append(sent, &call)
				}
			},
			"many changes": func(t *rapid.T) {
				n := rapid.SampledFrom([]int{1, 70, 1000, 5000}).Draw(t, "changes")
				if bulk += n; bulk > 12_000 || r.doc == nil {
					return
				}
				for range n {
					push(nextVersion(model.current(), model.current()+1))
				}
			},
			"all is committed": func(t *rapid.T) {
				model.committed = len(model.calls)
				r.settle(r.seq)
			},
			"a snapshot": func(t *rapid.T) {
				snapshots[len(model.calls)] = r.Snapshot()
			},
			"a snapshot is read": func(t *rapid.T) {
				next := &record{}
				if err := next.Restore(r.seq, r.Snapshot()); err != nil {
					t.Fatal(err)
				}
				r = next
			},
			"another takes over with less": func(t *rapid.T) {
				keep := rapid.IntRange(model.committed, len(model.calls)).Draw(t, "keep")
				s, ok := snapshots[keep]
				if !ok {
					return
				}
				if err := r.Restore(uint64(keep), s); err != nil {
					t.Fatal(err)
				}
				model.calls, model.versions = model.calls[:keep:keep], model.versions[:keep:keep]
				for n := range snapshots {
					if n > keep {
						delete(snapshots, n)
					}
				}
			},
			"": func(t *rapid.T) {
				if r.doc.Version() != model.current() || r.seq != uint64(len(model.calls)) {
					t.Fatalf("version %d at %d, expected %d at %d", r.doc.Version(), r.seq, model.current(), len(model.calls))
				}
			},
		})
	})
}
