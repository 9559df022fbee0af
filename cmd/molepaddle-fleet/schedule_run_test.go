package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/replication"
	"molepaddle/internal/fleet/simulation"
	"molepaddle/internal/fleet/status"
)

// throughRelay makes this process dial other machines through the relay in its settings file, if there is one.
func throughRelay(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil // the program itself reports that
	}
	var file struct {
		IP    string `toml:"ip"`
		Relay string `toml:"relay"`
	}
	if err := toml.Unmarshal(data, &file); err != nil || file.Relay == "" {
		return nil
	}
	direct := distribution.DialThrough
	distribution.DialThrough = func(address string, within time.Duration) (net.Conn, error) {
		if strings.HasPrefix(address, "127.0.0.1:") { // on the same machine
			return direct(address, within)
		}
		return simulation.DialRelay(file.Relay, file.IP, address, within)
	}
	return nil
}

// scheduleBounds are the bnds that differ from those of the example: shorter times make shorter runs.
var scheduleBounds = map[string]any{"contact_ms": 2000, "sync_s": 2, "apply_ms": 2000, "ack_ms": 4000,
	"downgrade_ms": 250}

const (
	// scheduleSpares is the number of machines that may join the core during a run.
	scheduleSpares = 3
	// quietTail is the time, beside contact_ms, for which a run continues after the last fault.
	quietTail = 800 * time.Millisecond
	// busyFactor multiplies the bounds on liveness, for machines that are busy with other work.
	busyFactor = 2
	// convergeTimeout bounds the time until the complete core has the newest version, without faults.
	convergeTimeout = 12 * time.Second
)

// scheduleReport is the result of a run.
type scheduleReport struct {
	accepted, refused, shown, resent, lateResends, skipped int
	unanswered                                             int // resent calls without a definite answer
	probes, judged                                         int
	faults                                                 map[faultKind]int
	takeovers                                              []takeover
	settled, converged                                     time.Duration
	breaches                                               []string       // at most a few of each kind
	kinds                                                  map[string]int // breaches by their format
}

// takeover is the time from a fault of the primary to the next acknowledgement.
type takeover struct {
	kind  faultKind
	took  time.Duration
	alone bool // no other fault was close in time
}

// coreNode is a core machine.
type coreNode struct {
	settings     simulation.BootSettings
	ctl          string
	program      *simulation.Program
	busy         bool      // a step has reserved its process
	activeFaults int       // number of faults in effect
	lostUntil    time.Time // time until which it counts as lost
}

// edgeNode is an edge machine.
type edgeNode struct {
	settings    simulation.BootSettings
	agent       *simulation.Program
	client      *simulation.Client
	readyz      string
	incarnation int // number of its restarts
	busy        bool
}

// faultSpan is the time span of a fault.
type faultSpan struct {
	from, to time.Time
	absent   bool // a core machine was completely absent, see beginAbsence
}

// scheduleRun is one run of a schedule.
type scheduleRun struct {
	*testing.T
	s       schedule
	ctx     context.Context
	begin   time.Time
	network *simulation.RelayNetwork
	history *operatorHistory
	report  *scheduleReport
	ips     []string // IPs of all core machines, with the spares
	edgeIPs []string

	mu       sync.Mutex
	cores    []*coreNode
	edges    []*edgeNode
	spare    int // index in ips of the next spare
	spans    []*faultSpan
	probes   []probe
	primary  []primaryFault
	programs []*simulation.Program
}

// primaryFault is a fault that hit the primary.
type primaryFault struct {
	kind faultKind
	at   time.Time
}

func (run *scheduleRun) sinceBegin() int64 { return int64(time.Since(run.begin)) }

func (run *scheduleRun) bound(name string) time.Duration {
	return time.Duration(scheduleBounds[name].(int)) * time.Millisecond
}

func (run *scheduleRun) syncFor() time.Duration {
	return time.Duration(scheduleBounds["sync_s"].(int)) * time.Second
}

