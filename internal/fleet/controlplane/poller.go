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
	// pollInterval is the least time between two polls of the platform's list: it lags by Provider.Delay anyway.
	pollInterval = 500 * time.Millisecond
	// pollerTick is how often the poller looks for something to do.
	pollerTick = 100 * time.Millisecond
	// platformTimeout bounds a call of the platform.
	platformTimeout = time.Second
	// callsPerPollShare is how many times the calls of a poll its interval has to allow: polls take half of what the
	// platform takes a second, the other half is left to node agents that poll by themselves.
	callsPerPollShare = 2
	// aheadNotice is for how long a node agent has to be ahead of a primary for that to be told: a new primary may not
	// have applied its newest change yet.
	aheadNotice = 5 * time.Second
	// minPlatformRate bounds that interval where the settings give no rate, in calls a second.
	minPlatformRate = 0.1
)

// poller polls the platform's list for all machines of the fleet, while this machine is the primary, and publishes what
// changes; the orders to backends follow from the list. It belongs to the goroutine of Server.poll.
type poller struct {
	server   *Server
	client   *externalapi.PlatformClient
	phases   *phaseController
	interval time.Duration // between two polls
	lastPoll time.Time     // when the last one began
	term     term
}

// term is what a poller knows and has published as the primary of one epoch.
type term struct {
	epoch       uint64
	count       uint64    // of what was published
	since       time.Time // when it began
	lastAnswer  time.Time // when the platform last answered
	lastReports time.Time // when backends were last asked for their reports

	platformList *distribution.BackendList // as the platform gave it
	ahead        map[string]bool           // node agents that were told to be ahead of the record
	dirty        bool                      // platformList or the changing backends have changed since list was made

	// As published last.
	list           *distribution.BackendList // with the backends that are about to change
	membershipSize *distribution.MembershipSize
	loadReport     distribution.LoadReport
}

// pollStatus is what the poller of a term last did. It is not changed once it is made, nor is its list.
type pollStatus struct {
	epoch uint64
	since time.Time // when the term began
	at    time.Time // of the last answer; zero: none in this term
	list  *distribution.BackendList

	fenced bool // a backend has seen a higher fencing token: no orders are given in this term
}

// poll runs a poller until ctx ends.
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

// step does what is due as the primary of an epoch.
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

// reportClientsAhead logs which node agents have a newer configuration than the record, each once a term.
func (p *poller) reportClientsAhead(now time.Time) {
	for _, client := range p.server.cache.ClientsAhead(aheadNotice, now) {
		if p.term.ahead[client] {
			continue
		}
		if p.term.ahead == nil {
			p.term.ahead = map[string]bool{}
		}
		p.term.ahead[client] = true
		p.server.log.Warn("node agent is ahead of the record, restart it", zap.String("agent", client))
	}
}

// pollPlatform asks the platform for its list.
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

// intervalFor returns the time between polls of so many calls each, at a platform that takes rate calls a second.
func intervalFor(calls int, rate float64) time.Duration {
	seconds := callsPerPollShare * float64(calls) / max(rate, minPlatformRate)
	return max(pollInterval, time.Duration(seconds*float64(time.Second)))
}

// runPhases asks the backends for their reports and gives orders. Owners of the role don't take turns within a lease;
// what an earlier one began is learnt at once.
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

// publish publishes the snapshot of a type under the next version of the term: receivers prefer later epochs.
func (p *poller) publish(resourceType string, snapshot msgp.Marshaler) {
	p.term.count++
	b, _ := snapshot.MarshalMsg(nil) // it has no way to fail
	p.server.cache.SetSnapshot(resourceType, distribution.Version{Epoch: p.term.epoch, Count: p.term.count}, b)
}

// publishList publishes the list with the backends that are about to change, where it differs from the last.
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

// recordPoll makes what was done known to the status and to the outlier detection.
func (p *poller) recordPoll() {
	t := &p.term
	was := p.server.lastPoll.Load()
	fenced := p.phases.fenced(t.epoch)
	if was == nil || was.epoch != t.epoch || was.at != t.lastAnswer || was.list != t.list || was.fenced != fenced {
		p.server.lastPoll.Store(&pollStatus{
			epoch:  t.epoch,
			since:  t.since,
			at:     t.lastAnswer,
			list:   t.list,
			fenced: fenced,
		})
	}
}

// publishMembershipSize publishes how many proxies hold a lease, and how many of them drain, where that has changed.
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
