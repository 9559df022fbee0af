package externalapi

import "time"

// ResidencyReport answers CallResidency: in which regions tenants' data was, by what is on the disks of the primary
// and its backups.
type ResidencyReport struct {
	// Seq is the change of the log that the report is at least as new as.
	Seq uint64 `json:"seqno"`
	// Rows are sorted by tenant, route and region.
	Rows []ResidencyRow `json:"rested"`
}

// ResidencyRow is about the data of one tenant or route in one region. One with neither tenant nor route is about all
// those that exceeded the report's capacity.
type ResidencyRow struct {
	Tenant string `json:"tenant,omitempty"`
	Route  string `json:"route,omitempty"`
	Region string `json:"region"`
	// First is when data was first sent to backends there, to the millisecond, by the clocks of the proxies.
	First time.Time `json:"first"`
	// Last is when the last exchange with a backend there ended, by the same clocks.
	Last time.Time `json:"last"`
	// Plain, Prefills, Decodes and Resumes count the exchanges, by kind, whose answer began.
	Plain    int64 `json:"plain"`
	Prefills int64 `json:"prefills"`
	Decodes  int64 `json:"decodes"`
	Resumes  int64 `json:"resumes"`
}
