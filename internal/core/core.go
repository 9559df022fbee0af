// Package core is the agent between a front end, which brings clients' requests, and a
// transport, which carries attempts to servers; it knows neither one's protocol. It owns
// the Balancer and does what that decides; it decides nothing about where, when or
// whether a request is sent.
//
// Each request that Do takes gets exactly one final answer. What happens reaches the core
// as inputs, which are handled one by one, and nothing in their handling blocks. One lock
// guards the Balancer, the requests taken, the servers, their attempts and the memory of
// ids: whoever brings an input while nobody holds the lock and no input waits handles it
// there and then; else it goes into a queue, which Run works through in its order. So an
// input that comes after another, for whoever saw both, is handled after it. Do runs in
// its caller's goroutine and shares with the rest one channel for the answer. An attempt's
// stage is the only other thing that both sides change: it settles whether a byte may
// still go out. What is said elsewhere to belong to the core's goroutine belongs to the
// one that handles an input.
//
// All time comes from the standard library's clock.
package core

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/doubt"
	"molepaddle/internal/decide/fleet"
	"molepaddle/internal/decide/loss"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// guardMargin is how long before the client's time is up the last guard answers: later
// than the module's own last word.
const guardMargin = 2 * time.Millisecond

// Options is what a Core is made of.
type Options struct {
	Settings    settings.Settings
	Seed        uint64
	InitialList cluster.List // as last had, perhaps old
	MaxOpen     int          // requests that may be held at once; the module refuses what is over it
	QueueLength int          // room for what may happen at once, a few times the descriptors
	Transport   Transport
	RosterAddr  string
	// NewRoster makes the client of the roster at an address.
	NewRoster func(addr string, tell func(Update)) Roster
	Log       *slog.Logger
	// NewDecider makes what decides; nil: policy.New. The lab puts baselines there.
	NewDecider func(set settings.Settings, seed uint64) (Decider, error)
	// IDs is shared with other cores; nil: the core has its own.
	IDs *IDs
	// Fleet is what the operator has set for very many agents; nil: there are few.
	Fleet       *fleet.Options
	ZoneNumbers map[string]int // numbers of zones by their names, for the log
	// ReportLoss is told each request that earned less than it could, once nothing of it is out, by the core's
	// goroutine, which it must not hold up; nil: nobody is.
	ReportLoss func(*loss.Record)
}

// Decider is what decides for a core; policy.Balancer is the one in service.
type Decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// inputKind tells what happened.
type inputKind uint8

// What may come in.
const (
	inRequest      inputKind = iota // req
	inDropped                       // req: nobody waits for its answer any more
	inWithdrawn                     // req: the same, of one that was brought by Take
	inOutcome                       // att, res
	inTimer                         // token
	inUpdate                        // news, gen
	inSwitchRoster                  // addr: another roster's
	inLoad                          // load
	inProbed                        // att, res
	inFollow                        // a pushed list is to be followed again
	inWatch                         // gen: what was put off
	inProbe                         // server
	inReplan                        // the agent's part in the fleet is to be settled anew
	inFleetSize                     // how many agents there are
	inExclude                       // alone, done
	inSettings                      // table, done
	inEndpoints                     // known
	inBodyComplete                  // att
	inStarted                       // att, res
)

// input is one thing that happened, on its way to Run.
type input struct {
	kind         inputKind
	req          *Request
	att          *Attempt
	res          Result
	token        uint32
	update       Update
	gen          int // of the roster that was asked
	addr         string
	load         chan<- Load
	table        *settings.Table
	done         chan<- struct{}
	endpoints    chan<- EndpointSnapshot
	agents, rank int
	excluded     map[cluster.Addr]bool

	server cluster.Addr
}

// Load is what a core holds.
type Load struct {
	Requests int // not yet answered, or with an attempt out
	Attempts int // out
	Servers  int // known
}