// reportBreach records a broken rule, a few of each kind at most.
func (run *scheduleRun) reportBreach(format string, args ...any) {
	const mostOfAKind = 3
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.kinds[format]++
	if run.report.kinds[format] > mostOfAKind {
		return
	}
	text := fmt.Sprintf("%v: ", time.Since(run.begin).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	run.report.breaches = append(run.report.breaches, text)
}

// runSchedule runs a schedule and checks the results. Concurrent runs must have different slots, which determine the
// addresses of the machines.
func runSchedule(t *testing.T, s schedule, slot int) *scheduleReport {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), s.window+90*time.Second)
	t.Cleanup(cancel)
	run := &scheduleRun{
		T:       t,
		s:       s,
		ctx:     ctx,
		begin:   time.Now(),
		network: simulation.StartRelayNetwork(t),
		report:  &scheduleReport{faults: map[faultKind]int{}, kinds: map[string]int{}},
	}
	run.history = newOperatorHistory(run)
	run.start(slot)
	calls, giveUp := context.WithCancel(ctx)
	defer giveUp()
	stop, stopProbes := make(chan struct{}), make(chan struct{})
	var operators, probers, faults sync.WaitGroup
	for i := range s.operators {
		o := newScheduleOperator(run, i+1)
		operators.Go(func() { o.work(calls, stop) })
	}
	for i := range run.edges {
		probers.Go(func() { run.probe(i, stopProbes) })
	}
	from := time.Now()
	for _, one := range s.steps {
		run.wait(time.Until(from.Add(one.at)))
		faults.Go(func() { run.runStep(one) })
	}
	faults.Wait()
	healed := time.Now()
	run.awaitLiveness(healed)
	run.wait(time.Until(healed.Add(run.bound("contact_ms") + quietTail)))
	close(stop)
	limit := busyFactor * run.bound("ack_ms")
	last := time.AfterFunc(limit, func() {
		run.reportBreach("calls have no clear answer %v after the last one began, without a fault", limit)
		giveUp()
	})
	operators.Wait()
	last.Stop()
	run.checkConvergence(time.Now())
	close(stopProbes)
	probers.Wait()
	for i, e := range run.edges {
		run.checkRefusedChanges(i, e.client)
	}
	run.history.check()
	run.checkProbes()
	run.checkPrograms()
	run.computeTakeovers()
	for _, text := range run.report.breaches {
		t.Errorf("breach: %s", text)
	}
	if len(run.report.breaches) > 0 {
		t.Logf("seed %d: %d machines, survive %d, %d operators, steps %v", s.seed, s.machines, s.survive, s.operators,
			s.steps)
	}
	return run.report
}

// wait waits for d or until the run ends.
func (run *scheduleRun) wait(d time.Duration) {
	t := time.NewTimer(max(d, 0))
	defer t.Stop()
	select {
	case <-t.C:
	case <-run.ctx.Done():
	}
}

// start starts the fleet and submits its first configuration.
func (run *scheduleRun) start(slot int) {
	zones := []string{"koto-hall", "shinagawa-hall", "kawasaki-hall"}
	for i := range run.s.machines + scheduleSpares {
		run.ips = append(run.ips, fmt.Sprintf("127.%d.1.%d", 11+slot, i+1))
	}
	for i := range run.s.edges {
		run.edgeIPs = append(run.edgeIPs, fmt.Sprintf("127.%d.2.%d", 11+slot, i+1))
	}
	all := slices.Concat([]string{"127.0.0.1"}, run.ips, run.edgeIPs)
	backend := simulation.StartEngine(run, plainEngine)
	platform := simulation.StartPlatform(run, simulation.PlatformSettings{Rate: 42, Delay: 50 * time.Millisecond}, backend)
	ports := simulation.ChoosePorts(run, 4, all...)
	base := simulation.BootSettings{
		Ports:    ports,
		Provider: platform.Address(),
		Rate:     42,
		Delay:    50 * time.Millisecond,
		Nodes:    run.s.survive,
		Bounds:   scheduleBounds,
		Extra:    fmt.Sprintf("relay = %q", run.network.Address()),
	}
	for i := range min(run.s.machines, 3) {
		base.Peers = append(base.Peers, net.JoinHostPort(run.ips[i], strconv.Itoa(ports.Ctl)))
	}
	for i := range run.s.machines {
		s := base
		s.Tier, s.Node, s.IP, s.Zone, s.Bootstrap, s.Voting = "core", fmt.Sprintf("core-%d", i+1), run.ips[i],
			zones[i%len(zones)], true, true
		n := &coreNode{settings: s, ctl: net.JoinHostPort(s.IP, strconv.Itoa(ports.Ctl))}
		run.cores = append(run.cores, n)
		run.startCore(n)
	}
	run.spare = run.s.machines
	for i, ip := range run.edgeIPs {
		s := base
		s.Tier, s.Node, s.IP, s.Zone = "edge", fmt.Sprintf("edge-%d", i+1), ip, zones[i%len(zones)]
		// Node agents serve their proxies on a port of 127.0.0.1, which all machines of the test share: each edge
		// machine has different ports.
		s.Ports = simulation.ChoosePorts(run, 4, all...)
		for _, core := range run.ips {
			for _, address := range []func(string, [2]int) string{distribution.PullAddr, distribution.QuotaAddr} {
				run.network.Alias(address(core, [2]int{s.Ports.First, s.Ports.Last}),
					address(core, [2]int{ports.First, ports.Last}))
			}
		}
		run.edges = append(run.edges, run.startEdge(s))
	}
	first, err := json.Marshal(document([]operatorChange{initialChange}))
	if err != nil {
		run.Fatal(err)
	}
	o := newScheduleOperator(run, 0)
	boot, cancel := context.WithTimeout(run.ctx, 2*testTimeout)
	defer cancel()
	if a, ok := o.call(boot, http.MethodPost, simulation.PathReplace, 0, first); !ok || a.status != http.StatusOK {
		run.Fatalf("the first configuration: %d %s", a.status, a.body)
	}
	for _, e := range run.edges {
		if err := simulation.AwaitReady(boot, e.readyz); err != nil {
			run.Fatal(err)
		}
	}
	// The fleet tolerates faults only once all core machines are members.
	if !run.waitUntil(testTimeout, func() bool { return run.allHave(initialChange.version) }) {
		run.Fatalf("the core isn't whole: %s", run.views())
	}
}

