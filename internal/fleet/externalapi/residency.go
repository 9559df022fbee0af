package externalapi

import "time"

// ResidencyReport is the response to CallResidency: the regions in which tenants' data was, as recorded on the disks
// of the primary and its backups.
type ResidencyReport struct {
	// Seq is a sequence number of the log: the report includes all changes up to it.
	Seq uint64 `json:"seqno"`
	// Rows are sorted by tenant, route and region.
	Rows []ResidencyRow `json:"rested"`
}

// ResidencyRow describes the data of one tenant or route in one region. A row with neither tenant nor route describes
// all those that exceeded the report's capacity.
type ResidencyRow struct {
	Tenant string `json:"tenant,omitempty"`
	Route  string `json:"route,omitempty"`
	Region string `json:"region"`
	// First is when data was first sent to backends there, to the millisecond, by the clocks of the proxies.
	First time.Time `json:"first"`
	// Last is when the last exchange with a backend there ended, by the same clocks.
	Last time.Time `json:"last"`
	// Plain, Prefills, Decodes and Resumes are the numbers of exchanges, by kind, whose response began.
	Plain    int64 `json:"plain"`
	Prefills int64 `json:"prefills"`
	Decodes  int64 `json:"decodes"`
	Resumes  int64 `json:"resumes"`
}
