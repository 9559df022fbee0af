package distribution

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/residencyreport"
)

func v(n uint64) Version { return Version{Count: n} }

func TestCacheNeverReturnsToOlderVersion(t *testing.T) {
	c := qt.New(t)
	s := NewCache()
	c.Assert(s.SetSnapshot("config", v(2), []byte("b")), qt.IsTrue)
	c.Assert(s.SetSnapshot("config", v(1), []byte("a")), qt.IsFalse)
	c.Assert(s.SetSnapshot("config", v(2), []byte("c")), qt.IsFalse)
	c.Assert(s.SetSnapshot("config", Version{Epoch: 1}, []byte("d")), qt.IsTrue, qt.Commentf("a later epoch is newer"))
	at, ok := s.Version("config")
	c.Assert(ok, qt.IsTrue)
	c.Assert(at, qt.Equals, Version{Epoch: 1})
}

// Who is a few changes behind gets these; who has nothing, or is too far behind, the whole with what follows on it.
func TestFetchReturnsMissingChanges(t *testing.T) {
	c := qt.New(t)
	s := NewCache()
	c.Assert(s.AppendChange("config", v(0), v(1), Change{Version: v(1)}, nil), qt.IsFalse, qt.Commentf("no whole to follow on"))
	s.SetSnapshot("config", v(1), []byte("whole"))
	c.Assert(s.AppendChange("config", v(1), v(2), Change{Version: v(2), Body: []byte("x")}, nil), qt.IsTrue)
	c.Assert(s.AppendChange("config", v(1), v(3), Change{Version: v(3)}, nil), qt.IsFalse, qt.Commentf("a gap"))
	c.Assert(s.AppendChange("config", v(2), v(3), Change{Version: v(3), Body: []byte("y")}, nil), qt.IsTrue)
	ask := func(have map[string]Version) []Resource {
		return s.Fetch(context.Background(), "n", &Request{Versions: have}).Resources
	}
	p := ask(nil)
	c.Assert(p, qt.HasLen, 1)
	c.Assert(string(p[0].Snapshot), qt.Equals, "whole")
	c.Assert(p[0].Changes, qt.HasLen, 2)
	p = ask(map[string]Version{"config": v(2)})
	c.Assert(p[0].Snapshot, qt.IsNil)
	c.Assert(p[0].Changes, qt.HasLen, 1)
	c.Assert(p[0].BaseVersion, qt.Equals, v(2))
	c.Assert(ask(map[string]Version{"config": v(3)}), qt.HasLen, 0)
	// A relay passes on the same, and says what it can't follow.
	r := NewCache()
	c.Assert(r.Apply(&Response{LastContactMs: -1, Resources: ask(map[string]Version{"config": v(2)})}, time.Now()), qt.DeepEquals, []string{"config"})
	c.Assert(r.Apply(&Response{LastContactMs: -1, Resources: ask(nil)}, time.Now()), qt.HasLen, 0)
	c.Assert(r.Versions(), qt.DeepEquals, s.Versions())
	s.AppendChange("config", v(3), v(4), Change{Version: v(4), Body: []byte("z")}, nil)
	c.Assert(r.Apply(&Response{LastContactMs: -1, Resources: s.Fetch(context.Background(), "n", &Request{Versions: r.Versions()}).Resources}, time.Now()), qt.HasLen, 0)
	c.Assert(r.Versions(), qt.DeepEquals, s.Versions())
}

// Changes after the whole are bounded by a new whole, those before it by what is kept of them. Who is no further behind than
// that gets changes alone, also over a new whole; who is gets the whole.
func TestChangesAreBounded(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{100, 1000, maxBytesAfterSnapshot / 2, 2 * maxBytesAfterSnapshot, 2 * maxHistoryBytes} {
		s := NewCache()
		const whole = 1 << 20
		s.SetSnapshot("config", v(0), make([]byte, whole))
		wholes := 0
		for n := uint64(0); n < 3*maxHistoryChanges; n++ {
			body := make([]byte, size)
			c.Assert(s.AppendChange("config", v(n), v(n+1), Change{Version: v(n + 1), Body: body}, func() []byte { wholes++; return make([]byte, whole) }), qt.IsTrue)
			e := s.entries["config"]
			c.Assert(len(e.changes)-e.afterSnapshot <= maxChangesAfterSnapshot && e.bytesAfterSnapshot <= maxBytesAfterSnapshot, qt.IsTrue)
			c.Assert(len(e.changes) <= maxHistoryChanges+maxChangesAfterSnapshot && e.changeBytes <= maxHistoryBytes+maxBytesAfterSnapshot, qt.IsTrue)
			if n%97 != 0 {
				continue
			}
			bytes := 0
			for i := range e.changes {
				bytes += len(e.changes[i].Body)
			}
			c.Assert(e.changeBytes, qt.Equals, bytes)
			for behind := uint64(1); behind <= min(n+1, 2*maxHistoryChanges); behind += 1 + behind/3 {
				p := s.Fetch(context.Background(), "s", &Request{Versions: map[string]Version{"config": v(n + 1 - behind)}}).Resources[0]
				near := behind <= uint64(len(e.changes))
				c.Assert(p.Snapshot == nil, qt.Equals, near, qt.Commentf("changes of %d bytes, %d behind at %d", size, behind, n+1))
				if near {
					c.Assert(p.Changes, qt.HasLen, int(behind))
				}
				last := p.BaseVersion
				for _, change := range p.Changes {
					c.Assert(change.Version.Count, qt.Equals, last.Count+1)
					last = change.Version
				}
				c.Assert(last, qt.Equals, v(n+1))
			}
		}
		c.Check(wholes >= 3*maxHistoryChanges/(maxChangesAfterSnapshot+1), qt.IsTrue)
	}
}

