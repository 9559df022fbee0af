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
func (l *life) seal() string {
	n := sealSeq.Add(1)
	return fmt.Sprintf("%08x.%x.%s", xxhash.Sum64String(l.id)>>32, n, draw(4))
}

// bounded returns ctx ended at the request's deadline.
func bounded(ctx context.Context, en *Entry) (context.Context, context.CancelFunc) {
	if en.Deadline <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, en.Deadline)
}

// began records that work began.
func (l *life) began(en *Entry, seal string) {
	l.e.Log.edit(func() { en.Ran, en.Began, en.Seal = true, l.e.s.Now(), seal })
}

// read reads the part of the prompt that is not kept and keeps it.
func (l *life) read(ctx context.Context, a *answerer, en *Entry, ls *lease, each time.Duration) error {
	l.e.Log.edit(func() { en.ReadTokens, en.KeptTokens = ls.read, ls.kept })
	if err := l.step(ctx, a, time.Duration(ls.read)*each); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() == nil {
		l.mem.filled(ls, en.Attempt, false)
	}
	return l.ctx.Err()
}

// stop ends a request at its deadline or when its connection closed: 504 when the head is not out and the deadline
// passed, a close otherwise.
func (l *life) stop(ctx context.Context, a *answerer, en *Entry, head bool) {
	if !head && ctx.Err() == context.DeadlineExceeded {
		l.answer(a, en, http.StatusGatewayTimeout, nil, HeaderSeal, en.Seal)
		return
	}
	if ctx.Err() == context.DeadlineExceeded {
		l.broke(a, en)
	}
	a.keep = false
}

// broke records that the Engine itself breaks an answer off.
func (l *life) broke(a *answerer, en *Entry) {
	a.keep = false
	l.e.Log.edit(func() { en.Broke = true })
}

// garbage is no answer in HTTP.
const garbage = "\x00\x17 no answer \xff\r\n\r\n"

// request runs a client's request.
func (l *life) request(conn context.Context, a *answerer, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	_, out := l.tokenCount(a, en)
	ls, ver, ok := l.accept(ctx, a, en, out)
	if !ok {
		return
	}
	a.done = sync.OnceFunc(func() { l.leave(ls); l.over(en) })
	defer a.done()
	if en.KVFrom != "" {
		h, err := l.fetch(ctx, en.KVFrom, en.Model, ver, a.f.KVSlow)
		if err != nil {
			l.refuse(a, en, http.StatusServiceUnavailable)
			return
		}
		l.e.Log.edit(func() { en.Handle, en.HandleOwner, en.MovedTokens = h.id, h.owner, h.tokens })
		l.mu.Lock()
		if l.ctx.Err() == nil {
			l.mem.filled(ls, en.Attempt, true)
		}
		ls.kept, ls.read = 0, 0
		l.mu.Unlock()
	}
	seal := l.seal()
	l.began(en, seal)
	if ls != nil {
		each := l.e.s.TokenRead
		if l.Phase() == PhaseDecode {
			each *= 2
		}
		if l.read(ctx, a, en, ls, each) != nil {
			l.stop(ctx, a, en, false)
			return
		}
	}
	switch {
	case a.f.Fail != 0:
		if l.step(ctx, a, 0) != nil {
			l.stop(ctx, a, en, false)
			return
		}
		l.answer(a, en, a.f.Fail, nil, HeaderSeal, seal)
	case a.f.LoseAnswer:
		if l.step(ctx, a, l.e.s.Step) == nil {
			l.broke(a, en)
		}
		a.keep = false
	case a.f.Garble:
		l.broke(a, en)
		a.write([]byte(garbage))
	case l.streams():
		l.stream(ctx, a, en, out, ver)
	default:
		l.plain(ctx, a, en)
	}
	if a.f.Extra && a.keep {
		a.extra()
	}
}

// Phase returns the phase now.
func (l *life) Phase() Phase {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders.phase
}

// version returns the version of a model's weights now; the first model's when it is not named.
func (l *life) version(model string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.models {
		if m.Name == model || model == "" {
			return m.Ver
		}
	}
	return 0
}
