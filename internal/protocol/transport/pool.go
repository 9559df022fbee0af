// Package transport sends attempts to servers over HTTP/1.1 or FastCGI, one at a time per connection, and keeps
// connections for reuse. There is one pool with one limit, for servers of both protocols. It does not choose servers
// and never retries.
//
// A Transport's lock guards its counters and the idle connections. A connection in use belongs to the goroutine of its
// attempt, an idle one to the Transport. Any goroutine may start attempts; the connection is chosen in the goroutine
// that starts the attempt, so in the order of the starts. Dialling, writing and reading happen in the attempt's
// goroutine.
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

// Options configures a Transport.
type Options struct {
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Timeout time.Duration // of a dial
	Idle    time.Duration // maximum idle time of a connection
	Most    int           // maximum number of connections to all servers, open or being dialled

	// Settle is how long a connection rests before it is reused. Surplus bytes follow directly after an answer and
	// have arrived by then.
	Settle time.Duration
	// Resting is how many connections to one endpoint may rest before an attempt waits for one of them instead of
	// opening another: a client that sends requests one after the other cycles through as many connections as it gets
	// answers during Settle.
	Resting int
	// FastCGI selects and configures the servers that speak FastCGI; nil: all speak HTTP.
	FastCGI *FastCGI
	// Budget supplies the windows of streamed answers; nil: an empty budget, with which each window has its minimum
	// size.
	Budget *window.Budget
}

// Transport opens connections to servers within its share of file descriptors and keeps idle ones. It has its own pool
// because http.Transport may reuse a connection before it notices surplus bytes of the previous answer.
type Transport struct {
	opt Options

	mu       sync.Mutex
	open     int        // connections that are up or coming up
	idle     *list.List // all idle connections, longest idle first
	sweeping bool
	closed   bool
	ages     ageStats
}

// New returns a Transport without connections.
func New(o Options) *Transport {
	if o.Budget == nil {
		o.Budget = window.NewBudget(0)
	}
	return &Transport{opt: o, idle: list.New()}
}

