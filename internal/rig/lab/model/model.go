// Package model runs a scenario as a discrete-event simulation in virtual time with the real
// decision code: policy.Balancer, and package fleet where the operator's file has that table. What
// core, the transport and the connection pool do around it on sockets is simulated: connections,
// their cost and idle times, attempts whose time to begin has passed, cancellations, the final
// deadline guard of a request, endpoint lists and the time at which each agent received them. One
// goroutine runs the whole simulation, and the seed determines it: the same scenario, chooser and
// seed give the same bytes.
//
// The simulation leaves out the processing time of the agents, the connections between clients and
// agents, and the bytes of messages. Times are in milliseconds since the start.
package model

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/lab/timeline"
	"molepaddle/internal/rig/scenario"
	"molepaddle/policy"
)

// eventKind is the type of a simulation event.
type eventKind uint8

const (
	evRequest   eventKind = iota // n: index in the plan
	evConnected                  // att
	evArrive                     // att
	evEnd                        // att: its job is done
	evAnswer                     // att; n: status
	evTimeout                    // att
	evCancel                     // att: the server notices that its client has closed
	evDo                         // do
)

// clockBase is the reading of the Balancers' clock at the start. It is above 0 so that no server
// has a start time of 0.
const clockBase = 1e9

// guard is how long before its deadline a request is answered at the latest, in milliseconds; core
// uses the same guard.
const guard = 2.0

// Options configures a simulation.
type Options struct {
	Chooser string         // empty: that of the scenario
	Seed    uint64         // seed of every random choice
	Fleet   *fleet.Options // table of the operator's file; nil: none
	// Tick is called every 65536 events with the fraction of the simulation that is done; false
	// stops the simulation.
	Tick func(part float64) bool
	// NewDecider replaces the chooser, for example to inject a fault.
	NewDecider func(index, zone int, seed uint64, truth choose.Truth) (choose.Decider, error)
}

// ErrStopped is returned by Play if Tick stopped the simulation.
var ErrStopped = errors.New("stopped")

// server is one simulated server identity, which has at most one process at a time.
type server struct {
	num         int
	name        string
	kind        int
	zone        int
	addr        cluster.Addr
	st          *station.Station
	gen         int // generation, counts starts and ends of processes; a connection of another one is unusable
	up          bool
	silent      bool
	health      cluster.Health // true state, ahead of the list
	conns       int
	maxConns    int
	inTransit   int // requests written but not arrived yet
	live        []*attempt
	reportDelay float64 // added to the age of its load reports, ms
	busy        []float64
	pastWork    float64 // work of earlier processes, ms
	peak        float64
	fell        bool
	removed     bool
}

// listChange is one version of the endpoint list: the entry that it changed.
type listChange struct {
	at    float64
	entry cluster.Entry
}

// clientRequest is one request that a client sends to its agent; a client retry is another one.
type clientRequest struct {
	measure.Request
	agent    *agent
	n        policy.RequestID
	number   int // of the client's attempts, from 0
	attempts []*attempt
	deadline float64
	answered bool
}

type stage uint8

const (
	waiting stage = iota // for a connection, nothing written yet
	sending
	finished
)

// attempt is one attempt of an agent at a server: a request or a health check.
type attempt struct {
	t       *clientRequest
	agent   *agent
	s       *server
	gen     int
	index   int
	sent    float64
	until   float64
	beginBy float64
	arrives float64
	stage   stage
	arrived bool
	live    int // index in the server's live, -1: not in it
	st      *station.Station
	job     station.Job
	probe   bool
	hasConn bool // it owns a connection
}

// pool represents the connections of an agent to a server.
type pool struct {
	gen  int
	idle []float64 // times at which each became idle, oldest first
	open int
}

// agent is one agent process.
type agent struct {
	index, zone   int
	dec           choose.Decider
	tries         map[policy.RequestID]*clientRequest
	next          policy.RequestID
	pools         map[int]*pool
	listVersion   int // version of the list that it has
	watching      bool
	stopped       bool
	notReadySince []float64 // by server: time from which the agent knew it as not ready; -1: ready
	planner       *fleet.Planner
	list          map[int]cluster.Entry // by server number, with a fleet table only
	listAt        float64
	planGen       int
	probes        int
}

