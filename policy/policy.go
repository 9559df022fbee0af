package policy

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/asking"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/calm"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/cold"
	"molepaddle/internal/decide/doubt"
	"molepaddle/internal/decide/hotkeys"
	"molepaddle/internal/decide/pace"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/decide/unserved"
	"molepaddle/internal/decide/weights"
	"molepaddle/internal/decide/worth"
)

const (
	capFactor   = 3.0 // c: how far above its even share of the attempts a server may go
	firstWindow = 2.0 // attempts an unmeasured server may hold
	// leastWindow is left to the most crowded server: enough to see when it is not.
	leastWindow, tipFactor = 0.1, 2.5
	// keyWait is the part of its aim that a request may wait for the keyServers nearest its key.
	keyWait, keyServers = 0.25, 2
	hopeless            = 0.7 // least part of its expected time that a hinted request needs
	maxStrikes          = 5   // bounds the doubling of a bad server's hold
	// smooth is the weight of an answer in a server's mean; fade is over about 500 requests.
	smooth, fade = 0.2, 0.998
	// failWeight is an attempt's weight in its server's share of failures, failShare the least
	// median of these shares with which failures are the fleet's.
	failWeight, failShare = 0.05, 0.01
	// trySpan is for how many aims attempts count that earned nothing, mostSlow how many times
	// as long as elsewhere an answer may take, adviceSpread the part of advice left to chance.
	trySpan, mostSlow, adviceSpread = 10.0, 8.0, 0.5

	leastServers = pace.LeastServers
	maxHeld      = 512 // bounds the requests held for room, and so the work of a decision
	coldBurst    = 1.0 // what a cold server's credit saves up at the most: all may spend it at once
	probeCap     = 2   // bounds the validations under way at once

	tickToken, followToken = 1, 2
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set              settings.Settings
	rng              *rand.Rand
	now              float64
	out              []Action
	servers          []*server // by rank and order
	least            int       // fewest servers to keep to, by the list; 0: none told
	byAddr           map[cluster.Addr]*server
	requests         map[RequestID]*request
	held             []*request
	tier             []*server // scratch of pick
	shares           []float64 // scratch of common
	unserved         unserved.Memory
	keys             hotkeys.Keys
	doubt            *doubt.Groups // zones out of reach
	warm, warmAt     float64       // weight of warm servers, and of when: at warmAt and warmEpoch
	warmEpoch        uint64
	epoch            uint64 // counts changes of tiers and list
	inflight, probes int
	needs            *budget.Needs // answer times
	retries          *budget.Retries
	throttle         *budget.Throttle
	calm             *calm.Calm // answer times as parts of the aim
	cold             *cold.Share
	weights          *weights.Weights
	usage            arith.Shares // tenants' shares of requests
	worth            *worth.Tally
	asking           asking.Asking
	aimMin           float64
	lookedAt         float64 // last fetch of the list
	pace             pace.Pace
	ticking          bool
	scarce           bool // requests that would take any server find no room
}

// New returns the balancer of one agent, or an error that names a setting. Its randomness is the seed's.
func New(set settings.Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, arith.Mix(seed))),
		byAddr: map[cluster.Addr]*server{}, doubt: doubt.New(),
		requests: map[RequestID]*request{}, usage: make([]float64, len(set.Tenants)),
		unserved: unserved.New(&set, maxHeld), lookedAt: math.Inf(-1), keys: hotkeys.New()}
	b.needs, b.retries = budget.NewNeeds(nil), budget.NewRetries(len(set.Classes))
	b.calm, b.cold = calm.New(set.Replicas), cold.New(&b.set.Contract)
	b.worth, b.asking = worth.New(&b.set), asking.New(set.Contract.AskWithinMs)
	b.weights = weights.New(set.Zone, set.Prices.CrossZone, set.Weights == "off")
	b.Turn(set, make([]int, len(set.Classes)))
	return b, nil
}

// Turn takes other settings, validated, from the next event on. Classes and tenants that are known
// keep their numbers; a new class i is taken for one like class from[i], if there is one.
func (b *Balancer) Turn(set settings.Settings, from []int) {
	b.set, b.aimMin = set, math.Inf(1)
	var first []float64
	for _, c := range set.Classes {
		first = append(first, c.AimMs*calm.CrowdShare/2)
		if !c.Retired {
			b.aimMin = min(b.aimMin, c.AimMs)
		}
	}
	b.needs.Fit(first, from)
	b.retries.Fit(from)
	b.worth.Fit(from)
	b.unserved.Fit(&b.set)
	b.usage = append(b.usage, make([]float64, len(set.Tenants)-len(b.usage))...)
	b.throttle = b.throttle.Over(trySpan * b.aimMin)
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.out, b.pace = now, out, pace.New(now)
	if b.set.Membership == "on_request" {
		b.do(Action{Kind: ActTimer, Ms: b.asking.First(b.rng.Float64()), Token: followToken})
	}
	return b.out
}

