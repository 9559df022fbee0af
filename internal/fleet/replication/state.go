package replication

import "time"

// persistentState is the state on disk besides the record, including the changes of the Output under construction. A
// change of it goes into the same Output as the messages that depend on it (saveVote and the like): promises,
// acceptances and fences are on disk before any other machine learns of them, so they survive a restart
// (TestPromisesAreKept).
type persistentState struct {
	identity Identity
	view     View         // the newest decided view that is known
	vote     Vote         // for the epoch after view
	replica  ReplicaState // validity of the record
}

// electionState holds the timers by which a holder of the record begins a candidacy. It is volatile; safety doesn't
// depend on it.
type electionState struct {
	viewSince         time.Duration // when the view was installed
	lastHeartbeat     time.Duration // last heartbeat of the primary, or last promise or acceptance of another's ballot
	helloAt           time.Duration // when the next hello is due
	campaignNotBefore time.Duration // no new candidacy before this
	rejections        uint64        // rejections in this epoch; the backoff grows with them
	highestRejection  uint64        // the highest ballot number seen in a rejection or a competing ballot of this epoch
}

// peerState is the volatile state about the other members.
type peerState struct {
	lastActive   map[ID]time.Duration // when a member last answered
	laggedAt     map[ID]time.Duration // when a backup was replaced because it didn't acknowledge in time
	foundersSeen map[string]bool      // founders that answered, by address; in view 0 only
	departing    map[ID]bool          // members shutting down; copied on write, never changed in place
}

// primaryState is the volatile state of a primary, valid while active is set: a restarted process never leads the view
// that it led before.
type primaryState struct {
	active        bool          // this process became primary of the view
	viewStartSeq  uint64        // last Seq when the view began; backups must reach it before anything is answered
	heartbeatAt   time.Duration // when the next heartbeat is due
	learnerSendAt time.Duration // when learners are next sent changes
	progress      map[ID]*progress
	readRound     uint64 // the newest round of heartbeats that confirms reads
	contact       backupContact
	pendingWrites []pendingRequest   // at is the change's Seq
	pendingReads  []pendingRequest   // at is the read round that confirms the read, 0 until one begins
	joiners       map[string]*joiner // by address
}

// progress is the primary's view of a backup.
type progress struct {
	inSync            bool          // its record is a prefix of the primary's
	stopped           bool          // it proposes another view and acknowledges nothing in this one
	match             uint64        // its record equals the primary's up to this Seq
	readRound         uint64        // the newest read round that it answered
	matchAtRoundStart uint64        // match when the newest read round began
	sentAt            time.Duration // when it was last sent changes or a snapshot
	everSent          bool
	stalledSince      time.Duration // last progress while acknowledgements are outstanding; <0: none outstanding
}

// pendingRequest is an unanswered Propose or Read. The meaning of at depends on the queue: see primaryState.
type pendingRequest struct {
	token, at uint64
}

// transferState is the volatile state of record transfers between machines.
type transferState struct {
	outgoing  map[ID]*transfer // by receiver
	image     *image           // shared by the outgoing transfers
	incoming  *assembly        // the record being received
	positions map[ID]position  // last reported ends of other machines' records
}
