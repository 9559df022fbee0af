// Package link implements one connection between two gateways or peers: the greeting, frames in both
// directions, the other end's clock, and the health of the connection. It knows nothing of crossings
// or requests.
//
// The goroutine of Run reads and passes each frame to a callback. Another goroutine writes: urgent
// items first, then one part at a time of the bulk items in turn. A lock guards the queues and the
// state learnt from heartbeats.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"molepaddle/internal/decide/budget"
	"molepaddle/internal/protocol/linkwire"
)

// Clock is the clock of a process: microseconds since its start, never 0.
type Clock struct{ start time.Time }

// NewClock returns a clock that starts now.
func NewClock() Clock { return Clock{time.Now().Add(-time.Microsecond)} }

// Now returns the clock's reading in microseconds.
func (c Clock) Now() uint64 { return uint64(time.Since(c.start).Microseconds()) }

// Time returns the time at which the clock reads us microseconds.
func (c Clock) Time(us uint64) time.Time { return c.start.Add(time.Duration(us) * time.Microsecond) }

// Options configures a connection.
type Options struct {
	Clock             Clock
	HeartbeatInterval time.Duration // interval between heartbeats
	DeadAfter         time.Duration // time without a frame, or for one write, after which it is closed
	// Status returns what the heartbeats report of this end.
	Status func() (open uint64, draining bool)
}

// Item appends a frame or none to the buffer, and reports whether it is to be called again for more.
// It runs in the connection's writer.
type Item func(buf []byte) (out []byte, more bool)

// State describes the other end and the health of the connection.
type State struct {
	PeerClock   uint64    // the latest reading of the other end's clock
	PeerClockAt time.Time // when that was received
	ReceivedAt  time.Time // when the last frame was received
	EchoedAt    time.Time // when the latest heartbeat that the other end has echoed was sent
	RTT         time.Duration
	ReturnDelay time.Duration // upper estimate of the delay from the other end
	Open        uint64        // crossings open at the other end
	Draining    bool
}

// Conn is a connection after its greeting.
type Conn struct {
	Peer linkwire.Hello // the Hello of the other end

	opt    Options
	conn   net.Conn
	reader *linkwire.Reader

	mu     sync.Mutex
	urgent []Item
	bulk   []Item
	state  State
	rtt    budget.Margin
	wake   chan struct{} // buffered, length 1
	done   chan struct{} // closed by Close
	once   sync.Once
	cause  error
}

// peerError is the reason that the other end gave before it closed.
type peerError struct{ text string }

func (e peerError) Error() string { return "closed by the other end: " + e.text }

func (o Options) wrap(conn net.Conn) *Conn {
	return &Conn{opt: o, conn: conn, reader: linkwire.NewReader(bufio.NewReaderSize(conn, 16<<10)),
		wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Greet performs the greeting as the near end, which sends its Hello first. The context bounds the
// greeting.
func Greet(ctx context.Context, conn net.Conn, mine linkwire.Hello, o Options) (*Conn, error) {
	c := o.wrap(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := c.writeFrame(&mine)
	if err == nil {
		err = c.readHello()
	}
	if err == nil {
		_, err = negotiate(&mine, &c.Peer)
	}
	return c.finishGreeting(stop, err)
}

// Welcome performs the greeting as the far end. The context bounds the greeting. mine is called with
// the near end's Hello; if it returns an error, the near end is rejected and the error's text is sent
// to it.
func Welcome(ctx context.Context, conn net.Conn, mine func(peer *linkwire.Hello) (linkwire.Hello, error),
	o Options) (*Conn, error) {
	c := o.wrap(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := c.readHello()
	if err == nil {
		var hello linkwire.Hello
		if hello, err = mine(&c.Peer); err == nil {
			if _, err = negotiate(&hello, &c.Peer); err == nil {
				err = c.writeFrame(&hello)
			}
		}
		if err != nil {
			_ = c.writeFrame(&linkwire.Bye{Text: err.Error()})
		}
	}
	return c.finishGreeting(stop, err)
}

// finishGreeting sets the initial state after a greeting, or closes the connection if the greeting
// failed.
func (c *Conn) finishGreeting(stop func() bool, err error) (*Conn, error) {
	if err == nil && !stop() {
		err = errors.New("greeting: timed out")
	}
	if err != nil {
		c.conn.Close()
		return nil, err
	}
	now := time.Now()
	c.state = State{PeerClock: c.Peer.Now, PeerClockAt: now, ReceivedAt: now, EchoedAt: now, Draining: c.Peer.Draining}
	return c, nil
}

// negotiate returns the highest version that both ends support.
func negotiate(mine, peer *linkwire.Hello) (uint64, error) {
	v := min(mine.MaxVersion, peer.MaxVersion)
	if v < mine.MinVersion || v < peer.MinVersion {
		return 0, fmt.Errorf("version: this end supports %d to %d, the other %d to %d", mine.MinVersion,
			mine.MaxVersion, peer.MinVersion, peer.MaxVersion)
	}
	return v, nil
}

func (c *Conn) writeFrame(f linkwire.Frame) error {
	buf, err := linkwire.Append(nil, f)
	if err != nil {
		return err
	}
	_, err = c.conn.Write(buf)
	return err
}

func (c *Conn) readHello() error {
	f, err := c.reader.Next()
	if err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	switch f := f.(type) {
	case *linkwire.Hello:
		c.Peer = *f
		return nil
	case *linkwire.Bye:
		return peerError{f.Text}
	}
	return fmt.Errorf("greeting: unexpected frame of kind %d", f.Kind())
}

// State returns the current state.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Stalled reports whether nothing was received for longer than after, or no heartbeat sent within that
// time was echoed.
func (s *State) Stalled(now time.Time, after time.Duration) bool {
	return now.Sub(s.ReceivedAt) > after || now.Sub(s.EchoedAt) > after
}

// Urgent queues a frame ahead of all bulk items.
func (c *Conn) Urgent(f linkwire.Frame) {
	c.queue(&c.urgent, linkwire.SingleFrame(f))
}

// Bulk queues an item behind the bulk items queued before it. Items with more parts are queued again
// at the end after each part.
func (c *Conn) Bulk(i Item) { c.queue(&c.bulk, i) }

func (c *Conn) queue(q *[]Item, i Item) {
	c.mu.Lock()
	*q = append(*q, i)
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close closes the connection; Run returns the cause.
func (c *Conn) Close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.done)
		c.conn.Close()
	})
}

// Run reads frames and passes them to take, except for heartbeats, until the connection ends. It
// returns the reason; take is not called after that. Run must be called exactly once, soon after the
// greeting.
func (c *Conn) Run(take func(linkwire.Frame) error) error {
	wrote := make(chan struct{})
	go func() {
		defer close(wrote)
		c.write()
	}()
	err := c.read(take)
	c.Close(err)
	<-wrote
	return c.cause
}

func (c *Conn) read(take func(linkwire.Frame) error) error {
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(c.opt.DeadAfter)); err != nil {
			return err
		}
		f, err := c.reader.Next()
		if err != nil {
			return err
		}
		switch f := f.(type) {
		case *linkwire.Beat:
			c.handleHeartbeat(f)
			continue
		case *linkwire.Drain:
			c.mu.Lock()
			c.state.Draining = true
			c.mu.Unlock()
		case *linkwire.Hello:
			return errors.New("unexpected second Hello")
		case *linkwire.Bye:
			return peerError{f.Text}
		}
		c.mu.Lock()
		c.state.ReceivedAt = time.Now()
		c.mu.Unlock()
		if err := take(f); err != nil {
			return err
		}
	}
}

