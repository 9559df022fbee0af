package httpfront

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/window"
)

// pace returns how slowly a body may arrive.
func (a *Front) pace() window.Pace {
	return intake.MinPace(a.opt.BodyWithin)
}

// target returns the request target in origin form: absolute forms have a scheme and host before the path.
func target(uri string) string {
	if strings.HasPrefix(uri, "/") {
		return uri
	}
	for _, scheme := range [...]string{"http://", "https://"} {
		if len(uri) > len(scheme) && strings.EqualFold(uri[:len(scheme)], scheme) {
			rest := uri[len(scheme):]
			if i := strings.IndexAny(rest, "/?"); i < 0 {
				return "/"
			} else if rest[i] == '?' {
				return "/" + rest[i:]
			} else {
				return rest[i:]
			}
		}
	}
	return uri
}

// checkLength returns the problem with a request's body framing, or nil.
func (a *Front) checkLength(hr *http.Request) *problem {
	switch {
	case len(hr.TransferEncoding) == 0 && hr.ContentLength <= maxBody:
		return nil
	case !a.opt.Streams && len(hr.TransferEncoding) > 0:
		return &problem{Status: http.StatusLengthRequired, Text: "Transfer-Encoding: not taken"}
	case !a.opt.Streams:
		return &problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 64 KiB"}
	case hr.ContentLength > window.Most:
		return &problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 32 MiB"}
	case len(hr.TransferEncoding) == 0:
		return nil
	}
	// net/http ignores and hides a Content-Length beside a Transfer-Encoding, so a request could be smuggled in the
	// body past a reader that prefers the length.
	c, ok := hr.Context().Value(connKey{}).(*clientConn)
	if !ok || len(hr.TransferEncoding) != 1 || hr.TransferEncoding[0] != "chunked" || !hr.ProtoAtLeast(1, 1) ||
		!c.chunkedOnly(hr) {
		const text = "Transfer-Encoding: not taken beside a length, or where the head was not seen apart"
		return &problem{Status: http.StatusLengthRequired, Text: text}
	}
	return nil
}

// headOf returns a request's header from the raw bytes received; false: it is incomplete or belongs to another
// request.
func headOf(raw []byte, method, uri string) ([]byte, bool) {
	raw = bytes.TrimLeft(raw, "\r\n")
	if !bytes.HasPrefix(raw, []byte(method+" "+uri+" ")) {
		return nil, false
	}
	for at := 0; ; {
		i := bytes.IndexByte(raw[at:], '\n')
		if i < 0 {
			return nil, false
		}
		if line := bytes.TrimSuffix(raw[at:at+i], []byte("\r")); len(line) == 0 {
			return raw[:at], true
		}
		at += i + 1
	}
}

// hasContentLength reports whether a header has a Content-Length, in any spelling.
func hasContentLength(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		if strings.EqualFold(strings.TrimSpace(string(name)), "Content-Length") {
			return true
		}
	}
	return false
}

// readBody reads a short body completely and the first part of a long one. The memory of all held bodies is bounded by
// the budget.
func (a *Front) readBody(w http.ResponseWriter, hr *http.Request, r *core.Request) *problem {
	if hr.ContentLength == 0 {
		return nil
	}
	room := int64(maxBody)
	if hr.ContentLength > 0 {
		room = min(room, hr.ContentLength)
	}
	taken := a.opt.Budget.Take(room)
	if long := hr.ContentLength < 0 || hr.ContentLength > room; !taken && long {
		// A long body continues with a small part held: that only makes it less likely to be retried.
		a.opt.Budget.Give(room - window.Least)
		room, taken = window.Least, true
	}
	defer func() { a.opt.Budget.Give(room - int64(len(r.Message.Body))) }()
	if !taken {
		return &problem{Status: http.StatusServiceUnavailable, Text: "body: no memory left"}
	}
	body := make([]byte, room)
	n, whole, bad := a.readPart(w, hr, body)
	if bad != nil {
		return bad
	}
	r.Message.Body = body[:n:n]
	if !whole {
		r.Message.Length, r.Message.Stream = hr.ContentLength, window.New(a.opt.Budget)
	}
	return nil
}

// readPart fills part, which has room for the complete body if it is short. Most bodies arrive with their header; for
// them a timer is cheaper than setting and clearing a deadline.
func (a *Front) readPart(w http.ResponseWriter, hr *http.Request, part []byte) (n int, whole bool, bad *problem) {
	control, pace := http.NewResponseController(w), a.pace()
	began := time.Now()
	last := began
	for {
		slow := time.AfterFunc(time.Until(pace.Until(began, last, int64(n))), func() {
			_ = control.SetReadDeadline(time.Unix(1, 0))
		})
		m, err := hr.Body.Read(part[n:])
		n += m
		if !slow.Stop() {
			return n, false, &problem{Status: http.StatusRequestTimeout, Text: "body: did not come whole"}
		}
		last = time.Now()
		switch {
		case err == io.EOF && (hr.ContentLength < 0 || int64(n) == hr.ContentLength), hr.ContentLength == int64(n):
			return n, true, nil
		case err != nil:
			return n, false, broken(err)
		case n == len(part):
			return n, false, nil
		}
	}
}

