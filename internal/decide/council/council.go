// Package council replicates the log of package work among the three or five agents that are members of the
// council. It drives etcd's raft library, which does no I/O, and adds election time-outs that are drawn from
// a seed, the application of the log to the work state and the register of promises, snapshots, and
// membership changes one step at a time. docs/design/work.md explains the design.
//
// The package does no I/O, reads no clock and starts no goroutines. After each input the driver calls
// Ready, makes the DurableUpdate durable, sends the messages, and calls Advance, until Ready returns
// nothing. A Member isn't safe for concurrent use: only its driver's goroutine may call it.
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

// Options configures a Member. A tick is the interval at which the driver calls Tick, about a fifth of the
// time within which a new leader is to be elected.
type Options struct {
	ID              uint64      // drawn with a new disk, so that a member that lost its disk comes back as another
	Seed            uint64      // of the election time-outs
	ElectionTicks   int         // least ticks without a leader before a member campaigns; the most is twice that
	RetainedEntries int         // log entries that are kept before a snapshot, for lagging members
	Bounds          work.Bounds // until a fleet state has others
}

// DurableUpdate must be made durable before the messages of the same Ready are sent.
type DurableUpdate struct {
	HardState *pb.HardState // nil: unchanged
	Snapshot  *pb.Snapshot  // nil: none
	CompactTo uint64        // with a Snapshot: entries up to this index are removed; at most the snapshot's index
	FromPeer  bool          // with a Snapshot: it came from another member, and all entries are removed
	Entries   []*pb.Entry   // replace all stored entries from the first index on
}

// StoredState is the durable state of a member.
type StoredState struct {
	HardState *pb.HardState
	Snapshot  *pb.Snapshot
	Entries   []*pb.Entry
}

// Message is a message to another member.
type Message struct {
	To   uint64
	Data []byte
}

// Result is the result of an entry, which is the same on every member that applies it.
type Result struct {
	Token uint64
	Err   error
}

// Errors of Propose and ProposePromise.
var (
	ErrNotLeader = errors.New("another member leads, or none does")
	ErrBusy      = errors.New("too many uncommitted proposals")
)

// proposal is a log entry with the token that identifies it.
type proposal struct {
	Token uint64
	Entry work.Entry
	Hold  *promises.Entry // applied in place of Entry, at Entry.At; nil: none
}

// appliedEntry is the result of an applied entry. Every member keeps the same latest ones.
type appliedEntry struct {
	Token uint64
	Err   string // empty: it was accepted
}

// keptResults is the number of results that are kept. A proposer that retries after so many other entries
// must check first whether its entry was applied.
const keptResults = 4096

// snapshotData is the content of a snapshot.
type snapshotData struct {
	Work    work.Snapshot
	Done    []appliedEntry // the oldest first
	Council uint64         // the council's ID, chosen at Bootstrap
	Holds   []promises.ReplicaSet
}

// Member is one member of the council.
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
	lastLeaderTick     int // the last tick with a message of a leader, or as leader
	ticksWithoutLeader int // ticks since the last message of a leader, or since its own campaign
	electionTimeout    int // ticks without a leader until it campaigns
	pendingReady       *raft.Ready
	pendingSnapshot    DurableUpdate  // of a local snapshot, for the next Ready
	lastActive         map[uint64]int // while leading: last tick at which raft reported a member active
	membersChanged     bool           // since the last snapshot: a new member can't be sent an older one
	wantedMembers      []uint64
	councilID          uint64
	register           *promises.Register
	applied            []appliedEntry // the latest results, the oldest first
	resultByToken      map[uint64]string
}

// Bootstrap returns the stored state of the first member of a new council, which is its only member until
// others are added. An operator bootstraps a council once per installation. If a new council replaces one
// whose disks were all lost, its exclusion list must have a higher version than that one's had; the first
// version is therefore derived from now, in seconds.
func Bootstrap(id, council uint64, now int64) StoredState {
	first := work.New(work.DefaultBounds()).Snapshot()
	first.ExclusionVersion = uint64(max(now, 0)) << 20
	data, _ := cbor.Marshal(snapshotData{Work: first, Council: council}) // values only
	return StoredState{
		Snapshot: &pb.Snapshot{Data: data, Metadata: &pb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1),
			ConfState: &pb.ConfState{Voters: []uint64{id}}}},
		HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)},
	}
}

