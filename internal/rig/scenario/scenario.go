// Package scenario is what the lab plays: a whole estate of order servers, networks, portals and
// agents with a timeline of events, written as a TOML file of a stated version. A Scenario is
// values only; Set changes one knob of a copy.
//
// Rates are in requests a second of all agents of an entry together, work in time on a core of
// speed 1.
package scenario

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"molepaddle/internal/process/strict"
)

// Version is the one that files of this form carry.
const Version = 1

// Duration is a time with its unit, such as "250ms".
type Duration = strict.Duration

// Scenario is one file.
type Scenario struct {
	Version  int      `toml:"version"`
	Question string   `toml:"question"` // what an operator would ask
	Length   Duration `toml:"length"`
	Warmup   Duration `toml:"warmup"` // at the start, not counted
	Zones    []string `toml:"zones"`
	Network  Network  `toml:"network"`
	Rules    Rules    `toml:"rules"`
	Limits   Limits   `toml:"limits"`
	Roster   Roster   `toml:"roster"`
	Agent    Agent    `toml:"agent"`
	Servers  []Server `toml:"server"`
	Classes  []Class  `toml:"class"`
	Portals  []Portal `toml:"portal"`
	Events   []Event  `toml:"event"`

	// Name is the file's, without its ending; Dir is where it stands, for files that it names.
	Name string `toml:"-"`
	Dir  string `toml:"-"`
}

// Network is the one-way times between an agent and a server.
type Network struct {
	Same   Duration `toml:"same"`   // within a zone
	Cross  Duration `toml:"cross"`  // between zones
	Jitter float64  `toml:"jitter"` // as a part of the time, evenly to both sides
	Loss   float64  `toml:"loss"`   // share of messages that come late by Stall, as lost segments do
	Stall  Duration `toml:"stall"`
	Pairs  []Pair   `toml:"pair"`
}

// Pair is two zones with times of their own.
type Pair struct {
	Zones []string `toml:"zones"`
	Delay Duration `toml:"delay"`
	Loss  float64  `toml:"loss"`
	Stall Duration `toml:"stall"`
}

// Rules is the figures of the four rules.
type Rules struct {
	DrainGrace   Duration `toml:"drain_grace"`
	Cold         Duration `toml:"cold"`          // a server that has started is warm after this
	ColdFrom     float64  `toml:"cold_from"`     // and begins at this part of its capacity
	FallMultiple float64  `toml:"fall_multiple"` // of its present capacity: sent more than that
	FallAfter    Duration `toml:"fall_after"`    // for this long, it falls over and stays down
	AskWithin    Duration `toml:"ask_within"`
}

// Limits is what a deployment permits an agent.
type Limits struct {
	Attempts   int      `toml:"attempts"`
	Connect    Duration `toml:"connect"`
	KeepIdle   Duration `toml:"keep_idle"`
	RetryAfter Duration `toml:"retry_after"`
	Cancelling bool     `toml:"cancelling"`
	Probing    bool     `toml:"probing"`
	MemoryMB   float64  `toml:"memory_mb"`
	Sockets    int      `toml:"sockets"`
}

// Roster is the service that lists the servers.
type Roster struct {
	Pushed bool     `toml:"pushed"`
	Notice Duration `toml:"notice"` // until it knows what a server or its machine tells
	Silent Duration `toml:"silent"` // until it knows that a machine says nothing any more
}

// Agent is the program between portals and servers.
type Agent struct {
	Chooser  string `toml:"chooser"`  // molepaddle, or a baseline
	Operator string `toml:"operator"` // the operator's file, beside the scenario; empty: none
	Weights  string `toml:"weights"`  // what the list tells of sizes: nominal or off
}

