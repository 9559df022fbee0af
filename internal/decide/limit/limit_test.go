package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

func newLimiter(t testing.TB, o Options) *Limiter {
	t.Helper()
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func twoClasses(law string) Options {
	return Options{Law: law, InitialWindow: 10, MinWindow: 4, MaxWindow: 100, Classes: []Class{{0.5}, {0.5}}}
}

func TestNewRejectsInvalidOptions(t *testing.T) {
	for _, o := range []Options{{Law: "vegas"}, {Law: Fixed, Classes: []Class{{1.1}}},
		{Law: Fixed, Classes: []Class{{-0.1}}},
		{Law: Fixed, Classes: []Class{{0.6}, {0.6}}}} {
		if _, err := New(o); err == nil {
			t.Errorf("%+v was accepted", o)
		}
	}
}

// A class that fills the window leaves another one its guaranteed share. The total returns below the
// window once requests of the first class end.
func TestClassShareOfWindow(t *testing.T) {
	l := newLimiter(t, twoClasses(Gradient))
	for range 10 {
		if !l.Acquire(0, 0) {
			t.Fatal("rejected below the window")
		}
	}
	if l.Acquire(0, 0) {
		t.Error("accepted over the window and over its share")
	}
	for range 5 {
		if !l.Acquire(1, 0) {
			t.Fatal("rejected within its share")
		}
	}
	if l.Acquire(1, 0) || l.Acquire(0, 0) {
		t.Error("accepted over the window plus the unused share")
	}
	for i := range 6 { // 9 are in flight at the end
		if l.Acquire(0, 0) {
			t.Errorf("accepted over the window, %d released", i)
		}
		l.Release(0, 0, 0, 0, Ignored)
	}
	if !l.Acquire(0, 0) {
		t.Error("rejected although the window has room again")
	}
	if n, rejected := l.ClassInFlight(0); n != 5 || rejected != 8 {
		t.Errorf("%d in flight and %d rejected, want 5 and 8", n, rejected)
	}
}

// Even if the window is as large as the limit of the peer, a class without a share leaves room for the
// others.
func TestClassShareOfPeerLimit(t *testing.T) {
	l := newLimiter(t, Options{Law: Fixed, MaxWindow: 16, Classes: []Class{{0.5}, {0.5}, {0}}})
	for range 20 {
		l.Acquire(2, 0)
	}
	if n, _ := l.InFlight(); n != 14 {
		t.Errorf("%d in flight, want 14", n)
	}
	if !l.Acquire(0, 0) || !l.Acquire(1, 0) || l.Acquire(0, 0) || l.Acquire(1, 0) {
		t.Error("the two reserved requests must go to the classes within their shares")
	}
}

// The limits announced by the peer are never exceeded, whatever the shares, and may change.
func TestPeerLimitsAreNeverExceeded(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, law := range []string{Fixed, AIMD, Gradient} {
		l := newLimiter(t, Options{Law: law, InitialWindow: 50, MinWindow: 10, MaxWindow: 80,
			Classes: []Class{{0.3}, {0.6}, {0}}})
		most, bytes := 20, int64(1000)
		l.SetPeerLimits(most, bytes)
		type out struct {
			class int
			bytes int64
		}
		var all []out
		now := time.Duration(0)
		for range 20000 {
			now += time.Millisecond
			if rng.IntN(2) == 0 || len(all) == 0 {
				o := out{rng.IntN(3), rng.Int64N(400)}
				n, b := l.InFlight()
				took := l.Acquire(o.class, o.bytes)
				if took && (n >= most || b+o.bytes > bytes && n > 0) {
					t.Fatalf("%s: accepted with %d requests and %d bytes in flight", law, n, b)
				}
				if took {
					all = append(all, o)
				}
				continue
			}
			i := rng.IntN(len(all))
			l.Release(all[i].class, all[i].bytes, now, time.Duration(rng.IntN(50))*time.Millisecond,
				Result(rng.IntN(4)))
			all = append(all[:i], all[i+1:]...)
			if w := l.Window(); w < 10 || w > most {
				t.Fatalf("%s: window %d", law, w)
			}
		}
		for _, o := range all {
			l.Release(o.class, o.bytes, now, 0, Ignored)
		}
		if n, b := l.InFlight(); n != 0 || b != 0 {
			t.Errorf("%s: %d requests and %d bytes in flight after the end", law, n, b)
		}
	}
}

// Bodies are limited per class as well, and a body larger than the limit is admitted when nothing else
// is in flight.
func TestByteLimit(t *testing.T) {
	l := newLimiter(t, twoClasses(Fixed))
	l.SetPeerLimits(100, 1600)
	if !l.Acquire(0, 2000) {
		t.Error("a single large body was rejected")
	}
	l.Release(0, 2000, 0, 0, Ignored)
	for range 14 {
		if !l.Acquire(0, 100) {
			t.Fatal("rejected within the byte limit")
		}
	}
	if l.Acquire(0, 101) {
		t.Error("accepted although it must leave room for the other class")
	}
	if !l.Acquire(1, 200) || l.Acquire(1, 1) {
		t.Error("the class within its share must get exactly the remaining bytes")
	}
}

// Calls with invalid arguments change nothing.
func TestInvalidArguments(t *testing.T) {
	l := newLimiter(t, twoClasses(AIMD))
	l.Release(0, 5, 0, 0, Answered)
	l.Release(-1, 0, 0, 0, Answered)
	l.Release(2, 0, 0, 0, Answered)
	if n, b := l.InFlight(); n != 0 || b != 0 || l.Acquire(-1, 0) || l.Acquire(2, 0) || l.Acquire(0, -1) {
		t.Error("invalid arguments changed the state or were accepted")
	}
	if n, rejected := l.ClassInFlight(7); n != 0 || rejected != 0 {
		t.Error("counts of a class that does not exist")
	}
}

// runRounds simulates rounds of answers with a full window, and returns the window after them.
func runRounds(l *Limiter, now *time.Duration, answers int, took [2]time.Duration, res Result) int {
	for range answers {
		for c := range 2 {
			n := 0
			for l.Acquire(c, 0) {
				n++
			}
			*now += took[c]
			for range n {
				l.Release(c, 0, *now, took[c], res)
			}
		}
	}
	return l.Window()
}

func TestWindowFollowsLatency(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := newLimiter(t, twoClasses(law))
		now := time.Duration(0)
		baseline := [2]time.Duration{10 * time.Millisecond, 30 * time.Millisecond}
		if w := runRounds(l, &now, 400, baseline, Answered); w != 100 {
			t.Errorf("%s: at the baseline latency, window %d", law, w)
		}
		if w := runRounds(l, &now, 60, [2]time.Duration{20 * time.Millisecond, 60 * time.Millisecond},
			Answered); w > 25 {
			t.Errorf("%s: at twice the latency, window %d", law, w)
		}
		if w := runRounds(l, &now, 400, baseline, Answered); w != 100 {
			t.Errorf("%s: back at the baseline latency, window %d", law, w)
		}
		if w := runRounds(l, &now, 400, baseline, Rejected); w != 4 {
			t.Errorf("%s: after rejections, window %d", law, w)
		}
		// A permanently higher latency becomes the baseline, and the window grows again.
		if w := runRounds(l, &now, 400, [2]time.Duration{50 * time.Millisecond, 150 * time.Millisecond},
			Answered); w != 100 {
			t.Errorf("%s: with a permanently higher latency, window %d", law, w)
		}
	}
}

