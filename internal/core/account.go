package core

import (
	"fmt"
	"time"

	"molepaddle/internal/decide/loss"
	"molepaddle/policy"
)

// This file keeps the account of what earned less than it could, where somebody wants it. The core's goroutine owns
// all of it.

// kept is what the account needs of a request; nobody wants it: it stays empty.
type kept struct {
	came    time.Time
	ended   time.Time
	outcome Outcome
}

// settled notes when and how a request was answered, or that its client waits no more.
func (c *Core) settled(r *Request, o Outcome) {
	if c.account == nil || !r.kept.ended.IsZero() {
		return
	}
	r.kept.ended, r.kept.outcome = time.Now(), o
}

// tried notes how an attempt has ended.
func (c *Core) tried(a *Attempt, res *Result) {
	if c.account == nil {
		return
	}
	b := a.backend
	a.took = res.took
	switch res.Status {
	case policy.OK:
		a.how = loss.Answered
	case policy.Error, policy.Reset:
		a.how = loss.Broken
	case policy.Timeout:
		a.how = loss.Silent
	case policy.ConnectFailed:
		if a.how = loss.Full; res.took >= ms(c.set.Limits.ConnectTimeoutMs*0.9) && c.set.Limits.ConnectTimeoutMs > 0 {
			a.how = loss.Silent
		}
	case policy.Cancelled:
		if a.how = loss.Unspent; !b.heard.After(a.started) && a.stage.Load() == sending {
			a.how = loss.Silent // until nobody waited any more
		}
	default:
		a.how = loss.Full
	}
}

// accounted tells of a request that is over, if it earned less than it could.
func (c *Core) accounted(r *Request) {
	if c.account == nil || r.kept.came.IsZero() || r.kept.ended.IsZero() {
		return
	}
	since := func(t time.Time) float64 { return float64(t.Sub(r.kept.came).Microseconds()) / 1000 }
	k := &c.set.Classes[min(max(r.Class, 0), len(c.set.Classes)-1)]
	rec := loss.Record{Class: k.Name, At: r.kept.came.UnixMilli(), Worth: k.Value, Aim: k.LatencyTargetMs + k.LatencyTargetStretch*r.HintMs, Ended: since(r.kept.ended),
		Outcome: [...]string{"failed", "served", "refused", "repeated", "overdue", "gone"}[r.kept.outcome]}
	if r.kept.outcome == Gone && !r.kept.ended.Before(r.Deadline.Add(-2*guardMargin)) {
		rec.Outcome = "overdue"
	}
	switch {
	case r.kept.outcome == Repeated, r.kept.outcome == Served && rec.Ended <= rec.Aim:
		return
	case r.kept.outcome == Served:
		rec.Earned = k.Value * min(max(k.LateValueFraction, 0), 1)
	}
	for _, a := range r.attempts {
		how := a.how
		if !a.ended { // it goes on, and nobody waits
			how = loss.Unspent
		}
		rec.Tries = append(rec.Tries, loss.Try{Server: fmt.Sprintf("%x", a.backend.addr), Zone: a.backend.zone, At: since(a.started), Took: float64(a.took.Microseconds()) / 1000, How: how})
	}
	c.account(&rec)
}
