package outlier

import "slices"

const (
	// minComplaints is the minimum number of proxies that must have had bad results at a backend: a single proxy that
	// is faulty or sends wrong reports can't get a backend ejected.
	minComplaints = 3
	// minComplaintWeight is the minimum number of bad results, after decay, that count as a proxy's complaint.
	minComplaintWeight = 0.3
	// minBadShare is the minimum mean over proxies of the fraction of attempts with bad results.
	minBadShare = 0.18
	// minLateShare is the minimum instead of minBadShare if answers were only late.
	minLateShare = 0.25
	// peerFactor is the minimum ratio of a backend's share of bad results to the median of its peers. If all backends
	// do equally badly, the cause is load.
	peerFactor = 3
	// minSlowShare is the share of slow streams from which on a backend is conclusively an outlier. Lower shares occur
	// where streams are preempted by more urgent ones.
	minSlowShare = 0.6
	// overloadAnswerRate is the fraction of the median answer rate above which a late backend is considered overloaded
	// rather than faulty.
	overloadAnswerRate = 0.4
	// normalBadShare is the share of bad results that the upper quartile of a group's backends doesn't exceed unless
	// the group is overloaded. During overload, lateness doesn't indicate a fault of a backend, unless it is
	// unresponsive.
	normalBadShare = 0.05
	// unresponsiveAnswerRate is the fraction of the median answer rate up to which a backend is unresponsive.
	unresponsiveAnswerRate = 0.1
)

// assessment summarizes the counts of one backend over the proxies of one zone, or of all zones.
type assessment struct {
	complaints      int     // number of proxies with a complaint
	proxies         float64 // number of proxies with attempts; less than one attempt counts as a fraction
	badShare        float64 // fraction of the attempts with bad results, mean over proxies
	unansweredShare float64 // fraction of the attempts that failed or got no answer, mean over proxies
	failedShare     float64 // fraction of the attempts that failed, mean over proxies
	streamedProxies float64 // number of proxies with streamed answers, counted like proxies
	slowShare       float64 // fraction of slow streams, mean over streamedProxies
	answerRate      float64 // decaying count of answers
}

// assess summarizes the counts of a backend over the proxies of a zone; "" means all zones.
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

// add adds one proxy's weighted shares; assess divides the sums by the weights.
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

// isOutlier reports whether a backend does far worse than its peers; peersBadShare is their median share of bad
// results.
func (a *assessment) isOutlier(peersBadShare float64) bool {
	return a.complaints >= minComplaints && a.badShare >= max(minBadShare, peerFactor*peersBadShare)
}

// conclusive reports whether load can be excluded as the cause: attempts failed, or most streams were slow.
func (a *assessment) conclusive() bool {
	return a.failedShare >= minBadShare/2 || a.streamedProxies >= 1 && a.slowShare >= minSlowShare
}

// onlySlow reports whether the backend answers, but late or slowly.
func (a *assessment) onlySlow() bool { return a.unansweredShare < a.badShare/2 }

// findOutlier compares a backend with the median share of bad results of its peers. ok reports whether it is an
// outlier, and zone for which proxies: those of one zone if only that zone has complaints, since the network path from
// that zone may be broken; "" for all.
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

// groupStats has statistics over the backends of a group.
type groupStats struct {
	medianBadShare        float64
	upperQuartileBadShare float64
	medianAnswerRate      float64
}

// groupStats returns the statistics over the backends of a group that aren't ejected.
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

// mayBeOverloaded reports whether overload may be the reason why a backend is late.
func (g *groupStats) mayBeOverloaded(a *assessment) bool {
	switch {
	case a.answerRate <= unresponsiveAnswerRate*g.medianAnswerRate:
		return false
	case g.upperQuartileBadShare > normalBadShare:
		return true
	}
	return a.answerRate > overloadAnswerRate*g.medianAnswerRate
}

// quantile returns a quantile of all, the lower value if it lies between two, or 0 if all is empty. It sorts all.
func quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(float64(len(all)-1)*part)]
}
