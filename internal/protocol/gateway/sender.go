package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/crossing"
	"molepaddle/internal/decide/limit"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/link"
	"molepaddle/internal/protocol/linkwire"
	"molepaddle/internal/protocol/roster"
	"molepaddle/policy"
)

// Times configures the heartbeats, time-outs and reconnect delays of a link.
type Times struct {
	HeartbeatInterval time.Duration // interval between heartbeats on a connection
	StallAfter        time.Duration // time without a frame after which a connection counts as stalled
	DeadAfter         time.Duration // and after which it is closed
	RedialMin         time.Duration // wait before a lost connection is dialled again; doubled with each failure
	RedialMax         time.Duration // upper bound of that wait, before a jitter of 50 % either way
}

// DefaultTimes returns the times that apply when the operator's file sets none.
func DefaultTimes() Times {
	return Times{HeartbeatInterval: 50 * time.Millisecond, StallAfter: 250 * time.Millisecond,
		DeadAfter: 5 * time.Second,
		RedialMin: 100 * time.Millisecond, RedialMax: 5 * time.Second}
}

// Peer identifies a far gateway.
type Peer struct {
	Name    string // as in its certificate
	Address string
}

// SenderOptions configures a Sender.
type SenderOptions struct {
	Name     string // name of this gateway
	Site     string // name of the far site
	Peers    []Peer
	Conns    int           // connections to each peer
	Limits   limit.Options // limits of what is in flight to each peer; its classes are those of Settings
	Times    Times
	Settings *settings.Settings
	// ProofWithin is how long other gateways are queried about a non-idempotent crossing that was offered to a
	// process which has been replaced, before the crossing fails. The time for three queries is the minimum; with
	// a single peer, the crossing fails at once.
	ProofWithin time.Duration
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS returns the configuration for each dial to a peer; nil: no TLS, for loopback only.
	TLS  func(peer string) *tls.Config
	Seed uint64
	Log  *slog.Logger
}

// Sender is the near end of the links to one far site. It is a core's transport, whose servers are the
// far gateways, and the endpoint list that names them.
type Sender struct {
	opt    SenderOptions
	ctx    context.Context
	stop   context.CancelFunc
	clock  link.Clock
	inc    uint64
	began  time.Time
	wg     sync.WaitGroup
	peers  []*peer
	byName map[string]*peer

	notifyMu sync.Mutex // held while a list is read and sent to a core; taken before mu and before the core's lock

	mu      sync.Mutex
	seq     int64
	watches map[*listClient]bool
	avoided map[string]bool // names of peers to avoid; see Avoid
}

// NewSender returns a Sender without connections; Run opens them. It returns an error if the limits
// are invalid.
func NewSender(ctx context.Context, o SenderOptions) (*Sender, error) {
	s := &Sender{opt: o, began: time.Now(), clock: link.NewClock(), byName: map[string]*peer{},
		watches: map[*listClient]bool{}, seq: 1}
	s.ctx, s.stop = context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 0x6c696e6b))
	s.inc = newIncarnation(o.Seed)
	if len(o.Limits.Classes) == 0 {
		for range o.Settings.Classes {
			o.Limits.Classes = append(o.Limits.Classes, limit.Class{Share: 1 / float64(len(o.Settings.Classes))})
		}
	}
	for _, p := range o.Peers {
		lim, err := limit.New(o.Limits)
		if err != nil {
			s.stop()
			return nil, err
		}
		q := &peer{Peer: p, sender: s, limits: lim, conns: map[crossing.Conn]*senderConn{},
			open: map[uint64]*outboundCrossing{}, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		s.peers = append(s.peers, q)
		s.byName[p.Name] = q
	}
	return s, nil
}

// Run starts the goroutines that open and maintain the links, and returns.
func (s *Sender) Run() {
	for _, p := range s.peers {
		for range max(s.opt.Conns, 1) {
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				p.maintain()
			}()
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			p.monitor()
		}()
	}
}

// Close closes the links, fails the crossings that were not offered yet, and waits for the goroutines. Offered ones end
// with their attempts' contexts at the latest.
func (s *Sender) Close() {
	s.stop()
	s.wg.Wait()
}

