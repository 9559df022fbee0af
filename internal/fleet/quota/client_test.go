package quota

import (
	"bufio"
	"context"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
)

// testWait is how long requests wait for a slot.
const testWait = 30 * time.Millisecond

// serve runs a server on a loopback address until the test ends or stop is called.
func serve(t *testing.T, s *Server) (addr string, stop func()) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(ctx, ln)
	}()
	stop = func() {
		cancel()
		ln.Close()
		<-done
	}
	t.Cleanup(stop)
	return ln.Addr().String(), stop
}

// leadingServer returns the allocator of an epoch, for as long as leads is set. It may allocate all slots from the
// start.
func leadingServer(epoch uint64, limits Limits, leads *atomic.Bool) *Server {
	s := NewServer(testRule, testOverlap, func(uint64) bool { return leads.Load() })
	s.SetLimits(limits)
	s.SetCeilings(&Ceilings{All: true})
	s.Lead(epoch, &Ceilings{All: true})
	s.allocator.allKnownAt = 0
	return s
}

// run starts a client that reports until the test ends or stop is called.
func run(t *testing.T, incarnation uint64, limits Limits, addr func() string) (c *Client, stop func()) {
	c = NewClient(NewHolder(testRule, "p", incarnation), addr, distribution.Dial)
	c.SetLimits(limits)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return c, stop
}

