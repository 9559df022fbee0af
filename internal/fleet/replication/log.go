package replication

import "slices"

const (
	// maxLogChanges bounds the changes that a restart applies one by one.
	maxLogChanges = 1024
	// retainedLogDivisor determines the share of the log's bounds that is kept in memory beyond a snapshot (1/4).
	retainedLogDivisor = 4
)

// recordLog is the end of the record and the newest changes before it. The record itself is in the App.
type recordLog struct {
	seq, digest uint64
	base        Snapshot // the record before the first of changes; Body is not set
	changes     []Change // after base: those since the snapshot on disk, and some before it

	diskBytes, diskCount int // size and number of the changes since the snapshot on disk

	committed uint64 // commit index; never above seq
	// reportedCommit is the highest commit index that other machines reported; it may be above seq.
	reportedCommit uint64
}

// reset sets the end of the record and drops all kept changes.
func (l *recordLog) reset(seq, digest uint64) {
	l.seq, l.digest = seq, digest
	l.base = Snapshot{Seq: seq, Digest: digest}
	l.changes = nil
}

// extendedBy reports whether c is the next change of this record. As the digest chains all changes, a change that
// follows a different record of the same length is detected (TestAppendToAnotherRecord).
func (l *recordLog) extendedBy(c Change) bool {
	return c.Seq == l.seq+1 && c.Digest == ChainDigest(l.digest, c.Seq, c.Body)
}

// append adds c, which must be the next change of the record.
func (l *recordLog) append(c Change) {
	l.seq, l.digest = c.Seq, c.Digest
	l.changes = append(l.changes, c)
	l.diskBytes += len(c.Body)
	l.diskCount++
}

// digestAt returns the digest of the record at seq, if it is still known.
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

// changesAfter returns as many changes after seq as fit into maxBytes, counting their bodies; none if the first one is
// larger. seq must not be before the log's base.
func (l *recordLog) changesAfter(seq uint64, maxBytes int) []Change {
	rest := l.changes[seq-l.base.Seq:]
	n, bytes := 0, 0
	for n < len(rest) && bytes+len(rest[n].Body) <= maxBytes {
		bytes += len(rest[n].Body)
		n++
	}
	return rest[:n:n]
}

// compact records that a snapshot replaces the changes on disk. The newest changes are kept in memory, as many as the
// bounds allow, so that a machine that lacks only these doesn't need the complete record after each snapshot.
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
