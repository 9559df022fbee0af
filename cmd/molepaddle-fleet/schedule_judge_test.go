package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/simulation"
)

// operatorInput is a call in the history.
type operatorInput struct {
	show  bool
	order operatorChange
}

type operatorOutput struct {
	verdict verdict
	shown   operatorChange
}

// initialChange is the configuration that is there before a schedule begins.
var initialChange = operatorChange{0, 1, "first"}

// configurationRegister is one machine that does one thing after the other.
var configurationRegister = porcupine.Model{
	Init: func() any { return initialChange },
	Step: func(state, in, out any) (bool, any) {
		now, call, got := state.(operatorChange), in.(operatorInput), out.(operatorOutput)
		switch {
		case call.show:
			return got.shown == now, now
		case got.verdict == accepted:
			return now.version == call.order.base, call.order
		case got.verdict == rejected:
			return now.version != call.order.base, now
		case now.version == call.order.base: // without an answer: it was accepted, or comes after all else
			return true, call.order
		}
		return true, now
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// acknowledgement is a change that was acknowledged.
type acknowledgement struct {
	order operatorChange
	sent  time.Time // when the attempt that was acknowledged was sent
	at    time.Time
	from  string // control address
}

// storedCall is a change as it was sent.
type storedCall struct {
	path string
	body []byte
}

// operatorHistory is all calls of the operators, with their answers.
type operatorHistory struct {
	run *scheduleRun

	mu      sync.Mutex
	ops     []porcupine.Operation
	orders  map[string]operatorChange // by tag
	calls   map[operatorChange]storedCall
	acks    []acknowledgement
	refused []operatorChange
	chain   []operatorChange // the longest configuration that was shown
	report  *scheduleReport
}

func newOperatorHistory(run *scheduleRun) *operatorHistory {
	return &operatorHistory{
		run:    run,
		report: run.report,
		orders: map[string]operatorChange{initialChange.tag: initialChange},
		calls:  map[operatorChange]storedCall{},
	}
}

func (h *operatorHistory) ordered(o operatorChange, path string, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.orders[o.tag] = o
	h.calls[o] = storedCall{path, body}
}

func (h *operatorHistory) callOf(o operatorChange) (path string, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.calls[o]
	return c.path, c.body
}

func (h *operatorHistory) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	switch op.Output.(operatorOutput).verdict {
	case accepted:
		h.report.taken++
	case rejected:
		h.report.refused++
	case shown:
		h.report.shown++
	}
}

func (h *operatorHistory) acknowledged(o operatorChange, a callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acks = append(h.acks, acknowledgement{o, a.sent, a.at, a.from})
}

func (h *operatorHistory) refuses(o operatorChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = append(h.refused, o)
}

// takenSince counts the changes acknowledged after one.
func (h *operatorHistory) takenSince(o operatorChange) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acks {
		if a.order.version > o.version {
			n++
		}
	}
	return n
}

// repeated judges the answer to a change that had a clear answer before and came again.
func (h *operatorHistory) repeated(o operatorChange, was verdict, status, since int) {
	h.mu.Lock()
	h.report.again++
	if since >= lateResendChanges {
		h.report.late++
	}
	h.mu.Unlock()
	if now := status == http.StatusOK; now != (was == accepted) {
		h.run.reportBreach("%v came again after %d further changes and was answered %d, which had been taken: %v", o,
			since, status, was == accepted)
	}
}

// unanswered counts a change that came again and got no clear answer.
func (h *operatorHistory) unanswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report.unanswered++
}

// newest is the acknowledged change with the highest version; false: there is none.
func (h *operatorHistory) newest() (acknowledgement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.acks) == 0 {
		return acknowledgement{}, false
	}
	return slices.MaxFunc(h.acks, func(a, b acknowledgement) int { return a.order.version - b.order.version }), true
}

// newestBefore is the change with the highest version among those acknowledged before a time.
func (h *operatorHistory) newestBefore(at time.Time) (newest operatorChange, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acks {
		if a.at.Before(at) && a.order.version > newest.version {
			newest, ok = a.order, true
		}
	}
	return newest, ok
}

// primary is the control address of who acknowledged last; empty: nobody has.
func (h *operatorHistory) primary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.acks) == 0 {
		return ""
	}
	return h.acks[len(h.acks)-1].from
}

// nextAfter is the first acknowledgement of an attempt that was sent after a time.
func (h *operatorHistory) nextAfter(at time.Time) (acknowledgement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var first acknowledgement
	for _, a := range h.acks {
		if a.sent.After(at) && (first.at.IsZero() || a.at.Before(first.at)) {
			first = a
		}
	}
	return first, !first.at.IsZero()
}

