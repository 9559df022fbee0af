package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// smallBuffers makes connections hold little, as on a thin link, so that a write waits for its reader.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(16 << 10)
	}
	return conn, err
}

// slowLink passes connections to a server on, in its answers so many bytes a second. It returns its own address.
func slowLink(c *qt.C, server string, bytesPerSec int) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { ln.Close() })
	const step = 10 * time.Millisecond
	go func() {
		for {
			client, err := ln.Accept()
			if err != nil {
				return
			}
			conn, err := net.Dial("tcp", server)
			if err != nil {
				client.Close()
				continue
			}
			_ = conn.(*net.TCPConn).SetReadBuffer(16 << 10)
			copyBytes := func(to, from net.Conn, each int, tick <-chan time.Time) {
				defer to.Close()
				defer from.Close()
				buf := make([]byte, each)
				for {
					n, err := from.Read(buf)
					if err != nil {
						return
					}
					if _, err := to.Write(buf[:n]); err != nil {
						return
					}
					if tick != nil {
						<-tick
					}
				}
			}
			ticker := time.NewTicker(step)
			go copyBytes(conn, client, 4096, nil)
			go func() {
				defer ticker.Stop()
				copyBytes(client, conn, int(float64(bytesPerSec)*step.Seconds()), ticker.C)
			}()
		}
	}()
	return ln.Addr().String()
}

// TestSlowLinkCatchesUp: a reader over a thin link, for which the whole takes several times longer than a silence and longer
// than it takes the source to put another whole in its place, comes up with the source while that goes on changing.
func TestSlowLinkCatchesUp(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	const (
		whole   = 600 << 10
		rate    = 200 << 10 // bytes a second
		silence = time.Second
		every   = 5 * time.Millisecond // some 600 changes while the whole is on its way
	)
	source, reader := NewCache(), NewCache()
	go Serve(ctx, smallBuffers{ln}, "source", source, silence, source.LastContact)
	source.SetSnapshot("config", v(1), make([]byte, whole))
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for n := uint64(1); ctx.Err() == nil; n++ {
			source.AppendChange("config", v(n), v(n+1), Change{Version: v(n + 1), Body: make([]byte, 100)}, func() []byte { return make([]byte, whole) })
			<-tick.C
		}
	}()
	addr := slowLink(c, ln.Addr().String(), rate)
	wholes, began := 0, time.Now()
	follow, done := context.WithCancel(ctx)
	for links := 0; follow.Err() == nil; links++ {
		c.Assert(links < 5 && wholes < 4, qt.IsTrue, qt.Commentf("it doesn't come up with the source: %d links broke, %d wholes came", links, wholes))
		_ = Watch(follow, addr, &Watcher{Name: "reader", MaxWait: 100 * time.Millisecond, ReadTimeout: silence, Members: func() []Member { return nil },
			Versions: reader.Versions, Apply: func(n *Response) []string {
				if wholes == 4 {
					done()
				}
				for i := range n.Resources {
					if n.Resources[i].Snapshot != nil {
						wholes++
					}
				}
				lacking := reader.Apply(n, time.Now())
				had, _ := reader.Version("config")
				if now, _ := source.Version("config"); had.Count > 0 && now.Count-had.Count < 100 {
					done()
				}
				return lacking
			}})
	}
	done()
	c.Assert(wholes < 4, qt.IsTrue, qt.Commentf("wholes without end"))
	c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("never came up with the source"))
	t.Logf("up with the source after %v, of it %v for one whole; %d wholes", time.Since(began), time.Duration(whole)*time.Second/rate, wholes)
	c.Check(wholes, qt.Equals, 1)
}
