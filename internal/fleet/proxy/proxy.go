// Package proxy is the fleet's proxy, the data plane: it accepts clients' requests, finds their route, has `policy` and
// `scheduler` choose the backend, and copies the response back. It retries within the limits of the route and of the
// retry budget, and keeps residency-bound data inside its regions.
//
// It decides nothing about the fleet. Configuration, endpoint list, loads and ejections come from the node agent on the
// same machine, over loopback; while nothing comes, the proxy serves on with what it has.
//
// ServeHTTP may be called from any goroutine. A request keeps the routing snapshot that it began with; only its
// residency terms follow newer ones. A service's state is guarded by that service's lock. What the proxy has received
// from the node agent belongs to the goroutine of the configuration watch, which publishes it as one routing snapshot.
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
	// assumedProxies stands for the number of proxies until the control plane has reported it. It is on the high side,
	// as the retry budget is divided by it.
	assumedProxies = 16
	// defaultFiles is the limit of file descriptors where the settings give none.
	defaultFiles = 1024
	// reservedFiles is how many descriptors are kept for what is no connection to a backend or client (DEPLOY: 200 for
	// files).
	reservedFiles = 260
	// minConnSlots is how many connections there may be, however low the limit of descriptors.
	minConnSlots = 64
	// backendIdleTimeout is how long a connection to a backend is kept without use.
	backendIdleTimeout = 10 * time.Second
	// backendReuseDelay is how long a connection rests before its next use: surplus bytes of a response come right
	// behind it and are seen by then.
	backendReuseDelay = time.Millisecond
	// maxSettlingConns is how many connections to one backend may rest before an attempt waits for one of them rather
	// than opens another.
	maxSettlingConns = 4
	// readinessHeaderTimeout bounds the time in which the platform sends the header of a readiness check.
	readinessHeaderTimeout = 2 * time.Second
	// counterInterval is the time between two log lines of the counters.
	counterInterval = 10 * time.Second
)

// Proxy is one proxy process. Its fields are set by New and not replaced; what changes is guarded as said with each.
type Proxy struct {
	ctx      context.Context // of the process: calls that outlive their request end with it
	settings settings.Settings
	log      *zap.Logger

	// Serving. The pool is only closed here: connections are acquired through the gate, which checks residency terms.
	pool       interface{ Close() }
	gate       *residency.Gate
	snapshot   atomic.Pointer[routingSnapshot] // nil until the first configuration
	inFlight   atomic.Int64                    // requests under way
	background sync.WaitGroup                  // calls that release KV handles

	// Start and end of the process.
	lifecycle   *lifecycle.Machine
	ready       atomic.Bool   // a configuration and an endpoint list have come
	becameReady chan struct{} // closed when ready is first set
	shutdown    gracefulShutdown

	// Accounts.
	confirmed   atomic.Pointer[configConfirmation] // nil: never
	primaryHost atomic.Pointer[string]             // of the control plane; nil: not known
	quota       *quota.Client
	rejections  [rejectionReasons]atomic.Int64

	// Membership.
	lease             atomic.Pointer[distribution.Member] // as last renewed; nil before
	drainingAnnounced chan struct{}                       // holds a value until the push that says so

	// Reports.
	answersByStatus  *xsync.Map[int, *xsync.Counter] // final answers; 0: broken off
	residency        *residencyTracker
	residencyReports *distribution.ResidencyOutbox // batches of the residency log, until they are acknowledged
	outcomes         *distribution.OutcomeQueue    // results of attempts for the fleet's outlier detection

	configState
}

// New returns a proxy that has no configuration yet. It opens no socket; Run does. The context is that of the process,
// not of its service: what goes on while the proxy drains ends with it, calls that release KV handles among it.
func New(ctx context.Context, set settings.Settings, log *zap.Logger) *Proxy {
	files := set.Limits.Files
	if files <= 0 {
		files = defaultFiles
	}
	connSlots := max(files-reservedFiles, minConnSlots)
	dialer := &net.Dialer{
		KeepAlive: -1, // the user time-out finds dead machines, sooner
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
	// An incarnation is never 0; nobody guesses it, since nobody gains by it.
	holder := quota.NewHolder(quotaRule, set.NodeName, rand.Uint64()|1)
	p.quota = quota.NewClient(holder, p.quotaAddr, distribution.Dial)
	return p
}

// Ready reports whether requests can be served: a configuration and an endpoint list have come, and the proxy isn't
// draining.
func (p *Proxy) Ready() bool {
	return p.ready.Load() && !p.lifecycle.Leaving()
}

// Run serves clients and readiness checks until ctx ends, then drains within the platform's grace period. It follows
// the node agent to its end, so that a region that is withdrawn meanwhile reaches the streams under way, and returns
// once all that it began has ended. It returns an error if the settings name no address, if it can't listen, or if the
// listener of clients fails.
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
	stop() // the last residency reports have a watch of their own
	p.background.Wait()
	p.flushReports()
	p.pool.Close()
	return nil
}

// listeners are a proxy's sockets.
type listeners struct {
	edge  net.Listener // clients'
	ready net.Listener // of readiness checks
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

// readinessServer answers the platform's readiness checks: 200 if the proxy is ready, else 503. It serves on while the
// proxy drains, so that the platform sees it as not ready rather than as dead.
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

// countAnswer counts a final answer by its status; 0: it was broken off.
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

// counters returns the log fields of the requests under way and of the answers by status.
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

// statusName is the status as it stands in the name of a counter; "cut": the answer was broken off.
func statusName(status int) string {
	if status == 0 {
		return "cut"
	}
	return strconv.Itoa(status)
}
