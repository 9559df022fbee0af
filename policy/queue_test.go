package policy

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

// i7e1314: the class of least value was starved although the objective counts the worst-served class.
func TestWorstServedClassCountsInTheQueue(t *testing.T) {
	set := testSettings()
	set.Objective = settings.Objective{Overall: 0.5, WorstClass: 0.5}
	r := newHarness(t, set, 2)
	once, free := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // all requests of class 1 are served, none of class 0
		r.b.classValue.ObserveRequest(0)
		r.b.classValue.ObserveRequest(1)
		r.b.classValue.ObserveInTime(1)
	}
	with := r.b.value(free) / r.b.value(once)
	for range 2000 { // the reverse
		r.b.classValue.ObserveRequest(0)
		r.b.classValue.ObserveRequest(1)
		r.b.classValue.ObserveInTime(0)
	}
	if without := r.b.value(free) / r.b.value(once); with <= without {
		t.Errorf("relative value of class 0: %.2f while starved, %.2f while served", with, without)
	}
}

// Requests beyond Limits.MaxOpenRequests are refused at once, the least valuable first; requests in flight are never
// refused.
func TestMaxOpenRequestsRefusesAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.MaxOpenRequests = 4
	r := newHarness(t, s, 1)
	sent, refused := 0, 0
	for range 10 {
		_, actions := r.startRequest(0, 0)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				sent++
			case ActRefuse:
				refused++
			case ActFail:
				t.Error("a request that never ran was failed, want it refused")
			}
		}
	}
	if sent == 0 || sent >= 4 || refused != 6 {
		t.Errorf("sent %d and refused %d of 10, want some sent and 6 refused", sent, refused)
	}
}
