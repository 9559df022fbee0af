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
	// reportInterval is the time between two rounds of reports. Reports are priced like health checks.
	reportInterval = 1500 * time.Millisecond
	// maxConcurrentReports bounds the concurrent report requests.
	maxConcurrentReports = 16
	// unresponsiveDivisor is the divisor of the greatest share of a service's backends that are published as
	// unresponsive: if more than 1/unresponsiveDivisor of them are, this machine itself may be partitioned.
	unresponsiveDivisor = 3
)

// phaseController orders backends to change between prefill and decode. This is a singleton role of the primary; the
// epoch of its view is the fencing token of its orders. It is safe for concurrent use, but rounds must not run
// concurrently.
type phaseController struct {
	server *Server
	client *externalapi.BackendClient

	mu           sync.Mutex
	planners     map[string]*scheduler.PhasePlanner // by service
	changing     map[string]bool                    // ids of backends that are about to change phase
	active       map[string]int                     // requests of decode backends by id, in the last round
	unresponsive []string                           // ids of backends without a report in the last round

	// fencedEpoch is the newest epoch whose orders a backend rejected because it had seen a higher one; 0: none. No
	// more orders are sent for it or an earlier epoch.
	fencedEpoch uint64
}

// newPhaseController returns a controller that has sent no orders yet.
func newPhaseController(server *Server) *phaseController {
	return &phaseController{
		server:   server,
		client:   externalapi.NewBackendClient(orderTimeout),
		planners: map[string]*scheduler.PhasePlanner{},
		changing: map[string]bool{},
		active:   map[string]int{},
	}
}

// reset clears the state of an earlier epoch, except fencedEpoch.
func (p *phaseController) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.planners)
	clear(p.changing)
	clear(p.active)
	p.unresponsive = nil
}

// loadReport returns the number of requests of the decode backends in the last round. If there are more than
// distribution.MaxLoadReportBackends, it contains the backends with the most requests.
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

// markChanging marks the backends of a list that are about to change phase, so that proxies send them no requests.
func (p *phaseController) markChanging(list *distribution.BackendList) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range list.Backends {
		if p.changing[list.Backends[i].ID] {
			list.Backends[i].Phase = distribution.PhaseChanging
		}
	}
}

// round holds the parameters of one round of reports and orders.
type round struct {
	now      time.Duration // time since the start of the server
	epoch    uint64
	mayOrder bool
}

// run requests reports from the backends of all services and, if r.mayOrder is set, sends the resulting orders. It
// blocks until all backends were asked, and reports whether the set of backends that are about to change phase has
// changed.
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

// runService runs a round for one service, whose backends take capacity concurrent requests each.
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

// resetReports clears the results of the previous round.
func (p *phaseController) resetReports() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.active)
	p.unresponsive = nil
}

// fetchReports requests reports from all backends concurrently, and blocks until each has answered or failed. The
// result contains an unusable report for a backend that gave none.
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

// recordReports records the number of requests of a service's backends and which of them were unresponsive, and returns
// the service's planner.
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

// plan returns the pending transitions of a service; orders are sent for those that are due.
func (p *phaseController) plan(
	planner *scheduler.PhasePlanner, now time.Duration, capacity int, reports []scheduler.BackendReport,
) []scheduler.Transition {
	p.mu.Lock()
	defer p.mu.Unlock()
	return planner.Step(float64(now.Milliseconds()), capacity, reports)
}

// updateChanging records which backends of a service are about to change phase, including those ordered by a previous
// primary.
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

// changingNow returns a copy of the set of backends that are about to change phase.
func (p *phaseController) changingNow() map[string]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.changing)
}
