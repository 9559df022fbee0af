package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/residency"
)

// residencyTracker holds the attempts in flight of a proxy's residency-bound requests, which it cancels if a region is
// withdrawn, and the log of where data was held. It may be used from any goroutine.
type residencyTracker struct {
	mu      sync.Mutex
	sends   map[*trackedSend]struct{}
	history residencyLog
}

// newResidencyTracker returns a tracker without attempts and with an empty log.
func newResidencyTracker() *residencyTracker {
	return &residencyTracker{
		sends:   map[*trackedSend]struct{}{},
		history: newResidencyLog(),
	}
}

// add registers an attempt.
func (rt *residencyTracker) add(send *trackedSend) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.sends[send] = struct{}{}
}

// remove removes an attempt that has ended.
func (rt *residencyTracker) remove(send *trackedSend) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	delete(rt.sends, send)
}

// cancelWithdrawn cancels the attempts that a new configuration or endpoint list no longer allows. The snapshot has to
// be published before the call: attempts registered later check it themselves.
func (rt *residencyTracker) cancelWithdrawn(snapshot *routingSnapshot) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	for send := range rt.sends {
		terms := snapshot.termsOf(&send.subject)
		outside := func(p residency.Permit) bool { return p.Check(terms) != nil }
		if slices.ContainsFunc(send.permits, outside) {
			send.cancel(errResidencyWithdrawn)
		}
	}
}

// trackedSend is an attempt in flight of a residency-bound request. A nil trackedSend stands for an attempt that is not
// tracked; all methods accept it and do nothing.
type trackedSend struct {
	tracker *residencyTracker
	subject subject
	permits []residency.Permit // of the backends that hold its data: receiver, then KV cache holder, if any
	purpose sendPurpose
	ctx     context.Context
	cancel  context.CancelCauseFunc
	since   time.Time
}

// answered records that a response header has arrived, and whether the request may have run.
func (s *trackedSend) answered(ran bool) {
	if s == nil {
		return
	}
	s.tracker.record(s, time.Now(), ran)
}

// withdrawn returns errResidencyWithdrawn if the attempt was cancelled because its region was withdrawn, else nil.
func (s *trackedSend) withdrawn() error {
	if s == nil || s.ctx.Err() == nil {
		return nil
	}
	if errors.Is(context.Cause(s.ctx), errResidencyWithdrawn) {
		return errResidencyWithdrawn
	}
	return nil
}

// end ends the tracking. wrote means that data may have been sent, which is then recorded.
func (s *trackedSend) end(wrote bool) {
	if s == nil {
		return
	}
	s.cancel(context.Canceled)
	s.tracker.remove(s)
	if wrote {
		s.tracker.record(s, time.Now(), false)
	}
}
