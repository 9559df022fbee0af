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
	// pollEvery is the least time between two polls of the platform's list: it lags by Provider.Delay anyway.
	pollEvery = 500 * time.Millisecond
	// pollStep is how often the poller looks for something to do.
	pollStep = 100 * time.Millisecond
	// platformWithin bounds a call of the platform.
	platformWithin = time.Second
)

// poller asks the platform for its list for all, while this machine is the primary, and publishes what changes; the orders to
// backends follow from the list.
type poller struct {
	o      *Server
	client *externalapi.PlatformClient
	orders *phases
	every  time.Duration // between two polls
	polled time.Time     // when the last one began
	term   term
}

// term is what a poller knows and has published as the primary of one epoch.
type term struct {
	epoch    uint64
	count    uint64    // of what was published
	since    time.Time // when it began
	answered time.Time // when the platform last answered
	reported time.Time // when backends were last asked for their reports
	plain    *distribution.List
	list     *distribution.List // as published, with the backends that are about to change
	dirty    bool               // plain or those have changed since
	crowd    *distribution.Crowd
	gauges   distribution.Gauges
}

// poll runs a poller until ctx ends.
func (o *Server) poll(ctx context.Context) {
	p := &poller{o: o, client: externalapi.NewPlatformClient(o.set.Provider.Address, platformWithin), orders: newPhases(o), every: pollEvery}
	for ; ctx.Err() == nil; sleep(ctx, pollStep) {
		if st := o.status.Load(); o.set.Provider.Address != "" && o.leads(st) {
			p.step(ctx, st.Epoch)
		}
	}
}

// step does what is due as the primary of an epoch.
func (p *poller) step(ctx context.Context, epoch uint64) {
	now := time.Now()
	if p.term.epoch != epoch {
		p.term = term{epoch: epoch, since: now}
		p.orders.reset()
	}
	if now.Sub(p.polled) >= p.every {
		p.polled = now
		p.ask(ctx)
	}
	if p.term.plain != nil && now.Sub(p.term.reported) >= reportEvery {
		p.term.reported = now
		p.round(ctx, now)
	}
	p.publishList()
	p.note()
	p.publishCrowd()
}

// ask asks the platform for its list.
func (p *poller) ask(ctx context.Context) {
	list, calls, err := p.client.List(ctx)
	if err != nil {
		p.o.log.Debug("platform's list", zap.Error(err))
		return
	}
	p.term.answered = time.Now()
	externalapi.Sort(&list)
	if p.term.plain == nil || !reflect.DeepEqual(*p.term.plain, list) {
		p.term.plain, p.term.dirty = &list, true
	}
	// At most half of what the platform takes a second.
	p.every = max(pollEvery, time.Duration(2*float64(calls)/max(p.o.set.Provider.Rate, 0.1)*float64(time.Second)))
}

// round asks the backends for their reports and gives orders. Holders of the duty don't take turns within a lease; what an earlier
// one began is learnt at once.
func (p *poller) round(ctx context.Context, now time.Time) {
	mayOrder := now.Sub(p.term.since) > p.o.phasesWait()
	if p.orders.round(ctx, time.Since(p.o.start), p.term.plain, p.term.epoch, mayOrder) {
		p.term.dirty = true
	}
	last, gauges := p.term.gauges, p.orders.gauges()
	if !maps.Equal(gauges.Active, last.Active) || len(gauges.Silent) > 0 || len(last.Silent) > 0 {
		p.publish(distribution.SourceGauges, &gauges)
		p.term.gauges = gauges
	}
}

// publish gives a source's whole out under the next number of the term: receivers prefer later epochs.
func (p *poller) publish(source string, whole msgp.Marshaler) {
	p.term.count++
	b, _ := whole.MarshalMsg(nil) // it has no way to fail
	p.o.store.Set(source, distribution.Version{Epoch: p.term.epoch, Count: p.term.count}, b)
}

func (p *poller) publishList() {
	if p.term.plain == nil || !p.term.dirty {
		return
	}
	p.term.dirty = false
	list := distribution.List{Backends: slices.Clone(p.term.plain.Backends)}
	p.orders.mark(&list)
	if p.term.list == nil || !reflect.DeepEqual(*p.term.list, list) {
		p.publish(distribution.SourceList, &list)
		p.term.list = &list
	}
}

// note tells the status what was done.
func (p *poller) note() {
	was := p.o.polls.Load()
	if was == nil || was.epoch != p.term.epoch || was.at != p.term.answered || was.list != p.term.list {
		p.o.polls.Store(&polls{epoch: p.term.epoch, since: p.term.since, at: p.term.answered, list: p.term.list})
	}
}

// publishCrowd tells how many proxies hold a lease.
func (p *poller) publishCrowd() {
	crowd := distribution.Crowd{Zones: map[string]int{}}
	for _, m := range p.o.store.Members(time.Now(), p.o.leaseFor()) {
		crowd.Proxies++
		crowd.Zones[m.Zone]++
	}
	if crowd.Proxies > 0 && (p.term.crowd == nil || !reflect.DeepEqual(*p.term.crowd, crowd)) {
		p.publish(distribution.SourceCrowd, &crowd)
		p.term.crowd = &crowd
	}
}
