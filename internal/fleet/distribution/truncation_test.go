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

// exchangeTimeout bounds the wait for a message that must arrive.
const exchangeTimeout = 20 * time.Second

// neverRefreshed is the refresh function of a server that has no contact with a primary.
func neverRefreshed() (time.Time, string) { return time.Time{}, "" }

// responseFrame returns the frame of a response.
func responseFrame(c *qt.C, r *Response) []byte {
	var b bytes.Buffer
	c.Assert(WriteFrame(&b, r), qt.IsNil)
	return b.Bytes()
}

// TestTruncatedResponses cuts a response off after each of its bytes, with a complete one before it on the same
// connection: nothing of the incomplete response is applied, and no further request is sent on that connection.
func TestTruncatedResponses(t *testing.T) {
	c := qt.New(t)
	configAt := func(n uint64, body string) *Response {
		return &Response{Resources: []Resource{{Type: ConfigType, Version: v(n), Snapshot: []byte(body)}}}
	}
	complete := responseFrame(c, configAt(1, "one"))
	next := responseFrame(c, configAt(2, "two"))
	for k := range len(next) {
		requests := make(chan int, 1)
		addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
			n := 0
			for ; ReadFrame(r, new(Request)) == nil; n++ {
				switch n {
				case 0:
					_, _ = conn.Write(complete)
				case 1:
					_, _ = conn.Write(next[:k])
					_ = conn.(*net.TCPConn).CloseWrite()
				}
			}
			requests <- n
		})
		var applied []Version
		asked := 0
		err := Watch(t.Context(), addr, &Watcher{
			ReadTimeout: exchangeTimeout,
			Members:     noMembers,
			Versions:    noVersions,
			Apply: func(response *Response) []string {
				applied = append(applied, response.Resources[0].Version)
				return nil
			},
			Continue: func() bool {
				asked++
				return asked <= 5
			},
		})
		c.Check(err, qt.IsNotNil)
		c.Check(applied, qt.DeepEquals, []Version{v(1)}, qt.Commentf("%d bytes", k))
		c.Check(<-requests, qt.Equals, 2)
	}
}

// TestTruncatedRequests cuts a request off after each of its bytes: the server neither answers it nor
// renews leases by it.
func TestTruncatedRequests(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	cache := NewCache()
	go Serve(ctx, ln, "server", cache, exchangeTimeout, neverRefreshed)
	var request bytes.Buffer
	c.Assert(WriteFrame(&request, &Request{From: "agent", Members: []Member{{Name: "proxy-1"}}}), qt.IsNil)
	for k := range request.Len() {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Assert(conn.SetDeadline(time.Now().Add(exchangeTimeout)), qt.IsNil)
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

// TestResponsesArriveInOrder pulls over many connections at once: each client gets the responses to its own requests,
// in order.
func TestResponsesArriveInOrder(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	cache := NewCache()
	const clients, pulls = 8, 50
	for i := range clients {
		cache.SetSnapshot(fmt.Sprint(i), v(1), []byte(fmt.Sprint(i)))
	}
	go Serve(ctx, ln, "server", cache, exchangeTimeout, neverRefreshed)
	failed := make(chan string, clients)
	for i := range clients {
		go func() {
			versions := map[string]Version{} // of all types but its own
			for j := range clients {
				if j != i {
					versions[fmt.Sprint(j)] = v(1)
				}
			}
			left, wrong := pulls, ""
			_ = Watch(ctx, ln.Addr().String(), &Watcher{
				ReadTimeout: exchangeTimeout,
				Members:     noMembers,
				Versions:    func() map[string]Version { return versions },
				Continue:    func() bool { return left > 0 && wrong == "" },
				Apply: func(response *Response) []string {
					left--
					if len(response.Resources) != 1 || response.Resources[0].Type != fmt.Sprint(i) {
						wrong = fmt.Sprintf("%d gets %v", i, response.Resources)
					}
					return nil
				},
			})
			if left > 0 && wrong == "" {
				wrong = fmt.Sprintf("%d has %d pulls left", i, left)
			}
			failed <- wrong
		}()
	}
	for range clients {
		c.Check(<-failed, qt.Equals, "")
	}
}
