// Package management serves the operators' management API: a few calls over HTTP/1.1 at an address of its own,
// independent of client connections and the core's lock. Each call is answered from the lifecycle of the process, on a
// connection that is closed after it.
//
// The server's goroutines, one for each connection, share the list of connections under a lock.
package management

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"molepaddle/internal/decide/lifecycle"
)

// MaxConnections limits the open connections, and so the descriptors to reserve for them: a new connection replaces the
// oldest one.
const MaxConnections = 16

// callTimeout limits the time for reading a call, and that for writing its answer.
const callTimeout = 2 * time.Second

// Server is the management server of one process.
type Server struct {
	httpServer http.Server
	mux        *http.ServeMux
	mu         sync.Mutex
	open       []*conn // the oldest first
}

type conn struct {
	net.Conn
	server *Server
}

// New returns a Server for a process. servers reports whether any server is available, and must not block.
func New(m *lifecycle.Machine, servers func() bool, log *slog.Logger) *Server {
	d := &Server{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/ready", func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if !m.Serving(servers()) {
			status = http.StatusServiceUnavailable
		}
		writeState(w, status, m, servers)
	})
	for path, do := range map[string]func() error{"/api/evacuate": m.Evacuate, "/api/rejoin": m.Rejoin} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, _ *http.Request) {
			if err := do(); err != nil {
				http.Error(w, err.Error(), http.StatusConflict)
				return
			}
			log.Info("operators: "+path, "state", m.State(servers()).String())
			writeState(w, http.StatusOK, m, servers)
		})
	}
	d.mux = mux
	d.httpServer = http.Server{Handler: mux, ReadTimeout: callTimeout, WriteTimeout: callTimeout,
		MaxHeaderBytes: 4 << 10, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}
	d.httpServer.SetKeepAlivesEnabled(false)
	return d
}

// writeState answers with the state as a line of text.
func writeState(w http.ResponseWriter, status int, m *lifecycle.Machine, servers func() bool) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	fmt.Fprintln(w, m.State(servers()))
}

// Handle registers a handler under a pattern of http.ServeMux. It must be called before Serve.
func (d *Server) Handle(pattern string, h http.Handler) { d.mux.Handle(pattern, h) }

// Serve answers calls until the server is closed, and returns nil then.
func (d *Server) Serve(ln net.Listener) error {
	if err := d.httpServer.Serve(&listener{ln, d}); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Close closes the server and all connections.
func (d *Server) Close() error { return d.httpServer.Close() }

// listener limits the open connections.
type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d := l.server
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.open) >= MaxConnections {
		d.open[0].Conn.Close() // the later removal by its goroutine does nothing
		d.open = d.open[1:]
	}
	cc := &conn{c, d}
	d.open = append(d.open, cc)
	return cc, nil
}

func (c *conn) Close() error {
	d := c.server
	d.mu.Lock()
	for i, o := range d.open {
		if o == c {
			d.open = append(d.open[:i:i], d.open[i+1:]...)
			break
		}
	}
	d.mu.Unlock()
	return c.Conn.Close()
}
