package controlplane

import (
	"bufio"
	"context"
	"net"
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

func newPeers(self string, log *zap.Logger) *peers {
	return &peers{self: self, log: log, out: map[string]chan replication.Message{}}
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
	var gone <-chan struct{}
	idle := time.NewTimer(peerIdle)
	defer idle.Stop()
	for {
		select {
		case m := <-q:
			if c != nil && isClosed(gone) {
				c.Close()
				c, gone = nil, nil
			}
			if c == nil {
				var err error
				if c, err = distribution.Dial(to, peerWithin); err != nil {
					c = nil
					for len(q) > 0 { // what waited meanwhile is old
						<-q
					}
					continue
				}
				gone = closedByPeer(c)
			}
			_ = c.SetWriteDeadline(time.Now().Add(peerWithin))
			if err := distribution.WriteFrame(c, &m); err != nil {
				c.Close()
				c, gone = nil, nil
			}
			idle.Reset(peerIdle)
		case <-gone:
			c.Close()
			c, gone = nil, nil
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

// serve hears the other core machines.
func (p *peers) serve(ctx context.Context, ln net.Listener, tell func(from string, m *replication.Message)) {
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
			for {
				_ = c.SetReadDeadline(time.Now().Add(3 * peerIdle))
				m := new(replication.Message)
				if err := distribution.ReadFrame(r, m); err != nil {
					return
				}
				tell(m.From.Addr, m)
			}
		}()
	}
}
