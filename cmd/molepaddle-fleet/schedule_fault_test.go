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

// beginFault records the begin of a fault, with the core machines that count as lost meanwhile and for sync_s after;
// what it gives ends it.
func (run *scheduleRun) beginFault(lost ...*coreNode) (end func()) { return run.keepSpan(false, lost) }

func (run *scheduleRun) keepSpan(absent bool, lost []*coreNode) (end func()) {
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

// beginAbsence is a fault that takes one core machine away completely: once contact_ms have passed the core is stable
// without it, as long as more than half of it is there.
func (run *scheduleRun) beginAbsence(n *coreNode) (end func()) {
	return run.keepSpan(true, []*coreNode{n})
}

// undisturbed reports whether the core was stable, and the agents' machines and links without a fault, from one time to
// another.
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

// lostBeside counts the core machines that count as lost, one aside.
func (run *scheduleRun) lostBeside(one *coreNode) (n int) {
	for _, c := range run.cores {
		if c != one && (c.activeFaults > 0 || time.Now().Before(c.lostUntil)) {
			n++
		}
	}
	return n
}

// node is a step's target.
func (run *scheduleRun) node(target int) *coreNode {
	primary := run.history.primary()
	if target == agentTarget {
		primary = run.servesAgent(primary)
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

// servesAgent is the control address of the core machine last in contact with the first edge machine's node agent,
// and so is the one that this pulls from; the primary where none has been.
func (run *scheduleRun) servesAgent(primary string) string {
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

// seize takes a core machine's process for a step; false: another step has it, or, where a disk is to be lost, as many
// machines as may be are lost already.
func (run *scheduleRun) seize(n *coreNode, disk bool) bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if n.busy || disk && run.lostBeside(n) >= run.s.survive {
		return false
	}
	if disk {
		// It counts from now on: two steps may ask at once.
		n.lostUntil = time.Now().Add(run.syncFor())
	}
	n.busy = true
	return true
}

func (run *scheduleRun) release(n *coreNode) {
	run.mu.Lock()
	defer run.mu.Unlock()
	n.busy = false
}

// hits notes a fault of the primary.
func (run *scheduleRun) hits(kind faultKind, n *coreNode) {
	if n.ctl != run.history.primary() {
		return
	}
	run.mu.Lock()
	defer run.mu.Unlock()
	run.primary = append(run.primary, primaryFault{kind, time.Now()})
}

func (run *scheduleRun) count(kind faultKind) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.faults[kind]++
}

func (run *scheduleRun) skip() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.report.skipped++
}

// play carries a step out, to its end.
func (run *scheduleRun) play(s step) {
	done := false
	switch s.kind {
	case partitionNode, partitionInbound, partitionOutbound, partitionPair, slowLinks:
		done = run.playLinks(s)
	case partitionHalves:
		done = run.playHalves(s, func() { run.rest(s.lasts) })
	case restartHalf:
		done = run.playHalves(s, func() { run.killAll(s.lasts / 2); run.rest(s.lasts / 2) })
	case killProcess, wipeDisk, freeze:
		done = run.playProcess(s)
	case replaceNode:
		done = run.replace(s)
	case rollCore:
		done = run.roll()
	case killCore:
		done = run.killAll(s.lasts)
	case partitionAgent:
		done = run.playAgentCut(s)
	case killAgent, freezeAgent:
		done = run.playAgent(s)
	}
	if done {
		run.count(s.kind)
	} else {
		run.skip()
	}
}

// others are all IPs but one, those of agents as well if asked for.
func (run *scheduleRun) others(ip string, agents bool) []string {
	all := slices.Clone(run.ips)
	if agents {
		all = append(all, run.edgeIPs...)
	}
	return slices.DeleteFunc(all, func(other string) bool { return other == ip })
}

// linksBetween are the links from some machines to others.
func linksBetween(from, to []string) (links []simulation.Link) {
	for _, a := range from {
		for _, b := range to {
			links = append(links, simulation.Link{From: a, To: b})
		}
	}
	return links
}

// playLinks disturbs the links of one machine.
func (run *scheduleRun) playLinks(s step) bool {
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
	run.hits(s.kind, n)
	if s.kind == slowLinks {
		const slow = 150 * time.Millisecond
		run.network.Delay(slow, links...)
		run.rest(s.lasts)
		run.network.Delay(0, links...)
		return true
	}
	run.network.Cut(links...)
	run.rest(s.lasts)
	run.network.Heal(links...)
	return true
}

// playHalves partitions the core in two, with the agents and the machines to come on one side or the other, while do
// runs.
func (run *scheduleRun) playHalves(s step, do func()) bool {
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

// playProcess kills or freezes one machine's process, which may find an empty disk when it starts again.
func (run *scheduleRun) playProcess(s step) bool {
	n := run.node(s.target)
	if !run.seize(n, s.kind == wipeDisk) {
		return false
	}
	defer run.release(n)
	end := run.beginAbsence(n)
	defer end()
	run.hits(s.kind, n)
	if s.kind == freeze {
		n.program.Signal(syscall.SIGSTOP)
		run.rest(s.lasts)
		n.program.Signal(syscall.SIGCONT)
		return true
	}
	n.program.Kill()
	run.rest(s.lasts)
	if s.kind == wipeDisk {
		n.settings.DataDir = "" // a new one, empty
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

// replace has a machine go for good and another one come at a new address with an empty disk.
func (run *scheduleRun) replace(s step) bool {
	n := run.node(s.target)
	run.mu.Lock()
	left := run.spare < len(run.ips)
	run.mu.Unlock()
	if !left || !run.seize(n, true) {
		return false
	}
	defer run.release(n)
	end := run.beginFault(n)
	defer end()
	run.hits(s.kind, n)
	n.program.Kill()
	run.rest(s.lasts)
	run.mu.Lock()
	if run.spare >= len(run.ips) { // another step took the last one meanwhile
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

// roll restarts all of the core by SIGTERM, one machine after the other.
func (run *scheduleRun) roll() bool {
	run.mu.Lock()
	all := slices.Clone(run.cores)
	run.mu.Unlock()
	for _, n := range all {
		if !run.seize(n, false) {
			continue
		}
		run.rollOne(n)
		run.release(n)
	}
	return true
}

func (run *scheduleRun) rollOne(n *coreNode) {
	end := run.beginFault(n)
	defer end()
	run.hits(rollCore, n)
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

// killAll kills all processes of the core that no other step has, and starts them again a while later.
func (run *scheduleRun) killAll(pause time.Duration) bool {
	run.mu.Lock()
	all := slices.Clone(run.cores)
	run.mu.Unlock()
	all = slices.DeleteFunc(all, func(n *coreNode) bool { return !run.seize(n, false) })
	end := run.beginFault(all...)
	defer end()
	for _, n := range all {
		n.program.Kill()
	}
	run.rest(pause)
	for _, n := range all {
		run.startCore(n)
	}
	for _, n := range all {
		ctx, cancel := context.WithTimeout(run.ctx, testTimeout)
		if err := simulation.AwaitListening(ctx, n.ctl); err != nil && run.ctx.Err() == nil {
			run.reportBreach("%s doesn't start: %v", n.ctl, err)
		}
		cancel()
		run.release(n)
	}
	return true
}

// playAgentCut partitions an edge machine from all of the core but one machine.
func (run *scheduleRun) playAgentCut(s step) bool {
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
	run.rest(s.lasts)
	run.network.Heal(links...)
	return true
}

// playAgent kills or freezes a node agent.
func (run *scheduleRun) playAgent(s step) bool {
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
		run.rest(s.lasts)
		e.agent.Signal(syscall.SIGCONT)
		return true
	}
	e.agent.Kill()
	run.rest(s.lasts)
	run.startAgent(e)
	return true
}
