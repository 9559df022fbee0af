package scheduler

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"molepaddle/internal/decide/arith"
)

// Segment is a segment of a prompt, as declared by its sender.
type Segment struct {
	// PrefixHash identifies the segment and all segments before it: a cached segment can be reused only after the same
	// prefix.
	PrefixHash uint64
	// Tokens is the length of the segment.
	Tokens int
}

// Prompt describes a request's prompt according to the request's headers.
type Prompt struct {
	// Segments are the segments of the prompt, in order, at most maxSegments.
	Segments []Segment
	// InputTokens is the length of the prompt, in tokens.
	InputTokens int
	// MaxOutputTokens is the maximum length of the answer, in tokens.
	MaxOutputTokens int
}

// maxSegments is the maximum number of segments of a prompt that are parsed.
const maxSegments = 64

// ParsePrompt parses the two header fields, such as `1460,80` and `5c1e07a2:800,91bd3f06:410`, of a request for a
// model. It returns false if count is invalid; segments are parsed up to the first invalid one.
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

// parseTokens parses a non-negative number of tokens.
func parseTokens(text string) (int, bool) {
	n, err := strconv.Atoi(text)
	return n, err == nil && n >= 0
}

// SharedPrefixKey returns the hash of the prefix that the prompt shares with others: all segments except the last,
// which is the request's own. It returns 0 if there is no such prefix.
func (p *Prompt) SharedPrefixKey() uint64 {
	if len(p.Segments) < 2 {
		return 0
	}
	return p.Segments[len(p.Segments)-2].PrefixHash
}

// UnsharedTokens returns the number of tokens outside the shared prefix: all of them if there is no such prefix.
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

// PromptKey returns the hash of the entire prompt; 0 if it has no segments.
func (p *Prompt) PromptKey() uint64 {
	if len(p.Segments) == 0 {
		return 0
	}
	return p.Segments[len(p.Segments)-1].PrefixHash
}
