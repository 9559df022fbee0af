package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/quota"
	"molepaddle/internal/fleet/simulation"
)

// The tenants of the quota tests, and the interval between the requests of each at each of the two proxies.
const (
	hotKey        = "key-hot"  // sends ten times its quota
	moderateKey   = "key-calm" // sends half of its quota
	nearQuotaKey  = "key-brim" // sends nine tenths of its quota
	lowKey        = "key-low"  // sends an eighth of its quota
	burstKey      = "key-rush" // sends nothing until shortly before a fault, then ten times its quota
	hotInterval   = 10 * time.Millisecond
	moderateRate  = 40.0
	nearQuotaRate = 40.0

	lowRate           = 80.0
	lowInterval       = 200 * time.Millisecond
	moderateInterval  = 100 * time.Millisecond
	nearQuotaInterval = 56 * time.Millisecond

	// tenantDeadline bounds each request of the tenants.
	tenantDeadline = 2 * time.Second
	// quotaBackends is the number of backends: enough that none is ever full, also with a backlog of requests.
	quotaBackends = 6
)

// quotaAccounts returns the tenants of the quota tests; the first one exceeds its quota.
func quotaAccounts() []simulation.Account {
	return []simulation.Account{
		{Name: "hot", Keys: []string{hotKey}, Limits: []simulation.Limit{{Rate: 20, Burst: 5}}},
		{Name: "calm", Keys: []string{moderateKey}, Limits: []simulation.Limit{{Rate: moderateRate}}},
		{Name: "brim", Keys: []string{nearQuotaKey}, Limits: []simulation.Limit{{Rate: nearQuotaRate}}},
		{Name: "low", Keys: []string{lowKey}, Limits: []simulation.Limit{{Rate: lowRate}}},
		{Name: "rush", Keys: []string{burstKey}, Limits: []simulation.Limit{{Rate: 20, Burst: 5}}},
	}
}

// quotaFleet starts a fleet with the tenants of the quota tests.
func quotaFleet(t *testing.T, relay bool) *fleet {
	return newFleet(t, fleetOptions{
		bounds:   accountBounds(),
		plain:    quotaBackends,
		accounts: quotaAccounts(),
		relay:    relay,
	})
}

// tenantLoad sends a tenant's requests to both proxies at a fixed rate, whatever the answers are.
type tenantLoad struct {
	f    *fleet
	key  string
	end  context.CancelFunc
	all  sync.WaitGroup
	mu   sync.Mutex
	seen []simulation.Result
}

// loadTenant starts the load of a tenant, one request per interval to each proxy, until stop is called.
func (f *fleet) loadTenant(key string, every time.Duration) *tenantLoad {
	ctx, cancel := context.WithCancel(f.ctx)
	f.Cleanup(cancel)
	l := &tenantLoad{f: f, key: key, end: cancel}
	for i := range f.clients {
		l.all.Go(func() {
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-ctx.Done():
					return
				case <-tick.C:
					l.all.Go(func() { l.send(i) })
				}
			}
		})
	}
	return l
}

// send sends one request to an edge machine.
func (l *tenantLoad) send(edge int) {
	r := withKey(l.key)
	r.Deadline = tenantDeadline
	res := l.f.clients[edge].Do(l.f.ctx, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seen = append(l.seen, res)
}

// stop ends the load and blocks until its last request has ended.
func (l *tenantLoad) stop() {
	l.end()
	l.all.Wait()
	slices.SortFunc(l.seen, func(a, b simulation.Result) int { return a.SentAt.Compare(b.SentAt) })
}

// tally counts the outcomes of a tenant's requests that were sent in a span of time.
type tally struct {
	Sent, Served, Over int
	Others             map[string]int // neither served nor over quota, by answer
	// FirstServed and LastRefused are measured from the beginning of the span; -1: none.
	FirstServed, LastRefused time.Duration
}

// between returns the outcomes of the requests sent at or after one time and before another. The load must have been
// stopped.
func (l *tenantLoad) between(from, to time.Time) tally {
	t := tally{Others: map[string]int{}, FirstServed: -1, LastRefused: -1}
	for _, r := range l.seen {
		if r.SentAt.Before(from) || !r.SentAt.Before(to) {
			continue
		}
		t.Sent++
		if r.OK() {
			t.Served++
			if t.FirstServed < 0 {
				t.FirstServed = r.EndedAt.Sub(from)
			}
			continue
		}
		t.LastRefused = r.SentAt.Sub(from)
		switch r.Status {
		case http.StatusTooManyRequests:
			t.Over++
		case 0:
			t.Others["no answer"]++
		default:
			t.Others[fmt.Sprintf("%d %s", r.Status, bytes.TrimSpace(r.AnswerBody))]++
		}
	}
	return t
}

// quotaTest is a fleet under load from its tenants.
type quotaTest struct {
	*fleet
	began time.Time
	loads []*tenantLoad // hot, moderate, near quota, low, and the burst once it has begun
}

// Indexes in quotaTest.loads.
const (
	hot = iota
	moderate
	nearQuota
	low
)

// startQuotaTest starts the loads of the tenants.
func startQuotaTest(f *fleet) *quotaTest {
	return &quotaTest{
		fleet: f,
		began: time.Now(),
		loads: []*tenantLoad{
			f.loadTenant(hotKey, hotInterval),
			f.loadTenant(moderateKey, moderateInterval),
			f.loadTenant(nearQuotaKey, nearQuotaInterval),
			f.loadTenant(lowKey, lowInterval),
		},
	}
}

// wait waits for d.
func (p *quotaTest) wait(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-p.ctx.Done():
	}
}

