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

// sealSeq counts the seals of this process.
var sealSeq atomic.Uint64

// seal returns a new seal, unique in this process.
func (ic *incarnation) seal() string {
	n := sealSeq.Add(1)
	return fmt.Sprintf("%08x.%x.%s", xxhash.Sum64String(ic.id)>>32, n, randomHex(4))
}

// bounded returns ctx bounded by the request's deadline.
func bounded(ctx context.Context, en *Entry) (context.Context, context.CancelFunc) {
	if en.Deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, en.Deadline)
}

// recordStart records that the work on a request began.
func (ic *incarnation) recordStart(en *Entry, seal string) {
	ic.e.Log.edit(func() {
		en.Ran = true
		en.Began = ic.e.s.Now()
		en.Seal = seal
	})
}

// readPrompt prefills the uncached part of the prompt, which takes the time each per token, and caches it.
func (ic *incarnation) readPrompt(
	ctx context.Context, rw *responseWriter, en *Entry, rs *reservation, each time.Duration,
) error {
	ic.e.Log.edit(func() {
		en.PrefillTokens = rs.uncachedTokens
		en.CachedTokens = rs.cachedTokens
	})
	if err := ic.step(ctx, rw, time.Duration(rs.uncachedTokens)*each); err != nil {
		return err
	}
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.ctx.Err() == nil {
		ic.mem.markFilled(rs, en.Attempt, false)
	}
	return ic.ctx.Err()
}

// abort ends a request at its deadline, when its connection closed or when the incarnation ended: with 504 when the
// head was not sent and the deadline passed, with a close otherwise.
func (ic *incarnation) abort(ctx context.Context, rw *responseWriter, en *Entry, headSent bool) {
	if !headSent && ctx.Err() == context.DeadlineExceeded {
		ic.respond(rw, en, http.StatusGatewayTimeout, nil, HeaderSeal, en.Seal)
		return
	}
	if ctx.Err() == context.DeadlineExceeded || ic.ctx.Err() != nil {
		ic.recordBroken(rw, en)
	}
	rw.keepAlive = false
}

// recordBroken records that the Engine deliberately breaks the answer, and has the connection closed after it.
func (ic *incarnation) recordBroken(rw *responseWriter, en *Entry) {
	rw.keepAlive = false
	ic.e.Log.edit(func() { en.Broke = true })
}

// garbage is not a valid HTTP response.
const garbage = "\x00\x17 no answer \xff\r\n\r\n"

// serveRequest runs a client's request.
func (ic *incarnation) serveRequest(conn context.Context, rw *responseWriter, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	_, out := ic.tokenCount(rw, en)
	rs, ver, ok := ic.admitRequest(ctx, rw, en, out)
	if !ok {
		return
	}
	rw.release = sync.OnceFunc(func() {
		ic.releaseSlot(rs)
		ic.recordEnd(en)
	})
	defer rw.release()
	if en.KVFrom != "" {
		if err := ic.fillFromHandle(ctx, rw, en, rs, ver); err != nil {
			ic.reject(rw, en, http.StatusServiceUnavailable)
			return
		}
	}
	ic.recordStart(en, ic.seal())
	if rs != nil {
		each := ic.e.s.PrefillPerToken
		if ic.Phase() == PhaseDecode {
			each *= 2
		}
		if ic.readPrompt(ctx, rw, en, rs, each) != nil {
			ic.abort(ctx, rw, en, false)
			return
		}
	}
	if rw.faults.Fail != 0 && ic.step(ctx, rw, 0) != nil {
		ic.abort(ctx, rw, en, false)
		return
	}
	ic.sendAnswer(ctx, rw, en, out, ver)
	if rw.faults.Extra && rw.keepAlive {
		rw.sendExtra()
	}
}

// fillFromHandle fills a reservation with the memory of the request's handle, of which nothing is left to prefill.
func (ic *incarnation) fillFromHandle(
	ctx context.Context, rw *responseWriter, en *Entry, rs *reservation, ver int,
) error {
	h, err := ic.fetchKV(ctx, en.KVFrom, en.Model, ver, rw.faults.TransferSlowdown)
	if err != nil {
		return err
	}
	ic.e.Log.edit(func() {
		en.Handle = h.id
		en.HandleOwner = h.owner
		en.TransferredTokens = h.tokens
	})
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if ic.ctx.Err() == nil {
		ic.mem.markFilled(rs, en.Attempt, true)
	}
	rs.cachedTokens = 0
	rs.uncachedTokens = 0
	return nil
}

// sendAnswer answers a running request, subject to the faults that are set.
func (ic *incarnation) sendAnswer(ctx context.Context, rw *responseWriter, en *Entry, out, ver int) {
	switch {
	case rw.faults.Fail != 0:
		ic.respond(rw, en, rw.faults.Fail, nil, HeaderSeal, en.Seal)
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
}

// Phase returns the current phase.
func (ic *incarnation) Phase() Phase {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase
}

// version returns the current version of a model's weights: the first model's when it isn't named, 0 when it is
// unknown.
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
