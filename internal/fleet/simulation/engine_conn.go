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

func (e *Engine) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l := e.life()
		l.mu.Lock()
		refuse := e.Faults().Refuse || e.s.MaxConn > 0 && l.conns >= e.s.MaxConn || l.ctx.Err() != nil
		if !refuse {
			l.conns++
		}
		l.mu.Unlock()
		if refuse {
			reset(c)
			continue
		}
		go l.serve(c)
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// incoming is a request that was read whole.
type incoming struct {
	*http.Request
	body []byte
	at   time.Time
}

// serve handles one connection: one request at a time. A close by the caller ends the request at work.
func (l *life) serve(c net.Conn) {
	ctx, cancel := context.WithCancel(l.ctx)
	stop := context.AfterFunc(l.ctx, func() { c.Close() })
	defer func() {
		cancel()
		stop()
		c.Close()
		l.mu.Lock()
		l.conns--
		l.mu.Unlock()
	}()
	in := make(chan incoming)
	go func() {
		defer cancel()
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
			case in <- incoming{r, body, l.e.s.Now()}:
			case <-ctx.Done():
				return
			}
		}
	}()
	var idle <-chan time.Time
	for {
		if s := l.e.s.KeepAlive; s > 0 {
			idle = time.After(time.Duration(s) * time.Second)
		}
		select {
		case r := <-in:
			a := &answerer{life: l, c: c, r: r, f: l.e.Faults(), done: func() {}}
			a.keep = !r.Close && !a.f.Draining
			l.handle(ctx, a)
			if !a.keep {
				return
			}
		case <-idle:
			return
		case <-ctx.Done():
			return
		}
	}
}

// answerer writes the answer to one request.
type answerer struct {
	*life
	c    net.Conn
	r    incoming
	f    Faults // as they stood when the request came
	keep bool   // the connection stays open
	done func() // gives back what the request holds, before the end of its answer goes out
}

// head returns the status line and the headers that all answers have, without the empty line.
func (a *answerer) head(status int, headers ...string) *bytes.Buffer {
	b := &bytes.Buffer{}
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}
	fmt.Fprintf(b, "HTTP/1.1 %d %s\r\n", status, text)
	if id := a.r.Header.Get(HeaderAttempt); id != "" {
		fmt.Fprintf(b, "%s: %s\r\n", HeaderAttempt, id)
	}
	s := &a.e.s
	if !s.HideLoad {
		a.life.mu.Lock()
		fmt.Fprintf(b, "%s: %d,%d,%d\r\n", HeaderLoad, a.running, len(a.queue), s.Capacity)
		a.life.mu.Unlock()
	}
	if !a.keep {
		b.WriteString("Connection: close\r\n")
	} else if s.KeepAlive > 0 {
		fmt.Fprintf(b, "Keep-Alive: timeout=%d\r\n", s.KeepAlive)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return b
}

// send writes a whole answer with a length. It tells whether all of it went out.
func (a *answerer) send(status int, body []byte, headers ...string) bool {
	b := a.head(status, headers...)
	fmt.Fprintf(b, "Content-Length: %d\r\n\r\n", len(body))
	if a.r.Method != http.MethodHead {
		b.Write(body)
	}
	return a.write(b.Bytes())
}

func (a *answerer) write(p []byte) bool {
	if _, err := a.c.Write(p); err != nil {
		a.keep = false
		return false
	}
	return true
}

// extra sends another whole answer, which belongs to no request.
func (a *answerer) extra() {
	body := "an answer to nobody"
	a.write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		HeaderAttempt, draw(8), HeaderSeal, a.seal(), len(body), body))
}
