package world

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

var errRefused error = syscall.ECONNREFUSED

// server is one process of an order server.
type server struct {
	w       *World
	num     int
	host    string
	dial    string
	zone    string
	cell    int
	born    time.Duration // since the day's start; below 0: long ago
	up      bool
	silent  bool // cut off: it hears and says nothing
	working int
	serial  int
	links   []*link
	modes   []*mode
	atReply bool // its next reply comes with a drain notice
	warmth  []arrival
}

// mode is a fault that holds for a while.
type mode struct {
	kind  string
	share float64
	until time.Duration
}

// link is the server's end of a connection.
type link struct {
	s     *server
	c     *conn
	p     *process
	buf   []byte
	count int // requests that came
	job   *job
	ended bool // nothing more is said or heard on it
	lost  bool // a byte did not arrive: no later one does
	old   bool // of a process that has ended
	// What the agent writes, as the checker sees it.
	text    []byte
	attempt *attempt
}

// job is one request that a server works on.
type job struct {
	l    *link
	id   string
	over bool
	deaf bool // it was given up, and is worked on all the same
}

func (s *server) has(kind string, of ...uint64) bool {
	for _, m := range s.modes {
		if m.kind == kind && s.w.now() < m.until && s.w.day.draw(kind, append(of, uint64(s.num))...) < m.share {
			return true
		}
	}
	return false
}

// ramp is the part of its capacity that the server has: it warms up evenly.
func (s *server) ramp(at time.Duration) float64 {
	cold := time.Duration(s.w.day.contract("coldMs") * float64(ms))
	if s.born < 0 || at-s.born >= cold {
		return 1
	}
	from := s.w.day.contract("coldFrom")
	return from + (1-from)*float64(at-s.born)/float64(cold)
}

func (s *server) dialled(p *process, d *dial) {
	w, c := s.w, d.c
	wait := 2 * w.trip(c, 0)
	switch {
	case s.silent:
		return // until the agent gives up
	case !s.up || s.has("refuse-dial", uint64(c.id)):
		w.after(wait, func() { p.fail(d, errRefused) })
		return
	case s.has("slow-dial", uint64(c.id)):
		wait += time.Duration(w.day.draw("slow", uint64(c.id)) * float64(700*ms))
	}
	if fate, r := w.check.fate(p, c.purpose); fate == "key-window" && len(r.attempts) > 0 {
		// The window of its key ends while the connection comes up.
		w.check.count("key window ends in a dial")
		wait = max(wait, r.attempts[0].first+w.day.ttl-w.now()+time.Duration(2*w.day.draw("just", uint64(c.id))*float64(ms)))
	}
	w.after(wait, func() {
		if s.silent {
			return
		}
		if !s.up {
			p.fail(d, errRefused)
			return
		}
		l := &link{s: s, c: c, p: p}
		c.server, c.peer = s, l
		if s.has("deaf", uint64(c.id)) {
			c.room = int(w.day.draw("room", uint64(c.id)) * 300)
			w.after(time.Duration(w.day.draw("hear", uint64(c.id))*float64(80*ms)), l.hear)
		}
		if p.up(d) {
			w.note("c%d is up to %s", c.id, s.host)
			s.links = append(s.links, l)
		}
	})
}

// hear lets an agent write on, bit by bit, or breaks the connection.
func (l *link) hear() {
	if l.ended {
		return
	}
	x := l.s.w.day.draw("heard", uint64(l.c.id), uint64(l.s.w.now()))
	if x < 0.15 {
		l.reset(0)
		return
	}
	l.c.grant(int(x * 400))
	l.s.w.after(time.Duration(x*float64(20*ms)), l.hear)
}

// ahead is when something that is sent now arrives, behind all that was sent before it.
func (l *link) ahead(extra time.Duration) time.Duration {
	w := l.s.w
	t := w.slot(max(w.now()+w.trip(l.c, l.count)+extra, l.c.last+1))
	l.c.last = t
	return t
}

