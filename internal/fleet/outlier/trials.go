package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// ejectionTTLMs is how long an ejection holds without being repeated, ms: the primary repeats it every second,
	// and when the control plane is gone it must not stand for good.
	ejectionTTLMs = 3000
	// trialIntervalMs is the mean time between two trials of an ejected backend, of all proxies together, ms.
	trialIntervalMs = 1500
	// probationIntervalMs is the same once trials have succeeded, ms.
	probationIntervalMs = 300
	// nonIdempotentDelayFactor is how many times as long a trial waits for an idempotent request until it takes any
	// other.
	nonIdempotentDelayFactor = 3
	// idempotentRareMs is how long no idempotent request must have come for others to be taken, ms.
	idempotentRareMs = 30_000
)

// ProxyCount is how many proxies there are: they share the trials.
type ProxyCount struct {
	// All is how many there are in all zones.
	All int
	// InZone is how many there are in the proxy's own zone.
	InZone int
}

// Risk is what a request would lose by a trial.
type Risk struct {
	// Idempotent tells that another backend can serve the request if the trial fails, so that nothing is lost.
	Idempotent bool
	// LongDecode tells that the answer takes long to decode, so that much is lost where the backend is slow.
	LongDecode bool
}

// Trials is the ejected backends of one service at one proxy, and when the proxy next tries each with a request. Each
// proxy draws its times at random, so that all proxies together come to the intervals above. It is not safe for
// concurrent use.
type Trials struct {
	random  func() float64    // exponentially distributed, 1 on the mean
	ejected []*ejectedBackend // in the order of their ids

	idempotentSeen   bool
	lastIdempotentAt float64 // when an idempotent request last came, ms
}

type ejectedBackend struct {
	distribution.Ejection
	until   float64 // when the ejection expires, ms
	proxies int     // that try it

	nextTrialAt              float64 // when an idempotent request tries it, ms
	nextNonIdempotentTrialAt float64 // when any request does, ms
}

// NewTrials returns a Trials without ejections; random returns exponentially distributed numbers, 1 on the mean.
func NewTrials(random func() float64) *Trials { return &Trials{random: random} }

func (t *Trials) scheduleTrial(now float64, b *ejectedBackend) {
	interval := trialIntervalMs
	if b.Probation {
		interval = probationIntervalMs
	}
	wait := t.random() * float64(interval*max(b.proxies, 1))
	b.nextTrialAt = now + wait
	b.nextNonIdempotentTrialAt = now + nonIdempotentDelayFactor*wait
}

// find returns the ejected backend of an id; nil where it isn't ejected.
func (t *Trials) find(id string) *ejectedBackend {
	for _, b := range t.ejected {
		if b.Backend == id {
			return b
		}
	}
	return nil
}

// SetEjections replaces the ejections in force, as far as they concern proxies of the zone and backends that known
// accepts. It returns the ids that are ejected, and those that no longer are.
func (t *Trials) SetEjections(now float64, ejections []distribution.Ejection, zone string, proxies ProxyCount,
	known func(id string) bool) (ejected, restored []string) {
	var next []*ejectedBackend
	for _, e := range ejections {
		if !known(e.Backend) || e.Zone != "" && e.Zone != zone {
			continue
		}
		b := t.find(e.Backend)
		if b == nil || b.Ejection != e {
			b = &ejectedBackend{Ejection: e, proxies: proxies.All}
			if e.Zone != "" {
				b.proxies = proxies.InZone
			}
			t.scheduleTrial(now, b)
		}
		b.until = EjectionExpiry(now)
		next = append(next, b)
		ejected = append(ejected, e.Backend)
	}
	for _, b := range t.ejected {
		if !slices.Contains(ejected, b.Backend) {
			restored = append(restored, b.Backend)
		}
	}
	t.ejected = next
	return ejected, restored
}

// EjectionExpiry returns when an ejection expires that SetEjections takes now, ms.
func EjectionExpiry(now float64) float64 { return now + ejectionTTLMs }

// Ejected tells whether a backend is ejected.
func (t *Trials) Ejected(now float64, id string) bool {
	b := t.find(id)
	return b != nil && now < b.until
}

// NextTrial returns the ejected backend that a request is to try now, of those that among accepts, and counts it as
// tried; "" where there is none.
func (t *Trials) NextTrial(now float64, risk Risk, among func(id string) bool) string {
	if risk.Idempotent {
		t.idempotentSeen = true
		t.lastIdempotentAt = now
	}
	for _, b := range t.ejected {
		if now < b.until && t.trialDue(now, b, risk) && among(b.Backend) {
			t.scheduleTrial(now, b)
			return b.Backend
		}
	}
	return ""
}

// trialDue tells whether a request of this risk is to try a backend now.
func (t *Trials) trialDue(now float64, b *ejectedBackend, risk Risk) bool {
	switch {
	case b.Slow && risk.LongDecode:
		return false
	case b.Slow || risk.Idempotent:
		return now >= b.nextTrialAt
	case t.idempotentSeen && now-t.lastIdempotentAt < idempotentRareMs:
		return false // an idempotent request will come
	}
	return now >= b.nextNonIdempotentTrialAt
}
