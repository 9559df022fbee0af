package observatory

import (
	"github.com/go-faster/errors"

	"molepaddle/internal/system/almanac"
)

// record is the durable state: the operator's configuration, and which calls brought it there. It is barograph's App.
// Documents are never changed in place, so the one of each change is kept until that is committed.
type record struct {
	seq    uint64
	doc    *almanac.Document
	taken  []takenCall // the newest last
	recent []applied   // not yet known to be committed, and the last committed one
}

// applied is the state after one change.
type applied struct {
	seq   uint64
	doc   *almanac.Document
	call  *Call
	taken []takenCall
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
	return almanac.Digest(op, c.Base, c.Body)
}

// change works out what a call makes of a document.
func (c *Call) change(doc *almanac.Document, checks ...almanac.Check) (*almanac.Document, almanac.Findings) {
	if c.Replace {
		return almanac.Replace(doc, c.Body, checks...)
	}
	return almanac.Update(doc, c.Body, checks...)
}

// Apply takes a change that the primary has checked: it can't fail, and is left out everywhere if it does.
func (r *record) Apply(seq uint64, body []byte) {
	r.seq = seq
	c := new(Call)
	if _, err := c.UnmarshalMsg(body); err == nil {
		if doc, found := c.change(r.doc); found.Err() == nil {
			r.doc = doc
			if len(r.taken) >= keptCalls {
				r.taken = r.taken[1:]
			}
			r.taken = append(r.taken[:len(r.taken):len(r.taken)], takenCall{doc.Version(), c.digest()})
		}
	}
	r.recent = append(r.recent, applied{seq, r.doc, c, r.taken})
	if len(r.recent) > 4096 {
		r.recent = r.recent[1:]
	}
}

// Snapshot is all that was applied.
func (r *record) Snapshot() []byte {
	s := Stored{}
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
	r.seq, r.doc, r.taken, r.recent = seq, nil, nil, nil
	if len(body) == 0 {
		return nil
	}
	var s Stored
	if _, err := s.UnmarshalMsg(body); err != nil {
		return errors.Wrap(err, "record")
	}
	if len(s.Document) > 0 {
		doc, found := almanac.Decode(s.Document)
		if err := found.Err(); err != nil {
			return errors.Wrap(err, "record")
		}
		r.doc = doc
	}
	if len(s.Versions) != len(s.Digests) {
		return errors.New("record: as many versions as digests are due")
	}
	for i := range s.Versions {
		r.taken = append(r.taken, takenCall{s.Versions[i], s.Digests[i]})
	}
	r.recent = []applied{{seq, r.doc, nil, r.taken}}
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
