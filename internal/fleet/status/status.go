// Package status is how a fleet stands, as a control server tells the operator: the JSON that goes over the wire, and what
// is read off it. It has neither I/O nor clock: ages are counted by whoever tells.
package status

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/go-faster/errors"
)

// Fleet is the whole. All durations are in milliseconds and ages: how long ago, as the one who tells knows.
type Fleet struct {
	From      string `json:"from"`      // name of the core machine that tells
	Confirmed bool   `json:"confirmed"` // its view was confirmed by all backups as this was told
	// Learning: the primary has led for less than a lease, so agents may be missing that it has not heard yet.
	CollectingLeases bool            `json:"learning"`
	View             View            `json:"view"`
	SingletonRoles   []SingletonRole `json:"duties"`
	Configuration    Configuration   `json:"configuration"`
	BackendList      BackendList     `json:"list"`
	Agents           []Agent         `json:"agents"`   // by name
	Services         []Service       `json:"services"` // by name
}

// View is the core's: who keeps the record.
type View struct {
	Epoch   uint64   `json:"epoch"`
	Primary string   `json:"primary"` // control address; empty: none is known
	Ready   bool     `json:"ready"`   // changes and reads are answered
	Members []Member `json:"members"` // by address
}

// Member is a core machine.
type Member struct {
	Address       string `json:"address"` // control address
	Zone          string `json:"zone"`
	Region        string `json:"region"`
	Role          string `json:"role"`     // primary, backup or witness
	Self          bool   `json:"self"`     // the one who tells
	LastContactMs int64  `json:"heard_ms"` // when it was last heard; -1: not since the teller's start, or the teller itself
}

// The duties, of which each has one holder at the most.
const (
	SingletonPoll   = "poll"   // asking the platform for its list, for all
	SingletonPhases = "phases" // telling backends which phase to take up
)

// SingletonRole is one that is done for the whole fleet.
type SingletonRole struct {
	Name         string `json:"name"`
	Holder       string `json:"holder"` // control address; empty: nobody
	FencingToken uint64 `json:"fence"`  // the epoch in whose name it is done
	// StandbyMs is how long the holder still keeps still, so that holders don't take turns within a lease; 0: it is at work.
	StandbyMs int64 `json:"wait_ms"`
}

// Configuration is the newest acknowledged one.
type Configuration struct {
	Version int64  `json:"ver"` // the operator's; 0: none yet
	Seq     uint64 `json:"seq"` // the change of the record that brought it, as this machine settled it
	AgeMs   int64  `json:"age_ms"`
}

// ListVersion is a list's: epochs first, counts within one.
type ListVersion struct {
	Epoch uint64 `json:"epoch"`
	Count uint64 `json:"count"`
}

// BackendList is the platform's list as last given out.
type BackendList struct {
	ListVersion
	AgeMs int64 `json:"age_ms"` // of the last poll that was answered; -1: none
}

// Agent is one that holds a lease: a proxy, by way of its node agent.
type Agent struct {
	Name               string      `json:"name"`
	Zone               string      `json:"zone"`
	LeaseAgeMs         int64       `json:"lease_ms"` // age of the last renewal
	ConfigVersion      int64       `json:"ver"`      // of the configuration in force there; 0: none
	ConfigAgeMs        int64       `json:"since_ms"` // for how long it has been
	BackendListVersion ListVersion `json:"list"`     // zero: none, or one that its node agent polled itself
}

// Service is a service's backends, as in the list given out.
type Service struct {
	Name     string         `json:"name"`
	Backends int            `json:"backends"`
	Draining int            `json:"draining"`
	Phases   map[string]int `json:"phases"` // backends in each phase; those without one are left out
}

// Decode reads what a control server told.
func Decode(body []byte) (*Fleet, error) {
	var f Fleet
	if err := json.Unmarshal(body, &f); err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return &f, nil
}

// Sort brings agents and services into the order of names, and members into that of addresses.
func (f *Fleet) Sort() {
	slices.SortFunc(f.Agents, func(a, b Agent) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.View.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
}

// Behind are the agents whose configuration is older than a version.
func (f *Fleet) Behind(version int64) []Agent {
	var all []Agent
	for _, a := range f.Agents {
		if a.ConfigVersion < version {
			all = append(all, a)
		}
	}
	return all
}

// AppliedEverywhere tells whether every agent with a lease has a version or a newer one. It is false while nobody holds a lease
// or the primary may not have heard all of them yet.
func (f *Fleet) AppliedEverywhere(version int64) bool {
	return f.Confirmed && !f.CollectingLeases && len(f.Agents) > 0 && len(f.Behind(version)) == 0
}
