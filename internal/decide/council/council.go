// Package council agrees on the log of package work: one member of three or five agents that decide by
// majority. It drives etcd's raft, which has no I/O, and adds what that leaves open: elections from a
// seed, the log applied to the order of work, snapshots of it, and members that come and go one step at a
// time. docs/design/work.md says why it is made so.
//
// There is no I/O, no clock and no goroutine here. After each input the driver asks Ready, makes Save
// durable, sends what is to be sent, and calls Advance, until nothing is ready. A Machine belongs to
// its driver.
package council

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"molepaddle/internal/decide/promises"
	"molepaddle/internal/decide/work"
)

// Options is what a member is made of. Ticks are the driver's, some fifth of the time in which a new
// leader is wanted.
type Options struct {
	ID       uint64 // of its disk: drawn when that is made, so that a lost disk is another member
	Seed     uint64
	Election int // ticks without a leader after which a member stands; up to twice that, by the seed
	Keep     int // entries that stay behind a snapshot for those who lag
	Bounds   work.Bounds
}

// Save is what must be durable before anything of the same Ready is sent.
type Save struct {
	Hard     *pb.HardState // nil: as it was
	Snapshot *pb.Snapshot  // nil: none
	Compact  uint64        // with a Snapshot: entries up to that one go; it is at the most the snapshot's
	Whole    bool          // with a Snapshot: it came from another, and all entries go
	Entries  []*pb.Entry   // take the place of all from the first of them on
}

// Saved is what a disk holds.
type Saved struct {
	Hard     *pb.HardState
	Snapshot *pb.Snapshot
	Entries  []*pb.Entry
}

// Message is one to another member.
type Message struct {
	To   uint64
	Data []byte
}

// Result is what became of an entry, on every member that applies it.
type Result struct {
	Token uint64
	Err   error
}

// Errors of Propose.
var (
	ErrNotLeader = errors.New("another member leads, or none does")
	ErrBusy      = errors.New("too much waits to be agreed on")
)

// proposal is an entry with the token by which its proposer knows it.
type proposal struct {
	Token uint64
	Entry work.Entry
	Hold  *promises.Entry // in the entry's place, at its time; nil: none
}

// done is an entry that was applied, and what became of it; every member keeps the same last ones.
type done struct {
	Token uint64
	Err   string // empty: it was taken
}

// remembered is how many of them are kept. Who proposes again after so many others must look first.
const remembered = 4096

// contents is what a snapshot holds.
type contents struct {
	Work    work.Snapshot
	Done    []done // the oldest first
	Council uint64 // drawn when it was founded
	Holds   []promises.ReplicaSet
}

// Machine is one member.
type Machine struct {
	opt     Options
	rng     *rand.Rand
	node    *raft.RawNode
	mem     *raft.MemoryStorage
	state   *work.State
	conf    *pb.ConfState
	applied uint64
	snapped uint64
	ticks   int
	heard   int // the tick at which a leader was heard, or it led
	quiet   int // ticks since then, or since it stood
	patient int // ticks until it stands
	ready   *raft.Ready
	cut     Save           // of a snapshot that was made here, for the next Ready
	active  map[uint64]int // as it leads: the tick at which each other member was last known to be active
	joined  bool           // members have changed since the last snapshot: who comes in can't be sent an older one
	target  []uint64
	council uint64
	holds   *promises.Register
	done    []done // the last that were applied, the oldest first
	told    map[uint64]string
}

// Found is the disk of the member that founds a council: it is the only one, until it takes others in.
// It is done once in an installation's life, by a person; a council that is founded since all disks of the one
// before were lost begins its orders beyond that one's, by the time in seconds.
func Found(id, council uint64, now int64) Saved {
	first := work.New(work.DefaultBounds()).Snapshot()
	first.Orders = uint64(max(now, 0)) << 20
	data, _ := cbor.Marshal(contents{Work: first, Council: council}) // values only
	return Saved{Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{id}}}}, Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}}
}

