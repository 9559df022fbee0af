// Package measure computes the metrics of a play: worth, latencies, needless failures, wasted work, load
// per server, recovery after events, and violations of the four rules with the history of the request.
// A Recorder belongs to one goroutine at a time; a play over sockets guards it by a lock. Times are in
// milliseconds since the start of the play.
package measure

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"molepaddle/internal/rig/lab/law"
	"molepaddle/internal/rig/scenario"
)

// Outcome is the final state of a client's request.
type Outcome uint8

// Outcomes of a request.
const (
	Open Outcome = iota
	Served
	Refused
	Failed
	Lost // no answer while the agent ran
	Gone // the client left, or its agent was killed
)

func (o Outcome) String() string {
	return [...]string{"open", "served", "refused", "failed", "lost", "gone"}[o]
}

// Run is one start of work on a request by a server.
type Run struct {
	At     float64
	Server string
}

// Step is one entry in a request's history.
type Step struct {
	At     float64
	What   string
	Server string
}

// Request is one request of a client to its agent; a client retry is another one.
type Request struct {
	ID       string
	Ask      int // index into the plan
	Class    int
	At       float64
	Deadline float64
	Outcome  Outcome
	Ended    float64
	Attempts int
	Out      int
	Runs     []Run
	Steps    []Step
}

// Note appends a step to the history, which keeps 64 at most.
func (t *Request) Note(at float64, what, server string) {
	if len(t.Steps) < 64 {
		t.Steps = append(t.Steps, Step{at, what, server})
	}
}

// History returns all steps in one line.
func (t *Request) History() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s of request %d: asked at %.1f ms, given up at %.1f", t.ID, t.Ask, t.At, t.Deadline)
	for _, s := range t.Steps {
		fmt.Fprintf(&b, "; %.1f %s", s.At, s.What)
		if s.Server != "" {
			b.WriteString(" " + s.Server)
		}
	}
	return b.String()
}

// Violation is a violated rule.
type Violation struct {
	At    float64 `json:"at_ms"`
	Rule  string  `json:"rule"`
	Story string  `json:"story"`
}

// endSlack is how long after a request's end work on it may still start, in ms: the server learns of the
// end with a delay.
const endSlack = 50.0

// maxViolations limits the violations that are kept with their history; all are counted.
const maxViolations = 20

// Latency summarizes the latency of served requests from their intended start, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Max   float64 `json:"max"`
	// Curve is the latency at increasing quantiles: pairs of the share of requests and ms.
	Curve [][2]float64 `json:"curve,omitempty"`
}

// Class contains the metrics of a class.
type Class struct {
	Name    string  `json:"name"`
	Worth   float64 `json:"worth"` // share of what was asked
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	InTime  int     `json:"in_time"`
	Latency Latency `json:"latency_ms"`
}

// Server contains the metrics of a server.
type Server struct {
	Name string    `json:"name"`
	Kind string    `json:"kind"`
	Zone string    `json:"zone"`
	Work float64   `json:"work"` // utilization of its capacity
	Peak float64   `json:"peak"` // maximum load while cold, over the load at which it collapses
	Fell bool      `json:"fell,omitempty"`
	Busy []float64 `json:"busy"` // share of busy slots, by bucket
}

// Recovery describes the effect of a timeline event on worth.
type Recovery struct {
	At     float64 `json:"at_ms"`
	Kind   string  `json:"kind"`
	Before float64 `json:"worth_before"`
	Lowest float64 `json:"worth_lowest"` // lowest value until it is back
	After  float64 `json:"recovered_ms"` // until worth is back within 0.02 of before; below 0: not until the end
}

// Agent contains the resource usage of an agent process.
type Agent struct {
	MemoryMB   float64 `json:"memory_mb"`
	CPU        float64 `json:"cpu"` // cores
	Goroutines int     `json:"goroutines,omitempty"`
}

