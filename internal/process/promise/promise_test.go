package promise

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/protocol/peers"
)

// singleFleet is a fleet of one agent without a council.
type singleFleet struct{}

func (singleFleet) View() (members.View, time.Time) {
	return members.View{Self: members.ID{Name: "n0", Incarnation: 1}}, time.Time{}
}
func (singleFleet) Say(members.ID, peers.Word) error { return peers.ErrQueueFull }
func (singleFleet) Wish(string, []string)            {}
func (singleFleet) Set(func(*members.Info))          {}

type fakeGateway struct{}

func (fakeGateway) Own(string, uint64, uint64) (promises.Verdict, *promises.Reply) {
	return promises.MayHaveRun, nil
}
func (fakeGateway) Renew() uint64 { return 8 }

// A crossing offered to an earlier incarnation must not begin, Begin must not outlast its deadline, and a query about
// an unknown holder must be answered as unknown.
func TestBegin(t *testing.T) {
	for _, fewer := range []bool{true, false} {
		p := New(Options{Replicas: 1, AllowFewer: fewer, Retention: time.Minute, MaxReplyBytes: 1000, Tick: time.Millisecond, Log: slog.New(slog.DiscardHandler)})
		p.Bind(singleFleet{}, func(context.Context, seat.Call) seat.Answer { return seat.Answer{Retryable: true} }, time.Millisecond)
		p.Attach("n0", 7, fakeGateway{})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); p.Run(ctx) }()
		soon := time.Now().Add(30 * time.Second)
		if p.Begin(6, "near", 1, 1, soon) {
			t.Error("crossing of an earlier incarnation begins")
		}
		if p.Begin(7, "near", 1, 2, soon) != fewer {
			t.Errorf("AllowFewer %v, without council and replicas: Begin returned the opposite", fewer)
		}
		verdicts := make(chan promises.Verdict, 1)
		p.Query("n9", 3, "near", 1, 1, time.Second, func(v promises.Verdict, _ *promises.Reply) { verdicts <- v })
		if v := <-verdicts; v != promises.Unknown {
			t.Errorf("unknown holder: verdict %v, want Unknown", v)
		}
		p.answerQuery(&query{Holder: promises.Holder{Name: "n0", Incarnation: 6}, AtHolder: true}, func(v queryResult) {
			if v.FromHolder {
				t.Error("answered for an earlier incarnation")
			}
		})
		cancel()
		<-ended
		if p.Begin(7, "near", 1, 3, soon) {
			t.Error("Begin after Run has ended: true")
		}
	}
}
