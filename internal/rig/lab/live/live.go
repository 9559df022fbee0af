// Package live plays a scenario over loopback sockets: real agents, as processes of any build or in this
// process with any chooser; fake servers that behave as the scenario says; and an open-loop load
// generator with arrival times that are fixed in advance. Servers, requests, timeline and recorder are
// those of the model.
//
// One lock guards the stations, the recorder and everything that the timeline changes. Each fake server
// is a net/http server with a goroutine per connection, each request of the generator is a goroutine,
// and the generator runs in Play's goroutine.
//
// The fake servers simulate the network: a request and its answer wait there for their network delay,
// and the first request on a connection also for the connect. A silent machine still accepts connections
// from agents that are processes, as its kernel completes them; connects of in-process agents to it
// hang.
package live

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/lab/choose"
	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/lab/station"
	"molepaddle/internal/rig/lab/timeline"
	"molepaddle/internal/rig/scenario"
	"molepaddle/internal/rig/standin"
	"molepaddle/policy"
)

// Limits of what can be played on one machine.
const (
	MaxAgents  = 64
	MaxServers = 256
	MaxRate    = 5000.0 // requests a second
	MaxLength  = 30 * time.Minute
	// slack is how long after its deadline an answer still counts, in ms: it was on its way.
	slack = 50.0
	// lateAllowed is the maximum delay of the generator or a fake server at the 99th percentile, as a
	// fraction of the lowest latency target; a play with a higher delay does not count.
	lateAllowed    = 0.02
	minLateAllowed = 2.0 // ms, lower bound of the allowed delay
)

// Options configures a play.
type Options struct {
	Chooser  string // empty: that of the scenario; any other than molepaddle for in-process agents only
	Seed     uint64
	Binary   string // path of the agents' program; empty: agents in this process
	Operator string // path of the operator's file; empty: none
	Tick     func(part float64)

	beforeStart func(*world) // for tests: called before the generator starts
	ready       time.Duration
}

type server struct {
	num           int
	name          string
	kind          int
	zone          int
	dial          string
	st            *station.Station
	http          *http.Server
	conns         map[net.Conn]bool
	up            bool
	silent        bool
	health        cluster.Health
	removed       bool
	processEnded  chan struct{} // closed when its process ends or its machine restarts
	maxConns      int
	connects      int
	inTransit     int
	attempts      []*attempt
	reportDelay   float64
	notReadySince float64 // time from which the roster lists it as not ready; -1: ready
	busy          []float64
	pastWork      float64
	peak          float64
	fell          bool
}

// clientRequest is one request that a client sends to its agent; a client retry is another one.
type clientRequest struct {
	measure.Request
	agent    int
	number   int
	attempts []*attempt
}

// attempt is an attempt of a request at a server.
type attempt struct {
	v        *server
	finished bool // answered, closed by its client, or its server was stopped
}

type world struct {
	s            *scenario.Scenario
	o            Options
	plan         []law.Request
	paths        *law.Paths
	zones        []int
	start        time.Time
	roster       *standin.Roster
	oper         *operator.Settings
	ctx          context.Context
	dir          string
	wg           sync.WaitGroup
	restartLocks []sync.Mutex // by agent, serializes its restarts

	mu              sync.Mutex
	rng             *rand.Rand
	servers         []*server
	byAddr          map[cluster.Addr]*server
	byDial          map[string]*server
	agents          []*agentRun
	starts          []int             // by agent
	kills           []int             // by agent: number of kills
	agentHistory    []string          // starts and ends of agents, a line each, oldest first
	agentByConn     map[string]string // in-process agent by the local address of its connection
	requests        map[string]*clientRequest
	stalls          []stall
	rosterDownUntil float64 // until then the roster does not answer
	rec             *measure.Recorder
	timers          map[*time.Timer]bool
	ended           bool
	generatorDelay  *hdrhistogram.Histogram // delays of the generator, us
	timerDelay      *hdrhistogram.Histogram // delays of the fake servers' timers, us
	meanWork        float64
	asked           int
}

type stall struct {
	a, b  int
	until float64
}

