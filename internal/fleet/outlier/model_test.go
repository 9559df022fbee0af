package outlier

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// faultKind is the behavior of a backend of the model.
type faultKind int

const (
	healthy faultKind = iota
	returningErrors
	grey // a fraction of the requests fail
	hanging
	slowing
)

// modelFault is a fault of backends in a modelFleet. Times are in ms.
type modelFault struct {
	from, to float64
	kind     faultKind
	backends []int
	zone     string  // zone of the affected proxies; "": all
	flap     float64 // length of the alternating phases with and without the fault; 0: it is permanent
}

// on reports whether the fault is active for a proxy of a zone.
func (t *modelFault) on(now float64, backend int, zone string) bool {
	if now < t.from || now >= t.to || !slices.Contains(t.backends, backend) || t.zone != "" && t.zone != zone {
		return false
	}
	return t.flap == 0 || int((now-t.from)/t.flap)%2 == 0
}

// modelSettings configures a modelFleet.
type modelSettings struct {
	zones, proxies, backends int
	perSec                   float64 // mean number of requests per backend
	load                     float64 // factor on the duration of all answers, equal for all backends
	greyPart                 float64
	misreporting             int // number of proxies that report failures of all backends
	cut                      [2]float64
	faults                   []modelFault
	until                    float64
}

const (
	usualMs    = 20.0
	modelStep  = 20.0
	modelBound = 150.0 // maximum duration of an answer that isn't slow, ms
	slowBy     = 10
)

// modelProxy is a proxy of a modelFleet.
type modelProxy struct {
	name, zone string
	misreports bool
	recorder   *Recorder
	trials     *Trials
	reportedAt float64 // time of its last regular report
}

// modelEnd is the scheduled end of an attempt.
type modelEnd struct {
	at      float64
	proxy   *modelProxy
	attempt *Attempt
	how     Result
}

// modelFleet simulates proxies with a Recorder and Trials each, and a Detector, in virtual time.
type modelFleet struct {
	set      modelSettings
	random   *rand.Rand
	now      float64
	proxies  []*modelProxy
	detector *Detector
	ends     []modelEnd
	ejected  []distribution.Ejection
	sentAt   float64

	history []modelView
}

// modelView has the ejections in force from a time on.
type modelView struct {
	at      float64
	ejected []distribution.Ejection
}

func zoneName(i int) string    { return fmt.Sprintf("z%d", i) }
func backendName(i int) string { return fmt.Sprintf("b%02d", i) }

func newModelFleet(seed uint64, set modelSettings) *modelFleet {
	f := &modelFleet{set: set, random: rand.New(rand.NewPCG(seed, 67)), detector: NewDetector()}
	f.set.load = max(set.load, 1)
	for i := range set.proxies {
		f.proxies = append(f.proxies, &modelProxy{
			name:       fmt.Sprintf("p%d", i),
			zone:       zoneName(i % set.zones),
			misreports: i < set.misreporting,
			recorder:   NewRecorder(),
			trials:     NewTrials(f.random.ExpFloat64),
			reportedAt: -f.random.Float64() * 1000,
		})
	}
	return f
}

// run simulates the fleet until the time in its settings.
func (f *modelFleet) run() {
	for ; f.now < f.set.until; f.now += modelStep {
		f.end()
		requests := f.set.perSec * float64(f.set.backends) * modelStep / 1000
		for range int(requests + f.random.Float64()) {
			f.request()
		}
		f.report()
		if int(f.now)%100 == 0 && !f.controlPlaneDown() {
			f.stepDetector()
		}
	}
}

// controlPlaneDown reports whether the control plane is unreachable.
func (f *modelFleet) controlPlaneDown() bool { return f.now >= f.set.cut[0] && f.now < f.set.cut[1] }

// faultOf returns the behavior of a backend for the requests of a proxy in a zone.
func (f *modelFleet) faultOf(backend int, zone string) faultKind {
	for i := range f.set.faults {
		if t := &f.set.faults[i]; t.on(f.now, backend, zone) {
			return t.kind
		}
	}
	return healthy
}

