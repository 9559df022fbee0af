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

// transport carries messages to the other core machines and back, on one connection each way. A message that can't be
// sent is lost: replication sends again what matters. It is safe for concurrent use.
type transport struct {
	dial distribution.DialFunc

	mu     sync.Mutex
	queues map[string]chan replication.Message // by address; one writeLoop each
}

const (
	// peerQueueLength bounds the messages that wait for one peer.
	peerQueueLength = 64
	// peerTimeout bounds a dial and a write to a peer.
	peerTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long a connection without messages is kept.
	peerIdleTimeout = 10 * time.Second
	// peerReadTimeout is how long a peer may send nothing before its connection is closed here: it closes it itself
	// before.
	peerReadTimeout = 3 * peerIdleTimeout
	// acceptRetry is the pause after a failed accept: the process may be out of descriptors.
	acceptRetry = 20 * time.Millisecond
)

// newTransport returns a transport that connects by dial.
func newTransport(dial distribution.DialFunc) *transport {
	return &transport{
		dial:   dial,
		queues: map[string]chan replication.Message{},
	}
}

// send queues a message for a peer. It doesn't block: with a full queue the message is lost.
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

// writeLoop sends what is queued for one peer, and ends when nothing has been for peerIdleTimeout.
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

// discardQueued drops what waited while a message could not be sent: it is out of date.
func discardQueued(q <-chan replication.Message) {
	for len(q) > 0 {
		<-q
	}
}

// removeQueue ends the use of a queue, unless there is a message in it.
func (t *transport) removeQueue(to string, q <-chan replication.Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(q) > 0 {
		return false
	}
	delete(t.queues, to)
	return true
}

// deliver sends one message on a connection, or on a new one where there is none or it has ended: the peer's process
// may have been replaced by another, which is not to miss the first message. A peer that doesn't answer isn't tried
// twice. It returns the connection for the next message, and blocks for a dial and two writes at most.
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

// closeOnEOF closes a connection once the peer has ended it. Nothing is ever read from it: without this a first
// message to a process that is gone would be taken by the kernel and lost.
func closeOnEOF(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	c.Close()
}

// serve accepts connections of the other core machines until ctx ends, hands their messages to receive, and calls ended
// with the address of a machine whose connection has ended ("": it had sent nothing). It returns when all of that is
// done.
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

// readMessages reads a connection to its end; see serve.
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