// Play plays a scenario until its end or until ctx ends; then it returns the results so far with ctx's
// error. It leaves nothing running.
func Play(ctx context.Context, s *scenario.Scenario, o Options) (*measure.Result, error) {
	if err := check(s); err != nil {
		return nil, err
	}
	if o.Chooser == "" {
		o.Chooser = s.Agent.Chooser
	}
	if o.ready == 0 {
		o.ready = 15 * time.Second
	}
	if o.Binary != "" && o.Chooser != "molepaddle" {
		return nil, fmt.Errorf("live: chooser %s runs in this process only, not in %s", o.Chooser, o.Binary)
	}
	w := &world{s: s, o: o, plan: law.Plan(s, o.Seed), paths: law.NewPaths(s), zones: law.Zones(s), rng: law.Source(o.Seed, "network"),
		byAddr: map[cluster.Addr]*server{}, byDial: map[string]*server{}, requests: map[string]*clientRequest{}, agentByConn: map[string]string{}, timers: map[*time.Timer]bool{},
		generatorDelay: hdrhistogram.New(1, 60e6, 3), timerDelay: hdrhistogram.New(1, 60e6, 3), meanWork: s.MeanWork(), oper: operator.Default()}
	w.rec = measure.New(s, w.plan)
	if o.Operator != "" {
		var err error
		if w.oper, err = operator.Load(o.Operator); err != nil {
			return nil, err
		}
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "molepaddle-lab"); err != nil {
		return nil, err
	}
	defer os.RemoveAll(w.dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.ctx = ctx
	defer w.close()
	w.start = time.Now()
	if err := w.setUp(); err != nil {
		return nil, err
	}
	if err := w.startAgents(); err != nil {
		return nil, err
	}
	w.start = time.Now() // the slow start of cold servers begins now
	begun := w.cpu()
	if o.beforeStart != nil {
		o.beforeStart(w)
	}
	w.startTimeline()
	err = w.generate(ctx)
	w.wait(ctx)
	return w.result(begun), err
}

func check(s *scenario.Scenario) error {
	rate := s.Load() * s.Capacity()
	for i := range s.Events {
		if e := &s.Events[i]; e.Kind == "load" {
			rate *= max(e.Factor, 1)
		}
	}
	switch {
	case s.Agents() > MaxAgents:
		return fmt.Errorf("live: at most %d agents, got %d: use the model", MaxAgents, s.Agents())
	case s.Count() > MaxServers:
		return fmt.Errorf("live: at most %d servers, got %d: use the model", MaxServers, s.Count())
	case rate > MaxRate:
		return fmt.Errorf("live: at most %v requests per second, got %.0f: use the model", MaxRate, rate)
	case time.Duration(s.Length) > MaxLength:
		return fmt.Errorf("live: a length of at most %v, got %v: use the model", MaxLength, time.Duration(s.Length))
	}
	return nil
}

// now returns the time since the start, in ms.
func (w *world) now() float64 { return float64(time.Since(w.start)) / float64(time.Millisecond) }

// after calls do later, under the lock, unless the play has ended.
func (w *world) after(wait float64, do func()) {
	var t *time.Timer
	t = time.AfterFunc(law.Ms(max(wait, 0)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.timers, t)
		if !w.ended {
			do()
		}
	})
	w.timers[t] = true
}

func (w *world) setUp() error {
	var err error
	if w.roster, err = standin.NewRoster(); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range w.s.Servers {
		kind := &w.s.Servers[k]
		for i := range kind.Count {
			born := -1.0
			if kind.Cold {
				born = 0
			}
			v, err := w.newServer(k, slices.Index(w.s.Zones, kind.Zones[i%len(kind.Zones)]), fmt.Sprint(kind.Kind, "-", i+1), born)
			if err != nil {
				return err
			}
			w.roster.Set(w.rosterEntry(v))
		}
	}
	return nil
}

// startTimeline schedules the events of the timeline.
func (w *world) startTimeline() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range w.s.Events {
		w.after(w.s.Events[i].At.Ms(), func() { timeline.Run(timelineHost{w}, w.s, i, w.o.Seed) })
	}
	w.after(w.rec.Bucket(), w.sample)
}

func (w *world) sample() {
	span := w.rec.Bucket()
	now := w.now()
	for _, v := range w.servers {
		v.busy = append(v.busy, float64(int(1000*v.st.BusyTime(now)/(span*float64(w.s.Servers[v.kind].Slots))))/1000)
	}
	if next := float64(len(w.servers[0].busy)+1) * span; next <= w.s.Length.Ms() {
		w.after(next-now, w.sample)
	}
}

