// Package status defines the fleet status that a control server reports to the operator: its JSON form, and values
// derived from it. It has neither I/O nor a clock. All ages are in milliseconds and computed by the reporting server,
// so clocks need not be synchronised. The JSON keys must not change: they are on the wire and in the output of
// molepaddle-fleet status --json.
//
// Its values are not safe for concurrent use: a Fleet belongs to the goroutine that decoded or created it.
package status

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Fleet is the state of the fleet as known to one control server.
type Fleet struct {
	// From is the name of the reporting core machine.
	From string `json:"from"`
	// Confirmed reports whether all backups confirmed the view for this report.
	Confirmed bool `json:"confirmed"`
	// CollectingLeases reports whether the primary has led for less than a lease, so that Agents may lack some that
	// haven't renewed their lease with it yet.
	CollectingLeases bool            `json:"learning"`
	View             View            `json:"view"`
	SingletonRoles   []SingletonRole `json:"duties"`
	Configuration    Configuration   `json:"configuration"`
	BackendList      BackendList     `json:"list"`
	// Agents are sorted by name.
	Agents []Agent `json:"agents"`
	// Services are sorted by name.
	Services []Service `json:"services"`
}

// View is the view of the control plane: the machines that replicate its state, and which of them is the primary.
type View struct {
	// Epoch is the number of the view; each new view has a higher one.
	Epoch uint64 `json:"epoch"`
	// Primary is the control address of the primary; empty if unknown.
	Primary string `json:"primary"`
	// Ready reports whether changes and reads are answered.
	Ready bool `json:"ready"`
	// Members are sorted by address.
	Members []Member `json:"members"`
}

// Member is a core machine.
type Member struct {
	// Address is the member's control address.
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	// Role is "primary", "backup" or "witness".
	Role string `json:"role"`
	// Self is set for the reporting machine.
	Self bool `json:"self"`
	// LastContactMs is the age of the last contact with the member; -1: none since the start of the reporting machine,
	// or the member is that machine itself.
	LastContactMs int64 `json:"heard_ms"`
}

// Names of the singleton roles. They are on the wire.
const (
	// SingletonPoll polls the platform for its backend list.
	SingletonPoll = "poll"
	// SingletonPhases orders the backends which phase to serve.
	SingletonPhases = "phases"
)

// SingletonRole is a role that at most one core machine holds at a time for the whole fleet.
type SingletonRole struct {
	// Name is SingletonPoll or SingletonPhases.
	Name string `json:"name"`
	// Holder is the control address of the holder; empty if there is none.
	Holder string `json:"holder"`
	// FencingToken is the epoch of the holder; a later epoch supersedes it.
	FencingToken uint64 `json:"fence"`
	// StandbyMs is the remaining time in which the holder does not act yet, so that holders don't alternate within a
	// lease; 0 if it acts.
	StandbyMs int64 `json:"wait_ms"`
	// Fenced reports whether the holder gave the role up because a higher fencing token was seen; left out otherwise.
	Fenced bool `json:"fenced,omitempty"`
}

// Configuration describes the newest committed configuration.
type Configuration struct {
	// Version is the operator's version number; 0 if there is none yet.
	Version int64 `json:"ver"`
	// Seq is the sequence number of the replicated change that led to it, as committed on this machine.
	Seq uint64 `json:"seq"`
	// AgeMs is the time since this machine found it committed.
	AgeMs int64 `json:"age_ms"`
}

// ListVersion is the version of a backend list; versions are ordered by epoch, then by count.
type ListVersion struct {
	Epoch uint64 `json:"epoch"`
	Count uint64 `json:"count"`
}

// BackendList describes the platform's list as last distributed.
type BackendList struct {
	ListVersion
	// AgeMs is the age of the platform's last answer; -1 if there is none.
	AgeMs int64 `json:"age_ms"`
}

// Agent is a proxy that holds a lease, which its node agent renews.
type Agent struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// LeaseAgeMs is the age of the last renewal.
	LeaseAgeMs int64 `json:"lease_ms"`
	// ConfigVersion is the version of the configuration in force on the proxy; 0 if there is none.
	ConfigVersion int64 `json:"ver"`
	// ConfigAgeMs is how long that configuration has been in force.
	ConfigAgeMs int64 `json:"since_ms"`
	// BackendListVersion is the version of the backend list in force on the proxy; zero if there is none or its node
	// agent polled the list itself.
	BackendListVersion ListVersion `json:"list"`
	// Draining reports whether the proxy is shutting down; left out otherwise.
	Draining bool `json:"draining,omitempty"`
}

// Service contains the backend counts of a service in the list as last distributed.
type Service struct {
	Name     string `json:"name"`
	Backends int    `json:"backends"`
	Draining int    `json:"draining"`
	// Phases contains the number of backends in each phase; backends without a phase are not counted.
	Phases map[string]int `json:"phases"`
}

// Decode decodes a report from the body of a control server's response. Unknown fields are ignored.
func Decode(body []byte) (*Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "status: decode report")
	}
	return &f, nil
}

// Sort sorts agents and services by name and members by address.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Agents, func(a, b Agent) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.View.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
}

// Behind returns the agents whose configuration is older than version.
func (f *Fleet) Behind(version int64) []Agent {
	var behind []Agent
	for _, a := range f.Agents {
		if a.ConfigVersion < version {
			behind = append(behind, a)
		}
	}
	return behind
}

// AppliedEverywhere reports whether every agent with a lease has the given version of the configuration or a newer one
// in force. It is false if there are no leases, if Agents may be incomplete, or if the report isn't confirmed: the
// operator relies on the version once it is true.
func (f *Fleet) AppliedEverywhere(version int64) bool {
	return f.Confirmed && !f.CollectingLeases && len(f.Agents) > 0 && len(f.Behind(version)) == 0
}