// world is the state of a simulation.
type world struct {
	s               *scenario.Scenario
	o               Options
	q               queue
	now             float64
	plan            []law.Request
	paths           *law.Paths
	rng             *rand.Rand
	zones           []int
	agents          []*agent
	servers         []*server
	byAddr          map[cluster.Addr]*server
	changes         []listChange
	rosterDownUntil float64 // until then the roster does not answer
	stalls          []stall
	rec             *measure.Recorder
	res             struct{ connects, questions int }
	actions         [][]policy.Action // scratch, by depth
	depth           int
	meanWork        float64
	events          int64
	err             error
}

type stall struct {
	a, b  int
	until float64
}

// Play simulates a scenario and returns its measurements.
func Play(s *scenario.Scenario, o Options) (*measure.Result, error) {
	if o.Chooser == "" {
		o.Chooser = s.Agent.Chooser
	}
	w := &world{s: s, o: o, plan: law.Plan(s, o.Seed), paths: law.NewPaths(s), rng: law.Source(o.Seed, "network"),
		zones: law.Zones(s), byAddr: map[cluster.Addr]*server{}, meanWork: s.MeanWork()}
	w.rec = measure.New(s, w.plan)
	w.setUp()
	begun := time.Now()
	err := w.run()
	if err != nil {
		return nil, err
	}
	for _, v := range w.servers {
		w.rec.AddWork(v.pastWork + v.st.Worked)
	}
	return w.rec.Result(func(r *measure.Result) {
		r.Connects, r.Questions, r.Events = w.res.connects, w.res.questions, w.events
		r.EventsPerS = float64(w.events) / time.Since(begun).Seconds()
		span := s.Length.Ms()
		for _, v := range w.servers {
			r.OpenMost = max(r.OpenMost, v.maxConns)
			k := &s.Servers[v.kind]
			r.Servers = append(r.Servers, measure.Server{Name: v.name, Kind: k.Kind, Zone: s.Zones[v.zone], Busy: v.busy,
				Work: (v.pastWork + v.st.Worked) / (span * float64(k.Slots) * k.Speed),
				Peak: max(v.peak, v.st.Peak) / s.Rules.FallMultiple, Fell: v.fell})
		}
	}), nil
}

func (w *world) after(d float64, do func()) { w.q.push(event{at: w.now + d, kind: evDo, do: do}) }

func (w *world) at(t float64, e event) {
	e.at = max(t, w.now)
	w.q.push(e)
}

func (w *world) newServer(kind, zone int, name string, born float64) *server {
	n := len(w.servers)
	v := &server{num: n, name: name, kind: kind, zone: zone, up: true, health: cluster.Ready,
		addr: cluster.Addr{10, byte(n >> 16), byte(n >> 8), byte(n), 0x1f, 0x90}}
	v.st = station.New(&w.s.Servers[kind], &w.s.Rules, law.Seed(w.o.Seed, name), born)
	w.servers = append(w.servers, v)
	w.byAddr[v.addr] = v
	return v
}

func (w *world) entry(v *server) cluster.Entry {
	e := cluster.Entry{Server: v.addr, Zone: v.zone, Cell: v.num / 4, Kind: v.kind, Health: v.health, Weight: 1}
	if w.s.Agent.Weights == "nominal" {
		e.Weight = float64(w.s.Servers[v.kind].Slots)
	}
	if b := v.st.Born(); b >= 0 {
		e.SinceMs = clockBase + b
	}
	return e
}

func (w *world) setUp() {
	for k := range w.s.Servers {
		kind := &w.s.Servers[k]
		for i := range kind.Count {
			born := -1.0
			if kind.Cold {
				born = 0
			}
			w.newServer(k, slices.Index(w.s.Zones, kind.Zones[i%len(kind.Zones)]), fmt.Sprint(kind.Kind, "-", i+1), born)
		}
	}
	for _, v := range w.servers {
		w.changes = append(w.changes, listChange{entry: w.entry(v)})
	}
	if len(w.plan) > 0 {
		w.at(w.plan[0].At, event{kind: evRequest})
	}
	for i := range w.s.Events {
		e := &w.s.Events[i]
		w.at(e.At.Ms(), event{kind: evDo, do: func() { timeline.Run(timelineHost{w}, w.s, i, w.o.Seed) }})
	}
	w.at(w.rec.Bucket(), event{kind: evDo, do: w.sample})
	for i, z := range w.zones {
		w.agents = append(w.agents, nil)
		w.startAgent(i, z, 0)
	}
}

