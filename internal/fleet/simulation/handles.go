package simulation

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// serveOne is the memory of a prompt that was read, kept for a decode backend.
type handle struct {
	id          string
	owner       string // attempt whose prompt made it
	model       string
	ver         int
	parts       []Part
	tokens      int
	reservation *reservation
	expires     time.Time
}

// maxLinkWait is how long a move may have to wait for the link; beyond, it is not started (PROTOCOL.md).
const maxLinkWait = 2 * time.Second

// issueHandle makes a handle from a lease. l.mu is held.
func (ic *incarnation) issueHandle(h *handle) {
	h.id = randomHex(6)
	h.expires = ic.e.s.Now().Add(ic.e.s.KVRef)
	ic.handles[h.id] = h
	time.AfterFunc(ic.e.s.KVRef, func() {
		ic.mu.Lock()
		defer ic.mu.Unlock()
		ic.expireHandles()
	})
}

// expireHandles drops the handles whose time has passed. l.mu is held.
func (ic *incarnation) expireHandles() {
	now := ic.e.s.Now()
	for _, h := range ic.handles {
		if !now.Before(h.expires) {
			ic.releaseHandle(h)
		}
	}
}

// releaseHandle ends a handle; its parts stay until they give way. l.mu is held.
func (ic *incarnation) releaseHandle(h *handle) {
	delete(ic.handles, h.id)
	ic.mem.release(h.reservation)
	ic.admitWaiting()
	ic.e.Log.edit(func() {}) // wakes tests that wait for Handles
}

// HandlesLapse lapses all handles now.
func (e *Engine) HandlesLapse() {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, h := range ic.handles {
		ic.releaseHandle(h)
	}
}

// Handles returns how many handles it keeps.
func (e *Engine) Handles() int {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.expireHandles()
	return len(ic.handles)
}

// accept ends a handle for whoever asks, once.
func (ic *incarnation) takeHandle(id, model string, ver int) (*handle, error) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.expireHandles()
	h := ic.handles[id]
	if h == nil {
		return nil, errors.Errorf("no handle %s", id)
	}
	if h.model != model || h.ver != ver {
		return nil, errors.Errorf("handle %s is of %s at %d", id, h.model, h.ver)
	}
	ic.releaseHandle(h)
	return h, nil
}

// transferTime returns how long a move of tokens from one backend to another takes: kv_tok_bytes for each over bw_mbps, twice
// that between zones, ten times between regions, and slow times that when slow is set.
func transferTime(to, from *EngineSettings, tokens int, slowdown float64) time.Duration {
	if to.Bandwidth <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(to.KVTokenBytes) * 8 / (to.Bandwidth * 1e6)
	switch {
	case from.Region != to.Region:
		seconds *= 10
	case from.Zone != to.Zone:
		seconds *= 2
	}
	if slowdown > 0 {
		seconds *= slowdown
	}
	return time.Duration(seconds * float64(time.Second))
}

// fetchKV moves the memory named by a Kv-From from another Engine, one move at a time. A move that would wait more than
// two seconds is not started and its handle stays.
func (ic *incarnation) fetchKV(ctx context.Context, from, model string, ver int, slowdown float64) (*handle, error) {
	address, id, ok := strings.Cut(from, "/")
	if !ok {
		return nil, errors.Errorf("not IP:PORT/HANDLE: %q", from)
	}
	v, ok := enginesByAddress.Load(address)
	if !ok {
		return nil, errors.Errorf("no backend at %s", address)
	}
	peer := v.(*Engine)
	source := peer.incarnation()
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s is gone", address)
	}
	s := &ic.e.s
	now := s.Now()
	h, arrives, err := ic.startTransfer(now, source, id, model, ver, slowdown)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, arrives.Sub(now)); err != nil {
		return nil, err
	}
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s went during the move", address)
	}
	return h, nil
}

// startTransfer takes a handle and the link for as long as its move needs; moves are started one after the other, so that each
// sees the link as those before it have left it.
func (ic *incarnation) startTransfer(now time.Time, source *incarnation, id, model string, ver int, slowdown float64) (h *handle, arrives time.Time, err error) {
	ic.link.Lock()
	defer ic.link.Unlock()
	start := now
	if ic.linkFreeAt.After(now) {
		start = ic.linkFreeAt
	}
	if start.Sub(now) > maxLinkWait {
		return nil, now, errors.Errorf("the link is taken for %v", start.Sub(now))
	}
	if h, err = source.takeHandle(id, model, ver); err != nil {
		return nil, now, err
	}
	ic.linkFreeAt = start.Add(transferTime(&ic.e.s, &source.e.s, h.tokens, slowdown))
	return h, ic.linkFreeAt, nil
}
