package main

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"
)

// Schedules are seeded sequences of faults over whole processes: a core of three or five machines, node agents and
// proxies on loopback, with a relay between them, while operators change and read the configuration. A schedule is a
// function of its seed; the behaviour of the processes isn't, as they run in real time.

var (
	scheduleCount  = flag.Int("schedules", 12, "how many schedules of faults over whole processes are played")
	scheduleFirst  = flag.Uint64("schedules.first", 1, "the first schedule's seed")
	scheduleAtOnce = flag.Int("schedules.at-once", 3, "how many schedules are played at once")
	takeoverRuns   = flag.Int("schedules.takeovers", 0,
		"how many runs measure the time from a kill or a freeze of the primary to the next acknowledgement")
	scheduleLong = flag.Bool("schedules.long", false, "schedules of half a minute, with cuts and freezes of up to 20 s")
)

// faultKind is the kind of fault of a step in a schedule.
type faultKind string

const (
	partitionNode     faultKind = "cut whole"      // partitions a machine from all others, in both directions
	partitionInbound  faultKind = "cut inbound"    // nothing reaches a machine, which still sends
	partitionOutbound faultKind = "cut outbound"   // nothing leaves a machine, which still receives
	partitionPair     faultKind = "cut pair"       // partitions two machines from each other
	partitionHalves   faultKind = "cut halves"     // partitions the core in two, each half with some agents and spares
	slowLinks         faultKind = "slow links"     // delays all traffic of a machine
	killProcess       faultKind = "kill"           // SIGKILL and a restart
	freeze            faultKind = "freeze"         // SIGSTOP, later SIGCONT
	wipeDisk          faultKind = "wipe"           // SIGKILL and a restart with an empty disk
	replaceNode       faultKind = "replace"        // replaces a machine by another one at a new address
	rollCore          faultKind = "roll"           // SIGTERM and a restart, one core machine after the other
	killCore          faultKind = "kill all"       // SIGKILL of all processes of the core at once
	partitionAgent    faultKind = "cut agent"      // partitions an edge machine from all core machines but one
	killAgent         faultKind = "kill agent"     // SIGKILL of a node agent and a restart
	freezeAgent       faultKind = "freeze agent"   // SIGSTOP of a node agent, later SIGCONT
	restartHalf       faultKind = "restart inside" // the core is partitioned in two, and both halves restart meanwhile
)

// drawnKinds lists the kinds, each as often as it is to be drawn.
var drawnKinds = []faultKind{
	partitionNode, partitionNode, partitionNode, partitionInbound, partitionInbound, partitionOutbound,
	partitionOutbound, partitionPair, partitionHalves, partitionHalves, slowLinks,
	killProcess, killProcess, killProcess, freeze, freeze, freeze, wipeDisk, wipeDisk, wipeDisk, replaceNode, replaceNode,
	rollCore, killCore, partitionAgent, killAgent, freezeAgent, restartHalf,
}

// Targets that are resolved when the step begins.
const (
	primaryTarget = -1 // the machine that acknowledged last
	agentTarget   = -2 // the core machine from which the first edge machine's node agent pulls
)

// step is one fault.
type step struct {
	at     time.Duration // since the begin of the schedule
	kind   faultKind
	target int           // index of a core or edge machine, or primaryTarget or agentTarget
	other  int           // the second machine of a pair, or the size of one side of a partition
	lasts  time.Duration // time until the fault ends, or the process is restarted
	agents bool          // whether the agents are partitioned as well
}

// String returns a description of the step.
func (s step) String() string {
	target := fmt.Sprint(s.target)
	switch s.target {
	case primaryTarget:
		target = "primary"
	case agentTarget:
		target = "the agent's source"
	}
	return fmt.Sprintf("%v %s of %s (%d, agents %v) for %v", s.at.Round(time.Millisecond), s.kind, target, s.other,
		s.agents, s.lasts.Round(time.Millisecond))
}

// schedule holds all random choices that are made before a run.
type schedule struct {
	seed      uint64
	machines  int // number of core machines
	survive   int
	edges     int
	operators int
	lossy     float64 // fraction of answers that operators lose
	busy      bool    // operators send the next call as soon as one is answered
	window    time.Duration
	steps     []step
}

const (
	shortWindow = 3500 * time.Millisecond
	longWindow  = 26 * time.Second
	longFault   = 20 * time.Second
)

