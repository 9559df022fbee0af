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

// contents is what a file hands on.
type contents struct {
	rows    map[string]promises.Row
	records []promises.Record
}

func open(t *testing.T, dir string, forget time.Duration) (*Journal, *contents, error) {
	t.Helper()
	c := &contents{rows: map[string]promises.Row{}}
	j, err := Open(dir, forget, func(h promises.Holder, r *promises.Row) { c.rows[h.Name] = *r }, func(r *promises.Record) { c.records = append(c.records, *r) })
	return j, c, err
}

// runs starts a journal's goroutine; the function that it returns ends it.
func runs(j *Journal) (end func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() { defer close(ended); j.Run(done) }()
	return func() { close(done); <-ended }
}

// add adds and waits.
func add(t *testing.T, j *Journal, name string, row *promises.Row, keys ...promises.Key) error {
	t.Helper()
	var rec *promises.Record
	h := promises.Holder{Name: name, Incarnation: 1}
	if len(keys) > 0 {
		rec = &promises.Record{Holder: h, Keys: keys}
	}
	told := make(chan error, 1)
	if !j.Add(h, row, rec, func(err error) { told <- err }) {
		return errors.New("no room, or failed")
	}
	return <-told
}

// What was told to be on the disk is read again, in its order, by who comes after; not while another has the file. A
// holder that is dropped goes, and what is old.
func TestReadAgain(t *testing.T) {
	dir := t.TempDir()
	j, _, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := open(t, dir, time.Hour); !errors.Is(err, store.ErrHeld) {
		t.Errorf("a second process: %v", err)
	}
	end := runs(j)
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
	runs(j)()
	// What was read is as old as this process, whatever the file's age.
	j, c, err = open(t, dir, 50*time.Millisecond)
	if err != nil || len(c.records) != 3 {
		t.Fatalf("%v, read %+v", err, c)
	}
	end = runs(j)
	for j.records() > 0 { // the sweep comes by itself
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

// Many at once go with few writes, all are told, and all are there.
func TestMany(t *testing.T) {
	dir := t.TempDir()
	j, _, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	told := make(chan error, 1000)
	for i := range uint64(1000) {
		h := promises.Holder{Name: fmt.Sprint("h", i%5), Incarnation: 1}
		j.Add(h, nil, &promises.Record{Holder: h, Keys: []promises.Key{key(i)}}, func(err error) { told <- err })
	}
	stats := j.db.Stats()
	before := stats.TxStats.GetWrite()
	end := runs(j)
	for range 1000 {
		if err := <-told; err != nil {
			t.Fatal(err)
		}
	}
	stats = j.db.Stats()
	if writes := stats.TxStats.GetWrite() - before; writes > 200 {
		t.Errorf("%d pages written for what fits in one transaction", writes)
	}
	end()
	if _, c, err := open(t, dir, time.Hour); err != nil || len(c.records) != 1000 {
		t.Errorf("%v, %d records", err, len(c.records))
	}
}

// Nothing of a file is believed of which any value is not as it was written, nor of one that is none; one line says so.
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
		end := runs(j)
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
			t.Errorf("%s is opened", name)
		}
	}
}

// After a write that failed nobody is told yes any more, and what waits is bounded.
func TestFails(t *testing.T) {
	j, _, err := open(t, t.TempDir(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	large := &promises.Record{Reply: &promises.Reply{Body: make([]byte, Most/2+1)}}
	if !j.Add(promises.Holder{Name: "a"}, nil, large, nil) || j.Add(promises.Holder{Name: "a"}, nil, large, nil) {
		t.Error("what waits has no bound, or none fits")
	}
	_ = j.db.Close()
	defer runs(j)()
	if err := add(t, j, "a", nil, key(1)); err == nil {
		t.Error("it is on a disk that is gone")
	}
	for j.Failed() == nil {
		time.Sleep(time.Millisecond)
	}
	if err := add(t, j, "a", nil, key(2)); err == nil {
		t.Error("it goes on after a failure")
	}
}
