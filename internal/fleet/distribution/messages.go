package distribution

import "molepaddle/internal/fleet/residencyreport"

//go:generate msgp -tests=false

// The resource types. Their values are on the wire.
const (
	// ConfigType is the operator's configuration; its snapshot is a routingconfig.Document as JSON.
	ConfigType = "config"
	// BackendListType is a BackendList.
	BackendListType = "list"
	// MembershipSizeType is a MembershipSize.
	MembershipSizeType = "crowd"
	// ControlServersType is a ControlServers.
	ControlServersType = "core"
	// LoadReportType is a LoadReport.
	LoadReportType = "gauges"
	// EjectionsType is an Ejections.
	EjectionsType = "ejections"
)

// Version orders the states of one resource type: by epoch, then by count. A primary counts within its epoch, so that
// what a newer primary sends is always newer. The configuration's epoch is always 0 and its count the number of the
// change that led to it, which rises through all views.
type Version struct {
	Epoch uint64 `msg:"e"`
	Count uint64 `msg:"n"`
}

// Before returns whether v is older than w.
func (v Version) Before(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Count < w.Count
}

// Member is a process that holds a lease, with the versions it had in force when it last renewed it.
type Member struct {
	Name string `msg:"n"`
	Zone string `msg:"z"`
	// AgeMs is the time since the last renewal in milliseconds, as the sender of the message knows it.
	AgeMs int64 `msg:"a"`
	// ConfigVersion is the operator's version of the configuration in force there; 0: none.
	ConfigVersion int64 `msg:"c"`
	// ConfigAgeMs is for how long that had been in force at the renewal, in milliseconds.
	ConfigAgeMs int64 `msg:"s"`
	// BackendListVersion is that of the backend list in force there; zero: none, or one that its node agent polled
	// itself.
	BackendListVersion Version `msg:"l"`
	// Draining says that the process is shutting down: it takes clients no more. Left out while it serves.
	Draining bool `msg:"d,omitempty"`
}

// Request asks for what the sender lacks, and renews the leases of the members behind it.
type Request struct {
	// From is the sender's name.
	From string `msg:"f"`
	// WaitMs is how long the response may wait for an update, in milliseconds.
	WaitMs int64 `msg:"w"`
	// Versions are what the sender has, by resource type; a type that is left out is sent as a snapshot.
	Versions map[string]Version `msg:"h"`
	// Members are those whose leases the request renews.
	Members []Member `msg:"m"`
	// Residency are residency reports on their way to the primary; left out where there are none.
	Residency []residencyreport.Batch `msg:"g,omitempty"`
	// Final is set on the only request of a process that is shutting down; left out otherwise.
	Final bool `msg:"z,omitempty"`
	// Outcomes are how attempts at backends ended; left out where there are none.
	Outcomes []OutcomeReport `msg:"o,omitempty"`
	// Push is set on a request that only delivers something, outcomes or renewals of leases: it is answered at once,
	// without resources.
	Push bool `msg:"u,omitempty"`
}

// Outcome is how one proxy's attempts at one backend ended since its last report.
type Outcome struct {
	// Backend is the backend's ID.
	Backend string `msg:"b"`
	// Attempts counts those that ended or are overdue.
	Attempts int `msg:"a"`
	// Failed counts the attempts that ended in an error, a time-out, a reset or a failed connect.
	Failed int `msg:"f"`
	// Slow counts the attempts that were far slower than usual once their answers had begun.
	Slow int `msg:"s"`
	// Streamed counts the attempts whose answers came in parts, which shows their speed.
	Streamed int `msg:"k"`
	// Overdue counts the attempts that were not answered within far longer than usual.
	Overdue int `msg:"v"`
	// Late counts attempts that were reported as overdue, now or before, and have been answered since.
	Late int `msg:"l"`
}

// OutcomeReport is the outcomes that one proxy reports.
type OutcomeReport struct {
	// Proxy is the proxy's name.
	Proxy string `msg:"p"`
	// Zone is the proxy's zone.
	Zone string `msg:"z"`
	// Outcomes has one for each backend that had attempts.
	Outcomes []Outcome `msg:"o"`
}

