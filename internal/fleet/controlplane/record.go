package controlplane

import (
	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/routingconfig"
)

// record is the durable state: the operator's configuration, which calls brought it there, and where tenants' data rested.
// It is replication's App. Documents and gauges are never changed in place, so those of each change are kept until that is
// committed.
type record struct {
	seq      uint64
	doc      *routingconfig.Document
	docSeq   uint64 // the change that led to doc
	accepted acceptedChanges
	rested   *residencyreport.Gauge
	recent   []applied // not yet known to be committed, and the last committed one
}

// maxRecent bounds the states that are kept until they are known to be committed. With 10,000 routes each holds some 80 kB, and a
// restart applies all changes of the log before it learns what is committed. Older ones are committed along with a later one.
const maxRecent = 64

// applied is the state after one change.
type applied struct {
	seq    uint64
	doc    *routingconfig.Document
	docSeq uint64
	before uint64 // docSeq before this change
	call   *Call  // nil: not known, or none of the configuration
	rested *residencyreport.Gauge
}

// change works out what a call makes of a document.
func (c *Call) change(doc *routingconfig.Document, checks ...routingconfig.Check) (*routingconfig.Document, routingconfig.Findings) {
	if c.Replace {
		return routingconfig.Replace(doc, c.Body, checks...)
	}
	return routingconfig.Update(doc, c.Body, checks...)
}

// Apply takes a change that the primary has checked: it can't fail, and is left out everywhere if it does.
func (r *record) Apply(seq uint64, body []byte) {
	before := r.docSeq
	r.seq = seq
	c := new(Call)
	_, err := c.UnmarshalMsg(body)
	if err == nil && c.Reading != nil {
		r.rested = r.rested.Take(c.Reading)
		c = nil
	} else {
		r.docSeq = seq
	}
	if err == nil && c != nil {
		if doc, found := c.change(r.doc); found.Err() == nil {
			r.doc = doc
			r.accepted.add(doc.Version(), c.digest())
		}
	}
	r.recent = append(r.recent, applied{seq, r.doc, r.docSeq, before, c, r.rested})
	if len(r.recent) > maxRecent {
		r.recent = r.recent[1:]
	}
}

// Snapshot is all that was applied.
func (r *record) Snapshot() []byte {
	s := Stored{Rested: r.rested.Snapshot()}
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
func (r *record) Restore(seq uint64, body []byte) error {
	next := record{seq: seq, docSeq: seq}
	if len(body) > 0 {
		if err := next.read(body); err != nil {
			return errors.Wrap(err, "record")
		}
		next.recent = []applied{{seq: next.seq, doc: next.doc, docSeq: next.docSeq, rested: next.rested}}
	}
	*r = next
	return nil
}

// read fills an empty record from a snapshot.
func (r *record) read(body []byte) (err error) {
	var s Stored
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
	if r.rested, err = residencyreport.Restore(s.Rested); err != nil {
		return errors.Wrap(err, "residency")
	}
	r.accepted, err = restoreAccepted(&s, r.doc.Version())
	return err
}

// settle forgets what lies before the committed change, and gives that and the ones since the last time.
func (r *record) settle(committed uint64) []applied {
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
