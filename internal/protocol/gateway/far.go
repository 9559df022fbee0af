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

// Taker gives a request its final answer; a core.Core is one.
type Taker interface {
	Take(r *core.Request, done func(core.Answer)) (drop func())
}

// FarOptions is what a Far is made of.
type FarOptions struct {
	Name      string
	Core      Taker
	Settings  *settings.Settings
	Classes   map[string]int // numbers of the classes' names
	Tenants   map[string]int
	Peers     []string // near gateways that may come; with TLS by their certificates
	Crossings int      // of one near gateway at once
	Bytes     int64    // of bodies held, all together
	Conns     int      // open at once
	PerSecond float64  // greetings a second
	Times     Times
	// TLS is how connections are taken, anew each time; nil: plain, for loopback only.
	TLS  func() *tls.Config
	Seed uint64
	Log  *slog.Logger
	// Promises has what begins known to others first, where it may not simply be repeated; nil: nobody.
	Promises Promises
}

// Promises is what an agent promises and holds for others; package promise has one. Only Begin waits.
type Promises interface {
	// Begin promises that a crossing which was offered to an incarnation of the far end begins; false: it must not.
	Begin(hinc uint64, near string, inc, number uint64, until time.Time) bool
	// Answered has the copies know an answer.
	Answered(near string, inc, number uint64, r promises.Reply)
	// Query finds out what can be said of a crossing that was offered to another gateway so long ago.
	Query(holder string, hinc uint64, near string, inc, number uint64, since time.Duration, tell func(promises.Verdict, *promises.Reply))
}

// Far is the far end of links: it takes crossings and hands them to its own core, and to
// nothing else, so that nothing that has crossed crosses again.
type Far struct {
	opt   FarOptions
	clock link.Clock
	inc   atomic.Uint64
	pace  *rate.Limiter
	bytes atomic.Int64 // of bodies held
	held  atomic.Int64 // crossings that have not ended
	owed  atomic.Int64 // answers that are not acknowledged
	wg    sync.WaitGroup

	mu       sync.Mutex
	draining bool
	closed   bool
	sessions map[sessionKey]*session
	conns    map[net.Conn]bool
}

// sessionKey names a near process: numbers are its own, so that none can speak of
// another's crossings.
type sessionKey struct {
	peer string
	inc  uint64
}

// NewFar makes a far end.
func NewFar(o FarOptions) *Far {
	f := &Far{opt: o, clock: link.NewClock(),
		pace: rate.NewLimiter(rate.Limit(o.PerSecond), max(int(o.PerSecond), 1)), sessions: map[sessionKey]*session{}, conns: map[net.Conn]bool{}}
	f.inc.Store(incarnation(o.Seed))
	return f
}

// Incarnation is the process that near ends meet.
func (f *Far) Incarnation() uint64 { return f.inc.Load() }

// Renew makes the far end another process for near ends: all links end, what had not begun is barred, what
// has runs on under its lease, and its answers reach nobody.
func (f *Far) Renew() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.inc.Add(1)
	f.sessions = map[sessionKey]*session{}
	for c := range f.conns {
		c.Close()
	}
	return f.inc.Load()
}

// Own answers for a crossing as a fence does, whoever asks for the near end.
func (f *Far) Own(near string, inc, number uint64) (promises.Verdict, *promises.Reply) {
	f.mu.Lock()
	s := f.sessions[sessionKey{near, inc}]
	f.mu.Unlock()
	if s == nil {
		return promises.Unknown, nil
	}
	var later todo
	defer func() { later.do() }()
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.open[number]
	if x == nil || x.inc != f.inc.Load() {
		return promises.Unknown, nil
	}
	if x.m.State == crossing.Accepted {
		x.why = linkwire.WhyBarred
	}
	m, act := x.m.Query(x.m.On, crossing.Conditions{})
	s.act(x, act, &later)
	switch {
	case m == crossing.NotStarted:
		s.reply(x, m) // whoever asked may wait no longer: the near end hears it by its own link too
		return promises.NeverBegun, nil
	case m == crossing.Completed && x.ended != nil:
		if r, short := reply(x.ended); short {
			return promises.Replied, &r
		}
		return promises.MayHaveRun, nil
	}
	return promises.Unknown, nil // it runs: the answer, or its lease, settles it
}