// Handle takes one event and appends the actions it calls for to out; what is unknown is ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.out = now, out
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvStarted, EvWhole:
		r := b.requests[ev.Request]
		if r == nil || r.closed || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) {
			break
		}
		if a := r.attempts[ev.Attempt]; ev.Kind == EvStarted {
			r.started, a.s.heard = true, now
			r.aimAt = arith.Met(now, r.aimAt) // an answer counts from its first byte
			b.leave(a)                        // how slowly the rest is read says nothing of its server
			if !r.coming {
				b.served(a, now-a.sentAt) // else nothing says how long it took
			}
		} else if r.coming {
			r.coming, a.sentAt = false, now
			b.count(r, ev.LeftMs, false)
			b.join(a)
		}
	case EvDropped:
		if r := b.requests[ev.Request]; r != nil && !r.closed {
			b.unserved.Add(r.class, r.key, r.first, b.now)
			b.close(r)
		}
	case EvList:
		b.onList(ev)
	case EvProbed:
		b.onProbed(ev)
	case EvTimer:
		b.onTimer(ev.Token)
	}
	b.dispatch()
	b.arm()
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

// arm keeps one timer running while there is something to watch.
func (b *Balancer) arm() {
	if !b.ticking && (len(b.held) > 0 || b.inflight > 0) {
		b.ticking = true
		b.do(Action{Kind: ActTimer, Ms: max(2*b.set.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	if token == followToken {
		b.do(Action{Kind: ActFollow})
	} else if token == tickToken {
		b.ticking = false
		b.watchSilence()
		b.expire()
	}
}

// Reach is what the Balancer believes of the way to whole zones; to read only.
func (b *Balancer) Reach() *doubt.Groups { return b.doubt }

// attempt is one send of a request.
type attempt struct {
	r            *request
	s            *server
	index        int
	sentAt, cost float64
	alone, done  bool // alone: no other of this agent was out on its server
}

// request is one try of a client, kept until it is answered and no attempt is out.
type request struct {
	id             RequestID
	class, tenant  int
	key            uint64
	hash           uint64 // what orders the servers for it
	hint           float64
	first          float64 // when the client's first try came, as far as known
	arrived, aimAt float64
	deadline       float64 // margin already taken off
	attempts       []*attempt
	tries          int     // attempts it may have
	again          float64 // when it looks for a way again, having found none
	open, risky    int     // attempts out, attempts that may have run
	ranAt          float64
	ranOn          *server
	near           [keyServers]*server // nearest its key, as of epoch
	epoch          uint64
	tierWeight     float64 // of the tier at its last pick
	value          float64
	closed         bool
	started        bool // a streamed answer belongs to the client now
	coming         bool // its body has not come whole: its time has not begun
}

func (b *Balancer) onRequest(ev *Event) {
	if b.requests[ev.Request] != nil {
		return
	}
	if ev.Class < 0 || ev.Class >= len(b.set.Classes) {
		b.end(&request{id: ev.Request}) // still owed an answer; nothing of it ran
		return
	}
	c := &b.set.Classes[ev.Class]
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key, coming: ev.Coming,
		tries: cmp.Or(min(max(ev.Tries, 0), b.set.Limits.MaxAttempts), b.set.Limits.MaxAttempts)}
	if r.hint = arith.Finite(ev.HintMs); !ev.HasHint {
		r.hint = 0
	}
	b.needs.Asked(r.hint)
	b.count(r, ev.LeftMs, ev.Retry)
	r.hash = b.split(r.key)
	b.requests[r.id] = r
	b.pace.Asked(b.now, b.set.Limits.KeepaliveMs)
	b.usage.Add(r.tenant, fade)
	b.worth.Asked(r.class)
	b.retries.Asked(r.class, b.now)
	b.revalidate()
	b.held = append(b.held, r)
	// One whose hinted work cannot fit the aim anywhere would only keep others waiting.
	if b.late(r) || r.hint > 0 && c.LateShare == 0 && hopeless*b.needs.Hinted(r.hint) > r.aimAt-b.now {
		b.end(r)
	}
}

// count has a request's time begin now.
func (b *Balancer) count(r *request, left float64, retry bool) {
	c, left := &b.set.Classes[r.class], arith.Finite(left)
	r.arrived, r.first, r.again, r.deadline = b.now, b.now, b.now, b.now+left-min(b.set.RoundMs, left/4)
	if retry {
		r.first = b.unserved.Recall(r.class, r.key, r.arrived)
	}
	r.aimAt = min(r.first+c.AimMs+c.AimStretch*r.hint, r.deadline)
}

// join counts an attempt among those that its server is at work on, leave no more.
func (b *Balancer) join(a *attempt) {
	a.s.out = append(a.s.out, a)
	b.inflight++
}

func (b *Balancer) leave(a *attempt) {
	if i := slices.Index(a.s.out, a); i >= 0 {
		a.s.out = slices.Delete(a.s.out, i, i+1)
		b.inflight--
	}
}

// value is the worth that a unit of server time spent on the request earns.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	v := b.worth.Of(r.class)
	if b.now+b.expected(r) > r.aimAt {
		v *= c.LateShare + b.set.Prices.LateFail
	}
	// A tenant that sends more than its portion of what comes.
	if t := r.tenant; t >= 0 && t < len(b.usage) && b.usage[t] > 1.1*b.set.Tenants[t].Portion {
		v *= b.set.OverShareWorth
	}
	if b.set.WorthBy != "work" {
		v /= b.needs.Mean(r.class)
	}
	return v
}

// dispatch sends what is held as far as there is room: the most valuable first, of equals the newest.
func (b *Balancer) dispatch() {
	for _, r := range b.held {
		r.value = b.value(r)
	}
	slices.SortFunc(b.held, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.scarce = false
	for i, failures := 0, 0; i < len(b.held) && failures < 4 && b.throttle.Open(b.now); {
		r := b.held[i]
		if near := r.near; b.waits(r) && near[0] != nil && r.epoch == b.epoch &&
			!b.takes(near[0], r) && !b.takes(near[1], r) {
			i++
			continue
		}
		if s := b.pick(r); s != nil && b.send(r, s) {
			b.held = slices.Delete(b.held, i, i+1)
			continue
		}
		i++
		if !b.waits(r) && b.now >= r.again {
			failures++
		}
		b.scarce = failures > 0
	}
	for most := b.set.Limits.OpenCap; len(b.held) > maxHeld || // more than the agent can bear
		len(b.held) > 0 && most > 0 && len(b.held)+b.inflight > most; {
		b.end(b.held[len(b.held)-1])
	}
}

// expire ends held requests that can no longer earn anything.
func (b *Balancer) expire() {
	for _, r := range slices.Clone(b.held) {
		if b.now+b.expected(r) > b.last(r) || b.now >= r.deadline {
			b.end(r)
		}
	}
}

// last is until when an answer to the request earns something.
func (b *Balancer) last(r *request) float64 {
	if b.set.Classes[r.class].LateShare > 0 {
		return r.deadline
	}
	return r.aimAt
}

// late tells whether no server can end the request in time, as need has it.
func (b *Balancer) late(r *request) bool { return b.now+b.expected(r)/2 > b.last(r) }

// need is the least time with which the request is begun at the server: half of what an
// answer there takes on the mean. At the whole mean as much was given up as was saved.
func (b *Balancer) need(s *server, r *request) float64 {
	if r.coming {
		return 0 // its time begins when all of it has come
	}
	slow := max(s.lat/max(b.calm.Fleet, s.lat/mostSlow, 1e-9), 1)
	return slow * b.expected(r) / 2
}

// expected is how long an answer to the request takes, on the mean.
func (b *Balancer) expected(r *request) float64 { return b.needs.Of(r.class, r.hint) }

// cost is the work of a request in units of the mean one, and never less: hints are rough (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.needs.MeanHint {
		return r.hint / b.needs.MeanHint
	}
	return 1
}

// hasRoom bounds what a server holds: its window, one until it is validated, a cold one's credit.
func (b *Balancer) hasRoom(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		if len(s.out) > 0 {
			return false
		}
	} else if len(s.out) >= max(int(s.window), 1) || s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		// A window under one is kept by pausing: of many agents even one attempt each can be too much.
		return false
	}
	switch {
	case b.ramp(s) == 1 || s.credit >= b.cost(r):
		return true
	case b.warmWeight() > 0:
		return false
	case !b.cold.Known():
		v := cold.Unmeasured{Out: len(s.out), Window: s.window, Draw: s.credit, Rtt: s.rtt,
			Mean: b.needs.Mean(r.class), Aim: b.set.Classes[r.class].AimMs, Replicas: b.set.Replicas,
			Listed: b.now - s.since, Sent: b.now - s.sentAt, New: s.sentAt == 0}
		return v.Room()
	}
	return b.cold.Earned(b.now-s.sentAt, s.weight, b.ramp(s)) >= b.cost(r)
}