// senderSettings returns a site's settings adapted for a core that sends to another site. A class
// whose deduplication does not span both sites counts as non-idempotent here: a request that may have
// run at the far site can't be retried from this one.
func senderSettings(set settings.Settings) settings.Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.Idempotency == settings.Deduplicated && c.DedupScope != settings.DedupAll {
			c.Idempotency = settings.NonIdempotent
		}
	}
	set.Membership = "pushed" // this program keeps the endpoint list
	set.Limits.HealthChecks = false
	set.Contract.SlowStartMs = 0 // a gateway has no slow start; its site does that for its servers
	set.LoadReport = settings.LoadReport{}
	return set
}

// InFlight returns the number of crossings without an outcome.
func (s *Sender) InFlight() (n int) {
	for _, p := range s.peers {
		p.mu.Lock()
		n += len(p.open)
		p.mu.Unlock()
	}
	return n
}

// Settings returns the settings for a core that sends to the far site.
func (s *Sender) Settings() settings.Settings { return senderSettings(*s.opt.Settings) }

// ---- the endpoint list of far gateways ----

// Known returns the current endpoint list. It needs no link to be up.
func (s *Sender) Known() cluster.List { return s.list() }

func (s *Sender) list() cluster.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := cluster.List{Seq: s.seq, Complete: true}
	for i, p := range s.peers {
		health := cluster.Draining
		if p.listed {
			health = cluster.Ready
		}
		l.Servers = append(l.Servers, cluster.Server{Dial: p.Name, Entry: cluster.Entry{Server: roster.AddrOf(p.Name),
			Zone: s.opt.Settings.Zone, Cell: i, Health: health, Weight: 1, SinceMs: p.since,
			Window: float64(s.opt.Limits.InitialWindow)}})
	}
	return l
}

// listClient is a core's subscription to the endpoint list.
type listClient struct {
	s    *Sender
	tell func(core.Update)
}

// NewRoster returns a client of the endpoint list; it ignores the address.
func (s *Sender) NewRoster(_ string, tell func(core.Update)) core.Roster { return &listClient{s, tell} }

func (l *listClient) Fetch(bool) { go l.s.notify(core.Fetched, l.tell) }

func (l *listClient) Watch(int64, bool) {
	l.s.mu.Lock()
	l.s.watches[l] = true
	l.s.mu.Unlock()
	go l.s.notify(core.Changed, l.tell)
}

func (l *listClient) Close() {
	l.s.mu.Lock()
	delete(l.s.watches, l)
	l.s.mu.Unlock()
}

// publish records whether a gateway is reachable and, if that has changed, sends the new list to all
// watches.
func (s *Sender) publish(p *peer, ready bool) {
	s.mu.Lock()
	if p.listed == ready {
		s.mu.Unlock()
		return
	}
	p.listed = ready
	if ready {
		// A new start time discards what the core learnt while the link was down or stalled.
		p.since = float64(time.Now().UnixMicro()) / 1000
	}
	s.seq++
	var tell []func(core.Update)
	for l := range s.watches {
		tell = append(tell, l.tell)
	}
	s.mu.Unlock()
	s.opt.Log.Info("far gateway reachability changed", "site", s.opt.Site, "peer", p.Name, "reachable", ready)
	for _, t := range tell {
		s.notify(core.Changed, t)
	}
}

// notify sends the current list to a core. A core applies each list that a watch reports, so lists are sent one at a
// time, and none overtakes a newer one. The caller holds no lock.
func (s *Sender) notify(kind core.UpdateKind, tell func(core.Update)) {
	s.notifyMu.Lock()
	defer s.notifyMu.Unlock()
	tell(core.Update{Kind: kind, List: s.list()})
}

// Avoid sets the names of the far gateways that a membership view says are better avoided. Nothing new
// is offered to them while another gateway is reachable; crossings in flight there continue.
func (s *Sender) Avoid(names []string) {
	s.mu.Lock()
	s.avoided = map[string]bool{}
	for _, n := range names {
		s.avoided[n] = true
	}
	s.mu.Unlock()
	for _, p := range s.peers {
		p.updateReachable()
	}
}

// avoids reports whether p is to be avoided, which requires another reachable gateway.
func (s *Sender) avoids(p *peer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.avoided[p.Name] {
		return false
	}
	for _, q := range s.peers {
		if q.listed && !s.avoided[q.Name] {
			return true
		}
	}
	return false
}

