// Package fleet bounds the connections and requests that one agent makes where very many agents serve
// one deployment and may not communicate. It ranks the endpoint list on which the decisions are based
// (package subset), delays connections to processes that have just started, and spaces the agent's
// polls of the registry and its health checks, each so that all agents together stay within the rates
// set by the operator.
//
// The package has no I/O, no clock and no goroutines: callers pass times and get delays, both in
// milliseconds. A Planner belongs to its core and is called under the core's lock.
package fleet

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/decide/subset"
)

// Options holds the limits that the operator sets for a fleet. Rates are per second and for all agents
// together.
type Options struct {
	Agents      int     // 0: as in the settings
	Connections float64 // that agents keep to one server, busy or idle
	MinServers  int     // minimum size of a subset
	MaxServers  int     // maximum size of a subset while there are no faults
	ConnectRate float64 // agents that first connect to one newly started process
	PollRate    float64 // requests to the registry for the endpoint list
	ProbeRate   float64 // health checks of one server
}

// Default returns the options for keys that the operator does not set.
func Default() Options {
	return Options{Connections: 400, MinServers: 2, MaxServers: 16, ConnectRate: 100, PollRate: 200, ProbeRate: 10}
}

// Validate returns the first invalid key and its error.
func (o *Options) Validate() (key string, err error) {
	for _, v := range []struct {
		key               string
		value, least, top float64
	}{
		{"agents", float64(o.Agents), 0, 1e7}, {"connections", o.Connections, 1, 1e7},
		{"least", float64(o.MinServers), 1, 1000},
		{"most", float64(o.MaxServers), float64(o.MinServers), 10000}, {"connects", o.ConnectRate, 0.1, 1e6},
		{"questions", o.PollRate, 0.1, 1e6}, {"probes", o.ProbeRate, 0.01, 1e6},
	} {
		if !(v.value >= v.least && v.value <= v.top) {
			return v.key, fmt.Errorf("must be from %v to %v, is %v", v.least, v.top, v.value)
		}
	}
	return "", nil
}

// Planner applies the limits of the fleet for one agent.
type Planner struct {
	opt              Options
	set              *settings.Settings
	sizes            subset.Sizes
	width            *subset.Width
	rng              *rand.Rand
	began            float64
	pending          map[cluster.Addr]pendingConnect
	ready            int // servers that the last plan listed as ready
	configuredAgents int // fleet size by the operator or the settings
	index            int // of this agent in the fleet
}

// pendingConnect is a newly started process and when this agent may connect to it, in ms.
type pendingConnect struct {
	started float64
	until   float64
}

// New returns the Planner of the agent that the settings describe; now is on the same clock as the
// start times in the endpoint list.
func New(o Options, set *settings.Settings, seed uint64, now float64) (*Planner, error) {
	if key, err := o.Validate(); err != nil {
		return nil, errors.New(key + ": " + err.Error())
	}
	agents := o.Agents
	if agents == 0 {
		agents = max(set.Replicas, 1)
	}
	return &Planner{opt: o, set: set,
		sizes: subset.Sizes{Agents: agents, PerServer: o.Connections, MinServers: o.MinServers,
			MaxServers: o.MaxServers},
		width: subset.NewWidth(set.Index), rng: rand.New(rand.NewPCG(seed, 0x666c656574)), began: now,
		configuredAgents: agents, index: set.Index, pending: map[cluster.Addr]pendingConnect{}}, nil
}

