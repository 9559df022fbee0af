package outlier

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// maxEjectedDivisor limits ejections to 1/maxEjectedDivisor of a group.
	maxEjectedDivisor = 3
	// maxLateEjectedDivisor is the divisor for a backend whose assessment is not conclusive (it is only late).
	maxLateEjectedDivisor = 6
	// trialsToRestore is how many trials in a row must succeed to restore a backend; it doubles with each strike.
	trialsToRestore = 4
	// maxStrikes is the maximum number of doublings.
	maxStrikes = 2
	// strikeLifetimeMs is how long after its restoration a backend's strikes count, ms.
	strikeLifetimeMs = 30_000
	// maxTrialsPerReport is the maximum number of successful trials counted per report.
	maxTrialsPerReport = 2
	// maxTrialShare is the maximum fraction of the required trials that one proxy can contribute if others report: a
	// single proxy can't restore a backend, since the fault may be on the other proxies' network paths to it.
	maxTrialShare = 0.75
	// reportDelayMs is the time after an ejection in which reported successes may still be from before it, ms.
	reportDelayMs = 1500
	// suspicionMs is the time after its last bad result in which a backend may be ejected, ms.
	suspicionMs = 2 * halfLifeMs
	// proxyTimeoutMs is how long the counts of a proxy are kept after its last report, ms.
	proxyTimeoutMs = 10 * halfLifeMs
	// maxProxies is the maximum number of proxies that are tracked, in total and for each backend.
	maxProxies = 4096
)

// Peer is a listed backend, which the Detector compares with the others of its group.
type Peer struct {
	// ID identifies one incarnation of a backend.
	ID string
	// Group identifies the backends that serve the same requests: the service and the phase.
	Group string
}

// Detector decides which backends are ejected. It is not safe for concurrent use.
type Detector struct {
	backends  map[string]*backendStats // by id
	reporters map[string]reporter      // proxies that reported within proxyTimeoutMs, by name
}

// reporter is a proxy that reports.
type reporter struct {
	zone string
	at   float64 // time of its last report, ms
}

// backendStats is the Detector's state for one backend.
type backendStats struct {
	byProxy   map[string]*proxyStats
	lastBadAt float64 // time when a bad result was last counted, ms

	// The current ejection.
	ejected    bool
	ejectedAt  float64        // ms
	zone       string         // zone of the proxies that it applies to; "": all
	slow       bool           // it answers, but late or slowly
	goodTrials map[string]int // successful trials since the last bad result, by proxy

	// Earlier ejections.
	strikes    int
	restoredAt float64 // ms
}

// NewDetector returns a Detector without reports.
func NewDetector() *Detector {
	return &Detector{
		backends:  map[string]*backendStats{},
		reporters: map[string]reporter{},
	}
}

// Observe processes a report of one proxy. Inconsistent counts are ignored.
func (d *Detector) Observe(now float64, report *distribution.OutcomeReport) {
	if _, known := d.reporters[report.Proxy]; known || len(d.reporters) < maxProxies {
		d.reporters[report.Proxy] = reporter{zone: report.Zone, at: now}
	}
	for i := range report.Outcomes {
		d.observe(now, report, &report.Outcomes[i])
	}
}

func (d *Detector) observe(now float64, report *distribution.OutcomeReport, o *distribution.Outcome) {
	if !valid(o) {
		return
	}
	b := d.backends[o.Backend]
	if b == nil {
		b = &backendStats{byProxy: map[string]*proxyStats{}, lastBadAt: math.Inf(-1)}
		d.backends[o.Backend] = b
	}
	p := b.byProxy[report.Proxy]
	if p == nil {
		if len(b.byProxy) >= maxProxies {
			return
		}
		p = &proxyStats{decayedAt: now}
		b.byProxy[report.Proxy] = p
	}
	p.decay(now)
	p.zone = report.Zone
	p.add(o)
	if o.Failed+o.Slow+o.Overdue > 0 {
		b.lastBadAt = now
		b.goodTrials = nil
		return
	}
	afterEjection := now-b.ejectedAt > reportDelayMs
	if b.ejected && afterEjection && (b.zone == "" || b.zone == report.Zone) {
		b.addGoodTrials(report.Proxy, min(o.Attempts, maxTrialsPerReport))
	}
}

// Step assesses all listed backends and returns the ejections in force, sorted by backend id. The state of backends
// that aren't listed is dropped.
func (d *Detector) Step(now float64, peers []Peer) []distribution.Ejection {
	d.forget(now, peers)
	groups := map[string][]Peer{}
	for _, peer := range peers {
		groups[peer.Group] = append(groups[peer.Group], peer)
	}
	for _, group := range groups {
		d.stepGroup(now, group)
	}
	var ejections []distribution.Ejection
	for id, b := range d.backends {
		if b.ejected {
			ejections = append(ejections, distribution.Ejection{
				Backend:   id,
				Zone:      b.zone,
				Probation: len(b.goodTrials) > 0,
				Slow:      b.slow,
			})
		}
	}
	slices.SortFunc(ejections, func(a, b distribution.Ejection) int { return cmp.Compare(a.Backend, b.Backend) })
	return ejections
}

