package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

const (
	// acceptFor is for how long a leaving proxy still accepts connections: the platform asks every second whether it is
	// ready, and turns clients away after two misses.
	acceptFor = 3 * time.Second
	// closeEarly is how long before the end of the grace what is still open is closed.
	closeEarly = 300 * time.Millisecond
)

// departure counts what comes to a proxy after it was told to end.
type departure struct {
	taken atomic.Int64 // requests that came since
	open  atomic.Int64 // those of them that are under way
}

// came counts a request that comes while the proxy leaves; the caller calls ended when it is over.
func (d *departure) came() (ended func()) {
	d.taken.Add(1)
	d.open.Add(1)
	return func() { d.open.Add(-1) }
}

// leave ends in order: not ready any more, so that the platform sends nobody; answers close their connections; what
// is held is finished; idle connections are closed last.
func (v *Proxy) leave(server *http.Server) {
	v.life.End()
	began := time.Now()
	grace := v.set.Bounds.Grace
	v.log.Info("leaving", zap.Int64("open", v.working.Load()), zap.Duration("grace", grace))
	// What comes while the platform still sends clients is served. After that nothing is begun any more, so that what is
	// held has the rest of the grace.
	away := time.NewTimer(min(acceptFor, grace/2))
	defer away.Stop()
	<-away.C
	end, cancel := context.WithDeadline(context.Background(), began.Add(grace-closeEarly))
	defer cancel()
	if server.Shutdown(end) != nil {
		taken := v.departure.open.Load()
		v.log.Warn("answers cut: the grace is over", zap.Int64("from_before", v.working.Load()-taken), zap.Int64("taken_since", taken))
		_ = server.Close()
	}
	v.log.Info("left", append(v.counters(), zap.Int64("taken_since", v.departure.taken.Load()), zap.Duration("took", time.Since(began)))...)
	v.pool.Close()
}
