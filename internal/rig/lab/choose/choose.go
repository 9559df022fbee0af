// Package choose contains replacements for the agent's decisions in the lab: baselines from the
// literature and from other load balancers, and an oracle that sees every server's true state. The
// agent itself does not use them.
//
// A baseline only picks a server. Baseline enforces the four rules around it as far as the list and the
// outcomes allow: no two attempts at once, no repeat of a request that may have run and must not run
// twice, no draining server; it does not know about cold servers. A Decider belongs to one goroutine
// at a time, as policy.Balancer does.
package choose

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"molepaddle/internal/decide/arith"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// Decider makes the decisions of an agent; policy.Balancer is the production one.
type Decider interface {
	// Start appends the initial actions to out and returns it.
	Start(now float64, out []policy.Action) []policy.Action
	// Handle processes one event and appends the resulting actions to out.
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// Truth gives the oracle the true state of servers.
type Truth interface {
	// Finish returns about how long from now the server's answer to a request of this work would
	// come, and how long of that the request would wait in the queue; ok is false if the server
	// would not answer.
	Finish(s cluster.Addr, zone int, work float64, key uint64) (after, wait float64, ok bool)
	// Work returns the work of a request, in milliseconds on a core of speed 1.
	Work(agent int, id policy.RequestID) float64
	// MeanWork returns the mean work of a class.
	MeanWork(class int) float64
	// CanAccept reports whether a cold server can take one more request without overload.
	CanAccept(s cluster.Addr, work float64) bool
}

// Names are the names of all choosers: the agent's own, the baselines, the oracle.
var Names = []string{"molepaddle", "random", "round-robin", "p2c-least", "peak-ewma", "least-weighted", "envoy-outlier", "oracle"}

// Baselines returns the names of the choosers without the agent's own and the oracle.
func Baselines() []string { return Names[1 : len(Names)-1] }

// New returns a decider by its name. truth may be nil except for the oracle.
func New(name string, set settings.Settings, seed uint64, truth Truth) (Decider, error) {
	if name == "molepaddle" {
		return policy.New(set, seed)
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	p := &Baseline{set: set, rng: rand.New(rand.NewPCG(seed, arith.Mix(seed))), byAddr: map[cluster.Addr]*Target{}, requests: map[policy.RequestID]*Request{}}
	switch name {
	case "random":
		p.chooser = random{p.rng}
	case "round-robin":
		p.chooser = &roundRobin{next: p.rng.IntN(1 << 20)}
	case "p2c-least":
		p.chooser = twoChoices{p.rng, func(_ float64, t *Target) float64 { return float64(t.InFlight) }}
	case "peak-ewma":
		p.chooser = twoChoices{p.rng, peakEWMA}
	case "least-weighted":
		p.chooser = leastWeighted{p.rng}
	case "envoy-outlier":
		p.chooser, p.outlier = leastWeighted{p.rng}, true
	case "oracle":
		if truth == nil {
			return nil, fmt.Errorf("chooser oracle needs the true state of the servers")
		}
		p.chooser = &oracle{truth: truth, set: &p.set}
	default:
		return nil, fmt.Errorf("%q is no chooser; there are %q", name, Names)
	}
	return p, nil
}

// Target is a listed server as a baseline sees it.
type Target struct {
	Addr         cluster.Addr
	Zone         int
	Weight       float64
	InFlight     int     // attempts of this agent in flight
	ewma         float64 // of latencies, in ms
	stamp        float64
	ready        bool
	errors       int     // in a row
	ejectedUntil float64 // until then it gets no requests
	ejections    int     // number of ejections
}

// Request is a request that an agent has accepted.
type Request struct {
	ID              policy.RequestID
	Class           int
	Key             uint64
	Deadline        float64
	LatencyTargetAt float64
	attempted       []cluster.Addr
	inFlight        bool
	sentAt          float64
	target          *Target
	mayHaveRun      int
	firstSentAt     float64
	closed          bool
}

// Chooser picks one of at least one target; if it returns nil, the request is refused.
type Chooser interface {
	Pick(now float64, r *Request, from []*Target) *Target
}

// Baseline is a balancer that delegates the choice of a server to a Chooser.
type Baseline struct {
	set        settings.Settings
	rng        *rand.Rand
	chooser    Chooser
	outlier    bool
	targets    []*Target
	byAddr     map[cluster.Addr]*Target
	requests   map[policy.RequestID]*Request
	candidates []*Target // scratch
	out        []policy.Action
	now        float64
}

const followToken = 1

// Start implements Decider: in on_request mode it delays the first watch of the list by a random time.
func (p *Baseline) Start(now float64, out []policy.Action) []policy.Action {
	if p.set.Membership == "on_request" {
		out = append(out, policy.Action{Kind: policy.ActTimer, Ms: p.rng.Float64() * p.set.Contract.MaxPollIntervalMs / 8, Token: followToken})
	}
	return out
}

// Handle implements Decider.
func (p *Baseline) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	p.now, p.out = now, out
	switch ev.Kind {
	case policy.EvRequest:
		c := &p.set.Classes[ev.Class]
		r := &Request{ID: ev.Request, Class: ev.Class, Key: ev.Key, Deadline: now + ev.LeftMs - min(p.set.RoundMs, ev.LeftMs/4), LatencyTargetAt: now + c.LatencyTargetMs}
		p.requests[r.ID] = r
		p.dispatch(r)
	case policy.EvOutcome:
		p.outcome(ev)
	case policy.EvDropped:
		if r := p.requests[ev.Request]; r != nil && !r.closed {
			p.close(r)
		}
	case policy.EvList:
		p.applyList(ev)
	case policy.EvTimer:
		if ev.Token == followToken {
			p.out = append(p.out, policy.Action{Kind: policy.ActFollow})
		}
	}
	return p.out
}

// dispatch sends a request to the target that the chooser picks, or rejects it.
func (p *Baseline) dispatch(r *Request) {
	p.candidates = p.candidates[:0]
	ejected := false
	for pass := range 2 {
		for _, t := range p.targets {
			if !t.ready || slices.Contains(r.attempted, t.Addr) && len(p.targets) > len(r.attempted) {
				continue
			}
			if pass == 0 && p.outlier && p.now < t.ejectedUntil {
				ejected = true
				continue
			}
			p.candidates = append(p.candidates, t)
		}
		if len(p.candidates) > 0 || !ejected {
			break // if all are ejected, panic mode uses all
		}
	}
	var t *Target
	if len(p.candidates) > 0 && len(r.attempted) < p.set.Limits.MaxAttempts && p.now < r.Deadline && p.mayRetry(r) {
		t = p.chooser.Pick(p.now, r, p.candidates)
	}
	if t == nil {
		p.reject(r)
		return
	}
	begin := 0.0
	if r.mayHaveRun == 0 {
		r.firstSentAt = p.now
	} else if c := &p.set.Classes[r.Class]; c.Idempotency == settings.Deduplicated {
		begin = r.firstSentAt + c.DedupTTLMs - 2*p.set.RoundMs - p.now
	}
	r.attempted = append(r.attempted, t.Addr)
	r.inFlight, r.sentAt, r.target = true, p.now, t
	r.mayHaveRun++
	t.InFlight++
	p.out = append(p.out, policy.Action{Kind: policy.ActSend, Request: r.ID, Server: t.Addr, Ms: r.Deadline - p.now, BeginMs: begin})
}

// mayRetry reports whether the class allows another attempt after the previous ones.
func (p *Baseline) mayRetry(r *Request) bool {
	c := &p.set.Classes[r.Class]
	return r.mayHaveRun == 0 || c.Idempotency == settings.Idempotent ||
		c.Idempotency == settings.Deduplicated && c.DedupScope == settings.DedupAll && p.now-r.firstSentAt <= c.DedupTTLMs-2*p.set.RoundMs
}

func (p *Baseline) reject(r *Request) {
	c := &p.set.Classes[r.Class]
	if r.mayHaveRun == 0 || c.Idempotency == settings.Idempotent || c.Idempotency == settings.Deduplicated && c.DedupScope == settings.DedupAll {
		p.out = append(p.out, policy.Action{Kind: policy.ActRefuse, Request: r.ID, Ms: p.set.Limits.MaxRetryAfterMs})
	} else {
		p.out = append(p.out, policy.Action{Kind: policy.ActFail, Request: r.ID})
	}
	p.close(r)
}

func (p *Baseline) close(r *Request) {
	r.closed = true
	if r.inFlight && p.set.Limits.Cancellation {
		p.out = append(p.out, policy.Action{Kind: policy.ActCancel, Request: r.ID, Attempt: len(r.attempted) - 1})
	}
	if !r.inFlight {
		delete(p.requests, r.ID)
	}
}

func (p *Baseline) outcome(ev *policy.Event) {
	r := p.requests[ev.Request]
	if r == nil || !r.inFlight {
		return
	}
	t := r.target
	r.inFlight, r.target = false, nil
	t.InFlight--
	if ev.Status.NeverRan() {
		r.mayHaveRun--
	}
	p.observe(t, ev.Status, ev.LatencyMs)
	switch {
	case r.closed:
		delete(p.requests, r.ID)
	case ev.Status == policy.OK || ev.Final:
		p.close(r)
	default:
		p.dispatch(r)
	}
}

// Parameters of Envoy's outlier detection, as documented: five errors in a row eject a server for 30 s
// times the number of its ejections; at most a tenth of the servers are ejected at once, but at least
// one.
const (
	ejectAfter = 5
	ejectFor   = 30000.0
	ejectShare = 0.1
)

// observe updates a target's statistics. Latency is smoothed as in Finagle's peak EWMA: a higher value
// replaces the average, a lower one is averaged in with a time constant of ten
// seconds.
func (p *Baseline) observe(t *Target, st policy.Status, ms float64) {
	switch st {
	case policy.OK:
		t.errors = 0
	case policy.Cancelled, policy.Abandoned, policy.NoConnection:
		return
	default:
		t.errors++
		ms = max(ms, 1000) // an error counts as at least 1 s
	}
	if ms > t.ewma {
		t.ewma = ms
	} else {
		w := math.Exp((t.stamp - p.now) / 10000)
		t.ewma = t.ewma*w + ms*(1-w)
	}
	t.stamp = p.now
	if !p.outlier || t.errors < ejectAfter || p.now < t.ejectedUntil {
		return
	}
	out := 0
	for _, o := range p.targets {
		if p.now < o.ejectedUntil {
			out++
		}
	}
	if float64(out) < max(ejectShare*float64(len(p.targets)), 1) {
		t.ejections++
		t.ejectedUntil, t.errors = p.now+ejectFor*float64(t.ejections), 0
	}
}

func (p *Baseline) applyList(ev *policy.Event) {
	if ev.List == cluster.ListFailed {
		p.out = append(p.out, policy.Action{Kind: policy.ActTimer, Ms: p.set.Contract.MaxPollIntervalMs / 8 * (0.5 + p.rng.Float64()), Token: followToken})
		return
	}
	if ev.List != cluster.ListDelta {
		for _, t := range p.targets {
			t.ready = false
		}
	}
	for i := range ev.Entries {
		e := &ev.Entries[i]
		t := p.byAddr[e.Server]
		if t == nil {
			t = &Target{Addr: e.Server}
			p.byAddr[e.Server] = t
			p.targets = append(p.targets, t)
		}
		t.Zone, t.Weight, t.ready = e.Zone, e.Weight, e.Health == cluster.Ready
		if !(t.Weight > 0) {
			t.Weight = 1
		}
	}
	p.targets = slices.DeleteFunc(p.targets, func(t *Target) bool {
		forget := !t.ready && t.InFlight == 0
		if forget {
			delete(p.byAddr, t.Addr)
		}
		return forget
	})
}

// random picks a uniformly random target.
type random struct{ rng *rand.Rand }

func (c random) Pick(_ float64, _ *Request, from []*Target) *Target {
	return from[c.rng.IntN(len(from))]
}

// roundRobin picks the targets in turn.
type roundRobin struct{ next int }

func (c *roundRobin) Pick(_ float64, _ *Request, from []*Target) *Target {
	c.next++
	return from[c.next%len(from)]
}

// twoChoices picks the cheaper of two random targets (Mitzenmacher, "The Power of Two Choices in
// Randomized Load Balancing").
type twoChoices struct {
	rng  *rand.Rand
	cost func(now float64, t *Target) float64
}

func (c twoChoices) Pick(now float64, _ *Request, from []*Target) *Target {
	if len(from) == 1 {
		return from[0]
	}
	i, j := c.rng.IntN(len(from)), c.rng.IntN(len(from)-1)
	if j >= i {
		j++
	}
	if c.cost(now, from[j]) < c.cost(now, from[i]) {
		return from[j]
	}
	return from[i]
}

// peakEWMA returns Finagle's cost: the decayed peak latency times the number of attempts in flight, the
// new one included.
func peakEWMA(now float64, t *Target) float64 {
	lat := t.ewma * math.Exp((t.stamp-now)/10000)
	if lat == 0 && t.InFlight > 0 {
		return 1e6 + float64(t.InFlight) // no latency known yet, and attempts are in flight
	}
	return lat * float64(t.InFlight+1)
}

// leastWeighted is Envoy's weighted least request: a random draw by weight over attempts in flight.
type leastWeighted struct{ rng *rand.Rand }

func (c leastWeighted) Pick(_ float64, _ *Request, from []*Target) *Target {
	sum := 0.0
	for _, t := range from {
		sum += t.Weight / float64(t.InFlight+1)
	}
	x := c.rng.Float64() * sum
	for _, t := range from {
		if x -= t.Weight / float64(t.InFlight+1); x < 0 {
			return t
		}
	}
	return from[len(from)-1]
}

// oracle picks the server with the earliest answer by its true state. A request that would have to
// queue is refused if its answer would come after a part of its latency target; the part is smaller,
// the less value its class has per unit of work. Under overload the most valuable requests are thus
// served, and in time. The oracle does not look ahead, so it is not a proven bound: it shows what a
// greedy choice achieves with full knowledge.
type oracle struct {
	truth Truth
	set   *settings.Settings
}

func (c *oracle) Pick(now float64, r *Request, from []*Target) *Target {
	var best *Target
	at, line := math.Inf(1), 0.0
	work := c.truth.Work(c.set.Index, r.ID)
	for _, t := range from {
		if after, wait, ok := c.truth.Finish(t.Addr, c.set.Zone, work, r.Key); ok && after < at && c.truth.CanAccept(t.Addr, work) {
			best, at, line = t, after, wait
		}
	}
	most := 0.0
	for i, class := range c.set.Classes {
		most = max(most, class.Value/c.truth.MeanWork(i))
	}
	class := &c.set.Classes[r.Class]
	last, mean := r.LatencyTargetAt, c.truth.MeanWork(r.Class)
	switch {
	case line > 0 && line+mean > (r.LatencyTargetAt-now)*class.Value/mean/most:
		return nil
	case line == 0 && class.LateValueFraction > 0:
		last = r.Deadline
	}
	if now+at > last {
		return nil
	}
	return best
}
