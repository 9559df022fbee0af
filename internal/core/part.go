package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// part is the agent's part in a fleet of very many: the agent's own order of the list, which the
// module is handed, and what is put off so that all do not come at once. The core's
// goroutine owns it. A nil part puts nothing off.
type part struct {
	machine *fleet.Planner
	heard   float64 // when it told anything last, or was asked to
	wake    *time.Timer
}

func newPart(o fleet.Options, set *settings.Settings, seed uint64, now float64) (*part, error) {
	m, err := fleet.New(o, set, seed, now)
	if err != nil {
		return nil, err
	}
	return &part{machine: m, heard: now}, nil
}

// merge keeps a whole list up to date.
func merge(whole *cluster.List, kind cluster.ListKind, list *cluster.List) {
	if kind != cluster.ListDelta {
		*whole = cluster.List{Servers: slices.Clone(list.Servers)}
	} else {
		for _, s := range list.Servers {
			i := slices.IndexFunc(whole.Servers, func(o cluster.Server) bool { return o.Server == s.Server })
			if i < 0 {
				whole.Servers = append(whole.Servers, s)
			} else {
				whole.Servers[i] = s
			}
		}
	}
	whole.Servers = slices.DeleteFunc(whole.Servers, func(s cluster.Server) bool { return s.Health == cluster.Gone })
	whole.Seq = list.Seq
}

func (p *part) told(now float64) {
	if p != nil {
		p.heard = now
	}
}

func (p *part) follow(now float64) time.Duration {
	if p == nil {
		return 0
	}
	wait := p.machine.PollDelay(now, p.heard)
	p.heard = now + wait
	return ms(wait)
}

func (p *part) probe() time.Duration {
	if p == nil {
		return 0
	}
	return ms(p.machine.ProbeDelay())
}

// Crowd tells how many agents share the fleet's bounds and which of them this one is, from 0.
func (c *Core) Crowd(agents, rank int) { c.post(input{kind: inCrowd, agents: agents, rank: rank}) }

// crowd takes the greater of that number and the one that was told into what is shared by all agents
// together: the part in the fleet, and what each sends to cold servers.
func (c *Core) crowd(agents, rank int) {
	if c.part != nil && c.part.machine.SetFleetSize(agents, rank) {
		c.replan()
	}
	c.agents = agents
	t, able := c.bal.(Turner)
	if all := max(c.told, agents); able && all != c.set.Replicas {
		c.set.Replicas = all
		same := make([]int, len(c.set.Classes))
		for i := range same {
			same[i] = i
		}
		t.UpdateSettings(c.set, same)
	}
}

// later does something now, or has it come as an input after a while.
func (c *Core) later(wait time.Duration, in input, now func()) {
	if wait <= 0 {
		now()
		return
	}
	time.AfterFunc(wait, func() { c.post(in) })
}

// replan settles the agent's part anew and applies it.
func (c *Core) replan() {
	p := c.part
	now := c.clock()
	p.machine.Tick(now)
	list := c.veiled(&c.list)
	entries := make([]cluster.Entry, len(list.Servers))
	for i := range entries {
		entries[i] = list.Servers[i].Entry
	}
	least, wake := p.machine.Plan(now, entries)
	mine := cluster.List{Seq: list.Seq, Complete: true, Servers: slices.Clone(list.Servers)}
	for i := range entries {
		mine.Servers[i].Entry = entries[i]
	}
	c.apply(cluster.ListFull, &mine, least)
	if p.wake != nil {
		p.wake.Stop()
		p.wake = nil
	}
	if wake > 0 {
		p.wake = time.AfterFunc(ms(max(wake-now, 1)), func() { c.post(input{kind: inPlan}) })
	}
}

// refused notes that a request found no room.
func (c *Core) refused() {
	if c.part != nil && c.part.machine.ObserveRejection(c.clock()) {
		c.todo = append(c.todo, input{kind: inPlan})
	}
}

// crowdedFor is how long a server that refused a connection while it answered others is taken for
// one with as many connections as it bears.
const crowdedFor = 30 * time.Second

// crowded settles what a connection that did not come up says. Where the server has answered
// others since the attempt began it runs, and is full: nobody is demoted for that, and idle
// connections to it are given back sooner.
func (c *Core) crowded(a *Attempt, res *Result) {
	if c.part == nil && c.account == nil {
		return
	}
	switch b := a.backend; res.Status {
	case policy.OK, policy.Error, policy.Full:
		b.heard = time.Now()
	case policy.ConnectFailed:
		if c.part != nil && b.heard.After(a.started) {
			res.Status = policy.Full
			if e, ok := b.endpoint.(Crowder); ok {
				e.Crowded(time.Now().Add(crowdedFor))
			}
		}
	}
}