// ---- one far gateway ----

// peer is the state of a far gateway: its connections and the crossings offered to it, guarded by mu.
// The core is never called while mu is held.
type peer struct {
	Peer
	sender *Sender
	listed bool    // whether it is published as ready; under the sender's lock
	since  float64 // when it was last listed, Unix time in ms; under the sender's lock

	mu        sync.Mutex
	rng       *rand.Rand
	conns     map[crossing.Conn]*senderConn
	last      crossing.Conn
	inc       uint64 // incarnation of the far process on the latest connection
	number    uint64
	open      map[uint64]*outboundCrossing
	limits    *limit.Limiter
	acks      []uint64
	lastError string // why the last connection was lost or not opened
}

// senderConn is an open connection.
type senderConn struct {
	id      crossing.Conn
	link    *link.Conn
	inc     uint64
	out     int // crossings that were queued on it and have no outcome
	partial map[uint64]*linkwire.Ended
}

// outboundCrossing is one attempt that is sent to the far site.
type outboundCrossing struct {
	p          *peer
	num        uint64
	m          crossing.Sender
	a          *core.Attempt
	conn       *senderConn // connection on which it is queued or was offered
	inc        uint64
	lease      linkwire.Lease
	offeredAt  time.Time // when its offer was written
	queriedAt  time.Time // when another gateway was last queried about it
	queries    int       // number of queries to other gateways
	replacedAt time.Time // when the process that it was offered to was found replaced by another
	sent       int       // bytes of its body that were written
	ended      bool
	detach     func() bool
	timer      *time.Timer
}

var (
	errClosed      = errors.New("gateway is closing")
	errUnreachable = fmt.Errorf("no link to the far gateway: %w", core.ErrNoConnection)
	errWindowFull  = fmt.Errorf("crossing limit of the link is reached: %w", core.ErrNoConnection)
)

