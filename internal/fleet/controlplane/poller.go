package controlplane

import (
	"context"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/tinylib/msgp/msgp"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
)

const (
	// pollInterval is the minimum time between two polls of the platform's list, which lags by Provider.Delay anyway.
	pollInterval = 500 * time.Millisecond
	// pollerTick is the interval at which the poller checks for due work.
	pollerTick = 100 * time.Millisecond
	// platformTimeout bounds a call to the platform.
	platformTimeout = time.Second
	// callsPerPollShare is the divisor of the platform's rate limit for polls: they use half of the rate, and the other
	// half is left to node agents that poll directly.
	callsPerPollShare = 2
	// clientAheadThreshold is how long a node agent must have a newer configuration than the primary before that is
	// logged: a new primary may not have applied its newest change yet.
	clientAheadThreshold = 5 * time.Second
	// minPlatformRate is the lower bound of the platform's rate in that computation, in calls per second, also used if
	// the settings give no rate.
	minPlatformRate = 0.1
)

// poller polls the platform's list for all machines of the fleet while this machine is the primary, publishes changes,
// and runs the phase controller on the list. It belongs to the goroutine of Server.poll.
type poller struct {
	server   *Server
	client   *externalapi.PlatformClient
	phases   *phaseController
	interval time.Duration // minimum time between two polls
	lastPoll time.Time     // start of the last poll
	term     term
}

// term is the poller's state for the time during which this machine is the primary of one epoch.
type term struct {
	epoch       uint64
	count       uint64    // number of publications
	since       time.Time // start of the term
	lastAnswer  time.Time // time of the platform's last answer
	lastReports time.Time // start of the last round of backend reports

	platformList *distribution.BackendList // as received from the platform
	ahead        map[string]bool           // node agents already logged as being ahead
	dirty        bool                      // platformList or the set of changing backends differs from that in list

	// Last published values.
	list           *distribution.BackendList // with the changing backends marked
	membershipSize *distribution.MembershipSize
	loadReport     distribution.LoadReport
}

// pollStatus is the result of the poller's last activity in a term. It is immutable, and so is its list.
type pollStatus struct {
	epoch uint64
	since time.Time // start of the term
	at    time.Time // time of the platform's last answer; zero: none in this term
	list  *distribution.BackendList

	fenced bool // a backend has seen a higher fencing token: no more orders are sent in this term
}

// poll runs the poller until ctx ends.
func (s *Server) poll(ctx context.Context) {
	p := &poller{
		server:   s,
		client:   externalapi.NewPlatformClient(s.settings.Provider.Address, platformTimeout),
		phases:   newPhaseController(s),
		interval: pollInterval,
	}
	for ; ctx.Err() == nil; sleep(ctx, pollerTick) {
		if st := s.status.Load(); s.settings.Provider.Address != "" && s.isLeader(st) {
			p.step(ctx, st.Epoch)
		}
	}
}

// step performs the work that is due, as the primary of an epoch.
func (p *poller) step(ctx context.Context, epoch uint64) {
	now := time.Now()
	if p.term.epoch != epoch {
		p.term = term{epoch: epoch, since: now}
		p.phases.reset()
	}
	if now.Sub(p.lastPoll) >= p.interval {
		p.lastPoll = now
		p.pollPlatform(ctx)
	}
	if p.term.platformList != nil && now.Sub(p.term.lastReports) >= reportInterval {
		p.term.lastReports = now
		p.runPhases(ctx, now)
	}
	p.publishList()
	p.recordPoll()
	p.publishMembershipSize()
	p.reportClientsAhead(now)
}

// reportClientsAhead logs the node agents that have a newer configuration than this primary, each once per term.
func (p *poller) reportClientsAhead(now time.Time) {
	for _, client := range p.server.cache.ClientsAhead(clientAheadThreshold, now) {
		if p.term.ahead[client] {
			continue
		}
		if p.term.ahead == nil {
			p.term.ahead = map[string]bool{}
		}
		p.term.ahead[client] = true
		p.server.log.Warn(
			"node agent has a newer configuration than the primary and accepts no update: restart the node agent",
			zap.String("agent", client),
		)
	}
}

