package settings_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/settings"
)

func TestCheckOfTheExample(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("boot.toml", []byte(example))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Check("boot.toml"), qt.HasLen, 0)
}

func TestCheckFindsMissingSettings(t *testing.T) {
	c := qt.New(t)
	s, err := settings.Parse("boot.toml", []byte(`
nodename = "n"
ip = "10.1.0.1"
roles = ["edge", "ctl"]
az = "a"
rgn = "west"
port_range = [7720,7721]
[azs]
a = "east"
`))
	c.Assert(err, qt.IsNil)
	var keys []string
	for _, f := range s.Check("boot.toml") {
		c.Check(f.File, qt.Equals, "boot.toml")
		keys = append(keys, f.Key)
	}
	c.Assert(keys, qt.DeepEquals, []string{
		"port_range", "bind.edge", "bind.readyz", "bind.ctl", "datadir", "peers", "provider.address", "rgn",
	})
}

// TestCheckCountsThePortsInUse: the programs use four ports of the range, the fourth for tenants' quotas. A range of
// three ports is reported, and one of four is valid.
func TestCheckCountsThePortsInUse(t *testing.T) {
	for ports, want := range map[string]int{"[7720,7722]": 1, "[7720,7723]": 0} {
		s, err := settings.Parse("boot.toml", []byte(strings.Replace(example, "[7720,7735]", ports, 1)))
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, s.Check("boot.toml"), qt.HasLen, want, qt.Commentf("%s", ports))
	}
}
