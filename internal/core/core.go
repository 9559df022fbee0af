// Package core connects front ends, which receive client requests, with a transport, which
// sends attempts to servers; it is independent of the protocols of both. A Core owns a
// Decider, usually a policy.Balancer, feeds it events and carries out its actions. The core
// itself does not decide where, when or whether a request is sent.
//
// Do and Take may be called from any goroutine. Each request passed to Do gets exactly one
// final answer. Events reach the core as inputs, which are handled one at a time and without
// blocking. One lock guards the Decider, the open requests, the servers, their attempts and
// the known request ids. If the lock is free and no input is queued, the goroutine that posts
// an input handles it itself; otherwise the input is queued, and Run handles the queue in
// order. Inputs that were posted one after the other are therefore handled in that order.
// Do runs in its caller's goroutine and shares only the answer channel with the core. An
// attempt's stage is the only other state that both sides change: it decides whether a byte
// may still be written. State documented as owned by the core's goroutine is owned by the
// goroutine that handles the current input.
//
// All times come from the standard library's clock.
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

// guardMargin is how long before a request's deadline the guard timer in Do fires. It is
// shorter than the Decider's own margin, so the Decider answers first.
const guardMargin = 2 * time.Millisecond

// Options configures a Core.
type Options struct {
	Settings    settings.Settings
	Seed        uint64
	InitialList cluster.List // last known endpoint list, possibly outdated
	MaxOpen     int          // limit of open requests; the Decider refuses requests beyond it
	QueueLength int          // capacity of the input queue, a few times the number of descriptors
	Transport   Transport
	RosterAddr  string
	// NewRoster returns a client of the roster at addr, which reports results by notify.
	NewRoster func(addr string, notify func(Update)) Roster
	Log       *slog.Logger
	// NewDecider returns the Decider; nil: policy.New. The lab uses it for baselines.
	NewDecider func(set settings.Settings, seed uint64) (Decider, error)
	// IDs may be shared with other cores; nil: the core creates its own.
	IDs *IDs
	// Fleet configures the agent for a fleet of very many agents; nil: there are few agents.
	Fleet       *fleet.Options
	ZoneNumbers map[string]int // zone numbers by name, for log messages
	// ReportLoss is called for each request that earned less than its full value, once none of its attempts is in
	// flight. It runs in the core's goroutine and must not block; nil: not called.
	ReportLoss func(*loss.Record)
}

// Decider turns events into actions for a Core; policy.Balancer implements it.
type Decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// inputKind is the kind of an input; it determines which fields are set.
type inputKind uint8

// The kinds of inputs and the fields that each sets.
const (
	inRequest      inputKind = iota // req
	inDropped                       // req: its client no longer waits for an answer
	inWithdrawn                     // req: as inDropped, for a request passed to Take
	inOutcome                       // att, res
	inTimer                         // token
	inUpdate                        // update, gen
	inSwitchRoster                  // addr: of the new roster
	inLoad                          // load
	inProbed                        // att, res
	inFollow                        // start watching a pushed list again
	inWatch                         // gen: start a delayed watch
	inProbe                         // server
	inReplan                        // compute this agent's plan in the fleet again
	inFleetSize                     // agents, rank
	inExclude                       // excluded, done
	inSettings                      // table, done
	inEndpoints                     // endpoints
	inBodyComplete                  // att
	inStarted                       // att, res
)

// input is one event to be handled by the core.
type input struct {
	kind         inputKind
	req          *Request
	att          *Attempt
	res          Result
	token        uint32
	update       Update
	gen          int // generation of the roster client
	addr         string
	load         chan<- Load
	table        *settings.Table
	done         chan<- struct{}
	endpoints    chan<- EndpointSnapshot
	agents, rank int
	excluded     map[cluster.Addr]bool

	server cluster.Addr
}

// Load is the current load of a Core.
type Load struct {
	Requests int // requests that are unanswered or have an attempt in flight
	Attempts int // attempts in flight
	Servers  int // known servers
}