// read gives the changes that a shown configuration holds, the oldest first. One of two configurations that were
// shown must go on from the other.
func (h *operatorHistory) read(body []byte) ([]operatorChange, error) {
	var doc struct {
		Version int `json:"ver"`
		Routing []struct{ Name string }
	}
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var changes []operatorChange
	for _, r := range doc.Routing {
		version, tag, ok := parseRouteName(r.Name)
		if !ok {
			continue
		}
		o, known := h.orders[tag]
		if !known || o.version != version {
			return nil, errors.Errorf("route %s", r.Name)
		}
		changes = append(changes, o)
	}
	slices.SortFunc(changes, func(a, b operatorChange) int { return a.version - b.version })
	for i, o := range changes {
		if i > 0 && o.base != changes[i-1].version {
			return nil, errors.Errorf("%v follows %v", o, changes[i-1])
		}
	}
	if len(changes) == 0 || changes[0] != initialChange || changes[len(changes)-1].version != doc.Version {
		return nil, errors.Errorf("version %d with the changes %v", doc.Version, changes)
	}
	both := min(len(changes), len(h.chain))
	if !slices.Equal(changes[:both], h.chain[:both]) {
		return nil, errors.Errorf("%v and %v were both shown", changes, h.chain)
	}
	if len(changes) > len(h.chain) {
		h.chain = changes
	}
	return changes, nil
}

// historyWithin bounds the search for an order of all calls.
const historyWithin = 30 * time.Second

// checkRules looks for an order of all calls that explains the answers, and for changes that were lost.
func (h *operatorHistory) judge() {
	h.mu.Lock()
	ops, acks, chain := slices.Clone(h.ops), slices.Clone(h.acks), h.chain
	h.mu.Unlock()
	end := h.run.sinceBegin()
	for i := range ops {
		if ops[i].Return == math.MaxInt64 {
			ops[i].Return = end + int64(time.Hour) // with no clear answer until now
		}
	}
	switch porcupine.CheckOperationsTimeout(configurationRegister, ops, historyWithin) {
	case porcupine.Illegal:
		h.run.reportBreach("no order of %d calls explains their answers", len(ops))
	case porcupine.Unknown:
		h.run.reportBreach("%d calls weren't judged within %v", len(ops), historyWithin)
	}
	for _, a := range acks {
		if !slices.Contains(chain, a.order) {
			h.run.reportBreach("%v was acknowledged by %s and isn't in the newest configuration shown", a.order, a.from)
		}
	}
}

// probe is one request to a proxy on the route of a change.
type probe struct {
	edge, life int
	order      operatorChange
	sent, done time.Time
	status     int
}

// judgeProbes asks that proxies have each acknowledged change in force in time, and don't go back.
func (run *scheduleRun) judgeProbes() {
	apply, contact, downgrade := run.bound("apply_ms"), run.bound("contact_ms"), run.bound("downgrade_ms")
	acked := map[operatorChange]time.Time{}
	for _, a := range run.history.acks {
		acked[a.order] = a.at
	}
	type life struct{ edge, life int }
	inForce := map[life][]probe{} // those that were served, of rising versions
	for _, p := range run.probes {
		run.report.probes++
		calm := run.undisturbed(p.sent.Add(-contact), p.sent)
		if calm {
			run.report.judged++
		}
		at := life{p.edge, p.life}
		served := inForce[at]
		switch p.status {
		case http.StatusOK:
			if n := len(served); n == 0 || p.order.version > served[n-1].order.version {
				inForce[at] = append(served, p)
			}
		case http.StatusNotFound:
			if i := slices.IndexFunc(served, func(was probe) bool { return was.order.version >= p.order.version }); i >= 0 &&
				p.sent.After(served[i].done.Add(downgrade)) {
				run.reportBreach("edge %d went back: %v isn't in force, and %v was %v before", p.edge, p.order, served[i].order,
					p.sent.Sub(served[i].done))
			}
			if when, ok := acked[p.order]; ok && calm && p.sent.After(when.Add(apply)) {
				run.reportBreach("edge %d: %v isn't in force %v after its acknowledgement, in calm", p.edge, p.order,
					p.sent.Sub(when))
			}
		}
	}
}

// judgeRefused asks that no refused change is in force at a proxy.
func (run *scheduleRun) judgeRefused(edge int, client *simulation.Client) {
	const most = 8
	refused := run.history.refused
	for _, o := range refused[max(0, len(refused)-most):] {
		if res := client.Do(run.ctx, changeRequest(o)); res.Status == http.StatusOK {
			run.reportBreach("edge %d serves the route of %v, which was refused", edge, o)
		}
	}
}
