package agent

import (
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/handover"
)

// What follows is the agent as handover.Source has it, and what a second process makes of it.

// Share has the agent keep to half of the descriptors and of the memory for bodies, or to all of
// them again. What is over a bound already ends in its own time.
func (a *Agent) Share(half bool) {
	part := 1
	if half {
		part = 2
	} else {
		a.core.IDs().StopRecording() // nobody asks for them any more
	}
	sockets := a.sockets / part
	a.transport.SetMaxConns(backendSockets(sockets))
	for _, f := range a.fronts {
		f.share(part)
	}
	a.bodies.SetLimit(a.bodyBytes / int64(part))
	a.log.Info("handover: bounds", "sockets", sockets)
}

// State is what a second process is told; from now on Since tells what ids are noted.
func (a *Agent) State() handover.State {
	return handover.State{Known: a.core.Endpoints(), IDs: a.core.IDs().Copy(time.Now()), Evacuated: a.life.Evacuated()}
}

// HandOver leaves what comes to another process.
func (a *Agent) HandOver() error {
	a.log.Info("handover: another process takes over")
	return a.life.HandOver()
}

// TakeBack is for another process that has gone.
func (a *Agent) TakeBack() {
	a.life.TakeBack()
	a.log.Info("handover: the other process has gone")
}

// Since are the ids noted since State or Since was called last.
func (a *Agent) Since() []uint64 { return a.core.IDs().TakeRecorded() }

// Adopt takes over what the first process knew, before the agent serves.
func (a *Agent) Adopt(s handover.State) {
	a.core.IDs().Restore(s.IDs, time.Now())
	if s.Evacuated {
		_ = a.life.Evacuate()
	}
}

// Note takes over ids that the first process has noted since.
func (a *Agent) Note(sums []uint64) { a.core.IDs().AddHashes(sums, time.Now()) }

// Newer is the configuration with the first process's list in the place of the file's, which may be
// old. Its version counts only where both ask the same roster.
func Newer(c *config.Config, k core.EndpointSnapshot) *config.Config {
	if len(k.List.Servers) == 0 {
		return c
	}
	next := *c
	next.Known = k.List
	if k.Roster != c.Discovery {
		next.Known.Seq = 0
	}
	return &next
}

var _ handover.Source = (*Agent)(nil)
