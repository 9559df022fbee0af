package configdiff

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes holds a difference as the operator's program prints it.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "change", new(Change))
}

// TestWireNames holds the names of what a difference may be of.
func TestWireNames(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{KindRoute, KindService, KindAccount, KindCaps, KindConfiguration}, qt.DeepEquals,
		[]string{"route", "service", "account", "caps", "configuration"})
}
