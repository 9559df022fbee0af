package simulation

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// handle is the memory of a prompt that was read, kept for a decode backend.
type handle struct {
	id     string
	owner  string // attempt whose prompt made it
	model  string
	ver    int
	parts  []Part
	tokens int
	lease  *lease
	until  time.Time
}

// maxMoveWait is how long a move may have to wait for the link; beyond, it is not started (PROTOCOL.md).
const maxMoveWait = 2 * time.Second

// hand makes a handle from a lease. l.mu is held.
func (l *life) hand(h *handle) {
	h.id = draw(6)
	h.until = l.e.s.Now().Add(l.e.s.KVRef)
	l.handles[h.id] = h
	time.AfterFunc(l.e.s.KVRef, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lapse()
	})
}

// lapse drops the handles whose time has passed. l.mu is held.
func (l *life) lapse() {
	now := l.e.s.Now()
	for _, h := range l.handles {
		if !now.Before(h.until) {
			l.letGo(h)
		}
	}
}

// letGo ends a handle; its parts stay until they give way. l.mu is held.
func (l *life) letGo(h *handle) {
	delete(l.handles, h.id)
	l.mem.release(h.lease)
	l.pump()
	l.e.Log.edit(func() {}) // wakes tests that wait for Handles
}

// HandlesLapse lapses all handles now.
func (e *Engine) HandlesLapse() {
	l := e.life()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.handles {
		l.letGo(h)
	}
}

// Handles returns how many handles it keeps.
func (e *Engine) Handles() int {
	l := e.life()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	return len(l.handles)
}

// take ends a handle for whoever asks, once.
func (l *life) take(id, model string, ver int) (*handle, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lapse()
	h := l.handles[id]
	if h == nil {
		return nil, errors.Errorf("no handle %s", id)
	}
	if h.model != model || h.ver != ver {
		return nil, errors.Errorf("handle %s is of %s at %d", id, h.model, h.ver)
	}
	l.letGo(h)
	return h, nil
}

// moveTime returns how long a move of tokens from one backend to another takes: kv_tok_bytes for each over bw_mbps, twice
// that between zones, ten times between regions, and slow times that when slow is set.
func moveTime(to, from *EngineSettings, tokens int, slow float64) time.Duration {
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
	if slow > 0 {
		seconds *= slow
	}
	return time.Duration(seconds * float64(time.Second))
}

// fetch moves the memory named by a Kv-From from another Engine, one move at a time. A move that would wait more than
// two seconds is not started and its handle stays.
func (l *life) fetch(ctx context.Context, from, model string, ver int, slow float64) (*handle, error) {
	address, id, ok := strings.Cut(from, "/")
	if !ok {
		return nil, errors.Errorf("not IP:PORT/HANDLE: %q", from)
	}
	v, ok := registry.Load(address)
	if !ok {
		return nil, errors.Errorf("no backend at %s", address)
	}
	peer := v.(*Engine)
	source := peer.life()
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s is gone", address)
	}
	s := &l.e.s
	now := s.Now()
	h, arrives, err := l.startMove(now, source, id, model, ver, slow)
	if err != nil {
		return nil, err
	}
	if err := wait(ctx, arrives.Sub(now)); err != nil {
		return nil, err
	}
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s went during the move", address)
	}
	return h, nil
}

// startMove takes a handle and the link for as long as its move needs; moves are started one after the other, so that each
// sees the link as those before it have left it.
func (l *life) startMove(now time.Time, source *life, id, model string, ver int, slow float64) (h *handle, arrives time.Time, err error) {
	l.link.Lock()
	defer l.link.Unlock()
	start := now
	if l.linkFree.After(now) {
		start = l.linkFree
	}
	if start.Sub(now) > maxMoveWait {
		return nil, now, errors.Errorf("the link is taken for %v", start.Sub(now))
	}
	if h, err = source.take(id, model, ver); err != nil {
		return nil, now, err
	}
	l.linkFree = start.Add(moveTime(&l.e.s, &source.e.s, h.tokens, slow))
	return h, l.linkFree, nil
}
