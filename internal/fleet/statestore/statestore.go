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
	fileName   = "control.db"
	brokenName = fileName + ".broken"
	version    = 1 // of the schema
)

// The names in the table part.
const (
	partIdentity = "identity"
	partView     = "view"
	partVote     = "vote"
	partStanding = "standing"
	partSnapshot = "snapshot"
	partHead     = "head"
)

// BrokenError tells what of the file can't be read. The disk then counts as lost.
type BrokenError struct {
	File string
	Row  string // table and key; "" when it isn't one row
	Err  error
}

func (e *BrokenError) Error() string {
	if e.Row == "" {
		return fmt.Sprintf("%s: %v", e.File, e.Err)
	}
	return fmt.Sprintf("%s: row %s: %v", e.File, e.Row, e.Err)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Err }

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	db     *sql.DB
	conn   *sql.Conn
	broken *BrokenError
}

// Open opens or creates the store in dir and loads what it holds. A file that can't be read whole is set aside and the State
// comes back empty with Lost set; Broken then tells why. Open fails when the folder can't be used at all.
func Open(dir string) (*Store, replication.PersistentState, error) {
	if err := makeFolder(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore: make folder")
	}
	if err := settle(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	path := filepath.Join(dir, fileName)
	a, st, err := open(path)
	var broken *BrokenError
	if errors.As(err, &broken) {
		if err := setAside(dir); err != nil {
			return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", broken)
		}
		a, st, err = open(path)
	}
	if err != nil {
		return nil, replication.PersistentState{}, errors.Wrap(err, "statestore")
	}
	a.broken = broken
	if st.Identity.ID == "" {
		st = replication.PersistentState{}
		if _, err := os.Stat(filepath.Join(dir, brokenName)); err == nil {
			st.DiskLost = true
		}
	}
	return a, st, nil
}

// OpenFor opens the store of the machine at an address. What another address left is set aside as a broken file is: its identity
// is a member at that address and answers nothing here, so that this machine begins as one that lost its disk, and nothing
// of the old content is destroyed.
func OpenFor(dir, addr string) (*Store, replication.PersistentState, error) {
	a, st, err := Open(dir)
	if err != nil || st.Identity.ID == "" || st.Identity.Addr == addr {
		return a, st, err
	}
	foreign := &BrokenError{
		File: filepath.Join(dir, fileName), Err: errors.Errorf("the state belongs to %s, not to %s", st.Identity.Addr, addr),
	}
	if err := a.Close(); err != nil {
		return nil, replication.PersistentState{}, err
	}
	if err := setAside(dir); err != nil {
		return nil, replication.PersistentState{}, errors.Wrapf(err, "statestore: set aside after: %v", foreign)
	}
	if a, st, err = Open(dir); err == nil {
		a.broken = foreign
	}
	return a, st, err
}

// Broken tells what was wrong with the file that Open set aside (a *BrokenError), nil when nothing was.
func (a *Store) Broken() error {
	if a.broken == nil {
		return nil
	}
	return a.broken
}

func open(path string) (_ *Store, st replication.PersistentState, rerr error) {
	db, err := sql.Open("sqlite3", (&url.URL{Scheme: "file", Opaque: (&url.URL{Path: path}).EscapedPath()}).String())
	if err != nil {
		return nil, st, errors.Wrap(err, "open")
	}
	db.SetMaxOpenConns(1)
	a := &Store{db: db}
	defer func() {
		if rerr != nil {
			_ = a.Close()
		}
	}()
	ctx := context.Background()
	if a.conn, err = db.Conn(ctx); err != nil {
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
		if _, err := a.conn.ExecContext(ctx, q); err != nil {
			return nil, st, classify(path, "", errors.Wrap(err, q))
		}
	}
	var check string
	if err := a.conn.QueryRowContext(ctx, "PRAGMA quick_check(1)").Scan(&check); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "check"))
	}
	if check != "ok" {
		return nil, st, &BrokenError{File: path, Err: errors.New(check)}
	}
	var v, tables int
	if err := a.conn.QueryRowContext(ctx, "PRAGMA user_version").Scan(&v); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "version"))
	}
	if err := a.conn.QueryRowContext(ctx, "SELECT count(*) FROM sqlite_schema").Scan(&tables); err != nil {
		return nil, st, classify(path, "", errors.Wrap(err, "schema"))
	}
	switch {
	case v == 0 && tables == 0:
		err := a.transact(func(ctx context.Context) error {
			for _, q := range []string{
				"CREATE TABLE part (name TEXT PRIMARY KEY, body BLOB NOT NULL, sum INTEGER NOT NULL) WITHOUT ROWID",
				"CREATE TABLE change (seq INTEGER PRIMARY KEY, digest INTEGER NOT NULL, body BLOB NOT NULL, " +
					"sum INTEGER NOT NULL)",
				fmt.Sprintf("PRAGMA user_version=%d", version),
			} {
				if _, err := a.conn.ExecContext(ctx, q); err != nil {
					return errors.Wrap(err, q)
				}
			}
			return nil
		})
		return a, st, err
	case v != version:
		if v > version {
			return nil, st, errors.Errorf("%s: schema %d is newer than %d", path, v, version)
		}
		return nil, st, &BrokenError{File: path, Err: errors.Errorf("schema %d with %d tables", v, tables)}
	}
	st, err = a.load(ctx, path)
	return a, st, err
}

