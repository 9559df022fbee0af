package statestore

import (
	"context"
	"database/sql"
	"fmt"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"molepaddle/internal/fleet/replication"
)

// loader collects the rows of a file and checks that they are consistent.
type loader struct {
	path     string
	state    replication.PersistentState
	snapshot replication.Snapshot
	head     replication.Snapshot // stored head of the log: newest change, without body
	found    map[string]bool      // keys found in the table part
	last     replication.Snapshot // newest change loaded so far, without body
}

// load reads the complete state. A missing, damaged or unknown row is an *UnusableError: acting on an incomplete state
// could violate a promise given by this machine.
func (s *Store) load(ctx context.Context, path string) (replication.PersistentState, error) {
	l := &loader{path: path, found: map[string]bool{}}
	if err := s.query(ctx, path, "SELECT name, body, sum FROM part", l.scanPart); err != nil {
		return replication.PersistentState{}, err
	}
	if l.found[snapshotKey] {
		l.state.Snapshot = &l.snapshot
		l.last.Seq, l.last.Digest = l.snapshot.Seq, l.snapshot.Digest
	}
	if err := s.query(ctx, path, "SELECT seq, digest, body, sum FROM change ORDER BY seq", l.scanChange); err != nil {
		return replication.PersistentState{}, err
	}
	if err := l.checkComplete(); err != nil {
		return replication.PersistentState{}, err
	}
	return l.state, nil
}

// query passes each row of a query to scan, until scan fails.
func (s *Store) query(ctx context.Context, path, query string, scan func(*sql.Rows) error) error {
	rows, err := s.conn.QueryContext(ctx, query)
	if err != nil {
		return classify(path, errors.Wrap(err, query))
	}
	defer func() { _ = rows.Close() }()
	for rows.Next() {
		if err := scan(rows); err != nil {
			return err
		}
	}
	return classify(path, wrap(rows.Err(), query))
}

// target returns the value into which the row with a key is decoded; nil for an unknown key.
func (l *loader) target(key string) msgp.Unmarshaler {
	switch key {
	case identityKey:
		return &l.state.Identity
	case viewKey:
		return &l.state.View
	case voteKey:
		return &l.state.Vote
	case replicaStateKey:
		return &l.state.Replica
	case snapshotKey:
		return &l.snapshot
	case headKey:
		return &l.head
	}
	return nil
}

// scanPart loads a row of the table part.
func (l *loader) scanPart(rows *sql.Rows) error {
	var key string
	var body []byte
	var sum int64
	if err := rows.Scan(&key, &body, &sum); err != nil {
		return l.unusable("part", err)
	}
	row := "part " + key
	if sum != partChecksum(key, body) {
		return l.unusable(row, errors.New("checksum differs"))
	}
	target := l.target(key)
	if target == nil {
		return l.unusable(row, errors.New("unknown key"))
	}
	if trailing, err := target.UnmarshalMsg(body); err != nil || len(trailing) > 0 {
		return l.unusable(row, errors.Errorf("decode: %v, %d bytes left", err, len(trailing)))
	}
	l.found[key] = true
	return nil
}

// scanChange loads a row of the table change, which must follow the previous one.
func (l *loader) scanChange(rows *sql.Rows) error {
	var seq, digest, sum int64
	var body []byte
	if err := rows.Scan(&seq, &digest, &body, &sum); err != nil {
		return l.unusable("change", err)
	}
	row := fmt.Sprintf("change %d", seq)
	c := replication.Change{Seq: uint64(seq), Digest: uint64(digest), Body: body}
	if sum != changeChecksum(c.Seq, c.Digest, body) {
		return l.unusable(row, errors.New("checksum differs"))
	}
	if c.Seq != l.last.Seq+1 || c.Digest != replication.ChainDigest(l.last.Digest, c.Seq, body) {
		return l.unusable(row, errors.Errorf("does not follow change %d", l.last.Seq))
	}
	l.last.Seq, l.last.Digest = c.Seq, c.Digest
	l.state.Changes = append(l.state.Changes, c)
	return nil
}

// checkComplete detects missing rows: the end of the log, or a required key.
func (l *loader) checkComplete() error {
	if l.last.Seq != l.head.Seq || l.last.Digest != l.head.Digest {
		return l.unusable("", errors.Errorf("the log ends at change %d instead of %d", l.last.Seq, l.head.Seq))
	}
	if len(l.found) == 0 {
		return nil // nothing saved yet
	}
	for _, key := range []string{identityKey, viewKey, voteKey, replicaStateKey} {
		if !l.found[key] {
			return l.unusable("part "+key, errors.New("missing"))
		}
	}
	return nil
}

func (l *loader) unusable(row string, err error) error {
	return &UnusableError{File: l.path, Row: row, Err: err}
}