// startBurst starts the load of a tenant that uses up its quota at once and keeps sending: the requests served in the
// second before a fault count in the first window after it.
func (p *quotaTest) startBurst() {
	p.loads = append(p.loads, p.loadTenant(burstKey, hotInterval))
	p.wait(time.Second)
}

// stop ends the loads and checks all results.
func (p *quotaTest) stop() {
	p.Helper()
	for _, l := range p.loads {
		l.stop()
	}
	p.checkRules()
}

// logSpan logs the outcomes of all requests in a span of the test.
func (p *quotaTest) logSpan(what string, from, to time.Time) {
	p.Helper()
	for i, name := range []string{"hot", "moderate", "near quota", "low", "burst"}[:len(p.loads)] {
		p.Logf("%s, %v to %v, %s: %+v", what, from.Sub(p.began).Round(time.Millisecond),
			to.Sub(p.began).Round(time.Millisecond), name, p.loads[i].between(from, to))
	}
}

// checkQuotas asserts that the tenants within their quotas had all requests served in a span, and that the hot one,
// which sends ten times its quota, got little less than its quota and was rejected otherwise.
func (p *quotaTest) checkQuotas(what string, from, to time.Time) {
	p.Helper()
	p.logSpan(what, from, to)
	for _, i := range []int{moderate, low} {
		t := p.loads[i].between(from, to)
		p.Check(t.Served, qt.Equals, t.Sent, qt.Commentf("%s: %+v", what, t))
	}
	t := p.loads[hot].between(from, to)
	p.Check(t.Over > 0, qt.IsTrue, qt.Commentf("%s, hot: %+v", what, t))
	p.Check(t.Served >= t.Sent*8/100, qt.IsTrue, qt.Commentf("%s, hot: %+v", what, t))
}

// settlingTime is how long a test of quotas waits after a change of the allocator: longer than a lease, a window and
// the overlap of primaries, after which the slots of all proxies are known.
const settlingTime = 6 * time.Second

// TestQuotaHoldsOverAllProxies has a tenant send ten times its quota through both proxies: in no window do more of its
// requests run than the quota allows, and a tenant within its quota is never rejected.
func TestQuotaHoldsOverAllProxies(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, false))
	p.wait(settlingTime)
	settled := time.Now()
	p.wait(5 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("beginning", p.began, settled)
	p.checkQuotas("settled", settled, end)
}

// TestQuotaHoldsWhenPrimaryIsKilled kills the primary under load. A tenant within its quota is served again within a
// second.
func TestQuotaHoldsWhenPrimaryIsKilled(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, false))
	p.wait(settlingTime + 3*time.Second)
	p.startBurst()
	p.primary().kill("control-plane")
	killed := time.Now()
	p.wait(settlingTime)
	settled := time.Now()
	p.wait(3 * time.Second)
	end := time.Now()
	p.stop()
	p.checkQuotas("before", killed.Add(-3*time.Second), killed)
	p.logSpan("after the kill", killed, settled)
	p.checkServedWithin("after the kill", moderate, killed, time.Second)
	p.checkQuotas("settled", settled, end)
}

// checkServedWithin asserts that a tenant within its quota is served soon after a time.
func (p *quotaTest) checkServedWithin(what string, load int, at time.Time, within time.Duration) {
	p.Helper()
	t := p.loads[load].between(at, at.Add(2*settlingTime))
	p.Check(t.FirstServed >= 0 && t.FirstServed <= within, qt.IsTrue, qt.Commentf("%s: %+v", what, t))
}

