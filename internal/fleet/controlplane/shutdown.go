package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

// handOverTimeout bounds how long a program that is to end waits until the core has taken over its roles; half of
// the time until SIGKILL bounds it too.
const handOverTimeout = 2 * time.Second

// serveUntilReleased returns a context that outlives ctx until the core has released this machine, or handOverTimeout
// is over.
func (s *Server) serveUntilReleased(ctx context.Context) (context.Context, context.CancelFunc) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		select {
		case <-ctx.Done():
			s.handOverRoles(serving)
			stop()
		case <-serving.Done():
		}
	}()
	return serving, stop
}

// handOverRoles gives this machine's roles up and waits until the core has taken them over, or until the time is over.
func (s *Server) handOverRoles(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(handOverTimeout, s.settings.Bounds.Grace/2))
	defer cancel()
	began := time.Now()
	select {
	case s.inputs <- func(now time.Duration) replication.Output { return s.replica.Leave(now) }:
	case <-ctx.Done():
		return
	}
	for {
		status, changed := s.watch()
		if status.Released {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			s.log.Warn("ends without a release: nobody took over what this machine holds",
				zap.Stringer("role", status.Role))
			return
		}
	}
	s.log.Info("released by the core", zap.Duration("after", time.Since(began)))
}
