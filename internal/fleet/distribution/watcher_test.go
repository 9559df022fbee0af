package distribution

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// noMembers is a Watcher.Members without members; noVersions is a Watcher.Versions without versions.
func noMembers() []Member { return nil }

func noVersions() map[string]Version { return nil }

func TestWatchWaitsForUpdates(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	source, client := NewCache(), NewCache()
	go Serve(ctx, ln, "source", source, 10*time.Second, source.LastContact)
	applied := make(chan *Response, 16)
	go func() {
		_ = Watch(ctx, ln.Addr().String(), &Watcher{
			Name:        "client",
			MaxWait:     5 * time.Second,
			ReadTimeout: 5 * time.Second,
			Members:     func() []Member { return []Member{{Name: "client", Zone: "z"}} },
			Versions:    client.Versions,
			Apply: func(response *Response) []string {
				lacking := client.Apply(response, time.Now())
				applied <- response
				return lacking
			},
		})
	}()
	for n := uint64(1); n < 4; n++ {
		source.SetSnapshot("config", v(n), []byte("x"))
		<-applied
		version, _ := client.Version("config")
		c.Assert(version.Count <= n && version.Count > 0, qt.IsTrue)
	}
	c.Assert(source.Members(time.Now(), time.Minute), qt.HasLen, 1)
}

// TestReadTimeoutRestartsWithProgress: a response that takes longer than the read time-out, but keeps arriving, is read
// to its end.
func TestReadTimeoutRestartsWithProgress(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	const (
		readTimeout   = 600 * time.Millisecond
		snapshotBytes = 64 << 10
	)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var request Request
		if ReadFrame(bufio.NewReader(conn), &request) != nil {
			return
		}
		var b bytes.Buffer
		resource := Resource{Type: "list", Version: v(1), Snapshot: make([]byte, snapshotBytes)}
		_ = WriteFrame(&b, &Response{Resources: []Resource{resource}})
		tick := time.NewTicker(readTimeout / 4)
		defer tick.Stop()
		for b.Len() > 0 { // for three read time-outs in all
			<-tick.C
			if _, err := conn.Write(b.Next(snapshotBytes / 12)); err != nil {
				return
			}
		}
		<-ctx.Done()
	}()
	applied := make(chan *Response, 1)
	go func() {
		_ = Watch(ctx, ln.Addr().String(), &Watcher{
			Name:        "client",
			MaxWait:     0,
			ReadTimeout: readTimeout,
			Members:     noMembers,
			Versions:    noVersions,
			Apply: func(response *Response) []string {
				applied <- response
				return nil
			},
		})
		close(applied)
	}()
	response, ok := <-applied
	c.Assert(ok, qt.IsTrue, qt.Commentf("the watch ended while the response was arriving"))
	c.Assert(response.Resources[0].Snapshot, qt.HasLen, snapshotBytes)
}

// delayedReads is a connection that returns received data after a delay, as to a process that was frozen.
type delayedReads struct {
	net.Conn
	delay time.Duration
}

func (d delayedReads) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	time.Sleep(d.delay)
	return n, err
}

// TestLastContactIncludesTransitTime: the transit time of a response, and a freeze of its reader, count towards the age
// of the last contact; the time that the request waited at its server for an update doesn't.
func TestLastContactIncludesTransitTime(t *testing.T) {
	c := qt.New(t)
	const maxWait, frozen, readTimeout = time.Second, 300 * time.Millisecond, 10 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	defer ln.Close()
	cache := NewCache()
	go Serve(ctx, ln, "server", cache, time.Minute, func() (time.Time, string) {
		cache.RecordContact("primary", time.Now())
		return cache.LastContact()
	})
	for _, delay := range []time.Duration{0, frozen} {
		pulls := 0
		err = Watch(ctx, ln.Addr().String(), &Watcher{
			Name:        "client",
			MaxWait:     maxWait,
			ReadTimeout: readTimeout,
			Members:     noMembers,
			Versions:    cache.Versions,
			Dial: func(addr string, timeout time.Duration) (net.Conn, error) {
				conn, err := Dial(addr, timeout)
				return delayedReads{conn, delay}, err
			},
			Continue: func() bool { return pulls < 1 },
			Apply: func(response *Response) []string {
				pulls++
				age := response.LastContactMs
				c.Check(age >= delay.Milliseconds(), qt.IsTrue, qt.Commentf("%d", age))
				waitCounts := qt.Commentf("the wait counts as age: %d", age)
				c.Check(age < (delay+maxWait).Milliseconds()-1, qt.IsTrue, waitCounts)
				return nil
			},
		})
		c.Assert(err, qt.IsNil)
		c.Assert(pulls, qt.Equals, 1)
	}
}