// Core is the requests, servers and decisions of one agent.
type Core struct {
	ctx          context.Context
	log          *slog.Logger
	reportLoss   func(*loss.Record)
	zoneNames    map[string]int
	maxOpen      int
	classes      atomic.Pointer[[]settings.Class] // those in set
	transport    Transport
	newRoster    func(addr string, dispatch func(Update)) Roster
	inputs       chan *input  // an agent that is idle holds none, so they are not kept by value
	queued       atomic.Int64 // inputs that are queued or taken from the queue, and not handled
	running      atomic.Bool  // Run works
	ready        atomic.Bool  // a server can be sent to
	requestCount atomic.Int64 // requests that have come

	// The lock guards what stands below.
	mu                  sync.Mutex
	set                 settings.Settings
	configuredAgents    int // agents, as the settings say
	observedAgents      int // as a view of the fleet says; 0: there is none
	decider             Decider
	pending             []input // what Run itself gave rise to, to be handled next
	base                time.Time
	baseMs              float64
	requests            map[policy.RequestID]*Request
	nextID              policy.RequestID
	ids                 *IDs
	backends            []*backend // in the order in which they came to be listed
	byAddr              map[cluster.Addr]*backend
	roster              Roster
	rosterAddr          string
	rosterGen           int
	seq                 int64                 // version of the list at hand; 0 after a change of roster
	list                cluster.List          // whole, as the rosters told it
	excluded            map[cluster.Addr]bool // servers that get nothing, whatever the roster says
	watching            bool
	actions             []policy.Action
	fleet               *fleetState   // in a fleet; nil: in none
	reachability        *doubt.Groups // of the module; nil: it doubts no zones
	reachabilityChanges int           // of that, as last told
}