// maintain keeps one connection open, with backoff between dials, until the sender closes.
func (p *peer) maintain() {
	t := &p.sender.opt.Times
	wait := t.RedialMin
	for p.sender.ctx.Err() == nil {
		began := time.Now()
		c, err := p.connect()
		if err == nil {
			err = p.serve(c)
		}
		p.mu.Lock()
		p.lastError = fmt.Sprint(err)
		if time.Since(began) > t.RedialMax {
			wait = t.RedialMin
		}
		pause := time.Duration((0.5 + p.rng.Float64()) * float64(wait))
		p.mu.Unlock()
		p.sender.opt.Log.Warn("link lost or not established; dialling again", "peer", p.Name, "err", err, "again_in",
			pause.Round(time.Millisecond))
		wait = min(2*wait, t.RedialMax)
		select {
		case <-p.sender.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// connect dials the gateway, exchanges greetings and checks the peer's name.
func (p *peer) connect() (*senderConn, error) {
	s := p.sender
	ctx, cancel := context.WithTimeout(s.ctx, s.opt.Times.DeadAfter)
	defer cancel()
	conn, err := s.opt.Dial(ctx, "tcp", p.Address)
	if err != nil {
		return nil, err
	}
	if s.opt.TLS != nil {
		secure := tls.Client(conn, s.opt.TLS(p.Name))
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, err
		}
		conn = secure
	}
	c, err := link.Greet(ctx, conn, linkwire.Hello{Magic: linkwire.Magic, MinVersion: linkwire.MinVersion,
		MaxVersion: linkwire.MaxVersion,
		Name:       s.opt.Name, Incarnation: s.inc, Now: s.clock.Now()},
		link.Options{Clock: s.clock, HeartbeatInterval: s.opt.Times.HeartbeatInterval,
			DeadAfter: s.opt.Times.DeadAfter, Status: p.status})
	if err != nil {
		return nil, err
	}
	if c.Peer.Name != p.Name {
		err := fmt.Errorf("unexpected name of the far gateway: %q", c.Peer.Name)
		c.Close(err)
		return nil, err
	}
	return &senderConn{link: c, inc: c.Peer.Incarnation, partial: map[uint64]*linkwire.Ended{}}, nil
}

func (p *peer) status() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uint64(len(p.open)), false
}

// serve handles the frames of a connection until it is lost or the sender closes, and returns the reason.
func (p *peer) serve(c *senderConn) error {
	stop := context.AfterFunc(p.sender.ctx, func() { c.link.Close(errClosed) })
	defer stop()
	p.connUp(c)
	err := c.link.Run(func(f linkwire.Frame) error { return p.handleFrame(c, f) })
	p.connLost(c)
	return err
}

// deferredResults are results of ended attempts, to be delivered when no lock is held.
type deferredResults []func()

func (r deferredResults) run() {
	for _, f := range r {
		f()
	}
}

// connUp registers a new connection.
func (p *peer) connUp(c *senderConn) {
	p.mu.Lock()
	p.last++
	c.id = p.last
	p.conns[c.id] = c
	p.inc = c.inc
	p.limits.SetPeerLimits(int(min(c.link.Peer.Crossings, math.MaxInt32)), int64(min(c.link.Peer.Bytes, math.MaxInt64)))
	for _, x := range p.sorted() {
		switch {
		case x.inc == c.inc:
			p.send(x, x.m.ConnUp(c.id), c)
		case x.m.State != crossing.Queued && x.nonIdempotent() && p.connOf(x.inc, nil) == nil:
			// Another process answers, and no connection to the old one is left: no outcome will come
			// from it. A non-idempotent crossing fails unless another gateway knows its outcome. Others
			// wait for their lease to end, in case the old process is alive behind a partition.
			x.replacedAt = time.Now()
		}
	}
	p.mu.Unlock()
	p.updateReachable()
	p.queryOthers()
}

// nonIdempotent reports whether the request must not be retried once an attempt may have run.
func (x *outboundCrossing) nonIdempotent() bool {
	classes := x.p.sender.opt.Settings.Classes
	i := x.a.Request.Class
	return i < 0 || i >= len(classes) || classes[i].Idempotency == settings.NonIdempotent
}

// sorted returns the open crossings in the order of their numbers.
func (p *peer) sorted() []*outboundCrossing {
	all := make([]*outboundCrossing, 0, len(p.open))
	for _, x := range p.open {
		all = append(all, x)
	}
	slices.SortFunc(all, func(x, y *outboundCrossing) int { return int(int64(x.num) - int64(y.num)) })
	return all
}

// connOf returns the connection to a process that was opened first, skipping the connection in not; nil: none.
func (p *peer) connOf(inc uint64, not *senderConn) *senderConn {
	var best *senderConn
	for _, c := range p.conns {
		if c.inc == inc && c != not && (best == nil || c.id < best.id) {
			best = c
		}
	}
	return best
}

// send writes the message that a crossing's state machine returned.
func (p *peer) send(x *outboundCrossing, m crossing.Msg, c *senderConn) {
	switch m {
	case crossing.Query:
		c.link.Urgent(&linkwire.Fence{Number: x.num, Lease: x.lease})
	case crossing.Cancel:
		c.link.Urgent(&linkwire.Cancel{Number: x.num, Lease: x.lease})
	}
}

// connLost removes a connection. Crossings that were offered on it are asked about on another
// connection to the same process.
func (p *peer) connLost(c *senderConn) {
	var ends deferredResults
	p.mu.Lock()
	delete(p.conns, c.id)
	for _, x := range p.sorted() {
		if x.m.State == crossing.Queued {
			if x.conn == c {
				ends = append(ends, p.end(x, x.m.ExpireLease(), nil, errUnreachable))
			}
			continue
		}
		other := p.connOf(x.inc, c)
		id := crossing.Conn(0)
		if other != nil {
			id = other.id
		}
		p.send(x, x.m.ConnLost(c.id, id), other)
	}
	p.mu.Unlock()
	ends.run()
	p.updateReachable()
	p.queryOthers()
}

// handleFrame handles a frame of the far end.
func (p *peer) handleFrame(c *senderConn, f linkwire.Frame) error {
	var ends deferredResults
	var err error
	p.mu.Lock()
	switch f := f.(type) {
	case *linkwire.Ended:
		switch x := p.crossingFor(f.Number, c); {
		case uint64(len(f.Body)) < f.Size:
			if len(c.partial) >= p.sender.opt.Limits.MaxWindow {
				err = errors.New("more incomplete answers than crossings")
				break
			}
			c.partial[f.Number] = f
		case x != nil:
			ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), f, nil))
		}
	case *linkwire.Part:
		whole := c.partial[f.Number]
		if whole == nil || uint64(len(whole.Body)+len(f.Body)) > whole.Size {
			err = errors.New("part: no incomplete answer, or beyond its size")
			break
		}
		if whole.Body = append(whole.Body, f.Body...); uint64(len(whole.Body)) == whole.Size {
			delete(c.partial, f.Number)
			if x := p.crossingFor(f.Number, c); x != nil {
				ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), whole, nil))
			}
		}
	case *linkwire.Never:
		if x := p.crossingFor(f.Number, c); x != nil {
			ends = append(ends, p.end(x, x.m.Receive(crossing.NotStarted), f, nil))
		}
	case *linkwire.Begun, *linkwire.Unsure, *linkwire.Drain:
	case *linkwire.Verdict:
		if of := p.sender.byName[f.Holder]; of != nil {
			defer of.handleVerdict(f) // takes the other peer's lock, so p's must be released first
		}
	default:
		err = fmt.Errorf("unexpected frame of kind %d from the far end", f.Kind())
	}
	p.mu.Unlock()
	ends.run()
	if f.Kind() == linkwire.KindDrain {
		p.updateReachable()
	}
	return err
}

