package outlier

import (
	"cmp"
	"math"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// Peer is a listed backend as the Detector compares it with others of its group.
type Peer struct {
	ID    string
	Group string // what serves the same requests: its service and phase
}

const (
	// halfLifeMs is the time in which half of what was counted is forgotten, ms, and answerRateHalfLifeMs that for the rate of answers.
	halfLifeMs, answerRateHalfLifeMs = 800, 400
	// minComplaints is how many proxies must have had bad ends at a backend: one that is ill itself, or lies, condemns nobody.
	minComplaints = 3
	// minBadShare is the part of the attempts, on the mean over proxies, that must have ended badly, and peerFactor how many times
	// the median of its peers' that must be. Where all do badly alike it is load.
	minBadShare, peerFactor = 0.18, 3
	// overloadAnswerRate is the part of the median rate of its peers' answers above which a backend that is late is pressed rather than ill.
	overloadAnswerRate = 0.4
	// normalBadShare is the part of bad ends that three in four of a group's backends stay below while it is not pressed. While it is,
	// lateness tells nothing of a backend, unless its rate of answers is below unresponsiveAnswerRate of the median.
	normalBadShare, unresponsiveAnswerRate = 0.05, 0.1
	// minSlowShare is the part of the answers that came slowly at a backend that is ill for certain: some come so where streams make way
	// for more urgent ones.
	minSlowShare = 0.6
	// minLateShare is what minBadShare is for lateness alone.
	minLateShare = 0.25
	// maxEjectedDivisor is one in how many of a group are ejected at the most, and maxLateEjectedDivisor where the next one is only late.
	maxEjectedDivisor, maxLateEjectedDivisor = 3, 6
	// trialsToRestore is how many trials in a row must succeed, doubled with each strike up to maxStrikes of them; a strike
	// is forgotten after strikeLifetimeMs, ms.
	trialsToRestore, maxStrikes, strikeLifetimeMs = 4, 2, 30_000
	// reportDelayMs is for how long after an ejection good ends may have been counted before it, ms.
	reportDelayMs = 1500
	// minComplaintWeight is the least weight, after forgetting, with which a bad end counts as a proxy's complaint.
	minComplaintWeight = 0.3
	// maxProxies bounds the proxies whose counts are told apart at one backend.
	maxProxies = 4096
)

// proxyStats is what one proxy saw of one backend of late, fading with time.
type proxyStats struct {
	zone      string
	attempts  float64
	failed    float64
	slow      float64 // far slower than usual once its answer had begun
	paced     float64 // came in parts, which shows how fast
	overdue   float64 // not answered within far longer than usual
	late      float64 // overdue, and answered in the end
	answers   float64 // of all kinds, fading faster
	decayedAt float64
}

// decay forgets what is old.
func (p *proxyStats) decay(now float64) {
	part := math.Exp2(-(now - p.decayedAt) / halfLifeMs)
	p.attempts *= part
	p.failed *= part
	p.slow *= part
	p.paced *= part
	p.overdue *= part
	p.late *= part
	p.answers *= math.Exp2(-(now - p.decayedAt) / answerRateHalfLifeMs)
	p.decayedAt = now
}

// badShare is the part of the attempts that ended badly.
func (p *proxyStats) badShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.badEnds()/p.attempts, 1)
}

// failedShare is the part of the attempts that failed.
func (p *proxyStats) failedShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min(p.failed/p.attempts, 1)
}

// badEnds is how many attempts ended badly or are overdue.
func (p *proxyStats) badEnds() float64 { return p.failed + p.slow + p.overdue }

// unansweredShare is the part of the attempts that failed, or to which nothing came.
func (p *proxyStats) unansweredShare() float64 {
	if p.attempts <= 0 {
		return 0
	}
	return min((p.failed+max(p.overdue-p.late, 0))/p.attempts, 1)
}

// backendStats is what is known of one backend.
type backendStats struct {
	byProxy    map[string]*proxyStats
	lastBadAt  float64 // when a bad end was last counted
	ejected    bool
	ejectedAt  float64 // of the ejection
	slow       bool    // it served, only slowly
	zone       string  // for whose proxies; "": for all
	goodTrials int     // trials since the last bad one
	strikes    int
	restoredAt float64
}

// Detector decides which backends are ejected. Times are in ms on a clock that doesn't go back.
type Detector struct {
	backends map[string]*backendStats
}

// NewDetector returns a Detector that knows nothing.
func NewDetector() *Detector { return &Detector{backends: map[string]*backendStats{}} }

// Observe takes what one proxy counted.
func (d *Detector) Observe(now float64, report *distribution.OutcomeReport) {
	for i := range report.Outcomes {
		d.observe(now, report, &report.Outcomes[i])
	}
}