// Core holds the requests, the servers and the Decider of one agent.
type Core struct {
	ctx          context.Context
	log          *slog.Logger
	reportLoss   func(*loss.Record)
	zoneNames    map[string]int
	maxOpen      int
	classes      atomic.Pointer[[]settings.Class] // set.Classes
	transport    Transport
	newRoster    func(addr string, notify func(Update)) Roster
	inputs       chan *input  // pointers, so that the empty queue of an idle agent takes little memory
	queued       atomic.Int64 // inputs that are queued, or taken from the queue but not handled yet
	running      atomic.Bool  // Run has started
	ready        atomic.Bool  // at least one server is usable
	requestCount atomic.Int64 // requests received since the start

	// mu guards the fields below.
	mu                  sync.Mutex
	set                 settings.Settings
	configuredAgents    int // number of agents by the settings
	observedAgents      int // number of agents by the view of the fleet; 0: there is none
	decider             Decider
	pending             []input   // inputs created while handling one, to be handled next
	base                time.Time // start of the Decider's clock
	baseMs              float64   // base as Unix time, ms
	requests            map[policy.RequestID]*Request
	nextID              policy.RequestID // last request id used
	ids                 *IDs
	backends            []*backend // in the order in which they were first listed
	byAddr              map[cluster.Addr]*backend
	roster              Roster
	rosterAddr          string
	rosterGen           int                   // number of roster clients opened; updates of older ones are ignored
	seq                 int64                 // version of the current list; 0 after a change of roster
	list                cluster.List          // complete list as received from the rosters
	excluded            map[cluster.Addr]bool // servers treated as draining, whatever the roster lists
	watching            bool                  // a watch is running or scheduled
	actions             []policy.Action
	fleet               *fleetState   // nil: not part of a fleet of very many agents
	reachability        *doubt.Groups // zone suspicions of the Decider; nil: it has none
	reachabilityChanges int           // count of changes last logged
}

