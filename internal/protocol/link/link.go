// Package link is one connection between two gateways: the greeting, frames both ways, and
// what is known of the other end's clock and of how the connection fares. It knows what a
// crossing is as little as what a request is.
//
// Run's goroutine reads and hands each frame on; a goroutine of its own writes, what is
// urgent first, then of what is large one part at a time in turn. A lock guards the queue
// and what the beats have told.
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

// Clock is the clock of a process: microseconds since its start, and never 0.
type Clock struct{ start time.Time }

// NewClock starts a clock.
func NewClock() Clock { return Clock{time.Now().Add(-time.Microsecond)} }

// Now reads the clock.
func (c Clock) Now() uint64 { return uint64(time.Since(c.start).Microseconds()) }

// At is the moment at which the clock reads us.
func (c Clock) At(us uint64) time.Time { return c.start.Add(time.Duration(us) * time.Microsecond) }

// Options is how a connection is kept.
type Options struct {
	Clock     Clock
	Beat      time.Duration // between two beats
	DeadAfter time.Duration // without a frame, or with a write that does not go out, it is closed
	// Status tells what the beats say of this end.
	Status func() (open uint64, draining bool)
}

// Item is something to be written: Item appends a frame or none to the buffer, and says
// whether it wants to be called again for more. It runs in the connection's writer.
type Item func(buf []byte) (out []byte, more bool)

// State is what the beats have told.
type State struct {
	Quote    uint64    // the latest reading of the other end's clock
	QuoteAt  time.Time // when it came
	Heard    time.Time // when the last frame came
	Echoed   time.Time // when the latest beat was sent that the other end says it has heard
	RTT      time.Duration
	Back     time.Duration // how long what the other end sends takes to come, seldom more
	Open     uint64        // crossings that the other end holds
	Draining bool
}

// Conn is a connection after its greeting.
type Conn struct {
	Peer linkwire.Hello // what the other end said of itself

	opt    Options
	conn   net.Conn
	reader *linkwire.Reader

	mu     sync.Mutex
	urgent []Item
	bulk   []Item
	state  State
	way    budget.Margin
	wake   chan struct{} // room for one
	done   chan struct{} // closed by Close
	once   sync.Once
	cause  error
}

// errPeer is what the other end has said before it closed.
type errPeer struct{ text string }

func (e errPeer) Error() string { return "the other end says: " + e.text }

