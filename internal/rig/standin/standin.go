// Package standin plays the systems round an agent on loopback: order servers and the
// service that lists them, as the platform's protocol words them. They are for the demo
// and for tests; they make no claim to speed.
//
// Each stand-in is an HTTP server of its own with its handlers' goroutines; a lock guards
// what it has been told to do and what it has seen.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// anyPort is a free port of loopback.
const anyPort = "127.0.0.1:0"

// serve starts an HTTP server at an address of loopback.
func serve(h http.Handler, at string) (*http.Server, string, error) {
	if host, _, err := net.SplitHostPort(at); err != nil || !net.ParseIP(host).IsLoopback() {
		return nil, "", fmt.Errorf("%q is no address of loopback with a port", at)
	}
	ln, err := net.Listen("tcp", at)
	if err != nil {
		return nil, "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	if c, ok := h.(interface {
		count(net.Conn, http.ConnState)
	}); ok {
		s.ConnState = c.count
	}
	go s.Serve(ln)
	return s, ln.Addr().String(), nil
}

// Server is an order server. It notes the id of each request that came whole.
type Server struct {
	Name string
	Addr string
	work time.Duration
	http *http.Server

	mu    sync.Mutex
	held  chan struct{} // closed when answers go on; nil: they do
	came  []Arrival
	slots int // requests that are worked on at once; 0: any number
	busy  int
	line  []chan struct{} // of those that wait for a slot, each closed when it has one

	// Since the last Counts, but for open.
	asked, connects, open int
}

// Counts is how many requests and connections came since it was called last, and how many
// connections are open. Once it is called, Came holds nothing any more.
func (s *Server) Counts() (came, connects, open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	came, connects, open = s.asked, s.connects, s.open
	s.asked, s.connects, s.came = 0, 0, nil
	return came, connects, open
}

// Open is how many connections are open: of one that its agent has closed, until all that came on it is
// read.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.open
}

// count is the server's ConnState hook.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.connects++
		s.open++
	case http.StateClosed, http.StateHijacked:
		s.open--
	}
}

// Arrival is a request that came to a server.
type Arrival struct {
	ID string
	At time.Time
}

// NewServer starts one that works for so long on each request.
func NewServer(name string, work time.Duration) (*Server, error) {
	return NewServerAt(anyPort, name, work)
}

// NewServerAt does the same at an address of loopback.
func NewServerAt(at, name string, work time.Duration) (*Server, error) {
	s := &Server{Name: name, work: work}
	var err error
	s.http, s.Addr, err = serve(s, at)
	return s, err
}

// Close ends the server and its connections.
func (s *Server) Close() error { return s.http.Close() }

// Host is the server as a roster lists it.
func (s *Server) Host(site, class, health string) Host {
	return Host{Host: s.Name, Dial: s.Addr, Site: site, Class: class, Health: health, Share: 1}
}

// Work changes how long the server works on each request from now on.
func (s *Server) Work(for_ time.Duration) {
	s.mu.Lock()
	s.work = for_
	s.mu.Unlock()
}

// Slots bounds how many requests are worked on at once from now on; the others wait in line.
// 0: any number.
func (s *Server) Slots(n int) {
	s.mu.Lock()
	s.slots = n
	s.admit()
	s.mu.Unlock()
}

// admit gives free slots to those that wait. The lock is held.
func (s *Server) admit() {
	for len(s.line) > 0 && (s.slots == 0 || s.busy < s.slots) {
		s.busy++
		close(s.line[0])
		s.line = s.line[1:]
	}
}

// enter waits for a slot, and reports whether there came one before the request was given up;
// leave gives it back.
func (s *Server) enter(ctx context.Context) bool {
	turn := make(chan struct{})
	s.mu.Lock()
	s.line = append(s.line, turn)
	s.admit()
	s.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.line, turn); i >= 0 {
		s.line = slices.Delete(s.line, i, i+1)
		return false
	}
	s.busy-- // it came at the same time
	s.admit()
	return false
}

func (s *Server) leave() {
	s.mu.Lock()
	s.busy--
	s.admit()
	s.mu.Unlock()
}

// Hold keeps back all answers until it is called with false.
func (s *Server) Hold(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil {
		close(s.held)
		s.held = nil
	}
	if on {
		s.held = make(chan struct{})
	}
}

