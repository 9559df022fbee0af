package core

import (
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// fleetState is the agent's state in a fleet of very many agents. It computes the agent's own order of the
// endpoint list, which the Decider gets, and delays watches and probes so that the agents' calls are spread
// out. The core's goroutine owns it. A nil fleetState delays nothing.
type fleetState struct {
	machine     *fleet.Planner
	lastUpdate  float64     // time of the last roster result or failure, or start of the next watch if later, ms
	replanTimer *time.Timer // nil: none is running
}

// newFleetState returns the state of an agent that starts now.
func newFleetState(o fleet.Options, set *settings.Settings, seed uint64, now float64) (*fleetState, error) {
	m, err := fleet.New(o, set, seed, now)
	if err != nil {
		return nil, err
	}
	return &fleetState{machine: m, lastUpdate: now}, nil
}

// mergeList applies a list or a change of it to the complete list, and removes servers that are gone.
func mergeList(complete *cluster.List, kind cluster.ListKind, list *cluster.List) {
	if kind != cluster.ListDelta {
		*complete = cluster.List{Servers: slices.Clone(list.Servers)}
	} else {
		for _, s := range list.Servers {
			i := slices.IndexFunc(complete.Servers, func(o cluster.Server) bool { return o.Server == s.Server })
			if i < 0 {
				complete.Servers = append(complete.Servers, s)
			} else {
				complete.Servers[i] = s
			}
		}
	}
	complete.Servers = slices.DeleteFunc(complete.Servers,
		func(s cluster.Server) bool { return s.Health == cluster.Gone })
	complete.Seq = list.Seq
}

// recordUpdate records the time of a result from the roster, which may be a failure.
func (p *fleetState) recordUpdate(now float64) {
	if p != nil {
		p.lastUpdate = now
	}
}

// watchDelay returns how long to delay the next watch.
func (p *fleetState) watchDelay(now float64) time.Duration {
	if p == nil {
		return 0
	}
	wait := p.machine.PollDelay(now, p.lastUpdate)
	p.lastUpdate = now + wait
	return ms(wait)
}

// probeDelay returns how long to delay a probe.
func (p *fleetState) probeDelay() time.Duration {
	if p == nil {
		return 0
	}
	return ms(p.machine.ProbeDelay())
}

// SetFleetSize sets the number of agents that share the fleet's limits, and this agent's rank among them,
// from 0.
func (c *Core) SetFleetSize(agents, rank int) {
	c.post(input{kind: inFleetSize, agents: agents, rank: rank})
}

// setFleetSize applies the given number of agents to the plan, and the greater of it and the configured number to
// Settings.Replicas, from which the Decider infers the load of the whole fleet.
func (c *Core) setFleetSize(agents, rank int) {
	if c.fleet != nil && c.fleet.machine.SetFleetSize(agents, rank) {
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

// runAfter calls now if wait is not positive, and otherwise posts in after wait.
func (c *Core) runAfter(wait time.Duration, in input, now func()) {
	if wait <= 0 {
		now()
		return
	}
	time.AfterFunc(wait, func() { c.post(in) })
}

// replan computes the agent's plan again and applies the resulting list.
func (c *Core) replan() {
	p := c.fleet
	now := c.clock()
	p.machine.Tick(now)
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

// recordRefusal records that the Decider refused a client's request, which may require a new plan.
func (c *Core) recordRefusal() {
	if c.fleet != nil && c.fleet.machine.ObserveRejection(c.clock()) {
		c.pending = append(c.pending, input{kind: inReplan})
	}
}

// overloadDuration is how long a server that refused a connection while it answered other requests is
// treated as at its connection limit.
const overloadDuration = 30 * time.Second

// checkConnectFailure reinterprets a failed connect. If the server has answered since the attempt began, it is
// running and has reached its connection limit: the status becomes Full, which does not demote the server, and
// the endpoint is notified so that it closes idle connections sooner.
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
