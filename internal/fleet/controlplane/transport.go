package controlplane

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// transport exchanges messages with the other core machines, on one connection per direction. A message that can't be
// sent is dropped: replication resends what is necessary. It is safe for concurrent use.
type transport struct {
	dial distribution.DialFunc

	mu     sync.Mutex
	queues map[string]chan replication.Message // by peer address; each has one writeLoop
}

const (
	// peerQueueLength bounds the messages queued for one peer.
	peerQueueLength = 64
	// peerTimeout bounds a dial to, and a write to, a peer.
	peerTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long an idle outgoing connection is kept open.
	peerIdleTimeout = 10 * time.Second
	// peerReadTimeout is how long an incoming connection may be idle before it is closed; the peer normally closes it
	// earlier.
	peerReadTimeout = 3 * peerIdleTimeout
	// acceptRetry is the pause after a failed accept, for example when the process is out of file descriptors.
	acceptRetry = 20 * time.Millisecond
)

// newTransport returns a transport that connects by dial.
func newTransport(dial distribution.DialFunc) *transport {
	return &transport{
		dial:   dial,
		queues: map[string]chan replication.Message{},
	}
}

// send queues a message for a peer. It doesn't block: if the queue is full the message is dropped.
func (t *transport) send(to string, m replication.Message) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := t.queues[to]
	if q == nil {
		q = make(chan replication.Message, peerQueueLength)
		t.queues[to] = q
		go t.writeLoop(to, q)
	}
	select {
	case q <- m:
	default:
	}
}

// writeLoop sends the messages queued for one peer, and ends after peerIdleTimeout without messages.
func (t *transport) writeLoop(to string, q chan replication.Message) {
	var c net.Conn
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-q:
			var err error
			if c, err = t.deliver(c, to, &m); err != nil {
				discardQueued(q)
				continue
			}
			idle.Reset(peerIdleTimeout)
		case <-idle.C:
			if !t.removeQueue(to, q) {
				idle.Reset(peerIdleTimeout)
				continue
			}
			if c != nil {
				c.Close()
			}
			return
		}
	}
}

// discardQueued drops the messages queued while a message could not be sent: they are out of date.
func discardQueued(q <-chan replication.Message) {
	for len(q) > 0 {
		<-q
	}
}

// removeQueue removes an empty queue and reports whether it did; a queue with messages is kept.
func (t *transport) removeQueue(to string, q <-chan replication.Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// deliver sends one message on c, or on a new connection if c is nil or broken: if the peer's process was replaced, the
// new process must receive the first message. A peer that times out isn't tried again. It returns the connection for
// the next message, and blocks for one dial and two writes at most.
func (t *transport) deliver(c net.Conn, to string, m *replication.Message) (net.Conn, error) {
	for {
		dialed := c == nil
		if dialed {
			var err error
			if c, err = t.dial(to, peerTimeout); err != nil {
				return nil, err
			}
			go closeOnEOF(c)
		}
		_ = c.SetWriteDeadline(time.Now().Add(peerTimeout))
		err := distribution.WriteFrame(c, m)
		if err == nil {
			return c, nil
		}
		c.Close()
		c = nil
		if dialed || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// closeOnEOF closes a connection once the peer has closed it. Nothing is ever read from the connection: without this,
// the kernel would accept the first message to an exited process and the message would be lost.
func closeOnEOF(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	c.Close()
}

// serve accepts connections of the other core machines until ctx ends, and passes their messages to receive. When a
// connection has ended it calls ended with the peer's address, "" if the peer had sent nothing. It returns once all
// connections have ended.
func (t *transport) serve(
	ctx context.Context, ln net.Listener, receive func(from string, m *replication.Message), ended func(from string),
) {
	var conns sync.WaitGroup
	defer conns.Wait()
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(acceptRetry)
			continue
		}
		conns.Go(func() { readMessages(ctx, c, receive, ended) })
	}
}

// readMessages reads messages from a connection until it ends; see serve.
func readMessages(
	ctx context.Context, c net.Conn, receive func(from string, m *replication.Message), ended func(from string),
) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	from := ""
	defer func() { ended(from) }()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(peerReadTimeout))
		m := new(replication.Message)
		if err := distribution.ReadFrame(r, m); err != nil {
			return
		}
		from = m.From.Addr
		receive(from, m)
	}
}
