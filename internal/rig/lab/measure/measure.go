// Package measure counts what a play comes to: worth, latencies, needless failures, wasted work,
// load per server, recovery after events, breaches of the four rules with their stories. A
// Recorder belongs to one goroutine at a time; whoever plays over sockets guards it by a lock.
// Times are in milliseconds since the start of the play.
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

// Outcome is what became of one try of a client.
type Outcome uint8

// The outcomes.
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

// Run is one beginning of work on a request.
type Run struct {
	At     float64
	Server string
}

// Step is one thing that happened to a try, for its story.
type Step struct {
	At     float64
	What   string
	Server string
}

// Try is one sending of a request by a client to its agent.
type Try struct {
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

// Note adds a step to the story.
func (t *Try) Note(at float64, what, server string) {
	if len(t.Steps) < 64 {
		t.Steps = append(t.Steps, Step{at, what, server})
	}
}

// Story tells all steps in one line.
func (t *Try) Story() string {
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

// Breach is a broken rule.
type Breach struct {
	At    float64 `json:"at_ms"`
	Rule  string  `json:"rule"`
	Story string  `json:"story"`
}

// endSlack is how long after a try's end work on it may still begin, in ms: the end was on its way.
const endSlack = 50.0

// maxBreaches bounds the stories that are kept; all are counted.
const maxBreaches = 20

// Latency is of served requests from their intended start, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99_9"`
	Max   float64 `json:"max"`
	// Curve is the latency at growing shares of the requests: pairs of share and ms.
	Curve [][2]float64 `json:"curve,omitempty"`
}

// Class is what a class came to.
type Class struct {
	Name    string  `json:"name"`
	Worth   float64 `json:"worth"` // share of what was asked
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	InTime  int     `json:"in_time"`
	Latency Latency `json:"latency_ms"`
}

// Server is what a server came to.
type Server struct {
	Name string    `json:"name"`
	Kind string    `json:"kind"`
	Zone string    `json:"zone"`
	Work float64   `json:"work"` // share of its capacity that was used
	Peak float64   `json:"peak"` // most that came while it was cold, over what pushes it over
	Fell bool      `json:"fell,omitempty"`
	Busy []float64 `json:"busy"` // share of its slots, by bucket
}

// Recovery is how long an event of the timeline was felt.
type Recovery struct {
	At     float64 `json:"at_ms"`
	Kind   string  `json:"kind"`
	Before float64 `json:"worth_before"`
	Lowest float64 `json:"worth_lowest"` // in one bucket, until the next event
	After  float64 `json:"recovered_ms"` // until worth is back within 0.02 of before; below 0: not until the end
}

// Agent is what one agent process took.
type Agent struct {
	MemoryMB   float64 `json:"memory_mb"`
	CPU        float64 `json:"cpu"` // cores
	Goroutines int     `json:"goroutines,omitempty"`
}

// Result is what a play came to.
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
	Needless int     `json:"needless"` // refused or failed though a warm server stood idle that could do it
	Retries  float64 `json:"retries"`  // attempts beyond the first, as a share of tries
	Waste    float64 `json:"waste"`    // share of the work done that served nobody in time
	Begun    int     `json:"begun"`    // pieces of work that servers began
	Repeated int     `json:"repeated"` // of them, those of a try that one had begun before
	// AfterEnd is those of a try that had ended for its client more than 50 ms before: it had left,
	// or had its answer.
	AfterEnd     int        `json:"after_end"`
	Cross        float64    `json:"cross"`     // share of attempts that crossed zones
	Imbalance    float64    `json:"imbalance"` // the most loaded server's share of its capacity over the mean
	Connects     int        `json:"connects"`
	OpenMost     int        `json:"open_most"` // connections to the server with the most
	Questions    int        `json:"questions"` // to the roster
	Classes      []Class    `json:"classes"`
	Servers      []Server   `json:"servers"`
	Agents       []Agent    `json:"agents,omitempty"`
	Recovered    []Recovery `json:"recovered,omitempty"`
	Breaches     int        `json:"breaches"`
	Broken       []Breach   `json:"broken,omitempty"`
	BucketMs     float64    `json:"bucket_ms"`
	Series       []float64  `json:"series"`           // worth by bucket of when it was asked
	Events       int64      `json:"events,omitempty"` // of the model
	EventsPerS   float64    `json:"events_per_s,omitempty"`
	LateP99      float64    `json:"late_p99_ms,omitempty"`   // of the generator
	GeneratorCPU float64    `json:"generator_cpu,omitempty"` // cores of the lab process
	Void         string     `json:"void,omitempty"`          // why the run does not count
}

