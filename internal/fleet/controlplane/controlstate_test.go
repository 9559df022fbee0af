package controlplane

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/residencyreport"
)

// configCommand returns an encoded command that replaces the configuration.
func configCommand(base, version int64) []byte {
	body := fmt.Appendf(nil, `{"ver":%d,"routing":[{"name":"r","hostname":"h","pfx":"/","kind":"readonly",`+
		`"deadline_ms":1000,"svc":"s","tenant":"labs"}],`+
		`"tenants":[{"name":"labs","regions":["east"]}],"svcs":[{"name":"s","probe":"/healthz"}]}`, version)
	b, _ := (&Command{Replace: true, Base: base, Body: body}).MarshalMsg(nil)
	return b
}

// residencyCommand returns the encoded command for a batch of a process.
func residencyCommand(p residencyreport.Process, n uint64, plain int64) []byte {
	entry := residencyreport.Entry{
		Pair:   residencyreport.Pair{Tenant: "labs", Region: "east"},
		First:  5,
		Last:   9,
		Counts: residencyreport.Counts{Plain: plain},
	}
	update := &residencyreport.Update{
		Upto:    []residencyreport.Ack{{Process: p, N: n}},
		Entries: []residencyreport.Entry{entry},
	}
	b, _ := (&Command{Residency: update}).MarshalMsg(nil)
	return b
}

// TestStateWithResidency checks that residency writes don't affect the configuration and its version, and that both are
// restored from a snapshot.
func TestStateWithResidency(t *testing.T) {
	c := qt.New(t)
	r := &controlState{}
	for seq, body := range [][]byte{
		configCommand(0, 3),
		residencyCommand(1, 1, 4),
		configCommand(3, 7),
		residencyCommand(1, 2, 1),
		residencyCommand(2, 1, 2),
	} {
		r.Apply(uint64(seq+1), body)
	}
	done := r.takeCommitted(5)
	c.Assert(done, qt.HasLen, 5)
	var places []uint64
	for _, d := range done {
		places = append(places, d.docSeq)
		c.Check(d.command != nil, qt.Equals, d.docSeq == d.seq)
	}
	c.Assert(places, qt.DeepEquals, []uint64{1, 1, 3, 3, 3})

	snapshot := r.Snapshot()
	back := &controlState{}
	c.Assert(back.Restore(5, snapshot), qt.IsNil)
	c.Assert(back.Snapshot(), qt.DeepEquals, snapshot)
	for _, one := range []*controlState{r, back} {
		c.Check(one.docSeq, qt.Equals, uint64(3))
		c.Check(one.doc.Version(), qt.Equals, int64(7))
		c.Check(one.accepted.versions, qt.DeepEquals, []int64{3, 7})
		all := one.residency.Report(nil)
		c.Assert(all, qt.HasLen, 1)
		c.Check(all[0].Counts.Plain, qt.Equals, int64(7))
		c.Check(one.residency.AckedUpTo(1), qt.Equals, uint64(2))
	}
	c.Assert(back.Restore(9, []byte{0x81, 0xa1, 'g', 0xc4, 1, 0}), qt.IsNotNil, qt.Commentf("a damaged report"))
}

// TestStateWithoutResidency checks that without residency writes the state and its changes are encoded as by builds
// that had no residency record.
func TestStateWithoutResidency(t *testing.T) {
	c := qt.New(t)
	b, err := (&Command{Replace: true, Base: 3, Body: []byte("x")}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x83\xa1r\xc3\xa1b\x03\xa1d\xc4\x01x"))
	r := &controlState{}
	r.Apply(1, configCommand(0, 3))
	var s StoredState
	_, err = s.UnmarshalMsg(r.Snapshot())
	c.Assert(err, qt.IsNil)
	b, err = (&StoredState{Document: []byte("d"), Versions: []int64{3}, Digests: []uint64{4}}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x83\xa1d\xc4\x01d\xa1v\x91\x03\xa1x\x91\x04"))
	c.Assert(s.Residency, qt.IsNil)
	c.Assert(s.DocumentSeq, qt.Equals, uint64(0))
	// A snapshot of a build without the residency record is still read.
	c.Assert(r.Restore(6, b[:0]), qt.IsNil)
	old, err := (&StoredState{}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Restore(6, old), qt.IsNil)
	c.Assert(r.docSeq, qt.Equals, uint64(6))
}
