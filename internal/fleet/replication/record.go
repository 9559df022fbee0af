package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChainDigest is the digest of a record after a change, from the digest before it; an empty record's is 0.
func ChainDigest(before, seq uint64, body []byte) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], before)
	binary.LittleEndian.PutUint64(head[8:], seq)
	d := xxhash.New()
	_, _ = d.Write(head[:]) // never fails
	_, _ = d.Write(body)
	return d.Sum64()
}

// applyChange applies c, which comes right after the record.
func (m *Machine) applyChange(c Change) {
	m.app.Apply(c.Seq, c.Body)
	m.log.append(c)
}

// saveChanges writes changes that were applied, as a snapshot when they are many. They are on disk before this machine
// acknowledges them, as primary or as backup: what is acknowledged outlives a loss of power of all
// (TestPowerLossAfterAcknowledgement).
func (m *Machine) saveChanges(cs ...Change) {
	if m.logFull() {
		m.saveSnapshot(m.app.Snapshot())
		return
	}
	m.write.Changes = append(m.write.Changes, cs...)
}

// saveSnapshot writes the record as it is now in place of all changes.
func (m *Machine) saveSnapshot(body []byte) {
	m.log.compact(maxLogChanges/retainedLogDivisor, m.opt.SnapshotBytes/retainedLogDivisor)
	m.write.Snapshot = &Snapshot{Seq: m.log.seq, Digest: m.log.digest, Body: body}
	m.write.Changes = nil
}

// replace puts another's record in place of this machine's. It reports false when the app can't take it.
func (m *Machine) replace(seq, digest uint64, body []byte) bool {
	if err := m.app.Restore(seq, body); err != nil {
		return false
	}
	m.log.reset(seq, digest)
	m.log.committed = min(m.log.committed, seq)
	m.saveSnapshot(body)
	return true
}

// appendChanges takes the changes of a message that come after this machine's record. It reports false when the record
// isn't among those that the message names by Seq and digest: a change never follows another record.
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
