package transport

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"molepaddle/internal/core"
	rec "molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/window"
	"molepaddle/internal/rig/testkit"
	"molepaddle/policy"
)

// An answer that a server sends before it has the complete body counts, whether or not the server reads on, and the
// rest of the body is not waited for. Interim answers, STDERR and empty records before it are not an answer.
func TestAnswersBeforeTheBody(t *testing.T) {
	fast := func(text string) []byte { return testkit.FastAnswer(text, rec.End{}) }
	for name, c := range map[string]struct {
		fast  bool
		early []byte // sent while the body is being received
		whole bool   // then is sent only after the complete body
		then  []byte
		want  policy.Status
	}{
		"served":                 {false, []byte(okAnswer), false, nil, policy.OK},
		"turned away":            {false, []byte("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"), false, nil, policy.Full},
		"not wanted":             {false, []byte("HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n"), false, nil, policy.Cancelled},
		"interim":                {false, []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n"), true, []byte(okAnswer), policy.OK},
		"cut":                    {false, []byte(okAnswer[:30]), false, nil, policy.Reset},
		"nothing":                {false, nil, false, nil, policy.ConnectFailed},
		"FastCGI, served":        {true, fast("Content-Length: 4\r\n\r\ndone"), false, nil, policy.OK},
		"FastCGI, overloaded":    {true, rec.AppendEnd(nil, 1, rec.End{Status: rec.Overloaded}), false, nil, policy.Full},
		"FastCGI, not wanted":    {true, fast("Status: 413 Large\r\n\r\n"), false, nil, policy.Cancelled},
		"FastCGI, failed":        {true, rec.AppendEnd(nil, 1, rec.End{App: 1}), false, nil, policy.Cancelled},
		"FastCGI, STDERR":        {true, rec.Append(nil, rec.Stderr, 1, bytes.Repeat([]byte("w"), 40_000)), true, fast("Content-Length: 4\r\n\r\ndone"), policy.OK},
		"FastCGI, STDERR, full":  {true, rec.Append(nil, rec.Stderr, 1, []byte("w")), true, rec.AppendEnd(nil, 1, rec.End{Status: rec.Overloaded}), policy.Error},
		"FastCGI, empty, served": {true, rec.Append(nil, rec.Stdout, 1, nil), true, fast("Content-Length: 4\r\n\r\ndone"), policy.OK},
		"FastCGI, cut":           {true, fast("Content-Length: 4\r\n\r\ndone")[:20], false, nil, policy.Reset},
	} {
		t.Run(name, func(t *testing.T) {
			const size = 1 << 20
			told, tell := make(chan struct{}), sync.Once{}
			p := testPool()
			if c.fast {
				p = fastPool(false)
			}
			p.opt.Budget, p.opt.Settle = window.NewBudget(1<<20), 0
			e := p.endpoint(testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
				in := rec.NewReader(r)
				next := func() (h rec.Header) { h, _ = in.Next(); return h }
				if c.fast {
					for next().Type != rec.Stdin {
					}
				}
				var body io.Reader
				if !c.fast {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					body = req.Body
					io.CopyN(io.Discard, body, 1000)
				}
				conn.Write(c.early)
				tell.Do(func() { close(told) }) // which is checked below
				if !c.whole {
					return // and closes, with the body unread
				}
				if c.fast {
					for h := next(); h.Type == rec.Stdin && h.Length > 0; h = next() {
					}
				} else {
					io.Copy(io.Discard, body)
				}
				conn.Write(c.then)
				if c.want == policy.OK { // the next one on the connection
					if c.fast {
						testkit.FastRequest(r)
					} else if _, err := testkit.ReadRequest(r); err != nil {
						return
					}
					conn.Write(c.then)
				}
				r.ReadByte()
			}))
			a := newTry(e, http.MethodPost, never)
			rest := window.New(p.opt.Budget)
			a.Request.Message = core.Message{Method: http.MethodPost, Target: "/order/u1", Host: "b", Body: make([]byte, 2000), Length: size, Stream: rest}
			a.Request.TimeAfterBody = never
			go func() { // the client sends the rest only if the server reads it
				<-told
				if c.whole {
					_ = rest.Write(t.Context(), make([]byte, size-len(a.Request.Message.Body)))
					rest.End(nil)
				}
			}()
			if res := a.run(); res.Status != c.want || res.Status == policy.OK && string(res.Body) != "done" {
				t.Errorf("ended %d %q", res.Status, res.Body)
			}
			if n := p.idle.Len(); n > 0 && !c.whole {
				t.Error("a connection on which a body is owed is kept")
			}
			rest.Leave()
			if c.whole && c.want == policy.OK {
				if res := newTry(e, http.MethodPost, never).run(); res.Status != policy.OK || p.open != 1 {
					t.Errorf("the next on its connection ended %d, %d open", res.Status, p.open)
				}
			}
		})
	}
}

// A body that its client breaks off ends as Abandoned, although the server is silent.
func TestClientBreaksOffABody(t *testing.T) {
	p := testPool()
	e := p.endpoint(testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }))
	a := newTry(e, http.MethodPost, never)
	rest := window.New(window.NewBudget(1 << 20))
	a.Request.Message = core.Message{Method: http.MethodPost, Target: "/order/u1", Host: "b", Body: []byte("some"), Length: 1 << 20, Stream: rest}
	rest.End(fmt.Errorf("broke off"))
	if res := a.run(); res.Status != policy.Abandoned {
		t.Errorf("ended %d", res.Status)
	}
}
