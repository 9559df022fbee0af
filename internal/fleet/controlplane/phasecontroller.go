package controlplane

import (
	"cmp"
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/scheduler"
)

// phaseController holds the duty of giving orders to backends: it comes with the primary's view, whose epoch is the fence.
type phaseController struct {
	server *Server
	client *externalapi.BackendClient

	mu           sync.Mutex
	planners     map[string]*scheduler.PhasePlanner // by service
	changing     map[string]bool                    // ids to which nobody should send
	active       map[string]int                     // by id of those that make tokens, as of the last round
	unresponsive []string                           // whose report did not come then
}

const (
	// reportInterval is the time between two rounds of reports; they are priced as probes.
	reportInterval = 1500 * time.Millisecond
	// unresponsiveDivisor is one in how many backends may be silent for that to be believed.
	unresponsiveDivisor = 3
	// orderTimeout bounds a call to a backend.
	orderTimeout = 300 * time.Millisecond
	// confirmAndOrderTimeout bounds the confirmation before an order and the order together.
	confirmAndOrderTimeout = 2 * orderTimeout
	// orderTransitBound is more than an order takes from its sender to the backend.
	orderTransitBound = orderTimeout
)

func newPhaseController(o *Server) *phaseController {
	return &phaseController{server: o, client: externalapi.NewBackendClient(orderTimeout), planners: map[string]*scheduler.PhasePlanner{}, changing: map[string]bool{},
		active: map[string]int{}}
}

// reset forgets what an earlier term of the duty began.
func (p *phaseController) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.planners)
	clear(p.changing)
	clear(p.active)
	p.unresponsive = nil
}

// gauges is how many requests were at the backends that make tokens when they were last asked: the fullest of them.
func (p *phaseController) gauges() distribution.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := distribution.LoadReport{Active: maps.Clone(p.active), Unresponsive: p.unresponsive}
	if len(g.Active) <= distribution.MaxLoadReportBackends {
		return g
	}
	ids := slices.SortedFunc(maps.Keys(g.Active), func(a, b string) int { return cmp.Or(g.Active[b]-g.Active[a], cmp.Compare(a, b)) })
	for _, id := range ids[distribution.MaxLoadReportBackends:] {
		delete(g.Active, id)
	}
	return g
}

// markChanging has a list say which backends are about to change, so that proxies send nothing there.
func (p *phaseController) markChanging(list *distribution.BackendList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range list.Backends {
		if p.changing[list.Backends[i].ID] {
			list.Backends[i].Phase = distribution.PhaseChanging
		}
	}
}

// runPhases asks the engines of all services for their reports and, where it may, gives the orders that follow. It reports whether
// what is to be announced has changed.
func (p *phaseController) runRound(ctx context.Context, now time.Duration, list *distribution.BackendList, epoch uint64, orders bool) bool {
	settled := p.server.committed.Load()
	if settled == nil || settled.doc == nil {
		return false
	}
	before := p.changingNow()
	p.resetReports()
	for _, svc := range settled.doc.Services() {
		if svc.Runtime == nil || svc.Runtime.Capacity <= 0 {
			continue
		}
		var all []distribution.Backend
		for _, b := range list.Backends {
			if b.Service == svc.Name {
				all = append(all, b)
			}
		}
		states := p.fetchReports(ctx, all)
		machine := p.recordReports(svc.Name, all, states)
		var moves []scheduler.Transition
		if orders {
			moves = p.planMoves(machine, now, svc.Runtime.Capacity, states)
		}
		p.updateChanging(machine, all, states)
		p.sendOrders(ctx, machine, moves, all, states, epoch)
	}
	return !maps.Equal(before, p.changingNow())
}

func (p *phaseController) resetReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.active)
	p.unresponsive = nil
}

// recordReports notes how full the backends of a service are and which were silent, and gives the machine that decides its phases.
func (p *phaseController) recordReports(service string, all []distribution.Backend, states []scheduler.BackendReport) *scheduler.PhasePlanner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var silent []string
	for i, s := range states {
		if s.Usable && !s.Prefill {
			p.active[s.ID] = s.Active
		} else if !s.Usable && !all[i].Draining {
			silent = append(silent, s.ID)
		}
	}
	// Where many are silent this machine may be the one that is cut off.
	if len(silent)*unresponsiveDivisor <= len(all) {
		p.unresponsive = append(p.unresponsive, silent...)
	}
	machine := p.planners[service]
	if machine == nil {
		machine = scheduler.NewPhasePlanner()
		p.planners[service] = machine
	}
	return machine
}

