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
	// forgetHalf is the time in which half of what was counted is forgotten, ms, and answersHalf that for the rate of answers.
	forgetHalf, answersHalf = 800, 400
	// leastComplaints is how many proxies must have had bad ends at a backend: one that is ill itself, or lies, condemns nobody.
	leastComplaints = 3
	// leastShare is the part of the attempts, on the mean over proxies, that must have ended badly, and timesPeers how many times
	// the median of its peers' that must be. Where all do badly alike it is load.
	leastShare, timesPeers = 0.18, 3
	// loadRate is the part of the median rate of its peers' answers above which a backend that is late is pressed rather than ill.
	loadRate = 0.4
	// calmShare is the part of bad ends that three in four of a group's backends stay below while it is not pressed. While it is,
	// lateness tells nothing of a backend, unless its rate of answers is below silentRate of the median.
	calmShare, silentRate = 0.05, 0.1
	// leastSlow is the part of the answers that came slowly at a backend that is ill for certain: some come so where streams make way
	// for more urgent ones.
	leastSlow = 0.6
	// leastLate is what leastShare is for lateness alone.
	leastLate = 0.25
	// mostEjected is one in how many of a group are ejected at the most, and mostLate where the next one is only late.
	mostEjected, mostLate = 3, 6
	// restoreAfter is how many trials in a row must succeed, doubled with each strike up to mostStrikes of them; a strike
	// is forgotten after strikeFor, ms.
	restoreAfter, mostStrikes, strikeFor = 4, 2, 30_000
	// lateReports is for how long after an ejection good ends may have been counted before it, ms.
	lateReports = 1500
	// complaintLeast is the least weight, after forgetting, with which a bad end counts as a proxy's complaint.
	complaintLeast = 0.3
	// maxReporters bounds the proxies whose counts are told apart at one backend.
	maxReporters = 4096
)

// tally is what one proxy saw of one backend of late, fading with time.
type tally struct {
	zone     string
	attempts float64
	failed   float64
	slow     float64 // far slower than usual once its answer had begun
	paced    float64 // came in parts, which shows how fast
	overdue  float64 // not answered within far longer than usual
	late     float64 // overdue, and answered in the end
	answers  float64 // of all kinds, fading faster
	at       float64
}

// fade forgets what is old.
func (t *tally) fade(now float64) {
	part := math.Exp2(-(now - t.at) / forgetHalf)
	t.attempts *= part
	t.failed *= part
	t.slow *= part
	t.paced *= part
	t.overdue *= part
	t.late *= part
	t.answers *= math.Exp2(-(now - t.at) / answersHalf)
	t.at = now
}

// share is the part of the attempts that ended badly.
func (t *tally) share() float64 {
	if t.attempts <= 0 {
		return 0
	}
	return min(t.bad()/t.attempts, 1)
}

// failedShare is the part of the attempts that failed.
func (t *tally) failedShare() float64 {
	if t.attempts <= 0 {
		return 0
	}
	return min(t.failed/t.attempts, 1)
}

// bad is how many attempts ended badly or are overdue.
func (t *tally) bad() float64 { return t.failed + t.slow + t.overdue }

// failing is the part of the attempts that failed, or to which nothing came.
func (t *tally) failing() float64 {
	if t.attempts <= 0 {
		return 0
	}
	return min((t.failed+max(t.overdue-t.late, 0))/t.attempts, 1)
}

// subject is what is known of one backend.
type subject struct {
	byProxy  map[string]*tally
	badAt    float64 // when a bad end was last counted
	ejected  bool
	since    float64 // of the ejection
	slow     bool    // it served, only slowly
	zone     string  // for whose proxies; "": for all
	good     int     // trials since the last bad one
	strikes  int
	struckAt float64
}

// Detector decides which backends are ejected. Times are in ms on a clock that doesn't go back.
type Detector struct {
	subjects map[string]*subject
}

