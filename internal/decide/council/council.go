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
	ID              uint64 // of its disk: drawn when that is made, so that a lost disk is another member
	Seed            uint64
	ElectionTicks   int // ticks without a leader after which a member stands; up to twice that, by the seed
	RetainedEntries int // entries that stay behind a snapshot for those who lag
	Bounds          work.Bounds
}

// DurableUpdate is what must be durable before anything of the same Ready is sent.
type DurableUpdate struct {
	HardState *pb.HardState // nil: as it was
	Snapshot  *pb.Snapshot  // nil: none
	CompactTo uint64        // with a Snapshot: entries up to that one go; it is at the most the snapshot's
	FromPeer  bool          // with a Snapshot: it came from another, and all entries go
	Entries   []*pb.Entry   // take the place of all from the first of them on
}

// StoredState is what a disk holds.
type StoredState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
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

// appliedEntry is an entry that was applied, and what became of it; every member keeps the same last ones.
type appliedEntry struct {
	Token uint64
	Err   string // empty: it was taken
}

// keptResults is how many of them are kept. Who proposes again after so many others must look first.
const keptResults = 4096

// snapshotData is what a snapshot holds.
type snapshotData struct {
	Work    work.Snapshot
	Done    []appliedEntry // the oldest first
	Council uint64         // drawn when it was founded
	Holds   []promises.Hold
}

// Member is one member.
type Member struct {
	options            Options
	rng                *rand.Rand
	node               *raft.RawNode
	storage            *raft.MemoryStorage
	state              *work.State
	conf               *pb.ConfState
	appliedIndex       uint64
	snapshotIndex      uint64
	ticks              int
	lastLeaderTick     int // the tick at which a leader was heard, or it led
	ticksWithoutLeader int // ticks since then, or since it stood
	electionTimeout    int // ticks until it stands
	pendingReady       *raft.Ready
	pendingSnapshot    DurableUpdate  // of a snapshot that was made here, for the next Ready
	lastActive         map[uint64]int // as it leads: the tick at which each other member was last known to be active
	membersChanged     bool           // members have changed since the last snapshot: who comes in can't be sent an older one
	wantedMembers      []uint64
	councilID          uint64
	register           *promises.Register
	applied            []appliedEntry // the last that were applied, the oldest first
	resultByToken      map[uint64]string
}

// Bootstrap is the disk of the member that founds a council: it is the only one, until it takes others in.
// It is done once in an installation's life, by a person; a council that is founded since all disks of the one
// before were lost begins its orders beyond that one's, by the time in seconds.
func Bootstrap(id, council uint64, now int64) StoredState {
	first := work.New(work.DefaultBounds()).Snapshot()
	first.ExclusionVersion = uint64(max(now, 0)) << 20
	data, _ := cbor.Marshal(snapshotData{Work: first, Council: council}) // values only
	return StoredState{Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
		ConfState: &pb.ConfState{Voters: []uint64{id}}}}, HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}}
}

// New makes a member from what its disk holds; nothing: it waits until a council takes it in. An
// error says what on the disk makes no sense.
func New(o Options, disk StoredState) (*Member, error) {
	if o.ID == 0 || o.ElectionTicks < 5 || o.RetainedEntries < 1 {
		return nil, fmt.Errorf("council: id, election or keep: %d, %d, %d", o.ID, o.ElectionTicks, o.RetainedEntries)
	}
	m := &Member{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x636f756e63696c)), storage: raft.NewMemoryStorage(), state: work.New(o.Bounds), conf: &pb.ConfState{}, resultByToken: map[uint64]string{}, register: promises.NewRegister()}
	if disk.Snapshot != nil {
		if err := m.storage.ApplySnapshot(disk.Snapshot); err != nil {
			return nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := m.restore(disk.Snapshot); err != nil {
			return nil, err
		}
	}
	if disk.HardState != nil {
		if err := m.storage.SetHardState(disk.HardState); err != nil {
			return nil, fmt.Errorf("council: votes: %w", err)
		}
	}
	next, _ := m.storage.LastIndex() // of memory: there is no error
	for _, e := range disk.Entries {
		if e.GetIndex() > next+1 {
			return nil, fmt.Errorf("council: log: entry %d follows %d", e.GetIndex(), next)
		}
		next = e.GetIndex()
	}
	if err := m.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	if last, _ := m.storage.LastIndex(); disk.HardState.GetCommit() > last {
		return nil, fmt.Errorf("council: log: ends at %d, and %d is agreed on", last, disk.HardState.GetCommit())
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: o.ElectionTicks, HeartbeatTick: 1, Storage: m.storage, Applied: m.appliedIndex,
		MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 1 << 20, CheckQuorum: true, PreVote: true,
		DisableProposalForwarding: true, Logger: discardLogger{}})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	m.resetElectionTimeout()
	return m, nil
}