// Recorder gathers what happens.
type Recorder struct {
	s      *scenario.Scenario
	plan   []law.Ask
	hists  []*hdrhistogram.Histogram
	class  []Class
	got    []float64 // worth won by class
	of     []float64 // and asked
	bucket float64
	won    []float64
	asked  []float64
	served []bool // by ask
	warmup float64
	res    Result
	useful float64
	work   float64
}

// Buckets is how many parts a play is cut into.
const Buckets = 240

// New makes a recorder of a play.
func New(s *scenario.Scenario, plan []law.Ask) *Recorder {
	r := &Recorder{s: s, plan: plan, bucket: max(s.Length.Ms()/Buckets, 250), warmup: s.Warmup.Ms(), served: make([]bool, len(plan))}
	n := int(math.Ceil(s.Length.Ms()/r.bucket)) + 1
	r.won, r.asked = make([]float64, n), make([]float64, n)
	for _, c := range s.Classes {
		r.hists = append(r.hists, hdrhistogram.New(1, int64(2*c.GiveUp.Ms()*1000)+1000, 3))
		r.class = append(r.class, Class{Name: c.Name})
	}
	r.got, r.of = make([]float64, len(s.Classes)), make([]float64, len(s.Classes))
	for i := range plan {
		a := &plan[i]
		if a.At >= r.warmup && a.Leaves == 0 {
			w := s.Classes[a.Class].Worth
			r.class[a.Class].Asked++
			r.of[a.Class] += w
			r.asked[int(a.At/r.bucket)] += w
		}
	}
	return r
}

// Bucket is the length of one, in milliseconds.
func (r *Recorder) Bucket() float64 { return r.bucket }

// Start notes that a client asks.
func (r *Recorder) Start(t *Try) { r.res.Tries++ }

// Sent notes an attempt as the agent sends it. told is since when the agent knew that the server
// wants nothing new; below 0: it does.
func (r *Recorder) Sent(t *Try, now, told float64, server string, crosses bool) {
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
		r.Breach(now, "two attempts at once", t)
	case t.Attempts > r.s.Limits.Attempts:
		r.Breach(now, "more attempts than allowed", t)
	case t.Outcome != Open:
		r.Breach(now, "an attempt after the final answer", t)
	}
	if told >= 0 && now-told > r.s.Rules.DrainGrace.Ms() {
		r.Breach(now, "a send after a drain", t)
	}
}

// Over notes that an attempt is out no more.
func (r *Recorder) Over(t *Try) { t.Out-- }

// Begun notes that a server begins to work on a try.
func (r *Recorder) Begun(t *Try, now float64, server string) {
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
			r.Breach(now, "an effect twice", t)
		case c.Effect == "keyed" && now-t.Runs[0].At > c.KeyWindow.Ms():
			r.Breach(now, "a keyed repeat after its window", t)
		}
	}
	t.Runs = append(t.Runs, Run{now, server})
}

// Worked notes work that was done, on a core of speed 1.
func (r *Recorder) Worked(ms float64) { r.work += ms }