// generate sends the planned requests at their times, independent of the outcome of earlier ones.
func (w *world) generate(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for i := range w.plan {
		due := w.start.Add(law.Ms(w.plan[i].At))
		if wait := time.Until(due); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		} else if ctx.Err() != nil {
			return ctx.Err()
		}
		late := time.Since(due)
		w.mu.Lock()
		_ = w.generatorDelay.RecordValue(min(max(late.Microseconds(), 1), 60e6))
		w.asked = i + 1
		w.mu.Unlock()
		w.wg.Add(1)
		go w.sendRequest(ctx, i, 0)
		if w.o.Tick != nil && i%64 == 0 {
			w.o.Tick(w.plan[i].At / w.s.Length.Ms())
		}
	}
	return nil
}

// wait waits for the pending requests; each ends by its deadline.
func (w *world) wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { w.wg.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
		<-done // their contexts derive from ctx
	}
}

// sendRequest sends one request and records its outcome.
func (w *world) sendRequest(ctx context.Context, i, number int) {
	defer w.wg.Done()
	p := &w.plan[i]
	class := &w.s.Classes[p.Class]
	now := w.now()
	deadline := p.At + float64(p.Patience)
	t := &clientRequest{agent: int(p.Agent), number: number}
	t.Request = measure.Request{ID: fmt.Sprint("r", i, ".", number), Ask: i, Class: int(p.Class), At: now, Deadline: deadline}
	w.mu.Lock()
	w.rec.RequestStarted(&t.Request)
	w.requests[t.ID] = t
	a, kills := w.agents[p.Agent], w.kills[p.Agent]
	w.mu.Unlock()
	limit := deadline + slack
	if p.LeavesAfter > 0 && number == 0 {
		limit = p.At + float64(p.LeavesAfter)
	}
	at, cancel := context.WithDeadline(ctx, w.start.Add(law.Ms(limit)))
	defer cancel()
	method := http.MethodPost
	if class.Effect == "safe" {
		method = http.MethodGet
	}
	outcome, retryAfter := measure.Lost, 0.0
	req, err := http.NewRequestWithContext(at, method, fmt.Sprintf("%s/%s/k%d", a.base, class.Name, p.Key), nil)
	if err == nil {
		if p.Key == 0 { // without a key: the path is unique
			req.URL.Path = fmt.Sprintf("/%s/u%d.%d", class.Name, i, number)
		}
		req.Header.Set("Request-Id", t.ID)
		req.Header.Set("Request-Timeout", fmt.Sprint(int64((deadline-now)*1000), "u"))
		if class.Effect == "keyed" {
			req.Header.Set("Idempotency-Key", fmt.Sprint("i", i))
		}
		if number > 0 {
			req.Header.Set("Client-Retry", "1")
		}
		var resp *http.Response
		if resp, err = a.client.Do(req); connectionLost(err) && at.Err() == nil && !w.killed(a, p.Agent, kills) {
			// The agent may close an idle connection while the request is on its way: the client sends it once
			// more, on a new connection.
			req.Close = true
			w.mu.Lock()
			t.Note(w.now(), fmt.Sprintf("%s ended the connection (%v), asked once more", a.name, err), "")
			a, kills = w.agents[p.Agent], w.kills[p.Agent]
			w.mu.Unlock()
			once := newClient(w.s) // without idle connections
			defer once.CloseIdleConnections()
			resp, err = once.Do(req)
		}
		if err == nil {
			var body []byte
			body, err = io.ReadAll(io.LimitReader(resp.Body, 1<<16))
			resp.Body.Close()
			switch {
			case err != nil:
			case resp.StatusCode == http.StatusOK:
				outcome = measure.Served
				if by, of, _ := strings.Cut(string(body), " "); by != t.ID {
					w.mu.Lock()
					w.rec.RecordViolation(w.now(), "an answer made for another request: "+by+" of "+of, &t.Request)
					w.mu.Unlock()
				}
			case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
				outcome = measure.Refused
				fmt.Sscan(resp.Header.Get("Retry-After"), &retryAfter)
			default:
				outcome = measure.Failed
			}
		}
	}
	killed := w.killed(a, p.Agent, kills)
	now = w.now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		t.Note(now, err.Error(), "")
	}
	var dial *net.OpError
	untaken := errors.As(err, &dial) && dial.Op == "dial" // the agent is restarting
	if err != nil && (ctx.Err() != nil || p.LeavesAfter > 0 && number == 0 || killed || untaken) {
		outcome = measure.Gone // the play ended, the client left, or its agent was killed or is restarting
	}
	w.rec.RequestEnded(&t.Request, now, outcome, outcome != measure.Served && outcome != measure.Gone && w.needless(t, now))
	portal := &w.s.Portals[p.Portal]
	if outcome == measure.Served || ctx.Err() != nil || number >= portal.Retries || p.LeavesAfter > 0 ||
		outcome != measure.Refused && !untaken && class.Effect == "unsafe" {
		return
	}
	wait := portal.Backoff.Ms() * float64(int(1)<<number)
	if retryAfter > 0 && law.Uniform(w.o.Seed, uint64(i), uint64(number), 7) < portal.Heeds {
		wait = max(wait, 1000*retryAfter)
	}
	if now+wait+2 < deadline && !w.ended {
		w.wg.Add(1)
		time.AfterFunc(law.Ms(wait), func() { w.sendRequest(ctx, i, number+1) })
	}
}

