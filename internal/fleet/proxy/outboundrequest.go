package proxy

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/fleet/externalapi"
)

const (
	// usualHeadBytes is the capacity reserved for the head of an outbound request, in bytes, so that encoding allocates
	// once.
	usualHeadBytes = 768
	// noPriority is the priority of a request that is not a generation.
	noPriority = -1
	// maxPriority is the least urgent priority on the wire.
	maxPriority = 9
)

// outboundRequest is the part of a client's request that is the same for every backend.
type outboundRequest struct {
	id     string
	method string
	target string // as received
	host   string
	header http.Header // of the client, without hop-by-hop fields
	body   []byte
}

// attemptOptions holds the fields that one attempt adds to the outbound request.
type attemptOptions struct {
	target   string    // id of the permit's backend
	deadline time.Time // after which the result is of no use
	stage    string
	handle   *kvHandle // for the backend to take over; nil: none
	lastID   string    // id of the event after which a stream resumes
	priority int       // noPriority: none
}

// hopByHopHeaders are the hop-by-hop header fields (RFC 9110, 7.6.1).
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

// dropHopByHop removes the hop-by-hop header fields and those named by the Connection field.
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

// encode returns the request with its body, as sent to a backend.
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

// appendClientHeader appends the client's header fields except for those that the proxy sets itself.
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

// appendHeader appends the attempt's own header fields. The deadline is the remaining time, at least 1 ms.
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
			// Decoding with other weights cannot continue from this KV cache: a backend with other weights has to
			// reject the request.
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
