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
	// orderTransitBound is an upper bound of the time that an order takes from its sender to the backend.
	orderTransitBound = orderTimeout
)

// phaseTakeoverWait returns how long a new owner of the role sends no orders. At least a lease must lie between the
// orders of two owners, and a previous owner may send its last order up to confirmAndOrderTimeout after its view was
// last confirmed.
func (s *Server) phaseTakeoverWait() time.Duration {
	return s.settings.Bounds.Lease + confirmAndOrderTimeout + orderTransitBound
}

// fence ends the role for the primary of an epoch because a backend has seen a higher fencing token. The role resumes
// only with a newer view.
func (p *phaseController) fence(epoch uint64, backend string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fencedEpoch >= epoch {
		return
	}
	p.fencedEpoch = epoch
	p.server.log.Warn("phase orders stopped until the next view: a backend has seen a higher fencing token",
		zap.String("backend", backend),
		zap.Uint64("fence", epoch))
}

// fenced reports whether the role has ended for the primary of an epoch.
func (p *phaseController) fenced(epoch uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return epoch <= p.fencedEpoch
}

// sendOrders sends the orders of the transitions that are due. An order that is not acknowledged is sent again in a
// later round.
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

// confirmAndOrder confirms the view of the epoch and sends one order to a backend, which must have taken expectedOrders
// orders so far. It returns false if the order was not sent or not answered, or if the backend rejects it: the backend
// has taken another order since its report, has one in progress, has another identity, or has failed.
//
// Safety: the order is sent within confirmAndOrderTimeout of the request for the view's confirmation, and given up at
// that time. The next owner of the role is chosen after that request and sends no order before phaseTakeoverWait, so a
// lease lies between the two (TestPhaseTakeoverWaitsForLease). If the process is suspended in between, the deadline has
// passed and nothing is sent (TestOrderDroppedAfterFreeze).
func (p *phaseController) confirmAndOrder(
	ctx context.Context, b *distribution.Backend, prefill bool, expectedOrders, epoch uint64,
) (acknowledged bool) {
	deadline := time.Now().Add(confirmAndOrderTimeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !p.confirmEpoch(ctx, epoch) {
		p.server.log.Info("phase order not sent: the view is not confirmed",
			zap.String("backend", b.ID),
			zap.Uint64("fence", epoch))
		return false
	}
	return p.sendOrder(ctx, deadline, b, prefill, expectedOrders, epoch)
}

// sendOrder sends an order unless the deadline has passed; see confirmAndOrder.
func (p *phaseController) sendOrder(
	ctx context.Context, deadline time.Time, b *distribution.Backend, prefill bool, expectedOrders, epoch uint64,
) (acknowledged bool) {
	if !time.Now().Before(deadline) {
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
		ExpectedOrders: expectedOrders,
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

// confirmEpoch reports whether all backups confirm the view of an epoch, with this machine as its primary.
func (p *phaseController) confirmEpoch(ctx context.Context, epoch uint64) bool {
	ans, err := p.server.confirmView(ctx)
	st := p.server.status.Load()
	return err == nil && ans.Result == replication.Confirmed && st.Epoch == epoch && st.Role == replication.Primary
}
