package statestore

import (
	"context"
	"database/sql"
	"fmt"
	"net/url"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/replication"
)

// schemaVersion is SQLite's user_version in files written by this build.
const schemaVersion = 1

// Keys of the rows in the table part. They are stored and must not change.
const (
	identityKey     = "identity"
	viewKey         = "view"
	voteKey         = "vote"
	replicaStateKey = "standing"
	snapshotKey     = "snapshot"
	headKey         = "head" // sequence number and digest of the newest change
)

// connectionSettings are the statements executed, in this order, on a new connection.
var connectionSettings = []string{
	"PRAGMA locking_mode=EXCLUSIVE", // before WAL, so that no shared memory is used
	"PRAGMA journal_mode=WAL",
	"PRAGMA synchronous=FULL",
	"PRAGMA wal_autocheckpoint=256",
	"PRAGMA journal_size_limit=1048576",
	"PRAGMA cache_size=-512",
	"PRAGMA temp_store=MEMORY",
}

// schema are the statements that create the tables of an empty file.
var schema = []string{
	"CREATE TABLE part (name TEXT PRIMARY KEY, body BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID",
	"CREATE TABLE change (seq INTEGER PRIMARY KEY, digest INTEGER NOT NULL, body BLOB NOT NULL, " +
		"sum INTEGER NOT NULL)",
	fmt.Sprintf("PRAGMA user_version=%d", schemaVersion),
}

// open opens or creates the file at path and loads its content. Unusable content is an *UnusableError.
func open(path string) (_ *Store, st replication.PersistentState, rerr error) {
	db, err := sql.Open("sqlite3", (&url.URL{Scheme: "file", Opaque: (&url.URL{Path: path}).EscapedPath()}).String())
	if err != nil {
		return nil, st, errors.Wrap(err, "open")
	}
	db.SetMaxOpenConns(1)
	store := &Store{db: db}
	defer func() {
		if rerr != nil {
			_ = store.Close()
		}
	}()
	ctx := context.Background()
	if err := store.connect(ctx, path); err != nil {
		return nil, st, err
	}
	created, err := store.ensureSchema(ctx, path)
	if err != nil || created {
		return store, st, err
	}
	st, err = store.load(ctx, path)
	return store, st, err
}

// connect opens the connection, locks the file, and has SQLite check the file's integrity.
func (s *Store) connect(ctx context.Context, path string) (err error) {
	if s.conn, err = s.db.Conn(ctx); err != nil {
		return classify(path, errors.Wrap(err, "connect"))
	}
	for _, setting := range connectionSettings {
		if _, err := s.conn.ExecContext(ctx, setting); err != nil {
			return classify(path, errors.Wrap(err, setting))
		}
	}
	var check string
	if err := s.conn.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&check); err != nil {
		return classify(path, errors.Wrap(err, "check"))
	}
	if check != "ok" {
		return &UnusableError{File: path, Err: errors.New(check)}
	}
	return nil
}

// ensureSchema creates the tables of an empty file and rejects other schema versions. A newer version is a permanent
// error and not an *UnusableError: the file of a newer build stays in place.
func (s *Store) ensureSchema(ctx context.Context, path string) (created bool, err error) {
	var version, tables int
	if err := s.conn.QueryRowContext(ctx, "PRAGMA user_version").Scan(&version); err != nil {
		return false, classify(path, errors.Wrap(err, "version"))
	}
	if err := s.conn.QueryRowContext(ctx, "SELECT count(*) FROM sqlite_schema").Scan(&tables); err != nil {
		return false, classify(path, errors.Wrap(err, "schema"))
	}
	switch {
	case version == schemaVersion:
		return false, nil
	case version == 0 && tables == 0:
		err := s.transact(func(ctx context.Context) error { return s.execAll(ctx, schema) })
		return err == nil, err
	case version > schemaVersion:
		return false, errors.Errorf("%s: schema %d is newer than %d", path, version, schemaVersion)
	}
	return false, &UnusableError{File: path, Err: errors.Errorf("schema %d with %d tables", version, tables)}
}

// execAll executes statements in order.
func (s *Store) execAll(ctx context.Context, statements []string) error {
	for _, statement := range statements {
		if _, err := s.conn.ExecContext(ctx, statement); err != nil {
			return errors.Wrap(err, statement)
		}
	}
	return nil
}