// drawSchedule returns the schedule of a seed.
func drawSchedule(seed uint64, long bool) schedule {
	rng := rand.New(rand.NewPCG(seed, 0x5c4ed))
	s := schedule{
		seed:      seed,
		machines:  3,
		survive:   1,
		edges:     1 + rng.IntN(2),
		operators: 2 + rng.IntN(3),
		window:    shortWindow,
		lossy:     0.05,
		busy:      rng.IntN(2) == 0,
	}
	if seed%3 == 0 {
		s.machines, s.survive = 5, 2
	}
	faults := 3 + rng.IntN(4)
	if long {
		s.window = longWindow
		faults = 8 + rng.IntN(10)
	}
	for range faults {
		s.steps = append(s.steps, drawStep(rng, &s))
	}
	if long {
		one := step{
			at:     between(rng, 0, 2*time.Second),
			kind:   []faultKind{partitionNode, partitionInbound, partitionOutbound, freeze}[rng.IntN(4)],
			target: primaryTarget,
			lasts:  longFault,
			agents: rng.IntN(2) == 0,
		}
		s.steps = append(s.steps, one)
	}
	slices.SortStableFunc(s.steps, func(a, b step) int { return int(a.at - b.at) })
	return s
}

func drawStep(rng *rand.Rand, s *schedule) step {
	kind := drawnKinds[rng.IntN(len(drawnKinds))]
	one := step{
		at:     between(rng, 0, s.window*3/4),
		kind:   kind,
		target: rng.IntN(s.machines),
		other:  rng.IntN(s.machines),
		agents: rng.IntN(2) == 0,
	}
	switch rng.IntN(6) {
	case 0, 1, 2:
		one.target = primaryTarget
	case 3:
		one.target = agentTarget
	}
	switch kind {
	case killProcess, wipeDisk, replaceNode, killCore, killAgent:
		one.lasts = between(rng, 0, 600*time.Millisecond)
	default:
		one.lasts = between(rng, 200*time.Millisecond, 1200*time.Millisecond)
		if rng.IntN(2) == 0 { // long enough for another primary to acknowledge changes meanwhile
			one.lasts = between(rng, time.Second, 3*time.Second)
		}
	}
	return one
}

func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// TestSchedules runs the schedules: the answers to operators must be linearizable, an acknowledged change must be kept
// and never be rejected when it is sent again, every proxy must have it in time and not return to an older version, and
// after the last fault changes must be acknowledged again and the complete core must have the newest one.
func TestSchedules(t *testing.T) {
	var total totals
	place := make(chan int, max(*scheduleAtOnce, 1))
	for i := range cap(place) {
		place <- i
	}
	t.Run("seeds", func(t *testing.T) {
		for i := range max(*scheduleCount, 0) {
			seed := *scheduleFirst + uint64(i)
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				slot := <-place
				defer func() { place <- slot }()
				total.add(runSchedule(t, drawSchedule(seed, *scheduleLong), slot))
			})
		}
	})
	t.Log(total.String())
}

// directedSchedules are schedules for situations that are seldom drawn.
var directedSchedules = []schedule{
	// The core continues without the machine from which an agent pulls, for long enough that the agent has to get its
	// configuration from another one.
	{seed: 90_001, machines: 3, survive: 1, edges: 2, operators: 3, window: 5 * time.Second, steps: []step{
		{at: 100 * time.Millisecond, kind: partitionNode, target: agentTarget, lasts: 4600 * time.Millisecond},
	}},
	// Agents lose their sources one after the other, while the first source is behind the others.
	{seed: 90_002, machines: 3, survive: 1, edges: 2, operators: 3, window: 5 * time.Second, busy: true, steps: []step{
		{at: 100 * time.Millisecond, kind: partitionNode, target: agentTarget, lasts: 4600 * time.Millisecond},
		{at: 2 * time.Second, kind: killProcess, target: agentTarget, lasts: 300 * time.Millisecond},
		{at: 3200 * time.Millisecond, kind: killProcess, target: agentTarget, lasts: 300 * time.Millisecond},
	}},
	// The primary is partitioned for long, and once more after it is back.
	{
		seed:      90_003,
		machines:  3,
		survive:   1,
		edges:     1,
		operators: 4,
		window:    5 * time.Second,
		lossy:     0.05,
		busy:      true,
		steps: []step{
			{at: 100 * time.Millisecond, kind: partitionNode, target: primaryTarget, lasts: 2500 * time.Millisecond},
			{at: 2700 * time.Millisecond, kind: partitionNode, target: primaryTarget, lasts: 2 * time.Second},
		},
	},
}

// TestDirectedSchedules runs directedSchedules.
func TestDirectedSchedules(t *testing.T) {
	const firstSlot = 20 // the slots below are those of TestSchedules
	for i, s := range directedSchedules {
		t.Run(fmt.Sprint(s.seed), func(t *testing.T) {
			t.Parallel()
			var total totals
			total.add(runSchedule(t, s, firstSlot+i))
			t.Log(total.String())
		})
	}
}

