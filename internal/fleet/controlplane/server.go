// Package controlplane implements the control server of a core machine. The core machines replicate the control state
// (the operator's configuration, the residency record and the quota ceilings), poll the platform's list of backends for
// all machines of the fleet, and serve configuration pulls of node agents and operator calls.
//
// It makes no replication decisions: package replication is a state machine without I/O, and Server.drive is its
// driver, which saves, sends, publishes and answers that machine's output, in this order. Nor does it route requests:
// package proxy does that, from what this package publishes.
//
// New and Run are called once each, in this order, by one goroutine; everything else is internal. Within a Server the
// replica, its state and the state store belong to the driver's goroutine; what other goroutines read is published
// through atomic pointers (see the groups of Server's fields).
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/puzpuzpuz/xsync/v4"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/statestore"
	"molepaddle/internal/protocol/sockets"
)

const (
	// heartbeatInterval is the time between two heartbeats of the primary.
	heartbeatInterval = 150 * time.Millisecond
	// electionTimeout is how long a primary or backup may be silent before it is considered failed: several heartbeats.
	electionTimeout = 700 * time.Millisecond
	// electionStagger is the additional time that each further backup waits, so that backups don't compete for the next
	// view.
	electionStagger = 250 * time.Millisecond
	// writeTimeout is how long a backup may take to acknowledge a change before the next view excludes it.
	writeTimeout = 600 * time.Millisecond

	// inputQueueLength bounds the driver's input queue. If it is full messages are dropped and calls wait.
	inputQueueLength = 1024

	// headerTimeout and idleTimeout bound an operator's connection; shutdownTimeout bounds the shutdown of open ones.
	headerTimeout   = 3 * time.Second
	idleTimeout     = 10 * time.Second
	shutdownTimeout = time.Second
)

// Server is the control server of one core machine.
type Server struct {
	// ResidencyInterval is the minimum time between two writes of the residency record; New sets
	// DefaultResidencyInterval. It may be changed before Run.
	ResidencyInterval time.Duration
	// Dial connects to other core machines; New sets distribution.Dial. Tests replace it to simulate network faults. It
	// may be changed before Run.
	Dial distribution.DialFunc

	// Set by New and not reassigned; each value is safe for concurrent use.
	settings  settings.Settings
	log       *zap.Logger
	start     time.Time // origin of the replica's clock
	cache     *distribution.Cache
	transport *transport
	inputs    chan func(now time.Duration) replication.Output // executed one by one by the driver

	// Owned by the driver's goroutine.
	storage        *statestore.Store
	replica        *replication.Machine
	state          *controlState
	pendingAnswers map[uint64]chan<- replication.Answer // by token
	lastToken      uint64

	// Published by the driver for other goroutines. A status is stored before the channel that announces it is closed.
	status          atomic.Pointer[replication.Status]
	changed         atomic.Pointer[chan struct{}] // closed when the status next changes
	committed       atomic.Pointer[appliedState]  // newest committed state
	committedConfig atomic.Pointer[configCommit]  // newest committed configuration and its time

	// Other state shared between goroutines.
	contact     *contact                      // contact with the primary or, on the primary, with the backups
	lastContact *xsync.Map[string, time.Time] // last message of each other core machine, by its address within the core
	lastPoll    atomic.Pointer[pollStatus]    // result of the poller's last activity as primary
	changeSlot  chan struct{}                 // semaphore: one change at a time
	quota       *quota.Server                 // allocates tenants' quotas on the primary
	quotaRule   quota.Rule
}

// New opens the state store in set.DataDir, which blocks until its files are synced, and returns a server. An unusable
// state store is treated as a lost disk. random generates member identities, which must differ between machines and
// starts. If statestore.Transient reports true for the error, a later attempt may succeed.
func New(set settings.Settings, log *zap.Logger, random func() uint64) (*Server, error) {
	if set.DataDir == "" {
		return nil, errors.New("datadir: a core machine needs a disk")
	}
	self := replication.Member{Addr: distribution.CoreAddr(set.IP, set.Ports), Zone: set.Zone, Region: set.Region}
	storage, persisted, err := statestore.OpenFor(set.DataDir, self.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "open state store")
	}
	if persisted.DiskLost {
		log.Warn("state store is unusable and was set aside, treating the disk as lost",
			zap.Error(storage.SetAsideCause()))
	}
	s := &Server{
		ResidencyInterval: DefaultResidencyInterval,
		Dial:              distribution.Dial,
		settings:          set,
		log:               log,
		start:             time.Now(),
		cache:             distribution.NewCache(),
		inputs:            make(chan func(time.Duration) replication.Output, inputQueueLength),
		storage:           storage,
		state:             &controlState{},
		pendingAnswers:    map[uint64]chan<- replication.Answer{},
		contact:           newContact(time.Now()),
		lastContact:       xsync.NewMap[string, time.Time](),
		changeSlot:        make(chan struct{}, 1),
	}
	s.replica, err = replication.New(replicaOptions(&set, self, random), persisted, s.state)
	if err != nil {
		return nil, errors.Wrap(err, "start replica")
	}
	s.quotaRule = quota.NewRule(&set.Bounds)
	s.quota = quota.NewServer(s.quotaRule, leaderContactTimeout, s.leadsEpoch)
	dial := func(addr string, timeout time.Duration) (net.Conn, error) { return s.Dial(addr, timeout) }
	s.transport = newTransport(dial)
	st := s.replica.Status()
	s.status.Store(&st)
	s.publishCoreMembers(&st)
	changed := make(chan struct{})
	s.changed.Store(&changed)
	return s, nil
}

