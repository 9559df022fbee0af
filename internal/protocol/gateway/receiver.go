package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/crossing"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/link"
	"molepaddle/internal/protocol/linkwire"
)

// Handler processes a request and calls done with its final answer; a core.Core is one.
type Handler interface {
	Take(r *core.Request, done func(core.Answer)) (drop func())
}

// ReceiverOptions configures a Receiver.
type ReceiverOptions struct {
	Name      string
	Core      Handler
	Settings  *settings.Settings
	Classes   map[string]int // class index by name
	Tenants   map[string]int // tenant index by name
	Peers     []string       // names of the near gateways that may connect; with TLS, the names in their certificates
	Crossings int            // limit of concurrent crossings per near gateway
	Bytes     int64          // limit of the bytes of all bodies in memory
	Conns     int            // limit of open connections
	PerSecond float64        // limit of accepted connections per second
	Times     Times
	// TLS returns the configuration for each accepted connection; nil: no TLS, for loopback only.
	TLS  func() *tls.Config
	Seed uint64
	Log  *slog.Logger
	// Promises replicates the start of each crossing that is not idempotent, before it begins; nil: no replication.
	Promises Promises
}

// Promises replicates which crossings begin, and answers queries about those of other gateways;
// package promise implements it. Only Begin blocks.
type Promises interface {
	// Begin replicates the promise that a crossing, which was offered to incarnation hinc of the far
	// end, begins. It returns false if the crossing must not begin.
	Begin(hinc uint64, near string, inc, number uint64, until time.Time) bool
	// Answered sends an answer to the replicas.
	Answered(near string, inc, number uint64, r promises.Reply)
	// Query determines the outcome of a crossing that was offered to another gateway since ago, and
	// passes it to tell.
	Query(holder string, hinc uint64, near string, inc, number uint64, since time.Duration,
		tell func(promises.Verdict, *promises.Reply))
}

// Receiver is the far end of links. It accepts crossings and passes them to its own core only, so that
// a request that has crossed once never crosses again.
type Receiver struct {
	opt           ReceiverOptions
	clock         link.Clock
	inc           atomic.Uint64
	acceptLimiter *rate.Limiter
	bytes         atomic.Int64 // bytes of bodies in memory
	inFlight      atomic.Int64 // crossings that have not ended
	unacked       atomic.Int64 // answers that the near ends have not acknowledged
	wg            sync.WaitGroup

	mu       sync.Mutex
	draining bool
	closed   bool
	sessions map[sessionKey]*session
	conns    map[net.Conn]bool
}

// sessionKey identifies a near process. Crossing numbers are per process, so no process can refer to
// the crossings of another.
type sessionKey struct {
	peer string
	inc  uint64
}

// NewReceiver returns a Receiver; Serve accepts its links.
func NewReceiver(o ReceiverOptions) *Receiver {
	f := &Receiver{opt: o, clock: link.NewClock(),
		acceptLimiter: rate.NewLimiter(rate.Limit(o.PerSecond), max(int(o.PerSecond), 1)),
		sessions:      map[sessionKey]*session{}, conns: map[net.Conn]bool{}}
	f.inc.Store(newIncarnation(o.Seed))
	return f
}

// Incarnation returns the incarnation that near ends are greeted with.
func (f *Receiver) Incarnation() uint64 { return f.inc.Load() }

// Renew makes the far end appear to near ends as a new process, and returns its incarnation.
// All links are closed and crossings that have not begun are fenced. Those that have begun run on
// under their lease, but their answers are not delivered.
func (f *Receiver) Renew() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inc.Add(1)
	f.sessions = map[sessionKey]*session{}
	for c := range f.conns {
		c.Close()
	}
	return f.inc.Load()
}

