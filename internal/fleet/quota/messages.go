package quota

//go:generate msgp -tests=false

// Holding is what a holder holds of one tenant's slots.
type Holding struct {
	Tenant string `msg:"t"`
	// Held is how many slots the holder has, those in use included.
	Held int `msg:"h"`
	// Wanted is how many more it needs now.
	Wanted int `msg:"w,omitempty"`
}

// Report tells the allocator what a holder holds, and renews its lease.
type Report struct {
	// Holder is the proxy's name.
	Holder string `msg:"n"`
	// Incarnation is drawn when the proxy starts, and never 0.
	Incarnation uint64 `msg:"i"`
	// Sequence rises with each report of an incarnation; an allocator disregards one that comes late.
	Sequence uint64 `msg:"q"`
	// Epoch is that of the allocator's Answer before; only an allocator of that epoch may take the report.
	Epoch uint64 `msg:"e"`
	// Full is set where Holdings are all that the holder has; otherwise those that aren't among them are unchanged.
	Full bool `msg:"f,omitempty"`
	// UptimeMs is for how long the process has run, or less, in milliseconds: no earlier one of its name has used a
	// slot since.
	UptimeMs int64 `msg:"u,omitempty"`
	// Holdings has no tenant twice.
	Holdings []Holding `msg:"s"`
}

// Answer answers a Report. A server also sends one, without grants, when a connection opens: a holder has to know the
// allocator's epoch before it tells it anything.
type Answer struct {
	// Epoch is the allocator's; 0: this server is no allocator now, and the report counts for nothing.
	Epoch uint64 `msg:"e"`
	// Sequence is that of the report.
	Sequence uint64 `msg:"q"`
	// Grants has one for each of the report's holdings of a tenant that has a quota.
	Grants []Grant `msg:"g,omitempty"`
}

// Grant hands slots to a holder.
type Grant struct {
	Tenant string `msg:"t"`
	// Slots is how many the holder has got.
	Slots int `msg:"n"`
	// Spare is how many free slots the holder may keep; it gives back what it has beyond.
	Spare int `msg:"k,omitempty"`
	// Surplus is how many of its slots the holder has to give up as they become free, since all holders together have
	// more than there are.
	Surplus int `msg:"u,omitempty"`
}
