package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/simulation"
)

var coreAway = flag.String("revoke.away", "2s", "for how long TestKeysWithoutTheCore has the core away, in turn, by commas")

// keyedEdges is the number of proxies in the tests of keys.
const keyedEdges = 2

// getWithKey returns a lookup with an API key and without a body.
func getWithKey(key string) simulation.Request {
	r := lookup()
	r.Method, r.Body = http.MethodGet, nil
	r.Header = http.Header{"Authorization": {"Bearer " + key}}
	r.Deadline = 3 * time.Second
	return r
}

// keyLoad sends a request with each of its keys to each proxy at each tick, without waiting for earlier answers.
type keyLoad struct {
	f   *fleet
	end context.CancelFunc
	all sync.WaitGroup

	mu   sync.Mutex
	keys []string
	seen []simulation.Result
}

// startKeyLoad sends requests with some keys until stop is called.
func (f *fleet) startKeyLoad(keys ...string) *keyLoad {
	ctx, cancel := context.WithCancel(f.ctx)
	f.Cleanup(cancel)
	l := &keyLoad{f: f, end: cancel, keys: keys}
	l.all.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				l.sendAll()
			case <-ctx.Done():
				return
			}
		}
	})
	return l
}

// sendAll sends a request with each key to each proxy.
func (l *keyLoad) sendAll() {
	l.mu.Lock()
	keys := slices.Clone(l.keys)
	l.mu.Unlock()
	for _, client := range l.f.clients {
		for _, key := range keys {
			l.all.Go(func() {
				result := client.Do(l.f.ctx, getWithKey(key))
				l.mu.Lock()
				defer l.mu.Unlock()
				l.seen = append(l.seen, result)
			})
		}
	}
}

// add adds a key to the load.
func (l *keyLoad) add(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keys = append(l.keys, key)
}

// stop ends the load and waits for the requests in flight.
func (l *keyLoad) stop() {
	l.end()
	l.all.Wait()
}

// results returns the results of the requests with a key that were sent to a proxy within a time, ordered by send time.
func (l *keyLoad) results(edge int, key string, from, to time.Time) []simulation.Result {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []simulation.Result
	for _, r := range l.seen {
		if r.Edge == l.f.clients[edge].Edge && r.SentKey() == key && r.SentAt.After(from) && r.SentAt.Before(to) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b simulation.Result) int { return a.SentAt.Compare(b.SentAt) })
	return out
}

// setKeys sets the keys of the account "lab" on top of the newest configuration and asserts the acknowledgement.
func (f *fleet) setKeys(o *simulation.Operator, keys ...string) simulation.Reply {
	f.Helper()
	account := object{"name": "lab", "apikeys": keys}
	doc := object{"ver": f.version + 1, "upsert": object{"accounts": list{account}}}
	rep, err := o.Update(f.withTimeout(testTimeout), f.version, doc)
	f.Assert(err, qt.IsNil)
	f.Assert(rep.Status, qt.Equals, http.StatusOK, qt.Commentf("%s", rep.Body))
	f.version = rep.Version
	return rep
}

// revokeKey revokes one key and adds another, and records both for the judge; inTouch are the proxies that must accept
// the added key in time.
func (f *fleet) revokeKey(o *simulation.Operator, gone, added string, inTouch []int, rest ...string) time.Time {
	f.Helper()
	rep := f.setKeys(o, append(rest, added)...)
	f.revocations = append(f.revocations, simulation.KeyRevocation{Key: gone, AckedAt: rep.At})
	addition := simulation.KeyAddition{Key: added, AckedAt: rep.At}
	for _, edge := range inTouch {
		addition.Edges = append(addition.Edges, f.clients[edge].Edge)
	}
	f.additions = append(f.additions, addition)
	return rep.At
}

// awaitServed waits until a key is served by a proxy, at most until a time, and returns when the request was sent.
func (f *fleet) awaitServed(edge int, key string, by time.Time) time.Time {
	f.Helper()
	var sent time.Time
	f.eventually(max(time.Until(by), time.Millisecond), fmt.Sprintf("%s served by edge %d", key, edge+1), func() bool {
		r := f.clients[edge].Do(f.ctx, getWithKey(key))
		sent = r.SentAt
		return r.Status == http.StatusOK
	})
	return sent
}

