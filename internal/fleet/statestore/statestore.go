// Package statestore keeps a core machine's part of the control state (replication.State) on its disk, in one SQLite file.
//
// A save is one transaction, synced when Save returns (WAL, synchronous=FULL). The file is locked for this process, so that
// there is no shared memory file. Each row carries a checksum; the changes also chain from the snapshot to the noted
// head, so that a row that is missing shows. What can't be read whole counts as a lost disk: the file is set
// aside as control.db.broken (one at most, an older one is replaced) and State.Lost is set, also at later openings,
// until something was saved.
//
// # Loss of power
//
// What Save and Open have returned survives it. SQLite syncs the folder after it has made its files; folders made here are
// synced in theirs. A process that was killed may leave writes that only the system's memory has: Open syncs the
// files before it reads them, as what is read is acted upon without being written again.
//
// # Size
//
// The file holds one snapshot and the changes since, which replication bounds; while a snapshot is replaced, the old
// and the new one and the log (WAL) of the new one are there, about four times a snapshot in all. The log goes back into the
// file every 256 pages of 4,096 bytes and is cut to 1 MiB.
package statestore

import (
	"context"
	"database/sql"
	"encoding/binary"
	"fmt"
	"net/url"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/mattn/go-sqlite3"
	"github.com/tinylib/msgp/msgp"

	"molepaddle/internal/fleet/replication"
)

const (
	fileName      = "control.db"
	brokenName    = fileName + ".broken"
	schemaVersion = 1 // of the schema
)

// The names in the table part.
const (
	identityKey     = "identity"
	viewKey         = "view"
	voteKey         = "vote"
	replicaStateKey = "standing"
	snapshotKey     = "snapshot"
	headKey         = "head"
)

// UnusableError tells what of the file can't be read. The disk then counts as lost.
type UnusableError struct {
	File string
	Row  string // table and key; "" when it isn't one row
	Err  error
}

func (e *UnusableError) Error() string {
	if e.Row == "" {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: row %s: %v", e.File, e.Row, e.Err)
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Err }

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	db            *sql.DB
	conn          *sql.Conn
	setAsideCause *UnusableError
}

// Open opens or creates the store in dir and loads what it holds. A file that can't be read whole is set aside and the State
// comes back empty with Lost set; Broken then tells why. Open fails when the folder can't be used at all.
func Open(dir string) (*Store, replication.PersistentState, error) {
	if err := makeDirDurable(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore: make folder")
	}
	if err := syncExistingFiles(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	path := filepath.Join(dir, fileName)
	store, st, err := open(path)
	var broken *UnusableError
	if errors.As(err, &broken) {
		if err := setAside(dir); err != nil {
			return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", broken)
		}
		store, st, err = open(path)
	}
	if err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	store.setAsideCause = broken
	if st.Identity.ID == "" {
		st = replication.PersistentState{}
		if _, err := os.Stat(filepath.Join(dir, brokenName)); err == nil {
			st.DiskLost = true
		}
	}
	return store, st, nil
}

// OpenFor opens the store of the machine at an address. What another address left is set aside as a broken file is: its identity
// is a member at that address and answers nothing here, so that this machine begins as one that lost its disk, and nothing
// of the old content is destroyed.
func OpenFor(dir, addr string) (*Store, replication.PersistentState, error) {
	store, st, err := Open(dir)
	if err != nil || st.Identity.ID == "" || st.Identity.Addr == addr {
		return store, st, err
	}
	foreign := &UnusableError{
		File: filepath.Join(dir, fileName), Err: errors.Errorf("the state belongs to %s, not to %s", st.Identity.Addr, addr),
	}
	if err := store.Close(); err != nil {
		return nil, replication.PersistentState{}, err
	}
	if err := setAside(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", foreign)
	}
	if store, st, err = Open(dir); err == nil {
		store.setAsideCause = foreign
	}
	return store, st, err
}

// SetAsideCause tells what was wrong with the file that Open set aside (a *UnusableError), nil when nothing was.
func (s *Store) SetAsideCause() error {
	if s.setAsideCause == nil {
		return nil
	}
	return s.setAsideCause
}

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
	if store.conn, err = db.Conn(ctx); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "connect"))
	}
	for _, q := range []string{
		"PRAGMA locking_mode=EXCLUSIVE", // before WAL: no shared memory then
		"PRAGMA journal_mode=WAL",
		"PRAGMA synchronous=FULL",
		"PRAGMA wal_autocheckpoint=256",
		"PRAGMA journal_size_limit=1048576",
		"PRAGMA cache_size=-512",
		"PRAGMA temp_store=MEMORY",
	} {
		if _, err := store.conn.ExecContext(ctx, q); err != nil {
			return nil, st, classify(path, "", errors.Wrap(err, q))
		}
	}
	var check string
	if err := store.conn.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&check); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "check"))
	}
	if check != "ok" {
		return nil, st, &UnusableError{File: path, Err: errors.New(check)}
	}
	var v, tables int
	if err := store.conn.QueryRowContext(ctx, "PRAGMA user_version").Scan(&v); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "version"))
	}
	if err := store.conn.QueryRowContext(ctx, "SELECT count(*) FROM sqlite_schema").Scan(&tables); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "schema"))
	}
	switch {
	case v == 0 && tables == 0:
		err := store.transact(func(ctx context.Context) error {
			for _, q := range []string{
				"CREATE TABLE part (name TEXT PRIMARY KEY, body BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID",
				"CREATE TABLE change (seq INTEGER PRIMARY KEY, digest INTEGER NOT NULL, body BLOB NOT NULL, " +
					"sum INTEGER NOT NULL)",
				fmt.Sprintf("PRAGMA user_version=%d", schemaVersion),
			} {
				if _, err := store.conn.ExecContext(ctx, q); err != nil {
					return errors.Wrap(err, q)
				}
			}
			return nil
		})
		return store, st, err
	case v != schemaVersion:
		if v > schemaVersion {
			return nil, st, errors.Errorf("%s: schema %d is newer than %d", path, v, schemaVersion)
		}
		return nil, st, &UnusableError{File: path, Err: errors.Errorf("schema %d with %d tables", v, tables)}
	}
	st, err = store.load(ctx, path)
	return store, st, err
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
	// Some errors have rolled back already; this one then fails, which is fine.
	_, _ = s.conn.ExecContext(ctx, "ROLLBACK")
	return err
}

