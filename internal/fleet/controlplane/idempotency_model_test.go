package controlplane

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// acceptedLog is the model of a state: the calls that it accepted, oldest first.
type acceptedLog struct {
	calls     []*Command
	versions  []int64
	committed int // number of calls that can't be lost any more
	firstKept int // calls before this one may be forgotten, after an older build's snapshot
	firstBase int // the base is known for this call and later ones
}

func (l *acceptedLog) current() int64 {
	if len(l.versions) == 0 {
		return 0
	}
	return l.versions[len(l.versions)-1]
}

// indexOf returns the index of a call in the log, or -1.
func (l *acceptedLog) indexOf(call *Command) int {
	return slices.IndexFunc(l.calls, func(c *Command) bool { return c == call || c.key() == call.key() })
}

// truncate drops all but the first keep calls.
func (l *acceptedLog) truncate(keep int) {
	l.calls = l.calls[:keep:keep]
	l.versions = l.versions[:keep:keep]
}

// maxBulk bounds the number of changes of a run that are made in bulk.
const maxBulk = 12_000

// acceptedLogTest compares a state with its model.
type acceptedLogTest struct {
	state     *controlState
	model     acceptedLog
	sent      []*Command        // all calls ever sent: each may be resubmitted
	refused   map[*Command]bool // calls that may have been answered with a rejection
	snapshots map[int][]byte    // by length of the log
	bulk      int
}

// accept has the state and the model accept a call.
func (lt *acceptedLogTest) accept(t *rapid.T, call *Command) {
	b, err := call.MarshalMsg(nil)
	if err != nil {
		t.Fatal(err)
	}
	lt.state.Apply(lt.state.seq+1, b)
	lt.state.takeCommitted(0)
	lt.model.calls = append(lt.model.calls, call)
	lt.model.versions = append(lt.model.versions, lt.state.doc.Version())
}

// judge has the state judge a call, and checks the verdict against the model.
func (lt *acceptedLogTest) judge(t *rapid.T, call *Command) {
	v := lt.state.judge(call)
	at := lt.model.indexOf(call)
	switch {
	case v == nil:
		lt.judgeProposal(t, call, at)
	case v.status == http.StatusOK:
		if at < 0 {
			t.Fatalf("call on base %d was acknowledged but never accepted: %s", call.Base, call.Body)
		}
	case v.status == http.StatusServiceUnavailable:
		lt.judgeUnclear(t, call, at)
	default:
		if at >= 0 {
			t.Fatalf("rejected with status %d but accepted at index %d of %d changes", v.status, at, len(lt.model.calls))
		}
		if v.seq != uint64(len(lt.model.calls)) {
			t.Fatalf("verdict is based on %d of %d changes", v.seq, len(lt.model.calls))
		}
		if lt.model.committed == len(lt.model.calls) {
			lt.refused[call] = true
		}
	}
}

func (lt *acceptedLogTest) judgeProposal(t *rapid.T, call *Command, at int) {
	if at >= 0 || call.Base != lt.model.current() {
		t.Fatalf("proposed on base %d at version %d, accepted at index %d", call.Base, lt.model.current(), at)
	}
	if lt.refused[call] {
		t.Fatalf("accepted after a rejection: base %d", call.Base)
	}
	lt.accept(t, call)
	if lt.state.doc.Version() == call.Base {
		t.Fatalf("invalid call was proposed: base %d, body %s", call.Base, call.Body)
	}
}

func (lt *acceptedLogTest) judgeUnclear(t *rapid.T, call *Command, at int) {
	forgotten := len(lt.model.calls) - maxRemembered
	if at >= 0 && at >= max(forgotten, lt.model.firstKept) {
		t.Fatalf("no clear answer although index %d of %d changes is remembered", at, len(lt.model.calls))
	}
	first := max(forgotten, lt.model.firstBase)
	if at < 0 && call.Base <= lt.model.current() && (first <= 0 || call.Base >= lt.model.versions[first-1]) {
		t.Fatalf("no clear answer on base %d, although all later changes are remembered", call.Base)
	}
}

// newCall sends a call on the current version or one close to it, valid or not.
func (lt *acceptedLogTest) newCall(t *rapid.T) {
	base := lt.model.current()
	if rapid.IntRange(0, 3).Draw(t, "guess") == 0 {
		base = rapid.Int64Range(max(0, base-9), base+4).Draw(t, "base")
	}
	version := base + rapid.Int64Range(0, 3).Draw(t, "step")
	host := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "host")
	call := replaceCommand(base, fmt.Sprint(version), host)
	lt.sent = append(lt.sent, call)
	if rapid.Bool().Draw(t, "arrives") {
		lt.judge(t, call)
	}
}

// duplicateArrives delivers a call that was sent earlier.
func (lt *acceptedLogTest) duplicateArrives(t *rapid.T) {
	if len(lt.sent) > 0 {
		lt.judge(t, rapid.SampledFrom(lt.sent).Draw(t, "copy"))
	}
}

