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
	Settings   settings.Settings
	Seed       uint64
	Known      cluster.List // as last had, perhaps old
	MaxOpen    int          // requests that may be held at once; the module refuses what is over it
	Queue      int          // room for what may happen at once, a few times the descriptors
	Transport  Transport
	RosterAddr string
	// NewRoster makes the client of the roster at an address.
	NewRoster func(addr string, tell func(News)) Roster
	Log       *slog.Logger
	// NewDecider makes what decides; nil: policy.New. The lab puts baselines there.
	NewDecider func(set settings.Settings, seed uint64) (Decider, error)
	// IDs is shared with other cores; nil: the core has its own.
	IDs *IDs
	// Fleet is what the operator has set for very many agents; nil: there are few.
	Fleet *fleet.Options
	Zones map[string]int // numbers of zones by their names, for the log
	// Account is told each request that earned less than it could, once nothing of it is out, by the core's
	// goroutine, which it must not hold up; nil: nobody is.
	Account func(*loss.Record)
}

// Decider is what decides for a core; policy.Balancer is the one in service.
type Decider interface {
	Start(now float64, out []policy.Action) []policy.Action
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// inKind tells what happened.
type inKind uint8

// What may come in.
const (
	inRequest   inKind = iota // req
	inDropped                 // req: nobody waits for its answer any more
	inWithdrawn               // req: the same, of one that was brought by Take
	inOutcome                 // att, res
	inTimer                   // token
	inNews                    // news, gen
	inTurn                    // addr: another roster's
	inLoad                    // load
	inProbed                  // att, res
	inFollow                  // a pushed list is to be followed again
	inWatch                   // gen: what was put off
	inProbe                   // server
	inPlan                    // the agent's part in the fleet is to be settled anew
	inCrowd                   // how many agents there are
	inAlone                   // alone, done
	inSettings                // table, done
	inKnown                   // known
	inWhole                   // att
	inStarted                 // att, res
)

// input is one thing that happened, on its way to Run.
type input struct {
	kind         inKind
	req          *Request
	att          *Attempt
	res          Result
	token        uint32
	news         News
	gen          int // of the roster that was asked
	addr         string
	load         chan<- Load
	table        *settings.Table
	done         chan<- struct{}
	known        chan<- Known
	agents, rank int
	alone        map[cluster.Addr]bool

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
	ctx       context.Context
	log       *slog.Logger
	account   func(*loss.Record)
	zoneNames map[string]int
	maxOpen   int
	classes   atomic.Pointer[[]settings.Class] // those in set
	transport Transport
	newRoster func(addr string, tell func(News)) Roster
	in        chan *input  // an agent that is idle holds none, so they are not kept by value
	waiting   atomic.Int64 // inputs that are queued or taken from the queue, and not handled
	running   atomic.Bool  // Run works
	ready     atomic.Bool  // a server can be sent to
	asked     atomic.Int64 // requests that have come

	// The lock guards what stands below.
	mu         sync.Mutex
	set        settings.Settings
	told       int // agents, as the settings say
	agents     int // as a view of the fleet says; 0: there is none
	bal        Decider
	todo       []input // what Run itself gave rise to, to be handled next
	base       time.Time
	baseMs     float64
	requests   map[policy.RequestID]*Request
	nextID     policy.RequestID
	ids        *IDs
	backends   []*backend // in the order in which they came to be listed
	byAddr     map[cluster.Addr]*backend
	roster     Roster
	rosterAddr string
	rosterGen  int
	seq        int64                 // version of the list at hand; 0 after a change of roster
	list       cluster.List          // whole, as the rosters told it
	alone      map[cluster.Addr]bool // servers that get nothing, whatever the roster says
	watching   bool
	actions    []policy.Action
	part       *part         // in a fleet; nil: in none
	reach      *doubt.Groups // of the module; nil: it doubts no zones
	changes    int           // of that, as last told
}

// New makes a core that ends with the context; its settings are validated. It is told
// the list in the options before it returns.
func New(ctx context.Context, o Options) (*Core, error) {
	set := capped(o.Settings, o.MaxOpen)
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
	c := &Core{ctx: ctx, set: set, told: set.Replicas, maxOpen: o.MaxOpen, log: o.Log, account: o.Account, zoneNames: o.Zones, transport: o.Transport, newRoster: o.NewRoster,
		in: make(chan *input, o.Queue), bal: bal, base: base, baseMs: float64(base.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*Request{}, byAddr: map[cluster.Addr]*backend{},
		ids: o.IDs}
	if c.ids == nil {
		c.ids = NewIDs(&set)
	}
	c.classes.Store(&c.set.Classes)
	if r, able := bal.(interface{ Reach() *doubt.Groups }); able {
		c.reach = r.Reach()
	}
	if o.Fleet != nil {
		if c.part, err = newPart(*o.Fleet, &c.set, o.Seed, c.baseMs); err != nil {
			return nil, err
		}
	}
	c.openRoster(o.RosterAddr)
	c.actions = c.bal.Start(c.clock(), c.actions[:0])
	c.act()
	c.learn(cluster.ListCached, &o.Known)
	if c.pushed() {
		c.follow()
	}
	return c, nil
}

// capped has the settings allow no more open requests than the agent has room for.
func capped(set settings.Settings, most int) settings.Settings {
	if set.Limits.OpenCap <= 0 || set.Limits.OpenCap > most {
		set.Limits.OpenCap = most
	}
	return set
}

// Longest is how long a request of any class may be open.
func Longest(set *settings.Settings) time.Duration {
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

// Asked is how many requests have come since the start.
func (c *Core) Asked() int64 { return c.asked.Load() }

// Ready tells whether there is a server to send to.
func (c *Core) Ready() bool { return c.ready.Load() }

// TurnTo turns to the roster at another address.
func (c *Core) TurnTo(addr string) { c.post(input{kind: inTurn, addr: addr}) }

// Turner is a Decider that can take other settings while it is at work, as policy.Balancer.UpdateSettings does.
type Turner interface {
	UpdateSettings(set settings.Settings, from []int)
}

// ErrSettled is why settings can't be changed.
var ErrSettled = errors.New("what decides takes no other settings")

// Turn takes another version of the settings and returns when its classes are known: requests that
// have come keep their numbers, which mean the same. An error has changed nothing.
func (c *Core) Turn(t *settings.Table) error {
	if _, able := c.bal.(Turner); !able {
		return ErrSettled
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

// Known is the list at hand, and the roster whose versions it counts in.
type Known struct {
	Roster string
	List   cluster.List   // Seq is 0 where the roster has not told it yet
	Silent []cluster.Addr `json:"-"` // those that have not answered this agent's last attempt
	ColdMs float64        `json:"-"` // how long a server is cold, by the settings
}

// Known tells the list at hand; none, once the core has ended.
func (c *Core) Known() Known {
	known := make(chan Known, 1)
	c.post(input{kind: inKnown, known: known})
	select {
	case k := <-known:
		return k
	case <-c.ctx.Done():
		return Known{}
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
			if a.Rest != nil {
				a.Rest.Leave()
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
	if r.Message.Rest != nil {
		r.complete = make(chan time.Time, 1) // all comes once
	}
	c.asked.Add(1)
	c.post(input{kind: inRequest, req: r})
	end := Answer{Outcome: Overdue}
	for waiting := true; waiting; {
		select {
		case ans := <-answers:
			return ans
		case deadline := <-r.complete:
			guard.Reset(time.Until(deadline) - guardMargin)
			continue
		case <-ctx.Done():
			end.Outcome = Gone
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
	if drop := (input{kind: inDropped, req: r}); !c.offer(drop) {
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
	r.reply, r.held = done, true
	c.asked.Add(1)
	c.post(input{kind: inRequest, req: r})
	return func() { c.post(input{kind: inWithdrawn, req: r}) }
}

// here handles an input in its bringer's goroutine, if that is free to do: it saves two
// changes of goroutine a request each.
func (c *Core) here(in input) bool {
	if !c.running.Load() || !c.mu.TryLock() {
		return false
	}
	defer c.mu.Unlock()
	if c.waiting.Load() != 0 || c.ctx.Err() != nil {
		return false
	}
	c.handle(in)
	return true
}

// post brings something that happened. It waits while the queue is full and returns at
// once when the core has ended.
func (c *Core) post(in input) {
	if c.here(in) {
		return
	}
	c.waiting.Add(1)
	queued := new(input)
	*queued = in
	select {
	case c.in <- queued:
	case <-c.ctx.Done():
	}
}

// offer is post, but that it does not wait; it reports whether there was room.
func (c *Core) offer(in input) bool {
	if c.here(in) {
		return true
	}
	c.waiting.Add(1)
	queued := new(input)
	*queued = in
	select {
	case c.in <- queued:
		return true
	default:
		c.waiting.Add(-1)
		return false
	}
}

// Run handles what is queued until the context ends. Before it runs all is queued.
func (c *Core) Run() {
	c.running.Store(true)
	for {
		select {
		case in := <-c.in:
			c.mu.Lock()
			c.handle(*in)
			c.waiting.Add(-1)
			c.mu.Unlock()
		case <-c.ctx.Done():
			return
		}
	}
}

// handle takes one input and all that it gives rise to.
func (c *Core) handle(in input) {
	c.one(in)
	for len(c.todo) > 0 {
		in, c.todo = c.todo[0], c.todo[1:]
		c.one(in)
	}
}

// one takes one input. A panic costs the request at hand its decision, and its guard
// answers it: one bad event must not take down all that the agent holds.
func (c *Core) one(in input) {
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
			c.settled(r, Gone)
			r.answered, r.dropped = true, in.kind == inWithdrawn
			c.tell(&policy.Event{Kind: policy.EvDropped, Request: r.id})
			c.unsend(r)
			c.forget(r)
		}
	case inOutcome:
		c.onOutcome(in.att, &in.res)
	case inWhole:
		c.onWhole(in.att)
	case inStarted:
		c.onStarted(in.att, &in.res)
	case inTimer:
		c.tell(&policy.Event{Kind: policy.EvTimer, Token: in.token})
	case inTurn:
		c.turnTo(in.addr)
	case inFollow:
		c.follow()
	case inWatch:
		if in.gen == c.rosterGen {
			c.roster.Watch(c.seq, false)
		}
	case inProbe:
		c.probe(in.server)
	case inCrowd:
		c.crowd(in.agents, in.rank)
	case inAlone:
		c.leaveAlone(in.alone)
		close(in.done)
	case inPlan:
		c.replan()
	case inSettings:
		c.set = capped(in.table.Settings, c.maxOpen)
		c.told = c.set.Replicas
		c.set.Replicas = max(c.told, c.agents)
		c.classes.Store(&c.set.Classes)
		c.ids.keep(Longest(&c.set) + idMargin)
		c.bal.(Turner).UpdateSettings(c.set, in.table.From)
		close(in.done)
	case inKnown:
		in.known <- Known{Roster: c.rosterAddr, List: cluster.List{Seq: c.seq, Complete: true, Servers: slices.Clone(c.list.Servers)}, Silent: c.silent(), ColdMs: c.set.Contract.ColdMs}
	case inProbed:
		c.onProbed(in.att, &in.res)
	case inLoad:
		l := Load{Requests: len(c.requests), Servers: len(c.backends)}
		for _, r := range c.requests {
			l.Attempts += r.open
		}
		in.load <- l
	case inNews:
		if in.gen == c.rosterGen { // else of a roster that is asked no more
			c.onNews(&in.news)
		}
	}
}

// tell hands the module one event and carries out what it decides.
func (c *Core) tell(ev *policy.Event) {
	c.actions = c.bal.Handle(c.clock(), ev, c.actions[:0])
	if c.reach != nil && c.reach.Changes() != c.changes {
		c.changes = c.reach.Changes()
		if zones, all := c.reach.Suspected(); all {
			c.log.Warn("no zone answers: this agent's own way may be cut")
		} else {
			c.log.Warn("zones that answer nothing come last", "zones", c.zones(zones))
		}
	}
	c.act()
}

// zones names zones, as far as the core was told how.
func (c *Core) zones(of []int) []string {
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
	if !r.Crossed && !c.ids.add(r.ID, time.Now()) {
		c.answer(r, Answer{Outcome: Repeated})
		return
	}
	c.nextID++
	if c.nextID == 0 {
		c.nextID++
	}
	r.id = c.nextID
	r.most = c.set.Limits.MaxAttempts
	if r.Tries > 0 {
		r.most = min(r.most, r.Tries)
	}
	c.requests[r.id] = r
	if c.account != nil {
		r.kept.came = time.Now()
	}
	c.tell(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: r.Class, Tenant: r.Tenant,
		Key: r.Key, LeftMs: float64(time.Until(r.Deadline)) / float64(time.Millisecond),
		HintMs: r.HintMs, HasHint: r.HasHint, Retry: r.Retry, Tries: r.Tries, Coming: r.Message.Rest != nil})
}

// onWhole has a request's time begin: its server has all of it.
func (c *Core) onWhole(a *Attempt) {
	r := a.Request
	if a.ended || r.answered {
		return
	}
	r.Deadline = a.deadline
	a.timer.Reset(time.Until(r.Deadline))
	select {
	case r.complete <- r.Deadline:
	default: // nobody waits any more
	}
	c.tell(&policy.Event{Kind: policy.EvBodyComplete, Request: r.id, Attempt: a.index, LeftMs: float64(r.Left) / float64(time.Millisecond)})
}

// onStarted gives a request the answer that begins, unless it has one.
func (c *Core) onStarted(a *Attempt, res *Result) {
	r := a.Request
	if a.ended || r.answered {
		res.Rest.Leave()
		return
	}
	c.tell(&policy.Event{Kind: policy.EvStarted, Request: r.id, Attempt: a.index, Server: a.backend.addr})
	r.ran = true
	c.answer(r, Answer{Outcome: Served, Body: res.Body, Rest: res.Rest, Length: res.Length, ContentType: res.ContentType})
}

func (c *Core) onOutcome(a *Attempt, res *Result) {
	if a.ended {
		return // stopped before its first byte, which its transport tells only now
	}
	a.ended = true
	r, b := a.Request, a.backend
	b.attempts = slices.DeleteFunc(b.attempts, func(o *Attempt) bool { return o == a })
	c.drop(b)
	r.open--
	if res.panicked != nil {
		c.log.Error("attempt ended", "err", res.panicked)
	}
	c.crowded(a, res)
	b.heed(res.Status)
	c.tried(a, res)
	r.ran = r.ran || !res.Status.NeverRan()
	r.spent += res.Spent
	if res.Status == policy.NoWay && r.most < policy.MostTries {
		r.most++ // as the module counts
	}
	if res.Status == policy.OK {
		c.answer(r, Answer{Outcome: Served, Body: res.Body, Length: res.Length, ContentType: res.ContentType})
	}
	if res.Status == policy.Timeout {
		// The machine may have vanished; its other connections would be as silent.
		b.endpoint.CloseIdle()
	}
	c.tell(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.Status, LatencyMs: float64(res.took) / float64(time.Millisecond),
		Final: r.answered, Tries: r.unrepeatable(res.Spent), Report: report(res.Load, c.set.Report.Names)})
	c.forget(r)
}

// answer gives a request its final answer, unless it has one.
func (c *Core) answer(r *Request, a Answer) {
	if !r.answered {
		c.settled(r, a.Outcome)
		r.answered = true
		a.Ran, a.Attempts = r.ran || r.begun(), len(r.attempts)+r.spent
		r.reply(a)
		c.unsend(r)
	}
}

// unsend stops what of a request that is over has not begun, here or behind a gateway, whether
// or not the settings allow to cancel what has: it would be work that nobody waits for.
func (c *Core) unsend(r *Request) {
	for _, a := range r.attempts {
		if !c.stop(a, ErrCancelled, policy.Cancelled) && !a.ended && a.Unwanted != nil && a.ctx.Err() == nil {
			go a.Unwanted()
		}
	}
}

// forget drops a request that is answered and has no attempt out.
func (c *Core) forget(r *Request) {
	if r.answered && r.open == 0 {
		if c.requests[r.id] == r {
			c.accounted(r)
		}
		delete(c.requests, r.id)
		if r.dropped {
			r.dropped = false
			r.reply(Answer{Outcome: Gone, Ran: r.ran, Attempts: len(r.attempts) + r.spent})
		}
	}
}

// act carries out the module's actions in their order.
func (c *Core) act() {
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
				c.forget(r)
				c.refused()
			}
		case policy.ActFail:
			if r != nil {
				c.answer(r, Answer{Outcome: Failed})
				c.forget(r)
			}
		case policy.ActProbe:
			server := act.Server
			c.later(c.part.probe(), input{kind: inProbe, server: server}, func() { c.probe(server) })
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
	a.tell = func(kind inKind, res *Result) {
		in := input{kind: kind, att: a}
		if res != nil {
			in.res = *res
		}
		c.post(in)
	}
	if act.BeginMs > 0 {
		a.lapses = a.started.Add(ms(act.BeginMs))
	}
	if !r.BeginBy.IsZero() && (a.lapses.IsZero() || r.BeginBy.Before(a.lapses)) {
		a.lapses = r.BeginBy
	}
	a.Left = r.most - len(r.attempts) - r.spent
	r.attempts = append(r.attempts, a)
	r.open++
	if !b.usable || r.answered {
		// The module sends to what is listed as ready only; should it not, nothing goes out.
		c.stop(a, nil, policy.Moot)
		return
	}
	b.attempts = append(b.attempts, a)
	if err := b.endpoint.Start(a); err != nil {
		c.stop(a, err, neverRan(err))
	}
}