// End notes the final answer of a try, or that there is none. needless says that it was refused
// or failed though a server stood idle that could do it. work is that of the request.
func (r *Recorder) End(t *Try, now float64, o Outcome, needless bool) {
	if t.Outcome != Open {
		if o != Gone {
			r.Breach(now, "two final answers", t)
		}
		return
	}
	t.Outcome, t.Ended = o, now
	t.Note(now, o.String(), "")
	a := &r.plan[t.Ask]
	counts := a.At >= r.warmup && a.Leaves == 0
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
			r.got[t.Class] += worth * c.Worth
			r.won[int(a.At/r.bucket)] += worth * c.Worth
			_ = r.hists[t.Class].RecordValue(min(max(int64(took*1000), 1), r.hists[t.Class].HighestTrackableValue()))
		}
	case Refused:
		r.res.Refused++
	case Failed:
		r.res.Failed++
	case Lost:
		r.res.Lost++
		r.Breach(now, "a request lost", t)
	case Gone:
		r.res.Gone++
	}
	if needless && counts {
		r.res.Needless++
	}
}

// Breach notes a broken rule.
func (r *Recorder) Breach(now float64, rule string, t *Try) {
	r.res.Breaches++
	if len(r.res.Broken) < maxBreaches {
		b := Breach{At: now, Rule: rule}
		if t != nil {
			b.Story = t.Story()
		}
		r.res.Broken = append(r.res.Broken, b)
	}
}

// Fell notes that a cold server was pushed over.
func (r *Recorder) Fell(now float64, server string) {
	r.Breach(now, "a cold server pushed over: "+server, nil)
}

// Result sums up. Servers and what whoever plays counts are theirs to fill in before: add is
// called with the result to be completed.
func (r *Recorder) Result(add func(*Result)) *Result {
	res := &r.res
	add(res)
	won, of := 0.0, 0.0
	for i := range r.class {
		c := &r.class[i]
		if r.of[i] > 0 {
			c.Worth = r.got[i] / r.of[i]
		}
		c.Latency = latency(r.hists[i])
		won, of = won+r.got[i], of+r.of[i]
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
	for i := range r.won {
		x := math.NaN()
		if r.asked[i] > 0 {
			x = r.won[i] / r.asked[i]
		} else if i > 0 {
			x = res.Series[i-1]
		}
		if math.IsNaN(x) {
			x = 1 // nothing asked yet
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
		if float64(l.Count)*(100-q) >= 100 { // at least one request lies beyond
			l.Curve = append(l.Curve, [2]float64{q / 100, at(q)})
		}
	}
	return l
}

// within is how near to what it was before worth must come to count as recovered.
const within = 0.02

// recovered tells of each event how long until worth was back within 0.02 of what it was in the
// five seconds before, for a second on end. Worth is smoothed over a second.
func (r *Recorder) recovered(series []float64) (all []Recovery) {
	per := max(int(1000/r.bucket), 1)
	smooth := func(i int) float64 {
		won, of := 0.0, 0.0
		for j := max(i-per+1, 0); j <= i; j++ {
			won, of = won+r.won[j], of+r.asked[j]
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
			won, of = won+r.won[j], of+r.asked[j]
		}
		if of == 0 {
			continue
		}
		rec := Recovery{At: e.At.Ms(), Kind: e.Kind, Before: won / of, Lowest: 1, After: -1}
		good, last, felt := 0, len(series)-1, false // the last bucket is not whole
		for j := at; j < last; j++ {
			x := smooth(j)
			if j >= at+per-1 {
				rec.Lowest = min(rec.Lowest, x)
			}
			if x >= rec.Before-within {
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

// SortedServers are the servers of a result by kind and zone, for drawing.
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

// WorstP99 is the 99th percentile of the latency of the class in which it is longest: the most
// of all classes, in milliseconds.
func (r *Result) WorstP99() (most float64) {
	for _, c := range r.Classes {
		most = max(most, c.Latency.P99)
	}
	return most
}
