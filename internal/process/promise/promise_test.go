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

// alone is a fleet of one, with no council.
type alone struct{}

func (alone) View() (members.View, time.Time) {
	return members.View{Self: members.ID{Name: "n0", Incarnation: 1}}, time.Time{}
}
func (alone) Say(members.ID, peers.Word) error { return peers.ErrQueueFull }
func (alone) Wish(string, []string)            {}
func (alone) Set(func(*members.Info))          {}

type far struct{}

func (far) Own(string, uint64, uint64) (promises.Verdict, *promises.Reply) {
	return promises.MayHaveRun, nil
}
func (far) Renew() uint64 { return 8 }

// What was offered to an earlier process begins no more, whatever is promised now; nobody who waits waits longer
// than he says; a question that nobody can answer is answered so.
func TestBegin(t *testing.T) {
	for _, fewer := range []bool{true, false} {
		p := New(Options{Copies: 1, Fewer: fewer, Remember: time.Minute, Bytes: 1000, Tick: time.Millisecond, Log: slog.New(slog.DiscardHandler)})
		p.Bind(alone{}, func(context.Context, seat.Call) seat.Answer { return seat.Answer{Again: true} }, time.Millisecond)
		p.Promises("n0", 7, far{})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() { defer close(ended); p.Run(ctx) }()
		soon := time.Now().Add(30 * time.Second)
		if p.Begin(6, "near", 1, 1, soon) {
			t.Error("an earlier process's crossing begins")
		}
		if p.Begin(7, "near", 1, 2, soon) != fewer {
			t.Errorf("fewer %v, with no council and no copies: it is the other way", fewer)
		}
		words := make(chan promises.Verdict, 1)
		p.Query("n9", 3, "near", 1, 1, time.Second, func(v promises.Verdict, _ *promises.Reply) { words <- v })
		if v := <-words; v != promises.Unknown {
			t.Errorf("of a holder that nobody knows: %v", v)
		}
		p.answer(&ask{Holder: promises.Holder{Name: "n0", Incarnation: 6}, Own: true}, func(v verdict) {
			if v.Alive {
				t.Error("it answers for an earlier process")
			}
		})
		cancel()
		<-ended
		if p.Begin(7, "near", 1, 3, soon) {
			t.Error("after its end it promises")
		}
	}
}
