package outlier

import (
	"math"

	"molepaddle/internal/fleet/distribution"
)

const (
	// halfLifeMs is the time in which half of what was counted is forgotten, ms.
	halfLifeMs = 800
	// answerRateHalfLifeMs is that time for the rate of answers, ms: it is compared with that of the peers now.
	answerRateHalfLifeMs = 400
)

// proxyStats is what one proxy saw of one backend of late, decaying with time.
type proxyStats struct {
	zone      string
	decayedAt float64

	attempts float64
	failed   float64
	streamed float64 // answers that came in parts, which shows how fast
	slow     float64 // those of them that came far slower than usual
	overdue  float64 // attempts not answered within far longer than usual
	late     float64 // those of them that were answered in the end
	answers  float64 // of all kinds, decaying faster
}

// decay forgets what is old.
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

// badEnds returns how many attempts ended badly or are overdue.
func (p *proxyStats) badEnds() float64 { return p.failed + p.slow + p.overdue }

// badShare returns the share of the attempts that ended badly or are overdue.
func (p *proxyStats) badShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.badEnds()/p.attempts, 1)
}

// failedShare returns the share of the attempts that failed.
func (p *proxyStats) failedShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.failed/p.attempts, 1)
}

// unansweredShare returns the share of the attempts that failed or got no answer.
func (p *proxyStats) unansweredShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min((p.failed+max(p.overdue-p.late, 0))/p.attempts, 1)
}

// valid tells whether the counts of a report can be true; those of a faulty proxy are ignored.
func valid(o *distribution.Outcome) bool {
	if o.Attempts < 0 || o.Failed < 0 || o.Slow < 0 || o.Overdue < 0 || o.Late < 0 {
		return false
	}
	return o.Slow <= o.Streamed && o.Failed+o.Streamed+o.Overdue <= o.Attempts
}
