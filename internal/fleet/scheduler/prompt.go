// Package scheduler reckons where prompts are read and tokens are made. It is a state machine without I/O or clock: what is listed, sent, heard and ended goes in, estimates
// come out, in milliseconds and in tokens. Figures come from the operator's configuration and from what was measured.
package scheduler

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// Part is a part of a prompt: Chain names it together with all parts before it, as a kept part serves only so.
type Part struct {
	Chain  uint64
	Tokens int
}

// Prompt is what a request tells of its prompt.
type Prompt struct {
	Parts []Part
	In    int // tokens of the prompt
	Out   int // tokens to come at the most
}

// maxParts bounds the parts of a prompt that are looked at.
const maxParts = 64

// ParsePrompt reads the two header fields, `1460,80` and `5c1e07a2:800,91bd3f06:410`, for a model; false: they
// tell nothing that can be used.
func ParsePrompt(model, count, parts string) (Prompt, bool) {
	var p Prompt
	in, out, two := strings.Cut(count, ",")
	var err error
	if p.In, err = strconv.Atoi(strings.TrimSpace(in)); err != nil || p.In < 0 {
		return p, false
	}
	if two {
		if p.Out, err = strconv.Atoi(strings.TrimSpace(out)); err != nil || p.Out < 0 {
			return p, false
		}
	}
	chain := xxhash.Sum64String(model)
	for word := range strings.SplitSeq(parts, ",") {
		id, tokens, ok := strings.Cut(strings.TrimSpace(word), ":")
		n, err := strconv.Atoi(tokens)
		if !ok || err != nil || n < 0 || len(p.Parts) == maxParts {
			break
		}
		chain = arith.Mix(chain ^ xxhash.Sum64String(id))
		p.Parts = append(p.Parts, Part{Chain: chain, Tokens: n})
	}
	return p, true
}

// Key is what the prompt shares with others: its parts but the last, which is the request's own. 0: nothing.
func (p *Prompt) Key() uint64 {
	if len(p.Parts) < 2 {
		return 0
	}
	return p.Parts[len(p.Parts)-2].Chain
}

// Own is how many tokens of the prompt no other has: those of its last part, or all where it shares nothing.
func (p *Prompt) Own() int {
	if len(p.Parts) < 2 {
		return p.In
	}
	shared := 0
	for _, part := range p.Parts[:len(p.Parts)-1] {
		shared += part.Tokens
	}
	return max(p.In-shared, 0)
}

// Last is the prompt's own key, all of its parts together; 0: it has none.
func (p *Prompt) Last() uint64 {
	if len(p.Parts) == 0 {
		return 0
	}
	return p.Parts[len(p.Parts)-1].Chain
}