// Result contains the metrics of a play.
type Result struct {
	Worth    float64 `json:"worth"` // share of what was asked
	Asked    int     `json:"asked"`
	Served   int     `json:"served"`
	Refused  int     `json:"refused"`
	Failed   int     `json:"failed"`
	Lost     int     `json:"lost"`
	Gone     int     `json:"gone"`
	Tries    int     `json:"tries"`
	Attempts int     `json:"attempts"`
	Needless int     `json:"needless"` // refused or failed although an idle, warm server could have served it
	Retries  float64 `json:"retries"`  // attempts beyond the first, as a share of tries
	Waste    float64 `json:"waste"`    // share of the work that did not lead to an answer in time
	Begun    int     `json:"begun"`    // starts of work by servers
	Repeated int     `json:"repeated"` // of these, on a request that a server had started before
	// AfterEnd counts starts of work on a request that had ended for its client more than 50 ms before:
	// the client had left or had its answer.
	AfterEnd     int         `json:"after_end"`
	Cross        float64     `json:"cross"`     // share of attempts to another zone
	Imbalance    float64     `json:"imbalance"` // highest utilization of a server over the mean
	Connects     int         `json:"connects"`
	OpenMost     int         `json:"open_most"` // maximum number of open connections of a server
	Questions    int         `json:"questions"` // requests to the roster
	Classes      []Class     `json:"classes"`
	Servers      []Server    `json:"servers"`
	Agents       []Agent     `json:"agents,omitempty"`
	Recovered    []Recovery  `json:"recovered,omitempty"`
	Breaches     int         `json:"breaches"`
	Broken       []Violation `json:"broken,omitempty"`
	BucketMs     float64     `json:"bucket_ms"`
	Series       []float64   `json:"series"`           // worth by bucket of the request's intended start
	Events       int64       `json:"events,omitempty"` // simulation events
	EventsPerS   float64     `json:"events_per_s,omitempty"`
	LateP99      float64     `json:"late_p99_ms,omitempty"`   // delay of the load generator
	GeneratorCPU float64     `json:"generator_cpu,omitempty"` // cores of the lab process
	Void         string      `json:"void,omitempty"`          // reason for which the play does not count
}

// Recorder collects the metrics during a play.
type Recorder struct {
	s                *scenario.Scenario
	plan             []law.Request
	hists            []*hdrhistogram.Histogram
	class            []Class
	earnedByClass    []float64 // worth earned, by class
	possibleByClass  []float64 // worth of all requests, by class
	bucket           float64
	earnedByBucket   []float64
	possibleByBucket []float64
	served           []bool // by index in the plan
	warmup           float64
	res              Result
	useful           float64
	work             float64
}

// Buckets is the number of time intervals into which a long play is divided.
const Buckets = 240

// New returns a recorder for a play.
func New(s *scenario.Scenario, plan []law.Request) *Recorder {
	r := &Recorder{s: s, plan: plan, bucket: max(s.Length.Ms()/Buckets, 250), warmup: s.Warmup.Ms(), served: make([]bool, len(plan))}
	n := int(math.Ceil(s.Length.Ms()/r.bucket)) + 1
	r.earnedByBucket, r.possibleByBucket = make([]float64, n), make([]float64, n)
	for _, c := range s.Classes {
		r.hists = append(r.hists, hdrhistogram.New(1, int64(2*c.GiveUp.Ms()*1000)+1000, 3))
		r.class = append(r.class, Class{Name: c.Name})
	}
	r.earnedByClass, r.possibleByClass = make([]float64, len(s.Classes)), make([]float64, len(s.Classes))
	for i := range plan {
		a := &plan[i]
		if a.At >= r.warmup && a.LeavesAfter == 0 {
			w := s.Classes[a.Class].Worth
			r.class[a.Class].Asked++
			r.possibleByClass[a.Class] += w
			r.possibleByBucket[int(a.At/r.bucket)] += w
		}
	}
	return r
}

// Bucket returns the length of a bucket in milliseconds.
func (r *Recorder) Bucket() float64 { return r.bucket }

// RequestStarted records that a client sends a request.
func (r *Recorder) RequestStarted(t *Request) { r.res.Tries++ }

// AttemptSent records an attempt that the agent sends. told is the time from which the agent knew that
// the server was not ready; below 0: the server is ready.
func (r *Recorder) AttemptSent(t *Request, now, told float64, server string, crosses bool) {
	t.Attempts++
	t.Out++
	r.res.Attempts++
	if t.Attempts > 1 {
		r.res.Retries++
	}
	if crosses {
		r.res.Cross++
	}
	t.Note(now, "sent to", server)
	switch {
	case t.Out > 1:
		r.RecordViolation(now, "two attempts at once", t)
	case t.Attempts > r.s.Limits.Attempts:
		r.RecordViolation(now, "more attempts than allowed", t)
	case t.Outcome != Open:
		r.RecordViolation(now, "an attempt after the final answer", t)
	}
	if told >= 0 && now-told > r.s.Rules.DrainGrace.Ms() {
		r.RecordViolation(now, "a send after a drain", t)
	}
}

