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
	loadBoundFactor = 3.0 // c: how far above its even share of the attempts a server may go
	firstWindow     = 2.0 // attempts an unmeasured server may hold
	// minWindow is left to the most crowded server: enough to see when it is not.
	minWindow, crowdedFactor = 0.1, 2.5
	// affinityWaitShare is the part of its aim that a request may wait for the affinityServers nearest
	// its key.
	affinityWaitShare, affinityServers = 0.25, 2
	minHintedTimeShare                 = 0.7 // least part of its expected time that a hinted request needs
	maxStrikes                         = 5   // bounds the doubling of a bad server's hold
	// smoothing is the weight of an answer in a server's mean; fade is over about 500 requests.
	smoothing, usageDecay = 0.2, 0.998
	// failureSmoothing is an attempt's weight in its server's share of failures, fleetFailureShare the least
	// median of these shares with which failures are the fleet's.
	failureSmoothing, fleetFailureShare = 0.05, 0.01
	// throttleSpanTargets is for how many aims attempts count that earned nothing, maxSlowdown how many times
	// as long as elsewhere an answer may take, retryAfterJitter the part of advice left to chance.
	throttleSpanTargets, maxSlowdown, retryAfterJitter = 10.0, 8.0, 0.5

	minSubset          = pace.LeastServers
	maxQueued          = 512 // bounds the requests held for room, and so the work of a decision
	maxSlowStartCredit = 1.0 // what a cold server's credit saves up at the most: all may spend it at once
	maxProbes          = 2   // bounds the validations under way at once

	tickToken, followToken = 1, 2
)

// Balancer makes the decisions of one agent. It is not safe for concurrent use.
type Balancer struct {
	set              settings.Settings
	rng              *rand.Rand
	now              float64
	actions          []Action
	servers          []*server // by rank and order
	minServers       int       // fewest servers to keep to, by the list; 0: none told
	byAddr           map[cluster.Addr]*server
	requests         map[RequestID]*request
	queue            []*request
	tierScratch      []*server // scratch of pick
	shareScratch     []float64 // scratch of common
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
	minLatencyTarget float64
	refetchedAt      float64 // last fetch of the list
	pace             pace.Pace
	ticking          bool
	saturated        bool // requests that would take any server find no room
}

// New returns the balancer of one agent, or an error that names a setting. Its randomness is the seed's.
func New(set settings.Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, arith.Mix(seed))),
		byAddr: map[cluster.Addr]*server{}, doubt: doubt.New(),
		requests: map[RequestID]*request{}, usage: make([]float64, len(set.Tenants)),
		unserved: unserved.New(&set, maxQueued), refetchedAt: math.Inf(-1), keys: hotkeys.New()}
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
	b.set, b.minLatencyTarget = set, math.Inf(1)
	var first []float64
	for _, c := range set.Classes {
		first = append(first, c.AimMs*calm.CrowdShare/2)
		if !c.Retired {
			b.minLatencyTarget = min(b.minLatencyTarget, c.AimMs)
		}
	}
	b.needs.Fit(first, from)
	b.retries.Fit(from)
	b.worth.Fit(from)
	b.unserved.Fit(&b.set)
	b.usage = append(b.usage, make([]float64, len(set.Tenants)-len(b.usage))...)
	b.throttle = b.throttle.Over(throttleSpanTargets * b.minLatencyTarget)
}

// Start gives the first actions of a new agent and appends them to out.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now, b.actions, b.pace = now, out, pace.New(now)
	if b.set.Membership == "on_request" {
		b.emit(Action{Kind: ActTimer, Ms: b.asking.First(b.rng.Float64()), Token: followToken})
	}
	return b.actions
}