// Server is a kind of order servers.
type Server struct {
	Kind        string   `toml:"kind"`
	Count       int      `toml:"count"`
	Zones       []string `toml:"zones"` // in turn; empty: all
	Slots       int      `toml:"slots"` // requests that are worked on at once
	Speed       float64  `toml:"speed"` // of a slot
	Queue       int      `toml:"queue"` // requests that wait; others are turned away
	Connect     Duration `toml:"connect"`
	Connections int      `toml:"connections"` // that it holds; 0: any number
	IdleClose   Duration `toml:"idle_close"`
	Cold        bool     `toml:"cold"`         // started with the scenario
	RunsOn      bool     `toml:"runs_on"`      // work goes on when its request is given up
	Keys        int      `toml:"keys"`         // that it remembers
	KeysFor     Duration `toml:"keys_for"`     // for so long
	KeySaves    float64  `toml:"key_saves"`    // part of the work that a known key saves
	ReportEvery Duration `toml:"report_every"` // how often its load report is made anew; 0: none
	ReportAge   Duration `toml:"report_age"`   // and how old it is then
	ReportError float64  `toml:"report_error"` // of its figures, as a part, evenly to both sides
}

// Class is a class of requests.
type Class struct {
	Name      string   `toml:"name"`
	Share     float64  `toml:"share"`
	Work      Duration `toml:"work"` // mean
	Law       string   `toml:"law"`  // fixed, exp, lognormal or pareto
	CV        float64  `toml:"cv"`   // its standard deviation over the mean, of lognormal and pareto
	Aim       Duration `toml:"aim"`
	GiveUp    Duration `toml:"give_up"`
	Worth     float64  `toml:"worth"`
	LateWorth float64  `toml:"late_worth"` // part of the worth between aim and give-up
	Effect    string   `toml:"effect"`     // safe, keyed or unsafe
	KeyWindow Duration `toml:"key_window"` // in which servers drop a keyed repeat
}

// Portal is a number of clients, each with an agent of its own.
type Portal struct {
	Agents   int        `toml:"agents"`
	Zone     string     `toml:"zone"` // empty: in turn
	Rate     float64    `toml:"rate"`
	Load     float64    `toml:"load"`     // instead: a part of what all servers can do
	Skew     float64    `toml:"skew"`     // Zipf exponent of the agents' shares; 0: even
	Arrivals string     `toml:"arrivals"` // poisson, bursts, diurnal or list
	Swing    float64    `toml:"swing"`    // of bursts and diurnal, as a part of the rate
	Period   Duration   `toml:"period"`
	At       []Duration `toml:"at"`       // of a list
	Keys     int        `toml:"keys"`     // distinct; 0: none
	Zipf     float64    `toml:"zipf"`     // their popularity
	Patience []float64  `toml:"patience"` // least and most part of the give-up time that a client waits
	Leaves   float64    `toml:"leaves"`   // share of clients that go before, at any time of it
	Retries  int        `toml:"retries"`
	Backoff  Duration   `toml:"backoff"`
	Heeds    float64    `toml:"heeds"` // share of refusals whose Retry-After is heeded
}

// Event is something that happens.
type Event struct {
	At     Duration `toml:"at"`
	Kind   string   `toml:"kind"`
	Server string   `toml:"server"` // by name, such as fast-2
	Of     string   `toml:"of"`     // a kind of servers
	Zone   string   `toml:"zone"`
	With   string   `toml:"with"`  // the other zone of a link
	Share  float64  `toml:"share"` // of those named: how many, by draw; of fail: of requests
	Factor float64  `toml:"factor"`
	For    Duration `toml:"for"`
	Rate   float64  `toml:"rate"` // of agents a second
}

// Kinds are the kinds of events, with what each does.
var Kinds = map[string]string{
	"crash":          "processes end, and start again cold after 'for'",
	"vanish":         "machines say nothing for 'for', then start cold",
	"replace":        "servers drain, end when idle, and others start cold under new names",
	"drain":          "servers drain; after 'for' they are ready again",
	"slow":           "work takes 'factor' times as long for 'for'",
	"fail":           "'share' of the requests end in an error at once for 'for'",
	"zone-lost":      "all machines of a zone vanish for 'for'",
	"link-stalled":   "nothing passes between 'zone' and 'with' for 'for'",
	"roster-down":    "the roster answers nothing for 'for'",
	"reports-late":   "load reports are older by 'for' from then on",
	"load":           "portals ask 'factor' times as much for 'for'",
	"restart-agents": "all agents end as planned and start again, 'rate' a second",
	"kill-agents":    "'share' of the agents are killed and start again at once",
}

