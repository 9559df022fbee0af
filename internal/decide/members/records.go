package members

import (
	"cmp"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// ID is one process: a name, and an incarnation that is greater than those of all processes that
// had the name before.
type ID struct {
	Name        string
	Incarnation uint64 // not 0
}

func (id ID) compare(o ID) int {
	return cmp.Or(strings.Compare(id.Name, o.Name), cmp.Compare(id.Incarnation, o.Incarnation))
}

// Hash spreads processes evenly; it is the same at every agent.
func (id ID) Hash() uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], id.Incarnation)
	d := xxhash.New()
	_, _ = d.WriteString(id.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Info is what a process says of itself. All words are bounded by whoever reads them off a wire.
type Info struct {
	Machine  string
	Zone     string
	Role     string // agent, or gateway
	Build    string
	Settings string // a digest of its settings
	Process  string // what its lifecycle says it is
	Address  string // where peers reach it
	Load     float64
	Seat     uint64  // of the council: the id of its disk; 0: it has none to sit with
	Stopped  uint64  // the version of the council's orders that it has put into effect
	Rate     float64 // requests a second that it takes
	Holds    bool    // it holds promises for others
	Silent   string  // servers that it hears nothing of, as package hearsay words them
	Joined   bool    // it has exchanged views with somebody, or is alone
	Left     bool    // it ends; final
	Twin     bool    // it has read of a later process under its name, and still runs
}

// Kind is what a record is about.
type Kind uint8

// The kinds.
const (
	Self   Kind = iota // what the process says of itself
	Watch              // whom it watches and can't hear
	Orders             // which machines the council has everybody leave alone; Raw, and never read here
	kinds
)

// Word is an observer's word that it can't hear somebody.
type Word struct {
	Of      uint64 // the hash of its ID
	Version uint64 // of its Self record that the observer had
}

// Record is one of the records that a process writes. Of two of the same ID and kind the
// higher version stands. It is a value: nobody changes one that has been handed on.
type Record struct {
	ID      ID
	Kind    Kind
	Version uint64 // from 1
	Info    Info   // of a Self
	Words   []Word // of a Watch, by Of
	Raw     string // as it came, for those who pass it on; empty: it was written here; all of an Orders
}

// key names a record whatever its version.
func (r *Record) key() uint64 { return arith.Mix(r.ID.Hash() + uint64(r.Kind)) }

// sum is the record's part in a digest.
func (r *Record) sum() uint64 { return arith.Mix(r.key() ^ arith.Mix(r.Version)) }

// Buckets is how many sums a view is compared by.
const Buckets = 32

func bucket(key uint64) int { return int(key >> 59) }

// Head is a record's key and version.
type Head struct {
	Key     uint64
	Version uint64
}

// Message is what goes over a link. Each has the digest of the sender's view; the rest may be
// missing.
type Message struct {
	Digest  uint64
	Stamp   uint64   // of a beat: the sender's ticks
	Echo    uint64   // and the last Stamp that it has had of the receiver
	Sums    []uint64 // of the sender's Buckets: the receiver answers with heads where its own differ
	Mask    uint32   // the buckets that Heads is about
	Heads   []Head   // all that the sender has there: the receiver answers with what is newer, and wants the rest
	Want    []uint64 // keys of records that the sender lacks
	Records []Record
}

// MaxRecords is how many records one message holds; MaxWords how many words one Watch holds;
// MaxHeads how many heads or wants a message holds; MaxOrders how many bytes an Orders has.
const (
	MaxRecords = 24
	MaxWords   = 48
	MaxHeads   = 1000
	MaxOrders  = 1024
)

// maxVersion bounds versions: whoever writes a hundred a second gets there after the sun.
const maxVersion = 1 << 62

// sound tells whether a record can be one of anybody's.
func (r *Record) sound() bool {
	ok := r.ID.Name != "" && r.ID.Incarnation != 0 && r.Version != 0 && r.Version <= maxVersion && r.Kind < kinds &&
		len(r.Words) <= MaxWords
	for _, w := range r.Words {
		ok = ok && w.Version <= maxVersion
	}
	return ok
}

// view is the records of one agent, and the sums over them.
type view struct {
	records map[uint64]*Record
	sums    [Buckets]uint64
	digest  uint64
}

// put takes a record in the place of the one before it.
func (v *view) put(r *Record) {
	k := r.key()
	v.remove(k)
	v.records[k] = r
	v.sums[bucket(k)] += r.sum()
	v.digest += r.sum()
}

func (v *view) remove(key uint64) {
	if old := v.records[key]; old != nil {
		v.sums[bucket(key)] -= old.sum()
		v.digest -= old.sum()
		delete(v.records, key)
	}
}
