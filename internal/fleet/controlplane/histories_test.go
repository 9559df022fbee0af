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

var historySeeds = flag.Uint64("controlplane.seeds", 60, "number of random histories for each core size")

// Operators send changes to a simulated core with faults, and retry each until the answer is clear (not 503).
// Duplicates arrive late, also after that answer, and old calls are resubmitted. The history of calls and answers must be
// linearizable: a single machine that processes the calls one by one could have given the same answers.

// faultsEnd is the time at which the faults of a history end.
const faultsEnd = 25 * time.Second

// key identifies a call by its content: equal calls of two operators are the same change.
func (c *Command) key() string { return fmt.Sprintf("%v %d %s", c.Replace, c.Base, c.Body) }

// request is an operator's call in a history: a change, or a read of the newest configuration.
type request struct {
	call    *Command // nil: a read
	version int64    // version that the call would set
}

// historyReply is the answer to a request; status 0: no clear answer.
type historyReply struct {
	status  int
	version int64 // version read
}

// changeChain is the sequence of changes accepted by a single machine: the newest change, linked to those before. Equal
// sequences are the same pointer.
type changeChain struct {
	version int64
	key     string
	before  *changeChain
	next    map[string]*changeChain
}

// withChange returns the chain with one more change.
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

// contains reports whether the chain contains a call.
func (l *changeChain) contains(call *Command) bool {
	key := call.key()
	for ; l != nil; l = l.before {
		if l.key == key {
			return true
		}
	}
	return false
}

// singleMachine returns the sequential model: one machine that answers according to the operator's protocol.
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

// history is a simulated core with its operators, and their requests and answers.
type history struct {
	*simulatedCore
	ops            []porcupine.Operation
	asked          []request   // changes sent so far
	answerLossRate float64     // probability that an answer is lost
	statuses       map[int]int // number of clear answers by status
	resubmitted    int         // number of acknowledged old calls
	stopping       bool        // no new requests are made
	operators      int
}

// target returns the member that an operator calls: usually a primary.
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

// show has a member answer a read of the newest configuration as the server does.
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
		if h.rng.IntN(8) == 0 { // a duplicate that arrives late, possibly after the answer
			h.after(h.randomUpTo(6*time.Second), deliver)
		}
		h.after(100*time.Millisecond+h.randomUpTo(time.Second), try)
	}
	try()
}

// change returns a random call based on the version known to an operator. There are few different versions and
// contents, so that calls of different operators collide.
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

// operator sends one request after another: new changes, sometimes two on top of each other at once, old ones again,
// and reads.
func (h *history) operator(client int) {
	var known int64
	var next func()
	continueLater := func() { h.after(h.randomUpTo(100*time.Millisecond), next) }
	next = func() {
		if h.stopping {
			return
		}
		switch draw := h.rng.IntN(10); {
		case draw == 0:
			h.operate(client, request{}, func(answer historyReply) {
				known = answer.version
				continueLater()
			})
		case draw <= 2 && len(h.asked) > 0: // an old call
			h.operate(client, h.asked[h.rng.IntN(len(h.asked))], func(answer historyReply) {
				if answer.status == http.StatusOK {
					h.resubmitted++
				}
				continueLater()
			})
		default:
			r := h.change(known)
			h.asked = append(h.asked, r)
			if draw == 3 && r.version > known { // another one on top of it, at once
				h.operators++
				ahead := h.change(r.version)
				h.asked = append(h.asked, ahead)
				h.operate(h.operators, ahead, func(historyReply) {})
			}
			h.operate(client, r, func(answer historyReply) {
				if answer.status == http.StatusOK {
					known = r.version
					continueLater()
					return
				}
				h.operate(client, request{}, func(answer historyReply) {
					known = answer.version
					continueLater()
				})
			})
		}
	}
	next()
}

// run runs a history and checks it.
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
			return fmt.Errorf("request %v has no clear answer long after the faults ended", r)
		}
	}
	return h.check()
}

// check checks the answers: all together with porcupine, and each rejection against the final state.
func (h *history) check() error {
	i := slices.IndexFunc(h.members, func(m *member) bool {
		st := m.replica.Status()
		return st.Role == replication.Primary && st.Ready
	})
	if i < 0 {
		return fmt.Errorf("no ready primary long after the faults ended")
	}
	for _, op := range h.ops {
		r, answer := op.Input.(request), op.Output.(historyReply)
		if r.call == nil || answer.status == 0 {
			continue
		}
		accepted := h.members[i].state.accepted.lookup(r.call) == sameChange
		if accepted != (answer.status == http.StatusOK) {
			return fmt.Errorf("call %v was answered with %d, but accepted in the final state: %v",
				r.call.key(), answer.status, accepted)
		}
	}
	switch porcupine.CheckOperationsTimeout(singleMachine(), h.ops, 20*time.Second) {
	case porcupine.Illegal:
		return fmt.Errorf("the history of %d requests is not linearizable", len(h.ops))
	case porcupine.Unknown:
		return fmt.Errorf("checking the history of %d requests timed out", len(h.ops))
	}
	return nil
}

// TestHistories checks that the answers to operators are linearizable and durable, with kills, lost disks, suspended
// processes, partitions and losses of power, and with lost answers, late duplicates and resubmitted old calls.
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
			t.Logf("clear answers by status: %v; %d old calls acknowledged again; up to %d changes accepted",
				statuses, again, longest)
			for _, status := range []int{http.StatusOK, http.StatusPreconditionFailed, http.StatusBadRequest} {
				qt.Check(t, statuses[status] > 0, qt.IsTrue, qt.Commentf("status %d", status))
			}
			qt.Check(t, again > 0, qt.IsTrue)
		})
	}
}
