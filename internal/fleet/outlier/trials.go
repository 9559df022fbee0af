package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// ejectionTTLMs is how long an ejection lasts unless it is renewed, ms. The primary renews it every second; while
	// the control plane is unavailable, ejections must expire.
	ejectionTTLMs = 3000
	// trialIntervalMs is the mean time between two trials of an ejected backend, over all proxies together, ms.
	trialIntervalMs = 1500
	// probationIntervalMs is that mean time once trials have succeeded, ms.
	probationIntervalMs = 300
	// nonIdempotentDelayFactor is the factor by which the wait until a trial with a non-idempotent request is longer.
	nonIdempotentDelayFactor = 3
	// idempotentRareMs is the time without an idempotent request after which others are used for trials, ms.
	idempotentRareMs = 30_000
)

// ProxyCount is the number of proxies that share the trials.
type ProxyCount struct {
	// All is the number of proxies in all zones.
	All int
	// InZone is the number of proxies in the proxy's own zone.
	InZone int
}

// Risk describes the cost of using a request for a trial.
type Risk struct {
	// Idempotent is true if another backend can serve the request when the trial fails, so that a failed trial costs
	// nothing.
	Idempotent bool
	// LongDecode is true if the answer takes long to decode, so that a slow backend delays it much.
	LongDecode bool
}

// Trials has the ejected backends of one service at one proxy, and the times of the proxy's next trial request to each.
// Each proxy chooses its times at random, so that all proxies together reach the mean intervals trialIntervalMs and
// probationIntervalMs. It is not safe for concurrent use.
type Trials struct {
	random  func() float64    // exponentially distributed with mean 1
	ejected []*ejectedBackend // in the order of SetEjections, which is by id

	idempotentSeen   bool
	lastIdempotentAt float64 // time of the last idempotent request, ms
}

type ejectedBackend struct {
	distribution.Ejection
	until   float64 // time when the ejection expires, ms
	proxies int     // number of proxies that share its trials

	nextTrialAt              float64 // time of the next trial with an idempotent request, ms
	nextNonIdempotentTrialAt float64 // time of the next trial with any request, ms
}

// NewTrials returns a Trials without ejections; random must return exponentially distributed numbers with mean 1.
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

// find returns the ejected backend with the id; nil if there is none.
func (t *Trials) find(id string) *ejectedBackend {
	for _, b := range t.ejected {
		if b.Backend == id {
			return b
		}
	}
	return nil
}

// SetEjections replaces the ejections in force by those that apply to proxies of the zone and to backends that known
// accepts. It returns the ids of the ejected backends, and of those that are no longer ejected.
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

// EjectionExpiry returns the time when an ejection that is set at now expires, ms.
func EjectionExpiry(now float64) float64 { return now + ejectionTTLMs }

// Ejected reports whether a backend is ejected.
func (t *Trials) Ejected(now float64, id string) bool {
	b := t.find(id)
	return b != nil && now < b.until
}

// NextTrial returns the ejected backend, of those that among accepts, that a request should try now, and schedules that
// backend's next trial; "" if there is none.
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

// trialDue reports whether a request with this risk should try a backend now.
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
