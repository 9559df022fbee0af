// Package members implements the membership view of one agent: which processes are in the fleet, what
// each publishes about itself, which are suspected of having failed and by whom, which this agent
// observes, and to which it keeps a link. It is a deterministic state machine. Its inputs are messages,
// links that come up or go down, and one Tick a period; its outputs are messages, links to open or
// close, and membership changes. docs/design/members.md explains the design.
//
// The package does no I/O, reads no clock and starts no goroutines. A Machine isn't safe for concurrent
// use: its owner calls it from one goroutine at a time.
package members

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"molepaddle/internal/decide/arith"
)

// Rings is the number of observers of each member, if the fleet has enough members.
const Rings = 5

// Options configures a Machine. Numbers and durations that are 0 take their value from Default.
type Options struct {
	ID              ID
	Info            Info
	Seeds           []string      // addresses to dial while no other member is known
	Period          time.Duration // interval between two ticks
	SuspectAfter    int           // periods without contact after which an observer suspects a subject
	Grace           int           // periods that a quorum's suspicions stay unrefuted before a member is declared dead
	CoalescePeriods int           // maximum periods that a death is delayed, to report it together with others
	WitnessAfter    int           // periods without open suspicions of a member after which its own suspicions count
	// ForgetAfter is how long members that are suspect, dead or left are kept, and afterwards barred from returning. A
	// process that doesn't tick for longer discards its view and joins again.
	ForgetAfter time.Duration
}

// Default returns the options that apply when the operator's settings file sets none.
func Default() Options {
	return Options{
		Period:          500 * time.Millisecond,
		SuspectAfter:    3,
		Grace:           3,
		CoalescePeriods: 1,
		WitnessAfter:    8,
		ForgetAfter:     10 * time.Minute,
	}
}

// State is the state of a member as this agent believes it to be.
type State uint8

// The states of a member.
const (
	Joining State = iota
	Alive
	Suspect
	Dead
	Left
)

// String returns the name of a state, as shown to operators.
func (s State) String() string { return [...]string{"joining", "alive", "suspect", "dead", "left"}[s] }

// Change is a change of the state of one member, or of several that were declared dead together.
type Change struct {
	At     time.Duration
	State  State
	IDs    []ID
	Reason string
}

// Send is a message to be sent over a link.
type Send struct {
	To      ID
	Message Message
}

// Target is a process to dial: a member, or a seed of which only the address is known.
type Target struct {
	ID      ID
	Address string
}

// Output is the result of one input.
type Output struct {
	Send    []Send
	Dial    []Target // wanted links that aren't up; a dial in progress need not be repeated
	Drop    []ID     // links that are no longer needed
	Changes []Change
}

// node is the state kept for one process.
type node struct {
	id         ID
	hash       uint64
	positions  [Rings]uint64
	self       *Record // nil: no Self record has arrived
	suspicions *Record
	orders     *Record

	state              State
	reported           bool // a Change has been reported for it
	since              time.Duration
	unsuspectedPeriods int // periods without open suspicions, see Options.WitnessAfter

	// The following fields matter if this agent observes the process.
	subject               bool // this agent observes it
	watchedPeriods        int
	contactHistory        uint64 // one bit a period, the latest lowest; set: there was contact
	refutations           int    // times in a row, at most 3, that it refuted a suspicion of this agent without contact
	suspectNotBefore      int    // tick before which it isn't suspected again
	updatedSinceSuspected bool   // it has published a newer Self record since, so dialling it may succeed

	// The following fields are computed each period.
	suspectedBy        []string // names of observers that suspect it, refuted or not
	openSuspicions     int      // number of suspicions that aren't refuted
	witnesses          int      // number of names among the open suspicions that count towards a death
	lastWitness        string   // name that was counted last as a witness
	quorumPeriods      int      // consecutive periods with a quorum of witnesses
	belowQuorumPeriods int      // consecutive periods with open suspicions but no quorum
}

// recordSlot returns the field that holds the record of the given kind.
func (n *node) recordSlot(k Kind) **Record {
	switch k {
	case Suspects:
		return &n.suspicions
	case Orders:
		return &n.orders
	}
	return &n.self
}

// present reports whether the process is believed to be in the fleet: it has neither left nor died.
func (n *node) present() bool { return n.self != nil && !n.self.Info.Left && n.state != Dead }

