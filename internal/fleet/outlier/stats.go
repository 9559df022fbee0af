package outlier

import (
	"math"

	"molepaddle/internal/fleet/distribution"
)

const (
	// halfLifeMs is the half-life of the counts, ms.
	halfLifeMs = 800
	// answerRateHalfLifeMs is the half-life of the answer rate, ms. It is short, since the rate is compared with the
	// current rate of the peers.
	answerRateHalfLifeMs = 400
)

// proxyStats has one proxy's recent counts of one backend, which decay with time.
type proxyStats struct {
	zone      string
	decayedAt float64

	attempts float64
	failed   float64
	streamed float64 // streamed answers, whose pace is known
	slow     float64 // streamed answers that were far slower than usual
	overdue  float64 // attempts without an answer in far longer than the usual time
	late     float64 // overdue attempts that were answered later
	answers  float64 // answers of all kinds, decaying faster
}

// decay applies the decay since the last call.
func (p *proxyStats) decay(now float64) {
	factor := math.Exp2(-(now - p.decayedAt) / halfLifeMs)
	p.attempts *= factor
	p.failed *= factor
	p.slow *= factor
	p.streamed *= factor
	p.overdue *= factor
	p.late *= factor
	p.answers *= math.Exp2(-(now - p.decayedAt) / answerRateHalfLifeMs)
	p.decayedAt = now
}

// add counts an outcome that the proxy reported.
func (p *proxyStats) add(o *distribution.Outcome) {
	p.attempts += float64(o.Attempts)
	p.failed += float64(o.Failed)
	p.slow += float64(o.Slow)
	p.streamed += float64(o.Streamed)
	p.overdue += float64(o.Overdue)
	p.late += float64(o.Late)
	p.answers += float64(o.Attempts - o.Failed - o.Overdue + o.Late)
}

// badEnds returns the number of attempts that failed, were slow or are overdue.
func (p *proxyStats) badEnds() float64 { return p.failed + p.slow + p.overdue }

// badShare returns the fraction of the attempts that failed, were slow or are overdue.
func (p *proxyStats) badShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.badEnds()/p.attempts, 1)
}

// failedShare returns the fraction of the attempts that failed.
func (p *proxyStats) failedShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.failed/p.attempts, 1)
}

// unansweredShare returns the fraction of the attempts that failed or got no answer.
func (p *proxyStats) unansweredShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min((p.failed+max(p.overdue-p.late, 0))/p.attempts, 1)
}

// valid reports whether the counts of an outcome are consistent; a faulty proxy may send inconsistent ones.
func valid(o *distribution.Outcome) bool {
	if o.Attempts < 0 || o.Failed < 0 || o.Slow < 0 || o.Overdue < 0 || o.Late < 0 {
		return false
	}
	return o.Slow <= o.Streamed && o.Failed+o.Streamed+o.Overdue <= o.Attempts
}
