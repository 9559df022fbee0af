package gateway_test

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/limit"
	"molepaddle/internal/protocol/gateway"
	"molepaddle/internal/rig/testkit/sites"
	"molepaddle/internal/rig/wan"
)

var measure = flag.Bool("gateway.measure", false, "measure a gateway, for some minutes, and print a table")

// quantile returns a quantile of sorted times.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// paced sends requests at a fixed rate. It returns the sorted times from when each was due, and the
// number that were not served.
func paced(base string, rate, n int) (times []time.Duration, bad int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		time.Sleep(time.Until(due))
		wg.Go(func() {
			a := sites.Ask(context.Background(), base, "order", 2*time.Second, []byte("body"))
			took := time.Since(due)
			mu.Lock()
			defer mu.Unlock()
			if a.Status != http.StatusOK {
				bad++
				return
			}
			times = append(times, took)
		})
	}
	wg.Wait()
	slices.Sort(times)
	return times, bad
}

// TestMeasureLatency compares the latency of orders that a client sends directly to the far site, over
// the same network delay, with that of orders that cross through a gateway.
func TestMeasureLatency(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	p := startPair(t, 3, 5*time.Millisecond, "")
	straight, err := wan.New(p.far.Base[len("http://"):], 2)
	if err != nil {
		t.Fatal(err)
	}
	defer straight.Close()
	for _, n := range []*wan.Net{p.net, straight} {
		for _, w := range []wan.Way{wan.There, wan.Back} {
			n.Set(w, wan.Path{Delay: 8 * time.Millisecond})
		}
	}
	paced(p.near.Base, 100, 200)
	paced("http://"+straight.Addr, 100, 200)
	fmt.Println("| requests a second | straight, median / 99 % | through the gateway | added | not served |")
	for _, rate := range []int{10, 100, 400} {
		n := min(12*rate, 4000)
		a, badA := paced("http://"+straight.Addr, rate, n)
		b, badB := paced(p.near.Base, rate, n)
		fmt.Printf("| %d | %v / %v | %v / %v | %v / %v | %d, %d |\n", rate, quantile(a, 0.5), quantile(a, 0.99),
			quantile(b, 0.5), quantile(b, 0.99),
			quantile(b, 0.5)-quantile(a, 0.5), quantile(b, 0.99)-quantile(a, 0.99), badA, badB)
	}
}

// TestMeasureStall measures the time from the end of a stall to the first answer.
func TestMeasureStall(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	for _, ways := range [][]wan.Way{{wan.There}, {wan.Back}, {wan.There, wan.Back}} {
		for _, stall := range []time.Duration{100 * time.Millisecond, time.Second, 4 * time.Second} {
			p := startPair(t, 2, 5*time.Millisecond, "links = 2\n")
			for _, w := range []wan.Way{wan.There, wan.Back} {
				p.net.Set(w, wan.Path{Delay: 8 * time.Millisecond})
			}
			stop, done := make(chan struct{}), make(chan []sites.Answer)
			var moved time.Time
			var mu sync.Mutex
			first := time.Duration(0)
			go func() {
				var wg sync.WaitGroup
				tick := time.NewTicker(2500 * time.Microsecond)
				defer tick.Stop()
				for {
					select {
					case <-stop:
						wg.Wait()
						done <- nil
						return
					case <-tick.C:
					}
					wg.Go(func() {
						a := sites.Ask(context.Background(), p.near.Base, "order", time.Second, nil)
						mu.Lock()
						if a.Status == 200 && !moved.IsZero() && first == 0 {
							first = time.Since(moved)
						}
						mu.Unlock()
					})
				}
			}()
			sites.Eventually(t, "it runs", func() bool { return len(p.far.Came()) > 300 })
			p.net.Stall(ways...)
			time.Sleep(stall)
			mu.Lock()
			moved = time.Now()
			mu.Unlock()
			p.net.Move(ways...)
			sites.Eventually(t, "an answer", func() bool { mu.Lock(); defer mu.Unlock(); return first > 0 })
			close(stop)
			<-done
			fmt.Printf("stall %v of %v: the first answer %v after its end\n", ways, stall, first)
		}
	}
}

