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
	// callTimeout bounds how long a call of the operator waits: callers turn elsewhere after a second without an
	// answer.
	callTimeout = 850 * time.Millisecond
	// maxCallTimeout is that bound for the largest bodies, for whose answer callers wait longer.
	maxCallTimeout = 3 * time.Second
	// bodyBytesPerSecond is how many bytes of a body lengthen that bound by a second.
	bodyBytesPerSecond = 1 << 20

	// leaderContactTimeout is how old the contact of a primary with its backups may be for it to answer calls and to do
	// singleton work: beyond it the others may have elected the next one.
	leaderContactTimeout = electionTimeout
	// partitionTimeout is how long after its last contact, or its start, a machine answers all calls with 503 at once.
	// Until then a new view may be on its way: calls wait for it, as a quick 503 has a caller's backoff grow beyond the
	// takeover.
	partitionTimeout = 2 * time.Second
)

// callTimeoutFor bounds the time of a call with a body of so many bytes.
func callTimeoutFor(bodyBytes int) time.Duration {
	return min(callTimeout+time.Duration(bodyBytes)*time.Second/bodyBytesPerSecond, maxCallTimeout)
}

// admission says who answers a call.
type admission int

const (
	// admitHere: this machine, which is the primary, and its backups confirmed that a moment ago.
	admitHere admission = iota
	// redirectToPrimary: another machine, which has contacted this one, a member, as the primary since the call came.
	redirectToPrimary
	// awaitPrimary: nobody yet; a new view may be on its way.
	awaitPrimary
	// rejectPartitioned: nobody here; this machine is partitioned from the core or was frozen.
	rejectPartitioned
)

// decideAdmission decides who answers a call that came at a time, as things stand now.
//
// Safety: a machine without contact says nothing about the state, it only tells callers to go on elsewhere: the
// others may have moved on (TestCutOffPrimary). One that isn't the primary waits for a heartbeat before it redirects
// a caller to who may be gone: that would cost the caller a second without an answer.
func decideAdmission(st *replication.Status, c contactState, came, now time.Time) admission {
	switch {
	case st.Role == replication.Primary && st.Ready && now.Sub(c.at) < leaderContactTimeout:
		return admitHere
	case st.Role != replication.Primary && st.Ready && c.at.After(came):
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

// admit waits until it is clear who answers a call, until ctx ends or this machine is found to be partitioned. It
// returns nil where this machine goes on, else what the caller is answered.
func (s *Server) admit(ctx context.Context, r *http.Request) error {
	came := time.Now()
	for {
		st, changed := s.watch()
		contact := s.contact.forEpoch(st.Epoch)
		switch decideAdmission(st, contact, came, time.Now()) {
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

// redirect returns the error that sends a caller to the primary. It has contacted this machine in the epoch that is
// known here, so it knows that epoch too: redirects lead from epoch to later epoch and never in a loop
// (TestRedirectsNeverLoop).
func (s *Server) redirect(r *http.Request, primaryAddr string) error {
	addr := s.controlAddr(primaryAddr)
	if addr == "" {
		return unavailable("no primary is known")
	}
	location := url.URL{Scheme: "http", Host: addr, Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	return &redirectError{location: location.String()}
}

// controlAddr returns where a core machine takes the operator's calls, from the address where it hears the core; ""
// when that is no address.
func (s *Server) controlAddr(coreAddr string) string {
	host, _, err := net.SplitHostPort(coreAddr)
	_, port, err2 := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || err2 != nil {
		return ""
	}
	return net.JoinHostPort(host, port)
}

// withContact returns a context that ends after a time, or when this machine has been without contact for
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
