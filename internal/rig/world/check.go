package world

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Breach is a rule that was broken.
type Breach struct {
	Rule string
	At   time.Duration
	Step int
	Text string
}

func (b Breach) String() string {
	return fmt.Sprintf("%s: %s (step %d, %.6f ms)", b.Rule, b.Text, b.Step, float64(b.At)/1e6)
}

// grace is what real time may take beyond the settings' figures.
const grace = 50 * ms

// leastLeft is with how much of its client's time left an attempt may begin.
const leastLeft = ms

// noticed is how long after a client left work for it may still begin: a cancel takes its time, and
// crosses a link.
func (w *World) noticed() time.Duration {
	return grace + time.Duration(1.5*w.day.LinkUs*float64(time.Microsecond))
}

// leaves notes that the client of a request goes. What is out for it ends, where that is allowed.
func (k *checker) leaves(r *record) {
	r.left = k.w.now()
	if !k.w.day.Settings["limits"].(map[string]any)["cancelling"].(bool) {
		return
	}
	k.w.after(k.w.noticed()+ms, func() {
		if k.w.day.Near > 0 && r.left < k.w.troubled {
			return
		}
		for _, a := range r.attempts {
			if a.end == "" && a.s.up && !a.s.silent {
				k.breach("work goes on for a client that left", "%s at %s", r.id, a.s.host)
			}
		}
	})
}

// checker holds the rules against what passes on the wires.
type checker struct {
	w        *World
	breaches []Breach
	records  map[recordKey]*record
	bodies   map[string]bool // answers that servers made, whole and unspoilt
	tolds    map[*process]*told
	asked    int
	sent     int
	counts   map[string]int
	latest   map[string]*record // by id, of days of two sites
}

// recordKey names a request: ids are known to one run of an agent.
type recordKey struct {
	p  *process
	id string
}

// record is a request that an agent has taken.
type record struct {
	p        *process
	id       string
	class    int
	taken    time.Duration
	left     time.Duration // when its client went; 0: it waits
	final    string        // the answer's kind, once there was one
	finalAt  time.Duration
	attempts []*attempt
	ask      *ask
}

// attempt is one sending of a request to a server, as seen on the wire.
type attempt struct {
	spoilt bool // its server broke its answer off, or never ended it
	rec    *record
	id     string
	s      *server
	as     *server       // which its agent was told to be at the address
	first  time.Duration // its first byte
	whole  bool          // its last byte was written
	end    string        // how it ended for the agent; empty: it is out
	endAt  time.Duration
}

// mayHaveRun is what an agent must hold for possible.
func (a *attempt) mayHaveRun() bool { return a.whole && a.end != "never" }

// told is what a run of an agent has been told of the servers.
type told struct {
	version int
	at      map[int]toldOf        // by server
	alone   map[int]time.Duration // servers that it is to leave alone, since when
	calls   map[*conn]bool        // to rosters, from dial to end
	asked   time.Duration         // when the last of them ended, or one was begun
}

type toldOf struct {
	c     change
	since time.Duration
}

func newChecker(w *World) *checker {
	return &checker{w: w, records: map[recordKey]*record{}, bodies: map[string]bool{}, tolds: map[*process]*told{}, counts: map[string]int{}, latest: map[string]*record{}}
}

func (k *checker) breach(rule, format string, args ...any) {
	b := Breach{rule, k.w.now(), k.w.steps, fmt.Sprintf(format, args...)}
	k.breaches = append(k.breaches, b)
	k.w.note("BREACH %s", b)
}

// leftAlone notes that an agent is to leave a server alone, or no server any more.
func (k *checker) leftAlone(p *process, s *server, on bool) {
	k.tolds[p].alone = nil
	if on {
		k.tolds[p].alone = map[int]time.Duration{s.num: k.w.now()}
	}
}

func (k *checker) count(what string) { k.counts[what]++ }

func (k *checker) started(p *process) {
	k.tolds[p] = &told{at: map[int]toldOf{}, calls: map[*conn]bool{}, asked: k.w.now()}
}

// told notes that a run of an agent was told all changes up to a version.
func (k *checker) told(p *process, version int) { k.tolds[p].upTo(k.w, version, 0) }