// killed reports whether an agent was killed that may have accepted a request: the process to which the
// client sent it, or its successor at the same address that started before the client noticed. The client
// of such a request may retry it. kills is how often the agent had been killed when the client sent it.
func (w *world) killed(a *agentRun, agent int32, kills int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a.wasKilled() || w.kills[agent] != kills
}

// connectionLost reports whether a connection ended without any byte of an answer.
func connectionLost(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || err != nil && strings.Contains(err.Error(), "server closed idle connection")
}

func (w *world) needless(t *clientRequest, now float64) bool {
	work := float64(w.plan[t.Ask].Work)
	for _, v := range w.servers {
		if v.up && !v.silent && v.health == cluster.Ready && v.st.HasFreeSlot(now, v.inTransit) &&
			2*w.paths.Mean(w.zones[t.agent], v.zone)+work/v.st.Rate(now) < t.Deadline-now {
			return true
		}
	}
	return false
}

func (w *world) result(begun float64) *measure.Result {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	now := min(w.now(), w.s.Length.Ms())
	for _, v := range w.servers {
		w.rec.AddWork(v.pastWork + v.st.Worked)
	}
	return w.rec.Result(func(r *measure.Result) {
		for _, v := range w.servers {
			r.OpenMost = max(r.OpenMost, v.maxConns)
			r.Connects += v.connects
			k := &w.s.Servers[v.kind]
			r.Servers = append(r.Servers, measure.Server{Name: v.name, Kind: k.Kind, Zone: w.s.Zones[v.zone], Busy: v.busy,
				Work: (v.pastWork + v.st.Worked) / (now * float64(k.Slots) * k.Speed), Peak: max(v.peak, v.st.Peak) / w.s.Rules.FallMultiple, Fell: v.fell})
		}
		r.Questions, _ = w.roster.Counts()
		for _, a := range w.agents {
			if u, ok := a.usage(); ok {
				r.Agents = append(r.Agents, u)
			}
		}
		aim := w.s.Classes[0].Aim.Ms()
		for _, c := range w.s.Classes {
			aim = min(aim, c.Aim.Ms())
		}
		r.LateP99 = float64(w.generatorDelay.ValueAtQuantile(99)) / 1000
		r.GeneratorCPU = (w.cpu() - begun) / max(now/1000, 0.001)
		r.Void = voidReason(r.LateP99, float64(w.timerDelay.ValueAtQuantile(99))/1000, aim)
	})
}

// voidReason returns why a play does not count, given the delays of the generator and of the fake servers
// at the 99th percentile; empty: it counts. All values are in ms.
func voidReason(generator, standIns, aim float64) string {
	most := max(aim*lateAllowed, minLateAllowed)
	switch {
	case generator > most:
		return fmt.Sprintf("the generator was late by %.1f ms at the 99th percentile, %.1f at the most", generator, most)
	case standIns > most:
		return fmt.Sprintf("a stand-in was late by %.1f ms at the 99th percentile, %.1f at the most", standIns, most)
	}
	return ""
}

