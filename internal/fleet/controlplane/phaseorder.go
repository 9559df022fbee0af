package controlplane

import (
	"context"
	"net/http"
	"slices"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// orderTimeout bounds a call to a backend.
	orderTimeout = 300 * time.Millisecond
	// confirmAndOrderTimeout bounds the confirmation before an order and the order together.
	confirmAndOrderTimeout = 2 * orderTimeout
	// orderTransitBound is more than an order takes from its sender to the backend.
	orderTransitBound = orderTimeout
)

// phaseTakeoverWait is how long a new owner of the role gives no orders: owners don't take turns within a lease, and
// the last order of an earlier one may be sent confirmAndOrderTimeout after that one's view was last confirmed.
func (s *Server) phaseTakeoverWait() time.Duration {
	return s.settings.Bounds.Lease + confirmAndOrderTimeout + orderTransitBound
}

// sendOrders gives the orders of the transitions that are due; one that was not acknowledged is given again later.
func (p *phaseController) sendOrders(
	ctx context.Context,
	epoch uint64,
	planner *scheduler.PhasePlanner,
	transitions []scheduler.Transition,
	backends []distribution.Backend,
	reports []scheduler.BackendReport,
) {
	for _, t := range transitions {
		i := slices.IndexFunc(backends, func(b distribution.Backend) bool { return b.ID == t.ID })
		if !t.Due || i < 0 {
			continue
		}
		if !p.confirmAndOrder(ctx, &backends[i], t.Prefill, reports[i].Orders, epoch) {
			p.mu.Lock()
			planner.RetryOrder(t.ID)
			p.mu.Unlock()
		}
	}
}

// confirmAndOrder gives one order, if the view that gives the role still stands, to a backend that has taken so many
// orders. It returns false when the order was not sent, its answer didn't come, or the backend has taken another
// since its report or has one under way.
//
// Safety: it is sent within confirmAndOrderTimeout of when the confirmation of the view was asked for, and given up
// at that time. The next owner of the role, which was chosen after that, gives no order before phaseTakeoverWait: a
// lease lies between the two (TestPhaseOwnersKeepALeaseApart). After a freeze in between the time is over, and
// nothing is sent (TestOrderIsTooLateAfterAFreeze).
func (p *phaseController) confirmAndOrder(
	ctx context.Context, b *distribution.Backend, prefill bool, taken, epoch uint64,
) (acknowledged bool) {
	by := time.Now().Add(confirmAndOrderTimeout)
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return p.confirmEpoch(ctx, epoch) && p.sendOrder(ctx, by, b, prefill, taken, epoch)
}

// sendOrder sends an order, unless it is too late for that; see confirmAndOrder.
func (p *phaseController) sendOrder(
	ctx context.Context, by time.Time, b *distribution.Backend, prefill bool, taken, epoch uint64,
) (acknowledged bool) {
	if !time.Now().Before(by) {
		return false
	}
	phase := externalapi.PhaseDecode
	if prefill {
		phase = externalapi.PhasePrefill
	}
	status, err := p.client.Order(ctx, b.Address, externalapi.PhaseOrder{
		BackendID:      b.ID,
		Phase:          phase,
		Owner:          p.server.settings.NodeName,
		FencingToken:   epoch,
		ExpectedOrders: taken,
	})
	p.server.log.Info("phase order sent",
		zap.String("backend", b.ID),
		zap.String("phase", phase),
		zap.Int("status", status),
		zap.Uint64("fence", epoch),
		zap.Error(err))
	return err == nil && status != http.StatusConflict
}

// confirmEpoch reports whether all backups confirm that the view of an epoch stands, with this machine as its primary.
func (p *phaseController) confirmEpoch(ctx context.Context, epoch uint64) bool {
	ans, err := p.server.confirmView(ctx)
	st := p.server.status.Load()
	return err == nil && ans.Result == replication.Confirmed && st.Epoch == epoch && st.Role == replication.Primary
}
