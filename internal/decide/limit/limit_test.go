package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

func must(t testing.TB, o Options) *Limits {
	t.Helper()
	l, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func halves(law string) Options {
	return Options{Law: law, Start: 10, Least: 4, Most: 100, Classes: []Class{{0.5}, {0.5}}}
}

func TestOptionsThatMakeNoSense(t *testing.T) {
	for _, o := range []Options{{Law: "vegas"}, {Law: Fixed, Classes: []Class{{1.1}}}, {Law: Fixed, Classes: []Class{{-0.1}}},
		{Law: Fixed, Classes: []Class{{0.6}, {0.6}}}} {
		if _, err := New(o); err == nil {
			t.Errorf("%+v was taken", o)
		}
	}
}

// A class that fills the window leaves another its own part, and the window holds again once
// the first one's crossings end.
func TestAClassKeepsItsPart(t *testing.T) {
	l := must(t, halves(Gradient))
	for range 10 {
		if !l.Take(0, 0) {
			t.Fatal("the window is not full")
		}
	}
	if l.Take(0, 0) {
		t.Error("the window is full, and its own part as well")
	}
	for range 5 {
		if !l.Take(1, 0) {
			t.Fatal("its own part is free")
		}
	}
	if l.Take(1, 0) || l.Take(0, 0) {
		t.Error("more than the window and the free part")
	}
	for i := range 6 { // 9 are out then
		if l.Take(0, 0) {
			t.Errorf("room over the window, %d given back", i)
		}
		l.Done(0, 0, 0, 0, Silent)
	}
	if !l.Take(0, 0) {
		t.Error("the window has room again")
	}
	if n, turned := l.OutOf(0); n != 5 || turned != 8 {
		t.Errorf("%d out and %d turned away", n, turned)
	}
}

// Also where the window is all that the far end takes, a class that fills it leaves room.
func TestAClassKeepsItsPartOfAll(t *testing.T) {
	l := must(t, Options{Law: Fixed, Most: 16, Classes: []Class{{0.5}, {0.5}, {0}}})
	for range 20 {
		l.Take(2, 0)
	}
	if n, _ := l.Out(); n != 14 {
		t.Errorf("%d are out", n)
	}
	if !l.Take(0, 0) || !l.Take(1, 0) || l.Take(0, 0) || l.Take(1, 0) {
		t.Error("two are left to who is within its part")
	}
}

// What the far end takes is never passed, whosever part it is; it may tell another figure.
func TestWhatIsAgreedHolds(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 3))
	for _, law := range []string{Fixed, AIMD, Gradient} {
		l := must(t, Options{Law: law, Start: 50, Least: 10, Most: 80, Classes: []Class{{0.3}, {0.6}, {0}}})
		most, bytes := 20, int64(1000)
		l.Agree(most, bytes)
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
				n, b := l.Out()
				took := l.Take(o.class, o.bytes)
				if took && (n >= most || b+o.bytes > bytes && n > 0) {
					t.Fatalf("%s: let out with %d crossings and %d bytes out", law, n, b)
				}
				if took {
					all = append(all, o)
				}
				continue
			}
			i := rng.IntN(len(all))
			l.Done(all[i].class, all[i].bytes, now, time.Duration(rng.IntN(50))*time.Millisecond, Result(rng.IntN(4)))
			all = append(all[:i], all[i+1:]...)
			if w := l.Window(); w < 10 || w > most {
				t.Fatalf("%s: the window is %d", law, w)
			}
		}
		for _, o := range all {
			l.Done(o.class, o.bytes, now, 0, Silent)
		}
		if n, b := l.Out(); n != 0 || b != 0 {
			t.Errorf("%s: %d crossings and %d bytes are left over", law, n, b)
		}
	}
}

// Bodies are bounded by part as well, and a body larger than all is not kept for ever.
func TestBytes(t *testing.T) {
	l := must(t, halves(Fixed))
	l.Agree(100, 1600)
	if !l.Take(0, 2000) {
		t.Error("a lone one is the far end's to take or not")
	}
	l.Done(0, 2000, 0, 0, Silent)
	for range 14 {
		if !l.Take(0, 100) {
			t.Fatal("there is room")
		}
	}
	if l.Take(0, 101) {
		t.Error("over its part it leaves room")
	}
	if !l.Take(1, 200) || l.Take(1, 1) {
		t.Error("within its part it has what is left, and no more")
	}
}

