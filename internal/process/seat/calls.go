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

// Call is an operator's request to the council, sent to any agent.
type Call struct {
	// Token is drawn at random by the caller and makes the call idempotent: repeats with the same token are applied
	// once. Read-only calls need none.
	Token     uint64          `json:"token,string,omitempty"`
	Operation Operation       `json:"do"`
	ID        string          `json:"id,omitempty"`     // of the request
	Permit    uint64          `json:"permit,omitempty"` // number of the permit, for Take
	Ask       *work.Ask       `json:"ask,omitempty"`    // for Submit
	Promise   *promises.Entry `json:"hold,omitempty"`   // for ProposePromise
}

// Operation is the operation that a call requests.
type Operation string

// The operations.
const (
	Submit         Operation = "ask"
	Take           Operation = "take"
	Complete       Operation = "done"
	Cancel         Operation = "cancel"
	Fail           Operation = "fail"
	Show           Operation = "show"   // the state of one member, possibly stale; the report has its age
	Plan           Operation = "plan"   // the same, with the planned schedule
	Record         Operation = "record" // the same, with the record of committed decisions
	ReplicaSets    Operation = "holds"  // the replica sets of all promise holders
	ProposePromise Operation = "hold"   // an epoch or seal of a promise holder; between agents only
	Bootstrap      Operation = "found"  // makes the called agent the first member of a council; not forwarded
)

// entry returns the log entry that a call proposes; ok is false for a read-only call. A ProposePromise call has no
// work entry: e is empty and ok is true.
func (c *Call) entry(now int64) (e work.Entry, ok bool) {
	if c.Operation == ProposePromise {
		return e, true
	}
	kind, ok := map[Operation]work.Kind{Submit: work.Submit, Take: work.Take, Complete: work.Complete, Cancel: work.Cancel, Fail: work.Fail}[c.Operation]
	return work.Entry{Kind: kind, At: now, ID: c.ID, Permit: c.Permit, Ask: c.Ask}, ok
}

// check returns the first error of a call that is malformed.
func (c *Call) check() error {
	_, changes := c.entry(0)
	switch {
	case !changes && !slices.Contains([]Operation{Show, Plan, Record, ReplicaSets, Bootstrap}, c.Operation):
		return fmt.Errorf("do: unknown call %q", c.Operation)
	case changes && c.Token == 0:
		return errors.New("token: missing")
	case c.Operation == Submit && c.Ask == nil:
		return errors.New("ask: missing")
	case c.Operation == ProposePromise && c.Promise == nil:
		return errors.New("hold: missing")
	case changes && c.Operation != Submit && c.Operation != ProposePromise && c.ID == "":
		return errors.New("id: missing")
	}
	return nil
}

// Answer is the response to a call. Error is why it was rejected; Retryable means that the call is not known to have
// taken effect and may be repeated with the same token.
type Answer struct {
	Error     string  `json:"error,omitempty"`
	Retryable bool    `json:"again,omitempty"`
	Report    *Report `json:"report,omitempty"`
}

// Rejected is the error of a call that was rejected and has no effect.
type Rejected struct{ Reason string }

func (d *Rejected) Error() string { return d.Reason }

// Report is the state of the council as one member has applied it.
type Report struct {
	From             string                `json:"from"`                 // name of the reporting member
	Leader           string                `json:"leader"`               // empty: no leader is known
	Voters           []string              `json:"voters"`               // names, sorted
	Learners         []string              `json:"learners,omitempty"`   // names, sorted
	Term             uint64                `json:"term"`                 // of the member's log
	Applied          uint64                `json:"applied"`              // index of the last applied log entry
	LeaderAgeMs      int64                 `json:"age_ms"`               // since the last message of a leader; this state is at least as old
	Now              int64                 `json:"now"`                  // the log's time
	ExclusionVersion uint64                `json:"orders"`               // version of the list of excluded machines
	Excluded         []string              `json:"left_alone,omitempty"` // names of the excluded machines
	Requests         []Request             `json:"requests"`
	Plan             []Step                `json:"plan,omitempty"`
	Unschedulable    map[string]string     `json:"waits,omitempty"`  // why requests can never be scheduled, by id
	Record           []string              `json:"record,omitempty"` // recorded phase changes, the oldest first
	ReplicaSets      []promises.ReplicaSet `json:"holds,omitempty"`
}