// New makes a core that ends with the context; its settings are validated. It is told
// the list in the options before it returns.
func New(ctx context.Context, o Options) (*Core, error) {
	set := withOpenCap(o.Settings, o.MaxOpen)
	var bal Decider
	var err error
	if o.NewDecider != nil {
		bal, err = o.NewDecider(set, o.Seed)
	} else {
		bal, err = policy.New(set, o.Seed)
	}
	if err != nil {
		return nil, err
	}
	// The module's clock is the Unix time of the start, then monotonic: starts of servers
	// need no translation, and steps of the system's clock don't show.
	base := time.Now()
	c := &Core{ctx: ctx, set: set, configuredAgents: set.Replicas, maxOpen: o.MaxOpen, log: o.Log, reportLoss: o.ReportLoss, zoneNames: o.ZoneNumbers, transport: o.Transport, newRoster: o.NewRoster,
		inputs: make(chan *input, o.QueueLength), decider: bal, base: base, baseMs: float64(base.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*Request{}, byAddr: map[cluster.Addr]*backend{},
		ids: o.IDs}
	if c.ids == nil {
		c.ids = NewIDs(&set)
	}
	c.classes.Store(&c.set.Classes)
	if r, able := bal.(interface{ Reach() *doubt.Groups }); able {
		c.reachability = r.Reach()
	}
	if o.Fleet != nil {
		if c.fleet, err = newFleetState(*o.Fleet, &c.set, o.Seed, c.baseMs); err != nil {
			return nil, err
		}
	}
	c.openRoster(o.RosterAddr)
	c.actions = c.decider.Start(c.clock(), c.actions[:0])
	c.execute()
	c.updateList(cluster.ListCached, &o.InitialList)
	if c.pushed() {
		c.follow()
	}
	return c, nil
}

// withOpenCap has the settings allow no more open requests than the agent has room for.
func withOpenCap(set settings.Settings, most int) settings.Settings {
	if set.Limits.OpenCap <= 0 || set.Limits.OpenCap > most {
		set.Limits.OpenCap = most
	}
	return set
}

// MaxRequestDuration is how long a request of any class may be open.
func MaxRequestDuration(set *settings.Settings) time.Duration {
	longest := 0.0
	for _, class := range set.Classes {
		longest = max(longest, class.GiveUpMs)
	}
	return ms(longest)
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func (c *Core) clock() float64 {
	return c.baseMs + float64(time.Since(c.base))/float64(time.Millisecond)
}

// RequestCount is how many requests have come since the start.
func (c *Core) RequestCount() int64 { return c.requestCount.Load() }

// Ready tells whether there is a server to send to.
func (c *Core) Ready() bool { return c.ready.Load() }

// SwitchRoster turns to the roster at another address.
func (c *Core) SwitchRoster(addr string) { c.post(input{kind: inSwitchRoster, addr: addr}) }

// SettingsUpdater is a Decider that can take other settings while it is at work, as policy.Balancer.UpdateSettings does.
type SettingsUpdater interface {
	UpdateSettings(set settings.Settings, from []int)
}

// ErrFixedSettings is why settings can't be changed.
var ErrFixedSettings = errors.New("what decides takes no other settings")

// UpdateSettings takes another version of the settings and returns when its classes are known: requests that
// have come keep their numbers, which mean the same. An error has changed nothing.
func (c *Core) UpdateSettings(t *settings.Table) error {
	if _, able := c.decider.(SettingsUpdater); !able {
		return ErrFixedSettings
	}
	done := make(chan struct{})
	c.post(input{kind: inSettings, table: t, done: done})
	select {
	case <-done:
		return nil
	case <-c.ctx.Done():
		return c.ctx.Err()
	}
}

// EndpointSnapshot is the list at hand, and the roster whose versions it counts in.
type EndpointSnapshot struct {
	Roster       string
	List         cluster.List   // Seq is 0 where the roster has not told it yet
	Unresponsive []cluster.Addr `json:"-"` // those that have not answered this agent's last attempt
	SlowStartMs  float64        `json:"-"` // how long a server is cold, by the settings
}

// Endpoints tells the list at hand; none, once the core has ended.
func (c *Core) Endpoints() EndpointSnapshot {
	known := make(chan EndpointSnapshot, 1)
	c.post(input{kind: inEndpoints, endpoints: known})
	select {
	case k := <-known:
		return k
	case <-c.ctx.Done():
		return EndpointSnapshot{}
	}
}

// IDs is the core's memory of ids.
func (c *Core) IDs() *IDs { return c.ids }

// Load tells what is held now; nothing, once the core has ended.
func (c *Core) Load() Load {
	load := make(chan Load, 1)
	c.post(input{kind: inLoad, load: load})
	select {
	case l := <-load:
		return l
	case <-c.ctx.Done():
		return Load{}
	}
}

// Do takes a request and returns its final answer. It returns at the latest shortly
// before the request's deadline, and at once when ctx ends: then the client has gone, and
// work on its behalf is given up as far as the settings allow.
func (c *Core) Do(ctx context.Context, r *Request) Answer {
	answers := make(chan Answer, 1)
	var gone atomic.Bool // whoever asked; an answer that begins then is nobody's
	abandon := func() {
		select {
		case a := <-answers:
			if a.Stream != nil {
				a.Stream.Leave()
			}
		default:
		}
	}
	r.reply = func(a Answer) {
		if answers <- a; gone.Load() {
			abandon()
		}
	}
	guard := time.NewTimer(time.Until(r.Deadline) - guardMargin)
	defer guard.Stop()
	if r.Message.Stream != nil {
		r.bodyComplete = make(chan time.Time, 1) // all comes once
	}
	c.requestCount.Add(1)
	c.post(input{kind: inRequest, req: r})
	end := Answer{Outcome: DeadlineExceeded}
	for waiting := true; waiting; {
		select {
		case ans := <-answers:
			return ans
		case deadline := <-r.bodyComplete:
			guard.Reset(time.Until(deadline) - guardMargin)
			continue
		case <-ctx.Done():
			end.Outcome = ClientGone
		case <-guard.C:
		}
		waiting = false
	}
	select {
	case ans := <-answers: // both in one moment: what is known is told
		return ans
	default:
	}
	gone.Store(true)
	abandon()
	// The guard is for a core that is stuck, perhaps with its queue full.
	if drop := (input{kind: inDropped, req: r}); !c.tryPost(drop) {
		go c.post(drop)
	}
	return end
}

// Take takes a request as Do does and returns at once; done is told the final answer, once.
// It is called in whatever goroutine brings the input that settles it, with the core's lock
// held: it may neither block nor come back to the core. It sets no timer of its own: whoever
// takes a request so drops it at its deadline at the latest. After that done is told Gone as
// soon as nothing of the request is out any more, unless it was told an answer before. Answers are
// whole, and so at most MaxBody.
func (c *Core) Take(r *Request, done func(Answer)) (drop func()) {
	r.reply, r.buffered = done, true
	c.requestCount.Add(1)
	c.post(input{kind: inRequest, req: r})
	return func() { c.post(input{kind: inWithdrawn, req: r}) }
}

// tryHandle handles an input in its bringer's goroutine, if that is free to do: it saves two
// changes of goroutine a request each.
func (c *Core) tryHandle(in input) bool {
	if !c.running.Load() || !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if c.queued.Load() != 0 || c.ctx.Err() != nil {
		return false
	}
	c.handle(in)
	return true
}

// post brings something that happened. It waits while the queue is full and returns at
// once when the core has ended.
func (c *Core) post(in input) {
	if c.tryHandle(in) {
		return
	}
	c.queued.Add(1)
	queued := new(input)
	*queued = in
	select {
	case c.inputs <- queued:
	case <-c.ctx.Done():
	}
}

// tryPost is post, but that it does not wait; it reports whether there was room.
func (c *Core) tryPost(in input) bool {
	if c.tryHandle(in) {
		return true
	}
	c.queued.Add(1)
	queued := new(input)
	*queued = in
	select {
	case c.inputs <- queued:
		return true
	default:
		c.queued.Add(-1)
		return false
	}
}

// Run handles what is queued until the context ends. Before it runs all is queued.
func (c *Core) Run() {
	c.running.Store(true)
	for {
		select {
		case in := <-c.inputs:
			c.mu.Lock()
			c.handle(*in)
			c.queued.Add(-1)
			c.mu.Unlock()
		case <-c.ctx.Done():
			return
		}
	}
}

// handle takes one input and all that it gives rise to.
func (c *Core) handle(in input) {
	c.handleOne(in)
	for len(c.pending) > 0 {
		in, c.pending = c.pending[0], c.pending[1:]
		c.handleOne(in)
	}
}

// handleOne takes handleOne input. A panic costs the request at hand its decision, and its guard
// answers it: handleOne bad event must not take down all that the agent holds.
func (c *Core) handleOne(in input) {
	defer func() {
		if p := recover(); p != nil {
			c.log.Error("panic in the core", "input", in.kind, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	switch in.kind {
	case inRequest:
		c.onRequest(in.req)
	case inDropped, inWithdrawn:
		if r := in.req; r.id != 0 && !r.answered {
			c.recordEnd(r, ClientGone)
			r.answered, r.dropped = true, in.kind == inWithdrawn
			c.dispatch(&policy.Event{Kind: policy.EvDropped, Request: r.id})
			c.stopUnsent(r)
			c.removeIfDone(r)
		}
	case inOutcome:
		c.onOutcome(in.att, &in.res)
	case inBodyComplete:
		c.onBodyComplete(in.att)
	case inStarted:
		c.onStarted(in.att, &in.res)
	case inTimer:
		c.dispatch(&policy.Event{Kind: policy.EvTimer, Token: in.token})
	case inSwitchRoster:
		c.switchRoster(in.addr)
	case inFollow:
		c.follow()
	case inWatch:
		if in.gen == c.rosterGen {
			c.roster.Watch(c.seq, false)
		}
	case inProbe:
		c.probe(in.server)
	case inFleetSize:
		c.setFleetSize(in.agents, in.rank)
	case inExclude:
		c.exclude(in.excluded)
		close(in.done)
	case inReplan:
		c.replan()
	case inSettings:
		c.set = withOpenCap(in.table.Settings, c.maxOpen)
		c.configuredAgents = c.set.Replicas
		c.set.Replicas = max(c.configuredAgents, c.observedAgents)
		c.classes.Store(&c.set.Classes)
		c.ids.extendRetention(MaxRequestDuration(&c.set) + idMargin)
		c.decider.(SettingsUpdater).UpdateSettings(c.set, in.table.From)
		close(in.done)
	case inEndpoints:
		in.endpoints <- EndpointSnapshot{Roster: c.rosterAddr, List: cluster.List{Seq: c.seq, Complete: true, Servers: slices.Clone(c.list.Servers)}, Unresponsive: c.unresponsiveServers(), SlowStartMs: c.set.Contract.ColdMs}
	case inProbed:
		c.onProbed(in.att, &in.res)
	case inLoad:
		l := Load{Requests: len(c.requests), Servers: len(c.backends)}
		for _, r := range c.requests {
			l.Attempts += r.inFlight
		}
		in.load <- l
	case inUpdate:
		if in.gen == c.rosterGen { // else of a roster that is asked no more
			c.onUpdate(&in.update)
		}
	}
}

// dispatch hands the module one event and carries out what it decides.
func (c *Core) dispatch(ev *policy.Event) {
	c.actions = c.decider.Handle(c.clock(), ev, c.actions[:0])
	if c.reachability != nil && c.reachability.Changes() != c.reachabilityChanges {
		c.reachabilityChanges = c.reachability.Changes()
		if zones, all := c.reachability.Doubted(); all {
			c.log.Warn("no zone answers: this agent's own way may be cut")
		} else {
			c.log.Warn("zones that answer nothing come last", "zones", c.namesOfZones(zones))
		}
	}
	c.execute()
}

// namesOfZones names namesOfZones, as far as the core was told how.
func (c *Core) namesOfZones(of []int) []string {
	names := []string{}
	for _, zone := range of {
		name := strconv.Itoa(zone)
		for of, number := range c.zoneNames {
			if number == zone {
				name = of
			}
		}
		names = append(names, name)
	}
	return names
}

func (c *Core) onRequest(r *Request) {
	if !r.Deduplicated && !c.ids.add(r.ID, time.Now()) {
		c.answer(r, Answer{Outcome: Duplicate})
		return
	}
	c.nextID++
	if c.nextID == 0 {
		c.nextID++
	}
	r.id = c.nextID
	r.attemptLimit = c.set.Limits.MaxAttempts
	if r.MaxAttempts > 0 {
		r.attemptLimit = min(r.attemptLimit, r.MaxAttempts)
	}
	c.requests[r.id] = r
	if c.reportLoss != nil {
		r.timing.arrivedAt = time.Now()
	}
	c.dispatch(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: r.Class, Tenant: r.Tenant,
		Key: r.Key, LeftMs: float64(time.Until(r.Deadline)) / float64(time.Millisecond),
		HintMs: r.HintMs, HasHint: r.HasHint, Retry: r.Retry, Tries: r.MaxAttempts, Coming: r.Message.Stream != nil})
}

// onBodyComplete has a request's time begin: its server has all of it.
func (c *Core) onBodyComplete(a *Attempt) {
	r := a.Request
	if a.ended || r.answered {
		return
	}
	r.Deadline = a.deadline
	a.timer.Reset(time.Until(r.Deadline))
	select {
	case r.bodyComplete <- r.Deadline:
	default: // nobody waits any more
	}
	c.dispatch(&policy.Event{Kind: policy.EvBodyComplete, Request: r.id, Attempt: a.index, LeftMs: float64(r.TimeAfterBody) / float64(time.Millisecond)})
}

// onStarted gives a request the answer that begins, unless it has one.
func (c *Core) onStarted(a *Attempt, res *Result) {
	r := a.Request
	if a.ended || r.answered {
		res.Stream.Leave()
		return
	}
	c.dispatch(&policy.Event{Kind: policy.EvStarted, Request: r.id, Attempt: a.index, Server: a.backend.addr})
	r.mayHaveRun = true
	c.answer(r, Answer{Outcome: Served, Body: res.Body, Stream: res.Stream, Length: res.Length, ContentType: res.ContentType})
}

func (c *Core) onOutcome(a *Attempt, res *Result) {
	if a.ended {
		return // stopped before its first byte, which its transport tells only now
	}
	a.ended = true
	r, b := a.Request, a.backend
	b.attempts = slices.DeleteFunc(b.attempts, func(o *Attempt) bool { return o == a })
	c.removeIfUnused(b)
	r.inFlight--
	if res.panicked != nil {
		c.log.Error("attempt ended", "err", res.panicked)
	}
	c.checkConnectFailure(a, res)
	b.recordStatus(res.Status)
	c.recordAttempt(a, res)
	r.mayHaveRun = r.mayHaveRun || !res.Status.NeverRan()
	r.extraAttempts += res.ExtraAttempts
	if res.Status == policy.NoConnection && r.attemptLimit < policy.MaxUnconnectedAttempts {
		r.attemptLimit++ // as the module counts
	}
	if res.Status == policy.OK {
		c.answer(r, Answer{Outcome: Served, Body: res.Body, Length: res.Length, ContentType: res.ContentType})
	}
	if res.Status == policy.Timeout {
		// The machine may have vanished; its other connections would be as silent.
		b.endpoint.CloseIdle()
	}
	c.dispatch(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.Status, LatencyMs: float64(res.duration) / float64(time.Millisecond),
		Final: r.answered, Tries: r.spentAttempts(res.ExtraAttempts), Report: report(res.Load, c.set.Report.Names)})
	c.removeIfDone(r)
}

// answer gives a request its final answer, unless it has one.
func (c *Core) answer(r *Request, a Answer) {
	if !r.answered {
		c.recordEnd(r, a.Outcome)
		r.answered = true
		a.Ran, a.Attempts = r.mayHaveRun || r.hasStartedAttempt(), len(r.attempts)+r.extraAttempts
		r.reply(a)
		c.stopUnsent(r)
	}
}

// stopUnsent stops what of a request that is over has not begun, here or behind a gateway, whether
// or not the settings allow to cancel what has: it would be work that nobody waits for.
func (c *Core) stopUnsent(r *Request) {
	for _, a := range r.attempts {
		if !c.stop(a, ErrCancelled, policy.Cancelled) && !a.ended && a.OnAbandoned != nil && a.ctx.Err() == nil {
			go a.OnAbandoned()
		}
	}
}

// removeIfDone drops a request that is answered and has no attempt out.
func (c *Core) removeIfDone(r *Request) {
	if r.answered && r.inFlight == 0 {
		if c.requests[r.id] == r {
			c.reportIfLoss(r)
		}
		delete(c.requests, r.id)
		if r.dropped {
			r.dropped = false
			r.reply(Answer{Outcome: ClientGone, Ran: r.mayHaveRun, Attempts: len(r.attempts) + r.extraAttempts})
		}
	}
}

// execute carries out the module's actions in their order.
func (c *Core) execute() {
	for i := range c.actions {
		act := &c.actions[i]
		r := c.requests[act.Request]
		switch act.Kind {
		case policy.ActSend:
			if r != nil {
				c.send(r, act)
			}
		case policy.ActCancel:
			if r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
				if a := r.attempts[act.Attempt]; !c.stop(a, ErrCancelled, policy.Cancelled) {
					a.Cancel(ErrCancelled)
				}
			}
		case policy.ActRefuse:
			if r != nil {
				c.answer(r, Answer{Outcome: Refused, RetryAfter: ms(act.Ms)})
				c.removeIfDone(r)
				c.recordRefusal()
			}
		case policy.ActFail:
			if r != nil {
				c.answer(r, Answer{Outcome: Failed})
				c.removeIfDone(r)
			}
		case policy.ActProbe:
			server := act.Server
			c.runAfter(c.fleet.probeDelay(), input{kind: inProbe, server: server}, func() { c.probe(server) })
		case policy.ActTimer:
			token := act.Token
			time.AfterFunc(ms(act.Ms), func() { c.post(input{kind: inTimer, token: token}) })
		case policy.ActFollow:
			c.follow()
		case policy.ActFetch:
			// The watch brings all that a fetch would, and while there is none its next start is
			// due at this agent's own moment. Failures come to all agents at once: as many
			// fetches beside the watches kept a roster that can take each agent's call every
			// few seconds from answering any (herd+vast 217607910183).
		case policy.ActClose:
			if b := c.byAddr[act.Server]; b != nil {
				b.endpoint.CloseIdle()
			}
		}
	}
}

// send starts an attempt.
func (c *Core) send(r *Request, act *policy.Action) {
	b := c.byAddr[act.Server]
	if b == nil {
		b = &backend{addr: act.Server, endpoint: c.transport.Endpoint(&cluster.Server{})}
	}
	var a *Attempt
	a = NewAttempt(c.ctx, r, ms(act.Ms), func(res Result) { c.post(input{kind: inOutcome, att: a, res: res}) })
	a.index, a.backend = len(r.attempts), b
	a.notify = func(kind inputKind, res *Result) {
		in := input{kind: kind, att: a}
		if res != nil {
			in.res = *res
		}
		c.post(in)
	}
	if act.BeginMs > 0 {
		a.beginBy = a.started.Add(ms(act.BeginMs))
	}
	if !r.BeginBy.IsZero() && (a.beginBy.IsZero() || r.BeginBy.Before(a.beginBy)) {
		a.beginBy = r.BeginBy
	}
	a.AttemptsLeft = r.attemptLimit - len(r.attempts) - r.extraAttempts
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if !b.usable || r.answered {
		// The module sends to what is listed as ready only; should it not, nothing goes out.
		c.stop(a, nil, policy.Abandoned)
		return
	}
	b.attempts = append(b.attempts, a)
	if err := b.endpoint.Start(a); err != nil {
		c.stop(a, err, startErrorStatus(err))
	}
}