// Plan ranks the endpoint list for this agent, in place. A newly started process that the agent may
// not connect to yet is marked as draining, so that it gets no new requests. Plan returns the size of
// the agent's subset and when the plan must be computed again; 0: when the list changes.
func (m *Planner) Plan(now float64, entries []cluster.Entry) (subsetSize int, wake float64) {
	var servers []subset.Server
	var at []int
	for i := range entries {
		entries[i].Rank = 0
		if e := &entries[i]; e.Health == cluster.Ready {
			servers = append(servers, subset.Server{ID: e.Server.Hash(), Zone: e.Zone, Weight: e.Weight})
			at = append(at, i)
		}
	}
	m.ready = len(servers)
	picks, subsetSize := subset.Order(m.index, servers,
		min(m.sizes.BaseSize(m.ready)*m.width.Factor(), max(m.ready, 1)))
	for _, p := range picks {
		e := &entries[at[p.Index]]
		e.Rank = p.Rank
		if p.Fraction < 1 {
			if !(e.Weight > 0) {
				e.Weight = 1
			}
			e.Weight *= p.Fraction
		}
	}
	next := math.Inf(1)
	stillPending := map[cluster.Addr]pendingConnect{}
	for i := range entries {
		e := &entries[i]
		if e.Health != cluster.Ready || !m.warmingUp(now, e) {
			continue
		}
		connect, known := m.pending[e.Server]
		if !known || connect.started != e.SinceMs {
			salt := e.Server.Hash() ^ math.Float64bits(e.SinceMs)
			// The delay counts from the start of the process, so that an agent that learns of the
			// process late, or is restarted meanwhile, does not wait longer.
			connect = pendingConnect{e.SinceMs, e.SinceMs + 1000*subset.ConnectDelay(m.index, salt, &m.sizes, m.ready,
				m.opt.ConnectRate, m.set.Contract.SlowStartMs/1000)}
		}
		stillPending[e.Server] = connect
		if now < connect.until {
			e.Health = cluster.Draining
			next = math.Min(next, connect.until)
		}
	}
	m.pending = stillPending
	if m.width.Factor() > 1 {
		next = math.Min(next, now+1000)
	}
	if math.IsInf(next, 1) {
		return subsetSize, 0
	}
	return subsetSize, next
}

// SetFleetSize sets the number of agents and the index of this one as observed in a view of the fleet,
// and reports whether the plan must be computed again. The greater of the observed and the configured
// number is used, so that an incomplete view never increases an agent's share.
func (m *Planner) SetFleetSize(agents, ownIndex int) bool {
	index := m.set.Index
	if agents >= m.configuredAgents {
		index = ownIndex
	}
	if agents = max(agents, m.configuredAgents); agents == m.sizes.Agents && index == m.index {
		return false
	}
	m.sizes.Agents, m.index = agents, index
	return true
}

// warmingUp reports whether a process started within the slow-start time of the contract.
func (m *Planner) warmingUp(now float64, e *cluster.Entry) bool {
	return e.SinceMs > 0 && now-e.SinceMs < m.set.Contract.SlowStartMs
}

// ObserveRejection records that a request was rejected for lack of capacity, and reports whether the
// plan must be computed again.
func (m *Planner) ObserveRejection(now float64) bool { return m.width.ObserveRejection(now / 1000) }

// Tick advances the time and reports whether the plan must be computed again.
func (m *Planner) Tick(now float64) bool { return m.width.Tick(now / 1000) }

// PollDelay returns how long the agent waits before it watches the endpoint list again. lastUpdate is
// when it last received an update or polled: updates may not be further apart than the contract's
// MaxPollIntervalMs, an eighth of which is left for the call. The delay is random, and bounded by the
// agent's share of the poll rate.
func (m *Planner) PollDelay(now, lastUpdate float64) (wait float64) {
	every := 1000 * float64(m.sizes.Agents) / m.opt.PollRate
	left := lastUpdate + m.set.Contract.MaxPollIntervalMs*7/8 - now
	return math.Max(math.Min(every, left), 0) * m.rng.Float64()
}

// ProbeDelay returns how long the next health check of a server is delayed.
func (m *Planner) ProbeDelay() (wait float64) {
	probers := float64(m.sizes.Agents) * float64(m.sizes.BaseSize(max(m.ready, 1))) / float64(max(m.ready, 1))
	return 2 * 1000 * probers / m.opt.ProbeRate * m.rng.Float64()
}
