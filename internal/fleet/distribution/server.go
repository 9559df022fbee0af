package distribution

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

const (
	// acceptRetryDelay is the pause after a failed accept, which fails at once if the process is out of descriptors.
	acceptRetryDelay = 20 * time.Millisecond
	// maxWaitMs bounds the wait in a request, in milliseconds.
	maxWaitMs = 30_000
)

// server answers the requests of all connections of one listener.
type server struct {
	name        string
	cache       *Cache
	idleTimeout time.Duration
	refresh     func() (time.Time, string)
}

// Serve answers requests from the cache until ctx ends and the listener is closed, which the caller does. It serves
// each connection in a goroutine that ends with ctx, and returns when all have ended. A connection without a request
// for idleTimeout is closed. refresh makes the cache record the last contact with the primary; it is called each time
// before the resources of a response are collected, and its results aren't used.
func Serve(
	ctx context.Context, ln net.Listener, name string, cache *Cache, idleTimeout time.Duration,
	refresh func() (time.Time, string),
) {
	s := &server{
		name:        name,
		cache:       cache,
		idleTimeout: idleTimeout,
		refresh:     refresh,
	}
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := ln.Accept()
		if err == nil {
			conns.Go(func() { s.serveConn(ctx, conn) })
			continue
		}
		if ctx.Err() != nil {
			return
		}
		sleep(ctx, acceptRetryDelay)
	}
}

// serveConn answers the requests of one connection until it breaks or ctx ends.
func (s *server) serveConn(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	r := bufio.NewReaderSize(conn, 1024)
	var residency residencyreport.Receiver
	for s.serveRequest(ctx, conn, r, &residency) == nil {
	}
}

// serveRequest reads one request and answers it.
func (s *server) serveRequest(
	ctx context.Context, conn net.Conn, r *bufio.Reader, residency *residencyreport.Receiver,
) error {
	s.extendDeadline(conn)
	var request Request
	if err := ReadFrame(r, &request); err != nil {
		return err
	}
	s.cache.Renew(request.Members, time.Now())
	s.cache.Outcomes.Put(request.Outcomes...)
	if request.Push {
		s.extendDeadline(conn)
		return WriteFrame(conn, &Response{From: s.name, LastContactMs: -1})
	}
	s.receiveResidency(&request, residency)
	request.WaitMs = min(max(request.WaitMs, 0), maxWaitMs)
	response := s.cache.fetch(ctx, s.name, &request, func() { s.refresh() })
	if !residency.Idle() {
		response.ResidencyAcks = s.cache.Residency.acks(residency)
	}
	s.extendDeadline(conn)
	return WriteFrame(&progressWriter{conn: conn, timeout: s.idleTimeout}, response)
}

// extendDeadline sets the deadline of the next read or write to idleTimeout from now. That read or write reports an
// error.
func (s *server) extendDeadline(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(s.idleTimeout))
}

// receiveResidency stores the residency reports of a request, and records whether the request is its sender's last.
func (s *server) receiveResidency(request *Request, residency *residencyreport.Receiver) {
	if request.Residency != nil {
		s.cache.Residency.receive(residency, request.Residency)
	}
	if request.Final {
		s.cache.Residency.markSendersDone()
	} else {
		s.cache.Residency.markSenderActive()
	}
}