// A change in the mix of classes is not mistaken for a change of the peer.
func TestClassMixDoesNotMoveWindow(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := newLimiter(t, Options{Law: law, InitialWindow: 10, MinWindow: 4, MaxWindow: 100,
			Classes: []Class{{0}, {0}}})
		now, took := time.Duration(0), [2]time.Duration{5 * time.Millisecond, 100 * time.Millisecond}
		for i := range 20000 {
			c := 0
			if i > 10000 && i%10 != 0 { // first a tenth of the requests is slow, then nine tenths
				c = 1
			} else if i%10 == 0 {
				c = 1 - c
			}
			for l.Acquire(c, 0) {
				now += took[c] / 20
				if n, _ := l.InFlight(); n == l.Window() {
					break
				}
			}
			for range l.Window() {
				l.Release(c, 0, now, took[c], Answered)
			}
		}
		if w := l.Window(); w != 100 {
			t.Errorf("%s: window %d", law, w)
		}
	}
}

// A window that is not saturated does not grow, and ignored results do not move it.
func TestUnsaturatedWindowDoesNotGrow(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := newLimiter(t, twoClasses(law))
		for i := range 2000 {
			l.Acquire(0, 0)
			l.Release(0, 0, time.Duration(i)*10*time.Millisecond, 10*time.Millisecond, Answered)
			l.Acquire(1, 0)
			l.Release(1, 0, time.Duration(i)*10*time.Millisecond, time.Hour, Ignored)
		}
		if w := l.Window(); w != 10 {
			t.Errorf("%s: window %d", law, w)
		}
	}
}
