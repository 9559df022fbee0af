package quota

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
)

// acceptRetryDelay is the pause after a failed accept, which fails at once where the process is out of descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Server is a control server's allocator, for as long as that server is the primary. It is safe for use by many
// goroutines.
type Server struct {
	rule    Rule
	overlap time.Duration
	// leads returns whether this server is the primary of an epoch, and no other one was elected a moment ago.
	leads func(epoch uint64) bool
	start time.Time // zero of the allocator's clock

	mu        sync.Mutex // guards what follows
	epoch     uint64     // the last one in which this server was the primary; 0: none
	limits    Limits
	ceilings  *Ceilings  // committed
	allocator *Allocator // of that epoch; leads says whether it still is
	conns     uint64     // accepted so far
}

// NewServer returns a server that is no allocator yet. leads says whether this server is still the primary of an epoch;
// for overlap after another one was elected it may say so.
func NewServer(rule Rule, overlap time.Duration, leads func(epoch uint64) bool) *Server {
	return &Server{
		rule:    rule,
		overlap: overlap,
		leads:   leads,
		start:   time.Now(),
		limits:  Limits{},
	}
}

// SetLimits puts the limits of a committed configuration in force. They must not be changed afterwards.
func (s *Server) SetLimits(limits Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = limits
	if s.allocator != nil {
		s.allocator.SetLimits(limits)
	}
}

// Lead makes this server the allocator of an epoch, under the ceilings that all earlier ones kept to. Where it was that
// of the epoch before, it goes on with what it knows: nobody else handed out slots in between.
func (s *Server) Lead(epoch uint64, ceilings *Ceilings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != epoch && s.epoch+1 != epoch || s.allocator == nil {
		s.allocator = NewAllocator(s.rule, s.limits, ceilings, time.Since(s.start), s.overlap)
	}
	s.epoch = epoch
}

// SetCeilings tells of ceilings that are committed.
func (s *Server) SetCeilings(ceilings *Ceilings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ceilings = ceilings
	if s.allocator != nil {
		s.allocator.SetCeilings(ceilings)
	}
}

// WantedCeilings returns the ceilings that are to be committed in an epoch, in place of those that are; ok is false
// where there is nothing to commit.
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

// Serve answers holders until ctx ends and the listener is closed, which the caller does. It returns when all of its
// connections have ended.
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

// nextConn numbers connections in the order in which they are accepted.
func (s *Server) nextConn() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns++
	return s.conns
}

// serveConn answers the reports of one holder until the connection breaks, the holder is silent for a lease, or this
// server is no allocator any more.
func (s *Server) serveConn(ctx context.Context, conn net.Conn, number uint64) {
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	r := bufio.NewReaderSize(conn, 1024)
	greeting := Answer{Epoch: s.currentEpoch()}
	for answer := &greeting; ; {
		_ = conn.SetDeadline(time.Now().Add(s.rule.Lease)) // an error shows at the write
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

// currentEpoch is the epoch in which this server is the allocator; 0: it isn't.
func (s *Server) currentEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch == 0 || !s.leads(s.epoch) {
		return 0
	}
	return s.epoch
}

// handle answers one report that came on a connection.
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
