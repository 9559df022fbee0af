package httpfront

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/protocol/window"
	"molepaddle/internal/rig/testkit"
)

// whole reads the complete body of a request, as a transport does.
func whole(ctx context.Context, r *core.Request) (string, error) {
	var text strings.Builder
	text.Write(r.Message.Body)
	if r.Message.Stream == nil {
		return text.String(), nil
	}
	for buf := make([]byte, 5000); ; {
		n, err := r.Message.Stream.Read(ctx, buf)
		text.Write(buf[:n])
		if err == io.EOF {
			return text.String(), nil
		} else if err != nil {
			return text.String(), err
		}
	}
}

// echo answers with the request's body, through a pipe if it is long.
func echo(ctx context.Context, r *core.Request) core.Answer {
	text, err := whole(ctx, r)
	if err != nil {
		return core.Answer{Outcome: core.Refused}
	}
	if r.Message.Method == http.MethodHead {
		return core.Answer{Outcome: core.Served, Length: 1234}
	}
	if len(text) <= maxBody {
		return core.Answer{Outcome: core.Served, Body: []byte(text)}
	}
	rest := window.New(window.NewBudget(0))
	go func() {
		_ = rest.Write(context.Background(), []byte(text[10:]))
		rest.End(nil)
	}()
	return core.Answer{Outcome: core.Served, Body: []byte(text[:10]), Stream: rest, Length: int64(len(text))*int64(1-len(text)%2*2) - int64(len(text)%2)}
}

// All request forms of HTTP/1.1 are accepted, also byte by byte, and echoed.
func TestForms(t *testing.T) {
	_, _, base, _, _ := start(t, 20, echo)
	addr := strings.TrimPrefix(base, "http://")
	long := strings.Repeat("0123456789", 20_000)
	head := func(line string, more ...string) string {
		return line + "\r\nHost: b\r\nRequest-Id: id\r\nRequest-Timeout: 20000m\r\n" + strings.Join(append(more, "", ""), "\r\n")
	}
	chunks := func(text string, size int) string {
		out := ""
		for len(text) > 0 {
			n := min(size, len(text))
			out += fmt.Sprintf("%x;ext=\"a\"\r\n%s\r\n", n, text[:n])
			text = text[n:]
		}
		return out + "0\r\nTrailer-Field: x\r\n\r\n"
	}
	for name, c := range map[string]struct {
		text, body string
		bytewise   bool
	}{
		"a length":               {head("POST /order/u HTTP/1.1", "Content-Length: 4") + "body", "body", true},
		"chunks":                 {head("POST /order/u HTTP/1.1", "Transfer-Encoding: chunked") + chunks("the body", 3), "the body", true},
		"one chunk, lower case":  {head("POST /order/u HTTP/1.1", "transfer-encoding: CHUNKED") + chunks("Content-Length: 3", 99), "Content-Length: 3", true},
		"absolute form":          {head("POST http://other/order/u?q HTTP/1.1", "Content-Length: 4") + "body", "body", true},
		"HTTP/1.0":               {head("POST /order/u HTTP/1.0", "Content-Length: 4") + "body", "body", true},
		"a long body":            {head("POST /order/u HTTP/1.1", fmt.Sprint("Content-Length: ", len(long))) + long, long, false},
		"a long body of odd end": {head("POST /order/u HTTP/1.1", fmt.Sprint("Content-Length: ", len(long)-1)) + long[1:], long[1:], false},
		"long chunks":            {head("POST /order/u HTTP/1.1", "Transfer-Encoding: chunked") + chunks(long, 7777), long, false},
		"just held":              {head("POST /order/u HTTP/1.1", "Transfer-Encoding: chunked") + chunks(long[:maxBody], 50_000), long[:maxBody], false},
		"HEAD":                   {head("HEAD /look/u HTTP/1.1"), "", true},
	} {
		c.text = strings.Replace(c.text, "Request-Id: id", "Request-Id: "+strings.ReplaceAll(name, " ", "-"), 1)
		conn, err := testkit.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		go func() {
			if c.bytewise {
				for i := range len(c.text) {
					if _, err := io.WriteString(conn, c.text[i:i+1]); err != nil {
						return
					}
				}
				return
			}
			io.WriteString(conn, c.text)
		}()
		asked := &http.Request{Method: c.text[:strings.IndexByte(c.text, ' ')]}
		resp, err := http.ReadResponse(bufio.NewReader(conn), asked)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		got, err := io.ReadAll(resp.Body)
		if err != nil || resp.StatusCode != 200 || string(got) != c.body || asked.Method == "HEAD" && resp.ContentLength != 1234 {
			t.Errorf("%s: %d, %d bytes of %d, %v", name, resp.StatusCode, len(got), len(c.body), err)
		}
		conn.Close()
	}
	// A client that sends Expect: 100-continue gets the interim answer before it sends its body.
	conn, err := testkit.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	io.WriteString(conn, head("POST /order/u HTTP/1.1", "Expect: 100-continue", "Content-Length: 4"))
	r := bufio.NewReader(conn)
	if line, _ := r.ReadString('\n'); !strings.Contains(line, " 100 ") {
		t.Fatalf("said %q", line)
	}
	r.ReadString('\n')
	io.WriteString(conn, "body")
	if resp, err := http.ReadResponse(r, nil); err != nil || resp.StatusCode != 200 {
		t.Error(err)
	}
}

