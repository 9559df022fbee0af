package proxy

import (
	"io"
	"net/http"
	"time"
)

// initialBodyBytes is the initial buffer for a body of known length, in bytes: memory grows with the bytes received,
// not with the announced length.
const initialBodyBytes = 64 << 10

// readBodyUntil reads a request's body, of at most limit bytes, until deadline, so that a client that stops sending
// within its body still gets its response. A body whose announced length exceeds the limit is not read at all. The
// error is errBodyTooLarge, or that of the connection.
func readBodyUntil(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(deadline) // a writer that has no connection has no deadline either
	body, err := readBody(r, limit)
	if err != nil {
		return nil, err // the deadline stays: net/http waits for the rest of the body until then
	}
	_ = conn.SetReadDeadline(time.Time{})
	return body, nil
}

// readBody reads a request's body, of at most limit bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > 0 {
		return readSizedBody(r.Body, r.ContentLength)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(b)) > limit {
		return nil, errBodyTooLarge
	}
	return b, nil
}

// readSizedBody reads a body of a known length, in bytes, into memory that grows with the bytes received.
func readSizedBody(body io.Reader, length int64) ([]byte, error) {
	b := make([]byte, 0, min(length, initialBodyBytes))
	for int64(len(b)) < length {
		if len(b) == cap(b) {
			b = append(b, make([]byte, min(length-int64(len(b)), int64(len(b))))...)[:len(b)]
		}
		n, err := body.Read(b[len(b):min(int64(cap(b)), length)])
		b = b[:len(b)+n]
		if err != nil && int64(len(b)) < length {
			return nil, err
		}
	}
	return b, nil
}
