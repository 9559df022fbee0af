package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
)

// memoryListener returns in-memory connections until it is closed.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// clientListenerRig is the client listener of a proxy with the given limits (JSON; "" for no configuration), in a
// synctest bubble.
type clientListenerRig struct {
	*qt.C
	proxy    *Proxy
	listener *memoryListener
}

func startClientListenerRig(c *qt.C, caps string) *clientListenerRig {
	v := New(context.Background(), settings.Settings{}, zap.NewNop())
	v.ready.Store(true)
	e := &clientListenerRig{C: c, proxy: v, listener: &memoryListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	e.configure(caps)
	server := v.clientServer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(clientListener{e.listener, v.clientTimeouts, v.shutdown.connected})
	}()
	c.Cleanup(func() {
		_ = server.Close()
		<-done
	})
	return e
}

func (e *clientListenerRig) configure(caps string) {
	if caps == "" {
		return
	}
	doc, found := routingconfig.Decode([]byte(`{"ver":1,"routing":[],"svcs":[],"caps":` + caps + `}`))
	e.Assert(found.Err(), qt.IsNil)
	e.proxy.snapshot.Store(&routingSnapshot{
		index:   routingconfig.NewIndex(doc),
		limits:  doc.Limits(),
		version: doc.Version(),
	})
}

// dial opens a client's connection.
func (e *clientListenerRig) dial() (net.Conn, *bufio.Reader) {
	client, server := net.Pipe()
	e.listener.conns <- server
	e.Cleanup(func() { client.Close() })
	return client, bufio.NewReader(client)
}

// served sends a request with a pause within its head, and reports whether it was answered on this connection.
func (e *clientListenerRig) served(c net.Conn, r *bufio.Reader, within time.Duration) bool {
	if _, err := io.WriteString(c, "GET /none HTTP/1.1\r\nHost: b\r\n"); err != nil {
		return false
	}
	time.Sleep(within)
	if _, err := io.WriteString(c, "X-Molepaddle-Attempt-Id: a1\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && (resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusServiceUnavailable)
}

// TestIdleTimeoutOfTheConfiguration leaves connections idle: after four fifths of the idle time-out a connection is
// still served, after more than all of it it is closed. The same holds for limits that are configured later.
func TestIdleTimeoutOfTheConfiguration(t *testing.T) {
	for _, one := range []struct {
		caps string
		rest time.Duration
	}{
		{"", defaultIdleTimeout},
		{"{}", defaultIdleTimeout},
		{`{"idle_timeout_ms":60000}`, time.Minute},
		{`{"idle_timeout_ms":2000}`, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := startClientListenerRig(qt.New(t), one.caps)
			c, r := e.dial()
			for i := range 3 {
				e.Assert(e.served(c, r, 0), qt.IsTrue, qt.Commentf("caps %s, request %d", one.caps, i))
				time.Sleep(one.rest * 4 / 5)
			}
			e.Assert(e.served(c, r, 0), qt.IsTrue, qt.Commentf("caps %s", one.caps))
			time.Sleep(one.rest + time.Second)
			e.Assert(e.served(c, r, 0), qt.IsFalse, qt.Commentf("caps %s", one.caps))
			e.configure(`{"idle_timeout_ms":90000}`)
			c, r = e.dial()
			e.Assert(e.served(c, r, 0), qt.IsTrue)
			time.Sleep(89 * time.Second)
			e.Assert(e.served(c, r, 0), qt.IsTrue)
		})
	}
}

// TestHeaderTimeoutOfTheConfiguration sends request heads slowly: a head may take as long as configured, for a first
// and for a later request, and no longer.
func TestHeaderTimeoutOfTheConfiguration(t *testing.T) {
	for _, one := range []struct {
		caps string
		head time.Duration
	}{
		{"", defaultHeaderTimeout},
		{`{"hdr_timeout_ms":10000}`, 10 * time.Second},
		{`{"hdr_timeout_ms":500,"idle_timeout_ms":2000}`, 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := startClientListenerRig(qt.New(t), one.caps)
			c, r := e.dial()
			e.Assert(e.served(c, r, one.head*9/10), qt.IsTrue, qt.Commentf("caps %s", one.caps))
			time.Sleep(time.Second)
			e.Assert(e.served(c, r, one.head*9/10), qt.IsTrue, qt.Commentf("caps %s", one.caps))
			e.Assert(e.served(c, r, one.head+time.Second), qt.IsFalse, qt.Commentf("caps %s", one.caps))
			c, r = e.dial()
			e.Assert(e.served(c, r, one.head+time.Second), qt.IsFalse, qt.Commentf("caps %s", one.caps))
		})
	}
}
