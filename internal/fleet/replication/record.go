package replication

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ChainDigest is the digest of a record after a change, from the digest before it; an empty record's is 0.
func ChainDigest(before, seq uint64, body []byte) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], before)
	binary.LittleEndian.PutUint64(head[8:], seq)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return d.Sum64()
}

// add applies c, which follows the record.
func (m *Machine) applyChange(c Change) {
	m.app.Apply(c.Seq, c.Body)
	m.seq, m.digest = c.Seq, c.Digest
	m.changes = append(m.changes, c)
	m.logBytes += len(c.Body)
	m.logCount++
}

// saveChanges writes changes that were taken, as a snapshot when they are many.
func (m *Machine) saveChanges(cs ...Change) {
	if m.logFull() {
		m.saveSnapshot(m.app.Snapshot())
		return
	}
	m.write.Changes = append(m.write.Changes, cs...)
}

// saveSnapshot writes the record as it stands in the place of all changes.
func (m *Machine) saveSnapshot(body []byte) {
	m.logBytes, m.logCount = 0, 0
	m.trimChanges()
	m.write.Snapshot = &Snapshot{Seq: m.seq, Digest: m.digest, Body: body}
	m.write.Changes = nil
}

// trimChanges forgets all but the newest changes, which are kept in memory beyond a snapshot: who is a little behind is then
// brought these, and not the whole record at each cut of the log.
func (m *Machine) trimChanges() {
	first, bytes := len(m.changes), 0
	for first > 0 && len(m.changes)-first < maxLogChanges/retainedLogDivisor {
		bytes += len(m.changes[first-1].Body)
		if bytes > m.opt.SnapshotBytes/retainedLogDivisor {
			break
		}
		first--
	}
	if first == 0 {
		return
	}
	last := m.changes[first-1]
	m.base = Snapshot{Seq: last.Seq, Digest: last.Digest}
	m.changes = slices.Clone(m.changes[first:])
}

// retainedLogDivisor is which part of the log's bound is kept in memory beyond a snapshot.
const retainedLogDivisor = 4

// replace puts another's record in the place of ours.
func (m *Machine) replace(seq, digest uint64, body []byte) bool {
	if err := m.app.Restore(seq, body); err != nil {
		return false
	}
	m.seq, m.digest = seq, digest
	m.base, m.changes = Snapshot{Seq: seq, Digest: digest}, nil
	m.committed = min(m.committed, seq)
	m.saveSnapshot(body)
	return true
}

// digestAt is the digest of our record at seq, if it is still known.
func (m *Machine) digestAt(seq uint64) (uint64, bool) {
	switch {
	case seq == m.seq:
		return m.digest, true
	case seq == m.base.Seq:
		return m.base.Digest, true
	case seq > m.base.Seq && seq < m.seq:
		return m.changes[seq-m.base.Seq-1].Digest, true
	}
	return 0, false
}

// appendChanges takes the changes of a message that come after our record. It reports false when our record isn't among those that
// the message tells of.
func (m *Machine) appendChanges(msg *Message) bool {
	rest, ok := msg.Changes, msg.Seq == m.seq && msg.Digest == m.digest
	for !ok && len(rest) > 0 {
		ok = rest[0].Seq == m.seq && rest[0].Digest == m.digest
		rest = rest[1:]
	}
	if !ok {
		return false
	}
	taken := 0
	for _, c := range rest {
		if c.Seq != m.seq+1 || c.Digest != ChainDigest(m.digest, c.Seq, c.Body) {
			break
		}
		m.applyChange(c)
		taken++
	}
	m.saveChanges(rest[:taken]...)
	return true
}
