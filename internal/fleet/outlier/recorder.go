package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// Result is how an attempt at a backend ended, as far as that tells of the backend.
type Result int

const (
	// Untold tells nothing of the backend: the client left, or the backend was full.
	Untold Result = iota
	// Good is a served answer in the time that is usual.
	Good
	// Paced is a served answer that came in parts, as fast as usual.
	Paced
	// Late is a served answer for which far longer than usual was waited, be it for a place there or for the answer itself.
	Late
	// Slow is a served answer that came several times as slowly as usual once it had begun.
	Slow
	// Failed is an error answer, a reset or a failed connect.
	Failed
	// Unanswered is no answer in far longer than usual.
	Unanswered
)

// Attempt is one attempt under way. It belongs to the Recorder that began it.
type Attempt struct {
	backend string
	overdue float64 // when it counts as such although it has not ended, ms
	counted bool
	late    bool // it was counted as overdue
}

// Recorder counts how one proxy's attempts end, by backend. It is a state machine without I/O or clock for one goroutine at a time;
// times are in ms.
type Recorder struct {
	open    []*Attempt
	counts  map[string]*distribution.Outcome
	adverse bool // a failure or a slow answer is among the counts
}

const (
	// maxOpen bounds the attempts that are watched for being overdue.
	maxOpen = 1024
	// maxCounted bounds the backends that are told of in one report; what others tell of the rest is enough.
	maxCounted = 512
)

// NewRecorder returns a Recorder without counts.
func NewRecorder() *Recorder { return &Recorder{counts: map[string]*distribution.Outcome{}} }

// Begin notes an attempt that is overdue once it has lasted until the time given without an answer.
func (r *Recorder) Begin(backend string, overdue float64) *Attempt {
	a := &Attempt{backend: backend, overdue: overdue}
	if len(r.open) < maxOpen {
		r.open = append(r.open, a)
	}
	return a
}

// Answered notes that an attempt's answer has begun: it is no longer watched for being overdue.
func (r *Recorder) Answered(a *Attempt) {
	r.close(a)
	if a.late {
		a.late = false
		if o := r.of(a.backend); o != nil {
			o.Late++
		}
	}
}

func (r *Recorder) close(a *Attempt) {
	if i := slices.Index(r.open, a); i >= 0 {
		r.open = slices.Delete(r.open, i, i+1)
	}
}

// Note counts a part of an attempt under way, such as a stretch of a stream, as an attempt of its own.
func (r *Recorder) Note(backend string, how Result) {
	r.count(&Attempt{backend: backend}, how)
}

// End counts an attempt, unless it was counted when it was overdue. Only the first call counts.
func (r *Recorder) End(a *Attempt, how Result) {
	r.close(a)
	r.count(a, how)
}

// Overdue counts the attempts that are overdue by now.
func (r *Recorder) Overdue(now float64) {
	r.open = slices.DeleteFunc(r.open, func(a *Attempt) bool {
		if now < a.overdue {
			return false
		}
		a.late = true
		r.count(a, Unanswered)
		return true
	})
}

func (r *Recorder) count(a *Attempt, how Result) {
	if a.counted {
		return
	}
	a.counted = true
	if how == Untold {
		return
	}
	o := r.of(a.backend)
	if o == nil {
		return
	}
	o.Attempts++
	switch how {
	case Late:
		o.Overdue++
		o.Late++
	case Paced:
		o.Streamed++
	case Slow:
		o.Streamed++
		o.Slow++
	case Failed:
		o.Failed++
	case Unanswered:
		o.Overdue++
	}
	r.adverse = r.adverse || how != Good && how != Paced
}

// of gives the counts of a backend; nil: there is no room for them.
func (r *Recorder) of(backend string) *distribution.Outcome {
	o := r.counts[backend]
	if o == nil && len(r.counts) < maxCounted {
		o = &distribution.Outcome{Backend: backend}
		r.counts[backend] = o
	}
	return o
}

// Adverse tells whether a failure or a slow answer is among the counts.
func (r *Recorder) Adverse() bool { return r.adverse }

// Take gives the counts, by backend, and forgets them.
func (r *Recorder) Take() []distribution.Outcome {
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
