package status

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the JSON of the status as control servers send it and the operator's program prints it.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "fleet", new(Fleet))
}

// TestWireNames checks the names of the singleton roles.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{SingletonPoll, SingletonPhases}, qt.DeepEquals, []string{"poll", "phases"})
}

// TestWireBytesWithoutDraining checks that the status of releases without the fields Draining and Fenced is decoded,
// and encoded in the same form while no agent drains and no role is fenced.
func TestWireBytesWithoutDraining(t *testing.T) {
	c := qt.New(t)
	old, err := os.ReadFile(filepath.Join("testdata", "wire", "fleet.without-draining.json"))
	c.Assert(err, qt.IsNil)
	fleet, err := Decode(old)
	c.Assert(err, qt.IsNil)
	written, err := json.Marshal(fleet)
	c.Assert(err, qt.IsNil)
	c.Assert(string(written), qt.Equals, strings.TrimSpace(string(old)))
}
