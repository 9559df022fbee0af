package configdiff

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the JSON of a Change, which the operator's program prints.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "change", new(Change))
}

// TestWireNames checks the kinds of changes.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{KindRoute, KindService, KindAccount, KindCaps, KindConfiguration}, qt.DeepEquals,
		[]string{"route", "service", "account", "caps", "configuration"})
}
