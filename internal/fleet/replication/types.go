package replication

import (
	"time"
)

//go:generate msgp -file types.go -o types_gen.go -tests=false

//msgp:ignore Options Output Envelope Answer Status App FailureTolerance Result Role PersistentState Write

// ID is the identity that a machine draws when its disk is empty: 32 hex digits. A machine that lost its disk, or
// whose identity left the members, draws a new one, so what an older identity promised binds nobody else.
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

// Ballot orders the proposals for one epoch, by number, then by the proposer's identity.
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

// Kind tells what a Message is.
type Kind uint8

// The kinds of messages.
const (
	KindHello        Kind = iota + 1 // asks for the decided view; with Join, asks to become a member
	KindView                         // tells the decided view
	KindHeartbeat                    // primary to all: I lead; Round is to be confirmed
	KindHeartbeatAck                 // to the primary: where the sender's record stands
	KindAppend                       // primary to a backup: changes after (Seq, Digest)
	KindSnapshot                     // primary to a backup: a chunk of the whole record at (Seq, Digest)
	KindStage                        // proposer to a coming backup: a chunk of the whole record, before its view is proposed
	KindStaged                       // answer to KindStage and KindStageChanges: the whole record is on disk
	KindPrepare                      // proposer to the members of Epoch: promise Ballot for Epoch+1
	KindPromise                      // answer, with what was accepted
	KindAccept                       // proposer to the members of Epoch: accept Value for Epoch+1
	KindAccepted                     // answer
	KindReject                       // answer: Ballot was promised to another
	KindHandover                     // primary that leaves to a backup in step: take over
	KindTransferAck                  // answer to a chunk of a record: what the sender has of it; to KindStageChanges: where its record stands
	KindStageChanges                 // proposer to a coming backup: changes after (Seq, Digest); at Total they make the record whole
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
	Round       uint64   `msg:"r,omitempty"` // confirmations are counted by rounds
	Seq         uint64   `msg:"s,omitempty"`
	Digest      uint64   `msg:"d,omitempty"`
	Committed   uint64   `msg:"c,omitempty"`
	Stopped     bool     `msg:"x,omitempty"` // the sender answers nothing of Epoch any more
	InSync      bool     `msg:"p,omitempty"` // the sender's record is a prefix of its primary's
	HoldsRecord bool     `msg:"h,omitempty"` // the sender holds the record of Epoch
	Leaving     bool     `msg:"z,omitempty"` // the sender's process is about to end
	Release     bool     `msg:"q,omitempty"` // heartbeat: the receiver, which is about to end, has no role left
	Changes     []Change `msg:"l,omitempty"`
	Body        []byte   `msg:"y,omitempty"`
	Offset      uint64   `msg:"g,omitempty"` // of Body in the whole record; in KindTransferAck, how much of it is there
	Total       uint64   `msg:"t,omitempty"` // bytes of the whole record; in KindStageChanges, the Seq that makes it whole
	Checksum    uint64   `msg:"u,omitempty"` // hash of the whole record, which also names a transfer
}

// Identity says who a disk belongs to.
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

// Replica says what the record on this disk is good for.
type ReplicaState struct {
	// RecordEpoch is the epoch for which the record holds all that was committed before it.
	RecordEpoch uint64 `msg:"r"`
	// InSyncEpoch is the epoch in which the record was found to be a prefix of its primary's.
	InSyncEpoch uint64 `msg:"s"`
	// StoppedEpoch is the epoch of which nothing is answered any more, plus 1 (0: none).
	StoppedEpoch uint64 `msg:"x"`
	// Committed is a bound from below of what is committed.
	Committed uint64 `msg:"c"`
}

// Snapshot is the whole record at Seq.
type Snapshot struct {
	Seq    uint64 `msg:"s"`
	Digest uint64 `msg:"d"`
	Body   []byte `msg:"b"`
}

// PersistentState is what the disk held. The zero State is an empty disk.
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
	Confirmed                     // Read: the record up to Answer.Seq is at least as new as all that was answered before
	NotPrimary                    // not taken: this machine isn't the primary; Status tells who may be
	LostPrimacy                   // Propose: another primary came; the change may have been committed or not. Read: ask again
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

// FailureTolerance tells what may be lost at once: so many machines, or zones, or regions.
type FailureTolerance struct{ Nodes, Zones, Regions int }

// Options of a Machine. All durations must be above 0.
type Options struct {
	Self      Member // without ID
	Tolerance FailureTolerance
	Seeds     []string // addresses to ask; with Bootstrap, the members of view 0
	Bootstrap bool     // first start of the whole system: counts only when the disk is empty and Self.Addr is a seed

	HeartbeatInterval time.Duration // from one beat of the primary to the next, and between repeats
	ElectionTimeout   time.Duration // silence after which a primary or backup counts as lost; some beats long
	ElectionStagger   time.Duration // a backup of rank r waits r times this longer
	WriteTimeout      time.Duration // a backup that doesn't acknowledge a change for so long is left out
	MemberTimeout     time.Duration // a member silent for so long goes out when the others are better off without it

	SnapshotBytes int           // a snapshot replaces the changes on disk when their bodies exceed this; 0: 1 MiB
	ChunkBytes    int           // bounds the chunks of a record and the changes in one message; 0: 64 KiB
	Rand          func() uint64 // identities and back-off; must differ between machines and starts
}

// Role of this machine in the view it knows.
type Role uint8

// The roles.
const (
	NonMember Role = iota // no member yet
	Witness               // member without the record
	Backup
	Primary
)

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

// Status tells how things stand.
type Status struct {
	ID          ID
	Role        Role
	View        View // shared: not to be changed
	Epoch       uint64
	Committed   uint64
	Seq         uint64 // newest change in the record, committed or not
	PrimaryAddr string // "" when unknown
	// Ready: as primary, all backups are in step, writes and reads are answered. Else: the view is known, this machine is
	// its member and heard its primary within ElectionTimeout.
	Ready bool
	// Released: after Leave, no other machine would miss this one; its process may end.
	Released bool
}
