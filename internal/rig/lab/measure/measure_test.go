package measure

import (
	"math"
	"strings"
	"testing"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/scenario"
)

func recorder(t *testing.T, events ...scenario.Event) (*Recorder, []law.Ask) {
	t.Helper()
	s, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Warmup, s.Events = scenario.Duration(20e9), 0, events
	var plan []law.Ask
	for i := range 2000 {
		plan = append(plan, law.Ask{At: float64(i) * 10, Class: int32(i % 2), Work: 10, Patience: 600})
	}
	return New(s, plan), plan
}

func (r *Recorder) try(i int) *Try {
	t := &Try{ID: "r", Ask: i, Class: i % 2, At: float64(i) * 10, Deadline: float64(i)*10 + 600}
	r.Start(t)
	return t
}

func rules(r *Recorder) (all []string) {
	for _, b := range r.res.Broken {
		all = append(all, b.Rule)
	}
	return all
}

// Each rule that is broken is said, once, and what keeps them is not.
func TestRules(t *testing.T) {
	for want, do := range map[string]func(r *Recorder){
		"": func(r *Recorder) {
			k := r.try(0) // keyed
			r.Sent(k, 1, -1, "a", false)
			r.Begun(k, 2, "a")
			r.Over(k)
			r.Sent(k, 500, 400, "b", false) // told of a drain 100 ms ago
			r.Begun(k, 501, "b")
			r.Over(k)
			r.End(k, 600, Served, false)
			r.End(k, 601, Gone, false)
		},
		"two attempts at once": func(r *Recorder) { k := r.try(0); r.Sent(k, 1, -1, "a", false); r.Sent(k, 2, -1, "b", false) },
		"more attempts than allowed": func(r *Recorder) {
			k := r.try(0)
			for i := range 4 {
				r.Sent(k, float64(i), -1, "a", false)
				r.Over(k)
			}
		},
		"an attempt after the final answer":  func(r *Recorder) { k := r.try(0); r.End(k, 1, Refused, false); r.Sent(k, 2, -1, "a", false) },
		"two final answers":                  func(r *Recorder) { k := r.try(0); r.End(k, 1, Refused, false); r.End(k, 2, Served, false) },
		"a request lost":                     func(r *Recorder) { r.End(r.try(0), 1, Lost, false) },
		"a send after a drain":               func(r *Recorder) { r.Sent(r.try(0), 300, 49, "a", false) },
		"an effect twice":                    func(r *Recorder) { k := r.try(1); r.Begun(k, 1, "a"); r.Begun(k, 2, "b") },
		"a keyed repeat after its window":    func(r *Recorder) { k := r.try(0); r.Begun(k, 1, "a"); r.Begun(k, 1202, "b") },
		"a cold server pushed over: small-1": func(r *Recorder) { r.Fell(1, "small-1") },
	} {
		r, _ := recorder(t)
		do(r)
		if got := strings.Join(rules(r), ", "); got != want {
			t.Errorf("said %q, want %q", got, want)
		}
	}
}

// Worth is earned once, whole within the aim and in part until the client gives up.
func TestWorth(t *testing.T) {
	r, plan := recorder(t)
	for i := range plan {
		k := r.try(i)
		switch i % 4 {
		case 0: // a bulletin within its aim of 300 ms, and by another try again
			r.End(k, k.At+299, Served, false)
			again := r.try(i)
			r.End(again, k.At+400, Served, false)
		case 1: // an order within its aim of 500 ms
			r.Begun(k, k.At+10, "a")
			r.End(k, k.At+499, Served, false)
		case 2: // a bulletin that is late: a fifth
			r.End(k, k.At+301, Served, false)
		case 3: // refused, and begun 51 ms after that
			r.End(k, k.At+5, Refused, i%8 == 3)
			r.Begun(k, k.At+56, "a")
		}
	}
	r.Worked(40000)
	res := r.Result(func(*Result) {})
	if c := res.Classes; math.Abs(c[0].Worth-0.6) > 1e-9 || math.Abs(c[1].Worth-0.5) > 1e-9 || c[0].InTime != 500 || c[0].Latency.Count != 1000 {
		t.Errorf("%+v", c)
	}
	if math.Abs(res.Worth-(0.6*2+0.5*5)/7) > 1e-9 || res.Needless != 250 || res.AfterEnd != 500 || res.Begun != 1000 || res.Repeated != 0 {
		t.Errorf("%+v", res)
	}
	if math.Abs(res.Waste-(1-15000.0/40000)) > 1e-9 {
		t.Errorf("waste %v", res.Waste)
	}
	if l := res.Classes[1].Latency; l.P50 < 498 || l.P50 > 500.5 || l.Max > 500.5 {
		t.Errorf("%+v", l)
	}
}

// An event that is felt for three seconds is recovered after them, one that is not felt at once,
// one that lasts not at all.
func TestRecovery(t *testing.T) {
	at := func(s float64) scenario.Event { return scenario.Event{At: scenario.Duration(s * 1e9), Kind: "crash"} }
	for _, c := range []struct {
		until  float64 // a quarter is refused from 8 s to then
		lo, hi float64
	}{{8000, 0, 0}, {11000, 2500, 4000}, {20000, -1, -1}} {
		r, plan := recorder(t, at(8))
		for i := range plan {
			k := r.try(i)
			if k.At >= 8000 && k.At < c.until && i%8 < 2 {
				r.End(k, k.At+1, Refused, false)
			} else {
				r.End(k, k.At+50, Served, false)
			}
		}
		res := r.Result(func(*Result) {})
		if len(res.Recovered) != 1 {
			t.Fatalf("%+v", res.Recovered)
		}
		if e := res.Recovered[0]; e.After < c.lo || e.After > c.hi || e.Before != 1 {
			t.Errorf("until %v: %+v", c.until, e)
		}
	}
}
