package controlplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/replication"
)

// leaveWithin bounds how long a program that was told to end waits until the core has taken over its roles; half of the time
// until SIGKILL bounds it too.
const leaveWithin = 2 * time.Second

// untilReleased gives a context that outlives ctx until the core has released this machine, or leaveWithin is over.
func (o *Server) untilReleased(ctx context.Context) (context.Context, context.CancelFunc) {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	go func() {
		select {
		case <-ctx.Done():
			o.leave(serving)
			stop()
		case <-serving.Done():
		}
	}()
	return serving, stop
}

// leave hands over this machine's roles and waits for its release.
func (o *Server) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, min(leaveWithin, o.set.Bounds.Grace/2))
	defer cancel()
	began := time.Now()
	select {
	case o.inputs <- func(now time.Duration) replication.Output { return o.machine.Leave(now) }:
	case <-ctx.Done():
		return
	}
	for {
		status, changed := o.watch()
		if status.Released {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			o.log.Warn("ends without a release: nobody took over what this machine holds", zap.Stringer("role", status.Role))
			return
		}
	}
	o.log.Info("released by the core", zap.Duration("after", time.Since(began)))
}