// SetMaxConns sets the maximum number of connections. Idle connections above it are closed at once.
func (p *Transport) SetMaxConns(most int) {
	var old []*conn
	p.mu.Lock()
	p.opt.Most = most
	for p.open-len(old) > most && p.idle.Len() > 0 {
		c := p.idle.Front().Value.(*conn)
		c.unlist()
		old = append(old, c)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the idle connections at once, and the others when their attempts end.
func (p *Transport) Close() {
	p.mu.Lock()
	p.closed = true
	var old []*conn
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value.(*conn)
		c.unlist()
		old = append(old, c)
	}
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Endpoint returns the connections to one process of a server at one address: a host and port, or "unix:" and a path.
func (p *Transport) Endpoint(s *cluster.Server) core.Endpoint {
	e := &endpoint{pool: p, dial: s.Dial, wire: overHTTP{}}
	if f := p.opt.FastCGI; f != nil && f.Serves(s) {
		e.wire = &overFastCGI{opt: f}
	}
	return e
}

// endpoint holds the connections to one process of a server at one address.
type endpoint struct {
	pool            *Transport
	dial            string
	wire            protocol  // protocol of the server
	idle            []*conn   // idle connections, longest idle first
	retired         bool      // connections in use are closed when they are returned
	overloadedUntil time.Time // the server is at its connection limit until then
	margin          budget.Margin
}

// returnTime returns the least time that an answer takes from the server to here.
func (e *endpoint) returnTime() time.Duration {
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	return e.margin.ReturnTime()
}

// conn is a connection to a server. It serves one attempt at a time.
type conn struct {
	net.Conn
	end         *endpoint
	left        int           // bytes that may still be read for the attempt
	idleElement *list.Element // position in the pool's idle list; nil: in use
	since       time.Time     // when it became idle
	age         time.Duration // idle time before the current use; 0: new connection
	carried     string        // id of the request that it was last lent for; empty: never lent
	once        sync.Once
}

var errTooLong = errors.New("answer: longer than its limit")

// Read reads at most the bytes still allowed for the attempt, then fails with errTooLong.
func (c *conn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		return 0, errTooLong
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readers is separate from the connections: only attempts in flight need a reader.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// Start sends an attempt on an idle connection without unread bytes, or else on a new one. It chooses the connection
// before it returns.
func (e *endpoint) Start(a *core.Attempt) error {
	c, err := e.take()
	if err == nil {
		a.Go(func() core.Result { return e.carry(a, c) })
	}
	return err
}

// take returns an idle connection without unread bytes, or nil after reserving a new one in the pool. A connection
// that has not rested long enough is returned only if enough others rest already or the pool is full.
func (e *endpoint) take() (*conn, error) {
	var old []*conn // closed after the lock is released
	defer func() {
		for _, c := range old {
			c.Close()
		}
	}()
	p := e.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	limit := p.ages.idleLimit(p.opt.Idle)
	for c := e.pick(now); c != nil; c = e.pick(now) {
		if c.age = now.Sub(c.since); c.age < p.opt.Settle && len(e.idle) < p.opt.Resting && p.open-len(old) < p.opt.Most {
			break // all idle connections rest, and another may be opened
		}
		c.unlist()
		if c.age < p.opt.Settle || c.age <= limit && sockets.Pending(c.Conn) == 0 {
			return c, nil
		}
		old = append(old, c) // closed by the server, too old to trust, or carrying unexpected bytes
	}
	for p.open-len(old) >= p.opt.Most {
		longest := p.idle.Front()
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

// pick returns the most recently used idle connection that has settled, else the one that has been idle longest. The
// pool must be locked.
func (e *endpoint) pick(now time.Time) *conn {
	for i := len(e.idle) - 1; i >= 0; i-- {
		if c := e.idle[i]; i == 0 || now.Sub(c.since) >= e.pool.opt.Settle {
			return c
		}
	}
	return nil
}

// ready returns the connection from take once it has settled, or dials the one that take reserved, for the request
// with the given id. Waiting for a connection to settle ends with the context.
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
	ctx, cancel := context.WithTimeout(sockets.WithPurpose(ctx, id), e.pool.opt.Timeout)
	defer cancel()
	start := time.Now()
	network, addr := "tcp", e.dial
	if path, local := strings.CutPrefix(e.dial, "unix:"); local {
		network, addr = "unix", path
	}
	up, err := e.pool.opt.Dial(ctx, network, addr)
	if err != nil {
		e.pool.release()
		return nil, err
	}
	e.pool.mu.Lock()
	e.margin.Observe(time.Since(start)) // a handshake is a round trip
	e.pool.mu.Unlock()
	return &conn{Conn: up, end: e}, nil
}

// unlist removes the connection from the idle lists. The pool must be locked.
func (c *conn) unlist() {
	c.end.pool.idle.Remove(c.idleElement)
	c.idleElement = nil
	for i, o := range c.end.idle {
		if o == c {
			c.end.idle = append(c.end.idle[:i], c.end.idle[i+1:]...)
			return
		}
	}
}

// put returns a connection to the pool.
func (e *endpoint) put(c *conn) {
	p := e.pool
	p.mu.Lock()
	if e.retired || p.closed {
		p.mu.Unlock()
		c.Close()
		return
	}
	c.since, c.idleElement = time.Now(), p.idle.PushBack(c)
	e.idle = append(e.idle, c)
	if since := c.since; since.Before(e.overloadedUntil) {
		time.AfterFunc(p.ages.idleLimit(p.opt.Idle)/overloadedIdleDivisor, func() { e.closeIfIdle(c, since) })
	}
	if !p.sweeping {
		p.sweeping = true
		time.AfterFunc(p.ages.idleLimit(p.opt.Idle), p.sweep)
	}
	p.mu.Unlock()
}

// overloadedIdleDivisor divides the idle limit of connections to a server at its connection limit.
const overloadedIdleDivisor = 10

// Crowded closes idle connections sooner until the given time, as the server is at its connection limit.
func (e *endpoint) Crowded(until time.Time) {
	e.pool.mu.Lock()
	e.overloadedUntil = until
	e.pool.mu.Unlock()
}

// closeIfIdle closes the connection if it has been idle since the given time.
func (e *endpoint) closeIfIdle(c *conn, since time.Time) {
	e.pool.mu.Lock()
	idle := c.idleElement != nil && c.since.Equal(since)
	if idle {
		c.unlist()
	}
	e.pool.mu.Unlock()
	if idle {
		c.Close()
	}
}

// recordUse records how a reused connection fared; broke states that it ended before the first byte of the answer.
func (p *Transport) recordUse(c *conn, broke bool) {
	if c.age > 0 {
		p.mu.Lock()
		p.ages.observe(c.age, broke, time.Now())
		p.mu.Unlock()
	}
}

// sweep closes connections whose idle time is over, and reschedules itself while any are idle.
func (p *Transport) sweep() {
	var old []*conn
	p.mu.Lock()
	now, limit := time.Now(), p.ages.idleLimit(p.opt.Idle)
	for e := p.idle.Front(); e != nil; e = p.idle.Front() {
		c := e.Value.(*conn)
		if left := limit - now.Sub(c.since); left > 0 {
			time.AfterFunc(left, p.sweep)
			break
		}
		c.unlist()
		old = append(old, c)
	}
	p.sweeping = p.idle.Len() > 0
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// CloseIdle closes the idle connections.
func (e *endpoint) CloseIdle() { e.close(false) }

// Retire closes the idle connections at once, and those in use when they are returned.
func (e *endpoint) Retire() { e.close(true) }

func (e *endpoint) close(retire bool) {
	e.pool.mu.Lock()
	e.retired = e.retired || retire
	old := e.idle
	e.idle = nil
	for _, c := range old {
		e.pool.idle.Remove(c.idleElement)
	}
	e.pool.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// release removes a closed connection from the count.
func (p *Transport) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Close closes the connection and releases its place in the pool.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.end.pool.release)
	return err
}