// New returns a Core that ends with the context, or an error if the settings are invalid.
// The list in the options is applied before New returns.
func New(ctx context.Context, o Options) (*Core, error) {
	set := withMaxOpenRequests(o.Settings, o.MaxOpen)
	var decider Decider
	var err error
	if o.NewDecider != nil {
		decider, err = o.NewDecider(set, o.Seed)
	} else {
		decider, err = policy.New(set, o.Seed)
	}
	if err != nil {
		return nil, err
	}
	// The Decider's clock starts at the Unix time and is monotonic from then on: start times of servers
	// need no conversion, and steps of the system clock have no effect.
	base := time.Now()
	c := &Core{ctx: ctx, set: set, configuredAgents: set.Replicas, maxOpen: o.MaxOpen, log: o.Log,
		reportLoss: o.ReportLoss, zoneNames: o.ZoneNumbers, transport: o.Transport, newRoster: o.NewRoster,
		inputs: make(chan *input, o.QueueLength), decider: decider, base: base, baseMs: float64(base.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*Request{}, byAddr: map[cluster.Addr]*backend{},
		ids: o.IDs}
	if c.ids == nil {
		c.ids = NewIDs(&set)
	}
	c.classes.Store(&c.set.Classes)
	if r, able := decider.(interface{ Reach() *doubt.Groups }); able {
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

// withMaxOpenRequests returns the settings with Limits.MaxOpenRequests set to at most most, the agent's own limit.
func withMaxOpenRequests(set settings.Settings, most int) settings.Settings {
	if set.Limits.MaxOpenRequests <= 0 || set.Limits.MaxOpenRequests > most {
		set.Limits.MaxOpenRequests = most
	}
	return set
}

// MaxRequestDuration returns the longest time that a request of any class may be open.
func MaxRequestDuration(set *settings.Settings) time.Duration {
	longest := 0.0
	for _, class := range set.Classes {
		longest = max(longest, class.ClientTimeoutMs)
	}
	return ms(longest)
}

// ms converts milliseconds to a Duration.
func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

// clock returns the Decider's time, ms.
func (c *Core) clock() float64 {
	return c.baseMs + float64(time.Since(c.base))/float64(time.Millisecond)
}

// RequestCount returns the number of requests received since the start.
func (c *Core) RequestCount() int64 { return c.requestCount.Load() }

// Ready reports whether at least one server is usable.
func (c *Core) Ready() bool { return c.ready.Load() }

// SwitchRoster replaces the roster by the one at addr. It returns before the change is made.
func (c *Core) SwitchRoster(addr string) { c.post(input{kind: inSwitchRoster, addr: addr}) }

// SettingsUpdater is implemented by a Decider whose settings can be replaced at run time; see
// policy.Balancer.UpdateSettings.
type SettingsUpdater interface {
	UpdateSettings(set settings.Settings, from []int)
}

// ErrFixedSettings is returned by UpdateSettings if the Decider is no SettingsUpdater.
var ErrFixedSettings = errors.New("decider does not support a change of settings")

// UpdateSettings replaces the settings and returns when the new classes are in effect. Class numbers of open
// requests stay valid. If it returns ErrFixedSettings, nothing has changed.
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

// EndpointSnapshot is a copy of the current endpoint list and the roster that its versions belong to.
type EndpointSnapshot struct {
	Roster       string         // address
	List         cluster.List   // Seq is 0 until the roster has sent a list
	Unresponsive []cluster.Addr `json:"-"` // servers that did not answer this agent's last attempt
	SlowStartMs  float64        `json:"-"` // duration of slow start by the settings, ms
}

// Endpoints returns the current endpoint list, or a zero snapshot once the core has ended.
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

// IDs returns the core's memory of request ids.
func (c *Core) IDs() *IDs { return c.ids }

// Load returns the current load, or a zero Load once the core has ended.
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

// Do handles a request and returns its final answer. It returns shortly before the
// request's deadline at the latest, and at once when ctx ends: the client has then
// disconnected, and its attempts are cancelled as far as the settings allow.
func (c *Core) Do(ctx context.Context, r *Request) Answer {
	answers := make(chan Answer, 1)
	var abandoned atomic.Bool // Do has given up: a streamed answer that begins later must be closed
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
		if answers <- a; abandoned.Load() {
			abandon()
		}
	}
	guard := time.NewTimer(time.Until(r.Deadline) - guardMargin)
	defer guard.Stop()
	if r.Message.Stream != nil {
		r.bodyComplete = make(chan time.Time, 1) // the body is completed once
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
	case ans := <-answers: // an answer that arrived at the same time takes precedence
		return ans
	default:
	}
	abandoned.Store(true)
	abandon()
	// The guard also covers a stuck core, whose queue may be full: don't block.
	if drop := (input{kind: inDropped, req: r}); !c.tryPost(drop) {
		go c.post(drop)
	}
	return end
}

// Take starts a request and returns at once; done is called once with the final answer. done runs
// with the core's lock held, in the goroutine that handles the deciding input: it must neither
// block nor call the core. Take sets no timer: the caller must call drop at the request's deadline
// at the latest. After drop, done is called with ClientGone once no attempt is in flight, unless it
// was called before. Answers are not streamed, so their bodies have at most MaxBody bytes.
func (c *Core) Take(r *Request, done func(Answer)) (drop func()) {
	r.reply, r.buffered = done, true
	c.requestCount.Add(1)
	c.post(input{kind: inRequest, req: r})
	return func() { c.post(input{kind: inWithdrawn, req: r}) }
}

// tryHandle handles an input in the calling goroutine if no other input is queued or being handled,
// and reports whether it did. Each call that succeeds saves two goroutine switches.
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

// post handles or queues an input. It blocks while the queue is full and returns at once
// when the core has ended.
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

// tryPost is like post but does not block; it reports whether the input was handled or queued.
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

// Run handles queued inputs until the context ends. Until Run is called, all inputs are queued.
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

// handle handles one input and all inputs that this creates.
func (c *Core) handle(in input) {
	c.handleOne(in)
	for len(c.pending) > 0 {
		in, c.pending = c.pending[0], c.pending[1:]
		c.handleOne(in)
	}
}

// handleOne handles one input. A panic is recovered, so that one bad event does not end all requests
// of the agent; the guard of the affected request answers it.
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
		c.set = withMaxOpenRequests(in.table.Settings, c.maxOpen)
		c.configuredAgents = c.set.Replicas
		c.set.Replicas = max(c.configuredAgents, c.observedAgents)
		c.classes.Store(&c.set.Classes)
		c.ids.extendRetention(MaxRequestDuration(&c.set) + idMargin)
		c.decider.(SettingsUpdater).UpdateSettings(c.set, in.table.PreviousClass)
		close(in.done)
	case inEndpoints:
		in.endpoints <- EndpointSnapshot{Roster: c.rosterAddr,
			List:         cluster.List{Seq: c.seq, Complete: true, Servers: slices.Clone(c.list.Servers)},
			Unresponsive: c.unresponsiveServers(), SlowStartMs: c.set.Contract.SlowStartMs}
	case inProbed:
		c.onProbed(in.att, &in.res)
	case inLoad:
		l := Load{Requests: len(c.requests), Servers: len(c.backends)}
		for _, r := range c.requests {
			l.Attempts += r.inFlight
		}
		in.load <- l
	case inUpdate:
		if in.gen == c.rosterGen { // ignore updates of a former roster
			c.onUpdate(&in.update)
		}
	}
}

// dispatch passes an event to the Decider, logs changes of zone suspicion and executes the actions.
func (c *Core) dispatch(ev *policy.Event) {
	c.actions = c.decider.Handle(c.clock(), ev, c.actions[:0])
	if c.reachability != nil && c.reachability.Changes() != c.reachabilityChanges {
		c.reachabilityChanges = c.reachability.Changes()
		if zones, all := c.reachability.Suspected(); all {
			c.log.Warn("no zone answers: this agent may be cut off from the network")
		} else {
			c.log.Warn("zones suspected of being unreachable are used last", "zones", c.namesOfZones(zones))
		}
	}
	c.execute()
}

