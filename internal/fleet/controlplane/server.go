// Package controlplane is the control plane's program: the core machines that keep the record, poll the platform's
// list for all, and answer pulls and the operator. What is decided stands in replication; this is its driver.
package controlplane

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/puzpuzpuz/xsync/v4"
	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/statestore"
	"molepaddle/internal/protocol/sockets"
)

// Server is one core machine's program.
type Server struct {
	// Readings is the least time between two readings of where tenants' data rested; New sets DefaultResidencyInterval.
	ResidencyInterval time.Duration
	// Dial connects to other core machines; New sets distribution.Dial. Tests put a network of their own between.
	Dial distribution.DialFunc

	settings        settings.Settings
	log             *zap.Logger
	start           time.Time
	cache           *distribution.Cache
	storage         *statestore.Store
	replica         *replication.Machine
	state           *controlState
	transport       *transport
	inputs          chan func(now time.Duration) replication.Output
	status          atomic.Pointer[replication.Status]
	changed         atomic.Pointer[chan struct{}] // closed when the status next changes
	committed       atomic.Pointer[appliedState]  // newest committed state
	committedConfig atomic.Pointer[configCommit]  // which configuration that has, and since when
	lastPoll        atomic.Pointer[pollStatus]    // what the poller did last, as primary
	lastContact     *xsync.Map[string, time.Time] // when another core machine was last heard, by its address among the core
	contact         *contact                      // with the primary, or as primary with the backups

	// What follows belongs to the driver's goroutine.
	pendingAnswers map[uint64]chan<- replication.Answer
	lastToken      uint64
	changeSlot     chan struct{} // one change at a time; holds one value
}

const (
	heartbeatInterval = 150 * time.Millisecond
	electionTimeout   = 700 * time.Millisecond
	electionStagger   = 250 * time.Millisecond
	writeTimeout      = 600 * time.Millisecond
)

// New opens the disk and makes the program. A disk whose content can't be trusted counts as lost.
func New(set settings.Settings, log *zap.Logger, random func() uint64) (*Server, error) {
	if set.DataDir == "" {
		return nil, errors.New("datadir: a core machine needs a disk")
	}
	self := replication.Member{Addr: distribution.CoreAddr(set.IP, set.Ports), Zone: set.Zone, Region: set.Region}
	a, state, err := statestore.OpenFor(set.DataDir, self.Addr)
	if err != nil {
		return nil, errors.Wrap(err, "open state store")
	}
	if state.DiskLost {
		log.Warn("the disk's content can't be trusted and counts as lost", zap.Error(a.SetAsideCause()))
	}
	o := &Server{ResidencyInterval: DefaultResidencyInterval, Dial: distribution.Dial, settings: set, log: log, start: time.Now(), cache: distribution.NewCache(), storage: a, state: &controlState{},
		lastContact: xsync.NewMap[string, time.Time](), contact: newContact(time.Now()),
		inputs: make(chan func(time.Duration) replication.Output, 1024), pendingAnswers: map[uint64]chan<- replication.Answer{}, changeSlot: make(chan struct{}, 1)}
	var seeds []string
	for _, s := range set.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			seeds = append(seeds, distribution.CoreAddr(host, set.Ports))
		}
	}
	o.replica, err = replication.New(replication.Options{Self: self,
		Tolerance: replication.FailureTolerance{Nodes: set.Survive.Nodes, Zones: set.Survive.Zones, Regions: set.Survive.Regions},
		Seeds:     seeds, Bootstrap: set.Bootstrap,
		HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, ElectionStagger: electionStagger, WriteTimeout: writeTimeout,
		MemberTimeout: set.Bounds.Sync, Rand: random}, state, o.state)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	o.transport = newTransport(self.Addr, log, func(addr string, within time.Duration) (net.Conn, error) { return o.Dial(addr, within) })
	st := o.replica.Status()
	o.status.Store(&st)
	o.publishCoreMembers(&st)
	changed := make(chan struct{})
	o.changed.Store(&changed)
	return o, nil
}

// watch gives the status, and what is closed when it next changes.
func (s *Server) watch() (*replication.Status, <-chan struct{}) {
	changed := s.changed.Load()
	return s.status.Load(), *changed
}

// Run serves until ctx ends and the core has taken over what this machine does.
func (s *Server) Run(ctx context.Context) error {
	ctx, stopServing := s.serveUntilReleased(ctx)
	defer stopServing()
	if s.settings.Bind.Control == "" {
		return errors.New("bind: ctl must be given")
	}
	core, err := sockets.Listen(ctx, distribution.CoreAddr(s.settings.IP, s.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the core")
	}
	pulls, err := sockets.Listen(ctx, distribution.PullAddr(s.settings.IP, s.settings.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for pulls")
	}
	control, err := sockets.Listen(ctx, s.settings.Bind.Control, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the operator")
	}
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(s.log)}
	go func() { _ = server.Serve(control) }()
	go s.transport.serve(ctx, core, s.receive, s.peerDisconnected)
	go s.servePulls(ctx, pulls)
	go s.followPrimary(ctx)
	go s.poll(ctx)
	go s.detectOutliers(ctx)
	go s.recordResidency(ctx)
	closeListeners := func() {
		core.Close()
		pulls.Close()
	}
	defer closeListeners()
	stop := context.AfterFunc(ctx, closeListeners)
	defer stop()
	s.log.Info("started")
	s.drive(ctx)
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.Shutdown(end)
	if err := s.storage.Close(); err != nil {
		return errors.Wrap(err, "close state store")
	}
	return nil
}