// Own returns what this gateway knows of a crossing that was offered to it, and fences the crossing if
// it has not begun, as a Fence frame does. Another gateway calls it on behalf of the near end.
func (f *Receiver) Own(near string, inc, number uint64) (promises.Verdict, *promises.Reply) {
	f.mu.Lock()
	s := f.sessions[sessionKey{near, inc}]
	f.mu.Unlock()
	if s == nil {
		return promises.Unknown, nil
	}
	var later deferredCalls
	defer func() { later.run() }()
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.open[number]
	if x == nil || x.inc != f.inc.Load() {
		return promises.Unknown, nil
	}
	if x.m.State == crossing.Accepted {
		x.reason = linkwire.ReasonFenced
	}
	m, act := x.m.Query(x.m.On, crossing.Conditions{})
	s.act(x, act, &later)
	switch {
	case m == crossing.NotStarted:
		s.reply(x, m) // the caller may have timed out, so the near end is told on its own link as well
		return promises.NeverBegun, nil
	case m == crossing.Completed && x.ended != nil:
		if r, short := reply(x.ended); short {
			return promises.Replied, &r
		}
		return promises.MayHaveRun, nil
	}
	return promises.Unknown, nil // it is running: its answer or the end of its lease decides
}

// reply returns an answer as replicas store it, and false if it is too long.
func reply(e *linkwire.Ended) (promises.Reply, bool) {
	return promises.Reply{Result: e.Result, ContentType: e.ContentType, Body: e.Body}, len(e.Body) <= promises.MaxReply
}

// Serve accepts links on a listener until that is closed.
func (f *Receiver) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		f.mu.Lock()
		room := !f.closed && len(f.conns) < f.opt.Conns && f.acceptLimiter.Allow()
		if room {
			f.conns[conn] = true
			f.wg.Add(1)
		}
		f.mu.Unlock()
		if !room {
			conn.Close() // the near end dials again, with backoff
			continue
		}
		go func() {
			defer f.wg.Done()
			err := f.serve(conn)
			f.mu.Lock()
			delete(f.conns, conn)
			f.mu.Unlock()
			f.opt.Log.Info("link ended", "from", conn.RemoteAddr().String(), "err", err)
		}()
	}
}

// Drain tells all near ends that no new crossings are accepted. Those in flight are finished.
func (f *Receiver) Drain() {
	f.mu.Lock()
	f.draining = true
	var all []*session
	for _, s := range f.sessions {
		all = append(all, s)
	}
	f.mu.Unlock()
	for _, s := range all {
		s.mu.Lock()
		for _, c := range s.conns {
			c.link.Urgent(&linkwire.Drain{})
		}
		s.mu.Unlock()
	}
}

// InFlight returns the number of crossings that have not ended.
func (f *Receiver) InFlight() int { return int(f.inFlight.Load()) }

// WaitIdle returns when all crossings have ended and their answers are acknowledged, or when the
// context ends. Without any open link it waits no longer than a near end may take to dial again.
func (f *Receiver) WaitIdle(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	heard := time.Now()
	for f.inFlight.Load() > 0 || f.unacked.Load() > 0 {
		f.mu.Lock()
		if len(f.conns) > 0 {
			heard = time.Now()
		}
		closed := f.closed
		f.mu.Unlock()
		if closed || time.Since(heard) > f.opt.Times.RedialMax {
			return
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all links at once, and waits for their goroutines.
func (f *Receiver) Close() {
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// Draining reports whether Drain was called.
func (f *Receiver) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// serve handles one connection until it ends, and returns the reason.
func (f *Receiver) serve(conn net.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), f.opt.Times.DeadAfter)
	defer cancel()
	proven := ""
	if f.opt.TLS != nil {
		secure := tls.Server(conn, f.opt.TLS())
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return err
		}
		conn = secure
		if certs := secure.ConnectionState().PeerCertificates; len(certs) > 0 && len(certs[0].DNSNames) > 0 {
			proven = certs[0].DNSNames[0]
		}
	}
	var s *session
	c := &receiverConn{partial: map[uint64]*partialOffer{}}
	up, err := link.Welcome(ctx, conn, func(peer *linkwire.Hello) (linkwire.Hello, error) {
		switch {
		case f.opt.TLS != nil && peer.Name != proven:
			return linkwire.Hello{}, fmt.Errorf("name: %q is not what its certificate says", peer.Name)
		case !slices.Contains(f.opt.Peers, peer.Name):
			return linkwire.Hello{}, fmt.Errorf("name: %q may not cross here", peer.Name)
		}
		return linkwire.Hello{Magic: linkwire.Magic, MinVersion: linkwire.MinVersion, MaxVersion: linkwire.MaxVersion,
			Name:        f.opt.Name,
			Incarnation: f.inc.Load(), Crossings: uint64(f.opt.Crossings), Bytes: uint64(f.opt.Bytes),
			Now: f.clock.Now(), Draining: f.Draining()}, nil
	}, link.Options{Clock: f.clock, HeartbeatInterval: f.opt.Times.HeartbeatInterval, DeadAfter: f.opt.Times.DeadAfter,
		Status: func() (uint64, bool) { return uint64(f.InFlight()), f.Draining() }})
	if err != nil {
		return err
	}
	c.link = up
	s = f.session(sessionKey{up.Peer.Name, up.Peer.Incarnation}, c)
	if f.Draining() {
		up.Urgent(&linkwire.Drain{}) // Drain may have been called since the greeting
	}
	err = up.Run(func(fr linkwire.Frame) error { return s.handleFrame(c, fr) })
	s.connLost(c)
	f.removeIfIdle(s)
	return err
}

// session returns the session of a near process, creating it if needed, and adds a connection to it.
func (f *Receiver) session(key sessionKey, c *receiverConn) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[key]
	if s == nil {
		s = &session{far: f, key: key, conns: map[crossing.Conn]*receiverConn{}, open: map[uint64]*inboundCrossing{}}
		f.sessions[key] = s
	}
	s.mu.Lock()
	s.last++
	c.id = s.last
	s.conns[c.id] = c
	s.mu.Unlock()
	return s
}

