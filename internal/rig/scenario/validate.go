package scenario

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Bounds of what is played.
const (
	maxLength  = 24 * time.Hour
	maxServers = 10000
	maxAgents  = 100000
	maxEvents  = 1000
)

// checker collects the first thing that makes no sense.
type checker struct {
	key string
	err error
}

func (c *checker) fail(key, format string, args ...any) {
	if c.err == nil {
		c.key, c.err = key, fmt.Errorf(format, args...)
	}
}

func (c *checker) number(key string, v, least, most float64) {
	if !(v >= least && v <= most) {
		c.fail(key, "must be from %v to %v, is %v", least, most, v)
	}
}

func (c *checker) time(key string, v Duration, least, most time.Duration) {
	if d := time.Duration(v); d < least || d > most {
		c.fail(key, "must be from %v to %v, is %v", least, most, d)
	}
}

func (c *checker) word(key, v string, of ...string) {
	if !slices.Contains(of, v) {
		c.fail(key, "must be one of %q, is %q", of, v)
	}
}

// validate settles what is left out and reports the first key that makes no sense.
func (s *Scenario) validate() (key string, err error) {
	c := &checker{}
	if s.Version != Version {
		c.fail("version", "must be %d, is %d", Version, s.Version)
	}
	c.time("length", s.Length, time.Second, maxLength)
	c.time("warmup", s.Warmup, 0, time.Duration(s.Length)-1)
	if len(s.Zones) == 0 || len(s.Zones) > 64 {
		c.fail("zones", "must be from 1 to 64, are %d", len(s.Zones))
	}
	for i, z := range s.Zones {
		if z == "" || slices.Index(s.Zones, z) != i {
			c.fail("zones", "%q stands there twice, or is empty", z)
		}
	}
	s.network(c)
	s.rules(c)
	s.servers(c)
	s.classes(c)
	s.portals(c)
	s.events(c)
	if c.err == nil {
		if n := s.Load() * s.Capacity() * time.Duration(s.Length).Seconds(); n > maxRequests {
			c.fail("length", "at %.0f requests a second it has %.0f requests, at most %d", s.Load()*s.Capacity(), n, int(maxRequests))
		}
	}
	return c.key, c.err
}

// maxRequests bounds the requests of a play.
const maxRequests = 2e7

func (s *Scenario) zone(c *checker, key, z string, may bool) {
	if !(z == "" && may) && !slices.Contains(s.Zones, z) {
		c.fail(key, "%q is no zone", z)
	}
}

func (s *Scenario) network(c *checker) {
	n := &s.Network
	c.time("network.same", n.Same, 0, time.Minute)
	c.time("network.cross", n.Cross, 0, time.Minute)
	c.time("network.stall", n.Stall, 0, time.Minute)
	c.number("network.jitter", n.Jitter, 0, 1)
	c.number("network.loss", n.Loss, 0, 1)
	for i := range n.Pairs {
		p, at := &n.Pairs[i], "network.pair["+strconv.Itoa(i)+"]"
		if len(p.Zones) != 2 {
			c.fail(at+".zones", "must be two")
			return
		}
		s.zone(c, at+".zones", p.Zones[0], false)
		s.zone(c, at+".zones", p.Zones[1], false)
		c.time(at+".delay", p.Delay, 0, time.Minute)
		c.number(at+".loss", p.Loss, 0, 1)
		c.time(at+".stall", p.Stall, 0, time.Minute)
	}
}

func (s *Scenario) rules(c *checker) {
	r, l := &s.Rules, &s.Limits
	c.time("rules.drain_grace", r.DrainGrace, 0, time.Minute)
	c.time("rules.cold", r.Cold, 0, time.Hour)
	c.number("rules.cold_from", r.ColdFrom, 0.01, 1)
	c.number("rules.fall_multiple", r.FallMultiple, 1, 1000)
	c.time("rules.fall_after", r.FallAfter, 10*time.Millisecond, time.Minute)
	c.time("rules.ask_within", r.AskWithin, 100*time.Millisecond, time.Hour)
	c.number("limits.attempts", float64(l.Attempts), 1, 100)
	c.time("limits.connect", l.Connect, time.Millisecond, time.Minute)
	c.time("limits.keep_idle", l.KeepIdle, 0, time.Hour)
	c.time("limits.retry_after", l.RetryAfter, 0, time.Hour)
	c.number("limits.memory_mb", l.MemoryMB, 16, 1<<20)
	c.number("limits.sockets", float64(l.Sockets), 64, 1<<20)
	c.time("roster.notice", s.Roster.Notice, 0, time.Hour)
	c.time("roster.silent", s.Roster.Silent, 0, time.Hour)
	c.word("agent.weights", s.Agent.Weights, "nominal", "off")
	if s.Agent.Chooser == "" {
		c.fail("agent.chooser", "is empty")
	}
}

