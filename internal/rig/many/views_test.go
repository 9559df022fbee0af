package many

import (
	"flag"
	"fmt"
	"math"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/protocol/linkwire"
	"molepaddle/internal/protocol/peers"
)

func span(from, to int) (all []int) {
	for i := from; i < to; i++ {
		all = append(all, i)
	}
	return all
}

func dead(s members.State, _ members.Info) bool { return s == members.Dead }

// within plays until something holds; it must, in that time.
func within(t *testing.T, v *Views, what string, most time.Duration, holds func() bool) {
	t.Helper()
	took, ok := v.Until(most, holds)
	if !ok {
		t.Fatalf("%s: not in %v", what, most)
	}
	t.Logf("%s: %v", what, took)
}

// A fleet finds itself, loses one, gets it back, splits and heals, in the times that the design note
// states for a period of 500 ms.
func TestViews(t *testing.T) {
	for _, n := range []int{3, 5, 12, 60} {
		v := NewViews(ViewsOptions{Members: n, Zones: 3, Seeds: 2, Seed: 1, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond})
		for i := range n {
			v.Start(i)
		}
		t.Logf("%d members", n)
		within(t, v, "join", 4*time.Second, func() bool { return v.Agreed(span(0, n)) })
		v.Run(10 * time.Second)
		links := 0
		for i := range n {
			links += len(v.At(i).links)
			if s := v.At(i).Machine.View(); !s.Converged {
				t.Errorf("%d is not settled: %s", i, s.UnconvergedReason)
			}
		}
		if mean := float64(links) / float64(n); mean > 2*members.Rings+1 {
			t.Errorf("%.1f links each", mean)
		}
		v.Kill(n-1, true)
		within(t, v, "death", 4*time.Second, func() bool { return v.Believes(span(0, n-1), n-1, dead) == n-1 })
		v.Start(n - 1)
		within(t, v, "back", 3*time.Second, func() bool { return v.Agreed(span(0, n)) })
		v.Run(8 * time.Second)
		half := n / 2
		v.Cut = func(a, b int) bool { return (a < half) != (b < half) }
		within(t, v, "halves", 8*time.Second, func() bool { return v.Agreed(span(0, half)) && v.Agreed(span(half, n)) })
		v.Run(20 * time.Second)
		v.Cut = nil
		within(t, v, "heal", 5*time.Second, func() bool { return v.Agreed(span(0, n)) })
	}
}

var views = flag.Int("many.views", 60, "schedules of views to draw and play")
var viewsMeasure = flag.Bool("many.views.measure", false, "measure views at 5 to 1,000 members, for some minutes")
var viewsSizes = flag.String("many.views.sizes", "5,12,60,300,1000", "and these")
var viewsFrom = flag.Uint64("many.views.from", 1, "the first seed of them")

// Drawn schedules of partitions, crashes, stops, restarts and late networks: nobody is believed dead
// who could be reached both ways, and the views settle once the faults end.
func TestDrawnSchedules(t *testing.T) {
	var next atomic.Uint64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for {
				k := next.Add(1) - 1
				if k >= uint64(*views) || t.Failed() {
					return
				}
				s := Draw(*viewsFrom+k, 0)
				if err := Play(s); err != nil {
					s = Shrink(s)
					t.Errorf("%v\n%v\nleft of it: %v", err, s, Play(s))
				}
			}
		})
	}
	wg.Wait()
}

// sized is a message's bytes on a link under TLS, TCP's left out.
func sized(m *members.Message) int {
	f, err := peers.Frame(m)
	if err != nil {
		panic(err)
	}
	buf, err := linkwire.Append(nil, f)
	if err != nil {
		panic(err)
	}
	return len(buf) + 22
}

