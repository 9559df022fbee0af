package main

import (
	"context"
	"math"
	"net"
	"slices"
	"strconv"
	"syscall"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// beginFault records the begin of a fault, and the core machines that count as lost until sync_s after its end. The
// returned function records the end.
func (run *scheduleRun) beginFault(lost ...*coreNode) (end func()) {
	return run.recordSpan(false, lost)
}

func (run *scheduleRun) recordSpan(absent bool, lost []*coreNode) (end func()) {
	run.mu.Lock()
	defer run.mu.Unlock()
	span := &faultSpan{from: time.Now(), to: time.Now().Add(time.Hour), absent: absent}
	run.spans = append(run.spans, span)
	for _, n := range lost {
		n.activeFaults++
	}
	return func() {
		run.mu.Lock()
		defer run.mu.Unlock()
		span.to = time.Now()
		for _, n := range lost {
			n.activeFaults--
			n.lostUntil = span.to.Add(run.syncFor())
		}
	}
}

// beginAbsence records a fault that completely removes one core machine: the core is stable without it once contact_ms
// have passed, as long as more than half of the core is available.
func (run *scheduleRun) beginAbsence(n *coreNode) (end func()) {
	return run.recordSpan(true, []*coreNode{n})
}

// undisturbed reports whether from one time to another the core was stable, and the agents' machines and links had no
// fault.
func (run *scheduleRun) undisturbed(from, to time.Time) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	absent := 0
	for _, s := range run.spans {
		if s.to.Before(from) || s.from.After(to) {
			continue
		}
		absent++
		if !s.absent || s.from.After(from) || s.to.Before(to) {
			return false
		}
	}
	return 2*absent < run.s.machines
}

// countOtherLost counts the core machines that count as lost, except one.
func (run *scheduleRun) countOtherLost(one *coreNode) (n int) {
	for _, c := range run.cores {
		if c != one && (c.activeFaults > 0 || time.Now().Before(c.lostUntil)) {
			n++
		}
	}
	return n
}

// node returns the core machine that is a step's target.
func (run *scheduleRun) node(target int) *coreNode {
	primary := run.history.primary()
	if target == agentTarget {
		primary = run.agentSource(primary)
		target = primaryTarget
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	if target == primaryTarget {
		for _, n := range run.cores {
			if n.ctl == primary {
				return n
			}
		}
		target = 0
	}
	return run.cores[target%len(run.cores)]
}

// agentSource returns the control address of the core machine that was last in contact with the first edge machine's
// node agent, which is the one from which the agent pulls, or the primary's if there was none.
func (run *scheduleRun) agentSource(primary string) string {
	source, youngest := primary, int64(math.MaxInt64)
	for _, ctl := range run.controls() {
		f, err := run.localView(ctl)
		if err != nil {
			continue
		}
		for _, a := range f.Agents {
			if a.Name == run.edges[0].settings.Node && a.LeaseAgeMs < youngest {
				source, youngest = ctl, a.LeaseAgeMs
			}
		}
	}
	return source
}

// acquireNode reserves a core machine's process for a step. It reports false if another step has it, or if the step
// wipes a disk and the maximum number of machines is lost already.
func (run *scheduleRun) acquireNode(n *coreNode, disk bool) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if n.busy || disk && run.countOtherLost(n) >= run.s.survive {
		return false
	}
	if disk {
		// The machine counts as lost from now on, as another step may call this concurrently.
		n.lostUntil = time.Now().Add(run.syncFor())
	}
	n.busy = true
	return true
}

func (run *scheduleRun) releaseNode(n *coreNode) {
	run.mu.Lock()
	defer run.mu.Unlock()
	n.busy = false
}

// recordPrimaryFault records a fault if it hits the primary.
func (run *scheduleRun) recordPrimaryFault(kind faultKind, n *coreNode) {
	if n.ctl != run.history.primary() {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.primary = append(run.primary, primaryFault{kind, time.Now()})
}

func (run *scheduleRun) countFault(kind faultKind) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.faults[kind]++
}

func (run *scheduleRun) countSkipped() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.skipped++
}

