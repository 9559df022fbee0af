package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// ejectionTTLMs is for how long an ejection stands that is not heard of again, ms: the primary repeats it every second.
	ejectionTTLMs = 3000
	// trialIntervalMs is the time between two trials of an ejected backend by all proxies together, on the mean, ms, and probationIntervalMs
	// once trials have succeeded.
	trialIntervalMs, probationIntervalMs = 1500, 300
	// nonIdempotentDelayFactor is how many times as long a trial waits for a request that may be repeated before any other is taken.
	nonIdempotentDelayFactor = 3
	// idempotentRareMs is how long no request that may be repeated must have come for others to be taken, ms.
	idempotentRareMs = 30_000
)

// ProxyCount is how many proxies there are, in all and in one's own zone.
type ProxyCount struct{ All, InZone int }

// Risk is what a request would lose by a trial.
type Risk struct {
	Idempotent bool // nothing: another backend can serve it if the trial fails
	LongDecode bool // much, where the backend is slow: its answer is made for long
}

// Trials are the ejected backends of one service at one proxy, and when the proxy next tries each with a request: the trials of all
// proxies together come in the times above, at chance. It is a state machine without I/O or clock; times are in ms.
type Trials struct {
	random           func() float64    // exponentially distributed, 1 on the mean
	ejected          []*ejectedBackend // in the order of their ids
	lastIdempotentAt float64           // when a request last came that may be repeated
	idempotentSeen   bool              // one came
}

// ejectedBackend is an ejected backend.
type ejectedBackend struct {
	distribution.Ejection
	until                    float64 // it is ejected
	proxies                  int     // that try it
	nextTrialAt              float64 // when it is tried by a request that loses nothing
	nextNonIdempotentTrialAt float64 // and by any
}

// NewTrials returns a Trials without ejections; random gives exponentially distributed numbers, 1 on the mean.
func NewTrials(random func() float64) *Trials { return &Trials{random: random} }

func (t *Trials) scheduleTrial(now float64, of *ejectedBackend) {
	every := trialIntervalMs
	if of.Probation {
		every = probationIntervalMs
	}
	wait := t.random() * float64(every*max(of.proxies, 1))
	of.nextTrialAt, of.nextNonIdempotentTrialAt = now+wait, now+nonIdempotentDelayFactor*wait
}

// find is the ejected backend of an id; nil: it isn't ejected.
func (t *Trials) find(id string) *ejectedBackend {
	for _, one := range t.ejected {
		if one.Backend == id {
			return one
		}
	}
	return nil
}

// SetEjections takes the ejections in force as they concern proxies of a zone, of those backends that known accepts. It gives the ids that are
// ejected, and those that no longer are.
func (t *Trials) SetEjections(now float64, ejections []distribution.Ejection, zone string, crowd ProxyCount, known func(id string) bool) (ejected, restored []string) {
	var next []*ejectedBackend
	for _, e := range ejections {
		if !known(e.Backend) || e.Zone != "" && e.Zone != zone {
			continue
		}
		one := t.find(e.Backend)
		if one == nil || one.Ejection != e {
			one = &ejectedBackend{Ejection: e, proxies: crowd.All}
			if e.Zone != "" {
				one.proxies = crowd.InZone
			}
			t.scheduleTrial(now, one)
		}
		one.until = now + ejectionTTLMs
		next = append(next, one)
		ejected = append(ejected, e.Backend)
	}
	for _, was := range t.ejected {
		if !slices.Contains(ejected, was.Backend) {
			restored = append(restored, was.Backend)
		}
	}
	t.ejected = next
	return ejected, restored
}

// EjectionExpiry is when an ejection lapses that Take was just given.
func EjectionExpiry(now float64) float64 { return now + ejectionTTLMs }

// Ejected tells whether a backend is ejected.
func (t *Trials) Ejected(now float64, id string) bool {
	one := t.find(id)
	return one != nil && now < one.until
}

// NextTrial is the ejected backend that a request is to try now, of those that among accepts; "": none. It counts as tried.
func (t *Trials) NextTrial(now float64, risk Risk, among func(id string) bool) string {
	if risk.Idempotent {
		t.lastIdempotentAt, t.idempotentSeen = now, true
	}
	for _, one := range t.ejected {
		if now < one.until && t.trialDue(now, one, risk) && among(one.Backend) {
			t.scheduleTrial(now, one)
			return one.Backend
		}
	}
	return ""
}

func (t *Trials) trialDue(now float64, one *ejectedBackend, risk Risk) bool {
	switch {
	case one.Slow && risk.LongDecode:
		return false
	case one.Slow || risk.Idempotent:
		return now >= one.nextTrialAt
	case t.idempotentSeen && now-t.lastIdempotentAt < idempotentRareMs:
		return false // one that may be repeated will come
	}
	return now >= one.nextNonIdempotentTrialAt
}
