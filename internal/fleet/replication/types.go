package replication

import (
	"time"
)

//go:generate msgp -file types.go -o types_gen.go -tests=false

//msgp:ignore Options Output Envelope Answer Status App FailureTolerance Result Role PersistentState Write

// ID is the identity (incarnation) that a machine generates when its disk is empty: 32 hex digits. A machine that lost
// its disk, or whose identity was removed from the members, generates a new one, so that promises of an older identity
// don't bind the new one.
type ID string

// Member is one machine of the core.
type Member struct {
	ID     ID     `msg:"i"`
	Addr   string `msg:"a"` // host:port of the core's own traffic
	Zone   string `msg:"z"`
	Region string `msg:"r"`
}

// View is the decided configuration of one epoch. View 0 is the bootstrap view: its members are the seeds, known by
// address alone, and it has no primary. Members are sorted by address and include the primary and all backups.
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

// Change is one write to the record. Digest chains all changes up to and including it, so that equal digests at one Seq
// mean equal records.
type Change struct {
	Seq    uint64 `msg:"s"`
	Digest uint64 `msg:"d"`
	Body   []byte `msg:"b"`
}

// Kind is the type of a Message.
type Kind uint8

// The kinds of messages.
const (
	// KindHello asks for the decided view; with Join, to become a member.
	KindHello Kind = iota + 1
	// KindView carries the sender's decided view.
	KindView
	// KindHeartbeat is sent by the primary to all members; the answers confirm read round Round.
	KindHeartbeat
	// KindHeartbeatAck is sent to the primary with the end of the sender's record.
	KindHeartbeatAck
	// KindAppend is sent by the primary to a backup: changes after (Seq, Digest).
	KindAppend
	// KindSnapshot is sent by the primary to a backup: a chunk of the complete record at (Seq, Digest).
	KindSnapshot
	// KindStage is sent by a proposer to a future backup before its view is proposed: a chunk of the complete record.
	KindStage
	// KindStaged answers KindStage and KindStageChanges: the complete record is on disk.
	KindStaged
	// KindPrepare is sent by a proposer to the members of Epoch: promise Ballot for Epoch+1.
	KindPrepare
	// KindPromise answers KindPrepare, with the ballot and view last accepted.
	KindPromise
	// KindAccept is sent by a proposer to the members of Epoch: accept Value for Epoch+1.
	KindAccept
	// KindAccepted answers KindAccept.
	KindAccepted
	// KindReject answers KindPrepare and KindAccept: the higher Ballot was already promised.
	KindReject
	// KindHandover is sent by a departing primary to a backup in sync, which takes over.
	KindHandover
	// KindTransferAck answers a chunk of a record with the number of bytes received, and an incomplete KindStageChanges
	// with the end of the sender's record.
	KindTransferAck
	// KindStageChanges is sent by a proposer to a future backup: changes after (Seq, Digest). The backup's record is
	// complete once it includes the change with Seq Total.
	KindStageChanges
)