func (run *scheduleRun) exec(boot simulation.BootFile, role string) *simulation.Program {
	self, err := os.Executable()
	if err != nil {
		run.Fatal(err)
	}
	p := simulation.Exec(run, boot, self, role)
	run.mu.Lock()
	defer run.mu.Unlock()
	run.programs = append(run.programs, p)
	return p
}

// startCore starts a core machine's process with its current settings.
func (run *scheduleRun) startCore(n *coreNode) {
	boot := simulation.Boot(run, n.settings)
	n.settings.DataDir, n.settings.Bootstrap = boot.DataDir, false
	p := run.exec(boot, "control-plane")
	run.mu.Lock()
	defer run.mu.Unlock()
	n.program = p
}

func (run *scheduleRun) startEdge(s simulation.BootSettings) *edgeNode {
	e := &edgeNode{settings: s}
	run.startAgent(e)
	s.Role = "proxy"
	boot := simulation.Boot(run, s)
	run.exec(boot, "proxy")
	e.client, e.readyz = &simulation.Client{Edge: boot.Edge, KeepAlive: true}, boot.Readyz
	return e
}

func (run *scheduleRun) startAgent(e *edgeNode) {
	s := e.settings
	s.Role, s.Roles = "node-agent", []string{}
	p := run.exec(simulation.Boot(run, s), "node-agent")
	run.mu.Lock()
	defer run.mu.Unlock()
	e.agent = p
	e.incarnation++
}

// controls returns the control addresses of the current core machines.
func (run *scheduleRun) controls() []string {
	run.mu.Lock()
	defer run.mu.Unlock()
	var all []string
	for _, n := range run.cores {
		all = append(all, n.ctl)
	}
	return all
}

