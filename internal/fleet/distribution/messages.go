// Package distribution is what the fleet's own processes say to each other. Messages are msgp, in frames of four bytes of length. A reader pulls what it
// lacks, by a vector of versions, one a source; an unanswered pull waits at the source until something is new.
package distribution

import "molepaddle/internal/fleet/residencyreport"

//go:generate msgp -tests=false

// Version is how far a source has come: its epoch, and a count within it. Higher epochs come later.
type Version struct {
	Epoch uint64 `msg:"e"`
	Count uint64 `msg:"n"`
}

// Before tells whether v is older than w.
func (v Version) Before(w Version) bool {
	return v.Epoch < w.Epoch || v.Epoch == w.Epoch && v.Count < w.Count
}

// Member is a process that renews its lease: which machine, how many milliseconds ago it last did, and what it had then.
type Member struct {
	Name               string  `msg:"n"`
	Zone               string  `msg:"z"`
	AgeMs              int64   `msg:"a"` // milliseconds since its last renewal, as whoever sends this knows
	ConfigVersion      int64   `msg:"c"` // the operator's version of the configuration in force there; 0: none
	ConfigAgeMs        int64   `msg:"s"` // milliseconds since that came into force, before the renewal
	BackendListVersion Version `msg:"l"` // of the list of backends there, as its sender counts; zero: none, or one polled elsewhere
}

// Request asks for what the sender lacks and renews the leases of those it stands for.
type Request struct {
	From     string             `msg:"f"`
	WaitMs   int64              `msg:"w"` // how long an answer may wait for news
	Versions map[string]Version `msg:"h"`
	Members  []Member           `msg:"m"`
	// Rested is where tenants' data rested, on its way to the record; left out where there is none.
	Residency []residencyreport.Batch `msg:"g,omitempty"`
	// Ends says that the sender's process ends, and this is its last word; left out where it isn't.
	Final bool `msg:"z,omitempty"`
	// Outcomes is how attempts at backends ended; left out where there are none.
	Outcomes []OutcomeReport `msg:"o,omitempty"`
	// Push says that the request only brings something: it is answered at once, without resources.
	Push bool `msg:"u,omitempty"`
}

// Outcome is how one proxy's attempts at one backend ended since its last report.
type Outcome struct {
	Backend  string `msg:"b"`
	Attempts int    `msg:"a"` // that ended or are overdue
	Failed   int    `msg:"f"` // of them: errors, time-outs, resets, failed connects
	Slow     int    `msg:"s"` // of them: far slower than usual once their answers had begun
	Streamed int    `msg:"k"` // of them: answers that came in parts, which shows how fast
	Overdue  int    `msg:"v"` // of them: not answered within far longer than usual
	Late     int    `msg:"l"` // attempts told of as overdue, now or before, that have been answered
}

// OutcomeReport is what one proxy tells of backends.
type OutcomeReport struct {
	Proxy    string    `msg:"p"`
	Zone     string    `msg:"z"`
	Outcomes []Outcome `msg:"o"`
}

// Ejection says that a backend serves so much worse than its peers that nothing is sent there but trials.
type Ejection struct {
	Backend   string `msg:"b"`
	Zone      string `msg:"z"` // for the proxies of which zone; "": of all
	Probation bool   `msg:"p"` // trials have succeeded: more of them are due
	Slow      bool   `msg:"s"` // it serves, only slowly
}

// Ejections are all that are in force. They are sent again every second, and lapse where that doesn't come.
type Ejections struct {
	Ejected []Ejection `msg:"e"`
}

// Change is one acknowledged change of the configuration, as the operator sent it.
type Change struct {
	Version Version `msg:"v"` // that it leads to
	Replace bool    `msg:"r"`
	Body    []byte  `msg:"b"`
}

// Resource is the news of one source: its whole at a version, unless that was had, and the changes from there.
type Resource struct {
	Type        string   `msg:"s"`
	Version     Version  `msg:"v"`
	Snapshot    []byte   `msg:"w"` // at Since; nil: Since was had
	BaseVersion Version  `msg:"o"`
	Changes     []Change `msg:"c"`
}

// Response answers a Request.
type Response struct {
	From          string     `msg:"f"`
	Primary       string     `msg:"p"` // internal address of the primary, where known
	LastContactMs int64      `msg:"a"` // how long ago the primary was heard by this chain of sources; below 0: never
	Resources     []Resource `msg:"x"`
	// Kept says what of Rested is in the record for good; left out where nothing is new of that.
	ResidencyAcks []residencyreport.Ack `msg:"k,omitempty"`
	// WaitedMs is how long the answer waited at its sender for news: the rest of the time since the request was on the way, and
	// counts as age. Left out where it is none.
	WaitedMs int64 `msg:"h,omitempty"`
}

// Backend is one entry of the platform's list, in the words that the proxies use.
type Backend struct {
	ID       string `msg:"i"`
	Service  string `msg:"s"`
	Address  string `msg:"a"`
	Zone     string `msg:"z"`
	Version  string `msg:"v"`
	Capacity int    `msg:"c"`
	Draining bool   `msg:"d"`
	Phase    string `msg:"p"`
	Weights  int64  `msg:"w"` // version of its model's weights
}

// PhaseChanging stands in a Backend for its phase while that changes: nobody sends there.
const PhaseChanging = "changing"

// BackendListVersion is the platform's list as last seen.
type BackendList struct {
	Backends []Backend `msg:"b"`
}

// MembershipSize is how many proxies there are, in all and by zone.
type MembershipSize struct {
	Proxies int            `msg:"n"`
	Zones   map[string]int `msg:"z"`
}

// ControlServers is where control servers answer pulls: the members of the view.
type ControlServers struct {
	PullAddrs []string `msg:"p"`
}

// LoadReport is how many requests were at each backend that makes tokens, as the holder of the duty of orders heard from them:
// the fullest ones where there are more than MaxLoadReportBackends. Who isn't named has no more than the least of them.
type LoadReport struct {
	Active       map[string]int `msg:"a"` // by id
	Unresponsive []string       `msg:"s"` // ids of those, also that read prompts, whose report did not come
}

// MaxLoadReportBackends bounds the backends that Gauges name: some 4 kB.
const MaxLoadReportBackends = 256

// The sources.
const (
	ConfigType         = "config"
	BackendListType    = "list"
	MembershipSizeType = "crowd"
	ControlServersType = "core"
	LoadReportType     = "gauges"
	EjectionsType      = "ejections"
)
