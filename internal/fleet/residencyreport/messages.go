package residencyreport

//go:generate msgp -file messages.go -o messages_gen.go -tests=false

// Process identifies one run of a proxy: a random number chosen when it starts, never 0.
type Process uint64

// Pair is a tenant or route and a region in which its data was. The zero value is used for all pairs beyond MaxPairs.
type Pair struct {
	// Tenant is the tenant's name.
	Tenant string `msg:"t,omitempty"`
	// Route is the route's name, only if the route has regions and no tenant.
	Route string `msg:"r,omitempty"`
	// Region is the region's name.
	Region string `msg:"g,omitempty"`
}

// Counts are the numbers of sends that got at least the beginning of an answer: plain requests, prefills, decodes and
// resumed streams.
type Counts struct {
	Plain    int64 `msg:"p,omitempty"`
	Prefills int64 `msg:"f,omitempty"`
	Decodes  int64 `msg:"d,omitempty"`
	Resumes  int64 `msg:"r,omitempty"`
}

// Entry is the record of a pair. Times are in milliseconds since 1970 by the clocks of the proxies.
type Entry struct {
	// Pair is the tenant or route, and the region.
	Pair Pair `msg:"p"`
	// First is the time when its data was first sent to the region.
	First int64 `msg:"f"`
	// Last is the time when the last send to the region ended.
	Last int64 `msg:"l"`
	// Counts are the sends to the region.
	Counts Counts `msg:"c"`
}

// Batch is the report of one process since its previous batch. It is immutable.
type Batch struct {
	// Process is the process that reports.
	Process Process `msg:"p"`
	// N is the number of the batch, starting at 1 without gaps.
	N uint64 `msg:"n"`
	// Entries have the counts since the previous batch, and First and Last since the start of the process.
	Entries []Entry `msg:"e"`
}

// Ack acknowledges that all batches of a process up to number N are committed to the record.
type Ack struct {
	Process Process `msg:"p"`
	N       uint64  `msg:"n"`
}

// Update is one change of the record, merged from several batches.
type Update struct {
	// Entries are the merged entries of the batches.
	Entries []Entry `msg:"e"`
	// Upto has the number of the last included batch of each process.
	Upto []Ack `msg:"u"`
}

// StoredTotals is the encoding of Totals in snapshots of the record.
type StoredTotals struct {
	// Entries are sorted by pair.
	Entries []Entry `msg:"e"`
	// Processes are sorted by process number.
	Processes []Progress `msg:"p"`
	// Readings is the number of applied updates.
	Readings uint64 `msg:"n"`
}

// Progress is the last applied batch of a process.
type Progress struct {
	// Process is the process.
	Process Process `msg:"p"`
	// N is the number of its last applied batch.
	N uint64 `msg:"n"`
	// At is the number of the update that included this batch.
	At uint64 `msg:"a"`
}
