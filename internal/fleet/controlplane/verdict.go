package controlplane

import (
	"fmt"
	"net/http"
	"time"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

// verdict is the answer to a call that isn't proposed, as the record stood at seq.
type verdict struct {
	status   int // 503: no clear answer can be given
	reason   string
	findings routingconfig.Findings
	seq      uint64
}

// judge answers a call that was accepted already, can't be accepted any more, or whose fate isn't known; nil: it is to be
// proposed. A call is refused only if it was not accepted and never can be, as a copy of it may still be on its way:
// versions rise, so that a base that was built on or passed over is never current again.
func (r *controlState) judge(c *Command, checks ...routingconfig.Check) *verdict {
	current := r.doc.Version()
	switch r.accepted.lookup(c) {
	case sameChange:
		return &verdict{seq: r.seq, status: http.StatusOK}
	case otherChange:
		return &verdict{seq: r.seq, status: http.StatusPreconditionFailed, reason: fmt.Sprintf("version %d is in place", current)}
	case forgotten:
		return &verdict{seq: r.seq, status: http.StatusServiceUnavailable,
			reason: fmt.Sprintf("version %d is in place; what was accepted on version %d is not remembered any more", current, c.Base)}
	}
	if c.Base > current {
		return &verdict{seq: r.seq, status: http.StatusServiceUnavailable,
			reason: fmt.Sprintf("version %d is in place; version %d is not known yet", current, c.Base)}
	}
	if _, found := c.applyTo(r.doc, checks...); found.Err() != nil {
		return &verdict{seq: r.seq, status: http.StatusBadRequest, reason: "the configuration is invalid", findings: found}
	}
	return nil
}

// holds reports whether a verdict may be told after this answer to a Read that came with it: the view still stands, and
// what the verdict is about is committed, as the end of a record may yet be lost.
func (v *verdict) holds(a replication.Answer) bool {
	return a.Result == replication.Confirmed && a.Seq >= v.seq
}

// submit hands a call to the machine whose record this is, by one input: the call is proposed, or a Read is asked for that
// has to confirm the verdict which is given.
func (r *controlState) submit(m *replication.Machine, now time.Duration, token uint64, c *Command, checks ...routingconfig.Check) (*verdict, replication.Output) {
	if m.Status().Role != replication.Primary {
		return nil, m.Propose(now, token, nil) // refused: NotPrimary
	}
	if v := r.judge(c, checks...); v != nil {
		return v, m.Read(now, token)
	}
	body, _ := c.MarshalMsg(nil) // it has no way to fail
	return nil, m.Propose(now, token, body)
}

// outcome is what the caller is told of a call that was submitted, once the machine has answered.
func outcome(v *verdict, a replication.Answer) *verdict {
	switch {
	case v != nil && v.holds(a):
		return v
	case v == nil && a.Result == replication.Committed:
		return &verdict{status: http.StatusOK, seq: a.Seq}
	}
	return &verdict{status: http.StatusServiceUnavailable, reason: "not settled"}
}
