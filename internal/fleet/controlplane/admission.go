package controlplane

import (
	"context"
	"net"
	"net/http"
	"net/url"
	"time"

	"molepaddle/internal/fleet/replication"
)

const (
	// callTimeout bounds an operator call: clients move to another core machine after one second without an answer.
	callTimeout = 850 * time.Millisecond
	// maxCallTimeout bounds a call with the largest body: clients wait longer for its answer.
	maxCallTimeout = 3 * time.Second
	// bodyBytesPerSecond is the number of body bytes that extend the time-out of a call by one second.
	bodyBytesPerSecond = 1 << 20

	// leaderContactTimeout is the greatest age of the primary's last contact with its backups at which it still answers
	// calls and performs singleton work: after that the other members may have elected a new primary.
	leaderContactTimeout = electionTimeout
	// partitionTimeout is the time after its last contact, or its start, from which a machine answers all calls with
	// 503 at once. Until then a new view may be about to arrive and calls wait for it: an immediate 503 would let the
	// client's backoff grow beyond the duration of a takeover.
	partitionTimeout = 2 * time.Second
)

// callTimeoutFor returns the time-out of a call with a body of the given size.
func callTimeoutFor(bodyBytes int) time.Duration {
	return min(callTimeout+time.Duration(bodyBytes)*time.Second/bodyBytesPerSecond, maxCallTimeout)
}

// admission is the decision about where a call is answered.
type admission int

const (
	// admitHere: this machine is the primary and its backups confirmed that within leaderContactTimeout.
	admitHere admission = iota
	// redirectToPrimary: another machine has contacted this member as the primary since the call arrived.
	redirectToPrimary
	// awaitPrimary: no primary is known yet; a new view may be about to arrive.
	awaitPrimary
	// rejectPartitioned: this machine is partitioned from the core or its process was suspended.
	rejectPartitioned
)

// decideAdmission decides where a call that arrived at receivedAt is answered, given the state at now.
//
// Safety: a machine without contact reveals nothing about the state and refers callers to other machines, because the
// others may have accepted changes since (TestPartitionedPrimary). A machine that isn't the primary waits for a
// heartbeat before it redirects a caller: a redirect to a failed primary would cost the caller a second without an
// answer.
func decideAdmission(st *replication.Status, c contactState, receivedAt, now time.Time) admission {
	switch {
	case st.Role == replication.Primary && st.Ready && now.Sub(c.at) < leaderContactTimeout:
		return admitHere
	case st.Role != replication.Primary && st.Ready && c.at.After(receivedAt):
		return redirectToPrimary
	case now.Sub(c.last) < partitionTimeout:
		return awaitPrimary
	}
	return rejectPartitioned
}

// isLeader reports whether this machine is the primary and in contact with its backups.
func (s *Server) isLeader(st *replication.Status) bool {
	now := time.Now()
	return decideAdmission(st, s.contact.forEpoch(st.Epoch), now, now) == admitHere
}

// leadsEpoch reports whether this machine is the primary of an epoch and in contact with its backups.
func (s *Server) leadsEpoch(epoch uint64) bool {
	st := s.status.Load()
	return st.Epoch == epoch && s.isLeader(st)
}

// admit waits until it is decided where a call is answered, until ctx ends, or until this machine is found to be
// partitioned. It returns nil if this machine is to answer the call, else the error for the caller.
func (s *Server) admit(ctx context.Context, r *http.Request) error {
	receivedAt := time.Now()
	for {
		st, changed := s.watch()
		contact := s.contact.forEpoch(st.Epoch)
		switch decideAdmission(st, contact, receivedAt, time.Now()) {
		case admitHere:
			return nil
		case redirectToPrimary:
			return s.redirect(r, st.PrimaryAddr)
		case rejectPartitioned:
			return unavailable("no contact with the core")
		}
		if !waitForEither(ctx, time.Until(contact.last.Add(partitionTimeout)), changed, contact.renewed) {
			return unavailable("no primary is known")
		}
	}
}

// redirect returns the error that redirects a caller to the primary. The primary has contacted this machine in the
// epoch known here, so it knows at least that epoch: redirects lead only to the same or later epochs and never form a
// loop (TestRedirectsNeverLoop).
func (s *Server) redirect(r *http.Request, primaryAddr string) error {
	addr := s.controlAddr(primaryAddr)
	if addr == "" {
		return unavailable("no primary is known")
	}
	location := url.URL{Scheme: "http", Host: addr, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	return &redirectError{location: location.String()}
}

// controlAddr returns the address at which a core machine serves operator calls, derived from its address within the
// core; "" if that address is invalid.
func (s *Server) controlAddr(coreAddr string) string {
	host, _, err := net.SplitHostPort(coreAddr)
	_, port, err2 := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// withContact returns a context that ends after timeout, or once this machine has been without contact for
// partitionTimeout.
func (s *Server) withContact(parent context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, timeout)
	var check func()
	check = func() {
		left := time.Until(s.contact.forEpoch(s.status.Load().Epoch).last.Add(partitionTimeout))
		if left <= 0 {
			cancel()
			return
		}
		timer := time.AfterFunc(left, check)
		context.AfterFunc(ctx, func() { timer.Stop() })
	}
	check()
	return ctx, cancel
}