func (s *Scenario) servers(c *checker) {
	if len(s.Servers) == 0 {
		c.fail("server", "none given")
	}
	for i := range s.Servers {
		k, at := &s.Servers[i], "server["+strconv.Itoa(i)+"]"
		if k.Kind == "" || slices.ContainsFunc(s.Servers[:i], func(o Server) bool { return o.Kind == k.Kind }) {
			c.fail(at+".kind", "%q stands there twice, or is empty", k.Kind)
		}
		if k.Speed == 0 {
			k.Speed = 1
		}
		if k.Slots == 0 {
			k.Slots = 1
		}
		if k.IdleClose == 0 {
			k.IdleClose = s.Limits.KeepIdle
		}
		if len(k.Zones) == 0 {
			k.Zones = s.Zones
		}
		for _, z := range k.Zones {
			s.zone(c, at+".zones", z, false)
		}
		c.number(at+".count", float64(k.Count), 1, maxServers)
		c.number(at+".slots", float64(k.Slots), 1, 100000)
		c.number(at+".speed", k.Speed, 1e-3, 1e3)
		c.number(at+".queue", float64(k.Queue), 0, 1e6)
		c.time(at+".connect", k.Connect, 0, time.Minute)
		c.number(at+".connections", float64(k.Connections), 0, 1e6)
		c.time(at+".idle_close", k.IdleClose, 0, time.Hour)
		c.number(at+".keys", float64(k.Keys), 0, 1e6)
		c.time(at+".keys_for", k.KeysFor, 0, time.Hour)
		c.number(at+".key_saves", k.KeySaves, 0, 0.99)
		c.time(at+".report_every", k.ReportEvery, 0, time.Minute)
		c.time(at+".report_age", k.ReportAge, 0, time.Minute)
		c.number(at+".report_error", k.ReportError, 0, 1)
	}
	c.number("server", float64(s.Count()), 1, maxServers)
}

func (s *Scenario) classes(c *checker) {
	if len(s.Classes) == 0 || len(s.Classes) > 100 {
		c.fail("class", "must be from 1 to 100, are %d", len(s.Classes))
	}
	for i := range s.Classes {
		k, at := &s.Classes[i], "class["+strconv.Itoa(i)+"]"
		if k.Name == "" || slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == k.Name }) {
			c.fail(at+".name", "%q stands there twice, or is empty", k.Name)
		}
		for _, r := range k.Name {
			if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' && r != '_' {
				c.fail(at+".name", "%q: small letters, digits, - and _ only", k.Name)
			}
		}
		if k.Share == 0 {
			k.Share = 1
		}
		if k.Law == "" {
			k.Law = "exp"
		}
		if k.CV == 0 {
			k.CV = 1
		}
		if k.Worth == 0 {
			k.Worth = 1
		}
		if k.GiveUp == 0 {
			k.GiveUp = 2 * k.Aim
		}
		if k.KeyWindow == 0 {
			k.KeyWindow = k.GiveUp
		}
		c.number(at+".share", k.Share, 1e-6, 1e6)
		c.time(at+".work", k.Work, time.Microsecond, time.Hour)
		c.word(at+".law", k.Law, "fixed", "exp", "lognormal", "pareto")
		c.number(at+".cv", k.CV, 0.01, 20)
		c.time(at+".aim", k.Aim, time.Millisecond, time.Hour)
		c.time(at+".give_up", k.GiveUp, time.Duration(k.Aim), time.Hour)
		c.number(at+".worth", k.Worth, 1e-6, 1e6)
		c.number(at+".late_worth", k.LateWorth, 0, 1)
		c.word(at+".effect", k.Effect, "safe", "keyed", "unsafe")
		c.time(at+".key_window", k.KeyWindow, 0, time.Hour)
	}
}

