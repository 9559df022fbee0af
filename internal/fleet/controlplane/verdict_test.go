package controlplane

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

func orderOf(base int64, ver, host string) *Command {
	return &Command{Replace: true, Base: base, Body: []byte(`{"ver":` + ver + `,"routing":[{"name":"r","hostname":"` + host +
		`","pfx":"/","kind":"readonly","deadline_ms":9,"svc":"s"}],"svcs":[{"name":"s"}],"caps":{}}`)}
}

func takeOrder(c *qt.C, r *controlState, one *Command) {
	c.Assert(r.judge(one), qt.IsNil)
	b, err := one.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	r.Apply(r.seq+1, b)
}

// TestSentAgain: an order that was taken is acknowledged again, also after others, after a snapshot and where another order
// carries its number; one that wasn't is refused once another change was made.
func TestSentAgain(t *testing.T) {
	c := qt.New(t)
	r := &controlState{}
	first, rival, second := orderOf(0, "5", "a"), orderOf(0, "5", "b"), orderOf(5, "7", "a")
	takeOrder(c, r, first)
	for range 2 {
		c.Assert(r.judge(first).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(rival).status, qt.Equals, http.StatusPreconditionFailed)
		takeOrder(c, r, second)
		c.Assert(r.judge(first).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(second).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(rival).status, qt.Equals, http.StatusPreconditionFailed)
		again := &controlState{}
		c.Assert(again.Restore(r.seq, r.Snapshot()), qt.IsNil)
		r, second = again, orderOf(7, "8", "c")
	}
}

// TestVerdictWaits: an answer about changes that aren't committed yet is not told, as they may be lost.
func TestVerdictWaits(t *testing.T) {
	c := qt.New(t)
	r := &controlState{}
	takeOrder(c, r, orderOf(0, "5", "a"))
	for _, one := range []*Command{orderOf(0, "5", "a"), orderOf(0, "5", "b"), orderOf(5, "4", "a")} {
		v := r.judge(one)
		c.Assert(v, qt.IsNotNil)
		c.Assert(v.holds(replication.Answer{Result: replication.Confirmed, Seq: 0}), qt.IsFalse)
		c.Assert(v.holds(replication.Answer{Result: replication.Confirmed, Seq: 1}), qt.IsTrue)
		c.Assert(v.holds(replication.Answer{Result: replication.LostPrimacy, Seq: 1}), qt.IsFalse)
	}
}