// New makes a member from what its disk holds; nothing: it waits until a council takes it in. An
// error says what on the disk makes no sense.
func New(o Options, disk Saved) (*Machine, error) {
	if o.ID == 0 || o.Election < 5 || o.Keep < 1 {
		return nil, fmt.Errorf("council: id, election or keep: %d, %d, %d", o.ID, o.Election, o.Keep)
	}
	m := &Machine{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0x636f756e63696c)), mem: raft.NewMemoryStorage(), state: work.New(o.Bounds), conf: &pb.ConfState{}, told: map[uint64]string{}, holds: promises.NewRegister()}
	if disk.Snapshot != nil {
		if err := m.mem.ApplySnapshot(disk.Snapshot); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := m.restore(disk.Snapshot); err != nil {
			return nil, err
		}
	}
	if disk.Hard != nil {
		if err := m.mem.SetHardState(disk.Hard); err != nil {
			return nil, fmt.Errorf("council: votes: %w", err)
		}
	}
	next, _ := m.mem.LastIndex() // of memory: there is no error
	for _, e := range disk.Entries {
		if e.GetIndex() > next+1 {
			return nil, fmt.Errorf("council: log: entry %d follows %d", e.GetIndex(), next)
		}
		next = e.GetIndex()
	}
	if err := m.mem.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	if last, _ := m.mem.LastIndex(); disk.Hard.GetCommit() > last {
		return nil, fmt.Errorf("council: log: ends at %d, and %d is agreed on", last, disk.Hard.GetCommit())
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: o.Election, HeartbeatTick: 1, Storage: m.mem, Applied: m.applied,
		MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: silent{}})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	m.wait()
	return m, nil
}

// wait draws how long it waits for a leader before it stands itself.
func (m *Machine) wait() {
	m.quiet, m.patient = 0, m.opt.Election+m.rng.IntN(m.opt.Election)
}

func (m *Machine) restore(s *pb.Snapshot) error {
	var n contents
	if err := cbor.Unmarshal(s.GetData(), &n); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	state, err := work.Restore(m.opt.Bounds, n.Work)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if m.holds, err = promises.RestoreRegister(n.Holds); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	m.done, m.told, m.council = n.Done, map[uint64]string{}, n.Council
	for _, d := range m.done {
		m.told[d.Token] = d.Err
	}
	m.state, m.conf = state, s.GetMetadata().GetConfState()
	m.applied, m.snapped = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

func (m *Machine) leads() bool { return m.node.BasicStatus().RaftState == raft.StateLeader }

// Tick is the passing of a tick.
func (m *Machine) Tick() {
	m.ticks++
	if m.leads() {
		m.noteActive() // before raft, at its own pace, forgets it
		m.node.Tick()
		m.quiet, m.heard = 0, m.ticks
		if m.compose(); !m.leads() { // it has led nobody for as long as that
			m.heard -= m.opt.Election
		}
		return
	}
	m.active = nil
	// Raft's own clock draws from no seed: it only counts here, and standing is this machine's.
	m.node.TickQuiesced()
	if m.quiet++; m.quiet >= m.patient {
		m.wait()
		_ = m.node.Campaign() // who may not stand stays as it was
	}
}

// Sender is the member that a message says it is of.
func Sender(data []byte) (uint64, error) {
	var msg pb.Message
	if err := proto.Unmarshal(data, &msg); err != nil {
		return 0, fmt.Errorf("council: message: %w", err)
	}
	return msg.GetFrom(), nil
}

// Step takes a message of another member. One that can't be read is an error, and changes nothing.
func (m *Machine) Step(data []byte) error {
	var msg pb.Message
	if err := proto.Unmarshal(data, &msg); err != nil {
		return fmt.Errorf("council: message: %w", err)
	}
	if msg.GetTo() != m.opt.ID {
		return fmt.Errorf("council: message: for %x", msg.GetTo())
	}
	switch msg.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if msg.GetTerm() >= m.node.BasicStatus().GetTerm() {
			m.quiet, m.heard = 0, m.ticks
		}
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum, pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader, pb.MsgForgetLeader:
		return fmt.Errorf("council: message: %v is nobody else's to send", msg.GetType())
	}
	if err := m.node.Step(&msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: message: %w", err)
	}
	return nil
}

// Propose has the council agree on an entry. The token, which its proposer draws and is not 0, comes
// back in a Result on every member that applies it, perhaps after a crash, perhaps never: who does not hear
// proposes again under the same token, and it counts once, with the same result.
func (m *Machine) Propose(token uint64, e work.Entry) error {
	return m.propose(proposal{Token: token, Entry: e})
}

// ProposeHold does so with an entry of the register of promises, at a time of its proposer's in seconds.
func (m *Machine) ProposeHold(token uint64, now int64, e *promises.Entry) error {
	return m.propose(proposal{Token: token, Entry: work.Entry{At: now}, Hold: e})
}

func (m *Machine) propose(p proposal) error {
	if p.Token == 0 {
		return errors.New("council: an entry without a token")
	}
	if !m.leads() {
		return ErrNotLeader
	}
	data, err := cbor.Marshal(p)
	if err != nil {
		return err
	}
	if errors.Is(m.node.Propose(data), raft.ErrProposalDropped) {
		return ErrBusy
	}
	return nil
}