// takeoverSchedule returns a schedule that kills and freezes the primary in turn, each time long after the last fault.
func takeoverSchedule(seed uint64, machines, survive int) schedule {
	const (
		faults  = 6
		spacing = 4500 * time.Millisecond
		down    = 300 * time.Millisecond
		frozen  = 2 * time.Second
	)
	s := schedule{seed: seed, machines: machines, survive: survive, edges: 1, operators: 4, window: faults * spacing}
	for i := range faults {
		one := step{
			at:     200*time.Millisecond + time.Duration(i)*spacing,
			kind:   killProcess,
			target: primaryTarget,
			lasts:  down,
		}
		if i%2 == 1 {
			one.kind, one.lasts = freeze, frozen
		}
		s.steps = append(s.steps, one)
	}
	return s
}

// TestTakeovers measures, with -schedules.takeovers, the time until changes are acknowledged again after a fault of the
// primary.
func TestTakeovers(t *testing.T) {
	var total totals
	for i := range *takeoverRuns {
		machines, survive := 3, 1
		if i%2 == 1 {
			machines, survive = 5, 2
		}
		total.add(runSchedule(t, takeoverSchedule(uint64(91_000+i), machines, survive), 0))
	}
	if *takeoverRuns > 0 {
		t.Log(total.String())
	}
}

// totals accumulates the results of runs.
type totals struct {
	mu                                       sync.Mutex
	runs, breaches                           int
	taken, refused, shown, again, late, skip int
	unanswered                               int
	probes, judged                           int
	faults                                   map[faultKind]int
	takeover                                 map[faultKind][]time.Duration
	alone                                    map[faultKind][]time.Duration
	settle, converge                         []time.Duration
	kinds                                    map[string]int // number of schedules by kind of breach
}

func (t *totals) add(r *scheduleReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults == nil {
		t.faults, t.takeover, t.alone = map[faultKind]int{}, map[faultKind][]time.Duration{}, map[faultKind][]time.Duration{}
		t.kinds = map[string]int{}
	}
	t.runs++
	if len(r.breaches) > 0 {
		t.breaches++
	}
	t.taken += r.accepted
	t.refused += r.refused
	t.shown += r.shown
	t.again += r.resent
	t.late += r.lateResends
	t.unanswered += r.unanswered
	t.skip += r.skipped
	t.probes += r.probes
	t.judged += r.judged
	for kind, n := range r.faults {
		t.faults[kind] += n
	}
	for _, one := range r.takeovers {
		t.takeover[one.kind] = append(t.takeover[one.kind], one.took)
		if one.alone {
			t.alone[one.kind] = append(t.alone[one.kind], one.took)
		}
	}
	for kind := range r.kinds {
		t.kinds[kind]++
	}
	t.settle = append(t.settle, r.settled)
	t.converge = append(t.converge, r.converged)
}

func (t *totals) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	text := fmt.Sprintf("%d schedules, %d with a breach; %d changes taken, %d refused, %d shown, %d sent again (%d of them after 100 further changes or more; %d without a clear answer); %d steps left out; %d probes, %d of them in calm; faults %v",
		t.runs, t.breaches, t.taken, t.refused, t.shown, t.again, t.late, t.unanswered, t.skip, t.probes, t.judged, t.faults)
	for _, kind := range []faultKind{killProcess, freeze, partitionNode, partitionInbound, partitionOutbound, wipeDisk,
		replaceNode, rollCore} {
		if len(t.takeover[kind]) == 0 {
			continue
		}
		text += fmt.Sprintf("\nnext acknowledgement after %s of the primary: %s; with no other fault near: %s", kind,
			spread(t.takeover[kind]), spread(t.alone[kind]))
	}
	for _, kind := range slices.Sorted(maps.Keys(t.kinds)) {
		text += fmt.Sprintf("\n%d schedules with: %s", t.kinds[kind], kind)
	}
	return text + fmt.Sprintf("\nnext acknowledgement after the last fault: %s\nall of the core at the newest after the last change: %s", spread(t.settle), spread(t.converge))
}

// spread formats the median, the 99th percentile and the maximum of durations.
func spread(all []time.Duration) string {
	if len(all) == 0 {
		return "none"
	}
	sorted := slices.Sorted(slices.Values(all))
	at := func(part float64) time.Duration {
		return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)].Round(time.Millisecond)
	}
	return fmt.Sprintf("median %v, p99 %v, most %v (of %d)", at(0.5), at(0.99), at(1), len(sorted))
}