// TestMeasureViews prints the tables of the design note: times until all know, bytes, links, false
// deaths under loss.
func TestMeasureViews(t *testing.T) {
	if !*viewsMeasure {
		t.Skip("a measure: -many.views.measure")
	}
	seconds := func(all []time.Duration) string {
		slices.Sort(all)
		at := func(q float64) time.Duration { return all[min(int(math.Ceil(q*float64(len(all)))), len(all))-1] }
		return fmt.Sprintf("%.2f/%.2f", at(0.5).Seconds(), at(0.99).Seconds())
	}
	fmt.Println("| members | all join | a death | a drain | orders acknowledged by all | halves | healed | bytes a second | links |")
	for _, text := range strings.Split(*viewsSizes, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		plays := max(1, min(20, 600/n))
		rows := make([][]time.Duration, 6)
		var mu sync.Mutex
		var wg sync.WaitGroup
		rate, links := 0.0, 0
		room := make(chan bool, runtime.GOMAXPROCS(0))
		for seed := range plays {
			room <- true
			wg.Go(func() {
				defer func() { <-room }()
				v := NewViews(ViewsOptions{Members: n, Zones: 3, Seeds: 2, Seed: uint64(seed) + 1, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Sized: sized})
				all, rest, half := span(0, n), span(0, n-1), n/2
				for i := range n {
					v.Start(i)
				}
				var took [6]time.Duration
				until := func(k int, holds func() bool) {
					var ok bool
					if took[k], ok = v.Until(time.Minute, holds); !ok {
						t.Errorf("%d members, seed %d: step %d takes more than a minute", n, seed, k)
					}
				}
				until(0, func() bool { return v.Agreed(all) })
				v.Run(15 * time.Second)
				v.Bytes = 0
				v.Run(10 * time.Second)
				bytes, open := float64(v.Bytes)/10/float64(n), 0
				for _, a := range v.all {
					open += len(a.links)
				}
				v.Kill(n-1, true)
				until(1, func() bool { return v.Believes(rest, n-1, dead) == n-1 })
				v.Run(5 * time.Second)
				v.carry(0, v.At(0).Machine.Set(v.Now(), func(i *members.Info) { i.Process = "evacuating" }))
				until(2, func() bool {
					return v.Believes(rest, 0, func(_ members.State, i members.Info) bool { return i.Process == "evacuating" }) == n-1
				})
				from := v.At(0).Machine.ID()
				v.carry(0, v.At(0).Machine.Publish(v.Now(), "orders"))
				until(3, func() bool {
					for _, i := range rest {
						if m := v.At(i).Machine; m.OrdersOf(from) != "" {
							v.carry(i, m.Set(v.Now(), func(i *members.Info) { i.Stopped = 1 }))
						}
					}
					acknowledged := 0
					for _, i := range rest {
						if _, info, _ := v.At(0).Machine.StateOf(v.At(i).Machine.ID()); info.Stopped == 1 {
							acknowledged++
						}
					}
					return acknowledged == len(rest)
				})
				if n > 300 { // a partition of a thousand is an hour of a core
					mu.Lock()
					defer mu.Unlock()
					for k := range 4 {
						rows[k] = append(rows[k], took[k])
					}
					rows[4], rows[5] = []time.Duration{0}, []time.Duration{0}
					rate, links = rate+bytes, links+open
					return
				}
				v.Run(5 * time.Second)
				v.Cut = func(a, b int) bool { return (a < half) != (b < half) }
				until(4, func() bool { return v.Agreed(span(0, half)) && v.Agreed(span(half, n-1)) })
				v.Run(20 * time.Second)
				v.Cut = nil
				until(5, func() bool { return v.Agreed(rest) })
				mu.Lock()
				defer mu.Unlock()
				for k := range took {
					rows[k] = append(rows[k], took[k])
				}
				rate, links = rate+bytes, links+open
			})
		}
		wg.Wait()
		fmt.Printf("| %d |", n)
		for _, r := range rows {
			fmt.Printf(" %s |", seconds(r))
		}
		fmt.Printf(" %.0f | %.1f |\n", rate/float64(plays), float64(links)/float64(plays*n))
	}
	fmt.Println("| loss | false deaths in 10 min of 60 members | suspected at the end |")
	for _, loss := range []float64{0.05, 0.2, 0.4} {
		v := NewViews(ViewsOptions{Members: 60, Zones: 3, Seeds: 2, Seed: 7, Delay: 2 * time.Millisecond, Jitter: 3 * time.Millisecond, Loss: loss})
		for i := range 60 {
			v.Start(i)
		}
		v.Run(10 * time.Minute)
		died, doubted := 0, 0
		for _, c := range v.Changes {
			if c.State == members.Dead {
				died += len(c.IDs)
			}
		}
		for _, m := range v.At(0).Machine.View().Members {
			if m.State == members.Suspect {
				doubted++
			}
		}
		fmt.Printf("| %.0f %% | %d | %d |\n", 100*loss, died, doubted)
	}
}
