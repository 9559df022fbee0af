package replication

import (
	"time"
)

//go:generate msgp -file types.go -o types_gen.go -tests=false

//msgp:ignore Options Output Envelope Answer Status App FailureTolerance Result Role PersistentState Write

// ID is the identity (incarnation) that a machine draws when its disk is empty: 32 hex digits. A machine that lost its
// disk, or whose identity was removed from the members, draws a new one, so what an older identity promised binds
// nobody else.
type ID string

// Member is one machine of the core.
type Member struct {
	ID     ID     `msg:"i"`
	Addr   string `msg:"a"` // host:port of the core's own traffic
	Zone   string `msg:"z"`
	Region string `msg:"r"`
}

// View is one decided epoch. View 0 is the first start: its members are the seeds, known by address alone, and there is
// no primary. Members are sorted by address and hold the primary and all backups.
type View struct {
	Epoch   uint64   `msg:"e"`
	Members []Member `msg:"m"`
	Primary ID       `msg:"p"`
	Backups []ID     `msg:"b"`
}

// Ballot is a proposal number. Ballots order the proposals for one epoch by number, then by the proposer's identity.
type Ballot struct {
	N  uint64 `msg:"n"`
	ID ID     `msg:"i"`
}

// Change is one write to the record. Digest chains all changes up to it, so that equal digests at one Seq mean equal
// records.
type Change struct {
	Seq    uint64 `msg:"s"`
	Digest uint64 `msg:"d"`
	Body   []byte `msg:"b"`
}

// Kind says what a Message is.
type Kind uint8

// The kinds of messages.
const (
	// KindHello asks for the decided view; with Join, to become a member.
	KindHello Kind = iota + 1
	// KindView carries the sender's decided view.
	KindView
	// KindHeartbeat is sent by the primary to all members; Round is to be confirmed.
	KindHeartbeat
	// KindHeartbeatAck is sent to the primary: where the sender's record ends.
	KindHeartbeatAck
	// KindAppend is sent by the primary to a backup: changes after (Seq, Digest).
	KindAppend
	// KindSnapshot is sent by the primary to a backup: a chunk of the complete record at (Seq, Digest).
	KindSnapshot
	// KindStage is sent by a proposer to a coming backup before its view is proposed: a chunk of the complete record.
	KindStage
	// KindStaged answers KindStage and KindStageChanges: the complete record is on disk.
	KindStaged
	// KindPrepare is sent by a proposer to the members of Epoch: promise Ballot for Epoch+1.
	KindPrepare
	// KindPromise answers KindPrepare, with what was accepted.
	KindPromise
	// KindAccept is sent by a proposer to the members of Epoch: accept Value for Epoch+1.
	KindAccept
	// KindAccepted answers KindAccept.
	KindAccepted
	// KindReject answers KindPrepare and KindAccept: Ballot, which is higher, was promised.
	KindReject
	// KindHandover is sent by a departing primary to a backup in sync: take over.
	KindHandover
	// KindTransferAck answers a chunk of a record: what the sender has of it; and KindStageChanges: where its record
	// ends.
	KindTransferAck
	// KindStageChanges is sent by a proposer to a coming backup: changes after (Seq, Digest); with those up to Total
	// its record is complete.
	KindStageChanges
)