func (s *Scenario) portals(c *checker) {
	if len(s.Portals) == 0 {
		c.fail("portal", "none given")
	}
	for i := range s.Portals {
		p, at := &s.Portals[i], "portal["+strconv.Itoa(i)+"]"
		if p.Agents == 0 {
			p.Agents = 1
		}
		if p.Arrivals == "" {
			p.Arrivals = "poisson"
		}
		if len(p.Patience) == 0 {
			p.Patience = []float64{1, 1}
		}
		c.number(at+".agents", float64(p.Agents), 1, maxAgents)
		s.zone(c, at+".zone", p.Zone, true)
		c.word(at+".arrivals", p.Arrivals, "poisson", "bursts", "diurnal", "list")
		switch listed := p.Arrivals == "list"; {
		case listed && (p.Rate != 0 || p.Load != 0):
			c.fail(at+".at", "excludes rate and load")
		case listed && !slices.IsSorted(p.At):
			c.fail(at+".at", "times must not go back")
		case listed && (len(p.At) == 0 || len(p.At) > 1e6 || p.At[0] < 0):
			c.fail(at+".at", "must be from 1 to 1000000 times from 0s on")
		case !listed && len(p.At) > 0:
			c.fail(at+".at", "needs arrivals = \"list\"")
		case !listed && (p.Rate > 0) == (p.Load > 0):
			c.fail(at+".rate", "needs either rate or load")
		}
		c.number(at+".rate", p.Rate, 0, 1e7)
		c.number(at+".load", p.Load, 0, 100)
		c.number(at+".skew", p.Skew, 0, 5)
		c.number(at+".swing", p.Swing, 0, 1)
		if p.Arrivals == "bursts" || p.Arrivals == "diurnal" {
			c.time(at+".period", p.Period, time.Millisecond, maxLength)
		}
		c.number(at+".keys", float64(p.Keys), 0, 1e7)
		c.number(at+".zipf", p.Zipf, 0, 5)
		c.number(at+".retries", float64(p.Retries), 0, 10)
		c.time(at+".backoff", p.Backoff, 0, time.Hour)
		c.number(at+".leaves", p.Leaves, 0, 1)
		c.number(at+".heeds", p.Heeds, 0, 1)
		if len(p.Patience) != 2 || !(p.Patience[0] > 0) || !(p.Patience[1] >= p.Patience[0]) || p.Patience[1] > 1 {
			c.fail(at+".patience", "must be two parts above 0 and at most 1, the lesser first")
		}
	}
	c.number("portal", float64(s.Agents()), 1, maxAgents)
}

func (s *Scenario) events(c *checker) {
	if len(s.Events) > maxEvents {
		c.fail("event", "at most %d, are %d", maxEvents, len(s.Events))
	}
	for i := range s.Events {
		e, at := &s.Events[i], "event["+strconv.Itoa(i)+"]"
		if Kinds[e.Kind] == "" {
			c.fail(at+".kind", "%q is no event", e.Kind)
		}
		c.time(at+".at", e.At, 0, time.Duration(s.Length))
		c.time(at+".for", e.For, 0, maxLength)
		c.number(at+".share", e.Share, 0, 1)
		c.number(at+".factor", e.Factor, 0, 1e4)
		c.number(at+".rate", e.Rate, 0, 1e6)
		s.zone(c, at+".zone", e.Zone, true)
		s.zone(c, at+".with", e.With, true)
		if e.Of != "" && !slices.ContainsFunc(s.Servers, func(k Server) bool { return k.Kind == e.Of }) {
			c.fail(at+".of", "%q is no kind of servers", e.Of)
		}
		if e.Server != "" && !slices.Contains(s.ServerNames(), e.Server) {
			c.fail(at+".server", "%q is no server", e.Server)
		}
		needs := func(ok bool, key string) {
			if !ok {
				c.fail(at+"."+key, "is needed by %s", e.Kind)
			}
		}
		switch e.Kind {
		case "crash", "vanish", "replace", "drain":
			needs(e.Server != "" || e.Of != "" || e.Zone != "" || e.Share > 0, "server")
		case "slow":
			needs(e.Factor > 0, "factor")
		case "load":
			needs(e.Factor > 0, "factor")
		case "fail":
			needs(e.Share > 0, "share")
		case "zone-lost":
			needs(e.Zone != "", "zone")
		case "link-stalled":
			needs(e.Zone != "" && e.With != "", "with")
			needs(e.For > 0, "for")
		case "restart-agents":
			needs(e.Rate > 0, "rate")
		case "kill-agents":
			needs(e.Share > 0, "share")
		}
	}
}