// Request is a maintenance request in a report.
type Request struct {
	ID        string   `json:"id"`
	Machine   string   `json:"machine"`
	Phase     string   `json:"phase"`
	Permit    uint64   `json:"permit,omitempty"`     // number of the permit, from the grant on; 0: none
	Since     int64    `json:"since"`                // start of the phase, in the log's time
	Seconds   int64    `json:"seconds"`              // expected duration of the work
	NotBefore int64    `json:"not_before,omitempty"` // earliest start, in the log's time
	DueBy     int64    `json:"due_by,omitempty"`     // latest end, in the log's time; 0: none
	Urgent    bool     `json:"urgent,omitempty"`
	Overdue   bool     `json:"overdue,omitempty"`
	By        string   `json:"by,omitempty"`
	Purpose   string   `json:"for,omitempty"`     // the reason given with the request
	Why       string   `json:"why"`               // explanation of its phase, one sentence
	Missing   []string `json:"missing,omitempty"` // first of the agents that have not acknowledged the exclusion
}

// Step is one step of the plan.
type Step struct {
	ID      string   `json:"id"`
	Machine string   `json:"machine"`
	Begin   int64    `json:"begin"`          // in the log's time
	End     int64    `json:"end"`            // in the log's time
	With    []string `json:"with,omitempty"` // other machines that count as out at its begin
	Late    bool     `json:"late,omitempty"` // would end after DueBy
}

// Find returns the request with the id, or nil.
func (r *Report) Find(id string) *Request {
	for i := range r.Requests {
		if r.Requests[i].ID == id {
			return &r.Requests[i]
		}
	}
	return nil
}

// maxReportedFinished limits the finished requests in a report; the latest are kept.
const maxReportedFinished = 200

// report builds a report of the member's state.
func (s *Seat) report(do Operation) *Report {
	st, state := s.machine.Status(), s.machine.State()
	r := &Report{From: s.opt.Name, Leader: s.nameOf(st.Leader), Voters: s.namesOf(st.Voters), Learners: s.namesOf(st.Learners), Term: st.Term,
		Applied: st.Applied, LeaderAgeMs: int64(time.Duration(st.LeaderAge) * s.opt.Tick / time.Millisecond), Now: state.Now(), Requests: []Request{}}
	r.ExclusionVersion, r.Excluded = state.Excluded()
	machines := map[string]*work.Machine{}
	f := state.FleetState()
	for i := range f.Machines {
		machines[f.Machines[i].Name] = &f.Machines[i]
	}
	all := state.Requests()
	finished := 0
	for i := len(all) - 1; i >= 0; i-- {
		q := &all[i]
		if q.Phase >= work.Done {
			if finished++; finished > maxReportedFinished {
				continue
			}
		}
		request := Request{ID: q.ID, Machine: q.Machine, Phase: q.Phase.String(), Permit: q.Permit, Since: q.Since, Seconds: q.Seconds, NotBefore: q.NotBefore,
			DueBy: q.DueBy, Urgent: q.Urgent, Overdue: state.Overdue(q), By: q.By, Purpose: q.Ask.Why, Why: state.Explain(q.ID)}
		if m := machines[q.Machine]; m != nil && q.Phase == work.Emptying {
			request.Missing = m.UnacknowledgedNames
		}
		r.Requests = append(r.Requests, request)
	}
	slices.Reverse(r.Requests)
	switch do {
	case Plan:
		steps, waits := state.Plan()
		for _, p := range steps {
			r.Plan = append(r.Plan, Step(p))
		}
		slices.SortStableFunc(r.Plan, func(a, b Step) int { return cmp.Compare(a.Begin, b.Begin) })
		r.Unschedulable = waits
	case ReplicaSets:
		r.ReplicaSets = s.machine.Register().All()
	case Record:
		r.Record = state.Record()
	}
	return r
}

// maxCallBytes limits an encoded call.
const maxCallBytes = 16 << 10

// ReadCall decodes a call and returns an error if it is malformed.
func ReadCall(text []byte) (c Call, err error) {
	if len(text) > maxCallBytes {
		return c, fmt.Errorf("call: longer than %d bytes", maxCallBytes)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("call: %w", err)
	}
	return c, c.check()
}
