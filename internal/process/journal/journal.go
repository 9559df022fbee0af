// Package journal stores the replicas that an agent holds of other agents' promises in one bbolt file in a persistent
// folder, so that the next process can answer queries with them. Entries added while a write is in flight are written
// together in the next transaction, so that they share its fsyncs, and their callers are notified after it.
// Every value has a checksum.
//
// The goroutine of Run writes; Add and Drop may be called by any goroutine and never block. Only one process may have
// the file open.
package journal

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/store"
)

// file is the name of the file in the folder.
const file = "promises.db"

var (
	holders = []byte("holders")
	records = []byte("records")
)

// MaxPendingBytes limits the estimated size of the queued entries. A larger single entry is accepted if the queue is
// empty.
const MaxPendingBytes = 32 << 20

// entry is one addition or deletion.
type entry struct {
	holder promises.Holder  // the process that made the promises
	row    *promises.Row    // nil: unchanged
	record *promises.Record // nil: none
	drop   bool             // delete the row of the holder
	done   func(error)      // nil: no notification
	size   int
}

// writtenBatch is the number of a transaction's last record, and when the transaction was written, since Open.
type writtenBatch struct {
	lastRecord uint64
	writtenAt  time.Duration
}

// Journal is an open journal file.
type Journal struct {
	db         *bbolt.DB
	retention  time.Duration
	start      time.Time
	lastRecord uint64
	batches    []writtenBatch // owned by Run, the oldest first

	mu          sync.Mutex
	queue       []entry
	queuedBytes int
	failed      error
	wake        chan struct{}
}

// Open opens the journal file in a folder, or creates it, and passes its contents to the callbacks: first each row,
// then the records in order. Records are deleted once this process has had them for longer than retention. Errors
// name the file; they wrap store.ErrLocked if another process has the file open, and store.ErrDamaged
// if its contents can't be used.
func Open(dir string, retention time.Duration, row func(promises.Holder, *promises.Row), record func(*promises.Record)) (*Journal, error) {
	path := filepath.Join(dir, file)
	fail := func(err error) (*Journal, error) { return nil, fmt.Errorf("journal: %s: %w", path, err) }
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: 100 * time.Millisecond, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
	switch {
	case errors.Is(err, bolterrors.ErrTimeout):
		return fail(store.ErrLocked)
	case errors.Is(err, bolterrors.ErrInvalid), errors.Is(err, bolterrors.ErrChecksum), errors.Is(err, bolterrors.ErrVersionMismatch):
		return fail(fmt.Errorf("%w: %w", store.ErrDamaged, err))
	case err != nil:
		return fail(err)
	}
	j := &Journal{db: db, retention: retention, start: time.Now(), wake: make(chan struct{}, 1)}
	if err := j.read(row, record); err != nil {
		return fail(errors.Join(err, db.Close()))
	}
	if j.lastRecord > 0 {
		j.batches = append(j.batches, writtenBatch{j.lastRecord, 0})
	}
	return j, nil
}

// read passes all rows and records to the callbacks. If any value of the file is damaged, it passes none.
func (j *Journal) read(row func(promises.Holder, *promises.Row), record func(*promises.Record)) (err error) {
	defer func() {
		if p := recover(); p != nil { // bbolt panics on a damaged page
			err = fmt.Errorf("%w: %v", store.ErrDamaged, p)
		}
	}()
	var all []func()
	err = j.db.Update(func(tx *bbolt.Tx) error {
		rows, err := tx.CreateBucketIfNotExists(holders)
		if err != nil {
			return err
		}
		log, err := tx.CreateBucketIfNotExists(records)
		if err != nil {
			return err
		}
		err = rows.ForEach(func(k, v []byte) error {
			var h promises.Holder
			var r promises.Row
			if err := decode(k, v, &r); err != nil || cbor.Unmarshal(k, &h) != nil {
				return fmt.Errorf("%w: row of holder %x", store.ErrDamaged, k)
			}
			all = append(all, func() { row(h, &r) })
			return nil
		})
		if err != nil {
			return err
		}
		return log.ForEach(func(k, v []byte) error {
			var r promises.Record
			if err := decode(k, v, &r); err != nil || len(k) != 8 {
				return fmt.Errorf("%w: record %x", store.ErrDamaged, k)
			}
			j.lastRecord = binary.BigEndian.Uint64(k)
			all = append(all, func() { record(&r) })
			return nil
		})
	})
	if err != nil {
		return err
	}
	for _, hand := range all {
		hand()
	}
	return nil
}