// Handle takes one event and appends the actions it calls for to out; what is unknown is ignored.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now, b.actions = now, out
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
			r.started, a.s.lastContact = true, now
			r.targetAt = arith.Met(now, r.targetAt) // an answer counts from its first byte
			b.endWork(a)                            // how slowly the rest is read says nothing of its server
			if !r.bodyPending {
				b.recordServed(a, now-a.sentAt) // else nothing says how long it took
			}
		} else if r.bodyPending {
			r.bodyPending, a.sentAt = false, now
			b.startClock(r, ev.LeftMs, false)
			b.beginWork(a)
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
	b.armTimer()
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// armTimer keeps one timer running while there is something to watch.
func (b *Balancer) armTimer() {
	if !b.ticking && (len(b.queue) > 0 || b.inflight > 0) {
		b.ticking = true
		b.emit(Action{Kind: ActTimer, Ms: max(2*b.set.RoundMs, 5), Token: tickToken})
	}
}

func (b *Balancer) onTimer(token uint32) {
	if token == followToken {
		b.emit(Action{Kind: ActFollow})
	} else if token == tickToken {
		b.ticking = false
		b.demoteUnresponsive()
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
	id                 RequestID
	class, tenant      int
	key                uint64
	hash               uint64 // what orders the servers for it
	hint               float64
	first              float64 // when the client's first try came, as far as known
	arrived, targetAt  float64
	deadline           float64 // margin already taken off
	attempts           []*attempt
	maxAttempts        int     // attempts it may have
	retryAt            float64 // when it looks for a way again, having found none
	inFlight, maybeRan int     // attempts out, attempts that may have run
	ranAt              float64
	ranOn              *server
	affinityServers    [affinityServers]*server // nearest its key, as of epoch
	epoch              uint64
	tierWeight         float64 // of the tier at its last pick
	value              float64
	closed             bool
	started            bool // a streamed answer belongs to the client now
	bodyPending        bool // its body has not come whole: its time has not begun
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
	r := &request{id: ev.Request, class: ev.Class, tenant: ev.Tenant, key: ev.Key, bodyPending: ev.Coming,
		maxAttempts: cmp.Or(min(max(ev.Tries, 0), b.set.Limits.MaxAttempts), b.set.Limits.MaxAttempts)}
	if r.hint = arith.Finite(ev.HintMs); !ev.HasHint {
		r.hint = 0
	}
	b.needs.Asked(r.hint)
	b.startClock(r, ev.LeftMs, ev.Retry)
	r.hash = b.affinityHash(r.key)
	b.requests[r.id] = r
	b.pace.Asked(b.now, b.set.Limits.KeepaliveMs)
	b.usage.Add(r.tenant, usageDecay)
	b.worth.Asked(r.class)
	b.retries.Asked(r.class, b.now)
	b.revalidate()
	b.queue = append(b.queue, r)
	// One whose hinted work cannot fit the aim anywhere would only keep others waiting.
	if b.tooLate(r) || r.hint > 0 && c.LateShare == 0 &&
		minHintedTimeShare*b.needs.Hinted(r.hint) > r.targetAt-b.now {
		b.end(r)
	}
}

// startClock has a request's time begin now.
func (b *Balancer) startClock(r *request, left float64, retry bool) {
	c, left := &b.set.Classes[r.class], arith.Finite(left)
	r.arrived, r.first, r.retryAt, r.deadline = b.now, b.now, b.now, b.now+left-min(b.set.RoundMs, left/4)
	if retry {
		r.first = b.unserved.Recall(r.class, r.key, r.arrived)
	}
	r.targetAt = min(r.first+c.AimMs+c.AimStretch*r.hint, r.deadline)
}

// beginWork counts an attempt among those that its server is at work on, leave no more.
func (b *Balancer) beginWork(a *attempt) {
	a.s.inFlight = append(a.s.inFlight, a)
	b.inflight++
}

func (b *Balancer) endWork(a *attempt) {
	if i := slices.Index(a.s.inFlight, a); i >= 0 {
		a.s.inFlight = slices.Delete(a.s.inFlight, i, i+1)
		b.inflight--
	}
}

// value is the worth that a unit of server time spent on the request earns.
func (b *Balancer) value(r *request) float64 {
	c := &b.set.Classes[r.class]
	v := b.worth.Of(r.class)
	if b.now+b.expectedAnswerMs(r) > r.targetAt {
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
	for _, r := range b.queue {
		r.value = b.value(r)
	}
	slices.SortFunc(b.queue, func(x, y *request) int {
		return cmp.Or(cmp.Compare(y.value, x.value), cmp.Compare(y.arrived, x.arrived),
			cmp.Compare(x.id, y.id))
	})
	// One that waits for its key's servers is passed over; of others a few failures tell.
	b.saturated = false
	for i, failures := 0, 0; i < len(b.queue) && failures < 4 && b.throttle.Open(b.now); {
		r := b.queue[i]
		if near := r.affinityServers; b.waitsForAffinity(r) && near[0] != nil && r.epoch == b.epoch &&
			!b.underCap(near[0], r) && !b.underCap(near[1], r) {
			i++
			continue
		}
		if s := b.selectServer(r); s != nil && b.send(r, s) {
			b.queue = slices.Delete(b.queue, i, i+1)
			continue
		}
		i++
		if !b.waitsForAffinity(r) && b.now >= r.retryAt {
			failures++
		}
		b.saturated = failures > 0
	}
	for most := b.set.Limits.OpenCap; len(b.queue) > maxQueued || // more than the agent can bear
		len(b.queue) > 0 && most > 0 && len(b.queue)+b.inflight > most; {
		b.end(b.queue[len(b.queue)-1])
	}
}

// expire ends held requests that can no longer earn anything.
func (b *Balancer) expire() {
	for _, r := range slices.Clone(b.queue) {
		if b.now+b.expectedAnswerMs(r) > b.latestUseful(r) || b.now >= r.deadline {
			b.end(r)
		}
	}
}

// latestUseful is until when an answer to the request earns something.
func (b *Balancer) latestUseful(r *request) float64 {
	if b.set.Classes[r.class].LateShare > 0 {
		return r.deadline
	}
	return r.targetAt
}

// tooLate tells whether no server can end the request in time, as need has it.
func (b *Balancer) tooLate(r *request) bool { return b.now+b.expectedAnswerMs(r)/2 > b.latestUseful(r) }

// minRemaining is the least time with which the request is begun at the server: half of what an
// answer there takes on the mean. At the whole mean as much was given up as was saved.
func (b *Balancer) minRemaining(s *server, r *request) float64 {
	if r.bodyPending {
		return 0 // its time begins when all of it has come
	}
	slow := max(s.latencyRatio/max(b.calm.Fleet, s.latencyRatio/maxSlowdown, 1e-9), 1)
	return slow * b.expectedAnswerMs(r) / 2
}

// expectedAnswerMs is how long an answer to the request takes, on the mean.
func (b *Balancer) expectedAnswerMs(r *request) float64 { return b.needs.Of(r.class, r.hint) }

// cost is the work of a request in units of the mean one, and never less: hints are rough (i299663).
func (b *Balancer) cost(r *request) float64 {
	if r.hint > b.needs.MeanHint {
		return r.hint / b.needs.MeanHint
	}
	return 1
}

// hasCapacity bounds what a server holds: its window, one until it is validated, a cold one's credit.
func (b *Balancer) hasCapacity(s *server, r *request) bool {
	if s.state >= UnhealthyPending {
		if len(s.inFlight) > 0 {
			return false
		}
	} else if len(s.inFlight) >= max(int(s.window), 1) || s.window < 1 && b.now-s.sentAt < s.rtt/s.window {
		// A window under one is kept by pausing: of many agents even one attempt each can be too much.
		return false
	}
	switch {
	case b.ramp(s) == 1 || s.slowStartCredit >= b.cost(r):
		return true
	case b.warmWeight() > 0:
		return false
	case !b.cold.Known():
		v := cold.Unmeasured{Out: len(s.inFlight), Window: s.window, Draw: s.slowStartCredit, Rtt: s.rtt,
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

// maySend is the guard of all attempts: rules 2, 3 and the limits. Rule 4 is in hasCapacity.
func (b *Balancer) maySend(r *request, s *server) bool {
	if !s.usable || r.closed || r.started || r.inFlight > 0 || b.now >= r.deadline || b.now < r.retryAt ||
		len(r.attempts) >= r.maxAttempts {
		return false
	}
	for _, a := range r.attempts {
		if a.s == s && len(b.servers) > len(r.attempts) {
			return false // further attempts go elsewhere
		}
	}
	if r.maybeRan == 0 {
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
	a := &attempt{r: r, s: s, index: len(r.attempts), alone: len(s.inFlight) == 0, sentAt: b.now,
		cost: b.cost(r)}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	begin := b.latestUseful(r) - b.minRemaining(s, r) // connecting may take all that is left
	if r.maybeRan == 0 {
		r.ranAt, r.ranOn = b.now, s
	} else if c := &b.set.Classes[r.class]; c.Effect == settings.Guarded {
		begin = min(begin, r.ranAt+c.KeyTTLMs-2*b.set.RoundMs) // and outlast the window
	}
	begin = max(begin-b.now, math.SmallestNonzeroFloat64)
	r.maybeRan++
	if !r.bodyPending { // a server begins when all has come
		b.beginWork(a)
	}
	if s.sentAt > 0 {
		s.gap = arith.Mean(s.gap, b.now-s.sentAt, smoothing)
	}
	s.sentAt = b.now
	b.doubt.Sent(s.zone, b.now, b.minLatencyTarget)
	if b.ramp(s) < 1 {
		s.slowStartCredit -= a.cost
	}
	b.emit(Action{Kind: ActSend, Request: r.id, Server: s.id, Ms: r.deadline - b.now, BeginMs: begin})
	return true
}

// end is the guard of final answers but served ones: a refusal where a retry is harmless, else a failure.
func (b *Balancer) end(r *request) {
	if r.closed || r.started {
		return
	}
	b.unserved.Add(r.class, r.key, r.first, b.now)
	c := &b.set.Classes[r.class]
	harmless := r.maybeRan == 0 || c.Effect == settings.Free ||
		c.Effect == settings.Guarded && c.Group == settings.GroupAll
	b.close(r)
	if harmless {
		// Who is refused in one moment must not all come back in one.
		again := b.set.Limits.MaxRetryAfterMs * (1 - retryAfterJitter*b.rng.Float64())
		b.emit(Action{Kind: ActRefuse, Request: r.id, Ms: again})
	} else {
		b.emit(Action{Kind: ActFail, Request: r.id})
	}
}

// close forgets a finished request as soon as no attempt of it is out.
func (b *Balancer) close(r *request) {
	r.closed = true
	if i := slices.Index(b.queue, r); i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	for _, a := range r.attempts {
		if !a.done && b.set.Limits.Cancelling {
			b.emit(Action{Kind: ActCancel, Request: r.id, Attempt: a.index})
		}
	}
	if r.inFlight == 0 {
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
	r.maxAttempts -= ev.Tries // a gateway that it went through made more of it
	if ev.Status == NoWay && r.maxAttempts < MostTries {
		rounds := len(r.attempts) / max(len(b.servers), 1) // it went nowhere: to the others at once
		r.maxAttempts++
		r.retryAt = b.now + b.set.Classes[r.class].AimMs/MostTries*float64(rounds)
	}
	r.inFlight--
	b.endWork(a)
	if ev.Status.NeverRan() {
		r.maybeRan--
	}
	if len(s.inFlight) == 0 && b.pace.HangsUp(&b.set, b.now, s.gap, len(b.servers)) {
		b.emit(Action{Kind: ActClose, Server: s.id})
	}
	// Not where nothing was tried, or a client went in time: a crowd closed it for seconds.
	if ev.Status != NoWay && (!r.closed || b.now > r.targetAt) {
		// With a request or two out at each of a thousand agents no server's window holds back
		// the crowd: each full answer went on to the next, until requests went out nine times.
		b.throttle.Ended(b.now, b.set.Classes[r.class].Earned(ev.Status == OK, b.now <= r.targetAt))
	}
	b.recordOutcome(a, ev.Status, arith.Finite(ev.LatencyMs))
	if r.closed || r.started || ev.Final || ev.Status == OK {
		b.close(r)
	} else {
		b.retryOrEnd(r, ev.Status)
	}
}

// retryOrEnd holds an unanswered request for another server where class and time allow, or ends it.
func (b *Balancer) retryOrEnd(r *request, why Status) {
	c := &b.set.Classes[r.class]
	able := r.maybeRan == 0 || c.Effect == settings.Free || c.Effect == settings.Guarded
	reached := why != ConnectFailed && why != NoWay // else no server had any of it
	if !able || len(r.attempts) >= r.maxAttempts || why == Moot || b.tooLate(r) ||
		reached && !b.retries.Take(r.class, b.now, b.rng.Float64()) {
		b.end(r)
		return
	}
	b.queue = append(b.queue, r)
}
