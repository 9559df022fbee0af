package quota

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
)

// acceptRetryDelay is the pause after a failed accept: while the process is out of file descriptors, accept fails
// immediately.
const acceptRetryDelay = 20 * time.Millisecond

// Server runs the allocator of a control server for as long as that server is the primary. It is safe for concurrent
// use.
type Server struct {
	rule    Rule
	overlap time.Duration
	// leads reports whether this server is the primary of an epoch; it may still return true for up to overlap after
	// another server was elected.
	leads func(epoch uint64) bool
	start time.Time // time 0 of the allocator's clock

	mu        sync.Mutex // guards the fields below
	epoch     uint64     // the last epoch in which this server was the primary; 0: none
	limits    Limits
	ceilings  *Ceilings  // committed
	allocator *Allocator // of that epoch, which may have ended (see leads)
	conns     uint64     // number of accepted connections
}

// NewServer returns a server without an allocator. leads reports whether this server is still the primary of an epoch;
// it may return true for up to overlap after another server was elected.
func NewServer(rule Rule, overlap time.Duration, leads func(epoch uint64) bool) *Server {
	return &Server{
		rule:    rule,
		overlap: overlap,
		leads:   leads,
		start:   time.Now(),
		limits:  Limits{},
	}
}

// SetLimits applies the limits of a committed configuration. The caller must not modify them afterwards.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	if s.allocator != nil {
		s.allocator.SetLimits(limits)
	}
}

// Lead makes this server the allocator of an epoch. If it was the allocator of the preceding epoch, it keeps its state,
// since no other server allocated slots in between. Else it starts with ceilings, which limited all earlier allocators.
func (s *Server) Lead(epoch uint64, ceilings *Ceilings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch && s.epoch+1 != epoch || s.allocator == nil {
		s.allocator = NewAllocator(s.rule, s.limits, ceilings, time.Since(s.start), s.overlap)
	}
	s.epoch = epoch
}

// SetCeilings applies committed ceilings.
func (s *Server) SetCeilings(ceilings *Ceilings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ceilings = ceilings
	if s.allocator != nil {
		s.allocator.SetCeilings(ceilings)
	}
}

// WantedCeilings returns the ceilings to commit in an epoch in place of the committed ones; ok is false if there is
// nothing to commit.
func (s *Server) WantedCeilings(epoch uint64) (wanted *Ceilings, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.allocator == nil || s.epoch != epoch {
		return nil, false
	}
	if len(s.limits) == 0 {
		return nil, false
	}
	wanted = s.allocator.WantedCeilings(time.Since(s.start))
	return wanted, !wanted.Equal(s.ceilings)
}

// Serve answers the reports of holders, the proxies that hold slots, until ctx ends and the caller closes the listener.
// It returns when all of its connections have ended.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		conn, err := ln.Accept()
		if err == nil {
			number := s.nextConn()
			conns.Go(func() { s.serveConn(ctx, conn, number) })
			continue
		}
		if ctx.Err() != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(acceptRetryDelay):
		}
	}
}

// nextConn returns the number of a new connection; connections are numbered in the order in which they are accepted.
func (s *Server) nextConn() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns++
	return s.conns
}

// serveConn answers the reports of one holder until the connection breaks, no report has come for a lease, a report
// is rejected or of another epoch, or this server is no longer the allocator.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, number uint64) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReaderSize(conn, 1024)
	greeting := Answer{Epoch: s.currentEpoch()}
	for answer := &greeting; ; {
		_ = conn.SetDeadline(time.Now().Add(s.rule.Lease)) // on failure the write below returns the error
		if err := distribution.WriteFrame(conn, answer); err != nil || answer.Epoch == 0 {
			return
		}
		var report Report
		if err := distribution.ReadFrame(r, &report); err != nil {
			return
		}
		var err error
		if answer, err = s.handle(&report, number); err != nil {
			return
		}
	}
}

// currentEpoch returns the epoch in which this server is the allocator; 0 if it isn't.
func (s *Server) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || !s.leads(s.epoch) {
		return 0
	}
	return s.epoch
}

// handle returns the answer to one report that was received on a connection.
func (s *Server) handle(report *Report, conn uint64) (*Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := &Answer{Sequence: report.Sequence}
	if s.epoch == 0 || report.Epoch != s.epoch || !s.leads(s.epoch) {
		return answer, nil
	}
	grants, err := s.allocator.Handle(report, conn, time.Since(s.start))
	if err != nil {
		return nil, err
	}
	answer.Epoch = s.epoch
	answer.Grants = grants
	return answer, nil
}
