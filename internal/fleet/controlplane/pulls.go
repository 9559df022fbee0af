package controlplane

import (
	"context"
	"maps"
	"net"
	"reflect"
	"slices"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
)

// servePulls answers node agents and, at the primary, the other control servers. An answer is as new as this machine's contact
// with its backups; elsewhere, as the word that came from the primary.
func (o *Server) servePulls(ctx context.Context, ln net.Listener) {
	distribution.Serve(ctx, ln, o.set.Nodename, o.store, 3*o.set.Heartbeat+time.Second, func() (time.Time, string) {
		st := o.status.Load()
		if contact := o.contact.in(st.Epoch); st.Role == replication.Primary && !contact.at.IsZero() {
			o.store.Heard(st.PrimaryAddr, contact.at)
		}
		return o.store.Fresh()
	})
}

// publishCore tells those that pull where the members of a view answer pulls. Every machine knows a decided view by itself, so that
// this needs no primary: agents that reach only machines that are cut off learn of the others.
func (o *Server) publishCore(st *replication.Status) {
	core := distribution.Core{}
	for _, m := range st.View.Members {
		if host, _, err := net.SplitHostPort(m.Addr); err == nil && st.Epoch > 0 {
			core.Pulls = append(core.Pulls, distribution.PullAddr(host, o.set.Ports))
		}
	}
	if len(core.Pulls) == 0 {
		return
	}
	b, _ := core.MarshalMsg(nil) // it has no way to fail
	o.store.Set(distribution.SourceCore, distribution.Version{Epoch: st.Epoch}, b)
}

// relay keeps a control server that isn't the primary up to date by the primary's pulls, as node agents are.
func (o *Server) relay(ctx context.Context) {
	wait, silence := distribution.Pace(o.set.Bounds.Apply, o.set.Heartbeat)
	for ctx.Err() == nil {
		st, changed := o.watch()
		host, _, err := net.SplitHostPort(st.PrimaryAddr)
		if st.Role == replication.Primary || err != nil || host == o.set.IP {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		// With another primary, or as one, what is under way is of no use.
		term, cancel := context.WithCancel(ctx)
		go func() {
			for {
				now, changed := o.watch()
				if now.Role == replication.Primary || now.PrimaryAddr != st.PrimaryAddr {
					cancel()
				}
				select {
				case <-changed:
				case <-term.Done():
					return
				}
			}
		}()
		_ = distribution.Follow(term, distribution.PullAddr(host, o.set.Ports), &distribution.Follower{Name: o.set.Nodename, Wait: wait, Silence: silence,
			Members: func() []distribution.Member { return o.store.Members(time.Now(), 3*o.set.Heartbeat) },
			Have:    o.store.Have,
			Take:    func(n *distribution.Response) []string { return o.store.Take(n, time.Now()) },
			Rested:  func(time.Time) *distribution.Outbox { return o.store.Rested },
			Dial:    o.Dial,
		})
		cancel()
		sleep(ctx, 50*time.Millisecond)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// pollEvery is the least time between two polls of the platform's list: it lags by Provider.Delay anyway.
const (
	pollEvery = 500 * time.Millisecond
	pollStep  = 100 * time.Millisecond
)

// poll asks for the platform's list for all, while this is the primary, and publishes what changes; the orders to backends
// follow from it.
func (o *Server) poll(ctx context.Context) {
	client := externalapi.NewPlatformClient(o.set.Provider.Address, time.Second)
	duty := newPhases(o)
	var plain, last *distribution.List // as the platform tells, and as published
	var lastCrowd *distribution.Crowd
	var lastGauges distribution.Gauges
	epoch, count := uint64(0), uint64(0)
	var since, polled, reported time.Time
	every, dirty := pollEvery, false
	var answered time.Time
	for ; ctx.Err() == nil; sleep(ctx, pollStep) {
		st := o.status.Load()
		if o.set.Provider.Address == "" || !o.leads(st) {
			continue
		}
		if st.Epoch != epoch {
			epoch, count, plain, last, lastCrowd, since, reported = st.Epoch, 0, nil, nil, nil, time.Now(), time.Time{}
			answered = time.Time{}
			duty.reset()
		}
		now := time.Now()
		if now.Sub(polled) >= every {
			polled = now
			list, calls, err := client.List(ctx)
			if err != nil {
				o.log.Debug("platform's list", zap.Error(err))
			} else {
				answered = time.Now()
				externalapi.Sort(&list)
				if plain == nil || !reflect.DeepEqual(*plain, list) {
					plain, dirty = &list, true
				}
				// At most half of what the platform takes a second.
				every = max(pollEvery, time.Duration(2*float64(calls)/max(o.set.Provider.Rate, 0.1)*float64(time.Second)))
			}
		}
		// Holders of the duty don't take turns within a lease; what an earlier one began is learnt at once.
		if plain != nil && now.Sub(reported) >= reportEvery {
			reported = now
			if duty.round(ctx, time.Since(o.start), plain, epoch, now.Sub(since) > o.phasesWait()) {
				dirty = true
			}
			if g := duty.gauges(); !maps.Equal(g.Active, lastGauges.Active) || len(g.Silent) > 0 || len(lastGauges.Silent) > 0 {
				count++
				b, _ := g.MarshalMsg(nil)
				o.store.Set(distribution.SourceGauges, distribution.Version{Epoch: epoch, Count: count}, b)
				lastGauges = g
			}
		}
		if plain != nil && dirty {
			dirty = false
			list := distribution.List{Backends: slices.Clone(plain.Backends)}
			duty.mark(&list)
			if last == nil || !reflect.DeepEqual(*last, list) {
				count++
				b, _ := list.MarshalMsg(nil)
				o.store.Set(distribution.SourceList, distribution.Version{Epoch: epoch, Count: count}, b)
				last = &list
			}
		}
		if p := o.polls.Load(); p == nil || p.epoch != epoch || p.at != answered || p.list != last {
			o.polls.Store(&polls{epoch: epoch, since: since, at: answered, list: last})
		}
		crowd := distribution.Crowd{Zones: map[string]int{}}
		for _, m := range o.store.Members(time.Now(), o.leaseFor()) {
			crowd.Proxies++
			crowd.Zones[m.Zone]++
		}
		if crowd.Proxies > 0 && (lastCrowd == nil || !reflect.DeepEqual(*lastCrowd, crowd)) {
			count++
			b, _ := crowd.MarshalMsg(nil)
			o.store.Set(distribution.SourceCrowd, distribution.Version{Epoch: epoch, Count: count}, b)
			lastCrowd = &crowd
		}
	}
}