// NewDetector returns a Detector that knows nothing.
func NewDetector() *Detector { return &Detector{subjects: map[string]*subject{}} }

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
	s := d.subjects[o.Backend]
	if s == nil {
		s = &subject{byProxy: map[string]*tally{}, badAt: math.Inf(-1)}
		d.subjects[o.Backend] = s
	}
	t := s.byProxy[report.Proxy]
	if t == nil {
		if len(s.byProxy) >= maxReporters {
			return
		}
		t = &tally{at: now}
		s.byProxy[report.Proxy] = t
	}
	t.fade(now)
	t.zone = report.Zone
	t.attempts += float64(o.Attempts)
	t.failed += float64(o.Failed)
	t.slow += float64(o.Slow)
	t.paced += float64(o.Streamed)
	t.overdue += float64(o.Overdue)
	t.late += float64(o.Late)
	t.answers += float64(o.Attempts - o.Failed - o.Overdue + o.Late)
	if o.Failed+o.Slow+o.Overdue > 0 {
		s.badAt, s.good = now, 0
	} else if s.ejected && now-s.since > lateReports && (s.zone == "" || s.zone == report.Zone) {
		s.good += min(o.Attempts, 2) // no single proxy's word restores a backend
	}
}

// judged is what the counts say of one backend for the proxies of one zone, or of all.
type judged struct {
	complaints int     // proxies with bad ends
	proxies    float64 // that sent there
	share      float64 // of the attempts that ended badly, on the mean over proxies
	failing    float64 // and of those that failed or got no answer
	failed     float64 // and of those that failed
	paced      float64 // proxies that know how fast its answers come
	slow       float64 // the part of these answers that came slowly, on the mean over those
	answers    float64 // their rate, fading
}

// judge sums up what the proxies of a zone saw of a backend; "": all.
func (s *subject) judge(now float64, zone string) judged {
	var j judged
	for _, t := range s.byProxy {
		if zone != "" && t.zone != zone {
			continue
		}
		t.fade(now)
		weight := min(t.attempts, 1)
		j.proxies += weight
		j.share += weight * t.share()
		j.failing += weight * t.failing()
		j.failed += weight * t.failedShare()
		if t.paced > 0 {
			paced := min(t.paced, 1)
			j.paced += paced
			j.slow += paced * min(t.slow/t.paced, 1)
		}
		j.answers += t.answers
		if t.bad() >= complaintLeast {
			j.complaints++
		}
	}
	if j.proxies > 0 {
		j.share /= j.proxies
		j.failing /= j.proxies
		j.failed /= j.proxies
	}
	if j.paced > 0 {
		j.slow /= j.paced
	}
	return j
}