// decode verifies and decodes a value.
func decode(key, text []byte, into any) error {
	text, err := store.Verify(key, text)
	if err != nil {
		return err
	}
	return cbor.Unmarshal(text, into)
}

func put(b *bbolt.Bucket, key []byte, value any) error {
	text, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	return store.Put(b, key, text)
}

// Add queues a holder's row, a record or both. Run's goroutine calls done with nil once they are on disk, or with the
// error of the write. Add returns false, and done is not called, if the queue is full or an earlier write has failed.
func (j *Journal) Add(h promises.Holder, row *promises.Row, record *promises.Record, done func(error)) bool {
	e := entry{holder: h, row: row, record: record, done: done, size: 64}
	if record != nil {
		e.size += 64 * len(record.Keys)
		if record.Reply != nil {
			e.size += len(record.Reply.Body)
		}
	}
	return j.enqueue(e)
}

// Drop queues the deletion of a holder's row. It may be lost: a process that reads the row again learns from the
// council that the holder is obsolete.
func (j *Journal) Drop(h promises.Holder) { j.enqueue(entry{holder: h, drop: true, size: 64}) }

// Err returns the error of the first write that failed, or nil.
func (j *Journal) Err() error {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.failed
}

func (j *Journal) enqueue(e entry) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.failed != nil || j.queuedBytes+e.size > MaxPendingBytes && j.queuedBytes > 0 {
		return false
	}
	j.queue = append(j.queue, e)
	j.queuedBytes += e.size
	select {
	case j.wake <- struct{}{}:
	default:
	}
	return true
}

// Run writes queued entries until done is closed, writes those that were queued by then, and closes the file.
func (j *Journal) Run(done <-chan struct{}) {
	sweep := time.NewTicker(max(j.retention/16, 10*time.Millisecond))
	defer sweep.Stop()
	for {
		over := false
		select {
		case <-j.wake:
		case <-sweep.C:
		case <-done:
			over = true
		}
		j.mu.Lock()
		all := j.queue
		j.queue, j.queuedBytes = nil, 0
		failed := j.failed
		j.mu.Unlock()
		err := failed
		if err == nil {
			err = j.write(all)
		}
		if err != nil && failed == nil {
			j.mu.Lock()
			j.failed = err
			j.mu.Unlock()
		}
		for _, e := range all {
			if e.done != nil {
				e.done(err)
			}
		}
		if over {
			_ = j.db.Close() // all acknowledged entries are on disk
			return
		}
	}
}

// maxDeletesPerWrite limits the records deleted in one transaction.
const maxDeletesPerWrite = 4096

// write writes the entries in one transaction and deletes expired records.
func (j *Journal) write(all []entry) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("journal: %s: %v", j.db.Path(), p)
		}
	}()
	now := time.Since(j.start)
	due := len(j.batches) > 0 && now-j.batches[0].writtenAt > j.retention
	writes := false
	for i := range all {
		writes = writes || all[i].row != nil || all[i].record != nil || all[i].drop
	}
	if !writes && !due {
		return nil
	}
	next, old := j.lastRecord, j.batches
	err = j.db.Update(func(tx *bbolt.Tx) error {
		rows, log := tx.Bucket(holders), tx.Bucket(records)
		log.FillPercent = 1 // records are appended in key order
		for i := range all {
			e := &all[i]
			key, err := cbor.Marshal(e.holder)
			if err != nil {
				return err
			}
			if e.drop {
				if err := rows.Delete(key); err != nil {
					return err
				}
			}
			if e.row != nil {
				if err := put(rows, key, e.row); err != nil {
					return err
				}
			}
			if e.record != nil {
				next++
				if err := put(log, binary.BigEndian.AppendUint64(nil, next), e.record); err != nil {
					return err
				}
			}
		}
		if next > j.lastRecord {
			old = append(old, writtenBatch{next, now})
		}
		for n := 0; len(old) > 0 && now-old[0].writtenAt > j.retention && n < maxDeletesPerWrite; {
			c := log.Cursor()
			last := binary.BigEndian.AppendUint64(nil, old[0].lastRecord)
			k, _ := c.First()
			for ; k != nil && bytes.Compare(k, last) <= 0 && n < maxDeletesPerWrite; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
				n++
			}
			if n < maxDeletesPerWrite {
				old = old[1:]
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("journal: %s: %w", j.db.Path(), err)
	}
	j.lastRecord, j.batches = next, old
	return nil
}