func TestLeasesExpire(t *testing.T) {
	c := qt.New(t)
	s := NewCache()
	now := time.Now()
	s.Renew([]Member{{Name: "a", Zone: "z", AgeMs: 0}, {Name: "b", Zone: "z", AgeMs: 900}}, now)
	c.Assert(s.Members(now, time.Second), qt.HasLen, 2)
	c.Assert(s.Members(now.Add(500*time.Millisecond), time.Second), qt.HasLen, 1, qt.Commentf("the age that a relay tells counts"))
	c.Assert(s.Members(now.Add(2*time.Second), time.Second), qt.HasLen, 0)
}

// What a member had at its renewal is passed on with it, and an older renewal by another way takes nothing back.
func TestLeasesCarryVersions(t *testing.T) {
	c := qt.New(t)
	s, relay := NewCache(), NewCache()
	now := time.Now()
	had := Member{Name: "a", Zone: "z", ConfigVersion: 7, ConfigAgeMs: 40, BackendListVersion: Version{Epoch: 2, Count: 5}}
	relay.Renew([]Member{had}, now)
	s.Renew(relay.Members(now.Add(300*time.Millisecond), time.Second), now.Add(300*time.Millisecond))
	s.Renew([]Member{{Name: "a", Zone: "z", AgeMs: 600, ConfigVersion: 6}}, now.Add(300*time.Millisecond))
	had.AgeMs = 500
	c.Assert(s.Members(now.Add(500*time.Millisecond), time.Second), qt.DeepEquals, []Member{had})
}

func TestWatchWaitsForUpdates(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	src, dst := NewCache(), NewCache()
	go Serve(ctx, ln, "src", src, 10*time.Second, src.LastContact)
	took := make(chan *Response, 16)
	go func() {
		_ = Watch(ctx, ln.Addr().String(), &Watcher{Name: "dst", MaxWait: 5 * time.Second, ReadTimeout: 5 * time.Second,
			Members: func() []Member { return []Member{{Name: "dst", Zone: "z"}} }, Versions: dst.Versions,
			Apply: func(n *Response) []string { l := dst.Apply(n, time.Now()); took <- n; return l }})
	}()
	for n := uint64(1); n < 4; n++ {
		src.SetSnapshot("config", v(n), []byte("x"))
		<-took
		at, _ := dst.Version("config")
		c.Assert(at.Count <= n && at.Count > 0, qt.IsTrue)
	}
	c.Assert(src.Members(time.Now(), time.Minute), qt.HasLen, 1)
}

func TestFramesAreBounded(t *testing.T) {
	c := qt.New(t)
	var p Request
	err := ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0xff, 0xff, 0xff, 0xff, 1})), &p)
	c.Assert(err, qt.ErrorMatches, ".*over the bound.*")
	err = ReadFrame(bufio.NewReader(bytes.NewReader([]byte{0, 0, 1, 0, 1, 2, 3})), &p)
	c.Assert(err, qt.ErrorMatches, ".*cut short.*")
	var b bytes.Buffer
	c.Assert(WriteFrame(&b, &Request{From: "a", Versions: map[string]Version{"config": v(3)}}), qt.IsNil)
	c.Assert(ReadFrame(bufio.NewReader(&b), &p), qt.IsNil)
	c.Assert(p.From, qt.Equals, "a")
}

