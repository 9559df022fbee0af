package controlplane

import (
	"flag"
	"fmt"
	"math"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

var historySeeds = flag.Uint64("controlplane.seeds", 60, "operators' histories to be played of each core")

// Operators send changes to a simulated core, amid faults, and send each again until it has a clear answer; copies
// come late, also after that answer, and calls of long ago come again. Their answers are judged together: one machine
// that did one thing after the other could have given them.

// faultsEnd is when the faults of a history end.
const faultsEnd = 25 * time.Second

// key names a call by its content: equal calls of two operators are the same change.
func (c *Command) key() string { return fmt.Sprintf("%v %d %s", c.Replace, c.Base, c.Body) }

// request is an operator's call in a history: a change, or a look at the newest configuration.
type request struct {
	call    *Command // nil: a look
	version int64    // that the call would bring
}

// historyReply is how it was answered; status 0: no clear answer.
type historyReply struct {
	status  int
	version int64 // shown
}

// changeChain is what a single machine has accepted: the newest change on top of those before. Equal lines are the
// same value.
type changeChain struct {
	version int64
	key     string
	before  *changeChain
	next    map[string]*changeChain
}

// withChange is the line withChange a change more.
func (l *changeChain) withChange(r request) *changeChain {
	key := r.call.key()
	if l.next[key] == nil {
		if l.next == nil {
			l.next = map[string]*changeChain{}
		}
		l.next[key] = &changeChain{version: r.version, key: key, before: l}
	}
	return l.next[key]
}

// contains reports whether a call is in the line.
func (l *changeChain) contains(call *Command) bool {
	key := call.key()
	for ; l != nil; l = l.before {
		if l.key == key {
			return true
		}
	}
	return false
}

// singleMachine is one machine that answers as the operator's protocol says.
func singleMachine() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return &changeChain{} },
		Step: func(state, in, out any) (bool, any) {
			line, asked, answer := state.(*changeChain), in.(request), out.(historyReply)
			if asked.call == nil {
				return answer.status == 0 || answer.version == line.version, line
			}
			known := line.contains(asked.call)
			acceptable := !known && asked.call.Base == line.version && asked.version > line.version
			switch {
			case answer.status == http.StatusOK && acceptable, answer.status == 0 && acceptable:
				return true, line.withChange(asked)
			case answer.status == http.StatusOK:
				return known, line
			case answer.status == 0:
				return true, line
			}
			return !known && !acceptable, line
		},
		DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
	}
}

// history is a core with its operators and all that they asked and were answered.
type history struct {
	*simulatedCore
	ops            []porcupine.Operation
	asked          []request   // changes that had a clear answer, or will
	answerLossRate float64     // share of answers that are lost
	statuses       map[int]int // clear answers, by status
	resubmitted    int         // acknowledged calls of long ago
	stopping       bool        // no new requests
	operators      int
}

// target is the member that an operator turns to: mostly one that leads.
func (h *history) target() *member {
	var leaders []*member
	for _, m := range h.members {
		if m.replica != nil && m.replica.Status().Role == replication.Primary {
			leaders = append(leaders, m)
		}
	}
	if len(leaders) > 0 && h.rng.IntN(5) > 0 {
		return leaders[h.rng.IntN(len(leaders))]
	}
	return h.members[h.rng.IntN(len(h.members))]
}

// submit has a member answer a change as the server does.
func (h *history) submit(m *member, call *Command, deliver func(historyReply)) {
	var judged *verdict
	h.ask(m, func(now time.Duration, token uint64) (out replication.Output) {
		judged, out = m.state.submit(m.replica, now, token, call)
		return out
	}, func(a replication.Answer) { deliver(historyReply{status: outcome(judged, a).status}) })
}

// show has a member answer with the newest configuration as the server does.
func (h *history) show(m *member, deliver func(historyReply)) {
	read := func(now time.Duration, token uint64) replication.Output { return m.replica.Read(now, token) }
	h.ask(m, read, func(a replication.Answer) {
		if a.Result != replication.Confirmed || a.Seq > 0 && (m.committed == nil || m.committed.seq < a.Seq) {
			return
		}
		shown := historyReply{status: http.StatusOK}
		if m.committed != nil {
			shown.version = m.committed.doc.Version()
		}
		deliver(shown)
	})
}

// operate sends a request until it has a clear answer.
func (h *history) operate(client int, r request, then func(historyReply)) {
	at := len(h.ops)
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client,
		Input:    r,
		Call:     int64(h.now),
		Output:   historyReply{},
		Return:   math.MaxInt64,
	})
	ended := false
	end := func(answer historyReply) {
		if ended {
			return
		}
		ended = true
		h.ops[at].Output, h.ops[at].Return = answer, int64(h.now)
		h.statuses[answer.status]++
		then(answer)
	}
	deliver := func() {
		answered := func(answer historyReply) {
			if answer.status == http.StatusServiceUnavailable || h.rng.Float64() < h.answerLossRate {
				return
			}
			h.after(h.randomUpTo(5*time.Millisecond), func() { end(answer) })
		}
		if r.call == nil {
			h.show(h.target(), answered)
			return
		}
		h.submit(h.target(), r.call, answered)
	}
	var try func()
	try = func() {
		if ended {
			return
		}
		h.after(h.randomUpTo(5*time.Millisecond), deliver)
		if h.rng.IntN(8) == 0 { // a copy that comes late, perhaps after the answer
			h.after(h.randomUpTo(6*time.Second), deliver)
		}
		h.after(100*time.Millisecond+h.randomUpTo(time.Second), try)
	}
	try()
}

