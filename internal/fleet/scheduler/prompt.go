// Package scheduler reckons where prompts are read and tokens are made. It is a state machine without I/O or clock: what is listed, sent, heard and ended goes in, estimates
// come out, in milliseconds and in tokens. Figures come from the operator's configuration and from what was measured.
package scheduler

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// Segment is a part of a prompt: Chain names it together with all parts before it, as a kept part serves only so.
type Segment struct {
	PrefixHash uint64
	Tokens     int
}

// Prompt is what a request tells of its prompt.
type Prompt struct {
	Segments        []Segment
	InputTokens     int // tokens of the prompt
	MaxOutputTokens int // tokens to come at the most
}

// maxSegments bounds the parts of a prompt that are looked at.
const maxSegments = 64

// ParsePrompt reads the two header fields, `1460,80` and `5c1e07a2:800,91bd3f06:410`, for a model; false: they
// tell nothing that can be used.
func ParsePrompt(model, count, parts string) (Prompt, bool) {
	var p Prompt
	in, out, two := strings.Cut(count, ",")
	var err error
	if p.InputTokens, err = strconv.Atoi(strings.TrimSpace(in)); err != nil || p.InputTokens < 0 {
		return p, false
	}
	if two {
		if p.MaxOutputTokens, err = strconv.Atoi(strings.TrimSpace(out)); err != nil || p.MaxOutputTokens < 0 {
			return p, false
		}
	}
	chain := xxhash.Sum64String(model)
	for word := range strings.SplitSeq(parts, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(word), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || n < 0 || len(p.Segments) == maxSegments {
			break
		}
		chain = arith.Mix(chain ^ xxhash.Sum64String(id))
		p.Segments = append(p.Segments, Segment{PrefixHash: chain, Tokens: n})
	}
	return p, true
}

// SharedPrefixKey is what the prompt shares with others: its parts but the last, which is the request's own. 0: nothing.
func (p *Prompt) SharedPrefixKey() uint64 {
	if len(p.Segments) < 2 {
		return 0
	}
	return p.Segments[len(p.Segments)-2].PrefixHash
}

// UnsharedTokens is how many tokens of the prompt no other has: those of its last part, or all where it shares nothing.
func (p *Prompt) UnsharedTokens() int {
	if len(p.Segments) < 2 {
		return p.InputTokens
	}
	shared := 0
	for _, part := range p.Segments[:len(p.Segments)-1] {
		shared += part.Tokens
	}
	return max(p.InputTokens-shared, 0)
}

// PromptKey is the prompt's own key, all of its parts together; 0: it has none.
func (p *Prompt) PromptKey() uint64 {
	if len(p.Segments) == 0 {
		return 0
	}
	return p.Segments[len(p.Segments)-1].PrefixHash
}