// TestQuotaHoldsWhenProxyIsFrozen stops a proxy for longer than a lease and a window, and continues it.
func TestQuotaHoldsWhenProxyIsFrozen(t *testing.T) {
	for _, frozen := range []time.Duration{1200 * time.Millisecond, 5 * time.Second} {
		t.Run(frozen.String(), func(t *testing.T) {
			p := startQuotaTest(quotaFleet(t, false))
			p.wait(settlingTime)
			proxy := p.edge[0].programs["proxy"]
			proxy.Signal(syscall.SIGSTOP)
			stopped := time.Now()
			p.wait(frozen)
			proxy.Signal(syscall.SIGCONT)
			thawed := time.Now()
			p.wait(4 * time.Second)
			settled := time.Now()
			p.wait(2 * time.Second)
			end := time.Now()
			p.stop()
			p.logSpan("frozen", stopped, thawed)
			p.logSpan("thawed", thawed, settled)
			p.checkQuotas("settled", settled, end)
		})
	}
}

// TestQuotaHoldsWhenPrimaryIsFrozen stops the primary until another one has been elected, and continues it.
func TestQuotaHoldsWhenPrimaryIsFrozen(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, false))
	p.wait(settlingTime)
	p.startBurst()
	control := p.primary().programs["control-plane"]
	control.Signal(syscall.SIGSTOP)
	stopped := time.Now()
	p.wait(3 * time.Second)
	control.Signal(syscall.SIGCONT)
	thawed := time.Now()
	p.wait(settlingTime)
	settled := time.Now()
	p.wait(3 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("frozen", stopped, thawed)
	p.logSpan("thawed", thawed, settled)
	p.checkServedWithin("frozen", moderate, stopped, time.Second)
	p.checkQuotas("settled", settled, end)
}

// linksToAll returns both directions between one machine and each of some others.
func linksToAll(one string, others ...string) (links []simulation.Link) {
	for _, other := range others {
		if other != one {
			links = append(links, simulation.Link{From: one, To: other}, simulation.Link{From: other, To: one})
		}
	}
	return links
}

// coreIPs returns the addresses of all core machines.
func (f *fleet) coreIPs() (ips []string) {
	for _, m := range f.core {
		ips = append(ips, m.settings.IP)
	}
	return ips
}

// TestQuotaHoldsWhenProxyIsCutOff partitions an edge machine from the complete core: its proxy continues with its slots
// for the time of a lease; after that no request of a tenant with a quota runs there until the partition heals.
func TestQuotaHoldsWhenProxyIsCutOff(t *testing.T) {
	bounds := accountBounds()
	bounds["revoke_ms"] = 60_000 // keys stay valid, so that only the quotas show the partition
	p := startQuotaTest(newFleet(t, fleetOptions{
		bounds:   bounds,
		plain:    quotaBackends,
		accounts: quotaAccounts(),
		relay:    true,
	}))
	p.wait(settlingTime)
	cut := linksToAll(p.edge[0].settings.IP, p.coreIPs()...)
	p.network.Cut(cut...)
	cutAt := time.Now()
	lapsed := cutAt.Add(p.bound("contact_ms", time.Millisecond))
	p.wait(time.Until(lapsed) + 3*time.Second)
	healed := time.Now()
	p.network.Heal(cut...)
	p.wait(4 * time.Second)
	settled := time.Now()
	p.wait(2 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("cut off, within the lease", cutAt, lapsed)
	p.logSpan("cut off, later", lapsed, healed)
	p.logSpan("healed", healed, settled)
	served, late := 0, 0
	for _, l := range p.loads {
		for _, r := range l.seen {
			if r.Edge == p.clients[0].Edge && r.SentAt.After(lapsed) && r.EndedAt.Before(healed) {
				late++
				p.Check(r.Status, qt.Equals, http.StatusServiceUnavailable)
				p.Check(string(r.AnswerBody), qt.Contains, quota.ErrNoAllocator.Error())
			}
			if r.Edge == p.clients[0].Edge && r.SentAt.After(cutAt) && r.SentAt.Before(lapsed) && r.OK() {
				served++
			}
		}
	}
	p.Check(served > 0, qt.IsTrue)
	p.Check(late > 0, qt.IsTrue)
	p.checkQuotas("settled", settled, end)
}

// TestQuotaHoldsWhenPrimaryIsCutOff partitions the primary from the rest of the core, but not from the proxies: it
// stops granting slots before another primary may begin to.
func TestQuotaHoldsWhenPrimaryIsCutOff(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, true))
	p.wait(settlingTime)
	p.startBurst()
	cut := linksToAll(p.primary().settings.IP, p.coreIPs()...)
	p.network.Cut(cut...)
	cutAt := time.Now()
	p.wait(4 * time.Second)
	healed := time.Now()
	p.network.Heal(cut...)
	p.wait(settlingTime)
	settled := time.Now()
	p.wait(3 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("cut off", cutAt, healed)
	p.logSpan("healed", healed, settled)
	p.checkServedWithin("cut off", moderate, cutAt, time.Second)
	p.checkQuotas("settled", settled, end)
}