// crossingFor returns the crossing that a frame refers to: an open one that was offered to the process
// at the other end of c. It returns nil for crossings that have ended and for numbers that were never
// offered.
func (p *peer) crossingFor(num uint64, c *senderConn) *outboundCrossing {
	if x := p.open[num]; x != nil && x.inc == c.inc && x.m.State != crossing.Queued {
		return x
	}
	return nil
}

// end closes a crossing with its outcome. word is the frame of the far end that decided it, or one made
// from another gateway's Verdict, or nil; why is any other cause. The returned function delivers the result to
// the core and must be called without the lock.
func (p *peer) end(x *outboundCrossing, v crossing.Outcome, word linkwire.Frame, why error) func() {
	if v == crossing.Pending || x.ended {
		return func() {}
	}
	x.ended = true
	delete(p.open, x.num)
	x.conn.out--
	now := time.Now()
	p.limits.Release(x.a.Request.Class, size(x.a), now.Sub(p.sender.began), now.Sub(x.offeredAt),
		x.limitResult(v, word, why, now))
	if word != nil {
		if p.acks = append(p.acks, x.num); len(p.acks) >= ackAt {
			p.ack()
		}
	}
	var res core.Result
	spent := func(tries uint64) int { return min(max(int(tries)-1, 0), max(x.a.AttemptsLeft-1, 0)) }
	switch v {
	case crossing.Answered:
		f := word.(*linkwire.Ended)
		res = core.Result{Status: policy.Error, ExtraAttempts: spent(f.Attempts)}
		if f.Result == linkwire.Served {
			res.Status, res.Body, res.ContentType = policy.OK, f.Body, f.ContentType
		}
	case crossing.NeverRan:
		if f, ok := word.(*linkwire.Never); ok {
			res = core.Result{Status: policy.Full, ExtraAttempts: spent(f.Attempts)}
			if x.m.Cancelled {
				res.Status = policy.Cancelled // its client has gone: the far end is not overloaded
			}
		} else {
			res = x.a.FailedResult(why, true)
		}
	default:
		res = x.a.FailedResult(why, false)
		res.ExtraAttempts = max(x.a.AttemptsLeft-1, 0)
	}
	a, detach, timer := x.a, x.detach, x.timer
	return func() {
		if detach != nil {
			detach()
		}
		if timer != nil {
			timer.Stop()
		}
		a.End(res)
	}
}

// size returns the length of an attempt's body in bytes.
func size(a *core.Attempt) int64 { return int64(len(a.Request.Message.Body)) }

// limitResult returns what a crossing's outcome means for the limiter of requests in flight to the far
// end.
func (x *outboundCrossing) limitResult(v crossing.Outcome, word linkwire.Frame, why error, now time.Time) limit.Result {
	switch f := word.(type) {
	case *linkwire.Ended:
		return limit.Answered
	case *linkwire.Never:
		if f.Reason == linkwire.ReasonFull {
			return limit.Rejected
		}
		return limit.Ignored // a refusal by the far end's Balancer goes to this end's Balancer as a result
	}
	late := v == crossing.Lost && errors.Is(why, context.DeadlineExceeded) && x.m.On != 0
	if c := x.p.conns[x.conn.id]; late && c != nil {
		if st := c.link.State(); !st.Stalled(now, x.p.sender.opt.Times.StallAfter) {
			return limit.TimedOut
		}
	}
	return limit.Ignored // a stalled or lost link says nothing about the load of the far end
}