// reply is an answer as copies hold it; false: it is too long.
func reply(e *linkwire.Ended) (promises.Reply, bool) {
	return promises.Reply{Result: e.Result, ContentType: e.ContentType, Body: e.Body}, len(e.Body) <= promises.MaxReply
}

// Serve takes links on a listener until that is closed.
func (f *Far) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			return err
		}
		f.mu.Lock()
		room := !f.closed && len(f.conns) < f.opt.Conns && f.pace.Allow()
		if room {
			f.conns[conn] = true
			f.wg.Add(1)
		}
		f.mu.Unlock()
		if !room {
			conn.Close() // it comes again, later each time
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

// Drain tells all near ends that nothing new is taken. What is held is finished.
func (f *Far) Drain() {
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

// Held is how many crossings have not ended.
func (f *Far) Held() int { return int(f.held.Load()) }

// Finish waits until all that is held has ended and its answers are acknowledged, until
// the context ends or, where no link is left to be told by, for as long as one may take to
// be dialled again.
func (f *Far) Finish(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	heard := time.Now()
	for f.held.Load() > 0 || f.owed.Load() > 0 {
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

// Close ends all links at once, and waits for their goroutines.
func (f *Far) Close() {
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		c.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

// Draining tells whether nothing new is taken.
func (f *Far) Draining() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draining
}

// serve takes one connection to its end.
func (f *Far) serve(conn net.Conn) error {
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
	c := &farConn{partial: map[uint64]*offering{}}
	up, err := link.Welcome(ctx, conn, func(peer *linkwire.Hello) (linkwire.Hello, error) {
		switch {
		case f.opt.TLS != nil && peer.Name != proven:
			return linkwire.Hello{}, fmt.Errorf("name: %q is not what its certificate says", peer.Name)
		case !slices.Contains(f.opt.Peers, peer.Name):
			return linkwire.Hello{}, fmt.Errorf("name: %q may not cross here", peer.Name)
		}
		return linkwire.Hello{Magic: linkwire.Magic, Least: linkwire.MinVersion, Most: linkwire.MaxVersion, Name: f.opt.Name,
			Incarnation: f.inc.Load(), Crossings: uint64(f.opt.Crossings), Bytes: uint64(f.opt.Bytes), Now: f.clock.Now(), Draining: f.Draining()}, nil
	}, link.Options{Clock: f.clock, Beat: f.opt.Times.Beat, DeadAfter: f.opt.Times.DeadAfter,
		Status: func() (uint64, bool) { return uint64(f.Held()), f.Draining() }})
	if err != nil {
		return err
	}
	c.link = up
	s = f.session(sessionKey{up.Peer.Name, up.Peer.Incarnation}, c)
	if f.Draining() {
		up.Urgent(&linkwire.Drain{}) // it may have been told to meanwhile
	}
	err = up.Run(func(fr linkwire.Frame) error { return s.take(c, fr) })
	s.lose(c)
	f.leave(s)
	return err
}

// session finds or makes the session of a near process, and adds a connection.
func (f *Far) session(key sessionKey, c *farConn) *session {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.sessions[key]
	if s == nil {
		s = &session{far: f, key: key, conns: map[crossing.Conn]*farConn{}, open: map[uint64]*farCrossing{}}
		f.sessions[key] = s
	}
	s.mu.Lock()
	s.last++
	c.id = s.last
	s.conns[c.id] = c
	s.mu.Unlock()
	return s
}

// leave forgets a session that has no connection and holds nothing.
func (f *Far) leave(s *session) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) == 0 && len(s.open) == 0 && f.sessions[s.key] == s {
		delete(f.sessions, s.key)
	}
}

// session is what has come from one near process, under its lock. The core may be waiting
// for that lock, so it is never called with it held.
type session struct {
	far *Far
	key sessionKey

	mu      sync.Mutex
	last    crossing.Conn
	conns   map[crossing.Conn]*farConn
	open    map[uint64]*farCrossing
	running int // crossings that have not ended
}

// farConn is a connection that is up.
type farConn struct {
	id      crossing.Conn
	link    *link.Conn
	partial map[uint64]*offering
}

// offering is an offer of which a part is still to come.
type offering struct {
	f    *linkwire.Offer
	body []byte
}

// farCrossing is one crossing.
type farCrossing struct {
	s       *session
	num     uint64
	inc     uint64 // of the far end that it was offered to
	promise bool   // it begins once others know that it does
	m       crossing.Receiver
	begin   time.Time // the last moment to begin in
	lease   time.Time // nothing of it goes on after that
	timer   *time.Timer
	drop    func()
	acked   bool // the near end has its verdict
	stopped bool // drop is to be called as soon as there is one
	held    int64
	why     uint64
	ended   *linkwire.Ended // its answer, until it is acknowledged
	never   linkwire.Never
}

// todo is what is to be done when no lock is held.
type todo []func()

func (t todo) do() {
	for _, f := range t {
		f()
	}
}

// take takes a frame of the near end.
func (s *session) take(c *farConn, f linkwire.Frame) error {
	switch f := f.(type) {
	case *linkwire.Offer:
		if f.Size == uint64(len(f.Body)) {
			return s.offer(c, f)
		}
		if c.partial[f.Number] != nil || len(c.partial) >= s.far.opt.Crossings {
			return errors.New("an offer twice, or too many at once")
		}
		o := &offering{f: f, body: make([]byte, 0, f.Size)}
		o.body = append(o.body, f.Body...)
		s.far.bytes.Add(int64(f.Size))
		c.partial[f.Number] = o
		return nil
	case *linkwire.Part:
		o := c.partial[f.Number]
		if o == nil || len(o.body)+len(f.Body) > cap(o.body) {
			return errors.New("a part of nothing")
		}
		if o.body = append(o.body, f.Body...); uint64(len(o.body)) < o.f.Size {
			return nil
		}
		delete(c.partial, f.Number)
		s.far.bytes.Add(-int64(o.f.Size))
		o.f.Body = o.body
		return s.offer(c, o.f)
	case *linkwire.Fence:
		return s.ask(c, f.Number, &f.Lease, (*crossing.Receiver).Query)
	case *linkwire.Cancel:
		return s.ask(c, f.Number, &f.Lease, (*crossing.Receiver).Cancel)
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
	return fmt.Errorf("a frame of kind %d is not the near end's", f.Kind())
}

// query finds out what can be said of a crossing that was offered to another gateway.
func (s *session) query(c *farConn, f *linkwire.Query) {
	v := linkwire.Verdict{Number: f.Number, Holder: f.Holder, Incarnation: f.Incarnation}
	if s.far.opt.Promises == nil {
		c.link.Urgent(&v)
		return
	}
	s.far.opt.Promises.Query(f.Holder, f.Incarnation, s.key.peer, s.key.inc, f.Number, time.Duration(f.SinceUs)*time.Microsecond,
		func(word promises.Verdict, r *promises.Reply) {
			switch word {
			case promises.NeverBegun:
				v.Word = linkwire.VerdictNever
			case promises.MayHaveRun:
				v.Word = linkwire.VerdictOver
			case promises.Replied:
				v.Word, v.Result, v.ContentType, v.Body = linkwire.VerdictReplied, r.Result, r.ContentType, r.Body
			}
			c.link.Urgent(&v)
		})
}

// release lets go of an answer that its near end has.
func (s *session) release(x *farCrossing) {
	if x.ended != nil {
		s.far.owed.Add(-1)
	}
	x.ended = nil
	s.far.bytes.Add(-x.held)
	x.held = 0
}

// at translates a moment of a lease.
func (s *session) at(l *linkwire.Lease, span uint64) time.Time {
	return s.far.clock.At(l.Quote + span)
}

// lapsed tells whether a lease is over, or none of this process's.
func (s *session) lapsed(l *linkwire.Lease, until time.Time) bool {
	return l.Incarnation != s.far.inc.Load() || !time.Now().Before(until)
}

// offer takes a whole offer.
func (s *session) offer(c *farConn, f *linkwire.Offer) error {
	far := s.far
	if f.Lease.Incarnation == far.inc.Load() && f.Lease.Quote > far.clock.Now() {
		return errors.New("a quote that was never told")
	}
	r, known := far.request(f)
	draining := far.Draining()
	s.mu.Lock()
	x := s.open[f.Number]
	if x == nil {
		x = s.add(f.Number, &f.Lease)
	}
	x.begin = s.at(&f.Lease, f.Lease.Begin)
	x.promise = known && far.opt.Promises != nil && far.opt.Settings.Classes[r.Class].Idempotency != settings.Idempotent
	held := int64(len(f.Body))
	terms := crossing.Conditions{LeaseExpired: s.lapsed(&f.Lease, x.begin), Draining: draining,
		Full: !known || s.running >= far.opt.Crossings || far.bytes.Load()+held > far.opt.Bytes || len(s.open) > 8*far.opt.Crossings}
	switch { // the first that holds is told
	case x.m.State == crossing.Fenced:
		x.why = linkwire.WhyBarred
	case terms.LeaseExpired:
		x.why = linkwire.WhyLapsed
	case draining:
		x.why = linkwire.WhyDraining
	case !known:
		x.why = linkwire.WhyUnknown
	case terms.Full:
		x.why = linkwire.WhyFull
	}
	m, act := x.m.Offer(c.id, terms)
	if act == crossing.Run {
		s.running++
		far.held.Add(1)
		x.held = held
		far.bytes.Add(held)
	}
	s.reply(x, m)
	s.mu.Unlock()
	switch act {
	case crossing.ProtocolError:
		return errors.New("a number is used twice")
	case crossing.Run:
		r.Deadline = sooner(r.Deadline, x.lease)
		r.BeginBy = x.begin
		r.Gate = x.mayBegin
		drop := far.opt.Core.Take(r, x.done)
		s.mu.Lock()
		x.drop = drop
		stopped := x.stopped
		s.mu.Unlock()
		if stopped {
			drop()
		}
	}
	return nil
}

func sooner(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// request makes the core's request of an offer, and reports whether this end knows its
// class as the near end does.
func (f *Far) request(o *linkwire.Offer) (*core.Request, bool) {
	class, known := f.opt.Classes[o.Class]
	if !known {
		return nil, false
	}
	c := &f.opt.Settings.Classes[class]
	method := http.MethodPost
	if c.Idempotency == settings.Idempotent {
		method = http.MethodGet
	}
	if string(c.Idempotency) != o.Effect || o.Method != method || c.Idempotency == settings.Deduplicated && o.Idempotency == "" || o.Tries == 0 {
		return nil, false
	}
	r := &core.Request{ID: o.ID, Class: class, Key: o.Key, HintMs: float64(o.HintUs) / 1000, HasHint: o.HintUs > 0, Retry: o.Retry,
		MaxAttempts: int(o.Tries), Deduplicated: true, Deadline: time.Now().Add(time.Duration(c.ClientTimeoutMs * float64(time.Millisecond))),
		Message: core.Message{Method: o.Method, Target: o.Target, Host: o.Host, ContentType: o.ContentType, IdempotencyKey: o.Idempotency, Body: o.Body}}
	if len(f.opt.Tenants) > 0 {
		if r.Tenant, known = f.opt.Tenants[o.Tenant]; !known {
			r.Tenant = -1
		}
	}
	return r, true
}

// add begins to know of a crossing.
func (s *session) add(num uint64, l *linkwire.Lease) *farCrossing {
	x := &farCrossing{s: s, num: num, inc: s.far.inc.Load(), lease: s.at(l, l.Life)}
	if l.Incarnation != x.inc {
		x.lease = time.Now()
	}
	s.open[num] = x
	x.timer = time.AfterFunc(time.Until(x.lease), x.lapse)
	return x
}

// mayBegin is the gate before the first byte of each attempt.
func (x *farCrossing) mayBegin() bool {
	if x.promise {
		x.s.mu.Lock()
		first := x.m.State == crossing.Accepted && time.Now().Before(x.begin)
		x.s.mu.Unlock()
		if first && !x.s.far.opt.Promises.Begin(x.inc, x.s.key.peer, x.s.key.inc, x.num, x.begin) {
			return false
		}
	}
	x.s.mu.Lock()
	defer x.s.mu.Unlock()
	return x.m.Start(crossing.Conditions{LeaseExpired: !time.Now().Before(x.begin)})
}

// done takes the core's final answer. The core's lock is held.
func (x *farCrossing) done(a core.Answer) {
	s := x.s
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
	s.far.held.Add(-1)
	ran := x.m.State == crossing.Running && (a.Ran || a.Outcome == core.Served)
	s.far.bytes.Add(-x.held)
	x.held = 0
	if ran {
		s.far.owed.Add(1)
		x.ended = &linkwire.Ended{Number: x.num, Result: linkwire.Failed, Tries: uint64(a.Attempts)}
		switch a.Outcome {
		case core.Served:
			x.ended.Result, x.ended.Size, x.ended.Body = linkwire.Served, uint64(len(a.Body)), a.Body
			if linkwire.Plain(a.ContentType) { // else it is left out: heads of answers are free
				x.ended.ContentType = a.ContentType
			}
			x.held = int64(len(a.Body))
			s.far.bytes.Add(x.held)
		case core.Refused:
			x.ended.Result, x.ended.RetryUs = linkwire.Refused, advice(a)
		}
		if x.promise {
			if r, short := reply(x.ended); short {
				s.far.opt.Promises.Answered(s.key.peer, s.key.inc, x.num, r)
			}
		}
	} else {
		x.never = linkwire.Never{Tries: uint64(a.Attempts), RetryUs: advice(a)}
	}
	s.reply(x, x.m.Finish(ran))
	s.forget(x)
}

// advice is when to come back, in microseconds.
func advice(a core.Answer) uint64 {
	return uint64(min(max(a.RetryAfter.Microseconds(), 0), linkwire.MaxTime))
}

// reply writes the far end's word about a crossing on the connection that it last came by.
func (s *session) reply(x *farCrossing, m crossing.Msg) {
	c := s.conns[x.m.On]
	if c == nil {
		return
	}
	switch m {
	case crossing.Completed:
		c.link.Bulk(x.ended.Item())
	case crossing.NotStarted:
		f := x.never
		f.Number, f.Why = x.num, x.why
		c.link.Bulk(linkwire.One(&f)) // in the order of the verdicts
	case crossing.Started:
		c.link.Urgent(&linkwire.Begun{Number: x.num})
	case crossing.Indeterminate:
		c.link.Urgent(&linkwire.Unsure{Number: x.num})
	}
}

// ask answers a fence or a cancel.
func (s *session) ask(c *farConn, num uint64, l *linkwire.Lease, step func(*crossing.Receiver, crossing.Conn, crossing.Conditions) (crossing.Msg, crossing.Action)) error {
	var later todo
	s.mu.Lock()
	x := s.open[num]
	if x == nil {
		terms := crossing.Conditions{LeaseExpired: s.lapsed(l, s.at(l, l.Life)), Full: len(s.open) > 8*s.far.opt.Crossings}
		if terms.LeaseExpired || terms.Full {
			var none crossing.Receiver
			m, _ := step(&none, c.id, terms)
			s.reply(&farCrossing{s: s, num: num, m: none}, m)
			s.mu.Unlock()
			return nil
		}
		x = s.add(num, l)
	}
	if x.m.State == crossing.Unknown || x.m.State == crossing.Accepted {
		x.why = linkwire.WhyBarred
	}
	m, act := step(&x.m, c.id, crossing.Conditions{})
	s.act(x, act, &later)
	s.reply(x, m)
	s.mu.Unlock()
	later.do()
	return nil
}

// act carries out what a machine asks for.
func (s *session) act(x *farCrossing, act crossing.Action, later *todo) {
	if act != crossing.Stop || x.stopped {
		return
	}
	x.stopped = true
	if x.drop != nil {
		*later = append(*later, x.drop)
	}
}

// lapse takes that a lease is over.
func (x *farCrossing) lapse() {
	var later todo
	s := x.s
	s.mu.Lock()
	if x.m.State == crossing.Accepted {
		x.why = linkwire.WhyLapsed
	}
	m, act := x.m.ExpireLease()
	s.act(x, act, &later)
	s.reply(x, m)
	s.forget(x)
	s.mu.Unlock()
	later.do()
	s.far.leave(s)
}

// forget forgets a crossing that is over and whose lease is.
func (s *session) forget(x *farCrossing) {
	if x.m.CanForget(!time.Now().Before(x.lease), x.acked) && s.open[x.num] == x {
		delete(s.open, x.num)
		s.release(x)
		x.timer.Stop()
	}
}

// lose takes a connection out of use.
func (s *session) lose(c *farConn) {
	var later todo
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
			x.why = linkwire.WhyBarred
		}
		s.act(x, x.m.ConnLost(c.id, len(s.conns) == 0), &later)
	}
	s.mu.Unlock()
	later.do()
}
