package simulation

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

var sealSeq atomic.Uint64

// seal returns a new stamp; no two are equal in this process.
func (ic *incarnation) seal() string {
	n := sealSeq.Add(1)
	return fmt.Sprintf("%08x.%x.%s", xxhash.Sum64String(ic.id)>>32, n, randomHex(4))
}

// bounded returns ctx ended at the request's deadline.
func bounded(ctx context.Context, en *Entry) (context.Context, context.CancelFunc) {
	if en.Deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, en.Deadline)
}

// recordStart records that work began.
func (ic *incarnation) recordStart(en *Entry, seal string) {
	ic.e.Log.edit(func() { en.Ran, en.Began, en.Seal = true, ic.e.s.Now(), seal })
}

// prefillAt reads the part of the prompt that is not kept and keeps it.
func (ic *incarnation) readPrompt(ctx context.Context, rw *responseWriter, en *Entry, ls *reservation, each time.Duration) error {
	ic.e.Log.edit(func() { en.ReadTokens, en.KeptTokens = ls.uncachedTokens, ls.cachedTokens })
	if err := ic.step(ctx, rw, time.Duration(ls.uncachedTokens)*each); err != nil {
		return err
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.ctx.Err() == nil {
		ic.mem.markFilled(ls, en.Attempt, false)
	}
	return ic.ctx.Err()
}

// abort ends a request at its deadline or when its connection closed: 504 when the head is not out and the deadline
// passed, a close otherwise.
func (ic *incarnation) abort(ctx context.Context, rw *responseWriter, en *Entry, head bool) {
	if !head && ctx.Err() == context.DeadlineExceeded {
		ic.respond(rw, en, http.StatusGatewayTimeout, nil, HeaderSeal, en.Seal)
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		ic.recordBroken(rw, en)
	}
	rw.keepAlive = false
}

// recordBroken records that the Engine itself breaks an answer off.
func (ic *incarnation) recordBroken(rw *responseWriter, en *Entry) {
	rw.keepAlive = false
	ic.e.Log.edit(func() { en.Broke = true })
}

// garbage is no answer in HTTP.
const garbage = "\x00\x17 no answer \xff\r\n\r\n"

// serveRequest runs a client's request.
func (ic *incarnation) serveRequest(conn context.Context, rw *responseWriter, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	_, out := ic.tokenCount(rw, en)
	ls, ver, ok := ic.admitRequest(ctx, rw, en, out)
	if !ok {
		return
	}
	rw.release = sync.OnceFunc(func() { ic.releaseSlot(ls); ic.recordEnd(en) })
	defer rw.release()
	if en.KVFrom != "" {
		h, err := ic.fetchKV(ctx, en.KVFrom, en.Model, ver, rw.faults.TransferSlowdown)
		if err != nil {
			ic.reject(rw, en, http.StatusServiceUnavailable)
			return
		}
		ic.e.Log.edit(func() { en.Handle, en.HandleOwner, en.MovedTokens = h.id, h.owner, h.tokens })
		ic.mu.Lock()
		if ic.ctx.Err() == nil {
			ic.mem.markFilled(ls, en.Attempt, true)
		}
		ls.cachedTokens, ls.uncachedTokens = 0, 0
		ic.mu.Unlock()
	}
	seal := ic.seal()
	ic.recordStart(en, seal)
	if ls != nil {
		each := ic.e.s.TokenRead
		if ic.Phase() == PhaseDecode {
			each *= 2
		}
		if ic.readPrompt(ctx, rw, en, ls, each) != nil {
			ic.abort(ctx, rw, en, false)
			return
		}
	}
	switch {
	case rw.faults.Fail != 0:
		if ic.step(ctx, rw, 0) != nil {
			ic.abort(ctx, rw, en, false)
			return
		}
		ic.respond(rw, en, rw.faults.Fail, nil, HeaderSeal, seal)
	case rw.faults.LoseAnswer:
		if ic.step(ctx, rw, ic.e.s.Step) == nil {
			ic.recordBroken(rw, en)
		}
		rw.keepAlive = false
	case rw.faults.Garble:
		ic.recordBroken(rw, en)
		rw.write([]byte(garbage))
	case ic.streaming():
		ic.sendStream(ctx, rw, en, out, ver)
	default:
		ic.sendPlain(ctx, rw, en)
	}
	if rw.faults.Extra && rw.keepAlive {
		rw.sendExtra()
	}
}

// Phase returns the phase now.
func (ic *incarnation) Phase() Phase {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase
}

// listVersion returns the version of a model's weights now; the first model's when it is not named.
func (ic *incarnation) version(model string) int {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	for _, m := range ic.models {
		if m.Name == model || model == "" {
			return m.Ver
		}
	}
	return 0
}