// startAgent starts an agent process, which receives the roster's current endpoint list.
func (w *world) startAgent(index, zone, run int) {
	seed := law.Seed(w.o.Seed, fmt.Sprint("agent", index, ".", run))
	a := &agent{index: index, zone: zone, tries: map[policy.RequestID]*clientRequest{}, pools: map[int]*pool{}}
	var err error
	if w.o.NewDecider != nil {
		a.dec, err = w.o.NewDecider(index, zone, seed, w)
	} else {
		a.dec, err = choose.New(w.o.Chooser, w.s.Settings(index, zone), seed, w)
	}
	if err == nil && w.o.Fleet != nil {
		set := w.s.Settings(index, zone)
		a.planner, err = fleet.New(*w.o.Fleet, &set, seed, clockBase+w.now)
		a.list = map[int]cluster.Entry{}
	}
	if err != nil {
		w.err = err
		return
	}
	w.agents[index] = a
	a.listAt = w.now
	w.apply(a, a.dec.Start(clockBase+w.now, w.scratch()))
	w.depth--
	w.applyList(a, cluster.ListCached, w.entriesSince(0))
	if w.s.Roster.Pushed {
		w.watchList(a)
	}
}

// run processes events until the last client has its answer or has given up.
func (w *world) run() error {
	end := w.s.Length.Ms()
	for _, c := range w.s.Classes {
		end = max(end, w.s.Length.Ms()+c.GiveUp.Ms())
	}
	for w.q.Len() > 0 && w.err == nil {
		e := w.q.pop()
		if e.at > end {
			break
		}
		w.now = e.at
		w.events++
		if w.events&0xffff == 0 && w.o.Tick != nil && !w.o.Tick(w.now/end) {
			return ErrStopped
		}
		w.dispatch(&e)
	}
	return w.err
}

func (w *world) dispatch(e *event) {
	switch e.kind {
	case evRequest:
		if next := int(e.n) + 1; next < len(w.plan) {
			w.at(w.plan[next].At, event{kind: evRequest, n: int32(next)})
		}
		w.submit(int(e.n), 0)
	case evConnected:
		w.connected(e.att)
	case evArrive:
		w.arrive(e.att)
	case evEnd:
		w.completeJob(e.att)
	case evAnswer:
		w.outcome(e.att, policy.Status(e.n))
	case evTimeout:
		if e.att.stage != finished {
			w.giveUp(e.att, policy.Timeout)
		}
	case evCancel:
		w.cancelled(e.att)
	case evDo:
		e.do()
	}
}

// networkDelay returns the delay of a message between an agent and a server, including stalls of the
// link between their zones.
func (w *world) networkDelay(a *agent, s *server) float64 {
	t := w.paths.Draw(a.zone, s.zone, w.rng)
	for i := range w.stalls {
		if st := &w.stalls[i]; (st.a == a.zone && st.b == s.zone || st.a == s.zone && st.b == a.zone) && w.now+t < st.until {
			t = st.until - w.now
		}
	}
	return t
}

// ---- clients ----

func (w *world) submit(n, number int) {
	p := &w.plan[n]
	a := w.agents[p.Agent]
	deadline := p.At + float64(p.Patience)
	t := &clientRequest{agent: a, number: number, deadline: deadline}
	t.Request = measure.Request{ID: fmt.Sprint("r", n, ".", number), Ask: n, Class: int(p.Class), At: w.now, Deadline: deadline}
	w.rec.RequestStarted(&t.Request)
	a.next++
	t.n = a.next
	a.tries[t.n] = t
	w.at(deadline-guard, event{kind: evDo, do: func() {
		if !t.answered {
			w.respond(t, measure.Failed, 0)
			w.handleEvent(a, &policy.Event{Kind: policy.EvDropped, Request: t.n})
			w.cancelWaiting(t)
			w.forget(t)
		}
	}})
	if p.LeavesAfter > 0 && number == 0 {
		w.at(p.At+float64(p.LeavesAfter), event{kind: evDo, do: func() {
			if !t.answered {
				t.answered = true
				w.rec.RequestEnded(&t.Request, w.now, measure.Gone, false)
				w.handleEvent(a, &policy.Event{Kind: policy.EvDropped, Request: t.n})
				w.cancelWaiting(t)
				w.forget(t)
			}
		}})
	}
	w.handleEvent(a, &policy.Event{Kind: policy.EvRequest, Request: t.n, Class: int(p.Class), Tenant: -1, Key: uint64(p.Key),
		LeftMs: deadline - w.now, Retry: number > 0})
}