// Strange calls change nothing.
func TestStrangeCalls(t *testing.T) {
	l := must(t, halves(AIMD))
	l.Done(0, 5, 0, 0, Answered)
	l.Done(-1, 0, 0, 0, Answered)
	l.Done(2, 0, 0, 0, Answered)
	if n, b := l.Out(); n != 0 || b != 0 || l.Take(-1, 0) || l.Take(2, 0) || l.Take(0, -1) {
		t.Error("out of its bounds")
	}
	if n, turned := l.OutOf(7); n != 0 || turned != 0 {
		t.Error("a class that there is not")
	}
}

// feed plays rounds of answers with the window filled, and gives the window after them.
func feed(l *Limits, now *time.Duration, answers int, took [2]time.Duration, res Result) int {
	for range answers {
		for c := range 2 {
			n := 0
			for l.Take(c, 0) {
				n++
			}
			*now += took[c]
			for range n {
				l.Done(c, 0, *now, took[c], res)
			}
		}
	}
	return l.Window()
}

func TestLaws(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := must(t, halves(law))
		now := time.Duration(0)
		calm := [2]time.Duration{10 * time.Millisecond, 30 * time.Millisecond}
		if w := feed(l, &now, 400, calm, Answered); w != 100 {
			t.Errorf("%s: calm answers leave a full window at %d", law, w)
		}
		if w := feed(l, &now, 60, [2]time.Duration{20 * time.Millisecond, 60 * time.Millisecond}, Answered); w > 25 {
			t.Errorf("%s: twice the time leaves the window at %d", law, w)
		}
		if w := feed(l, &now, 400, calm, Answered); w != 100 {
			t.Errorf("%s: calm again, the window is %d", law, w)
		}
		if w := feed(l, &now, 400, calm, Turned); w != 4 {
			t.Errorf("%s: turned away, the window is %d", law, w)
		}
		// The far end is slow for good: that becomes the measure, and the window grows again.
		if w := feed(l, &now, 400, [2]time.Duration{50 * time.Millisecond, 150 * time.Millisecond}, Answered); w != 100 {
			t.Errorf("%s: slow for good, the window is %d", law, w)
		}
	}
}

// A change of the mix is no change of the far end.
func TestTheMixTellsNothing(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := must(t, Options{Law: law, Start: 10, Least: 4, Most: 100, Classes: []Class{{0}, {0}}})
		now, took := time.Duration(0), [2]time.Duration{5 * time.Millisecond, 100 * time.Millisecond}
		for i := range 20000 {
			c := 0
			if i > 10000 && i%10 != 0 { // first a tenth is slow work, then nine tenths
				c = 1
			} else if i%10 == 0 {
				c = 1 - c
			}
			for l.Take(c, 0) {
				now += took[c] / 20
				if n, _ := l.Out(); n == l.Window() {
					break
				}
			}
			for range l.Window() {
				l.Done(c, 0, now, took[c], Answered)
			}
		}
		if w := l.Window(); w != 100 {
			t.Errorf("%s: the window is %d", law, w)
		}
	}
}

// One slow class does not take the window from what it can't use: a window that is not
// reached does not grow, and answers that nobody waits for move nothing.
func TestNothingToLearn(t *testing.T) {
	for _, law := range []string{AIMD, Gradient} {
		l := must(t, halves(law))
		for i := range 2000 {
			l.Take(0, 0)
			l.Done(0, 0, time.Duration(i)*10*time.Millisecond, 10*time.Millisecond, Answered)
			l.Take(1, 0)
			l.Done(1, 0, time.Duration(i)*10*time.Millisecond, time.Hour, Silent)
		}
		if w := l.Window(); w != 10 {
			t.Errorf("%s: the window is %d", law, w)
		}
	}
}
