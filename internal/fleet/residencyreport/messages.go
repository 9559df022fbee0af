// Package residencyreport keeps where tenants' data rested, from when to when, past the end of the processes that saw it.
// Proxies hand on what changed in their ledgers in numbered
// batches; each is passed on until the control plane says that it is kept; the primary merges them into one reading, which
// the record takes as a change. All of it is without I/O and without a clock; docs/design/regions.md has the whole picture.
package residencyreport

//go:generate msgp -file messages.go -o messages_gen.go -tests=false

// Process names one run of a proxy: a number drawn at random when it starts, never 0.
type Process uint64

// Pair is whose data rested in which region. Route is given only where a route has regions and no tenant. The zero value
// stands for all that there was no room for.
type Pair struct {
	Tenant string `msg:"t,omitempty"`
	Route  string `msg:"r,omitempty"`
	Region string `msg:"g,omitempty"`
}

// Counts are sends that an answer began to.
type Counts struct {
	Plain    int64 `msg:"p,omitempty"`
	Prefills int64 `msg:"f,omitempty"`
	Decodes  int64 `msg:"d,omitempty"`
	Resumes  int64 `msg:"r,omitempty"`
}

// Entry is what there is to tell of a pair: when its data was first sent to the region and when the last send there
// ended, in milliseconds since 1970 by the clocks of the proxies, and how many sends there were.
type Entry struct {
	Pair   Pair   `msg:"p"`
	First  int64  `msg:"f"`
	Last   int64  `msg:"l"`
	Counts Counts `msg:"c"`
}

// Batch is what one process had to tell since its batch before: the counts are those since then, First and Last those
// since its start. Numbers go from 1 on without gaps; a batch never changes.
type Batch struct {
	Process Process `msg:"p"`
	N       uint64  `msg:"n"`
	Entries []Entry `msg:"e"`
}

// Ack says that all batches of a process up to a number are in the record for good.
type Ack struct {
	Process Process `msg:"p"`
	N       uint64  `msg:"n"`
}

// Update is a change of the record: what a number of batches amount to, and which these were.
type Update struct {
	Entries []Entry `msg:"e"`
	Upto    []Ack   `msg:"u"`
}

// StoredTotals is a Gauge as snapshots of the record hold it.
type StoredTotals struct {
	Entries   []Entry    `msg:"e"`
	Processes []Progress `msg:"p"`
	Readings  uint64     `msg:"n"`
}

// Progress is how far the batches of a process are taken, and by which reading.
type Progress struct {
	Process Process `msg:"p"`
	N       uint64  `msg:"n"`
	At      uint64  `msg:"a"`
}
