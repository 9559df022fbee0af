package policy

import (
	"math"
	"math/rand/v2"

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
	// loadBoundFactor is c of Cap: how far above its even share of the attempts a server may go.
	loadBoundFactor = 3.0
	// smoothing is the weight of an answer in a server's means.
	smoothing = 0.2
	// usageDecay is the weight of what was before in the tenants' shares, a request: over about 500 of them.
	usageDecay = 0.998
	// throttleSpanTargets is for how many latency targets attempts that earned nothing count.
	throttleSpanTargets = 10.0
	// maxQueued bounds the queued requests, and so the work of a decision.
	maxQueued = 512
	// minTickMs is the least interval of the tick timer, ms.
	minTickMs = 5
	// membershipOnRequest is the setting with which the agent asks for the endpoint list itself.
	membershipOnRequest = "on_request"

	// tickToken and followToken tell the two timers apart.
	tickToken   = 1
	followToken = 2
)

// Balancer makes the decisions of one agent: it takes events and returns actions. It is not safe for
// concurrent use.
type Balancer struct {
	set settings.Settings
	rng *rand.Rand
	// minLatencyTarget is the least latency target of a class in use, ms.
	minLatencyTarget float64

	// The event that is being handled.
	now     float64  // ms
	actions []Action // what it calls for

	// Endpoints.
	servers     []*server // by list rank, then agent order
	byAddr      map[cluster.Addr]*server
	minServers  int     // fewest servers to send to, by the list; 0: the list doesn't say
	epoch       uint64  // counts changes of tiers and of the list
	refetchedAt float64 // when the list was last fetched, ms
	listPolling asking.Backoff

	// Requests.
	requests   map[RequestID]*request
	queue      []*request
	saturated  bool // requests that would take any server find none with capacity
	inFlight   int  // attempts, of all servers
	timerArmed bool

	// Health.
	probesInFlight int
	zoneSuspicion  *doubt.Groups // zones that may be out of reach

	// What was learned.
	needs         *budget.LatencyEstimates // answer times, by class and hint
	normalLatency *calm.Baseline           // answer times as parts of the latency target
	slowStart     *cold.Share              // what servers in slow start can take
	weights       *weights.Weights
	requestRate   pace.RequestRate
	keys          hotkeys.Splitter
	usage         arith.FadingWeights // tenants' shares of the requests
	classValue    *worth.Tally        // what another request of a class served in time is worth
	unserved      unserved.Memory

	// Limits on what is sent.
	retries  *budget.RetryBudget
	throttle *budget.Throttle

	// warm is the weight of the servers past slow start, as of warmAt and warmEpoch.
	warm      float64
	warmAt    float64
	warmEpoch uint64

	// Scratch, kept to allocate nothing.
	tierScratch  []*server
	shareScratch []float64
}

// New returns the Balancer of one agent, or an error that names a setting. Its randomness is the seed's.
func New(set settings.Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		set:           set,
		rng:           rand.New(rand.NewPCG(seed, arith.Mix(seed))),
		byAddr:        map[cluster.Addr]*server{},
		refetchedAt:   math.Inf(-1),
		listPolling:   asking.New(set.Contract.MaxPollIntervalMs),
		requests:      map[RequestID]*request{},
		zoneSuspicion: doubt.New(),
		needs:         budget.NewLatencyEstimates(nil),
		normalLatency: calm.New(set.Replicas),
		weights:       weights.New(set.Zone, set.Prices.CrossZone, set.Weights == "off"),
		keys:          hotkeys.New(),
		usage:         make([]float64, len(set.Tenants)),
		unserved:      unserved.New(&set, maxQueued),
		retries:       budget.NewRetryBudget(len(set.Classes)),
	}
	// These keep a pointer into the settings, which Turn replaces in place.
	b.slowStart = cold.New(&b.set.Contract)
	b.classValue = worth.New(&b.set)
	b.UpdateSettings(set, make([]int, len(set.Classes)))
	return b, nil
}

// UpdateSettings replaces the settings, which are valid, from the next event on. Classes and tenants that
// are known keep their numbers; a new class i is taken for one like class from[i], if there is one.
func (b *Balancer) UpdateSettings(set settings.Settings, from []int) {
	b.set = set
	b.minLatencyTarget = math.Inf(1)
	var first []float64
	for _, c := range set.Classes {
		first = append(first, c.LatencyTargetMs*calm.MaxTargetFraction/2)
		if !c.Retired {
			b.minLatencyTarget = min(b.minLatencyTarget, c.LatencyTargetMs)
		}
	}
	b.needs.Remap(first, from)
	b.retries.Remap(from)
	b.classValue.Remap(from)
	b.unserved.Fit(&b.set)
	b.usage = append(b.usage, make([]float64, len(set.Tenants)-len(b.usage))...)
	b.throttle = b.throttle.WithSpan(throttleSpanTargets * b.minLatencyTarget)
}

// Start appends the first actions of a new agent to out. It is called once, before Handle.
func (b *Balancer) Start(now float64, out []Action) []Action {
	b.now = now
	b.actions = out
	b.requestRate = pace.New(now)
	if b.set.Membership == membershipOnRequest {
		wait := b.listPolling.StartDelay(b.rng.Float64())
		b.emit(Action{Kind: ActTimer, Ms: wait, Token: followToken})
	}
	return b.actions
}

// Handle takes one event and appends the actions that it calls for to out, in their order. What the event
// names and the Balancer doesn't know is ignored. now is in ms on a clock that doesn't go back.
func (b *Balancer) Handle(now float64, ev *Event, out []Action) []Action {
	b.now = now
	b.actions = out
	switch ev.Kind {
	case EvRequest:
		b.onRequest(ev)
	case EvOutcome:
		b.onOutcome(ev)
	case EvStarted:
		b.onStarted(ev)
	case EvBodyComplete:
		b.onBodyComplete(ev)
	case EvDropped:
		b.onDropped(ev)
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

// armTimer keeps one tick timer running while there is something to watch.
func (b *Balancer) armTimer() {
	if b.timerArmed || len(b.queue) == 0 && b.inFlight == 0 {
		return
	}
	b.timerArmed = true
	b.emit(Action{Kind: ActTimer, Ms: max(2*b.set.RoundMs, minTickMs), Token: tickToken})
}

func (b *Balancer) onTimer(token uint32) {
	switch token {
	case followToken:
		b.emit(Action{Kind: ActFollow})
	case tickToken:
		b.timerArmed = false
		b.demoteUnresponsive()
		b.expire()
	}
}

// Reach returns what the Balancer believes of its way to whole zones; the caller must not change it.
func (b *Balancer) Reach() *doubt.Groups { return b.zoneSuspicion }
