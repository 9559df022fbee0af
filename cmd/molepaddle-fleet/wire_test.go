package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/status"
	"molepaddle/internal/goldenbytes"
)

// TestWireBytes pins the --json output of check, diff, residency, propose and update, and of status and watch.
// Operators' scripts parse it.
func TestWireBytes(t *testing.T) {
	for name, value := range map[string]any{
		"check":     new([]fileReport),
		"diff":      new(diffResult),
		"residency": new(externalapi.ResidencyReport),
		"sent":      new(changeResult),
		"status":    new(status.Fleet),
	} {
		t.Run(name, func(t *testing.T) {
			goldenbytes.Fill(value)
			var b bytes.Buffer
			qt.Assert(t, writeJSON(&b, value), qt.IsNil)
			goldenbytes.Check(t, "wire/"+name+".json", b.Bytes())
		})
	}
}

// TestWireNamesOfKinds pins the names of the kinds of files that check prints.
func TestWireNamesOfKinds(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{kindSettings, kindConfiguration, kindUpdate}, qt.DeepEquals,
		[]string{"settings", "configuration", "update"})
}
