package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"molepaddle/internal/decide/work"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/rig/many"
	"molepaddle/internal/rig/standin"
)

var (
	workSchedules = flag.Int("work.schedules", 1, "schedules of faults to draw and play on processes that take machines out")
	workFrom      = flag.Uint64("work.from", 1, "the first seed of them")
)

// Random schedules of faults on six processes, while operators at all of them ask, take, cancel and report done,
// and clients send orders. The operators' answers are linearizable; never more servers are out than the bounds
// allow; no permit number is given twice; no order runs twice.
func TestWorkDrawn(t *testing.T) {
	for k := range *workSchedules {
		seed := *workFrom + uint64(k)
		f := newWorkers(t, 6, 5, 4)
		f.start(0, 1, 2, 3, 4, 5)
		f.awaitAgreement("at first", 0, 1, 2, 3, 4, 5)
		f.foundCouncil()
		s := many.Draw(seed, 6)
		h := &history{f: f, began: time.Now(), ended: make(chan struct{})}
		for who := range 3 {
			h.wg.Go(func() { h.operator(who, rand.New(rand.NewPCG(seed, uint64(who)))) })
		}
		h.wg.Go(h.sendOrders)
		left := f.playFaults(s)
		for i := range f.members { // start the others: the council recovers from its members' disks
			if !slices.Contains(left, i) {
				f.start(i)
				left = append(left, i)
			}
		}
		f.awaitAgreement("the views converge", left...)
		eventually(t, "operators and clients have enough answers", f.members[left[0]].out, h.enough)
		close(h.ended)
		h.wg.Wait()
		h.check(left)
		if t.Failed() {
			t.Fatal(s)
		}
		for _, i := range left {
			_ = f.members[i].cmd.Process.Kill()
		}
	}
}

// history records the operators' calls with their results.
type history struct {
	f     *fleet
	began time.Time
	ended chan struct{}
	wg    sync.WaitGroup

	mu  sync.Mutex
	ops []porcupine.Operation

	known, open, sent, served int
	ids                       atomic.Uint64
}

// operation is an operator's call. Its result in the history is "ok", "no" or "unknown".
type operation struct {
	do     seat.Operation
	id     string
	permit uint64
}

// enough reports whether there are enough answers for a meaningful check.
func (h *history) enough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known >= 20 && h.served >= 50
}

// machineOf returns the machine of request k: a server's for 0 to 3, an agent's for 4 and 5.
func machineOf(k int) string { return []string{"v1", "v2", "v3", "v4", "h4", "h5"}[k] }

// operator makes random calls at random agents until the history ends.
func (h *history) operator(who int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-h.ended:
			return
		case <-time.After(time.Duration(20+rng.IntN(120)) * time.Millisecond): // the pace of a person
		}
		i, k, round := rng.IntN(6), rng.IntN(6), n/20
		// Each operator has requests of his own; two share those of an agent's machine.
		op := operation{id: fmt.Sprintf("%s-%d-%d", machineOf(k), who, round)}
		switch x := rng.IntN(10); {
		case x < 4:
			op.do = seat.Submit
		case x < 8:
			r, err := h.f.call(i, time.Second, seat.Call{Operation: seat.Show})
			if err != nil {
				continue
			}
			for _, q := range r.Requests {
				if q.Phase == "granted" {
					op.do, op.id, op.permit = seat.Take, q.ID, q.Permit
				} else if q.Phase == "out" && op.do == "" {
					op.do, op.id = seat.Complete, q.ID
				}
			}
			if op.do == "" {
				continue
			}
		case x == 8:
			op.do = seat.Cancel
		default:
			op.do = seat.Complete
		}
		c := seat.Call{Operation: op.do, ID: op.id, Permit: op.permit, Token: rng.Uint64() | 1}
		if op.do == seat.Submit {
			c.Ask = &work.Ask{ID: op.id, Machine: machineOf(k), Seconds: 5}
		}
		at := time.Since(h.began).Nanoseconds()
		_, err := h.f.call(i, 1500*time.Millisecond, c)
		h.record(who, op, at, err)
	}
}

// record records the result of an operator's call.
func (h *history) record(who int, op operation, at int64, err error) {
	until, told := time.Since(h.began).Nanoseconds(), "ok"
	var no *seat.Rejected
	switch {
	case errors.As(err, &no):
		told = "no"
	case err != nil:
		told, until = "unknown", math.MaxInt64
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if told == "unknown" {
		h.open++
	} else {
		h.known++
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: who, Input: op, Call: at, Output: told, Return: until})
}

