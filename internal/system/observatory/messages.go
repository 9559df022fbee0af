package observatory

//go:generate msgp -tests=false

// Call is one change of the configuration as the operator sent it; the record's changes.
type Call struct {
	Replace bool   `msg:"r"`
	Base    int64  `msg:"b"`
	Body    []byte `msg:"d"`
}

// Stored is the record's snapshot.
type Stored struct {
	Document []byte   `msg:"d"`
	Versions []int64  `msg:"v"`
	Digests  []uint64 `msg:"x"`
}
