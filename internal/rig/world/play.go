package world

import (
	"fmt"
	"slices"
	"time"
)

// setUp plans the day.
func (w *World) setUp() {
	d := w.day
	for i := range d.Servers {
		born := time.Duration(-1)
		if d.Cold {
			born = 0
		}
		w.newServer(fmt.Sprintf("10.1.0.%d:80", i+1), born)
	}
	for _, s := range w.servers {
		w.becomes(s, "ready")
	}
	for i := range 4 {
		w.rosters[rosterAddr(i)] = &roster{w: w, addr: rosterAddr(i), up: true, base: int64(40 - 10*i)}
	}
	for i := range d.Agents {
		w.agents = append(w.agents, w.launch(i, 0, rosterAddr(0)))
	}
	last := time.Duration(0)
	for _, o := range d.Ops {
		last = max(last, o.At+o.For)
		w.at(10*ms+o.At, func() { w.play(o) })
	}
	w.at(last+d.giveUp()+7*time.Second, w.evening) // a server that breaks off in an answer is left after 5 s
}

func (w *World) newServer(dial string, born time.Duration) *server {
	n := len(w.servers)
	s := &server{w: w, num: n, host: fmt.Sprintf("s-%d", n), dial: dial, born: born, up: true,
		zone: []string{"x", "y"}[n%2], cell: n % 3}
	w.servers = append(w.servers, s)
	w.byDial[dial] = s
	return s
}

// config is what the platform tells a process at its start.
func (w *World) config(p *process) map[string]any {
	settings := map[string]any{}
	for k, v := range w.day.Settings {
		settings[k] = v
	}
	settings["index"] = p.index
	version := len(w.truth)
	w.after(0, func() { w.check.told(p, version) })
	return map[string]any{"name": fmt.Sprint("n", p.index), "listen": "127.0.0.1:1", "discovery": p.roster,
		"seed":   fmt.Sprintf("%016x", uint64(w.day.draw("agent", uint64(p.index), uint64(p.run))*(1<<53))),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": w.day.Sockets},
		"known":  rawJSON(w.list(0, true, w.listed(version))), "settings": settings}
}

type rawJSON []byte

func (r rawJSON) MarshalJSON() ([]byte, error) { return r, nil }

