package world

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// change is one change of the list, as it is true from some moment on.
type change struct {
	num    int
	health string
	dial   string
	born   float64 // Unix time in ms; 0: long ago
	at     time.Duration
}

// bornMs is the server's start as rosters word it.
func (s *server) bornMs() float64 {
	if s.born < 0 {
		return 0
	}
	return float64(s.w.start.Add(s.born).UnixMicro()) / 1000
}

func (w *World) entry(c change) map[string]any {
	s := w.servers[c.num]
	return map[string]any{"host": s.host, "dial": c.dial, "site": s.zone, "class": "k", "block": s.cell,
		"health": c.health, "share": 1.0, "born_ms": c.born}
}

// listed is the whole list as of a version: the last change of each server.
func (w *World) listed(version int) []change {
	last := map[int]change{}
	for _, c := range w.truth[:version] {
		last[c.num] = c
	}
	var all []change
	for num := range w.servers {
		if c, ok := last[num]; ok && c.health != "gone" {
			all = append(all, c)
		}
	}
	return all
}

func (w *World) list(seq int64, whole bool, changes []change) []byte {
	hosts := []any{}
	for _, c := range changes {
		hosts = append(hosts, w.entry(c))
	}
	text, err := json.Marshal(map[string]any{"seq": seq, "whole": whole, "hosts": hosts})
	if err != nil {
		panic(err)
	}
	return text
}

// publish makes a change true; who watches is told in time.
func (w *World) publish(s *server, health string) {
	version := w.becomes(s, health)
	w.note("true from now on: %s %s at %s (version %d)", s.host, health, s.dial, version)
	for _, p := range w.agents {
		delay := time.Duration(2 * w.day.NoticeMs * w.day.draw("notice", uint64(version), uint64(p.index)) * float64(ms))
		w.after(delay, func() { w.tellWatchers(p.index, version) })
	}
}

// becomes makes a change true that nobody is told of yet.
func (w *World) becomes(s *server, health string) (version int) {
	w.truth = append(w.truth, change{s.num, health, s.dial, s.bornMs(), w.now()})
	return len(w.truth)
}

// oldDelta lets all watches tell late, and one change after the other, while who asks for
// the whole list is told both at once: the first comes to who knows better.
func (w *World) oldDelta(s *server, apart time.Duration) {
	first := w.becomes(s, "ready")
	last := w.becomes(s, "draining")
	w.note("true from now on: %s draining, and watches tell it late", s.host)
	for _, p := range w.agents {
		w.after(apart, func() { w.tellWatchers(p.index, first) })
		w.after(apart+900*ms, func() { w.tellWatchers(p.index, last) })
	}
	// What breaks elsewhere makes agents ask.
	for _, o := range w.servers {
		if o != s {
			for _, l := range slices.Clone(o.links) {
				l.reset(0)
			}
		}
	}
}

// drainNow tells all who watch, in this instant, that a server drains.
func (w *World) drainNow(s *server) {
	w.becomes(s, "draining")
	w.note("true from now on: %s draining, and told in this instant", s.host)
	for _, p := range w.agents {
		w.tellWatchers(p.index, len(w.truth))
	}
}

func (w *World) tellWatchers(index, version int) {
	for _, r := range w.allRosters() {
		for _, k := range slices.Clone(r.callers) {
			if k.watch && k.p.index == index {
				k.tell(version)
			}
		}
	}
}

func (w *World) allRosters() []*roster {
	all := []*roster{}
	for i := 0; ; i++ {
		r := w.rosters[rosterAddr(i)]
		if r == nil {
			return all
		}
		all = append(all, r)
	}
}

func rosterAddr(i int) string { return fmt.Sprintf("10.9.0.%d:8500", i+1) }

// roster is the service at one address. All of them know the truth, each by its own
// versions.
type roster struct {
	w       *World
	addr    string
	base    int64
	up      bool
	silent  bool
	late    time.Duration // until when its answers come late
	callers []*caller
}

