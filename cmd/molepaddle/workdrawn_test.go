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

// Drawn schedules of faults on six processes while operators at all of them ask, take, call off and say done, and
// clients send orders: what operators were told could have been told by one that does one thing after
// the other; never more servers were away than the bounds allow; no number was given twice; no order ran
// twice; once the faults end all that sit have the same.
func TestWorkDrawn(t *testing.T) {
	for k := range *workSchedules {
		seed := *workFrom + uint64(k)
		f := newWorkers(t, 6, 5, 4)
		f.start(0, 1, 2, 3, 4, 5)
		f.agree("at first", 0, 1, 2, 3, 4, 5)
		f.council()
		s := many.Draw(seed, 6)
		h := &history{f: f, began: time.Now(), ended: make(chan struct{})}
		for who := range 3 {
			h.wg.Go(func() { h.operator(who, rand.New(rand.NewPCG(seed, uint64(who)))) })
		}
		h.wg.Go(h.orders)
		left := f.faults(s)
		for i := range f.all { // a council whose disks are all there goes on; one that is down is none
			if !slices.Contains(left, i) {
				f.start(i)
				left = append(left, i)
			}
		}
		f.agree("it settles", left...)
		eventually(t, "operators and clients were told enough", f.all[left[0]].out, h.enough)
		close(h.ended)
		h.wg.Wait()
		h.check(left)
		if t.Failed() {
			t.Fatal(s)
		}
		for _, i := range left {
			_ = f.all[i].cmd.Process.Kill()
		}
	}
}

// history is what operators did and were told.
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

// done is an operator's call, and told what came of it: "ok", "no" or "unknown".
type done struct {
	do     seat.Operation
	id     string
	permit uint64
}

// enough tells whether a check says anything.
func (h *history) enough() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known >= 20 && h.served >= 50
}

// machineOf is the machine that a request is about: a server's for four, an agent's for two.
func machineOf(k int) string { return []string{"v1", "v2", "v3", "v4", "h4", "h5"}[k] }

// operator does drawn things at drawn agents until the faults are over.
func (h *history) operator(who int, rng *rand.Rand) {
	for n := 0; ; n++ {
		select {
		case <-h.ended:
			return
		case <-time.After(time.Duration(20+rng.IntN(120)) * time.Millisecond): // people take their time
		}
		i, k, round := rng.IntN(6), rng.IntN(6), n/20
		// Each operator has requests of his own; two share those of an agent's machine.
		op := done{id: fmt.Sprintf("%s-%d-%d", machineOf(k), who, round)}
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
		h.note(who, op, at, err)
	}
}

// note writes down what an operator was told.
func (h *history) note(who int, op done, at int64, err error) {
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

// orders sends orders through all agents, one after the other, whoever runs.
func (h *history) orders() {
	client := http.Client{Timeout: 3 * time.Second}
	for k := 0; ; k++ {
		select {
		case <-h.ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/order/u%d", h.f.all[k%6].listen, k), strings.NewReader("x"))
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

// lifeOf is what one machine that does one thing after the other would tell of a request.
var lifeOf = porcupine.Model{
	Partition: func(ops []porcupine.Operation) (parts [][]porcupine.Operation) {
		by := map[string][]porcupine.Operation{}
		for _, o := range ops {
			id := o.Input.(done).id
			by[id] = append(by[id], o)
		}
		for _, part := range by {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		s, op, told := state.(string), input.(done), output.(string)
		next, may := s, true // what a yes makes of it, and whether it can be one
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
		case seat.Show: // at the end, what it was found to be
			return s == told || told == "asked" && s == "" || strings.HasPrefix(s, "out") && told == "out", s
		}
		switch told {
		case "ok":
			return may, next
		case "no":
			// Grants and what is seen come from elsewhere, so a no says little; it says this.
			sure := op.do == seat.Take && s == fmt.Sprint("out", op.permit) || op.do == seat.Complete && strings.HasPrefix(s, "out") || op.do == seat.Cancel && s == "asked"
			return !sure, s
		}
		if may { // it never knew; one that never counted stands behind all others, as it has no end
			return true, next
		}
		return true, s
	},
}

// check holds all that was told against itself and against what the servers saw.
func (h *history) check(left []int) {
	t, f := h.f.t, h.f
	t.Helper()
	var shown []*seat.Report
	for _, i := range left {
		eventually(t, "it shows the council's record", f.all[i].out, func() bool {
			r, err := f.call(i, 5*time.Second, seat.Call{Operation: seat.Record})
			if err == nil && r.Leader != "" && r.LeaderAgeMs < 1000 {
				shown = append(shown, r)
			}
			return err == nil && r.Leader != ""
		})
	}
	if len(shown) == 0 {
		t.Fatal("nobody shows anything")
	}
	last := slices.MaxFunc(shown, func(a, b *seat.Report) int { return int(a.Applied) - int(b.Applied) })
	at := time.Since(h.began).Nanoseconds()
	for _, q := range last.Requests {
		phase := map[string]string{"emptying": "asked", "granted": "asked", "returning": "back", "done": "back"}[q.Phase]
		if phase == "" {
			phase = q.Phase
		}
		h.ops = append(h.ops, porcupine.Operation{ClientId: 9, Input: done{do: seat.Show, id: q.ID}, Call: at, Output: phase, Return: at + 1})
	}
	if got := porcupine.CheckOperationsTimeout(lifeOf, h.ops, 20*time.Second); got == porcupine.Illegal {
		for _, o := range h.ops {
			t.Logf("%d %+v: %v, %v to %v", o.ClientId, o.Input, o.Output, time.Duration(o.Call), time.Duration(o.Return))
		}
		t.Errorf("no order of these calls explains what was told")
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
				t.Errorf("%d of four servers are away, and need leaves one: %s", n, line)
			}
		}
		if _, permit, ok := strings.Cut(line, "taken under permit "); ok {
			if was := permits[permit]; was != "" && was != id {
				t.Errorf("permit %s is %s's and %s's", permit, was, id)
			}
			permits[permit] = id
		}
	}
	for id, n := range came(append([]*standin.Server{f.server}, f.more...)...) {
		if n > 1 {
			t.Errorf("order %s ran %d times", id, n)
		}
	}
	t.Logf("%d calls with an answer, %d without; %d lines settled, %d taken; %d of %d orders served", h.known, h.open, len(last.Record), len(permits), h.served, h.sent)
	if h.served < h.sent*9/10 {
		t.Errorf("%d of %d orders were served", h.served, h.sent)
	}
}