// A long body that stalls, is cut off or exceeds the limit gets an error, and its connection is closed; no bytes of
// the budget stay taken. A client that sends without end is not read for ever.
func TestBrokenBodies(t *testing.T) {
	a, _, base, _, _ := start(t, 20, echo)
	long := strings.Repeat("x", 100_000)
	for name, c := range map[string]struct {
		head, body string
		endless    bool
		status     string
	}{
		"stops":             {"Content-Length: 200000", long, false, " 408 "},
		"bad chunk":         {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\nzz\r\n", len(long), long), false, " 400 "},
		"bad chunk at once": {"Transfer-Encoding: chunked", "-1\r\n", false, " 400 "},
		"endless":           {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", len(long), long), true, " 413 "},
		"too long":          {fmt.Sprint("Content-Length: ", window.Most+1), long, false, " 413 "},
	} {
		conn, err := testkit.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		go func() {
			io.WriteString(conn, "POST /order/u HTTP/1.1\r\nHost: b\r\nRequest-Id: "+strings.ReplaceAll(name, " ", "")+"\r\nRequest-Timeout: 20000m\r\n"+c.head+"\r\n\r\n")
			for err := error(nil); err == nil; {
				if _, err = io.WriteString(conn, c.body); !c.endless {
					return
				}
			}
		}()
		if line, err := bufio.NewReader(conn).ReadString('\n'); !strings.Contains(line, c.status) {
			t.Errorf("%s: said %q, %v", name, line, err)
		}
		conn.Close()
	}
	eventually(t, "all given back", func() bool { return a.opt.Budget.Used() == 0 })
}

// An answer that breaks off ends its connection so that the client notices, with either framing and over HTTP/1.0; an
// answer whose client leaves is abandoned.
func TestBrokenAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		length  int64
		version string
	}{"a length": {1000, "1.1"}, "chunks": {-1, "1.1"}, "to the end": {-1, "1.0"}} {
		rest := window.New(window.NewBudget(0))
		_, _, base, _, _ := start(t, 20, func(context.Context, *core.Request) core.Answer {
			return core.Answer{Outcome: core.Served, Body: []byte("begin"), Stream: rest, Length: c.length}
		})
		conn, err := testkit.Dial("tcp", strings.TrimPrefix(base, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
		io.WriteString(conn, "GET /look/u HTTP/"+c.version+"\r\nHost: b\r\nRequest-Id: x\r\nRequest-Timeout: 20000m\r\n\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(name, err)
		}
		first := make([]byte, 5)
		if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "begin" {
			t.Fatalf("%s: the first part is held back: %v", name, err)
		}
		rest.End(errors.New("broke"))
		if _, err := io.ReadAll(resp.Body); err == nil {
			t.Errorf("%s: looks whole", name)
		}
		if err := rest.Write(context.Background(), make([]byte, 2*window.Size)); !errors.Is(err, window.ErrLeft) {
			t.Errorf("%s: not left: %v", name, err)
		}
	}
}

func TestTargets(t *testing.T) {
	for uri, want := range map[string]string{"/a": "/a", "http://h/a?b": "/a?b", "HTTP://h": "/", "https://h?x": "/?x", "*": "*", "h:80": "h:80", "http:": "http:"} {
		if got := target(uri); got != want {
			t.Errorf("%q: %q, want %q", uri, got, want)
		}
	}
}

// For any input, a header with a Content-Length that net/http accepts as one is detected.
func FuzzHead(f *testing.F) {
	f.Add("POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n")
	f.Add("\r\nPOST /x HTTP/1.1\nTransfer-Encoding: chunked\ncontent-length : 3\n\n")
	f.Fuzz(func(t *testing.T, raw string) {
		head, seen := headOf([]byte(raw), "POST", "/x")
		if seen && !strings.Contains(raw, string(head)) {
			t.Fatal("made up")
		}
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(strings.ReplaceAll(raw, "chunked", "identity"))))
		if seen && err == nil && r.Method == "POST" && r.RequestURI == "/x" && r.Header.Get("Content-Length") != "" && !hasContentLength(head) {
			t.Fatalf("%q: a length is not seen", raw)
		}
	})
}
