// Package doubt detects groups of servers, those of a zone, that are unreachable from an agent as a whole. In a large
// fleet each agent sends few requests to any one server, so it would have to detect each server of a partitioned zone
// by itself, at the cost of a request each. Instead, several unanswered attempts are combined as evidence while no
// server of their group answers.
//
// The package does no I/O and reads no clock; times are in milliseconds of the caller's clock. A Groups isn't safe for
// concurrent use.
package doubt

import "slices"

// Threshold is the evidence from which on a group is suspected. Response times are assumed to have an exponential tail
// at worst, so that an attempt is unanswered after x times the mean with a probability of exp(-x), and several attempts
// with the product of theirs: a sum of 7 is one in a thousand. Two servers that fail at the same time aren't rare if
// there are few (lbsim's big-1 lost 0.003 to suspicions from two), hence minServers; and a single server contributes
// at most maxPerServer, however long its attempt waits.
const (
	Threshold    = 7.0
	maxPerServer = 4.0
	minServers   = 3
	// A suspected group is tried again after firstTrialSends requests of the agent. The interval doubles with each
	// trial up to maxTrialSends, so trials are a bounded part of its requests at any request rate. A trial is due after
	// maxTrialBases times the base time at the latest.
	firstTrialSends, maxTrialSends = 10, 40
	maxTrialBases                  = 8.0
)

// Groups holds an agent's suspicions of groups.
type Groups struct {
	groups         map[int]*group
	suspectedCount int
	sends          int
	changes        int
}

type group struct {
	answeredAt    float64 // time of the latest answer of any of its servers
	since         float64 // start of the suspicion
	suspected     bool
	trialAfter    float64 // earliest time of the next trial
	trialBy       float64 // time at which the trial is due regardless of the number of sends
	trialAtSend   int     // value of Groups.sends at which the trial is due
	trialInterval int     // sends between the next trial and the one after

	evidence float64 // sum since the latest Evaluate
	servers  int     // waiting servers since the latest Evaluate
}

// New returns a Groups without suspicions.
func New() *Groups { return &Groups{groups: map[int]*group{}} }

func (g *Groups) zoneGroup(zone int) *group {
	x := g.groups[zone]
	if x == nil {
		x = &group{}
		g.groups[zone] = x
	}
	return x
}

// Answered notes that a server of the group has answered. It reports whether that lifts a suspicion of the group, and
// since when the group was suspected: failures of its servers since then are due to the network path to them.
func (g *Groups) Answered(zone int, now float64) (since float64, lifted bool) {
	x := g.zoneGroup(zone)
	x.answeredAt = now
	if !x.suspected {
		return 0, false
	}
	x.suspected = false
	g.suspectedCount--
	g.changes++
	for _, o := range g.groups { // if this agent was partitioned, all groups may be reachable again
		o.trialAfter, o.trialAtSend, o.trialInterval = min(o.trialAfter, now), 0, firstTrialSends
	}
	return x.since, true
}

// AddWaiting adds a server's attempt that was sent at the time sent and has been unanswered for so many times the mean
// response time. The caller adds all such attempts, and then calls Evaluate.
func (g *Groups) AddWaiting(zone int, sent, times float64) {
	if x := g.zoneGroup(zone); sent > x.answeredAt {
		x.evidence += min(times, maxPerServer)
		x.servers++
	}
}

// Evaluate updates the suspicions, and reports whether there are new ones; base is the time until the first trial.
func (g *Groups) Evaluate(now, base float64) (more bool) {
	for _, x := range g.groups {
		if !x.suspected && x.servers >= minServers && x.evidence >= Threshold {
			x.suspected, x.since, x.trialInterval = true, now, firstTrialSends
			g.scheduleTrial(x, now, base)
			g.suspectedCount++
			g.changes++
			more = true
		}
		x.evidence, x.servers = 0, 0
	}
	return more
}

// Changes returns how often a group became suspected or a suspicion was lifted.
func (g *Groups) Changes() int { return g.changes }

// Suspected returns the groups that are to be ranked after others, sorted. all reports that every group is suspected;
// then none is returned.
func (g *Groups) Suspected() (zones []int, all bool) {
	if all = g.suspectedCount > 0 && g.suspectedCount == len(g.groups); all {
		return nil, true
	}
	for zone, x := range g.groups {
		if x.suspected {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones, false
}

// IsSuspected reports whether a group's servers are to be ranked after others now. They aren't if all groups are
// suspected: then this agent itself is partitioned, or there is only one group.
func (g *Groups) IsSuspected(zone int) bool {
	if g.suspectedCount == 0 {
		return false // the common case
	}
	x := g.groups[zone]
	return x != nil && x.suspected && g.suspectedCount < len(g.groups)
}

// scheduleTrial sets when the next trial is due.
func (g *Groups) scheduleTrial(x *group, now, base float64) {
	x.trialAfter, x.trialBy, x.trialAtSend = now+base, now+maxTrialBases*base, g.sends+x.trialInterval
	x.trialInterval = min(2*x.trialInterval, maxTrialSends)
}

// MayTry reports whether an idempotent request may be sent to the group as a trial.
func (g *Groups) MayTry(zone int, now float64) bool {
	x := g.zoneGroup(zone)
	return now >= x.trialAfter && (g.sends >= x.trialAtSend || now >= x.trialBy)
}

// Sent notes that a request was sent to a server of the group. If it is a trial of a suspected group, the next trial is
// scheduled. If most groups are suspected, this agent is presumably partitioned from all of them, and a trial of one
// counts as a trial of all.
func (g *Groups) Sent(zone int, now, base float64) {
	g.sends++
	x := g.zoneGroup(zone)
	if !x.suspected || !g.MayTry(zone, now) {
		return
	}
	for _, o := range g.groups {
		if o.suspected && (o == x || 2*g.suspectedCount > len(g.groups)) {
			g.scheduleTrial(o, now, base)
		}
	}
}
