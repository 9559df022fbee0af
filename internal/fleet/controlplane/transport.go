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

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/replication"
)

// transport is the way to the other core machines: one connection each way, messages that can't be sent are lost.
type transport struct {
	self   string
	log    *zap.Logger
	dial   distribution.DialFunc
	mu     sync.Mutex
	queues map[string]chan replication.Message
}

const (
	// peerQueueLength bounds what waits for one peer.
	peerQueueLength = 64
	// peerTimeout bounds a dial and a write to a peer.
	peerTimeout = 500 * time.Millisecond
	// peerIdleTimeout is how long a way without messages is kept.
	peerIdleTimeout = 10 * time.Second
)

func newTransport(self string, log *zap.Logger, dial distribution.DialFunc) *transport {
	return &transport{self: self, log: log, dial: dial, queues: map[string]chan replication.Message{}}
}

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

// writeLoop sends what is queued for one peer, and ends when nothing has been for a while.
func (t *transport) writeLoop(to string, q chan replication.Message) {
	var c net.Conn
	idle := time.NewTimer(peerIdleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-q:
			var err error
			if c, err = t.deliver(c, to, &m); err != nil {
				for len(q) > 0 { // what waited meanwhile is old
					<-q
				}
				continue
			}
			idle.Reset(peerIdleTimeout)
		case <-idle.C:
			t.mu.Lock()
			if len(q) > 0 {
				t.mu.Unlock()
				idle.Reset(peerIdleTimeout)
				continue
			}
			delete(t.queues, to)
			t.mu.Unlock()
			if c != nil {
				c.Close()
			}
			return
		}
	}
}

// deliver sends one message on a connection, or on a new one where there is none or it has ended: the peer's process may have been
// replaced by another, which is not to miss what is said first. One that is silent isn't tried twice.
func (t *transport) deliver(c net.Conn, to string, m *replication.Message) (net.Conn, error) {
	for {
		made := c == nil
		if made {
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
		if made || errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
	}
}

// closeOnEOF closes a connection once the peer has ended it. Nothing is ever read from it: without this a first message to a
// process that is gone would be taken by the kernel and lost.
func closeOnEOF(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	c.Close()
}

// serve hears the other core machines, and tells of whose connection has ended.
func (t *transport) serve(ctx context.Context, ln net.Listener, tell func(from string, m *replication.Message), ended func(from string)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			time.Sleep(20 * time.Millisecond) // out of descriptors, say
			continue
		}
		go func() {
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			r := bufio.NewReader(c)
			from := ""
			defer func() { ended(from) }()
			for {
				_ = c.SetReadDeadline(time.Now().Add(3 * peerIdleTimeout))
				m := new(replication.Message)
				if err := distribution.ReadFrame(r, m); err != nil {
					return
				}
				from = m.From.Addr
				tell(from, m)
			}
		}()
	}
}
