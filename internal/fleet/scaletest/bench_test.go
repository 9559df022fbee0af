package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"runtime"
	"strconv"
	"testing"
	"time"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/ranking"
	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/fleet/scheduler"
)

// The figures of docs/CAPACITY.md: go test -run '^$' -bench . ./internal/fleet/scaletest

var (
	listSizes     = []int{50, 300, 1000, 3000, 10_000}
	routeSizes    = []int{10, 100, 1000, 10_000}
	decisionSizes = []int{9, 48, 300, 3000, 10_000}
	leaseSizes    = []int{30, 100, 300, 1000, 2500}
)

func sizes(b *testing.B, all []int, f func(b *testing.B, n int)) {
	for _, n := range all {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			f(b, n)
		})
	}
}

func encoded(b *testing.B, l distribution.BackendList) []byte {
	out, err := l.MarshalMsg(nil)
	if err != nil {
		b.Fatal(err)
	}
	return out
}

func BenchmarkListEncode(b *testing.B) {
	sizes(b, listSizes, func(b *testing.B, n int) {
		l := Backends(n)
		for b.Loop() {
			encoded(b, l)
		}
		b.ReportMetric(float64(len(encoded(b, l))), "B/list")
	})
}

func BenchmarkListDecode(b *testing.B) {
	sizes(b, listSizes, func(b *testing.B, n int) {
		in := encoded(b, Backends(n))
		for b.Loop() {
			var l distribution.BackendList
			if _, err := l.UnmarshalMsg(in); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkPoll measures one poll of the platform's complete list by pages of 50, the work of both sides together.
func BenchmarkPoll(b *testing.B) {
	sizes(b, listSizes, func(b *testing.B, n int) {
		p, err := StartPlatform(Backends(n), 50)
		if err != nil {
			b.Fatal(err)
		}
		defer p.Close()
		client := externalapi.NewPlatformClient(p.Address(), time.Second)
		for b.Loop() {
			l, _, err := client.List(context.Background())
			if err != nil || len(l.Backends) != n {
				b.Fatal(len(l.Backends), err)
			}
		}
		b.ReportMetric(float64(p.Calls())/float64(b.N), "calls/op")
	})
}

// BenchmarkPullWhole measures one pull answered with a snapshot of the list over loopback, the work of both sides
// together.
func BenchmarkPullWhole(b *testing.B) {
	sizes(b, listSizes, func(b *testing.B, n int) {
		s := distribution.NewCache()
		s.SetSnapshot(distribution.BackendListType, distribution.Version{Epoch: 1, Count: 1}, encoded(b, Backends(n)))
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		defer ln.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go distribution.Serve(ctx, ln, "o", s, time.Minute, s.LastContact)
		left := b.N
		b.ResetTimer()
		err = distribution.Watch(ctx, ln.Addr().String(), &distribution.Watcher{Name: "t", MaxWait: time.Second, ReadTimeout: time.Second, Members: func() []distribution.Member { return nil },
			Versions: func() map[string]distribution.Version { return nil },
			Apply:    func(*distribution.Response) []string { left--; return nil },
			Continue: func() bool { return left > 0 }})
		if err != nil {
			b.Fatal(err)
		}
	})
}

// BenchmarkLeases measures one pull of a relay that reports n proxies: collected and encoded by the relay, decoded and
// recorded by the primary.
func BenchmarkLeases(b *testing.B) {
	sizes(b, leaseSizes, func(b *testing.B, n int) {
		relay, primary := distribution.NewCache(), distribution.NewCache()
		now := time.Now()
		for i := range n {
			relay.Renew([]distribution.Member{{Name: fmt.Sprintf("edge-zone-%d-%d", i%zones, i), Zone: Zone(i)}}, now)
		}
		size := 0
		for b.Loop() {
			p := distribution.Request{From: "core-1", WaitMs: 1200, Members: relay.Members(now, time.Minute)}
			out, err := p.MarshalMsg(nil)
			if err != nil {
				b.Fatal(err)
			}
			size = len(out)
			var got distribution.Request
			if _, err := got.UnmarshalMsg(out); err != nil {
				b.Fatal(err)
			}
			primary.Renew(got.Members, now)
		}
		b.ReportMetric(float64(size), "B/pull")
	})
}

func documentOf(b *testing.B, n int) ([]byte, *routingconfig.Document) {
	in, err := json.Marshal(newDocument(1, n))
	if err != nil {
		b.Fatal(err)
	}
	d, found := routingconfig.Decode(in)
	if err := found.Err(); err != nil {
		b.Fatal(err)
	}
	return in, d
}

func BenchmarkConfigDecode(b *testing.B) {
	sizes(b, routeSizes, func(b *testing.B, n int) {
		in, _ := documentOf(b, n)
		for b.Loop() {
			if _, found := routingconfig.Decode(in); found.Err() != nil {
				b.Fatal(found)
			}
		}
		b.ReportMetric(float64(len(in)), "B/config")
	})
}

func BenchmarkConfigUpdate(b *testing.B) {
	sizes(b, routeSizes, func(b *testing.B, n int) {
		_, d := documentOf(b, n)
		c := change{Version: 2}
		c.Upsert.Routes = []routeItem{route(0, 3)}
		in, err := json.Marshal(c)
		if err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			if _, found := routingconfig.Update(d, in); found.Err() != nil {
				b.Fatal(found)
			}
		}
		b.ReportMetric(float64(len(in)), "B/change")
	})
}

func BenchmarkConfigShow(b *testing.B) {
	sizes(b, routeSizes, func(b *testing.B, n int) {
		_, d := documentOf(b, n)
		for b.Loop() {
			d.Show()
		}
	})
}

func BenchmarkRouteIndex(b *testing.B) {
	sizes(b, routeSizes, func(b *testing.B, n int) {
		_, d := documentOf(b, n)
		for b.Loop() {
			routingconfig.NewIndex(d)
		}
	})
}

func BenchmarkRouteLookup(b *testing.B) {
	sizes(b, routeSizes, func(b *testing.B, n int) {
		_, d := documentOf(b, n)
		x := routingconfig.NewIndex(d)
		hosts, paths := make([]string, n), make([]string, n)
		for i := range n {
			r := route(i, 0)
			hosts[i], paths[i] = r.Host, r.Prefix+"chat"
		}
		i := 0
		for b.Loop() {
			if _, ok := x.Lookup(hosts[i%n], paths[i%n]); !ok {
				b.Fatal(hosts[i%n], paths[i%n])
			}
			i += 7
		}
	})
}

func ranker(n int) (*ranking.Ranker, []ranking.Endpoint) {
	r := ranking.NewRanker(ranking.RankerSettings{})
	var l []ranking.Endpoint
	for _, e := range Backends(n).Backends {
		l = append(l, ranking.Endpoint{ID: e.ID, Usable: true})
	}
	r.SetEndpoints(0, l)
	return r, l
}

func engines(n int) (*scheduler.Estimator, []scheduler.Backend) {
	e := scheduler.NewEstimator(scheduler.EngineSpec{Capacity: 64, KVCacheTokens: 600_000, KVBytesPerToken: 163_840, LinkMbps: 8_800_000})
	var l []scheduler.Backend
	for _, s := range Backends(n).Backends {
		l = append(l, scheduler.Backend{ID: s.ID, Zone: s.Zone, Prefill: s.Phase == externalapi.PhasePrefill})
	}
	e.SetBackends(l)
	return e, l
}

// BenchmarkRank measures one ranking of all backends by tier, cap and key.
func BenchmarkRank(b *testing.B) {
	sizes(b, decisionSizes, func(b *testing.B, n int) {
		r, _ := ranker(n)
		var out []string
		i := uint64(0)
		for b.Loop() {
			i++
			out = r.Rank(1, i*0x9e3779b97f4a7c15, nil, 8, nil, out[:0])
		}
	})
}

// BenchmarkRankByLoad measures one ranking with the scheduler's estimates as costs.
func BenchmarkRankByLoad(b *testing.B) {
	sizes(b, decisionSizes, func(b *testing.B, n int) {
		r, l := ranker(n)
		e, _ := engines(n)
		for i := range l {
			e.ObserveResponseLoad(1, l[i].ID, i%64, i%3)
		}
		var out []string
		i := uint64(0)
		for b.Loop() {
			i++
			out = r.Rank(1, i*0x9e3779b97f4a7c15, nil, math.Inf(1), func(id string) float64 { return e.QueueMs(1, id) }, out[:0])
		}
	})
}

func prompt(i int) scheduler.Prompt {
	p, ok := scheduler.ParsePrompt("m", "1460,80", "aaaaaaaa:800,"+strconv.Itoa(i%1900)+":410,own"+strconv.Itoa(i)+":250")
	if !ok {
		panic("prompt")
	}
	return p
}

// BenchmarkSent measures recording a prompt as sent to and prefilled at one of n backends.
func BenchmarkSent(b *testing.B) {
	sizes(b, decisionSizes, func(b *testing.B, n int) {
		e, l := engines(n)
		i := 0
		for b.Loop() {
			p := prompt(i)
			id := l[i%n].ID
			tokens := e.PrefillStarted(id, &p, false)
			e.PrefillEnded(id, tokens, 5)
			e.RequestEnded(id)
			i++
		}
	})
}

// BenchmarkTakeList measures applying a complete list that ranker and scheduler already have.
func BenchmarkTakeList(b *testing.B) {
	sizes(b, listSizes, func(b *testing.B, n int) {
		r, l := ranker(n)
		e, le := engines(n)
		for b.Loop() {
			r.SetEndpoints(1, l)
			e.SetBackends(le)
		}
	})
}

// BenchmarkBeliefs measures the memory of a proxy's estimate of the backends' prefix caches, after n prompts of three
// parts spread over 300 backends.
func BenchmarkBeliefs(b *testing.B) {
	for _, n := range []int{1000, 10_000, 100_000, 300_000} {
		b.Run(fmt.Sprintf("prompts=%d", n), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				e, l := engines(300)
				runtime.GC()
				runtime.ReadMemStats(&before)
				for i := range n {
					p := prompt(i)
					id := l[i%len(l)].ID
					e.PrefillStarted(id, &p, false)
					e.PrefillEnded(id, 0, 0)
					e.RequestEnded(id)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "B/beliefs")
				b.ReportMetric((float64(after.HeapAlloc)-float64(before.HeapAlloc))/float64(n), "B/prompt")
				runtime.KeepAlive(e)
			}
		})
	}
}
