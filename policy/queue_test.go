package policy

import (
	"testing"

	"molepaddle/internal/decide/settings"
)

// i7e1314: the class of least value was starved though the worst served class counts.
func TestWorstServedClassCountsInTheQueue(t *testing.T) {
	set := testSettings()
	set.Objective = settings.Objective{Overall: 0.5, WorstClass: 0.5}
	r := newRig(t, set, 2)
	once, free := &request{class: 1, targetAt: r.now + 500}, &request{class: 0, targetAt: r.now + 500}
	for range 500 { // of class 1 all are served, of class 0 none
		r.b.classValue.ObserveRequest(0)
		r.b.classValue.ObserveRequest(1)
		r.b.classValue.ObserveInTime(1)
	}
	with := r.b.value(free) / r.b.value(once)
	for range 2000 { // and now the other way round
		r.b.classValue.ObserveRequest(0)
		r.b.classValue.ObserveRequest(1)
		r.b.classValue.ObserveInTime(0)
	}
	if without := r.b.value(free) / r.b.value(once); with <= without {
		t.Errorf("the starved class weighs %.2f, when served well %.2f", with, without)
	}
}

// An agent that may have few requests open refuses at once what is beyond that, the least valuable first, and
// never what is already in flight.
func TestOpenCapRefusesAtOnce(t *testing.T) {
	s := testSettings()
	s.Limits.MaxOpenRequests = 4
	r := newRig(t, s, 1)
	sent, refused := 0, 0
	for range 10 {
		_, actions := r.ask(0, 0)
		for _, a := range actions {
			switch a.Kind {
			case ActSend:
				sent++
			case ActRefuse:
				refused++
			case ActFail:
				t.Error("failed what never ran")
			}
		}
	}
	if sent == 0 || sent >= 4 || refused != 6 {
		t.Errorf("sent %d and refused %d of 10, want some sent and 6 refused", sent, refused)
	}
}
