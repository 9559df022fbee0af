package limit

import (
	"container/heap"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var measure = flag.Bool("limit.measure", false, "print what each law makes of a far end that slows to a tenth")

// far is a far end in virtual time: some workers behind a queue, a network of a fixed trip.
// Requests come at random, in two classes; each is given up after its time, and work on it
// ends then.
type far struct {
	law       string
	load      float64 // of what the far end can do
	part      float64 // of the load that is the second class's
	queue     int     // that the far end holds; more is turned away
	slow      float64 // factor of the work, from 20 s to 40 s
	workers   int     // that are left meanwhile
	least     int
	forSecond float64 // part of the second class
}

const (
	workers     = 48
	trip        = 8 * time.Millisecond
	slowAt      = 20 * time.Second
	slowEnd     = 40 * time.Second
	end         = 60 * time.Second
	betweenDues = time.Second
)

var (
	aim    = [2]time.Duration{300 * time.Millisecond, 500 * time.Millisecond}
	giveUp = [2]time.Duration{600 * time.Millisecond, 1200 * time.Millisecond}
	worth  = [2]float64{2, 5}
	work   = [2]float64{0.051, 0.076} // seconds, on the mean
)

// result is what came of it in one of the three thirds: before, while slow, after.
type result struct {
	asked, inTime, late, refused, overdue float64
	worthAsked, worth                     float64
	second, secondInTime                  float64
	wasted, worked                        float64 // seconds of work, and of those for nothing
	took                                  []time.Duration
	window                                float64
}

type happening struct {
	at time.Duration
	n  int
	do func()
}

type happenings []happening

func (h happenings) Len() int { return len(h) }
func (h happenings) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h happenings) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *happenings) Push(x any)   { *h = append(*h, x.(happening)) }
func (h *happenings) Pop() any     { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

// play plays a minute and gives its thirds, and how long after the end of the slowness the
// worth in time is back within 2 % of before.
func (f far) play(seed uint64) (thirds [3]result, back time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	l, err := New(Options{Law: f.law, Start: 64, Least: f.least, Most: 1024, Classes: []Class{{1 - f.forSecond}, {f.forSecond}}})
	if err != nil {
		panic(err)
	}
	var todo happenings
	count := 0
	after := func(at time.Duration, do func()) { count++; heap.Push(&todo, happening{at, count, do}) }
	now, busy := time.Duration(0), 0
	var queue []func()
	staff := func() int {
		if now >= slowAt && now < slowEnd {
			return f.workers
		}
		return workers
	}
	next := func() {
		busy--
		for busy < staff() && len(queue) > 0 {
			q := queue[0]
			queue = queue[1:]
			q()
		}
	}
	mean := work[0]*(1-f.part) + work[1]*f.part
	rate := f.load * workers / mean
	var perSecond [60]struct{ asked, won float64 }
	ask := func() {
		c := 0
		if rng.Float64() < f.part {
			c = 1
		}
		r, at := &thirds[min(int(now/slowAt), 2)], now
		second := &perSecond[min(int(now/betweenDues), 59)]
		r.asked++
		r.worthAsked += worth[c]
		second.asked += worth[c]
		if c == 1 {
			r.second++
		}
		r.window += l.window
		if !l.Take(c, 0) {
			r.refused++
			return
		}
		over := false
		done := func(res Result) {
			if over {
				return
			}
			over = true
			took := now - at
			l.Done(c, 0, now, took, res)
			switch {
			case res == Turned:
				r.refused++
			case res == Overdue:
				r.overdue++
			case took > aim[c]:
				r.late++
			default:
				r.inTime++
				r.worth += worth[c]
				second.won += worth[c]
				if c == 1 {
					r.secondInTime++
				}
			}
			if res == Answered {
				r.took = append(r.took, took)
			}
		}
		after(at+giveUp[c], func() { done(Overdue) })
		seconds := work[c] * math.Exp(0.3*rng.NormFloat64()-0.045)
		begin := func() {
			busy++
			if over || now >= at+giveUp[c]-trip {
				next()
				return
			}
			took := time.Duration(seconds * float64(time.Second))
			if now >= slowAt && now < slowEnd {
				took = time.Duration(float64(took) * f.slow)
			}
			if dead := at + giveUp[c] - trip - now; took > dead { // nobody waits any more
				r.worked += dead.Seconds()
				r.wasted += dead.Seconds()
				after(now+dead, next)
				return
			}
			r.worked += took.Seconds()
			after(now+took, func() {
				next()
				after(now+trip, func() { done(Answered) })
			})
		}
		after(at+trip, func() {
			switch {
			case busy < staff():
				begin()
			case len(queue) >= f.queue:
				after(now+trip, func() { done(Turned) })
			default:
				queue = append(queue, begin)
			}
		})
	}
	var arrive func()
	arrive = func() {
		ask()
		if at := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)); at < end {
			after(at, arrive)
		}
	}
	after(0, arrive)
	for len(todo) > 0 {
		h := heap.Pop(&todo).(happening)
		now = h.at
		h.do()
	}
	before := thirds[0].worth / thirds[0].worthAsked
	back = end
	for s := int(slowEnd / time.Second); s < 60; s++ {
		if perSecond[s].won >= perSecond[s].asked*(before-0.02) {
			back = time.Duration(s)*time.Second - slowEnd
			break
		}
	}
	return thirds, back
}

