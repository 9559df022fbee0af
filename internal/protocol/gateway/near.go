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

// Times are what both ends of a link keep to.
type Times struct {
	Beat       time.Duration // between two beats of a connection
	StallAfter time.Duration // without a word a connection counts as stalled
	DeadAfter  time.Duration // and is closed
	RedialMin  time.Duration // before a lost connection is dialled again, doubled with each failure
	RedialMax  time.Duration
}

// DefaultTimes are the times of an empty operator's file.
func DefaultTimes() Times {
	return Times{Beat: 50 * time.Millisecond, StallAfter: 250 * time.Millisecond, DeadAfter: 5 * time.Second,
		RedialMin: 100 * time.Millisecond, RedialMax: 5 * time.Second}
}

// Peer is a far gateway.
type Peer struct {
	Name    string // what its certificate says
	Address string
}

// SiteOptions is what a Site is made of.
type SiteOptions struct {
	Name     string // this gateway's
	Site     string // the far site's
	Peers    []Peer
	Conns    int           // to each peer
	Limits   limit.Options // what may be out to each peer; its classes are those of Settings
	Times    Times
	Settings *settings.Settings
	// ProofWithin is for how long other gateways are asked about what must not run twice and was offered to a process
	// that is no more, before it has failed; it may be less than three questions take, and is then that.
	ProofWithin time.Duration
	Dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	// TLS is how a peer is dialled, anew each time; nil: plain, for loopback only.
	TLS  func(peer string) *tls.Config
	Seed uint64
	Log  *slog.Logger
}

// Site is the near end of the links to one far site: a transport whose servers are the far
// gateways, and the roster that lists them.
type Site struct {
	opt    SiteOptions
	ctx    context.Context
	stop   context.CancelFunc
	clock  link.Clock
	inc    uint64
	began  time.Time
	wg     sync.WaitGroup
	peers  []*peer
	byName map[string]*peer

	mu      sync.Mutex
	seq     int64
	watches map[*listing]bool
	avoided map[string]bool // peers that a view speaks against
}

// NewSite makes the near end; Run opens its links. An error names a limit that makes no
// sense.
func NewSite(ctx context.Context, o SiteOptions) (*Site, error) {
	s := &Site{opt: o, began: time.Now(), clock: link.NewClock(), byName: map[string]*peer{}, watches: map[*listing]bool{}, seq: 1}
	s.ctx, s.stop = context.WithCancel(ctx)
	rng := rand.New(rand.NewPCG(o.Seed, 0x6c696e6b))
	s.inc = incarnation(o.Seed)
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
		q := &peer{Peer: p, site: s, limits: lim, conns: map[crossing.Conn]*nearConn{}, open: map[uint64]*nearCrossing{}, rng: rand.New(rand.NewPCG(rng.Uint64(), 1))}
		s.peers = append(s.peers, q)
		s.byName[p.Name] = q
	}
	return s, nil
}

// Run opens the links in goroutines of their own and returns.
func (s *Site) Run() {
	for _, p := range s.peers {
		for range max(s.opt.Conns, 1) {
			s.wg.Add(1)
			go func() {
				defer s.wg.Done()
				p.keep()
			}()
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			p.watch()
		}()
	}
}

// Close ends the links and all that crosses them, and waits for the goroutines.
func (s *Site) Close() {
	s.stop()
	for _, p := range s.peers {
		p.mu.Lock()
		for _, c := range p.conns {
			c.link.Close(errClosed)
		}
		p.mu.Unlock()
	}
	s.wg.Wait()
}

// nearSettings are a site's settings for a core that sends to another: where a key's group does not span the far site, what may have run there
// can't be repeated from here at all.
func nearSettings(set settings.Settings) settings.Settings {
	set.Classes = slices.Clone(set.Classes)
	for i := range set.Classes {
		if c := &set.Classes[i]; c.Idempotency == settings.Deduplicated && c.DedupScope != settings.DedupAll {
			c.Idempotency = settings.NonIdempotent
		}
	}
	set.Membership = "pushed" // this program is the roster
	set.Limits.HealthChecks = false
	set.Contract.SlowStartMs = 0 // a gateway has no cold start: its servers are its own site's to spare
	set.LoadReport = settings.LoadReport{}
	return set
}

