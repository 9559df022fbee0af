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
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/settings"
	"molepaddle/internal/fleet/statestore"
)

// Server is one core machine's program.
type Server struct {
	// Readings is the least time between two readings of where tenants' data rested; New sets DefaultReadings.
	Readings time.Duration

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
	if state.Lost {
		log.Warn("the disk's content can't be trusted and counts as lost", zap.Error(a.Broken()))
	}
	o := &Server{Readings: DefaultReadings, set: set, log: log, start: time.Now(), store: distribution.NewCache(), archive: a, record: &record{},
		heard:  xsync.NewMap[string, time.Time](),
		inputs: make(chan func(time.Duration) replication.Output, 1024), waiting: map[uint64]chan<- replication.Answer{}, writing: make(chan struct{}, 1)}
	var seeds []string
	for _, s := range set.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			seeds = append(seeds, distribution.CoreAddr(host, set.Ports))
		}
	}
	o.machine, err = replication.New(replication.Options{Self: self,
		Survive: replication.Survive{Nodes: set.Survive.Nodes, Zones: set.Survive.Zones, Regions: set.Survive.Regions},
		Seeds:   seeds, Bootstrap: set.Bootstrap,
		BeatEvery: beatEvery, SuspectAfter: suspectAfter, StaggerEach: staggerEach, WriteWithin: writeWithin,
		ForgetAfter: set.Bounds.Sync, Rand: random}, state, o.record)
	if err != nil {
		return nil, errors.Wrap(err, "record")
	}
	o.peers = newPeers(self.Addr, log)
	st := o.machine.Status()
	o.status.Store(&st)
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
	core, err := net.Listen("tcp", distribution.CoreAddr(o.set.IP, o.set.Ports))
	if err != nil {
		return errors.Wrap(err, "listen for the core")
	}
	pulls, err := net.Listen("tcp", distribution.PullAddr(o.set.IP, o.set.Ports))
	if err != nil {
		return errors.Wrap(err, "listen for pulls")
	}
	control, err := net.Listen("tcp", o.set.Bind.Control)
	if err != nil {
		return errors.Wrap(err, "listen for the operator")
	}
	server := &http.Server{Handler: o.handler(), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: 10 * time.Second, ErrorLog: zap.NewStdLog(o.log)}
	go func() { _ = server.Serve(control) }()
	go o.peers.serve(ctx, core, func(from string, m *replication.Message) {
		o.hears(from, time.Now())
		select {
		case o.inputs <- func(now time.Duration) replication.Output { return o.machine.Receive(now, from, m) }:
		default: // messages may be lost
		}
	})
	go o.servePulls(ctx, pulls)
	go o.relay(ctx)
	go o.poll(ctx)
	go o.read(ctx)
	stop := context.AfterFunc(ctx, func() {
		core.Close()
		pulls.Close()
	})
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

// drive handles inputs one by one: what is to be on disk is there before anything is sent or answered.
func (o *Server) drive(ctx context.Context) {
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		var out replication.Output
		select {
		case <-ctx.Done():
			return
		case in := <-o.inputs:
			out = in(time.Since(o.start))
		case <-next.C:
			out = o.machine.Tick(time.Since(o.start))
		}
		o.carryOut(ctx, &out)
		next.Reset(max(o.machine.Next()-time.Since(o.start), 0))
	}
}

func (o *Server) carryOut(ctx context.Context, out *replication.Output) {
	for pause := 50 * time.Millisecond; !out.Write.Empty(); {
		err := o.archive.Save(out.Write)
		if err == nil {
			break
		}
		o.log.Error("the disk takes no write; tried again", zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
	}
	for _, e := range out.Send {
		o.peers.send(e.To, e.Msg)
	}
	o.settle(out.Committed)
	for _, a := range out.Answer {
		if c := o.waiting[a.Token]; c != nil {
			delete(o.waiting, a.Token)
			c <- a
		}
	}
	if out.Changed {
		st := o.machine.Status()
		was := o.status.Swap(&st)
		next := make(chan struct{})
		close(*o.changed.Swap(&next))
		if was.Epoch != st.Epoch || was.Role != st.Role || was.Ready != st.Ready {
			o.log.Info("view", zap.Uint64("epoch", st.Epoch), zap.Stringer("role", st.Role), zap.Bool("ready", st.Ready), zap.String("primary", st.PrimaryAddr),
				zap.Int("members", len(st.View.Members)), zap.Int("backups", len(st.View.Backups)))
		}
	}
}

// settle makes committed state known: to readers, and at the primary to those that pull.
func (o *Server) settle(committed uint64) {
	done := o.record.settle(committed)
	if len(done) == 0 {
		return
	}
	last := &done[len(done)-1]
	was := o.settled.Load()
	if was != nil && was.seq >= last.seq {
		return
	}
	defer o.settled.Store(last)
	var docs []*applied // that brought a configuration
	from := uint64(0)
	if was != nil {
		from = was.docSeq
	}
	for i := range done {
		if d := &done[i]; d.doc != nil && d.docSeq > from {
			docs, from = append(docs, d), d.docSeq
		}
	}
	if len(docs) == 0 {
		return // a reading, say
	}
	for i, d := range docs {
		if !o.publishChange(was, d) && i == len(docs)-1 {
			o.store.Set(distribution.SourceConfig, distribution.Version{Count: d.docSeq}, d.doc.Show())
		}
		was = d
	}
	o.noteSettled(last, time.Now())
	o.log.Info("configuration settled", zap.Uint64("seq", last.docSeq), zap.Int64("version", versionOf(last.doc)))
}

// publishChange passes a committed change on to those that pull. It reports false where the change isn't known or doesn't
// follow on what was published before: then the whole is due.
func (o *Server) publishChange(was, d *applied) bool {
	if was == nil || d.call == nil || d.before != was.docSeq {
		return false
	}
	at := distribution.Version{Count: d.docSeq}
	change := distribution.Change{At: at, Replace: d.call.Replace, Body: d.call.Body}
	return o.store.Append(distribution.SourceConfig, distribution.Version{Count: was.docSeq}, at, change, d.doc.Show)
}

func versionOf(d *routingconfig.Document) int64 {
	if d == nil {
		return 0
	}
	return d.Version()
}

// ask hands the machine an input with a token and waits for its answer.
func (o *Server) ask(ctx context.Context, do func(now time.Duration, token uint64) replication.Output) (replication.Answer, error) {
	c := make(chan replication.Answer, 1)
	in := func(now time.Duration) replication.Output {
		o.token++
		token := o.token
		o.waiting[token] = c
		context.AfterFunc(ctx, func() {
			select {
			case o.inputs <- func(now time.Duration) replication.Output { delete(o.waiting, token); return o.machine.Tick(now) }:
			default:
			}
		})
		return do(now, token)
	}
	select {
	case o.inputs <- in:
	case <-ctx.Done():
		return replication.Answer{}, ctx.Err()
	}
	select {
	case a := <-c:
		return a, nil
	case <-ctx.Done():
		return replication.Answer{}, ctx.Err()
	}
}
