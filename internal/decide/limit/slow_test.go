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

var measure = flag.Bool("limit.measure", false, "print how each algorithm copes with a peer that slows down tenfold")

// peerModel simulates a peer in virtual time: workers behind a queue, and a network with a fixed
// delay. Requests arrive at random, in two classes. Each is cancelled after its client's time-out, and
// work on it ends then.
type peerModel struct {
	law         string
	totalLoad   float64 // fraction of the peer's capacity
	secondLoad  float64 // fraction of the load that belongs to the second class
	queueLimit  int     // requests that the peer queues; more are rejected
	slowFactor  float64 // factor of the service time from slowAt to slowEnd
	slowWorkers int     // number of workers meanwhile
	minWindow   int
	secondShare float64 // guaranteed share of the second class
}

const (
	workers     = 48
	oneWayDelay = 8 * time.Millisecond
	slowAt      = 20 * time.Second
	slowEnd     = 40 * time.Second
	end         = 60 * time.Second
	bucket      = time.Second
)

var (
	latencyTarget = [2]time.Duration{300 * time.Millisecond, 500 * time.Millisecond}
	clientTimeout = [2]time.Duration{600 * time.Millisecond, 1200 * time.Millisecond}
	classValue    = [2]float64{2, 5}
	serviceTime   = [2]float64{0.051, 0.076} // mean, in seconds
)

// phaseResult holds the counts of one of three phases: before, during and after the slowdown.
type phaseResult struct {
	requests, inTime, late, rejected, timedOut float64
	valueAsked, valueInTime                    float64
	secondRequests, secondInTime               float64
	wastedSeconds, workedSeconds               float64 // service time spent in vain, and in total
	latencies                                  []time.Duration
	windowSum                                  float64
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simEventQueue []simEvent

func (h simEventQueue) Len() int { return len(h) }
func (h simEventQueue) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simEventQueue) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEventQueue) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEventQueue) Pop() any     { x := (*h)[len(*h)-1]; *h = (*h)[:len(*h)-1]; return x }

// simulate simulates a minute. It returns the results of its phases, and how long after the end of the
// slowdown the value served in time is back within 2 % of before.
func (p peerModel) simulate(seed uint64) (phases [3]phaseResult, recovery time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	l, err := New(Options{Law: p.law, InitialWindow: 64, MinWindow: p.minWindow, MaxWindow: 1024,
		Classes: []Class{{1 - p.secondShare}, {p.secondShare}}})
	if err != nil {
		panic(err)
	}
	var events simEventQueue
	count := 0
	after := func(at time.Duration, run func()) { count++; heap.Push(&events, simEvent{at, count, run}) }
	now, busy := time.Duration(0), 0
	var queue []func()
	activeWorkers := func() int {
		if now >= slowAt && now < slowEnd {
			return p.slowWorkers
		}
		return workers
	}
	next := func() {
		busy--
		for busy < activeWorkers() && len(queue) > 0 {
			q := queue[0]
			queue = queue[1:]
			q()
		}
	}
	mean := serviceTime[0]*(1-p.secondLoad) + serviceTime[1]*p.secondLoad
	rate := p.totalLoad * workers / mean
	var perSecond [60]struct{ asked, won float64 }
	sendRequest := func() {
		c := 0
		if rng.Float64() < p.secondLoad {
			c = 1
		}
		r, at := &phases[min(int(now/slowAt), 2)], now
		second := &perSecond[min(int(now/bucket), 59)]
		r.requests++
		r.valueAsked += classValue[c]
		second.asked += classValue[c]
		if c == 1 {
			r.secondRequests++
		}
		r.windowSum += l.window
		if !l.Acquire(c, 0) {
			r.rejected++
			return
		}
		over := false
		done := func(res Result) {
			if over {
				return
			}
			over = true
			took := now - at
			l.Release(c, 0, now, took, res)
			switch {
			case res == Rejected:
				r.rejected++
			case res == TimedOut:
				r.timedOut++
			case took > latencyTarget[c]:
				r.late++
			default:
				r.inTime++
				r.valueInTime += classValue[c]
				second.won += classValue[c]
				if c == 1 {
					r.secondInTime++
				}
			}
			if res == Answered {
				r.latencies = append(r.latencies, took)
			}
		}
		after(at+clientTimeout[c], func() { done(TimedOut) })
		seconds := serviceTime[c] * math.Exp(0.3*rng.NormFloat64()-0.045)
		begin := func() {
			busy++
			if over || now >= at+clientTimeout[c]-oneWayDelay {
				next()
				return
			}
			took := time.Duration(seconds * float64(time.Second))
			if now >= slowAt && now < slowEnd {
				took = time.Duration(float64(took) * p.slowFactor)
			}
			if remaining := at + clientTimeout[c] - oneWayDelay - now; took > remaining { // the client gives up first
				r.workedSeconds += remaining.Seconds()
				r.wastedSeconds += remaining.Seconds()
				after(now+remaining, next)
				return
			}
			r.workedSeconds += took.Seconds()
			after(now+took, func() {
				next()
				after(now+oneWayDelay, func() { done(Answered) })
			})
		}
		after(at+oneWayDelay, func() {
			switch {
			case busy < activeWorkers():
				begin()
			case len(queue) >= p.queueLimit:
				after(now+oneWayDelay, func() { done(Rejected) })
			default:
				queue = append(queue, begin)
			}
		})
	}
	var arrive func()
	arrive = func() {
		sendRequest()
		if at := now + time.Duration(rng.ExpFloat64()/rate*float64(time.Second)); at < end {
			after(at, arrive)
		}
	}
	after(0, arrive)
	for len(events) > 0 {
		h := heap.Pop(&events).(simEvent)
		now = h.at
		h.run()
	}
	before := phases[0].valueInTime / phases[0].valueAsked
	recovery = end
	for s := int(slowEnd / time.Second); s < 60; s++ {
		if perSecond[s].won >= perSecond[s].asked*(before-0.02) {
			recovery = time.Duration(s)*time.Second - slowEnd
			break
		}
	}
	return phases, recovery
}