func (d *Detector) observe(now float64, report *distribution.OutcomeReport, o *distribution.Outcome) {
	if o.Attempts < 0 || o.Failed < 0 || o.Slow < 0 || o.Overdue < 0 || o.Late < 0 || o.Slow > o.Streamed || o.Failed+o.Streamed+o.Overdue > o.Attempts {
		return
	}
	s := d.backends[o.Backend]
	if s == nil {
		s = &backendStats{byProxy: map[string]*proxyStats{}, lastBadAt: math.Inf(-1)}
		d.backends[o.Backend] = s
	}
	t := s.byProxy[report.Proxy]
	if t == nil {
		if len(s.byProxy) >= maxProxies {
			return
		}
		t = &proxyStats{decayedAt: now}
		s.byProxy[report.Proxy] = t
	}
	t.decay(now)
	t.zone = report.Zone
	t.attempts += float64(o.Attempts)
	t.failed += float64(o.Failed)
	t.slow += float64(o.Slow)
	t.paced += float64(o.Streamed)
	t.overdue += float64(o.Overdue)
	t.late += float64(o.Late)
	t.answers += float64(o.Attempts - o.Failed - o.Overdue + o.Late)
	if o.Failed+o.Slow+o.Overdue > 0 {
		s.lastBadAt, s.goodTrials = now, 0
	} else if s.ejected && now-s.ejectedAt > reportDelayMs && (s.zone == "" || s.zone == report.Zone) {
		s.goodTrials += min(o.Attempts, 2) // no single proxy's word restores a backend
	}
}

// assessment is what the counts say of one backend for the proxies of one zone, or of all.
type assessment struct {
	complaints      int     // proxies with bad ends
	proxies         float64 // that sent there
	badShare        float64 // of the attempts that ended badly, on the mean over proxies
	unansweredShare float64 // and of those that failed or got no answer
	failedShare     float64 // and of those that failed
	pacedProxies    float64 // proxies that know how fast its answers come
	slowShare       float64 // the part of these answers that came slowly, on the mean over those
	answerRate      float64 // their rate, fading
}

// assess sums up what the proxies of a zone saw of a backend; "": all.
func (b *backendStats) assess(now float64, zone string) assessment {
	var j assessment
	for _, t := range b.byProxy {
		if zone != "" && t.zone != zone {
			continue
		}
		t.decay(now)
		weight := min(t.attempts, 1)
		j.proxies += weight
		j.badShare += weight * t.badShare()
		j.unansweredShare += weight * t.unansweredShare()
		j.failedShare += weight * t.failedShare()
		if t.paced > 0 {
			paced := min(t.paced, 1)
			j.pacedProxies += paced
			j.slowShare += paced * min(t.slow/t.paced, 1)
		}
		j.answerRate += t.answers
		if t.badEnds() >= minComplaintWeight {
			j.complaints++
		}
	}
	if j.proxies > 0 {
		j.badShare /= j.proxies
		j.unansweredShare /= j.proxies
		j.failedShare /= j.proxies
	}
	if j.pacedProxies > 0 {
		j.slowShare /= j.pacedProxies
	}
	return j
}

// zones are those of the proxies that sent to the backend.
func (b *backendStats) zones() []string {
	var all []string
	for _, t := range b.byProxy {
		if t.attempts >= minComplaintWeight && !slices.Contains(all, t.zone) {
			all = append(all, t.zone)
		}
	}
	return all
}

// Step judges all listed backends and gives those that are ejected, by id.
func (d *Detector) Step(now float64, peers []Peer) []distribution.Ejection {
	d.forget(now, peers)
	groups := map[string][]Peer{}
	for _, p := range peers {
		groups[p.Group] = append(groups[p.Group], p)
	}
	for _, group := range groups {
		d.stepGroup(now, group)
	}
	var all []distribution.Ejection
	for id, s := range d.backends {
		if s.ejected {
			all = append(all, distribution.Ejection{Backend: id, Zone: s.zone, Probation: s.goodTrials > 0, Slow: s.slow})
		}
	}
	slices.SortFunc(all, func(a, b distribution.Ejection) int { return cmp.Compare(a.Backend, b.Backend) })
	return all
}

// forget drops what is no longer listed, and proxies that tell nothing any more.
func (d *Detector) forget(now float64, peers []Peer) {
	listed := make(map[string]bool, len(peers))
	for _, p := range peers {
		listed[p.ID] = true
	}
	for id, s := range d.backends {
		if !listed[id] {
			delete(d.backends, id)
			continue
		}
		for proxy, t := range s.byProxy {
			if now-t.decayedAt > 10*halfLifeMs {
				delete(s.byProxy, proxy)
			}
		}
	}
}

// candidate is a backend that may be ejected.
type candidate struct {
	assessment
	subject *backendStats
	zone    string
}

