package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"molepaddle/internal/decide/promises"
	"molepaddle/internal/goldenbytes"
)

// storedJournal is a journal file written by an earlier build of the agent.
const storedJournal = "testdata/stored/promises.db"

// A build reads the rows and records that an earlier build has stored, in order, and appends to them.
func TestStoredByEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	if goldenbytes.Updating() {
		storeJournal(t, dir)
	} else {
		copyFile(t, storedJournal, filepath.Join(dir, file))
	}
	j, c, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	text := ""
	for _, name := range []string{"a", "b"} {
		text += fmt.Sprintf("holder %s: %v\n", name, c.rows[name])
	}
	for _, r := range c.records {
		text += fmt.Sprintf("record %v %v", r.Holder, r.Keys)
		if r.Reply != nil {
			text += fmt.Sprintf(" reply %v", *r.Reply)
		}
		text += "\n"
	}
	goldenbytes.Check(t, "stored/promises.txt", []byte(text))
	end := start(j)
	if err := add(t, j, "a", nil, key(100)); err != nil {
		t.Error(err)
	}
	end()
	_, after, err := open(t, dir, time.Hour)
	if err != nil || len(after.records) != len(c.records)+1 || !slices.Equal(after.records[len(c.records)].Keys, []promises.Key{key(100)}) {
		t.Errorf("%v, read %+v", err, after)
	}
}

// storeJournal writes rows and records, and copies the file to testdata.
func storeJournal(t *testing.T, dir string) {
	j, _, err := open(t, dir, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	end := start(j)
	row := &promises.Row{Process: promises.Peer{Name: "n1", Incarnation: 3}, Identities: []promises.Peer{{Name: "n2", Incarnation: 1 << 63}}, Epoch: 7}
	for _, name := range []string{"a", "b"} {
		if err := add(t, j, name, row, key(1), key(1<<63)); err != nil {
			t.Fatal(err)
		}
	}
	h := promises.Holder{Name: "b", Incarnation: 1}
	reply := &promises.Reply{Result: 1, ContentType: "text/plain", Body: []byte("done")}
	j.Add(h, nil, &promises.Record{Holder: h, Keys: []promises.Key{key(1)}, Reply: reply}, nil)
	end()
	copyFile(t, filepath.Join(dir, file), storedJournal)
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
