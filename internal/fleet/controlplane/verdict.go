package controlplane

import (
	"fmt"
	"net/http"
	"time"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/routingconfig"
)

// verdict is the answer to a command that isn't proposed, as the state stood at seq.
type verdict struct {
	status   int // of HTTP; 503: no clear answer can be given
	reason   string
	findings routingconfig.Findings
	seq      uint64
}

// judge answers a command that was accepted already, can't be accepted any more, or whose fate isn't known; nil: it
// is to be proposed.
//
// Safety: a command is refused only if it was not accepted and never can be, as a copy of it may still be on its way:
// versions rise, so that a base that was built on or passed over is never current again (TestHistories).
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

// verdict returns a verdict on the state as it stands.
func (cs *controlState) verdict(status int, format string, args ...any) *verdict {
	return &verdict{seq: cs.seq, status: status, reason: fmt.Sprintf(format, args...)}
}

// confirmedBy reports whether a verdict may be given after this answer to a Read that came with it: the view still stands,
// and what the verdict is about is committed, as the end of a log may yet be lost.
func (v *verdict) confirmedBy(a replication.Answer) bool {
	return a.Result == replication.Confirmed && a.Seq >= v.seq
}

// submit hands a command to the replica whose state this is, by one input: the command is proposed, or a Read is
// asked for that has to confirm the verdict which is returned.
func (cs *controlState) submit(
	m *replication.Machine, now time.Duration, token uint64, c *Command, checks ...routingconfig.Check,
) (*verdict, replication.Output) {
	if m.Status().Role != replication.Primary {
		return nil, m.Propose(now, token, nil) // refused: NotPrimary
	}
	if v := cs.judge(c, checks...); v != nil {
		return v, m.Read(now, token)
	}
	body, _ := c.MarshalMsg(nil) // it has no way to fail
	return nil, m.Propose(now, token, body)
}

// outcome is what the caller is answered about a command that was submitted, once the replica has answered.
func outcome(v *verdict, a replication.Answer) *verdict {
	switch {
	case v != nil && v.confirmedBy(a):
		return v
	case v == nil && a.Result == replication.Committed:
		return &verdict{status: http.StatusOK, seq: a.Seq}
	}
	return &verdict{status: http.StatusServiceUnavailable, reason: "not settled"}
}
