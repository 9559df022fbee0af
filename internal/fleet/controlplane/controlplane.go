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
	// Readings is the least time between two readings of where tenants' data rested; New sets DefaultReadings.
	Readings time.Duration
	// Dial connects to other core machines; New sets distribution.Dial. Tests put a network of their own between.
	Dial distribution.DialFunc

	set     settings.Settings
	log     *zap.Logger
	start   time.Time
	store   *distribution.Cache
	archive *statestore.Store
	machine *replication.Machine
	record  *record
	peers   *peers
	inputs  chan func(now time.Duration) replication.Output
	status  atomic.Pointer[replication.Status]
	changed atomic.Pointer[chan struct{}] // closed when the status next changes
	settled atomic.Pointer[applied]       // newest committed state
	newest  atomic.Pointer[settledDoc]    // which configuration that has, and since when
	polls   atomic.Pointer[polls]         // what the poller did last, as primary
	heard   *xsync.Map[string, time.Time] // when another core machine was last heard, by its address among the core
	contact *contact                      // with the primary, or as primary with the backups

	// What follows belongs to the driver's goroutine.
	waiting map[uint64]chan<- replication.Answer
	token   uint64
	writing chan struct{} // one change at a time; holds one value
}

const (
	beatEvery    = 150 * time.Millisecond
	suspectAfter = 700 * time.Millisecond
	staggerEach  = 250 * time.Millisecond
	writeWithin  = 600 * time.Millisecond
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
		log.Warn("the disk's content can't be trusted and counts as lost", zap.Error(a.Broken()))
	}
	o := &Server{Readings: DefaultReadings, Dial: distribution.Dial, set: set, log: log, start: time.Now(), store: distribution.NewCache(), archive: a, record: &record{},
		heard: xsync.NewMap[string, time.Time](), contact: newContact(time.Now()),
		inputs: make(chan func(time.Duration) replication.Output, 1024), waiting: map[uint64]chan<- replication.Answer{}, writing: make(chan struct{}, 1)}
	var seeds []string
	for _, s := range set.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			seeds = append(seeds, distribution.CoreAddr(host, set.Ports))
		}
	}
	o.machine, err = replication.New(replication.Options{Self: self,
		Tolerance: replication.FailureTolerance{Nodes: set.Survive.Nodes, Zones: set.Survive.Zones, Regions: set.Survive.Regions},
		Seeds:     seeds, Bootstrap: set.Bootstrap,
		HeartbeatInterval: beatEvery, ElectionTimeout: suspectAfter, ElectionStagger: staggerEach, WriteTimeout: writeWithin,
		MemberTimeout: set.Bounds.Sync, Rand: random}, state, o.record)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	o.peers = newPeers(self.Addr, log, func(addr string, within time.Duration) (net.Conn, error) { return o.Dial(addr, within) })
	st := o.machine.Status()
	o.status.Store(&st)
	o.publishCore(&st)
	changed := make(chan struct{})
	o.changed.Store(&changed)
	return o, nil
}

// watch gives the status, and what is closed when it next changes.
func (o *Server) watch() (*replication.Status, <-chan struct{}) {
	changed := o.changed.Load()
	return o.status.Load(), *changed
}

// Run serves until ctx ends and the core has taken over what this machine does.
func (o *Server) Run(ctx context.Context) error {
	ctx, stopServing := o.untilReleased(ctx)
	defer stopServing()
	if o.set.Bind.Control == "" {
		return errors.New("bind: ctl must be given")
	}
	core, err := sockets.Listen(ctx, distribution.CoreAddr(o.set.IP, o.set.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the core")
	}
	pulls, err := sockets.Listen(ctx, distribution.PullAddr(o.set.IP, o.set.Ports), sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for pulls")
	}
	control, err := sockets.Listen(ctx, o.set.Bind.Control, sockets.ListenWithin)
	if err != nil {
		return errors.Wrap(err, "listen for the operator")
	}
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(o.log)}
	go func() { _ = server.Serve(control) }()
	go o.peers.serve(ctx, core, o.receive, o.connectionEnded)
	go o.servePulls(ctx, pulls)
	go o.relay(ctx)
	go o.poll(ctx)
	go o.detectOutliers(ctx)
	go o.read(ctx)
	closeListeners := func() {
		core.Close()
		pulls.Close()
	}
	defer closeListeners()
	stop := context.AfterFunc(ctx, closeListeners)
	defer stop()
	o.log.Info("started")
	o.drive(ctx)
	end, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = server.Shutdown(end)
	if err := o.archive.Close(); err != nil {
		return errors.Wrap(err, "close state store")
	}
	return nil
}