// runStep executes a step and blocks until its end.
func (run *scheduleRun) runStep(s step) {
	done := false
	switch s.kind {
	case partitionNode, partitionInbound, partitionOutbound, partitionPair, slowLinks:
		done = run.disturbLinks(s)
	case partitionHalves:
		done = run.partitionCore(s, func() { run.wait(s.lasts) })
	case restartHalf:
		done = run.partitionCore(s, func() { run.killAll(s.lasts / 2); run.wait(s.lasts / 2) })
	case killProcess, wipeDisk, freeze:
		done = run.disturbProcess(s)
	case replaceNode:
		done = run.replace(s)
	case rollCore:
		done = run.restartCore()
	case killCore:
		done = run.killAll(s.lasts)
	case partitionAgent:
		done = run.partitionAgentNode(s)
	case killAgent, freezeAgent:
		done = run.disturbAgent(s)
	}
	if done {
		run.countFault(s.kind)
	} else {
		run.countSkipped()
	}
}

// others returns the IPs of all core machines but one, and also those of edge machines if agents is set.
func (run *scheduleRun) others(ip string, agents bool) []string {
	all := slices.Clone(run.ips)
	if agents {
		all = append(all, run.edgeIPs...)
	}
	return slices.DeleteFunc(all, func(other string) bool { return other == ip })
}

// linksBetween returns the links from some machines to others.
func linksBetween(from, to []string) (links []simulation.Link) {
	for _, a := range from {
		for _, b := range to {
			links = append(links, simulation.Link{From: a, To: b})
		}
	}
	return links
}

// disturbLinks disturbs the links of one machine.
func (run *scheduleRun) disturbLinks(s step) bool {
	n := run.node(s.target)
	self, others := []string{n.settings.IP}, run.others(n.settings.IP, s.agents)
	in, out := linksBetween(others, self), linksBetween(self, others)
	links := append(in, out...)
	switch s.kind {
	case partitionInbound:
		links = in
	case partitionOutbound:
		links = out
	case partitionPair:
		other := run.node(s.other)
		if other == n {
			return false
		}
		peer := []string{other.settings.IP}
		links = append(linksBetween(self, peer), linksBetween(peer, self)...)
	}
	start := run.beginFault
	if s.kind == partitionNode {
		start = func(...*coreNode) func() { return run.beginAbsence(n) }
	}
	end := start(n)
	defer end()
	run.recordPrimaryFault(s.kind, n)
	if s.kind == slowLinks {
		const slow = 150 * time.Millisecond
		run.network.Delay(slow, links...)
		run.wait(s.lasts)
		run.network.Delay(0, links...)
		return true
	}
	run.network.Cut(links...)
	run.wait(s.lasts)
	run.network.Heal(links...)
	return true
}

// partitionCore partitions the core in two while do runs. Agents and spare machines are on either side.
func (run *scheduleRun) partitionCore(s step, do func()) bool {
	var halves [2][]string
	for i, ip := range append(slices.Clone(run.ips), run.edgeIPs...) {
		side := (i + s.other) % 2
		halves[side] = append(halves[side], ip)
	}
	run.mu.Lock()
	var lost []*coreNode
	for _, n := range run.cores {
		if slices.Contains(halves[0], n.settings.IP) {
			lost = append(lost, n)
		}
	}
	run.mu.Unlock()
	end := run.beginFault(lost...)
	defer end()
	links := append(linksBetween(halves[0], halves[1]), linksBetween(halves[1], halves[0])...)
	run.network.Cut(links...)
	do()
	run.network.Heal(links...)
	return true
}

// disturbProcess kills or freezes one machine's process, and may wipe its disk before the restart.
func (run *scheduleRun) disturbProcess(s step) bool {
	n := run.node(s.target)
	if !run.acquireNode(n, s.kind == wipeDisk) {
		return false
	}
	defer run.releaseNode(n)
	end := run.beginAbsence(n)
	defer end()
	run.recordPrimaryFault(s.kind, n)
	if s.kind == freeze {
		n.program.Signal(syscall.SIGSTOP)
		run.wait(s.lasts)
		n.program.Signal(syscall.SIGCONT)
		return true
	}
	n.program.Kill()
	run.wait(s.lasts)
	if s.kind == wipeDisk {
		n.settings.DataDir = "" // use a new, empty folder
	}
	run.restart(n)
	return true
}

// restart starts a core machine's process and waits until it listens.
func (run *scheduleRun) restart(n *coreNode) {
	run.startCore(n)
	ctx, cancel := context.WithTimeout(run.ctx, testTimeout)
	defer cancel()
	if err := simulation.AwaitListening(ctx, n.ctl); err != nil && run.ctx.Err() == nil {
		run.reportBreach("%s doesn't start: %v", n.ctl, err)
	}
}

