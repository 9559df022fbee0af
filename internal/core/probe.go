package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

const (
	// probeTarget is the request target of health checks; a server is healthy if it answers 200.
	probeTarget = "/health"
	// minProbeTimeout is the minimum time-out of a probe, however short the connect time-out is.
	minProbeTimeout = 250 * time.Millisecond
)

// probe starts a health check of a server. For the transport it is an attempt of a request
// without an id. It counts neither as a request nor as an attempt. The Decider limits the
// number of probes in flight and gets the result of each.
func (c *Core) probe(addr cluster.Addr) {
	b := c.byAddr[addr]
	if b == nil || !b.usable {
		c.pending = append(c.pending, input{kind: inProbed, att: &Attempt{backend: &backend{addr: addr}},
			res: Result{Status: policy.Abandoned}})
		return
	}
	r := &Request{Message: Message{Method: "GET", Target: probeTarget, Host: "backend.local"}}
	var a *Attempt
	a = NewAttempt(c.ctx, r, max(2*ms(c.set.Limits.ConnectTimeoutMs), minProbeTimeout), func(res Result) {
		c.post(input{kind: inProbed, att: a, res: res})
	})
	a.backend = b
	b.probes = append(b.probes, a)
	if b.endpoint.Start(a) != nil {
		a.Withdraw(ErrNoSocket)
		c.pending = append(c.pending, input{kind: inProbed, att: a, res: Result{Status: policy.Full}})
	}
}

// onProbed passes the result of a probe to the Decider.
func (c *Core) onProbed(a *Attempt, res *Result) {
	b := a.backend
	b.probes = slices.DeleteFunc(b.probes, func(o *Attempt) bool { return o == a })
	c.dispatch(&policy.Event{Kind: policy.EvProbed, Server: b.addr, Status: res.Status,
		LatencyMs: float64(res.duration) / float64(time.Millisecond), Report: report(res.Load, c.set.LoadReport.Names)})
}

// cancelProbes cancels the probes in flight of a server that is no longer usable.
func (b *backend) cancelProbes() {
	for _, a := range b.probes {
		if !a.Withdraw(ErrDrained) {
			a.Cancel(ErrDrained)
		}
	}
}
