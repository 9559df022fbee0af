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

// This file holds the roster, what an agent makes of its lists, and the timeline.

// list has the roster know, after a while, how a server is now.
func (w *world) list(v *server, after float64) {
	e := w.entry(v)
	w.after(after, func() {
		w.changes = append(w.changes, change{at: w.now, entry: e})
		for _, a := range w.agents {
			if a != nil && a.watching && w.now >= w.down {
				w.bring(a)
			}
		}
	})
}

// bring brings an agent that watches what has changed since.
func (w *world) bring(a *agent) {
	to := len(w.changes)
	w.after(w.rosterTrip(), func() {
		if a.watching && a.seq < to {
			w.learn(a, cluster.ListDelta, w.known(a.seq))
		}
	})
}

// rosterTrip is the one-way time to the roster.
func (w *world) rosterTrip() float64 { return w.s.Network.Same.Ms() * (1 + w.rng.Float64()) }

// known is what changed since a version, the whole list since 0: the latest word of each server.
func (w *world) known(since int) []cluster.Entry {
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

// follow has an agent watch the list.
func (w *world) follow(a *agent) {
	if a.watching {
		return
	}
	a.watching = true
	wait := 0.0
	if a.part != nil && !w.s.Roster.Pushed {
		wait = a.part.PollDelay(clockBase+w.now, clockBase+a.heard)
		a.heard = w.now + wait
	}
	w.after(wait+w.rosterTrip(), func() {
		if a.gone {
			return
		}
		w.res.questions++
		if w.now < w.down {
			a.watching = false
			w.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
			if w.s.Roster.Pushed {
				w.after(250, func() { w.follow(a) })
			}
			return
		}
		w.bring(a)
	})
}

// learn applies a list as the core does: what has not begun at a server that wants nothing new
// is withdrawn and its idle connections closed, then the decider is told.
func (w *world) learn(a *agent, kind cluster.ListKind, entries []cluster.Entry) {
	a.seq, a.heard = len(w.changes), w.now
	for i := range entries {
		e := &entries[i]
		v := w.byAddr[e.Server]
		for len(a.told) <= v.num {
			a.told = append(a.told, -1)
		}
		if e.Health == cluster.Ready {
			a.told[v.num] = -1
		} else if a.told[v.num] < 0 {
			a.told[v.num] = w.now
			w.withdraw(a, v)
		}
	}
	if a.part != nil {
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
	w.tell(a, &policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
}

// withdraw stops what has not begun at a server that wants nothing new.
func (w *world) withdraw(a *agent, v *server) {
	for _, att := range slices.Clone(v.live) {
		if att.agent == a && att.stage == waiting {
			w.giveUp(att, policy.Full)
		}
	}
	w.closeIdle(a, v)
}

// replan settles an agent's part of a fleet anew.
func (w *world) replan(a *agent) {
	if a.gone {
		return
	}
	now := clockBase + w.now
	a.part.Tick(now)
	entries := make([]cluster.Entry, 0, len(a.list))
	for _, e := range a.list {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(x,
		y cluster.Entry) int {
		return cmp.Compare(w.byAddr[x.Server].num, w.byAddr[y.Server].num)
	})
	least, wake := a.part.Plan(now, entries)
	w.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFull, Entries: entries, MinServers: least})
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

// host is the estate as the timeline sees it.
type host struct{ *world }

func (h host) Now() float64                 { return h.now }
func (h host) After(d float64, do func())   { h.after(d, do) }
func (h host) Agents() int                  { return len(h.agents) }
func (h host) Die(n int, silent bool)       { h.die(h.servers[n], silent) }
func (h host) Back(n int)                   { h.back(h.servers[n]) }
func (h host) Late(n int, ms float64)       { h.servers[n].late = ms }
func (h host) Restart(n int, killed bool)   { h.restart(n, killed) }
func (h host) Fault(n int, f station.Fault) { h.servers[n].st.Add(f) }

func (h host) Servers() []timeline.Server {
	all := make([]timeline.Server, len(h.servers))
	for i, v := range h.servers {
		all[i] = timeline.Server{Name: v.name, Kind: h.s.Servers[v.kind].Kind, Zone: h.s.Zones[v.zone], Up: v.up,
			Gone: v.removed,
			Busy: v.st.Holds() > 0 || v.coming > 0}
	}
	return all
}

func (h host) List(n int, health cluster.Health, after float64) {
	h.servers[n].health = health
	h.list(h.servers[n], after)
}

func (h host) Follow(n int, notice float64) {
	v := h.servers[n]
	if v.up {
		h.die(v, false)
	}
	v.removed, v.health = true, cluster.Gone
	h.list(v, 0)
	next := h.newServer(v.kind, v.zone, v.name+"'", h.now)
	next.busy = make([]float64, len(v.busy))
	h.list(next, notice)
}

func (h host) Stall(a, b int, until float64) {
	h.stalls = append(h.stalls, stall{a, b, until})
	h.after(until-h.now, func() {
		h.stalls = slices.DeleteFunc(h.stalls, func(s stall) bool { return s.until <= h.now })
	})
}

func (h host) RosterDown(until float64) {
	h.down = max(h.down, until)
	for _, a := range h.agents {
		if a.watching {
			a.watching = false
			h.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
			if h.s.Roster.Pushed {
				h.after(250, func() { h.follow(a) })
			}
		}
	}
}

// restart ends an agent and starts it again. One that ends as planned answers what it has; of
// one that is killed clients see their connections break.
func (w *world) restart(i int, killed bool) {
	a := w.agents[i]
	a.gone, a.watching = true, false
	if killed {
		ids := make([]policy.RequestID, 0, len(a.tries))
		for id := range a.tries {
			ids = append(ids, id)
		}
		slices.Sort(ids)
		for _, id := range ids {
			t := a.tries[id]
			if !t.answered {
				w.final(t, measure.Gone, 0)
			}
			for _, att := range t.attempts {
				if att.stage != over {
					w.dropped(att)
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
	w.start(i, a.zone, int(w.events))
}

// dropped ends an attempt of an agent that was killed: its connection ends with it.
func (w *world) dropped(att *attempt) {
	if att.stage == waiting {
		w.leave(att)
		att.stage = over
		return
	}
	w.hangUp(att)
	if att.gen == att.s.gen && !att.s.silent {
		w.at(max(w.now+w.trip(att.agent, att.s), att.arrives), event{kind: evCancel, att: att})
	} else {
		w.leave(att)
	}
	att.stage = over
}

// ---- what the oracle sees ----

// Finish is how long from now an answer would come, about, and how long it would wait in line.
func (w *world) Finish(addr cluster.Addr, zone int, work float64, key uint64) (after, wait float64, ok bool) {
	v := w.byAddr[addr]
	if v == nil || !v.up || v.silent {
		return 0, 0, false
	}
	after, wait, ok = v.st.Finish(w.now, work, uint32(key), v.coming, w.means)
	return after + 2*w.paths.Mean(zone, v.zone), wait, ok
}

// Work is that of a request.
func (w *world) Work(index int, id policy.RequestID) float64 {
	if t := w.agents[index].tries[id]; t != nil {
		return float64(w.plan[t.Ask].Work)
	}
	return w.means
}

// MeanWork is that of a class.
func (w *world) MeanWork(class int) float64 { return w.s.Classes[class].Work.Ms() }

// Bears tells whether a cold server takes one more.
func (w *world) Bears(addr cluster.Addr, work float64) bool {
	v := w.byAddr[addr]
	return v.st.Bears(w.now, work+float64(v.coming)*w.means, 0.7)
}
