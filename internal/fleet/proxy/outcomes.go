package proxy

import (
	"context"
	"maps"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/outlier"
	"molepaddle/policy"
)

const (
	// outcomeStep is how often overdue attempts are looked for, and bad ends told; outcomesEvery is how often good ones are.
	outcomeStep, outcomesEvery = 100 * time.Millisecond, time.Second
	// slowTimes is how many times as long as usual an attempt must last to count as slow, and leastSlowAim how long at the least, in
	// parts of its route's aim.
	slowTimes, leastSlowAim = 3, 0.5
	// leastSlowGap is how much longer than usual times slowTimes the gaps of a stream must be for it to count as slow, ms.
	leastSlowGap = 20
	// clearTimes is up to how many times as long as usual what a stream shows tells that its backend is as fast as is usual.
	clearTimes = 2
	// learnUsual is the part that a new figure has in what is usual, and mostUsual how many times the usual one counts as at the most.
	learnUsual, mostUsual = 0.05, 3
)

// usual is a mean of late of how long something takes, ms. What takes far longer moves it little, so that ill backends don't become the
// measure.
type usual struct{ ms float64 }

func (u *usual) learn(ms float64) {
	if u.ms == 0 {
		u.ms = ms
		return
	}
	u.ms += (min(ms, mostUsual*u.ms) - u.ms) * learnUsual
}

// slowBound is how long an attempt may last before it counts as slow, ms, where it usually lasts so long.
func (t *try) slowBound(usual float64) float64 {
	return slowTimes*usual + leastSlowAim*float64(t.route.LatencyTarget().Milliseconds())
}

// attempt is a send whose end is told to the fleet.
type attempt struct {
	svc   *service
	id    string
	of    *outlier.Attempt
	began float64
	bound float64 // beyond which it counts as slow, ms
}

// attempt begins one that counts as slow after bound ms.
func (s *service) attempt(id string, bound float64) *attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	return &attempt{svc: s, id: id, of: s.recorder.Begin(id, now+bound), began: now, bound: bound}
}

// answered notes that the answer has begun, after which the attempt isn't overdue any more. It gives how long that took, ms.
func (a *attempt) answered() float64 {
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	a.svc.recorder.HeadersReceived(a.of)
	return a.svc.now() - a.began
}

// speed is how fast a served answer came against what is usual.
type speed int

const (
	speedUsual speed = iota
	speedUnclear
	speedLate // it was long waited for
	speedSlow // it came slowly
)

// speedOf is the speed of an answer that took so long, ms, where it usually takes so long and counts as late beyond a bound.
func speedOf(took, usual, bound float64) speed {
	switch {
	case took > bound:
		return speedLate
	case took > clearTimes*usual+leastSlowGap:
		return speedUnclear
	}
	return speedUsual
}

// end counts the attempt; paced tells whether its answer came in parts, which shows how fast. Only what was as fast as is usual clears a backend that is on trial.
func (a *attempt) end(how policy.Status, fast speed, paced bool) {
	a.svc.mu.Lock()
	defer a.svc.mu.Unlock()
	result := outlier.Inconclusive
	switch how {
	case policy.OK:
		switch {
		case fast == speedSlow:
			result = outlier.Slow
		case fast == speedLate:
			result = outlier.Late
		case paced:
			result = outlier.StreamedOnPace
		case fast == speedUsual || !a.svc.trials.Ejected(a.began, a.id):
			result = outlier.Good
		}
	case policy.Timeout:
		result = outlier.TimedOut
	case policy.Error, policy.ConnectFailed, policy.Reset:
		result = outlier.Failed
	}
	a.svc.recorder.End(a.of, result)
}

// firstBound is how long a stream's first event may take before it counts as slow, ms.
func (s *service) firstBound(t *try, staged bool, readMs float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !staged {
		return t.slowBound(readMs)
	}
	return t.slowBound(s.usualFirst.ms)
}

// streamed notes how a stream came, and tells whether its backend was far slower than is usual.
func (s *service) streamed(t *try, staged bool, bound float64, first time.Duration, r *relay) (fast speed, paced bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.total == 0 {
		return speedUnclear, false
	}
	firstMs := float64(first.Microseconds()) / 1000
	gap := r.gapMs()
	slow := s.usualGap.ms > 0 && gap > s.slowGap()
	// A stream without a gap tells little where others have some.
	clear := gap > 0 && gap < clearTimes*s.usualGap.ms || s.usualGap.ms == 0 && firstMs < clearTimes*s.usualFirst.ms
	if staged {
		s.usualFirst.learn(firstMs)
	}
	if gap > 0 {
		s.usualGap.learn(gap)
	}
	switch {
	case slow:
		return speedSlow, true
	case firstMs > bound:
		return speedLate, false
	case clear:
		return speedUsual, gap > 0
	}
	return speedUnclear, false
}

// slowGap is the mean gap of a stretch of a stream beyond which it counts as slow, ms. The lock is held.
func (s *service) slowGap() float64 { return slowTimes*s.usualGap.ms + leastSlowGap }

// stretchOver tells whether a stretch of a stream that has lasted so long is long enough to tell whether its backend is slow.
func (s *service) stretchOver(lasted time.Duration, events int) bool {
	if events >= paceStretch {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usualGap.ms > 0 && float64(lasted.Milliseconds()) > paceStretch*s.slowGap()
}

// wholeBound is how long an answer that comes whole usually takes on the request's route, and how long it may take before it counts as
// slow, ms.
func (s *service) wholeBound(t *try) (usual, bound float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	usual = s.usualWhole[t.route.Name].ms
	return usual, t.slowBound(usual)
}

// tookWhole notes how long an answer took that came whole.
func (s *service) tookWhole(t *try, ms float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, known := s.usualWhole[t.route.Name]
	if !known && len(s.usualWhole) >= maxUsual {
		return
	}
	u.learn(ms)
	s.usualWhole[t.route.Name] = u
}

// outcomes gives what is to be told, if it is time for that. The lock is not held.
func (s *service) outcomes(all bool) []distribution.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recorder.CountOverdue(s.now())
	if !all && !s.recorder.Adverse() {
		return nil
	}
	return s.recorder.Drain()
}

// tellOutcomes tells the fleet how attempts end, until ctx ends: bad ends soon, all in turn.
func (v *Proxy) tellOutcomes(ctx context.Context) {
	tick := time.NewTicker(outcomeStep)
	defer tick.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		w := v.world.Load()
		if w == nil {
			continue
		}
		now := time.Now()
		all := now.Sub(last) >= outcomesEvery
		var told []distribution.Outcome
		for s := range maps.Values(w.services) {
			told = append(told, s.outcomes(all)...)
		}
		if all {
			last = now
		}
		if len(told) > 0 {
			v.outcomes.Put(distribution.OutcomeReport{Proxy: v.set.NodeName, Zone: v.set.Zone, Outcomes: told})
		}
	}
}