// removeIfIdle removes a session that has neither connections nor crossings.
func (f *Receiver) removeIfIdle(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 && len(s.open) == 0 && f.sessions[s.key] == s {
		delete(f.sessions, s.key)
	}
}

// session is the state of one near process, guarded by mu. The core may be waiting for mu, so it is
// never called while mu is held.
type session struct {
	far *Receiver
	key sessionKey

	mu      sync.Mutex
	last    crossing.Conn
	conns   map[crossing.Conn]*receiverConn
	open    map[uint64]*inboundCrossing
	running int // number of crossings that have not ended
}

// receiverConn is an open connection.
type receiverConn struct {
	id      crossing.Conn
	link    *link.Conn
	partial map[uint64]*partialOffer
}

// partialOffer is an offer whose body is still incomplete.
type partialOffer struct {
	f    *linkwire.Offer
	body []byte
}

// inboundCrossing is one crossing that the far end knows of.
type inboundCrossing struct {
	s             *session
	num           uint64
	inc           uint64 // incarnation of the far end that it was offered to
	needsPromise  bool   // whether its start must be replicated first
	m             crossing.Receiver
	beginBy       time.Time // latest time at which an attempt may begin
	leaseEnd      time.Time // time after which nothing of it may run
	timer         *time.Timer
	drop          func()
	acked         bool // the near end has acknowledged its outcome
	stopRequested bool // drop is to be called as soon as it is set
	heldBytes     int64
	reason        uint64
	ended         *linkwire.Ended // its answer, until that is acknowledged
	never         linkwire.Never
}

// deferredCalls are functions to be called when no lock is held.
type deferredCalls []func()

func (t deferredCalls) run() {
	for _, f := range t {
		f()
	}
}

// handleFrame handles a frame of the near end.
func (s *session) handleFrame(c *receiverConn, f linkwire.Frame) error {
	switch f := f.(type) {
	case *linkwire.Offer:
		if f.Size == uint64(len(f.Body)) {
			return s.offer(c, f)
		}
		if c.partial[f.Number] != nil || len(c.partial) >= s.far.opt.Crossings {
			return errors.New("offer: number in use, or too many incomplete offers")
		}
		o := &partialOffer{f: f, body: make([]byte, 0, f.Size)}
		o.body = append(o.body, f.Body...)
		s.far.bytes.Add(int64(f.Size))
		c.partial[f.Number] = o
		return nil
	case *linkwire.Part:
		o := c.partial[f.Number]
		if o == nil || len(o.body)+len(f.Body) > cap(o.body) {
			return errors.New("part: no incomplete offer, or beyond its size")
		}
		if o.body = append(o.body, f.Body...); uint64(len(o.body)) < o.f.Size {
			return nil
		}
		delete(c.partial, f.Number)
		s.far.bytes.Add(-int64(o.f.Size))
		o.f.Body = o.body
		return s.offer(c, o.f)
	case *linkwire.Fence:
		return s.handleFence(c, f.Number, &f.Lease, (*crossing.Receiver).Query)
	case *linkwire.Cancel:
		return s.handleFence(c, f.Number, &f.Lease, (*crossing.Receiver).Cancel)
	case *linkwire.Ack:
		s.mu.Lock()
		for _, n := range f.Numbers {
			if x := s.open[n]; x != nil {
				x.acked = true
				s.forget(x)
			}
		}
		s.mu.Unlock()
		return nil
	case *linkwire.Query:
		s.query(c, f)
		return nil
	case *linkwire.Drain:
		return nil
	}
	return fmt.Errorf("unexpected frame of kind %d from the near end", f.Kind())
}

