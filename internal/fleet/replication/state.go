package replication

import "time"

// persistentState is what the disk holds beside the record, or will hold once the Output in the making is carried out.
// A change of it goes into the same Write as the message that rests on it (saveVote and the like): what was promised,
// accepted or fenced is on disk before anybody hears of it, so a restart forgets none of it (TestPromisesAreKept).
type persistentState struct {
	identity Identity
	view     View         // the newest decided view that is known
	vote     Vote         // for the epoch after view
	replica  ReplicaState // what the record is good for
}

// electionState is volatile: the timers by which a replica of the record begins a candidacy. No safety rule rests on
// it.
type electionState struct {
	viewSince         time.Duration // when the view was installed
	lastHeartbeat     time.Duration // of the primary; also when another's ballot was promised or accepted
	helloAt           time.Duration // when the next hello is due
	campaignNotBefore time.Duration // no new candidacy before this
	rejections        uint64        // in this epoch: the back-off grows with them
	highestRejection  uint64        // the highest ballot number that a rejection of this epoch named
}

// peerState is volatile: what this machine knows of the other members.
type peerState struct {
	lastActive   map[ID]time.Duration // when a member last answered
	laggedAt     map[ID]time.Duration // when a backup was replaced because it didn't acknowledge in time
	foundersSeen map[string]bool      // founders that answered, by address; in view 0 only
	departing    map[ID]bool          // members departing; replaced, never changed in place
}

// primaryState is volatile and counts while active: a process that restarts never leads the view that it led before.
type primaryState struct {
	active        bool          // this process became primary of the view
	viewStartSeq  uint64        // the record's end when the view began: backups must reach it first
	heartbeatAt   time.Duration // when the next heartbeat is due
	learnerSendAt time.Duration // no changes for learners before this
	progress      map[ID]*progress
	readRound     uint64 // the newest round of heartbeats that confirms reads
	contact       backupContact
	pendingWrites []pendingRequest   // at: the change's Seq
	pendingReads  []pendingRequest   // at: the read round that confirms it, 0 until one begins
	joiners       map[string]*joiner // by address
}

// progress is a backup as its primary knows it.
type progress struct {
	inSync            bool          // its record is a prefix of the primary's
	stopped           bool          // it answers nothing of this view any more
	match             uint64        // its record equals the primary's up to this Seq
	readRound         uint64        // the newest read round that it answered
	matchAtRoundStart uint64        // match when the newest read round began
	sentAt            time.Duration // when it was last sent a part of the record
	everSent          bool
	stalledSince      time.Duration // since when nothing moved while something is owed; <0: nothing is owed
}

// pendingRequest is a Propose or Read that isn't answered yet. What at is depends on the queue.
type pendingRequest struct {
	token, at uint64
}

// transferState is volatile: records on their way between machines.
type transferState struct {
	outgoing  map[ID]*transfer // by receiver
	image     *image           // what the outgoing transfers share
	incoming  *assembly        // the record on its way to this machine
	positions map[ID]position  // where others' records were when they last said so
}