// A whole answer that takes longer than a silence, but comes, is waited for.
func TestReadTimeoutRestartsWithProgress(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	const silence = 600 * time.Millisecond
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		var p Request
		if ReadFrame(bufio.NewReader(conn), &p) != nil {
			return
		}
		var b bytes.Buffer
		_ = WriteFrame(&b, &Response{Resources: []Resource{{Type: "list", Version: v(1), Snapshot: make([]byte, 64<<10)}}})
		tick := time.NewTicker(silence / 4)
		defer tick.Stop()
		for b.Len() > 0 { // for three silences in all
			<-tick.C
			if _, err := conn.Write(b.Next(64 << 10 / 12)); err != nil {
				return
			}
		}
		<-ctx.Done()
	}()
	took := make(chan *Response, 1)
	go func() {
		_ = Watch(ctx, ln.Addr().String(), &Watcher{Name: "f", MaxWait: 0, ReadTimeout: silence, Members: func() []Member { return nil },
			Versions: func() map[string]Version { return nil }, Apply: func(n *Response) []string { took <- n; return nil }})
		close(took)
	}()
	n, ok := <-took
	c.Assert(ok, qt.IsTrue, qt.Commentf("given up while it came"))
	c.Assert(n.Resources[0].Snapshot, qt.HasLen, 64<<10)
}

// Without anything that rested, messages have the bytes that they had before there was such a thing.
func TestEncodingWithoutResidency(t *testing.T) {
	c := qt.New(t)
	b, err := (&Request{From: "a", WaitMs: 5}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x84\xa1f\xa1a\xa1w\x05\xa1h\x80\xa1m\x90"))
	b, err = (&Response{From: "a", Primary: "p", LastContactMs: 1}).MarshalMsg(nil)
	c.Assert(err, qt.IsNil)
	c.Assert(b, qt.DeepEquals, []byte("\x84\xa1f\xa1a\xa1p\xa1p\xa1a\x01\xa1x\x90"))
}

// What rested goes up along a chain of stores with the pulls, and is let go on all of it once it is kept at the end.
func TestResidencyIsRelayedUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serve := func() (addr string, s *Cache) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { ln.Close() })
		s = NewCache()
		go Serve(ctx, ln, "s", s, 10*time.Second, s.LastContact)
		return ln.Addr().String(), s
	}
	middleAddr, middle := serve()
	topAddr, top := serve()
	follow := func(addr string, out *ResidencyOutbox, of func() bool) {
		_ = Watch(ctx, addr, &Watcher{Name: "f", MaxWait: 10 * time.Millisecond, ReadTimeout: 5 * time.Second,
			Members: func() []Member { return nil }, Versions: func() map[string]Version { return nil },
			Apply: func(*Response) []string { return nil }, Residency: func(time.Time) *ResidencyOutbox { return out }, Continue: of})
	}
	box := NewResidencyOutbox()
	empty := func(o *ResidencyOutbox) bool { all, _ := o.Pending(); return len(all) == 0 }
	c.Assert(box.Put(residencyreport.Batch{Process: 7, N: 1, Entries: []residencyreport.Entry{{Pair: residencyreport.Pair{Tenant: "t", Region: "r"}, First: 1, Last: 2}}}), qt.IsTrue)
	relays, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(relays)
		follow(topAddr, middle.Residency, func() bool { return ctx.Err() == nil })
	}()
	go func() {
		defer close(done)
		follow(middleAddr, box, func() bool { return !empty(box) })
	}()
	wait := func(ch <-chan struct{}, what string) {
		c.Helper()
		select {
		case <-ch:
		case <-time.After(20 * time.Second):
			c.Fatal(what)
		}
	}
	for {
		all, arrived := top.Residency.Pending()
		if len(all) > 0 {
			c.Assert(all, qt.HasLen, 1)
			c.Assert(all[0].Entries[0].Pair.Tenant, qt.Equals, "t")
			break
		}
		wait(arrived, "nothing comes to the top")
	}
	c.Assert(empty(box), qt.IsFalse, qt.Commentf("let go before it was kept"))
	top.Residency.Acknowledge(residencyreport.Ack{Process: 7, N: 1})
	wait(done, "what is kept is not let go")
	c.Assert(empty(middle.Residency) && empty(top.Residency), qt.IsTrue)

	// A last word is one pull, whose sender may be gone after it; what comes from another process lives on.
	c.Assert(box.Put(residencyreport.Batch{Process: 7, N: 2}), qt.IsTrue)
	pulls := 0
	_ = Watch(ctx, middleAddr, &Watcher{Name: "f", ReadTimeout: 5 * time.Second, Members: func() []Member { return nil }, Versions: func() map[string]Version { return nil },
		Apply: func(*Response) []string { pulls++; return nil }, Residency: func(time.Time) *ResidencyOutbox { return box }, Final: true})
	c.Assert(pulls, qt.Equals, 1)
	wait(middle.Residency.SendersDone(), "the last word is not heard")
	asked := false
	follow(middleAddr, box, func() bool { first := !asked; asked = true; return first })
	select {
	case <-middle.Residency.SendersDone():
		c.Fatal("a process that lives counts as ended")
	default:
	}
	cancel()
	wait(relays, "the relay does not end")
}