// awaitLease waits until an allocator has answered a number of reports.
func (c *Client) awaitLease(t *testing.T, answers uint64) {
	t.Helper()
	for range 500 {
		c.mu.Lock()
		answered := c.answered
		c.mu.Unlock()
		if answered >= answers {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no allocator answers")
}

func leading() *atomic.Bool {
	leads := &atomic.Bool{}
	leads.Store(true)
	return leads
}

func at(addr string) func() string { return func() string { return addr } }

// TestWaitersGetSlots checks that concurrent requests get slots while there are any and errors after that, and that a
// released slot is used again.
func TestWaitersGetSlots(t *testing.T) {
	c := qt.New(t)
	addr, _ := serve(t, leadingServer(1, tenSlots(), leading()))
	client, _ := run(t, 1, tenSlots(), at(addr))
	client.awaitLease(t, 1)
	var admitted, refused atomic.Int32
	var slot atomic.Pointer[Slot]
	var requests sync.WaitGroup
	for range 30 {
		requests.Go(func() {
			switch taken, err := client.Acquire(t.Context(), "t", testWait); err {
			case nil:
				admitted.Add(1)
				slot.Store(&taken)
			case ErrOverQuota:
				refused.Add(1)
			}
		})
	}
	requests.Wait()
	c.Assert([]int32{admitted.Load(), refused.Load()}, qt.DeepEquals, []int32{10, 20})
	// A burst of concurrent requests takes only a few reports.
	client.mu.Lock()
	built := client.built
	client.mu.Unlock()
	c.Assert(built <= 15, qt.IsTrue, qt.Commentf("%d reports for 30 requests", built))
	slot.Load().Release()
	_, err := client.Acquire(t.Context(), "t", testWait)
	c.Assert(err, qt.IsNil)
	_, err = client.Acquire(t.Context(), "unlimited", testWait)
	c.Assert(err, qt.IsNil)
	Slot{}.Release()
}

// TestNoAllocator checks that requests are rejected within their wait while no allocator is known, and that a wait ends
// with the request's context.
func TestNoAllocator(t *testing.T) {
	c := qt.New(t)
	leads := &atomic.Bool{}
	addr, _ := serve(t, leadingServer(1, tenSlots(), leads))
	for _, to := range []string{"", "127.0.0.1:1", addr} {
		client, _ := run(t, 1, tenSlots(), at(to))
		began := time.Now()
		_, err := client.Acquire(t.Context(), "t", testWait)
		c.Check(err, qt.Equals, ErrNoAllocator)
		c.Check(time.Since(began) < 10*testWait, qt.IsTrue)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err = client.Acquire(ctx, "t", testWait)
		c.Check(err, qt.Equals, context.Canceled)
	}
}

// TestAllocatorChanges checks that a client switches to another allocator and rejects one of an earlier epoch.
func TestAllocatorChanges(t *testing.T) {
	c := qt.New(t)
	leadsFirst := leading()
	first, _ := serve(t, leadingServer(1, tenSlots(), leadsFirst))
	second, _ := serve(t, leadingServer(2, tenSlots(), leading()))
	var addr atomic.Pointer[string]
	addr.Store(&first)
	client, _ := run(t, 1, tenSlots(), func() string { return *addr.Load() })
	client.awaitLease(t, 1)
	_, err := client.Acquire(t.Context(), "t", testWait)
	c.Assert(err, qt.IsNil)
	addr.Store(&second)
	leadsFirst.Store(false) // its next answer has epoch 0
	epoch := func() uint64 {
		client.mu.Lock()
		defer client.mu.Unlock()
		return client.holder.epoch
	}
	for i := 0; epoch() != 2 && i < 500; i++ {
		time.Sleep(10 * time.Millisecond)
	}
	c.Assert(epoch(), qt.Equals, uint64(2))
	client.mu.Lock()
	built := client.built
	client.mu.Unlock()
	client.awaitLease(t, built)
	addr.Store(&first)
	leadsFirst.Store(true)
	time.Sleep(testRule.Lease/reportsPerLease + 300*time.Millisecond)
	c.Assert(epoch(), qt.Equals, uint64(2)) // the first server gets no more reports
}

// TestLateAnswerIsNotUsed checks that a process that was frozen after sending a report discards the answer, although it
// can be read when the process resumes.
func TestLateAnswerIsNotUsed(t *testing.T) {
	c := qt.New(t)
	client := NewClient(NewHolder(testRule, "p", 1), at(""), distribution.Dial)
	client.SetLimits(tenSlots())
	c.Assert(client.beginReports(1), qt.IsTrue)
	answer := &Answer{Epoch: 1, Sequence: 1, Grants: []Grant{{Tenant: "t", Slots: 1}}}
	sentAt, _, number := client.buildReport(true)
	client.start = client.start.Add(-answerTimeout - time.Millisecond)
	c.Assert(client.apply(answer, sentAt, number), qt.ErrorMatches, "quota answer received after the answer time-out")
	_, verdict := client.take("t")
	c.Assert(verdict, qt.Equals, LeaseLapsed)
	sentAt, _, number = client.buildReport(true)
	c.Assert(client.apply(answer, sentAt, number), qt.IsNil)
	_, verdict = client.take("t")
	c.Assert(verdict, qt.Equals, Admitted)
}

// TestAnswersOfAnotherReport checks that the client closes a connection on which an answer doesn't match its report.
func TestAnswersOfAnotherReport(t *testing.T) {
	for _, answer := range []Answer{{Epoch: 0, Sequence: 1}, {Epoch: 2, Sequence: 1}, {Epoch: 1, Sequence: 2}} {
		ours, theirs := net.Pipe()
		dial := func(string, time.Duration) (net.Conn, error) { return ours, nil }
		client := NewClient(NewHolder(testRule, "p", 1), at("a"), dial)
		client.SetLimits(tenSlots())
		go func() {
			defer theirs.Close()
			_ = distribution.WriteFrame(theirs, &Answer{Epoch: 1})
			var report Report
			if distribution.ReadFrame(bufio.NewReader(theirs), &report) == nil {
				_ = distribution.WriteFrame(theirs, &answer)
			}
		}()
		qt.Check(t, client.follow(t.Context(), "a"), qt.ErrorMatches,
			"quota answer does not match the report's epoch and sequence")
	}
}

// TestNoGoroutineIsLeft checks that clients and servers leave no goroutines behind when they end.
func TestNoGoroutineIsLeft(t *testing.T) {
	c := qt.New(t)
	addr, stopServer := serve(t, leadingServer(1, tenSlots(), leading()))
	var stops []func()
	for i := range 5 {
		client, stop := run(t, uint64(i)+1, tenSlots(), at(addr))
		_, _ = client.Acquire(t.Context(), "t", testWait)
		stops = append(stops, stop)
	}
	stopServer()
	for _, stop := range stops {
		stop()
	}
	var left string
	for range 100 {
		buf := make([]byte, 1<<20)
		left = string(buf[:runtime.Stack(buf, true)])
		if !strings.Contains(left, "quota.(*Server).") && !strings.Contains(left, "quota.(*Client).") {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	c.Fatalf("left:\n%s", left)
}
