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

// operatorInput is the input of a call in the history.
type operatorInput struct {
	show   bool
	change operatorChange
}

type operatorOutput struct {
	verdict verdict
	shown   operatorChange
}

// initialChange is the configuration in force before a schedule begins.
var initialChange = operatorChange{0, 1, "first"}

// configurationRegister is the sequential model against which linearizability is checked: a compare-and-set register.
var configurationRegister = porcupine.Model{
	Init: func() any { return initialChange },
	Step: func(state, in, out any) (bool, any) {
		now, call, got := state.(operatorChange), in.(operatorInput), out.(operatorOutput)
		switch {
		case call.show:
			return got.shown == now, now
		case got.verdict == accepted:
			return now.version == call.change.base, call.change
		case got.verdict == rejected:
			return now.version != call.change.base, now
		case now.version == call.change.base: // no definite answer: accepted, or takes effect after all others
			return true, call.change
		}
		return true, now
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// acknowledgement is a change that was acknowledged.
type acknowledgement struct {
	change operatorChange
	sent   time.Time // send time of the attempt that was acknowledged
	at     time.Time
	from   string // control address
}

// storedCall is a change as it was sent.
type storedCall struct {
	path string
	body []byte
}

// operatorHistory records all calls of the operators with their answers.
type operatorHistory struct {
	run *scheduleRun

	mu      sync.Mutex
	ops     []porcupine.Operation
	changes map[string]operatorChange // by tag
	calls   map[operatorChange]storedCall
	acks    []acknowledgement
	refused []operatorChange
	chain   []operatorChange // the longest configuration that was shown
	report  *scheduleReport
}

func newOperatorHistory(run *scheduleRun) *operatorHistory {
	return &operatorHistory{
		run:     run,
		report:  run.report,
		changes: map[string]operatorChange{initialChange.tag: initialChange},
		calls:   map[operatorChange]storedCall{},
	}
}

func (h *operatorHistory) recordSent(o operatorChange, path string, body []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes[o.tag] = o
	h.calls[o] = storedCall{path, body}
}

func (h *operatorHistory) storedCall(o operatorChange) (path string, body []byte) {
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
		h.report.accepted++
	case rejected:
		h.report.refused++
	case shown:
		h.report.shown++
	}
}

func (h *operatorHistory) recordAck(o operatorChange, a callResult) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acks = append(h.acks, acknowledgement{o, a.sent, a.at, a.from})
}

func (h *operatorHistory) recordRefusal(o operatorChange) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.refused = append(h.refused, o)
}

// countAcksAfter counts the acknowledged changes with a higher version than one.
func (h *operatorHistory) countAcksAfter(o operatorChange) (n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acks {
		if a.change.version > o.version {
			n++
		}
	}
	return n
}

// checkResend checks the answer to a resent change against the definite answer that it had before.
func (h *operatorHistory) checkResend(o operatorChange, was verdict, status, since int) {
	h.mu.Lock()
	h.report.resent++
	if since >= lateResendChanges {
		h.report.lateResends++
	}
	h.mu.Unlock()
	if now := status == http.StatusOK; now != (was == accepted) {
		h.run.reportBreach("%v came again after %d further changes and was answered %d, which had been taken: %v", o,
			since, status, was == accepted)
	}
}

// countUnanswered counts a resent change that got no definite answer.
func (h *operatorHistory) countUnanswered() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.report.unanswered++
}

// newest returns the acknowledged change with the highest version; it reports false if there is none.
func (h *operatorHistory) newest() (acknowledgement, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.acks) == 0 {
		return acknowledgement{}, false
	}
	return slices.MaxFunc(h.acks, func(a, b acknowledgement) int { return a.change.version - b.change.version }), true
}

// newestBefore returns the change with the highest version among those acknowledged before a time.
func (h *operatorHistory) newestBefore(at time.Time) (newest operatorChange, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.acks {
		if a.at.Before(at) && a.change.version > newest.version {
			newest, ok = a.change, true
		}
	}
	return newest, ok
}

