package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

// handOverTimeout bounds how long a terminating program waits until the core has taken over its roles. It is also
// bounded by half of the time until SIGKILL.
const handOverTimeout = 2 * time.Second

// serveUntilReleased returns a context that outlives ctx until the core has released this machine, or until
// handOverTimeout has passed.
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

// handOverRoles gives up this machine's roles and waits until the core has taken them over or the time-out has passed.
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
			s.log.Warn("shutting down without a release: no other machine took over the roles in time",
				zap.Stringer("role", status.Role))
			return
		}
	}
	s.log.Info("released by the core", zap.Duration("after", time.Since(began)))
}