// respond records the final outcome of a request; the client may retry.
func (w *world) respond(t *clientRequest, o measure.Outcome, retryAfter float64) {
	t.answered = true
	needless := o != measure.Served && w.needless(t)
	w.rec.RequestEnded(&t.Request, w.now, o, needless)
	if o == measure.Served {
		return
	}
	p := &w.plan[t.Ask]
	portal := &w.s.Portals[p.Portal]
	if t.number >= portal.Retries || o == measure.Failed && w.s.Classes[t.Class].Effect == "unsafe" {
		return
	}
	wait := portal.Backoff.Ms() * float64(int(1)<<t.number)
	if retryAfter > 0 && law.Uniform(w.o.Seed, uint64(t.Ask), uint64(t.number), 7) < portal.Heeds {
		wait = max(wait, retryAfter)
	}
	if w.now+wait+guard < t.deadline {
		n, number := t.Ask, t.number+1
		w.after(wait, func() { w.submit(n, number) })
	}
}

// needless reports whether a server that is warm and healthy has a free slot and could still answer
// in time. It checks at most 64 servers, from a random one on.
func (w *world) needless(t *clientRequest) bool {
	work := float64(w.plan[t.Ask].Work)
	n := len(w.servers)
	from := w.rng.IntN(n)
	for i := range min(n, 64) {
		v := w.servers[(from+i)%n]
		if v.up && !v.silent && v.health == cluster.Ready && v.st.HasFreeSlot(w.now, v.inTransit) &&
			2*w.paths.Mean(t.agent.zone, v.zone)+work/v.st.Rate(w.now) < t.deadline-guard-w.now {
			return true
		}
	}
	return false
}

// ---- agents ----

func (w *world) scratch() []policy.Action {
	if w.depth == len(w.actions) {
		w.actions = append(w.actions, nil)
	}
	w.depth++
	return w.actions[w.depth-1][:0]
}

// handleEvent passes an event to an agent's decider and applies the resulting actions.
func (w *world) handleEvent(a *agent, ev *policy.Event) {
	acts := a.dec.Handle(clockBase+w.now, ev, w.scratch())
	w.apply(a, acts)
	w.depth--
	w.actions[w.depth] = acts[:0]
}

func (w *world) apply(a *agent, acts []policy.Action) {
	for i := range acts {
		act := acts[i]
		t := a.tries[act.Request]
		switch act.Kind {
		case policy.ActSend:
			if t != nil {
				w.send(t, &act)
			}
		case policy.ActCancel:
			if t != nil && act.Attempt >= 0 && act.Attempt < len(t.attempts) {
				w.giveUp(t.attempts[act.Attempt], policy.Cancelled)
			}
		case policy.ActRefuse, policy.ActFail:
			if t != nil && !t.answered {
				o := measure.Refused
				if act.Kind == policy.ActFail {
					o = measure.Failed
				}
				w.respond(t, o, act.Ms)
				w.cancelWaiting(t)
				w.forget(t)
				if a.planner != nil && o == measure.Refused && a.planner.ObserveRejection(clockBase+w.now) {
					w.after(0, func() { w.replan(a) })
				}
			}
		case policy.ActProbe:
			w.afterDelay(a, a.planner, func() float64 { return a.planner.ProbeDelay() }, func() { w.probe(a, act.Server) })
		case policy.ActTimer:
			w.after(act.Ms, func() {
				if !a.stopped || len(a.tries) > 0 {
					w.handleEvent(a, &policy.Event{Kind: policy.EvTimer, Token: act.Token})
				}
			})
		case policy.ActFollow:
			w.watchList(a)
		case policy.ActClose:
			if v := w.byAddr[act.Server]; v != nil {
				w.closeIdle(a, v)
			}
		}
	}
}