// resetElectionTimeout draws how long it waits for a leader before it stands itself.
func (m *Member) resetElectionTimeout() {
	m.ticksWithoutLeader, m.electionTimeout = 0, m.options.ElectionTicks+m.rng.IntN(m.options.ElectionTicks)
}

func (m *Member) restore(s *pb.Snapshot) error {
	var n snapshotData
	if err := cbor.Unmarshal(s.GetData(), &n); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	state, err := work.Restore(m.options.Bounds, n.Work)
	if err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	if m.register, err = promises.RestoreRegister(n.Holds); err != nil {
		return fmt.Errorf("council: snapshot: %w", err)
	}
	m.applied, m.resultByToken, m.councilID = n.Done, map[uint64]string{}, n.Council
	for _, d := range m.applied {
		m.resultByToken[d.Token] = d.Err
	}
	m.state, m.conf = state, s.GetMetadata().GetConfState()
	m.appliedIndex, m.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	return nil
}

func (m *Member) isLeader() bool { return m.node.BasicStatus().RaftState == raft.StateLeader }

// Tick is the passing of a tick.
func (m *Member) Tick() {
	m.ticks++
	if m.isLeader() {
		m.recordActive() // before raft, at its own pace, forgets it
		m.node.Tick()
		m.ticksWithoutLeader, m.lastLeaderTick = 0, m.ticks
		if m.changeMembers(); !m.isLeader() { // it has led nobody for as long as that
			m.lastLeaderTick -= m.options.ElectionTicks
		}
		return
	}
	m.lastActive = nil
	// Raft's own clock draws from no seed: it only counts here, and standing is this machine's.
	m.node.TickQuiesced()
	if m.ticksWithoutLeader++; m.ticksWithoutLeader >= m.electionTimeout {
		m.resetElectionTimeout()
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
func (m *Member) Step(data []byte) error {
	var msg pb.Message
	if err := proto.Unmarshal(data, &msg); err != nil {
		return fmt.Errorf("council: message: %w", err)
	}
	if msg.GetTo() != m.options.ID {
		return fmt.Errorf("council: message: for %x", msg.GetTo())
	}
	switch msg.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if msg.GetTerm() >= m.node.BasicStatus().GetTerm() {
			m.ticksWithoutLeader, m.lastLeaderTick = 0, m.ticks
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
func (m *Member) Propose(token uint64, e work.Entry) error {
	return m.propose(proposal{Token: token, Entry: e})
}

// ProposePromise does so with an entry of the register of promises, at a time of its proposer's in seconds.
func (m *Member) ProposePromise(token uint64, now int64, e *promises.Entry) error {
	return m.propose(proposal{Token: token, Entry: work.Entry{At: now}, Hold: e})
}

func (m *Member) propose(p proposal) error {
	if p.Token == 0 {
		return errors.New("council: an entry without a token")
	}
	if !m.isLeader() {
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

// SetMembers names the members that the council should have. The leader goes there one safe step at a time.
func (m *Member) SetMembers(ids []uint64) { m.wantedMembers = slices.Clone(ids) }

// recordActive notes which members raft has heard of.
func (m *Member) recordActive() {
	if m.lastActive == nil {
		m.lastActive = map[uint64]int{}
	}
	for id, p := range m.node.Status().Progress {
		if p.RecentActive {
			m.lastActive[id] = m.ticks
		}
	}
}

// isActive tells whether a member was heard of lately. Raft's own word is of no use for that by itself: once in Election ticks it
// forgets everybody, so that for a moment all would seem gone.
func (m *Member) isActive(id uint64) bool {
	at, known := m.lastActive[id]
	return id == m.options.ID || known && m.ticks-at <= 2*m.options.ElectionTicks
}

// changeMembers is the next step towards the members that are wanted: take one in to learn, let it vote once
// it has caught up, let one go that is not wanted. Never two at once, and nobody goes before enough
// others vote.
func (m *Member) changeMembers() {
	// Raft forgets who was active once in Election ticks: at the same pace it could be asked just after
	// that each time, and nobody would ever be taken in.
	if len(m.wantedMembers) == 0 || m.ticks%(m.options.ElectionTicks/2+1) != 0 {
		return
	}
	change := func(t pb.ConfChangeType, id uint64) {
		// One that is under way turns this one down; it comes again.
		_ = m.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{{Type: t.Enum(), NodeId: proto.Uint64(id)}}})
	}
	status := m.node.Status()
	complete := true // all that are wanted vote
	for _, id := range m.wantedMembers {
		switch p, known := status.Progress[id]; {
		case !known:
			change(pb.ConfChangeAddLearnerNode, id)
			return
		case !p.IsLearner:
		case m.isActive(id) && p.Match > 0 && p.Match+uint64(m.options.RetainedEntries)/2 >= status.GetCommit():
			change(pb.ConfChangeAddNode, id)
			return
		case m.isActive(id):
			return // it catches up, and nobody goes before it votes
		default:
			complete = false
		}
	}
	for _, id := range append(slices.Clone(m.conf.GetLearners()), m.conf.GetVoters()...) {
		if !slices.Contains(m.wantedMembers, id) && id != m.options.ID {
			if m.canRemove(id, complete) {
				change(pb.ConfChangeRemoveNode, id)
			}
			return
		}
	}
	if !slices.Contains(m.wantedMembers, m.options.ID) { // its own machine is to go: another leads from here on
		for _, id := range m.conf.GetVoters() {
			if id != m.options.ID && status.Progress[id].RecentActive {
				m.node.TransferLeader(id)
				return
			}
		}
	}
}

// canRemove tells whether a member that is not wanted may go: who only learns may at any time; one that votes and is active stays
// until all that are wanted vote; and the rest has to be able to go on without it.
func (m *Member) canRemove(id uint64, complete bool) bool {
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
func (m *Member) Resign() {
	if !m.isLeader() {
		return
	}
	status := m.node.Status()
	for _, id := range m.conf.GetVoters() {
		if p := status.Progress[id]; id != m.options.ID && p.RecentActive && p.Match >= status.GetCommit() {
			m.node.TransferLeader(id)
			return
		}
	}
}

// Ready is what is to be made durable and then sent; ok: there is something. Nothing else may be put in
// before Advance.
func (m *Member) Ready() (save DurableUpdate, send []Message, ok bool) {
	if m.pendingReady != nil {
		return save, nil, false
	}
	save, m.pendingSnapshot = m.pendingSnapshot, DurableUpdate{}
	if !m.node.HasReady() {
		return save, nil, save.Snapshot != nil
	}
	r := m.node.Ready()
	m.pendingReady = &r
	save.HardState, save.Entries = r.HardState, r.Entries
	if !raft.IsEmptySnap(r.Snapshot) {
		save.Snapshot, save.FromPeer, save.CompactTo = r.Snapshot, true, 0
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
func (m *Member) Advance() ([]Result, error) {
	r := m.pendingReady
	if m.pendingReady = nil; r == nil {
		return nil, nil
	}
	if !raft.IsEmptySnap(r.Snapshot) {
		if err := m.storage.ApplySnapshot(r.Snapshot); err != nil {
			return nil, err
		}
		if err := m.restore(r.Snapshot); err != nil {
			return nil, err
		}
	}
	if r.HardState != nil {
		if err := m.storage.SetHardState(r.HardState); err != nil {
			return nil, err
		}
	}
	if err := m.storage.Append(r.Entries); err != nil {
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

func (m *Member) apply(e *pb.Entry) ([]Result, error) {
	m.appliedIndex = e.GetIndex()
	switch {
	case e.GetType() == pb.EntryConfChangeV2:
		var c pb.ConfChangeV2
		if err := proto.Unmarshal(e.GetData(), &c); err != nil {
			return nil, err
		}
		m.conf, m.membersChanged = m.node.ApplyConfChange(&c), true
	case e.GetType() != pb.EntryNormal:
		return nil, fmt.Errorf("council: entry %d: a change of members of another form", e.GetIndex())
	case len(e.GetData()) > 0:
		var p proposal
		if err := cbor.Unmarshal(e.GetData(), &p); err != nil {
			return nil, fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
		}
		return []Result{{p.Token, m.applyOnce(&p)}}, nil
	}
	return nil, nil
}

// applyOnce applies an entry, unless it was applied before: then its result is the one that it had.
func (m *Member) applyOnce(p *proposal) error {
	was, again := m.resultByToken[p.Token]
	if !again {
		var err error
		if p.Hold != nil {
			err = m.register.Apply(p.Entry.At, p.Hold)
		} else {
			err = m.state.Apply(p.Entry)
		}
		if err != nil {
			was = err.Error()
		}
		m.resultByToken[p.Token] = was
		m.applied = append(m.applied, appliedEntry{p.Token, was})
		if len(m.applied) > keptResults {
			delete(m.resultByToken, m.applied[0].Token)
			m.applied = m.applied[1:]
		}
	}
	if was != "" {
		return errors.New(was)
	}
	return nil
}

// snapshot makes one where the log has grown enough, or the members have changed.
func (m *Member) snapshot() error {
	if m.appliedIndex < m.snapshotIndex+2*uint64(m.options.RetainedEntries) && !m.membersChanged || m.appliedIndex == m.snapshotIndex {
		return nil
	}
	m.membersChanged = false
	data, err := cbor.Marshal(snapshotData{m.state.Snapshot(), m.applied, m.councilID, m.register.All()})
	if err != nil {
		return err
	}
	s, err := m.storage.CreateSnapshot(m.appliedIndex, m.conf, data)
	if err != nil {
		return err
	}
	m.snapshotIndex = m.appliedIndex
	m.pendingSnapshot = DurableUpdate{Snapshot: s}
	if first, _ := m.storage.FirstIndex(); m.appliedIndex > first+uint64(m.options.RetainedEntries) {
		m.pendingSnapshot.CompactTo = m.appliedIndex - uint64(m.options.RetainedEntries)
		return m.storage.Compact(m.pendingSnapshot.CompactTo)
	}
	return nil
}

// discardLogger is raft's log, which nobody reads: what it says of a member a Status says too.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}

// What raft can't go on after ends the process: its disk or its program is broken.
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Council is the council that the member belongs to; 0: none yet. Messages of another one must not reach
// Step: two councils know nothing of each other's terms.
func (m *Member) Council() uint64 { return m.councilID }

// Status is what a person is told.
type Status struct {
	ID        uint64
	Council   uint64
	Leader    uint64 // 0: none is known
	Term      uint64
	Voters    []uint64
	Learners  []uint64
	Applied   uint64
	LeaderAge int // ticks since a leader was heard; what State tells may be older than that, never newer
}

// Status tells how the member stands.
func (m *Member) Status() Status {
	s := m.node.BasicStatus()
	return Status{ID: m.options.ID, Council: m.councilID, Leader: s.Lead, Term: s.GetTerm(), Voters: slices.Clone(m.conf.GetVoters()), Learners: slices.Clone(m.conf.GetLearners()),
		Applied: m.appliedIndex, LeaderAge: m.ticks - m.lastLeaderTick}
}

// Register is who holds promises for whom. It is the machine's: to read, and not for long.
func (m *Member) Register() *promises.Register { return m.register }

// State is what the member has applied. It is the machine's: to read, and not for long.
func (m *Member) State() *work.State { return m.state }
