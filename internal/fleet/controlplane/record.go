package controlplane

import (
	"net/http"
	"strconv"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/residencyreport"
	"molepaddle/internal/fleet/routingconfig"
)

// record is the durable state: the operator's configuration, which calls brought it there, and where tenants' data rested.
// It is replication's App. Documents and gauges are never changed in place, so those of each change are kept until that is
// committed.
type record struct {
	seq    uint64
	doc    *routingconfig.Document
	docSeq uint64      // the change that led to doc
	taken  []takenCall // the newest last
	rested *residencyreport.Gauge
	recent []applied // not yet known to be committed, and the last committed one
}

// applied is the state after one change.
type applied struct {
	seq    uint64
	doc    *routingconfig.Document
	docSeq uint64
	call   *Call // nil: not known, or none of the configuration
	taken  []takenCall
	rested *residencyreport.Gauge
}

type takenCall struct {
	Version int64
	Digest  uint64
}

// keptCalls bounds the calls that are recognised when they come again.
const keptCalls = 64

// digest names a call.
func (c *Call) digest() uint64 {
	op := "update"
	if c.Replace {
		op = "replace"
	}
	return routingconfig.Digest(op, c.Base, c.Body)
}

// change works out what a call makes of a document.
func (c *Call) change(doc *routingconfig.Document, checks ...routingconfig.Check) (*routingconfig.Document, routingconfig.Findings) {
	if c.Replace {
		return routingconfig.Replace(doc, c.Body, checks...)
	}
	return routingconfig.Update(doc, c.Body, checks...)
}

// verdict is the answer to a call that isn't proposed, as the record stood at seq.
type verdict struct {
	status int
	why    string
	found  routingconfig.Findings
	seq    uint64
}

// judge answers a call that was taken already, builds on another version or is invalid; nil: it is to be proposed.
func (r *record) judge(c *Call, checks ...routingconfig.Check) *verdict {
	v := &verdict{seq: r.seq}
	digest, current := c.digest(), versionOf(r.doc)
	for _, t := range r.taken {
		if t.Digest == digest {
			v.status = http.StatusOK
			return v
		}
	}
	if c.Base != current {
		v.status, v.why = http.StatusPreconditionFailed, "version "+strconv.FormatInt(current, 10)+" is in place"
		return v
	}
	if _, found := c.change(r.doc, checks...); found.Err() != nil {
		v.status, v.why, v.found = http.StatusBadRequest, "the configuration is invalid", found
		return v
	}
	return nil
}

// holds reports whether a verdict may be told after this answer to a Read that came with it: the view still stands, and
// what the verdict is about is committed, as the end of a record may yet be lost.
func (v *verdict) holds(a replication.Answer) bool {
	return a.Result == replication.Confirmed && a.Seq >= v.seq
}

// Apply takes a change that the primary has checked: it can't fail, and is left out everywhere if it does.
func (r *record) Apply(seq uint64, body []byte) {
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
			if len(r.taken) >= keptCalls {
				r.taken = r.taken[1:]
			}
			r.taken = append(r.taken[:len(r.taken):len(r.taken)], takenCall{doc.Version(), c.digest()})
		}
	}
	r.recent = append(r.recent, applied{seq, r.doc, r.docSeq, c, r.taken, r.rested})
	if len(r.recent) > 4096 {
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
	for _, t := range r.taken {
		s.Versions = append(s.Versions, t.Version)
		s.Digests = append(s.Digests, t.Digest)
	}
	b, _ := s.MarshalMsg(nil)
	return b
}

// Restore replaces everything.
func (r *record) Restore(seq uint64, body []byte) error {
	r.seq, r.doc, r.docSeq, r.taken, r.rested, r.recent = seq, nil, seq, nil, nil, nil
	if len(body) == 0 {
		return nil
	}
	var s Stored
	if _, err := s.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "record")
	}
	if len(s.Document) > 0 {
		doc, found := routingconfig.Decode(s.Document)
		if err := found.Err(); err != nil {
			return errors.Wrap(err, "record")
		}
		r.doc = doc
	}
	if len(s.Versions) != len(s.Digests) {
		return errors.New("record: as many versions as digests are due")
	}
	if s.DocumentSeq > 0 {
		r.docSeq = s.DocumentSeq
	}
	rested, err := residencyreport.Restore(s.Rested)
	if err != nil {
		return errors.Wrap(err, "record")
	}
	r.rested = rested
	for i := range s.Versions {
		r.taken = append(r.taken, takenCall{s.Versions[i], s.Digests[i]})
	}
	r.recent = []applied{{seq, r.doc, r.docSeq, nil, r.taken, r.rested}}
	return nil
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
