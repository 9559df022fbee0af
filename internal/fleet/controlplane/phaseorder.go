package controlplane

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"
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

// fence ends the role of the primary of an epoch: a backend has seen a higher fencing token. The role comes back with a
// newer view only.
func (p *phaseController) fence(epoch uint64, backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fencedEpoch >= epoch {
		return
	}
	p.fencedEpoch = epoch
	p.server.log.Warn("phase orders fenced, given up until there is a newer view",
		zap.String("backend", backend),
		zap.Uint64("fence", epoch))
}

// fenced reports whether the role of the primary of an epoch has ended.
func (p *phaseController) fenced(epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return epoch <= p.fencedEpoch
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
		if p.fenced(epoch) {
			return
		}
		if !p.confirmAndOrder(ctx, &backends[i], t.Prefill, reports[i].Orders, epoch) {
			p.mu.Lock()
			planner.RetryOrder(t.ID)
			p.mu.Unlock()
		}
	}
}

// confirmAndOrder gives one order, if the view that gives the role still stands, to a backend that has taken so many
// orders. It returns false when the order was not sent, its answer didn't come, or the backend doesn't hold to it: it
// has taken another since its report, has one under way, is another backend, or has failed.
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
	if !p.confirmEpoch(ctx, epoch) {
		p.server.log.Info("phase order withheld: the view is not confirmed",
			zap.String("backend", b.ID),
			zap.Uint64("fence", epoch))
		return false
	}
	return p.sendOrder(ctx, by, b, prefill, taken, epoch)
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
	if errors.Is(err, externalapi.ErrFenced) {
		p.fence(epoch, b.ID)
	}
	return err == nil && externalapi.OrderTaken(status)
}

// confirmEpoch reports whether all backups confirm that the view of an epoch stands, with this machine as its primary.
func (p *phaseController) confirmEpoch(ctx context.Context, epoch uint64) bool {
	ans, err := p.server.confirmView(ctx)
	st := p.server.status.Load()
	return err == nil && ans.Result == replication.Confirmed && st.Epoch == epoch && st.Role == replication.Primary
}