// replace removes a machine permanently and adds another one at a new address with an empty disk.
func (run *scheduleRun) replace(s step) bool {
	n := run.node(s.target)
	run.mu.Lock()
	left := run.spare < len(run.ips)
	run.mu.Unlock()
	if !left || !run.acquireNode(n, true) {
		return false
	}
	defer run.releaseNode(n)
	end := run.beginFault(n)
	defer end()
	run.recordPrimaryFault(s.kind, n)
	n.program.Kill()
	run.wait(s.lasts)
	run.mu.Lock()
	if run.spare >= len(run.ips) { // another step has used the last spare meanwhile
		run.mu.Unlock()
		n.settings.DataDir = ""
		run.restart(n)
		return true
	}
	ip := run.ips[run.spare]
	run.spare++
	n.settings.IP, n.settings.DataDir, n.settings.Node = ip, "", "core-at-"+ip
	n.settings.Peers = nil
	for _, other := range run.cores {
		if other != n && len(n.settings.Peers) < 3 {
			n.settings.Peers = append(n.settings.Peers, other.ctl)
		}
	}
	n.ctl = net.JoinHostPort(ip, strconv.Itoa(n.settings.Ports.Ctl))
	run.mu.Unlock()
	run.restart(n)
	return true
}

// restartCore restarts all core machines by SIGTERM, one after the other.
func (run *scheduleRun) restartCore() bool {
	run.mu.Lock()
	all := slices.Clone(run.cores)
	run.mu.Unlock()
	for _, n := range all {
		if !run.acquireNode(n, false) {
			continue
		}
		run.restartGracefully(n)
		run.releaseNode(n)
	}
	return true
}

func (run *scheduleRun) restartGracefully(n *coreNode) {
	end := run.beginFault(n)
	defer end()
	run.recordPrimaryFault(rollCore, n)
	const grace = 8 * time.Second
	ctx, cancel := context.WithTimeout(run.ctx, grace)
	defer cancel()
	n.program.Signal(syscall.SIGTERM)
	if code, err := n.program.Wait(ctx); err == nil && code != 0 {
		run.reportBreach("%s ended with code %d after SIGTERM", n.ctl, code)
	}
	n.program.Kill()
	run.restart(n)
}

// killAll kills all processes of the core that no other step has reserved, and restarts them after a pause.
func (run *scheduleRun) killAll(pause time.Duration) bool {
	run.mu.Lock()
	all := slices.Clone(run.cores)
	run.mu.Unlock()
	all = slices.DeleteFunc(all, func(n *coreNode) bool { return !run.acquireNode(n, false) })
	end := run.beginFault(all...)
	defer end()
	for _, n := range all {
		n.program.Kill()
	}
	run.wait(pause)
	for _, n := range all {
		run.startCore(n)
	}
	for _, n := range all {
		ctx, cancel := context.WithTimeout(run.ctx, testTimeout)
		if err := simulation.AwaitListening(ctx, n.ctl); err != nil && run.ctx.Err() == nil {
			run.reportBreach("%s doesn't start: %v", n.ctl, err)
		}
		cancel()
		run.releaseNode(n)
	}
	return true
}

// partitionAgentNode partitions an edge machine from all of the core but one machine.
func (run *scheduleRun) partitionAgentNode(s step) bool {
	ip := run.edgeIPs[s.other%len(run.edgeIPs)]
	kept := run.node(s.target)
	others := run.others(kept.settings.IP, false)
	links := linksBetween(others, []string{ip})
	if s.agents {
		links = append(links, linksBetween([]string{ip}, others)...)
	}
	end := run.beginFault()
	defer end()
	run.network.Cut(links...)
	run.wait(s.lasts)
	run.network.Heal(links...)
	return true
}

// disturbAgent kills and restarts, or freezes, a node agent.
func (run *scheduleRun) disturbAgent(s step) bool {
	e := run.edges[s.other%len(run.edges)]
	run.mu.Lock()
	was := e.busy
	e.busy = true
	run.mu.Unlock()
	if was {
		return false
	}
	end := run.beginFault()
	defer func() {
		end()
		run.mu.Lock()
		defer run.mu.Unlock()
		e.busy = false
	}()
	if s.kind == freezeAgent {
		e.agent.Signal(syscall.SIGSTOP)
		run.wait(s.lasts)
		e.agent.Signal(syscall.SIGCONT)
		return true
	}
	e.agent.Kill()
	run.wait(s.lasts)
	run.startAgent(e)
	return true
}
