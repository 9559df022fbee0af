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
	// loadBoundFactor is c of Cap: the ratio of a server's attempts in flight to its even share that is
	// allowed.
	loadBoundFactor = 3.0
	// smoothing is the weight of a new sample in a server's moving averages.
	smoothing = 0.2
	// usageDecay is the factor by which each request decays the tenants' shares: a window of about 500
	// requests.
	usageDecay = 0.998
	// throttleSpanTargets is the period, in latency targets, over which the throttle counts attempts.
	throttleSpanTargets = 10.0
	// maxQueued bounds the queued requests, and thereby the work per event.
	maxQueued = 512
	// minTickMs is the least interval of the tick timer, ms.
	minTickMs = 5
	// membershipOnRequest is the membership mode in which the agent itself subscribes to the endpoint list.
	membershipOnRequest = "on_request"

	// tickToken and followToken identify the two timers.
	tickToken   = 1
	followToken = 2
)

// Balancer makes the decisions of one agent: Handle takes an event and returns actions. It is not safe for
// concurrent use.
type Balancer struct {
	set settings.Settings
	rng *rand.Rand
	// minLatencyTarget is the least latency target of the classes in use, ms.
	minLatencyTarget float64

	// The event being handled.
	now     float64  // ms
	actions []Action // resulting actions

	// Endpoints.
	servers     []*server // by list rank, then agent order
	byAddr      map[cluster.Addr]*server
	minServers  int     // fewest servers to send to, by the list; 0: not given
	epoch       uint64  // number of changes of tiers and of the list
	refetchedAt float64 // last fetch of the list, ms
	listPolling asking.Backoff

	// Requests.
	requests   map[RequestID]*request
	queue      []*request
	saturated  bool // requests that accept any server find none with capacity
	inFlight   int  // attempts in flight, at all servers
	timerArmed bool

	// Health.
	probesInFlight int
	zoneSuspicion  *doubt.Groups // zones that may be out of reach

	// Learned statistics.
	answerTimes   *budget.LatencyEstimates // answer times, by class and hint
	normalLatency *calm.Baseline           // answer times as shares of the latency target
	slowStart     *cold.Share              // load that servers in slow start can take
	weights       *weights.Weights
	requestRate   pace.RequestRate
	keys          hotkeys.Splitter
	tenantUsage   arith.FadingWeights // tenants' shares of the requests
	classValue    *worth.Tally        // value of one more request of a class served in time
	unserved      unserved.Memory

	// Limits on retries and sends.
	retries  *budget.RetryBudget
	throttle *budget.Throttle

	// warm is the weight of the servers past slow start, as of warmAt and warmEpoch.
	warm      float64
	warmAt    float64
	warmEpoch uint64

	// Scratch space, reused to avoid allocations.
	tierScratch  []*server
	shareScratch []float64
}

// New returns the Balancer of one agent, or an error that names the invalid setting. The seed determines its
// random numbers.
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
		answerTimes:   budget.NewLatencyEstimates(nil),
		normalLatency: calm.New(set.Replicas),
		weights:       weights.New(set.Zone, set.Prices.CrossZone, set.Weights == "off"),
		keys:          hotkeys.New(),
		tenantUsage:   make([]float64, len(set.Tenants)),
		unserved:      unserved.New(&set, maxQueued),
		retries:       budget.NewRetryBudget(len(set.Classes)),
	}
	// These keep a pointer into the settings, which UpdateSettings replaces in place.
	b.slowStart = cold.New(&b.set.Contract)
	b.classValue = worth.New(&b.set)
	b.UpdateSettings(set, make([]int, len(set.Classes)))
	return b, nil
}

// UpdateSettings replaces the settings, which must be valid, from the next event on. Known classes and
// tenants keep their numbers; a new class i starts with the statistics of class from[i], if there is one.
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
	b.answerTimes.Remap(first, from)
	b.retries.Remap(from)
	b.classValue.Remap(from)
	b.unserved.UpdateSettings(&b.set)
	b.tenantUsage = append(b.tenantUsage, make([]float64, len(set.Tenants)-len(b.tenantUsage))...)
	b.throttle = b.throttle.WithSpan(throttleSpanTargets * b.minLatencyTarget)
}

// Start appends the first actions of a new agent to out and returns it. It is called once, before Handle.
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

// Handle handles one event, appends the resulting actions to out in order, and returns it. An event that
// names an unknown request, attempt or server is ignored. now is in ms on a clock that does not go back.
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

// armTimer keeps one tick timer running while requests are queued or attempts are in flight.
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

// Reach returns the Balancer's view of the reachability of zones; the caller must not change it.
func (b *Balancer) Reach() *doubt.Groups { return b.zoneSuspicion }
