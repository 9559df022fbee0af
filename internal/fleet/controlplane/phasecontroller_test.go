package controlplane

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/scheduler"
	"molepaddle/internal/fleet/settings"
)

// countingBackend starts a backend that accepts all orders and counts them.
func countingBackend(c *qt.C) (*distribution.Backend, *atomic.Int64) {
	return answeringBackend(c, http.StatusAccepted)
}

// answeringBackend starts a backend that answers each order with a status and counts the orders.
func answeringBackend(c *qt.C, status int) (*distribution.Backend, *atomic.Int64) {
	var orders atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == externalapi.CallOrder.Path {
			orders.Add(1)
		}
		w.WriteHeader(status)
	}))
	c.Cleanup(server.Close)
	return &distribution.Backend{ID: "b", Address: server.Listener.Addr().String()}, &orders
}

// TestOrdersNeedContact checks that the owner of the role sends an order only after all backups have confirmed the
// epoch that is its fencing token.
func TestOrdersNeedContact(t *testing.T) {
	c := newCluster(t, 47, 3, 1, nil)
	holder := c.primary(c.ips...)
	backend, orders := countingBackend(c.C)
	p := newPhaseController(c.servers[holder].Server)
	epoch := c.servers[holder].status.Load().Epoch
	c.Assert(p.confirmAndOrder(c.Context(), backend, true, 0, epoch), qt.IsTrue)
	c.Assert(orders.Load(), qt.Equals, int64(1))
	c.Assert(p.confirmAndOrder(c.Context(), backend, true, 0, epoch-1), qt.IsFalse,
		qt.Commentf("the fencing token of an earlier epoch"))
	for _, other := range c.others(holder) {
		backup := newPhaseController(c.servers[other].Server)
		c.Assert(backup.confirmAndOrder(c.Context(), backend, true, 0, epoch), qt.IsFalse,
			qt.Commentf("%s isn't the primary", other))
	}
	c.network.Partition([]string{holder}, c.others(holder))
	began := time.Now()
	c.Assert(p.confirmAndOrder(c.Context(), backend, true, 0, epoch), qt.IsFalse, qt.Commentf("unconfirmed epoch"))
	c.Assert(time.Since(began) < confirmAndOrderTimeout+promptAnswer, qt.IsTrue)
	next := c.primary(c.others(holder)...)
	later := c.servers[next].status.Load().Epoch
	c.Assert(later > epoch, qt.IsTrue)
	c.Assert(newPhaseController(c.servers[next].Server).confirmAndOrder(c.Context(), backend, true, 0, later), qt.IsTrue)
	c.network.Heal()
	c.eventually("the holder is another one", func() bool {
		return c.servers[holder].status.Load().Epoch >= later
	}, holder)
	c.Assert(p.confirmAndOrder(c.Context(), backend, true, 0, epoch), qt.IsFalse)
	c.Assert(orders.Load(), qt.Equals, int64(2))
}

// TestOrderDroppedAfterFreeze checks that an order whose deadline has passed, as after a suspension of the process
// following the confirmation, is not sent.
func TestOrderDroppedAfterFreeze(t *testing.T) {
	c := qt.New(t)
	backend, orders := countingBackend(c)
	p := newPhaseController(newSoloServer(c))
	c.Assert(p.sendOrder(c.Context(), time.Now(), backend, true, 0, 1), qt.IsFalse)
	c.Assert(orders.Load(), qt.Equals, int64(0))
	c.Assert(p.sendOrder(c.Context(), time.Now().Add(time.Minute), backend, true, 0, 1), qt.IsTrue)
	c.Assert(orders.Load(), qt.Equals, int64(1))
}

// TestTimedOutOrderResetsConnection checks that an order without an answer resets its connection, so that data delayed
// by a partition doesn't arrive later.
func TestTimedOutOrderResetsConnection(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	ended := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(testTimeout))
		_, err = io.Copy(io.Discard, conn)
		ended <- err
	}()
	p := newPhaseController(newSoloServer(c))
	ctx, cancel := context.WithTimeout(c.Context(), promptAnswer)
	defer cancel()
	backend := &distribution.Backend{ID: "b", Address: ln.Addr().String()}
	c.Assert(p.sendOrder(ctx, time.Now().Add(promptAnswer), backend, true, 0, 1), qt.IsFalse)
	c.Assert(<-ended, qt.ErrorIs, syscall.ECONNRESET)
}

