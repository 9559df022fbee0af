// Package transport carries attempts to servers over HTTP/1.1 or FastCGI, one at a time on a connection, and
// keeps connections for the next: one pool, with one bound, whatever its servers speak.
//
// A Transport's lock guards what it counts and which connections stand idle. A connection
// in use belongs to its attempt's goroutine; one that stands idle to the Transport.
// Connections are chosen by whoever starts the attempt, in the order of the starts;
// dialling, writing and reading are the attempt's goroutine's.
package transport

import (
	"bufio"
	"container/list"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/window"
)

// Options bound a Transport.
type Options struct {
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Timeout time.Duration // of a connect
	Idle    time.Duration // how long a connection is kept without use, at the most
	Most    int           // connections to all servers that are up or coming up

	// Settle is how long a connection rests before it is used again: what a server sends
	// beyond its answer comes right behind it, and is seen by then.
	Settle time.Duration
	// Resting is how many connections to one endpoint may rest before an attempt waits for
	// one of them rather than open another: a client that asks one request after the other
	// goes round as many as its answers come in that time.
	Resting int
	// FastCGI says which servers speak it, and how; nil: all speak HTTP.
	FastCGI *FastCGI
	// Budget is what long answers take their windows from; nil: one of none, at which each is small.
	Budget *window.Budget
}

// Transport opens connections to servers within its share of descriptors and keeps those
// that stand idle. It has a pool of its own since http.Transport may hand a connection to
// the next request before it sees that bytes of the last are left over.
type Transport struct {
	opt Options

	mu       sync.Mutex
	open     int        // connections that are up or coming up
	spare    *list.List // of *conn: all that stand idle, the longest first
	sweeping bool
	closed   bool
	ages     ages
}

// New makes a transport without connections.
func New(o Options) *Transport {
	if o.Budget == nil {
		o.Budget = window.NewBudget(0)
	}
	return &Transport{opt: o, spare: list.New()}
}

