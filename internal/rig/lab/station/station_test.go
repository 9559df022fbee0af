package station

import (
	"math"
	"testing"

	"molepaddle/internal/rig/scenario"
)

var rules = scenario.Rules{Cold: scenario.Duration(8e9), ColdFrom: 0.25, FallMultiple: 2, FallAfter: scenario.Duration(1e9)}

func TestSlotsAndQueue(t *testing.T) {
	s := New(&scenario.Server{Slots: 1, Speed: 2, Queue: 1}, &rules, 1, -1)
	a, b, c := &Job{Work: 10}, &Job{Work: 20}, &Job{Work: 30}
	if s.Arrive(0, a) != Started || a.Until != 5 || s.Arrive(1, b) != Queued || s.Arrive(2, c) != Full {
		t.Fatalf("%+v %+v", a, b)
	}
	if w := s.Backlog(2); w != 3+10 {
		t.Errorf("backlog %v", w)
	}
	if next := s.End(5, a); next != b || b.Until != 15 {
		t.Fatalf("%+v", next)
	}
	if s.End(5, a) != nil || s.Jobs() != 1 {
		t.Error("a job ended twice")
	}
	if next, left := s.Cancel(10, b); next != nil || left != 10 || s.Idle() != 1 || s.Worked != 20 {
		t.Errorf("left %v, worked %v", left, s.Worked)
	}
	if s.Arrive(11, c) != Started || len(s.Kill(12)) != 1 || s.Jobs() != 0 || s.End(26, c) != nil || s.Arrive(27, a) != Full {
		t.Error("a killed process still works")
	}
}

// A job that is cancelled in the queue is never started; a running job keeps its slot if the server runs
// cancelled jobs to the end.
func TestCancel(t *testing.T) {
	s := New(&scenario.Server{Slots: 1, Speed: 1, Queue: 9, RunsOn: true}, &rules, 1, -1)
	a, b, c := &Job{Work: 10}, &Job{Work: 10}, &Job{Work: 10}
	s.Arrive(0, a)
	s.Arrive(0, b)
	s.Arrive(0, c)
	s.Cancel(1, b)
	if s.Cancel(1, a); !a.Serving() {
		t.Error("a job that runs to its end was cut off")
	}
	if s.End(10, a) != c {
		t.Error("a cancelled job was started")
	}
}

// A cold server is slow, and collapses only under a lasting overload.
func TestColdServerCollapses(t *testing.T) {
	at := func(every float64) *Station {
		s := New(&scenario.Server{Slots: 4, Speed: 1, Queue: 1000}, &rules, 1, 0)
		for now := 0.0; now < 6000; now += every {
			s.Arrive(now, &Job{Work: 10})
		}
		return s
	}
	if s := New(&scenario.Server{Slots: 1, Speed: 1}, &rules, 1, 100); s.Rate(100) != 0.25 || math.Abs(s.Rate(4100)-0.625) > 1e-9 || s.Rate(8100) != 1 {
		t.Error("wrong slow start")
	}
	if s := at(5.5); s.Collapsed() || s.Peak > 2 { // 1.8 times its capacity at the start
		t.Errorf("fell at 1.8 times what it bears, peak %v", s.Peak)
	}
	if s := at(3); !s.Collapsed() { // 2.4 times its capacity after a second
		t.Errorf("bears 2.4 times what it can, peak %v", s.Peak)
	}
}

func TestKeysFaultsReports(t *testing.T) {
	s := New(&scenario.Server{Slots: 1, Speed: 1, Queue: 9, Keys: 2, KeysFor: scenario.Duration(1e9), KeySaves: 0.5, ReportEvery: scenario.Duration(1e8),
		ReportAge: scenario.Duration(2e8)}, &rules, 1, -1)
	serve := func(now float64, key uint32) float64 {
		j := &Job{ID: uint64(now), Work: 100, Key: key}
		if s.Arrive(now, j) != Started {
			t.Fatal("not begun")
		}
		s.End(j.Until, j)
		return j.Until - now
	}
	if serve(0, 1) != 100 || serve(200, 1) != 50 || serve(1400, 1) != 100 {
		t.Error("a key is not known for as long as it should be")
	}
	serve(1500, 2)
	serve(1600, 3)
	if s.HasKey(1700, 1) || !s.HasKey(1700, 3) {
		t.Error("the oldest key was not evicted")
	}
	if _, ok := s.Load(1750, 0); ok {
		t.Error("a report was returned before its delay")
	}
	s.Load(1850, 0)
	if r, ok := s.Load(2000, 0); !ok || r.Util <= 0 || r.Util > 1 || r.At > 1800 {
		t.Errorf("%+v %v", r, ok)
	}
	s.Add(Fault{Slow: 4, Until: 3000})
	s.Add(Fault{Fail: 1, Until: 2500})
	if s.Arrive(2100, &Job{Work: 1}) != Failed || s.ErrorRate(2600) != 0 || s.Rate(2600) != 0.25 || s.Rate(3000) != 1 {
		t.Error("wrong effect or duration of faults")
	}
}

// Finish accounts for the wait for a free slot, jobs on their way, cached keys and faults.
func TestFinish(t *testing.T) {
	s := New(&scenario.Server{Slots: 2, Speed: 1, Queue: 1, Keys: 9, KeysFor: scenario.Duration(1e9), KeySaves: 0.5}, &rules, 1, -1)
	finish := func(key uint32, coming int) (after, wait float64) {
		after, wait, ok := s.Finish(0, 10, key, coming, 8)
		if !ok {
			return -1, -1
		}
		return after, wait
	}
	if a, w := finish(0, 1); a != 10 || w != 0 || !s.HasFreeSlot(0, 1) || s.HasFreeSlot(0, 2) {
		t.Errorf("idle: %v %v", a, w)
	}
	if a, w := finish(0, 2); a != 18 || w != 8 {
		t.Errorf("two under way: %v %v", a, w)
	}
	s.Arrive(0, &Job{Work: 20, Key: 7})
	s.Arrive(0, &Job{Work: 40})
	if a, w := finish(7, 0); a != 35 || w != 30 {
		t.Errorf("busy, a known key: %v %v", a, w)
	}
	s.Arrive(0, &Job{Work: 2})
	if a, _ := finish(0, 0); a != -1 {
		t.Errorf("full: %v", a)
	}
	s = New(&scenario.Server{Slots: 1, Speed: 1, Queue: 9}, &rules, 1, -1)
	s.Add(Fault{Fail: 0.5, Until: 100})
	if a, _ := finish(0, 0); a != 20 || s.HasFreeSlot(0, 0) {
		t.Errorf("half fail: %v", a)
	}
	s.Add(Fault{Fail: 0.6, Until: 100})
	if a, _ := finish(0, 0); a != -1 {
		t.Errorf("most fail: %v", a)
	}
}
