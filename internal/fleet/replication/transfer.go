package replication

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// A complete record is sent from one machine to another in chunks, so that on a slow link heartbeats are delayed by two
// chunks at most and a transfer may take seconds. The receiver acknowledges the number of bytes received; the sender
// has at most chunkWindow chunks in flight and continues from the acknowledged offset. Changes made during the transfer
// are sent afterwards as changes.

const (
	// defaultChunkBytes is the default of Options.ChunkBytes.
	defaultChunkBytes = 64 << 10
	// chunkWindow is the number of chunks that may be in flight to one receiver.
	chunkWindow = 2
	// transferLogFactor is the factor by which the log may exceed its bounds while a record is being transferred.
	transferLogFactor = 4
	// maxRecordBytes bounds the size of a received record.
	maxRecordBytes = 32 << 20
)

// image is the encoded complete record at seq.
type image struct {
	seq, digest uint64
	checksum    uint64 // hash of body
	body        []byte
}

// transfer is the state of sending an image to one receiver.
type transfer struct {
	kind    Kind // KindSnapshot or KindStage
	image   *image
	acked   int           // bytes acknowledged by the receiver
	next    int           // offset of the next byte to send; set back to acked for retransmission
	sentAt  time.Duration // when the last chunk was sent
	movedAt time.Duration // when acked last grew
}

// assembly is a partially received image.
type assembly struct {
	seq, digest, checksum uint64
	total                 int
	body                  []byte
	ahead                 []byte // one chunk that was received out of order
	aheadOffset           int
	at                    time.Duration // when a chunk was last added to body
}

// matches reports whether a chunk belongs to a.
func (a *assembly) matches(msg *Message) bool {
	return a.seq == msg.Seq && a.digest == msg.Digest && a.checksum == msg.Checksum && uint64(a.total) == msg.Total
}

// add adds a chunk and reports whether body grew. One chunk beyond the end of body is kept until the gap is filled.
func (a *assembly) add(offset int, chunk []byte) bool {
	if offset > len(a.body) {
		a.ahead, a.aheadOffset = chunk, offset
		return false
	}
	if offset < len(a.body) {
		return false
	}
	a.body = append(a.body, chunk...)
	if a.ahead != nil && a.aheadOffset == len(a.body) {
		a.body = append(a.body, a.ahead...)
	}
	a.ahead = nil
	return true
}

// sendRecord begins to send the complete record. A transfer in progress is continued from the acknowledged offset if it
// made no progress for half of WriteTimeout.
func (m *Machine) sendRecord(kind Kind, to Member) {
	t := m.transfers.outgoing[to.ID]
	if t == nil || t.kind != kind || !m.reachableFrom(t.image) {
		m.dropTransfer(to.ID)
		img := m.currentImage()
		t = &transfer{kind: kind, image: img, movedAt: m.now}
		if len(img.body) > m.opt.ChunkBytes {
			m.transfers.outgoing[to.ID], m.transfers.image = t, img
		}
	} else if m.now-max(t.sentAt, t.movedAt) < m.opt.WriteTimeout/2 {
		return
	}
	t.next = t.acked
	m.sendChunks(to.Addr, t)
}

// reachableFrom reports whether the changes between an image and the current record are still in the log.
func (m *Machine) reachableFrom(img *image) bool {
	digest, ok := m.log.digestAt(img.seq)
	return ok && digest == img.digest
}

// currentImage returns the image that transfers share if the changes since are still in the log, else a new one.
func (m *Machine) currentImage() *image {
	if m.transfers.image != nil && m.reachableFrom(m.transfers.image) {
		return m.transfers.image
	}
	body := m.app.Snapshot()
	return &image{seq: m.log.seq, digest: m.log.digest, checksum: xxhash.Sum64(body), body: body}
}

// sendChunks sends as many chunks as the window allows.
func (m *Machine) sendChunks(to string, t *transfer) {
	img := t.image
	for {
		end := min(t.next+m.opt.ChunkBytes, len(img.body))
		m.send(to, Message{
			Kind: t.kind, Seq: img.seq, Digest: img.digest, Committed: min(m.knownCommit(), img.seq),
			Checksum: img.checksum, Total: uint64(len(img.body)), Offset: uint64(t.next), Body: img.body[t.next:end],
		})
		t.next, t.sentAt = end, m.now
		if end == len(img.body) || end-t.acked >= chunkWindow*m.opt.ChunkBytes {
			return
		}
	}
}

