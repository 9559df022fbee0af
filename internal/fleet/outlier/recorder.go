package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// Result classifies how an attempt at a backend ended.
type Result int

const (
	// Inconclusive is a result that doesn't indicate how healthy the backend is: the client disconnected, or the
	// backend was full.
	Inconclusive Result = iota
	// Good is an answer served in the usual time.
	Good
	// StreamedOnPace is a streamed answer at the usual pace.
	StreamedOnPace
	// Late is an answer for which the proxy waited far longer than usual, for capacity at the backend or for the answer
	// itself.
	Late
	// Slow is an answer that, once begun, was streamed several times as slowly as usual.
	Slow
	// Failed is an error response, a reset or a failed connection attempt.
	Failed
	// TimedOut means that there was no answer in far longer than the usual time.
	TimedOut
)

// Attempt is one attempt in flight. It belongs to the Recorder whose Begin returned it.
type Attempt struct {
	backend        string
	overdueAt      float64 // time from which it counts as overdue although it hasn't ended, ms
	counted        bool
	countedOverdue bool
}

// Recorder counts the results of one proxy's attempts by backend until Drain. It is not safe for concurrent use.
type Recorder struct {
	pending []*Attempt // attempts that may become overdue
	counts  map[string]*distribution.Outcome
	adverse bool // the counts include a bad result
}

const (
	// maxPending is the maximum number of attempts that are checked for being overdue.
	maxPending = 1024
	// maxBackends is the maximum number of backends in one report; other proxies' reports cover the others.
	maxBackends = 512
)

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder { return &Recorder{counts: map[string]*distribution.Outcome{}} }

// Begin records the start of an attempt that becomes overdue if it has no answer by overdueAt, ms.
func (r *Recorder) Begin(backend string, overdueAt float64) *Attempt {
	a := &Attempt{backend: backend, overdueAt: overdueAt}
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, a)
	}
	return a
}

// HeadersReceived records that an attempt's answer has begun: the attempt can no longer become overdue.
func (r *Recorder) HeadersReceived(a *Attempt) {
	r.stopWatching(a)
	if !a.countedOverdue {
		return
	}
	a.countedOverdue = false
	if o := r.outcome(a.backend); o != nil {
		o.Late++
	}
}

func (r *Recorder) stopWatching(a *Attempt) {
	if i := slices.Index(r.pending, a); i >= 0 {
		r.pending = slices.Delete(r.pending, i, i+1)
	}
}

// ObservePart counts a part of an attempt in flight, such as a section of a stream, as a separate attempt.
func (r *Recorder) ObservePart(backend string, result Result) {
	r.count(&Attempt{backend: backend}, result)
}

// End counts an attempt, unless it was already counted when it became overdue. Further calls have no effect.
func (r *Recorder) End(a *Attempt, result Result) {
	r.stopWatching(a)
	r.count(a, result)
}

// CountOverdue counts the attempts that are overdue at the given time, ms.
func (r *Recorder) CountOverdue(now float64) {
	r.pending = slices.DeleteFunc(r.pending, func(a *Attempt) bool {
		if now < a.overdueAt {
			return false
		}
		a.countedOverdue = true
		r.count(a, TimedOut)
		return true
	})
}

func (r *Recorder) count(a *Attempt, result Result) {
	if a.counted {
		return
	}
	a.counted = true
	if result == Inconclusive {
		return
	}
	o := r.outcome(a.backend)
	if o == nil {
		return
	}
	o.Attempts++
	switch result {
	case Late:
		o.Overdue++
		o.Late++
	case StreamedOnPace:
		o.Streamed++
	case Slow:
		o.Streamed++
		o.Slow++
	case Failed:
		o.Failed++
	case TimedOut:
		o.Overdue++
	}
	if result != Good && result != StreamedOnPace {
		r.adverse = true
	}
}

// outcome returns the counts of a backend; nil if there are already counts of maxBackends others.
func (r *Recorder) outcome(backend string) *distribution.Outcome {
	o := r.counts[backend]
	if o == nil && len(r.counts) < maxBackends {
		o = &distribution.Outcome{Backend: backend}
		r.counts[backend] = o
	}
	return o
}

// Adverse reports whether the counts include a bad result, so that they should be reported soon.
func (r *Recorder) Adverse() bool { return r.adverse }

// Drain returns the counts by backend, in no particular order, and resets them; nil if there are none.
func (r *Recorder) Drain() []distribution.Outcome {
	if len(r.counts) == 0 {
		return nil
	}
	all := make([]distribution.Outcome, 0, len(r.counts))
	for _, o := range r.counts {
		all = append(all, *o)
	}
	clear(r.counts)
	r.adverse = false
	return all
}
