package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/residencyreport"
)

// TestResidencyIsRelayedUntilAcknowledged: residency reports go along a chain of caches with the requests, and each of
// these drops them once they are acknowledged at the end of the chain.
func TestResidencyIsRelayedUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	serve := func() (addr string, cache *Cache) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { ln.Close() })
		cache = NewCache()
		go Serve(ctx, ln, "server", cache, 10*time.Second, cache.LastContact)
		return ln.Addr().String(), cache
	}
	relayAddr, relay := serve()
	primaryAddr, primary := serve()
	watch := func(addr string, outbox *ResidencyOutbox, goOn func() bool) {
		_ = Watch(ctx, addr, &Watcher{
			Name:        "client",
			MaxWait:     10 * time.Millisecond,
			ReadTimeout: 5 * time.Second,
			Members:     noMembers,
			Versions:    noVersions,
			Apply:       func(*Response) []string { return nil },
			Residency:   func(time.Time) *ResidencyOutbox { return outbox },
			Continue:    goOn,
		})
	}
	outbox := NewResidencyOutbox()
	empty := func(o *ResidencyOutbox) bool {
		pending, _ := o.Pending()
		return len(pending) == 0
	}
	entry := residencyreport.Entry{Pair: residencyreport.Pair{Tenant: "t", Region: "r"}, First: 1, Last: 2}
	first := residencyreport.Batch{Process: 7, N: 1, Entries: []residencyreport.Entry{entry}}
	c.Assert(outbox.Put(first), qt.IsTrue)
	relayEnded, clientEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(relayEnded)
		watch(primaryAddr, relay.Residency, func() bool { return ctx.Err() == nil })
	}()
	go func() {
		defer close(clientEnded)
		watch(relayAddr, outbox, func() bool { return !empty(outbox) })
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
		pending, arrived := primary.Residency.Pending()
		if len(pending) > 0 {
			c.Assert(pending, qt.HasLen, 1)
			c.Assert(pending[0].Entries[0].Pair.Tenant, qt.Equals, "t")
			break
		}
		wait(arrived, "nothing arrives at the primary")
	}
	c.Assert(empty(outbox), qt.IsFalse, qt.Commentf("dropped before it was acknowledged"))
	primary.Residency.Acknowledge(residencyreport.Ack{Process: 7, N: 1})
	wait(clientEnded, "what is acknowledged is not dropped")
	c.Assert(empty(relay.Residency) && empty(primary.Residency), qt.IsTrue)

	// A final request is one pull, whose sender may be gone after it; a request of another process takes its mark back.
	c.Assert(outbox.Put(residencyreport.Batch{Process: 7, N: 2}), qt.IsTrue)
	pulls := 0
	_ = Watch(ctx, relayAddr, &Watcher{
		Name:        "client",
		ReadTimeout: 5 * time.Second,
		Members:     noMembers,
		Versions:    noVersions,
		Apply: func(*Response) []string {
			pulls++
			return nil
		},
		Residency: func(time.Time) *ResidencyOutbox { return outbox },
		Final:     true,
	})
	c.Assert(pulls, qt.Equals, 1)
	wait(relay.Residency.SendersDone(), "the final request is not recorded")
	requested := false
	watch(relayAddr, outbox, func() bool {
		once := !requested
		requested = true
		return once
	})
	select {
	case <-relay.Residency.SendersDone():
		c.Fatal("a process that goes on counts as done")
	default:
	}
	cancel()
	wait(relayEnded, "the relay does not end")
}