func partChecksum(name string, body []byte) int64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return int64(d.Sum64())
}

func changeChecksum(seq, digest uint64, body []byte) int64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], seq)
	binary.LittleEndian.PutUint64(head[8:], digest)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return int64(d.Sum64())
}

// Save writes w in one transaction and returns when it is synced. After an error nothing of w counts as written, and
// the same w may be saved again; saving it twice equals once. A full or failing disk shows as an error.
func (s *Store) Save(w *replication.Write) error {
	if w.Empty() {
		return nil
	}
	err := s.transact(func(ctx context.Context) error {
		if w.Reset {
			for _, q := range []string{"DELETE FROM part", "DELETE FROM change"} {
				if _, err := s.conn.ExecContext(ctx, q); err != nil {
					return errors.Wrap(err, q)
				}
			}
		}
		put := func(name string, m msgp.Marshaler) error {
			body, err := m.MarshalMsg(nil)
			if err != nil {
				return errors.Wrap(err, name)
			}
			_, err = s.conn.ExecContext(ctx, "INSERT OR REPLACE INTO part (name, body, sum) VALUES (?, ?, ?)",
				name, body, partChecksum(name, body))
			return wrap(err, name)
		}
		var head *replication.Snapshot // without body
		if w.Identity != nil {
			if err := put(identityKey, w.Identity); err != nil {
				return err
			}
		}
		if w.View != nil {
			if err := put(viewKey, w.View); err != nil {
				return err
			}
		}
		if w.Vote != nil {
			if err := put(voteKey, w.Vote); err != nil {
				return err
			}
		}
		if w.Replica != nil {
			if err := put(replicaStateKey, w.Replica); err != nil {
				return err
			}
		}
		if snapshot := w.Snapshot; snapshot != nil {
			if _, err := s.conn.ExecContext(ctx, "DELETE FROM change"); err != nil {
				return errors.Wrap(err, "drop changes")
			}
			if err := put(snapshotKey, snapshot); err != nil {
				return err
			}
			head = &replication.Snapshot{Seq: snapshot.Seq, Digest: snapshot.Digest}
		}
		for _, c := range w.Changes {
			body := c.Body
			if body == nil {
				body = []byte{}
			}
			_, err := s.conn.ExecContext(ctx, "INSERT OR REPLACE INTO change (seq, digest, body, sum) VALUES (?, ?, ?, ?)",
				int64(c.Seq), int64(c.Digest), body, changeChecksum(c.Seq, c.Digest, body))
			if err != nil {
				return errors.Wrapf(err, "change %d", c.Seq)
			}
			head = &replication.Snapshot{Seq: c.Seq, Digest: c.Digest}
		}
		if head != nil {
			return put(headKey, head)
		}
		return nil
	})
	return wrap(err, "statestore: save")
}