// play does what one operation says.
func (w *World) play(o Op) {
	if o.Kind == "ask" {
		w.ask(o)
		return
	}
	if w.day.Near > 0 {
		w.check.count("fault " + o.Kind)
		w.note("fault %s agent %d for %v", o.Kind, o.Agent, o.For)
		if w.linkFault(o) || w.fellowFault(o) {
			return
		}
	}
	s, p := w.servers[o.Host], w.agents[o.Agent]
	w.note("fault %s host %s agent %d for %v share %.2f", o.Kind, s.host, o.Agent, o.For, o.Share)
	w.check.count("fault " + o.Kind)
	late := time.Duration(w.day.draw("seen", uint64(o.ID)) * 2 * w.day.NoticeMs * float64(ms))
	switch o.Kind {
	case "drain":
		w.publish(s, "draining")
		w.after(o.For+300*ms, func() { w.publish(s, "gone") })
		w.after(o.For+400*ms+late, s.crash)
	case "slow-drain": // while connections to it are long in coming up
		s.modes = append(s.modes, &mode{"slow-dial", 1, w.now() + o.For})
		for _, l := range slices.Clone(s.links) {
			l.reset(0)
		}
		w.after(o.For/3, func() { w.drainNow(s) })
	case "old-delta":
		w.oldDelta(s, o.For/2+100*ms)
	case "drain-at-reply":
		s.atReply = true
	case "vanish":
		s.vanish()
		w.after(late, func() {
			if s.silent {
				w.publish(s, "gone")
			}
		})
		w.after(o.For, func() {
			if w.day.draw("name", uint64(o.ID)) < 0.5 {
				s.back()
				w.after(late/2, func() { w.publish(s, "ready") })
				return
			}
			w.publish(s, "gone")
			n := w.newServer(fmt.Sprintf("10.1.1.%d:80", len(w.servers)), w.now())
			w.publish(n, "ready")
		})
	case "crash":
		s.crash()
		w.after(late, func() { w.publish(s, "gone") })
		w.after(o.For+late, func() {
			s.back()
			w.publish(s, "ready")
		})
	case "crash-listed": // the roster goes on saying that it is ready
		s.crash()
		w.after(late/4, func() { w.publish(s, "ready") })
		w.after(o.For, func() {
			s.back()
			w.after(late, func() { w.publish(s, "ready") })
		})
	case "replace": // by another under a new name at the same address
		w.publish(s, "draining")
		w.after(o.For, func() {
			s.crash()
			w.publish(s, "gone")
			n := w.newServer(s.dial, w.now())
			w.publish(n, "ready")
		})
	case "move": // a new process at another address
		s.crash()
		w.after(o.For/4, func() {
			s.dial = fmt.Sprintf("10.1.2.%d:80", o.ID%250)
			w.byDial[s.dial] = s
			s.back()
			w.publish(s, "ready")
		})
	case "add":
		w.publish(w.newServer(fmt.Sprintf("10.1.3.%d:80", len(w.servers)), w.now()), "ready")
	case "roster-down", "roster-silent":
		r := w.rosters[p.roster]
		r.down(o.Kind == "roster-silent")
		w.after(o.For, func() { r.up, r.silent = true, false })
	case "roster-late":
		w.rosters[p.roster].late = w.now() + o.For
	case "crowd-leaves":
		w.crowdLeaves()
	case "reload":
		old := w.rosters[p.roster]
		next := rosterAddr((o.ID + 1) % 4)
		p.reload(next)
		w.after(1500*ms, func() {
			for _, k := range old.callers {
				if k.p == p && !k.c.gone() {
					k.c.reset()
				}
			}
		})
	case "evacuate":
		if !p.gone && !p.leaves {
			_ = p.agent.Lifecycle().Evacuate()
			w.after(o.For, func() {
				if !p.gone && !p.leaves {
					_ = p.agent.Lifecycle().Rejoin()
				}
			})
		}
	case "alone": // by a council's word: one agent's at a time here, as each comes to hear it
		if !p.gone {
			p.agent.ExcludeServers(s.host)
			w.check.leftAlone(p, s, true)
			w.after(o.For, func() {
				if !p.gone {
					w.check.leftAlone(p, s, false)
					p.agent.ExcludeServers()
				}
			})
		}
	case "resettle":
		p.resettle(o.ID)
	case "term":
		p.terminate()
		w.after(time.Second+w.day.giveUp(), func() { w.relaunch(p) })
	case "kill":
		p.kill()
		w.after(o.For/2, func() { w.relaunch(p) })
	default:
		s.modes = append(s.modes, &mode{o.Kind, o.Share, w.now() + o.For})
	}
}

// relaunch starts an agent anew under its name; one that was told to end must have.
func (w *World) relaunch(p *process) {
	if w.agents[p.index] != p || w.over {
		return
	}
	if !p.finished() {
		w.check.breach("an agent does not end", "a%d, %v after SIGTERM", p.index, time.Second+w.day.giveUp())
	}
	w.left(p)
	p.kill()
	w.agents[p.index] = w.launch(p.index, p.run+1, p.roster)
}

// evening ends the day: all is answered, and nothing may be left.
func (w *World) evening() {
	w.over = true
	for _, p := range w.agents {
		if p.gone {
			continue
		}
		if l := p.agent.Load(); l.Requests != 0 || l.Attempts != 0 || l.Taken != 0 || l.BodyBytes != 0 || l.Crossings != 0 {
			w.check.breach("something is left over", "a%d: %+v", p.index, l)
		}
		p.terminate()
	}
	w.after(2*time.Second+w.day.giveUp(), func() {
		for _, p := range w.agents {
			if !p.finished() {
				w.check.breach("an agent does not end", "a%d", p.index)
			}
			w.left(p)
		}
	})
}

// left checks that a process that has ended by itself holds nothing on the network.
func (w *World) left(p *process) {
	if p.net.dead {
		return
	}
	p.net.mu.Lock()
	open, dials := p.net.open, len(p.net.dials)
	p.net.mu.Unlock()
	if open != 0 || dials != 0 {
		w.check.breach("something is left over", "a%d: %d connections and %d dials after its end", p.index, open, dials)
	}
}