// broken returns the problem for a failed body read.
func broken(err error) *problem {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return &problem{Status: http.StatusRequestTimeout, Text: "body: did not come whole"}
	}
	return &problem{Status: http.StatusBadRequest, Text: "body: can't be read"}
}

// upload forwards a long body in its own goroutine until end.
type upload struct {
	control     *http.ResponseController
	body        *window.Pipe
	stop        context.CancelFunc
	done        chan struct{}
	interrupted bool     // end interrupted the read of the rest
	complete    bool     // the complete body has arrived; set before done is closed
	bad         *problem // why it has not
}

func (a *Front) startUpload(w http.ResponseWriter, hr *http.Request, r *core.Request) *upload {
	ctx, stop := context.WithCancel(context.Background())
	u := &upload{control: http.NewResponseController(w), body: r.Message.Stream, stop: stop, done: make(chan struct{})}
	go func() {
		var why error
		if u.bad = u.pump(ctx, a.pace(), hr, int64(len(r.Message.Body))); u.bad != nil {
			why = errors.New(u.bad.Text)
		}
		u.complete = u.bad == nil
		close(u.done) // before the server can answer the complete body
		u.body.End(why)
	}()
	return u
}

func (u *upload) pump(ctx context.Context, pace window.Pace, hr *http.Request, came int64) *problem {
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	began, last, waited := time.Now(), time.Now(), time.Duration(0)
	for {
		// Time spent waiting for the server does not count against the client.
		_ = u.control.SetReadDeadline(pace.Until(began.Add(waited), last, came))
		if ctx.Err() != nil {
			return &problem{Status: http.StatusRequestTimeout, Text: "body: not waited for"}
		}
		n, err := hr.Body.Read(*buf)
		if came += int64(n); came > window.Most {
			return &problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 32 MiB"}
		}
		now := time.Now()
		if n > 0 && u.body.Write(ctx, (*buf)[:n]) != nil {
			return &problem{Status: http.StatusServiceUnavailable, Text: "body: not taken"}
		}
		last = time.Now()
		waited += last.Sub(now)
		if err == io.EOF {
			_ = u.control.SetReadDeadline(time.Time{})
			return nil
		} else if err != nil {
			return broken(err)
		}
	}
}

// end stops the upload and returns why the body is incomplete, if its client is to blame.
func (u *upload) end() *problem {
	u.stop()
	select {
	case <-u.done:
	default:
		u.interrupted = true
		_ = u.control.SetReadDeadline(time.Unix(1, 0))
		<-u.done
	}
	u.body.Leave()
	if !u.complete && u.bad.Status != http.StatusServiceUnavailable && u.bad.Text != "body: not waited for" {
		return u.bad
	}
	return nil
}

// chunkBuffers holds the buffers through which bodies and answers are copied.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// streamAnswer forwards an answer as it arrives. If it breaks off, the connection is reset, so that the client notices
// with any framing.
func (a *Front) streamAnswer(w http.ResponseWriter, hr *http.Request, ans core.Answer) {
	rest := ans.Stream
	defer rest.Leave()
	control := http.NewResponseController(w)
	abort := func() {
		if c, ok := hr.Context().Value(connKey{}).(*clientConn); ok {
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		}
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	h["Date"] = nil
	if h["Content-Type"] = nil; ans.ContentType != "" {
		h.Set("Content-Type", ans.ContentType)
	}
	if a.life.Leaving() {
		h.Set("Connection", "close")
	}
	if ans.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(ans.Length, 10))
	}
	w.WriteHeader(http.StatusOK)
	_ = control.SetWriteDeadline(time.Now().Add(intake.ResponseStallTimeout))
	if _, err := w.Write(ans.Body); err != nil {
		abort()
	}
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for {
		if !rest.Waiting() { // flush before waiting: bytes that have arrived are not delayed
			if err := control.Flush(); err != nil {
				abort()
			}
		}
		n, err := rest.Read(hr.Context(), *buf)
		if n > 0 {
			_ = control.SetWriteDeadline(time.Now().Add(intake.ResponseStallTimeout))
			if _, err := w.Write((*buf)[:n]); err != nil {
				abort()
			}
		}
		if err == io.EOF {
			_ = control.Flush()
			_ = control.SetWriteDeadline(time.Time{})
			return
		} else if err != nil {
			abort()
		}
	}
}