// caller is an agent's connection to a roster.
type caller struct {
	r     *roster
	c     *conn
	p     *process
	buf   []byte
	watch bool
	told  int // version of the truth that was told
	count int
}

func (r *roster) dialled(p *process, d *dial) {
	w := r.w
	w.after(2*w.trip(d.c, 0), func() {
		switch {
		case r.silent:
		case !r.up:
			p.fail(d, errRefused)
		default:
			k := &caller{r: r, c: d.c, p: p}
			d.c.peer = k
			if p.up(d) {
				r.callers = append(r.callers, k)
			}
		}
	})
}

func (k *caller) acted(_ *process, a act) {
	w := k.r.w
	if len(a.out) > 0 {
		w.after(w.trip(k.c, k.count), func() { k.receive(a.out) })
	}
	if a.closed {
		w.check.asks(k.p, a.c, false)
		k.r.callers = slices.DeleteFunc(k.r.callers, func(o *caller) bool { return o == k })
		k.watch = false
	}
}

func (k *caller) receive(p []byte) {
	w := k.r.w
	if k.r.silent || !k.r.up || k.c.gone() {
		return
	}
	k.buf = append(k.buf, p...)
	head, _, whole := strings.Cut(string(k.buf), "\r\n\r\n")
	if !whole || k.count > 0 {
		return
	}
	k.count++
	version := len(w.truth)
	line, _, _ := strings.Cut(head, "\r\n")
	if !strings.Contains(line, "follow=1") {
		// The whole list as of now; what is true may change before it is there.
		text := w.list(k.r.base+int64(version), true, w.listed(version))
		delay := w.trip(k.c, 1)
		if w.now() < k.r.late {
			delay += time.Duration(w.day.draw("late", uint64(k.c.id)) * float64(900*ms))
		}
		w.after(delay, func() {
			if k.r.silent || k.c.gone() {
				return
			}
			w.note("a%d is told the whole list of version %d", k.p.index, version)
			if k.c.deliver([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(text), text))) {
				w.check.told(k.p, version)
			}
			k.c.finish()
		})
		return
	}
	since, _ := strconv.ParseInt(between(line, "since=", " "), 10, 64)
	w.after(w.trip(k.c, 1), func() {
		if k.r.silent || k.c.gone() {
			return
		}
		k.watch = true
		k.c.deliver([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"))
		version := len(w.truth)
		if from := since - k.r.base; since > k.r.base && from <= int64(version) {
			k.told = int(from)
			k.tell(version)
		} else {
			k.line(w.list(k.r.base+int64(version), true, w.listed(version)), version)
		}
		k.beat()
	})
}

func between(text, from, to string) string {
	_, text, _ = strings.Cut(text, from)
	text, _, _ = strings.Cut(text, to)
	return text
}

// tell writes the changes up to a version that were not yet told.
func (k *caller) tell(version int) {
	if k.told >= version || k.r.silent || !k.r.up || k.c.gone() {
		return
	}
	w := k.r.w
	k.line(w.list(k.r.base+int64(version), false, w.truth[k.told:version]), version)
}

func (k *caller) line(text []byte, version int) {
	w := k.r.w
	if k.c.deliver([]byte(fmt.Sprintf("%x\r\n%s\n\r\n", len(text)+1, text))) {
		k.told = version
		w.note("a%d is told by its watch what is true as of version %d", k.p.index, version)
		w.check.told(k.p, version)
	}
}

func (k *caller) beat() {
	k.r.w.after(2*time.Second, func() {
		if k.r.w.over || k.r.silent || k.c.gone() {
			return
		}
		k.c.deliver([]byte("1\r\n\n\r\n"))
		k.beat()
	})
}

// down ends all calls, by a reset or, if it only falls silent, not at all.
func (r *roster) down(silent bool) {
	r.up, r.silent = false, silent
	callers := r.callers
	r.callers = nil
	for _, k := range callers {
		k.watch = false
		if !silent {
			r.w.after(r.w.trip(k.c, 2), k.c.reset)
		}
	}
}
