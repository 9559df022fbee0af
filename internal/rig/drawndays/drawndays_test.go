package drawndays_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pelletier/go-toml/v2"
	"pgregory.net/rapid"

	"molepaddle/internal/rig/drawndays"
)

// dayFile is the part of a day file that the tests look at.
type dayFile struct {
	Day []struct {
		Name   string           `toml:"name"`
		Seed   uint64           `toml:"seed"`
		Length float64          `toml:"length_s"`
		Plan   []map[string]any `toml:"plan"`
		Faults []map[string]any `toml:"faults"`
	} `toml:"day"`
}

func options(seed uint64, theme drawndays.Theme) drawndays.Options {
	return drawndays.Options{Seed: seed, Theme: theme, Length: 34, Service: "chat", Zones: []string{"a", "b"}, Classes: []string{"long", "short"}, Fewest: 3, Most: 12}
}

func TestDrawnDaysAreWellFormed(t *testing.T) {
	c := qt.New(t)
	rapid.Check(t, func(r *rapid.T) {
		theme := rapid.SampledFrom([]drawndays.Theme{drawndays.ThemeAll, drawndays.ThemeControl, drawndays.ThemeData, drawndays.ThemePlanned}).Draw(r, "theme")
		o := options(rapid.Uint64().Draw(r, "seed"), theme)
		text := drawndays.Draw(o).String()
		var file dayFile
		c.Assert(toml.Unmarshal([]byte(text), &file), qt.IsNil, qt.Commentf("%s", text))
		c.Assert(file.Day, qt.HasLen, 1)
		day := file.Day[0]
		c.Assert(len(day.Plan)+len(day.Faults) >= o.Fewest, qt.IsTrue)
		for _, entry := range append(day.Plan, day.Faults...) {
			at, ok := entry["at"].(float64)
			c.Assert(ok && at >= 1 && at <= o.Length, qt.IsTrue, qt.Commentf("%v", entry))
			c.Assert(entry["kind"], qt.Not(qt.Equals), "")
		}
		c.Assert(strings.Contains(text, "("), qt.IsFalse, qt.Commentf("a name of the deployment is missing: %s", text))
	})
}

func TestSameSeedSameDay(t *testing.T) {
	c := qt.New(t)
	first := drawndays.Draw(options(7, drawndays.ThemeAll)).String()
	c.Assert(drawndays.Draw(options(7, drawndays.ThemeAll)).String(), qt.Equals, first)
	c.Assert(drawndays.Draw(options(8, drawndays.ThemeAll)).String(), qt.Not(qt.Equals), first)
}

func TestWithoutLeavesTheRestAsItWas(t *testing.T) {
	c := qt.New(t)
	whole := drawndays.Draw(options(7, drawndays.ThemeControl))
	o := options(7, drawndays.ThemeControl)
	o.Without = []int{1}
	cut := drawndays.Draw(o)
	c.Assert(fmt.Sprint(cut.Entries), qt.Equals, fmt.Sprint(append(whole.Entries[:1:1], whole.Entries[2:]...)))
	c.Assert(cut.Seed, qt.Equals, whole.Seed)
}

func TestKindsOfTheDeployment(t *testing.T) {
	c := qt.New(t)
	o := options(7, drawndays.ThemeControl)
	o.Kinds = []string{"core_cut"}
	for _, e := range drawndays.Draw(o).Entries {
		c.Check(e.Kind == "core_cut" || strings.HasPrefix(e.Kind, "config_"), qt.IsTrue, qt.Commentf("%v", e))
	}
}

func TestReadSite(t *testing.T) {
	c := qt.New(t)
	path := filepath.Join(t.TempDir(), "site.toml")
	c.Assert(os.WriteFile(path, []byte(`length_s = 34.0
zones = [{ name = "a" }]
services = [{ name = "lookup" }, { name = "chat", model = "llm" }]
classes = [{ name = "long" }]`), 0o600), qt.IsNil)
	site, err := drawndays.ReadSite(path)
	c.Assert(err, qt.IsNil)
	o := site.Options()
	c.Assert(o.Service, qt.Equals, "chat")
	c.Assert(o.Length, qt.Equals, 34.0)
	c.Assert(os.WriteFile(path, []byte(`length_s = 34.0`), 0o600), qt.IsNil)
	_, err = drawndays.ReadSite(path)
	c.Assert(err, qt.ErrorMatches, "site file: zones, .* are needed")
	_, err = drawndays.ReadSite(filepath.Join(t.TempDir(), "none"))
	c.Assert(err, qt.ErrorMatches, "site file: .*")
}

func TestPlannedDaysHoldNoFault(t *testing.T) {
	c := qt.New(t)
	withChanges := 0
	const days = 40
	for seed := range uint64(days) {
		day := drawndays.Draw(options(seed, drawndays.ThemePlanned))
		c.Assert(day.Closing, qt.Equals, "")
		changes := false
		for _, entry := range day.Entries {
			c.Assert(entry.Plan, qt.IsTrue, qt.Commentf("%v", entry))
			changes = changes || strings.HasPrefix(entry.Kind, "config_storm")
		}
		if changes {
			withChanges++
		}
	}
	c.Assert(withChanges > 0 && withChanges < days, qt.IsTrue, qt.Commentf("%d of %d days with changes", withChanges, days))
}

func TestRollComesBesides(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(40) {
		o := options(seed, drawndays.ThemePlanned)
		without := drawndays.Draw(o)
		o.Roll = true
		with := drawndays.Draw(o)
		last := len(with.Entries) - 1
		c.Assert(with.Entries[:last], qt.DeepEquals, without.Entries)
		c.Assert(with.Entries[last].Kind, qt.Equals, "roll_term")
		c.Assert(with.Seed, qt.Equals, without.Seed)
	}
}
