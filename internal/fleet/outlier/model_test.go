package outlier

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"molepaddle/internal/fleet/distribution"
)

// illness is what a backend of the model does with requests.
type illness int

const (
	well illness = iota
	errs
	grey // part of the requests fail
	hangs
	slows
)

// trouble is one thing that goes wrong in a modelFleet. Times are in ms.
type trouble struct {
	from, to float64
	kind     illness
	backends []int
	zone     string  // only for proxies of it; "": for all
	flap     float64 // it comes and goes in this period; 0: it stays
}

// on tells whether it is going on for a proxy of a zone.
func (t *trouble) on(now float64, backend int, zone string) bool {
	if now < t.from || now >= t.to || !slices.Contains(t.backends, backend) || t.zone != "" && t.zone != zone {
		return false
	}
	return t.flap == 0 || int((now-t.from)/t.flap)%2 == 0
}

// modelSettings are a modelFleet's.
type modelSettings struct {
	zones, proxies, backends int
	perSec                   float64 // requests of a backend, on the mean
	load                     float64 // factor on the time of all answers: they are slow alike
	greyPart                 float64
	liars                    int // proxies that tell of failures everywhere
	cut                      [2]float64
	troubles                 []trouble
	until                    float64
}

const (
	usualMs    = 20.0
	modelStep  = 20.0
	modelBound = 150.0 // beyond which an answer is slow
	slowBy     = 10
)

// modelProxy is a proxy of a modelFleet.
type modelProxy struct {
	name, zone string
	lies       bool
	recorder   *Recorder
	trials     *Trials
	reportedAt float64 // when it last reported all
}

// modelEnd is an attempt that ends at a time.
type modelEnd struct {
	at      float64
	proxy   *modelProxy
	attempt *Attempt
	how     Result
}

// modelFleet plays proxies with a Recorder and Trials each, and a Detector, in virtual time.
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

// modelView is what was ejected at a time.
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
			lies:       i < set.liars,
			recorder:   NewRecorder(),
			trials:     NewTrials(f.random.ExpFloat64),
			reportedAt: -f.random.Float64() * 1000,
		})
	}
	return f
}

// run plays the fleet to its end.
func (f *modelFleet) run() {
	for ; f.now < f.set.until; f.now += modelStep {
		f.end()
		requests := f.set.perSec * float64(f.set.backends) * modelStep / 1000
		for range int(requests + f.random.Float64()) {
			f.request()
		}
		f.report()
		if int(f.now)%100 == 0 && !f.away() {
			f.judge()
		}
	}
}

// away tells whether the control plane is away.
func (f *modelFleet) away() bool { return f.now >= f.set.cut[0] && f.now < f.set.cut[1] }

// ill is what a backend does with a request of a proxy now.
func (f *modelFleet) ill(backend int, zone string) illness {
	for i := range f.set.troubles {
		if t := &f.set.troubles[i]; t.on(f.now, backend, zone) {
			return t.kind
		}
	}
	return well
}

// request is one request at a proxy by lot.
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
	switch kind := f.ill(backend, p.zone); {
	case kind == errs, kind == grey && f.random.Float64() < f.set.greyPart:
		how, took = Failed, 2
	case kind == hangs:
		how, took = Failed, 2000
	case kind == slows:
		took *= slowBy
	}
	if how == Good && took > modelBound*f.set.load {
		how = Late
		if f.random.IntN(2) == 0 {
			how = Slow // it comes in parts, which tells more
		}
	} else if how == Good && f.random.IntN(2) == 0 {
		how = StreamedOnPace
	}
	if p.lies {
		how, took = Failed, 1
	}
	f.ends = append(f.ends, modelEnd{
		at:      f.now + took,
		proxy:   p,
		attempt: p.recorder.Begin(chosen, f.now+modelBound*f.set.load),
		how:     how,
	})
}

// end ends the attempts whose time has come.
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

// report has the proxies report: bad ends soon, all in turn.
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
		if outcomes := p.recorder.Drain(); len(outcomes) > 0 && !f.away() {
			f.detector.Observe(f.now, &distribution.OutcomeReport{Proxy: p.name, Zone: p.zone, Outcomes: outcomes})
		}
	}
}

// assess has the Detector judge, and the proxies hear of it.
func (f *modelFleet) judge() {
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

// ejectedAt tells what was ejected at a time, by backend: for whose proxies.
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