// Defaults of what a file need not say.
func defaults() *Scenario {
	ms := func(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }
	return &Scenario{
		Length: ms(60000), Zones: []string{"a"},
		Network: Network{Same: ms(0) + Duration(200*time.Microsecond), Cross: ms(2), Jitter: 0.1, Stall: ms(200)},
		Rules:   Rules{DrainGrace: ms(250), Cold: ms(8000), ColdFrom: 0.3, FallMultiple: 2.5, FallAfter: ms(1000), AskWithin: ms(10000)},
		Limits:  Limits{Attempts: 3, Connect: ms(150), KeepIdle: ms(30000), RetryAfter: ms(600), Cancelling: true, MemoryMB: 192, Sockets: 1024},
		Roster:  Roster{Notice: ms(1000), Silent: ms(5000)},
		Agent:   Agent{Chooser: "molepaddle", Weights: "nominal"},
	}
}

// Parse reads the text of a file; name is for its errors, and without its ending the scenario's.
func Parse(name string, text []byte) (*Scenario, error) {
	s := defaults()
	if err := strict.Decode(name, text, s, s.validate); err != nil {
		return nil, err
	}
	s.Name = strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return s, nil
}

// Load reads a file, or the shipped scenario of that name where there is no such file.
func Load(path string) (*Scenario, error) {
	if text, ok := Shipped(path); ok {
		return Parse(path+".toml", text)
	}
	text, err := strict.Read(path)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w; shipped are %s", err, strings.Join(Names(), ", "))
	}
	s, err := Parse(filepath.Base(path), text)
	if err != nil {
		return nil, fmt.Errorf("scenario: %w", err)
	}
	s.Dir = filepath.Dir(path)
	return s, nil
}

// Hash is short and the same for scenarios that mean the same.
func (s *Scenario) Hash() string {
	text, err := toml.Marshal(s)
	if err != nil {
		return "unknown" // plain values: it does not happen
	}
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:6])
}

// Agents is how many there are.
func (s *Scenario) Agents() (n int) {
	for _, p := range s.Portals {
		n += p.Agents
	}
	return n
}

// Count is how many servers there are.
func (s *Scenario) Count() (n int) {
	for _, k := range s.Servers {
		n += k.Count
	}
	return n
}

// MeanWork is that of a request, in milliseconds on a core of speed 1.
func (s *Scenario) MeanWork() float64 {
	work, shares := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * c.Work.Ms()
		shares += c.Share
	}
	return work / shares
}

// Capacity is the requests a second that all servers can do, none of them cold and no key known.
func (s *Scenario) Capacity() float64 {
	speed := 0.0
	for _, k := range s.Servers {
		speed += float64(k.Count*k.Slots) * k.Speed
	}
	return speed / s.MeanWork() * 1000
}

// PortalRate is the mean rate of a portal, in requests a second.
func (s *Scenario) PortalRate(p *Portal) float64 {
	if p.Load > 0 {
		return p.Load * s.Capacity()
	}
	return p.Rate
}

// Load is the requests a second of all portals over the capacity.
func (s *Scenario) Load() float64 {
	rate := 0.0
	for i := range s.Portals {
		rate += s.PortalRate(&s.Portals[i])
	}
	return rate / s.Capacity()
}

// Clone is a copy of which each part can be changed.
func (s *Scenario) Clone() *Scenario {
	c := *s
	c.Servers, c.Classes = slices.Clone(s.Servers), slices.Clone(s.Classes)
	c.Portals, c.Events = slices.Clone(s.Portals), slices.Clone(s.Events)
	return &c
}