// Bound sets how many connections there may be; of those over it idle ones are closed at once.
func (p *Transport) Bound(most int) {
	var old []*conn
	p.mu.Lock()
	p.opt.Most = most
	for p.open-len(old) > most && p.spare.Len() > 0 {
		c := p.spare.Front().Value.(*conn)
		c.unlist()
		old = append(old, c)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the connections that stand idle, and the others when their attempts end.
func (p *Transport) Close() {
	p.mu.Lock()
	p.closed = true
	var old []*conn
	for e := p.spare.Front(); e != nil; e = p.spare.Front() {
		c := e.Value.(*conn)
		c.unlist()
		old = append(old, c)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Endpoint gives the connections to one process of a server at one address: a host and port, or "unix:" and
// a path.
func (p *Transport) Endpoint(s *cluster.Server) core.Endpoint {
	e := &endpoint{pool: p, dial: s.Dial, wire: overHTTP{}}
	if f := p.opt.FastCGI; f != nil && f.Serves(s) {
		e.wire = &overFastCGI{opt: f}
	}
	return e
}

// endpoint is the connections to one process of a server at one address.
type endpoint struct {
	pool    *Transport
	dial    string
	wire    wire      // what its server speaks
	spare   []*conn   // idle, the longest first
	retired bool      // what comes back is closed
	crowded time.Time // until when its server has more connections than it takes
	way     budget.Margin
}

// back is how long an answer takes from the server, at the least.
func (e *endpoint) back() time.Duration {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.way.ReturnTime()
}

// conn is a connection to a server, for one attempt at a time.
type conn struct {
	net.Conn
	end     *endpoint
	left    int           // bytes that may still be read for the attempt
	idle    *list.Element // its place among all that stand idle
	since   time.Time     // when it came to stand idle
	age     time.Duration // how long it had stood idle; 0: new
	carried string        // id of the request that it was lent for last; empty: none
	once    sync.Once
}

var errTooLong = errors.New("answer: longer than any may be")

// Read bounds what one answer may bring.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readers are kept apart from the connections: only attempts that are out need one.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// Start carries an attempt on an idle connection on which nothing waits, else on a new
// one. Which it is, is settled before it returns.
func (e *endpoint) Start(a *core.Attempt) error {
	c, err := e.take()
	if err == nil {
		a.Go(func() core.Result { return e.carry(a, c) })
	}
	return err
}

// take gives an idle connection that nothing waits on, or none and a place for a new one.
// One that has not rested long enough is given only where there is no place left.
func (e *endpoint) take() (*conn, error) {
	var old []*conn // closed once the lock is free
	defer func() {
		for _, c := range old {
			c.Close()
		}
	}()
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := p.ages.limit(p.opt.Idle)
	for c := e.pick(now); c != nil; c = e.pick(now) {
		if c.age = now.Sub(c.since); c.age < p.opt.Settle && len(e.spare) < p.opt.Resting && p.open-len(old) < p.opt.Most {
			break // all of them rest, and there is room for another
		}
		c.unlist()
		if c.age < p.opt.Settle || c.age <= limit && sockets.Pending(c.Conn) == 0 {
			return c, nil
		}
		old = append(old, c) // it has ended or may have, or brings what nobody asked for
	}
	for p.open-len(old) >= p.opt.Most {
		longest := p.spare.Front()
		if longest == nil {
			return nil, core.ErrNoSocket
		}
		c := longest.Value.(*conn)
		c.unlist()
		old = append(old, c)
	}
	p.open++
	return nil, nil
}

// pick finds the idle connection used last among those that have settled, else the one
// idle longest. The pool is locked.
func (e *endpoint) pick(now time.Time) *conn {
	for i := len(e.spare) - 1; i >= 0; i-- {
		if c := e.spare[i]; i == 0 || now.Sub(c.since) >= e.pool.opt.Settle {
			return c
		}
	}
	return nil
}

// ready gives what was taken, or opens what there is a place for, for the request id. The wait for a
// connection to settle ends with the context.
func (e *endpoint) ready(ctx context.Context, id string, c *conn) (*conn, error) {
	if c != nil && c.age < e.pool.opt.Settle {
		rest := time.NewTimer(e.pool.opt.Settle - c.age)
		select {
		case <-rest.C:
		case <-ctx.Done():
			rest.Stop()
			c.Close()
			return nil, ctx.Err()
		}
		c.age = time.Since(c.since)
		if sockets.Pending(c.Conn) != 0 {
			c.Close()
			var err error
			if c, err = e.take(); err != nil {
				return nil, err
			}
			return e.ready(ctx, id, c)
		}
	}
	if c != nil {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(sockets.For(ctx, id), e.pool.opt.Timeout)
	defer cancel()
	start := time.Now()
	network, addr := "tcp", e.dial
	if path, local := strings.CutPrefix(e.dial, "unix:"); local {
		network, addr = "unix", path
	}
	up, err := e.pool.opt.Dial(ctx, network, addr)
	if err != nil {
		e.pool.shut()
		return nil, err
	}
	e.pool.mu.Lock()
	e.way.Observe(time.Since(start)) // a handshake is a round trip
	e.pool.mu.Unlock()
	return &conn{Conn: up, end: e}, nil
}

// unlist takes a connection from those that stand idle. The pool is locked.
func (c *conn) unlist() {
	c.end.pool.spare.Remove(c.idle)
	c.idle = nil
	for i, o := range c.end.spare {
		if o == c {
			c.end.spare = append(c.end.spare[:i], c.end.spare[i+1:]...)
			return
		}
	}
}

// put gives a connection back for the next attempt.
func (e *endpoint) put(c *conn) {
	p := e.pool
	p.mu.Lock()
	if e.retired || p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	c.since, c.idle = time.Now(), p.spare.PushBack(c)
	e.spare = append(e.spare, c)
	if since := c.since; since.Before(e.crowded) {
		time.AfterFunc(p.ages.limit(p.opt.Idle)/soonPart, func() { e.giveBack(c, since) })
	}
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.ages.limit(p.opt.Idle), p.sweep)
	}
	p.mu.Unlock()
}

// soonPart is the part of the usual time for which a connection to a crowded server stands idle.
const soonPart = 10

// Crowded has idle connections given back sooner until the time given.
func (e *endpoint) Crowded(until time.Time) {
	e.pool.mu.Lock()
	e.crowded = until
	e.pool.mu.Unlock()
}

// giveBack closes a connection if it has stood idle since the time given.
func (e *endpoint) giveBack(c *conn, since time.Time) {
	e.pool.mu.Lock()
	idle := c.idle != nil && c.since.Equal(since)
	if idle {
		c.unlist()
	}
	e.pool.mu.Unlock()
	if idle {
		c.Close()
	}
}

// used notes how the use of a connection went; broke is that it ended before a byte of
// the answer came.
func (p *Transport) used(c *conn, broke bool) {
	if c.age > 0 {
		p.mu.Lock()
		p.ages.learn(c.age, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes what has stood idle for too long, and comes back while anything is left.
func (p *Transport) sweep() {
	var old []*conn
	p.mu.Lock()
	now, limit := time.Now(), p.ages.limit(p.opt.Idle)
	for e := p.spare.Front(); e != nil; e = p.spare.Front() {
		c := e.Value.(*conn)
		if left := limit - now.Sub(c.since); left > 0 {
			time.AfterFunc(left, p.sweep)
			break
		}
		c.unlist()
		old = append(old, c)
	}
	p.sweeping = p.spare.Len() > 0
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// CloseIdle closes the connections that stand idle.
func (e *endpoint) CloseIdle() { e.close(false) }

// Retire closes the connections for good: those in use when they come back.
func (e *endpoint) Retire() { e.close(true) }

func (e *endpoint) close(retire bool) {
	e.pool.mu.Lock()
	e.retired = e.retired || retire
	old := e.spare
	e.spare = nil
	for _, c := range old {
		e.pool.spare.Remove(c.idle)
	}
	e.pool.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// shut counts a connection as closed.
func (p *Transport) shut() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Close closes the connection and frees its descriptor in the pool.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.end.pool.shut)
	return err
}