// namesOfZones returns the names of zones, or their numbers where the name is not known.
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

// onRequest passes a new request to the Decider, or rejects a duplicate.
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
		HintMs: r.HintMs, HasHint: r.HasHint, Retry: r.Retry, Attempts: r.MaxAttempts, BodyIncomplete: r.Message.Stream != nil})
}

// onBodyComplete starts a request's time once its server has the complete body.
func (c *Core) onBodyComplete(a *Attempt) {
	r := a.Request
	if a.ended || r.answered {
		return
	}
	r.Deadline = a.deadline
	a.timer.Reset(time.Until(r.Deadline))
	select {
	case r.bodyComplete <- r.Deadline:
	default: // Do has returned
	}
	c.dispatch(&policy.Event{Kind: policy.EvBodyComplete, Request: r.id, Attempt: a.index,
		LeftMs: float64(r.TimeAfterBody) / float64(time.Millisecond)})
}

// onStarted answers a request with a streamed answer that begins, unless it is answered already.
func (c *Core) onStarted(a *Attempt, res *Result) {
	r := a.Request
	if a.ended || r.answered {
		res.Stream.Leave()
		return
	}
	c.dispatch(&policy.Event{Kind: policy.EvStarted, Request: r.id, Attempt: a.index, Server: a.backend.addr})
	r.mayHaveRun = true
	c.answer(r, Answer{Outcome: Served, Body: res.Body, Stream: res.Stream, Length: res.Length,
		ContentType: res.ContentType})
}

// onOutcome handles the end of an attempt.
func (c *Core) onOutcome(a *Attempt, res *Result) {
	if a.ended {
		return // stopped before its first byte; its transport reports the end only now
	}
	a.ended = true
	r, b := a.Request, a.backend
	b.attempts = slices.DeleteFunc(b.attempts, func(o *Attempt) bool { return o == a })
	c.removeIfUnused(b)
	r.inFlight--
	if res.panicked != nil {
		c.log.Error("attempt ended by a panic", "err", res.panicked)
	}
	c.checkConnectFailure(a, res)
	b.recordStatus(res.Status)
	c.recordAttempt(a, res)
	r.mayHaveRun = r.mayHaveRun || !res.Status.NeverRan()
	r.extraAttempts += res.ExtraAttempts
	if res.Status == policy.NoConnection && r.attemptLimit < policy.MaxUnconnectedAttempts {
		r.attemptLimit++ // the Decider grants one more attempt as well
	}
	if res.Status == policy.OK {
		c.answer(r, Answer{Outcome: Served, Body: res.Body, Length: res.Length, ContentType: res.ContentType})
	}
	if res.Status == policy.Timeout {
		// The machine may be gone, and with it the peer of all other connections.
		b.endpoint.CloseIdle()
	}
	c.dispatch(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.Status, LatencyMs: float64(res.duration) / float64(time.Millisecond),
		Final: r.answered, Attempts: r.spentAttempts(res.ExtraAttempts), Report: report(res.Load, c.set.LoadReport.Names)})
	c.removeIfDone(r)
}

// answer gives a request its final answer, unless it is answered already.
func (c *Core) answer(r *Request, a Answer) {
	if !r.answered {
		c.recordEnd(r, a.Outcome)
		r.answered = true
		a.Ran, a.Attempts = r.mayHaveRun || r.hasStartedAttempt(), len(r.attempts)+r.extraAttempts
		r.reply(a)
		c.stopUnsent(r)
	}
}

// stopUnsent stops the attempts of a finished request that have not begun, here or behind a gateway,
// since no client waits for them. It does so even if the settings forbid cancelling begun attempts.
func (c *Core) stopUnsent(r *Request) {
	for _, a := range r.attempts {
		if !c.stop(a, ErrCancelled, policy.Cancelled) && !a.ended && a.OnAbandoned != nil && a.ctx.Err() == nil {
			go a.OnAbandoned()
		}
	}
}

// removeIfDone removes a request that is answered and has no attempt in flight.
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

// execute carries out the Decider's actions in order.
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
			// Ignored: the watch delivers all that a fetch would, and if none is running, its next start is
			// scheduled at a time of this agent's own. Failures reach all agents at once, and their fetches,
			// on top of the watches, kept a roster that can handle one call per agent every few seconds from
			// answering at all (herd+vast 217607910183).
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
		// The Decider sends to usable servers only. This guards against a fault in it: nothing is sent.
		c.stop(a, nil, policy.Abandoned)
		return
	}
	b.attempts = append(b.attempts, a)
	if err := b.endpoint.Start(a); err != nil {
		c.stop(a, err, startErrorStatus(err))
	}
}