// Want names the members that the council should have. The leader goes there one safe step at a time.
func (m *Machine) Want(ids []uint64) { m.target = slices.Clone(ids) }

// noteActive notes which members raft has heard of.
func (m *Machine) noteActive() {
	if m.active == nil {
		m.active = map[uint64]int{}
	}
	for id, p := range m.node.Status().Progress {
		if p.RecentActive {
			m.active[id] = m.ticks
		}
	}
}

// isActive tells whether a member was heard of lately. Raft's own word is of no use for that by itself: once in Election ticks it
// forgets everybody, so that for a moment all would seem gone.
func (m *Machine) isActive(id uint64) bool {
	at, known := m.active[id]
	return id == m.opt.ID || known && m.ticks-at <= 2*m.opt.Election
}

// compose is the next step towards the members that are wanted: take one in to learn, let it vote once
// it has caught up, let one go that is not wanted. Never two at once, and nobody goes before enough
// others vote.
func (m *Machine) compose() {
	// Raft forgets who was active once in Election ticks: at the same pace it could be asked just after
	// that each time, and nobody would ever be taken in.
	if len(m.target) == 0 || m.ticks%(m.opt.Election/2+1) != 0 {
		return
	}
	change := func(t pb.ConfChangeType, id uint64) {
		// One that is under way turns this one down; it comes again.
		_ = m.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: t.Enum(), NodeId: proto.Uint64(id)}}})
	}
	status := m.node.Status()
	complete := true // all that are wanted vote
	for _, id := range m.target {
		switch p, known := status.Progress[id]; {
		case !known:
			change(pb.ConfChangeAddLearnerNode, id)
			return
		case !p.IsLearner:
		case m.isActive(id) && p.Match > 0 && p.Match+uint64(m.opt.Keep)/2 >= status.GetCommit():
			change(pb.ConfChangeAddNode, id)
			return
		case m.isActive(id):
			return // it catches up, and nobody goes before it votes
		default:
			complete = false
		}
	}
	for _, id := range append(slices.Clone(m.conf.GetLearners()), m.conf.GetVoters()...) {
		if !slices.Contains(m.target, id) && id != m.opt.ID {
			if m.mayGo(id, complete) {
				change(pb.ConfChangeRemoveNode, id)
			}
			return
		}
	}
	if !slices.Contains(m.target, m.opt.ID) { // its own machine is to go: another leads from here on
		for _, id := range m.conf.GetVoters() {
			if id != m.opt.ID && status.Progress[id].RecentActive {
				m.node.TransferLeader(id)
				return
			}
		}
	}
}

// mayGo tells whether a member that is not wanted may go: who only learns may at any time; one that votes and is active stays
// until all that are wanted vote; and the rest has to be able to go on without it.
func (m *Machine) mayGo(id uint64, complete bool) bool {
	if slices.Contains(m.conf.GetLearners(), id) {
		return true
	}
	if !complete && m.isActive(id) {
		return false
	}
	active := 0
	for _, other := range m.conf.GetVoters() {
		if other != id && m.isActive(other) {
			active++
		}
	}
	left := len(m.conf.GetVoters()) - 1
	return active >= left/2+1
}

// Resign has another member lead, where this one does and one has caught up; it goes on as a member.
func (m *Machine) Resign() {
	if !m.leads() {
		return
	}
	status := m.node.Status()
	for _, id := range m.conf.GetVoters() {
		if p := status.Progress[id]; id != m.opt.ID && p.RecentActive && p.Match >= status.GetCommit() {
			m.node.TransferLeader(id)
			return
		}
	}
}

// Ready is what is to be made durable and then sent; ok: there is something. Nothing else may be put in
// before Advance.
func (m *Machine) Ready() (save Save, send []Message, ok bool) {
	if m.ready != nil {
		return save, nil, false
	}
	save, m.cut = m.cut, Save{}
	if !m.node.HasReady() {
		return save, nil, save.Snapshot != nil
	}
	r := m.node.Ready()
	m.ready = &r
	save.Hard, save.Entries = r.HardState, r.Entries
	if !raft.IsEmptySnap(r.Snapshot) {
		save.Snapshot, save.Whole, save.Compact = r.Snapshot, true, 0
	}
	for _, msg := range r.Messages {
		data, err := proto.Marshal(msg)
		if err != nil {
			continue // raft's own words can be written
		}
		send = append(send, Message{msg.GetTo(), data})
		if msg.GetType() == pb.MsgSnap {
			m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish) // if it is lost the next probe finds so
		}
	}
	return save, send, true
}