// stepGroup restores and ejects among the backends of a group.
func (d *Detector) stepGroup(now float64, group []Peer) {
	ejected := 0
	suspects := false
	for _, p := range group {
		s := d.backends[p.ID]
		if s == nil {
			continue
		}
		if s.ejected && s.goodTrials >= s.requiredTrials() {
			s.restore(now)
		}
		if s.ejected {
			ejected++
			s.widenToAllZones(now)
			if j := s.assess(now, ""); j.badShare > 0 {
				s.slow = j.onlySlow() // late answers tell what was silent from what is slow
			}
		}
		suspects = suspects || !s.ejected && now-s.lastBadAt < 2*halfLifeMs
	}
	if !suspects {
		return
	}
	var candidates []candidate
	peers := d.groupStats(now, group)
	for _, p := range group {
		s := d.backends[p.ID]
		if s == nil || s.ejected || now-s.lastBadAt >= 2*halfLifeMs {
			continue
		}
		zone, of, ok := s.findOutlier(now, peers.medianBadShare)
		if !ok || !of.conclusive() && (of.badShare < minLateShare || peers.mayBeOverloaded(&of)) {
			continue
		}
		candidates = append(candidates, candidate{subject: s, zone: zone, assessment: of})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.badShare, a.badShare) })
	for _, c := range candidates {
		most := len(group) / maxEjectedDivisor
		if !c.conclusive() {
			most = len(group) / maxLateEjectedDivisor
		}
		if ejected < most {
			c.subject.eject(now, c.zone, c.onlySlow())
			ejected++
		}
	}
}

// groupStats is how the backends of a group do together.
type groupStats struct {
	medianBadShare        float64 // the median of their shares of bad ends
	upperQuartileBadShare float64 // which three in four of them stay below
	medianAnswerRate      float64 // the median of their rates of answers
}

// mayBeOverloaded tells whether a backend that is late may be pressed rather than ill.
func (g *groupStats) mayBeOverloaded(of *assessment) bool {
	switch {
	case of.answerRate <= unresponsiveAnswerRate*g.medianAnswerRate:
		return false
	case g.upperQuartileBadShare > normalBadShare:
		return true
	}
	return of.answerRate > overloadAnswerRate*g.medianAnswerRate
}

// groupStats sums up the backends of a group that are in use.
func (d *Detector) groupStats(now float64, group []Peer) groupStats {
	var shares, rates []float64
	for _, p := range group {
		s := d.backends[p.ID]
		if s == nil || s.ejected {
			continue
		}
		if j := s.assess(now, ""); j.proxies >= 1 {
			shares = append(shares, j.badShare)
			rates = append(rates, j.answerRate)
		}
	}
	return groupStats{medianBadShare: quantile(shares, 0.5), upperQuartileBadShare: quantile(shares, 0.75), medianAnswerRate: quantile(rates, 0.5)}
}

// quantile gives the lower one where two are as near; 0 of none. It sorts them.
func quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(float64(len(all)-1)*part)]
}

// findOutlier tells whether a backend is to be ejected, and for whom: for the proxies of one zone where those of others have no
// complaint, as the path from there may be broken.
func (b *backendStats) findOutlier(now, shares float64) (zone string, of assessment, ok bool) {
	all := b.assess(now, "")
	zones := b.zones()
	bad, told := 0, 0
	for _, z := range zones {
		j := b.assess(now, z)
		if j.proxies < 1 {
			continue
		}
		told++
		if j.badShare >= minBadShare/2 {
			bad++
			zone = z
		}
	}
	if told >= 2 && bad == 1 {
		j := b.assess(now, zone)
		return zone, j, j.isOutlier(shares)
	}
	return "", all, all.isOutlier(shares)
}

// isOutlier tells whether a backend does so badly against its peers that it is ill.
func (a *assessment) isOutlier(shares float64) bool {
	return a.complaints >= minComplaints && a.badShare >= max(minBadShare, peerFactor*shares)
}

// conclusive tells whether no load explains what the proxies saw: attempts failed, or nearly all answers came slowly.
func (a *assessment) conclusive() bool {
	return a.failedShare >= minBadShare/2 || a.pacedProxies >= 1 && a.slowShare >= minSlowShare
}

// onlySlow tells whether the backend answers, too late.
func (a *assessment) onlySlow() bool { return a.unansweredShare < a.badShare/2 }

// widenToAllZones ejects for all proxies what was ejected for those of one zone, once those of others have complaints, too.
func (b *backendStats) widenToAllZones(now float64) {
	if b.zone == "" {
		return
	}
	for _, zone := range b.zones() {
		if zone == b.zone {
			continue
		}
		if j := b.assess(now, zone); j.complaints > 0 && j.badShare >= minBadShare {
			b.zone = ""
			return
		}
	}
}

// requiredTrials is how many good trials restore the backend.
func (b *backendStats) requiredTrials() int { return trialsToRestore << min(b.strikes, maxStrikes) }

func (b *backendStats) eject(now float64, zone string, slow bool) {
	if now-b.restoredAt > strikeLifetimeMs {
		b.strikes = 0
	}
	b.ejected, b.ejectedAt, b.zone, b.slow, b.goodTrials = true, now, zone, slow, 0
}

// restore ends an ejection. What was counted before tells nothing of the backend as it is now.
func (b *backendStats) restore(now float64) {
	b.ejected, b.zone, b.goodTrials, b.lastBadAt = false, "", 0, math.Inf(-1)
	b.strikes, b.restoredAt = min(b.strikes+1, maxStrikes), now
	clear(b.byProxy)
}