// delayedReads is a connection of which what has arrived is read some time later, as by a process that slept.
type delayedReads struct {
	net.Conn
	delay time.Duration
}

func (c delayedReads) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(c.delay)
	return n, err
}

// TestLastContactIncludesTransitTime: what an answer claims to be as new as is not made newer by the time that it took to come, nor by a freeze of
// whoever reads it; the time for which it waited for news at its sender is no age.
func TestLastContactIncludesTransitTime(t *testing.T) {
	c := qt.New(t)
	const wait, later, silence = time.Second, 300 * time.Millisecond, 10 * time.Second
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	defer ln.Close()
	s := NewCache()
	go Serve(ctx, ln, "source", s, time.Minute, func() (time.Time, string) {
		s.RecordContact("primary", time.Now())
		return s.LastContact()
	})
	for _, held := range []time.Duration{0, later} {
		pulls := 0
		err = Watch(ctx, ln.Addr().String(), &Watcher{Name: "t", MaxWait: wait, ReadTimeout: silence, Members: func() []Member { return nil }, Versions: s.Versions,
			Dial: func(addr string, within time.Duration) (net.Conn, error) {
				conn, err := Dial(addr, within)
				return delayedReads{conn, held}, err
			},
			Continue: func() bool { return pulls < 1 },
			Apply: func(n *Response) []string {
				pulls++
				c.Check(n.LastContactMs >= held.Milliseconds(), qt.IsTrue, qt.Commentf("%d", n.LastContactMs))
				c.Check(n.LastContactMs < (held+wait).Milliseconds()-1, qt.IsTrue, qt.Commentf("the wait counts as age: %d", n.LastContactMs))
				return nil
			}})
		c.Assert(err, qt.IsNil)
		c.Assert(pulls, qt.Equals, 1)
	}
}

// TestRelayRequestsSnapshot: one who passes on what it pulls asks for the whole where changes don't follow, or are too many for a whole that
// is old, and has the same as its source then.
func TestRelayRequestsSnapshot(t *testing.T) {
	c := qt.New(t)
	source, relay := NewCache(), NewCache()
	whole := []byte("whole")
	source.SetSnapshot("config", v(0), whole)
	pull := func(have map[string]Version) []string {
		return relay.Apply(source.Fetch(context.Background(), "s", &Request{Versions: have}), time.Now())
	}
	c.Assert(pull(nil), qt.HasLen, 0)
	wholes := 0
	for n := uint64(0); n < 200; n++ {
		body := make([]byte, 40_000)
		c.Assert(source.AppendChange("config", v(n), v(n+1), Change{Version: v(n + 1), Body: body}, func() []byte { return make([]byte, 1<<20) }), qt.IsTrue)
		if lacking := pull(relay.Versions()); lacking != nil {
			wholes++
			c.Assert(lacking, qt.DeepEquals, []string{"config"})
			c.Assert(pull(nil), qt.HasLen, 0)
		}
		c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
		c.Assert(relay.entries["config"].bytesAfterSnapshot <= maxRelayBytesAfterSnapshot, qt.IsTrue)
	}
	c.Check(wholes >= 200*40_000/maxRelayBytesAfterSnapshot-1 && wholes <= 200*40_000/maxBytesAfterSnapshot, qt.IsTrue, qt.Commentf("%d", wholes))
	gap := &Response{LastContactMs: -1, Resources: []Resource{{Type: "config", BaseVersion: v(300), Version: v(301), Changes: []Change{{Version: v(301)}}}}}
	c.Assert(relay.Apply(gap, time.Now()), qt.DeepEquals, []string{"config"})
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
	// An older whole than what is had takes nothing back.
	old := &Response{LastContactMs: -1, Resources: []Resource{{Type: "config", BaseVersion: v(7), Version: v(9), Snapshot: whole, Changes: []Change{{Version: v(8)}, {Version: v(9)}}}}}
	c.Assert(relay.Apply(old, time.Now()), qt.HasLen, 0)
	c.Assert(relay.Versions(), qt.DeepEquals, source.Versions())
}
