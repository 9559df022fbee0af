package scenario

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	"molepaddle/internal/process/config"
)

const least = `version = 1
[[server]]
kind = "s"
count = 2
[[class]]
name = "x"
work = "10ms"
aim = "100ms"
effect = "safe"
[[portal]]
rate = 20.0
`

// Each shipped scenario is whole, asks something, and what an agent is told of it can be read.
func TestShippedScenarios(t *testing.T) {
	if len(Names()) < 12 {
		t.Fatalf("%d scenarios", len(Names()))
	}
	for _, name := range Names() {
		s, err := Load(name)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if s.Name != name || !strings.HasSuffix(s.Question, "?") {
			t.Errorf("%s: %q asks %q", name, s.Name, s.Question)
		}
		text, err := s.Config("a", "127.0.0.1:0", "127.0.0.1:1", "1", 0, 0, json.RawMessage(`{"seq":1,"whole":true,"hosts":[]}`))
		if err != nil {
			t.Fatal(err)
		}
		c, err := config.Parse(text)
		if err != nil || len(c.Classes) != len(s.Classes) || c.Settings.Replicas != s.Agents() {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// What makes no sense is one line with file, line and key.
func TestBadFiles(t *testing.T) {
	for _, c := range []struct{ change, to, want string }{
		{"version = 1", "version = 2", "f.toml:1: version: must be 1, is 2"},
		{`kind = "s"`, `kind = "s"` + "\nslots = -1", "f.toml:4: server[0].slots: must be"},
		{`kind = "s"`, `kind = "s"` + "\nsloths = 1", "f.toml:4: server.sloths: not known"},
		{`work = "10ms"`, `work = 10`, "f.toml:7: class"},
		{`effect = "safe"`, `effect = "sound"`, "f.toml:9: class[0].effect: must be one of"},
		{"rate = 20.0", "rate = 20.0\nload = 0.5", "portal[0].rate: needs either"},
		{"rate = 20.0", "rate = 1e9", "portal[0].rate: must be"},
		{"rate = 20.0", "rate = 1e6\n[[event]]\nat = \"1s\"\nkind = \"quake\"", `event[0].kind: "quake" is no event`},
		{"rate = 20.0", "rate = 1.0\n[[event]]\nat = \"1s\"\nkind = \"crash\"\nserver = \"s-3\"", `f.toml:15: event[0].server: "s-3" is no server`},
		{"rate = 20.0", "rate = 1.0\n[[event]]\nat = \"1s\"\nkind = \"crash\"", "event[0].server: is needed by crash"},
		{"rate = 20.0", "arrivals = \"list\"\nat = [\"2s\", \"1s\"]", "portal[0].at: times must not go back"},
		{"rate = 20.0", "rate = 1e6", "length: at 1000000 requests a second"},
	} {
		_, err := Parse("f.toml", []byte(strings.Replace(least, c.change, c.to, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: said %v, want %q", c.to, err, c.want)
		}
	}
}

// Knobs change what they say, in a copy only.
func TestKnobs(t *testing.T) {
	of := func() *Scenario {
		s, err := Load("calm")
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	first := of()
	for knob, check := range map[string]func(s *Scenario) bool{
		"load":    func(s *Scenario) bool { return math.Abs(s.Load()-2) < 1e-9 },
		"servers": func(s *Scenario) bool { return s.Count() == 2 && math.Abs(s.Load()-first.Load()) < 1e-9 },
		"agents":  func(s *Scenario) bool { return s.Agents() == 2 },
		"cross":   func(s *Scenario) bool { return s.Network.Cross.Ms() == 2 },
		"retries": func(s *Scenario) bool { return s.Portals[0].Retries == 2 },
		"length":  func(s *Scenario) bool { return s.Length.Ms() == 2000 },
	} {
		c := first.Clone()
		if knob == "length" {
			c.Warmup = 0
		}
		if err := c.Set(knob, 2); err != nil || !check(c) || c.Hash() == first.Hash() {
			t.Errorf("%s: %v", knob, err)
		}
	}
	if first.Hash() != of().Hash() {
		t.Error("a copy's knob changed the first")
	}
	if err := first.Clone().Set("load", math.NaN()); err == nil {
		t.Error("no number is taken")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(least))
	text, _ := Shipped("zone-lost")
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := Parse("f.toml", text); err == nil && (s.Count() > maxServers || s.Agents() > maxAgents || !(s.Load() >= 0)) {
			t.Errorf("%d servers, %d agents, load %v", s.Count(), s.Agents(), s.Load())
		}
	})
}
