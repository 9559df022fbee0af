package controlplane

import (
	"fmt"
	"net/http"
	"time"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

// verdict is the answer to a command that isn't proposed, based on the state at seq.
type verdict struct {
	status   int // HTTP status; 503: the outcome is unknown
	reason   string
	findings routingconfig.Findings
	seq      uint64
}

// judge returns the verdict on a command that was already accepted, can't be accepted any more, or whose outcome is
// unknown. It returns nil if the command is to be proposed.
//
// Safety: a command is rejected only if it was not accepted and can never be, because a copy of it may still be in
// transit: versions rise, so a base that was built on or skipped is never current again (TestHistories).
func (cs *controlState) judge(c *Command, checks ...routingconfig.Check) *verdict {
	current := cs.doc.Version()
	switch cs.accepted.lookup(c) {
	case sameChange:
		return &verdict{seq: cs.seq, status: http.StatusOK}
	case otherChange:
		return cs.verdict(http.StatusPreconditionFailed, "version %d is in place", current)
	case forgotten:
		return cs.verdict(http.StatusServiceUnavailable,
			"version %d is in place; what was accepted on version %d is not remembered any more", current, c.Base)
	}
	if c.Base > current {
		return cs.verdict(http.StatusServiceUnavailable,
			"version %d is in place; version %d is not known yet", current, c.Base)
	}
	if _, findings := c.applyTo(cs.doc, checks...); findings.Err() != nil {
		v := cs.verdict(http.StatusBadRequest, "the configuration is invalid")
		v.findings = findings
		return v
	}
	return nil
}

// verdict returns a verdict based on the current state.
func (cs *controlState) verdict(status int, format string, args ...any) *verdict {
	return &verdict{seq: cs.seq, status: status, reason: fmt.Sprintf(format, args...)}
}

// confirmedBy reports whether the verdict may be returned to the caller, given the answer to the Read that was
// submitted with it: the view is still current, and the state that the verdict is based on is committed. An uncommitted
// end of the log may still be lost.
func (v *verdict) confirmedBy(a replication.Answer) bool {
	return a.Result == replication.Confirmed && a.Seq >= v.seq
}

// submit passes a command to the replica in a single input: it either proposes the command, or requests a Read that
// must confirm the returned verdict.
func (cs *controlState) submit(
	m *replication.Machine, now time.Duration, token uint64, c *Command, checks ...routingconfig.Check,
) (*verdict, replication.Output) {
	if m.Status().Role != replication.Primary {
		return nil, m.Propose(now, token, nil) // rejected as NotPrimary
	}
	if v := cs.judge(c, checks...); v != nil {
		return v, m.Read(now, token)
	}
	body, _ := c.MarshalMsg(nil) // never fails
	return nil, m.Propose(now, token, body)
}

// outcome returns the answer for the caller of a submitted command, given the replica's answer.
func outcome(v *verdict, a replication.Answer) *verdict {
	switch {
	case v != nil && v.confirmedBy(a):
		return v
	case v == nil && a.Result == replication.Committed:
		return &verdict{status: http.StatusOK, seq: a.Seq}
	}
	return &verdict{status: http.StatusServiceUnavailable, reason: "not settled"}
}