// link is the state of a link that is up.
type link struct {
	received    bool            // a message arrived since the last tick
	digest      uint64          // of the peer's view, from its latest message
	upSince     int             // tick at which it came up
	sumsSentAt  int             // tick at which sums were last sent
	lastContact int             // tick at which the latest message arrived
	lastStamp   uint64          // the latest Stamp received
	lastEcho    uint64          // the latest of this agent's own stamps that was echoed
	pending     map[uint64]bool // keys of records to send with the next Flush
}

// Machine is the membership view of one agent.
type Machine struct {
	options        Options
	rng            *rand.Rand
	now            time.Duration
	lastTick       time.Duration // time of the last tick
	ticks          int
	nodes          map[uint64]*node // by hash
	order          []*node          // sorted by name and incarnation
	view           view
	links          map[ID]*link
	barredUntil    map[uint64]time.Duration // by hash of forgotten processes: the end of their bar
	local          *node
	suspected      map[uint64]uint64 // this agent's suspicions: version of the Self record, by hash
	observersStale bool              // observers have to be assigned anew
	observers      map[ID]bool       // members that observe this one
	requestedLinks []string          // names to which the caller wants a link
	// overruled is, by kind, the version that this process's next record has to exceed: the highest of forged
	// records in its name and, for Self, of suspicions to refute. 0: none.
	overruled [kinds]uint64
	// The following fields say whether this agent itself may be at fault.
	starvedTicks        int // remaining ticks for which it counts as starved of CPU time
	isolated            bool
	ticksWithoutContact int    // ticks without a message from any peer
	selfSuspectUntil    int    // tick until which it takes missing contact for its own fault
	unchangedTicks      int    // ticks since a record of the view changed
	orders              string // the latest published
	out                 *Output
}

// New returns the machine of one process. The seed determines the random choices: which dead members and
// which seed addresses are dialled.
func New(o Options, seed uint64) *Machine {
	d := Default()
	for _, v := range []struct{ x, d *int }{
		{&o.SuspectAfter, &d.SuspectAfter},
		{&o.Grace, &d.Grace},
		{&o.CoalescePeriods, &d.CoalescePeriods},
		{&o.WitnessAfter, &d.WitnessAfter},
	} {
		if *v.x == 0 {
			*v.x = *v.d
		}
	}
	for _, v := range []struct{ x, d *time.Duration }{
		{&o.Period, &d.Period},
		{&o.ForgetAfter, &d.ForgetAfter},
	} {
		if *v.x == 0 {
			*v.x = *v.d
		}
	}
	m := &Machine{
		options:     o,
		rng:         rand.New(rand.NewPCG(seed, 0x6d656d62657273)),
		barredUntil: map[uint64]time.Duration{},
	}
	m.reset()
	return m
}

// reset starts a view that holds this process only.
func (m *Machine) reset() {
	m.nodes, m.order, m.overruled = map[uint64]*node{}, nil, [kinds]uint64{}
	m.view = view{records: map[uint64]*Record{}}
	m.links, m.suspected, m.observers, m.observersStale = map[ID]*link{}, map[uint64]uint64{}, map[ID]bool{}, true
	info := m.options.Info
	info.Joined, info.Left, info.Twin = false, false, false
	m.local = m.node(m.options.ID)
	m.store(m.local, &Record{ID: m.options.ID, Kind: Self, Version: 1, Info: info})
}

// node returns the node of a process, and creates it if there is none.
func (m *Machine) node(id ID) *node {
	h := id.Hash()
	n := m.nodes[h]
	if n == nil {
		n = &node{id: id, hash: h, since: m.now}
		for r := range n.positions {
			n.positions[r] = arith.Mix(h ^ arith.Mix(uint64(r)+1))
		}
		m.nodes[h] = n
		at, _ := slices.BinarySearchFunc(m.order, n, compareID)
		m.order = slices.Insert(m.order, at, n)
	}
	return n
}

func compareID(a, b *node) int { return a.id.compare(b.id) }

// comparePosition returns a comparison of nodes by their position on a ring.
func comparePosition(r int) func(a, b *node) int {
	return func(a, b *node) int { return cmp.Compare(a.positions[r], b.positions[r]) }
}

// store puts a record into the view.
func (m *Machine) store(n *node, r *Record) {
	m.view.put(r)
	m.unchangedTicks = 0
	if r.Kind != Self {
		*n.recordSlot(r.Kind) = r
		return
	}
	if n.self == nil || n.self.Info.Zone != r.Info.Zone || n.self.Info.Machine != r.Info.Machine ||
		n.self.Info.Joined != r.Info.Joined || n.self.Info.Left != r.Info.Left {
		m.observersStale = true
	}
	n.updatedSinceSuspected = n.state == Dead || n.state == Suspect
	n.self = r
}

