package council

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"molepaddle/internal/decide/work"
)

// referenceModel is the referenceModel of work as one machine would keep it: what histories are held against.
func referenceModel(t *testing.T) porcupine.Model {
	text := func(s any) string { return fmt.Sprint(s.(*work.State).Snapshot()) }
	return porcupine.Model{
		Init: func() any { return work.New(bounds) },
		Step: func(state, input, output any) (bool, any) {
			s, err := work.Restore(bounds, state.(*work.State).Snapshot())
			if err != nil {
				t.Fatal(err)
			}
			got := s.Apply(input.(work.Entry))
			return output == "unknown" || output == fmt.Sprint(got), s
		},
		Equal: func(a, b any) bool { return text(a) == text(b) },
	}
}

// Clients that ask whoever says that it leads, also one in a smaller part, under cuts, losses and crashes:
// what they are told could have been told by one machine that did one thing after the other, each
// between its asking and its answer.
func TestHistoriesAreLinearizable(t *testing.T) {
	days := uint64(15)
	if testing.Short() {
		days = 5
	}
	known, open := 0, 0
	for seed := range days {
		r := newTestCluster(t, 3+2*int(seed%2), seed+1000)
		n := len(r.members)
		r.setMembers()
		r.waitFor("all vote", 4000, r.allVote)
		type call struct {
			entry work.Entry
			token uint64
			at    int64
			until int64
		}
		var clients [3]*call
		var history []porcupine.Operation
		now, token := int64(0), uint64(0)
		end := func(c *call, who int, output any, at int64) {
			history = append(history, porcupine.Operation{ClientId: who, Input: c.entry, Call: c.at, Output: output, Return: at})
			clients[who] = nil
		}
		for range 260 {
			now += 2
			switch x := r.rng.IntN(40); {
			case x == 0:
				part := r.rng.IntN(1 << n)
				r.partitioned = func(a, b int) bool { return part>>a&1 != part>>b&1 }
			case x == 1:
				r.partitioned = func(int, int) bool { return false }
			case x == 2:
				r.lossRate = 0.2 * r.rng.Float64()
			case x == 3:
				if i := r.rng.IntN(n); r.members[i] != nil {
					r.processReady(i, true)
					r.members[i] = nil
				}
			case x < 8:
				if i := r.rng.IntN(n); r.members[i] == nil {
					r.start(i)
					r.setMembers()
				}
			}
			for who := range clients {
				c := clients[who]
				if c == nil && len(history) < 30 {
					token++
					e := work.Entry{Kind: work.Kind(r.rng.IntN(6)), At: now, ID: fmt.Sprint("r", r.rng.IntN(6)), Permit: uint64(1 + r.rng.IntN(4))}
					if e.Kind == work.UpdateFleet {
						e.Fleet = facts(4)
					}
					if e.Kind == work.Submit {
						e.Ask = &work.Ask{ID: e.ID, Machine: "m" + e.ID[1:], Seconds: 10}
					}
					// Whoever says that it leads, also wrongly.
					i := r.rng.IntN(n)
					if m := r.members[i]; m != nil && m.Propose(token, e) == nil {
						clients[who] = &call{e, token, now, now + 200}
						r.processReady(i, false)
					}
				} else if c != nil {
					if i := r.rng.IntN(n); r.rng.IntN(4) == 0 && r.members[i] != nil { // it asks again, perhaps though it has counted
						_ = r.members[i].Propose(c.token, c.entry)
						r.processReady(i, false)
					}
					if err, told := r.results[c.token]; told {
						known++
						end(c, who, fmt.Sprint(err), now)
					} else if now > c.until { // it never knows: it may have counted, or may yet
						open++
						end(c, who, "unknown", math.MaxInt64)
					}
				}
			}
			r.step()
		}
		if got := porcupine.CheckOperationsTimeout(referenceModel(t), history, 20*time.Second); got == porcupine.Illegal {
			t.Fatalf("seed %d: no order of these explains what was told: %+v", seed, history)
		} else if got == porcupine.Unknown {
			t.Logf("seed %d: not decided in time", seed)
		}
	}
	t.Logf("%d calls with an answer, %d without", known, open)
	if known < 10*int(days) {
		t.Error("too few answers to tell anything")
	}
}
