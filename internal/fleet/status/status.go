// Package status is the state of the fleet as a control server reports it to the operator: the JSON on the wire, and
// what can be derived from it. It has neither I/O nor a clock. All ages are in milliseconds, counted by the server
// that reports them, so that no clocks have to agree. The JSON keys must not change: they are on the wire and in the
// output of molepaddle-fleet status --json.
//
// Its values have no locks: whoever decodes a Fleet or makes one owns it.
package status

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Fleet is the state of the fleet as one control server knows it.
type Fleet struct {
	// From is the name of the core machine that reports.
	From string `json:"from"`
	// Confirmed says that all backups confirmed the view for this report.
	Confirmed bool `json:"confirmed"`
	// CollectingLeases says that the primary has led for less than a lease, so that Agents may lack some that haven't
	// renewed theirs with it yet.
	CollectingLeases bool            `json:"learning"`
	View             View            `json:"view"`
	SingletonRoles   []SingletonRole `json:"duties"`
	Configuration    Configuration   `json:"configuration"`
	BackendList      BackendList     `json:"list"`
	// Agents are in the order of their names.
	Agents []Agent `json:"agents"`
	// Services are in the order of their names.
	Services []Service `json:"services"`
}

// View is the control plane's: which machines replicate its state, and which of them leads.
type View struct {
	// Epoch is the number of the view; each new view has a higher one.
	Epoch uint64 `json:"epoch"`
	// Primary is the control address of the primary; empty: not known.
	Primary string `json:"primary"`
	// Ready says that changes and reads are answered.
	Ready bool `json:"ready"`
	// Members are in the order of their addresses.
	Members []Member `json:"members"`
}

// Member is a core machine.
type Member struct {
	// Address is its control address.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Role is "primary", "backup" or "witness".
	Role string `json:"role"`
	// Self is set on the machine that reports.
	Self bool `json:"self"`
	// LastContactMs is the age of the last contact with it; -1: none since the reporting machine's start, or that
	// machine itself.
	LastContactMs int64 `json:"heard_ms"`
}

// Names of the singleton roles. They are on the wire.
const (
	// SingletonPoll is polling the platform for its backend list.
	SingletonPoll = "poll"
	// SingletonPhases is telling the backends which phase to serve.
	SingletonPhases = "phases"
)

// SingletonRole is work that at most one core machine at a time does for the fleet.
type SingletonRole struct {
	// Name is SingletonPoll or SingletonPhases.
	Name string `json:"name"`
	// Holder is the control address of the holder; empty: nobody.
	Holder string `json:"holder"`
	// FencingToken is the epoch in whose name the holder acts: a later one supersedes it.
	FencingToken uint64 `json:"fence"`
	// StandbyMs is for how long the holder won't act yet, so that holders don't alternate within a lease; 0: it acts.
	StandbyMs int64 `json:"wait_ms"`
	// Fenced says that the holder gave the role up, as a higher fencing token was seen; left out otherwise.
	Fenced bool `json:"fenced,omitempty"`
}

// Configuration is the newest committed one.
type Configuration struct {
	// Version is the operator's; 0: none yet.
	Version int64 `json:"ver"`
	// Seq is the number of the replicated change that brought it, as this machine committed it.
	Seq uint64 `json:"seq"`
	// AgeMs is for how long this machine has had it.
	AgeMs int64 `json:"age_ms"`
}

// ListVersion is the version of a backend list; versions are ordered by epoch, then by count.
type ListVersion struct {
	Epoch uint64 `json:"epoch"`
	Count uint64 `json:"count"`
}

// BackendList is the platform's list as last distributed.
type BackendList struct {
	ListVersion
	// AgeMs is that of the last poll that was answered; -1: none was.
	AgeMs int64 `json:"age_ms"`
}

// Agent is a proxy that holds a lease, which its node agent renews.
type Agent struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// LeaseAgeMs is the age of the last renewal.
	LeaseAgeMs int64 `json:"lease_ms"`
	// ConfigVersion is that of the configuration in force there; 0: none.
	ConfigVersion int64 `json:"ver"`
	// ConfigAgeMs is for how long that has been in force.
	ConfigAgeMs int64 `json:"since_ms"`
	// BackendListVersion is that of the list in force there; zero: none, or one that its node agent polled itself.
	BackendListVersion ListVersion `json:"list"`
	// Draining says that the proxy is shutting down; left out otherwise.
	Draining bool `json:"draining,omitempty"`
}

// Service counts a service's backends in the list as last distributed.
type Service struct {
	Name     string `json:"name"`
	Backends int    `json:"backends"`
	Draining int    `json:"draining"`
	// Phases counts the backends in each phase; those without a phase are left out.
	Phases map[string]int `json:"phases"`
}

// Decode returns the report in the body of a control server's answer. Fields that it doesn't know are ignored.
func Decode(body []byte) (*Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return &f, nil
}

// Sort puts agents and services in the order of their names, and members in that of their addresses.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Agents, func(a, b Agent) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.View.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
}

// Behind returns the agents whose configuration is older than a version.
func (f *Fleet) Behind(version int64) []Agent {
	var behind []Agent
	for _, a := range f.Agents {
		if a.ConfigVersion < version {
			behind = append(behind, a)
		}
	}
	return behind
}

// AppliedEverywhere returns whether every agent with a lease has a version of the configuration or a newer one in
// force. It is false while nobody holds a lease, the primary may lack some agents, or the report isn't confirmed: the
// operator takes true as leave to rely on the version.
func (f *Fleet) AppliedEverywhere(version int64) bool {
	return f.Confirmed && !f.CollectingLeases && len(f.Agents) > 0 && len(f.Behind(version)) == 0
}
