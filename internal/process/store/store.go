// Package store persists the state of a council member: its id, its vote and term, its log and the last snapshot. It is
// one bbolt file in a persistent folder; each Save is one transaction, which is on disk when Save returns. Every value
// has a checksum, which is verified when it is read.
//
// A Store belongs to one goroutine, and its file to one process.
package store

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"molepaddle/internal/decide/council"
)

// file is the name of the file in the folder.
const file = "council.db"

var (
	meta       = []byte("meta")
	entries    = []byte("log")
	keyID      = []byte("id")
	keyHard    = []byte("hard")
	keySnap    = []byte("snapshot")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// ErrDamaged is wrapped by errors of values that fail their checksum or cannot be decoded. Such a store must not be
// used: the member has to start with an empty folder, under a new id.
var ErrDamaged = errors.New("damaged")

// ErrLocked is wrapped by the error of Open while another process has the file open; that process may still end.
var ErrLocked = errors.New("another process has it open")

// Store is a member's open file.
type Store struct {
	db *bbolt.DB
	id uint64
}

// Open opens the file in a folder, or creates it with a random id. Errors are of one line and name the file.
func Open(dir string) (*Store, error) {
	path := filepath.Join(dir, file)
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: time.Second})
	if errors.Is(err, bolterrors.ErrTimeout) {
		err = ErrLocked
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: %w", path, err)
	}
	s := &Store{db: db}
	err = db.Update(func(tx *bbolt.Tx) error {
		m, err := tx.CreateBucketIfNotExists(meta)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entries); err != nil {
			return err
		}
		text, err := get(m, keyID)
		if err != nil {
			return err
		}
		for text == nil || s.id == 0 {
			if text == nil {
				text = make([]byte, 8)
				if _, err := rand.Read(text); err != nil {
					return err
				}
				if err := Put(m, keyID, text); err != nil {
					return err
				}
			}
			if s.id = binary.BigEndian.Uint64(text); s.id == 0 {
				text = nil
			}
		}
		return nil
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store: %s: %w", path, err), db.Close())
	}
	return s, nil
}

// ID returns the id of the member, which is drawn when the file is created: a member that loses its file returns under
// another id.
func (s *Store) ID() uint64 { return s.id }

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Put writes a value behind a checksum over its key and the value.
func Put(b *bbolt.Bucket, key, value []byte) error {
	sum := crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, value)
	return b.Put(key, append(binary.BigEndian.AppendUint32(nil, sum), value...))
}

// get reads and verifies a value; it returns nil if there is none.
func get(b *bbolt.Bucket, key []byte) ([]byte, error) { return Verify(key, b.Get(key)) }

// Verify returns the value in a text that Put wrote under the key, or nil if the text is nil. The error wraps
// ErrDamaged if the checksum does not match.
func Verify(key, text []byte) ([]byte, error) {
	if text == nil {
		return nil, nil
	}
	if len(text) < 4 || binary.BigEndian.Uint32(text) != crc32.Update(crc32.Checksum(key, castagnoli), castagnoli,
		text[4:]) {
		return nil, fmt.Errorf("%w: %q", ErrDamaged, key)
	}
	return append([]byte(nil), text[4:]...), nil
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// Load reads the stored state. Log entries up to the snapshot are left out.
func (s *Store) Load() (saved council.StoredState, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		m := tx.Bucket(meta)
		for _, v := range []struct {
			key  []byte
			into proto.Message
		}{{keyHard, &pb.HardState{}}, {keySnap, &pb.Snapshot{}}} {
			text, err := get(m, v.key)
			if err != nil {
				return err
			}
			if text == nil {
				continue
			}
			if err := proto.Unmarshal(text, v.into); err != nil {
				return fmt.Errorf("%w: %q: %w", ErrDamaged, v.key, err)
			}
			switch x := v.into.(type) {
			case *pb.HardState:
				saved.HardState = x
			case *pb.Snapshot:
				saved.Snapshot = x
			}
		}
		c := tx.Bucket(entries).Cursor()
		for k, text := c.First(); k != nil; k, text = c.Next() {
			text, err := Verify(k, text)
			if err != nil {
				return err
			}
			e := &pb.Entry{}
			if err := proto.Unmarshal(text, e); err != nil || binary.BigEndian.Uint64(k) != e.GetIndex() {
				return fmt.Errorf("%w: entry %x", ErrDamaged, k)
			}
			if e.GetIndex() > saved.Snapshot.GetMetadata().GetIndex() {
				saved.Entries = append(saved.Entries, e)
			}
		}
		return nil
	})
	if err != nil {
		err = fmt.Errorf("store: %s: %w", s.db.Path(), err)
	}
	return saved, err
}

// Bootstrap writes the initial state of the first member of a new council, created at the given time. A store that has
// any state is left unchanged, and the error wraps os.ErrExist.
func (s *Store) Bootstrap(now time.Time) error {
	saved, err := s.Load()
	if err != nil {
		return err
	}
	if saved.HardState != nil || saved.Snapshot != nil {
		return fmt.Errorf("store: %s: %w: the file has council state already", s.db.Path(), os.ErrExist)
	}
	id := make([]byte, 8)
	if _, err := rand.Read(id); err != nil {
		return fmt.Errorf("store: %s: %w", s.db.Path(), err)
	}
	first := council.Bootstrap(s.id, binary.BigEndian.Uint64(id)|1, now.Unix())
	return s.Save(council.DurableUpdate{HardState: first.HardState, Snapshot: first.Snapshot})
}

// Save writes an update durably, all or nothing. After an error (such as a full disk) none of it is stored, and the
// member must not acknowledge it.
func (s *Store) Save(v council.DurableUpdate) error {
	if v.HardState == nil && v.Snapshot == nil && len(v.Entries) == 0 {
		return nil
	}
	err := s.db.Update(func(tx *bbolt.Tx) error {
		m, l := tx.Bucket(meta), tx.Bucket(entries)
		if v.HardState != nil {
			if err := write(m, keyHard, v.HardState); err != nil {
				return err
			}
		}
		c := l.Cursor()
		if v.Snapshot != nil {
			if err := write(m, keySnap, v.Snapshot); err != nil {
				return err
			}
			upTo := v.CompactTo
			if v.FromPeer {
				upTo = 1<<64 - 1
			}
			for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= upTo; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		if len(v.Entries) > 0 {
			for k, _ := c.Seek(indexKey(v.Entries[0].GetIndex())); k != nil; k, _ = c.Next() {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for _, e := range v.Entries {
			if err := write(l, indexKey(e.GetIndex()), e); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: %s: %w", s.db.Path(), err)
	}
	return nil
}

func write(b *bbolt.Bucket, key []byte, m proto.Message) error {
	text, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return Put(b, key, text)
}
