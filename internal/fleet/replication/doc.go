// Package replication replicates the control state of the core: a primary writes to its backups before it answers, and
// witnesses, which keep only epochs, decide by ballots who leads. It is a state machine: inputs carry the time and
// return what to write, send and answer. It does no I/O and reads no clock.
//
// # Views
//
// A View names an epoch, its members, one primary and its backups. View e+1 is chosen by a ballot of one decree (prepare,
// accept) among a majority of the members of view e; the value is the whole View. Only a holder of the record of view e
// (its primary or a backup) proposes e+1, and it answers nothing of view e from its first prepare on, also after a
// restart. As the primary needs the answers of all its backups for every write and read, one stopped holder fences view
// e without clocks.
//
// # Record
//
// Every stopped holder of view e holds all that was committed up to view e. So any snapshot that a proposer stages
// at a coming backup before its proposal makes that backup a holder, whoever's proposal is decided. In the new view the
// primary answers only when each backup told that its record is a prefix of the primary's (in step); what differs
// is replaced by the primary's snapshot.
//
// # Members
//
// A machine with an empty disk draws an identity and asks to be taken in. The primary does so by a new view, in which the
// older identity of that address goes out. A joiner takes the place of a member that is silent, or comes as one more where
// the majority is there without it. Members silent for MemberTimeout go out when that lowers the majority that
// is needed and enough members are left for the losses to be borne (3, and 2s+1 for s machines); otherwise they stay, as
// they may come back with their vote.
//
// # Leaving
//
// A process that is told to end calls Leave: as primary it hands over to a backup in step, as backup it is replaced, as
// witness it goes out where the majority falls with it. Status.Released tells when the others need it no more.
//
// # Bounds
//
// At most 64 members, 64 joiners, 4096 waiting writes and 4096 waiting reads; changes are kept up to SnapshotBytes and
// one more.
package replication
