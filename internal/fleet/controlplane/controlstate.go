package controlplane

import (
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/routingconfig"
)

// controlState is the replicated state: the operator's configuration, the accepted changes that led to it, the
// residency record, and the ceilings of tenants' quotas. It implements replication's application state machine and
// belongs to the driver's goroutine. Documents, totals and ceilings are immutable, so those of each change can be kept
// until it is committed and then read by other goroutines.
type controlState struct {
	seq       uint64 // newest applied change
	doc       *routingconfig.Document
	docSeq    uint64 // sequence number of the change that led to doc
	accepted  acceptedChanges
	residency *residencyreport.Totals
	quota     *quota.Ceilings // nil: none was ever applied
	recent    []appliedState  // the last committed state and those not yet known to be committed
}

// maxRecent bounds the states kept until they are known to be committed. With 10,000 routes each takes some 80 kB, and
// a restart applies the complete log before it learns what is committed. States dropped here become committed along
// with a later one.
const maxRecent = 64

// appliedState is the state after one change. It is immutable.
type appliedState struct {
	seq        uint64
	doc        *routingconfig.Document
	docSeq     uint64
	prevDocSeq uint64   // docSeq before this change
	command    *Command // nil: unknown, or not a configuration change
	residency  *residencyreport.Totals
	quota      *quota.Ceilings
}

// Apply applies a change that the primary has validated. A change that can't be applied nevertheless has no effect, on
// this and on every other replica.
func (cs *controlState) Apply(seq uint64, body []byte) {
	prevDocSeq := cs.docSeq
	cs.seq = seq
	c := new(Command)
	_, err := c.UnmarshalMsg(body)
	if err == nil && c.Residency != nil {
		cs.applyWrite(c)
		c = nil
	} else {
		cs.docSeq = seq
	}
	if err == nil && c != nil {
		if doc, findings := c.applyTo(cs.doc, routingconfig.Stored()); findings.Err() == nil {
			cs.doc = doc
			cs.accepted.add(doc.Version(), c.digest())
		}
	}
	cs.recent = append(cs.recent, appliedState{
		seq:        seq,
		doc:        cs.doc,
		docSeq:     cs.docSeq,
		prevDocSeq: prevDocSeq,
		command:    c,
		residency:  cs.residency,
		quota:      cs.quota,
	})
	if len(cs.recent) > maxRecent {
		cs.recent = cs.recent[1:]
	}
}

// applyWrite applies a command that doesn't affect the configuration.
func (cs *controlState) applyWrite(c *Command) {
	if c.Quota != nil {
		cs.quota = c.Quota
		return
	}
	cs.residency = cs.residency.Apply(c.Residency)
}

// takeCommitted returns the newest state committed before this call and those committed since, up to the given change,
// and drops all but the newest of them. It returns nil if no state is committed.
func (cs *controlState) takeCommitted(committed uint64) []appliedState {
	n := 0
	for n < len(cs.recent) && cs.recent[n].seq <= committed {
		n++
	}
	if n == 0 {
		return nil
	}
	states := cs.recent[:n:n]
	cs.recent = cs.recent[n-1:]
	return states
}

// Snapshot returns the encoded state, for Restore.
func (cs *controlState) Snapshot() []byte {
	s := StoredState{Residency: cs.residency.Snapshot(), Quota: cs.quota}
	if cs.docSeq != cs.seq {
		s.DocumentSeq = cs.docSeq
	}
	if cs.doc != nil {
		s.Document = cs.doc.Show()
	}
	cs.accepted.store(&s)
	b, _ := s.MarshalMsg(nil) // never fails
	return b
}

// Restore replaces the state with a snapshot. If the snapshot can't be decoded the state stays unchanged.
func (cs *controlState) Restore(seq uint64, body []byte) error {
	next := controlState{seq: seq, docSeq: seq}
	if len(body) > 0 {
		if err := next.decodeSnapshot(body); err != nil {
			return errors.Wrap(err, "record")
		}
		next.recent = []appliedState{{
			seq:       next.seq,
			doc:       next.doc,
			docSeq:    next.docSeq,
			residency: next.residency,
			quota:     next.quota,
		}}
	}
	*cs = next
	return nil
}

// decodeSnapshot fills an empty state from a snapshot.
func (cs *controlState) decodeSnapshot(body []byte) (err error) {
	var s StoredState
	if _, err := s.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "decode")
	}
	if len(s.Document) > 0 {
		doc, findings := routingconfig.Decode(s.Document, routingconfig.Stored())
		if err := findings.Err(); err != nil {
			return errors.Wrap(err, "configuration")
		}
		cs.doc = doc
	}
	if s.DocumentSeq > 0 {
		cs.docSeq = s.DocumentSeq
	}
	if cs.residency, err = residencyreport.Restore(s.Residency); err != nil {
		return errors.Wrap(err, "residency")
	}
	cs.quota = s.Quota
	cs.accepted, err = restoreAccepted(&s, cs.doc.Version())
	return err
}
