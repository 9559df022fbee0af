package agent

import (
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/handover"
)

// The methods below implement handover.Source, and restore its state in a second process.

// Share limits the agent to half of the descriptors and of the memory for bodies, or restores the full bounds.
// Connections and bodies above a new bound are not cut off; they end as usual.
func (a *Agent) Share(half bool) {
	divisor := 1
	if half {
		divisor = 2
	} else {
		a.core.IDs().StopRecording() // no successor reads them any more
	}
	sockets := a.sockets / divisor
	a.transport.SetMaxConns(backendSockets(sockets))
	for _, f := range a.frontEnds {
		f.limitTo(divisor)
	}
	a.bodies.SetLimit(a.bodyBytes / int64(divisor))
	a.log.Info("handover: bounds", "sockets", sockets)
}

// State returns the state for a second process. From then on ids are recorded for Since.
func (a *Agent) State() handover.State {
	return handover.State{
		Endpoints: a.core.Endpoints(), IDs: a.core.IDs().Copy(time.Now()), Evacuated: a.lifecycle.Evacuated(),
	}
}

// HandOver stops accepting connections, as another process takes them over.
func (a *Agent) HandOver() error {
	a.log.Info("handover: another process accepts connections from now on")
	return a.lifecycle.HandOver()
}

// TakeBack accepts connections again, as the other process has ended.
func (a *Agent) TakeBack() {
	a.lifecycle.TakeBack()
	a.log.Info("handover: the other process has ended; this one accepts connections again")
}

// Since returns the hashes of ids recorded since the last call of State or Since.
func (a *Agent) Since() []uint64 { return a.core.IDs().TakeRecorded() }

// Adopt restores the first process's state. It is called before Serve.
func (a *Agent) Adopt(s handover.State) {
	a.core.IDs().Restore(s.IDs, time.Now())
	if s.Evacuated {
		_ = a.lifecycle.Evacuate()
	}
}

// RecordIDs adds the hashes of ids that the first process has recorded since its State.
func (a *Agent) RecordIDs(sums []uint64) { a.core.IDs().AddHashes(sums, time.Now()) }

// WithEndpoints returns the configuration with the first process's endpoint list in place of the file's, which may be
// out of date. The list's version is kept only where both processes use the same registry.
func WithEndpoints(c *config.Config, k core.EndpointSnapshot) *config.Config {
	if len(k.List.Servers) == 0 {
		return c
	}
	next := *c
	next.InitialList = k.List
	if k.Roster != c.Discovery {
		next.InitialList.Seq = 0
	}
	return &next
}

var _ handover.Source = (*Agent)(nil)