// New returns a member with the stored state of its disk. With an empty state it waits until a council adds
// it. It returns an error if the options or the stored state are invalid.
func New(o Options, disk StoredState) (*Member, error) {
	if o.ID == 0 || o.ElectionTicks < 5 || o.RetainedEntries < 1 {
		return nil, fmt.Errorf("council: id %d, election ticks %d or retained entries %d: below 1, 5 or 1",
			o.ID, o.ElectionTicks, o.RetainedEntries)
	}
	m := &Member{options: o, rng: rand.New(rand.NewPCG(o.Seed, 0x636f756e63696c)),
		storage: raft.NewMemoryStorage(), state: work.New(o.Bounds), conf: &pb.ConfState{},
		resultByToken: map[uint64]string{}, register: promises.NewRegister()}
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
			return nil, fmt.Errorf("council: hard state: %w", err)
		}
	}
	next, _ := m.storage.LastIndex() // in memory, so it never fails
	for _, e := range disk.Entries {
		if e.GetIndex() > next+1 {
			return nil, fmt.Errorf("council: log: entry %d follows %d: entries are missing", e.GetIndex(), next)
		}
		next = e.GetIndex()
	}
	if err := m.storage.Append(disk.Entries); err != nil {
		return nil, fmt.Errorf("council: log: %w", err)
	}
	if last, _ := m.storage.LastIndex(); disk.HardState.GetCommit() > last {
		return nil, fmt.Errorf("council: log: ends at %d before the committed index %d",
			last, disk.HardState.GetCommit())
	}
	var err error
	m.node, err = raft.NewRawNode(&raft.Config{ID: o.ID, ElectionTick: o.ElectionTicks, HeartbeatTick: 1,
		Storage: m.storage, Applied: m.appliedIndex, MaxSizePerMsg: 16 << 10, MaxInflightMsgs: 64,
		MaxUncommittedEntriesSize: 1 << 20,
		CheckQuorum:               true, PreVote: true,
		DisableProposalForwarding: true, Logger: discardLogger{}})
	if err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	m.resetElectionTimeout()
	return m, nil
}

// resetElectionTimeout draws the next election time-out and restarts its count.
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

// Tick advances the member's clock by one tick.
func (m *Member) Tick() {
	m.ticks++
	if m.isLeader() {
		m.recordActive() // before raft resets its activity flags
		m.node.Tick()
		m.ticksWithoutLeader, m.lastLeaderTick = 0, m.ticks
		if m.changeMembers(); !m.isLeader() { // raft stepped down: it had no quorum for an election time-out
			m.lastLeaderTick -= m.options.ElectionTicks
		}
		return
	}
	m.lastActive = nil
	// Raft's election time-out can't be seeded. TickQuiesced only counts ticks, and the campaign starts here.
	m.node.TickQuiesced()
	if m.ticksWithoutLeader++; m.ticksWithoutLeader >= m.electionTimeout {
		m.resetElectionTimeout()
		_ = m.node.Campaign() // a member that may not campaign stays a follower
	}
}

// Sender returns the ID of the member that a message claims to be from.
func Sender(data []byte) (uint64, error) {
	var msg pb.Message
	if err := proto.Unmarshal(data, &msg); err != nil {
		return 0, fmt.Errorf("council: message: %w", err)
	}
	return msg.GetFrom(), nil
}

// Step processes a message of another member. An invalid message returns an error and changes nothing.
func (m *Member) Step(data []byte) error {
	var msg pb.Message
	if err := proto.Unmarshal(data, &msg); err != nil {
		return fmt.Errorf("council: message: %w", err)
	}
	if msg.GetTo() != m.options.ID {
		return fmt.Errorf("council: message: addressed to member %x", msg.GetTo())
	}
	switch msg.GetType() {
	case pb.MsgApp, pb.MsgHeartbeat, pb.MsgSnap:
		if msg.GetTerm() >= m.node.BasicStatus().GetTerm() {
			m.ticksWithoutLeader, m.lastLeaderTick = 0, m.ticks
		}
	case pb.MsgHup, pb.MsgBeat, pb.MsgUnreachable, pb.MsgSnapStatus, pb.MsgCheckQuorum,
		pb.MsgProp, pb.MsgReadIndex, pb.MsgTransferLeader, pb.MsgForgetLeader:
		return fmt.Errorf("council: message: %v is a local type, not valid from another member", msg.GetType())
	}
	if err := m.node.Step(&msg); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) {
		return fmt.Errorf("council: message: %w", err)
	}
	return nil
}

// Propose proposes an entry to the council. The token is drawn by the proposer and must not be 0. It is
// returned in a Result on every member that applies the entry, perhaps after a crash, perhaps never. A
// proposer without a result proposes again under the same token: the entry is applied once, with one result.
func (m *Member) Propose(token uint64, e work.Entry) error {
	return m.propose(proposal{Token: token, Entry: e})
}

// ProposePromise is like Propose for an entry of the register of promises; now is the proposer's time in
// seconds.
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

// SetMembers sets the members that the council should have. The leader changes the membership accordingly,
// one safe step at a time.
func (m *Member) SetMembers(ids []uint64) { m.wantedMembers = slices.Clone(ids) }

// recordActive records which members raft reports as active.
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