// waitUntil waits until ok returns true; it reports false if it does not within d.
func (run *scheduleRun) waitUntil(d time.Duration, ok func() bool) bool {
	ctx, cancel := context.WithTimeout(run.ctx, d)
	defer cancel()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for !ok() {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

var localStatus = http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// localView returns the status of the fleet from one core machine's own state.
func (run *scheduleRun) localView(ctl string) (f status.Fleet, err error) {
	req, err := http.NewRequestWithContext(run.ctx, http.MethodGet,
		"http://"+ctl+externalapi.CallStatus.Path+"?"+externalapi.QueryLocal, nil)
	if err != nil {
		return f, err
	}
	resp, err := localStatus.Do(req)
	if err != nil {
		return f, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return f, err
	}
	return f, json.Unmarshal(body, &f)
}

// allHave reports whether the core machines are the members of one view, whose primary and backups have a version.
func (run *scheduleRun) allHave(version int) bool {
	ctls := run.controls()
	epoch := uint64(0)
	for _, ctl := range ctls {
		f, err := run.localView(ctl)
		if err != nil || len(f.View.Members) != len(ctls) || epoch != 0 && f.View.Epoch != epoch {
			return false
		}
		epoch = f.View.Epoch
		for _, m := range f.View.Members {
			if !slices.Contains(ctls, m.Address) {
				return false
			}
		}
		self := slices.IndexFunc(f.View.Members, func(m status.Member) bool { return m.Self })
		if self < 0 || f.View.Members[self].Role != replication.Witness.String() &&
			f.Configuration.Version != int64(version) {
			return false
		}
	}
	return true
}

// views describes the core from the local status of each core machine.
func (run *scheduleRun) views() string {
	var text strings.Builder
	for _, ctl := range run.controls() {
		f, err := run.localView(ctl)
		fmt.Fprintf(&text, "%s: version %d, view %+v, error %v\n", ctl, f.Configuration.Version, f.View, err)
	}
	return text.String()
}

// awaitLiveness checks that a change is acknowledged in time after the last fault.
func (run *scheduleRun) awaitLiveness(healed time.Time) {
	var next acknowledgement
	ok := run.waitUntil(convergeTimeout, func() (ok bool) { next, ok = run.history.nextAfter(healed); return ok })
	if !ok {
		run.reportBreach("no change is acknowledged %v after the last fault:\n%s", time.Since(healed), run.views())
		return
	}
	run.report.settled = next.at.Sub(healed)
	if limit := busyFactor * run.bound("ack_ms"); run.report.settled > limit {
		run.reportBreach("a change is acknowledged %v after the last fault, which is over %v", run.report.settled, limit)
	}
}

// checkConvergence checks that every core machine and every proxy reaches the newest version after the operators have
// stopped, and that each core machine shows it.
func (run *scheduleRun) checkConvergence(still time.Time) {
	o := newScheduleOperator(run, 0)
	end, cancel := context.WithTimeout(run.ctx, convergeTimeout)
	defer cancel()
	o.show(end)
	newest := o.known[len(o.known)-1]
	if !run.waitUntil(convergeTimeout, func() bool { return run.allHave(newest.version) }) {
		run.reportBreach("not all of the core has version %d %v after the last change:\n%s", newest.version,
			time.Since(still), run.views())
	}
	run.report.converged = time.Since(still)
	for _, ctl := range run.controls() {
		a, err := o.attempt(end, http.MethodGet, "http://"+ctl+simulation.PathShow, 0, nil)
		if err != nil || a.status != http.StatusOK {
			run.reportBreach("%s doesn't show the configuration, without a fault: %d, %v", ctl, a.status, err)
			continue
		}
		changes, err := run.history.parseShown(a.body)
		if err != nil || changes[len(changes)-1] != newest {
			run.reportBreach("%s shows another configuration than %v, without a fault: %v", ctl, newest, err)
		}
	}
	for i, e := range run.edges {
		if !run.waitUntil(run.bound("apply_ms"),
			func() bool { return e.client.Do(run.ctx, changeRequest(newest)).Status == http.StatusOK }) {
			run.reportBreach("edge %d doesn't have %v in force, without a fault", i, newest)
		}
	}
}

// changeRequest returns a request on the route that a change adds.
func changeRequest(o operatorChange) simulation.Request {
	r := lookup()
	r.Path, r.Services = "/"+o.routeName()+"/x", nil
	return r
}

// probeEvery is the interval between two probes of a proxy.
const probeEvery = 25 * time.Millisecond

// probe probes one proxy for the route of the newest acknowledged change, and sometimes of an older one.
func (run *scheduleRun) probe(edge int, stop <-chan struct{}) {
	e := run.edges[edge]
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-run.ctx.Done():
			return
		case <-tick.C:
		}
		one, ok := run.probeTarget(i)
		if !ok {
			continue
		}
		p := probe{edge: edge, change: one, sent: time.Now(), incarnation: run.incarnationOf(e)}
		p.status = e.client.Do(run.ctx, changeRequest(one)).Status
		p.done = time.Now()
		if run.incarnationOf(e) != p.incarnation {
			continue
		}
		run.mu.Lock()
		run.probes = append(run.probes, p)
		run.mu.Unlock()
	}
}

func (run *scheduleRun) incarnationOf(e *edgeNode) int {
	run.mu.Lock()
	defer run.mu.Unlock()
	return e.incarnation
}

// probeTarget returns the newest acknowledged change, or every other time the newest one that must be in force at all
// proxies.
func (run *scheduleRun) probeTarget(i int) (operatorChange, bool) {
	newest, ok := run.history.newest()
	if !ok || i%2 == 0 {
		return newest.change, ok
	}
	return run.history.newestBefore(time.Now().Add(-run.bound("apply_ms")))
}

// checkPrograms checks that no process had a race or a panic.
func (run *scheduleRun) checkPrograms() {
	for _, p := range run.programs {
		for _, sign := range []string{"DATA RACE", "panic:", "fatal error:"} {
			if out := p.Output(); strings.Contains(out, sign) {
				run.reportBreach("%s in a process's output:\n%s", sign, out)
			}
		}
	}
}

// computeTakeovers computes the time from each fault of the primary to the next acknowledged change.
func (run *scheduleRun) computeTakeovers() {
	for _, f := range run.primary {
		next, ok := run.history.nextAfter(f.at)
		if !ok {
			continue
		}
		one := takeover{kind: f.kind, took: next.at.Sub(f.at), alone: true}
		near := 0
		for _, s := range run.spans {
			if s.to.After(f.at.Add(-run.bound("contact_ms"))) && s.from.Before(next.at) {
				near++
			}
		}
		one.alone = near <= 1
		run.report.takeovers = append(run.report.takeovers, one)
	}
}
