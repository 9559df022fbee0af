package outlier

import "slices"

const (
	// minComplaints is how many proxies must have had bad ends at a backend: one that is faulty itself, or reports
	// what isn't so, ejects nobody.
	minComplaints = 3
	// minComplaintWeight is the least number of bad ends, after decay, that make a proxy's complaint.
	minComplaintWeight = 0.3
	// minBadShare is the share of the attempts, on the mean over proxies, that must have ended badly.
	minBadShare = 0.18
	// minLateShare is minBadShare where answers were only late.
	minLateShare = 0.25
	// peerFactor is how many times the median of its peers a backend's share of bad ends must be. Where all do alike
	// badly it is load.
	peerFactor = 3
	// minSlowShare is the share of slow streams at a backend that is an outlier for certain: some are slow where
	// streams make way for more urgent ones.
	minSlowShare = 0.6
	// overloadAnswerRate is the part of the median answer rate above which a late backend is overloaded rather than
	// faulty.
	overloadAnswerRate = 0.4
	// normalBadShare is the share of bad ends that three in four of a group's backends stay below while the group
	// isn't overloaded. While it is, lateness says nothing of a backend, unless it is unresponsive.
	normalBadShare = 0.05
	// unresponsiveAnswerRate is the part of the median answer rate below which a backend is unresponsive.
	unresponsiveAnswerRate = 0.1
)

// assessment is what the counts say of one backend for the proxies of one zone, or of all.
type assessment struct {
	complaints      int     // proxies with bad ends
	proxies         float64 // proxies that sent there, those with less than one attempt in part
	badShare        float64 // share of the attempts that ended badly, on the mean over proxies
	unansweredShare float64 // the same of those that failed or got no answer
	failedShare     float64 // the same of those that failed
	streamedProxies float64 // proxies that saw how fast answers came, as proxies
	slowShare       float64 // share of the streams that came slowly, on the mean over these
	answerRate      float64 // answers, decaying
}

// assess sums up what the proxies of a zone, "" for all, saw of a backend.
func (b *backendStats) assess(now float64, zone string) assessment {
	var a assessment
	for _, p := range b.byProxy {
		if zone != "" && p.zone != zone {
			continue
		}
		p.decay(now)
		a.add(p)
	}
	if a.proxies > 0 {
		a.badShare /= a.proxies
		a.unansweredShare /= a.proxies
		a.failedShare /= a.proxies
	}
	if a.streamedProxies > 0 {
		a.slowShare /= a.streamedProxies
	}
	return a
}

// add adds one proxy's shares by their weights; the sums are yet to be divided.
func (a *assessment) add(p *proxyStats) {
	weight := min(p.attempts, 1)
	a.proxies += weight
	a.badShare += weight * p.badShare()
	a.unansweredShare += weight * p.unansweredShare()
	a.failedShare += weight * p.failedShare()
	if p.streamed > 0 {
		streamed := min(p.streamed, 1)
		a.streamedProxies += streamed
		a.slowShare += streamed * min(p.slow/p.streamed, 1)
	}
	a.answerRate += p.answers
	if p.badEnds() >= minComplaintWeight {
		a.complaints++
	}
}

// isOutlier tells whether a backend does far worse than its peers, whose median share of bad ends is given.
func (a *assessment) isOutlier(peersBadShare float64) bool {
	return a.complaints >= minComplaints && a.badShare >= max(minBadShare, peerFactor*peersBadShare)
}

// conclusive tells whether no load explains what the proxies saw: attempts failed, or nearly all streams were slow.
func (a *assessment) conclusive() bool {
	return a.failedShare >= minBadShare/2 || a.streamedProxies >= 1 && a.slowShare >= minSlowShare
}

// onlySlow tells whether the backend answers, but too late.
func (a *assessment) onlySlow() bool { return a.unansweredShare < a.badShare/2 }

// findOutlier assesses a backend against the median share of bad ends of its peers. ok tells that it is an outlier,
// and zone for whose proxies: those of one zone where proxies of others have no complaint, since the path from that
// zone may be broken; "" for all.
func (b *backendStats) findOutlier(now, peersBadShare float64) (zone string, a assessment, ok bool) {
	ofAll := b.assess(now, "")
	reporting, complaining := 0, 0
	for _, z := range b.zones() {
		ofZone := b.assess(now, z)
		if ofZone.proxies < 1 {
			continue
		}
		reporting++
		if ofZone.badShare >= minBadShare/2 {
			complaining++
			zone = z
		}
	}
	if reporting >= 2 && complaining == 1 {
		ofZone := b.assess(now, zone)
		return zone, ofZone, ofZone.isOutlier(peersBadShare)
	}
	return "", ofAll, ofAll.isOutlier(peersBadShare)
}

// zones returns the zones of the proxies that sent to the backend.
func (b *backendStats) zones() []string {
	var all []string
	for _, p := range b.byProxy {
		if p.attempts >= minComplaintWeight && !slices.Contains(all, p.zone) {
			all = append(all, p.zone)
		}
	}
	return all
}

// groupStats is how the backends of a group do together.
type groupStats struct {
	medianBadShare        float64
	upperQuartileBadShare float64
	medianAnswerRate      float64
}

// groupStats sums up the backends of a group that aren't ejected.
func (d *Detector) groupStats(now float64, group []Peer) groupStats {
	var badShares, answerRates []float64
	for _, peer := range group {
		b := d.backends[peer.ID]
		if b == nil || b.ejected {
			continue
		}
		if a := b.assess(now, ""); a.proxies >= 1 {
			badShares = append(badShares, a.badShare)
			answerRates = append(answerRates, a.answerRate)
		}
	}
	return groupStats{
		medianBadShare:        quantile(badShares, 0.5),
		upperQuartileBadShare: quantile(badShares, 0.75),
		medianAnswerRate:      quantile(answerRates, 0.5),
	}
}

// mayBeOverloaded tells whether load may explain that a backend is late.
func (g *groupStats) mayBeOverloaded(a *assessment) bool {
	switch {
	case a.answerRate <= unresponsiveAnswerRate*g.medianAnswerRate:
		return false
	case g.upperQuartileBadShare > normalBadShare:
		return true
	}
	return a.answerRate > overloadAnswerRate*g.medianAnswerRate
}

// quantile returns a quantile of all, the lower value where it lies between two; 0 of none. It sorts all.
func quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(float64(len(all)-1)*part)]
}
