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
	// idleFor is how long a connection between requests is kept before it may be closed.
	idleFor = 2 * time.Second
	// unfinishedFor is how long a request may take to arrive while others need its connection's place.
	unfinishedFor = 500 * time.Millisecond
	// firstByteTimeout is how long a new connection may send nothing while others need its place.
	firstByteTimeout = 30 * time.Millisecond
	// placeWait is how long a new connection waits for a place, placeRetry the interval between its attempts, which is
	// in step with no other timer.
	placeWait, placeRetry = 150 * time.Millisecond, 1999 * time.Microsecond
	// tidyEvery is the interval at which idle connections are checked.
	tidyEvery = 250 * time.Millisecond
)

// stage is the stage of a client connection.
type stage uint8

const (
	fresh    stage = iota // its first request has not arrived completely
	idle                  // between requests
	busy                  // a request is being read or answered
	rejected              // a bad request was answered, and the connection closes
)

// Read states of a connection since it became idle or was accepted.
const (
	readNone   int32 = iota // nothing has been read
	readSome                // bytes have been read: it is not closed as idle
	closedIdle              // it is being closed as idle: bytes read now are discarded
)

// clientConn is a client connection. stage, since and number are guarded by the lock of places.
type clientConn struct {
	net.Conn
	places    *places
	received  atomic.Bool  // bytes have been read from it
	readState atomic.Int32 // readNone, readSome or closedIdle; the first change from readNone wins
	stage     stage
	since     time.Time // when the stage began
	number    int       // sequence number in the order of acceptance

	mu       sync.Mutex
	raw      []byte // bytes since the previous request was answered, up to maxHead; only while no handler runs
	keepHead bool   // raw is recorded

	last atomic.Int64 // when bytes were last read, in nanoseconds since places.made
}

// lastByteAt returns when the last byte of the current request was read.
func (c *clientConn) lastByteAt() time.Time { return c.places.made.Add(time.Duration(c.last.Load())) }

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if c.keepHead {
			c.mu.Lock()
			if len(c.raw) < maxHead {
				c.raw = append(c.raw, p[:min(n, maxHead-len(c.raw))]...)
			}
			c.mu.Unlock()
		}
		c.last.Store(int64(time.Since(c.places.made)))
		if !c.received.Load() {
			c.received.Store(true)
		}
		// Decides whether the connection is closed as idle or its next request is read: bytes that arrive on a closing
		// connection count as never read, and the client sends them again on another.
		if !c.readState.CompareAndSwap(readNone, readSome) && c.readState.Load() == closedIdle {
			return 0, io.EOF // to any other error net/http would answer 400 if the close takes a moment
		}
	}
	return n, err
}

// chunkedOnly reports whether the header of a chunked request was recorded and has no Content-Length.
func (c *clientConn) chunkedOnly(hr *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	head, seen := headOf(c.raw, hr.Method, hr.RequestURI)
	return seen && !hasContentLength(head)
}

// resetHead drops the recorded bytes of a request that is answered.
func (c *clientConn) resetHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.raw = c.raw[:0]; cap(c.raw) > 1<<10 {
		c.raw = nil
	}
}

// closeIdle closes a connection between two requests unless the next one has begun to be read, and reports whether it
// did. places must be locked.
func (c *clientConn) closeIdle() bool {
	if !c.readState.CompareAndSwap(readNone, closedIdle) {
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

// CloseWrite closes the sending side first, so that a client that is still sending reads its answer before the
// connection breaks.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// receivedNothing reports whether no bytes have arrived on the connection, not even unread ones.
func (c *clientConn) receivedNothing() bool {
	return !c.received.Load() && sockets.Pending(c.Conn) == 0
}

// places holds the client connections and limits their number.
type places struct {
	made      time.Time
	maxConns  int
	maxKept   int // number of used connections above which none is kept after its answer
	mu        sync.Mutex
	conns     map[*clientConn]struct{}
	accepted  int         // connections accepted so far
	tidyTimer *time.Timer // runs runTidy; nil: there are no connections, or the front end shuts down
	stopped   bool        // the front end shuts down
}

func newPlaces(most, many int) *places {
	return &places{made: time.Now(), maxConns: most, maxKept: many, conns: map[*clientConn]struct{}{}}
}

func (p *places) bound(most, many int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns, p.maxKept = most, many
}

// listener assigns a place to each connection that it accepts.
type listener struct {
	net.Listener
	places    *places
	life      *lifecycle.Machine
	keepHeads bool            // chunked requests are accepted, so headers are recorded
	end       <-chan struct{} // closed when the front end is to shut down
}

// Accept always accepts the next connection: left in the kernel's queue, its request would seem accepted but never be
// answered. If there is no place for it, another connection is closed, or if all are in use, the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := sockets.Accept(l.Listener, l.life, l.end)
		if err != nil {
			return nil, err
		}
		cc := &clientConn{Conn: c, places: l.places, keepHead: l.keepHeads, since: time.Now()}
		for !l.places.take(cc, time.Now()) {
			if time.Since(cc.since) > placeWait {
				c.Close()
				cc = nil
				break
			}
			time.Sleep(placeRetry)
		}
		if cc != nil {
			return cc, nil
		}
	}
}

