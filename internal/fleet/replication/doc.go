// Package replication replicates the control state of the core: a primary writes each change to its backups before it
// answers, and witnesses, which store only epochs and votes, take part in the ballots that choose the primary. It is a
// state machine without I/O, clock or goroutine: each input carries the time and returns an Output with the data to
// write, the messages to send and the answers to give, in that order. A Machine is not safe for concurrent use: one
// goroutine owns it (in the control server, Server.drive). It neither stores nor sends anything itself; that is the
// caller's part.
//
// It is not raft. A View is chosen by a single-decree ballot and names its primary and backups, and a write needs all
// backups of the view, not a majority (Viewstamped Replication, Vertical Paxos). In raft's terms Epoch is the term,
// Change an entry, Seq an index, progress.match is Match, a read round is a ReadIndex round, and App is the FSM.
//
// # Views
//
// A View names an epoch, its members, one primary and its backups. View e+1 is chosen by a ballot of one decree
// (prepare, accept) among a majority of the members of view e; the value is the complete View. Only a holder of the
// record of view e (its primary or a backup) proposes e+1. From its first prepare on it acknowledges nothing more in
// view e, also after a restart (it is stopped). As the primary needs the answers of all its backups for every write and
// read, one stopped holder fences view e without relying on clocks.
//
// # Record
//
// Every stopped holder of view e has all changes that were committed up to view e. So a snapshot that a proposer stages
// at a future backup before its proposal makes that backup a holder, no matter which proposal is decided. In the new
// view the primary answers only when each backup has confirmed that its record is a prefix of the primary's (in sync);
// a record that differs is replaced by the primary's snapshot.
//
// # Members
//
// A machine with an empty disk generates an identity and asks to join. The primary admits it with a new view, which
// removes the older identity of that address. A joiner replaces an unresponsive member, or is added where a quorum
// answers without it. Members unresponsive for MemberTimeout are removed when that lowers the quorum and enough members
// remain to tolerate the required losses (3, and 2s+1 for s machines); otherwise they stay, as they may return with
// their vote.
//
// # Departure
//
// A process that is asked to shut down calls Leave: a primary hands over to a backup in sync, a backup is replaced, and
// a witness is removed where that lowers the quorum. Status.Released reports when the others no longer need the
// machine.
//
// # Bounds
//
// At most 64 members, 64 joiners, 4096 pending writes and 4096 pending reads. The log on disk may exceed SnapshotBytes
// by one change, and is bounded by four times as much while a complete record is being transferred.
//
// # Files
//
// machine.go has the inputs, input.go the collection of their outputs, state.go the state; install.go installs decided
// views; candidacy.go, staging.go and acceptor.go implement the ballot; primary.go, backup.go and learner.go the roles
// in replication; record.go, log.go and transfer.go the record; reconfigure.go, membership.go and selection.go plan the
// next view; departure.go has the graceful shutdown; restoreddisk.go detects disks restored to an earlier state.
package replication
