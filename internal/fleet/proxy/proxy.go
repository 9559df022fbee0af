// Package proxy implements the fleet's reverse proxy, the data plane. It accepts client requests, finds their route,
// selects a backend with `policy` and `scheduler`, and copies the response back. It retries within the limits of the
// route and of the retry budget, and keeps residency-bound data inside its regions.
//
// The proxy makes no decisions for the fleet. Configuration, endpoint list, loads and ejections come from the node
// agent on the same machine, over loopback. While the node agent is unreachable, the proxy keeps serving with the state
// that it has.
//
// ServeHTTP may be called from any goroutine. A request keeps the routing snapshot that it started with; only its
// residency terms follow newer ones. The state of a service is guarded by that service's lock. The state received from
// the node agent belongs to the goroutine of the configuration watch, which publishes it as one routing snapshot.
package proxy

import (
	"context"
	"math/rand/v2"
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
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/transport"
)

const (
	// assumedProxies is the assumed number of proxies until the control plane has reported it. It is on the high side,
	// as the retry budget is divided by it.
	assumedProxies = 16
	// defaultFiles is the limit of file descriptors if the settings specify none.
	defaultFiles = 1024
	// reservedFiles is the number of descriptors reserved for uses other than connections to backends and clients
	// (DEPLOY: 200 for files).
	reservedFiles = 260
	// minConnSlots is the least number of connections allowed, however low the descriptor limit.
	minConnSlots = 64
	// backendIdleTimeout is how long an unused connection to a backend is kept.
	backendIdleTimeout = 10 * time.Second
	// backendReuseDelay is how long a returned connection waits before it is reused. Surplus bytes of a response arrive
	// right behind it, and are detected by then.
	backendReuseDelay = time.Millisecond
	// maxSettlingConns is how many connections to one backend may be within backendReuseDelay before an attempt waits
	// for one of them instead of opening another.
	maxSettlingConns = 4
	// readinessHeaderTimeout bounds the time that the platform may take to send the header of a readiness check.
	readinessHeaderTimeout = 2 * time.Second
	// counterInterval is the time between two log lines with the counters.
	counterInterval = 10 * time.Second
)

// Proxy is one proxy process. Its fields are set by New and not replaced. configState belongs to the goroutine of the
// configuration watch; all other state may be accessed from any goroutine.
type Proxy struct {
	ctx      context.Context // process lifetime: calls that outlive their request end with it
	settings settings.Settings
	log      *zap.Logger

	// Serving. The pool is only closed here: connections are acquired through the gate, which checks residency terms.
	pool       interface{ Close() }
	gate       *residency.Gate
	snapshot   atomic.Pointer[routingSnapshot] // nil until the first configuration
	inFlight   atomic.Int64                    // requests in flight
	background sync.WaitGroup                  // calls that release KV handles

	// Start and end of the process.
	lifecycle   *lifecycle.Machine
	ready       atomic.Bool   // a configuration and an endpoint list have been received
	becameReady chan struct{} // closed when ready is first set
	shutdown    gracefulShutdown
	requests    context.Context         // parent of the contexts of all requests
	abort       context.CancelCauseFunc // ends the requests in flight

	// Accounts.
	confirmed   atomic.Pointer[configConfirmation] // nil: never confirmed
	primaryHost atomic.Pointer[string]             // host of the primary control server; nil: unknown
	quota       *quota.Client
	rejections  [rejectionReasons]atomic.Int64

	// Membership.
	lease             atomic.Pointer[distribution.Member] // as last renewed; nil before the first renewal
	drainingAnnounced chan struct{}                       // holds a value until the draining state has been pushed

	// Reports.
	answersByStatus  *xsync.Map[int, *xsync.Counter] // final responses; status 0: aborted
	residency        *residencyTracker
	residencyReports *distribution.ResidencyOutbox // batches of the residency log awaiting acknowledgement
	outcomes         *distribution.OutcomeQueue    // attempt results for the fleet's outlier detection

	configState
}

// New returns a proxy that has no configuration yet. It opens no socket; Run does. ctx is the lifetime of the process,
// not of serving: work that continues while the proxy drains, such as calls that release KV handles, ends with ctx.
func New(ctx context.Context, set settings.Settings, log *zap.Logger) *Proxy {
	files := set.Limits.Files
	if files <= 0 {
		files = defaultFiles
	}
	connSlots := max(files-reservedFiles, minConnSlots)
	dialer := &net.Dialer{
		KeepAlive: -1, // TCP_USER_TIMEOUT detects unreachable hosts sooner
		Control:   sockets.UserTimeout(set.Bounds.Contact),
	}
	pool := transport.New(transport.Options{
		Dial:    dialer.DialContext,
		Timeout: connectTimeout,
		Idle:    backendIdleTimeout,
		Most:    connSlots / 2, // the other half is for clients
		Settle:  backendReuseDelay,
		Resting: maxSettlingConns,
	})
	quotaRule := quota.NewRule(&set.Bounds)
	p := &Proxy{
		ctx:         ctx,
		settings:    set,
		log:         log,
		pool:        pool,
		gate:        residency.NewGate(pool, set.Zones),
		lifecycle:   lifecycle.New(),
		becameReady: make(chan struct{}),

		drainingAnnounced: make(chan struct{}, 1),

		answersByStatus:  xsync.NewMap[int, *xsync.Counter](),
		residency:        newResidencyTracker(),
		residencyReports: distribution.NewResidencyOutbox(),
		outcomes:         distribution.NewOutcomeQueue(),
		configState: configState{
			versions:    map[string]distribution.Version{},
			services:    map[string]*service{},
			proxies:     assumedProxies,
			zoneProxies: assumedProxies,
			quotaRule:   quotaRule,
		},
	}
	// An incarnation is never 0. It need not be unpredictable, as guessing it gives no advantage.
	holder := quota.NewHolder(quotaRule, set.NodeName, rand.Uint64()|1)
	p.requests, p.abort = context.WithCancelCause(context.WithoutCancel(ctx))
	p.quota = quota.NewClient(holder, p.quotaAddr, distribution.Dial)
	return p
}