// transact runs f between BEGIN and COMMIT.
func (a *Store) transact(f func(context.Context) error) error {
	ctx := context.Background()
	if _, err := a.conn.ExecContext(ctx, "BEGIN IMMEDIATE"); err != nil {
		return errors.Wrap(err, "begin")
	}
	err := f(ctx)
	if err == nil {
		if _, err = a.conn.ExecContext(ctx, "COMMIT"); err == nil {
			return nil
		}
		err = errors.Wrap(err, "commit")
	}
	// Some errors have rolled back already; this one then fails, which is fine.
	_, _ = a.conn.ExecContext(ctx, "ROLLBACK")
	return err
}

func partSum(name string, body []byte) int64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return int64(d.Sum64())
}

func changeSum(seq, digest uint64, body []byte) int64 {
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
func (a *Store) Save(w *replication.Write) error {
	if w.Empty() {
		return nil
	}
	err := a.transact(func(ctx context.Context) error {
		if w.Reset {
			for _, q := range []string{"DELETE FROM part", "DELETE FROM change"} {
				if _, err := a.conn.ExecContext(ctx, q); err != nil {
					return errors.Wrap(err, q)
				}
			}
		}
		put := func(name string, m msgp.Marshaler) error {
			body, err := m.MarshalMsg(nil)
			if err != nil {
				return errors.Wrap(err, name)
			}
			_, err = a.conn.ExecContext(ctx, "INSERT OR REPLACE INTO part (name, body, sum) VALUES (?, ?, ?)",
				name, body, partSum(name, body))
			return wrap(err, name)
		}
		var head *replication.Snapshot // without body
		if w.Identity != nil {
			if err := put(partIdentity, w.Identity); err != nil {
				return err
			}
		}
		if w.View != nil {
			if err := put(partView, w.View); err != nil {
				return err
			}
		}
		if w.Vote != nil {
			if err := put(partVote, w.Vote); err != nil {
				return err
			}
		}
		if w.Replica != nil {
			if err := put(partStanding, w.Replica); err != nil {
				return err
			}
		}
		if s := w.Snapshot; s != nil {
			if _, err := a.conn.ExecContext(ctx, "DELETE FROM change"); err != nil {
				return errors.Wrap(err, "drop changes")
			}
			if err := put(partSnapshot, s); err != nil {
				return err
			}
			head = &replication.Snapshot{Seq: s.Seq, Digest: s.Digest}
		}
		for _, c := range w.Changes {
			body := c.Body
			if body == nil {
				body = []byte{}
			}
			_, err := a.conn.ExecContext(ctx, "INSERT OR REPLACE INTO change (seq, digest, body, sum) VALUES (?, ?, ?, ?)",
				int64(c.Seq), int64(c.Digest), body, changeSum(c.Seq, c.Digest, body))
			if err != nil {
				return errors.Wrapf(err, "change %d", c.Seq)
			}
			head = &replication.Snapshot{Seq: c.Seq, Digest: c.Digest}
		}
		if head != nil {
			return put(partHead, head)
		}
		return nil
	})
	return wrap(err, "statestore: save")
}

// load reads and checks everything.
func (a *Store) load(ctx context.Context, path string) (st replication.PersistentState, _ error) {
	var head replication.Snapshot
	var snapshot replication.Snapshot
	parts := map[string]msgp.Unmarshaler{
		partIdentity: &st.Identity, partView: &st.View, partVote: &st.Vote, partStanding: &st.Replica,
		partSnapshot: &snapshot, partHead: &head,
	}
	found := map[string]bool{}
	read := func(query string, row func(*sql.Rows) error) error {
		rows, err := a.conn.QueryContext(ctx, query)
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
			return &BrokenError{File: path, Row: "part", Err: err}
		}
		broken := func(err error) error { return &BrokenError{File: path, Row: "part " + name, Err: err} }
		if sum != partSum(name, body) {
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
	if found[partSnapshot] {
		st.Snapshot = &snapshot
		at.Seq, at.Digest = snapshot.Seq, snapshot.Digest
	}
	err = read("SELECT seq, digest, body, sum FROM change ORDER BY seq", func(rows *sql.Rows) error {
		var seq, digest, sum int64
		var body []byte
		if err := rows.Scan(&seq, &digest, &body, &sum); err != nil {
			return &BrokenError{File: path, Row: "change", Err: err}
		}
		c := replication.Change{Seq: uint64(seq), Digest: uint64(digest), Body: body}
		broken := func(text string) error {
			return &BrokenError{File: path, Row: fmt.Sprintf("change %d", seq), Err: errors.New(text)}
		}
		if sum != changeSum(c.Seq, c.Digest, body) {
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
		return replication.PersistentState{}, &BrokenError{
			File: path, Err: errors.Errorf("the record ends at %d instead of %d", at.Seq, head.Seq),
		}
	}
	if len(found) > 0 {
		for _, name := range []string{partIdentity, partView, partVote, partStanding} {
			if !found[name] {
				return replication.PersistentState{}, &BrokenError{File: path, Row: "part " + name, Err: errors.New("missing")}
			}
		}
	}
	return st, nil
}

// classify makes a BrokenError of an error that tells of the file's content. An error of the disk itself stays what it is:
// the content may be fine.
func classify(path, row string, err error) error {
	var e sqlite3.Error
	if errors.As(err, &e) && (e.Code == sqlite3.ErrCorrupt || e.Code == sqlite3.ErrNotADB || e.Code == sqlite3.ErrFormat) {
		return &BrokenError{File: path, Row: row, Err: err}
	}
	return err
}

// Close closes the file.
func (a *Store) Close() error {
	var err error
	if a.conn != nil {
		err = a.conn.Close()
	}
	if e := a.db.Close(); err == nil {
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