// TestQuotaHoldsWhenProxyRestarts kills a proxy, which loses its slots, and restarts it at once.
func TestQuotaHoldsWhenProxyRestarts(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, false))
	p.wait(settlingTime)
	p.startBurst()
	m := p.edge[0]
	m.kill("proxy")
	killed := time.Now()
	m.start("proxy")
	p.awaitReady(m)
	ready := time.Now()
	p.wait(4 * time.Second)
	settled := time.Now()
	p.wait(3 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("away", killed, ready)
	p.logSpan("after the return", ready, settled)
	p.checkServedWithin("after the return", moderate, ready, time.Second)
	p.checkQuotas("settled", settled, end)
}

// TestQuotaHoldsWhenAllIsKilled kills all processes of all machines at once and restarts them. A tenant far below its
// quota is served at once; one that has used much of it is served at the latest when all slots are known.
func TestQuotaHoldsWhenAllIsKilled(t *testing.T) {
	p := startQuotaTest(quotaFleet(t, false))
	p.wait(settlingTime)
	p.startBurst()
	machines := append(slices.Clone(p.core), p.edge...)
	var all sync.WaitGroup
	for _, m := range machines {
		for _, role := range m.roles {
			all.Go(func() { m.kill(role) })
		}
	}
	all.Wait()
	killed := time.Now()
	for _, m := range machines {
		for _, role := range m.roles {
			m.start(role)
		}
	}
	for _, m := range p.edge {
		p.awaitReady(m)
	}
	ready := time.Now()
	p.wait(settlingTime)
	settled := time.Now()
	p.wait(3 * time.Second)
	end := time.Now()
	p.stop()
	p.logSpan("away", killed, ready)
	p.logSpan("after the return", ready, settled)
	p.checkServedWithin("after the return", low, ready, time.Second)
	p.checkServedWithin("after the return", moderate, ready, settlingTime)
	p.checkServedWithin("after the return", nearQuota, ready, settlingTime)
	p.checkQuotas("settled", settled, end)
}

// TestQuotaLowered lowers the quota of a tenant that exceeds it: the lower one holds from one window after all proxies
// have it.
func TestQuotaLowered(t *testing.T) {
	f := quotaFleet(t, false)
	p := startQuotaTest(f)
	p.wait(settlingTime)
	sent := time.Now()
	lower := simulation.Limit{Rate: 5, Burst: 5, From: sent}
	acked := p.updateAccounts(simulation.Account{
		Name:   "hot",
		Keys:   []string{hotKey},
		Limits: []simulation.Limit{lower},
	})
	f.accounts[hot].Limits[0].Until = acked.Add(f.bound("apply_ms", time.Millisecond))
	f.accounts[hot].Limits = append(f.accounts[hot].Limits, lower)
	p.wait(settlingTime)
	end := time.Now()
	p.stop()
	bound := f.accounts[hot].Limits[0].Until
	p.logSpan("before", p.began, sent)
	p.logSpan("until it binds", sent, bound)
	p.logSpan("lowered", bound, end)
	others := p.loads[moderate].between(sent, end)
	p.Check(others.Served, qt.Equals, others.Sent)
}

// TestNoQuotaAtRateZero removes the quota of a tenant that exceeds it, by the rate 0, and then sets one again.
func TestNoQuotaAtRateZero(t *testing.T) {
	f := quotaFleet(t, false)
	p := startQuotaTest(f)
	p.wait(settlingTime)
	apply := f.bound("apply_ms", time.Millisecond)
	limits := []simulation.Limit{f.accounts[hot].Limits[0], {Burst: 5}, {Rate: 20, Burst: 5}}
	var changed []time.Time // acknowledgement of each change but the first
	for i := range limits[1:] {
		limits[i+1].From = time.Now()
		acked := p.updateAccounts(simulation.Account{Name: "hot", Keys: []string{hotKey}, Limits: limits[i+1 : i+2]})
		limits[i].Until = acked.Add(apply)
		changed = append(changed, acked)
		p.wait(apply + 3*time.Second)
	}
	f.accounts[hot].Limits = limits
	end := time.Now()
	p.stop()
	p.logSpan("lifted", changed[0], limits[2].From)
	p.logSpan("again", changed[1], end)
	free := p.loads[hot].between(changed[0].Add(apply), limits[2].From)
	p.Check(free.Sent > 0 && free.Served == free.Sent, qt.IsTrue, qt.Commentf("without a limit: %+v", free))
	p.checkQuotas("again", changed[1].Add(apply), end)
}
