package simulation

import (
	"net/http"
	"slices"
	"time"
)

// Shutdown is a SIGTERM that a test has sent to the proxy at an edge address.
type Shutdown struct {
	Edge string
	At   time.Time
}

// Departure is a backend that the platform's list shows as draining since a time.
type Departure struct {
	Engine   string // id
	ListedAt time.Time
}

// ConfigRead is a read of the configuration by a test, with its outcome.
type ConfigRead struct {
	SentAt  time.Time
	Status  int
	Version int64
}

// ConfigChange is a change of the configuration that was acknowledged.
type ConfigChange struct {
	Version int64
	AckedAt time.Time
}

const (
	// lateArrival is the time after a client has left within which its request may reach a backend or run there.
	lateArrival = 500 * time.Millisecond
	// maxLateArrivals is the number of requests that may do so later: the rule is broken only by more than a few.
	maxLateArrivals = 3
	// maxDeadlineGrowth is the time by which the deadline at a backend may exceed the client's.
	maxDeadlineGrowth = 500 * time.Millisecond
	// maxWrongDeadlines and maxWrongDeadlineShare bound the number and the fraction of attempts that exceed it by more.
	maxWrongDeadlines     = 20
	maxWrongDeadlineShare = 0.2
	// exemptSendWindow is the time after a SIGTERM within which a request must have been sent if it may be aborted at
	// the end of the grace period.
	exemptSendWindow = 3 * time.Second
)

// checkShutdowns judges LOST around each SIGTERM: a request whose client connected must get a complete answer if it
// reached a backend or waited for longer than the slack.
func (o *observations) checkShutdowns(shutdowns []Shutdown) {
	for _, s := range shutdowns {
		end := s.At.Add(o.bounds.Grace + time.Second)
		for i := range o.results {
			r := &o.results[i]
			if r.Edge == s.Edge && r.EndedAt.After(s.At) && r.EndedAt.Before(end) && o.isLost(r, s.At) {
				o.reportAtClient(LOST, r, "the connection ended %v after SIGTERM without a complete answer: %v",
					r.EndedAt.Sub(s.At), r.Err)
			}
		}
	}
}

// isLost reports whether a request that ended after a SIGTERM at the time term was lost.
func (o *observations) isLost(r *Result, term time.Time) bool {
	if r.Complete || r.NotSent || r.Abandoned {
		return false
	}
	entries := o.entriesByAttempt[r.Attempt]
	if len(entries) == 0 && r.EndedAt.Sub(r.SentAt) <= o.bounds.LossSlack {
		return false // it was sent while the proxy closed the connection
	}
	if r.Deadline > 0 && r.EndedAt.Sub(r.SentAt) >= r.Deadline {
		return false
	}
	if brokenByBackend(entries) {
		return false
	}
	lastSixth := term.Add(o.bounds.Grace - o.bounds.Grace/6)
	for _, en := range entries {
		atWork := en.Ended.IsZero() || en.Ended.After(lastSixth)
		if atWork && r.EndedAt.After(lastSixth) && r.SentAt.Sub(term) <= exemptSendWindow {
			return false
		}
	}
	return true
}

// brokenByBackend reports whether a backend broke off the last run of a request, or any attempt if none ran: a run
// before the last one was replaced, so that its end explains nothing.
func brokenByBackend(entries []*Entry) bool {
	var last *Entry
	for _, en := range entries {
		if en.Ran && (last == nil || en.At.After(last.At)) {
			last = en
		}
	}
	if last != nil {
		return last.Broke
	}
	return slices.ContainsFunc(entries, func(en *Entry) bool { return en.Broke })
}

// checkDepartures judges DRAIN: no request may reach a draining backend later than the bound, except ones that it
// rejects as misdirected.
func (o *observations) checkDepartures(departures []Departure) {
	for _, d := range departures {
		bound := d.ListedAt.Add(o.bounds.Drain)
		for i := range o.entries {
			en := &o.entries[i]
			if en.Engine == d.Engine && en.At.After(bound) && en.Status != http.StatusMisdirectedRequest {
				o.reportAtEngine(DRAIN, en, "it came %v after the list showed that the backend drains",
					en.At.Sub(d.ListedAt))
			}
		}
	}
}

// checkGone judges GONE: no more than a few of all requests may reach a backend late, or run there for long, after
// their clients have left.
func (o *observations) checkGone() {
	late := 0
	for i := range o.entries {
		en := &o.entries[i]
		r := o.resultByAttempt[en.Attempt]
		if r == nil || !r.Abandoned {
			continue
		}
		arrivedLate := en.At.Sub(r.EndedAt) > lateArrival
		workedOn := r.Idempotent() && en.Ran && en.Ended.Sub(r.EndedAt) > lateArrival
		if !arrivedLate && !workedOn {
			continue
		}
		late++
		if late == maxLateArrivals+1 {
			o.reportAtEngine(GONE, en, "its client had left %v before, as those of %d others", en.At.Sub(r.EndedAt),
				late-1)
		}
	}
}

// checkDeadlines judges the time budget of BUDGET: the deadline that a backend gets must not exceed the client's, nor,
// at a retry, what is left of it.
func (o *observations) checkDeadlines() {
	judged, wrong := 0, 0
	var last *Entry
	for _, entries := range o.entriesByAttempt {
		r := o.resultByAttempt[entries[0].Attempt]
		if r == nil || r.Deadline <= 0 {
			continue
		}
		ends := r.SentAt.Add(r.Deadline)
		for _, en := range entries {
			judged++
			if en.Deadline <= 0 || en.At.Add(en.Deadline).Sub(ends) > maxDeadlineGrowth {
				wrong++
				last = en
			}
		}
	}
	if wrong > maxWrongDeadlines && float64(wrong) > maxWrongDeadlineShare*float64(judged) {
		o.reportAtEngine(BUDGET, last, "%d of %d attempts were handed more time than was left", wrong, judged)
	}
}

// checkReads judges CONFIG: a read that was sent later than the bound after an acknowledgement must not show an older
// version. Time-outs and 5xx answers are no breach.
func (o *observations) checkReads(changes []ConfigChange, reads []ConfigRead) {
	for _, read := range reads {
		if read.Status != http.StatusOK {
			continue
		}
		for _, change := range changes {
			if read.SentAt.Sub(change.AckedAt) > o.bounds.Apply && read.Version < change.Version {
				o.findings = append(o.findings, Finding{
					Rule:    CONFIG,
					At:      read.SentAt,
					Message: "a read shows an older version than was acknowledged before",
				})
				break
			}
		}
	}
}
