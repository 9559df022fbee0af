package promises

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

func (k Key) compare(o Key) int {
	return cmp.Or(
		strings.Compare(k.Near, o.Near),
		cmp.Compare(k.Incarnation, o.Incarnation),
		cmp.Compare(k.Number, o.Number),
	)
}

// Verdict is what a copy says of a crossing.
type Verdict uint8

// The verdicts.
const (
	Unsure  Verdict = iota // nothing can be proven
	Pending                // the holder has to be sealed first
	Never                  // it never began and never will
	Over                   // it may have run, and its holder begins nothing more
	Replied                // it ran, and here is the answer
)

// copied is what is held for one holder.
type copied struct {
	from    Peer   // its process in the fleet
	as      []Peer // as which processes this agent has joined, the latest last
	read    bool   // from a disk, and it has not joined since: nothing more is taken
	epoch   uint64
	begun   map[Key]time.Duration
	replies map[Key]Reply
	asked   bool // the council is to seal it
	sealed  bool // nothing more of it is taken
	last    time.Duration
}

// Row is what a disk keeps of one holder beside its keys.
type Row struct {
	_     struct{} `cbor:",toarray"`
	From  Peer
	As    []Peer
	Epoch uint64
}

// Record is what a disk keeps of one message: keys that have begun, or an answer to the one key.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Holder Holder
	Keys   []Key
	Reply  *Reply
}

// maxAs is how many processes one disk stands for at the most: who was one before those can't be sealed by it.
const maxAs = 8

// Copies is what an agent holds for others.
type Copies struct {
	remember time.Duration
	of       map[Holder]*copied
	bytes    int // of replies
	most     int
}

// NewCopies holds nothing; answers take up to so many bytes.
func NewCopies(remember time.Duration, bytes int) *Copies {
	return &Copies{remember: remember, of: map[Holder]*copied{}, most: bytes}
}

// Hear takes a holder's message as the process me and words the reply; ok: there is one. Where a disk is kept, the
// reply goes out once Row and Record of the message are on it.
func (c *Copies) Hear(now time.Duration, me, from Peer, m *Msg) (reply Msg, ok bool) {
	h := c.of[m.Holder]
	reply = Msg{Kind: Nack, Holder: m.Holder, Epoch: m.Epoch, Seq: m.Seq}
	switch m.Kind {
	case Join:
		switch {
		case h == nil:
			h = &copied{begun: map[Key]time.Duration{}, replies: map[Key]Reply{}}
			c.of[m.Holder] = h
		case h.sealed:
			return reply, true
		case m.Epoch < h.epoch:
			return reply, false
		}
		h.from, h.epoch, h.last, h.read = from, m.Epoch, now, false
		if !slices.Contains(h.as, me) {
			h.as = append(h.as[max(len(h.as)+1-maxAs, 0):len(h.as):len(h.as)], me)
		}
		for i, k := range m.Keys {
			at := now - time.Duration(m.Ages[i])*time.Millisecond
			if was, known := h.begun[k]; !known || was < at {
				h.begun[k] = at
			}
		}
		reply.Kind = Joined
	case Batch:
		if h == nil || h.sealed || h.read || h.epoch != m.Epoch || h.from != from ||
			len(h.begun)+len(m.Keys) > 2*MaxKeys {
			return reply, true
		}
		for _, k := range m.Keys {
			h.begun[k] = now
		}
		h.last = now
		reply.Kind = Ack
	case Answered:
		// An answer is true whenever it comes, also after a seal.
		if h != nil && h.from == from {
			c.answer(h, m.Keys[0], m.Reply)
		}
		return reply, false
	default:
		return reply, false
	}
	return reply, true
}

func (c *Copies) answer(h *copied, k Key, r *Reply) {
	if _, begun := h.begun[k]; begun && c.bytes+len(r.Body) <= c.most {
		c.forget(h, k)
		h.replies[k] = *r
		c.bytes += len(r.Body)
	}
}

// Row is what a disk is to keep of a holder.
func (c *Copies) Row(h Holder) Row {
	d := c.of[h]
	return Row{From: d.from, As: d.as, Epoch: d.epoch}
}

