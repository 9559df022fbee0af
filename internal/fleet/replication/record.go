package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Chain is the digest of a record after a change, from the digest before it; an empty record's is 0.
func Chain(before, seq uint64, body []byte) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], before)
	binary.LittleEndian.PutUint64(head[8:], seq)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return d.Sum64()
}

// take applies c, which follows the record.
func (m *Machine) take(c Change) {
	m.app.Apply(c.Seq, c.Body)
	m.seq, m.digest = c.Seq, c.Digest
	m.changes = append(m.changes, c)
	m.bytes += len(c.Body)
}

// keep writes changes that were taken, as a snapshot when they are many.
func (m *Machine) keep(cs ...Change) {
	if m.bytes > m.opt.SnapshotBytes {
		m.putSnapshot(m.app.Snapshot())
		return
	}
	m.write.Changes = append(m.write.Changes, cs...)
}

// putSnapshot writes the record as it stands in the place of all changes.
func (m *Machine) putSnapshot(body []byte) {
	m.base = Snapshot{Seq: m.seq, Digest: m.digest}
	m.changes, m.bytes = nil, 0
	m.write.Snapshot = &Snapshot{Seq: m.seq, Digest: m.digest, Body: body}
	m.write.Changes = nil
}

// replace puts another's record in the place of ours.
func (m *Machine) replace(seq, digest uint64, body []byte) bool {
	if err := m.app.Restore(seq, body); err != nil {
		return false
	}
	m.seq, m.digest = seq, digest
	m.committed = min(m.committed, seq)
	m.putSnapshot(body)
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