// Ready reports whether requests can be served: a configuration and an endpoint list have been received, and the proxy
// is not draining.
func (p *Proxy) Ready() bool {
	return p.ready.Load() && !p.lifecycle.Leaving()
}

// Run serves clients and readiness checks until ctx ends, then drains within the platform's grace period. It follows
// the node agent until the drain has ended, so that the withdrawal of a region still reaches streams in flight, and
// returns once everything that it started has ended. It returns an error if the settings specify no address, if it
// cannot listen, or if serving clients fails.
func (p *Proxy) Run(ctx context.Context) error {
	listeners, err := p.listen(ctx)
	if err != nil {
		return err
	}
	readiness := p.readinessServer()
	server := p.clientServer()
	running, stop := context.WithCancel(p.ctx)
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = readiness.Serve(listeners.ready) })
	tasks.Go(func() { p.followNodeAgent(running) })
	tasks.Go(func() { p.quota.Run(running) })
	tasks.Go(func() { p.logCounters(running) })
	tasks.Go(func() { p.reportOutcomes(running) })
	defer tasks.Wait()
	defer stop()
	defer func() { _ = readiness.Close() }()
	p.log.Info("started")
	p.lifecycle.Open()
	failed := make(chan error, 1)
	clients := clientListener{
		Listener: listeners.edge,
		timeouts: p.clientTimeouts,
		accepted: p.shutdown.connected,
	}
	tasks.Go(func() { failed <- server.Serve(clients) })
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	p.drainAndClose(server)
	stop() // flushReports sends the last residency reports over a watch of its own
	p.background.Wait()
	p.flushReports()
	p.pool.Close()
	return nil
}

// listeners holds a proxy's listening sockets.
type listeners struct {
	edge  net.Listener // for clients
	ready net.Listener // for readiness checks
}

// listen opens the proxy's sockets: all of them, or none and an error.
func (p *Proxy) listen(ctx context.Context) (listeners, error) {
	bind := p.settings.Bind
	if bind.Edge == "" || bind.Ready == "" {
		return listeners{}, errors.New("bind: edge and readyz must be given")
	}
	edge, err := sockets.Listen(ctx, bind.Edge, sockets.ListenWithin)
	if err != nil {
		return listeners{}, errors.Wrap(err, "listen for clients")
	}
	ready, err := sockets.Listen(ctx, bind.Ready, sockets.ListenWithin)
	if err != nil {
		_ = edge.Close() // nothing was accepted
		return listeners{}, errors.Wrap(err, "listen for readiness")
	}
	return listeners{edge: edge, ready: ready}, nil
}

// readinessServer returns the server for the platform's readiness checks: 200 if the proxy is ready, else 503. It keeps
// serving while the proxy drains, so that the platform sees the proxy as not ready rather than as down.
func (p *Proxy) readinessServer() *http.Server {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		if !p.lifecycle.AnswerReady(p.Ready()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	return &http.Server{
		Handler:           http.HandlerFunc(answer),
		ReadHeaderTimeout: readinessHeaderTimeout,
	}
}

// countAnswer counts a final response by its status; 0: it was aborted.
func (p *Proxy) countAnswer(status int) {
	newCounter := func() (*xsync.Counter, bool) { return xsync.NewCounter(), false }
	counter, _ := p.answersByStatus.LoadOrCompute(status, newCounter)
	counter.Inc()
}

// logCounters logs the counters and the changed entries of the residency log every counterInterval, until ctx ends.
func (p *Proxy) logCounters(ctx context.Context) {
	tick := time.NewTicker(counterInterval)
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

// counters returns log fields for the requests in flight, the responses by status and the rejections by reason.
func (p *Proxy) counters() []zap.Field {
	fields := []zap.Field{zap.Int64("open", p.inFlight.Load())}
	p.answersByStatus.Range(func(status int, c *xsync.Counter) bool {
		fields = append(fields, zap.Int64("answers_"+statusName(status), c.Value()))
		return true
	})
	for reason := range rejectionReasons {
		if n := p.rejections[reason].Load(); n > 0 {
			fields = append(fields, zap.Int64("rejected_"+reason.String(), n))
		}
	}
	return fields
}

// statusName returns the status as used in counter names; "cut" for an aborted response.
func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status)
}
