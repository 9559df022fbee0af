// Package proxy is the fleet's proxy, the data plane. It takes
// clients' requests, finds their route, and has `policy` and `scheduler` choose the backend. What it knows of the fleet
// comes from the node agent beside it, over loopback; it serves on with what it has when nothing comes.
package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/puzpuzpuz/xsync/v4"
	"go.uber.org/zap"

	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/transport"
)

// Proxy is one proxy.
type Proxy struct {
	ctx        context.Context
	set        settings.Settings
	log        *zap.Logger
	pool       interface{ Close() } // the way to a backend is its plot's alone
	ground     *residency.Gate
	ready      atomic.Bool   // a configuration and a list are there
	served     chan struct{} // closed when they first are
	world      atomic.Pointer[world]
	life       *lifecycle.Machine
	working    atomic.Int64
	departure  departure
	background sync.WaitGroup
	statuses   *xsync.Map[int, *xsync.Counter]
	enclosed   *enclosed
	rested     *distribution.ResidencyOutbox // batches of the ledger, until they are kept
	outcomes   *distribution.OutcomeQueue

	// What follows belongs to the feed's goroutine.
	have     map[string]distribution.Version
	services map[string]*service
	doc      *routingconfig.Document
	docAt    time.Time // when that came into force
	list     distribution.BackendList
	listed   bool
	proxies  int
	// neighbours is how many of the proxies are in this one's zone.
	neighbours int
}

// world is what requests are served by, replaced whole.
type world struct {
	index    *routingconfig.Index
	limits   *routingconfig.Limits
	services map[string]*service
	version  int64
	proxies  int                        // of the fleet, as the control plane counts them
	routes   map[string]*routeTerms     // of enclosed routes, by name
	tenants  map[string]residency.Terms // by name
}

// assumedProxies stands for how many proxies there are until that is known.
const assumedProxies = 16

// reserved is how many descriptors are kept for what is no connection to a backend or client (DEPLOY: 200 for files).
const reserved = 260

// New makes a proxy that knows nothing yet.
func New(ctx context.Context, set settings.Settings, log *zap.Logger) *Proxy {
	files := set.Limits.Files
	if files <= 0 {
		files = 1024
	}
	room := max(files-reserved, 64)
	v := &Proxy{ctx: ctx, set: set, log: log, life: lifecycle.New(), served: make(chan struct{}), have: map[string]distribution.Version{}, services: map[string]*service{}, proxies: assumedProxies, neighbours: assumedProxies,
		statuses: xsync.NewMap[int, *xsync.Counter](), enclosed: newEnclosed(), rested: distribution.NewResidencyOutbox(), outcomes: distribution.NewOutcomeQueue()}
	dialer := &net.Dialer{KeepAlive: -1, Control: sockets.UserTimeout(set.Bounds.Contact)}
	pool := transport.New(transport.Options{Dial: dialer.DialContext, Timeout: connectWithin, Idle: 10 * time.Second, Most: room / 2,
		Settle: time.Millisecond, Resting: 4})
	v.pool, v.ground = pool, residency.NewGate(pool, set.Zones)
	return v
}

// count counts a final answer by its status; 0: broken off.
func (v *Proxy) count(status int) {
	c, _ := v.statuses.LoadOrCompute(status, func() (*xsync.Counter, bool) { return xsync.NewCounter(), false })
	c.Inc()
}

// Ready tells whether requests can be served: a configuration and a list are there.
func (v *Proxy) Ready() bool {
	return v.ready.Load() && !v.life.Leaving()
}

// Run serves until ctx ends, then finishes what it holds within the platform's grace.
func (v *Proxy) Run(ctx context.Context) error {
	if v.set.Bind.Edge == "" || v.set.Bind.Ready == "" {
		return errors.New("bind: edge and readyz must be given")
	}
	edge, err := sockets.Listen(ctx, v.set.Bind.Edge, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := sockets.Listen(ctx, v.set.Bind.Ready, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	readiness := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !v.life.AnswerReady(v.Ready()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), ReadHeaderTimeout: 2 * time.Second}
	go func() { _ = readiness.Serve(ready) }()
	server := v.clientServer()
	v.log.Info("started")
	v.life.Open()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(clientListener{edge, v.patience}) }()
	go v.feed(ctx)
	go v.report(ctx)
	go v.tellOutcomes(ctx)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	v.leave(server)
	v.handOver()
	_ = readiness.Close()
	return nil
}

// report writes counters now and then.
func (v *Proxy) report(ctx context.Context) {
	tick := time.NewTicker(10 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		v.log.Info("counters", v.counters()...)
		v.enclosed.report(v.log)
	}
}

// counters are what the log tells of the requests: how many are under way, and the answers by their status.
func (v *Proxy) counters() []zap.Field {
	fields := []zap.Field{zap.Int64("open", v.working.Load())}
	v.statuses.Range(func(status int, c *xsync.Counter) bool {
		fields = append(fields, zap.Int64("answers_"+statusName(status), c.Value()))
		return true
	})
	return fields
}

func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status)
}
