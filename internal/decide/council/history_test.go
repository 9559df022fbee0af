package council

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"molepaddle/internal/decide/work"
)

// referenceModel returns the sequential specification of the work state against which histories are checked.
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

// Clients propose to any member that claims to lead, also on the minority side of a partition, under
// partitions, message loss and crashes. Their results must be linearizable: a single machine that executes
// each call at some time between its start and its result could have given them.
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
		r.waitFor("all members are voters", 4000, r.allVote)
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
					// Any member that claims to lead, even if it doesn't.
					i := r.rng.IntN(n)
					if m := r.members[i]; m != nil && m.Propose(token, e) == nil {
						clients[who] = &call{e, token, now, now + 200}
						r.processReady(i, false)
					}
				} else if c != nil {
					if i := r.rng.IntN(n); r.rng.IntN(4) == 0 && r.members[i] != nil { // a retry, perhaps of an entry that was applied
						_ = r.members[i].Propose(c.token, c.entry)
						r.processReady(i, false)
					}
					if err, told := r.results[c.token]; told {
						known++
						end(c, who, fmt.Sprint(err), now)
					} else if now > c.until { // no result: the entry may have been applied, or may yet be
						open++
						end(c, who, "unknown", math.MaxInt64)
					}
				}
			}
			r.step()
		}
		if got := porcupine.CheckOperationsTimeout(referenceModel(t), history, 20*time.Second); got == porcupine.Illegal {
			t.Fatalf("seed %d: not linearizable: %+v", seed, history)
		} else if got == porcupine.Unknown {
			t.Logf("seed %d: the linearizability check timed out", seed)
		}
	}
	t.Logf("%d calls with a result, %d without", known, open)
	if known < 10*int(days) {
		t.Error("too few results for the check to be meaningful")
	}
}
