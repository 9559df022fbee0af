package distribution

import "slices"

// Bounds of the changes that an entry retains. The bounds after the snapshot limit the changes that a client without a
// version gets along with the snapshot; the bounds of the history limit the changes that a client which is behind may
// get instead of a snapshot.
const (
	// maxBytesAfterSnapshot bounds the bodies of the changes after the snapshot at a source, which takes a new
	// snapshot beyond it.
	maxBytesAfterSnapshot = 256 << 10
	// maxChangesAfterSnapshot bounds the number of changes after the snapshot at a source.
	maxChangesAfterSnapshot = 64
	// maxHistoryBytes bounds the bodies of all retained changes. A client that isn't further behind needs no snapshot:
	// over 10 Mbit/s a snapshot of 10,000 routes takes seconds, during which dozens of changes may arrive.
	maxHistoryBytes = 1 << 20
	// maxHistoryChanges bounds the number of all retained changes.
	maxHistoryChanges = 1024
	// maxRelayBytesAfterSnapshot bounds the bodies of the changes after the snapshot at a relay, which can't take a new
	// snapshot itself and asks its server for one.
	maxRelayBytesAfterSnapshot = 4 * maxBytesAfterSnapshot
)

// entry is the state of one resource type in a Cache: a snapshot at one version, the changes since then up to the
// newest version, and the changes before it, for clients that are behind. It is immutable once it is in the Cache, so
// that responses can share its slices.
type entry struct {
	version Version // after all changes

	snapshot        []byte
	snapshotVersion Version

	changes       []Change // oldest first, without gaps
	historyStart  Version  // version before the oldest of changes
	afterSnapshot int      // index of the first change that follows on the snapshot

	changeBytes        int // bytes of the bodies of all changes
	bytesAfterSnapshot int // bytes of the bodies of the changes after the snapshot
}

// newEntry returns an entry of a snapshot without changes.
func newEntry(version Version, snapshot []byte) *entry {
	return &entry{
		version:         version,
		snapshot:        snapshot,
		snapshotVersion: version,
		historyStart:    version,
	}
}

// withChanges returns a copy of the entry at version, with further changes appended.
func (e *entry) withChanges(version Version, changes ...Change) *entry {
	next := *e
	next.version = version
	next.changes = append(e.changes[:len(e.changes):len(e.changes)], changes...)
	for i := range changes {
		next.changeBytes += len(changes[i].Body)
		next.bytesAfterSnapshot += len(changes[i].Body)
	}
	next.trimHistory()
	return &next
}

// replaceSnapshot replaces the snapshot by one at the newest version. The changes before it stay in the history: a
// client over a slow link that is still reading the older snapshot gets the changes since that one next.
func (e *entry) replaceSnapshot(snapshot []byte) {
	e.snapshot = snapshot
	e.snapshotVersion = e.version
	e.afterSnapshot = len(e.changes)
	e.bytesAfterSnapshot = 0
	e.trimHistory()
}

// trimHistory drops the oldest changes before the snapshot while the history is over its bounds.
func (e *entry) trimHistory() {
	drop := 0
	for drop < e.afterSnapshot && (e.changeBytes > maxHistoryBytes || len(e.changes)-drop > maxHistoryChanges) {
		e.changeBytes -= len(e.changes[drop].Body)
		e.historyStart = e.changes[drop].Version
		drop++
	}
	if drop > 0 {
		e.changes = slices.Clone(e.changes[drop:])
		e.afterSnapshot -= drop
	}
}

// fullResource returns the snapshot with the changes after it.
func (e *entry) fullResource(resourceType string) Resource {
	return Resource{
		Type:        resourceType,
		Version:     e.version,
		BaseVersion: e.snapshotVersion,
		Snapshot:    e.snapshot,
		Changes:     e.changes[e.afterSnapshot:],
	}
}

// resourceSince returns the resource for a client at the version had: only the changes if they are retained, unless the
// snapshot with its changes is smaller.
func (e *entry) resourceSince(resourceType string, had Version) Resource {
	index, bytes, ok := e.changesSince(had)
	if !ok || index < e.afterSnapshot && bytes > len(e.snapshot)+e.bytesAfterSnapshot {
		return e.fullResource(resourceType)
	}
	return Resource{
		Type:        resourceType,
		Version:     e.version,
		BaseVersion: had,
		Changes:     e.changes[index:],
	}
}

// changesSince returns the index of the first change after a version, and the bytes of the bodies from that index on.
// ok is false if the history doesn't have that version.
func (e *entry) changesSince(had Version) (index, bytes int, ok bool) {
	for i := len(e.changes) - 1; i >= 0; i-- {
		if e.changes[i].Version == had {
			return i + 1, bytes, true
		}
		bytes += len(e.changes[i].Body)
	}
	return 0, bytes, had == e.historyStart
}
