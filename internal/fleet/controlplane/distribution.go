package controlplane

import (
	"context"
	"net"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// followRetry is the pause before the next connection to the primary after one has ended.
const followRetry = 50 * time.Millisecond

// memberLease returns how long a member's lease is valid without a renewal.
func (s *Server) memberLease() time.Duration { return 3*s.settings.Heartbeat + time.Second }

// servePulls serves configuration pulls of node agents and, on the primary, of the other control servers, until ctx
// ends. A response carries the time of the last contact: on the primary its contact with the backups, on other machines
// the contact received from the primary.
func (s *Server) servePulls(ctx context.Context, ln net.Listener) {
	distribution.Serve(ctx, ln, s.settings.NodeName, s.cache, s.memberLease(), func() (time.Time, string) {
		st := s.status.Load()
		if contact := s.contact.forEpoch(st.Epoch); st.Role == replication.Primary && !contact.at.IsZero() {
			s.cache.RecordContact(st.PrimaryAddr, contact.at)
		}
		return s.cache.LastContact()
	})
}

// publishCoreMembers publishes the pull addresses of a view's members. Every machine publishes the decided view without
// involving the primary, so node agents that reach only partitioned machines learn of the others.
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
	b, _ := servers.MarshalMsg(nil) // never fails
	s.cache.SetSnapshot(distribution.ControlServersType, distribution.Version{Epoch: st.Epoch}, b)
}

// followPrimary keeps a control server that isn't the primary up to date by pulling from the primary, as node agents
// do, until ctx ends.
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

// cancelWithPrimary cancels term once this machine becomes the primary or learns of another one: a pending pull from
// the former primary is then useless.
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

// watcher returns a watcher that applies the primary's resources to this machine's cache.
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

// pullingMembers returns the members that pull from this control server and whose leases are valid.
func (s *Server) pullingMembers() []distribution.Member {
	return s.cache.Members(time.Now(), 3*s.settings.Heartbeat)
}