// TestMeasureWaiting measures what 10,000 crossings that wait on a stalled link cost the near end.
// They are passed to the transport as attempts, as a core would queue some of them itself.
func TestMeasureWaiting(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	const n = 10000
	far := startFar(t, 1, 0, "crossings = 20000\n")
	far.Ready(t)
	net1, err := wan.New(far.Links.Addr().String(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer net1.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	times := gateway.DefaultTimes()
	times.StallAfter, times.DeadAfter = 20*time.Second, 30*time.Second
	set := far.Conf.Settings
	site, err := gateway.NewSender(ctx, gateway.SenderOptions{Name: "gw-a", Site: "b",
		Peers: []gateway.Peer{{Name: "gw-b", Address: net1.Addr}}, Conns: 2,
		Limits: limit.Options{Law: limit.Fixed, MaxWindow: 2 * n}, Times: times, Settings: &set,
		Dial: (&net.Dialer{}).DialContext, Seed: 1, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	site.Run()
	defer site.Close()
	sites.Eventually(t, "reachable", func() bool { return site.Status()[0].Reachable })
	net1.Stall(wan.There, wan.Back)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse
	}
	body := make([]byte, 200)
	before := heap()
	ends := make(chan core.Result, n)
	way := site.Endpoint(&cluster.Server{Dial: "gw-b"})
	for i := range n {
		r := &core.Request{ID: fmt.Sprint("m", i), Class: 2, Key: uint64(i + 1),
			Deadline: time.Now().Add(5 * time.Second),
			Message:  core.Message{Method: "POST", Target: "/order/u1", Host: "h", Body: body}}
		if err := way.Start(core.NewAttempt(ctx, r, 5*time.Second, func(res core.Result) { ends <- res })); err != nil {
			t.Fatal(i, err)
		}
	}
	open := 0
	for _, m := range site.Status()[0].Crossings {
		open += m
	}
	after := heap()
	fmt.Printf("%d crossings of 200 bytes wait on a stalled link: %d bytes each\n", open,
		(after-before)/uint64(max(open, 1)))
	for range n {
		<-ends
	}
}

// TestMeasureSlow compares the window algorithms of a link while the far end slows down to a tenth,
// at 400 requests a second, shared by the servers: four fifths of the far site's capacity.
func TestMeasureSlow(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	const before, slow, after = 4 * time.Second, 8 * time.Second, 6 * time.Second
	fmt.Println("| far end | law | before: in time | slow: in time, late, refused, failed | 99 % | after: in time | back after |")
	for _, how := range []struct {
		name  string
		work  time.Duration
		slots int
	}{{"work takes ten times as long", 320 * time.Millisecond, 4}, {"one slot of ten is left", 32 * time.Millisecond,
		1}} {
		for _, law := range []string{limit.Fixed, limit.AIMD, limit.Gradient} {
			p := startPairOf(t, 4, 32*time.Millisecond, fmt.Sprintf("law = %q\n", law), false)
			for _, w := range []wan.Way{wan.There, wan.Back} {
				p.net.Set(w, wan.Path{Delay: 8 * time.Millisecond})
			}
			servers := p.far.Servers
			for _, s := range servers {
				s.Slots(4)
			}
			change := func(work time.Duration, slots int) {
				for i, s := range servers {
					s.Work(work)
					s.Slots(slots)
					if how.slots == 1 && slots == 1 && i > 1 { // two slots of sixteen, a little more than a tenth
						s.Slots(1)
						s.Work(time.Hour)
					}
				}
			}
			type one struct {
				at     time.Duration
				answer sites.Answer
			}
			var mu sync.Mutex
			var all []one
			var wg sync.WaitGroup
			start := time.Now()
			slowed, eased := time.AfterFunc(before, func() { change(how.work, how.slots) }), time.AfterFunc(before+slow,
				func() { change(32*time.Millisecond, 4) })
			for i := 0; ; i++ {
				at := time.Duration(i) * 2500 * time.Microsecond
				if at > before+slow+after {
					break
				}
				time.Sleep(time.Until(start.Add(at)))
				wg.Go(func() {
					a := sites.Ask(context.Background(), p.near.Base, "order", 1200*time.Millisecond, []byte("body"))
					mu.Lock()
					all = append(all, one{at, a})
					mu.Unlock()
				})
			}
			wg.Wait()
			slowed.Stop()
			eased.Stop()
			var n, in, late, refused, failed [3]float64
			var took []time.Duration
			perHalf := map[int][2]float64{}
			for _, o := range all {
				k := 0
				if o.at >= before+slow {
					k = 2
				} else if o.at >= before {
					k = 1
				}
				n[k]++
				h := perHalf[int(o.at/(500*time.Millisecond))]
				h[0]++
				switch {
				case o.answer.Status == 200 && o.answer.Took <= 300*time.Millisecond:
					in[k]++
					h[1]++
				case o.answer.Status == 200:
					late[k]++
				case o.answer.Status == 503:
					refused[k]++
				default:
					failed[k]++
				}
				perHalf[int(o.at/(500*time.Millisecond))] = h
				if k == 1 && o.answer.Status == 200 {
					took = append(took, o.answer.Took)
				}
			}
			slices.Sort(took)
			back := after
			for h := int((before + slow) / (500 * time.Millisecond)); perHalf[h][0] > 100; h++ {
				if perHalf[h][1] >= perHalf[h][0]*(in[0]/n[0]-0.02) {
					back = time.Duration(h)*500*time.Millisecond - before - slow
					break
				}
			}
			p99 := time.Duration(0)
			if len(took) > 0 {
				p99 = quantile(took, 0.99)
			}
			fmt.Printf("| %s | %s | %.0f %% | %.1f, %.1f, %.1f, %.1f %% | %v | %.0f %% | %v |\n", how.name, law,
				100*in[0]/n[0], 100*in[1]/n[1], 100*late[1]/n[1],
				100*refused[1]/n[1], 100*failed[1]/n[1], p99.Round(time.Millisecond), 100*in[2]/n[2], back)
			p.near.Kill()
			p.far.Kill()
		}
	}
}

// BenchmarkCrossing measures an order through both gateways and back, with the client and the server
// in the process; BenchmarkStraight sends it to the far agent directly.
func BenchmarkCrossing(b *testing.B) {
	p := startPair(b, 2, 0, "")
	there, back := p.net.Passed(wan.There), p.net.Passed(wan.Back)
	benchAsk(b, p.near.Base)
	b.ReportMetric(float64(p.net.Passed(wan.There)-there)/float64(b.N), "B-there/op")
	b.ReportMetric(float64(p.net.Passed(wan.Back)-back)/float64(b.N), "B-back/op")
}

// BenchmarkStraight is the baseline of BenchmarkCrossing.
func BenchmarkStraight(b *testing.B) {
	far := startFar(b, 2, 0)
	far.Ready(b)
	benchAsk(b, far.Base)
}

func benchAsk(b *testing.B, base string) {
	b.ReportAllocs()
	b.ResetTimer()
	var next sync.Mutex
	left, bad := b.N, 0
	var wg sync.WaitGroup
	for range 16 {
		wg.Go(func() {
			for {
				next.Lock()
				left--
				end := left < 0
				next.Unlock()
				if end {
					return
				}
				if a := sites.Ask(context.Background(), base, "order", 2*time.Second, nil); a.Status != 200 {
					next.Lock()
					bad++
					next.Unlock()
				}
			}
		})
	}
	wg.Wait()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	b.ReportMetric(float64(bad), "not-served")
}
