// Package trial makes experiments of plays: it plays scenarios by variants and seeds, keeps a row
// of each, compares two variants by an interval, and sweeps grids for the knee.
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

// Version is the one that rows carry.
const Version = 1

// maxRow bounds a line of a file, in bytes: a play of 10,000 servers takes some 20 MB.
const maxRow = 64 << 20

// Row is one play, a line of a file.
type Row struct {
	V        int                `json:"v"`
	Scenario string             `json:"scenario"`
	Hash     string             `json:"hash"` // of the scenario with all that the variant changes
	Variant  string             `json:"variant"`
	Chooser  string             `json:"chooser"`
	Set      map[string]float64 `json:"set,omitempty"`
	Mode     string             `json:"mode"` // model or live
	Build    string             `json:"build"`
	Machine  string             `json:"machine"`
	Seed     uint64             `json:"seed"`
	Load     float64            `json:"load"` // over what all servers can do
	Servers  int                `json:"servers"`
	Agents   int                `json:"agents"`
	TookS    float64            `json:"took_s"`
	Result   *measure.Result    `json:"result"`
}

// key is what makes a play another one.
type key struct {
	hash, variant, mode, build string
	seed                       uint64
}

func (r *Row) key() key { return key{r.Hash, r.Variant, r.Mode, r.Build, r.Seed} }

// Store keeps rows, in a file if it has one.
type Store struct {
	Cut bool // the file ended in the middle of a row, which was taken off

	mu   sync.Mutex
	file *os.File
	rows map[key]*Row
}

// Open reads a file of rows, or makes it, and locks it; an empty path keeps rows in memory only. A
// last row that is cut off is taken off the file. Anything else that is no row of this Version is an
// error, and the file stays as it is.
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
		return nil, fmt.Errorf("%s: another program writes it: %w", path, err)
	}
	whole, err := read(f, path, func(r *Row) { s.rows[r.key()] = r })
	if err == nil {
		var size int64
		if size, err = f.Seek(0, io.SeekEnd); err == nil && size > whole {
			s.Cut = true
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

// read takes the rows of a file and returns how many bytes those take that end in a newline.
func read(r io.Reader, name string, take func(*Row)) (whole int64, err error) {
	in := bufio.NewReaderSize(r, 1<<16)
	var line []byte
	for n := 1; ; n++ {
		line = line[:0]
		for {
			part, err := in.ReadSlice('\n')
			if line = append(line, part...); len(line) > maxRow {
				return whole, fmt.Errorf("%s:%d: a row of more than %d MB", name, n, maxRow>>20)
			}
			if err == nil {
				break
			}
			if errors.Is(err, io.EOF) {
				return whole, nil // what has no end is cut off
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

// parse reads one line.
func parse(line []byte) (*Row, error) {
	var v struct {
		V *int `json:"v"`
	}
	if err := json.Unmarshal(line, &v); err != nil {
		return nil, fmt.Errorf("no row: %w", err)
	}
	if v.V == nil {
		return nil, errors.New("v: not set")
	}
	if *v.V != Version {
		return nil, fmt.Errorf("v: is %d, this program reads %d", *v.V, Version)
	}
	r := &Row{}
	d := json.NewDecoder(bytes.NewReader(line))
	d.DisallowUnknownFields()
	if err := d.Decode(r); err != nil {
		return nil, fmt.Errorf("no row: %w", err)
	}
	if r.Result == nil || r.Scenario == "" {
		return nil, errors.New("a row without scenario or result")
	}
	return r, nil
}

// Load reads the rows of files, in their order. A last row that is cut off is left out.
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

// add keeps a row; it is in the file, as far as the system has taken it, when add returns.
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