// forget drops the state of backends that are no longer listed, and of proxies that have not reported for
// proxyTimeoutMs.
func (d *Detector) forget(now float64, peers []Peer) {
	listed := make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.ID] = true
	}
	for proxy, r := range d.reporters {
		if now-r.at > proxyTimeoutMs {
			delete(d.reporters, proxy)
		}
	}
	for id, b := range d.backends {
		if !listed[id] {
			delete(d.backends, id)
			continue
		}
		for proxy, p := range b.byProxy {
			if now-p.decayedAt > proxyTimeoutMs {
				delete(b.byProxy, proxy)
			}
		}
	}
}

// stepGroup restores and ejects backends of a group.
func (d *Detector) stepGroup(now float64, group []Peer) {
	ejected := d.reviewEjections(now, group)
	for _, c := range d.candidates(now, group) {
		most := len(group) / maxEjectedDivisor
		if !c.conclusive() {
			most = len(group) / maxLateEjectedDivisor
		}
		if ejected < most {
			c.backend.eject(now, c.zone, c.onlySlow())
			ejected++
		}
	}
}

// reviewEjections restores the ejected backends of a group that have enough successful trials, widens the ejections of
// others if needed, and returns how many stay ejected.
func (d *Detector) reviewEjections(now float64, group []Peer) (ejected int) {
	for _, peer := range group {
		b := d.backends[peer.ID]
		if b == nil || !b.ejected {
			continue
		}
		if b.earnedTrials(d.reportersIn(b.zone)) >= b.requiredTrials() {
			b.restore(now)
			continue
		}
		ejected++
		b.widenToAllZones(now)
		if a := b.assess(now, ""); a.badShare > 0 {
			b.slow = a.onlySlow() // late answers distinguish a slow backend from an unresponsive one
		}
	}
	return ejected
}

// candidate is a backend that may be ejected.
type candidate struct {
	assessment
	backend *backendStats
	zone    string // zone of the proxies that the ejection would apply to; "": all
}

// candidates returns the backends of a group that may be ejected, the worst first.
func (d *Detector) candidates(now float64, group []Peer) []candidate {
	if !slices.ContainsFunc(group, func(peer Peer) bool { return d.backends[peer.ID].suspect(now) }) {
		return nil // the common case: no suspect
	}
	var all []candidate
	peers := d.groupStats(now, group)
	for _, peer := range group {
		b := d.backends[peer.ID]
		if !b.suspect(now) {
			continue
		}
		zone, a, ok := b.findOutlier(now, peers.medianBadShare)
		if !ok || !a.conclusive() && (a.badShare < minLateShare || peers.mayBeOverloaded(&a)) {
			continue
		}
		all = append(all, candidate{assessment: a, backend: b, zone: zone})
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.badShare, a.badShare) })
	return all
}

// suspect reports whether a backend isn't ejected and had a bad result within suspicionMs; false if b is nil.
func (b *backendStats) suspect(now float64) bool {
	return b != nil && !b.ejected && now-b.lastBadAt < suspicionMs
}

// widenToAllZones extends an ejection for the proxies of one zone to all proxies once those of another zone have
// complaints too.
func (b *backendStats) widenToAllZones(now float64) {
	if b.zone == "" {
		return
	}
	for _, zone := range b.zones() {
		if zone == b.zone {
			continue
		}
		if a := b.assess(now, zone); a.complaints > 0 && a.badShare >= minBadShare {
			b.zone = ""
			return
		}
	}
}

// requiredTrials returns how many successful trials in a row restore the backend.
func (b *backendStats) requiredTrials() int { return trialsToRestore << min(b.strikes, maxStrikes) }

// addGoodTrials counts successful trials of one proxy.
func (b *backendStats) addGoodTrials(proxy string, n int) {
	if n == 0 {
		return
	}
	if b.goodTrials == nil {
		b.goodTrials = map[string]int{}
	}
	b.goodTrials[proxy] += n
}

// earnedTrials returns the number of successful trials that count. If several proxies report, one proxy contributes at
// most maxTrialShare of the required trials.
func (b *backendStats) earnedTrials(reporters int) int {
	most := b.requiredTrials()
	if reporters > 1 {
		most = int(maxTrialShare * float64(most))
	}
	earned := 0
	for _, n := range b.goodTrials {
		earned += min(n, most)
	}
	return earned
}

// reportersIn returns the number of proxies of a zone that reported within proxyTimeoutMs; "" means all zones.
func (d *Detector) reportersIn(zone string) int {
	n := 0
	for _, r := range d.reporters {
		if zone == "" || r.zone == zone {
			n++
		}
	}
	return n
}

func (b *backendStats) eject(now float64, zone string, slow bool) {
	if now-b.restoredAt > strikeLifetimeMs {
		b.strikes = 0
	}
	b.ejected = true
	b.ejectedAt = now
	b.zone = zone
	b.slow = slow
	b.goodTrials = nil
}

// restore ends an ejection and drops the earlier counts, which no longer describe the backend.
func (b *backendStats) restore(now float64) {
	b.ejected = false
	b.zone = ""
	b.goodTrials = nil
	b.lastBadAt = math.Inf(-1)
	b.strikes = min(b.strikes+1, maxStrikes)
	b.restoredAt = now
	clear(b.byProxy)
}