// removeNode deletes a process and its records from the view.
func (m *Machine) removeNode(n *node) {
	for _, r := range []*Record{n.self, n.suspicions, n.orders} {
		if r != nil {
			m.view.remove(r.key())
		}
	}
	delete(m.nodes, n.hash)
	if at, ok := slices.BinarySearchFunc(m.order, n, compareID); ok {
		m.order = slices.Delete(m.order, at, at+1)
	}
	m.observersStale, m.unchangedTicks = true, 0
}

// ID returns the ID of this process.
func (m *Machine) ID() ID { return m.options.ID }

// Set changes the Info that this process publishes about itself.
func (m *Machine) Set(now time.Duration, change func(*Info)) Output {
	return m.apply(now, func() {
		info := m.local.self.Info
		change(&info)
		if info.Left = info.Left || m.local.self.Info.Left; info != m.local.self.Info {
			m.publishInfo(info)
		}
	})
}

// Leave announces on all links that this process is about to exit. The other members ignore later versions of its Self
// record.
func (m *Machine) Leave(now time.Duration) Output {
	return m.apply(now, func() {
		if info := m.local.self.Info; !info.Left {
			info.Left = true
			m.publishInfo(info)
			m.flush()
		}
	})
}

// publishInfo writes a new version of this process's Self record. The Info is kept across a reset, except for Joined,
// Left and Twin.
func (m *Machine) publishInfo(info Info) {
	r := &Record{ID: m.options.ID, Kind: Self, Version: max(m.local.self.Version, m.overruled[Self]) + 1, Info: info}
	m.overruled[Self] = 0
	m.options.Info = info
	m.store(m.local, r)
	m.enqueue([]Record{*r}, ID{})
}

// publishSuspicions writes a new version of this process's Suspects record.
func (m *Machine) publishSuspicions() {
	r := &Record{ID: m.options.ID, Kind: Suspects, Version: m.overruled[Suspects] + 1}
	if m.local.suspicions != nil {
		r.Version = max(m.local.suspicions.Version, m.overruled[Suspects]) + 1
	}
	m.overruled[Suspects] = 0
	for of, version := range m.suspected {
		r.Suspicions = append(r.Suspicions, Suspicion{of, version})
	}
	slices.SortFunc(r.Suspicions, func(a, b Suspicion) int { return cmp.Compare(a.Target, b.Target) })
	m.store(m.local, r)
	m.enqueue([]Record{*r}, ID{})
}

// Publish publishes this process's orders, an encoded orders.List of at most MaxOrders bytes that is not decoded
// here. Publishing the same orders again changes nothing.
func (m *Machine) Publish(now time.Duration, orders string) Output {
	return m.apply(now, func() { m.publishOrders(orders) })
}

func (m *Machine) publishOrders(orders string) {
	old := m.local.orders
	m.orders = orders
	if m.overruled[Orders] == 0 && (old != nil && old.Raw == orders || old == nil && orders == "") {
		return
	}
	r := &Record{ID: m.options.ID, Kind: Orders, Version: m.overruled[Orders] + 1, Raw: orders}
	if old != nil {
		r.Version = max(old.Version, m.overruled[Orders]) + 1
	}
	m.overruled[Orders] = 0
	m.store(m.local, r)
	m.enqueue([]Record{*r}, ID{})
}

// RequestLinks sets the names of members to which the caller wants a link, besides those that the view
// itself needs.
func (m *Machine) RequestLinks(names []string) { m.requestedLinks = slices.Clone(names) }

// enqueue marks records as pending on all links except one. A record that changes several times before
// the next Flush is sent once.
func (m *Machine) enqueue(records []Record, except ID) {
	for id, l := range m.links {
		if id != except {
			for i := range records {
				l.pending[records[i].key()] = true
			}
		}
	}
}

// HasPending reports whether Flush has records to send.
func (m *Machine) HasPending() bool {
	for _, l := range m.links {
		if len(l.pending) > 0 {
			return true
		}
	}
	return false
}

// Flush sends the pending records. The caller calls it a small part of a period after an input that left
// HasPending true; Tick flushes as well.
func (m *Machine) Flush(now time.Duration) Output { return m.apply(now, m.flush) }