// pollPlatform fetches the platform's list.
func (p *poller) pollPlatform(ctx context.Context) {
	list, calls, err := p.client.List(ctx)
	if err != nil {
		p.server.log.Debug("platform list failed", zap.Error(err))
		return
	}
	p.term.lastAnswer = time.Now()
	externalapi.SortByID(&list)
	if p.term.platformList == nil || !reflect.DeepEqual(*p.term.platformList, list) {
		p.term.platformList = &list
		p.term.dirty = true
	}
	p.interval = intervalFor(calls, p.server.settings.Provider.Rate)
}

// intervalFor returns the poll interval for polls of the given number of calls, at a platform that allows rate calls
// per second.
func intervalFor(calls int, rate float64) time.Duration {
	seconds := callsPerPollShare * float64(calls) / max(rate, minPlatformRate)
	return max(pollInterval, time.Duration(seconds*float64(time.Second)))
}

// runPhases runs a round of reports and phase orders, and publishes the load report if its active counts have changed
// or a backend is unresponsive in it or in the last one. Orders are sent only phaseTakeoverWait after the start of the
// term, so that a lease lies between the orders of a former primary and its own; reports are fetched from the start.
func (p *poller) runPhases(ctx context.Context, now time.Time) {
	r := round{
		now:      time.Since(p.server.start),
		epoch:    p.term.epoch,
		mayOrder: now.Sub(p.term.since) > p.server.phaseTakeoverWait() && !p.phases.fenced(p.term.epoch),
	}
	if p.phases.run(ctx, r, p.term.platformList) {
		p.term.dirty = true
	}
	last := p.term.loadReport
	next := p.phases.loadReport()
	if !maps.Equal(next.Active, last.Active) || len(next.Unresponsive) > 0 || len(last.Unresponsive) > 0 {
		p.publish(distribution.LoadReportType, &next)
		p.term.loadReport = next
	}
}

// publish publishes the snapshot of a resource type under the next version of the term; receivers prefer later epochs.
func (p *poller) publish(resourceType string, snapshot msgp.Marshaler) {
	p.term.count++
	b, _ := snapshot.MarshalMsg(nil) // never fails
	p.server.cache.SetSnapshot(resourceType, distribution.Version{Epoch: p.term.epoch, Count: p.term.count}, b)
}

// publishList publishes the list, with the changing backends marked, if it differs from the last published one.
func (p *poller) publishList() {
	if p.term.platformList == nil || !p.term.dirty {
		return
	}
	p.term.dirty = false
	list := distribution.BackendList{Backends: slices.Clone(p.term.platformList.Backends)}
	p.phases.markChanging(&list)
	if p.term.list == nil || !reflect.DeepEqual(*p.term.list, list) {
		p.publish(distribution.BackendListType, &list)
		p.term.list = &list
	}
}

// recordPoll stores the poller's state in the Server, for the fleet status and the outlier detection.
func (p *poller) recordPoll() {
	t := &p.term
	previous := p.server.lastPoll.Load()
	fenced := p.phases.fenced(t.epoch)
	if previous == nil || previous.epoch != t.epoch || previous.at != t.lastAnswer ||
		previous.list != t.list || previous.fenced != fenced {
		p.server.lastPoll.Store(&pollStatus{
			epoch:  t.epoch,
			since:  t.since,
			at:     t.lastAnswer,
			list:   t.list,
			fenced: fenced,
		})
	}
}

// publishMembershipSize publishes the number of proxies that hold a lease and of those that are draining, if it has
// changed and is not 0.
func (p *poller) publishMembershipSize() {
	size := distribution.MembershipSize{Zones: map[string]int{}}
	for _, m := range p.server.cache.Members(time.Now(), p.server.memberLease()) {
		size.Proxies++
		size.Zones[m.Zone]++
		if m.Draining {
			if size.Draining == nil {
				size.Draining = map[string]int{}
			}
			size.Draining[m.Zone]++
		}
	}
	if size.Proxies > 0 && (p.term.membershipSize == nil || !reflect.DeepEqual(*p.term.membershipSize, size)) {
		p.publish(distribution.MembershipSizeType, &size)
		p.term.membershipSize = &size
	}
}