func (o Options) wrap(conn net.Conn) *Conn {
	return &Conn{opt: o, conn: conn, reader: linkwire.NewReader(bufio.NewReaderSize(conn, 16<<10)),
		wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Greet opens a connection as the near end: it speaks first. The context bounds it.
func Greet(ctx context.Context, conn net.Conn, mine linkwire.Hello, o Options) (*Conn, error) {
	c := o.wrap(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := c.say(&mine)
	if err == nil {
		err = c.hear()
	}
	if err == nil {
		_, err = agree(&mine, &c.Peer)
	}
	return c.greeted(stop, err)
}

// Welcome takes a connection as the far end. The context bounds it. mine is asked when the
// near end has spoken, and may turn it away by an error, which it is told.
func Welcome(ctx context.Context, conn net.Conn, mine func(peer *linkwire.Hello) (linkwire.Hello, error), o Options) (*Conn, error) {
	c := o.wrap(conn)
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err := c.hear()
	if err == nil {
		var hello linkwire.Hello
		if hello, err = mine(&c.Peer); err == nil {
			if _, err = agree(&hello, &c.Peer); err == nil {
				err = c.say(&hello)
			}
		}
		if err != nil {
			_ = c.say(&linkwire.Bye{Text: err.Error()})
		}
	}
	return c.greeted(stop, err)
}

// greeted ends a greeting.
func (c *Conn) greeted(stop func() bool, err error) (*Conn, error) {
	if err == nil && !stop() {
		err = errors.New("greeting: out of time")
	}
	if err != nil {
		c.conn.Close()
		return nil, err
	}
	now := time.Now()
	c.state = State{Quote: c.Peer.Now, QuoteAt: now, Heard: now, Echoed: now, Draining: c.Peer.Draining}
	return c, nil
}

// agree is the version that both ends speak.
func agree(mine, peer *linkwire.Hello) (uint64, error) {
	v := min(mine.Most, peer.Most)
	if v < mine.Least || v < peer.Least {
		return 0, fmt.Errorf("version: this end speaks %d to %d, the other %d to %d", mine.Least, mine.Most, peer.Least, peer.Most)
	}
	return v, nil
}

func (c *Conn) say(f linkwire.Frame) error {
	buf, err := linkwire.Append(nil, f)
	if err != nil {
		return err
	}
	_, err = c.conn.Write(buf)
	return err
}

func (c *Conn) hear() error {
	f, err := c.reader.Next()
	if err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	switch f := f.(type) {
	case *linkwire.Hello:
		c.Peer = *f
		return nil
	case *linkwire.Bye:
		return errPeer{f.Text}
	}
	return fmt.Errorf("greeting: a frame of kind %d", f.Kind())
}

// State tells what is known of the other end.
func (c *Conn) State() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state
}

// Stalled tells whether for longer than after nothing came from the other end, or it has
// heard nothing from here.
func (s *State) Stalled(now time.Time, after time.Duration) bool {
	return now.Sub(s.Heard) > after || now.Sub(s.Echoed) > after
}

// Urgent queues a frame ahead of all that is not urgent.
func (c *Conn) Urgent(f linkwire.Frame) {
	c.queue(&c.urgent, linkwire.One(f))
}

// Bulk queues an item; those queued before it come first, but for their further parts.
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

// Close ends the connection for the reason given; Run returns it.
func (c *Conn) Close(cause error) {
	c.once.Do(func() {
		c.cause = cause
		close(c.done)
		c.conn.Close()
	})
}

// Run reads frames and hands them on, but for beats, until the connection ends; it returns
// why. No frame is handed on after that. It must be called once, and soon.
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
			c.beaten(f)
			continue
		case *linkwire.Drain:
			c.mu.Lock()
			c.state.Draining = true
			c.mu.Unlock()
		case *linkwire.Hello:
			return errors.New("a second greeting")
		case *linkwire.Bye:
			return errPeer{f.Text}
		}
		c.mu.Lock()
		c.state.Heard = time.Now()
		c.mu.Unlock()
		if err := take(f); err != nil {
			return err
		}
	}
}

// beaten takes a beat.
func (c *Conn) beaten(f *linkwire.Beat) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.state
	s.Heard, s.Open, s.Draining = now, f.Open, s.Draining || f.Draining
	if f.Now >= s.Quote {
		s.Quote, s.QuoteAt = f.Now, now
	}
	if mine := c.opt.Clock.Now(); f.Echo > 0 && f.Echo <= mine {
		if at := c.opt.Clock.At(f.Echo); at.After(s.Echoed) {
			s.Echoed = at
		}
		if trip := int64(mine-f.Echo) - int64(f.Held); trip >= 0 {
			s.RTT = time.Duration(trip) * time.Microsecond
			c.way.Observe(s.RTT)
			s.Back = c.way.ReturnTime()
		}
	}
}

// beat is what this end tells of itself.
func (c *Conn) beat() *linkwire.Beat {
	f := &linkwire.Beat{}
	f.Open, f.Draining = c.opt.Status()
	c.mu.Lock()
	defer c.mu.Unlock()
	f.Now = c.opt.Clock.Now()
	f.Echo = c.state.Quote
	f.Held = uint64(max(time.Since(c.state.QuoteAt).Microseconds(), 0))
	return f
}

// maxWrite is how much is gathered for one write, in bytes; a last frame may go over it.
const maxWrite = 32 << 10

func (c *Conn) write() {
	beat := time.NewTicker(c.opt.Beat)
	defer beat.Stop()
	buf := make([]byte, 0, 4<<10)
	next := c.beat()
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
			continue // perhaps more came meanwhile
		}
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-beat.C:
			next = c.beat()
		}
	}
}

// pop takes the next item; large tells that it stood in the bulk.
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