func (w *world) afterDelay(a *agent, part *fleet.Planner, wait func() float64, do func()) {
	if part == nil {
		do()
		return
	}
	w.after(wait(), do)
}

// pool returns an agent's connections to a server, without those to a process that has ended.
func (w *world) pool(a *agent, v *server) *pool {
	p := a.pools[v.num]
	if p == nil {
		p = &pool{gen: v.gen}
		a.pools[v.num] = p
	}
	if p.gen != v.gen {
		*p = pool{gen: v.gen}
	}
	return p
}

// closeExpired closes the connections that have been idle for too long.
func (w *world) closeExpired(v *server, p *pool) {
	keep := min(w.s.Limits.KeepIdle.Ms()/2, w.s.Servers[v.kind].IdleClose.Ms())
	n := 0
	for n < len(p.idle) && w.now-p.idle[n] >= keep {
		n++
	}
	p.idle = p.idle[n:]
	p.open -= n
	v.conns -= n
}

func (w *world) closeIdle(a *agent, v *server) {
	p := w.pool(a, v)
	p.open -= len(p.idle)
	v.conns -= len(p.idle)
	p.idle = p.idle[:0]
}

func (w *world) send(t *clientRequest, act *policy.Action) {
	a, v := t.agent, w.byAddr[act.Server]
	att := &attempt{t: t, agent: a, s: v, gen: v.gen, index: len(t.attempts), sent: w.now, until: w.now + act.Ms, live: -1}
	if act.BeginMs > 0 {
		att.beginBy = w.now + act.BeginMs
	}
	t.attempts = append(t.attempts, att)
	w.rec.AttemptSent(&t.Request, w.now, a.notReadyAt(v.num), v.name, a.zone != v.zone)
	w.at(att.until, event{kind: evTimeout, att: att})
	w.connect(att)
}

func (a *agent) notReadyAt(num int) float64 {
	if num >= len(a.notReadySince) {
		return -1
	}
	return a.notReadySince[num]
}

// connect takes an idle connection from the pool or opens a new one.
func (w *world) connect(att *attempt) {
	a, v := att.agent, att.s
	p := w.pool(a, v)
	w.closeExpired(v, p)
	v.live = append(v.live, att)
	att.live = len(v.live) - 1
	if n := len(p.idle); n > 0 {
		p.idle = p.idle[:n-1]
		att.hasConn = true
		w.writeRequest(att)
		return
	}
	kind := &w.s.Servers[v.kind]
	limit := w.s.Limits.Connect.Ms()
	took := w.networkDelay(a, v) + w.networkDelay(a, v)
	switch {
	case v.silent || took > limit:
		w.at(w.now+limit, event{kind: evAnswer, att: att, n: int32(policy.ConnectFailed)})
	case !v.up || kind.Connections > 0 && v.conns >= kind.Connections:
		w.at(w.now+took, event{kind: evAnswer, att: att, n: int32(policy.ConnectFailed)})
	default:
		w.res.connects++
		p.open++
		v.conns++
		v.maxConns = max(v.maxConns, v.conns)
		att.hasConn = true
		w.at(w.now+took+kind.Connect.Ms(), event{kind: evConnected, att: att})
	}
}

func (w *world) connected(att *attempt) {
	if att.stage == finished {
		w.releaseConn(att) // cancelled meanwhile: the connection can be reused
		return
	}
	if att.gen != att.s.gen || att.s.silent {
		return // the process has ended meanwhile or does not respond
	}
	if att.beginBy > 0 && w.now >= att.beginBy {
		w.outcome(att, policy.Abandoned)
		w.releaseConn(att)
		return
	}
	w.writeRequest(att)
}

// writeRequest writes the request to the connection; from now on the server may execute it.
func (w *world) writeRequest(att *attempt) {
	att.stage = sending
	att.s.inTransit++
	att.arrives = w.now + w.networkDelay(att.agent, att.s)
	w.at(att.arrives, event{kind: evArrive, att: att})
}

// releaseConn returns the attempt's connection to the idle ones of its pool.
func (w *world) releaseConn(att *attempt) {
	if !att.hasConn || att.gen != att.s.gen {
		return
	}
	att.hasConn = false
	p := w.pool(att.agent, att.s)
	p.idle = append(p.idle, w.now)
}

