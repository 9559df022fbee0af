package quota

import (
	"container/heap"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	modelSeeds = flag.Int("quota.seeds", 300, "how many seeds the searches of quotas in virtual time play")
	modelFrom  = flag.Uint64("quota.from", 1, "the first of these seeds")
	modelTrace = flag.Bool("quota.trace", false, "log what happens in them")
)

// modelRule is the rule of the model, with the durations of a real deployment; overlap is that of its control plane.
var modelRule = Rule{Window: 5 * time.Second, Lease: 4 * time.Second}

const modelOverlap = 2 * time.Second

// modelEvent is an event scheduled in virtual time.
type modelEvent struct {
	at    time.Duration
	order int
	run   func()
}

type modelQueue []modelEvent

func (q modelQueue) Len() int { return len(q) }
func (q modelQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q modelQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *modelQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *modelQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// model is a fleet of holders and successive allocators in virtual time.
type model struct {
	rng    *rand.Rand
	now    time.Duration
	queue  modelQueue
	events int
	faults bool          // links drop and delay messages, commits fail, processes freeze and are killed
	slow   int           // one in slow messages is delayed, mostly within the time-out
	pause  time.Duration // maximum time between two faults
	kinds  int           // number of kinds of faults: 8, or 9 with changes of limits
	limits Limits
	names  []string // of the tenants
	demand map[string]*modelDemand
	record *Ceilings // committed
	// formerly are replaced totals by tenant, and until when they still apply.
	formerly map[string][]formerTotal
	terms    []*modelTerm
	holders  []*modelHolder
	// admitted are the times of the admitted requests of one window that weren't released, by tenant.
	admitted map[string][]time.Duration
	stats    modelStats
	breach   string
	trace    func(format string, args ...any)
}

// formerTotal is how many slots a tenant had until a moment ago.
type formerTotal struct {
	total int
	until time.Duration
}

// limitsSettle is the time after which all proxies apply lowered limits: freezes and partitions are mostly shorter.
const limitsSettle = 45 * time.Second

// modelStats counts the outcomes of requests, answers and reports.
type modelStats struct {
	requests, refused int
	mostShare         float64 // maximum fraction of a quota admitted in a window
	lapsed, late      int     // verdicts LeaseLapsed, discarded late answers
	takeovers, kills  int
	refusedReports    int // by an allocator, with an error
}

// modelDemand is a tenant's demand.
type modelDemand struct {
	interval time.Duration // between two requests
	home     []int         // holders that receive the requests
}

// modelTerm is one allocator, the primary of an epoch.
type modelTerm struct {
	epoch       uint64
	allocator   *Allocator
	origin      time.Duration // time 0 of its clock
	frozenUntil time.Duration
	leadsUntil  time.Duration // time until which it may answer
	conns       uint64        // accepted so far
	pending     []*modelProposal
	lastCommit  time.Duration
}

// modelProposal is a proposal of ceilings that is neither committed nor lost.
type modelProposal struct {
	ceilings *Ceilings
	settled  bool
}

// modelHolder is a proxy with its client's connection.
type modelHolder struct {
	index       int
	name        string
	holder      *Holder
	origin      time.Duration
	incarnation uint64
	dead        bool
	frozenUntil time.Duration
	cutUntil    time.Duration
	leader      *modelTerm // the allocator that it believes to be the primary's

	// conn numbers its connections: events of earlier ones are ignored. accepted is the number that the allocator has
	// assigned to the connection.
	conn          int
	accepted      uint64
	reporting     bool // a report was sent and not answered
	connected     bool
	wake          bool
	built, newest int // reports, and the newest that was answered
	waiters       []*modelWaiter
}

// modelWaiter is a request that waits for an answer.
type modelWaiter struct {
	tenant string
	asked  int
	done   bool
}

func newModel(seed uint64, holders int, limits Limits, faults bool) *model {
	m := &model{
		rng:      rand.New(rand.NewPCG(seed, 7)),
		faults:   faults,
		slow:     30,
		limits:   limits,
		demand:   map[string]*modelDemand{},
		admitted: map[string][]time.Duration{},
		formerly: map[string][]formerTotal{},
		trace:    func(string, ...any) {},
	}
	for tenant := range limits {
		m.names = append(m.names, tenant)
	}
	slices.Sort(m.names)
	for i := range holders {
		h := &modelHolder{index: i, name: fmt.Sprint("p", i)}
		m.holders = append(m.holders, h)
		m.startHolder(h)
	}
	for _, tenant := range m.names {
		m.demand[tenant] = &modelDemand{interval: time.Second}
		m.after(m.upTo(time.Second), func() { m.arrive(tenant) })
	}
	m.takeOver(0)
	return m
}

func (m *model) after(d time.Duration, run func()) {
	m.events++
	heap.Push(&m.queue, modelEvent{at: m.now + max(d, 0), order: m.events, run: run})
}

func (m *model) upTo(d time.Duration) time.Duration { return time.Duration(m.rng.Int64N(int64(d) + 1)) }

// runUntil runs events up to a time or the first breach of a quota.
func (m *model) runUntil(end time.Duration) {
	for m.breach == "" && len(m.queue) > 0 && m.queue[0].at <= end {
		e := heap.Pop(&m.queue).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = max(m.now, end)
}

// delay draws the delay of a message; lost means that the message is dropped.
func (m *model) delay() (d time.Duration, lost bool) {
	d = 200*time.Microsecond + m.upTo(2*time.Millisecond)
	if !m.faults {
		return d, false
	}
	if m.rng.IntN(m.slow) == 0 {
		d += m.upTo(400 * time.Millisecond)
	}
	switch m.rng.IntN(40) {
	case 0:
		return 0, true
	case 1:
		return d + m.upTo(600*time.Millisecond), false
	case 2:
		return d + m.upTo(6*time.Second), false
	}
	return d, false
}

// takeOver starts a new allocator. Some of its predecessor's pending proposals are committed before it, in order, and
// the others are lost.
func (m *model) takeOver(detection time.Duration) {
	if len(m.terms) > 0 {
		before := m.terms[len(m.terms)-1]
		before.leadsUntil = m.now + m.upTo(modelOverlap)
		if m.rng.IntN(2) == 0 {
			before.leadsUntil = m.now + modelOverlap
		}
		lost := false
		for _, p := range before.pending {
			if lost = lost || m.rng.IntN(3) == 0; !lost && !p.settled {
				m.record = p.ceilings
			}
			p.settled = true
		}
		m.stats.takeovers++
	}
	term := &modelTerm{
		epoch:      uint64(len(m.terms) + 1),
		origin:     m.now - m.upTo(time.Hour),
		leadsUntil: 1 << 62,
		lastCommit: m.now,
	}
	term.allocator = NewAllocator(modelRule, m.limits, m.record, m.now-term.origin, modelOverlap)
	m.terms = append(m.terms, term)
	m.trace("takeover: epoch %d, record %+v", term.epoch, m.record)
	m.after(0, func() { m.commitCeilings(term) })
	for _, h := range m.holders {
		m.after(m.upTo(detection), func() {
			if h.leader == nil || h.leader.epoch < term.epoch {
				h.leader = term
			}
		})
	}
}

// commitCeilings runs the control plane's loop that commits ceilings.
func (m *model) commitCeilings(term *modelTerm) {
	if m.terms[len(m.terms)-1] != term {
		return
	}
	pause := 100 * time.Millisecond
	if m.now < term.frozenUntil {
		m.after(term.frozenUntil-m.now, func() { m.commitCeilings(term) })
		return
	}
	wanted := term.allocator.WantedCeilings(m.now - term.origin)
	if !wanted.Equal(term.allocator.committed) {
		m.trace("epoch %d proposes %+v", term.epoch, wanted)
		took := 5*time.Millisecond + m.upTo(10*time.Millisecond)
		lost := false
		if m.faults && m.rng.IntN(3) == 0 {
			took = m.upTo(4 * time.Second)
			lost = m.rng.IntN(4) == 0
		}
		if !lost {
			m.propose(term, wanted, took)
		}
		pause += min(took, time.Second)
	}
	m.after(pause, func() { m.commitCeilings(term) })
}

// propose commits a proposal after a delay, and not before an earlier one.
func (m *model) propose(term *modelTerm, wanted *Ceilings, took time.Duration) {
	p := &modelProposal{ceilings: wanted}
	term.pending = append(term.pending, p)
	term.lastCommit = max(term.lastCommit, m.now+took)
	m.after(term.lastCommit-m.now, func() {
		if p.settled {
			return
		}
		p.settled = true
		m.record = wanted
		m.trace("epoch %d has committed %+v", term.epoch, wanted)
		term.pending = slices.DeleteFunc(term.pending, func(q *modelProposal) bool { return q == p })
		term.allocator.SetCeilings(wanted)
	})
}

// startHolder starts a proxy's process.
func (m *model) startHolder(h *modelHolder) {
	h.incarnation = m.rng.Uint64() | 1
	h.origin = m.now - m.upTo(time.Hour)
	h.holder = NewHolder(modelRule, h.name, h.incarnation)
	h.holder.SetLimits(m.limits, m.now-h.origin)
	h.dead, h.connected, h.reporting, h.wake = false, false, false, false
	h.built, h.newest, h.waiters = 0, 0, nil
	h.frozenUntil = 0
	h.conn++
	m.after(m.upTo(20*time.Millisecond), m.onConn(h, func() { m.dial(h) }))
}

// onConn wraps run: it is called once the holder isn't frozen, unless its present connection has ended by then.
func (m *model) onConn(h *modelHolder, run func()) func() {
	conn := h.conn
	var later func()
	later = func() {
		switch {
		case h.conn != conn || h.dead:
		case m.now < h.frozenUntil:
			m.after(h.frozenUntil-m.now+m.upTo(3*time.Millisecond), later)
		default:
			run()
		}
	}
	return later
}

// disconnect ends a holder's connection; the holder redials after a pause.
func (m *model) disconnect(h *modelHolder) {
	h.conn++
	h.connected, h.reporting = false, false
	m.after(10*time.Millisecond+m.upTo(190*time.Millisecond), m.onConn(h, func() { m.dial(h) }))
}

// dial connects a holder to the allocator that it believes to be the primary's, which sends a greeting.
func (m *model) dial(h *modelHolder) {
	term := h.leader
	there, lost := m.delay()
	back, lostBack := m.delay()
	timeout := m.onConn(h, func() {
		if !h.connected {
			m.disconnect(h)
		}
	})
	m.after(answerTimeout, timeout)
	if term == nil || lost || lostBack || m.now < h.cutUntil {
		return
	}
	var accepted uint64
	greet := m.onConn(h, func() {
		if !h.connected && h.holder.BeginReports(term.epoch) {
			h.connected, h.accepted = true, accepted
			m.heartbeat(h)
			m.report(h, term, true)
		}
	})
	m.atTerm(term, there, func() {
		term.conns++
		accepted = term.conns
		if m.now <= term.leadsUntil {
			m.after(back, greet)
		}
	})
}

// atTerm calls run at an allocator once it isn't frozen.
func (m *model) atTerm(term *modelTerm, in time.Duration, run func()) {
	m.after(in, func() {
		if m.now < term.frozenUntil {
			m.atTerm(term, term.frozenUntil-m.now+m.upTo(3*time.Millisecond), run)
			return
		}
		run()
	})
}

// heartbeat sends a full report a few times per lease.
func (m *model) heartbeat(h *modelHolder) {
	m.after(modelRule.Lease/reportsPerLease, m.onConn(h, func() {
		m.heartbeat(h)
		if !h.reporting {
			m.report(h, h.leader, true)
		}
	}))
}

// report sends a report and processes its answer, as Client does.
func (m *model) report(h *modelHolder, term *modelTerm, full bool) {
	if term == nil || term.epoch != h.holder.epoch {
		m.disconnect(h) // another is the primary
		return
	}
	sentAt := m.now - h.origin
	report := h.holder.NextReport(sentAt, full)
	h.built++
	number := h.built
	h.reporting, h.wake = true, false
	m.after(answerTimeout, m.onConn(h, func() {
		if h.newest < number {
			m.disconnect(h)
		}
	}))
	there, lost := m.delay()
	if m.now < h.cutUntil {
		if m.rng.IntN(2) == 0 {
			return
		}
		there += h.cutUntil - m.now + m.upTo(m.upTo(time.Second)) // retransmitted once the partition is over
	}
	if lost {
		return
	}
	var answer *Answer
	accepted := h.accepted
	receive := m.onConn(h, func() { m.takeAnswer(h, answer, sentAt, number) })
	m.atTerm(term, there, func() {
		if answer = m.handle(term, report, accepted); answer == nil {
			return
		}
		if back, lost := m.delay(); !lost && m.now >= h.cutUntil {
			m.after(back, receive)
		}
	})
}

// handle returns the answer to a report, as Server does; nil if the server is no longer the allocator.
func (m *model) handle(term *modelTerm, report *Report, accepted uint64) *Answer {
	if m.now > term.leadsUntil || report.Epoch != term.epoch {
		return nil
	}
	grants, err := term.allocator.Handle(report, accepted, m.now-term.origin)
	if err != nil {
		m.trace("epoch %d refuses %+v: %v", term.epoch, report, err)
		m.stats.refusedReports++
		return nil
	}
	m.trace("epoch %d handles %+v -> %+v", term.epoch, report, grants)
	return &Answer{Epoch: term.epoch, Sequence: report.Sequence, Grants: grants}
}

// takeAnswer applies an answer that isn't late, and retries the waiting requests that the report included.
func (m *model) takeAnswer(h *modelHolder, answer *Answer, sentAt time.Duration, number int) {
	now := m.now - h.origin
	if now-sentAt > answerTimeout {
		m.stats.late++
		m.disconnect(h)
		return
	}
	m.trace("%s applies %+v", h.name, answer)
	h.holder.Apply(answer, sentAt, now)
	h.newest, h.reporting = number, false
	for _, w := range h.waiters {
		if !w.done && w.asked <= number {
			m.retry(h, w)
		}
	}
	h.waiters = slices.DeleteFunc(h.waiters, func(w *modelWaiter) bool { return w.done })
	if h.wake {
		m.report(h, h.leader, false)
	}
}

// arrive handles a request of a tenant and schedules the next one after the tenant's interval.
func (m *model) arrive(tenant string) {
	d := m.demand[tenant]
	m.after(d.interval/2+m.upTo(d.interval), func() { m.arrive(tenant) })
	if len(d.home) == 0 {
		return
	}
	h := m.holders[d.home[m.rng.IntN(len(d.home))]]
	if h.dead || m.now < h.frozenUntil {
		return
	}
	m.stats.requests++
	if m.acquire(h, tenant) {
		return
	}
	if v := h.holder.Acquire(tenant, m.now-h.origin); v == OverQuota {
		m.stats.refused++
		return
	}
	w := &modelWaiter{tenant: tenant, asked: h.built + 1}
	h.holder.AddWaiting(tenant, 1)
	h.waiters = append(h.waiters, w)
	h.wake = true
	if h.connected && !h.reporting {
		m.report(h, h.leader, false)
	}
	life := h.incarnation
	m.after(testWait, func() {
		if !w.done && h.incarnation == life {
			m.retry(h, w)
		}
	})
}

// retry makes the second attempt of a request that has waited.
func (m *model) retry(h *modelHolder, w *modelWaiter) {
	w.done = true
	if m.now < h.frozenUntil {
		return
	}
	h.holder.AddWaiting(w.tenant, -1)
	if !m.acquire(h, w.tenant) {
		m.stats.refused++
	}
}

// acquire takes a slot if there is one, and checks the quota. Some slots are released a short time later.
func (m *model) acquire(h *modelHolder, tenant string) bool {
	at := m.now - h.origin
	switch h.holder.Acquire(tenant, at) {
	case LeaseLapsed:
		m.stats.lapsed++
		return false
	case NeedsSlots, OverQuota:
		return false
	}
	inWindow := slices.DeleteFunc(m.admitted[tenant], func(t time.Duration) bool { return t < m.now-modelRule.Window })
	inWindow = append(inWindow, m.now)
	m.admitted[tenant] = inWindow
	m.trace("%s admits %s: %d in the window", h.name, tenant, len(inWindow))
	total := m.total(tenant)
	m.stats.mostShare = max(m.stats.mostShare, float64(len(inWindow))/float64(total))
	if len(inWindow) > total {
		m.breach = fmt.Sprintf("%s: %d of %d in the window that ends at %v", tenant, len(inWindow), total, m.now)
	}
	if m.faults && m.rng.IntN(8) == 0 {
		m.releaseLater(h, tenant, at, m.now)
	}
	return true
}

// total returns the number of slots that a tenant has, or had until recently.
func (m *model) total(tenant string) int {
	total := m.limits[tenant].Total
	for _, former := range m.formerly[tenant] {
		if m.now < former.until {
			total = max(total, former.total)
		}
	}
	return total
}

// changeLimits changes a tenant's quota. The allocator applies it immediately, and proxies when they receive it.
func (m *model) changeLimits() {
	tenant := m.names[m.rng.IntN(len(m.names))]
	m.formerly[tenant] = append(m.formerly[tenant], formerTotal{m.limits[tenant].Total, m.now + limitsSettle})
	total := 5 + m.rng.IntN(60)
	m.limits = maps.Clone(m.limits)
	m.limits[tenant] = Slots{Total: total, Normal: int(normalShare * float64(total))}
	m.trace("%s has %d slots from now on", tenant, total)
	m.terms[len(m.terms)-1].allocator.SetLimits(m.limits)
	for _, h := range m.holders {
		m.after(m.upTo(2500*time.Millisecond), func() { m.sendLimits(h, h.incarnation) })
	}
}

// sendLimits delivers the limits to a proxy once it is reachable, if its process is still running then.
func (m *model) sendLimits(h *modelHolder, life uint64) {
	if h.dead || h.incarnation != life {
		return
	}
	if away := max(h.frozenUntil, h.cutUntil); m.now < away {
		m.after(away-m.now, func() { m.sendLimits(h, life) })
		return
	}
	h.holder.SetLimits(m.limits, m.now-h.origin)
}

// releaseLater releases the slot of a request that was not run, if its process is still running then.
func (m *model) releaseLater(h *modelHolder, tenant string, at, when time.Duration) {
	life := h.incarnation
	m.after(m.upTo(200*time.Millisecond), func() {
		if h.incarnation != life || h.dead || m.now < h.frozenUntil {
			return
		}
		h.holder.Release(tenant, at)
		if i := slices.Index(m.admitted[tenant], when); i >= 0 {
			m.admitted[tenant] = slices.Delete(m.admitted[tenant], i, i+1)
		}
	})
}

// kill ends a proxy's process, which restarts after a pause.
func (m *model) kill(h *modelHolder, pause time.Duration) {
	if h.dead {
		return
	}
	m.trace("%s is killed", h.name)
	m.stats.kills++
	h.dead = true
	h.conn++
	h.incarnation = 0
	m.after(pause, func() { m.startHolder(h) })
}

// killReporting kills a proxy. Half of the time a report is in flight whose packets are lost for a while, and the next
// process is partitioned shortly after its start.
func (m *model) killReporting(h *modelHolder) {
	idle := !h.dead && h.connected && !h.reporting
	if m.rng.IntN(2) == 0 || !idle || h.leader == nil || h.leader.epoch != h.holder.epoch {
		m.kill(h, 10*time.Millisecond+m.upTo(m.upTo(8*time.Second)))
		return
	}
	term, report, accepted := h.leader, h.holder.NextReport(m.now-h.origin, true), h.accepted
	pause := 10*time.Millisecond + m.upTo(time.Second)
	late := pause + 500*time.Millisecond + m.upTo(3*time.Second)
	m.atTerm(term, late, func() { m.handle(term, report, accepted) })
	m.kill(h, pause)
	m.after(late-m.upTo(100*time.Millisecond), func() { h.cutUntil = max(h.cutUntil, m.now+m.upTo(10*time.Second)) })
}

// fault injects one random fault.
func (m *model) fault() {
	h := m.holders[m.rng.IntN(len(m.holders))]
	term := m.terms[len(m.terms)-1]
	switch m.rng.IntN(m.kinds) {
	case 8:
		m.changeLimits()
	case 0, 1:
		m.takeOver(m.upTo(3 * time.Second))
	case 2:
		h.frozenUntil = max(h.frozenUntil, m.now+m.upTo(m.upTo(20*time.Second)))
		m.trace("%s is frozen until %v", h.name, h.frozenUntil)
	case 3:
		term.frozenUntil = m.now + m.upTo(m.upTo(20*time.Second))
		m.trace("epoch %d is frozen until %v", term.epoch, term.frozenUntil)
		if m.rng.IntN(2) == 0 {
			m.after(500*time.Millisecond+m.upTo(time.Second), func() { m.takeOver(m.upTo(time.Second)) })
		}
	case 4:
		m.killReporting(h)
	case 5, 6:
		cut := m.upTo(12 * time.Second)
		if m.rng.IntN(2) == 0 {
			cut = modelRule.Lease + modelRule.Window - m.upTo(1500*time.Millisecond) // nearly until the holder expires
		}
		h.cutUntil = max(h.cutUntil, m.now+cut)
		m.trace("%s is cut off until %v", h.name, h.cutUntil)
	case 7:
		m.spread(m.names[m.rng.IntN(len(m.names))])
	}
}

// spread changes a tenant's demand to between 0 and a few times its quota, at some of the holders.
func (m *model) spread(tenant string) {
	d := m.demand[tenant]
	perWindow := m.limits[tenant].Total * (1 + m.rng.IntN(8)) / 2
	d.interval = modelRule.Window / time.Duration(max(perWindow, 1))
	d.home = m.rng.Perm(len(m.holders))[:m.rng.IntN(len(m.holders)+1)]
}

// TestModelNeverOverQuota searches for a window in which more requests of a tenant were admitted than it has slots.
func TestModelNeverOverQuota(t *testing.T) {
	var sum modelStats
	for seed := *modelFrom; seed < *modelFrom+uint64(*modelSeeds); seed++ {
		m := faultyModel(seed)
		if *modelTrace {
			m.trace = func(format string, args ...any) { t.Logf("%v "+format, append([]any{m.now}, args...)...) }
		}
		m.injectFaults(time.Duration(60+60*(m.kinds-8)) * time.Second)
		if m.breach != "" {
			t.Fatalf("seed %d: %s", seed, m.breach)
		}
		sum.mostShare = max(sum.mostShare, m.stats.mostShare)
		sum.requests += m.stats.requests
		sum.refused += m.stats.refused
		sum.takeovers += m.stats.takeovers
		sum.kills += m.stats.kills
		sum.late += m.stats.late
		sum.lapsed += m.stats.lapsed
		sum.refusedReports += m.stats.refusedReports
	}
	t.Logf("%+v", sum)
	qt.Assert(t, sum.refused > 0 && sum.refused < sum.requests && sum.takeovers > 0 && sum.late > 0, qt.IsTrue)
}

// faultyModel returns a small fleet with faults, whose tenants have few slots.
func faultyModel(seed uint64) *model {
	rng := rand.New(rand.NewPCG(seed, 11))
	limits := Limits{}
	for i := range 1 + rng.IntN(3) {
		total := 10 + rng.IntN(40)
		limits[fmt.Sprint("t", i)] = Slots{Total: total, Normal: int(normalShare * float64(total))}
	}
	m := newModel(seed, 2+rng.IntN(4), limits, true)
	m.slow = []int{3, 30}[rng.IntN(2)]
	m.kinds = 8 + rng.IntN(2)
	m.pause = []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second}[rng.IntN(3)]
	for _, tenant := range m.names {
		m.spread(tenant)
	}
	return m
}

// injectFaults runs the model with random faults until end.
func (m *model) injectFaults(end time.Duration) {
	for m.now < end && m.breach == "" {
		m.runUntil(min(m.now+m.upTo(m.pause), end))
		m.fault()
	}
}
