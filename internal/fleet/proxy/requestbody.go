package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

var errBodyTooLarge = errors.New("body too large")

// readBodyUntil is readBody with a bound in time: a client that stops within its body is given its answer all the same.
func readBodyUntil(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(deadline) // a writer that has no connection has no deadline either
	body, err := readBody(r, limit)
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{})
	} // else the library waits no longer for the rest of the body than until then
	return body, err
}

// readBody reads a body whole, of at most so many bytes.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > 0 {
		// What is held grows with what comes, in steps, not with what a length claims.
		b := make([]byte, 0, min(r.ContentLength, 64<<10))
		for int64(len(b)) < r.ContentLength {
			if len(b) == cap(b) {
				b = append(b, make([]byte, min(r.ContentLength-int64(len(b)), int64(len(b))))...)[:len(b)]
			}
			n, err := r.Body.Read(b[len(b):min(int64(cap(b)), r.ContentLength)])
			b = b[:len(b)+n]
			if err != nil && int64(len(b)) < r.ContentLength {
				return nil, err
			}
		}
		return b, nil
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		err = errBodyTooLarge
	}
	return b, err
}