// TestFencedOwnerGivesNoMoreOrders checks that once a backend has seen a higher fencing token, the owner of the role
// sends no more orders for its epoch to any backend, while a newer epoch is not fenced.
func TestFencedOwnerGivesNoMoreOrders(t *testing.T) {
	c := newCluster(t, 49, 3, 1, nil)
	holder := c.primary(c.ips...)
	fencing, rejected := answeringBackend(c.C, http.StatusPreconditionFailed)
	other, orders := countingBackend(c.C)
	fencing.ID, other.ID = "fencing", "other"
	p := newPhaseController(c.servers[holder].Server)
	epoch := c.servers[holder].status.Load().Epoch
	planner := scheduler.NewPhasePlanner()
	backends := []distribution.Backend{*fencing, *other}
	reports := make([]scheduler.BackendReport, len(backends))
	due := []scheduler.Transition{{ID: "fencing", Prefill: true, Due: true}, {ID: "other", Prefill: true, Due: true}}
	for range 3 {
		p.sendOrders(c.Context(), epoch, planner, due, backends, reports)
	}
	c.Assert(p.fenced(epoch), qt.IsTrue)
	c.Assert(p.fenced(epoch+1), qt.IsFalse)
	c.Assert(rejected.Load(), qt.Equals, int64(1))
	c.Assert(orders.Load(), qt.Equals, int64(0), qt.Commentf("an order with the token of a fenced epoch"))
	p.fence(epoch-1, "late") // a rejection for an earlier epoch has no effect
	c.Assert(p.fenced(epoch), qt.IsTrue)
}

// TestOrderAcknowledgement checks that an order counts as acknowledged only if the backend answers that it has taken
// it.
func TestOrderAcknowledgement(t *testing.T) {
	c := qt.New(t)
	for status, want := range map[int]bool{
		http.StatusOK:                  true,
		http.StatusAccepted:            true,
		http.StatusBadRequest:          false,
		http.StatusConflict:            false,
		http.StatusPreconditionFailed:  false,
		http.StatusMisdirectedRequest:  false,
		http.StatusInternalServerError: false,
		http.StatusServiceUnavailable:  false,
	} {
		backend, orders := answeringBackend(c, status)
		p := newPhaseController(newSoloServer(c))
		got := p.sendOrder(c.Context(), time.Now().Add(time.Minute), backend, true, 0, 1)
		c.Check(got, qt.Equals, want, qt.Commentf("status %d", status))
		c.Check(orders.Load(), qt.Equals, int64(1))
	}
}

// TestPhaseTakeoverWaitsForLease checks that more than a lease lies between the last order of one owner of the role and
// the first order of the next.
func TestPhaseTakeoverWaitsForLease(t *testing.T) {
	for _, lease := range []time.Duration{0, time.Second, 3 * time.Second} {
		server := &Server{settings: settings.Settings{Bounds: settings.Bounds{Lease: lease}}}
		qt.Check(t, server.phaseTakeoverWait()-confirmAndOrderTimeout > lease, qt.IsTrue)
	}
}

// TestPartitionedPrimaryDoesNotPoll checks that only the primary polls the platform, and not while it is partitioned.
func TestPartitionedPrimaryDoesNotPoll(t *testing.T) {
	var mu sync.Mutex
	polls := map[string]int{}
	asked := make(chan struct{}, 1000)
	c := newCluster(t, 48, 3, 1, func(set *settings.Settings) {
		platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			polls[set.IP]++
			mu.Unlock()
			w.Header().Set("Content-Type", "application/json")
			_, _ = io.WriteString(w, `{"backends":[],"next_marker":null}`)
			select {
			case asked <- struct{}{}:
			default:
			}
		}))
		t.Cleanup(platform.Close)
		set.Provider.Address, set.Provider.Rate = platform.Listener.Addr().String(), 42
	})
	count := func(ip string) int {
		mu.Lock()
		defer mu.Unlock()
		return polls[ip]
	}
	reaches := func(ip string, n int) {
		c.Helper()
		over := time.After(testTimeout)
		for count(ip) < n {
			select {
			case <-asked:
			case <-over:
				c.Fatalf("%s polled the platform only %d times", ip, count(ip))
			}
		}
	}
	old := c.primary(c.ips...)
	reaches(old, 2)
	c.network.Partition([]string{old}, c.others(old))
	next := c.primary(c.others(old)...)
	c.eventually("the cut is detected", func() bool { return !c.servers[old].isLeader(c.servers[old].status.Load()) }, old)
	reaches(next, 1)
	before := count(old)
	reaches(next, 4)
	c.Assert(count(old)-before <= 1, qt.IsTrue,
		qt.Commentf("%d polls by the partitioned primary; one may have been in flight", count(old)-before))
	c.Assert(count(c.others(old, next)[0]), qt.Equals, 0)
	st := c.servers[old].status.Load()
	at, _ := c.servers[next].cache.Version(distribution.BackendListType)
	c.Assert(at.Epoch > st.Epoch, qt.IsTrue, qt.Commentf("receivers prefer the later epoch"))
}
