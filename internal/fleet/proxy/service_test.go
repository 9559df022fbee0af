package proxy

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
)

// TestServiceWithoutRuntimeKeepsEstimator: a configuration may remove the runtime of a service while requests are in
// flight; their reports are still recorded.
func TestServiceWithoutRuntimeKeepsEstimator(t *testing.T) {
	c := qt.New(t)
	s := newService("s", nil, time.Second)
	s.configure(&routingconfig.Service{Name: "s", Runtime: &routingconfig.Runtime{Capacity: 8}})
	c.Assert(s.runsModels, qt.IsTrue)
	s.configure(&routingconfig.Service{Name: "s"})
	c.Assert(s.runsModels, qt.IsFalse)
	s.recordPrefill(100, time.Second)
	s.recordShed("gone", true)
	s.recordShed("gone", false)
}
