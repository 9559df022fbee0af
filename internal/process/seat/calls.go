package seat

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"molepaddle/internal/decide/promises"
	"molepaddle/internal/decide/work"
)

// Call is what an operator wants of the council, at whatever agent.
type Call struct {
	// Token is drawn by whoever calls: under the same one a call counts once, however often it is made.
	// Those that change nothing need none.
	Token  uint64          `json:"token,string,omitempty"`
	Do     Do              `json:"do"`
	ID     string          `json:"id,omitempty"` // of the request
	Permit uint64          `json:"permit,omitempty"`
	Ask    *work.Ask       `json:"ask,omitempty"`
	Hold   *promises.Entry `json:"hold,omitempty"`
}

// Do is what a call does.
type Do string

// The calls.
const (
	Ask    Do = "ask"
	Take   Do = "take"
	Back   Do = "done"
	Cancel Do = "cancel"
	Fail   Do = "fail"
	Show   Do = "show"   // what a member has; it may be old, and says how old
	Plan   Do = "plan"   // the same, with what is to be expected
	Record Do = "record" // and with what was settled
	Holds  Do = "holds"  // who holds for whom
	Hold   Do = "hold"   // an epoch or a seal of it; agents' own, not for the door
	Found  Do = "found"  // at the agent that is called, and nowhere else
)

// entry is the line of the log that a call wants; ok: it wants one.
func (c *Call) entry(now int64) (e work.Entry, ok bool) {
	if c.Do == Hold {
		return e, true
	}
	kind, ok := map[Do]work.Kind{Ask: work.Submit, Take: work.Take, Back: work.Complete, Cancel: work.Cancel, Fail: work.Fail}[c.Do]
	return work.Entry{Kind: kind, At: now, ID: c.ID, Permit: c.Permit, Ask: c.Ask}, ok
}

// check tells what is wrong with a call.
func (c *Call) check() error {
	_, changes := c.entry(0)
	switch {
	case !changes && !slices.Contains([]Do{Show, Plan, Record, Holds, Found}, c.Do):
		return fmt.Errorf("do: no call %q", c.Do)
	case changes && c.Token == 0:
		return errors.New("token: missing")
	case c.Do == Ask && c.Ask == nil:
		return errors.New("ask: missing")
	case c.Do == Hold && c.Hold == nil:
		return errors.New("hold: missing")
	case changes && c.Do != Ask && c.Do != Hold && c.ID == "":
		return errors.New("id: missing")
	}
	return nil
}

// Answer is what comes of a call. Error is why it was turned down; Again says that nothing is known to have
// come of it: the same call may be made once more.
type Answer struct {
	Error  string  `json:"error,omitempty"`
	Again  bool    `json:"again,omitempty"`
	Report *Report `json:"report,omitempty"`
}

// Declined is a call that was turned down, and counts for nothing.
type Declined struct{ Why string }

func (d *Declined) Error() string { return d.Why }

// Report is what a member of the council has.
type Report struct {
	From     string                `json:"from"`   // who tells
	Leader   string                `json:"leader"` // empty: it hears none
	Voters   []string              `json:"voters"`
	Learners []string              `json:"learners,omitempty"`
	Term     uint64                `json:"term"`
	Applied  uint64                `json:"applied"`
	AgeMs    int64                 `json:"age_ms"` // since it has heard a leader: what stands here may be older than that, never newer
	Now      int64                 `json:"now"`    // the log's time
	Orders   uint64                `json:"orders"` // the version of the list of machines that are left alone
	Alone    []string              `json:"left_alone,omitempty"`
	Requests []Request             `json:"requests"`
	Plan     []Step                `json:"plan,omitempty"`
	Waits    map[string]string     `json:"waits,omitempty"` // of the plan: why these never go
	Record   []string              `json:"record,omitempty"`
	Holds    []promises.ReplicaSet `json:"holds,omitempty"`
}

// Request is one as a report tells it.
type Request struct {
	ID        string   `json:"id"`
	Machine   string   `json:"machine"`
	Phase     string   `json:"phase"`
	Permit    uint64   `json:"permit,omitempty"`
	Since     int64    `json:"since"` // by the log's time
	Seconds   int64    `json:"seconds"`
	NotBefore int64    `json:"not_before,omitempty"`
	DueBy     int64    `json:"due_by,omitempty"`
	Urgent    bool     `json:"urgent,omitempty"`
	Overdue   bool     `json:"overdue,omitempty"`
	By        string   `json:"by,omitempty"`
	For       string   `json:"for,omitempty"` // what it was asked for
	Why       string   `json:"why"`           // in a sentence, why it is where it is
	Missing   []string `json:"missing,omitempty"`
}

// Step is one of the plan.
type Step struct {
	ID      string   `json:"id"`
	Machine string   `json:"machine"`
	Begin   int64    `json:"begin"`
	End     int64    `json:"end"`
	With    []string `json:"with,omitempty"`
	Late    bool     `json:"late,omitempty"`
}

// Find is the request of an id; nil: there is none.
func (r *Report) Find(id string) *Request {
	for i := range r.Requests {
		if r.Requests[i].ID == id {
			return &r.Requests[i]
		}
	}
	return nil
}

// maxShown bounds the requests of a report that are over, the latest first.
const maxShown = 200

// report words what the member has.
func (s *Seat) report(do Do) *Report {
	st, state := s.machine.Status(), s.machine.State()
	r := &Report{From: s.opt.Name, Leader: s.nameOf(st.Leader), Voters: s.namesOf(st.Voters), Learners: s.namesOf(st.Learners), Term: st.Term,
		Applied: st.Applied, AgeMs: int64(time.Duration(st.LeaderAge) * s.opt.Tick / time.Millisecond), Now: state.Now(), Requests: []Request{}}
	r.Orders, r.Alone = state.Excluded()
	facts := map[string]*work.Machine{}
	f := state.FleetState()
	for i := range f.Machines {
		facts[f.Machines[i].Name] = &f.Machines[i]
	}
	all := state.Requests()
	over := 0
	for i := len(all) - 1; i >= 0; i-- {
		q := &all[i]
		if q.Phase >= work.Done {
			if over++; over > maxShown {
				continue
			}
		}
		one := Request{ID: q.ID, Machine: q.Machine, Phase: q.Phase.String(), Permit: q.Permit, Since: q.Since, Seconds: q.Seconds, NotBefore: q.NotBefore,
			DueBy: q.DueBy, Urgent: q.Urgent, Overdue: state.Overdue(q), By: q.By, For: q.Ask.Why, Why: state.Explain(q.ID)}
		if m := facts[q.Machine]; m != nil && q.Phase == work.Emptying {
			one.Missing = m.UnacknowledgedNames
		}
		r.Requests = append(r.Requests, one)
	}
	slices.Reverse(r.Requests)
	switch do {
	case Plan:
		steps, waits := state.Plan()
		for _, p := range steps {
			r.Plan = append(r.Plan, Step(p))
		}
		slices.SortStableFunc(r.Plan, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
		r.Waits = waits
	case Holds:
		r.Holds = s.machine.Register().All()
	case Record:
		r.Record = state.Record()
	}
	return r
}

// maxCall bounds a call's text, in bytes.
const maxCall = 16 << 10

// ReadCall reads a call, and reports the first thing that is wrong with it.
func ReadCall(text []byte) (c Call, err error) {
	if len(text) > maxCall {
		return c, fmt.Errorf("call: over %d bytes", maxCall)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("call: %w", err)
	}
	return c, c.check()
}