// sendOrders sends sendOrders through all agents in turn, whether they run or not.
func (h *history) sendOrders() {
	client := http.Client{Timeout: 3 * time.Second}
	for k := 0; ; k++ {
		select {
		case <-h.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/u%d", h.f.members[k%6].listen, k), strings.NewReader("x"))
		req.Header.Set("Request-Id", fmt.Sprint("o", h.ids.Add(1)))
		req.Header.Set("Request-Timeout", "1000m")
		resp, err := client.Do(req)
		if err != nil {
			continue // killed or stopped
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		h.mu.Lock()
		if h.sent++; resp.StatusCode == 200 {
			h.served++
		}
		h.mu.Unlock()
	}
}

// requestModel is the sequential model of a request, for the linearizability check.
var requestModel = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range ops {
			id := o.Input.(operation).id
			by[id] = append(by[id], o)
		}
		for _, part := range by {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		s, op, told := state.(string), input.(operation), output.(string)
		next, may := s, true // the state after "ok", and whether "ok" is possible
		switch op.do {
		case seat.Submit:
			if s == "" {
				next = "asked"
			}
		case seat.Take:
			out := fmt.Sprint("out", op.permit)
			next, may = out, s == "asked" || s == out
		case seat.Complete:
			next, may = "back", strings.HasPrefix(s, "out") || s == "back"
		case seat.Cancel:
			next, may = "cancelled", s == "asked" || s == "cancelled"
		case seat.Show: // the final state in the council's record
			return s == told || told == "asked" && s == "" || strings.HasPrefix(s, "out") && told == "out", s
		}
		switch told {
		case "ok":
			return may, next
		case "no":
			// Grants and observations are not in the history, so "no" rules out only these states.
			sure := op.do == seat.Take && s == fmt.Sprint("out", op.permit) || op.do == seat.Complete && strings.HasPrefix(s, "out") || op.do == seat.Cancel && s == "asked"
			return !sure, s
		}
		if may { // unknown: a call without effect is ordered after all others, as it never returns
			return true, next
		}
		return true, s
	},
}

// check checks that the history is linearizable, and compares it with the requests that the servers received.
func (h *history) check(left []int) {
	t, f := h.f.t, h.f
	t.Helper()
	var shown []*seat.Report
	for _, i := range left {
		eventually(t, "the council's record is available", f.members[i].out, func() bool {
			r, err := f.call(i, 5*time.Second, seat.Call{Operation: seat.Record})
			if err == nil && r.Leader != "" && r.LeaderAgeMs < 1000 {
				shown = append(shown, r)
			}
			return err == nil && r.Leader != ""
		})
	}
	if len(shown) == 0 {
		t.Fatal("no agent has shown a recent record with a leader")
	}
	last := slices.MaxFunc(shown, func(a, b *seat.Report) int { return int(a.Applied) - int(b.Applied) })
	at := time.Since(h.began).Nanoseconds()
	for _, q := range last.Requests {
		phase := map[string]string{"emptying": "asked", "granted": "asked", "returning": "back", "done": "back"}[q.Phase]
		if phase == "" {
			phase = q.Phase
		}
		h.ops = append(h.ops, porcupine.Operation{ClientId: 9, Input: operation{do: seat.Show, id: q.ID}, Call: at, Output: phase, Return: at + 1})
	}
	if got := porcupine.CheckOperationsTimeout(requestModel, h.ops, 20*time.Second); got == porcupine.Illegal {
		for _, o := range h.ops {
			t.Logf("%d %+v: %v, %v to %v", o.ClientId, o.Input, o.Output, time.Duration(o.Call), time.Duration(o.Return))
		}
		t.Errorf("the history of calls is not linearizable")
	}
	away, permits := map[string]bool{}, map[string]string{}
	for _, line := range last.Record {
		var id, machine, to string
		words := strings.Fields(line)
		if len(words) < 6 || words[4] != "->" {
			t.Fatalf("a line of the record: %q", line)
		}
		id, machine, to = words[1], strings.TrimSuffix(words[2], ":"), strings.TrimSuffix(words[5], ":")
		if machine[0] == 'v' {
			away[machine] = slices.Contains([]string{"emptying", "granted", "out", "returning"}, to)
			n := 0
			for _, x := range away {
				if x {
					n++
				}
			}
			if n > 1 {
				t.Errorf("%d of four servers are out, want at most 1: %s", n, line)
			}
		}
		if _, permit, ok := strings.Cut(line, "taken under permit "); ok {
			if was := permits[permit]; was != "" && was != id {
				t.Errorf("permit %s was given to both %s and %s", permit, was, id)
			}
			permits[permit] = id
		}
	}
	for id, n := range arrivals(append([]*standin.Server{f.server}, f.extraServers...)...) {
		if n > 1 {
			t.Errorf("order %s ran %d times", id, n)
		}
	}
	t.Logf("%d calls with an answer, %d without; %d lines committed, %d permits taken; %d of %d orders served", h.known, h.open, len(last.Record), len(permits), h.served, h.sent)
	if h.served < h.sent*9/10 {
		t.Errorf("%d of %d orders were served", h.served, h.sent)
	}
}