// acted takes up what the agent did on the connection.
func (l *link) acted(p *process, a act) {
	w := l.s.w
	if len(a.out) > 0 {
		w.check.wrote(p, l, a.out)
		w.after(w.trip(l.c, l.count), func() { l.receive(a.out) })
	}
	if a.closed || a.ended {
		w.check.gaveUp(l)
		w.after(w.trip(l.c, l.count)+time.Microsecond, l.closedByAgent)
	}
}

func (l *link) closedByAgent() {
	l.ended = true
	if l.job != nil {
		l.job.over = true
		if l.s.has("ignores-cancels") {
			l.job.deaf = true // it works on, for nobody
		} else {
			l.s.working--
		}
		l.job = nil
	}
	l.s.links = slices.DeleteFunc(l.s.links, func(o *link) bool { return o == l })
}

// reset breaks the connection, as the agent sees after extra.
func (l *link) reset(extra time.Duration) {
	if l.ended {
		return
	}
	l.closedByAgent()
	l.s.w.push(l.ahead(extra), func() { l.breakNow() })
}

func (l *link) breakNow() {
	if l.c.gone() {
		return
	}
	l.s.w.note("c%d is reset", l.c.id)
	l.s.w.check.ended(l, "reset")
	l.c.reset()
}

// receive takes what came from an agent.
func (l *link) receive(p []byte) {
	s, w := l.s, l.s.w
	if l.ended || s.silent {
		return
	}
	if s.has("drop-idle", uint64(l.c.id)) && len(l.buf) == 0 && l.count > 0 {
		l.reset(0) // it had dropped the connection without a word
		return
	}
	if len(l.buf) == 0 && s.has("reset-request", uint64(l.c.id), uint64(l.count)) && w.day.draw("whole", uint64(l.c.id), uint64(l.count)) < 0.5 {
		l.reset(0) // in the middle of the request: it never ran, but who can know
		return
	}
	l.buf = append(l.buf, p...)
	said := l.said(l.buf)
	head := bytes.Index(said, []byte("\r\n\r\n"))
	if head < 0 {
		return
	}
	text := string(said[:head])
	length, _ := strconv.Atoi(headerOf(text, "Content-Length"))
	if len(said) < head+4+length {
		return
	}
	l.buf = said[head+4+length:] // what is behind a request is the next one's, as it came
	l.count++
	if strings.HasPrefix(text, "GET /health ") {
		l.probed()
		return
	}
	l.begin(headerOf(text, "Request-Id"))
}

// said is what came, or was written, as HTTP has it.
func (l *link) said(raw []byte) []byte {
	if l.s.w.day.Fast {
		return fastRequest(raw)
	}
	return raw
}