// ramp is the part of its capacity that a started server has by contract.
func (b *Balancer) ramp(s *server) float64 {
	age := b.now - s.startedAt
	return cold.Ramp(&b.set.Contract, age, s.startedAt, s.listedAt)
}

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in hasRoom.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.open > 0 || b.now >= r.deadline || b.now < r.again ||
		len(r.attempts) >= r.tries {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.risky == 0 {
		return true
	}
	c := &b.set.Classes[r.class]
	switch c.Effect {
	case settings.Free:
		return true
	case settings.Guarded:
		if b.now-r.ranAt > c.KeyTTLMs-2*b.set.RoundMs {
			return false
		}
		return c.Group == settings.GroupAll || c.Group == settings.GroupZone && s.zone == r.ranOn.zone ||
			c.Group == settings.GroupCell && s.cell == r.ranOn.cell
	}
	return false
}

func (b *Balancer) send(r *request, s *server) bool {
	if !b.maySend(r, s) {
		return false
	}
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.out) == 0, sentAt: b.now, cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.open++
	begin := b.last(r) - b.need(s, r) // connecting may take all that is left
	if r.risky == 0 {
		r.ranAt, r.ranOn = b.now, s
	} else if c := &b.set.Classes[r.class]; c.Effect == settings.Guarded {
		begin = min(begin, r.ranAt+c.KeyTTLMs-2*b.set.RoundMs) // and outlast the window
	}
	begin = max(begin-b.now, math.SmallestNonzeroFloat64)
	r.risky++
	if !r.coming { // a server begins when all has come
		b.join(a)
	}
	if s.sentAt > 0 {
		s.gap = arith.Mean(s.gap, b.now-s.sentAt, smooth)
	}
	s.sentAt = b.now
	b.doubt.Sent(s.zone, b.now, b.aimMin)
	if b.ramp(s) < 1 {
		s.credit -= a.cost
	}
	b.do(Action{Kind: ActSend, Request: r.id, Server: s.id, Ms: r.deadline - b.now, BeginMs: begin})
	return true
}