// Open is how many crossings have no verdict.
func (s *Site) Open() (n int) {
	for _, p := range s.peers {
		p.mu.Lock()
		n += len(p.open)
		p.mu.Unlock()
	}
	return n
}

// Settings are those of a core that sends to a far site.
func (s *Site) Settings() settings.Settings { return nearSettings(*s.opt.Settings) }

// ---- the list of far gateways ----

// Known is the list before any link is up.
func (s *Site) Known() cluster.List { return s.list() }

func (s *Site) list() cluster.List {
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

// listing is a core's client of the list.
type listing struct {
	s    *Site
	tell func(core.Update)
}

// NewRoster makes the client of the list; its address has no meaning.
func (s *Site) NewRoster(_ string, tell func(core.Update)) core.Roster { return &listing{s, tell} }

func (l *listing) Fetch(bool) {
	go func() { l.tell(core.Update{Kind: core.Fetched, List: l.s.list()}) }()
}

func (l *listing) Watch(int64, bool) {
	l.s.mu.Lock()
	l.s.watches[l] = true
	l.s.mu.Unlock()
	go func() { l.tell(core.Update{Kind: core.Changed, List: l.s.list()}) }()
}

func (l *listing) Close() {
	l.s.mu.Lock()
	delete(l.s.watches, l)
	l.s.mu.Unlock()
}

// publish tells that a gateway can be reached, or no longer.
func (s *Site) publish(p *peer, ready bool) {
	s.mu.Lock()
	if p.listed == ready {
		s.mu.Unlock()
		return
	}
	p.listed = ready
	if ready {
		// What was learnt of it while the link was down or stalled says nothing of it now.
		p.since = float64(time.Now().UnixMicro()) / 1000
	}
	s.seq++
	var tell []func(core.Update)
	for l := range s.watches {
		tell = append(tell, l.tell)
	}
	s.mu.Unlock()
	s.opt.Log.Info("gateway", "site", s.opt.Site, "peer", p.Name, "reachable", ready)
	for _, t := range tell {
		t(core.Update{Kind: core.Changed, List: s.list()})
	}
}

// Avoid takes the names of far gateways that a view of them says are better left alone. Nothing new is
// offered to them as long as another can be reached; what is out there goes on.
func (s *Site) Avoid(names []string) {
	s.mu.Lock()
	s.avoided = map[string]bool{}
	for _, n := range names {
		s.avoided[n] = true
	}
	s.mu.Unlock()
	for _, p := range s.peers {
		p.look()
	}
}

// avoids tells whether a gateway that can be reached is left alone.
func (s *Site) avoids(p *peer) bool {
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

// peer is a far gateway with its connections and what crosses to it, under its lock. The
// core is never called with that lock held.
type peer struct {
	Peer
	site   *Site
	listed bool    // under the site's lock
	since  float64 // when it was last listed, Unix time in ms; under the site's lock

	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[crossing.Conn]*nearConn
	last    crossing.Conn
	inc     uint64 // the far process that was met last
	number  uint64
	open    map[uint64]*nearCrossing
	limits  *limit.Limiter
	acks    []uint64
	lostFor string // why the last connection was lost
}

// nearConn is a connection that is up.
type nearConn struct {
	id      crossing.Conn
	link    *link.Conn
	inc     uint64
	out     int // crossings that were queued there and have no verdict
	partial map[uint64]*linkwire.Ended
}

// nearCrossing is one attempt on its way.
type nearCrossing struct {
	p      *peer
	num    uint64
	m      crossing.Sender
	a      *core.Attempt
	conn   *nearConn // it is queued at, or was offered on
	inc    uint64
	lease  linkwire.Lease
	began  time.Time // when its offer was written
	asked  time.Time // when another gateway was asked about it last
	turn   int       // and how often one was
	gone   time.Time // since when another process stands in the place of the one it was offered to
	sent   int       // bytes of its body
	over   bool
	detach func() bool
	timer  *time.Timer
}

var (
	errClosed      = errors.New("this end is closing")
	errUnreachable = fmt.Errorf("no link to the far gateway: %w", core.ErrNoConnection)
	errNoRoom      = fmt.Errorf("as many crossings as there may be: %w", core.ErrNoConnection)
)

// keep holds one connection open until the site ends.
func (p *peer) keep() {
	t := &p.site.opt.Times
	wait := t.RedialMin
	for p.site.ctx.Err() == nil {
		began := time.Now()
		c, err := p.connect()
		if err == nil {
			err = p.serve(c)
		}
		p.mu.Lock()
		p.lostFor = fmt.Sprint(err)
		if time.Since(began) > t.RedialMax {
			wait = t.RedialMin
		}
		pause := time.Duration((0.5 + p.rng.Float64()) * float64(wait))
		p.mu.Unlock()
		p.site.opt.Log.Warn("link", "peer", p.Name, "err", err, "again_in", pause.Round(time.Millisecond))
		wait = min(2*wait, t.RedialMax)
		select {
		case <-p.site.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// connect dials and greets.
func (p *peer) connect() (*nearConn, error) {
	s := p.site
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
	c, err := link.Greet(ctx, conn, linkwire.Hello{Magic: linkwire.Magic, Least: linkwire.MinVersion, Most: linkwire.MaxVersion,
		Name: s.opt.Name, Incarnation: s.inc, Now: s.clock.Now()}, link.Options{Clock: s.clock, Beat: s.opt.Times.Beat,
		DeadAfter: s.opt.Times.DeadAfter, Status: p.status})
	if err != nil {
		return nil, err
	}
	if c.Peer.Name != p.Name {
		err := fmt.Errorf("the gateway there is %q", c.Peer.Name)
		c.Close(err)
		return nil, err
	}
	return &nearConn{link: c, inc: c.Peer.Incarnation, partial: map[uint64]*linkwire.Ended{}}, nil
}

func (p *peer) status() (uint64, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return uint64(len(p.open)), false
}

// serve takes what comes on a connection until it is lost.
func (p *peer) serve(c *nearConn) error {
	p.up(c)
	err := c.link.Run(func(f linkwire.Frame) error { return p.take(c, f) })
	p.lose(c)
	return err
}

// results are attempts that have ended, to be told when no lock is held.
type results []func()

func (r results) tell() {
	for _, f := range r {
		f()
	}
}

// up takes a new connection into use.
func (p *peer) up(c *nearConn) {
	p.mu.Lock()
	p.last++
	c.id = p.last
	p.conns[c.id] = c
	p.inc = c.inc
	p.limits.SetPeerLimits(int(min(c.link.Peer.Crossings, math.MaxInt32)), int64(min(c.link.Peer.Bytes, math.MaxInt64)))
	for _, x := range p.sorted() {
		switch {
		case x.inc == c.inc:
			p.say(x, x.m.ConnUp(c.id), c)
		case x.m.State != crossing.Queued && x.single() && p.connOf(x.inc, nil) == nil:
			// Another process stands there and no connection to the old one is left: no word
			// will come. What must not run twice has failed, unless another gateway knows more. The
			// rest outwaits its lease, in case the old process is alive and only cut off.
			x.gone = time.Now()
		}
	}
	p.mu.Unlock()
	p.look()
	p.seek()
}

// single tells whether no further attempt may follow one that may have run.
func (x *nearCrossing) single() bool {
	classes := x.p.site.opt.Settings.Classes
	i := x.a.Request.Class
	return i < 0 || i >= len(classes) || classes[i].Idempotency == settings.NonIdempotent
}

// sorted is what is open, in the order of the numbers.
func (p *peer) sorted() []*nearCrossing {
	all := make([]*nearCrossing, 0, len(p.open))
	for _, x := range p.open {
		all = append(all, x)
	}
	slices.SortFunc(all, func(x, y *nearCrossing) int { return int(int64(x.num) - int64(y.num)) })
	return all
}

// connOf is a connection to a process, the one that was opened first.
func (p *peer) connOf(inc uint64, not *nearConn) *nearConn {
	var best *nearConn
	for _, c := range p.conns {
		if c.inc == inc && c != not && (best == nil || c.id < best.id) {
			best = c
		}
	}
	return best
}

// say writes a machine's word about a crossing.
func (p *peer) say(x *nearCrossing, m crossing.Msg, c *nearConn) {
	switch m {
	case crossing.Query:
		c.link.Urgent(&linkwire.Fence{Number: x.num, Lease: x.lease})
	case crossing.Cancel:
		c.link.Urgent(&linkwire.Cancel{Number: x.num, Lease: x.lease})
	}
}

// lose takes a connection out of use. What was written to it is asked about on another one.
func (p *peer) lose(c *nearConn) {
	var ends results
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
		p.say(x, x.m.ConnLost(c.id, id), other)
	}
	p.mu.Unlock()
	ends.tell()
	p.look()
	p.seek()
}

// take takes a frame of the far end.
func (p *peer) take(c *nearConn, f linkwire.Frame) error {
	var ends results
	var err error
	p.mu.Lock()
	switch f := f.(type) {
	case *linkwire.Ended:
		switch x := p.of(f.Number, c); {
		case uint64(len(f.Body)) < f.Size:
			if len(c.partial) >= p.site.opt.Limits.MaxWindow {
				err = errors.New("more answers at once than crossings")
				break
			}
			c.partial[f.Number] = f
		case x != nil:
			ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), f, nil))
		}
	case *linkwire.Part:
		whole := c.partial[f.Number]
		if whole == nil || uint64(len(whole.Body)+len(f.Body)) > whole.Size {
			err = errors.New("a part of nothing")
			break
		}
		if whole.Body = append(whole.Body, f.Body...); uint64(len(whole.Body)) == whole.Size {
			delete(c.partial, f.Number)
			if x := p.of(f.Number, c); x != nil {
				ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), whole, nil))
			}
		}
	case *linkwire.Never:
		if x := p.of(f.Number, c); x != nil {
			ends = append(ends, p.end(x, x.m.Receive(crossing.NotStarted), f, nil))
		}
	case *linkwire.Begun, *linkwire.Unsure, *linkwire.Drain:
	case *linkwire.Verdict:
		if of := p.site.byName[f.Holder]; of != nil {
			defer of.verdict(f) // without this one's lock
		}
	default:
		err = fmt.Errorf("a frame of kind %d is not the far end's", f.Kind())
	}
	p.mu.Unlock()
	ends.tell()
	if f.Kind() == linkwire.KindDrain {
		p.look()
	}
	return err
}

