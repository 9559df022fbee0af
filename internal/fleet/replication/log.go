package replication

import "slices"

const (
	// maxLogChanges bounds the changes that a restart applies one by one.
	maxLogChanges = 1024
	// retainedLogDivisor is which part of the log's bounds is kept in memory beyond a snapshot: one in so many.
	retainedLogDivisor = 4
)

// recordLog is the end of the record and the newest changes that led there. The record itself is in the App.
type recordLog struct {
	seq, digest uint64
	base        Snapshot // what changes follow on; Body is not kept
	changes     []Change // after base: those since the snapshot on the disk, and some before it

	diskBytes, diskCount int // of the changes since the snapshot on the disk

	committed uint64 // up to this Seq changes are known to be committed; never above seq
	// reportedCommit is up to where others said that changes are committed, whatever of it this machine has.
	reportedCommit uint64
}

// reset makes the log that of a record without kept changes.
func (l *recordLog) reset(seq, digest uint64) {
	l.seq, l.digest = seq, digest
	l.base = Snapshot{Seq: seq, Digest: digest}
	l.changes = nil
}

// extendedBy reports whether c comes right after the record. The digest chains all changes, so one that follows another
// record with as many changes is told apart (TestAppendToAnotherRecord).
func (l *recordLog) extendedBy(c Change) bool {
	return c.Seq == l.seq+1 && c.Digest == ChainDigest(l.digest, c.Seq, c.Body)
}

// append adds c, which comes right after the record.
func (l *recordLog) append(c Change) {
	l.seq, l.digest = c.Seq, c.Digest
	l.changes = append(l.changes, c)
	l.diskBytes += len(c.Body)
	l.diskCount++
}

// digestAt is the digest of the record at seq, if it is still known.
func (l *recordLog) digestAt(seq uint64) (uint64, bool) {
	switch {
	case seq == l.seq:
		return l.digest, true
	case seq == l.base.Seq:
		return l.base.Digest, true
	case seq > l.base.Seq && seq < l.seq:
		return l.changes[seq-l.base.Seq-1].Digest, true
	}
	return 0, false
}

// changesAfter gives the changes after seq whose bodies have at most maxBytes together; none when the first one has
// more. seq must not lie before the log's base.
func (l *recordLog) changesAfter(seq uint64, maxBytes int) []Change {
	rest := l.changes[seq-l.base.Seq:]
	n, bytes := 0, 0
	for n < len(rest) && bytes+len(rest[n].Body) <= maxBytes {
		bytes += len(rest[n].Body)
		n++
	}
	return rest[:n:n]
}

// compact notes that a snapshot of the record replaces the changes on the disk. In memory the newest changes are kept,
// as many as the bounds allow: who lacks only these is brought them, and not the complete record at each snapshot.
func (l *recordLog) compact(maxCount, maxBytes int) {
	l.diskBytes, l.diskCount = 0, 0
	first, bytes := len(l.changes), 0
	for first > 0 && len(l.changes)-first < maxCount {
		bytes += len(l.changes[first-1].Body)
		if bytes > maxBytes {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	last := l.changes[first-1]
	l.base = Snapshot{Seq: last.Seq, Digest: last.Digest}
	l.changes = slices.Clone(l.changes[first:])
}