// Message is a message between machines of the core; there is no other traffic between Machines. From is the sender,
// From.ID its identity. Epoch is the epoch of the sender's decided view. Which other fields are set depends on Kind.
// The size of a Message is bounded by one chunk of a record, or changes of the size of one, and the members of two
// views.
type Message struct {
	Kind        Kind     `msg:"k"`
	From        Member   `msg:"f"`
	Epoch       uint64   `msg:"e"`
	Join        bool     `msg:"j,omitempty"`
	Founder     bool     `msg:"o,omitempty"` // the sender is a seed and still in view 0 (bootstrap not finished)
	View        *View    `msg:"v,omitempty"` // the sender's decided view
	Ballot      Ballot   `msg:"b"`
	Accepted    Ballot   `msg:"a"`
	Value       *View    `msg:"w,omitempty"`
	Round       uint64   `msg:"r,omitempty"` // read round; 0: none
	Seq         uint64   `msg:"s,omitempty"`
	Digest      uint64   `msg:"d,omitempty"`
	Committed   uint64   `msg:"c,omitempty"`
	Stopped     bool     `msg:"x,omitempty"` // the sender acknowledges nothing more in Epoch
	InSync      bool     `msg:"p,omitempty"` // the sender's record is a prefix of its primary's
	HoldsRecord bool     `msg:"h,omitempty"` // the sender holds the record of Epoch
	Leaving     bool     `msg:"z,omitempty"` // the sender is shutting down
	Release     bool     `msg:"q,omitempty"` // heartbeat: the receiver, which is shutting down, is no longer needed
	Changes     []Change `msg:"l,omitempty"`
	Body        []byte   `msg:"y,omitempty"`
	Offset      uint64   `msg:"g,omitempty"` // offset of Body in the record; in KindTransferAck, the bytes received
	Total       uint64   `msg:"t,omitempty"` // size of the record in bytes; in KindStageChanges, its last Seq
	Checksum    uint64   `msg:"u,omitempty"` // xxhash of the record's bytes; with Seq it identifies a transfer
}

// Identity is the stored identity of the machine that owns the disk.
type Identity struct {
	ID      ID     `msg:"i"`
	Addr    string `msg:"a"`
	Founder bool   `msg:"f"` // took part in the bootstrap; votes in view 0 under its address
	Joined  bool   `msg:"j"` // has been a member of some view
}

// Vote is the state of an acceptor for the epoch after its decided view.
type Vote struct {
	Promised Ballot `msg:"p"`
	Accepted Ballot `msg:"a"`
	Value    *View  `msg:"v"` // accepted view, nil if none
}

