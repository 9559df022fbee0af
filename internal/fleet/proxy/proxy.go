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
	ctx              context.Context
	settings         settings.Settings
	log              *zap.Logger
	pool             interface{ Close() } // the way to a backend is its plot's alone
	gate             *residency.Gate
	ready            atomic.Bool   // a configuration and a list are there
	becameReady      chan struct{} // closed when they first are
	snapshot         atomic.Pointer[routingSnapshot]
	lifecycle        *lifecycle.Machine
	inFlight         atomic.Int64
	shutdown         gracefulShutdown
	background       sync.WaitGroup
	answersByStatus  *xsync.Map[int, *xsync.Counter]
	residency        *residencyTracker
	residencyReports *distribution.ResidencyOutbox // batches of the ledger, until they are kept
	outcomes         *distribution.OutcomeQueue

	// What follows belongs to the feed's goroutine.
	versions     map[string]distribution.Version
	services     map[string]*service
	doc          *routingconfig.Document
	docSince     time.Time // when that came into force
	list         distribution.BackendList
	listReceived bool
	proxies      int
	// neighbours is how many of the proxies are in this one's zone.
	zoneProxies int
}

// routingSnapshot is what requests are served by, replaced whole.
type routingSnapshot struct {
	index            *routingconfig.Index
	limits           *routingconfig.Limits
	services         map[string]*service
	version          int64
	proxies          int                        // of the fleet, as the control plane counts them
	residencyByRoute map[string]*routeResidency // of enclosed routes, by name
	termsByTenant    map[string]residency.Terms // by name
}

// assumedProxies stands for how many proxies there are until that is known.
const assumedProxies = 16

// reservedFiles is how many descriptors are kept for what is no connection to a backend or client (DEPLOY: 200 for files).
const reservedFiles = 260

// New makes a proxy that knows nothing yet.
func New(ctx context.Context, set settings.Settings, log *zap.Logger) *Proxy {
	files := set.Limits.Files
	if files <= 0 {
		files = 1024
	}
	connSlots := max(files-reservedFiles, 64)
	p := &Proxy{ctx: ctx, settings: set, log: log, lifecycle: lifecycle.New(), becameReady: make(chan struct{}), versions: map[string]distribution.Version{}, services: map[string]*service{}, proxies: assumedProxies, zoneProxies: assumedProxies,
		answersByStatus: xsync.NewMap[int, *xsync.Counter](), residency: newResidencyTracker(), residencyReports: distribution.NewResidencyOutbox(), outcomes: distribution.NewOutcomeQueue()}
	dialer := &net.Dialer{KeepAlive: -1, Control: sockets.UserTimeout(set.Bounds.Contact)}
	pool := transport.New(transport.Options{Dial: dialer.DialContext, Timeout: connectTimeout, Idle: 10 * time.Second, Most: connSlots / 2,
		Settle: time.Millisecond, Resting: 4})
	p.pool, p.gate = pool, residency.NewGate(pool, set.Zones)
	return p
}

// countAnswer counts a final answer by its status; 0: broken off.
func (p *Proxy) countAnswer(status int) {
	c, _ := p.answersByStatus.LoadOrCompute(status, func() (*xsync.Counter, bool) { return xsync.NewCounter(), false })
	c.Inc()
}

// Ready tells whether requests can be served: a configuration and a list are there.
func (p *Proxy) Ready() bool {
	return p.ready.Load() && !p.lifecycle.Leaving()
}

// Run serves until ctx ends, then finishes what it holds within the platform's grace.
func (p *Proxy) Run(ctx context.Context) error {
	if p.settings.Bind.Edge == "" || p.settings.Bind.Ready == "" {
		return errors.New("bind: edge and readyz must be given")
	}
	edge, err := sockets.Listen(ctx, p.settings.Bind.Edge, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for clients")
	}
	ready, err := sockets.Listen(ctx, p.settings.Bind.Ready, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for readiness")
	}
	readiness := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !p.lifecycle.AnswerReady(p.Ready()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}), ReadHeaderTimeout: 2 * time.Second}
	go func() { _ = readiness.Serve(ready) }()
	server := p.clientServer()
	p.log.Info("started")
	p.lifecycle.Open()
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(clientListener{edge, p.clientTimeouts}) }()
	go p.followNodeAgent(ctx)
	go p.logCounters(ctx)
	go p.reportOutcomes(ctx)
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	p.drainAndClose(server)
	p.flushResidencyReports()
	_ = readiness.Close()
	return nil
}

// logChanges writes counters now and then.
func (p *Proxy) logCounters(ctx context.Context) {
	tick := time.NewTicker(10 * time.Second)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		p.log.Info("counters", p.counters()...)
		p.residency.logChanges(p.log)
	}
}

// counters are what the log tells of the requests: how many are under way, and the answers by their status.
func (p *Proxy) counters() []zap.Field {
	fields := []zap.Field{zap.Int64("open", p.inFlight.Load())}
	p.answersByStatus.Range(func(status int, c *xsync.Counter) bool {
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