// handleHeartbeat updates the state from a heartbeat.
func (c *Conn) handleHeartbeat(f *linkwire.Beat) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.state
	s.ReceivedAt, s.Open, s.Draining = now, f.Open, s.Draining || f.Draining
	if f.Now >= s.PeerClock {
		s.PeerClock, s.PeerClockAt = f.Now, now
	}
	if mine := c.opt.Clock.Now(); f.Echo > 0 && f.Echo <= mine {
		if at := c.opt.Clock.Time(f.Echo); at.After(s.EchoedAt) {
			s.EchoedAt = at
		}
		if trip := int64(mine-f.Echo) - int64(f.EchoAge); trip >= 0 {
			s.RTT = time.Duration(trip) * time.Microsecond
			c.rtt.Observe(s.RTT)
			s.ReturnDelay = c.rtt.ReturnTime()
		}
	}
}

// newHeartbeat returns the next heartbeat of this end.
func (c *Conn) newHeartbeat() *linkwire.Beat {
	f := &linkwire.Beat{}
	f.Open, f.Draining = c.opt.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	f.Now = c.opt.Clock.Now()
	f.Echo = c.state.PeerClock
	f.EchoAge = uint64(max(time.Since(c.state.PeerClockAt).Microseconds(), 0))
	return f
}

// maxWrite is the number of bytes gathered for one write; the last frame may exceed it.
const maxWrite = 32 << 10

func (c *Conn) write() {
	beat := time.NewTicker(c.opt.HeartbeatInterval)
	defer beat.Stop()
	buf := make([]byte, 0, 4<<10)
	next := c.newHeartbeat()
	for {
		buf = buf[:0]
		if next != nil {
			buf, _ = linkwire.Append(buf, next)
			next = nil
		}
		for len(buf) < maxWrite {
			i, large := c.pop()
			if i == nil {
				break
			}
			var more bool
			if buf, more = i(buf); more && large {
				c.queue(&c.bulk, i)
			}
		}
		if len(buf) > 0 {
			_ = c.conn.SetWriteDeadline(time.Now().Add(c.opt.DeadAfter))
			if _, err := c.conn.Write(buf); err != nil {
				c.Close(err)
				return
			}
			if cap(buf) > 4*maxWrite {
				buf = make([]byte, 0, 4<<10)
			}
			continue // more items may have been queued
		}
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-beat.C:
			next = c.newHeartbeat()
		}
	}
}

// pop removes and returns the next item; large reports whether it was in the bulk queue.
func (c *Conn) pop() (i Item, large bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, q := range []*[]Item{&c.urgent, &c.bulk} {
		if len(*q) > 0 {
			i = (*q)[0]
			(*q)[0] = nil
			if *q = (*q)[1:]; len(*q) == 0 {
				*q = nil
			}
			return i, q == &c.bulk
		}
	}
	return nil, false
}