// zones are those of the proxies that sent to the backend.
func (s *subject) zones() []string {
	var all []string
	for _, t := range s.byProxy {
		if t.attempts >= complaintLeast && !slices.Contains(all, t.zone) {
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
	for id, s := range d.subjects {
		if s.ejected {
			all = append(all, distribution.Ejection{Backend: id, Zone: s.zone, Probation: s.good > 0, Slow: s.slow})
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
	for id, s := range d.subjects {
		if !listed[id] {
			delete(d.subjects, id)
			continue
		}
		for proxy, t := range s.byProxy {
			if now-t.at > 10*forgetHalf {
				delete(s.byProxy, proxy)
			}
		}
	}
}

// candidate is a backend that may be ejected.
type candidate struct {
	judged
	subject *subject
	zone    string
}

// stepGroup restores and ejects among the backends of a group.
func (d *Detector) stepGroup(now float64, group []Peer) {
	ejected := 0
	suspects := false
	for _, p := range group {
		s := d.subjects[p.ID]
		if s == nil {
			continue
		}
		if s.ejected && s.good >= s.needed() {
			s.restore(now)
		}
		if s.ejected {
			ejected++
			s.widen(now)
			if j := s.judge(now, ""); j.share > 0 {
				s.slow = j.onlySlow() // late answers tell what was silent from what is slow
			}
		}
		suspects = suspects || !s.ejected && now-s.badAt < 2*forgetHalf
	}
	if !suspects {
		return
	}
	var candidates []candidate
	peers := d.peers(now, group)
	for _, p := range group {
		s := d.subjects[p.ID]
		if s == nil || s.ejected || now-s.badAt >= 2*forgetHalf {
			continue
		}
		zone, of, ok := s.suspect(now, peers.share)
		if !ok || !of.certain() && (of.share < leastLate || peers.mayPress(&of)) {
			continue
		}
		candidates = append(candidates, candidate{subject: s, zone: zone, judged: of})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.share, a.share) })
	for _, c := range candidates {
		most := len(group) / mostEjected
		if !c.certain() {
			most = len(group) / mostLate
		}
		if ejected < most {
			c.subject.eject(now, c.zone, c.onlySlow())
			ejected++
		}
	}
}

// peers is how the backends of a group do together.
type peers struct {
	share   float64 // the median of their shares of bad ends
	high    float64 // which three in four of them stay below
	answers float64 // the median of their rates of answers
}

// mayPress tells whether a backend that is late may be pressed rather than ill.
func (g *peers) mayPress(of *judged) bool {
	switch {
	case of.answers <= silentRate*g.answers:
		return false
	case g.high > calmShare:
		return true
	}
	return of.answers > loadRate*g.answers
}

// peers sums up the backends of a group that are in use.
func (d *Detector) peers(now float64, group []Peer) peers {
	var shares, rates []float64
	for _, p := range group {
		s := d.subjects[p.ID]
		if s == nil || s.ejected {
			continue
		}
		if j := s.judge(now, ""); j.proxies >= 1 {
			shares = append(shares, j.share)
			rates = append(rates, j.answers)
		}
	}
	return peers{share: quantile(shares, 0.5), high: quantile(shares, 0.75), answers: quantile(rates, 0.5)}
}

// quantile gives the lower one where two are as near; 0 of none. It sorts them.
func quantile(all []float64, part float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[int(float64(len(all)-1)*part)]
}

// suspect tells whether a backend is to be ejected, and for whom: for the proxies of one zone where those of others have no
// complaint, as the path from there may be broken.
func (s *subject) suspect(now, shares float64) (zone string, of judged, ok bool) {
	all := s.judge(now, "")
	zones := s.zones()
	bad, told := 0, 0
	for _, z := range zones {
		j := s.judge(now, z)
		if j.proxies < 1 {
			continue
		}
		told++
		if j.share >= leastShare/2 {
			bad++
			zone = z
		}
	}
	if told >= 2 && bad == 1 {
		j := s.judge(now, zone)
		return zone, j, j.outlies(shares)
	}
	return "", all, all.outlies(shares)
}

// outlies tells whether a backend does so badly against its peers that it is ill.
func (j *judged) outlies(shares float64) bool {
	return j.complaints >= leastComplaints && j.share >= max(leastShare, timesPeers*shares)
}

// certain tells whether no load explains what the proxies saw: attempts failed, or nearly all answers came slowly.
func (j *judged) certain() bool {
	return j.failed >= leastShare/2 || j.paced >= 1 && j.slow >= leastSlow
}

// onlySlow tells whether the backend answers, too late.
func (j *judged) onlySlow() bool { return j.failing < j.share/2 }

// widen ejects for all proxies what was ejected for those of one zone, once those of others have complaints, too.
func (s *subject) widen(now float64) {
	if s.zone == "" {
		return
	}
	for _, zone := range s.zones() {
		if zone == s.zone {
			continue
		}
		if j := s.judge(now, zone); j.complaints > 0 && j.share >= leastShare {
			s.zone = ""
			return
		}
	}
}

// needed is how many good trials restore the backend.
func (s *subject) needed() int { return restoreAfter << min(s.strikes, mostStrikes) }

func (s *subject) eject(now float64, zone string, slow bool) {
	if now-s.struckAt > strikeFor {
		s.strikes = 0
	}
	s.ejected, s.since, s.zone, s.slow, s.good = true, now, zone, slow, 0
}

// restore ends an ejection. What was counted before tells nothing of the backend as it is now.
func (s *subject) restore(now float64) {
	s.ejected, s.zone, s.good, s.badAt = false, "", 0, math.Inf(-1)
	s.strikes, s.struckAt = min(s.strikes+1, mostStrikes), now
	clear(s.byProxy)
}