// Read takes a row that a disk has kept, before its records. What was joined in the meantime stands.
func (c *Copies) Read(now time.Duration, h Holder, r *Row) {
	d := c.of[h]
	if len(r.As) == 0 || h.Name == "" {
		return // nobody wrote it
	}
	if d == nil {
		d = &copied{begun: map[Key]time.Duration{}, replies: map[Key]Reply{}, from: r.From, epoch: r.Epoch, read: true}
		c.of[h] = d
	}
	d.as = append(slices.Clone(r.As), d.as...)
	d.as, d.last = d.as[max(len(d.as)-maxAs, 0):], now
}

// ReadRecord takes a record that a disk has kept. Its keys are as new as this process: nobody knows how long the disk
// was read by nobody.
func (c *Copies) ReadRecord(now time.Duration, r *Record) {
	d := c.of[r.Holder]
	switch {
	case d == nil: // it went with its row
	case r.Reply != nil && len(r.Keys) == 1:
		c.answer(d, r.Keys[0], r.Reply)
	case r.Reply == nil:
		for _, k := range r.Keys {
			d.begun[k] = now
		}
	}
}

// As is the processes as which this agent may seal a holder, the latest first.
func (c *Copies) As(h Holder) []Peer {
	d := c.of[h]
	if d == nil {
		return nil
	}
	as := slices.Clone(d.as)
	slices.Reverse(as)
	return as
}

func (c *Copies) forget(h *copied, k Key) {
	if r, held := h.replies[k]; held {
		c.bytes -= len(r.Body)
		delete(h.replies, k)
	}
}

// Query asks for a verdict on a crossing that was offered so long ago, by the clock of whoever asks. Pending
// says that the holder has to be sealed first, and Sealed told what came of it. Only what the
// holder can't say any more itself may be asked.
func (c *Copies) Query(h Holder, k Key, since time.Duration) (Verdict, Reply) {
	d := c.of[h]
	switch {
	case d == nil:
		return Unsure, Reply{}
	case !d.sealed:
		d.asked = true
		return Pending, Reply{}
	}
	if r, known := d.replies[k]; known {
		return Replied, r
	}
	if _, begun := d.begun[k]; begun {
		return Over, Reply{}
	}
	if since < 0 || since >= c.remember*9/10 {
		return Unsure, Reply{}
	}
	return Never, Reply{}
}

// From is the process of a holder that this agent holds for; ok: it does, and has not sealed it.
func (c *Copies) From(h Holder) (from Peer, ok bool) {
	d := c.of[h]
	if d == nil || d.sealed {
		return from, false
	}
	return d.from, true
}

// Sealed tells what the council has said to the seal by all of As; an error that is none of this package's: it is not
// known, and has to be asked again. dropped: nothing is held for it any more.
func (c *Copies) Sealed(h Holder, err error) (dropped bool) {
	d := c.of[h]
	switch {
	case d == nil:
	case err == nil:
		d.sealed = true
	case err == ErrNoCopy: // others hold for it now
		c.drop(h)
		return true
	}
	return false
}

func (c *Copies) drop(h Holder) {
	for _, r := range c.of[h].replies {
		c.bytes -= len(r.Body)
	}
	delete(c.of, h)
}

// Asked is the holders that wait for a seal, in order.
func (c *Copies) Asked() (all []Holder) {
	for h, d := range c.of {
		if d.asked && !d.sealed {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, Holder.compare)
	return all
}

// Expire forgets what counts no more, and tells of whom nothing is held now; runs tells whether a process is known to
// run.
func (c *Copies) Expire(now time.Duration, runs func(Peer) bool) (dropped []Holder) {
	for h, d := range c.of {
		for k, at := range d.begun {
			if now-at > c.remember {
				delete(d.begun, k)
				c.forget(d, k)
			}
		}
		if len(d.begun) == 0 && now-d.last > c.remember && (d.sealed || !runs(d.from)) {
			c.drop(h)
			dropped = append(dropped, h)
		}
	}
	return dropped
}

// Held is one line of what an agent holds.
type Held struct {
	Holder Holder
	Epoch  uint64
	Keys   int
	Sealed bool
	Read   bool // from a disk: it can be proven with, and nothing more is taken
}

// All is what the agent holds, in order.
func (c *Copies) All() (all []Held) {
	for h, d := range c.of {
		all = append(all, Held{h, d.epoch, len(d.begun), d.sealed, d.read})
	}
	slices.SortFunc(all, func(a, b Held) int { return a.Holder.compare(b.Holder) })
	return all
}
