// Package trial runs experiments: it plays scenarios by variants and seeds, stores one row per play,
// compares two variants by a confidence interval, and sweeps parameter grids for the knee.
//
// A Store may be used by several goroutines; a lock guards its file and rows. A Lab belongs to one
// goroutine, which starts a bounded number of others for plays of the model and waits for them.
package trial

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"

	"molepaddle/internal/rig/lab/measure"
)

// Version is the format version of the rows.
const Version = 1

// maxRow limits a line of a file, in bytes: a play of 10,000 servers takes some 20 MB.
const maxRow = 64 << 20

// Row is the record of one play, a line of a file.
type Row struct {
	V        int                `json:"v"`
	Scenario string             `json:"scenario"`
	Hash     string             `json:"hash"` // of the scenario with the variant's changes
	Variant  string             `json:"variant"`
	Chooser  string             `json:"chooser"`
	Set      map[string]float64 `json:"set,omitempty"`
	Mode     string             `json:"mode"` // model or live
	Build    string             `json:"build"`
	Machine  string             `json:"machine"`
	Seed     uint64             `json:"seed"`
	Load     float64            `json:"load"` // offered load over the capacity of all servers
	Servers  int                `json:"servers"`
	Agents   int                `json:"agents"`
	TookS    float64            `json:"took_s"`
	Result   *measure.Result    `json:"result"`
}

// key identifies a play.
type key struct {
	hash, variant, mode, build string
	seed                       uint64
}

func (r *Row) key() key { return key{r.Hash, r.Variant, r.Mode, r.Build, r.Seed} }

// Store keeps rows in memory, and in a file if it has one.
type Store struct {
	Truncated bool // the file ended in an incomplete row, which was removed

	mu   sync.Mutex
	file *os.File
	rows map[key]*Row
}

// Open reads and locks a file of rows, and creates it if it does not exist; with an empty path, rows
// are kept in memory only. A truncated last row is removed from the file. Any other line that is not a
// row of this Version is an error, and the file is not changed.
func Open(path string) (*Store, error) {
	s := &Store{rows: map[key]*Row{}}
	if path == "" {
		return s, nil
	}
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, fmt.Errorf("%s: locked by another program: %w", path, err)
	}
	whole, err := read(f, path, func(r *Row) { s.rows[r.key()] = r })
	if err == nil {
		var size int64
		if size, err = f.Seek(0, io.SeekEnd); err == nil && size > whole {
			s.Truncated = true
			if err = f.Truncate(whole); err == nil {
				_, err = f.Seek(whole, io.SeekStart)
			}
		}
	}
	if err != nil {
		f.Close()
		return nil, err
	}
	s.file = f
	return s, nil
}

// read passes each row of a file to take and returns the length of the complete lines, in bytes.
func read(r io.Reader, name string, take func(*Row)) (whole int64, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	var line []byte
	for n := 1; ; n++ {
		line = line[:0]
		for {
			part, err := in.ReadSlice('\n')
			if line = append(line, part...); len(line) > maxRow {
				return whole, fmt.Errorf("%s:%d: row exceeds %d MB", name, n, maxRow>>20)
			}
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) {
				return whole, nil // a line without a newline is incomplete
			}
			if !errors.Is(err, bufio.ErrBufferFull) {
				return whole, fmt.Errorf("%s:%d: %w", name, n, err)
			}
		}
		row, err := parse(line)
		if err != nil {
			return whole, fmt.Errorf("%s:%d: %w", name, n, err)
		}
		take(row)
		whole += int64(len(line))
	}
}

// parse decodes one line.
func parse(line []byte) (*Row, error) {
	var v struct {
		V *int `json:"v"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("invalid row: %w", err)
	}
	if v.V == nil {
		return nil, errors.New("v: not set")
	}
	if *v.V != Version {
		return nil, fmt.Errorf("v: is %d, this program supports %d", *v.V, Version)
	}
	r := &Row{}
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("invalid row: %w", err)
	}
	if r.Result == nil || r.Scenario == "" {
		return nil, errors.New("row without scenario or result")
	}
	return r, nil
}

// Load returns the rows of files, in their order. A truncated last row is skipped.
func Load(paths []string) (rows []*Row, err error) {
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, err
		}
		_, err = read(f, p, func(r *Row) { rows = append(rows, r) })
		f.Close()
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

func (s *Store) find(k key) *Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[k]
}

// add stores a row. When add returns, the row was written to the file, but not synced.
func (s *Store) add(r *Row) error {
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		if _, err := s.file.Write(append(line, '\n')); err != nil {
			return fmt.Errorf("rows: %w", err)
		}
	}
	s.rows[r.key()] = r
	return nil
}

// Close syncs and closes the file.
func (s *Store) Close() error {
	if s.file == nil {
		return nil
	}
	return errors.Join(s.file.Sync(), s.file.Close())
}