// ServerNames are the servers' names, each kind's numbered from 1.
func (s *Scenario) ServerNames() []string {
	var names []string
	for _, k := range s.Servers {
		for i := range k.Count {
			names = append(names, k.Kind+"-"+strconv.Itoa(i+1))
		}
	}
	return names
}

// Knobs are what Set changes, with what each does.
var Knobs = map[string]string{
	"load":         "all portals together ask this part of what all servers can do",
	"load-factor":  "all portals ask this many times as much",
	"servers":      "this many servers in the same mix, load per server as before",
	"agents":       "this many agents in the same mix, with the same requests together",
	"report-age":   "load reports are this old, in milliseconds",
	"cold-from":    "servers start at this part of their capacity",
	"cold":         "servers take this long to warm up, in milliseconds",
	"work-factor":  "requests take this many times the work",
	"length":       "seconds; events keep their times",
	"attempts":     "attempts for a request at the most",
	"cross":        "one-way time between zones, in milliseconds",
	"retries":      "retries of every client",
	"limit-memory": "of an agent, in MB",
}

// Set changes a knob, and reports what makes no sense.
func (s *Scenario) Set(knob string, v float64) error {
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return fmt.Errorf("%s: must be 0 or above, is %v", knob, v)
	}
	dur := func(ms float64) Duration { return Duration(ms * float64(time.Millisecond)) }
	switch knob {
	case "load", "load-factor":
		factor := v
		if knob == "load" {
			factor = v / s.Load()
		}
		for i := range s.Portals {
			s.Portals[i].Rate *= factor
			s.Portals[i].Load *= factor
		}
	case "servers":
		// The greatest remainders get what rounding leaves.
		all, left := s.Count(), int(v)
		rate := make([]float64, len(s.Portals))
		for i := range s.Portals {
			rate[i] = s.PortalRate(&s.Portals[i]) / s.Capacity()
		}
		for i := range s.Servers {
			k := &s.Servers[i]
			n := max(int(math.Round(float64(k.Count)/float64(all)*v)), 1)
			if i == len(s.Servers)-1 {
				n = max(left, 1)
			}
			k.Count, left = n, left-n
		}
		for i := range s.Portals {
			if p := &s.Portals[i]; p.Rate > 0 {
				p.Rate = rate[i] * s.Capacity()
			}
		}
	case "agents":
		all, left := s.Agents(), int(v)
		for i := range s.Portals {
			p := &s.Portals[i]
			n := max(int(math.Round(float64(p.Agents)/float64(all)*v)), 1)
			if i == len(s.Portals)-1 {
				n = max(left, 1)
			}
			p.Agents, left = n, left-n
		}
	case "report-age":
		for i := range s.Servers {
			s.Servers[i].ReportAge = dur(v)
		}
	case "cold-from":
		s.Rules.ColdFrom = v
	case "cold":
		s.Rules.Cold = dur(v)
	case "work-factor":
		for i := range s.Classes {
			s.Classes[i].Work = Duration(float64(s.Classes[i].Work) * v)
		}
	case "length":
		s.Length = dur(1000 * v)
	case "attempts":
		s.Limits.Attempts = int(v)
	case "cross":
		s.Network.Cross = dur(v)
	case "retries":
		for i := range s.Portals {
			s.Portals[i].Retries = int(v)
		}
	case "limit-memory":
		s.Limits.MemoryMB = v
	default:
		return fmt.Errorf("%q is no knob", knob)
	}
	if key, err := s.validate(); err != nil {
		return errors.Join(fmt.Errorf("%s = %v: %s: %w", knob, v, key, err))
	}
	return nil
}
