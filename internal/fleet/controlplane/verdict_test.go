package controlplane

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/replication"
)

func replaceCommand(base int64, ver, host string) *Command {
	body := `{"ver":` + ver + `,"routing":[{"name":"r","hostname":"` + host +
		`","pfx":"/","kind":"readonly","deadline_ms":9,"svc":"s"}],"svcs":[{"name":"s"}],"caps":{}}`
	return &Command{Replace: true, Base: base, Body: []byte(body)}
}

func acceptReplace(c *qt.C, r *controlState, one *Command) {
	c.Assert(r.judge(one), qt.IsNil)
	b, err := one.MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	r.Apply(r.seq+1, b)
}

// TestResubmittedChange checks that an accepted change is acknowledged again, also after other changes, after a restore
// and if another change has the same version; and that a change that wasn't accepted is rejected once another was
// accepted on its base.
func TestResubmittedChange(t *testing.T) {
	c := qt.New(t)
	r := &controlState{}
	first, conflicting, second := replaceCommand(0, "5", "a"), replaceCommand(0, "5", "b"), replaceCommand(5, "7", "a")
	acceptReplace(c, r, first)
	for range 2 {
		c.Assert(r.judge(first).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(conflicting).status, qt.Equals, http.StatusPreconditionFailed)
		acceptReplace(c, r, second)
		c.Assert(r.judge(first).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(second).status, qt.Equals, http.StatusOK)
		c.Assert(r.judge(conflicting).status, qt.Equals, http.StatusPreconditionFailed)
		again := &controlState{}
		c.Assert(again.Restore(r.seq, r.Snapshot()), qt.IsNil)
		r, second = again, replaceCommand(7, "8", "c")
	}
}

// TestVerdictWaitsForCommit checks that a verdict based on uncommitted changes is withheld, as they may be lost.
func TestVerdictWaitsForCommit(t *testing.T) {
	c := qt.New(t)
	r := &controlState{}
	acceptReplace(c, r, replaceCommand(0, "5", "a"))
	for _, one := range []*Command{replaceCommand(0, "5", "a"), replaceCommand(0, "5", "b"), replaceCommand(5, "4", "a")} {
		v := r.judge(one)
		c.Assert(v, qt.IsNotNil)
		c.Assert(v.confirmedBy(replication.Answer{Result: replication.Confirmed, Seq: 0}), qt.IsFalse)
		c.Assert(v.confirmedBy(replication.Answer{Result: replication.Confirmed, Seq: 1}), qt.IsTrue)
		c.Assert(v.confirmedBy(replication.Answer{Result: replication.LostPrimacy, Seq: 1}), qt.IsFalse)
	}
}
