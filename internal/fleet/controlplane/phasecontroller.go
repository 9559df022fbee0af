package controlplane

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/scheduler"
)

const (
	// reportInterval is the time between two rounds of reports; they are priced as health checks.
	reportInterval = 1500 * time.Millisecond
	// maxConcurrentReports bounds the backends that are asked at once.
	maxConcurrentReports = 16
	// unresponsiveDivisor is one in how many backends of a service may be unresponsive for that to be believed: where
	// more are, this machine may be the one that is partitioned.
	unresponsiveDivisor = 3
)

// phaseController has backends change between prefill and decode. It is a singleton role: it comes with the primary's
// view, whose epoch is the fencing token of its orders. It is safe for concurrent use, but rounds don't run beside
// each other.
type phaseController struct {
	server *Server
	client *externalapi.BackendClient

	mu           sync.Mutex
	planners     map[string]*scheduler.PhasePlanner // by service
	changing     map[string]bool                    // ids to which nobody should send
	active       map[string]int                     // requests by id of decode backends, as of the last round
	unresponsive []string                           // ids whose report did not come then

	// fencedEpoch is the newest epoch whose orders a backend rejected since it had seen a higher one; 0: none. No
	// order is given in its name, or that of an earlier one, again.
	fencedEpoch uint64
}

// newPhaseController returns one that has given no orders yet.
func newPhaseController(server *Server) *phaseController {
	return &phaseController{
		server:   server,
		client:   externalapi.NewBackendClient(orderTimeout),
		planners: map[string]*scheduler.PhasePlanner{},
		changing: map[string]bool{},
		active:   map[string]int{},
	}
}

// reset forgets what an earlier term of the role began.
func (p *phaseController) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.planners)
	clear(p.changing)
	clear(p.active)
	p.unresponsive = nil
}

// loadReport returns how many requests the decode backends had when they were last asked: those with the most.
func (p *phaseController) loadReport() distribution.LoadReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	report := distribution.LoadReport{Active: maps.Clone(p.active), Unresponsive: p.unresponsive}
	if len(report.Active) <= distribution.MaxLoadReportBackends {
		return report
	}
	ids := slices.SortedFunc(maps.Keys(report.Active), func(a, b string) int {
		return cmp.Or(report.Active[b]-report.Active[a], cmp.Compare(a, b))
	})
	for _, id := range ids[distribution.MaxLoadReportBackends:] {
		delete(report.Active, id)
	}
	return report
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

// round is one round of reports and orders.
type round struct {
	now      time.Duration // since the start of the server
	epoch    uint64
	mayOrder bool
}

// run asks the backends of all services for their reports and, where it may, gives the orders that follow. It blocks
// until all were asked, and reports whether what markChanging does has changed.
func (p *phaseController) run(ctx context.Context, r round, list *distribution.BackendList) bool {
	committed := p.server.committed.Load()
	if committed == nil || committed.doc == nil {
		return false
	}
	before := p.changingNow()
	p.resetReports()
	for _, svc := range committed.doc.Services() {
		if svc.Runtime == nil || svc.Runtime.Capacity <= 0 {
			continue
		}
		p.runService(ctx, r, svc.Name, svc.Runtime.Capacity, list)
	}
	return !maps.Equal(before, p.changingNow())
}

// runService is the part of a round of one service, whose backends take capacity requests each.
func (p *phaseController) runService(
	ctx context.Context, r round, service string, capacity int, list *distribution.BackendList,
) {
	var backends []distribution.Backend
	for _, b := range list.Backends {
		if b.Service == service {
			backends = append(backends, b)
		}
	}
	reports := p.fetchReports(ctx, backends)
	planner := p.recordReports(service, backends, reports)
	var transitions []scheduler.Transition
	if r.mayOrder {
		transitions = p.plan(planner, r.now, capacity, reports)
	}
	p.updateChanging(planner, backends, reports)
	p.sendOrders(ctx, r.epoch, planner, transitions, backends, reports)
}

// resetReports forgets the reports of the round before.
func (p *phaseController) resetReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.active)
	p.unresponsive = nil
}

// fetchReports asks all backends at once for their reports, and blocks until each has answered or failed. The report
// of a backend that gave none isn't usable.
func (p *phaseController) fetchReports(ctx context.Context, backends []distribution.Backend) []scheduler.BackendReport {
	reports := make([]scheduler.BackendReport, len(backends))
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentReports)
	for i, b := range backends {
		reports[i] = scheduler.BackendReport{ID: b.ID, Prefill: b.Phase == externalapi.PhasePrefill}
		if b.Draining {
			continue
		}
		slots <- struct{}{}
		wait.Go(func() {
			defer func() { <-slots }()
			r, err := p.client.Report(ctx, b.Address, b.ID)
			if err != nil {
				return
			}
			reports[i].Usable = true
			reports[i].Prefill = r.Phase == externalapi.PhasePrefill
			reports[i].Active = r.Active + r.Queued
			reports[i].Changing = r.PhaseChanging
			reports[i].Orders = r.OrdersTaken
		})
	}
	wait.Wait()
	return reports
}

// recordReports records how many requests the backends of a service have and which were unresponsive, and returns the
// planner of the service.
func (p *phaseController) recordReports(
	service string, backends []distribution.Backend, reports []scheduler.BackendReport,
) *scheduler.PhasePlanner {
	p.mu.Lock()
	defer p.mu.Unlock()
	var unresponsive []string
	for i, r := range reports {
		if r.Usable && !r.Prefill {
			p.active[r.ID] = r.Active
		} else if !r.Usable && !backends[i].Draining {
			unresponsive = append(unresponsive, r.ID)
		}
	}
	if len(unresponsive)*unresponsiveDivisor <= len(backends) {
		p.unresponsive = append(p.unresponsive, unresponsive...)
	}
	planner := p.planners[service]
	if planner == nil {
		planner = scheduler.NewPhasePlanner()
		p.planners[service] = planner
	}
	return planner
}

// plan returns the transitions of a service, of which those that are due are to be ordered.
func (p *phaseController) plan(
	planner *scheduler.PhasePlanner, now time.Duration, capacity int, reports []scheduler.BackendReport,
) []scheduler.Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return planner.Step(float64(now.Milliseconds()), capacity, reports)
}

// updateChanging records which backends of a service are about to change, also by an order of an earlier owner of the
// role.
func (p *phaseController) updateChanging(
	planner *scheduler.PhasePlanner, backends []distribution.Backend, reports []scheduler.BackendReport,
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range backends {
		delete(p.changing, b.ID)
	}
	for _, id := range planner.InTransition() {
		p.changing[id] = true
	}
	for _, r := range reports {
		if r.Changing {
			p.changing[r.ID] = true
		}
	}
}

// changingNow returns a copy of the ids of the backends that are about to change.
func (p *phaseController) changingNow() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.changing)
}
