package simulation

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// handle is the memory of a prefilled prompt, kept for a decode backend to fetch.
type handle struct {
	id          string
	owner       string // attempt whose prefill created it
	model       string
	ver         int
	parts       []Part
	tokens      int
	reservation *reservation
	expires     time.Time
}

// maxLinkWait is the longest wait of a transfer for the link; one that would wait longer isn't started (PROTOCOL.md).
const maxLinkWait = 2 * time.Second

// Factors on the duration of a transfer between two zones of one region, and between two regions.
const (
	zoneTransferFactor   = 2
	regionTransferFactor = 10
)

// issueHandle adds a handle, which expires after HandleTTL. ic.mu is held.
func (ic *incarnation) issueHandle(h *handle) {
	h.id = randomHex(6)
	h.expires = ic.e.s.Now().Add(ic.e.s.HandleTTL)
	ic.handles[h.id] = h
	time.AfterFunc(ic.e.s.HandleTTL, func() {
		ic.mu.Lock()
		defer ic.mu.Unlock()
		ic.expireHandles()
	})
}

// expireHandles releases the handles that have expired. ic.mu is held.
func (ic *incarnation) expireHandles() {
	now := ic.e.s.Now()
	for _, h := range ic.handles {
		if !now.Before(h.expires) {
			ic.releaseHandle(h)
		}
	}
}

// releaseHandle removes a handle; its parts stay cached until they are evicted. ic.mu is held.
func (ic *incarnation) releaseHandle(h *handle) {
	delete(ic.handles, h.id)
	ic.mem.release(h.reservation)
	ic.admitWaiting()
	ic.e.Log.edit(func() {}) // wakes tests that wait for Handles
}

// ExpireHandles makes all handles expire at once.
func (e *Engine) ExpireHandles() {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, h := range ic.handles {
		ic.releaseHandle(h)
	}
}

// Handles returns the number of handles that have neither expired nor been fetched or freed.
func (e *Engine) Handles() int {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.expireHandles()
	return len(ic.handles)
}

// takeHandle removes and returns a handle, so that it can be fetched only once; model and ver have to be its own.
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

// transferTime returns how long a transfer of tokens takes: kv_tok_bytes for each over bw_mbps of the receiver, longer
// between zones and between regions, times slowdown when that is positive.
func transferTime(to, from *EngineSettings, tokens int, slowdown float64) time.Duration {
	if to.Bandwidth <= 0 {
		return 0
	}
	bits := float64(tokens) * float64(to.KVTokenBytes) * 8
	seconds := bits / (to.Bandwidth * 1e6)
	switch {
	case from.Region != to.Region:
		seconds *= regionTransferFactor
	case from.Zone != to.Zone:
		seconds *= zoneTransferFactor
	}
	if slowdown > 0 {
		seconds *= slowdown
	}
	return time.Duration(seconds * float64(time.Second))
}

// fetchKV blocks while it transfers the memory that a Kv-From names from another Engine, one transfer at a time. One
// that would have to wait longer than maxLinkWait isn't started, and its handle stays.
func (ic *incarnation) fetchKV(ctx context.Context, from, model string, ver int, slowdown float64) (*handle, error) {
	address, id, ok := strings.Cut(from, "/")
	if !ok {
		return nil, errors.Errorf("not IP:PORT/HANDLE: %q", from)
	}
	v, ok := enginesByAddress.Load(address)
	if !ok {
		return nil, errors.Errorf("no backend at %s", address)
	}
	source := v.(*Engine).incarnation()
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s is gone", address)
	}
	now := ic.e.s.Now()
	h, arrives, err := ic.startTransfer(now, source, id, model, ver, slowdown)
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, arrives.Sub(now)); err != nil {
		return nil, err
	}
	if source.ctx.Err() != nil {
		return nil, errors.Errorf("backend at %s went during the transfer", address)
	}
	return h, nil
}

// startTransfer takes a handle, and reserves the link for the duration of its transfer. Transfers are started one after
// the other, under the lock of the link, so that each sees the reservations of those before it.
func (ic *incarnation) startTransfer(
	now time.Time, source *incarnation, id, model string, ver int, slowdown float64,
) (h *handle, arrives time.Time, err error) {
	ic.link.Lock()
	defer ic.link.Unlock()
	start := now
	if ic.linkFreeAt.After(now) {
		start = ic.linkFreeAt
	}
	if start.Sub(now) > maxLinkWait {
		return nil, now, errors.Errorf("the link is busy for %v", start.Sub(now))
	}
	if h, err = source.takeHandle(id, model, ver); err != nil {
		return nil, now, err
	}
	ic.linkFreeAt = start.Add(transferTime(&ic.e.s, &source.e.s, h.tokens, slowdown))
	return h, ic.linkFreeAt, nil
}
