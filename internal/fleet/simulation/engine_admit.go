package simulation

import (
	"context"
	"net/http"
	"strconv"
	"strings"
)

// tokenCount reads X-Molepaddle-Token-Count.
func (l *life) tokenCount(a *answerer, en *Entry) (prompt, out int) {
	in, most, _ := strings.Cut(a.r.Header.Get(HeaderTokens), ",")
	prompt, _ = strconv.Atoi(strings.TrimSpace(in))
	sum := 0
	for _, p := range en.Parts {
		sum += p.Tokens
	}
	prompt = max(prompt, sum)
	out, err := strconv.Atoi(strings.TrimSpace(most))
	if err != nil || out <= 0 {
		out = l.e.s.Tokens
	}
	return prompt, out
}

// concerned tells whether the request has to be refused before it may wait: 421 for the wrong stage, model (ours) or
// version, 503 while an order is under way; 0 when it is welcome.
func (l *life) concerned(a *answerer, en *Entry) (status, ver int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	phase := l.orders.phase
	l.e.Log.edit(func() { en.Phase = phase })
	ok := true
	switch {
	case en.Stage != "":
		ok = en.Stage == string(PhasePrefill) && phase == PhasePrefill
	case en.KVFrom != "":
		ok = phase == PhaseDecode
	default:
		ok = phase != PhasePrefill
	}
	if len(l.models) > 0 && en.Model != "" {
		for _, m := range l.models {
			if m.Name == en.Model {
				ver = m.Ver
			}
		}
		ok = ok && ver != 0
	} else if len(l.models) > 0 {
		ver = l.models[0].Ver
	}
	if x := a.r.Header.Get(HeaderExpect); x != "" && x != strconv.Itoa(ver) {
		ok = false
	}
	switch {
	case !ok:
		return http.StatusMisdirectedRequest, 0
	case l.orders.util:
		return http.StatusServiceUnavailable, 0
	}
	return 0, ver
}

// accept admits a request with memory for its prompt and out tokens more. The answer went out when it returns nil.
func (l *life) accept(ctx context.Context, a *answerer, en *Entry, out int) (ls *lease, ver int, ok bool) {
	if en.Attempt == "" {
		l.refuse(a, en, http.StatusBadRequest)
		return nil, 0, false
	}
	status, ver := l.concerned(a, en)
	if status != 0 {
		l.refuse(a, en, status)
		return nil, 0, false
	}
	prompt, _ := l.tokenCount(a, en)
	rest := prompt
	for _, p := range en.Parts {
		rest -= p.Tokens
	}
	plain := !l.streams()
	if !plain && prompt+out > l.e.s.KVTokens {
		l.refuse(a, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	admitted := l.admit(ctx, &waiter{priority: en.Priority, try: func() bool {
		if l.orders.util {
			return false
		}
		if plain {
			return true
		}
		ls = l.mem.reserve(en.Model, ver, en.Parts, rest+out, rest)
		return ls != nil
	}})
	if !admitted {
		l.refuse(a, en, http.StatusServiceUnavailable)
		return nil, 0, false
	}
	return ls, ver, true
}