// upTo notes changes as told, each no sooner than it was true and than the time given.
func (t *told) upTo(w *World, version int, least time.Duration) {
	for i := t.version; i < version; i++ {
		c, since := w.truth[i], w.now()
		if least > 0 {
			since = max(c.at, least)
		}
		t.at[c.num] = toldOf{c, since}
	}
	t.version = max(t.version, version)
}

// asks notes that a run of an agent begins or ends a call to a roster.
func (k *checker) asks(p *process, c *conn, begins bool) {
	t := k.tolds[p]
	if t == nil || !begins && !t.calls[c] {
		return
	}
	k.neglect(p)
	if t.asked = k.w.now(); begins {
		t.calls[c] = true
	} else {
		delete(t.calls, c)
	}
}

// neglect counts all as told to an agent that has neither watched nor asked for as long as
// the settings allow.
func (k *checker) neglect(p *process) {
	t := k.tolds[p]
	due := t.asked + time.Duration(k.w.day.contract("askWithinMs")*float64(ms)) + grace
	if len(t.calls) == 0 && k.w.now() > due {
		t.upTo(k.w, len(k.w.truth), due)
	}
}

// taken notes a request whose last byte an agent has been handed.
func (k *checker) taken(p *process, a *ask) *record {
	key := recordKey{p, a.id}
	r := &record{p: p, id: a.id, class: a.op.Class, taken: k.w.now(), ask: a}
	k.records[key] = r
	k.latest[a.id] = r
	k.asked++
	k.count("asked")
	slack := time.Duration(k.w.day.contract("answerSlackMs")*float64(ms)) + grace
	k.w.after(a.op.Timeout+slack, func() {
		if c, ok := r.clientEnd(); ok && r.final == "" && len(c.buf) > 0 && r.excused() {
			k.cut(r) // begun to be passed on, and its server gives no more: the client goes
			c.c.reset()
		}
		if r.final == "" && r.left == 0 && !p.gone && a.op.Fate != "slow-reader" {
			k.breach("a request is lost", "%s has no answer when its time is up", r.id)
		}
	})
	return r
}

// untaken takes a request back that the agent has not read when it closed.
func (k *checker) untaken(r *record) { r.final = "untaken" }

// excused tells whether a server gave an answer that can't be served whole.
func (r *record) excused() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.spoilt })
}

// cut notes an answer that was begun and can't be finished.
func (k *checker) cut(r *record) {
	r.final = "cut"
	if r.ask.op.Fate != "slow-reader" && !r.p.gone && !r.excused() {
		k.breach("a request is lost", "%s: its answer was cut", r.id)
	}
}

// final checks the answer to a request.
func (k *checker) final(r *record, status int, body string) {
	if r.final != "" {
		k.breach("two final answers", "%s", r.id)
	}
	r.finalAt = k.w.now()
	run := false
	var ran *attempt
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			run, ran = true, a
		}
	}
	switch {
	case status == 200:
		r.final = "served"
		if !k.bodies[body] || !strings.HasPrefix(body, "made for "+r.id+" by ") {
			k.breach("a wrong answer", "%s got %.60q", r.id, body)
		}
	case status == 429 || status == 503:
		r.final = "refused"
		if k.idleKnown(r.p) {
			k.count(refusedIdle)
		}
		if run && (r.class == order || r.class == send && k.w.day.grouped != "all") {
			k.breach("refused what may have run", "%s at %s", r.id, ran.s.host)
		}
	case status >= 400 && status < 500:
		r.final = "rejected"
		k.breach("a good request was rejected", "%s got %d", r.id, status)
	default:
		r.final = "failed"
		if r.class == order && !run && r.left == 0 && r.finalAt < r.taken+r.ask.op.Timeout-k.w.lastWord() {
			k.count(failedUnrun)
		}
	}
	if r.class == order && run && r.final != "served" && ran.end != "" && k.w.day.Near == 0 && r.ask.op.Fate != "slow-reader" {
		if late := r.finalAt - ran.endAt; late > grace {
			k.breach("an answer is held back", "%s: its only attempt ended %v before it was %s", r.id, late, r.final)
		}
	}
	k.count(r.final)
}

