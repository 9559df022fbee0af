package settings_test

import (
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