// query answers a near end's query about a crossing that was offered to another gateway.
func (s *session) query(c *receiverConn, f *linkwire.Query) {
	v := linkwire.Verdict{Number: f.Number, Holder: f.Holder, Incarnation: f.Incarnation}
	if s.far.opt.Promises == nil {
		c.link.Urgent(&v)
		return
	}
	s.far.opt.Promises.Query(f.Holder, f.Incarnation, s.key.peer, s.key.inc, f.Number,
		time.Duration(f.SinceUs)*time.Microsecond,
		func(word promises.Verdict, r *promises.Reply) {
			switch word {
			case promises.NeverBegun:
				v.Outcome = linkwire.VerdictNever
			case promises.MayHaveRun:
				v.Outcome = linkwire.VerdictOver
			case promises.Replied:
				v.Outcome, v.Result, v.ContentType, v.Body = linkwire.VerdictReplied, r.Result, r.ContentType, r.Body
			}
			c.link.Urgent(&v)
		})
}

// releaseAnswer frees an answer that is no longer needed.
func (s *session) releaseAnswer(x *inboundCrossing) {
	if x.ended != nil {
		s.far.unacked.Add(-1)
	}
	x.ended = nil
	s.far.bytes.Add(-x.heldBytes)
	x.heldBytes = 0
}

// at converts a span of a lease to local time.
func (s *session) at(l *linkwire.Lease, span uint64) time.Time {
	return s.far.clock.Time(l.Quote + span)
}

// leaseExpired reports whether a lease is over, or belongs to another process.
func (s *session) leaseExpired(l *linkwire.Lease, until time.Time) bool {
	return l.Incarnation != s.far.inc.Load() || !time.Now().Before(until)
}

