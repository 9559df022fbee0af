package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/policy"
)

const (
	// probeTarget is what a server is asked to tell whether it is well: any 200 says so.
	probeTarget = "/health"
	// leastProbe is the least time that a probe has, however short connects are bounded.
	leastProbe = 250 * time.Millisecond
)

// probe asks a server whether it is well. To a transport it is an attempt of a request
// without an id, which no client has asked; it counts as none. The module bounds how many
// are out, and hears of each how it ended.
func (c *Core) probe(addr cluster.Addr) {
	b := c.byAddr[addr]
	if b == nil || !b.usable {
		c.todo = append(c.todo, input{kind: inProbed, att: &Attempt{backend: &backend{addr: addr}},
			res: Result{Status: policy.Moot}})
		return
	}
	r := &Request{Message: Message{Method: "GET", Target: probeTarget, Host: "backend.local"}}
	var a *Attempt
	a = NewAttempt(c.ctx, r, max(2*ms(c.set.Limits.ConnectTimeoutMs), leastProbe), func(res Result) {
		c.post(input{kind: inProbed, att: a, res: res})
	})
	a.backend = b
	b.probes = append(b.probes, a)
	if b.endpoint.Start(a) != nil {
		a.Withdraw(ErrNoSocket)
		c.todo = append(c.todo, input{kind: inProbed, att: a, res: Result{Status: policy.Full}})
	}
}

// onProbed tells the module how a probe ended.
func (c *Core) onProbed(a *Attempt, res *Result) {
	b := a.backend
	b.probes = slices.DeleteFunc(b.probes, func(o *Attempt) bool { return o == a })
	c.tell(&policy.Event{Kind: policy.EvProbed, Server: b.addr, Status: res.Status,
		LatencyMs: float64(res.took) / float64(time.Millisecond), Report: report(res.Load, c.set.LoadReport.Names)})
}

// unprobe gives up the probes of a server that is not to be sent to any more.
func (b *backend) unprobe() {
	for _, a := range b.probes {
		if !a.Withdraw(ErrDrained) {
			a.Cancel(ErrDrained)
		}
	}
}
