package residencyreport

//go:generate msgp -file messages.go -o messages_gen.go -tests=false

// Process names one run of a proxy: a number drawn at random when it starts, never 0.
type Process uint64

// Pair is whose data was in which region. The zero value stands for all pairs beyond MaxPairs.
type Pair struct {
	// Tenant is the tenant's name.
	Tenant string `msg:"t,omitempty"`
	// Route is the route's name, only where the route has regions and no tenant.
	Route string `msg:"r,omitempty"`
	// Region is the region's name.
	Region string `msg:"g,omitempty"`
}

// Counts are how many sends got an answer, at least its beginning: plain requests, prefills, decodes and resumed
// streams.
type Counts struct {
	Plain    int64 `msg:"p,omitempty"`
	Prefills int64 `msg:"f,omitempty"`
	Decodes  int64 `msg:"d,omitempty"`
	Resumes  int64 `msg:"r,omitempty"`
}

// Entry is what is known of a pair, in milliseconds since 1970 by the clocks of the proxies.
type Entry struct {
	// Pair is the tenant or route, and the region.
	Pair Pair `msg:"p"`
	// First is when its data was first sent to the region.
	First int64 `msg:"f"`
	// Last is when the last send there ended.
	Last int64 `msg:"l"`
	// Counts are the sends there.
	Counts Counts `msg:"c"`
}

// Batch is what one process has to report since its batch before. A batch never changes.
type Batch struct {
	// Process is the process that reports.
	Process Process `msg:"p"`
	// N is the number of the batch, from 1 on without gaps.
	N uint64 `msg:"n"`
	// Entries have the counts since the batch before, and First and Last since the start of the process.
	Entries []Entry `msg:"e"`
}

// Ack says that all batches of a process up to a number are in the record for good.
type Ack struct {
	Process Process `msg:"p"`
	N       uint64  `msg:"n"`
}

// Update is one change of the record: what several batches add to it.
type Update struct {
	// Entries are what the batches amount to.
	Entries []Entry `msg:"e"`
	// Upto is which batches these are: of each process all up to a number.
	Upto []Ack `msg:"u"`
}

// StoredTotals is a Totals as snapshots of the record hold it.
type StoredTotals struct {
	// Entries are in the order of their pairs.
	Entries []Entry `msg:"e"`
	// Processes are in the order of their numbers.
	Processes []Progress `msg:"p"`
	// Readings is how many updates were applied.
	Readings uint64 `msg:"n"`
}

// Progress is how far the batches of a process are in the totals.
type Progress struct {
	// Process is the process.
	Process Process `msg:"p"`
	// N is the number of its last applied batch.
	N uint64 `msg:"n"`
	// At is the number of the update that had it.
	At uint64 `msg:"a"`
}
