package httpfront

import (
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"molepaddle/internal/decide/lifecycle"
	"molepaddle/internal/protocol/sockets"
)

const (
	// idleFor is how long a client's connection without a request is left alone.
	idleFor = 2 * time.Second
	// unfinishedFor is how long a request may take to come while others want its place.
	unfinishedFor = 500 * time.Millisecond
	// silentFor is how long a new connection may say nothing while others want its place,
	// roomFor how long a new one waits for a place, looked for every roomEvery.
	silentFor          = 30 * time.Millisecond
	roomFor, roomEvery = 150 * time.Millisecond, 1999 * time.Microsecond // in step with nothing else
	// tidyEvery is how often idle connections are looked through.
	tidyEvery = 250 * time.Millisecond
)

// stage is what a client's connection is at.
type stage uint8

const (
	fresh    stage = iota // its first request has not come whole
	idle                  // between requests
	busy                  // a request is being read or answered
	rejected              // it was told that its request is bad, and closes
)

// What has become of a connection since it was idle last, or came.
const (
	quiet int32 = iota // nothing was read
	fed                // something was: it is not closed as idle
	shut               // it is closed as idle: what is read now is not taken
)

// clientConn is a client's connection. Its stage belongs to its places.
type clientConn struct {
	net.Conn
	places *places
	got    atomic.Bool  // something was read from it
	whose  atomic.Int32 // quiet, fed or shut: whoever changes it first from quiet has the connection
	stage  stage
	since  time.Time // when the stage began
	number int       // counts the connections in the order in which they came

	mu    sync.Mutex
	raw   []byte // what came since the request before was answered, up to maxHead; while no handler runs
	heads bool   // raw is kept

	last atomic.Int64 // when bytes were last read, in nanoseconds since the places were made
}

// came is when the last byte was read of the request that has been read now.
func (c *clientConn) came() time.Time { return c.places.made.Add(time.Duration(c.last.Load())) }

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.heads {
			c.mu.Lock()
			if len(c.raw) < maxHead {
				c.raw = append(c.raw, p[:min(n, maxHead-len(c.raw))]...)
			}
			c.mu.Unlock()
		}
		c.last.Store(int64(time.Since(c.places.made)))
		if !c.got.Load() {
			c.got.Store(true)
		}
		// Whether it is closed as idle or its next request read is settled here: what came to
		// a connection that is closed was never read, and its client sends it again on another.
		if !c.whose.CompareAndSwap(quiet, fed) && c.whose.Load() == shut {
			return 0, io.EOF // to any other error the server would answer 400, if the close takes a moment
		}
	}
	return n, err
}

// chunkedOnly tells whether the head of a chunked request was seen, and names no length.
func (c *clientConn) chunkedOnly(hr *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, seen := headOf(c.raw, hr.Method, hr.RequestURI)
	return seen && !hasContentLength(head)
}

// forget drops the bytes of a request that is answered.
func (c *clientConn) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw = c.raw[:0]; cap(c.raw) > 1<<10 {
		c.raw = nil
	}
}

// end closes a connection between two requests, unless the next one has begun to be read, and
// reports whether it did. The places are locked.
func (c *clientConn) end() bool {
	if !c.whose.CompareAndSwap(quiet, shut) {
		return false
	}
	delete(c.places.conns, c)
	c.Conn.Close()
	return true
}

func (c *clientConn) Close() error {
	c.places.drop(c)
	return c.Conn.Close()
}

// CloseWrite lets the server end its side first, so that a client still sending reads
// its answer before the connection breaks.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// silent tells whether nothing has come on the connection, not even unread.
func (c *clientConn) silent() bool {
	return !c.got.Load() && sockets.Pending(c.Conn) == 0
}

// places holds the clients' connections, at most as many as there are places.
type places struct {
	made  time.Time
	most  int
	many  int // connections that ask or have asked, past which they are not kept
	mu    sync.Mutex
	conns map[*clientConn]struct{}
	came  int         // connections so far
	again *time.Timer // looks through them; nil: there are none, or the agent leaves
	over  bool        // the agent leaves
}

func newPlaces(most, many int) *places {
	return &places{made: time.Now(), most: most, many: many, conns: map[*clientConn]struct{}{}}
}

func (p *places) bound(most, many int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.many = most, many
}

// listener gives each connection that it accepts a place.
type listener struct {
	net.Listener
	places *places
	life   *lifecycle.Machine
	heads  bool            // chunked requests are taken, and so heads kept
	end    <-chan struct{} // closed when the agent is to end
}

// Accept always takes the next connection: left in the kernel's queue its request would
// count as taken with nobody to answer. Without a place for it one is made, or where
// all are in use the new connection is closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := sockets.Accept(l.Listener, l.life, l.end)
		if err != nil {
			return nil, err
		}
		cc := &clientConn{Conn: c, places: l.places, heads: l.heads, since: time.Now()}
		for !l.places.take(cc, time.Now()) {
			if time.Since(cc.since) > roomFor {
				c.Close()
				cc = nil
				break
			}
			time.Sleep(roomEvery)
		}
		if cc != nil {
			return cc, nil
		}
	}
}

