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
func (s *Server) servePulls(ctx context.Context, ln net.Listener) {
	distribution.Serve(ctx, ln, s.settings.NodeName, s.cache, 3*s.settings.Heartbeat+time.Second, func() (time.Time, string) {
		st := s.status.Load()
		if contact := s.contact.forEpoch(st.Epoch); st.Role == replication.Primary && !contact.at.IsZero() {
			s.cache.RecordContact(st.PrimaryAddr, contact.at)
		}
		return s.cache.LastContact()
	})
}

// publishCoreMembers tells those that pull where the members of a view answer pulls. Every machine knows a decided view by itself, so that
// this needs no primary: agents that reach only machines that are cut off learn of the others.
func (s *Server) publishCoreMembers(st *replication.Status) {
	core := distribution.ControlServers{}
	for _, m := range st.View.Members {
		if host, _, err := net.SplitHostPort(m.Addr); err == nil && st.Epoch > 0 {
			core.PullAddrs = append(core.PullAddrs, distribution.PullAddr(host, s.settings.Ports))
		}
	}
	if len(core.PullAddrs) == 0 {
		return
	}
	b, _ := core.MarshalMsg(nil) // it has no way to fail
	s.cache.SetSnapshot(distribution.ControlServersType, distribution.Version{Epoch: st.Epoch}, b)
}

// followPrimary keeps a control server that isn't the primary up to date by the primary's pulls, as node agents are.
func (s *Server) followPrimary(ctx context.Context) {
	wait, silence := distribution.PullTimeouts(s.settings.Bounds.Apply, s.settings.Heartbeat)
	for ctx.Err() == nil {
		st, changed := s.watch()
		host, _, err := net.SplitHostPort(st.PrimaryAddr)
		if st.Role == replication.Primary || err != nil || host == s.settings.IP {
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
				now, changed := s.watch()
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
		_ = distribution.Watch(term, distribution.PullAddr(host, s.settings.Ports), &distribution.Watcher{Name: s.settings.NodeName, MaxWait: wait, ReadTimeout: silence,
			Members:   func() []distribution.Member { return s.cache.Members(time.Now(), 3*s.settings.Heartbeat) },
			Versions:  s.cache.Versions,
			Apply:     func(n *distribution.Response) []string { return s.cache.Apply(n, time.Now()) },
			Residency: func(time.Time) *distribution.ResidencyOutbox { return s.cache.Residency },
			Outcomes:  s.cache.Outcomes,
			Dial:      s.Dial,
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