// closeConn closes the attempt's connection.
func (w *world) closeConn(att *attempt) {
	if !att.hasConn || att.gen != att.s.gen {
		return
	}
	att.hasConn = false
	p := w.pool(att.agent, att.s)
	p.open--
	att.s.conns--
}

func (w *world) cancelWaiting(t *clientRequest) {
	for _, att := range t.attempts {
		if att.stage == waiting {
			w.giveUp(att, policy.Cancelled)
		}
	}
}

// giveUp ends an attempt at the agent's side. An attempt that is still waiting for its connection is
// never sent.
func (w *world) giveUp(att *attempt, why policy.Status) {
	if att.stage == finished {
		return
	}
	if att.stage == waiting {
		if why == policy.Timeout {
			why = policy.ConnectFailed
		}
		w.removeLive(att)
		// The connection is still established, and is idle then.
		w.finishAttempt(att, why)
		return
	}
	w.closeConn(att)
	if why == policy.Timeout {
		w.closeIdle(att.agent, att.s)
	}
	if att.gen == att.s.gen && !att.s.silent {
		w.at(max(w.now+w.networkDelay(att.agent, att.s), att.arrives), event{kind: evCancel, att: att})
	} else {
		w.removeLive(att)
	}
	w.finishAttempt(att, why)
}

// removeLive removes an attempt from its server's list of live attempts.
func (w *world) removeLive(att *attempt) {
	if att.live < 0 {
		return
	}
	v := att.s
	last := v.live[len(v.live)-1]
	v.live[att.live] = last
	last.live = att.live
	v.live = v.live[:len(v.live)-1]
	att.live = -1
}

// outcome delivers the end of an attempt to its agent.
func (w *world) outcome(att *attempt, st policy.Status) {
	if att.stage == finished {
		return
	}
	w.removeLive(att)
	switch st {
	case policy.OK, policy.Error, policy.Full:
		w.releaseConn(att)
	case policy.ConnectFailed:
	case policy.Abandoned:
	default:
		w.closeConn(att)
	}
	w.finishAttempt(att, st)
}

// finishAttempt marks an attempt as finished and notifies the decider of its status.
func (w *world) finishAttempt(att *attempt, st policy.Status) {
	att.stage = finished
	a, t := att.agent, att.t
	if att.probe {
		a.probes--
		w.handleEvent(a, &policy.Event{Kind: policy.EvProbed, Server: att.s.addr, Status: st, LatencyMs: w.now - att.sent})
		return
	}
	w.rec.AttemptEnded(&t.Request)
	if st != policy.OK {
		t.Note(w.now, statusName(st), att.s.name)
	}
	if st == policy.OK && !t.answered {
		w.respond(t, measure.Served, 0)
	}
	ev := policy.Event{Kind: policy.EvOutcome, Request: t.n, Attempt: att.index, Server: att.s.addr, Status: st,
		LatencyMs: w.now - att.sent, Final: t.answered}
	if st == policy.OK || st == policy.Error || st == policy.Full {
		if r, ok := att.s.st.Load(w.now, att.s.reportDelay); ok {
			ev.Report = []float32{float32(r.QPS), float32(r.Util), float32(r.EPS)}
		}
	}
	w.handleEvent(a, &ev)
	w.forget(t)
}

func statusName(st policy.Status) string {
	switch st {
	case policy.Error:
		return "error of"
	case policy.Full:
		return "turned away by"
	case policy.Timeout:
		return "nothing came from"
	case policy.ConnectFailed:
		return "no connection to"
	case policy.Reset:
		return "reset by"
	case policy.Cancelled:
		return "cancelled at"
	}
	return "not begun at"
}

func (w *world) forget(t *clientRequest) {
	if !t.answered {
		return
	}
	for _, att := range t.attempts {
		if att.stage != finished {
			return
		}
	}
	delete(t.agent.tries, t.n)
}

func (w *world) probe(a *agent, addr cluster.Addr) {
	v := w.byAddr[addr]
	if v == nil {
		return
	}
	a.probes++
	att := &attempt{agent: a, s: v, gen: v.gen, sent: w.now, probe: true, live: -1, until: w.now + max(2*w.s.Limits.Connect.Ms(), 250)}
	w.at(att.until, event{kind: evTimeout, att: att})
	w.connect(att)
}