// updateReachable publishes whether the gateway can be sent to.
func (p *peer) updateReachable() {
	p.mu.Lock()
	ready := p.pickConn(time.Now()) != nil
	p.mu.Unlock()
	p.sender.publish(p, ready && !p.sender.avoids(p))
}

// pickConn returns the connection for the next offer: among those to the latest process that are
// neither stalled nor draining, the one with the fewest crossings in flight; nil: none.
func (p *peer) pickConn(now time.Time) *senderConn {
	var best *senderConn
	for _, c := range p.conns {
		st := c.link.State()
		if c.inc != p.inc || st.Draining || st.Stalled(now, p.sender.opt.Times.StallAfter) {
			continue
		}
		if best == nil || c.out < best.out || c.out == best.out && c.id < best.id {
			best = c
		}
	}
	return best
}

// monitor detects stalled connections and sends acknowledgements once per heartbeat interval.
func (p *peer) monitor() {
	tick := time.NewTicker(p.sender.opt.Times.HeartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-p.sender.ctx.Done():
			return
		case <-tick.C:
		}
		p.updateReachable()
		p.mu.Lock()
		p.ack()
		p.mu.Unlock()
		p.queryOthers()
	}
}

// queryInterval is the time between two queries to other gateways about the same crossing.
const queryInterval = 150 * time.Millisecond

// minQueries is the number of queries about a non-idempotent crossing whose process has been replaced that other
// gateways must have got, if they answer that they don't know, before the crossing fails.
const minQueries = 3

// unresolvable reports whether to stop waiting for the outcome of a crossing whose process has been
// replaced. The wait allows for other gateways that could answer but are still restarting.
func (x *outboundCrossing) unresolvable(now time.Time) bool {
	s := x.p.sender
	return !x.replacedAt.IsZero() && (len(s.peers) == 1 ||
		now.Sub(x.replacedAt) >= max(s.opt.ProofWithin, minQueries*queryInterval))
}

// queryOthers asks other gateways of the site about crossings that were offered to this one, where no
// connection to that process is alive: that process may have replicated its promise to run them, and the
// others may know the outcome.
func (p *peer) queryOthers() {
	now, after := time.Now(), p.sender.opt.Times.StallAfter
	var able []*senderConn
	for _, q := range p.sender.peers {
		if q == p {
			continue
		}
		q.mu.Lock()
		if live := q.liveConns(now, after); len(live) > 0 && live[0].link.Peer.MaxVersion >= 2 {
			able = append(able, live[0])
		}
		q.mu.Unlock()
	}
	var ends deferredResults
	defer func() { ends.run() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	live := map[uint64]bool{} // incarnations with a live connection
	for _, c := range p.liveConns(now, after) {
		live[c.inc] = true
	}
	for _, x := range p.sorted() {
		if x.m.State == crossing.Queued || !x.needsPromise() || now.Sub(x.queriedAt) < queryInterval || live[x.inc] {
			continue
		}
		if len(able) == 0 {
			if x.unresolvable(now) {
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
			continue
		}
		x.queriedAt = now
		able[x.queries%len(able)].link.Urgent(&linkwire.Query{Number: x.num, Holder: p.Name, Incarnation: x.inc,
			SinceUs: uint64(now.Sub(x.offeredAt).Microseconds())})
		x.queries++
	}
}

// liveConns returns the connections that are not stalled, in the order in which they were opened.
func (p *peer) liveConns(now time.Time, after time.Duration) (all []*senderConn) {
	for _, c := range p.conns {
		if st := c.link.State(); !st.Stalled(now, after) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *senderConn) int { return int(int64(a.id) - int64(b.id)) })
	return all
}

// needsPromise reports whether a far end that replicates promises does so before it starts such a
// crossing.
func (x *outboundCrossing) needsPromise() bool {
	classes := x.p.sender.opt.Settings.Classes
	i := x.a.Request.Class
	return i >= 0 && i < len(classes) && classes[i].Idempotency != settings.Idempotent
}

// handleVerdict handles another gateway's answer to a query about a crossing that was offered to this
// one.
func (p *peer) handleVerdict(f *linkwire.Verdict) {
	var ends deferredResults
	p.mu.Lock()
	if x := p.open[f.Number]; x != nil && x.inc == f.Incarnation && x.m.State != crossing.Queued {
		switch f.Outcome {
		case linkwire.VerdictNever:
			ends = append(ends, p.end(x, x.m.Receive(crossing.NotStarted),
				&linkwire.Never{Number: f.Number, Reason: linkwire.ReasonFenced}, nil))
		case linkwire.VerdictReplied:
			ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), &linkwire.Ended{Number: f.Number,
				Result: f.Result, Attempts: 1, ContentType: f.ContentType,
				Size: uint64(len(f.Body)), Body: f.Body}, nil))
		case linkwire.VerdictOver:
			if x.nonIdempotent() { // others wait for their lease: the process may be alive and running them
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
		case linkwire.VerdictUnsure:
			if x.queries >= minQueries && x.unresolvable(time.Now()) {
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
		}
	}
	p.mu.Unlock()
	ends.run()
}

