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
					if WriteFrame(c, &Response{From: name, FreshMs: -1}) != nil {
						return
					}
					continue
				}
				if p.Rested != nil {
					s.Rested.take(&rested, p.Rested)
				}
				if p.Ends {
					s.Rested.end()
				} else {
					s.Rested.lives()
				}
				p.WaitMs = min(max(p.WaitMs, 0), 30_000)
				n := s.answer(ctx, name, &p, func() { fresh() })
				if !rested.Idle() {
					n.Kept = s.Rested.tell(&rested)
				}
				_ = c.SetDeadline(time.Now().Add(idle))
				if WriteFrame(&steadyWriter{c, idle}, n) != nil {
					return
				}
			}
		}()
	}
}

// Pace is how long a pull may wait, and how much longer its answer may take, for a change to be in force everywhere in
// the time given although one source on its way was lost: a wait, a silence, and as much for the next source.
func Pace(apply, heartbeat time.Duration) (wait, silence time.Duration) {
	return min(heartbeat, apply/5), max(apply/4, 200*time.Millisecond)
}

// Pause is the wait before a source is asked again: it grows twofold from Least to Most, a part of it by chance so that
// those that lost a source together don't come back together, and is Least again after a link that lasted.
type Pause struct {
	Least, Most time.Duration
	next        time.Duration
}

// Wait waits until it is time to ask again, or ctx ends; lasted is how long the last link stood.
func (p *Pause) Wait(ctx context.Context, lasted time.Duration) {
	if p.next == 0 || lasted > 10*p.Most {
		p.next = p.Least
	}
	t := time.NewTimer(p.next/2 + rand.N(p.next/2+1))
	defer t.Stop()
	p.next = min(2*p.next, p.Most)
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// leastDial is what a dial has at the least: round trips between regions are some tens of ms.
const leastDial = 100 * time.Millisecond

// coming is a connection whose answer has time for as long as it comes: a whole list over a thin link takes longer than
// a silence.
type coming struct {
	net.Conn
	silence time.Duration
}

func (c *coming) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		_ = c.Conn.SetReadDeadline(time.Now().Add(c.silence))
	}
	return n, err
}

// Follower is who pulls.
type Follower struct {
	Name    string
	Wait    time.Duration        // for which a pull may wait for news, at the most
	Waits   func() time.Duration // how long the next pull may; nil: Wait
	Silence time.Duration        // how much longer than that an answer may take
	Members func() []Member
	Have    func() map[string]Version
	Take    func(n *Response) (lacking []string) // sources that are to be sent whole
	Goes    func() bool                          // false: no further pull; nil: as long as the connection lasts
	Rested  func(now time.Time) *Outbox          // what is to be handed on with the next pull; nil: nothing ever
	Ends    bool                                 // one pull, the last word of a process that ends
	Dial    DialFunc                             // nil: Dial
	// Outcomes are pushed to the source as they come, over a connection of their own; nil: none ever.
	Outcomes *OutcomeBox
}

// dial connects to the source.
func (f *Follower) dial(addr string) (net.Conn, error) {
	if f.Dial == nil {
		return Dial(addr, max(f.Silence/3, leastDial))
	}
	return f.Dial(addr, max(f.Silence/3, leastDial))
}

// wait is how long the next pull may wait for news.
func (f *Follower) wait() time.Duration {
	if f.Waits == nil {
		return f.Wait
	}
	return f.Waits()
}

// Follow pulls from an address until the connection breaks, ctx ends or Goes says so.
func Follow(ctx context.Context, addr string, f *Follower) error {
	c, err := f.dial(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	if f.Outcomes != nil && !f.Ends {
		pushing, end := context.WithCancel(ctx)
		defer end()
		go f.push(pushing, addr)
	}
	r := bufio.NewReader(&coming{c, f.Silence})
	var lacking []string
	var rested residencyreport.Sender
	for asked := false; !(f.Ends && asked) && (f.Goes == nil || f.Goes()); asked = true {
		wait, sent := f.wait(), time.Now()
		p := Request{From: f.Name, WaitMs: wait.Milliseconds(), Have: f.Have(), Members: f.Members(), Ends: f.Ends}
		for _, source := range lacking {
			delete(p.Have, source)
		}
		var out *Outbox
		if f.Rested != nil {
			now := time.Now()
			out = f.Rested(now)
			p.Rested = out.next(&rested, now)
		}
		_ = c.SetDeadline(sent.Add(wait + f.Silence))
		if err := WriteFrame(c, &p); err != nil {
			return err
		}
		var n Response
		if err := ReadFrame(r, &n); err != nil {
			return err
		}
		n.age(sent)
		if out != nil && n.Kept != nil {
			out.Keep(n.Kept...)
		}
		lacking = f.Take(&n)
	}
	return nil
}

// age adds what an answer was on its way to what it tells of its age. The request's way counts too, and so does a freeze of
// either side: who reads an old answer late doesn't take it for a new one.
func (n *Response) age(sent time.Time) {
	if n.FreshMs >= 0 {
		n.FreshMs += max(ageMs(sent)-n.HeldMs, 0)
	}
}