// What breaks no rule and costs a client something it would miss; counted, so that the
// counts a thousand requests can be held from commit to commit.
const (
	failedUnrun = "orders failed that never ran, with time left"
	refusedIdle = "refused though a warm, idle, ready server was known"
	overOld     = "sent on an old process's connection, the new one known"
)

// lastWord is how long before the end of a request's time its answer is due at the latest.
func (w *World) lastWord() time.Duration {
	return time.Duration(2*w.day.Settings["roundMs"].(float64)*float64(ms)) + grace
}

// idleKnown tells whether an agent was told of a server that is ready, warm and idle, and
// could have taken a request now.
func (k *checker) idleKnown(p *process) bool {
	for num, s := range k.w.servers {
		t, listed := k.tolds[p].at[num]
		if _, alone := k.tolds[p].alone[num]; alone {
			continue
		}
		if listed && t.c.health == "ready" && t.c.dial == s.dial && k.w.byDial[s.dial] == s && s.up && !s.silent &&
			s.working == 0 && s.ramp(k.w.now()) == 1 && len(s.modes) == 0 {
			return true
		}
	}
	return false
}

// wrote takes up what an agent wrote to a server.
func (k *checker) wrote(p *process, l *link, text []byte) {
	first := len(l.text) == 0
	if first {
		k.begins(p, l)
	}
	l.text = append(l.text, text...)
	said := l.said(l.text)
	head := bytes.Index(said, []byte("\r\n\r\n"))
	a := l.attempt
	if a.id == "" {
		if id := headerOf(string(said), "Request-Id"); id != "" && (head >= 0 || strings.Contains(string(said), id+"\r\n")) {
			k.identify(p, a, id)
		}
	}
	if head < 0 {
		k.cancelled(l, first, false)
		return
	}
	length := 0
	fmt.Sscan(headerOf(string(said[:head]), "Content-Length"), &length)
	switch rest := len(said) - head - 4 - length; {
	case rest > 0:
		k.breach("more is sent than the request", "%s on c%d", a.id, l.c.id)
		fallthrough
	case rest == 0:
		a.whole = true
		l.text = l.text[:0]
	}
	k.cancelled(l, first, a.whole)
}

// fate is what is planned for a request that a run of an agent has taken.
func (k *checker) fate(p *process, id string) (string, *record) {
	r := k.records[recordKey{p, id}]
	if r == nil {
		return "", nil
	}
	return r.ask.op.Fate, r
}

// clientEnd finds the connection on which the request was asked.
func (r *record) clientEnd() (*client, bool) {
	for _, c := range r.p.conns {
		if k, ok := c.peer.(*client); ok {
			for _, a := range k.asks {
				if a.rec == r {
					return k, true
				}
			}
		}
	}
	return nil, false
}

// begins notes the first byte of an attempt: drains count from it.
func (k *checker) begins(p *process, l *link) {
	now, s := k.w.now(), l.s
	k.neglect(p)
	if l.old && k.tolds[p].at[s.num].c.born == s.bornMs() {
		k.count(overOld)
	}
	l.attempt = &attempt{s: s, as: s, first: now}
	k.sent++
	var worst, leftFor time.Duration = -1, -1
	known := false
	for num, s := range k.w.servers {
		t, listed := k.tolds[p].at[num]
		if !listed || t.c.dial != l.c.remote {
			continue
		}
		known = true
		l.attempt.as = s
		if t.c.health == "ready" {
			since, alone := k.tolds[p].alone[num]
			if leftFor = now - since; alone && leftFor > time.Duration(k.w.day.contract("drainGraceMs")*float64(ms)) {
				continue // perhaps another is listed at its address
			}
			worst, leftFor = -1, -1
			break
		}
		worst = max(worst, now-t.since)
	}
	switch {
	case !known:
		k.breach("sent to a server that was never listed", "%s by a%d", s.host, p.index)
	case leftFor >= 0:
		k.breach("sent to a server that is left alone", "%s by a%d, %v after it was told", s.host, p.index, leftFor)
	case worst > time.Duration(k.w.day.contract("drainGraceMs")*float64(ms))+grace:
		k.breach("sent to a drained server", "%s by a%d, %v after it was told", s.host, p.index, worst)
	}
}

