package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainDigest returns the digest of a record after a change, given the digest before it. The digest of an empty record
// is 0.
func ChainDigest(before, seq uint64, body []byte) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], before)
	binary.LittleEndian.PutUint64(head[8:], seq)
	d := xxhash.New()
	_, _ = d.Write(head[:]) // never fails
	_, _ = d.Write(body)
	return d.Sum64()
}

// applyChange applies c, which must be the next change of the record.
func (m *Machine) applyChange(c Change) {
	m.app.Apply(c.Seq, c.Body)
	m.log.append(c)
}

// saveChanges adds applied changes to the input's Write, as a snapshot if the log is full. They are on disk before this
// machine acknowledges them, as primary or as backup, so that acknowledged changes survive a power loss of all machines
// (TestPowerLossAfterAcknowledgement).
func (m *Machine) saveChanges(cs ...Change) {
	if m.logFull() {
		m.saveSnapshot(m.app.Snapshot())
		return
	}
	m.write.Changes = append(m.write.Changes, cs...)
}

// saveSnapshot adds a snapshot of the current record to the input's Write; it replaces all changes on disk.
func (m *Machine) saveSnapshot(body []byte) {
	m.log.compact(maxLogChanges/retainedLogDivisor, m.opt.SnapshotBytes/retainedLogDivisor)
	m.write.Snapshot = &Snapshot{Seq: m.log.seq, Digest: m.log.digest, Body: body}
	m.write.Changes = nil
}

// replace replaces this machine's record by another one. It returns false if the app can't restore it.
func (m *Machine) replace(seq, digest uint64, body []byte) bool {
	if err := m.app.Restore(seq, body); err != nil {
		return false
	}
	m.log.reset(seq, digest)
	m.log.committed = min(m.log.committed, seq)
	m.saveSnapshot(body)
	return true
}

// appendChanges appends the changes of a message that follow this machine's record. It returns false if the record's
// end is neither the message's (Seq, Digest) nor that of one of its changes: a change is never appended to a different
// record.
func (m *Machine) appendChanges(msg *Message) bool {
	rest, ok := msg.Changes, msg.Seq == m.log.seq && msg.Digest == m.log.digest
	for !ok && len(rest) > 0 {
		ok = rest[0].Seq == m.log.seq && rest[0].Digest == m.log.digest
		rest = rest[1:]
	}
	if !ok {
		return false
	}
	taken := 0
	for _, c := range rest {
		if !m.log.extendedBy(c) {
			break
		}
		m.applyChange(c)
		taken++
	}
	m.saveChanges(rest[:taken]...)
	return true
}