// handleTransferAck processes the acknowledgement of a chunk, or of staged changes, and sends the next ones.
func (m *Machine) handleTransferAck(msg *Message) {
	if msg.Checksum == 0 {
		m.handleStagePosition(msg)
		return
	}
	t := m.transfers.outgoing[msg.From.ID]
	if t == nil || t.image.checksum != msg.Checksum || t.image.seq != msg.Seq {
		return
	}
	if msg.Offset >= uint64(len(t.image.body)) {
		return
	}
	had := int(msg.Offset)
	switch {
	case had > t.acked:
		t.acked, t.movedAt = had, m.now
		t.next = max(t.next, had)
		if p := m.primary.progress[msg.From.ID]; p != nil && p.stalledSince >= 0 {
			p.stalledSince = m.now
		}
	case had < t.acked && m.now-t.movedAt >= m.opt.HeartbeatInterval: // the receiver has started over
		t.acked, t.next = had, had
	default:
		return
	}
	if t.next < len(t.image.body) && t.next-t.acked < chunkWindow*m.opt.ChunkBytes {
		m.sendChunks(msg.From.Addr, t)
	}
}

// finishTransfer ends the transfer to a receiver whose record has reached seq, if the image doesn't go beyond that.
func (m *Machine) finishTransfer(id ID, seq uint64) {
	if t := m.transfers.outgoing[id]; t != nil && seq >= t.image.seq {
		m.dropTransfer(id)
	}
}

func (m *Machine) dropTransfers() {
	clear(m.transfers.outgoing)
	m.transfers.image = nil
}

func (m *Machine) dropTransfer(id ID) {
	delete(m.transfers.outgoing, id)
	if len(m.transfers.outgoing) == 0 {
		m.transfers.image = nil
	}
}

// logFull reports whether a snapshot should replace the changes. While a record is being transferred the bounds are
// larger, as the changes since its image are still needed.
func (m *Machine) logFull() bool {
	factor := 1
	if len(m.transfers.outgoing) > 0 {
		factor = transferLogFactor
	}
	return m.log.diskBytes > factor*m.opt.SnapshotBytes || m.log.diskCount > factor*maxLogChanges
}

// stalled reports whether the staging to a receiver has made no progress for the given time.
func (m *Machine) stalled(id ID, since, within time.Duration) bool {
	if t := m.transfers.outgoing[id]; t != nil {
		since = max(since, t.movedAt)
	}
	if at, ok := m.transfers.positions[id]; ok {
		since = max(since, at.movedAt)
	}
	return m.now-since >= within
}

// receiveChunk stores a chunk and acknowledges it. Once the record is complete, it returns the record's body instead.
func (m *Machine) receiveChunk(msg *Message) (body []byte, complete bool) {
	if msg.Offset == 0 && uint64(len(msg.Body)) >= msg.Total {
		return msg.Body, msg.Checksum == 0 || msg.Checksum == xxhash.Sum64(msg.Body)
	}
	if msg.Total > maxRecordBytes || msg.Offset+uint64(len(msg.Body)) > msg.Total {
		return nil, false
	}
	a := m.transfers.incoming
	if a == nil || !a.matches(msg) {
		if a != nil && m.now-a.at < 2*m.opt.HeartbeatInterval {
			return nil, false // one at a time: bounds memory, and two senders can't restart each other's transfer
		}
		a = &assembly{seq: msg.Seq, digest: msg.Digest, checksum: msg.Checksum, total: int(msg.Total)}
		m.transfers.incoming = a
	}
	if a.add(int(msg.Offset), msg.Body) {
		a.at = m.now
	}
	if len(a.body) == a.total {
		m.transfers.incoming = nil
		if xxhash.Sum64(a.body) == a.checksum {
			return a.body, true
		}
		a = &assembly{}
	}
	m.send(msg.From.Addr, Message{
		Kind: KindTransferAck, Seq: msg.Seq, Digest: msg.Digest, Checksum: msg.Checksum, Offset: uint64(len(a.body)),
	})
	return nil, false
}

// expireAssembly drops a partially received record that made no progress for MemberTimeout.
func (m *Machine) expireAssembly() {
	if a := m.transfers.incoming; a != nil && m.now-a.at >= m.opt.MemberTimeout {
		m.transfers.incoming = nil
	}
}
