package model

import (
	"cmp"
	"slices"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/lab/timeline"
	"molepaddle/policy"
)

// This file contains the roster, the agents' handling of endpoint lists, and the timeline host.

// publish adds a server's current entry to the roster's list after a delay.
func (w *world) publish(v *server, after float64) {
	e := w.entry(v)
	w.after(after, func() {
		w.changes = append(w.changes, listChange{at: w.now, entry: e})
		for _, a := range w.agents {
			if a != nil && a.watching && w.now >= w.rosterDownUntil {
				w.pushChanges(a)
			}
		}
	})
}

// pushChanges sends the changes since its version to an agent that watches the list.
func (w *world) pushChanges(a *agent) {
	to := len(w.changes)
	w.after(w.rosterDelay(), func() {
		if a.watching && a.listVersion < to {
			w.applyList(a, cluster.ListDelta, w.entriesSince(a.listVersion))
		}
	})
}

// rosterDelay returns the one-way delay between an agent and the roster.
func (w *world) rosterDelay() float64 { return w.s.Network.Same.Ms() * (1 + w.rng.Float64()) }

// entriesSince returns the latest entry of each server that changed since a version; for version 0,
// the full list.
func (w *world) entriesSince(since int) []cluster.Entry {
	last := map[cluster.Addr]int{}
	for i := since; i < len(w.changes); i++ {
		last[w.changes[i].entry.Server] = i
	}
	var all []cluster.Entry
	for i := since; i < len(w.changes); i++ {
		e := w.changes[i].entry
		if last[e.Server] == i && (since > 0 || e.Health != cluster.Gone) {
			all = append(all, e)
		}
	}
	return all
}