// AttemptEnded records that an attempt is no longer in flight.
func (r *Recorder) AttemptEnded(t *Request) { t.Out-- }

// WorkStarted records that a server starts to work on a request.
func (r *Recorder) WorkStarted(t *Request, now float64, server string) {
	c := &r.s.Classes[t.Class]
	t.Note(now, "begun by", server)
	r.res.Begun++
	if t.Outcome != Open && now-t.Ended > endSlack {
		r.res.AfterEnd++
	}
	if len(t.Runs) > 0 {
		r.res.Repeated++
		switch {
		case c.Effect == "unsafe":
			r.RecordViolation(now, "an effect twice", t)
		case c.Effect == "keyed" && now-t.Runs[0].At > c.KeyWindow.Ms():
			r.RecordViolation(now, "a keyed repeat after its window", t)
		}
	}
	t.Runs = append(t.Runs, Run{now, server})
}

// AddWork adds work that was done, in milliseconds on a core of speed 1.
func (r *Recorder) AddWork(ms float64) { r.work += ms }

// RequestEnded records the final outcome of a request. needless reports that it was refused or failed
// although an idle server could have served it.
func (r *Recorder) RequestEnded(t *Request, now float64, o Outcome, needless bool) {
	if t.Outcome != Open {
		if o != Gone {
			r.RecordViolation(now, "two final answers", t)
		}
		return
	}
	t.Outcome, t.Ended = o, now
	t.Note(now, o.String(), "")
	a := &r.plan[t.Ask]
	counts := a.At >= r.warmup && a.LeavesAfter == 0
	c := &r.s.Classes[t.Class]
	switch o {
	case Served:
		r.res.Served++
		if r.served[t.Ask] {
			return
		}
		r.served[t.Ask] = true
		took := now - a.At
		worth := 0.0
		if took <= c.Aim.Ms() {
			worth = 1
		} else if took <= float64(a.Patience) {
			worth = c.LateWorth
		}
		if worth > 0 {
			r.useful += float64(a.Work)
		}
		if counts {
			k := &r.class[t.Class]
			k.Served++
			if worth == 1 {
				k.InTime++
			}
			r.earnedByClass[t.Class] += worth * c.Worth
			r.earnedByBucket[int(a.At/r.bucket)] += worth * c.Worth
			_ = r.hists[t.Class].RecordValue(min(max(int64(took*1000), 1), r.hists[t.Class].HighestTrackableValue()))
		}
	case Refused:
		r.res.Refused++
	case Failed:
		r.res.Failed++
	case Lost:
		r.res.Lost++
		r.RecordViolation(now, "a request lost", t)
	case Gone:
		r.res.Gone++
	}
	if needless && counts {
		r.res.Needless++
	}
}

// RecordViolation records a violated rule.
func (r *Recorder) RecordViolation(now float64, rule string, t *Request) {
	r.res.Breaches++
	if len(r.res.Broken) < maxViolations {
		b := Violation{At: now, Rule: rule}
		if t != nil {
			b.Story = t.History()
		}
		r.res.Broken = append(r.res.Broken, b)
	}
}

// ServerCollapsed records that a cold server collapsed under too much work.
func (r *Recorder) ServerCollapsed(now float64, server string) {
	r.RecordViolation(now, "a cold server pushed over: "+server, nil)
}

