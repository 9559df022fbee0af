package budget

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// A budget counts from when the request came, and is never more than the client told or the class
// is worth, whatever was told.
func TestFrom(t *testing.T) {
	came := time.Now()
	for _, c := range []struct{ told, most, want time.Duration }{{ms, time.Second, ms}, {time.Hour, time.Second, time.Second}, {-ms, time.Second, 0}, {0, time.Second, 0}} {
		if b := From(came, c.told, c.most); b.Deadline.Sub(came) != c.want || b.Came != came {
			t.Errorf("%v of at most %v: %v", c.told, c.most, b.Deadline.Sub(came))
		}
	}
}

// A hop is told less than is left, by the way back, which takes a quarter at the most; with less
// than a millisecond for it nothing is begun.
func TestHop(t *testing.T) {
	for _, c := range []struct {
		left, back, told time.Duration
		ok               bool
	}{{100 * ms, 10 * ms, 90 * ms, true}, {100 * ms, 60 * ms, 75 * ms, true}, {100 * ms, -ms, 100 * ms, true}, {ms, 0, ms, true},
		{ms, 1, ms - 1, false}, {ms - 1, 0, ms - 1, false}, {0, 0, 0, false}, {-ms, 10 * ms, 0, false}, {math.MinInt64, ms, 0, false}} {
		if told, ok := Hop(c.left, c.back); told != c.told || ok != c.ok {
			t.Errorf("%v left, %v back: told %v, %v", c.left, c.back, told, ok)
		}
	}
}

// No hop in a chain is told more than the one before.
func FuzzHop(f *testing.F) {
	f.Add(int64(100*ms), int64(5*ms), int64(16*ms))
	f.Add(int64(math.MaxInt64), int64(math.MinInt64), int64(math.MaxInt64))
	f.Fuzz(func(t *testing.T, left, one, two int64) {
		first, ok := Hop(time.Duration(left), time.Duration(one))
		if first > max(time.Duration(left), 0) || ok != (first >= Least) {
			t.Errorf("%v left: %v told, %v", left, first, ok)
		}
		if second, _ := Hop(first, time.Duration(two)); second > first || second < 0 {
			t.Errorf("of %v another hop is told %v", first, second)
		}
	})
}

// The way back is half the trip with its deviation by RFC 6298, within its bounds, and follows.
func TestMargin(t *testing.T) {
	var m Margin
	if m.Back() != leastMargin {
		t.Error("a margin of nothing is", m.Back())
	}
	m.Learn(20 * ms) // smoothed 20, deviation 10
	if got := m.Back(); got != 30*ms {
		t.Error("after one trip of 20 ms:", got)
	}
	m.Learn(28 * ms) // deviation 9.5, smoothed 21
	if got := m.Back(); got != 29500*time.Microsecond {
		t.Error("after another of 28 ms:", got)
	}
	for range 100 {
		m.Learn(20 * ms)
	}
	if got := m.Back(); got < 10*ms || got > 10200*time.Microsecond {
		t.Error("of steady trips of 20 ms:", got)
	}
	for _, bad := range []time.Duration{0, -ms, time.Hour, math.MinInt64} {
		was := m
		if m.Learn(bad); m != was {
			t.Error("learnt from", bad)
		}
	}
	for range 50 {
		m.Learn(time.Minute)
	}
	if m.Back() != mostMargin {
		t.Error("without bound:", m.Back())
	}
	for range 500 {
		m.Learn(time.Microsecond)
	}
	if m.Back() != leastMargin {
		t.Error("does not come back:", m.Back())
	}
}

// Answer times move a class's mean; hints tell once there are enough of them, and never less than a
// quarter of the mean.
func TestNeeds(t *testing.T) {
	n := NewNeeds([]float64{40, 100})
	n.Served(0, 90, 60)
	if n.Mean(0) != 40+classWeight*20 || n.Mean(1) != 100 || n.Of(1, 0) != 100 || n.Of(1, 5) != 100 {
		t.Errorf("%+v", n)
	}
	n.Took(0, 5)
	n.Asked(0)
	if n.MeanHint != 0 {
		t.Error("no hint is one")
	}
	for i := range 2 * hintsLeast {
		if i == hintsLeast-1 && n.Hinted(2) != 0 {
			t.Error("few answers tell of hints")
		}
		n.Asked(float64(1 + i%4))
		n.Took(float64(1+i%4), 10*float64(1+i%4))
	}
	if got := n.Of(0, 4); math.Abs(got-40) > 0.1 || math.Abs(n.Of(1, 1)-25) > 1e-9 || n.Hinted(0) != 0 || n.MeanHint < 1 || n.MeanHint > 4 {
		t.Errorf("hinted 4: %v, 1: %v, mean hint %v", got, n.Of(1, 1), n.MeanHint)
	}
}

// Retries of a class are a share of its requests of the last seconds, with a few beyond that; the
// last of them by chance. What is over is free again with time, on any clock.
func TestRetries(t *testing.T) {
	for _, base := range []float64{0, 1e9, -1e7} {
		r := NewRetries(2)
		for range 1000 {
			r.Asked(0, base)
		}
		taken := 0
		for r.Take(0, base, 0.999) {
			taken++
		}
		if want := (retryFree + retryShare*1000) / 2; float64(taken) < want-1 || float64(taken) > want+2 {
			t.Errorf("%d of 1000 at the least chance, want half of the budget, %v", taken, want)
		}
		for r.Take(0, base, 0) {
			taken++
		}
		if want := retryFree + retryShare*1000; float64(taken) < want-1 || float64(taken) > want+1 {
			t.Errorf("%d retries of 1000 requests, want %v", taken, want)
		}
		few := 0
		for r.Take(1, base, 0) {
			few++
		}
		if few != int(retryFree) {
			t.Errorf("another class has %d", few)
		}
		if r.Take(0, base, 0) || !r.Take(0, base+3*retrySpan, 0.5) {
			t.Error("the budget does not come back with time")
		}
		if r.Take(1, base-1, 0) {
			t.Error("a clock that goes back gives budget")
		}
	}
}

// Attempts that earn nothing close the throttle, those that earn open it, and so does time.
func TestThrottle(t *testing.T) {
	for _, base := range []float64{0, 1e9, -1e7} {
		th := NewThrottle(1000)
		for i := 0; th.Open(base); i++ {
			if i > int(tryFree) {
				t.Fatal("never closes")
			}
			th.Ended(base, 0)
		}
		if !th.Open(base + 5000) {
			t.Error("does not open with time")
		}
		for range 2 {
			th.Ended(base, 1)
		}
		if !th.Open(base) {
			t.Error("does not open when attempts earn")
		}
	}
}

// However many attempts were out as the servers failed, the throttle asks again after a third of
// its span: shut for as long as the agent was busy, a whole fleet idles before servers that are back.
func TestThrottleForgetsACrowdOfFailures(t *testing.T) {
	for _, out := range []int{5, 20, 1000} {
		th := NewThrottle(3000)
		for range out {
			th.Ended(100, 0)
		}
		if th.Open(101) {
			t.Errorf("%d failures leave it open", out)
		}
		if !th.Open(100 + 1000) {
			t.Errorf("%d failures keep it closed for a third of its span and more", out)
		}
	}
}
