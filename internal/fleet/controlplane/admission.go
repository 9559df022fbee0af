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
	// callTimeout bounds how long a call of the operator waits: callers turn elsewhere after a second of silence.
	callTimeout = 850 * time.Millisecond
	// maxCallTimeout is that bound for the largest bodies, for whose answer callers wait longer.
	maxCallTimeout = 3 * time.Second
	// bodyBytesPerSecond is how many bytes of a body lengthen that bound by a second.
	bodyBytesPerSecond = 1 << 20

	// leaderContactTimeout is how old the contact of a primary with its backups may be for it to take up calls and duties.
	leaderContactTimeout = electionTimeout
	// partitionTimeout is how long after its last contact, or its start, a machine answers all calls with 503 at once. Until then a
	// new view may be on its way: calls wait for it, as a quick 503 has a caller's pauses grow beyond the takeover.
	partitionTimeout = 2 * time.Second
)

// callTimeoutFor bounds the time of a call with a body of this length.
func callTimeoutFor(body int) time.Duration {
	return min(callTimeout+time.Duration(body)*time.Second/bodyBytesPerSecond, maxCallTimeout)
}

// admission tells who answers a call.
type admission int

const (
	admitHere         admission = iota // this machine: it is the primary, and its backups confirmed that a moment ago
	redirectToPrimary                  // another machine, which this one, a member, has heard as the primary since the call came
	awaitPrimary                       // nobody yet: a new view may be on its way
	rejectPartitioned                  // this machine is cut off or was frozen
)

// decideAdmission decides who answers a call that came at a time, as things stand now. A machine that has had no contact says nothing about
// the state: it only tells callers to go on elsewhere. One that isn't the primary waits for a heartbeat before it sends a caller to
// who may be gone: that would cost the caller a second of silence.
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

// isLeader reports whether this machine is the primary and in touch with its backups.
func (s *Server) isLeader(st *replication.Status) bool {
	now := time.Now()
	return decideAdmission(st, s.contact.forEpoch(st.Epoch), now, now) == admitHere
}

// admit waits until it is clear who answers a call, until ctx ends or this machine is found to be cut off. It reports whether
// this machine goes on; else the caller was answered.
func (s *Server) admit(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	came := time.Now()
	for {
		st, changed := s.watch()
		contact := s.contact.forEpoch(st.Epoch)
		switch decideAdmission(st, contact, came, time.Now()) {
		case admitHere:
			return true
		case redirectToPrimary:
			s.redirect(w, r, st.PrimaryAddr)
			return false
		case rejectPartitioned:
			s.unavailable(w, "no contact with the core")
			return false
		}
		if !waitForEither(ctx, time.Until(contact.last.Add(partitionTimeout)), changed, contact.renewed) {
			s.unavailable(w, "no primary is known")
			return false
		}
	}
}

// waitForEither waits for one of two events or for a time; false: ctx ended.
func waitForEither(ctx context.Context, most time.Duration, one, other <-chan struct{}) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-one:
	case <-other:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// redirect sends a caller to the primary. It was heard in the epoch that is known here, so it knows that epoch too: redirects
// lead from epoch to later epoch and never round.
func (s *Server) redirect(w http.ResponseWriter, r *http.Request, primary string) {
	host, _, err := net.SplitHostPort(primary)
	_, port, err2 := net.SplitHostPort(s.settings.Bind.Control)
	if err != nil || err2 != nil {
		s.unavailable(w, "no primary is known")
		return
	}
	to := url.URL{Scheme: "http", Host: net.JoinHostPort(host, port), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	w.Header().Set("Location", to.String())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// withContact is a context that ends after a time, or when this machine has been without contact for partitionTimeout.
func (s *Server) withContact(parent context.Context, within time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, within)
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