func headerOf(head, name string) string {
	for _, line := range strings.Split(head, "\r\n") {
		if key, value, ok := strings.Cut(line, ":"); ok && strings.EqualFold(key, name) {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// begin starts to work on a request that has come whole.
func (l *link) begin(id string) {
	s, w := l.s, l.s.w
	w.note("%s gets %s on c%d", s.host, id, l.c.id)
	w.check.arrived(l)
	if l.job != nil {
		w.check.breach("two requests on one connection", "%s on c%d", id, l.c.id)
		return
	}
	l.job = &job{l: l, id: id}
	s.working++
	n, c := uint64(l.count), uint64(l.c.id)
	switch {
	case s.has("reset-request", c, n-1):
		l.reset(0)
		return
	case w.firstOfWindow(l, id):
		l.reset(0)
		return
	case s.has("hang", c, n):
		return
	case s.has("turn-away", c, n) || s.working > w.day.Slots+w.day.Queue:
		l.reply("never", 503, "Not-Started: 1\r\n", "", 0)
		return
	case s.has("fail-fast", c, n):
		l.reply("error", []int{500, 503, 504}[int(3*w.day.draw("status", c, n))], "", "no", 0)
		return
	}
	x := w.day.draw("work", c, n)
	work := w.day.WorkMs * (0.3 + 1.4*x) / s.ramp(w.now()) * max(1, float64(s.working)/float64(w.day.Slots))
	j, born := l.job, s.born
	w.after(time.Duration(work*float64(ms)), func() {
		if j.deaf && s.up && s.born == born {
			s.working--
		}
		if j.over || s.silent || !s.up {
			return
		}
		s.serial++
		l.serve(fmt.Sprintf("made for %s by %s, %d", j.id, s.host, s.serial))
	})
}

// probed answers a probe: well, unless it fails, or not at all.
func (l *link) probed() {
	s, w, c, n := l.s, l.s.w, uint64(l.c.id), uint64(l.count)
	w.check.count("probes")
	switch {
	case s.has("hang", c, n):
	case s.has("reset-answer", c, n):
		l.spoil()
		l.reset(0)
	case s.has("fail-fast", c, n):
		l.reply("error", 503, "", "", 0)
	default:
		l.reply("served", 200, "", "well", time.Duration(w.day.draw("probe", c, n)*float64(2*ms)))
	}
}

// firstOfWindow tells whether this is the first attempt of a request that is to find the
// window of its key ended.
func (w *World) firstOfWindow(l *link, id string) bool {
	fate, r := w.check.fate(l.p, id)
	return fate == "key-window" && len(r.attempts) == 1
}

// spoil notes that the answer of the attempt at hand is none that can be served whole.
func (l *link) spoil() {
	if l.attempt != nil {
		l.attempt.spoilt = true
	}
}

// serve answers a request with its body, or with what the faults make of it.
func (l *link) serve(body string) {
	s, w, c, n := l.s, l.s.w, uint64(l.c.id), uint64(l.count)
	x := w.day.draw("how", c, n)
	head := "Server-Load: TEXT qps=" + strconv.Itoa(s.working) + ", util=0.5\r\n"
	if s.has("bad-report", c, n) {
		head = "Server-Load: TEXT qps=much, util=\r\n"
	}
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	switch {
	case s.has("spoil", c, n):
		bad := []string{"\x00\xff\x17noise\r\n\r\n", whole[:len(whole)/2], "HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n" + body,
			"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n" + strings.Repeat("x", 2000),
			fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\nContent-Length: %d\r\n\r\n%s", len(body), len(body)-3, body),
			"HTTP/1.1 200 OK\r\n" + strings.Repeat("X: "+strings.Repeat("x", 900)+"\r\n", 30),
			"HTTP/1.1 200 OK\r\n\r\n" + body}[int(x*7)]
		w.check.count("attempts spoilt")
		l.spoil()
		l.say("", [][]byte{[]byte(bad)}, 0) // it is out until the agent closes
	case s.has("reset-answer", c, n):
		l.say("", [][]byte{[]byte(whole[:int(x*float64(len(whole)))])}, 0)
		l.reset(0)
	case s.has("surplus", c, n):
		more := []string{"\x00noise", strings.Replace(whole, "made for", "copy for", 1)}[int(2*x)]
		w.check.made(body)
		switch how := x*10 - float64(int(x*10)); {
		case how < 0.35:
			l.say("served", [][]byte{[]byte(whole + more)}, 0)
		case how < 0.7: // the start with the answer, and a whole one when the next may wait
			l.say("served", [][]byte{[]byte(whole + "\x00noise")}, 0)
			w.push(l.ahead(time.Duration(1+4*x)*ms), func() { l.bring(fastIf(w.day.Fast, strings.Replace(whole, "made for", "copy for", 1))) })
		default:
			l.say("served", [][]byte{[]byte(whole)}, 0)
			w.push(l.ahead(0), func() { l.bring(fastIf(w.day.Fast, more)) })
		}
	case s.has("no-length", c, n):
		// Its end is its connection's: a reset, where it comes too early.
		if x < 0.5 {
			w.check.made(body)
			l.say("served", [][]byte{[]byte("HTTP/1.1 200 OK\r\n\r\n" + body)}, 0)
			w.push(l.ahead(0), l.c.finish)
			return
		}
		w.check.count("attempts cut without a length")
		l.spoil()
		l.say("", [][]byte{[]byte("HTTP/1.1 200 OK\r\n\r\n" + body[:int((2*x-1)*float64(len(body)))])}, 0)
		l.reset(0)
	case s.has("interim", c, n):
		w.check.made(body)
		l.say("served", [][]byte{[]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"), []byte(whole)}, 500*time.Microsecond)
	case s.has("dribble", c, n):
		w.check.made(body)
		var pieces [][]byte
		for rest := whole; rest != ""; {
			k := min(len(rest), 1+int(x*40))
			pieces = append(pieces, []byte(rest[:k]))
			rest = rest[k:]
		}
		l.say("served", pieces, time.Duration(x*float64(6*ms)))
	case s.has("close-after", c, n):
		w.check.made(body)
		l.say("served", [][]byte{[]byte(whole)}, 0)
		l.closedByAgent()
		w.push(l.ahead(0), l.c.finish)
	default:
		w.check.made(body)
		l.say("served", [][]byte{[]byte(whole)}, 0)
	}
}

// reply sends a short answer.
func (l *link) reply(end string, status int, head, body string, extra time.Duration) {
	l.say(end, [][]byte{[]byte(fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body))}, extra)
}

// say sends the pieces of an answer to the request at hand, so long apart; end is what the
// attempt has come to for the agent with the last of them.
func (l *link) say(end string, pieces [][]byte, apart time.Duration) {
	s, w := l.s, l.s.w
	a := l.attempt
	if l.job != nil {
		l.job.over = true
		s.working--
		l.job = nil
	}
	if s.w.day.Fast {
		pieces = fastRecords(pieces, end != "")
	}
	for i, piece := range pieces {
		t := l.ahead(time.Duration(i) * apart)
		last := i == len(pieces)-1
		deliver := func() {
			if s.silent { // cut off on the way
				if a != nil {
					a.spoilt = true
				}
				l.lost = true
				return
			}
			if a != nil && a.rec != nil && last && a.rec.ask.op.Fate == "cancel-at-answer" && a.rec.left == 0 {
				if k, ok := a.rec.clientEnd(); ok { // it goes as its answer comes
					w.check.count("cancel-at-answer")
					leave := func() { k.leave(a.rec.ask, true) }
					if w.day.draw("order", uint64(l.c.id), uint64(l.count)) < 0.5 {
						leave()
					} else {
						w.push(w.now(), leave)
					}
				}
			}
			w.note("c%d brings %d bytes %.50q %s", l.c.id, len(piece), piece, end)
			if last && end != "" && a != nil && !l.c.gone() {
				w.check.endedAs(a, end)
			}
			l.bring(piece)
		}
		if last && s.atReply {
			s.atReply = false
			before := w.day.draw("first", uint64(l.c.id), uint64(l.count)) < 0.5
			notice := func() { w.drainNow(s) }
			if before {
				w.push(t, notice)
				w.push(t, deliver)
			} else {
				w.push(t, deliver)
				w.push(t, notice)
			}
			continue
		}
		w.push(t, deliver)
	}
}

// bring delivers bytes, in their order and with none left out, as a network does: when the
// server was cut off before some, none after them arrive either.
func (l *link) bring(p []byte) {
	if l.s.silent || l.lost {
		l.lost = true
		return
	}
	l.c.deliver(p)
}

// crash ends the process: all connections break.
func (s *server) crash() {
	s.up = false
	for _, l := range slices.Clone(s.links) {
		l.reset(0)
	}
	s.working = 0
}

// vanish cuts the machine off; nothing is heard of it.
func (s *server) vanish() {
	s.up, s.silent = false, true
	s.working = 0
	for _, l := range s.links {
		if l.job != nil {
			l.job.over = true
		}
	}
}

// back starts a new process on the server's machine, cold, under its own name.
func (s *server) back() {
	w := s.w
	old := s.links
	s.links = nil
	for _, l := range old {
		l.ended, l.old = true, true
		if !l.c.gone() {
			w.after(w.trip(l.c, l.count), l.breakNow)
		}
	}
	s.up, s.silent, s.working = true, false, 0
	s.born = w.now()
	s.warmth = nil
	w.note("%s is back, cold", s.host)
}
