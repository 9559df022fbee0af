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
)

// poller asks the platform for its list for all, while this machine is the primary, and publishes what changes; the orders to
// backends follow from the list.
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
	epoch          uint64
	count          uint64    // of what was published
	since          time.Time // when it began
	lastAnswer     time.Time // when the platform last answered
	lastReports    time.Time // when backends were last asked for their reports
	platformList   *distribution.BackendList
	list           *distribution.BackendList // as published, with the backends that are about to change
	dirty          bool                      // plain or those have changed since
	membershipSize *distribution.MembershipSize
	gauges         distribution.LoadReport
}

// poll runs a poller until ctx ends.
func (s *Server) poll(ctx context.Context) {
	p := &poller{server: s, client: externalapi.NewPlatformClient(s.settings.Provider.Address, platformTimeout), phases: newPhaseController(s), interval: pollInterval}
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
}

// pollPlatform asks the platform for its list.
func (p *poller) pollPlatform(ctx context.Context) {
	list, calls, err := p.client.List(ctx)
	if err != nil {
		p.server.log.Debug("platform's list", zap.Error(err))
		return
	}
	p.term.lastAnswer = time.Now()
	externalapi.SortByID(&list)
	if p.term.platformList == nil || !reflect.DeepEqual(*p.term.platformList, list) {
		p.term.platformList, p.term.dirty = &list, true
	}
	// At most half of what the platform takes a second.
	p.interval = max(pollInterval, time.Duration(2*float64(calls)/max(p.server.settings.Provider.Rate, 0.1)*float64(time.Second)))
}

// runPhases asks the backends for their reports and gives orders. Holders of the duty don't take turns within a lease; what an earlier
// one began is learnt at once.
func (p *poller) runPhases(ctx context.Context, now time.Time) {
	mayOrder := now.Sub(p.term.since) > p.server.phaseTakeoverWait()
	if p.phases.runRound(ctx, time.Since(p.server.start), p.term.platformList, p.term.epoch, mayOrder) {
		p.term.dirty = true
	}
	last, gauges := p.term.gauges, p.phases.gauges()
	if !maps.Equal(gauges.Active, last.Active) || len(gauges.Unresponsive) > 0 || len(last.Unresponsive) > 0 {
		p.publish(distribution.LoadReportType, &gauges)
		p.term.gauges = gauges
	}
}

// publish gives a source's whole out under the next number of the term: receivers prefer later epochs.
func (p *poller) publish(source string, whole msgp.Marshaler) {
	p.term.count++
	b, _ := whole.MarshalMsg(nil) // it has no way to fail
	p.server.cache.SetSnapshot(source, distribution.Version{Epoch: p.term.epoch, Count: p.term.count}, b)
}

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

// recordPoll tells the status what was done.
func (p *poller) recordPoll() {
	was := p.server.lastPoll.Load()
	if was == nil || was.epoch != p.term.epoch || was.at != p.term.lastAnswer || was.list != p.term.list {
		p.server.lastPoll.Store(&pollStatus{epoch: p.term.epoch, since: p.term.since, at: p.term.lastAnswer, list: p.term.list})
	}
}

// publishMembershipSize tells how many proxies hold a lease.
func (p *poller) publishMembershipSize() {
	crowd := distribution.MembershipSize{Zones: map[string]int{}}
	for _, m := range p.server.cache.Members(time.Now(), p.server.memberLease()) {
		crowd.Proxies++
		crowd.Zones[m.Zone]++
	}
	if crowd.Proxies > 0 && (p.term.membershipSize == nil || !reflect.DeepEqual(*p.term.membershipSize, crowd)) {
		p.publish(distribution.MembershipSizeType, &crowd)
		p.term.membershipSize = &crowd
	}
}
