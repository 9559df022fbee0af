package quota

import (
	"slices"
	"time"
)

// useTimes are when slots were used, the earliest first. Adding and taking off the earliest cost the same however many
// there are.
type useTimes struct {
	times []time.Duration
	first int // index of the earliest that hasn't been taken off
}

// count is how many there are.
func (u *useTimes) count() int { return len(u.times) - u.first }

// add adds one that isn't earlier than any.
func (u *useTimes) add(at time.Duration) {
	if len(u.times) == cap(u.times) && u.first > u.count() {
		u.times = u.times[:copy(u.times, u.times[u.first:])]
		u.first = 0
	}
	u.times = append(u.times, at)
}

// takeEarlier takes off those that are earlier than a time, and returns how many there were.
func (u *useTimes) takeEarlier(than time.Duration) int {
	before := u.first
	for u.first < len(u.times) && u.times[u.first] < than {
		u.first++
	}
	return u.first - before
}

// take takes off one at a time; ok is false where there is none.
func (u *useTimes) take(at time.Duration) (ok bool) {
	i, ok := slices.BinarySearch(u.times[u.first:], at)
	if ok {
		u.times = slices.Delete(u.times, u.first+i, u.first+i+1)
	}
	return ok
}