func (r *result) p99() time.Duration {
	slices.Sort(r.took)
	if len(r.took) == 0 {
		return 0
	}
	return r.took[len(r.took)*99/100]
}

// While the far end is slow a law that follows it must waste less than a fixed window, answer
// sooner and serve more; before and after it may cost next to nothing.
func TestAFarEndThatSlowsToATenth(t *testing.T) {
	var of [3][3]result
	for i, law := range []string{Fixed, AIMD, Gradient} {
		of[i], _ = far{law: law, load: 0.8, part: 0.31, queue: 1000, slow: 10, workers: workers, least: 16, forSecond: 0.5}.play(7)
	}
	for i, law := range []string{Fixed, AIMD, Gradient} {
		for third := range 3 {
			r, fixed := &of[i][third], &of[0][third]
			if law != AIMD && third != 1 && r.worth/r.worthAsked < fixed.worth/fixed.worthAsked-0.03 { // AIMD comes back slowly
				t.Errorf("%s, third %d: worth %.3f, with a fixed window %.3f", law, third, r.worth/r.worthAsked, fixed.worth/fixed.worthAsked)
			}
		}
		r, fixed := &of[i][1], &of[0][1]
		if i > 0 && (r.overdue > fixed.overdue*0.6 || r.wasted > fixed.wasted*0.9) {
			t.Errorf("%s: %.0f overdue and %.0f s wasted, with a fixed window %.0f and %.0f", law, r.overdue, r.wasted, fixed.overdue, fixed.wasted)
		}
	}
}

func TestMeasureLaws(t *testing.T) {
	if !*measure {
		t.Skip("no measure is asked for")
	}
	for _, load := range []float64{0.5, 0.8, 1.1} {
		for _, how := range []struct {
			slow    float64
			workers int
		}{{3, workers}, {10, workers}, {1, workers / 10}} {
			for _, queue := range []int{96, 1000} {
				fmt.Printf("\nload %.1f, work takes %.0f times as long, %d of %d workers, the far end's queue %d; five seeds\n\n", load, how.slow, how.workers, workers, queue)
				fmt.Println("| law | least | before: worth | slow: worth | in time, late, refused, overdue | wasted of worked | 99 % | window | after: worth | back after |")
				fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
				for _, l := range []struct {
					law   string
					least int
				}{{Fixed, 0}, {AIMD, 16}, {AIMD, 8}, {Gradient, 16}, {Gradient, 8}} {
					var sum [3]result
					var back time.Duration
					for seed := range uint64(5) {
						r, b := far{law: l.law, load: load, part: 0.31, queue: queue, slow: how.slow, workers: how.workers, least: l.least, forSecond: 0.5}.play(seed + 1)
						back += b / 5
						for i := range r {
							sum[i].asked += r[i].asked
							sum[i].inTime += r[i].inTime
							sum[i].late += r[i].late
							sum[i].refused += r[i].refused
							sum[i].overdue += r[i].overdue
							sum[i].worth += r[i].worth
							sum[i].worthAsked += r[i].worthAsked
							sum[i].wasted += r[i].wasted
							sum[i].worked += r[i].worked
							sum[i].window += r[i].window
							sum[i].took = append(sum[i].took, r[i].took...)
						}
					}
					s := &sum[1]
					fmt.Printf("| %s | %d | %.3f | %.3f | %.0f, %.0f, %.0f, %.0f %% | %.0f %% | %v | %.0f | %.3f | %v |\n", l.law, l.least,
						sum[0].worth/sum[0].worthAsked, s.worth/s.worthAsked, 100*s.inTime/s.asked, 100*s.late/s.asked, 100*s.refused/s.asked, 100*s.overdue/s.asked,
						100*s.wasted/s.worked, s.p99().Round(time.Millisecond), s.window/s.asked, sum[2].worth/sum[2].worthAsked, back)
				}
			}
		}
	}
}
