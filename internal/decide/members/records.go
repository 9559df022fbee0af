package members

import (
	"cmp"
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// ID identifies a process by its name and its incarnation. The incarnation is greater than those of all
// earlier processes of that name.
type ID struct {
	Name        string
	Incarnation uint64 // not 0
}

func (id ID) compare(o ID) int {
	return cmp.Or(strings.Compare(id.Name, o.Name), cmp.Compare(id.Incarnation, o.Incarnation))
}

// Hash returns a hash of the ID that is the same at every agent.
func (id ID) Hash() uint64 {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], id.Incarnation)
	d := xxhash.New()
	_, _ = d.WriteString(id.Name)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// Info is what a process publishes about itself. Package linkwire converts it by its field names and
// bounds the length of its strings.
type Info struct {
	Machine  string
	Zone     string
	Role     string // "agent" or "gateway"
	Build    string
	Settings string // digest of its settings
	Process  string // name of its lifecycle.State
	Address  string // address for links from its peers
	Load     float64
	Seat     uint64  // its disk's ID as a member of the council; 0: it has none
	Stopped  uint64  // version of the council's orders that it has applied
	Rate     float64 // requests per second that it receives
	Holds    bool    // it stores promises for other processes
	Silent   string  // unresponsive servers, as encoded by package hearsay
	Joined   bool    // its view has been equal to a peer's, or it has waited long enough for one
	Left     bool    // it is ending; can't be revoked
	Twin     bool    // it has learned of a later process of the same name, and still runs
}

// Kind is the kind of a record.
type Kind uint8

// The kinds of records.
const (
	Self     Kind = iota // the process's Info
	Suspects             // the members that it observes and suspects
	Orders               // which machines the council excludes from work; kept in Raw and not decoded here
	kinds
)

// Suspicion states that an observer has no contact with a member. A newer Self record refutes it.
type Suspicion struct {
	Target  uint64 // hash of the member's ID
	Version uint64 // of the member's Self record, as the observer had it
}

// Record is a versioned record that a process publishes. Of two with the same ID and kind the one with
// the higher version is valid. A record isn't modified after it has been stored or sent.
type Record struct {
	ID         ID
	Kind       Kind
	Version    uint64      // from 1
	Info       Info        // of a Self
	Suspicions []Suspicion // of kind Suspects, sorted by Target
	Raw        string      // encoded form as received, for forwarding; empty: written here. All of an Orders
}

// key identifies a record irrespective of its version.
func (r *Record) key() uint64 { return arith.Mix(r.ID.Hash() + uint64(r.Kind)) }

// sum returns the record's contribution to a digest.
func (r *Record) sum() uint64 { return arith.Mix(r.key() ^ arith.Mix(r.Version)) }

// Buckets is the number of sums by which two views are compared.
const Buckets = 32

func bucket(key uint64) int { return int(key >> 59) }

// KeyVersion is the key and the version of a record.
type KeyVersion struct {
	Key     uint64
	Version uint64
}

// Message is a message between two members. Each carries the digest of the sender's view; all other
// fields are optional.
type Message struct {
	Digest      uint64
	Stamp       uint64       // of a heartbeat: the sender's tick count
	Echo        uint64       // of a heartbeat: the latest Stamp from the receiver
	Sums        []uint64     // of the sender's buckets; the receiver answers with KeyVersions of those that differ
	Mask        uint32       // bit set of the buckets that KeyVersions covers
	KeyVersions []KeyVersion // the sender's records in these buckets; the receiver sends newer ones and requests others
	Want        []uint64     // keys of records that the sender requests
	Records     []Record
}

// MaxRecords is the maximum number of records in a message, MaxSuspicions that of suspicions in a record,
// MaxKeyVersions that of KeyVersions or Want in a message; MaxOrders is the maximum size of orders in bytes.
const (
	MaxRecords     = 24
	MaxSuspicions  = 48
	MaxKeyVersions = 1000
	MaxOrders      = 1024
)

// maxVersion is the highest valid version. At a hundred versions a second it takes over a billion years
// to get there.
const maxVersion = 1 << 62

// valid reports whether a record is well-formed and within the bounds.
func (r *Record) valid() bool {
	ok := r.ID.Name != "" && r.ID.Incarnation != 0 && r.Version != 0 && r.Version <= maxVersion && r.Kind < kinds &&
		len(r.Suspicions) <= MaxSuspicions
	for _, w := range r.Suspicions {
		ok = ok && w.Version <= maxVersion
	}
	return ok
}

// view holds the records that an agent has, with sums over them.
type view struct {
	records map[uint64]*Record
	sums    [Buckets]uint64
	digest  uint64
}

// put stores a record, replacing the earlier version.
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
