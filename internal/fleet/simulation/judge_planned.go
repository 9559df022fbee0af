package simulation

import (
	"net/http"
	"time"
)

// Shutdown is a SIGTERM that a test sent to the proxy at an edge address.
type Shutdown struct {
	Edge string
	At   time.Time
}

// Departure is a backend that the platform's list shows as draining from a time on.
type Departure struct {
	Engine   string // id
	ListedAt time.Time
}

// ConfigRead is a read of the configuration that a test made, and what came of it.
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
	// lateArrival is how long after a client has left a request may reach a backend, or be worked on there.
	lateArrival = 500 * time.Millisecond
	// maxLateArrivals is how many requests may reach backends later than that: the rule counts more than a few.
	maxLateArrivals = 3
	// maxDeadlineGrowth is how much more time than the client gave a backend may be handed.
	maxDeadlineGrowth = 500 * time.Millisecond
	// maxWrongDeadlines and maxWrongDeadlineShare bound the attempts that are handed more.
	maxWrongDeadlines     = 20
	maxWrongDeadlineShare = 0.2
	// exemptSent is until when after a SIGTERM a request may have been sent that is broken off at the end of the grace
	// period.
	exemptSent = 3 * time.Second
)

// checkShutdowns judges LOST around each SIGTERM: a request whose client connected, and that a backend had or that
// waited for longer than the slack, has a complete answer.
func (o *observations) checkShutdowns(shutdowns []Shutdown) {
	for _, s := range shutdowns {
		end := s.At.Add(o.bounds.Grace + time.Second)
		for i := range o.results {
			r := &o.results[i]
			if r.Edge == s.Edge && r.EndedAt.After(s.At) && r.EndedAt.Before(end) && o.lost(r, s.At) {
				o.reportAtClient(LOST, r, "the connection ended %v after SIGTERM without a complete answer: %v",
					r.EndedAt.Sub(s.At), r.Err)
			}
		}
	}
}

// lost reports whether a request is lost that ended after a SIGTERM at a time.
func (o *observations) lost(r *Result, term time.Time) bool {
	if r.Complete || r.Unread || r.Left {
		return false
	}
	entries := o.entriesByAttempt[r.Attempt]
	if len(entries) == 0 && r.EndedAt.Sub(r.SentAt) <= o.bounds.LossSlack {
		return false // it crossed the close
	}
	if r.Deadline > 0 && r.EndedAt.Sub(r.SentAt) >= r.Deadline {
		return false
	}
	lastSixth := term.Add(o.bounds.Grace - o.bounds.Grace/6)
	for _, en := range entries {
		atWork := en.Ended.IsZero() || en.Ended.After(lastSixth)
		if en.Broke || atWork && r.EndedAt.After(lastSixth) && r.SentAt.Sub(term) <= exemptSent {
			return false
		}
	}
	return true
}

// checkDepartures judges DRAIN: nothing reaches a backend that drains later than the bound.
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

// checkGone judges GONE: after a client has left, no more than a few of all requests reach a backend or are worked on
// there for long.
func (o *observations) checkGone() {
	late := 0
	for i := range o.entries {
		en := &o.entries[i]
		r := o.resultByAttempt[en.Attempt]
		if r == nil || !r.Left {
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

// checkDeadlines judges BUDGET by time: backends aren't handed more time than the client gave, or, sent once more, than
// is left of it.
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

// checkReads judges CONFIG: a read that was sent later than the bound after an acknowledgement shows no older version.
// Silence and a 5xx are no breach.
func (o *observations) checkReads(changes []ConfigChange, reads []ConfigRead) {
	for _, read := range reads {
		if read.Status != http.StatusOK {
			continue
		}
		for _, change := range changes {
			if read.SentAt.Sub(change.AckedAt) > o.bounds.Apply && read.Version < change.Version {
				o.findings = append(o.findings, Finding{
					Rule: CONFIG,
					At:   read.SentAt,
					What: "a read shows an older version than was acknowledged before",
				})
				break
			}
		}
	}
}