// change draws a call on the version that an operator knows. Numbers and contents are few, so that calls of
// different operators collide.
func (h *history) change(known int64) request {
	version := known + 1 + int64(h.rng.IntN(2))
	if h.rng.IntN(12) == 0 {
		version = known // invalid
	}
	if h.rng.IntN(2) == 0 {
		return request{updateCommand(known, version), version}
	}
	return request{replaceCommand(known, fmt.Sprint(version), string(rune('a'+h.rng.IntN(4)))), version}
}

// operator asks one thing after the other: new changes, at times two on top of each other at once, old ones again,
// and looks.
func (h *history) operator(client int) {
	var known int64
	var next func()
	again := func() { h.after(h.randomUpTo(100*time.Millisecond), next) }
	next = func() {
		if h.stopping {
			return
		}
		switch draw := h.rng.IntN(10); {
		case draw == 0:
			h.operate(client, request{}, func(answer historyReply) {
				known = answer.version
				again()
			})
		case draw <= 2 && len(h.asked) > 0: // a call of long ago
			h.operate(client, h.asked[h.rng.IntN(len(h.asked))], func(answer historyReply) {
				if answer.status == http.StatusOK {
					h.resubmitted++
				}
				again()
			})
		default:
			r := h.change(known)
			h.asked = append(h.asked, r)
			if draw == 3 && r.version > known { // one more on top, at once
				h.operators++
				ahead := h.change(r.version)
				h.asked = append(h.asked, ahead)
				h.operate(h.operators, ahead, func(historyReply) {})
			}
			h.operate(client, r, func(answer historyReply) {
				if answer.status == http.StatusOK {
					known = r.version
					again()
					return
				}
				h.operate(client, request{}, func(answer historyReply) {
					known = answer.version
					again()
				})
			})
		}
	}
	next()
}

// run runs a history and judges it.
func (h *history) run(seed uint64) error {
	h.messageLossRate = 0.03 * float64(seed%3)
	h.answerLossRate = 0.15 * float64(seed%4)
	for _, m := range h.members {
		h.after(h.randomUpTo(300*time.Millisecond), func() { h.start(m) })
	}
	h.operators = 2 + int(seed%4)
	for client := range h.operators {
		h.after(300*time.Millisecond, func() { h.operator(client) })
	}
	var faults func()
	faults = func() {
		if h.now < faultsEnd {
			h.fault()
			h.after(100*time.Millisecond+h.randomUpTo(3*time.Second), faults)
		}
	}
	h.after(2*time.Second, faults)
	h.runUntil(faultsEnd, nil)
	h.stopping, h.answerLossRate = true, 0
	h.endFaults()
	h.runUntil(faultsEnd+15*time.Second, nil)
	if h.err != nil {
		return h.err
	}
	var last int64
	h.operate(h.operators+1, request{}, func(answer historyReply) { last = answer.version })
	h.runUntil(h.now+5*time.Second, nil)
	for _, op := range h.ops {
		r, answer := op.Input.(request), op.Output.(historyReply)
		if answer.status == 0 && (r.call == nil || r.call.Base <= last) {
			return fmt.Errorf("%v has no clear answer long after calm", r)
		}
	}
	return h.check()
}

// check judges the answers: together by porcupine, and each refusal by the state at the end.
func (h *history) check() error {
	i := slices.IndexFunc(h.members, func(m *member) bool {
		st := m.replica.Status()
		return st.Role == replication.Primary && st.Ready
	})
	if i < 0 {
		return fmt.Errorf("nobody leads long after calm")
	}
	for _, op := range h.ops {
		r, answer := op.Input.(request), op.Output.(historyReply)
		if r.call == nil || answer.status == 0 {
			continue
		}
		accepted := h.members[i].state.accepted.lookup(r.call) == sameChange
		if accepted != (answer.status == http.StatusOK) {
			return fmt.Errorf("%v was told %d, accepted in the end: %v", r.call.key(), answer.status, accepted)
		}
	}
	switch porcupine.CheckOperationsTimeout(singleMachine(), h.ops, 20*time.Second) {
	case porcupine.Illegal:
		return fmt.Errorf("no order of %d requests explains their answers", len(h.ops))
	case porcupine.Unknown:
		return fmt.Errorf("%d requests weren't judged in time", len(h.ops))
	}
	return nil
}

// TestHistories: what operators are answered is linearizable and lasting, over kills, lost disks, freezes, cuts and
// losses of power, with lost answers, late copies and calls of long ago.
func TestHistories(t *testing.T) {
	for _, size := range []struct{ members, survive int }{{1, 0}, {3, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d-%d", size.members, size.survive), func(t *testing.T) {
			t.Parallel()
			statuses, again, longest := map[int]int{}, 0, 0
			for seed := uint64(1); seed <= *historySeeds; seed++ {
				h := &history{simulatedCore: newSimulatedCore(seed, size.members, size.survive), statuses: map[int]int{}}
				if err := h.run(seed); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				for status, n := range h.statuses {
					statuses[status] += n
				}
				again += h.resubmitted
				for _, m := range h.members {
					longest = max(longest, len(m.state.accepted.versions))
				}
			}
			t.Logf("clear answers by status: %v; %d calls of long ago acknowledged again; up to %d changes accepted",
				statuses, again, longest)
			for _, status := range []int{http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest} {
				qt.Check(t, statuses[status] > 0, qt.IsTrue, qt.Commentf("status %d", status))
			}
			qt.Check(t, again > 0, qt.IsTrue)
		})
	}
}