// ackAt is the number of outcomes after which an acknowledgement is sent at once.
const ackAt = 128

// ack tells the far end which crossings have their outcomes, so that it can release the answers.
// They go to the current process only, which ignores numbers of a process that it replaced: if the old one still runs,
// its leases end them. Without a connection to the current process the numbers are dropped.
func (p *peer) ack() {
	if c := p.connOf(p.inc, nil); c != nil && len(p.acks) > 0 {
		c.link.Urgent(&linkwire.Ack{Numbers: p.acks})
	}
	p.acks = nil
}

// ---- the transport ----

// Endpoint returns the endpoint of the far gateway with the server's name.
func (s *Sender) Endpoint(of *cluster.Server) core.Endpoint { return &endpoint{s.byName[of.Dial]} }

type endpoint struct{ p *peer }

// CloseIdle does nothing: links stay open.
func (e *endpoint) CloseIdle() {}

// Retire does nothing: links stay open.
func (e *endpoint) Retire() {}

// Start queues the attempt's offer on a connection. The offer is written when the connection's writer
// reaches it.
func (e *endpoint) Start(a *core.Attempt) error {
	p := e.p
	if p == nil {
		return errUnreachable
	}
	p.mu.Lock()
	c := p.pickConn(time.Now())
	switch {
	case c == nil:
		p.mu.Unlock()
		return errUnreachable
	case !p.limits.Acquire(a.Request.Class, size(a)):
		p.mu.Unlock()
		return errWindowFull
	}
	p.number++
	x := &outboundCrossing{p: p, num: p.number, a: a, conn: c}
	p.open[x.num] = x
	c.out++
	x.detach = context.AfterFunc(a.Context(), x.cancelled)
	a.OnAbandoned = x.abandoned
	p.mu.Unlock()
	c.link.Bulk(x.write)
	return nil
}

// cancelled runs when the attempt's context ends.
func (x *outboundCrossing) cancelled() {
	p := x.p
	var end func()
	p.mu.Lock()
	if x.ended {
		p.mu.Unlock()
		return
	}
	if cause := context.Cause(x.a.Context()); errors.Is(cause, context.DeadlineExceeded) || p.sender.ctx.Err() != nil ||
		x.m.State == crossing.Queued {
		end = p.end(x, x.m.ExpireLease(), nil, cause)
	} else {
		// Until the far end confirms, or the lease ends, the request may be running there.
		x.sendCancel(false)
		x.timer = time.AfterFunc(time.Until(x.a.Deadline()), x.expire)
	}
	p.mu.Unlock()
	if end != nil {
		end()
	}
}

// sendCancel tells the far end that the client no longer waits; with keep, an attempt that has begun
// may finish. The caller holds the peer's lock.
func (x *outboundCrossing) sendCancel(keep bool) {
	c := x.p.connOf(x.inc, nil)
	id := crossing.Conn(0)
	if c != nil {
		id = c.id
	}
	m, _ := x.m.Cancel(id, keep)
	x.p.send(x, m, c)
}

