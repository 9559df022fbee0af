package proxy

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

var errTooLarge = errors.New("body too large")

// readBodyBy is readBody with a bound in time: a client that stops within its body is given its answer all the same.
func readBodyBy(w http.ResponseWriter, r *http.Request, most int64, by time.Time) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(by) // a writer that has no connection has no deadline either
	body, err := readBody(r, most)
	if err == nil {
		_ = conn.SetReadDeadline(time.Time{})
	} // else the library waits no longer for the rest of the body than until then
	return body, err
}

// readBody reads a body whole, of at most so many bytes.
func readBody(r *http.Request, most int64) ([]byte, error) {
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
	b, err := io.ReadAll(io.LimitReader(r.Body, most+1))
	if err == nil && int64(len(b)) > most {
		err = errTooLarge
	}
	return b, err
}