// Advance tells that the last Ready's Save is durable and its messages are sent. It applies what is
// agreed on. An error is a fault of this program or its disk: the member must stop.
func (m *Machine) Advance() ([]Result, error) {
	r := m.ready
	if m.ready = nil; r == nil {
		return nil, nil
	}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := m.mem.ApplySnapshot(r.Snapshot); err != nil {
			return nil, err
		}
		if err := m.restore(r.Snapshot); err != nil {
			return nil, err
		}
	}
	if r.HardState != nil {
		if err := m.mem.SetHardState(r.HardState); err != nil {
			return nil, err
		}
	}
	if err := m.mem.Append(r.Entries); err != nil {
		return nil, err
	}
	var results []Result
	for _, e := range r.CommittedEntries {
		res, err := m.apply(e)
		if err != nil {
			return results, err
		}
		results = append(results, res...)
	}
	m.node.Advance(*r)
	return results, m.snapshot()
}

func (m *Machine) apply(e *pb.Entry) ([]Result, error) {
	m.applied = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &c); err != nil {
			return nil, err
		}
		m.conf, m.joined = m.node.ApplyConfChange(&c), true
	case e.GetType() != pb.EntryNormal:
		return nil, fmt.Errorf("council: entry %d: a change of members of another form", e.GetIndex())
	case len(e.GetData()) > 0:
		var p proposal
		if err := cbor.Unmarshal(e.GetData(), &p); err != nil {
			return nil, fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
		}
		return []Result{{p.Token, m.once(&p)}}, nil
	}
	return nil, nil
}

// once applies an entry, unless it was applied before: then its result is the one that it had.
func (m *Machine) once(p *proposal) error {
	was, again := m.told[p.Token]
	if !again {
		var err error
		if p.Hold != nil {
			err = m.holds.Apply(p.Entry.At, p.Hold)
		} else {
			err = m.state.Apply(p.Entry)
		}
		if err != nil {
			was = err.Error()
		}
		m.told[p.Token] = was
		m.done = append(m.done, done{p.Token, was})
		if len(m.done) > remembered {
			delete(m.told, m.done[0].Token)
			m.done = m.done[1:]
		}
	}
	if was != "" {
		return errors.New(was)
	}
	return nil
}

// snapshot makes one where the log has grown enough, or the members have changed.
func (m *Machine) snapshot() error {
	if m.applied < m.snapped+2*uint64(m.opt.Keep) && !m.joined || m.applied == m.snapped {
		return nil
	}
	m.joined = false
	data, err := cbor.Marshal(contents{m.state.Snapshot(), m.done, m.council, m.holds.All()})
	if err != nil {
		return err
	}
	s, err := m.mem.CreateSnapshot(m.applied, m.conf, data)
	if err != nil {
		return err
	}
	m.snapped = m.applied
	m.cut = Save{Snapshot: s}
	if first, _ := m.mem.FirstIndex(); m.applied > first+uint64(m.opt.Keep) {
		m.cut.Compact = m.applied - uint64(m.opt.Keep)
		return m.mem.Compact(m.cut.Compact)
	}
	return nil
}

// silent is raft's log, which nobody reads: what it says of a member a Status says too.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}

// What raft can't go on after ends the process: its disk or its program is broken.
func (silent) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Council is the council that the member belongs to; 0: none yet. Messages of another one must not reach
// Step: two councils know nothing of each other's terms.
func (m *Machine) Council() uint64 { return m.council }

// Status is what a person is told.
type Status struct {
	ID       uint64
	Council  uint64
	Leader   uint64 // 0: none is known
	Term     uint64
	Voters   []uint64
	Learners []uint64
	Applied  uint64
	Age      int // ticks since a leader was heard; what State tells may be older than that, never newer
}

// Status tells how the member stands.
func (m *Machine) Status() Status {
	s := m.node.BasicStatus()
	return Status{ID: m.opt.ID, Council: m.council, Leader: s.Lead, Term: s.GetTerm(), Voters: slices.Clone(m.conf.GetVoters()), Learners: slices.Clone(m.conf.GetLearners()),
		Applied: m.applied, Age: m.ticks - m.heard}
}

// Register is who holds promises for whom. It is the machine's: to read, and not for long.
func (m *Machine) Register() *promises.Register { return m.holds }

// State is what the member has applied. It is the machine's: to read, and not for long.
func (m *Machine) State() *work.State { return m.state }