// close stops everything that was started.
func (w *world) close() {
	w.mu.Lock()
	w.ended = true
	for t := range w.timers {
		t.Stop()
	}
	agents, servers := slices.Clone(w.agents), slices.Clone(w.servers)
	w.mu.Unlock()
	var wg sync.WaitGroup
	for _, a := range agents {
		if a != nil {
			wg.Go(func() { a.kill() })
		}
	}
	wg.Wait()
	for _, v := range servers {
		v.http.Close()
	}
	if w.roster != nil {
		w.roster.Close()
	}
}

// ---- agents ----

// startAgents starts all agents and waits until each is ready.
func (w *world) startAgents() error {
	n := w.s.Agents()
	w.agents, w.starts, w.kills, w.restartLocks = make([]*agentRun, n), make([]int, n), make([]int, n), make([]sync.Mutex, n)
	errs := make(chan error, n)
	for i := range n {
		go func() { errs <- w.startAgent(i) }()
	}
	var all []error
	for range n {
		all = append(all, <-errs)
	}
	return errors.Join(all...)
}

// noteAgent appends to the agents' history; the lock must be held.
func (w *world) noteAgent(a *agentRun, what string) {
	w.agentHistory = append(w.agentHistory, fmt.Sprintf("%.1f ms: %s %s", w.now(), a.name, what))
}

// startAgent starts an agent, at its previous address if it had one.
func (w *world) startAgent(i int) error {
	listen := "127.0.0.1:0"
	w.mu.Lock()
	if old := w.agents[i]; old != nil {
		listen = old.listen
	}
	seed := law.Seed(w.o.Seed, fmt.Sprint("agent", i, w.asked))
	w.starts[i]++
	name := fmt.Sprintf("agent %d (start %d)", i, w.starts[i])
	w.mu.Unlock()
	if listen == "127.0.0.1:0" {
		ln, err := net.Listen("tcp", listen)
		if err != nil {
			return err
		}
		listen = ln.Addr().String()
		ln.Close()
	}
	text, err := w.s.Config(fmt.Sprint("agent-", i), listen, w.roster.Addr, fmt.Sprintf("%016x", seed), i, w.zones[i], w.roster.List())
	if err != nil {
		return err
	}
	a := &agentRun{name: name, listen: listen, base: "http://" + listen, client: newClient(w.s), since: w.now()}
	if w.o.Binary == "" {
		err = a.startInProcess(w, i, text)
	} else {
		path := filepath.Join(w.dir, fmt.Sprint("agent-", i, ".json"))
		if err = os.WriteFile(path, text, 0o600); err == nil {
			err = a.startProcess(w.o.Binary, path, w.o.Operator)
		}
	}
	if err == nil {
		err = a.ready(w.ctx, w.o.ready)
	}
	if err != nil {
		a.kill()
		return fmt.Errorf("live: agent %d: %w", i, err)
	}
	w.mu.Lock()
	w.agents[i] = a
	w.noteAgent(a, "is ready")
	w.mu.Unlock()
	return nil
}

// truth implements choose.Truth for the oracle; it takes the lock.
type truth struct{ w *world }

func (t truth) Finish(addr cluster.Addr, zone int, work float64, key uint64) (after, wait float64, ok bool) {
	w := t.w
	w.mu.Lock()
	defer w.mu.Unlock()
	v := w.byAddr[addr]
	if v == nil || !v.up || v.silent {
		return 0, 0, false
	}
	after, wait, ok = v.st.Finish(w.now(), work, uint32(key), v.inTransit, w.meanWork)
	return after + 2*w.paths.Mean(zone, v.zone), wait, ok
}

func (t truth) Work(int, policy.RequestID) float64 { return t.w.meanWork }
func (t truth) MeanWork(class int) float64         { return t.w.s.Classes[class].Work.Ms() }

func (t truth) CanAccept(addr cluster.Addr, work float64) bool {
	t.w.mu.Lock()
	defer t.w.mu.Unlock()
	v := t.w.byAddr[addr]
	return v != nil && v.st.CanAccept(t.w.now(), work+float64(v.inTransit)*t.w.meanWork, 0.7)
}

var _ choose.Truth = truth{}