// identify finds the request of an attempt, and holds the rule on repeats.
func (k *checker) identify(p *process, a *attempt, id string) {
	a.id = id
	r := k.records[recordKey{p, id}]
	if p.far() {
		r = k.latest[id]
		k.count("crossed")
	}
	if r == nil {
		k.breach("sent what nobody asked", "%s by a%d", id, p.index)
		return
	}
	a.rec = r
	for _, o := range r.attempts {
		if o.end == "" {
			k.breach("two attempts at once", "%s at %s and %s", id, o.s.host, a.s.host)
		}
	}
	if n := len(r.attempts) + 1; n > k.w.day.maxAttempts() {
		k.breach("too many attempts", "%s: %d", id, n)
	}
	if r.final != "" && r.final != "untaken" && a.first > r.finalAt && !(p.far() && r.left != 0) {
		k.breach("sent after the final answer", "%s to %s, it was %s", id, a.s.host, r.final)
	}
	if r.left != 0 && a.first > r.left+k.w.noticed() && !(p.far() && r.left < k.w.troubled) {
		k.breach("begun after its client had left", "%s to %s, %v later", id, a.s.host, a.first-r.left)
	}
	if left := r.taken + r.ask.op.Timeout - a.first; left < leastLeft {
		k.breach("begun with no time left", "%s to %s, %v were left", id, a.s.host, left)
	}
	for _, o := range r.attempts {
		if !o.mayHaveRun() {
			continue
		}
		if r.class == order {
			k.breach("an effect twice", "%s at %s may have run, and goes to %s", id, o.s.host, a.s.host)
		}
		if r.class == send {
			if late := a.first - o.first; late > k.w.day.ttl {
				k.breach("a keyed repeat after its window", "%s at %s, %v after it went to %s, the window is %v", id, a.s.host, late, o.s.host, k.w.day.ttl)
			}
			g := k.w.day.grouped
			if g == "zone" && a.as.zone != o.as.zone || g == "cell" && a.as.cell != o.as.cell {
				k.breach("a keyed repeat outside its group", "%s at %s after %s", id, a.s.host, o.s.host)
			}
			break // the window and the group are those of the first that may have run
		}
	}
	if len(r.attempts) > 0 {
		k.count("retries")
	}
	r.attempts = append(r.attempts, a)
}

// gaveUp notes that the agent has closed a connection: its attempt is no longer out.
func (k *checker) gaveUp(l *link) { k.ended(l, "given up") }

// ended notes how the attempt on a connection ended for its agent.
func (k *checker) ended(l *link, how string) {
	if l.attempt != nil {
		k.endedAs(l.attempt, how)
	}
	l.text = l.text[:0]
}

func (k *checker) endedAs(a *attempt, how string) {
	if a.end == "" {
		a.end, a.endAt = how, k.w.now()
		k.count("attempts " + how)
	}
}

// made notes an answer that a server made, whole and unspoilt.
func (k *checker) made(body string) { k.bodies[body] = true }

// arrival is work that came to a cold server.
type arrival struct {
	at   time.Duration
	told bool
}

// arrived notes a request that has come to a server whole, and holds the rule on cold ones.
func (k *checker) arrived(l *link) {
	s, now := l.s, k.w.now()
	if s.ramp(now) == 1 {
		return
	}
	t, known := k.tolds[l.p].at[s.num]
	s.warmth = append(s.warmth, arrival{now, known && t.c.born == s.bornMs()})
	window := time.Duration(k.w.day.contract("tipAfterMs") * float64(ms))
	n, knew := 0, 0
	for _, a := range s.warmth {
		if now-a.at <= window {
			n++
			if a.told {
				knew++
			}
		}
	}
	capacity := float64(k.w.day.Slots) / (k.w.day.WorkMs / 1000) * s.ramp(now) * window.Seconds()
	slack := 2 + float64(len(k.w.agents)) // chance: each agent may begin with one
	if float64(n) > k.w.day.contract("fallMultiple")*capacity+slack && 3*knew >= 2*n {
		k.breach("a cold server is pushed over", "%s got %d in %v, its capacity is %.1f", s.host, n, window, capacity)
	}
}
