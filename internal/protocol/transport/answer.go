package transport

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/protocol/window"
)

// silentFor is how long a server may send nothing of an answer that is passed on.
const silentFor = 5 * time.Second

// windows are what goes through at once of a long body or answer.
var windows = sync.Pool{New: func() any { b := make([]byte, window.Size/2); return &b }}

// arriving is an answer whose head has come, whatever protocol brings it.
type arriving struct {
	a      *core.Attempt
	c      *conn
	body   io.Reader // io.EOF: it has come whole
	length int64     // as it was told; -1: it was not
	kind   string    // its Content-Type
	budget *window.Budget
	timed  bool // the connection has a deadline for reads
}

// receive reads the body of an answer: a short one whole; any other is passed on as it comes, from the
// moment on that window.Hold gives it up, and passed is true.
func (x *arriving) receive() (body []byte, passed bool, err error) {
	length := x.length
	if !x.a.CanStream() && length > maxBody {
		return nil, false, errTooLong
	}
	if !x.a.CanStream() || length >= 0 && window.Hold(length, 0, 0) {
		body, err = readBody(x.body, length)
		return body, false, err
	}
	var mu sync.Mutex // guards what follows, up to the moment it is passed on
	var held []byte
	var pipe *window.Pipe
	ended := false
	begin := func() { // with mu held
		if pipe == nil {
			pipe = window.New(x.budget)
			pipe.OnLeave(func() { x.a.Cancel(core.ErrCancelled) }) // its client has gone, and the server may be silent
			x.a.StartStream(core.Result{Body: held, Stream: pipe, Length: length, ContentType: x.kind})
		}
	}
	timer := time.AfterFunc(window.HoldFor, func() {
		mu.Lock()
		defer mu.Unlock()
		if !ended && len(held) > 0 {
			begin()
		}
	})
	defer timer.Stop()
	came := time.Now()
	buf := windows.Get().(*[]byte)
	defer windows.Put(buf)
	ctx, total := x.a.Context(), 0
	for {
		x.timed = true
		n, err := x.c.within(ctx, time.Now().Add(silentFor), x.body, *buf)
		total += n
		if total > window.Most {
			err = errTooLong
		}
		mu.Lock()
		if pipe == nil {
			if held = append(held, (*buf)[:n]...); err == nil && !window.Hold(length, len(held), time.Since(came)) {
				begin()
			}
			ended, n = err != nil, 0
		}
		now := pipe
		mu.Unlock()
		switch {
		case now == nil && err == io.EOF:
			return held, false, nil
		case now == nil && err != nil:
			return nil, false, err
		case now == nil:
			continue
		}
		if n > 0 {
			if left := now.Write(ctx, (*buf)[:n]); left != nil {
				x.a.Cancel(core.ErrCancelled) // its client has gone
				now.End(left)
				return nil, true, left
			}
		}
		if err == io.EOF {
			now.End(nil)
			return nil, true, nil
		} else if err != nil {
			now.End(err)
			return nil, true, fmt.Errorf("answer: %w", err)
		}
	}
}

// within reads what comes until the time given, or the context ends.
func (c *conn) within(ctx context.Context, until time.Time, r io.Reader, buf []byte) (int, error) {
	_ = c.SetReadDeadline(until)
	if ctx.Err() != nil { // its end has set the deadline, perhaps before this
		return 0, context.Cause(ctx)
	}
	return r.Read(buf)
}

// readBody reads a body whole; a length below 0 is not known.
func readBody(r io.Reader, length int64) ([]byte, error) {
	if length >= 0 {
		body := make([]byte, length)
		_, err := io.ReadFull(r, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(r, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errTooLong
	}
	return body, err
}
