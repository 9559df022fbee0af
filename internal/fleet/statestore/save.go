package statestore

import (
	"context"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"molepaddle/internal/fleet/replication"
)

// Save writes w in one transaction and returns once it is synced. After an error nothing of w is written, and w may be
// saved again; saving it twice has the same effect as once. If the disk is full or failing, Transient reports true for
// the error.
func (s *Store) Save(w *replication.Write) error {
	if w.Empty() {
		return nil
	}
	err := s.transact(func(ctx context.Context) error { return s.write(ctx, w) })
	return wrap(err, "statestore: save")
}

// transact runs f between BEGIN and COMMIT.
func (s *Store) transact(f func(context.Context) error) error {
	ctx := context.Background()
	if _, err := s.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "begin")
	}
	err := f(ctx)
	if err == nil {
		if _, err = s.conn.ExecContext(ctx, "COMMIT"); err == nil {
			return nil
		}
		err = errors.Wrap(err, "commit")
	}
	// After some errors SQLite has already rolled back, and ROLLBACK fails without harm.
	_, _ = s.conn.ExecContext(ctx, "ROLLBACK")
	return err
}

// write executes the statements of a write, within a transaction.
func (s *Store) write(ctx context.Context, w *replication.Write) error {
	if w.Reset {
		if err := s.execAll(ctx, []string{"DELETE FROM part", "DELETE FROM change"}); err != nil {
			return err
		}
	}
	if err := s.putReplicaState(ctx, w); err != nil {
		return err
	}
	var head *replication.Snapshot // newest change of the log after this write, without body; nil: unchanged
	if snapshot := w.Snapshot; snapshot != nil {
		if err := s.replaceSnapshot(ctx, snapshot); err != nil {
			return err
		}
		head = &replication.Snapshot{Seq: snapshot.Seq, Digest: snapshot.Digest}
	}
	for i := range w.Changes {
		c := &w.Changes[i]
		if err := s.putChange(ctx, c); err != nil {
			return err
		}
		head = &replication.Snapshot{Seq: c.Seq, Digest: c.Digest}
	}
	if head != nil {
		return s.put(ctx, headKey, head)
	}
	return nil
}

// putReplicaState writes the parts of w outside the log: identity, view, vote and replica state.
func (s *Store) putReplicaState(ctx context.Context, w *replication.Write) error {
	if w.Identity != nil {
		if err := s.put(ctx, identityKey, w.Identity); err != nil {
			return err
		}
	}
	if w.View != nil {
		if err := s.put(ctx, viewKey, w.View); err != nil {
			return err
		}
	}
	if w.Vote != nil {
		if err := s.put(ctx, voteKey, w.Vote); err != nil {
			return err
		}
	}
	if w.Replica != nil {
		return s.put(ctx, replicaStateKey, w.Replica)
	}
	return nil
}

// put writes a row of the table part.
func (s *Store) put(ctx context.Context, key string, value msgp.Marshaler) error {
	body, err := value.MarshalMsg(nil)
	if err != nil {
		return errors.Wrap(err, key)
	}
	_, err = s.conn.ExecContext(ctx, "INSERT OR REPLACE INTO part (name, body, sum) VALUES (?, ?, ?)",
		key, body, partChecksum(key, body))
	return wrap(err, key)
}

// replaceSnapshot writes a snapshot, which replaces all changes.
func (s *Store) replaceSnapshot(ctx context.Context, snapshot *replication.Snapshot) error {
	if _, err := s.conn.ExecContext(ctx, "DELETE FROM change"); err != nil {
		return errors.Wrap(err, "drop changes")
	}
	return s.put(ctx, snapshotKey, snapshot)
}

// putChange writes a row of the table change.
func (s *Store) putChange(ctx context.Context, c *replication.Change) error {
	body := c.Body
	if body == nil {
		body = []byte{} // the column is NOT NULL
	}
	_, err := s.conn.ExecContext(ctx, "INSERT OR REPLACE INTO change (seq, digest, body, sum) VALUES (?, ?, ?, ?)",
		int64(c.Seq), int64(c.Digest), body, changeChecksum(c.Seq, c.Digest, body))
	if err != nil {
		return errors.Wrapf(err, "change %d", c.Seq)
	}
	return nil
}

// partChecksum returns the checksum of a row of the table part, its column sum.
func partChecksum(key string, body []byte) int64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return int64(d.Sum64())
}

// changeChecksum returns the checksum of a row of the table change, its column sum.
func changeChecksum(seq, digest uint64, body []byte) int64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], seq)
	binary.LittleEndian.PutUint64(head[8:], digest)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return int64(d.Sum64())
}