// ReplicaState describes the validity of the record on this disk. A change of it is on disk before any message that
// depends on it is sent.
type ReplicaState struct {
	// RecordEpoch is the epoch for which the record contains all changes committed in earlier epochs.
	RecordEpoch uint64 `msg:"r"`
	// InSyncEpoch is the epoch in which the record was confirmed to be a prefix of its primary's; for the rest of that
	// epoch no change of it is dropped.
	InSyncEpoch uint64 `msg:"s"`
	// StoppedEpoch is the epoch in which nothing is acknowledged any more, plus 1 (0: none).
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

// PersistentState is the state read from disk at the start. Its zero value represents an empty disk.
type PersistentState struct {
	Identity Identity
	View     View
	Vote     Vote
	Replica  ReplicaState
	Snapshot *Snapshot // nil: no snapshot, the changes start at 1
	Changes  []Change  // changes after the snapshot, without gaps
	DiskLost bool      // the disk was unreadable: treated as empty, but never bootstraps
}

// Write is the data that must be on disk, synced, before Send and Answer of the same Output are carried out. Fields
// that are nil stay as they are on disk. All fields go into one transaction, which is idempotent.
type Write struct {
	Reset    bool // first erase the stored state
	Identity *Identity
	View     *View
	Vote     *Vote
	Replica  *ReplicaState
	Snapshot *Snapshot // replaces the older snapshot and all changes
	Changes  []Change  // appended after Snapshot if set; a stored change with the same Seq is replaced
}

// Empty reports whether there is nothing to write.
func (w *Write) Empty() bool {
	return w == nil || !w.Reset && w.Identity == nil && w.View == nil && w.Vote == nil && w.Replica == nil &&
		w.Snapshot == nil && len(w.Changes) == 0
}

// Envelope is a message to send to an address. The transport may lose, duplicate and reorder messages.
type Envelope struct {
	To  string
	Msg Message
}

// Result is the outcome of a Propose or Read.
type Result uint8

// The results.
const (
	Committed   Result = iota + 1 // Propose: on the disks of the primary and of all its backups
	Confirmed                     // Read: the record up to Answer.Seq contains all changes acknowledged before the Read
	NotPrimary                    // rejected: this machine isn't the primary; see Status.PrimaryAddr
	LostPrimacy                   // the primary changed. Propose: the change may or may not be committed. Read: retry
	Busy                          // rejected: too many requests are pending
)

// Answer is the answer to the Propose or Read with the same Token.
type Answer struct {
	Token  uint64
	Result Result
	Seq    uint64 // Propose: Seq of the change; Read: Seq up to which the record may be shown
}

// Output is the result of an input. The caller carries out Write first, then Send and Answer, and Outputs in the order
// of their inputs. A failed Write is retried before anything else is carried out.
type Output struct {
	Write         *Write // nil: nothing to write
	Send          []Envelope
	Answer        []Answer
	Committed     uint64 // commit index known to this machine: all changes up to this Seq are committed
	StatusChanged bool   // role, view or readiness changed: see Status
}

// App holds the record's content, which is opaque to replication. It is called from within the Machine's inputs. Apply
// is called before a change is committed; Output.Committed reports the commit index later. Restore replaces the whole
// content, including changes that were applied but never committed.
type App interface {
	Apply(seq uint64, body []byte)         // deterministic; seq counts up by one
	Snapshot() []byte                      // encodes the record with all applied changes
	Restore(seq uint64, body []byte) error // seq 0 with an empty body is the empty record
}

// FailureTolerance is the number of machines, or zones, or regions that may be lost at once.
type FailureTolerance struct{ Nodes, Zones, Regions int }

// Options configures a Machine. All durations must be above 0; they have no defaults.
type Options struct {
	// Self is this machine, without its ID.
	Self Member
	// Tolerance is the loss that the core must survive. It decides how many backups a view has.
	Tolerance FailureTolerance
	// Seeds are the addresses asked for the decided view; with Bootstrap, they are the members of view 0.
	Seeds []string
	// Bootstrap is set for the first start of a new system. It is ignored unless the disk is empty and Self.Addr is a
	// seed.
	Bootstrap bool

	// HeartbeatInterval is the time between heartbeats of the primary, and between retransmissions.
	HeartbeatInterval time.Duration
	// ElectionTimeout is how long a primary or backup may be unresponsive before it is considered lost. It should be
	// several heartbeats long.
	ElectionTimeout time.Duration
	// ElectionStagger is the additional wait per rank before a backup proposes a view.
	ElectionStagger time.Duration
	// WriteTimeout is how long a backup may delay the acknowledgement of a change before it is replaced.
	WriteTimeout time.Duration
	// MemberTimeout is how long a member may be unresponsive before it is removed, provided that this lowers the quorum
	// and the remaining members tolerate the required losses.
	MemberTimeout time.Duration

	// SnapshotBytes is the total size of change bodies on disk beyond which a snapshot replaces them. 0: 1 MiB.
	SnapshotBytes int
	// ChunkBytes bounds the size of a chunk of a record, and of the changes in one message. 0: 64 KiB.
	ChunkBytes int
	// Rand is the source of identities and backoff jitter. Its numbers must differ between machines and starts.
	Rand func() uint64
}

// Role is a machine's role in its decided view.
type Role uint8

// The roles.
const (
	NonMember Role = iota // not a member, or not yet
	Witness               // member that only votes; it may be a learner of the record
	Backup                // member with the record; each write and read needs its answer
	Primary               // member with the record that answers writes and reads
)

// String returns the role's name in lower case, "outside" for NonMember, as shown on the status page.
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

// Status is the externally visible state of a machine.
type Status struct {
	ID          ID
	Role        Role
	View        View   // the newest decided view that is known; shared, must not be changed
	Epoch       uint64 // of View
	Committed   uint64 // commit index: changes up to this Seq are known to be committed
	Seq         uint64 // newest change in the record, committed or not
	PrimaryAddr string // "" when unknown
	// Ready reports, on a primary, that all backups are in sync, so that writes and reads are answered. On another
	// member it reports that the election timer has not expired: the primary's heartbeats restart it, and so do the
	// start of the process, a new view, another's ballot and the end of a freeze.
	Ready bool
	// Released reports that after Leave the other machines no longer need this one: its process may end.
	Released bool
}
