package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/store"
)

func key(n uint64) promises.Key { return promises.Key{Origin: "near", Incarnation: 1, Number: n} }

// contents collects the rows and records that Open returns.
type contents struct {
	rows    map[string]promises.Row
	records []promises.Record
}

func open(t *testing.T, dir string, retention time.Duration) (*Journal, *contents, error) {
	t.Helper()
	c := &contents{rows: map[string]promises.Row{}}
	j, err := Open(dir, retention, func(h promises.Holder, r *promises.Row) { c.rows[h.Name] = *r }, func(r *promises.Record) { c.records = append(c.records, *r) })
	return j, c, err
}

// start starts a journal's goroutine and returns a function that ends it.
func start(j *Journal) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); j.Run(done) }()
	return func() { close(done); <-ended }
}

// add adds an entry and waits for its result.
func add(t *testing.T, j *Journal, name string, row *promises.Row, keys ...promises.Key) error {
	t.Helper()
	var rec *promises.Record
	h := promises.Holder{Name: name, Incarnation: 1}
	if len(keys) > 0 {
		rec = &promises.Record{Holder: h, Keys: keys}
	}
	done := make(chan error, 1)
	if !j.Add(h, row, rec, func(err error) { done <- err }) {
		return errors.New("queue full or journal failed")
	}
	return <-done
}

// Entries acknowledged as written are read again, in order, by the next process, which cannot open the file while
// another has it open. Dropped rows and expired records are deleted.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	j, _, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(t, dir, time.Hour); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened a second time: error %v, want ErrLocked", err)
	}
	end := start(j)
	row := &promises.Row{Process: promises.Peer{Name: "n1", Incarnation: 3}, Identities: []promises.Peer{{Name: "n2", Incarnation: 4}}, Epoch: 7}
	for i, err := range []error{add(t, j, "a", row), add(t, j, "b", row), add(t, j, "a", nil, key(1), key(2)), add(t, j, "a", nil, key(3)), add(t, j, "a", nil)} {
		if err != nil {
			t.Error(i, err)
		}
	}
	j.Add(promises.Holder{Name: "a", Incarnation: 1}, nil, &promises.Record{Holder: promises.Holder{Name: "a", Incarnation: 1}, Keys: []promises.Key{key(2)}, Reply: &promises.Reply{Body: []byte("done")}}, nil)
	j.Drop(promises.Holder{Name: "b", Incarnation: 1})
	end()
	j, c, err := open(t, dir, time.Hour)
	if err != nil || len(c.rows) != 1 || c.rows["a"].Epoch != 7 || c.rows["a"].Identities[0] != row.Identities[0] || len(c.records) != 3 {
		t.Fatalf("%v, read %+v", err, c)
	}
	if r := c.records; !slices.Equal(r[0].Keys, []promises.Key{key(1), key(2)}) || r[1].Keys[0] != key(3) || string(r[2].Reply.Body) != "done" {
		t.Errorf("read %+v", r)
	}
	start(j)()
	// The retention of records read from the file starts with this process, whatever the file's age.
	j, c, err = open(t, dir, 50*time.Millisecond)
	if err != nil || len(c.records) != 3 {
		t.Fatalf("%v, read %+v", err, c)
	}
	end = start(j)
	for j.records() > 0 { // the sweep runs without additions
		time.Sleep(time.Millisecond)
	}
	if err := add(t, j, "a", nil, key(9)); err != nil {
		t.Error(err)
	}
	end()
	if _, c, err = open(t, dir, time.Hour); err != nil || len(c.rows) != 1 || len(c.records) != 1 || c.records[0].Keys[0] != key(9) {
		t.Errorf("%v, read %+v", err, c)
	}
}

func (j *Journal) records() (n int) {
	_ = j.db.View(func(tx *bbolt.Tx) error { n = tx.Bucket(records).Stats().KeyN; return nil })
	return n
}

// Many concurrent additions are written in few transactions; all are acknowledged and stored.
func TestBatchedWrites(t *testing.T) {
	dir := t.TempDir()
	j, _, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1000)
	for i := range uint64(1000) {
		h := promises.Holder{Name: fmt.Sprint("h", i%5), Incarnation: 1}
		j.Add(h, nil, &promises.Record{Holder: h, Keys: []promises.Key{key(i)}}, func(err error) { done <- err })
	}
	stats := j.db.Stats()
	before := stats.TxStats.GetWrite()
	end := start(j)
	for range 1000 {
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	stats = j.db.Stats()
	if writes := stats.TxStats.GetWrite() - before; writes > 200 {
		t.Errorf("%d pages written for entries that fit in one transaction", writes)
	}
	end()
	if _, c, err := open(t, dir, time.Hour); err != nil || len(c.records) != 1000 {
		t.Errorf("%v, %d records", err, len(c.records))
	}
}

// A file with any damaged value, or one of another format, is rejected with an error, and none of its contents are
// returned.
func TestDamaged(t *testing.T) {
	for name, spoil := range map[string]func(tx *bbolt.Tx) error{
		"a record": func(tx *bbolt.Tx) error {
			k, v := tx.Bucket(records).Cursor().Last()
			return tx.Bucket(records).Put(slices.Clone(k), append(slices.Clone(v[:len(v)-1]), v[len(v)-1]^1))
		},
		"a row": func(tx *bbolt.Tx) error {
			k, _ := tx.Bucket(holders).Cursor().First()
			return tx.Bucket(holders).Put(slices.Clone(k), nil)
		},
		"a row in another's place": func(tx *bbolt.Tx) error {
			k, v := tx.Bucket(holders).Cursor().First()
			return tx.Bucket(holders).Put(append(slices.Clone(k), 1), slices.Clone(v))
		},
		"a record's number": func(tx *bbolt.Tx) error { return tx.Bucket(records).Put([]byte("x"), nil) },
	} {
		dir := t.TempDir()
		j, _, err := open(t, dir, time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		end := start(j)
		_ = add(t, j, "a", &promises.Row{Epoch: 1}, key(1))
		_ = add(t, j, "a", nil, key(2))
		end()
		db, err := bbolt.Open(filepath.Join(dir, file), 0o600, nil)
		if err == nil {
			err = errors.Join(db.Update(spoil), db.Close())
		}
		if err != nil {
			t.Fatal(err)
		}
		if _, c, err := open(t, dir, time.Hour); !errors.Is(err, store.ErrDamaged) || len(c.rows)+len(c.records) > 0 {
			t.Errorf("%s: %v, read %+v", name, err, c)
		}
	}
	for name, text := range map[string][]byte{"no file of this kind": []byte("hello, this is no database at all"), "zeros": make([]byte, 64<<10)} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, file), text, 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, err := open(t, dir, time.Hour); err == nil {
			t.Errorf("%s: opened without an error", name)
		}
	}
}

// After a failed write, no further entry is acknowledged; the queue is bounded.
func TestWriteFailure(t *testing.T) {
	j, _, err := open(t, t.TempDir(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	large := &promises.Record{Reply: &promises.Reply{Body: make([]byte, MaxPendingBytes/2+1)}}
	if !j.Add(promises.Holder{Name: "a"}, nil, large, nil) || j.Add(promises.Holder{Name: "a"}, nil, large, nil) {
		t.Error("the queue has no bound, or rejects an entry while empty")
	}
	_ = j.db.Close()
	defer start(j)()
	if err := add(t, j, "a", nil, key(1)); err == nil {
		t.Error("entry acknowledged after the database was closed")
	}
	for j.Err() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := add(t, j, "a", nil, key(2)); err == nil {
		t.Error("entry acknowledged after a failed write")
	}
}