// load reads and checks everything.
func (s *Store) load(ctx context.Context, path string) (st replication.PersistentState, _ error) {
	var head replication.Snapshot
	var snapshot replication.Snapshot
	parts := map[string]msgp.Unmarshaler{
		identityKey: &st.Identity, viewKey: &st.View, voteKey: &st.Vote, replicaStateKey: &st.Replica,
		snapshotKey: &snapshot, headKey: &head,
	}
	found := map[string]bool{}
	read := func(query string, row func(*sql.Rows) error) error {
		rows, err := s.conn.QueryContext(ctx, query)
		if err != nil {
			return classify(path, "", errors.Wrap(err, query))
		}
		defer func() { _ = rows.Close() }()
		for rows.Next() {
			if err := row(rows); err != nil {
				return err
			}
		}
		return classify(path, "", wrap(rows.Err(), query))
	}
	err := read("SELECT name, body, sum FROM part", func(rows *sql.Rows) error {
		var name string
		var body []byte
		var sum int64
		if err := rows.Scan(&name, &body, &sum); err != nil {
			return &UnusableError{File: path, Row: "part", Err: err}
		}
		broken := func(err error) error { return &UnusableError{File: path, Row: "part " + name, Err: err} }
		if sum != partChecksum(name, body) {
			return broken(errors.New("checksum differs"))
		}
		into, ok := parts[name]
		if !ok {
			return broken(errors.New("unknown name"))
		}
		if rest, err := into.UnmarshalMsg(body); err != nil || len(rest) > 0 {
			return broken(errors.Errorf("decode: %v, %d bytes left", err, len(rest)))
		}
		found[name] = true
		return nil
	})
	if err != nil {
		return replication.PersistentState{}, err
	}
	at := replication.Snapshot{}
	if found[snapshotKey] {
		st.Snapshot = &snapshot
		at.Seq, at.Digest = snapshot.Seq, snapshot.Digest
	}
	err = read("SELECT seq, digest, body, sum FROM change ORDER BY seq", func(rows *sql.Rows) error {
		var seq, digest, sum int64
		var body []byte
		if err := rows.Scan(&seq, &digest, &body, &sum); err != nil {
			return &UnusableError{File: path, Row: "change", Err: err}
		}
		c := replication.Change{Seq: uint64(seq), Digest: uint64(digest), Body: body}
		broken := func(text string) error {
			return &UnusableError{File: path, Row: fmt.Sprintf("change %d", seq), Err: errors.New(text)}
		}
		if sum != changeChecksum(c.Seq, c.Digest, body) {
			return broken("checksum differs")
		}
		if c.Seq != at.Seq+1 || c.Digest != replication.ChainDigest(at.Digest, c.Seq, body) {
			return broken(fmt.Sprintf("doesn't follow %d", at.Seq))
		}
		at.Seq, at.Digest = c.Seq, c.Digest
		st.Changes = append(st.Changes, c)
		return nil
	})
	if err != nil {
		return replication.PersistentState{}, err
	}
	if at.Seq != head.Seq || at.Digest != head.Digest {
		return replication.PersistentState{}, &UnusableError{
			File: path, Err: errors.Errorf("the record ends at %d instead of %d", at.Seq, head.Seq),
		}
	}
	if len(found) > 0 {
		for _, name := range []string{identityKey, viewKey, voteKey, replicaStateKey} {
			if !found[name] {
				return replication.PersistentState{}, &UnusableError{File: path, Row: "part " + name, Err: errors.New("missing")}
			}
		}
	}
	return st, nil
}

// classify makes a UnusableError of an error that tells of the file's content. An error of the disk itself stays what it is:
// the content may be fine.
func classify(path, row string, err error) error {
	var e sqlite3.Error
	if errors.As(err, &e) && (e.Code == sqlite3.ErrCorrupt || e.Code == sqlite3.ErrNotADB || e.Code == sqlite3.ErrFormat) {
		return &UnusableError{File: path, Row: row, Err: err}
	}
	return err
}

// Close closes the file.
func (s *Store) Close() error {
	var err error
	if s.conn != nil {
		err = s.conn.Close()
	}
	if e := s.db.Close(); err == nil {
		err = e
	}
	return wrap(err, "statestore: close")
}

// wrap is errors.Wrap for an error that may be nil, which errors.Wrap would make one of.
func wrap(err error, text string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, text)
}
