package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// followRetry is the pause before the primary is asked again after a connection to it has ended.
const followRetry = 50 * time.Millisecond

// memberLease is how long a member counts without a renewal.
func (s *Server) memberLease() time.Duration { return 3*s.settings.Heartbeat + time.Second }

// servePulls answers node agents and, at the primary, the other control servers, until ctx ends. An answer's contact is
// that of this machine with its backups; elsewhere, that which came from the primary.
func (s *Server) servePulls(ctx context.Context, ln net.Listener) {
	distribution.Serve(ctx, ln, s.settings.NodeName, s.cache, s.memberLease(), func() (time.Time, string) {
		st := s.status.Load()
		if contact := s.contact.forEpoch(st.Epoch); st.Role == replication.Primary && !contact.at.IsZero() {
			s.cache.RecordContact(st.PrimaryAddr, contact.at)
		}
		return s.cache.LastContact()
	})
}

// publishCoreMembers publishes where the members of a view answer pulls. Every machine knows a decided view by
// itself, so that this needs no primary: agents that reach only partitioned machines learn of the others.
func (s *Server) publishCoreMembers(st *replication.Status) {
	servers := distribution.ControlServers{}
	for _, m := range st.View.Members {
		if host, _, err := net.SplitHostPort(m.Addr); err == nil && st.Epoch > 0 {
			servers.PullAddrs = append(servers.PullAddrs, distribution.PullAddr(host, s.settings.Ports))
		}
	}
	if len(servers.PullAddrs) == 0 {
		return
	}
	b, _ := servers.MarshalMsg(nil) // it has no way to fail
	s.cache.SetSnapshot(distribution.ControlServersType, distribution.Version{Epoch: st.Epoch}, b)
}

// followPrimary keeps a control server that isn't the primary up to date by pulls from the primary, as node agents are,
// until ctx ends.
func (s *Server) followPrimary(ctx context.Context) {
	for ctx.Err() == nil {
		st, changed := s.watch()
		host, _, err := net.SplitHostPort(st.PrimaryAddr)
		if st.Role == replication.Primary || err != nil || host == s.settings.IP {
			waitFor(ctx, changed)
			continue
		}
		term, cancel := context.WithCancel(ctx)
		var watching sync.WaitGroup
		watching.Go(func() { s.cancelWithPrimary(term, cancel, st.PrimaryAddr) })
		_ = distribution.Watch(term, distribution.PullAddr(host, s.settings.Ports), s.watcher())
		cancel()
		watching.Wait()
		sleep(ctx, followRetry)
	}
}

// cancelWithPrimary cancels term once this machine knows of another primary, or is it itself: what was asked of the
// former one is of no use then.
func (s *Server) cancelWithPrimary(term context.Context, cancel context.CancelFunc, primaryAddr string) {
	for {
		st, changed := s.watch()
		if st.Role == replication.Primary || st.PrimaryAddr != primaryAddr {
			cancel()
		}
		select {
		case <-changed:
		case <-term.Done():
			return
		}
	}
}

// watcher takes what the primary publishes into the cache of this machine.
func (s *Server) watcher() *distribution.Watcher {
	maxWait, readTimeout := distribution.PullTimeouts(s.settings.Bounds.Apply, s.settings.Heartbeat)
	w := &distribution.Watcher{
		Name:        s.settings.NodeName,
		MaxWait:     maxWait,
		ReadTimeout: readTimeout,
		Members:     s.pullingMembers,
		PushMembers: s.pullingMembers,
		Versions:    s.cache.Versions,
		Residency:   func(time.Time) *distribution.ResidencyOutbox { return s.cache.Residency },
		Outcomes:    s.cache.Outcomes,
		Dial:        s.Dial,

		MembersChanged: s.cache.DrainingChanged(),
	}
	w.Apply = func(r *distribution.Response) []string { return s.cache.Apply(r, w.ReceivedAt()) }
	return w
}

// pullingMembers returns the members behind this control server whose leases stand.
func (s *Server) pullingMembers() []distribution.Member {
	return s.cache.Members(time.Now(), 3*s.settings.Heartbeat)
}
