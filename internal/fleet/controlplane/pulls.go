package controlplane

import (
	"context"
	"net"
	"time"

	"molepaddle/internal/fleet/distribution"
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
			Members:  func() []distribution.Member { return o.store.Members(time.Now(), 3*o.set.Heartbeat) },
			Have:     o.store.Have,
			Take:     func(n *distribution.Response) []string { return o.store.Take(n, time.Now()) },
			Rested:   func(time.Time) *distribution.Outbox { return o.store.Rested },
			Outcomes: o.store.Outcomes,
			Dial:     o.Dial,
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
