package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// Result is how an attempt at a backend ended, as far as that tells of the backend.
type Result int

const (
	// Inconclusive tells nothing of the backend: the client left, or the backend was full.
	Inconclusive Result = iota
	// Good is a served answer in the time that is usual.
	Good
	// StreamedOnPace is a served answer that came in parts, as fast as usual.
	StreamedOnPace
	// Late is a served answer for which far longer than usual was waited, be it for a place there or for the answer itself.
	Late
	// Slow is a served answer that came several times as slowly as usual once it had begun.
	Slow
	// Failed is an error answer, a reset or a failed connect.
	Failed
	// TimedOut is no answer in far longer than usual.
	TimedOut
)

// Attempt is one attempt under way. It belongs to the Recorder that began it.
type Attempt struct {
	backend        string
	overdueAt      float64 // when it counts as such although it has not ended, ms
	counted        bool
	countedOverdue bool // it was counted as overdue
}

// Recorder counts how one proxy's attempts end, by backend. It is a state machine without I/O or clock for one goroutine at a time;
// times are in ms.
type Recorder struct {
	pending []*Attempt
	counts  map[string]*distribution.Outcome
	adverse bool // a failure or a slow answer is among the counts
}

const (
	// maxPending bounds the attempts that are watched for being overdue.
	maxPending = 1024
	// maxBackends bounds the backends that are told of in one report; what others tell of the rest is enough.
	maxBackends = 512
)

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder { return &Recorder{counts: map[string]*distribution.Outcome{}} }

// Begin notes an attempt that is overdue once it has lasted until the time given without an answer.
func (r *Recorder) Begin(backend string, overdue float64) *Attempt {
	a := &Attempt{backend: backend, overdueAt: overdue}
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, a)
	}
	return a
}

// HeadersReceived notes that an attempt's answer has begun: it is no longer watched for being overdue.
func (r *Recorder) HeadersReceived(a *Attempt) {
	r.stopWatching(a)
	if a.countedOverdue {
		a.countedOverdue = false
		if o := r.outcome(a.backend); o != nil {
			o.Late++
		}
	}
}

func (r *Recorder) stopWatching(a *Attempt) {
	if i := slices.Index(r.pending, a); i >= 0 {
		r.pending = slices.Delete(r.pending, i, i+1)
	}
}

// ObservePart counts a part of an attempt under way, such as a stretch of a stream, as an attempt of its own.
func (r *Recorder) ObservePart(backend string, how Result) {
	r.count(&Attempt{backend: backend}, how)
}

// End counts an attempt, unless it was counted when it was overdue. Only the first call counts.
func (r *Recorder) End(a *Attempt, how Result) {
	r.stopWatching(a)
	r.count(a, how)
}

// CountOverdue counts the attempts that are overdue by now.
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

func (r *Recorder) count(a *Attempt, how Result) {
	if a.counted {
		return
	}
	a.counted = true
	if how == Inconclusive {
		return
	}
	o := r.outcome(a.backend)
	if o == nil {
		return
	}
	o.Attempts++
	switch how {
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
	r.adverse = r.adverse || how != Good && how != StreamedOnPace
}

// find gives the counts of a backend; nil: there is no room for them.
func (r *Recorder) outcome(backend string) *distribution.Outcome {
	o := r.counts[backend]
	if o == nil && len(r.counts) < maxBackends {
		o = &distribution.Outcome{Backend: backend}
		r.counts[backend] = o
	}
	return o
}

// Adverse tells whether a failure or a slow answer is among the counts.
func (r *Recorder) Adverse() bool { return r.adverse }

// SetEjections gives the counts, by backend, and forgets them.
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
