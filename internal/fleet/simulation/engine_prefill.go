package simulation

import (
	"context"
	"encoding/json"
	"net/http"
)

// servePrefill prefills a prompt and answers with a handle. The answer has no seal: it is not meant for a client.
func (ic *incarnation) servePrefill(conn context.Context, rw *responseWriter, en *Entry) {
	ctx, cancel := bounded(conn, en)
	defer cancel()
	rs, ver, ok := ic.admitRequest(ctx, rw, en, 0)
	if !ok {
		return
	}
	ic.recordStart(en, "")
	if ic.readPrompt(ctx, rw, en, rs, ic.e.s.PrefillPerToken) != nil {
		ic.releaseSlot(rs)
		ic.recordEnd(en)
		ic.abort(ctx, rw, en, false)
		return
	}
	if rw.faults.Fail != 0 {
		ic.releaseSlot(rs)
		ic.recordEnd(en)
		ic.respond(rw, en, rw.faults.Fail, nil)
		return
	}
	h := &handle{
		owner:       en.Attempt,
		model:       en.Model,
		ver:         ver,
		parts:       en.Parts,
		reservation: rs,
		tokens:      rs.uncachedTokens + rs.cachedTokens,
	}
	ic.mu.Lock()
	ic.issueHandle(h)
	ic.mu.Unlock()
	ic.e.Log.edit(func() { en.Handle = h.id })
	ic.releaseSlot(nil)
	ic.recordEnd(en)
	if rw.faults.LoseAnswer || rw.faults.Garble {
		ic.recordBroken(rw, en)
		if rw.faults.Garble {
			rw.write([]byte(garbage))
		}
		return
	}
	body, _ := json.Marshal(map[string]any{"kv_ref": h.id, "ntok": h.tokens, "ver": ver})
	ic.respond(rw, en, http.StatusOK, body, "Content-Type", "application/json")
	if rw.faults.Extra {
		rw.sendExtra()
	}
}
