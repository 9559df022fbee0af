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

// answerReadTimeout bounds the time between two reads of an answer that is streamed.
const answerReadTimeout = 5 * time.Second

// chunkBuffers holds the buffers through which long bodies and answers are copied.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, window.Size/2); return &b }}

// incomingAnswer is an answer whose header has been received, over either protocol.
type incomingAnswer struct {
	a           *core.Attempt
	c           *conn
	body        io.Reader // io.EOF once the body is complete
	length      int64     // declared length in bytes; -1: unknown
	contentType string
	budget      *window.Budget
	deadlineSet bool // a read deadline was set on the connection
}

// receive reads the body of an answer. A short body is read completely and returned; any other is streamed as soon as
// window.Hold no longer keeps it, and passed is true.
func (x *incomingAnswer) receive() (body []byte, passed bool, err error) {
	length := x.length
	if !x.a.CanStream() && length > maxBody {
		return nil, false, errTooLong
	}
	if !x.a.CanStream() || length >= 0 && window.Hold(length, 0, 0) {
		body, err = readBody(x.body, length)
		return body, false, err
	}
	var mu sync.Mutex // guards held, pipe and ended until streaming begins
	var held []byte
	var pipe *window.Pipe
	ended := false
	begin := func() { // with mu held
		if pipe == nil {
			pipe = window.New(x.budget)
			// The client may leave while the server is silent and no write would fail.
			pipe.OnLeave(func() { x.a.Cancel(core.ErrCancelled) })
			x.a.StartStream(core.Result{Body: held, Stream: pipe, Length: length, ContentType: x.contentType})
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
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	ctx, total := x.a.Context(), 0
	for {
		x.deadlineSet = true
		n, err := x.c.within(ctx, time.Now().Add(answerReadTimeout), x.body, *buf)
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
				x.a.Cancel(core.ErrCancelled) // the client has gone
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

// within reads once from r, with the given deadline or until the context ends.
func (c *conn) within(ctx context.Context, until time.Time, r io.Reader, buf []byte) (int, error) {
	_ = c.SetReadDeadline(until)
	if ctx.Err() != nil { // the context's end sets the deadline too, perhaps before this call did
		return 0, context.Cause(ctx)
	}
	return r.Read(buf)
}

// readBody reads a complete body; a negative length is unknown.
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
