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

// TestWireBytes holds the status as control servers send it and as the operator's program prints it.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "fleet", new(Fleet))
}

// TestWireNames holds the names of the duties.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{SingletonPoll, SingletonPhases}, qt.DeepEquals, []string{"poll", "phases"})
}

// TestWireBytesWithoutDraining holds the status of releases before it told who drains and which role is fenced. It is
// read, and written alike as long as nobody and none is.
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
