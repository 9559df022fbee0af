package model

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"molepaddle/internal/cluster"
	"molepaddle/internal/lab/law"
	"molepaddle/internal/lab/measure"
	"molepaddle/internal/lab/station"
	"molepaddle/internal/scenario"
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
		wait = a.part.Follow(clockBase+w.now, clockBase+a.heard)
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

// fetch asks for the whole list.
func (w *world) fetch(a *agent) {
	w.after(2*w.rosterTrip(), func() {
		a.fetching = false
		if a.gone {
			return
		}
		w.res.questions++
		if w.now < w.down {
			w.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
			return
		}
		w.learn(a, cluster.ListFull, w.known(0))
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
	a.part.Calm(now)
	entries := make([]cluster.Entry, 0, len(a.list))
	for _, e := range a.list {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(x, y cluster.Entry) int { return cmp.Compare(w.byAddr[x.Server].num, w.byAddr[y.Server].num) })
	least, wake := a.part.Plan(now, entries)
	w.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFull, Entries: entries, Least: least})
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

// named are the servers that an event is about; a share of them follows from a draw.
func (w *world) named(e *scenario.Event, i int) []*server {
	var all []*server
	for _, v := range w.servers {
		if !v.removed && (e.Server == "" || v.name == e.Server) && (e.Of == "" || w.s.Servers[v.kind].Kind == e.Of) &&
			(e.Zone == "" || w.s.Zones[v.zone] == e.Zone) {
			all = append(all, v)
		}
	}
	return Draw(all, e, w.o.Seed, i)
}

// Draw takes the share of an event out of what it names, by draw.
func Draw[T any](all []T, e *scenario.Event, seed uint64, i int) []T {
	if e.Share == 0 || e.Kind == "fail" || len(all) == 0 {
		return all
	}
	rng := law.Source(seed, fmt.Sprint("event", i))
	rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(max(int(math.Round(e.Share*float64(len(all)))), 1), len(all))]
}

func (w *world) happen(e *scenario.Event, i int) {
	until := w.now + e.For.Ms()
	if e.For == 0 {
		until = math.Inf(1)
	}
	notice, silent := w.s.Roster.Notice.Ms(), w.s.Roster.Silent.Ms()
	switch e.Kind {
	case "crash", "vanish", "zone-lost":
		hushed := e.Kind != "crash"
		for _, v := range w.named(e, i) {
			if !v.up {
				continue
			}
			w.die(v, hushed)
			v.health = cluster.Gone
			w.list(v, map[bool]float64{false: notice, true: silent}[hushed])
			if e.For > 0 {
				w.after(e.For.Ms(), func() { w.back(v) })
			}
		}
	case "replace":
		for _, v := range w.named(e, i) {
			v.health = cluster.Draining
			w.list(v, notice)
			w.drained(v, w.now+2*notice+w.longest(), func() {
				v.removed, v.health = true, cluster.Gone
				w.list(v, 0)
				n := w.newServer(v.kind, v.zone, fmt.Sprint(v.name, "'"), w.now)
				n.busy = make([]float64, len(v.busy))
				w.list(n, notice)
			})
		}
	case "drain":
		for _, v := range w.named(e, i) {
			v.health = cluster.Draining
			w.list(v, notice)
			if e.For > 0 {
				w.after(e.For.Ms(), func() {
					if v.up {
						v.health = cluster.Ready
						w.list(v, notice)
					}
				})
			}
		}
	case "slow":
		for _, v := range w.named(e, i) {
			v.st.Add(station.Fault{Slow: e.Factor, Until: until})
		}
	case "fail":
		for _, v := range w.named(e, i) {
			v.st.Add(station.Fault{Fail: e.Share, Until: until})
		}
	case "link-stalled":
		a, b := slices.Index(w.s.Zones, e.Zone), slices.Index(w.s.Zones, e.With)
		w.stalls = append(w.stalls, stall{a, b, until})
		w.after(e.For.Ms(), func() {
			w.stalls = slices.DeleteFunc(w.stalls, func(s stall) bool { return s.until <= w.now })
		})
	case "roster-down":
		w.down = max(w.down, until)
		for _, a := range w.agents {
			if a.watching {
				a.watching = false
				w.tell(a, &policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
				if w.s.Roster.Pushed {
					w.after(250, func() { w.follow(a) })
				}
			}
		}
	case "reports-late":
		for _, v := range w.named(e, i) {
			v.late = e.For.Ms()
		}
	case "restart-agents":
		for i := range w.agents {
			w.after(float64(i)/e.Rate*1000, func() { w.restart(i, false) })
		}
	case "kill-agents":
		which := make([]int, len(w.agents))
		for i := range which {
			which[i] = i
		}
		for _, i := range Draw(which, e, w.o.Seed, i) {
			w.restart(i, true)
		}
	}
}

// longest is how long a request of any class may be open.
func (w *world) longest() (most float64) {
	for _, c := range w.s.Classes {
		most = max(most, c.GiveUp.Ms())
	}
	return most
}

// drained does something once a server has nothing more to do, at the latest at a time.
func (w *world) drained(v *server, latest float64, do func()) {
	w.after(100, func() {
		if v.up && (v.st.Holds() > 0 || v.coming > 0 || w.now < latest-w.longest()) && w.now < latest {
			w.drained(v, latest, do)
			return
		}
		if v.up {
			w.die(v, false)
		}
		do()
	})
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
	if v == nil || !v.up || v.silent || v.st.Fell() {
		return 0, 0, false
	}
	fail := v.st.Failing(w.now)
	if fail > 0.5 {
		return 0, 0, false
	}
	rate := v.st.Rate(w.now)
	if v.st.Knows(w.now, uint32(key)) {
		work *= 1 - w.s.Servers[v.kind].KeySaves
	}
	if v.st.Idle() <= v.coming {
		wait = (v.st.Backlog(w.now) + float64(v.coming)*w.means/rate) / float64(w.s.Servers[v.kind].Slots)
		if v.st.Holds()-w.s.Servers[v.kind].Slots >= w.s.Servers[v.kind].Queue {
			return 0, 0, false
		}
	}
	return (2*w.paths.Mean(zone, v.zone) + wait + work/rate) / (1 - fail), wait, true
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