// TestRevokedKeyIsRejectedEverywhere revokes one key while the node agent of a proxy is stopped, another while a proxy
// is stopped, which continues with requests pending, and a third while all control servers that an agent reaches are
// partitioned from the primary. No request runs that was sent more than revoke_ms after the acknowledgement. Keys that
// are added meanwhile are accepted in time by the proxies in contact, and by the others once they are back.
func TestRevokedKeyIsRejectedEverywhere(t *testing.T) {
	f := newFleet(t, fleetOptions{relay: true, noReport: true, bounds: map[string]any{
		"strict_revoke": true, "revoke_ms": 3000, "sync_s": 1,
	}})
	apply, revoke := f.bound("apply_ms", time.Millisecond), f.bound("revoke_ms", time.Millisecond)
	pastRevoke := func(acked time.Time) {
		f.eventually(2*revoke, "revoke_ms over", func() bool { return time.Since(acked) > revoke+700*time.Millisecond })
	}
	f.setKeys(f.operator, "k1", "k2", "k3", "k9")
	for edge := range keyedEdges {
		f.awaitServed(edge, "k9", time.Now().Add(testTimeout))
	}
	load := f.startKeyLoad("k1", "k2", "k3", "k9")

	agent := f.edge[0].programs["node-agent"]
	agent.Signal(syscall.SIGSTOP)
	frozen := time.Now()
	acked := f.revokeKey(f.operator, "k1", "a1", []int{1}, "k2", "k3", "k9")
	load.add("a1")
	t.Logf("a1 served by the proxy in touch %v after it was acknowledged",
		f.awaitServed(1, "a1", acked.Add(apply)).Sub(acked))
	pastRevoke(acked)
	f.checkRefused(load, 0, "k9", frozen.Add(revoke), time.Now())
	agent.Signal(syscall.SIGCONT)
	f.awaitAllServed("the agent was thawed", "a1", "k9")

	proxy := f.edge[1].programs["proxy"]
	proxy.Signal(syscall.SIGSTOP)
	acked = f.revokeKey(f.operator, "k2", "a2", []int{0}, "k3", "k9", "a1")
	load.add("a2")
	pastRevoke(acked)
	proxy.Signal(syscall.SIGCONT)
	f.awaitAllServed("the proxy was thawed", "a2", "k9")

	// The former primary is the only control server that the agent of the first proxy reaches.
	cutOff := f.primary()
	links := f.isolate(cutOff, f.edge[0])
	reachable := &simulation.Operator{}
	for _, m := range f.core {
		if m != cutOff {
			reachable.Ctl = append(reachable.Ctl, m.boot.Ctl)
		}
	}
	cut := time.Now()
	acked = f.revokeKey(reachable, "k3", "a3", []int{1}, "k9", "a1", "a2")
	t.Logf("k3 was taken away %v after the cut", acked.Sub(cut))
	load.add("a3")
	f.awaitServed(1, "a3", acked.Add(apply))
	pastRevoke(acked)
	f.checkRefused(load, 0, "k9", cut.Add(revoke), time.Now())
	f.network.Heal(links...)
	f.awaitAllServed("the cut healed", "a3", "k9")
	load.stop()
	f.checkRules()
}

// isolate partitions a core machine and an edge machine from the rest of the core, and returns the cut links.
func (f *fleet) isolate(core, edge *machine) (links []simulation.Link) {
	for _, m := range f.core {
		if m == core {
			continue
		}
		for _, one := range []*machine{core, edge} {
			links = append(links, simulation.Link{From: one.settings.IP, To: m.settings.IP},
				simulation.Link{From: m.settings.IP, To: one.settings.IP})
		}
	}
	f.network.Cut(links...)
	return links
}

// awaitAllServed waits until all proxies serve some keys again.
func (f *fleet) awaitAllServed(since string, keys ...string) {
	f.Helper()
	began := time.Now()
	for edge := range keyedEdges {
		for _, key := range keys {
			f.awaitServed(edge, key, time.Now().Add(testTimeout))
		}
	}
	f.Logf("all serve %v %v after %s", keys, time.Since(began), since)
}

