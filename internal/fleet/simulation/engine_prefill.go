package simulation

import (
	"context"
	"encoding/json"
	"net/http"
)

// prefill reads a prompt and answers with a handle. The answer has no seal: it is not meant for a client.
func (l *life) prefill(conn context.Context, a *answerer, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	ls, ver, ok := l.accept(ctx, a, en, 0)
	if !ok {
		return
	}
	l.began(en, "")
	if l.read(ctx, a, en, ls, l.e.s.TokenRead) != nil {
		l.leave(ls)
		l.over(en)
		l.stop(ctx, a, en, false)
		return
	}
	if a.f.Fail != 0 {
		l.leave(ls)
		l.over(en)
		l.answer(a, en, a.f.Fail, nil)
		return
	}
	h := &handle{owner: en.Attempt, model: en.Model, ver: ver, parts: en.Parts, lease: ls, tokens: ls.read + ls.kept}
	l.mu.Lock()
	l.hand(h)
	l.mu.Unlock()
	l.e.Log.edit(func() { en.Handle = h.id })
	l.leave(nil)
	l.over(en)
	if a.f.LoseAnswer || a.f.Garble {
		l.broke(a, en)
		if a.f.Garble {
			a.write([]byte(garbage))
		}
		return
	}
	body, _ := json.Marshal(map[string]any{"kv_ref": h.id, "ntok": h.tokens, "ver": ver})
	l.answer(a, en, http.StatusOK, body, "Content-Type", "application/json")
	if a.f.Extra {
		a.extra()
	}
}
