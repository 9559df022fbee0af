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

// peers is the way to the other core machines: one connection each way, messages that can't be sent are lost.
type peers struct {
	self string
	log  *zap.Logger
	dial distribution.DialFunc
	mu   sync.Mutex
	out  map[string]chan replication.Message
}

const (
	// peerQueue bounds what waits for one peer.
	peerQueue = 64
	// peerWithin bounds a dial and a write to a peer.
	peerWithin = 500 * time.Millisecond
	// peerIdle is how long a way without messages is kept.
	peerIdle = 10 * time.Second
)

func newPeers(self string, log *zap.Logger, dial distribution.DialFunc) *peers {
	return &peers{self: self, log: log, dial: dial, out: map[string]chan replication.Message{}}
}

func (p *peers) send(to string, m replication.Message) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.out[to]
	if q == nil {
		q = make(chan replication.Message, peerQueue)
		p.out[to] = q
		go p.write(to, q)
	}
	select {
	case q <- m:
	default:
	}
}

// write sends what is queued for one peer, and ends when nothing has been for a while.
func (p *peers) write(to string, q chan replication.Message) {
	var c net.Conn
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		select {
		case m := <-q:
			var err error
			if c, err = p.deliver(c, to, &m); err != nil {
				for len(q) > 0 { // what waited meanwhile is old
					<-q
				}
				continue
			}
			idle.Reset(peerIdle)
		case <-idle.C:
			p.mu.Lock()
			if len(q) > 0 {
				p.mu.Unlock()
				idle.Reset(peerIdle)
				continue
			}
			delete(p.out, to)
			p.mu.Unlock()
			if c != nil {
				c.Close()
			}
			return
		}
	}
}

// deliver sends one message on a connection, or on a new one where there is none or it has ended: the peer's process may have been
// replaced by another, which is not to miss what is said first. One that is silent isn't tried twice.
func (p *peers) deliver(c net.Conn, to string, m *replication.Message) (net.Conn, error) {
	for {
		made := c == nil
		if made {
			var err error
			if c, err = p.dial(to, peerWithin); err != nil {
				return nil, err
			}
			go closeAtEnd(c)
		}
		_ = c.SetWriteDeadline(time.Now().Add(peerWithin))
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

// closeAtEnd closes a connection once the peer has ended it. Nothing is ever read from it: without this a first message to a
// process that is gone would be taken by the kernel and lost.
func closeAtEnd(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	c.Close()
}

// serve hears the other core machines, and tells of whose connection has ended.
func (p *peers) serve(ctx context.Context, ln net.Listener, tell func(from string, m *replication.Message), ended func(from string)) {
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
				_ = c.SetReadDeadline(time.Now().Add(3 * peerIdle))
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
