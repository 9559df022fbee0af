package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

const (
	// usualHeadBytes is the space for the head of an ordinary outbound request, in bytes, so that encoding allocates
	// once.
	usualHeadBytes = 768
	// noPriority is the priority of what has none: it isn't a generation.
	noPriority = -1
	// maxPriority is the least urgent priority that the wire has.
	maxPriority = 9
)

// outboundRequest is a client's request as every backend gets it.
type outboundRequest struct {
	id     string
	method string
	target string // as it came
	host   string
	header http.Header // of the client, without what concerns one connection
	body   []byte
}

// attemptOptions is what one attempt adds to the outbound request.
type attemptOptions struct {
	target   string    // id of the backend, the permit's
	deadline time.Time // when the work is of no use any more
	stage    string
	handle   *kvHandle // that the backend is to take over; nil: none
	lastID   string    // of the event after which a stream is to go on
	priority int       // noPriority: none
}

// hopByHopHeaders are the header fields that concern one connection only (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Content-Length",
}

// dropHopByHop removes what concerns one connection only.
func dropHopByHop(h http.Header) {
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// encode returns the request with its body as it goes to a backend.
func (o *outboundRequest) encode(opts *attemptOptions) []byte {
	b := make([]byte, 0, usualHeadBytes+len(o.body))
	b = append(b, o.method...)
	b = append(b, ' ')
	b = append(b, o.target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, o.host...)
	b = append(b, "\r\n"...)
	b = o.appendClientHeader(b, opts)
	b = opts.appendHeader(b)
	if len(o.body) > 0 || o.method != http.MethodGet && o.method != http.MethodHead {
		b = appendField(b, "Content-Length", strconv.Itoa(len(o.body)))
	}
	b = append(b, "\r\n"...)
	return append(b, o.body...)
}

// appendClientHeader appends the client's header fields but for those that the proxy sets itself.
func (o *outboundRequest) appendClientHeader(b []byte, opts *attemptOptions) []byte {
	for key, values := range o.header {
		switch key {
		case externalapi.HeaderDeadlineMs, externalapi.HeaderTargetBackend, externalapi.HeaderStage,
			externalapi.HeaderKVFrom, externalapi.HeaderPriority, externalapi.HeaderExpectVersion, "Host":
			continue
		case externalapi.HeaderLastEventID:
			if opts.lastID != "" {
				continue
			}
		}
		for _, v := range values {
			b = appendField(b, key, v)
		}
	}
	return b
}

// appendHeader appends the attempt's own header fields. The deadline is what is left of the client's, at least 1 ms.
func (o *attemptOptions) appendHeader(b []byte) []byte {
	left := max(time.Until(o.deadline).Milliseconds(), 1)
	b = appendField(b, externalapi.HeaderDeadlineMs, strconv.FormatInt(left, 10))
	b = appendField(b, externalapi.HeaderTargetBackend, o.target)
	if o.stage != "" {
		b = appendField(b, externalapi.HeaderStage, o.stage)
	}
	if o.handle != nil {
		b = appendField(b, externalapi.HeaderKVFrom, o.handle.permit.Address()+"/"+o.handle.ref)
		if o.handle.weights > 0 {
			// Tokens of other weights don't follow on this KV cache: such a backend is to reject the request.
			b = appendField(b, externalapi.HeaderExpectVersion, strconv.FormatInt(o.handle.weights, 10))
		}
	}
	if o.lastID != "" {
		b = appendField(b, externalapi.HeaderLastEventID, o.lastID)
	}
	if o.priority >= 0 {
		b = appendField(b, externalapi.HeaderPriority, strconv.Itoa(min(o.priority, maxPriority)))
	}
	return b
}

func appendField(b []byte, key, value string) []byte {
	b = append(b, key...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
