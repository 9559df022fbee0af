package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// Result is how an attempt at a backend ended, as far as that says anything of the backend.
type Result int

const (
	// Inconclusive says nothing of the backend: the client left, or the backend was full.
	Inconclusive Result = iota
	// Good is a served answer in the usual time.
	Good
	// StreamedOnPace is a served answer that came in parts, as fast as usual.
	StreamedOnPace
	// Late is a served answer for which the proxy waited far longer than usual, be it for capacity there or for the
	// answer itself.
	Late
	// Slow is a served answer that came several times as slowly as usual once it had begun.
	Slow
	// Failed is an error answer, a reset or a failed connect.
	Failed
	// TimedOut is no answer in far longer than usual.
	TimedOut
)

// Attempt is one attempt in flight. It belongs to the Recorder that began it.
type Attempt struct {
	backend        string
	overdueAt      float64 // when it counts as overdue although it hasn't ended, ms
	counted        bool
	countedOverdue bool
}

// Recorder counts how one proxy's attempts end, by backend, until Drain. It is not safe for concurrent use.
type Recorder struct {
	pending []*Attempt // watched for being overdue
	counts  map[string]*distribution.Outcome
	adverse bool // a bad end is among the counts
}

const (
	// maxPending bounds the attempts that are watched for being overdue.
	maxPending = 1024
	// maxBackends bounds the backends in one report; what other proxies report of the rest is enough.
	maxBackends = 512
)

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder { return &Recorder{counts: map[string]*distribution.Outcome{}} }

// Begin records the start of an attempt that is overdue if it has no answer by the time given, ms.
func (r *Recorder) Begin(backend string, overdueAt float64) *Attempt {
	a := &Attempt{backend: backend, overdueAt: overdueAt}
	if len(r.pending) < maxPending {
		r.pending = append(r.pending, a)
	}
	return a
}

// HeadersReceived records that an attempt's answer has begun: it is no longer watched for being overdue.
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

// ObservePart counts a part of an attempt in flight, such as a stretch of a stream, as an attempt of its own.
func (r *Recorder) ObservePart(backend string, result Result) {
	r.count(&Attempt{backend: backend}, result)
}

// End counts an attempt, unless it was counted when it became overdue. Only the first call counts.
func (r *Recorder) End(a *Attempt, result Result) {
	r.stopWatching(a)
	r.count(a, result)
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

// outcome returns the counts of a backend; nil where there are maxBackends others.
func (r *Recorder) outcome(backend string) *distribution.Outcome {
	o := r.counts[backend]
	if o == nil && len(r.counts) < maxBackends {
		o = &distribution.Outcome{Backend: backend}
		r.counts[backend] = o
	}
	return o
}

// Adverse tells whether a bad end is among the counts, so that they should be reported soon.
func (r *Recorder) Adverse() bool { return r.adverse }

// Drain returns the counts, by backend and in no order, and resets them; nil where there are none.
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
