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
// the versions of a newer primary are always newer. The configuration's epoch is always 0 and its count the number of
// the change that produced it, which increases across all views.
type Version struct {
	Epoch uint64 `msg:"e"`
	Count uint64 `msg:"n"`
}

// Before reports whether v is older than w.
func (v Version) Before(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Count < w.Count
}

// Member is a process that holds a lease, with the versions in force there at the last renewal.
type Member struct {
	Name string `msg:"n"`
	Zone string `msg:"z"`
	// AgeMs is the time since the last renewal in milliseconds, as of when the message is sent.
	AgeMs int64 `msg:"a"`
	// ConfigVersion is the operator's version of the configuration in force there; 0: none.
	ConfigVersion int64 `msg:"c"`
	// ConfigAgeMs is how long that version had been in force at the renewal, in milliseconds.
	ConfigAgeMs int64 `msg:"s"`
	// BackendListVersion is the version of the backend list in force there; zero: none, or a list that the node
	// agent polled from the platform itself.
	BackendListVersion Version `msg:"l"`
	// Draining is set while the process is shutting down and accepts no new clients; omitted otherwise.
	Draining bool `msg:"d,omitempty"`
}

// Request asks for the state that is newer than the sender's, and renews the leases of its downstream members.
type Request struct {
	// From is the sender's name.
	From string `msg:"f"`
	// WaitMs is how long the response may wait for an update, in milliseconds.
	WaitMs int64 `msg:"w"`
	// Versions are the sender's versions by resource type; a type that is omitted is sent as a snapshot.
	Versions map[string]Version `msg:"h"`
	// Members are the members whose leases the request renews.
	Members []Member `msg:"m"`
	// Residency are residency reports for the primary; omitted if there are none.
	Residency []residencyreport.Batch `msg:"g,omitempty"`
	// Final is set on the last request of a process that is shutting down; omitted otherwise.
	Final bool `msg:"z,omitempty"`
	// Outcomes are reports of how attempts at backends ended; omitted if there are none.
	Outcomes []OutcomeReport `msg:"o,omitempty"`
	// Push is set on a request that only delivers outcomes or lease renewals: it is answered at once, without
	// resources.
	Push bool `msg:"u,omitempty"`
}

// Outcome counts how one proxy's attempts at one backend ended since its last report.
type Outcome struct {
	// Backend is the backend's ID.
	Backend string `msg:"b"`
	// Attempts counts the attempts that ended or are overdue.
	Attempts int `msg:"a"`
	// Failed counts the attempts that ended in an error, a time-out, a reset or a failed connection attempt.
	Failed int `msg:"f"`
	// Slow counts the attempts whose answers were far slower than usual once they had begun.
	Slow int `msg:"s"`
	// Streamed counts the attempts whose answers arrived in several parts, so that their speed could be measured.
	Streamed int `msg:"k"`
	// Overdue counts the attempts that have been unanswered for far longer than usual.
	Overdue int `msg:"v"`
	// Late counts the attempts that were reported as overdue, in this report or an earlier one, and answered since.
	Late int `msg:"l"`
}

// OutcomeReport holds one proxy's outcomes.
type OutcomeReport struct {
	// Proxy is the proxy's name.
	Proxy string `msg:"p"`
	// Zone is the proxy's zone.
	Zone string `msg:"z"`
	// Outcomes has one element for each backend with attempts.
	Outcomes []Outcome `msg:"o"`
}

// Ejection marks a backend as an outlier: it performs so much worse than its peers that it gets only trial requests.
type Ejection struct {
	// Backend is the backend's ID.
	Backend string `msg:"b"`
	// Zone is the zone whose proxies eject the backend; empty: all zones.
	Zone string `msg:"z"`
	// Probation is set once trial requests have succeeded: the backend gets more of them.
	Probation bool `msg:"p"`
	// Slow is set for a backend that answers correctly, but slowly.
	Slow bool `msg:"s"`
}

// Ejections holds all ejections in force. It is sent every second, and expires at a proxy that doesn't receive it.
type Ejections struct {
	Ejected []Ejection `msg:"e"`
}

// Change is one committed change of the configuration, as the operator sent it.
type Change struct {
	// Version is the version of the configuration after the change.
	Version Version `msg:"v"`
	// Replace is set if Body is a complete configuration, not an update.
	Replace bool `msg:"r"`
	// Body is the body of the operator's call.
	Body []byte `msg:"b"`
}

// Resource brings one resource type of a client up to date: a snapshot and the changes since, or only changes.
type Resource struct {
	// Type is one of the resource types.
	Type string `msg:"s"`
	// Version is the version of the state after all Changes.
	Version Version `msg:"v"`
	// Snapshot is the state at BaseVersion; nil: the client has that version.
	Snapshot []byte `msg:"w"`
	// BaseVersion is the version that the first of Changes follows on.
	BaseVersion Version `msg:"o"`
	// Changes are the changes from BaseVersion to Version, oldest first.
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
	// Resources are the newer states; empty if the wait was over first.
	Resources []Resource `msg:"x"`
	// ResidencyAcks acknowledge the committed residency reports; omitted if there is nothing to acknowledge.
	ResidencyAcks []residencyreport.Ack `msg:"k,omitempty"`
	// WaitedMs is how long the request waited at the server for an update, in milliseconds; omitted if it didn't wait.
	// The remaining time since the request was sent was spent in transit and counts as age.
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
	// Version and Capacity are the values of the platform's list.
	Version  string `msg:"v"`
	Capacity int    `msg:"c"`
	// Draining is set while the backend is shutting down and gets no new requests.
	Draining bool `msg:"d"`
	// Phase is the phase that the backend serves; PhaseChanging while that changes.
	Phase string `msg:"p"`
	// Weights is the version of the weights of the backend's model.
	Weights int64 `msg:"w"`
}

// PhaseChanging is the Phase of a Backend while it changes its phase: no request is sent there.
const PhaseChanging = "changing"

// BackendList is the platform's list as last polled.
type BackendList struct {
	Backends []Backend `msg:"b"`
}

// MembershipSize is the number of proxies that hold a lease, in total and by zone.
type MembershipSize struct {
	// Proxies is the total number.
	Proxies int `msg:"n"`
	// Zones is the number by zone.
	Zones map[string]int `msg:"z"`
	// Draining is the number that are shutting down, by zone; omitted if there are none.
	Draining map[string]int `msg:"d,omitempty"`
}

// ControlServers holds the addresses of the members of the current view.
type ControlServers struct {
	// PullAddrs are the addresses, host and port, at which the control servers answer pulls.
	PullAddrs []string `msg:"p"`
}

// LoadReport holds the numbers of active requests at the decode backends, as last measured by the holder of the phases'
// singleton role. If there are more backends than MaxLoadReportBackends it has the most loaded ones: a decode backend
// that isn't in it has no more requests than the least loaded of them.
type LoadReport struct {
	// Active is the number of requests by backend ID.
	Active map[string]int `msg:"a"`
	// Unresponsive are the IDs of the backends, including prefill backends, that did not answer with a report.
	Unresponsive []string `msg:"s"`
}

// MaxLoadReportBackends bounds the backends in a LoadReport, so that its size is some 4 kB.
const MaxLoadReportBackends = 256
