package promises

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

func (k Key) compare(o Key) int {
	return cmp.Or(
		strings.Compare(k.Origin, o.Origin),
		cmp.Compare(k.Incarnation, o.Incarnation),
		cmp.Compare(k.Number, o.Number),
	)
}

// Verdict is a replica's answer to the question whether a request has begun.
type Verdict uint8

// The verdicts.
const (
	Unknown    Verdict = iota // the replica can prove nothing
	Pending                   // the holder has to be sealed first
	NeverBegun                // it has not begun and never will
	MayHaveRun                // it was promised and may have run; the holder begins nothing more
	Replied                   // it ran; its reply is known
)

// replica is the state that is kept for one holder.
type replica struct {
	process    Peer   // the holder's process in the fleet
	identities []Peer // this agent's processes that have joined, the latest last
	fromDisk   bool   // read from disk and not joined since: accepts no batches
	epoch      uint64
	begun      map[Key]time.Duration
	replies    map[Key]Reply
	sealWanted bool // the council is to be asked to seal the holder
	sealed     bool // accepts no joins and no batches
	lastUpdate time.Duration
}

// Row is the on-disk state of one holder, apart from its keys.
type Row struct {
	_          struct{} `cbor:",toarray"`
	Process    Peer
	Identities []Peer
	Epoch      uint64
}

// Record is the on-disk form of one message: keys that begin, or one key and its reply.
type Record struct {
	_      struct{} `cbor:",toarray"`
	Holder Holder
	Keys   []Key
	Reply  *Reply
}

// maxIdentities is the maximum number of this agent's processes that are remembered per holder. A holder whose
// replica set names an earlier process can't be sealed by this agent.
const maxIdentities = 8

// ReplicaStore holds the replicas that an agent keeps for other processes.
type ReplicaStore struct {
	retention time.Duration
	replicas  map[Holder]*replica
	bytes     int // size of all reply bodies
	maxBytes  int
}

// NewReplicaStore returns an empty store. It forgets keys after retention, and stores reply bodies of up to
// so many bytes in total.
func NewReplicaStore(retention time.Duration, bytes int) *ReplicaStore {
	return &ReplicaStore{retention: retention, replicas: map[Holder]*replica{}, maxBytes: bytes}
}

// Receive processes a holder's message as the process me. It returns the reply, and whether there is one. If the
// store is kept on disk, the reply must be sent only after the Row and Record of the message are written.
func (c *ReplicaStore) Receive(now time.Duration, me, from Peer, m *Msg) (reply Msg, ok bool) {
	h := c.replicas[m.Holder]
	reply = Msg{Kind: Nack, Holder: m.Holder, Epoch: m.Epoch, Seq: m.Seq}
	switch m.Kind {
	case Join:
		switch {
		case h == nil:
			h = &replica{begun: map[Key]time.Duration{}, replies: map[Key]Reply{}}
			c.replicas[m.Holder] = h
		case h.sealed:
			return reply, true
		case m.Epoch < h.epoch:
			return reply, false
		}
		h.process, h.epoch, h.lastUpdate, h.fromDisk = from, m.Epoch, now, false
		if !slices.Contains(h.identities, me) {
			h.identities = append(
				h.identities[max(len(h.identities)+1-maxIdentities, 0):len(h.identities):len(h.identities)], me)
		}
		for i, k := range m.Keys {
			at := now - time.Duration(m.Ages[i])*time.Millisecond
			if was, known := h.begun[k]; !known || was < at {
				h.begun[k] = at
			}
		}
		reply.Kind = Joined
	case Batch:
		if h == nil || h.sealed || h.fromDisk || h.epoch != m.Epoch || h.process != from ||
			len(h.begun)+len(m.Keys) > 2*MaxKeys {
			return reply, true
		}
		for _, k := range m.Keys {
			h.begun[k] = now
		}
		h.lastUpdate = now
		reply.Kind = Ack
	case Answered:
		// A reply is valid at any time, also after a seal.
		if h != nil && h.process == from {
			c.storeReply(h, m.Keys[0], m.Reply)
		}
		return reply, false
	default:
		return reply, false
	}
	return reply, true
}

func (c *ReplicaStore) storeReply(h *replica, k Key, r *Reply) {
	if _, begun := h.begun[k]; begun && c.bytes+len(r.Body) <= c.maxBytes {
		c.dropReply(h, k)
		h.replies[k] = *r
		c.bytes += len(r.Body)
	}
}

// Row returns the row of a holder to be stored on disk.
func (c *ReplicaStore) Row(h Holder) Row {
	d := c.replicas[h]
	return Row{Process: d.process, Identities: d.identities, Epoch: d.epoch}
}

