package outlier

import (
	"slices"

	"molepaddle/internal/fleet/distribution"
)

const (
	// ejectionLasts is for how long an ejection stands that is not heard of again, ms: the primary repeats it every second.
	ejectionLasts = 3000
	// trialEvery is the time between two trials of an ejected backend by all proxies together, on the mean, ms, and probationEvery
	// once trials have succeeded.
	trialEvery, probationEvery = 1500, 300
	// unrepeatableTrial is how many times as long a trial waits for a request that may be repeated before any other is taken.
	unrepeatableTrial = 3
	// repeatableRare is how long no request that may be repeated must have come for others to be taken, ms.
	repeatableRare = 30_000
)

// Crowd is how many proxies there are, in all and in one's own zone.
type Crowd struct{ All, Zone int }

// Risk is what a request would lose by a trial.
type Risk struct {
	Repeatable bool // nothing: another backend can serve it if the trial fails
	Long       bool // much, where the backend is slow: its answer is made for long
}

// Trials are the ejected backends of one service at one proxy, and when the proxy next tries each with a request: the trials of all
// proxies together come in the times above, at chance. It is a state machine without I/O or clock; times are in ms.
type Trials struct {
	random       func() float64 // exponentially distributed, 1 on the mean
	all          []*trial       // in the order of their ids
	repeatableAt float64        // when a request last came that may be repeated
	seen         bool           // one came
}

// trial is an ejected backend.
type trial struct {
	distribution.Ejection
	until   float64 // it is ejected
	proxies int     // that try it
	at      float64 // when it is tried by a request that loses nothing
	latest  float64 // and by any
}

// NewTrials returns a Trials without ejections; random gives exponentially distributed numbers, 1 on the mean.
func NewTrials(random func() float64) *Trials { return &Trials{random: random} }

func (t *Trials) draw(now float64, of *trial) {
	every := trialEvery
	if of.Probation {
		every = probationEvery
	}
	wait := t.random() * float64(every*max(of.proxies, 1))
	of.at, of.latest = now+wait, now+unrepeatableTrial*wait
}

// of is the ejected backend of an id; nil: it isn't ejected.
func (t *Trials) of(id string) *trial {
	for _, one := range t.all {
		if one.Backend == id {
			return one
		}
	}
	return nil
}

// Take takes the ejections in force as they concern proxies of a zone, of those backends that known accepts. It gives the ids that are
// ejected, and those that no longer are.
func (t *Trials) Take(now float64, ejections []distribution.Ejection, zone string, crowd Crowd, known func(id string) bool) (ejected, restored []string) {
	var next []*trial
	for _, e := range ejections {
		if !known(e.Backend) || e.Zone != "" && e.Zone != zone {
			continue
		}
		one := t.of(e.Backend)
		if one == nil || one.Ejection != e {
			one = &trial{Ejection: e, proxies: crowd.All}
			if e.Zone != "" {
				one.proxies = crowd.Zone
			}
			t.draw(now, one)
		}
		one.until = now + ejectionLasts
		next = append(next, one)
		ejected = append(ejected, e.Backend)
	}
	for _, was := range t.all {
		if !slices.Contains(ejected, was.Backend) {
			restored = append(restored, was.Backend)
		}
	}
	t.all = next
	return ejected, restored
}

// Until is when an ejection lapses that Take was just given.
func Until(now float64) float64 { return now + ejectionLasts }

// Ejected tells whether a backend is ejected.
func (t *Trials) Ejected(now float64, id string) bool {
	one := t.of(id)
	return one != nil && now < one.until
}

// Due is the ejected backend that a request is to try now, of those that among accepts; "": none. It counts as tried.
func (t *Trials) Due(now float64, risk Risk, among func(id string) bool) string {
	if risk.Repeatable {
		t.repeatableAt, t.seen = now, true
	}
	for _, one := range t.all {
		if now < one.until && t.due(now, one, risk) && among(one.Backend) {
			t.draw(now, one)
			return one.Backend
		}
	}
	return ""
}

func (t *Trials) due(now float64, one *trial, risk Risk) bool {
	switch {
	case one.Slow && risk.Long:
		return false
	case one.Slow || risk.Repeatable:
		return now >= one.at
	case t.seen && now-t.repeatableAt < repeatableRare:
		return false // one that may be repeated will come
	}
	return now >= one.latest
}