// take assigns a place to the connection, closing the connection that needs its own least if all are in use.
func (p *places) take(c *clientConn, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.conns) >= p.maxConns {
		least, unasked := p.victim(now)
		if least == nil {
			return false
		}
		if unasked { // kept if bytes have arrived since the check
			if !least.closeIdle() {
				return false
			}
		} else {
			delete(p.conns, least)
			least.Conn.Close()
		}
	}
	p.accepted++
	c.number = p.accepted
	p.conns[c] = struct{}{}
	if p.tidyTimer == nil && !p.stopped {
		p.tidyTimer = time.AfterFunc(tidyEvery, p.runTidy)
	}
	return true
}

// runTidy tidies, and reschedules itself as long as there are connections.
func (p *places) runTidy() {
	p.tidy(time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tidyTimer = nil; len(p.conns) > 0 && !p.stopped {
		p.tidyTimer = time.AfterFunc(tidyEvery, p.runTidy)
	}
}

// stopTidying stops the tidying for good.
func (p *places) stopTidying() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped = true; p.tidyTimer != nil {
		p.tidyTimer.Stop()
	}
}

// victim returns the connection to close for a new one: the one idle longest; else the oldest that has sent nothing;
// else a rejected one; else the oldest whose first request remains incomplete; else one between requests. A connection
// with a request open is never chosen. unasked reports that it had sent nothing of a request.
func (p *places) victim(now time.Time) (least *clientConn, unasked bool) {
	const kinds = 5
	var found [kinds]*clientConn
	for c := range p.conns {
		kind, age := kinds, now.Sub(c.since)
		switch {
		case c.stage == idle && age >= idleFor:
			kind = 0
		case c.stage == fresh && c.received.Load() && age >= unfinishedFor:
			kind = 3
		case c.stage == fresh && !c.received.Load() && age >= firstByteTimeout:
			kind = 1
		case c.stage == rejected:
			kind = 2
		case c.stage == idle:
			kind = 4 // may race with a request, which the client then sends again
		}
		// Unread bytes may be a request that has just arrived.
		if kind < kinds && (found[kind] == nil || c.olderThan(found[kind])) &&
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

// olderThan reports whether the connection has been in its stage longer than another; ties go to the one accepted
// first.
func (c *clientConn) olderThan(than *clientConn) bool {
	return c.since.Before(than.since) || c.since.Equal(than.since) && c.number < than.number
}

func (p *places) drop(c *clientConn) {
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// enter records a connection's new stage. A rejected connection stays rejected.
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
		cc.resetHead()
		cc.readState.CompareAndSwap(readSome, readNone)
		p.enter(cc, idle)
	}
}

// tooManyKept reports whether so many connections, idle or busy, are open that clients may soon have none left for
// their next request: some clients send one request and keep the connection for good. places must be locked.
func (p *places) tooManyKept() bool {
	n := 0
	for c := range p.conns {
		if c.stage == idle || c.stage == busy {
			n++
		}
	}
	return n > p.maxKept
}

// keep reports whether a connection may stay open after the answer to the request whose header has just arrived, and
// whether it still has its place. If its place was given to another while the request was being completed, the request
// must not be handled.
func (p *places) keep(c *clientConn) (stays, placed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, placed = p.conns[c]
	return !p.tooManyKept(), placed || c == nil
}

// tidy closes connections that have been idle for idleFor while too many are kept.
func (p *places) tidy(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.tooManyKept() {
		return
	}
	for c := range p.conns {
		if c.stage == idle && now.Sub(c.since) >= idleFor && sockets.Pending(c.Conn) <= 0 {
			c.closeIdle()
		}
	}
}

// closeIdleWhile closes connections between two requests if leaving still reports true under the lock: a connection
// that becomes idle after the draining ended is never closed by a pass that began before.
func (p *places) closeIdleWhile(leaving func() bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leaving() {
		return
	}
	for c := range p.conns {
		if c.stage == idle && sockets.Pending(c.Conn) == 0 {
			c.closeIdle()
		}
	}
}

// closeUnused closes new connections that were accepted before the given time and have sent nothing.
func (p *places) closeUnused(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.stage == fresh && c.since.Before(before) && c.receivedNothing() {
			c.closeIdle()
		}
	}
}

// closeWaiting closes the connections on which no request is open or arriving, and counts those on which a request may
// have arrived unnoticed: they have unread bytes, or reading began after the given time.
func (p *places) closeWaiting(after time.Time) (coming int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		switch {
		case c.stage == idle && sockets.Pending(c.Conn) == 0 || c.stage == fresh && c.receivedNothing():
			if !c.closeIdle() {
				coming++
			}
		case c.stage == idle, c.stage == fresh && !c.received.Load(), c.stage != rejected && c.since.After(after):
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
