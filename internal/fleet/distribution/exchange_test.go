package distribution

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/rig/testkit"
)

// exchangeWithin bounds what has to come.
const exchangeWithin = 20 * time.Second

// frameOf is a message as it goes over a connection.
func frameOf(c *qt.C, r *Response) []byte {
	var b bytes.Buffer
	c.Assert(WriteFrame(&b, r), qt.IsNil)
	return b.Bytes()
}

// TestTruncatedResponses cuts the response to a pull off after each of its bytes, with the whole of it come before on the same
// connection: nothing is taken of what is not whole, and nothing more is asked on that connection.
func TestTruncatedResponses(t *testing.T) {
	c := qt.New(t)
	whole := frameOf(c, &Response{Resources: []Resource{{Type: ConfigType, Version: v(1), Snapshot: []byte("one")}}})
	next := frameOf(c, &Response{Resources: []Resource{{Type: ConfigType, Version: v(2), Snapshot: []byte("two")}}})
	for k := range len(next) {
		asked := make(chan int, 1)
		addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
			n := 0
			for ; ReadFrame(r, new(Request)) == nil; n++ {
				switch n {
				case 0:
					_, _ = conn.Write(whole)
				case 1:
					_, _ = conn.Write(next[:k])
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}
			asked <- n
		})
		var took []Version
		rounds := 0
		err := Watch(t.Context(), addr, &Watcher{ReadTimeout: exchangeWithin, Members: func() []Member { return nil }, Versions: func() map[string]Version { return nil },
			Apply:    func(n *Response) []string { took = append(took, n.Resources[0].Version); return nil },
			Continue: func() bool { rounds++; return rounds <= 5 }})
		c.Check(err, qt.IsNotNil)
		c.Check(took, qt.DeepEquals, []Version{v(1)}, qt.Commentf("%d bytes", k))
		c.Check(<-asked, qt.Equals, 2)
	}
}

// TestTruncatedRequests cuts a pull off after each of its bytes: it is not answered, and renews nothing.
func TestTruncatedRequests(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	cache := NewCache()
	go Serve(ctx, ln, "server", cache, exchangeWithin, func() (time.Time, string) { return time.Time{}, "" })
	var request bytes.Buffer
	c.Assert(WriteFrame(&request, &Request{From: "agent", Members: []Member{{Name: "proxy-1"}}}), qt.IsNil)
	for k := range request.Len() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(exchangeWithin)), qt.IsNil)
		_, err = conn.Write(request.Bytes()[:k])
		c.Assert(err, qt.IsNil)
		c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
		got, err := io.ReadAll(conn)
		c.Check(err, qt.IsNil)
		c.Check(got, qt.HasLen, 0, qt.Commentf("%d bytes", k))
		conn.Close()
	}
	c.Check(cache.Members(time.Now(), time.Hour), qt.HasLen, 0)
}

// TestResponsesArriveInOrder asks from many connections at once: each has the answers to its own pulls, in order.
func TestResponsesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	cache := NewCache()
	const sources, pulls = 8, 50
	for i := range sources {
		cache.SetSnapshot(fmt.Sprint(i), v(1), []byte(fmt.Sprint(i)))
	}
	go Serve(ctx, ln, "server", cache, exchangeWithin, func() (time.Time, string) { return time.Time{}, "" })
	failed := make(chan string, sources)
	for i := range sources {
		go func() {
			have := map[string]Version{} // of all but its own
			for j := range sources {
				if j != i {
					have[fmt.Sprint(j)] = v(1)
				}
			}
			left, wrong := pulls, ""
			_ = Watch(ctx, ln.Addr().String(), &Watcher{ReadTimeout: exchangeWithin, Members: func() []Member { return nil }, Versions: func() map[string]Version { return have },
				Continue: func() bool { return left > 0 && wrong == "" },
				Apply: func(n *Response) []string {
					left--
					if len(n.Resources) != 1 || n.Resources[0].Type != fmt.Sprint(i) {
						wrong = fmt.Sprintf("%d gets %v", i, n.Resources)
					}
					return nil
				}})
			if left > 0 && wrong == "" {
				wrong = fmt.Sprintf("%d has %d pulls left", i, left)
			}
			failed <- wrong
		}()
	}
	for range sources {
		c.Check(<-failed, qt.Equals, "")
	}
}
