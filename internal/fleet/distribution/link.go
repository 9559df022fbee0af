package distribution

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"

	"molepaddle/internal/fleet/residencyreport"
)

// Serve answers pulls from the store on a listener until ctx ends. Connections that ask for nothing for the time
// given are closed; fresh has the store hear of the primary, before the content of an answer is gathered.
func Serve(ctx context.Context, ln net.Listener, name string, s *Cache, idle time.Duration, fresh func() (time.Time, string)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			t := time.NewTimer(20 * time.Millisecond) // out of descriptors, say
			select {
			case <-t.C:
			case <-ctx.Done():
			}
			continue
		}
		go func() {
			defer c.Close()
			stop := context.AfterFunc(ctx, func() { c.Close() })
			defer stop()
			r := bufio.NewReaderSize(c, 1024)
			var rested residencyreport.Receiver
			for {
				_ = c.SetDeadline(time.Now().Add(idle))
				var p Request
				if ReadFrame(r, &p) != nil {
					return
				}
				s.Renew(p.Members, time.Now())
				s.Outcomes.Put(p.Outcomes...)
				if p.Push {
					_ = c.SetDeadline(time.Now().Add(idle))
					if WriteFrame(c, &Response{From: name, LastContactMs: -1}) != nil {
						return
					}
					continue
				}
				if p.Residency != nil {
					s.Residency.receive(&rested, p.Residency)
				}
				if p.Final {
					s.Residency.markSendersDone()
				} else {
					s.Residency.markSenderActive()
				}
				p.WaitMs = min(max(p.WaitMs, 0), 30_000)
				n := s.fetch(ctx, name, &p, func() { fresh() })
				if !rested.Idle() {
					n.ResidencyAcks = s.Residency.acknowledgements(&rested)
				}
				_ = c.SetDeadline(time.Now().Add(idle))
				if WriteFrame(&progressWriter{c, idle}, n) != nil {
					return
				}
			}
		}()
	}
}

// PullTimeouts is how long a pull may wait, and how much longer its answer may take, for a change to be in force everywhere in
// the time given although one source on its way was lost: a wait, a silence, and as much for the next source.
func PullTimeouts(apply, heartbeat time.Duration) (wait, readTimeout time.Duration) {
	return min(heartbeat, apply/5), max(apply/4, 200*time.Millisecond)
}

// Backoff is the wait before a source is asked again: it grows twofold from Least to Most, a part of it by chance so that
// those that lost a source together don't come back together, and is Least again after a link that lasted.
type Backoff struct {
	Min, Max time.Duration
	next     time.Duration
}

// MaxWait waits until it is time to ask again, or ctx ends; lasted is how long the last link stood.
func (p *Backoff) Wait(ctx context.Context, lasted time.Duration) {
	if p.next == 0 || lasted > 10*p.Max {
		p.next = p.Min
	}
	t := time.NewTimer(p.next/2 + rand.N(p.next/2+1))
	defer t.Stop()
	p.next = min(2*p.next, p.Max)
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// minDialTimeout is what a dial has at the least: round trips between regions are some tens of ms.
const minDialTimeout = 100 * time.Millisecond

// progressReader is a connection whose answer has time for as long as it comes: a whole list over a thin link takes longer than
// a silence.
type progressReader struct {
	net.Conn
	timeout time.Duration
}

func (c *progressReader) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.timeout))
	}
	return n, err
}

// Watcher is who pulls.
type Watcher struct {
	Name        string
	MaxWait     time.Duration        // for which a pull may wait for news, at the most
	NextWait    func() time.Duration // how long the next pull may; nil: Wait
	ReadTimeout time.Duration        // how much longer than that an answer may take
	Members     func() []Member
	Versions    func() map[string]Version
	Apply       func(n *Response) (lacking []string) // sources that are to be sent whole
	Continue    func() bool                          // false: no further pull; nil: as long as the connection lasts
	Residency   func(now time.Time) *ResidencyOutbox // what is to be handed on with the next pull; nil: nothing ever
	Final       bool                                 // one pull, the last word of a process that ends
	Dial        DialFunc                             // nil: Dial
	// Outcomes are pushed to the source as they come, over a connection of their own; nil: none ever.
	Outcomes *OutcomeQueue
}

// dial connects to the source.
func (w *Watcher) dial(addr string) (net.Conn, error) {
	if w.Dial == nil {
		return Dial(addr, max(w.ReadTimeout/3, minDialTimeout))
	}
	return w.Dial(addr, max(w.ReadTimeout/3, minDialTimeout))
}

// nextWait is how long the next pull may wait for news.
func (w *Watcher) nextWait() time.Duration {
	if w.NextWait == nil {
		return w.MaxWait
	}
	return w.NextWait()
}

// Watch pulls from an address until the connection breaks, ctx ends or Goes says so.
func Watch(ctx context.Context, addr string, w *Watcher) error {
	c, err := w.dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if w.Outcomes != nil && !w.Final {
		pushing, end := context.WithCancel(ctx)
		defer end()
		go w.pushOutcomes(pushing, addr)
	}
	r := bufio.NewReader(&progressReader{c, w.ReadTimeout})
	var lacking []string
	var rested residencyreport.Sender
	for asked := false; !(w.Final && asked) && (w.Continue == nil || w.Continue()); asked = true {
		wait, sent := w.nextWait(), time.Now()
		p := Request{From: w.Name, WaitMs: wait.Milliseconds(), Versions: w.Versions(), Members: w.Members(), Final: w.Final}
		for _, source := range lacking {
			delete(p.Versions, source)
		}
		var out *ResidencyOutbox
		if w.Residency != nil {
			now := time.Now()
			out = w.Residency(now)
			p.Residency = out.nextBatches(&rested, now)
		}
		_ = c.SetDeadline(sent.Add(wait + w.ReadTimeout))
		if err := WriteFrame(c, &p); err != nil {
			return err
		}
		var n Response
		if err := ReadFrame(r, &n); err != nil {
			return err
		}
		n.addTransitTime(sent)
		if out != nil && n.ResidencyAcks != nil {
			out.Acknowledge(n.ResidencyAcks...)
		}
		lacking = w.Apply(&n)
	}
	return nil
}

// addTransitTime adds what an answer was on its way to what it tells of its age. The request's way counts too, and so does a freeze of
// either side: who reads an old answer late doesn't take it for a new one.
func (n *Response) addTransitTime(sent time.Time) {
	if n.LastContactMs >= 0 {
		n.LastContactMs += max(ageMs(sent)-n.WaitedMs, 0)
	}
}
