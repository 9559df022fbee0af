package core

import (
	"fmt"
	"time"

	"molepaddle/internal/decide/loss"
	"molepaddle/policy"
)

// This file records requests that earned less than their full value, if Options.ReportLoss is set. The core's
// goroutine owns all of its state.

// requestTiming holds what the loss record of a request needs. It is empty if losses are not reported.
type requestTiming struct {
	arrivedAt time.Time
	endedAt   time.Time
	outcome   Outcome
}

// recordEnd records when and how a request was answered or dropped by its client.
func (c *Core) recordEnd(r *Request, o Outcome) {
	if c.reportLoss == nil || !r.timing.endedAt.IsZero() {
		return
	}
	r.timing.endedAt, r.timing.outcome = time.Now(), o
}

// recordAttempt records how an attempt ended.
func (c *Core) recordAttempt(a *Attempt, res *Result) {
	if c.reportLoss == nil {
		return
	}
	b := a.backend
	a.duration = res.duration
	switch res.Status {
	case policy.OK:
		a.ending = loss.Answered
	case policy.Error, policy.Reset:
		a.ending = loss.Errored
	case policy.Timeout:
		a.ending = loss.TimedOut
	case policy.ConnectFailed:
		if a.ending = loss.Rejected; res.duration >= ms(c.set.Limits.ConnectTimeoutMs*0.9) &&
			c.set.Limits.ConnectTimeoutMs > 0 {
			a.ending = loss.TimedOut
		}
	case policy.Cancelled:
		if a.ending = loss.Abandoned; !b.lastAnswer.After(a.started) && a.stage.Load() == sending {
			a.ending = loss.TimedOut // no answer until the request was over
		}
	default:
		a.ending = loss.Rejected
	}
}

// reportIfLoss reports a finished request if it earned less than its full value.
func (c *Core) reportIfLoss(r *Request) {
	if c.reportLoss == nil || r.timing.arrivedAt.IsZero() || r.timing.endedAt.IsZero() {
		return
	}
	since := func(t time.Time) float64 { return float64(t.Sub(r.timing.arrivedAt).Microseconds()) / 1000 }
	k := &c.set.Classes[min(max(r.Class, 0), len(c.set.Classes)-1)]
	rec := loss.Record{Class: k.Name, At: r.timing.arrivedAt.UnixMilli(), Value: k.Value,
		TargetMs: k.LatencyTargetMs + k.LatencyTargetStretch*r.HintMs, EndedMs: since(r.timing.endedAt),
		Outcome: [...]string{"failed", "served", "refused", "repeated", "overdue", "gone"}[r.timing.outcome]}
	if r.timing.outcome == ClientGone && !r.timing.endedAt.Before(r.Deadline.Add(-2*guardMargin)) {
		rec.Outcome = "overdue"
	}
	switch {
	case r.timing.outcome == Duplicate, r.timing.outcome == Served && rec.EndedMs <= rec.TargetMs:
		return
	case r.timing.outcome == Served:
		rec.Earned = k.Value * min(max(k.LateValueFraction, 0), 1)
	}
	for _, a := range r.attempts {
		how := a.ending
		if !a.ended { // still in flight after the request was over
			how = loss.Abandoned
		}
		rec.Attempts = append(rec.Attempts, loss.Attempt{
			Server:     fmt.Sprintf("%x", a.backend.addr),
			Zone:       a.backend.zone,
			At:         since(a.started),
			DurationMs: float64(a.duration.Microseconds()) / 1000,
			Ending:     how,
		})
	}
	c.reportLoss(&rec)
}
