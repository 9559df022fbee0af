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
	// answerWithin bounds how long a call of the operator waits: callers turn elsewhere after a second of silence.
	answerWithin = 850 * time.Millisecond
	// mostWithin is that bound for the largest bodies, for whose answer callers wait longer.
	mostWithin = 3 * time.Second
	// bodyRate is how many bytes of a body lengthen that bound by a second.
	bodyRate = 1 << 20

	// leadWithin is how old the contact of a primary with its backups may be for it to take up calls and duties.
	leadWithin = suspectAfter
	// cutOffAfter is how long after its last contact, or its start, a machine answers all calls with 503 at once. Until then a
	// new view may be on its way: calls wait for it, as a quick 503 has a caller's pauses grow beyond the takeover.
	cutOffAfter = 2 * time.Second
)

// callWithin bounds the time of a call with a body of this length.
func callWithin(body int) time.Duration {
	return min(answerWithin+time.Duration(body)*time.Second/bodyRate, mostWithin)
}

// place tells who answers a call.
type place int

const (
	here      place = iota // this machine: it is the primary, and its backups confirmed that a moment ago
	primary                // another machine, which this one, a member, has heard as the primary since the call came
	undecided              // nobody yet: a new view may be on its way
	nowhere                // this machine is cut off or was frozen
)

// placeOf decides who answers a call that came at a time, as things stand now. A machine that has had no contact says nothing about
// the state: it only tells callers to go on elsewhere. One that isn't the primary waits for a heartbeat before it sends a caller to
// who may be gone: that would cost the caller a second of silence.
func placeOf(st *replication.Status, c contactState, came, now time.Time) place {
	switch {
	case st.Role == replication.Primary && st.Ready && now.Sub(c.at) < leadWithin:
		return here
	case st.Role != replication.Primary && st.Ready && c.at.After(came):
		return primary
	case now.Sub(c.last) < cutOffAfter:
		return undecided
	}
	return nowhere
}

// leads reports whether this machine is the primary and in touch with its backups.
func (o *Server) leads(st *replication.Status) bool {
	now := time.Now()
	return placeOf(st, o.contact.in(st.Epoch), now, now) == here
}

// admit waits until it is clear who answers a call, until ctx ends or this machine is found to be cut off. It reports whether
// this machine goes on; else the caller was answered.
func (o *Server) admit(ctx context.Context, w http.ResponseWriter, r *http.Request) bool {
	came := time.Now()
	for {
		st, changed := o.watch()
		contact := o.contact.in(st.Epoch)
		switch placeOf(st, contact, came, time.Now()) {
		case here:
			return true
		case primary:
			o.redirect(w, r, st.PrimaryAddr)
			return false
		case nowhere:
			o.later(w, "no contact with the core")
			return false
		}
		if !pause(ctx, time.Until(contact.last.Add(cutOffAfter)), changed, contact.renewed) {
			o.later(w, "no primary is known")
			return false
		}
	}
}

// pause waits for one of two events or for a time; false: ctx ended.
func pause(ctx context.Context, most time.Duration, one, other <-chan struct{}) bool {
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
func (o *Server) redirect(w http.ResponseWriter, r *http.Request, primary string) {
	host, _, err := net.SplitHostPort(primary)
	_, port, err2 := net.SplitHostPort(o.set.Bind.Control)
	if err != nil || err2 != nil {
		o.later(w, "no primary is known")
		return
	}
	to := url.URL{Scheme: "http", Host: net.JoinHostPort(host, port), Path: r.URL.Path, RawQuery: r.URL.RawQuery}
	w.Header().Set("Location", to.String())
	w.WriteHeader(http.StatusTemporaryRedirect)
}

// whileInTouch is a context that ends after a time, or when this machine has been without contact for cutOffAfter.
func (o *Server) whileInTouch(parent context.Context, within time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(parent, within)
	var check func()
	check = func() {
		left := time.Until(o.contact.in(o.status.Load().Epoch).last.Add(cutOffAfter))
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