// watchList makes an agent watch the endpoint list.
func (w *world) watchList(a *agent) {
	if a.watching {
		return
	}
	a.watching = true
	wait := 0.0
	if a.planner != nil && !w.s.Roster.Pushed {
		wait = a.planner.PollDelay(clockBase+w.now, clockBase+a.listAt)
		a.listAt = w.now + wait
	}
	w.after(wait+w.rosterDelay(), func() {
		if a.stopped {
			return
		}
		w.res.questions++
		if w.now < w.rosterDownUntil {
			a.watching = false
			w.handleEvent(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
			if w.s.Roster.Pushed {
				w.after(250, func() { w.watchList(a) })
			}
			return
		}
		w.pushChanges(a)
	})
}

// applyList applies a list as core does: attempts that are still waiting at a server that is not
// ready are withdrawn and its idle connections closed, then the decider is notified.
func (w *world) applyList(a *agent, kind cluster.ListKind, entries []cluster.Entry) {
	a.listVersion, a.listAt = len(w.changes), w.now
	for i := range entries {
		e := &entries[i]
		v := w.byAddr[e.Server]
		for len(a.notReadySince) <= v.num {
			a.notReadySince = append(a.notReadySince, -1)
		}
		if e.Health == cluster.Ready {
			a.notReadySince[v.num] = -1
		} else if a.notReadySince[v.num] < 0 {
			a.notReadySince[v.num] = w.now
			w.withdraw(a, v)
		}
	}
	if a.planner != nil {
		for _, e := range entries {
			v := w.byAddr[e.Server]
			if e.Health == cluster.Gone {
				delete(a.list, v.num)
			} else {
				a.list[v.num] = e
			}
		}
		w.replan(a)
		return
	}
	w.handleEvent(a, &policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
}

// withdraw ends an agent's waiting attempts at a server that is not ready.
func (w *world) withdraw(a *agent, v *server) {
	for _, att := range slices.Clone(v.live) {
		if att.agent == a && att.stage == waiting {
			w.giveUp(att, policy.Full)
		}
	}
	w.closeIdle(a, v)
}

// replan recomputes an agent's share of a fleet.
func (w *world) replan(a *agent) {
	if a.stopped {
		return
	}
	now := clockBase + w.now
	a.planner.Tick(now)
	entries := make([]cluster.Entry, 0, len(a.list))
	for _, e := range a.list {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(x,
		y cluster.Entry) int {
		return cmp.Compare(w.byAddr[x.Server].num, w.byAddr[y.Server].num)
	})
	least, wake := a.planner.Plan(now, entries)
	w.handleEvent(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFull, Entries: entries, MinServers: least})
	a.planGen++
	if gen := a.planGen; wake > 0 {
		w.after(max(wake-now, 1), func() {
			if a.planGen == gen {
				w.replan(a)
			}
		})
	}
}

// ---- the timeline ----

// timelineHost implements timeline.Host on the simulation.
type timelineHost struct{ *world }

func (h timelineHost) Now() float64                    { return h.now }
func (h timelineHost) After(d float64, do func())      { h.after(d, do) }
func (h timelineHost) Agents() int                     { return len(h.agents) }
func (h timelineHost) StopServer(n int, silent bool)   { h.stopServer(h.servers[n], silent) }
func (h timelineHost) RestartServer(n int)             { h.restartServer(h.servers[n]) }
func (h timelineHost) DelayReports(n int, ms float64)  { h.servers[n].reportDelay = ms }
func (h timelineHost) RestartAgent(n int, killed bool) { h.restartAgent(n, killed) }
func (h timelineHost) AddFault(n int, f station.Fault) { h.servers[n].st.Add(f) }

func (h timelineHost) Servers() []timeline.Server {
	all := make([]timeline.Server, len(h.servers))
	for i, v := range h.servers {
		all[i] = timeline.Server{Name: v.name, Kind: h.s.Servers[v.kind].Kind, Zone: h.s.Zones[v.zone], Up: v.up,
			Gone: v.removed,
			Busy: v.st.Jobs() > 0 || v.inTransit > 0}
	}
	return all
}

func (h timelineHost) PublishHealth(n int, health cluster.Health, after float64) {
	h.servers[n].health = health
	h.publish(h.servers[n], after)
}

func (h timelineHost) ReplaceServer(n int, notice float64) {
	v := h.servers[n]
	if v.up {
		h.stopServer(v, false)
	}
	v.removed, v.health = true, cluster.Gone
	h.publish(v, 0)
	next := h.newServer(v.kind, v.zone, v.name+"'", h.now)
	next.busy = make([]float64, len(v.busy))
	h.publish(next, notice)
}

func (h timelineHost) StallLink(a, b int, until float64) {
	h.stalls = append(h.stalls, stall{a, b, until})
	h.after(until-h.now, func() {
		h.stalls = slices.DeleteFunc(h.stalls, func(s stall) bool { return s.until <= h.now })
	})
}

func (h timelineHost) RosterDown(until float64) {
	h.rosterDownUntil = max(h.rosterDownUntil, until)
	for _, a := range h.agents {
		if a.watching {
			a.watching = false
			h.handleEvent(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
			if h.s.Roster.Pushed {
				h.after(250, func() { h.watchList(a) })
			}
		}
	}
}

// restartAgent ends an agent and starts it again. After a planned restart the old process still
// answers its open requests; when it is killed, its clients' connections break.
func (w *world) restartAgent(i int, killed bool) {
	a := w.agents[i]
	a.stopped, a.watching = true, false
	if killed {
		ids := make([]policy.RequestID, 0, len(a.tries))
		for id := range a.tries {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			t := a.tries[id]
			if !t.answered {
				w.respond(t, measure.Gone, 0)
			}
			for _, att := range t.attempts {
				if att.stage != finished {
					w.abortAttempt(att)
				}
			}
			delete(a.tries, id)
		}
	}
	for _, v := range w.servers {
		if a.pools[v.num] != nil {
			w.closeIdle(a, v)
		}
	}
	w.startAgent(i, a.zone, int(w.events))
}

// abortAttempt ends an attempt of an agent that was killed: its connection is closed.
func (w *world) abortAttempt(att *attempt) {
	if att.stage == waiting {
		w.removeLive(att)
		att.stage = finished
		return
	}
	w.closeConn(att)
	if att.gen == att.s.gen && !att.s.silent {
		w.at(max(w.now+w.networkDelay(att.agent, att.s), att.arrives), event{kind: evCancel, att: att})
	} else {
		w.removeLive(att)
	}
	att.stage = finished
}

// ---- choose.Truth, for the oracle ----

// Finish returns about how long from now an answer would come, and how long of that the request would
// wait in the queue.
func (w *world) Finish(addr cluster.Addr, zone int, work float64, key uint64) (after, wait float64, ok bool) {
	v := w.byAddr[addr]
	if v == nil || !v.up || v.silent {
		return 0, 0, false
	}
	after, wait, ok = v.st.Finish(w.now, work, uint32(key), v.inTransit, w.meanWork)
	return after + 2*w.paths.Mean(zone, v.zone), wait, ok
}

// Work returns the work of a request, or the mean work if the agent does not have it.
func (w *world) Work(index int, id policy.RequestID) float64 {
	if t := w.agents[index].tries[id]; t != nil {
		return float64(w.plan[t.Ask].Work)
	}
	return w.meanWork
}

// MeanWork returns the mean work of a class.
func (w *world) MeanWork(class int) float64 { return w.s.Classes[class].Work.Ms() }

// CanAccept reports whether a cold server can take one more request without overload.
func (w *world) CanAccept(addr cluster.Addr, work float64) bool {
	v := w.byAddr[addr]
	return v.st.CanAccept(w.now, work+float64(v.inTransit)*w.meanWork, 0.7)
}