// RestoreRow restores a row from disk, before its records. A Join that was received in the meantime takes
// precedence.
func (c *ReplicaStore) RestoreRow(now time.Duration, h Holder, r *Row) {
	d := c.replicas[h]
	if len(r.Identities) == 0 || h.Name == "" {
		return // not a valid row
	}
	if d == nil {
		d = &replica{
			begun:    map[Key]time.Duration{},
			replies:  map[Key]Reply{},
			process:  r.Process,
			epoch:    r.Epoch,
			fromDisk: true,
		}
		c.replicas[h] = d
	}
	d.identities = append(slices.Clone(r.Identities), d.identities...)
	d.identities, d.lastUpdate = d.identities[max(len(d.identities)-maxIdentities, 0):], now
}

// RestoreRecord restores a record from disk. Its keys count as begun now, because it isn't known how long the
// agent was down.
func (c *ReplicaStore) RestoreRecord(now time.Duration, r *Record) {
	d := c.replicas[r.Holder]
	switch {
	case d == nil: // its row was deleted
	case r.Reply != nil && len(r.Keys) == 1:
		c.storeReply(d, r.Keys[0], r.Reply)
	case r.Reply == nil:
		for _, k := range r.Keys {
			d.begun[k] = now
		}
	}
}

// Identities returns this agent's processes that may seal a holder, the latest first.
func (c *ReplicaStore) Identities(h Holder) []Peer {
	d := c.replicas[h]
	if d == nil {
		return nil
	}
	identities := slices.Clone(d.identities)
	slices.Reverse(identities)
	return identities
}

func (c *ReplicaStore) dropReply(h *replica, k Key) {
	if r, held := h.replies[k]; held {
		c.bytes -= len(r.Body)
		delete(h.replies, k)
	}
}

// Query returns the verdict on a request that was offered to the holder since ago, by the clock of the origin
// gateway. Pending means that the holder has to be sealed first, and the result passed to Sealed. It must only
// be called for requests whose fate the holder itself can no longer report.
func (c *ReplicaStore) Query(h Holder, k Key, since time.Duration) (Verdict, Reply) {
	d := c.replicas[h]
	switch {
	case d == nil:
		return Unknown, Reply{}
	case !d.sealed:
		d.sealWanted = true
		return Pending, Reply{}
	}
	if r, known := d.replies[k]; known {
		return Replied, r
	}
	if _, begun := d.begun[k]; begun {
		return MayHaveRun, Reply{}
	}
	if since < 0 || since >= c.retention*9/10 {
		return Unknown, Reply{}
	}
	return NeverBegun, Reply{}
}

// ProcessOf returns the fleet process of a holder. ok reports whether this agent keeps a replica of the holder
// that isn't sealed.
func (c *ReplicaStore) ProcessOf(h Holder) (process Peer, ok bool) {
	d := c.replicas[h]
	if d == nil || d.sealed {
		return process, false
	}
	return d.process, true
}

// Sealed passes in the council's result of the seal by the holder's Identities. After an error that isn't one of
// this package the result is unknown, and the council has to be asked again. dropped reports whether the
// replica was deleted.
func (c *ReplicaStore) Sealed(h Holder, err error) (dropped bool) {
	d := c.replicas[h]
	switch {
	case d == nil:
	case err == nil:
		d.sealed = true
	case err == ErrNoCopy: // the holder has other replicas now
		c.drop(h)
		return true
	}
	return false
}

func (c *ReplicaStore) drop(h Holder) {
	for _, r := range c.replicas[h].replies {
		c.bytes -= len(r.Body)
	}
	delete(c.replicas, h)
}

// SealsWanted returns the holders that wait for a seal, sorted.
func (c *ReplicaStore) SealsWanted() (all []Holder) {
	for h, d := range c.replicas {
		if d.sealWanted && !d.sealed {
			all = append(all, h)
		}
	}
	slices.SortFunc(all, Holder.compare)
	return all
}

// Expire deletes keys past their retention, and the replicas that are no longer needed; it returns the holders of
// the latter. runs reports whether a process is known to be running.
func (c *ReplicaStore) Expire(now time.Duration, runs func(Peer) bool) (dropped []Holder) {
	for h, d := range c.replicas {
		for k, at := range d.begun {
			if now-at > c.retention {
				delete(d.begun, k)
				c.dropReply(d, k)
			}
		}
		if len(d.begun) == 0 && now-d.lastUpdate > c.retention && (d.sealed || !runs(d.process)) {
			c.drop(h)
			dropped = append(dropped, h)
		}
	}
	return dropped
}

// ReplicaStatus describes one replica to operators.
type ReplicaStatus struct {
	Holder Holder
	Epoch  uint64
	Keys   int
	Sealed bool
	Read   bool // read from disk: gives verdicts, but accepts no batches
}

// All returns the status of all replicas, sorted by holder.
func (c *ReplicaStore) All() (all []ReplicaStatus) {
	for h, d := range c.replicas {
		all = append(all, ReplicaStatus{h, d.epoch, len(d.begun), d.sealed, d.fromDisk})
	}
	slices.SortFunc(all, func(a, b ReplicaStatus) int { return a.Holder.compare(b.Holder) })
	return all
}