// Message is all traffic between machines of the core. From is the sender; From.ID is its identity. Epoch is the
// sender's decided view. Which of the other fields count depends on Kind. A Message holds one chunk of a record, or
// changes of the size of one, and the members of two views.
type Message struct {
	Kind        Kind     `msg:"k"`
	From        Member   `msg:"f"`
	Epoch       uint64   `msg:"e"`
	Join        bool     `msg:"j,omitempty"`
	Founder     bool     `msg:"o,omitempty"` // the sender is a seed of a first start that still goes on
	View        *View    `msg:"v,omitempty"` // the sender's decided view
	Ballot      Ballot   `msg:"b"`
	Accepted    Ballot   `msg:"a"`
	Value       *View    `msg:"w,omitempty"`
	Round       uint64   `msg:"r,omitempty"` // of heartbeats that confirm reads; 0: none
	Seq         uint64   `msg:"s,omitempty"`
	Digest      uint64   `msg:"d,omitempty"`
	Committed   uint64   `msg:"c,omitempty"`
	Stopped     bool     `msg:"x,omitempty"` // the sender answers nothing of Epoch any more
	InSync      bool     `msg:"p,omitempty"` // the sender's record is a prefix of its primary's
	HoldsRecord bool     `msg:"h,omitempty"` // the sender holds the record of Epoch
	Leaving     bool     `msg:"z,omitempty"` // the sender is departing
	Release     bool     `msg:"q,omitempty"` // heartbeat: the receiver, which is departing, has no role left
	Changes     []Change `msg:"l,omitempty"`
	Body        []byte   `msg:"y,omitempty"`
	Offset      uint64   `msg:"g,omitempty"` // of Body in the record; in KindTransferAck, how much is there
	Total       uint64   `msg:"t,omitempty"` // bytes of the record; in KindStageChanges, its last Seq
	Checksum    uint64   `msg:"u,omitempty"` // xxhash of the record's bytes, which also names a transfer
}

// Identity says which machine a disk belongs to.
type Identity struct {
	ID      ID     `msg:"i"`
	Addr    string `msg:"a"`
	Founder bool   `msg:"f"` // took part in the first start: votes in view 0 as its address
	Joined  bool   `msg:"j"` // was a member of some view
}

// Vote is what a machine promised and accepted for the epoch after its decided view.
type Vote struct {
	Promised Ballot `msg:"p"`
	Accepted Ballot `msg:"a"`
	Value    *View  `msg:"v"` // what was accepted, nil when nothing
}

// ReplicaState says what the record on this disk is good for. A change of it is on disk before any message that rests
// on it is sent.
type ReplicaState struct {
	// RecordEpoch is the epoch for which the record holds all that was committed before it.
	RecordEpoch uint64 `msg:"r"`
	// InSyncEpoch is the epoch in which the record was found to be a prefix of its primary's; from then on in that
	// epoch nothing of it is given up.
	InSyncEpoch uint64 `msg:"s"`
	// StoppedEpoch is the epoch of which nothing is answered any more, plus 1 (0: none).
	StoppedEpoch uint64 `msg:"x"`
	// Committed is a lower bound of the commit index.
	Committed uint64 `msg:"c"`
}

// Snapshot is the complete record at Seq.
type Snapshot struct {
	Seq    uint64 `msg:"s"`
	Digest uint64 `msg:"d"`
	Body   []byte `msg:"b"`
}

// PersistentState is what the disk held. Its zero value is an empty disk.
type PersistentState struct {
	Identity Identity
	View     View
	Vote     Vote
	Replica  ReplicaState
	Snapshot *Snapshot // nil: no snapshot, the changes start at 1
	Changes  []Change  // those after the snapshot, without a gap
	DiskLost bool      // the disk was not empty but unreadable: counts as empty, never as a first start
}

// Write is what must be on disk, synced, before Send and Answer of the same Output are carried out. Fields that are nil
// stay as they are on disk. All of it goes into one transaction; carrying it out twice equals once.
type Write struct {
	Reset    bool // first drop all that was there
	Identity *Identity
	View     *View
	Vote     *Vote
	Replica  *ReplicaState
	Snapshot *Snapshot // replaces the older snapshot and all changes
	Changes  []Change  // appended, after Snapshot if there is one; a Seq that is there already is replaced
}

// Empty reports whether there is nothing to write.
func (w *Write) Empty() bool {
	return w == nil || !w.Reset && w.Identity == nil && w.View == nil && w.Vote == nil && w.Replica == nil &&
		w.Snapshot == nil && len(w.Changes) == 0
}

// Envelope is a message to send to an address. Messages may be lost, doubled or overtake each other.
type Envelope struct {
	To  string
	Msg Message
}

// Result is the end of a Propose or Read.
type Result uint8