// planMoves gives the orders that are due.
func (p *phaseController) planMoves(machine *scheduler.PhasePlanner, now time.Duration, capacity int, states []scheduler.BackendReport) []scheduler.Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return machine.Step(float64(now.Milliseconds()), capacity, states)
}

// updateChanging notes which backends of a service are about to change, also by an order of an earlier holder.
func (p *phaseController) updateChanging(machine *scheduler.PhasePlanner, all []distribution.Backend, states []scheduler.BackendReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range all {
		delete(p.changing, b.ID)
	}
	for _, id := range machine.InTransition() {
		p.changing[id] = true
	}
	for _, s := range states {
		if s.Changing {
			p.changing[s.ID] = true
		}
	}
}

// sendOrders gives the orders that are due; one that was not heard of is given again later.
func (p *phaseController) sendOrders(ctx context.Context, machine *scheduler.PhasePlanner, moves []scheduler.Transition, all []distribution.Backend, states []scheduler.BackendReport, epoch uint64) {
	for _, move := range moves {
		i := slices.IndexFunc(all, func(b distribution.Backend) bool { return b.ID == move.ID })
		if !move.Due || i < 0 {
			continue
		}
		if !p.confirmAndOrder(ctx, &all[i], move.Prefill, states[i].Orders, epoch) {
			p.mu.Lock()
			machine.RetryOrder(move.ID)
			p.mu.Unlock()
		}
	}
}

func (p *phaseController) changingNow() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.changing)
}

// confirmAndOrder sends one order, if the view that gives the duty still stands, to a backend that has taken so many; false: it was not
// sent, nothing was heard of it, or the backend has taken another since its report or has one under way.
//
// It is sent within confirmAndOrderTimeout of when the confirmation of the view was asked for, and given up at that time. The next holder of
// the duty, which was chosen after that, gives no order before phaseTakeoverWait: a lease lies between the two. After a freeze in
// between the time is over, and nothing is sent.
func (p *phaseController) confirmAndOrder(ctx context.Context, b *distribution.Backend, prefill bool, taken, epoch uint64) (heard bool) {
	by := time.Now().Add(confirmAndOrderTimeout)
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	return p.confirmEpoch(ctx, epoch) && p.sendOrder(ctx, by, b, prefill, taken, epoch)
}

// sendOrder sends an order, unless it is too late for that; see order.
func (p *phaseController) sendOrder(ctx context.Context, by time.Time, b *distribution.Backend, prefill bool, taken, epoch uint64) (heard bool) {
	if !time.Now().Before(by) {
		return false
	}
	phase := externalapi.PhaseDecode
	if prefill {
		phase = externalapi.PhasePrefill
	}
	status, err := p.client.Order(ctx, b.Address, externalapi.PhaseOrder{BackendID: b.ID, Phase: phase, Owner: p.server.settings.NodeName, FencingToken: epoch, ExpectedOrders: taken})
	p.server.log.Info("order", zap.String("backend", b.ID), zap.String("phase", phase), zap.Int("status", status), zap.Uint64("fence", epoch), zap.Error(err))
	return err == nil && status != http.StatusConflict
}

// confirmEpoch reports whether all backups confirm that the view of an epoch stands, with this machine as its primary.
func (p *phaseController) confirmEpoch(ctx context.Context, epoch uint64) bool {
	ans, err := p.server.submitAndWait(ctx, func(now time.Duration, token uint64) replication.Output { return p.server.replica.Read(now, token) })
	st := p.server.status.Load()
	return err == nil && ans.Result == replication.Confirmed && st.Epoch == epoch && st.Role == replication.Primary
}

// fetchReports asks all backends at once for their reports.
func (p *phaseController) fetchReports(ctx context.Context, all []distribution.Backend) []scheduler.BackendReport {
	states := make([]scheduler.BackendReport, len(all))
	var wait sync.WaitGroup
	room := make(chan struct{}, 16)
	for i, b := range all {
		states[i] = scheduler.BackendReport{ID: b.ID, Prefill: b.Phase == externalapi.PhasePrefill}
		if b.Draining {
			continue
		}
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			r, err := p.client.Report(ctx, b.Address, b.ID)
			if err != nil {
				return
			}
			states[i].Usable, states[i].Prefill, states[i].Active, states[i].Changing = true, r.Phase == externalapi.PhasePrefill, r.Active+r.Queued, r.PhaseChanging
			states[i].Orders = r.OrdersTaken
		})
	}
	wait.Wait()
	return states
}