func (r *phaseResult) p99() time.Duration {
	slices.Sort(r.latencies)
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[len(r.latencies)*99/100]
}

// During the slowdown an adaptive algorithm wastes less work than a fixed window and has fewer
// time-outs; before and after it the cost is small.
func TestPeerSlowsDownTenfold(t *testing.T) {
	var of [3][3]phaseResult
	for i, law := range []string{Fixed, AIMD, Gradient} {
		of[i], _ = peerModel{law: law, totalLoad: 0.8, secondLoad: 0.31, queueLimit: 1000, slowFactor: 10,
			slowWorkers: workers, minWindow: 16, secondShare: 0.5}.simulate(7)
	}
	for i, law := range []string{Fixed, AIMD, Gradient} {
		for third := range 3 {
			r, fixed := &of[i][third], &of[0][third]
			// AIMD recovers slowly, so it is checked only during the slowdown.
			if law != AIMD && third != 1 && r.valueInTime/r.valueAsked < fixed.valueInTime/fixed.valueAsked-0.03 {
				t.Errorf("%s, phase %d: value %.3f, with a fixed window %.3f", law, third, r.valueInTime/r.valueAsked,
					fixed.valueInTime/fixed.valueAsked)
			}
		}
		r, fixed := &of[i][1], &of[0][1]
		if i > 0 && (r.timedOut > fixed.timedOut*0.6 || r.wastedSeconds > fixed.wastedSeconds*0.9) {
			t.Errorf("%s: %.0f time-outs and %.0f s wasted, with a fixed window %.0f and %.0f", law, r.timedOut,
				r.wastedSeconds, fixed.timedOut, fixed.wastedSeconds)
		}
	}
}

func TestMeasureLaws(t *testing.T) {
	if !*measure {
		t.Skip("needs -limit.measure")
	}
	for _, load := range []float64{0.5, 0.8, 1.1} {
		for _, how := range []struct {
			slow    float64
			workers int
		}{{3, workers}, {10, workers}, {1, workers / 10}} {
			for _, queue := range []int{96, 1000} {
				fmt.Printf("\nload %.1f, service time times %.0f, %d of %d workers, queue limit %d; five seeds\n\n",
					load, how.slow, how.workers, workers, queue)
				fmt.Println("| algorithm | min window | before: value | slow: value | in time, late, rejected, timed out | wasted work | p99 | window | after: value | recovery |")
				fmt.Println("|---|---|---|---|---|---|---|---|---|---|")
				for _, l := range []struct {
					law   string
					least int
				}{{Fixed, 0}, {AIMD, 16}, {AIMD, 8}, {Gradient, 16}, {Gradient, 8}} {
					var sum [3]phaseResult
					var back time.Duration
					for seed := range uint64(5) {
						r, b := peerModel{law: l.law, totalLoad: load, secondLoad: 0.31, queueLimit: queue,
							slowFactor: how.slow, slowWorkers: how.workers, minWindow: l.least,
							secondShare: 0.5}.simulate(seed + 1)
						back += b / 5
						for i := range r {
							sum[i].requests += r[i].requests
							sum[i].inTime += r[i].inTime
							sum[i].late += r[i].late
							sum[i].rejected += r[i].rejected
							sum[i].timedOut += r[i].timedOut
							sum[i].valueInTime += r[i].valueInTime
							sum[i].valueAsked += r[i].valueAsked
							sum[i].wastedSeconds += r[i].wastedSeconds
							sum[i].workedSeconds += r[i].workedSeconds
							sum[i].windowSum += r[i].windowSum
							sum[i].latencies = append(sum[i].latencies, r[i].latencies...)
						}
					}
					s := &sum[1]
					fmt.Printf("| %s | %d | %.3f | %.3f | %.0f, %.0f, %.0f, %.0f %% | %.0f %% | %v | %.0f | %.3f | %v |\n", l.law, l.least,
						sum[0].valueInTime/sum[0].valueAsked, s.valueInTime/s.valueAsked, 100*s.inTime/s.requests,
						100*s.late/s.requests, 100*s.rejected/s.requests, 100*s.timedOut/s.requests,
						100*s.wastedSeconds/s.workedSeconds, s.p99().Round(time.Millisecond), s.windowSum/s.requests,
						sum[2].valueInTime/sum[2].valueAsked, back)
				}
			}
		}
	}
}
