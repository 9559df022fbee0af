package main

import (
	"cmp"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/simulation"
)

// TestFrozenOwnerSendsNoOrders stops the owner of the phase orders for several leases while another machine takes the
// role over, and continues it. There must be no order with an old fencing token, and no two owners that alternate
// within a lease.
func TestFrozenOwnerSendsNoOrders(t *testing.T) {
	f := newFleet(t, fleetOptions{decode: 4, bounds: map[string]any{"lease_ms": 1000, "sync_s": 1}})
	load := f.traffic([]int{0, 1})
	f.eventually(2*testTimeout, "an order is given", func() bool { return len(f.orders()) > 0 })
	frozen := f.primary()
	program := frozen.programs["control-plane"]
	program.Signal(syscall.SIGSTOP)
	since := time.Now()
	var others []string
	for _, m := range f.core {
		if m != frozen {
			others = append(others, m.boot.Ctl)
		}
	}
	reader := &simulation.Operator{Ctl: others}
	f.eventually(testTimeout, "another is the primary", func() bool {
		rep, err := reader.Show(f.withTimeout(testTimeout))
		return err == nil && rep.Status == http.StatusOK
	})
	f.eventually(testTimeout, "several leases are over", func() bool { return time.Since(since) > 4*f.lease() })
	program.Signal(syscall.SIGCONT)
	thawed := time.Now()
	load.awaitMore(16, 0, 1)
	f.eventually(testTimeout, "several leases are over", func() bool { return time.Since(thawed) > 4*f.lease() })
	load.stop()
	orders := f.orders()
	slices.SortFunc(orders, func(a, b simulation.Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for _, o := range orders {
		if o.Owner == frozen.settings.Node {
			f.Check(o.At.Before(since.Add(time.Second)), qt.IsTrue,
				qt.Commentf("the owner that was frozen gives an order %v after it was thawed", o.At.Sub(thawed)))
		}
	}
	f.checkRules()
}
