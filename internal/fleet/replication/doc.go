// Package replication replicates the control state of the core: a primary writes to its backups before it answers, and
// witnesses, which keep only epochs, help decide by ballots who is primary. It is a state machine without I/O, clock or
// goroutine: inputs carry the time and return an Output with what to write, send and answer, in that order. One
// goroutine owns a Machine (in the control server, its driver).
//
// It is not raft. A View is chosen by a single-decree ballot and names its primary and backups, and a write needs all
// backups of the view, not a majority (Viewstamped Replication, Vertical Paxos). For a reader of raft: Epoch is the
// term, Change an entry, Seq an index, progress.match is Match, a read round is a ReadIndex round, App is the FSM.
//
// # Views
//
// A View names an epoch, its members, one primary and its backups. View e+1 is chosen by a ballot of one decree
// (prepare, accept) among a majority of the members of view e; the value is the complete View. Only a holder of the
// record of view e (its primary or a backup) proposes e+1, and it answers nothing of view e from its first prepare on,
// also after a restart (it is stopped). As the primary needs the answers of all its backups for every write and read,
// one stopped holder fences view e without clocks.
//
// # Record
//
// Every stopped holder of view e holds all that was committed up to view e. So any snapshot that a proposer stages
// at a coming backup before its proposal makes that backup a holder, whoever's proposal is decided. In the new view the
// primary answers only when each backup has said that its record is a prefix of the primary's (in sync); what differs
// is replaced by the primary's snapshot.
//
// # Members
//
// A machine with an empty disk draws an identity and asks to join. The primary takes it in by a new view, in which the
// older identity of that address goes out. A joiner replaces a member that is unresponsive, or comes as one more where
// the quorum is there without it. Members unresponsive for MemberTimeout go out when that lowers the quorum and enough
// members are left for the losses to be tolerated (3, and 2s+1 for s machines); otherwise they stay, as they may come
// back with their vote.
//
// # Departure
//
// A process that is asked to shut down calls Leave: as primary it hands over to a backup in sync, as backup it is
// replaced, as witness it goes out where the quorum falls with it. Status.Released tells when the others no longer need
// it.
//
// # Bounds
//
// At most 64 members, 64 joiners, 4096 pending writes and 4096 pending reads; changes are kept up to SnapshotBytes and
// one more.
//
// # Files
//
// machine.go has the inputs, input.go what an input leads to, state.go the state; install.go a view that was decided;
// candidacy.go, staging.go and acceptor.go the ballot; primary.go, backup.go and learner.go the three sides of
// replication; record.go, log.go and transfer.go the record; reconfigure.go, membership.go and selection.go the next
// view; departure.go the graceful shutdown; restoreddisk.go disks that were put back to an earlier state.
package replication