// conflictingCall sends a call that may differ from another only in its operation or base.
func (lt *acceptedLogTest) conflictingCall(t *rapid.T) {
	if len(lt.sent) == 0 {
		return
	}
	call := *rapid.SampledFrom(lt.sent).Draw(t, "command")
	call.Replace = rapid.Bool().Draw(t, "replace")
	call.Base += rapid.Int64Range(0, 1).Draw(t, "base")
	lt.sent = append(lt.sent, &call)
}

// baseReached has a change accepted whose version is the base of a call that arrived too early.
func (lt *acceptedLogTest) baseReached(t *rapid.T) {
	early := slices.DeleteFunc(slices.Clone(lt.sent), func(c *Command) bool { return c.Base <= lt.model.current() })
	if len(early) == 0 || lt.state.doc == nil {
		return
	}
	call := rapid.SampledFrom(early).Draw(t, "early")
	lt.allCommitted(t)
	lt.judge(t, call)
	lt.accept(t, updateCommand(lt.model.current(), call.Base))
	lt.judge(t, call)
}

func (lt *acceptedLogTest) manyChanges(t *rapid.T) {
	n := rapid.SampledFrom([]int{1, 70, 1000, 5000}).Draw(t, "changes")
	if lt.bulk += n; lt.bulk > maxBulk || lt.state.doc == nil {
		return
	}
	for range n {
		lt.accept(t, updateCommand(lt.model.current(), lt.model.current()+1))
	}
}

func (lt *acceptedLogTest) allCommitted(*rapid.T) {
	lt.model.committed = len(lt.model.calls)
	lt.state.takeCommitted(lt.state.seq)
}

func (lt *acceptedLogTest) snapshot(*rapid.T) {
	lt.snapshots[len(lt.model.calls)] = lt.state.Snapshot()
}

func (lt *acceptedLogTest) snapshotRead(t *rapid.T) {
	s := storedBy(t, lt.state)
	lt.state = fromStored(t, lt.state.seq, &s)
}

// takeover restores a snapshot that may lack uncommitted changes.
func (lt *acceptedLogTest) takeover(t *rapid.T) {
	keep := rapid.IntRange(lt.model.committed, len(lt.model.calls)).Draw(t, "keep")
	s, ok := lt.snapshots[keep]
	if !ok {
		return
	}
	if err := lt.state.Restore(uint64(keep), s); err != nil {
		t.Fatal(err)
	}
	lt.model.truncate(keep)
	for n := range lt.snapshots {
		if n > keep {
			delete(lt.snapshots, n)
		}
	}
}

// olderBuild restores the state from the snapshot of an older build, which has fewer changes, or none, and no
// OldestBase.
func (lt *acceptedLogTest) olderBuild(t *rapid.T) {
	if lt.state.doc == nil {
		return
	}
	older := storedBy(t, lt.state)
	kept := min(len(older.Versions), rapid.SampledFrom([]int{0, 1, 3, 64}).Draw(t, "remembered by it"))
	older.OldestBase = nil
	older.Versions = older.Versions[len(older.Versions)-kept:]
	older.Digests = older.Digests[len(older.Digests)-kept:]
	lt.state = fromStored(t, lt.state.seq, &older)
	length := len(lt.model.calls)
	lt.model.firstKept = max(lt.model.firstKept, length-kept)
	lt.model.firstBase = max(lt.model.firstBase, min(length-kept+1, length))
	lt.model.committed = length
	clear(lt.snapshots)
}

// check compares the state's version and sequence number with the model's.
func (lt *acceptedLogTest) check(t *rapid.T) {
	if lt.state.doc.Version() != lt.model.current() || lt.state.seq != uint64(len(lt.model.calls)) {
		t.Fatalf("version %d at %d, expected %d at %d",
			lt.state.doc.Version(), lt.state.seq, lt.model.current(), len(lt.model.calls))
	}
}

// TestResubmittedAtAnyTime checks that a call is acknowledged only if it was accepted, rejected only if it never will
// be, and otherwise answered with 503 only if it is older than all remembered changes or ahead of the state. It runs
// random changes, duplicates at any time, snapshots, takeovers that lose uncommitted changes, older builds, and up to
// thousands of changes between.
func TestResubmittedAtAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lt := &acceptedLogTest{state: &controlState{}, refused: map[*Command]bool{}, snapshots: map[int][]byte{0: nil}}
		t.Repeat(map[string]func(*rapid.T){
			"a new call":                           lt.newCall,
			"a duplicate arrives":                  lt.duplicateArrives,
			"another call on the same base":        lt.conflictingCall,
			"the base of a call is reached":        lt.baseReached,
			"many changes":                         lt.manyChanges,
			"all is committed":                     lt.allCommitted,
			"a snapshot":                           lt.snapshot,
			"a snapshot is read":                   lt.snapshotRead,
			"a takeover loses uncommitted changes": lt.takeover,
			"an older build's snapshot is read":    lt.olderBuild,
			"":                                     lt.check,
		})
	})
}