// Came is what has come so far.
func (s *Server) Came() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival{}, s.came...)
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // it never came whole
	}
	id := r.Header.Get("Request-Id")
	s.mu.Lock()
	s.came = append(s.came, Arrival{id, time.Now()})
	s.asked++
	held := s.held
	s.mu.Unlock()
	if !s.enter(r.Context()) {
		return
	}
	defer s.leave()
	s.mu.Lock()
	work := s.work
	s.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-r.Context().Done():
			return
		}
	}
	rest := time.NewTimer(work)
	defer rest.Stop()
	select {
	case <-rest.C:
		fmt.Fprintf(w, "%s by %s", id, s.Name)
	case <-r.Context().Done(): // work stops when its request is given up
	}
}

// Roster lists servers, to whoever asks once or watches.
type Roster struct {
	Addr string
	http *http.Server

	mu      sync.Mutex
	seq     int64
	hosts   map[string]Host
	order   []string
	changed chan struct{} // closed at the next change
	asked   int           // since the last Counts
	watches int
	down    bool
}

// Counts is how many questions came since it was called last, watches among them, and how many
// watches there are.
func (r *Roster) Counts() (questions, watches int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	questions, r.asked = r.asked, 0
	return questions, r.watches
}

// Down lets the service answer nothing but 503 and end its watches, or answer again.
func (r *Roster) Down(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = on
	close(r.changed)
	r.changed = make(chan struct{})
}

// isDown tells whether it is down.
func (r *Roster) isDown() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

// Host is one line of the list, as it goes over the wire.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMs float64 `json:"born_ms"`
	seq    int64
}

// NewRoster starts one with an empty list.
func NewRoster() (*Roster, error) { return NewRosterAt(anyPort) }

// NewRosterAt does the same at an address of loopback.
func NewRosterAt(at string) (*Roster, error) {
	r := &Roster{hosts: map[string]Host{}, changed: make(chan struct{})}
	var err error
	r.http, r.Addr, err = serve(r, at)
	return r, err
}

// Close ends the service and all watches.
func (r *Roster) Close() error { return r.http.Close() }

// Set lists a host, or what is new of it; watches are told at once.
func (r *Roster) Set(h Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	h.seq = r.seq
	if _, known := r.hosts[h.Host]; !known {
		r.order = append(r.order, h.Host)
	}
	r.hosts[h.Host] = h
	close(r.changed)
	r.changed = make(chan struct{})
}

// List is the whole list as it goes over the wire.
func (r *Roster) List() json.RawMessage {
	text, _, _ := r.since(0)
	return text
}

// since words what changed after a version, the whole list for 0, and gives the version
// and what tells of the next change.
func (r *Roster) since(version int64) (text []byte, seq int64, next <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := []Host{}
	for _, name := range r.order {
		if h := r.hosts[name]; h.seq > version && (version > 0 || h.Health != "gone") {
			hosts = append(hosts, h)
		}
	}
	text, _ = json.Marshal(map[string]any{"seq": r.seq, "whole": version == 0, "hosts": hosts}) // plain values: no error
	return text, r.seq, r.changed
}

func (r *Roster) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != "/v1/endpoints" {
		http.NotFound(w, req)
		return
	}
	watch := req.URL.Query().Get("follow") == "1"
	r.mu.Lock()
	r.asked++
	if r.down {
		r.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if watch {
		r.watches++
		defer func() { r.mu.Lock(); r.watches--; r.mu.Unlock() }()
	}
	r.mu.Unlock()
	if !watch {
		text, _, _ := r.since(0)
		w.Write(text)
		return
	}
	version, _ := strconv.ParseInt(req.URL.Query().Get("since"), 10, 64)
	if version < 0 {
		version = 0
	}
	control := http.NewResponseController(w)
	beat := time.NewTicker(2 * time.Second)
	defer beat.Stop()
	for first := true; ; first = false {
		if r.isDown() {
			return
		}
		text, seq, next := r.since(version)
		if first || seq > version {
			if _, err := fmt.Fprintf(w, "%s\n", text); err != nil {
				return
			}
		} else if _, err := io.WriteString(w, "\n"); err != nil {
			return
		}
		version = seq
		if control.Flush() != nil {
			return
		}
		select {
		case <-next:
		case <-beat.C:
		case <-req.Context().Done():
			return
		}
	}
}