// primary returns the control address of the machine that acknowledged last; it is empty if none has.
func (h *operatorHistory) primary() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.acks) == 0 {
		return ""
	}
	return h.acks[len(h.acks)-1].from
}

// nextAfter returns the first acknowledgement of an attempt that was sent after a time.
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

// parseShown returns the changes in a shown configuration, the oldest first. Of two configurations that were shown, one
// must be a prefix of the other.
func (h *operatorHistory) parseShown(body []byte) ([]operatorChange, error) {
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
		o, known := h.changes[tag]
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

// linearizabilityTimeout bounds the search for a linearization of all calls.
const linearizabilityTimeout = 30 * time.Second

// check checks that the history is linearizable and that no acknowledged change was lost.
func (h *operatorHistory) check() {
	h.mu.Lock()
	ops, acks, chain := slices.Clone(h.ops), slices.Clone(h.acks), h.chain
	h.mu.Unlock()
	end := h.run.sinceBegin()
	for i := range ops {
		if ops[i].Return == math.MaxInt64 {
			ops[i].Return = end + int64(time.Hour) // no definite answer until now
		}
	}
	switch porcupine.CheckOperationsTimeout(configurationRegister, ops, linearizabilityTimeout) {
	case porcupine.Illegal:
		h.run.reportBreach("no order of %d calls explains their answers", len(ops))
	case porcupine.Unknown:
		h.run.reportBreach("%d calls weren't judged within %v", len(ops), linearizabilityTimeout)
	}
	for _, a := range acks {
		if !slices.Contains(chain, a.change) {
			h.run.reportBreach("%v was acknowledged by %s and isn't in the newest configuration shown", a.change,
				a.from)
		}
	}
}

// probe is one request to a proxy on the route that a change adds.
type probe struct {
	edge, incarnation int
	change            operatorChange
	sent, done        time.Time
	status            int
}

// checkProbes checks that each acknowledged change is in force at the proxies in time, and that they don't return to an
// older version.
func (run *scheduleRun) checkProbes() {
	apply, contact, downgrade := run.bound("apply_ms"), run.bound("contact_ms"), run.bound("downgrade_ms")
	acked := map[operatorChange]time.Time{}
	for _, a := range run.history.acks {
		acked[a.change] = a.at
	}
	type life struct{ edge, life int }
	inForce := map[life][]probe{} // served probes with ascending versions
	for _, p := range run.probes {
		run.report.probes++
		undisturbed := run.undisturbed(p.sent.Add(-contact), p.sent)
		if undisturbed {
			run.report.judged++
		}
		at := life{p.edge, p.incarnation}
		served := inForce[at]
		switch p.status {
		case http.StatusOK:
			if n := len(served); n == 0 || p.change.version > served[n-1].change.version {
				inForce[at] = append(served, p)
			}
		case http.StatusNotFound:
			if i := slices.IndexFunc(served,
				func(was probe) bool { return was.change.version >= p.change.version }); i >= 0 &&
				p.sent.After(served[i].done.Add(downgrade)) {
				run.reportBreach("edge %d went back: %v isn't in force, and %v was %v before", p.edge, p.change,
					served[i].change, p.sent.Sub(served[i].done))
			}
			if when, ok := acked[p.change]; ok && undisturbed && p.sent.After(when.Add(apply)) {
				run.reportBreach("edge %d: %v isn't in force %v after its acknowledgement, without a fault", p.edge,
					p.change, p.sent.Sub(when))
			}
		}
	}
}

// checkRefusedChanges checks that no rejected change is in force at a proxy.
func (run *scheduleRun) checkRefusedChanges(edge int, client *simulation.Client) {
	const most = 8
	refused := run.history.refused
	for _, o := range refused[max(0, len(refused)-most):] {
		if res := client.Do(run.ctx, changeRequest(o)); res.Status == http.StatusOK {
			run.reportBreach("edge %d serves the route of %v, which was refused", edge, o)
		}
	}
}