func (m *Machine) flush() {
	for _, id := range m.linkedIDs() {
		l := m.links[id]
		var records []Record
		for key := range l.pending {
			if r := m.view.records[key]; r != nil {
				records = append(records, *r)
			}
		}
		clear(l.pending)
		slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.key(), b.key()) })
		m.send(id, records)
	}
}

func (m *Machine) send(to ID, records []Record) {
	for chunk := range slices.Chunk(records, MaxRecords) {
		m.out.Send = append(m.out.Send, Send{to, Message{Records: chunk}})
	}
}

// linkedIDs returns the IDs of the links that are up, sorted.
func (m *Machine) linkedIDs() []ID {
	ids := make([]ID, 0, len(m.links))
	for id := range m.links {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, ID.compare)
	return ids
}

// apply runs one input. The messages that it sends carry the digest of the view after the input.
func (m *Machine) apply(now time.Duration, do func()) Output {
	m.now = max(m.now, now)
	m.out = &Output{}
	do()
	out := *m.out
	for i := range out.Send {
		out.Send[i].Message.Digest = m.view.digest
	}
	m.out = nil
	return out
}

// LinkUp notes that a link to a process is up, no matter which end dialled it. Both ends compare views.
func (m *Machine) LinkUp(now time.Duration, id ID) Output {
	return m.apply(now, func() {
		if id == m.options.ID {
			return
		}
		delete(m.barredUntil, id.Hash()) // the process is evidently running
		m.links[id] = &link{
			upSince:     m.ticks,
			received:    true,
			sumsSentAt:  -1,
			lastContact: m.ticks,
			pending:     map[uint64]bool{},
		}
		m.send(id, []Record{*m.local.self})
		m.sendSums(id)
	})
}

// LinkDown notes that a link has ended. That raises no suspicion by itself: only missing contact does.
func (m *Machine) LinkDown(now time.Duration, id ID) Output {
	return m.apply(now, func() { delete(m.links, id) })
}

// sendSums sends the bucket sums of this agent's view.
func (m *Machine) sendSums(id ID) {
	m.links[id].sumsSentAt = m.ticks
	m.out.Send = append(m.out.Send, Send{id, Message{Sums: slices.Clone(m.view.sums[:])}})
}

// Receive processes a message that arrived over a link that is up. Invalid parts are ignored.
func (m *Machine) Receive(now time.Duration, from ID, msg Message) Output {
	return m.apply(now, func() {
		l := m.links[from]
		if l == nil {
			return
		}
		l.received, l.lastContact, l.digest = true, m.ticks, msg.Digest
		if msg.Stamp > 0 {
			// lastEcho is 0 until the first echo.
			l.lastStamp, l.lastEcho = msg.Stamp, min(max(l.lastEcho, msg.Echo), uint64(m.ticks))
		}
		var changed []Record
		for i := range msg.Records {
			if r := &msg.Records[i]; m.merge(r) {
				changed = append(changed, *r)
			}
		}
		if len(changed) > 0 {
			m.enqueue(changed, from)
		}
		if len(msg.Sums) == Buckets {
			m.answerSums(from, msg.Sums)
		}
		if msg.Mask != 0 {
			m.answerKeyVersions(from, &msg)
		}
		var wanted []Record
		for _, k := range msg.Want {
			if r := m.view.records[k]; r != nil {
				wanted = append(wanted, *r)
			}
		}
		m.send(from, wanted)
		// Only one end of the link asks, once a period, and only if no other exchange is in progress.
		if msg.Digest != m.view.digest && l.sumsSentAt < m.ticks && len(l.pending) == 0 &&
			from.Hash() < m.local.hash &&
			len(msg.Records)+len(msg.Sums)+len(msg.Want) == 0 && msg.Mask == 0 {
			m.sendSums(from)
		}
	})
}

// answerSums answers sums with the keys and versions of the records in buckets whose sums differ.
func (m *Machine) answerSums(to ID, sums []uint64) {
	var byBucket [Buckets][]KeyVersion
	for k, r := range m.view.records {
		if b := bucket(k); sums[b] != m.view.sums[b] {
			byBucket[b] = append(byBucket[b], KeyVersion{k, r.Version})
		}
	}
	msg := Message{}
	for b := range byBucket {
		if sums[b] == m.view.sums[b] {
			continue
		}
		heads := byBucket[b]
		slices.SortFunc(heads, func(a, b KeyVersion) int { return cmp.Compare(a.Key, b.Key) })
		if len(heads) > MaxKeyVersions {
			heads = heads[:MaxKeyVersions]
		}
		if msg.Mask != 0 && len(msg.KeyVersions)+len(heads) > MaxKeyVersions {
			m.out.Send = append(m.out.Send, Send{to, msg})
			msg = Message{}
		}
		msg.Mask |= 1 << b
		msg.KeyVersions = append(msg.KeyVersions, heads...)
	}
	if msg.Mask != 0 {
		m.out.Send = append(m.out.Send, Send{to, msg})
	}
}

