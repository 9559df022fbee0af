package synop

import (
	"bufio"
	"context"
	"net"
	"time"
)

// silence is how much longer than it may wait an answer to a pull may take.
const silence = 1500 * time.Millisecond

// Serve answers pulls from the store on a listener until ctx ends. Connections that ask for nothing for the time
// given are closed; fresh tells when the primary was last heard of, before each answer.
func Serve(ctx context.Context, ln net.Listener, name string, s *Store, idle time.Duration, fresh func() (time.Time, string)) {
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
			for {
				_ = c.SetDeadline(time.Now().Add(idle))
				var p Pull
				if ReadFrame(r, &p) != nil {
					return
				}
				s.Renew(p.Members, time.Now())
				p.WaitMs = min(max(p.WaitMs, 0), 30_000)
				fresh()
				n := s.Answer(ctx, name, &p)
				fresh()
				if at, primary := s.Fresh(); !at.IsZero() {
					n.FreshMs, n.Primary = time.Since(at).Milliseconds(), primary
				}
				_ = c.SetDeadline(time.Now().Add(idle))
				if WriteFrame(c, n) != nil {
					return
				}
			}
		}()
	}
}

// Follower is who pulls.
type Follower struct {
	Name    string
	Wait    time.Duration // for which a pull may wait for news
	Members func() []Member
	Have    func() map[string]Version
	Take    func(n *News) (lacking []string) // sources that are to be sent whole
	Goes    func() bool                      // false: no further pull; nil: as long as the connection lasts
}

// Follow pulls from an address until the connection breaks, ctx ends or Goes says so.
func Follow(ctx context.Context, addr string, f *Follower) error {
	c, err := Dial(addr, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	r := bufio.NewReader(c)
	var lacking []string
	for f.Goes == nil || f.Goes() {
		p := Pull{From: f.Name, WaitMs: f.Wait.Milliseconds(), Have: f.Have(), Members: f.Members()}
		for _, source := range lacking {
			delete(p.Have, source)
		}
		_ = c.SetDeadline(time.Now().Add(f.Wait + silence))
		if err := WriteFrame(c, &p); err != nil {
			return err
		}
		var n News
		if err := ReadFrame(r, &n); err != nil {
			return err
		}
		lacking = f.Take(&n)
	}
	return nil
}
