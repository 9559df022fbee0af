package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// fleetState is the agent's fleetState in a fleet of very many: the agent's own order of the list, which the
// module is handed, and what is put off so that all do not come at once. The core's
// goroutine owns it. A nil fleetState puts nothing off.
type fleetState struct {
	machine     *fleet.Machine
	lastUpdate  float64 // when it told anything last, or was asked to
	replanTimer *time.Timer
}

func newFleetState(o fleet.Options, set *settings.Settings, seed uint64, now float64) (*fleetState, error) {
	m, err := fleet.New(o, set, seed, now)
	if err != nil {
		return nil, err
	}
	return &fleetState{machine: m, lastUpdate: now}, nil
}

// mergeList keeps a whole list up to date.
func mergeList(whole *cluster.List, kind cluster.ListKind, list *cluster.List) {
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

func (p *fleetState) recordUpdate(now float64) {
	if p != nil {
		p.lastUpdate = now
	}
}

func (p *fleetState) followDelay(now float64) time.Duration {
	if p == nil {
		return 0
	}
	wait := p.machine.Follow(now, p.lastUpdate)
	p.lastUpdate = now + wait
	return ms(wait)
}

func (p *fleetState) probeDelay() time.Duration {
	if p == nil {
		return 0
	}
	return ms(p.machine.Probe())
}

// SetFleetSize tells how many agents share the fleet's bounds and which of them this one is, from 0.
func (c *Core) SetFleetSize(agents, rank int) {
	c.post(input{kind: inFleetSize, agents: agents, rank: rank})
}

// setFleetSize takes the greater of that number and the one that was told into what is shared by all agents
// together: the part in the fleet, and what each sends to cold servers.
func (c *Core) setFleetSize(agents, rank int) {
	if c.fleet != nil && c.fleet.machine.Crowd(agents, rank) {
		c.replan()
	}
	c.observedAgents = agents
	t, able := c.decider.(SettingsUpdater)
	if all := max(c.configuredAgents, agents); able && all != c.set.Replicas {
		c.set.Replicas = all
		same := make([]int, len(c.set.Classes))
		for i := range same {
			same[i] = i
		}
		t.UpdateSettings(c.set, same)
	}
}

// runAfter does something now, or has it come as an input after a while.
func (c *Core) runAfter(wait time.Duration, in input, now func()) {
	if wait <= 0 {
		now()
		return
	}
	time.AfterFunc(wait, func() { c.post(in) })
}

// replan settles the agent's part anew and applies it.
func (c *Core) replan() {
	p := c.fleet
	now := c.clock()
	p.machine.Calm(now)
	list := c.withExclusions(&c.list)
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
	if p.replanTimer != nil {
		p.replanTimer.Stop()
		p.replanTimer = nil
	}
	if wake > 0 {
		p.replanTimer = time.AfterFunc(ms(max(wake-now, 1)), func() { c.post(input{kind: inReplan}) })
	}
}

// recordRefusal notes that a request found no room.
func (c *Core) recordRefusal() {
	if c.fleet != nil && c.fleet.machine.Refused(c.clock()) {
		c.pending = append(c.pending, input{kind: inReplan})
	}
}

// overloadDuration is how long a server that refused a connection while it answered others is taken for
// one with as many connections as it bears.
const overloadDuration = 30 * time.Second

// checkConnectFailure settles what a connection that did not come up says. Where the server has answered
// others since the attempt began it runs, and is full: nobody is demoted for that, and idle
// connections to it are given back sooner.
func (c *Core) checkConnectFailure(a *Attempt, res *Result) {
	if c.fleet == nil && c.reportLoss == nil {
		return
	}
	switch b := a.backend; res.Status {
	case policy.OK, policy.Error, policy.Full:
		b.lastAnswer = time.Now()
	case policy.ConnectFailed:
		if c.fleet != nil && b.lastAnswer.After(a.started) {
			res.Status = policy.Full
			if e, ok := b.endpoint.(OverloadObserver); ok {
				e.Crowded(time.Now().Add(overloadDuration))
			}
		}
	}
}