// take gives the connection a place, at the cost of the one that needs its own least.
func (p *places) take(c *clientConn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.most {
		least, unasked := p.least(now)
		if least == nil {
			return false
		}
		if unasked { // as it was when looked at: what has come since stays
			if !least.end() {
				return false
			}
		} else {
			delete(p.conns, least)
			least.Conn.Close()
		}
	}
	p.came++
	c.number = p.came
	p.conns[c] = struct{}{}
	if p.again == nil && !p.over {
		p.again = time.AfterFunc(tidyEvery, p.look)
	}
	return true
}

// look tidies, and comes back as long as there are connections.
func (p *places) look() {
	p.tidy(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.again = nil; len(p.conns) > 0 && !p.over {
		p.again = time.AfterFunc(tidyEvery, p.look)
	}
}

// rest ends the tidying.
func (p *places) rest() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.over = true; p.again != nil {
		p.again.Stop()
	}
}

// least finds the connection to close for a new one: the one idle longest, else the
// oldest that has said nothing, else one that was turned away, else the oldest whose
// first request does not come to its end, and of the others one between requests. One
// with a request open is never closed. unasked says that
// nothing of a request had come.
func (p *places) least(now time.Time) (least *clientConn, unasked bool) {
	const kinds = 5
	var found [kinds]*clientConn
	for c := range p.conns {
		kind, age := kinds, now.Sub(c.since)
		switch {
		case c.stage == idle && age >= idleFor:
			kind = 0
		case c.stage == fresh && c.got.Load() && age >= unfinishedFor:
			kind = 3
		case c.stage == fresh && !c.got.Load() && age >= silentFor:
			kind = 1
		case c.stage == rejected:
			kind = 2
		case c.stage == idle:
			kind = 4 // may cross a request, which the client then sends again
		}
		// What has just come and is not yet read is somebody's request.
		if kind < kinds && (found[kind] == nil || c.longer(found[kind])) &&
			(kind == 2 || kind == 3 || sockets.Pending(c.Conn) <= 0) {
			found[kind] = c
		}
	}
	for kind, c := range found {
		if c != nil {
			return c, kind != 2 && kind != 3
		}
	}
	return nil, false
}

// longer tells whether a connection has been in its stage for longer than another; of
// those that entered it in one moment, the one that came first has.
func (c *clientConn) longer(than *clientConn) bool {
	return c.since.Before(than.since) || c.since.Equal(than.since) && c.number < than.number
}

func (p *places) drop(c *clientConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// enter notes a connection's new stage. A rejected one stays so.
func (p *places) enter(c *clientConn, to stage) {
	p.mu.Lock()
	if c.stage != rejected {
		c.stage, c.since = to, time.Now()
	}
	p.mu.Unlock()
}

// track is the server's ConnState hook.
func (p *places) track(c net.Conn, state http.ConnState) {
	cc, ok := c.(*clientConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		p.enter(cc, busy)
	case http.StateIdle:
		cc.forget()
		cc.whose.CompareAndSwap(fed, quiet)
		p.enter(cc, idle)
	}
}

// crowded tells whether so many connections are kept that clients may soon have none left
// for their next request: some ask once and keep theirs for good. The places are locked.
func (p *places) crowded() bool {
	n := 0
	for c := range p.conns {
		if c.stage == idle || c.stage == busy {
			n++
		}
	}
	return n > p.many
}

// keep tells whether a connection may stay open after the answer to the request whose head has just come,
// and whether it has its place still: one that came to its end as its place went to another is not taken.
func (p *places) keep(c *clientConn) (stays, placed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, placed = p.conns[c]
	return !p.crowded(), placed || c == nil
}

// tidy closes those that have been idle for a while, as long as there are too many.
func (p *places) tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.crowded() {
		return
	}
	for c := range p.conns {
		if c.stage == idle && now.Sub(c.since) >= idleFor && sockets.Pending(c.Conn) <= 0 {
			c.end()
		}
	}
}

// closeIdleWhile closes the connections that are between two requests, if leaving still holds once the places are
// locked: a connection that becomes idle after leaving ended is never closed by a pass that began before.
func (p *places) closeIdleWhile(leaving func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leaving() {
		return
	}
	for c := range p.conns {
		if c.stage == idle && sockets.Pending(c.Conn) == 0 {
			c.end()
		}
	}
}

// closeSilent closes the connections on which nothing has come since before the moment given.
func (p *places) closeSilent(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.stage == fresh && c.since.Before(before) && c.silent() {
			c.end()
		}
	}
}

// closeWaiting closes the connections on which no request is open or coming in, and counts
// those of which one may have come whole and not be noted yet: there are bytes that are not
// read, or reading began after the moment given.
func (p *places) closeWaiting(after time.Time) (coming int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		switch {
		case c.stage == idle && sockets.Pending(c.Conn) == 0 || c.stage == fresh && c.silent():
			if !c.end() {
				coming++
			}
		case c.stage == idle, c.stage == fresh && !c.got.Load(), c.stage != rejected && c.since.After(after):
			coming++
		}
	}
	return coming
}

func (p *places) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}