// request simulates one request at a random proxy.
func (f *modelFleet) request() {
	p := f.proxies[f.random.IntN(len(f.proxies))]
	chosen := p.trials.NextTrial(f.now, Risk{Idempotent: f.random.IntN(4) == 0}, func(string) bool { return true })
	if chosen == "" {
		for tries := 0; chosen == "" || p.trials.Ejected(f.now, chosen) && tries < 100; tries++ {
			chosen = backendName(f.random.IntN(f.set.backends))
		}
	}
	var backend int
	_, _ = fmt.Sscanf(chosen, "b%d", &backend)
	took := usualMs * f.set.load * (0.5 + f.random.ExpFloat64()/2)
	how := Good
	switch kind := f.faultOf(backend, p.zone); {
	case kind == returningErrors, kind == grey && f.random.Float64() < f.set.greyPart:
		how, took = Failed, 2
	case kind == hanging:
		how, took = Failed, 2000
	case kind == slowing:
		took *= slowBy
	}
	if how == Good && took > modelBound*f.set.load {
		how = Late
		if f.random.IntN(2) == 0 {
			how = Slow // a streamed answer, whose pace is known
		}
	} else if how == Good && f.random.IntN(2) == 0 {
		how = StreamedOnPace
	}
	if p.misreports {
		how, took = Failed, 1
	}
	f.ends = append(f.ends, modelEnd{
		at:      f.now + took,
		proxy:   p,
		attempt: p.recorder.Begin(chosen, f.now+modelBound*f.set.load),
		how:     how,
	})
}

// end ends the attempts whose end is due.
func (f *modelFleet) end() {
	f.ends = slices.DeleteFunc(f.ends, func(e modelEnd) bool {
		if e.at > f.now {
			return false
		}
		if e.how != Failed {
			e.proxy.recorder.HeadersReceived(e.attempt)
		}
		e.proxy.recorder.End(e.attempt, e.how)
		return true
	})
}

// report makes proxies report: every second, or earlier if there are bad results.
func (f *modelFleet) report() {
	for _, p := range f.proxies {
		p.recorder.CountOverdue(f.now)
		all := f.now-p.reportedAt >= 1000
		if int(f.now)%100 != 0 || !all && !p.recorder.Adverse() {
			continue
		}
		if all {
			p.reportedAt = f.now
		}
		if outcomes := p.recorder.Drain(); len(outcomes) > 0 && !f.controlPlaneDown() {
			f.detector.Observe(f.now, &distribution.OutcomeReport{Proxy: p.name, Zone: p.zone, Outcomes: outcomes})
		}
	}
}

// stepDetector runs a step of the Detector and sends the ejections to the proxies.
func (f *modelFleet) stepDetector() {
	peers := make([]Peer, f.set.backends)
	for i := range peers {
		peers[i] = Peer{ID: backendName(i), Group: "g"}
	}
	ejected := f.detector.Step(f.now, peers)
	changed := !slices.Equal(ejected, f.ejected)
	if changed {
		f.history = append(f.history, modelView{at: f.now, ejected: ejected})
	}
	if changed || len(ejected) > 0 && f.now-f.sentAt >= 1000 {
		f.ejected, f.sentAt = ejected, f.now
		count := ProxyCount{All: len(f.proxies), InZone: max(len(f.proxies)/f.set.zones, 1)}
		for _, p := range f.proxies {
			p.trials.SetEjections(f.now, ejected, p.zone, count, func(string) bool { return true })
		}
	}
}

// ejectedAt returns the backends that were ejected at a time, with the zone that each ejection applies to.
func (f *modelFleet) ejectedAt(at float64) map[string]string {
	all := map[string]string{}
	for _, v := range f.history {
		if v.at > at {
			break
		}
		clear(all)
		for _, e := range v.ejected {
			all[e.Backend] = e.Zone
		}
	}
	return all
}