// The results.
const (
	Committed   Result = iota + 1 // Propose: on the disks of the primary and of all its backups
	Confirmed                     // Read: the record up to Answer.Seq has all that was answered before
	NotPrimary                    // not taken: this machine isn't the primary; Status tells who may be
	LostPrimacy                   // Propose: another is primary; the change may be committed or not. Read: ask again
	Busy                          // not taken: too many wait
)

// Answer ends the Propose or Read with its token.
type Answer struct {
	Token  uint64
	Result Result
	Seq    uint64 // the change's own number, or the number that the read may show
}

// Output is what an input led to. It is carried out in this order: Write, then Send and Answer; outputs in the order of
// their inputs. When the write fails, it is tried again before anything else is done.
type Output struct {
	Write         *Write // nil: nothing to write
	Send          []Envelope
	Answer        []Answer
	Committed     uint64 // all changes up to this Seq are committed, as far as this machine knows
	StatusChanged bool   // role, view or readiness changed: see Status
}

// App is the record's content, opaque to replication. Calls come from within the Machine's inputs. Apply comes before a
// change is committed; Output.Committed tells later how far that is true. Restore replaces everything, also changes
// that were applied and never became committed.
type App interface {
	Apply(seq uint64, body []byte)         // deterministic; seq counts up by one
	Snapshot() []byte                      // all that was applied
	Restore(seq uint64, body []byte) error // seq 0 with an empty body is the empty record
}

// FailureTolerance says how many machines, or zones, or regions may be lost at once.
type FailureTolerance struct{ Nodes, Zones, Regions int }

// Options of a Machine. All durations must be above 0; there are no defaults for them.
type Options struct {
	// Self is this machine, without its ID.
	Self Member
	// Tolerance is the loss that the core must survive. It decides how many backups a view has.
	Tolerance FailureTolerance
	// Seeds are addresses to ask for the decided view; with Bootstrap, the members of view 0.
	Seeds []string
	// Bootstrap is for the first start of the whole system. It counts only when the disk is empty and Self.Addr is a
	// seed.
	Bootstrap bool

	// HeartbeatInterval is the time from one heartbeat of the primary to the next, and between repeats.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a primary or backup may be unresponsive before it counts as lost; some heartbeats
	// long.
	ElectionTimeout time.Duration
	// ElectionStagger is how much longer a backup waits for each rank before it proposes a view.
	ElectionStagger time.Duration
	// WriteTimeout is how long a backup may owe the acknowledgement of a change before it is replaced.
	WriteTimeout time.Duration
	// MemberTimeout is how long a member may be unresponsive before it is removed, if the others are better off so.
	MemberTimeout time.Duration

	// SnapshotBytes bounds the bodies of the changes on disk: beyond it a snapshot replaces them. 0: 1 MiB.
	SnapshotBytes int
	// ChunkBytes bounds the chunks of a record, and the changes in one message. 0: 64 KiB.
	ChunkBytes int
	// Rand gives identities and back-off. Its numbers must differ between machines and starts.
	Rand func() uint64
}

// Role is a machine's role in the view that it knows.
type Role uint8

// The roles.
const (
	NonMember Role = iota // not a member, or not yet
	Witness               // member that only votes; it may be a learner of the record
	Backup                // member with the record, whose answer each write and read needs
	Primary               // member with the record that answers writes and reads
)

// String is the role's name in lower case, "outside" for NonMember, as the status page has it.
func (r Role) String() string {
	switch r {
	case Witness:
		return "witness"
	case Backup:
		return "backup"
	case Primary:
		return "primary"
	}
	return "outside"
}

// Status is a machine's state as others may see it.
type Status struct {
	ID          ID
	Role        Role
	View        View   // the newest decided view that is known; shared: not to be changed
	Epoch       uint64 // of View
	Committed   uint64 // up to this Seq changes are known to be committed
	Seq         uint64 // newest change in the record, committed or not
	PrimaryAddr string // "" when unknown
	// Ready means: as primary, that all backups are in sync, and writes and reads are answered. Else, that this machine
	// is a member of the view whose election timer has not run out: the primary's heartbeats restart it, and so do the
	// start of the process, a new view, another's ballot and the end of a freeze.
	Ready bool
	// Released means that after Leave no other machine would miss this one: its process may end.
	Released bool
}