// Result computes the result. It first calls add, in which the caller fills in the servers and its own
// counters.
func (r *Recorder) Result(add func(*Result)) *Result {
	res := &r.res
	add(res)
	won, of := 0.0, 0.0
	for i := range r.class {
		c := &r.class[i]
		if r.possibleByClass[i] > 0 {
			c.Worth = r.earnedByClass[i] / r.possibleByClass[i]
		}
		c.Latency = latency(r.hists[i])
		won, of = won+r.earnedByClass[i], of+r.possibleByClass[i]
		res.Asked += c.Asked
	}
	if of > 0 {
		res.Worth = won / of
	}
	if res.Tries > 0 {
		res.Retries /= float64(res.Tries)
	}
	if res.Attempts > 0 {
		res.Cross /= float64(res.Attempts)
	}
	if r.work > 0 {
		res.Waste = max(1-r.useful/r.work, 0)
	}
	res.Classes, res.BucketMs = r.class, r.bucket
	for i := range r.earnedByBucket {
		x := math.NaN()
		if r.possibleByBucket[i] > 0 {
			x = r.earnedByBucket[i] / r.possibleByBucket[i]
		} else if i > 0 {
			x = res.Series[i-1]
		}
		if math.IsNaN(x) {
			x = 1 // no requests yet
		}
		res.Series = append(res.Series, x)
	}
	res.Recovered = r.recovered(res.Series)
	sum, most, n := 0.0, 0.0, 0
	for _, s := range res.Servers {
		sum, most, n = sum+s.Work, max(most, s.Work), n+1
	}
	if sum > 0 {
		res.Imbalance = most / (sum / float64(n))
	}
	return res
}

func latency(h *hdrhistogram.Histogram) Latency {
	l := Latency{Count: h.TotalCount()}
	if l.Count == 0 {
		return l
	}
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	l.Mean, l.Max = h.Mean()/1000, float64(h.Max())/1000
	l.P50, l.P90, l.P99, l.P999 = at(50), at(90), at(99), at(99.9)
	for _, q := range []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 97, 98, 99, 99.5, 99.9, 99.99} {
		if float64(l.Count)*(100-q) >= 100 { // at least one request is beyond
			l.Curve = append(l.Curve, [2]float64{q / 100, at(q)})
		}
	}
	return l
}

// recoveryTolerance is how close to its previous value worth must be to count as recovered.
const recoveryTolerance = 0.02

// recovered returns for each event the time until worth was back within 0.02 of its mean in the five
// seconds before, for at least one second. Worth is smoothed over a second.
func (r *Recorder) recovered(series []float64) (all []Recovery) {
	per := max(int(1000/r.bucket), 1)
	smooth := func(i int) float64 {
		won, of := 0.0, 0.0
		for j := max(i-per+1, 0); j <= i; j++ {
			won, of = won+r.earnedByBucket[j], of+r.possibleByBucket[j]
		}
		if of == 0 {
			return series[i]
		}
		return won / of
	}
	for i := range r.s.Events {
		e := &r.s.Events[i]
		at := int(e.At.Ms() / r.bucket)
		from := max(at-5*per, int(r.warmup/r.bucket))
		if at <= from || at >= len(series)-1 {
			continue
		}
		won, of := 0.0, 0.0
		for j := from; j < at; j++ {
			won, of = won+r.earnedByBucket[j], of+r.possibleByBucket[j]
		}
		if of == 0 {
			continue
		}
		rec := Recovery{At: e.At.Ms(), Kind: e.Kind, Before: won / of, Lowest: 1, After: -1}
		good, last, felt := 0, len(series)-1, false // the last bucket is incomplete
		for j := at; j < last; j++ {
			x := smooth(j)
			if j >= at+per-1 {
				rec.Lowest = min(rec.Lowest, x)
			}
			if x >= rec.Before-recoveryTolerance {
				if good++; good >= per && rec.After < 0 && j >= at+2*per {
					rec.After = max(float64(j-good+1)*r.bucket-rec.At, 0)
					break
				}
			} else {
				good, felt = 0, true
			}
		}
		if !felt {
			rec.After = 0
		}
		all = append(all, rec)
	}
	return all
}

// SortedServers returns the servers by zone and kind, for plots.
func (r *Result) SortedServers() []Server {
	all := slices.Clone(r.Servers)
	slices.SortStableFunc(all, func(a, b Server) int {
		if c := strings.Compare(a.Zone, b.Zone); c != 0 {
			return c
		}
		return strings.Compare(a.Kind, b.Kind)
	})
	return all
}

// WorstP99 returns the 99th percentile of the latency of the class in which it is highest, in
// milliseconds.
func (r *Result) WorstP99() (most float64) {
	for _, c := range r.Classes {
		most = max(most, c.Latency.P99)
	}
	return most
}
