package quota

//go:generate msgp -tests=false

// Holding is a holder's number of slots of one tenant.
type Holding struct {
	// Tenant is the tenant's name.
	Tenant string `msg:"t"`
	// Held is the number of slots of the holder, used ones included.
	Held int `msg:"h"`
	// Wanted is the number of additional slots that it needs now.
	Wanted int `msg:"w,omitempty"`
}

// Report is a holder's message to the allocator: it lists its holdings and renews its lease.
type Report struct {
	// Holder is the proxy's name.
	Holder string `msg:"n"`
	// Incarnation is a random number chosen when the proxy starts, never 0.
	Incarnation uint64 `msg:"i"`
	// Sequence increases with each report of an incarnation; an allocator ignores out-of-date reports.
	Sequence uint64 `msg:"q"`
	// Epoch is the epoch of the allocator's previous Answer; only an allocator of that epoch may process the report.
	Epoch uint64 `msg:"e"`
	// Full means that Holdings lists all holdings of the holder; otherwise holdings that aren't listed are unchanged.
	Full bool `msg:"f,omitempty"`
	// UptimeMs is a lower bound of the process's uptime in milliseconds: no earlier process of the same name has used
	// a slot since.
	UptimeMs int64 `msg:"u,omitempty"`
	// Holdings has at most one entry for each tenant.
	Holdings []Holding `msg:"s"`
}

// Answer is the allocator's reply to a Report. A server also sends one, without grants, when a connection opens, since
// a holder must know the allocator's epoch before it sends a report.
type Answer struct {
	// Epoch is the allocator's epoch; 0: this server is currently not the allocator and has ignored the report.
	Epoch uint64 `msg:"e"`
	// Sequence is the sequence number of the report.
	Sequence uint64 `msg:"q"`
	// Grants has one entry for each of the report's holdings of a tenant that has a quota.
	Grants []Grant `msg:"g,omitempty"`
}

// Grant allocates slots of one tenant to a holder.
type Grant struct {
	// Tenant is the tenant's name.
	Tenant string `msg:"t"`
	// Slots is the number of slots that are added to the holder's.
	Slots int `msg:"n"`
	// Spare is the maximum number of free slots that the holder may keep; it returns the others.
	Spare int `msg:"k,omitempty"`
	// Surplus is the number of slots that the holder must give up as they become free, since all holders together have
	// more slots than the tenant.
	Surplus int `msg:"u,omitempty"`
}
