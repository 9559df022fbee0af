package controlplane

import (
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/routingconfig"
)

// controlState is the durable state: the operator's configuration, which calls brought it there, and where tenants' data rested.
// It is replication's App. Documents and gauges are never changed in place, so those of each change are kept until that is
// committed.
type controlState struct {
	seq       uint64
	doc       *routingconfig.Document
	docSeq    uint64 // the change that led to doc
	accepted  acceptedChanges
	residency *residencyreport.Totals
	recent    []appliedState // not yet known to be committed, and the last committed one
}

// maxRecent bounds the states that are kept until they are known to be committed. With 10,000 routes each holds some 80 kB, and a
// restart applies all changes of the log before it learns what is committed. Older ones are committed along with a later one.
const maxRecent = 64

// appliedState is the state after one change.
type appliedState struct {
	seq        uint64
	doc        *routingconfig.Document
	docSeq     uint64
	prevDocSeq uint64   // docSeq before this change
	command    *Command // nil: not known, or none of the configuration
	residency  *residencyreport.Totals
}

// applyTo works out what a call makes of a document.
func (c *Command) applyTo(doc *routingconfig.Document, checks ...routingconfig.Check) (*routingconfig.Document, routingconfig.Findings) {
	if c.Replace {
		return routingconfig.Replace(doc, c.Body, checks...)
	}
	return routingconfig.Update(doc, c.Body, checks...)
}

// Apply takes a change that the primary has checked: it can't fail, and is left out everywhere if it does.
func (r *controlState) Apply(seq uint64, body []byte) {
	before := r.docSeq
	r.seq = seq
	c := new(Command)
	_, err := c.UnmarshalMsg(body)
	if err == nil && c.Reading != nil {
		r.residency = r.residency.Apply(c.Reading)
		c = nil
	} else {
		r.docSeq = seq
	}
	if err == nil && c != nil {
		if doc, found := c.applyTo(r.doc); found.Err() == nil {
			r.doc = doc
			r.accepted.add(doc.Version(), c.digest())
		}
	}
	r.recent = append(r.recent, appliedState{seq, r.doc, r.docSeq, before, c, r.residency})
	if len(r.recent) > maxRecent {
		r.recent = r.recent[1:]
	}
}

// Snapshot is all that was applied.
func (r *controlState) Snapshot() []byte {
	s := StoredState{Rested: r.residency.Snapshot()}
	if r.docSeq != r.seq {
		s.DocumentSeq = r.docSeq
	}
	if r.doc != nil {
		s.Document = r.doc.Show()
	}
	r.accepted.store(&s)
	b, _ := s.MarshalMsg(nil)
	return b
}

// Restore replaces everything, or nothing where the snapshot can't be read.
func (r *controlState) Restore(seq uint64, body []byte) error {
	next := controlState{seq: seq, docSeq: seq}
	if len(body) > 0 {
		if err := next.decodeSnapshot(body); err != nil {
			return errors.Wrap(err, "record")
		}
		next.recent = []appliedState{{seq: next.seq, doc: next.doc, docSeq: next.docSeq, residency: next.residency}}
	}
	*r = next
	return nil
}

// decodeSnapshot fills an empty record from a snapshot.
func (r *controlState) decodeSnapshot(body []byte) (err error) {
	var s StoredState
	if _, err := s.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "decode")
	}
	if len(s.Document) > 0 {
		doc, found := routingconfig.Decode(s.Document)
		if err := found.Err(); err != nil {
			return errors.Wrap(err, "configuration")
		}
		r.doc = doc
	}
	if s.DocumentSeq > 0 {
		r.docSeq = s.DocumentSeq
	}
	if r.residency, err = residencyreport.Restore(s.Rested); err != nil {
		return errors.Wrap(err, "residency")
	}
	r.accepted, err = restoreAccepted(&s, r.doc.Version())
	return err
}

// takeCommitted forgets what lies before the committed change, and gives that and the ones since the last time.
func (r *controlState) takeCommitted(committed uint64) []appliedState {
	n := 0
	for n < len(r.recent) && r.recent[n].seq <= committed {
		n++
	}
	if n == 0 {
		return nil
	}
	done := r.recent[:n:n]
	r.recent = r.recent[n-1:]
	return done
}