// abandoned runs when the client has gone but an attempt that has begun may finish: the far end must
// not start what it still has queued.
func (x *outboundCrossing) abandoned() {
	x.p.mu.Lock()
	if !x.ended && x.m.State != crossing.Queued {
		x.sendCancel(true)
	}
	x.p.mu.Unlock()
}

// expire ends the crossing when the attempt's deadline, and with it the lease, has passed.
func (x *outboundCrossing) expire() {
	x.p.mu.Lock()
	end := x.p.end(x, x.m.ExpireLease(), nil, context.DeadlineExceeded)
	x.p.mu.Unlock()
	end()
}

// leaseMargin is subtracted from a lease, as is a thousandth of it, so that the lease ends before the
// near end's deadline despite clock drift between the two ends and the time that the answer takes to
// come back.
const leaseMargin = 2 * time.Millisecond

// leaseOf returns the lease of an attempt that is offered on a connection now, and false if no time is
// left for it.
func leaseOf(a *core.Attempt, st link.State, inc uint64) (linkwire.Lease, bool) {
	left := time.Until(a.Deadline())
	told, _ := budget.NextHop(left, st.ReturnDelay)
	life := a.Deadline().Sub(st.PeerClockAt) - (left - told)
	life -= life/1000 + leaseMargin
	begin := life
	if by := a.BeginBy(); !by.IsZero() {
		begin = min(begin, by.Sub(st.PeerClockAt)-leaseMargin)
	}
	l := linkwire.Lease{Incarnation: inc, Quote: st.PeerClock, Begin: uint64(max(begin, 0).Microseconds()),
		Life: uint64(max(life, 0).Microseconds())}
	return l, begin > time.Since(st.PeerClockAt) && l.Life <= linkwire.MaxTime
}

// write is the crossing's item in its connection's queue: it appends the offer, and then one part of
// the body with each call.
func (x *outboundCrossing) write(buf []byte) ([]byte, bool) {
	p, r := x.p, x.a.Request
	body := r.Message.Body
	p.mu.Lock()
	if x.ended {
		p.mu.Unlock()
		return buf, false
	}
	if x.m.State != crossing.Queued { // the remainder of its body
		k := min(len(body)-x.sent, linkwire.MaxPart)
		from := x.sent
		x.sent += k
		p.mu.Unlock()
		buf, _ = linkwire.Append(buf, &linkwire.Part{Number: x.num, Body: body[from : from+k]})
		return buf, from+k < len(body)
	}
	c := x.conn
	now := time.Now()
	lease, timely := leaseOf(x.a, c.link.State(), c.inc)
	f := x.offer(lease)
	out, err := linkwire.Append(buf, f)
	if err != nil || !timely || !x.a.Begin() || !x.m.Write(c.id) {
		// No time left, withdrawn, or not encodable: nothing was sent.
		end := p.end(x, x.m.ExpireLease(), nil, err)
		p.mu.Unlock()
		end()
		return buf, false
	}
	x.inc, x.lease, x.offeredAt, x.sent = c.inc, lease, now, len(f.Body)
	p.mu.Unlock()
	return out, x.sent < len(body)
}

// offer returns the frame that carries the request.
func (x *outboundCrossing) offer(l linkwire.Lease) *linkwire.Offer {
	r, set := x.a.Request, x.p.sender.opt.Settings
	f := &linkwire.Offer{Number: x.num, Lease: l, MaxAttempts: uint64(max(x.a.AttemptsLeft, 1)),
		Class:  set.Classes[r.Class].Name,
		Effect: string(set.Classes[r.Class].Idempotency), Key: r.Key, Retry: r.Retry, ID: r.ID,
		Method: r.Message.Method,
		Target: r.Message.Target, Host: r.Message.Host, ContentType: r.Message.ContentType,
		IdempotencyKey: r.Message.IdempotencyKey,
		Size:           uint64(len(r.Message.Body)), Body: r.Message.Body[:min(len(r.Message.Body), linkwire.MaxPart)]}
	if r.Tenant >= 0 && r.Tenant < len(set.Tenants) {
		f.Tenant = set.Tenants[r.Tenant].Name
	}
	if r.HasHint && r.HintMs > 0 {
		f.HintUs = uint64(min(r.HintMs*1000, linkwire.MaxTime))
	}
	return f
}
