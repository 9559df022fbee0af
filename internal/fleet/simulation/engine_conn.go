package simulation

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// acceptConns serves connections, each on its own goroutine, until the listener is closed.
func (e *Engine) acceptConns(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		ic := e.incarnation()
		ic.mu.Lock()
		full := e.s.MaxConn > 0 && ic.conns >= e.s.MaxConn
		refuse := e.Faults().Refuse || full || ic.ctx.Err() != nil
		if !refuse {
			ic.conns++
		}
		ic.mu.Unlock()
		if refuse {
			resetConn(c)
			continue
		}
		go ic.serveConn(c)
	}
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// incoming is a request that was read completely.
type incoming struct {
	*http.Request
	body []byte
	at   time.Time // when it was read
}

// serveConn serves one connection, one request at a time, until it is closed, idle for KeepAlive or the incarnation
// ends. A close by the caller ends the running request.
func (ic *incarnation) serveConn(c net.Conn) {
	ctx, cancel := context.WithCancel(ic.ctx)
	stop := context.AfterFunc(ic.ctx, func() { c.Close() })
	defer func() {
		cancel()
		stop()
		c.Close()
		ic.mu.Lock()
		ic.conns--
		ic.mu.Unlock()
	}()
	requests := make(chan incoming)
	go func() {
		defer cancel()
		ic.readRequests(ctx, c, requests)
	}()
	var idle <-chan time.Time
	for {
		if s := ic.e.s.KeepAlive; s > 0 {
			idle = time.After(time.Duration(s) * time.Second)
		}
		select {
		case r := <-requests:
			rw := &responseWriter{
				incarnation: ic,
				conn:        c,
				request:     r,
				faults:      ic.e.Faults(),
				release:     func() {},
			}
			rw.keepAlive = !r.Close && !rw.faults.Draining
			ic.serveOne(ctx, rw)
			if !rw.keepAlive {
				return
			}
		case <-idle:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readRequests sends each request of a connection to requests, until the connection is closed or ctx ends. It reads
// ahead while a request runs, so that the caller's close is noticed.
func (ic *incarnation) readRequests(ctx context.Context, c net.Conn, requests chan<- incoming) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		select {
		case requests <- incoming{r, body, ic.e.s.Now()}:
		case <-ctx.Done():
			return
		}
	}
}

// responseWriter writes the answer to one request.
type responseWriter struct {
	*incarnation
	conn      net.Conn
	request   incoming
	faults    Faults // faults in effect when the request arrived
	keepAlive bool   // the connection stays open
	release   func() // returns the request's slot and memory, before the end of its answer is sent
}

// head returns the status line and the headers that all answers have, without the empty line.
func (rw *responseWriter) head(status int, headers ...string) *bytes.Buffer {
	b := &bytes.Buffer{}
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, text)
	if id := rw.request.Header.Get(HeaderAttempt); id != "" {
		fmt.Fprintf(b, "%s: %s\r\n", HeaderAttempt, id)
	}
	s := &rw.e.s
	if !s.HideLoad {
		rw.incarnation.mu.Lock()
		fmt.Fprintf(b, "%s: %d,%d,%d\r\n", HeaderLoad, rw.running, len(rw.queue), s.Capacity)
		rw.incarnation.mu.Unlock()
	}
	if !rw.keepAlive {
		b.WriteString("Connection: close\r\n")
	} else if s.KeepAlive > 0 {
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", s.KeepAlive)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return b
}

// send writes a complete answer with a length, and reports whether all of it could be sent.
func (rw *responseWriter) send(status int, body []byte, headers ...string) bool {
	b := rw.head(status, headers...)
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
	if rw.request.Method != http.MethodHead {
		b.Write(body)
	}
	return rw.write(b.Bytes())
}

// write writes raw bytes, and reports whether all of them could be sent; if not, the connection is not kept.
func (rw *responseWriter) write(p []byte) bool {
	if _, err := rw.conn.Write(p); err != nil {
		rw.keepAlive = false
		return false
	}
	return true
}

// sendExtra sends another complete answer, which belongs to no request.
func (rw *responseWriter) sendExtra() {
	body := "an answer to nobody"
	rw.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, randomHex(8), HeaderSeal, rw.seal(), len(body), body))
}