// ---- servers ----

func (w *world) arrive(att *attempt) {
	v := att.s
	if att.gen != v.gen {
		return // its connection was closed
	}
	v.inTransit--
	if v.silent {
		return
	}
	att.arrived = true
	if att.probe {
		st := policy.OK
		if law.Uniform(w.o.Seed, uint64(w.events)) < v.st.ErrorRate(w.now) {
			st = policy.Error
		}
		w.at(w.now+w.networkDelay(att.agent, v), event{kind: evAnswer, att: att, n: int32(st)})
		return
	}
	p := &w.plan[att.t.Ask]
	att.st = v.st
	att.job = station.Job{ID: uint64(att.t.Ask)<<8 | uint64(att.t.number), Work: float64(p.Work), Key: p.Key, Tag: att}
	fell := v.st.Collapsed()
	verdict := v.st.Arrive(w.now, &att.job)
	if !fell && v.st.Collapsed() {
		v.fell = true
		w.rec.ServerCollapsed(w.now, v.name)
	}
	switch verdict {
	case station.Started:
		w.scheduleEnd(&att.job)
	case station.Full:
		w.reply(att, policy.Full)
	case station.Failed:
		w.rec.WorkStarted(&att.t.Request, w.now, v.name)
		w.reply(att, policy.Error)
	}
}

func (w *world) scheduleEnd(j *station.Job) {
	att := j.Tag.(*attempt)
	w.rec.WorkStarted(&att.t.Request, w.now, att.s.name)
	w.at(j.Until, event{kind: evEnd, att: att})
}

func (w *world) reply(att *attempt, st policy.Status) {
	w.at(w.now+w.networkDelay(att.agent, att.s), event{kind: evAnswer, att: att, n: int32(st)})
}

func (w *world) completeJob(att *attempt) {
	if !att.job.Serving() || att.job.Until > w.now+1e-9 {
		return // cancelled, or its process has ended
	}
	next := att.st.End(w.now, &att.job)
	if att.gen == att.s.gen {
		w.reply(att, policy.OK)
	}
	if next != nil {
		w.scheduleEnd(next)
	}
}

// cancelled handles a cancellation that reaches the server: its client has closed the connection.
func (w *world) cancelled(att *attempt) {
	w.removeLive(att)
	if att.gen != att.s.gen {
		return
	}
	if att.st == nil {
		return
	}
	if next, _ := att.st.Cancel(w.now, &att.job); next != nil {
		w.scheduleEnd(next)
	}
}

// stopServer ends a server's process, which loses its jobs. Connections are reset unless the server
// vanishes silently.
func (w *world) stopServer(v *server, silent bool) {
	v.st.Kill(w.now)
	v.pastWork += v.st.Worked
	v.st.Worked = 0
	v.peak = max(v.peak, v.st.Peak)
	v.up, v.silent = false, silent
	if !silent {
		w.breakAll(v)
	}
}

// breakAll resets all connections to a server.
func (w *world) breakAll(v *server) {
	v.gen++
	v.conns, v.inTransit = 0, 0
	live := v.live
	v.live = nil
	for _, att := range live {
		att.live = -1
		st := policy.Reset
		if att.stage == waiting {
			st = policy.ConnectFailed
		}
		if att.stage != finished {
			w.reply(att, st)
		}
	}
}

// restartServer starts a new, cold process of a stopped server.
func (w *world) restartServer(v *server) {
	if v.removed || v.up {
		return
	}
	if v.silent {
		w.breakAll(v) // requests to the old process are reset
	}
	v.up, v.silent = true, false
	v.gen++
	v.st = station.New(&w.s.Servers[v.kind], &w.s.Rules, law.Seed(w.o.Seed, fmt.Sprint(v.name, w.now)), w.now)
}

// sample records the share of busy slots of each server, once per bucket.
func (w *world) sample() {
	span := w.rec.Bucket()
	for _, v := range w.servers {
		v.busy = append(v.busy, math.Round(1000*v.st.BusyTime(w.now)/(span*float64(w.s.Servers[v.kind].Slots)))/1000)
	}
	if w.now+span <= w.s.Length.Ms() {
		w.after(span, w.sample)
	}
}