// Ejection says that a backend serves so much worse than its peers that it gets trial requests only.
type Ejection struct {
	// Backend is the backend's ID.
	Backend string `msg:"b"`
	// Zone is the zone whose proxies eject the backend; empty: those of all zones.
	Zone string `msg:"z"`
	// Probation is set once trials have succeeded: the backend gets more of them.
	Probation bool `msg:"p"`
	// Slow is set for a backend that serves, only slowly.
	Slow bool `msg:"s"`
}

// Ejections are all that are in force. They are sent again every second, and expire at a proxy that doesn't get them.
type Ejections struct {
	Ejected []Ejection `msg:"e"`
}

// Change is one committed change of the configuration, as the operator sent it.
type Change struct {
	// Version is that of the configuration after the change.
	Version Version `msg:"v"`
	// Replace says that Body is a complete configuration, not an update.
	Replace bool `msg:"r"`
	// Body is that of the operator's call.
	Body []byte `msg:"b"`
}

// Resource is what a client lacks of one resource type: a snapshot and the changes since, or changes alone.
type Resource struct {
	// Type is one of the resource types.
	Type string `msg:"s"`
	// Version is that of the state after all Changes.
	Version Version `msg:"v"`
	// Snapshot is the state at BaseVersion; nil: the client has that.
	Snapshot []byte `msg:"w"`
	// BaseVersion is what the first of Changes follows on.
	BaseVersion Version `msg:"o"`
	// Changes lead from BaseVersion to Version, the oldest first.
	Changes []Change `msg:"c"`
}

// Response answers a Request.
type Response struct {
	// From is the server's name.
	From string `msg:"f"`
	// Primary is the internal address of the primary; empty: not known.
	Primary string `msg:"p"`
	// LastContactMs is how long ago this chain of servers last had contact with the primary, in milliseconds; below 0:
	// never.
	LastContactMs int64 `msg:"a"`
	// Resources are what the client lacks; empty where the wait was over first.
	Resources []Resource `msg:"x"`
	// ResidencyAcks say which residency reports are committed; left out where there is nothing to acknowledge.
	ResidencyAcks []residencyreport.Ack `msg:"k,omitempty"`
	// WaitedMs is how long the response waited at its server for an update, in milliseconds; left out where it didn't.
	// The rest of the time since the request was sent was spent in transit and counts as age.
	WaitedMs int64 `msg:"h,omitempty"`
}

// Backend is one entry of the platform's list, in the terms that the proxies use.
type Backend struct {
	ID string `msg:"i"`
	// Service is the name of the service that the backend belongs to.
	Service string `msg:"s"`
	// Address is host and port.
	Address string `msg:"a"`
	Zone    string `msg:"z"`
	// Version and Capacity are as the platform lists them.
	Version  string `msg:"v"`
	Capacity int    `msg:"c"`
	// Draining says that the backend is shutting down and gets no new requests.
	Draining bool `msg:"d"`
	// Phase is what the backend serves; PhaseChanging while that changes.
	Phase string `msg:"p"`
	// Weights is the version of its model's weights.
	Weights int64 `msg:"w"`
}

// PhaseChanging is the Phase of a Backend while it changes its phase: no request is sent there.
const PhaseChanging = "changing"

// BackendList is the platform's list as last polled.
type BackendList struct {
	Backends []Backend `msg:"b"`
}

// MembershipSize is how many proxies hold a lease, in all and by zone.
type MembershipSize struct {
	// Proxies is their number in all.
	Proxies int `msg:"n"`
	// Zones is their number by zone.
	Zones map[string]int `msg:"z"`
	// Draining is how many of them are shutting down, by zone; left out where none is.
	Draining map[string]int `msg:"d,omitempty"`
}

// ControlServers are the members of the current view as those who pull from them need them.
type ControlServers struct {
	// PullAddrs are the addresses, host and port, at which the control servers answer pulls.
	PullAddrs []string `msg:"p"`
}

// LoadReport is how many requests were active at the decode backends, as the holder of the phases' singleton role last
// measured it. Where there are more backends than MaxLoadReportBackends it has the most loaded ones: a decode backend
// that isn't in it has no more requests than the least loaded of them.
type LoadReport struct {
	// Active is the number of requests by backend ID.
	Active map[string]int `msg:"a"`
	// Unresponsive are the IDs of backends, prefill ones among them, whose report did not come.
	Unresponsive []string `msg:"s"`
}

// MaxLoadReportBackends bounds the backends in a LoadReport, so that one is some 4 kB.
const MaxLoadReportBackends = 256