// of finds the crossing that a frame is about: one that was offered to the process at the
// other end. Others are over, or the far end makes them up.
func (p *peer) of(num uint64, c *nearConn) *nearCrossing {
	if x := p.open[num]; x != nil && x.inc == c.inc && x.m.State != crossing.Queued {
		return x
	}
	return nil
}

// end closes a crossing by its verdict; word is the far end's, or nil, why says what else
// ended it. The function that it returns tells the core.
func (p *peer) end(x *nearCrossing, v crossing.Outcome, word linkwire.Frame, why error) func() {
	if v == crossing.Pending || x.over {
		return func() {}
	}
	x.over = true
	delete(p.open, x.num)
	x.conn.out--
	now := time.Now()
	p.limits.Release(x.a.Request.Class, size(x.a), now.Sub(p.site.began), now.Sub(x.began), x.told(v, word, why, now))
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
		res = core.Result{Status: policy.Error, ExtraAttempts: spent(f.Tries)}
		if f.Result == linkwire.Served {
			res.Status, res.Body, res.ContentType = policy.OK, f.Body, f.ContentType
		}
	case crossing.NeverRan:
		if f, ok := word.(*linkwire.Never); ok {
			res = core.Result{Status: policy.Full, ExtraAttempts: spent(f.Tries)}
			if x.m.Cancelled {
				res.Status = policy.Cancelled // barred for its client's sake: the far end has room
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

// size is how many bytes of body an attempt has.
func size(a *core.Attempt) int64 { return int64(len(a.Request.Message.Body)) }

// told is what a crossing's end tells of how much the far end bears.
func (x *nearCrossing) told(v crossing.Outcome, word linkwire.Frame, why error, now time.Time) limit.Result {
	switch f := word.(type) {
	case *linkwire.Ended:
		return limit.Answered
	case *linkwire.Never:
		if f.Why == linkwire.WhyFull {
			return limit.Rejected
		}
		return limit.Ignored // what its Balancer refuses, this end's Balancer hears of
	}
	late := v == crossing.Lost && errors.Is(why, context.DeadlineExceeded) && x.m.On != 0
	if c := x.p.conns[x.conn.id]; late && c != nil {
		if st := c.link.State(); !st.Stalled(now, x.p.site.opt.Times.StallAfter) {
			return limit.TimedOut
		}
	}
	return limit.Ignored // of a link that stalls or is lost the far end is not to blame
}

// look settles whether the gateway can be sent to.
func (p *peer) look() {
	p.mu.Lock()
	ready := p.pick(time.Now()) != nil
	p.mu.Unlock()
	p.site.publish(p, ready && !p.site.avoids(p))
}

// pick is the connection for the next offer: of those to the process met last that are
// neither stalled nor draining, the one with the least out.
func (p *peer) pick(now time.Time) *nearConn {
	var best *nearConn
	for _, c := range p.conns {
		st := c.link.State()
		if c.inc != p.inc || st.Draining || st.Stalled(now, p.site.opt.Times.StallAfter) {
			continue
		}
		if best == nil || c.out < best.out || c.out == best.out && c.id < best.id {
			best = c
		}
	}
	return best
}

// watch notices stalls, and tells the far end which answers it may let go.
func (p *peer) watch() {
	tick := time.NewTicker(p.site.opt.Times.Beat)
	defer tick.Stop()
	for {
		select {
		case <-p.site.ctx.Done():
			return
		case <-tick.C:
		}
		p.look()
		p.mu.Lock()
		p.ack()
		p.mu.Unlock()
		p.seek()
	}
}

// seekAgain is how long after one question about a crossing another gateway is asked the next.
const seekAgain = 150 * time.Millisecond

// asksOfGone is how often is asked, at the least, about what must not run twice and was offered to a process that is no
// more, before it has failed.
const asksOfGone = 3

// hopeless tells whether no word about a crossing of a process that is no more is waited for any longer. Gateways
// that could give one may be on their way back.
func (x *nearCrossing) hopeless(now time.Time) bool {
	s := x.p.site
	return !x.gone.IsZero() && (len(s.peers) == 1 || now.Sub(x.gone) >= max(s.opt.ProofWithin, asksOfGone*seekAgain))
}

// seek asks other gateways of the site about what was offered to this one, where no connection to that process
// is alive: it may have promised, and they may know.
func (p *peer) seek() {
	now, after := time.Now(), p.site.opt.Times.StallAfter
	var able []*nearConn
	for _, q := range p.site.peers {
		if q == p {
			continue
		}
		q.mu.Lock()
		if live := q.live(now, after); len(live) > 0 && live[0].link.Peer.Most >= 2 {
			able = append(able, live[0])
		}
		q.mu.Unlock()
	}
	var ends results
	defer func() { ends.tell() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	live := map[uint64]bool{} // processes to which a connection is
	for _, c := range p.live(now, after) {
		live[c.inc] = true
	}
	for _, x := range p.sorted() {
		if x.m.State == crossing.Queued || !x.promised() || now.Sub(x.asked) < seekAgain || live[x.inc] {
			continue
		}
		if len(able) == 0 {
			if x.hopeless(now) {
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
			continue
		}
		x.asked = now
		able[x.turn%len(able)].link.Urgent(&linkwire.Query{Number: x.num, Holder: p.Name, Incarnation: x.inc, SinceUs: uint64(now.Sub(x.began).Microseconds())})
		x.turn++
	}
}

// live is the connections on which something was heard of late, in the order in which they were opened.
func (p *peer) live(now time.Time, after time.Duration) (all []*nearConn) {
	for _, c := range p.conns {
		if st := c.link.State(); !st.Stalled(now, after) {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b *nearConn) int { return int(int64(a.id) - int64(b.id)) })
	return all
}

// promised tells whether a far end that promises does so before such a crossing begins.
func (x *nearCrossing) promised() bool {
	classes := x.p.site.opt.Settings.Classes
	i := x.a.Request.Class
	return i >= 0 && i < len(classes) && classes[i].Idempotency != settings.Idempotent
}

// verdict takes what another gateway knows of a crossing that was offered to this one.
func (p *peer) verdict(f *linkwire.Verdict) {
	var ends results
	p.mu.Lock()
	if x := p.open[f.Number]; x != nil && x.inc == f.Incarnation && x.m.State != crossing.Queued {
		switch f.Word {
		case linkwire.VerdictNever:
			ends = append(ends, p.end(x, x.m.Receive(crossing.NotStarted), &linkwire.Never{Number: f.Number, Why: linkwire.WhyBarred}, nil))
		case linkwire.VerdictReplied:
			ends = append(ends, p.end(x, x.m.Receive(crossing.Completed), &linkwire.Ended{Number: f.Number, Result: f.Result, Tries: 1, ContentType: f.ContentType,
				Size: uint64(len(f.Body)), Body: f.Body}, nil))
		case linkwire.VerdictOver:
			if x.single() { // what may be repeated waits: the process may be alive, and at work on it
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
		case linkwire.VerdictUnsure:
			if x.turn >= asksOfGone && x.hopeless(time.Now()) {
				ends = append(ends, p.end(x, x.m.PeerRestarted(), nil, nil))
			}
		}
	}
	p.mu.Unlock()
	ends.tell()
}

// ackAt is how many verdicts are acknowledged at once at the latest.
const ackAt = 128

// ack tells the far end which crossings have their verdicts. Those of a process that is gone
// are known to nobody, and its lease ends them where it is not.
func (p *peer) ack() {
	if c := p.connOf(p.inc, nil); c != nil && len(p.acks) > 0 {
		c.link.Urgent(&linkwire.Ack{Numbers: p.acks})
	}
	p.acks = nil
}

// ---- the transport ----

// Endpoint is the way to the far gateway with the name.
func (s *Site) Endpoint(of *cluster.Server) core.Endpoint { return &endpoint{s.byName[of.Dial]} }

type endpoint struct{ p *peer }

// CloseIdle does nothing: links stay up.
func (e *endpoint) CloseIdle() {}

// Retire does nothing either.
func (e *endpoint) Retire() {}

// Start queues the attempt's offer. Its first byte is written when its turn comes.
func (e *endpoint) Start(a *core.Attempt) error {
	p := e.p
	if p == nil {
		return errUnreachable
	}
	p.mu.Lock()
	c := p.pick(time.Now())
	switch {
	case c == nil:
		p.mu.Unlock()
		return errUnreachable
	case !p.limits.Acquire(a.Request.Class, size(a)):
		p.mu.Unlock()
		return errNoRoom
	}
	p.number++
	x := &nearCrossing{p: p, num: p.number, a: a, conn: c}
	p.open[x.num] = x
	c.out++
	x.detach = context.AfterFunc(a.Context(), x.given)
	a.OnAbandoned = x.unwanted
	p.mu.Unlock()
	c.link.Bulk(x.write)
	return nil
}

// given takes that the attempt was given up.
func (x *nearCrossing) given() {
	p := x.p
	var end func()
	p.mu.Lock()
	if x.over {
		p.mu.Unlock()
		return
	}
	if cause := context.Cause(x.a.Context()); errors.Is(cause, context.DeadlineExceeded) || p.site.ctx.Err() != nil || x.m.State == crossing.Queued {
		end = p.end(x, x.m.ExpireLease(), nil, cause)
	} else {
		// Until the far end has the word, or its lease is over, something may be under way.
		x.tell(false)
		x.timer = time.AfterFunc(time.Until(x.a.Deadline()), x.expire)
	}
	p.mu.Unlock()
	if end != nil {
		end()
	}
}

// tell tells the far end that nobody waits. The peer is locked.
func (x *nearCrossing) tell(keep bool) {
	c := x.p.connOf(x.inc, nil)
	id := crossing.Conn(0)
	if c != nil {
		id = c.id
	}
	m, _ := x.m.Cancel(id, keep)
	x.p.say(x, m, c)
}

// unwanted takes that nobody waits for the answer, where what has begun is let run: what still
// waits at the far end is not to begin.
func (x *nearCrossing) unwanted() {
	x.p.mu.Lock()
	if !x.over && x.m.State != crossing.Queued {
		x.tell(true)
	}
	x.p.mu.Unlock()
}

// expire takes that the attempt's time is up, and its lease with it.
func (x *nearCrossing) expire() {
	x.p.mu.Lock()
	end := x.p.end(x, x.m.ExpireLease(), nil, context.DeadlineExceeded)
	x.p.mu.Unlock()
	end()
}

// The lease ends before the near end's time does, by the far end's clock and the far end's
// rate: leaseMargin and a thousandth are left to the difference, and the way back to the answer.
const leaseMargin = 2 * time.Millisecond

// leaseOf is the lease of an attempt that is offered on a connection now; false: no time is
// left for it.
func leaseOf(a *core.Attempt, st link.State, inc uint64) (linkwire.Lease, bool) {
	left := time.Until(a.Deadline())
	told, _ := budget.NextHop(left, st.Back)
	life := a.Deadline().Sub(st.QuoteAt) - (left - told)
	life -= life/1000 + leaseMargin
	begin := life
	if by := a.BeginBy(); !by.IsZero() {
		begin = min(begin, by.Sub(st.QuoteAt)-leaseMargin)
	}
	l := linkwire.Lease{Incarnation: inc, Quote: st.Quote, Begin: uint64(max(begin, 0).Microseconds()), Life: uint64(max(life, 0).Microseconds())}
	return l, begin > time.Since(st.QuoteAt) && l.Life <= linkwire.MaxTime
}

// write is the crossing's item in the queue of its connection.
func (x *nearCrossing) write(buf []byte) ([]byte, bool) {
	p, r := x.p, x.a.Request
	body := r.Message.Body
	p.mu.Lock()
	if x.over {
		p.mu.Unlock()
		return buf, false
	}
	if x.m.State != crossing.Queued { // the rest of its body
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
		// Too late, withdrawn, or such that it can't cross: nothing went out.
		end := p.end(x, x.m.ExpireLease(), nil, err)
		p.mu.Unlock()
		end()
		return buf, false
	}
	x.inc, x.lease, x.began, x.sent = c.inc, lease, now, len(f.Body)
	p.mu.Unlock()
	return out, x.sent < len(body)
}

// offer words the request.
func (x *nearCrossing) offer(l linkwire.Lease) *linkwire.Offer {
	r, set := x.a.Request, x.p.site.opt.Settings
	f := &linkwire.Offer{Number: x.num, Lease: l, Tries: uint64(max(x.a.AttemptsLeft, 1)), Class: set.Classes[r.Class].Name,
		Effect: string(set.Classes[r.Class].Idempotency), Key: r.Key, Retry: r.Retry, ID: r.ID, Method: r.Message.Method,
		Target: r.Message.Target, Host: r.Message.Host, ContentType: r.Message.ContentType, Idempotency: r.Message.IdempotencyKey,
		Size: uint64(len(r.Message.Body)), Body: r.Message.Body[:min(len(r.Message.Body), linkwire.MaxPart)]}
	if r.Tenant >= 0 && r.Tenant < len(set.Tenants) {
		f.Tenant = set.Tenants[r.Tenant].Name
	}
	if r.HasHint && r.HintMs > 0 {
		f.HintUs = uint64(min(r.HintMs*1000, linkwire.MaxTime))
	}
	return f
}
