// Package timeline carries out the events of a scenario on whatever plays it: the model or a
// live estate, each a Host. It owns no time and no state beyond what Run's caller holds; Run is
// called in the Host's goroutine, or under its lock, as are the functions that it hands to After.
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

// Server is what a Host tells of one of its servers.
type Server struct {
	Name, Kind, Zone string
	Up               bool // its process runs
	Gone             bool // for good
	Busy             bool // it works on something, or something is on its way to it
}

// Host is an estate that events happen to. Servers and agents are known by their numbers, times
// are in milliseconds since the start.
type Host interface {
	Now() float64
	After(wait float64, do func())
	Servers() []Server
	// Die ends a server's process; a silent one says nothing of it.
	Die(server int, silent bool)
	// Back starts a process of a server that has died, cold.
	Back(server int)
	// List has the roster know after a while how a server is.
	List(server int, health cluster.Health, after float64)
	// Follow starts a server in the place of one that has gone for good, cold.
	Follow(server int, notice float64)
	Fault(server int, f station.Fault)
	Late(server int, ms float64)
	Stall(a, b int, until float64)
	RosterDown(until float64)
	Agents() int
	Restart(agent int, killed bool)
}

// named are the servers that an event is about; a share of them follows from a draw.
func named(h Host, e *scenario.Event, seed uint64, i int) []int {
	var all []int
	for n, v := range h.Servers() {
		if !v.Gone && (e.Server == "" || v.Name == e.Server) && (e.Of == "" || v.Kind == e.Of) && (e.Zone == "" || v.Zone == e.Zone) {
			all = append(all, n)
		}
	}
	return draw(all, e, seed, i)
}

// draw takes the share of an event out of what it names.
func draw(all []int, e *scenario.Event, seed uint64, i int) []int {
	if e.Share == 0 || e.Kind == "fail" || len(all) == 0 {
		return all
	}
	rng := law.Source(seed, fmt.Sprint("event", i))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(max(int(math.Round(e.Share*float64(len(all)))), 1), len(all))]
}

// Run carries out event i of a scenario; its time has come.
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
		for _, n := range named(h, e, seed, i) {
			if !h.Servers()[n].Up {
				continue
			}
			h.Die(n, e.Kind != "crash")
			h.List(n, cluster.Gone, known)
			if e.For > 0 {
				h.After(e.For.Ms(), func() {
					if v := h.Servers()[n]; !v.Gone && !v.Up {
						h.Back(n)
						h.List(n, cluster.Ready, notice)
					}
				})
			}
		}
	case "replace":
		longest := 0.0
		for _, c := range s.Classes {
			longest = max(longest, c.GiveUp.Ms())
		}
		for _, n := range named(h, e, seed, i) {
			h.List(n, cluster.Draining, notice)
			drained(h, n, h.Now()+2*notice, h.Now()+2*notice+longest, func() { h.Follow(n, notice) })
		}
	case "drain":
		for _, n := range named(h, e, seed, i) {
			h.List(n, cluster.Draining, notice)
			if e.For > 0 {
				h.After(e.For.Ms(), func() {
					if h.Servers()[n].Up {
						h.List(n, cluster.Ready, notice)
					}
				})
			}
		}
	case "slow", "fail":
		f := station.Fault{Slow: e.Factor, Until: until}
		if e.Kind == "fail" {
			f = station.Fault{Fail: e.Share, Until: until}
		}
		for _, n := range named(h, e, seed, i) {
			h.Fault(n, f)
		}
	case "reports-late":
		for _, n := range named(h, e, seed, i) {
			h.Late(n, e.For.Ms())
		}
	case "link-stalled":
		h.Stall(slices.Index(s.Zones, e.Zone), slices.Index(s.Zones, e.With), until)
	case "roster-down":
		h.RosterDown(until)
	case "restart-agents":
		for n := range h.Agents() {
			h.After(float64(n)/e.Rate*1000, func() { h.Restart(n, false) })
		}
	case "kill-agents":
		all := make([]int, h.Agents())
		for n := range all {
			all[n] = n
		}
		for _, n := range draw(all, e, seed, i) {
			h.Restart(n, true)
		}
	}
}

// drained does something once a server has nothing more to do, not before and at the latest at
// a time.
func drained(h Host, n int, least, latest float64, do func()) {
	h.After(100, func() {
		if v := h.Servers()[n]; v.Up && h.Now() < latest && (v.Busy || h.Now() < least) {
			drained(h, n, least, latest, do)
			return
		}
		do()
	})
}