// end is the guard of final answers but served ones: a refusal where a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.unserved.Add(r.class, r.key, r.first, b.now)
	c := &b.set.Classes[r.class]
	harmless := r.risky == 0 || c.Effect == settings.Free ||
		c.Effect == settings.Guarded && c.Group == settings.GroupAll
	b.close(r)
	if harmless {
		// Who is refused in one moment must not all come back in one.
		again := b.set.Limits.MaxRetryAfterMs * (1 - adviceSpread*b.rng.Float64())
		b.do(Action{Kind: ActRefuse, Request: r.id, Ms: again})
	} else {
		b.do(Action{Kind: ActFail, Request: r.id})
	}
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.held, r); i >= 0 {
		b.held = slices.Delete(b.held, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancelling {
			b.do(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.open == 0 {
		delete(b.requests, r.id)
	}
}

func (b *Balancer) onOutcome(ev *Event) {
	r := b.requests[ev.Request]
	if r == nil || ev.Attempt < 0 || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].done {
		return
	}
	a := r.attempts[ev.Attempt]
	s := a.s
	a.done = true
	r.tries -= ev.Tries // a gateway that it went through made more of it
	if ev.Status == NoWay && r.tries < MostTries {
		rounds := len(r.attempts) / max(len(b.servers), 1) // it went nowhere: to the others at once
		r.tries, r.again = r.tries+1, b.now+b.set.Classes[r.class].AimMs/MostTries*float64(rounds)
	}
	r.open--
	b.leave(a)
	if ev.Status.NeverRan() {
		r.risky--
	}
	if len(s.out) == 0 && b.pace.HangsUp(&b.set, b.now, s.gap, len(b.servers)) {
		b.do(Action{Kind: ActClose, Server: s.id})
	}
	// Not where nothing was tried, or a client went in time: a crowd closed it for seconds.
	if ev.Status != NoWay && (!r.closed || b.now > r.aimAt) {
		// With a request or two out at each of a thousand agents no server's window holds back
		// the crowd: each full answer went on to the next, until requests went out nine times.
		b.throttle.Ended(b.now, b.set.Classes[r.class].Earned(ev.Status == OK, b.now <= r.aimAt))
	}
	b.judge(a, ev.Status, arith.Finite(ev.LatencyMs))
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.further(r, ev.Status)
	}
}

// further holds an unanswered request for another server where class and time allow, or ends it.
func (b *Balancer) further(r *request, why Status) {
	c := &b.set.Classes[r.class]
	able := r.risky == 0 || c.Effect == settings.Free || c.Effect == settings.Guarded
	reached := why != ConnectFailed && why != NoWay // else no server had any of it
	if !able || len(r.attempts) >= r.tries || why == Moot || b.late(r) ||
		reached && !b.retries.Take(r.class, b.now, b.rng.Float64()) {
		b.end(r)
		return
	}
	b.held = append(b.held, r)
}
