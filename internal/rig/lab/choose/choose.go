// Package choose holds what may stand in the place of the agent's decisions in the lab: the
// baselines that the literature and other balancers use, and an oracle that sees every server's
// true state. They are part of no agent.
//
// A baseline only picks a server. Plain keeps the four rules round it as far as a list and the
// outcomes tell: no second attempt at once, none of what may have run and must not run twice, no
// server that drains; it knows nothing of cold servers. A Decider belongs to one goroutine at a
// time, as policy.Balancer does.
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

// Decider is what decides for an agent; policy.Balancer is the real one.
type Decider interface {
	// Start gives the first actions and appends them to out.
	Start(now float64, out []policy.Action) []policy.Action
	// Handle takes one event and appends the actions that it calls for.
	Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action
}

// Truth tells the true state of servers, to the oracle alone.
type Truth interface {
	// Finish is how long from now an answer of the server would come for a request of so much
	// work, about, and how much of that it would wait in line; ok is false where none would.
	Finish(s cluster.Addr, zone int, work float64, key uint64) (after, wait float64, ok bool)
	// Work is that of a request, in milliseconds on a core of speed 1.
	Work(agent int, id policy.RequestID) float64
	// MeanWork is that of a class.
	MeanWork(class int) float64
	// Bears tells whether a server that is cold takes one more request.
	Bears(s cluster.Addr, work float64) bool
}

// Names are those of all choosers: the agent's, the baselines, the oracle.
var Names = []string{"molepaddle", "random", "round-robin", "p2c-least", "peak-ewma", "least-weighted", "envoy-outlier", "oracle"}

// Baselines are the names without the agent's own and the oracle.
func Baselines() []string { return Names[1 : len(Names)-1] }