// answerKeyVersions answers keys and versions with the records that are newer in this view, and requests
// those that are newer in the peer's.
func (m *Machine) answerKeyVersions(to ID, msg *Message) {
	remoteVersions := map[uint64]uint64{}
	var want []uint64
	for _, h := range msg.KeyVersions {
		remoteVersions[h.Key] = h.Version
		if r := m.view.records[h.Key]; r == nil || r.Version < h.Version {
			want = append(want, h.Key)
		}
	}
	var newer []Record
	for k, r := range m.view.records {
		if msg.Mask&(1<<bucket(k)) != 0 && r.Version > remoteVersions[k] {
			newer = append(newer, *r)
		}
	}
	slices.SortFunc(newer, func(a, b Record) int { return cmp.Compare(a.key(), b.key()) })
	m.send(to, newer)
	if len(want) > 0 {
		m.out.Send = append(m.out.Send, Send{to, Message{Want: want}})
	}
}

// merge puts a received record into the view, and reports whether the view changed.
func (m *Machine) merge(r *Record) bool {
	if !r.valid() {
		return false
	}
	if r.ID == m.options.ID {
		m.receiveOwn(r)
		return false
	}
	h := r.ID.Hash()
	n := m.nodes[h]
	if n != nil {
		if old := *n.recordSlot(r.Kind); old != nil && (old.Version >= r.Version || old.Info.Left) {
			return false
		}
	}
	if _, barred := m.barredUntil[h]; barred {
		return false
	}
	if r.Kind == Self {
		if !m.resolveName(r) {
			return false
		}
		n = m.node(r.ID)
	} else if n == nil || n.self == nil {
		return false // its Self record has to arrive first; the next comparison brings both
	}
	c := *r
	m.store(n, &c)
	return true
}

// resolveName resolves a Self record against other processes of the same name, and reports whether the
// record is accepted.
func (m *Machine) resolveName(r *Record) bool {
	for _, o := range m.nodesNamed(r.ID.Name) {
		// Removing a process removes the suspicions it published; a dead member stays dead while others suspect it.
		switch {
		case o.self == nil || o.id == r.ID:
		case o.id.Incarnation > r.ID.Incarnation && !r.Info.Twin:
			return false // superseded by a later incarnation
		case o.id.Incarnation < r.ID.Incarnation && !o.self.Info.Twin && o != m.local:
			m.removeNode(o)
		}
	}
	if r.ID.Name == m.options.ID.Name && r.ID.Incarnation > m.options.ID.Incarnation && !m.local.self.Info.Twin {
		info := m.local.self.Info
		info.Twin = true // the other record may be forged; its process is then unresponsive
		m.publishInfo(info)
	}
	return true
}

// nodesNamed returns all processes with a name.
func (m *Machine) nodesNamed(name string) []*node {
	at, _ := slices.BinarySearchFunc(m.order, name, func(n *node, name string) int {
		return strings.Compare(n.id.Name, name)
	})
	end := at
	for end < len(m.order) && m.order[end].id.Name == name {
		end++
	}
	return slices.Clone(m.order[at:end])
}

// receiveOwn processes a record in this process's own name. If this process did not write it, the next
// tick overrules it with the true record in a higher version.
func (m *Machine) receiveOwn(r *Record) {
	current := *m.local.recordSlot(r.Kind)
	same := current != nil && r.Version == current.Version && r.Info == current.Info &&
		slices.Equal(r.Suspicions, current.Suspicions) && (r.Kind != Orders || r.Raw == current.Raw)
	if same || current != nil && r.Version < current.Version {
		return
	}
	m.overruled[r.Kind] = max(m.overruled[r.Kind], r.Version)
}

// contactPeriods returns the number of periods with contact among the last ones of a contact history.
func contactPeriods(x uint64, last int) int { return bits.OnesCount64(x & (1<<last - 1)) }
