package simulation

import (
	"context"
	"net/http"
	"strconv"
	"strings"
)

// tokenCount reads X-Molepaddle-Token-Count.
func (ic *incarnation) tokenCount(rw *responseWriter, en *Entry) (prompt, out int) {
	in, most, _ := strings.Cut(rw.request.Header.Get(HeaderTokens), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(in))
	sum := 0
	for _, p := range en.Parts {
		sum += p.Tokens
	}
	prompt = max(prompt, sum)
	out, err := strconv.Atoi(strings.TrimSpace(most))
	if err != nil || out <= 0 {
		out = ic.e.s.Tokens
	}
	return prompt, out
}

// checkRequest tells whether the request has to be refused before it may wait: 421 for the wrong stage, model (ours) or
// version, 503 while an order is under way; 0 when it is welcome.
func (ic *incarnation) checkRequest(rw *responseWriter, en *Entry) (status, ver int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	phase := ic.orders.phase
	ic.e.Log.edit(func() { en.Phase = phase })
	ok := true
	switch {
	case en.Stage != "":
		ok = en.Stage == string(PhasePrefill) && phase == PhasePrefill
	case en.KVFrom != "":
		ok = phase == PhaseDecode
	default:
		ok = phase != PhasePrefill
	}
	if len(ic.models) > 0 && en.Model != "" {
		for _, m := range ic.models {
			if m.Name == en.Model {
				ver = m.Ver
			}
		}
		ok = ok && ver != 0
	} else if len(ic.models) > 0 {
		ver = ic.models[0].Ver
	}
	if x := rw.request.Header.Get(HeaderExpect); x != "" && x != strconv.Itoa(ver) {
		ok = false
	}
	switch {
	case !ok:
		return http.StatusMisdirectedRequest, 0
	case ic.orders.pending:
		return http.StatusServiceUnavailable, 0
	}
	return 0, ver
}

// admitRequest admits a request with memory for its prompt and out tokens more. The answer went out when it returns nil.
func (ic *incarnation) admitRequest(ctx context.Context, rw *responseWriter, en *Entry, out int) (ls *reservation, ver int, ok bool) {
	if en.Attempt == "" {
		ic.reject(rw, en, http.StatusBadRequest)
		return nil, 0, false
	}
	status, ver := ic.checkRequest(rw, en)
	if status != 0 {
		ic.reject(rw, en, status)
		return nil, 0, false
	}
	prompt, _ := ic.tokenCount(rw, en)
	rest := prompt
	for _, p := range en.Parts {
		rest -= p.Tokens
	}
	plain := !ic.streaming()
	if !plain && prompt+out > ic.e.s.KVTokens {
		ic.reject(rw, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	admitted := ic.acquireSlot(ctx, &waiter{priority: en.Priority, tryReserve: func() bool {
		if ic.orders.pending {
			return false
		}
		if plain {
			return true
		}
		ls = ic.mem.reserve(en.Model, ver, en.Parts, rest+out, rest)
		return ls != nil
	}})
	if !admitted {
		ic.reject(rw, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	return ls, ver, true
}