// New makes a decider. truth may be nil but for the oracle.
func New(name string, set settings.Settings, seed uint64, truth Truth) (Decider, error) {
	if name == "molepaddle" {
		return policy.New(set, seed)
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	p := &Plain{set: set, rng: rand.New(rand.NewPCG(seed, arith.Mix(seed))), byAddr: map[cluster.Addr]*Target{}, requests: map[policy.RequestID]*Request{}}
	switch name {
	case "random":
		p.chooser = random{p.rng}
	case "round-robin":
		p.chooser = &roundRobin{next: p.rng.IntN(1 << 20)}
	case "p2c-least":
		p.chooser = twoChoices{p.rng, func(_ float64, t *Target) float64 { return float64(t.Out) }}
	case "peak-ewma":
		p.chooser = twoChoices{p.rng, peakEWMA}
	case "least-weighted":
		p.chooser = leastWeighted{p.rng}
	case "envoy-outlier":
		p.chooser, p.outlier = leastWeighted{p.rng}, true
	case "oracle":
		if truth == nil {
			return nil, fmt.Errorf("the oracle needs to see the servers")
		}
		p.chooser = &oracle{truth: truth, set: &p.set}
	default:
		return nil, fmt.Errorf("%q is no chooser; there are %q", name, Names)
	}
	return p, nil
}

// Target is one listed server as a baseline sees it.
type Target struct {
	Addr   cluster.Addr
	Zone   int
	Weight float64
	Out    int     // attempts of this agent that are out
	ewma   float64 // of answer times, in ms
	stamp  float64
	ready  bool
	errors int     // in a row
	ousted float64 // until then it is sent nothing
	times  int     // how often it was ousted
}

// Request is one that an agent holds.
type Request struct {
	ID       policy.RequestID
	Class    int
	Key      uint64
	Deadline float64
	AimAt    float64
	tries    []cluster.Addr
	out      bool
	outAt    float64
	on       *Target
	risky    int
	ranAt    float64
	closed   bool
}

// Chooser picks one of the targets, of which there is at least one; nil: the request is refused.
type Chooser interface {
	Pick(now float64, r *Request, from []*Target) *Target
}

// Plain is a balancer round a Chooser.
type Plain struct {
	set      settings.Settings
	rng      *rand.Rand
	chooser  Chooser
	outlier  bool
	list     []*Target
	byAddr   map[cluster.Addr]*Target
	requests map[policy.RequestID]*Request
	able     []*Target // scratch
	out      []policy.Action
	now      float64
}

const followToken = 1

// Start asks to follow the list.
func (p *Plain) Start(now float64, out []policy.Action) []policy.Action {
	if p.set.Membership == "on_request" {
		out = append(out, policy.Action{Kind: policy.ActTimer, Ms: p.rng.Float64() * p.set.Contract.MaxPollIntervalMs / 8, Token: followToken})
	}
	return out
}

// Handle takes one event.
func (p *Plain) Handle(now float64, ev *policy.Event, out []policy.Action) []policy.Action {
	p.now, p.out = now, out
	switch ev.Kind {
	case policy.EvRequest:
		c := &p.set.Classes[ev.Class]
		r := &Request{ID: ev.Request, Class: ev.Class, Key: ev.Key, Deadline: now + ev.LeftMs - min(p.set.RoundMs, ev.LeftMs/4), AimAt: now + c.LatencyTargetMs}
		p.requests[r.ID] = r
		p.try(r)
	case policy.EvOutcome:
		p.outcome(ev)
	case policy.EvDropped:
		if r := p.requests[ev.Request]; r != nil && !r.closed {
			p.close(r)
		}
	case policy.EvList:
		p.learn(ev)
	case policy.EvTimer:
		if ev.Token == followToken {
			p.out = append(p.out, policy.Action{Kind: policy.ActFollow})
		}
	}
	return p.out
}

// try sends a request to what the chooser picks, or ends it.
func (p *Plain) try(r *Request) {
	p.able = p.able[:0]
	ejected := false
	for pass := range 2 {
		for _, t := range p.list {
			if !t.ready || slices.Contains(r.tries, t.Addr) && len(p.list) > len(r.tries) {
				continue
			}
			if pass == 0 && p.outlier && p.now < t.ousted {
				ejected = true
				continue
			}
			p.able = append(p.able, t)
		}
		if len(p.able) > 0 || !ejected {
			break // all are ousted: in a panic all are taken
		}
	}
	var t *Target
	if len(p.able) > 0 && len(r.tries) < p.set.Limits.MaxAttempts && p.now < r.Deadline && p.may(r) {
		t = p.chooser.Pick(p.now, r, p.able)
	}
	if t == nil {
		p.end(r)
		return
	}
	begin := 0.0
	if r.risky == 0 {
		r.ranAt = p.now
	} else if c := &p.set.Classes[r.Class]; c.Idempotency == settings.Deduplicated {
		begin = r.ranAt + c.DedupTTLMs - 2*p.set.RoundMs - p.now
	}
	r.tries = append(r.tries, t.Addr)
	r.out, r.outAt, r.on = true, p.now, t
	r.risky++
	t.Out++
	p.out = append(p.out, policy.Action{Kind: policy.ActSend, Request: r.ID, Server: t.Addr, Ms: r.Deadline - p.now, BeginMs: begin})
}

// may tells whether the class allows an attempt after those before.
func (p *Plain) may(r *Request) bool {
	c := &p.set.Classes[r.Class]
	return r.risky == 0 || c.Idempotency == settings.Idempotent ||
		c.Idempotency == settings.Deduplicated && c.DedupScope == settings.DedupAll && p.now-r.ranAt <= c.DedupTTLMs-2*p.set.RoundMs
}

func (p *Plain) end(r *Request) {
	c := &p.set.Classes[r.Class]
	if r.risky == 0 || c.Idempotency == settings.Idempotent || c.Idempotency == settings.Deduplicated && c.DedupScope == settings.DedupAll {
		p.out = append(p.out, policy.Action{Kind: policy.ActRefuse, Request: r.ID, Ms: p.set.Limits.MaxRetryAfterMs})
	} else {
		p.out = append(p.out, policy.Action{Kind: policy.ActFail, Request: r.ID})
	}
	p.close(r)
}

func (p *Plain) close(r *Request) {
	r.closed = true
	if r.out && p.set.Limits.Cancellation {
		p.out = append(p.out, policy.Action{Kind: policy.ActCancel, Request: r.ID, Attempt: len(r.tries) - 1})
	}
	if !r.out {
		delete(p.requests, r.ID)
	}
}

func (p *Plain) outcome(ev *policy.Event) {
	r := p.requests[ev.Request]
	if r == nil || !r.out {
		return
	}
	t := r.on
	r.out, r.on = false, nil
	t.Out--
	if ev.Status.NeverRan() {
		r.risky--
	}
	p.judge(t, ev.Status, ev.LatencyMs)
	switch {
	case r.closed:
		delete(p.requests, r.ID)
	case ev.Status == policy.OK || ev.Final:
		p.close(r)
	default:
		p.try(r)
	}
}

// Envoy's outlier detection as its documentation has it: five errors in a row oust a server for
// 30 s times the number of times it was ousted, at most a tenth of the servers at once, one at
// the least.
const (
	oustAfter = 5
	oustFor   = 30000.0
	oustShare = 0.1
)

// judge learns from an outcome. Latency is smoothed as Finagle's peak EWMA does: a longer time
// is taken whole, a shorter one over ten seconds.
func (p *Plain) judge(t *Target, st policy.Status, ms float64) {
	switch st {
	case policy.OK:
		t.errors = 0
	case policy.Cancelled, policy.Abandoned, policy.NoConnection:
		return
	default:
		t.errors++
		ms = max(ms, 1000) // an error is never quick
	}
	if ms > t.ewma {
		t.ewma = ms
	} else {
		w := math.Exp((t.stamp - p.now) / 10000)
		t.ewma = t.ewma*w + ms*(1-w)
	}
	t.stamp = p.now
	if !p.outlier || t.errors < oustAfter || p.now < t.ousted {
		return
	}
	out := 0
	for _, o := range p.list {
		if p.now < o.ousted {
			out++
		}
	}
	if float64(out) < max(oustShare*float64(len(p.list)), 1) {
		t.times++
		t.ousted, t.errors = p.now+oustFor*float64(t.times), 0
	}
}

func (p *Plain) learn(ev *policy.Event) {
	if ev.List == cluster.ListFailed {
		p.out = append(p.out, policy.Action{Kind: policy.ActTimer, Ms: p.set.Contract.MaxPollIntervalMs / 8 * (0.5 + p.rng.Float64()), Token: followToken})
		return
	}
	if ev.List != cluster.ListDelta {
		for _, t := range p.list {
			t.ready = false
		}
	}
	for i := range ev.Entries {
		e := &ev.Entries[i]
		t := p.byAddr[e.Server]
		if t == nil {
			t = &Target{Addr: e.Server}
			p.byAddr[e.Server] = t
			p.list = append(p.list, t)
		}
		t.Zone, t.Weight, t.ready = e.Zone, e.Weight, e.Health == cluster.Ready
		if !(t.Weight > 0) {
			t.Weight = 1
		}
	}
	p.list = slices.DeleteFunc(p.list, func(t *Target) bool {
		forget := !t.ready && t.Out == 0
		if forget {
			delete(p.byAddr, t.Addr)
		}
		return forget
	})
}

// random takes any.
type random struct{ rng *rand.Rand }

func (c random) Pick(_ float64, _ *Request, from []*Target) *Target {
	return from[c.rng.IntN(len(from))]
}

// roundRobin takes one after the other.
type roundRobin struct{ next int }

func (c *roundRobin) Pick(_ float64, _ *Request, from []*Target) *Target {
	c.next++
	return from[c.next%len(from)]
}

// twoChoices takes the lesser of two drawn ones (Mitzenmacher, "The Power of Two Choices in
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

// peakEWMA is Finagle's cost: the decayed peak of answer times times what is out.
func peakEWMA(now float64, t *Target) float64 {
	lat := t.ewma * math.Exp((t.stamp-now)/10000)
	if lat == 0 && t.Out > 0 {
		return 1e6 + float64(t.Out) // nothing known, and it has something to tell
	}
	return lat * float64(t.Out+1)
}

// leastWeighted is Envoy's weighted least request: a draw by weight over what is out.
type leastWeighted struct{ rng *rand.Rand }

func (c leastWeighted) Pick(_ float64, _ *Request, from []*Target) *Target {
	sum := 0.0
	for _, t := range from {
		sum += t.Weight / float64(t.Out+1)
	}
	x := c.rng.Float64() * sum
	for _, t := range from {
		if x -= t.Weight / float64(t.Out+1); x < 0 {
			return t
		}
	}
	return from[len(from)-1]
}

// oracle takes the server whose answer comes first, by its true state. What would wait in line is
// refused where its answer would come after a part of its aim, the less its class is worth for
// its time: under overload the worthiest are served, and in time. It does not look ahead, so it
// is no proven bound: it is what knowing all would come to for a greedy choice.
type oracle struct {
	truth Truth
	set   *settings.Settings
}

func (c *oracle) Pick(now float64, r *Request, from []*Target) *Target {
	var best *Target
	at, line := math.Inf(1), 0.0
	work := c.truth.Work(c.set.Index, r.ID)
	for _, t := range from {
		if after, wait, ok := c.truth.Finish(t.Addr, c.set.Zone, work, r.Key); ok && after < at && c.truth.Bears(t.Addr, work) {
			best, at, line = t, after, wait
		}
	}
	most := 0.0
	for i, class := range c.set.Classes {
		most = max(most, class.Value/c.truth.MeanWork(i))
	}
	class := &c.set.Classes[r.Class]
	last, mean := r.AimAt, c.truth.MeanWork(r.Class)
	switch {
	case line > 0 && line+mean > (r.AimAt-now)*class.Value/mean/most:
		return nil
	case line == 0 && class.LateValueFraction > 0:
		last = r.Deadline
	}
	if now+at > last {
		return nil
	}
	return best
}