// checkRefused asserts that a proxy without contact rejected all requests with a key within a time by 503, and that
// there were some.
func (f *fleet) checkRefused(load *keyLoad, edge int, key string, from, to time.Time) {
	f.Helper()
	results := load.results(edge, key, from, to)
	f.Check(len(results) > 0, qt.IsTrue)
	for _, r := range results {
		f.Check(r.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", r.AnswerBody))
		f.Check(r.RetryAfter > 0, qt.IsTrue)
	}
}

// TestKeysDuringCoreOutage kills the core's processes and restarts them later: requests with keys are served for as
// long as revoke_ms allows, and again once the core is back. The times are logged.
func TestKeysDuringCoreOutage(t *testing.T) {
	f := newFleet(t, fleetOptions{noReport: true, bounds: map[string]any{
		"strict_revoke": true, "revoke_ms": 5000, "apply_ms": 2500, "contact_ms": 4000,
	}})
	revoke := f.bound("revoke_ms", time.Millisecond)
	f.setKeys(f.operator, "k1")
	for edge := range keyedEdges {
		f.awaitServed(edge, "k1", time.Now().Add(testTimeout))
	}
	f.logOrdinaryAges()
	load := f.startKeyLoad("k1")
	for _, text := range strings.Split(*coreAway, ",") {
		away, err := time.ParseDuration(text)
		f.Assert(err, qt.IsNil)
		gone := time.Now()
		var all sync.WaitGroup
		for _, m := range f.core {
			all.Go(func() { m.kill("control-plane") })
		}
		all.Wait()
		f.eventually(away+testTimeout, "the core was away", func() bool { return time.Since(gone) > away })
		for _, m := range f.core {
			m.start("control-plane")
		}
		back := time.Now()
		f.eventually(testTimeout, "served as before for a while", func() bool { return time.Since(back) > 5*time.Second })
		for edge := range keyedEdges {
			f.logServed(load, edge, gone, back)
		}
		if away < revoke/2 {
			for edge := range keyedEdges {
				for _, r := range load.results(edge, "k1", gone, back) {
					f.Check(r.Status, qt.Equals, http.StatusOK, qt.Commentf("%v after the core went", r.SentAt.Sub(gone)))
				}
			}
		}
	}
	load.stop()
	f.checkRules()
}

// logServed logs how long a proxy served a key after the core was killed, and when it served it again.
func (f *fleet) logServed(load *keyLoad, edge int, gone, back time.Time) {
	var first, last time.Time // first and last rejection
	n := 0
	results := load.results(edge, "k1", gone, time.Now().Add(-time.Second))
	for _, r := range results {
		if r.Status == http.StatusOK {
			continue
		}
		if first.IsZero() {
			first = r.SentAt
		}
		last = r.SentAt
		n++
	}
	if n == 0 {
		f.Logf("core away %v: edge %d: all %d served", back.Sub(gone), edge+1, len(results))
		return
	}
	f.Logf("core away %v: edge %d: %d of %d refused, from %v after the core went to %v after it came back",
		back.Sub(gone), edge+1, n, len(results), first.Sub(gone), last.Sub(back))
}

// logOrdinaryAges logs the age of the newest confirmation, sampled at equal intervals by a client that pulls from the
// node agent of the first machine as its proxy does.
func (f *fleet) logOrdinaryAges() {
	const samples, pause = 300, 20 * time.Millisecond
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	cache := distribution.NewCache()
	w := &distribution.Watcher{
		Name:        "ages",
		MaxWait:     f.bound("revoke_ms", time.Millisecond) / 10,
		ReadTimeout: time.Second,
		Members:     func() []distribution.Member { return nil },
		Versions:    cache.Versions,
	}
	w.Apply = func(r *distribution.Response) []string { return cache.Apply(r, w.ReceivedAt()) }
	ports := f.edge[0].settings.Ports
	go func() { _ = distribution.Watch(ctx, distribution.NodeAgentAddr([2]int{ports.First, ports.Last}), w) }()
	f.eventually(testTimeout, "a confirmation", func() bool {
		at, _ := cache.LastContact()
		return !at.IsZero()
	})
	var ages []time.Duration
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for range samples {
		<-tick.C
		at, _ := cache.LastContact()
		ages = append(ages, time.Since(at))
	}
	slices.Sort(ages)
	f.Logf("ordinary age of the confirmation: median %v, 90th %v, 99th %v, the most %v", ages[samples/2],
		ages[samples*90/100], ages[samples*99/100], ages[samples-1])
}
