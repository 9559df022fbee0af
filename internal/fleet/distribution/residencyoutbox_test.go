package distribution

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/residencyreport"
)

// residencyChain is a client's outbox, a relay's server and a primary's server, along which the test sends reports.
type residencyChain struct {
	*qt.C
	ctx                    context.Context
	outbox                 *ResidencyOutbox
	relay, primary         *Cache
	relayAddr, primaryAddr string
}

func newResidencyChain(ctx context.Context, c *qt.C) *residencyChain {
	chain := &residencyChain{C: c, ctx: ctx, outbox: NewResidencyOutbox()}
	chain.relayAddr, chain.relay = chain.serve()
	chain.primaryAddr, chain.primary = chain.serve()
	return chain
}

func (rc *residencyChain) serve() (addr string, cache *Cache) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	rc.Assert(err, qt.IsNil)
	rc.Cleanup(func() { ln.Close() })
	cache = NewCache()
	go Serve(rc.ctx, ln, "server", cache, 10*time.Second, cache.LastContact)
	return ln.Addr().String(), cache
}

// watch sends an outbox's reports to a server while goOn returns true.
func (rc *residencyChain) watch(addr string, outbox *ResidencyOutbox, goOn func() bool) {
	_ = Watch(rc.ctx, addr, &Watcher{
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

// sendFinal sends the outbox's reports to the relay with a final request, and returns the number of responses.
func (rc *residencyChain) sendFinal() (responses int) {
	_ = Watch(rc.ctx, rc.relayAddr, &Watcher{
		Name:        "client",
		ReadTimeout: 5 * time.Second,
		Members:     noMembers,
		Versions:    noVersions,
		Apply: func(*Response) []string {
			responses++
			return nil
		},
		Residency: func(time.Time) *ResidencyOutbox { return rc.outbox },
		Final:     true,
	})
	return responses
}

// wait waits until a channel is closed, and fails the test with the message otherwise after 20 s.
func (rc *residencyChain) wait(ch <-chan struct{}, otherwise string) {
	rc.Helper()
	select {
	case <-ch:
	case <-time.After(20 * time.Second):
		rc.Fatal(otherwise)
	}
}

// awaitReport waits for the first report at the primary.
func (rc *residencyChain) awaitReport() {
	for {
		pending, arrived := rc.primary.Residency.Pending()
		if len(pending) > 0 {
			rc.Assert(pending, qt.HasLen, 1)
			rc.Assert(pending[0].Entries[0].Pair.Tenant, qt.Equals, "t")
			return
		}
		rc.wait(arrived, "no report arrived at the primary")
	}
}

func isEmpty(o *ResidencyOutbox) bool {
	pending, _ := o.Pending()
	return len(pending) == 0
}

// TestResidencyIsRelayedUntilAcknowledged: residency reports are forwarded along a chain of caches with the requests,
// and each cache drops them once they are acknowledged at the end of the chain.
func TestResidencyIsRelayedUntilAcknowledged(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	chain := newResidencyChain(ctx, c)
	outbox, relay, primary := chain.outbox, chain.relay, chain.primary
	entry := residencyreport.Entry{Pair: residencyreport.Pair{Tenant: "t", Region: "r"}, First: 1, Last: 2}
	first := residencyreport.Batch{Process: 7, N: 1, Entries: []residencyreport.Entry{entry}}
	c.Assert(outbox.Put(first), qt.IsTrue)
	relayEnded, clientEnded := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(relayEnded)
		chain.watch(chain.primaryAddr, relay.Residency, func() bool { return ctx.Err() == nil })
	}()
	go func() {
		defer close(clientEnded)
		chain.watch(chain.relayAddr, outbox, func() bool { return !isEmpty(outbox) })
	}()
	chain.awaitReport()
	c.Assert(isEmpty(outbox), qt.IsFalse, qt.Commentf("dropped before it was acknowledged"))
	primary.Residency.Acknowledge(residencyreport.Ack{Process: 7, N: 1})
	chain.wait(clientEnded, "the acknowledged report was not dropped")
	c.Assert(isEmpty(relay.Residency) && isEmpty(primary.Residency), qt.IsTrue)

	// A final request is one pull, after which its sender may have ended; a later request that isn't final resets
	// SendersDone.
	c.Assert(outbox.Put(residencyreport.Batch{Process: 7, N: 2}), qt.IsTrue)
	c.Assert(chain.sendFinal(), qt.Equals, 1)
	chain.wait(relay.Residency.SendersDone(), "the final request was not recorded")
	requested := false
	chain.watch(chain.relayAddr, outbox, func() bool {
		once := !requested
		requested = true
		return once
	})
	select {
	case <-relay.Residency.SendersDone():
		c.Fatal("SendersDone is closed after a request that isn't final")
	default:
	}
	cancel()
	chain.wait(relayEnded, "the relay did not end")
}
