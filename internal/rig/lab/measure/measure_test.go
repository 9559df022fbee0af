package measure

import (
	"math"
	"strings"
	"testing"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/scenario"
)

func newRecorder(t *testing.T, events ...scenario.Event) (*Recorder, []law.Request) {
	t.Helper()
	s, err := scenario.Load("calm")
	if err != nil {
		t.Fatal(err)
	}
	s.Length, s.Warmup, s.Events = scenario.Duration(20e9), 0, events
	var plan []law.Request
	for i := range 2000 {
		plan = append(plan, law.Request{At: float64(i) * 10, Class: int32(i % 2), Work: 10, Patience: 600})
	}
	return New(s, plan), plan
}

func (r *Recorder) newRequest(i int) *Request {
	t := &Request{ID: "r", Ask: i, Class: i % 2, At: float64(i) * 10, Deadline: float64(i)*10 + 600}
	r.RequestStarted(t)
	return t
}

func violatedRules(r *Recorder) (all []string) {
	for _, b := range r.res.Broken {
		all = append(all, b.Rule)
	}
	return all
}

// Each violated rule is reported once, and a play that follows them reports none.
func TestRules(t *testing.T) {
	for want, do := range map[string]func(r *Recorder){
		"": func(r *Recorder) {
			k := r.newRequest(0) // keyed
			r.AttemptSent(k, 1, -1, "a", false)
			r.WorkStarted(k, 2, "a")
			r.AttemptEnded(k)
			r.AttemptSent(k, 500, 400, "b", false) // notified of a drain 100 ms ago
			r.WorkStarted(k, 501, "b")
			r.AttemptEnded(k)
			r.RequestEnded(k, 600, Served, false)
			r.RequestEnded(k, 601, Gone, false)
		},
		"two attempts at once": func(r *Recorder) {
			k := r.newRequest(0)
			r.AttemptSent(k, 1, -1, "a", false)
			r.AttemptSent(k, 2, -1, "b", false)
		},
		"more attempts than allowed": func(r *Recorder) {
			k := r.newRequest(0)
			for i := range 4 {
				r.AttemptSent(k, float64(i), -1, "a", false)
				r.AttemptEnded(k)
			}
		},
		"an attempt after the final answer": func(r *Recorder) {
			k := r.newRequest(0)
			r.RequestEnded(k, 1, Refused, false)
			r.AttemptSent(k, 2, -1, "a", false)
		},
		"two final answers": func(r *Recorder) {
			k := r.newRequest(0)
			r.RequestEnded(k, 1, Refused, false)
			r.RequestEnded(k, 2, Served, false)
		},
		"a request lost":                     func(r *Recorder) { r.RequestEnded(r.newRequest(0), 1, Lost, false) },
		"a send after a drain":               func(r *Recorder) { r.AttemptSent(r.newRequest(0), 300, 49, "a", false) },
		"an effect twice":                    func(r *Recorder) { k := r.newRequest(1); r.WorkStarted(k, 1, "a"); r.WorkStarted(k, 2, "b") },
		"a keyed repeat after its window":    func(r *Recorder) { k := r.newRequest(0); r.WorkStarted(k, 1, "a"); r.WorkStarted(k, 1202, "b") },
		"a cold server pushed over: small-1": func(r *Recorder) { r.ServerCollapsed(1, "small-1") },
	} {
		r, _ := newRecorder(t)
		do(r)
		if got := strings.Join(violatedRules(r), ", "); got != want {
			t.Errorf("said %q, want %q", got, want)
		}
	}
}

// Worth is earned once per request: fully within the latency target, and in part until the client gives
// up.
func TestWorth(t *testing.T) {
	r, plan := newRecorder(t)
	for i := range plan {
		k := r.newRequest(i)
		switch i % 4 {
		case 0: // a bulletin within its target of 300 ms, and served again by a retry
			r.RequestEnded(k, k.At+299, Served, false)
			again := r.newRequest(i)
			r.RequestEnded(again, k.At+400, Served, false)
		case 1: // an order within its target of 500 ms
			r.WorkStarted(k, k.At+10, "a")
			r.RequestEnded(k, k.At+499, Served, false)
		case 2: // a bulletin that is late: a fifth
			r.RequestEnded(k, k.At+301, Served, false)
		case 3: // refused, and started by a server 51 ms later
			r.RequestEnded(k, k.At+5, Refused, i%8 == 3)
			r.WorkStarted(k, k.At+56, "a")
		}
	}
	r.AddWork(40000)
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

// Recovery takes as long as the fault that an event causes; it is 0 for an event without effect, and
// negative if the fault lasts until the end.
func TestRecovery(t *testing.T) {
	at := func(s float64) scenario.Event { return scenario.Event{At: scenario.Duration(s * 1e9), Kind: "crash"} }
	for _, c := range []struct {
		until  float64 // a quarter is refused from 8 s to then
		lo, hi float64
	}{{8000, 0, 0}, {11000, 2500, 4000}, {20000, -1, -1}} {
		r, plan := newRecorder(t, at(8))
		for i := range plan {
			k := r.newRequest(i)
			if k.At >= 8000 && k.At < c.until && i%8 < 2 {
				r.RequestEnded(k, k.At+1, Refused, false)
			} else {
				r.RequestEnded(k, k.At+50, Served, false)
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
