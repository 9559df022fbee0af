package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// linkBufferBytes is the buffer size of each side of a slow link, small enough for a write to wait for its reader.
const linkBufferBytes = 16 << 10

// smallBuffers is a listener whose connections have a write buffer of linkBufferBytes.
type smallBuffers struct{ net.Listener }

func (l smallBuffers) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err == nil {
		err = conn.(*net.TCPConn).SetWriteBuffer(linkBufferBytes)
	}
	return conn, err
}

// slowLink relays connections to a server, the server's responses at a bounded rate. It returns the relay's address.
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
			_ = conn.(*net.TCPConn).SetReadBuffer(linkBufferBytes)
			ticker := time.NewTicker(step)
			go copyChunks(conn, client, 4096, nil)
			go func() {
				defer ticker.Stop()
				copyChunks(client, conn, int(float64(bytesPerSec)*step.Seconds()), ticker.C)
			}()
		}
	}()
	return ln.Addr().String()
}

// copyChunks copies in chunks of at most chunkBytes, one each tick; with a nil tick as fast as they arrive.
func copyChunks(to, from net.Conn, chunkBytes int, tick <-chan time.Time) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, chunkBytes)
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

// appendChanges appends small changes to the configuration, which is at version 1, until ctx ends.
func appendChanges(ctx context.Context, source *Cache, snapshotBytes int, interval time.Duration) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	newSnapshot := func() []byte { return make([]byte, snapshotBytes) }
	for n := uint64(1); ctx.Err() == nil; n++ {
		change := Change{Version: v(n + 1), Body: make([]byte, 100)}
		source.AppendChange("config", v(n), v(n+1), change, newSnapshot)
		<-tick.C
	}
}

// TestSlowLinkCatchesUp: over a slow link, where the transfer of the snapshot takes several times longer than the read
// time-out and longer than the source takes to replace its snapshot, a client catches up with a source that keeps
// changing.
func TestSlowLinkCatchesUp(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	const (
		snapshotBytes  = 600 << 10
		bytesPerSec    = 200 << 10
		readTimeout    = time.Second
		changeInterval = 5 * time.Millisecond // some 600 changes while the snapshot is in transit
	)
	source, client := NewCache(), NewCache()
	go Serve(ctx, smallBuffers{ln}, "source", source, readTimeout, source.LastContact)
	source.SetSnapshot("config", v(1), make([]byte, snapshotBytes))
	go appendChanges(ctx, source, snapshotBytes, changeInterval)
	addr := slowLink(c, ln.Addr().String(), bytesPerSec)
	snapshots, start := 0, time.Now()
	watching, done := context.WithCancel(ctx)
	watcher := &Watcher{
		Name:        "client",
		MaxWait:     100 * time.Millisecond,
		ReadTimeout: readTimeout,
		Members:     noMembers,
		Versions:    client.Versions,
		Apply: func(response *Response) []string {
			if snapshots == 4 {
				done()
			}
			for i := range response.Resources {
				if response.Resources[i].Snapshot != nil {
					snapshots++
				}
			}
			lacking := client.Apply(response, time.Now())
			had, _ := client.Version("config")
			if newest, _ := source.Version("config"); had.Count > 0 && newest.Count-had.Count < 100 {
				done()
			}
			return lacking
		},
	}
	for links := 0; watching.Err() == nil; links++ {
		behind := qt.Commentf("the client doesn't catch up: %d connections broke, %d snapshots arrived", links, snapshots)
		c.Assert(links < 5 && snapshots < 4, qt.IsTrue, behind)
		_ = Watch(watching, addr, watcher)
	}
	done()
	c.Assert(snapshots < 4, qt.IsTrue, qt.Commentf("snapshots without end"))
	c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("never caught up with the source"))
	transit := time.Duration(snapshotBytes) * time.Second / bytesPerSec
	t.Logf("caught up after %v, of it %v for one snapshot; %d snapshots", time.Since(start), transit, snapshots)
	c.Check(snapshots, qt.Equals, 1)
}
