// Package timeline executes the events of a scenario on a Host: the model or the live estate. It has no
// clock and no state. Run is called in the Host's goroutine or under its lock, and so are the functions
// that it passes to After.
package timeline

import (
	"fmt"
	"math"
	"slices"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/scenario"
)

// Server is the state of one of a Host's servers.
type Server struct {
	Name, Kind, Zone string
	Up               bool // its process runs
	Gone             bool // removed permanently
	Busy             bool // it has jobs, or requests are on their way to it
}

// Host is the set of servers and agents on which events are executed. Both are identified by their
// numbers; times are in milliseconds since the start.
type Host interface {
	Now() float64
	After(wait float64, do func())
	Servers() []Server
	// StopServer ends a server's process; a silent one does not reset its connections.
	StopServer(server int, silent bool)
	// RestartServer starts a cold process of a stopped server.
	RestartServer(server int)
	// PublishHealth makes the roster publish the health of a server after a delay.
	PublishHealth(server int, health cluster.Health, after float64)
	// ReplaceServer removes a server and starts a cold one in its place.
	ReplaceServer(server int, notice float64)
	AddFault(server int, f station.Fault)
	DelayReports(server int, ms float64)
	StallLink(a, b int, until float64)
	RosterDown(until float64)
	Agents() int
	RestartAgent(agent int, killed bool)
}

// matchingServers returns the servers that an event applies to; a share of them is drawn from the seed.
func matchingServers(h Host, e *scenario.Event, seed uint64, i int) []int {
	var all []int
	for n, v := range h.Servers() {
		if !v.Gone && (e.Server == "" || v.Name == e.Server) && (e.Of == "" || v.Kind == e.Of) && (e.Zone == "" || v.Zone == e.Zone) {
			all = append(all, n)
		}
	}
	return sampleShare(all, e, seed, i)
}

// sampleShare draws an event's share of the matching servers or agents.
func sampleShare(all []int, e *scenario.Event, seed uint64, i int) []int {
	if e.Share == 0 || e.Kind == "fail" || len(all) == 0 {
		return all
	}
	rng := law.Source(seed, fmt.Sprint("event", i))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(max(int(math.Round(e.Share*float64(len(all)))), 1), len(all))]
}

// Run executes event i of a scenario, whose time has come.
func Run(h Host, s *scenario.Scenario, i int, seed uint64) {
	e := &s.Events[i]
	until := h.Now() + e.For.Ms()
	if e.For == 0 {
		until = math.Inf(1)
	}
	notice, silent := s.Roster.Notice.Ms(), s.Roster.Silent.Ms()
	switch e.Kind {
	case "crash", "vanish", "zone-lost":
		known := silent
		if e.Kind == "crash" {
			known = notice
		}
		for _, n := range matchingServers(h, e, seed, i) {
			if !h.Servers()[n].Up {
				continue
			}
			h.StopServer(n, e.Kind != "crash")
			h.PublishHealth(n, cluster.Gone, known)
			if e.For > 0 {
				h.After(e.For.Ms(), func() {
					if v := h.Servers()[n]; !v.Gone && !v.Up {
						h.RestartServer(n)
						h.PublishHealth(n, cluster.Ready, notice)
					}
				})
			}
		}
	case "replace":
		longest := 0.0
		for _, c := range s.Classes {
			longest = max(longest, c.GiveUp.Ms())
		}
		for _, n := range matchingServers(h, e, seed, i) {
			h.PublishHealth(n, cluster.Draining, notice)
			whenDrained(h, n, h.Now()+2*notice, h.Now()+2*notice+longest, func() { h.ReplaceServer(n, notice) })
		}
	case "drain":
		for _, n := range matchingServers(h, e, seed, i) {
			h.PublishHealth(n, cluster.Draining, notice)
			if e.For > 0 {
				h.After(e.For.Ms(), func() {
					if h.Servers()[n].Up {
						h.PublishHealth(n, cluster.Ready, notice)
					}
				})
			}
		}
	case "slow", "fail":
		f := station.Fault{Slow: e.Factor, Until: until}
		if e.Kind == "fail" {
			f = station.Fault{Fail: e.Share, Until: until}
		}
		for _, n := range matchingServers(h, e, seed, i) {
			h.AddFault(n, f)
		}
	case "reports-late":
		for _, n := range matchingServers(h, e, seed, i) {
			h.DelayReports(n, e.For.Ms())
		}
	case "link-stalled":
		h.StallLink(slices.Index(s.Zones, e.Zone), slices.Index(s.Zones, e.With), until)
	case "roster-down":
		h.RosterDown(until)
	case "restart-agents":
		for n := range h.Agents() {
			h.After(float64(n)/e.Rate*1000, func() { h.RestartAgent(n, false) })
		}
	case "kill-agents":
		all := make([]int, h.Agents())
		for n := range all {
			all[n] = n
		}
		for _, n := range sampleShare(all, e, seed, i) {
			h.RestartAgent(n, true)
		}
	}
}

// whenDrained calls do when a server has no more work, not before least and not after latest.
func whenDrained(h Host, n int, least, latest float64, do func()) {
	h.After(100, func() {
		if v := h.Servers()[n]; v.Up && h.Now() < latest && (v.Busy || h.Now() < least) {
			whenDrained(h, n, least, latest, do)
			return
		}
		do()
	})
}