// isActive reports whether a member was active recently. Raft's RecentActive flag alone isn't enough: raft
// resets it for all members once in ElectionTicks ticks, so that for a moment all would seem inactive.
func (m *Member) isActive(id uint64) bool {
	at, known := m.lastActive[id]
	return id == m.options.ID || known && m.ticks-at <= 2*m.options.ElectionTicks
}

// changeMembers proposes the next step towards the wanted members: add one as a learner, promote a learner
// that has caught up, or remove a member that is not wanted. There is never more than one change at a time,
// and a voter is removed only when enough others vote.
func (m *Member) changeMembers() {
	// Raft resets its activity flags once in ElectionTicks ticks. Checks at the same interval could always
	// come just after that, and no member would ever be added.
	if len(m.wantedMembers) == 0 || m.ticks%(m.options.ElectionTicks/2+1) != 0 {
		return
	}
	change := func(t pb.ConfChangeType, id uint64) {
		// Raft rejects it while another change is pending; it is proposed again later.
		_ = m.node.ProposeConfChange(&pb.ConfChangeV2{Changes: []*pb.ConfChangeSingle{
			{Type: t.Enum(), NodeId: proto.Uint64(id)}}})
	}
	status := m.node.Status()
	complete := true // all wanted members vote
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
			return // it is catching up, and no voter is removed before it votes
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
	if !slices.Contains(m.wantedMembers, m.options.ID) { // the leader is to be removed: transfer leadership first
		for _, id := range m.conf.GetVoters() {
			if id != m.options.ID && status.Progress[id].RecentActive {
				m.node.TransferLeader(id)
				return
			}
		}
	}
}

// canRemove reports whether a member that is not wanted may be removed. A learner may at any time. An active
// voter stays until all wanted members vote. The active voters that remain must be a majority without it.
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

// Resign transfers leadership to an active, caught-up voter, if this member leads and there is one. It stays
// a member.
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

// Ready returns the update to make durable and the messages to send after that; ok reports whether there is
// anything. No other input may be given before Advance.
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
			continue // never: raft's messages can be encoded
		}
		send = append(send, Message{msg.GetTo(), data})
		if msg.GetType() == pb.MsgSnap {
			m.node.ReportSnapshot(msg.GetTo(), raft.SnapshotFinish) // if it is lost, raft's next probe finds out
		}
	}
	return save, send, true
}

// Advance confirms that the last Ready's update is durable and its messages are sent, and applies the
// committed entries. An error is a fault of this program or its disk: the member must stop.
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
		return nil, fmt.Errorf("council: entry %d: unsupported entry type", e.GetIndex())
	case len(e.GetData()) > 0:
		var p proposal
		if err := cbor.Unmarshal(e.GetData(), &p); err != nil {
			return nil, fmt.Errorf("council: entry %d: %w", e.GetIndex(), err)
		}
		return []Result{{p.Token, m.applyOnce(&p)}}, nil
	}
	return nil, nil
}

// applyOnce applies an entry. If its token was applied before, it returns the earlier result.
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

// snapshot takes a snapshot if the log has grown enough or the membership has changed.
func (m *Member) snapshot() error {
	if m.appliedIndex < m.snapshotIndex+2*uint64(m.options.RetainedEntries) && !m.membersChanged ||
		m.appliedIndex == m.snapshotIndex {
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

// discardLogger discards raft's log, whose information on a member is also in Status.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}

// Raft logs Fatal and Panic where it can't continue, because of a corrupt disk or a bug: the process ends.
func (discardLogger) Fatal(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
func (discardLogger) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }

// Council returns the ID of the council that the member belongs to; 0: none yet. The caller must not pass
// messages of another council to Step, since the terms of two councils are unrelated.
func (m *Member) Council() uint64 { return m.councilID }

// Status is the status of a member, for operators.
type Status struct {
	ID        uint64
	Council   uint64
	Leader    uint64 // 0: unknown
	Term      uint64
	Voters    []uint64
	Learners  []uint64
	Applied   uint64
	LeaderAge int // ticks since the last message of a leader; State may be older than that, never newer
}

// Status returns the status of the member.
func (m *Member) Status() Status {
	s := m.node.BasicStatus()
	return Status{ID: m.options.ID, Council: m.councilID, Leader: s.Lead, Term: s.GetTerm(),
		Voters: slices.Clone(m.conf.GetVoters()), Learners: slices.Clone(m.conf.GetLearners()),
		Applied: m.appliedIndex, LeaderAge: m.ticks - m.lastLeaderTick}
}

// Register returns the register of promises. It is the member's own: the caller may only read it, and only
// until the next call of a method that changes the member.
func (m *Member) Register() *promises.Register { return m.register }

// State returns the work state that the member has applied. It is the member's own: the caller may only read
// it, and only until the next call of a method that changes the member.
func (m *Member) State() *work.State { return m.state }
