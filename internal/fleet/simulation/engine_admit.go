package simulation

import (
	"context"
	"net/http"
	"strconv"
	"strings"
)

// tokenCount returns the number of prompt tokens, at least those of the prompt's parts, and the maximum number of
// output tokens, from X-Molepaddle-Token-Count.
func (ic *incarnation) tokenCount(rw *responseWriter, en *Entry) (prompt, out int) {
	promptText, outText, _ := strings.Cut(rw.request.Header.Get(HeaderTokens), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(promptText))
	prompt = max(prompt, partTokens(en.Parts))
	out, err := strconv.Atoi(strings.TrimSpace(outText))
	if err != nil || out <= 0 {
		out = ic.e.s.Tokens
	}
	return prompt, out
}

// partTokens returns the number of tokens of all parts.
func partTokens(parts []Part) int {
	sum := 0
	for _, p := range parts {
		sum += p.Tokens
	}
	return sum
}

// checkRequest returns the status with which the request has to be rejected before it may be queued: 421 for the wrong
// stage, model (ours) or version, 503 while an order is pending, 0 for none. ver is the version of its model's weights.
func (ic *incarnation) checkRequest(rw *responseWriter, en *Entry) (status, ver int) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	phase := ic.orders.phase
	ic.e.Log.edit(func() { en.Phase = phase })
	ver, known := ic.modelVersion(en.Model)
	expected := rw.request.Header.Get(HeaderExpect)
	switch {
	case !stageMatches(phase, en), !known, expected != "" && expected != strconv.Itoa(ver):
		return http.StatusMisdirectedRequest, 0
	case ic.orders.pending:
		return http.StatusServiceUnavailable, 0
	}
	return 0, ver
}

// stageMatches reports whether a backend of a phase serves the request's stage.
func stageMatches(phase Phase, en *Entry) bool {
	switch {
	case en.Stage != "":
		return en.Stage == string(PhasePrefill) && phase == PhasePrefill
	case en.KVFrom != "":
		return phase == PhaseDecode
	}
	return phase != PhasePrefill
}

// modelVersion returns the version of a model's weights: the first model's when it is not named, 0 when there are no
// models. known is false when the model is named and not one of them. ic.mu is held.
func (ic *incarnation) modelVersion(model string) (ver int, known bool) {
	if len(ic.models) == 0 {
		return 0, true
	}
	if model == "" {
		return ic.models[0].Ver, true
	}
	for _, m := range ic.models {
		if m.Name == model {
			ver = m.Ver
		}
	}
	return ver, ver != 0
}

// admitRequest blocks until the request has a slot, and memory for its prompt and out tokens more if it is served as a
// stream; rs is nil otherwise. When ok is false, the request was rejected and the answer was sent.
func (ic *incarnation) admitRequest(
	ctx context.Context, rw *responseWriter, en *Entry, out int,
) (rs *reservation, ver int, ok bool) {
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
	rest := prompt - partTokens(en.Parts)
	plain := !ic.streaming()
	if !plain && prompt+out > ic.e.s.KVTokens {
		ic.reject(rw, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	tryReserve := func() bool {
		if ic.orders.pending {
			return false
		}
		if plain {
			return true
		}
		rs = ic.mem.reserve(en.Model, ver, en.Parts, rest+out, rest)
		return rs != nil
	}
	if !ic.acquireSlot(ctx, &waiter{priority: en.Priority, tryReserve: tryReserve}) {
		ic.reject(rw, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	return rs, ver, true
}