// offer handles a complete offer.
func (s *session) offer(c *receiverConn, f *linkwire.Offer) error {
	far := s.far
	if f.Lease.Incarnation == far.inc.Load() && f.Lease.Quote > far.clock.Now() {
		return errors.New("lease: clock reading is in the future")
	}
	r, known := far.request(f)
	draining := far.Draining()
	s.mu.Lock()
	x := s.open[f.Number]
	if x == nil {
		x = s.add(f.Number, &f.Lease)
	}
	x.beginBy = s.at(&f.Lease, f.Lease.Begin)
	x.needsPromise = known && far.opt.Promises != nil &&
		far.opt.Settings.Classes[r.Class].Idempotency != settings.Idempotent
	held := int64(len(f.Body))
	terms := crossing.Conditions{LeaseExpired: s.leaseExpired(&f.Lease, x.beginBy), Draining: draining,
		Full: !known || s.running >= far.opt.Crossings || far.bytes.Load()+held > far.opt.Bytes ||
			len(s.open) > 8*far.opt.Crossings}
	switch { // the first matching reason is reported
	case x.m.State == crossing.Fenced:
		x.reason = linkwire.ReasonFenced
	case terms.LeaseExpired:
		x.reason = linkwire.ReasonLeaseExpired
	case draining:
		x.reason = linkwire.ReasonDraining
	case !known:
		x.reason = linkwire.ReasonUnknownClass
	case terms.Full:
		x.reason = linkwire.ReasonFull
	}
	m, act := x.m.Offer(c.id, terms)
	if act == crossing.Run {
		s.running++
		far.inFlight.Add(1)
		x.heldBytes = held
		far.bytes.Add(held)
	}
	s.reply(x, m)
	s.mu.Unlock()
	switch act {
	case crossing.ProtocolError:
		return errors.New("offer: number was already used")
	case crossing.Run:
		r.Deadline = earlier(r.Deadline, x.leaseEnd)
		r.BeginBy = x.beginBy
		r.Gate = x.mayBegin
		drop := far.opt.Core.Take(r, x.done)
		s.mu.Lock()
		x.drop = drop
		stopped := x.stopRequested
		s.mu.Unlock()
		if stopped {
			drop()
		}
	}
	return nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// request converts an offer to a core request. It returns false if this end's settings have no such
// class, or define it differently from the near end's.
func (f *Receiver) request(o *linkwire.Offer) (*core.Request, bool) {
	class, known := f.opt.Classes[o.Class]
	if !known {
		return nil, false
	}
	c := &f.opt.Settings.Classes[class]
	method := http.MethodPost
	if c.Idempotency == settings.Idempotent {
		method = http.MethodGet
	}
	if string(c.Idempotency) != o.Effect || o.Method != method ||
		c.Idempotency == settings.Deduplicated && o.IdempotencyKey == "" || o.MaxAttempts == 0 {
		return nil, false
	}
	r := &core.Request{ID: o.ID, Class: class, Key: o.Key, HintMs: float64(o.HintUs) / 1000, HasHint: o.HintUs > 0,
		Retry:       o.Retry,
		MaxAttempts: int(o.MaxAttempts), Deduplicated: true,
		Deadline: time.Now().Add(time.Duration(c.ClientTimeoutMs * float64(time.Millisecond))),
		Message: core.Message{Method: o.Method, Target: o.Target, Host: o.Host, ContentType: o.ContentType,
			IdempotencyKey: o.IdempotencyKey, Body: o.Body}}
	if len(f.opt.Tenants) > 0 {
		if r.Tenant, known = f.opt.Tenants[o.Tenant]; !known {
			r.Tenant = -1
		}
	}
	return r, true
}

// add creates the state of a crossing.
func (s *session) add(num uint64, l *linkwire.Lease) *inboundCrossing {
	x := &inboundCrossing{s: s, num: num, inc: s.far.inc.Load(), leaseEnd: s.at(l, l.Life)}
	if l.Incarnation != x.inc {
		x.leaseEnd = time.Now()
	}
	s.open[num] = x
	x.timer = time.AfterFunc(time.Until(x.leaseEnd), x.expireLease)
	return x
}

// mayBegin reports whether an attempt may be started; the core calls it before the first byte of each
// attempt.
func (x *inboundCrossing) mayBegin() bool {
	if x.needsPromise {
		x.s.mu.Lock()
		first := x.m.State == crossing.Accepted && time.Now().Before(x.beginBy)
		x.s.mu.Unlock()
		if first && !x.s.far.opt.Promises.Begin(x.inc, x.s.key.peer, x.s.key.inc, x.num, x.beginBy) {
			return false
		}
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.m.Start(crossing.Conditions{LeaseExpired: !time.Now().Before(x.beginBy)})
}

// done receives the core's final answer. The core's lock is held.
func (x *inboundCrossing) done(a core.Answer) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.far.inFlight.Add(-1)
	ran := x.m.State == crossing.Running && (a.Ran || a.Outcome == core.Served)
	s.far.bytes.Add(-x.heldBytes)
	x.heldBytes = 0
	if ran {
		s.far.unacked.Add(1)
		x.ended = &linkwire.Ended{Number: x.num, Result: linkwire.Failed, Attempts: uint64(a.Attempts)}
		switch a.Outcome {
		case core.Served:
			x.ended.Result, x.ended.Size, x.ended.Body = linkwire.Served, uint64(len(a.Body)), a.Body
			if linkwire.ValidText(a.ContentType) { // otherwise it is left out: servers may send any header
				x.ended.ContentType = a.ContentType
			}
			x.heldBytes = int64(len(a.Body))
			s.far.bytes.Add(x.heldBytes)
		case core.Refused:
			x.ended.Result, x.ended.RetryUs = linkwire.Refused, retryAfterUs(a)
		}
		if x.needsPromise {
			if r, short := reply(x.ended); short {
				s.far.opt.Promises.Answered(s.key.peer, s.key.inc, x.num, r)
			}
		}
	} else {
		x.never = linkwire.Never{Attempts: uint64(a.Attempts), RetryUs: retryAfterUs(a)}
	}
	s.reply(x, x.m.Finish(ran))
	s.forget(x)
}

// retryAfterUs returns the advised delay before a retry, in microseconds.
func retryAfterUs(a core.Answer) uint64 {
	return uint64(min(max(a.RetryAfter.Microseconds(), 0), linkwire.MaxTime))
}

// reply writes a message about a crossing to the connection on which the near end last mentioned it.
func (s *session) reply(x *inboundCrossing, m crossing.Msg) {
	c := s.conns[x.m.On]
	if c == nil {
		return
	}
	switch m {
	case crossing.Completed:
		c.link.Bulk(x.ended.Item())
	case crossing.NotStarted:
		f := x.never
		f.Number, f.Reason = x.num, x.reason
		c.link.Bulk(linkwire.SingleFrame(&f)) // in order with the other outcomes
	case crossing.Started:
		c.link.Urgent(&linkwire.Begun{Number: x.num})
	case crossing.Indeterminate:
		c.link.Urgent(&linkwire.Unsure{Number: x.num})
	}
}

// handleFence answers a Fence or a Cancel.
func (s *session) handleFence(c *receiverConn, num uint64, l *linkwire.Lease,
	step func(*crossing.Receiver, crossing.Conn, crossing.Conditions) (crossing.Msg, crossing.Action)) error {
	var later deferredCalls
	s.mu.Lock()
	x := s.open[num]
	if x == nil {
		terms := crossing.Conditions{LeaseExpired: s.leaseExpired(l, s.at(l, l.Life)),
			Full: len(s.open) > 8*s.far.opt.Crossings}
		if terms.LeaseExpired || terms.Full {
			var none crossing.Receiver
			m, _ := step(&none, c.id, terms)
			s.reply(&inboundCrossing{s: s, num: num, m: none}, m)
			s.mu.Unlock()
			return nil
		}
		x = s.add(num, l)
	}
	if x.m.State == crossing.Unknown || x.m.State == crossing.Accepted {
		x.reason = linkwire.ReasonFenced
	}
	m, act := step(&x.m, c.id, crossing.Conditions{})
	s.act(x, act, &later)
	s.reply(x, m)
	s.mu.Unlock()
	later.run()
	return nil
}

// act carries out an action of the crossing's state machine.
func (s *session) act(x *inboundCrossing, act crossing.Action, later *deferredCalls) {
	if act != crossing.Stop || x.stopRequested {
		return
	}
	x.stopRequested = true
	if x.drop != nil {
		*later = append(*later, x.drop)
	}
}

// expireLease runs when the crossing's lease ends.
func (x *inboundCrossing) expireLease() {
	var later deferredCalls
	s := x.s
	s.mu.Lock()
	if x.m.State == crossing.Accepted {
		x.reason = linkwire.ReasonLeaseExpired
	}
	m, act := x.m.ExpireLease()
	s.act(x, act, &later)
	s.reply(x, m)
	s.forget(x)
	s.mu.Unlock()
	later.run()
	s.far.removeIfIdle(s)
}

// forget removes a crossing once its state machine allows it.
func (s *session) forget(x *inboundCrossing) {
	if x.m.CanForget(!time.Now().Before(x.leaseEnd), x.acked) && s.open[x.num] == x {
		delete(s.open, x.num)
		s.releaseAnswer(x)
		x.timer.Stop()
	}
}

// connLost removes a connection.
func (s *session) connLost(c *receiverConn) {
	var later deferredCalls
	s.mu.Lock()
	delete(s.conns, c.id)
	for _, o := range c.partial {
		s.far.bytes.Add(-int64(o.f.Size))
	}
	numbers := make([]uint64, 0, len(s.open))
	for n := range s.open {
		numbers = append(numbers, n)
	}
	slices.Sort(numbers)
	for _, n := range numbers {
		x := s.open[n]
		if x.m.State == crossing.Accepted {
			x.reason = linkwire.ReasonFenced
		}
		s.act(x, x.m.ConnLost(c.id, len(s.conns) == 0), &later)
	}
	s.mu.Unlock()
	later.run()
}
