// Package crowd is clients of an agent, as tests need them: each asks one request after the other
// on a connection that it keeps, opens a new one where the agent has closed it, sends once more what
// crossed that close unread, and counts what it was told. A Crowd's counts are under its lock; each
// client is a goroutine.
package crowd

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Crowd is a number of clients at work.
type Crowd struct {
	// Stay is asked before a client opens a connection; false has it wait. nil: always.
	Stay func() bool
	// Once has nothing sent again: what crosses a close counts as lost.
	Once bool

	addr    string
	classes atomic.Pointer[[]string]
	held    atomic.Bool
	stop    chan struct{}
	wg      sync.WaitGroup
	last    atomic.Int64
	asking  atomic.Int64

	mu    sync.Mutex
	count Count
}

// Count is what came of requests.
type Count struct {
	Served, Refused, Other int
	Resent                 int // crossed a close and were sent again
	Door                   int // ended with no connection let in
	Lost                   []string
}

// Start has so many clients ask requests of the classes at an address until Stop.
func Start(addr string, clients int, stay func() bool, classes ...string) *Crowd {
	c := &Crowd{Stay: stay}
	c.Start(addr, clients, classes...)
	return c
}

// Start does so for a Crowd that was made for it.
func (c *Crowd) Start(addr string, clients int, classes ...string) {
	c.addr, c.stop = addr, make(chan struct{})
	c.classes.Store(&classes)
	for i := range clients {
		c.wg.Add(1)
		go c.client(i)
	}
}

// Ask changes the classes that are asked for.
func (c *Crowd) Ask(classes ...string) { c.classes.Store(&classes) }

// Hold has clients ask nothing, or go on; what they hold stays open.
func (c *Crowd) Hold(on bool) { c.held.Store(on) }

// Asking is how many clients wait for an answer.
func (c *Crowd) Asking() int { return int(c.asking.Load()) }

// Count is what has come so far.
func (c *Crowd) Count() Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Stop ends all clients when their requests are answered, and gives the final count.
func (c *Crowd) Stop() Count {
	close(c.stop)
	c.wg.Wait()
	return c.Count()
}

func (c *Crowd) note(do func(*Count)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do(&c.count)
}

func (c *Crowd) client(number int) {
	defer c.wg.Done()
	var conn net.Conn
	var r *bufio.Reader
	hang := func() {
		if conn != nil {
			conn.Close()
			conn = nil
		}
	}
	defer hang()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		if c.held.Load() || conn == nil && c.Stay != nil && !c.Stay() {
			time.Sleep(time.Millisecond)
			continue
		}
		id := fmt.Sprintf("c%d-%d", number, c.last.Add(1))
		classes := *c.classes.Load()
		text := request(classes[(number+i)%len(classes)], id)
		for again := 0; ; again++ {
			kept := conn != nil
			if !kept {
				var err error
				if conn, err = net.Dial("tcp", c.addr); err != nil {
					conn = nil
					c.note(func(n *Count) { n.Door++ })
					break
				}
				r = bufio.NewReader(conn)
			}
			status, closes, err := c.ask(conn, r, text)
			if err != nil {
				hang()
				if kept && again == 0 && !c.Once && errors.Is(err, errUnread) {
					c.note(func(n *Count) { n.Resent++ })
					continue
				}
				c.note(func(n *Count) { n.Lost = append(n.Lost, fmt.Sprint(id, ": ", err)) })
				break
			}
			if closes {
				hang()
			}
			c.note(func(n *Count) {
				switch status {
				case http.StatusOK:
					n.Served++
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					n.Refused++
				default:
					n.Other++
				}
			})
			break
		}
	}
}

// request is the text of one.
func request(class, id string) string {
	if class == "look" {
		return "GET /look/" + id + " HTTP/1.1\r\nHost: b\r\nRequest-Id: " + id + "\r\nRequest-Timeout: 20000m\r\n\r\n"
	}
	key := ""
	if class == "send" {
		key = "Idempotency-Key: " + id + "\r\n"
	}
	return "POST /" + class + "/" + id + " HTTP/1.1\r\nHost: b\r\nRequest-Id: " + id + "\r\n" + key + "Request-Timeout: 20000m\r\nContent-Length: 4\r\n\r\nbody"
}

// errUnread is of a connection that was closed before a byte of an answer.
var errUnread = errors.New("closed with no answer")

func (c *Crowd) ask(conn net.Conn, r *bufio.Reader, text string) (status int, closes bool, err error) {
	c.asking.Add(1)
	defer c.asking.Add(-1)
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, false, fmt.Errorf("%w: %w", errUnread, err)
	}
	if _, err := r.Peek(1); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return 0, false, err
		}
		return 0, false, fmt.Errorf("%w: %w", errUnread, err)
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0, false, err
	}
	if _, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false, err
	}
	return resp.StatusCode, resp.Close, nil
}

// Server is an order server on loopback that answers all it gets and counts each id.
type Server struct {
	Addr string
	srv  http.Server
	mu   sync.Mutex
	ran  map[string]int
}

// Serve opens a server that takes so long for each answer.
func Serve(work time.Duration) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), ran: map[string]int{}}
	s.srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		s.mu.Lock()
		s.ran[r.Header.Get("Request-Id")]++
		s.mu.Unlock()
		time.Sleep(work)
		_, _ = io.WriteString(w, "done")
	})
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

// Twice names the ids that have run more than once.
func (s *Server) Twice() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, n := range s.ran {
		if n > 1 {
			ids = append(ids, id)
		}
	}
	return ids
}

// Close ends the server.
func (s *Server) Close() { s.srv.Close() }
