package transport

import (
	"math"
	"time"
)

const (
	// minAge is the idle time below which a broken connection is not attributed to its age; ageBuckets is the number
	// of buckets above it, each wider than the last by a factor of √2.
	minAge, ageBuckets = 64 * time.Millisecond, 24
	// ageHalfLife is the half-life of the counts: once a bucket has decayed below minBreaks, its ages are used again.
	ageHalfLife = 10 * time.Second
	// An age is avoided if at least minBreaks of its reuses broke, and a clearly larger share than among young
	// connections.
	minBreaks, breakFactor, breakRatio = 3, 3, 0.1
)

// ageStats learns how long connections may stay idle. A backend or a middlebox may drop them silently, long before the
// configured idle time; the next request then ends in a reset and may have been executed. The pool's lock guards it.
type ageStats struct {
	young   ageBucket
	buckets [ageBuckets]ageBucket
	at      time.Time
}

// ageBucket counts the reuses of connections of about one idle time, and how many of them broke before the first byte
// of an answer.
type ageBucket struct{ uses, breaks float64 }

func bucketOf(age time.Duration) int {
	return min(int(2*math.Log2(float64(age)/float64(minAge))), ageBuckets-1)
}

// observe records whether a connection broke when it was reused after being idle for age.
func (s *ageStats) observe(age time.Duration, broke bool, now time.Time) {
	if s.at.IsZero() {
		s.at = now
	}
	if gone := now.Sub(s.at); gone > ageHalfLife/10 {
		keep := math.Exp2(-float64(gone) / float64(ageHalfLife))
		s.young.decay(keep)
		for i := range s.buckets {
			s.buckets[i].decay(keep)
		}
		s.at = now
	}
	st := &s.young
	if age >= minAge {
		st = &s.buckets[bucketOf(age)]
	}
	st.uses++
	if broke {
		st.breaks++
	}
}

func (s *ageBucket) decay(keep float64) {
	s.uses *= keep
	s.breaks *= keep
}

// idleLimit returns how long a connection may be idle and still be reused; it is at most most.
func (s *ageStats) idleLimit(most time.Duration) time.Duration {
	usual := 0.0
	if s.young.uses > 0 {
		usual = s.young.breaks / s.young.uses
	}
	for i, st := range s.buckets {
		if st.breaks >= minBreaks && st.breaks > st.uses*(breakFactor*usual+breakRatio) {
			return min(most, time.Duration(float64(minAge)*math.Exp2(float64(i)/2)))
		}
	}
	return most
}