// replicaOptions returns a machine's options for package replication.
func replicaOptions(set *settings.Settings, self replication.Member, random func() uint64) replication.Options {
	var seeds []string
	for _, seed := range set.Seeds {
		if host, _, err := net.SplitHostPort(seed); err == nil {
			seeds = append(seeds, distribution.CoreAddr(host, set.Ports))
		}
	}
	return replication.Options{
		Self: self,
		Tolerance: replication.FailureTolerance{
			Nodes:   set.Survive.Nodes,
			Zones:   set.Survive.Zones,
			Regions: set.Survive.Regions,
		},
		Seeds:             seeds,
		Bootstrap:         set.Bootstrap,
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		ElectionStagger:   electionStagger,
		WriteTimeout:      writeTimeout,
		MemberTimeout:     set.Bounds.Sync,
		Rand:              random,
	}
}

// watch returns the current status, and a channel that is closed at the next change of the status.
func (s *Server) watch() (*replication.Status, <-chan struct{}) {
	changed := s.changed.Load()
	return s.status.Load(), *changed
}

// listeners are the listening sockets of a running server.
type listeners struct {
	core    net.Listener // messages of other core machines
	pulls   net.Listener // pulls of node agents and other control servers
	control net.Listener // operator calls
	quota   net.Listener // proxies' reports on tenants' quotas
}

// close closes the open sockets.
func (l *listeners) close() {
	for _, ln := range []net.Listener{l.core, l.pulls, l.control, l.quota} {
		if ln != nil {
			_ = ln.Close() // it may already be closed
		}
	}
}

// listen opens all sockets, or returns an error and leaves none open. If an address is in use it retries for
// sockets.ListenWithin.
func (s *Server) listen(ctx context.Context) (l listeners, err error) {
	if s.settings.Bind.Control == "" {
		return l, errors.New("bind: ctl must be given")
	}
	defer func() {
		if err != nil {
			l.close()
		}
	}()
	l.core, err = sockets.Listen(ctx, distribution.CoreAddr(s.settings.IP, s.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return l, errors.Wrap(err, "listen for the core")
	}
	l.pulls, err = sockets.Listen(ctx, distribution.PullAddr(s.settings.IP, s.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return l, errors.Wrap(err, "listen for pulls")
	}
	l.quota, err = sockets.Listen(ctx, distribution.QuotaAddr(s.settings.IP, s.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return l, errors.Wrap(err, "listen for quotas")
	}
	l.control, err = sockets.Listen(ctx, s.settings.Bind.Control, sockets.ListenWithin)
	if err != nil {
		return l, errors.Wrap(err, "listen for the operator")
	}
	return l, nil
}

// Run serves until ctx ends and the core has taken over this machine's roles, handOverTimeout later at most. It returns
// when its goroutines have ended, or shutdownTimeout later, with an error if a socket can't be opened or the state
// store can't be closed.
func (s *Server) Run(ctx context.Context) error {
	ctx, stopServing := s.serveUntilReleased(ctx)
	defer stopServing()
	l, err := s.listen(ctx)
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           s.handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          zap.NewStdLog(s.log),
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { _ = server.Serve(l.control) })
	tasks.Go(func() { s.transport.serve(ctx, l.core, s.receive, s.peerDisconnected) })
	tasks.Go(func() { s.servePulls(ctx, l.pulls) })
	tasks.Go(func() { s.quota.Serve(ctx, l.quota) })
	tasks.Go(func() { s.followPrimary(ctx) })
	tasks.Go(func() { s.poll(ctx) })
	tasks.Go(func() { s.detectOutliers(ctx) })
	tasks.Go(func() { s.recordResidency(ctx) })
	tasks.Go(func() { s.commitQuotaCeilings(ctx) })
	closeListeners := func() {
		l.core.Close()
		l.pulls.Close()
		l.quota.Close()
	}
	stop := context.AfterFunc(ctx, closeListeners)
	defer stop()
	s.log.Info("started")
	s.drive(ctx)
	end, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(end)
	if !waitTasks(end, &tasks) {
		s.log.Warn("shutdown timed out with tasks still running")
	}
	if err := s.storage.Close(); err != nil {
		return errors.Wrap(err, "close state store")
	}
	return nil
}

// waitTasks waits until all tasks have ended, and reports whether they ended before ctx did.
func waitTasks(ctx context.Context, tasks *sync.WaitGroup) bool {
	ended := make(chan struct{})
	go func() {
		tasks.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return true
	case <-ctx.Done():
		return false
	}
}
