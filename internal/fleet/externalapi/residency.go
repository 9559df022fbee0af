package externalapi

import "time"

// What the call Resided may ask for besides everything: one tenant, or one route that has regions without a tenant.
const (
	QueryTenant = "tenant"
	QueryRoute  = "route"
)

// ResidencyReport answers Resided: where tenants' data rested, by what is on the disks of the primary and its backups.
type ResidencyReport struct {
	// Seq is the change of the record that it is at least as new as.
	Seq uint64 `json:"seqno"`
	// Rested is sorted by tenant, route and region.
	Rows []ResidencyRow `json:"rested"`
}

// ResidencyRow tells of the data of one tenant or route in one region. Neither tenant nor route: of those that there was no room for.
type ResidencyRow struct {
	Tenant string `json:"tenant,omitempty"`
	Route  string `json:"route,omitempty"`
	Region string `json:"region"`
	// First is when data was first sent to backends there and Last when the last send there ended, in ms, by the clocks of
	// the proxies.
	First time.Time `json:"first"`
	Last  time.Time `json:"last"`
	// Sends that an answer began to.
	Plain    int64 `json:"plain"`
	Prefills int64 `json:"prefills"`
	Decodes  int64 `json:"decodes"`
	Resumes  int64 `json:"resumes"`
}
