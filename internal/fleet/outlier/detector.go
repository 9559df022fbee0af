package outlier

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// maxEjectedDivisor is one in how many of a group are ejected at the most.
	maxEjectedDivisor = 3
	// maxLateEjectedDivisor is the same where the next one is only late.
	maxLateEjectedDivisor = 6
	// trialsToRestore is how many trials in a row must succeed to restore a backend; it doubles with each strike.
	trialsToRestore = 4
	// maxStrikes bounds the doubling.
	maxStrikes = 2
	// strikeLifetimeMs is how long after it was restored a backend's strikes count, ms.
	strikeLifetimeMs = 30_000
	// maxTrialsPerReport bounds the successes that one report counts for.
	maxTrialsPerReport = 2
	// maxTrialShare is the part of the required trials that the reports of one proxy count for, where there are
	// others: no single proxy restores a backend, whose trouble may be on the way to the others.
	maxTrialShare = 0.75
	// reportDelayMs is how long after an ejection reported successes may be from before it, ms.
	reportDelayMs = 1500
	// suspicionMs is how long after its last bad end a backend may be ejected, ms.
	suspicionMs = 2 * halfLifeMs
	// proxyTimeoutMs is how long the counts of a proxy that reports no more are held, ms.
	proxyTimeoutMs = 10 * halfLifeMs
	// maxProxies bounds the proxies whose counts are told apart at one backend.
	maxProxies = 4096
)

// Peer is a listed backend as the Detector compares it with others of its group.
type Peer struct {
	// ID names one incarnation of a backend.
	ID string
	// Group is the same for all that serve the same requests: the service and the phase.
	Group string
}

// Detector decides which backends are ejected. It is not safe for concurrent use.
type Detector struct {
	backends  map[string]*backendStats // by id
	reporters map[string]reporter      // proxies that reported of late, by name
}

// reporter is a proxy that reports.
type reporter struct {
	zone string
	at   float64 // of its last report, ms
}

// backendStats is what is known of one backend.
type backendStats struct {
	byProxy   map[string]*proxyStats
	lastBadAt float64 // when a bad end was last counted, ms

	// The present ejection.
	ejected    bool
	ejectedAt  float64        // ms
	zone       string         // for whose proxies; "": for all
	slow       bool           // it answers, but too late
	goodTrials map[string]int // by proxy, since the last bad one

	// Earlier ejections.
	strikes    int
	restoredAt float64 // ms
}

// NewDetector returns a Detector that has seen no report.
func NewDetector() *Detector {
	return &Detector{
		backends:  map[string]*backendStats{},
		reporters: map[string]reporter{},
	}
}

// Observe takes a report of one proxy. Counts that can't be are ignored.
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

// Step assesses all listed backends and returns the ejections in force, by backend id. What is known of backends that
// aren't listed is dropped.
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

// forget drops backends that are no longer listed, and proxies that report no more.
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

// stepGroup restores and ejects among the backends of a group.
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

// reviewEjections restores the ejected backends of a group that have earned it, widens the ejections of others, and
// returns how many stay ejected.
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
			b.slow = a.onlySlow() // answers that come late tell an unresponsive backend from a slow one
		}
	}
	return ejected
}

// candidate is a backend that may be ejected.
type candidate struct {
	assessment
	backend *backendStats
	zone    string // for whose proxies; "": for all
}

// candidates returns the backends of a group that may be ejected, the worst first.
func (d *Detector) candidates(now float64, group []Peer) []candidate {
	if !slices.ContainsFunc(group, func(peer Peer) bool { return d.backends[peer.ID].suspect(now) }) {
		return nil // the usual case: nothing to compare
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

// suspect tells whether a backend that isn't ejected had a bad end of late; false for one of which nothing is known.
func (b *backendStats) suspect(now float64) bool {
	return b != nil && !b.ejected && now-b.lastBadAt < suspicionMs
}

// widenToAllZones ejects for all proxies what was ejected for those of one zone, once those of others have
// complaints, too.
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

// requiredTrials returns how many good trials in a row restore the backend.
func (b *backendStats) requiredTrials() int { return trialsToRestore << min(b.strikes, maxStrikes) }

// addGoodTrials counts trials of one proxy that succeeded.
func (b *backendStats) addGoodTrials(proxy string, n int) {
	if n == 0 {
		return
	}
	if b.goodTrials == nil {
		b.goodTrials = map[string]int{}
	}
	b.goodTrials[proxy] += n
}

// earnedTrials returns how many good trials count, where so many proxies report: those of one proxy up to
// maxTrialShare of what is required, unless it is the only one.
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

// reportersIn returns how many proxies of a zone reported of late; "": of all zones.
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

// restore ends an ejection. What was counted before says nothing of the backend as it is now.
func (b *backendStats) restore(now float64) {
	b.ejected = false
	b.zone = ""
	b.goodTrials = nil
	b.lastBadAt = math.Inf(-1)
	b.strikes = min(b.strikes+1, maxStrikes)
	b.restoredAt = now
	clear(b.byProxy)
}
