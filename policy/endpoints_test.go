package policy

import (
	"testing"

	"molepaddle/internal/decide/cluster"
)

func TestDrainingAndGoneGetNothing(t *testing.T) {
	r := newHarness(t, testSettings(), 2)
	r.list(cluster.ListDelta, cluster.Entry{Server: addr(0), Health: cluster.Draining, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(0) {
			t.Fatal("sent to a draining server")
		}
		r.outcome(id, 0, s, OK, 20)
	}
	r.list(cluster.ListFull, cluster.Entry{Server: addr(0), Health: cluster.Ready, Weight: 1})
	for key := range uint64(20) {
		id, s := r.mustSend(0, key+1)
		if s == addr(1) {
			t.Fatal("sent to a server that left the list")
		}
		r.outcome(id, 0, s, OK, 20)
	}
}

func TestEmptyListIsAnsweredInTime(t *testing.T) {
	r := newHarness(t, testSettings(), 0)
	id, actions := r.startRequest(1, 1)
	for range 130 {
		if a := find(actions, ActRefuse); a != nil {
			if a.Request != id {
				t.Fatalf("refused %d, want %d", a.Request, id)
			}
			return
		}
		actions = r.tick(10)
	}
	t.Error("a request with an empty list was never answered")
}

func TestListIsFollowedAgainAfterFailures(t *testing.T) {
	set := testSettings()
	set.Membership = "on_request"
	b, err := New(set, 3)
	if err != nil {
		t.Fatal(err)
	}
	first := find(b.Start(0, nil), ActTimer)
	if first == nil || first.Ms > set.Contract.MaxPollIntervalMs {
		t.Fatalf("no subscription within the contract's time: %+v", first)
	}
	if find(b.Handle(first.Ms, &Event{Kind: EvTimer, Token: first.Token}, nil), ActFollow) == nil {
		t.Fatal("the timer caused no subscription")
	}
	for range 8 {
		again := find(b.Handle(first.Ms, &Event{Kind: EvList, List: cluster.ListFailed}, nil), ActTimer)
		if again == nil || again.Ms > set.Contract.MaxPollIntervalMs {
			t.Fatalf("a failed call was not retried within the contract's time: %+v", again)
		}
	}
}
