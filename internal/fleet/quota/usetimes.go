package quota

import (
	"slices"
	"time"
)

// useTimes is a queue of the times at which slots were used, the earliest first. Adding a time and removing the
// earliest take amortized constant time.
type useTimes struct {
	times []time.Duration
	first int // index of the earliest time that hasn't been removed
}

// count returns the number of times.
func (u *useTimes) count() int { return len(u.times) - u.first }

// add appends a time that isn't earlier than any other.
func (u *useTimes) add(at time.Duration) {
	if len(u.times) == cap(u.times) && u.first > u.count() {
		u.times = u.times[:copy(u.times, u.times[u.first:])]
		u.first = 0
	}
	u.times = append(u.times, at)
}

// takeEarlier removes the times before than, and returns how many it removed.
func (u *useTimes) takeEarlier(than time.Duration) int {
	before := u.first
	for u.first < len(u.times) && u.times[u.first] < than {
		u.first++
	}
	return u.first - before
}

// take removes one entry with the time at; ok is false if there is none.
func (u *useTimes) take(at time.Duration) (ok bool) {
	i, ok := slices.BinarySearch(u.times[u.first:], at)
	if ok {
		u.times = slices.Delete(u.times, u.first+i, u.first+i+1)
	}
	return ok
}
