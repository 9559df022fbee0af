package scheduler

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// Segment is a piece of a prompt as its sender cut it.
type Segment struct {
	// PrefixHash identifies the segment together with all segments before it: a cached segment serves only after the
	// same prefix.
	PrefixHash uint64
	// Tokens is the length of the segment.
	Tokens int
}

// Prompt is what a request's headers say of its prompt.
type Prompt struct {
	// Segments are the pieces of the prompt, in order, maxSegments at most.
	Segments []Segment
	// InputTokens is the length of the prompt.
	InputTokens int
	// MaxOutputTokens is how many tokens the answer has at the most.
	MaxOutputTokens int
}

// maxSegments bounds the segments of a prompt that are looked at.
const maxSegments = 64

// ParsePrompt reads the two header fields, such as `1460,80` and `5c1e07a2:800,91bd3f06:410`, of a request for a
// model. It returns false where count can't be read; segments are read up to the first that can't be.
func ParsePrompt(model, count, segments string) (Prompt, bool) {
	var p Prompt
	input, output, hasOutput := strings.Cut(count, ",")
	var ok bool
	if p.InputTokens, ok = parseTokens(strings.TrimSpace(input)); !ok {
		return p, false
	}
	if hasOutput {
		if p.MaxOutputTokens, ok = parseTokens(strings.TrimSpace(output)); !ok {
			return p, false
		}
	}
	hash := xxhash.Sum64String(model)
	for text := range strings.SplitSeq(segments, ",") {
		id, length, found := strings.Cut(strings.TrimSpace(text), ":")
		tokens, ok := parseTokens(length)
		if !found || !ok || len(p.Segments) == maxSegments {
			break
		}
		hash = arith.Mix(hash ^ xxhash.Sum64String(id))
		p.Segments = append(p.Segments, Segment{PrefixHash: hash, Tokens: tokens})
	}
	return p, true
}

// parseTokens reads a number of tokens, 0 or more.
func parseTokens(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0
}

// SharedPrefixKey returns the hash of the prefix that the prompt shares with others: all segments but the last, which
// is the request's own. 0: it shares nothing.
func (p *Prompt) SharedPrefixKey() uint64 {
	if len(p.Segments) < 2 {
		return 0
	}
	return p.Segments[len(p.Segments)-2].PrefixHash
}

// UnsharedTokens returns how many tokens of the prompt no other prompt has: those of its last segment, or all of them
// where it shares nothing.
func (p *Prompt) UnsharedTokens() int {
	if len(p.Segments) < 2 {
		return p.InputTokens
	}
	shared := 0
	for _, segment := range p.Segments[:len(p.Segments)-1] {
		shared += segment.Tokens
	}
	return max(p.InputTokens-shared, 0)
}

// PromptKey returns the hash of the whole prompt; 0 where it has no segments.
func (p *Prompt) PromptKey() uint64 {
	if len(p.Segments) == 0 {
		return 0
	}
	return p.Segments[len(p.Segments)-1].PrefixHash
}
