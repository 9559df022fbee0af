package transport

import (
	"math"
	"time"
)

const (
	// youngest is the age up to which a connection's end under a request says nothing of
	// its age; ageSteps are the steps above it, each by a factor of √2.
	youngest, ageSteps = 64 * time.Millisecond, 24
	// ageMemory is after how long what was seen counts half: what then is too little to
	// go by is tried anew.
	ageMemory = 10 * time.Second
	// A step is left out that ended leastEnds of its reuses and clearly more of them than
	// young connections do.
	leastEnds, endFactor, endShare = 3, 3, 0.1
)

// ages learns how long connections may stand idle. A backend, or what stands between,
// may drop them long before the time in the settings without a word; the next request
// then ends as a reset, and may have run. The pool's lock guards it.
type ages struct {
	young step
	steps [ageSteps]step
	at    time.Time
}

// step counts the reuses of connections of about one age, and those that broke before
// the first byte of an answer.
type step struct{ uses, ends float64 }

func stepOf(age time.Duration) int {
	return min(int(2*math.Log2(float64(age)/float64(youngest))), ageSteps-1)
}

// learn notes how the reuse of a connection went that had stood idle for age.
func (s *ages) learn(age time.Duration, broke bool, now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	if gone := now.Sub(s.at); gone > ageMemory/10 {
		keep := math.Exp2(-float64(gone) / float64(ageMemory))
		s.young.fade(keep)
		for i := range s.steps {
			s.steps[i].fade(keep)
		}
		s.at = now
	}
	st := &s.young
	if age >= youngest {
		st = &s.steps[stepOf(age)]
	}
	st.uses++
	if broke {
		st.ends++
	}
}

func (s *step) fade(keep float64) {
	s.uses *= keep
	s.ends *= keep
}

// limit is how long a connection may stand idle to be used again, at most most.
func (s *ages) limit(most time.Duration) time.Duration {
	usual := 0.0
	if s.young.uses > 0 {
		usual = s.young.ends / s.young.uses
	}
	for i, st := range s.steps {
		if st.ends >= leastEnds && st.ends > st.uses*(endFactor*usual+endShare) {
			return min(most, time.Duration(float64(youngest)*math.Exp2(float64(i)/2)))
		}
	}
	return most
}
