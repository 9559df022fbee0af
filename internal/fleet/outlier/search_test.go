package outlier

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

var searchSeeds = flag.Int("outlier.seeds", 120, "number of random scenarios that TestSearch runs")

// Requirements for a fleet whose backends get enough requests: a faulty backend is ejected within outWithin of the
// start of its fault and restored within backWithin of the end, ms. As both depend on chance, this must hold for the
// fraction minInTime of the backends.
const (
	outWithin, backWithin = 2000, 8000
	faultStart            = 4000.0
	faultDuration         = 14_000.0
	minInTime             = 0.8 // minimum fraction of faulty backends ejected, and restored, in time
)

// randomScenario returns the settings of a random fleet with one fault, and the kind of the scenario.
func randomScenario(seed uint64) (modelSettings, string) {
	random := rand.New(rand.NewPCG(seed, 1))
	set := modelSettings{
		zones:    2 + random.IntN(3),
		proxies:  12 + random.IntN(70),
		backends: 10 + random.IntN(40),
		perSec:   8 + 30*random.Float64(),
		load:     1,
		greyPart: 0.45 + 0.4*random.Float64(),
		until:    faultStart + faultDuration + 12_000,
	}
	faulty := random.Perm(set.backends)[:1+random.IntN(max(set.backends/7, 1))]
	of := modelFault{from: faultStart, to: faultStart + faultDuration, backends: faulty}
	kinds := []string{"errors", "grey", "hang", "slow", "path", "liar", "load", "flap", "away", "calm"}
	kind := kinds[seed%uint64(len(kinds))]
	switch kind {
	case "errors":
		of.kind = returningErrors
	case "grey":
		of.kind = grey
	case "hang":
		of.kind = hanging
	case "slow":
		of.kind = slowing
	case "path":
		of.kind, of.zone = hanging, zoneName(random.IntN(set.zones))
		set.perSec += 10
	case "liar":
		set.misreporting = 2
	case "load":
		set.load = 4
	case "flap":
		of.kind, of.flap = returningErrors, 1500
	case "away":
		of.kind = returningErrors
		set.cut = [2]float64{faultStart + 4000, faultStart + faultDuration - 2000}
	}
	set.faults = []modelFault{of}
	return set, kind
}

// searchStats counts faulty backends, and those ejected and restored in time, over all scenarios of a search.
type searchStats struct{ faulty, outInTime, backInTime int }

// checkScenario returns an error if a scenario violated a requirement, and adds its counts to sum.
func checkScenario(f *modelFleet, kind string, sum *searchStats) error {
	bad := f.set.faults[0]
	faulty := map[string]bool{}
	if bad.kind != healthy {
		for _, b := range bad.backends {
			faulty[backendName(b)] = true
		}
	}
	for at := 0.0; at < f.set.until; at += 100 {
		ejected := f.ejectedAt(at)
		if len(ejected) > f.set.backends/maxEjectedDivisor {
			return fmt.Errorf("%d of %d are ejected at %v", len(ejected), f.set.backends, at)
		}
		for id, zone := range ejected {
			if !faulty[id] {
				return fmt.Errorf("healthy backend %s is ejected at %v", id, at)
			}
			if kind == "path" && zone != bad.zone {
				return fmt.Errorf("%s is ejected at %v for %q, and only the path from %q is broken",
					id, at, zone, bad.zone)
			}
		}
	}
	if bad.kind == healthy || kind == "flap" {
		return nil
	}
	out, back := f.ejectedAt(bad.from+outWithin), f.ejectedAt(bad.to+backWithin)
	for id := range faulty {
		sum.faulty++
		if _, gone := out[id]; gone {
			sum.outInTime++
		}
		if _, gone := back[id]; !gone {
			sum.backInTime++
		}
	}
	return nil
}

// runScenarios runs n random scenarios and returns the first violated requirement.
func runScenarios(n int) (sum searchStats, err error) {
	for seed := range uint64(n) {
		set, kind := randomScenario(seed)
		f := newModelFleet(seed, set)
		f.run()
		if err := checkScenario(f, kind, &sum); err != nil {
			return sum, fmt.Errorf("seed %d, %s: %w", seed, kind, err)
		}
	}
	if float64(sum.outInTime) < minInTime*float64(sum.faulty) ||
		float64(sum.backInTime) < minInTime*float64(sum.faulty) {
		return sum, errors.New("too few faulty backends were ejected or restored in time")
	}
	return sum, nil
}

// TestSearch runs random fleets with one fault each: backends with each kind of fault, a broken network path, proxies
// that report false failures, load that slows all backends equally, flapping, and an unreachable control plane.
func TestSearch(t *testing.T) {
	c := qt.New(t)
	sum, err := runScenarios(*searchSeeds)
	t.Logf("%d faulty backends: %d ejected within %d ms, %d restored within %d ms",
		sum.faulty, sum.outInTime, outWithin, sum.backInTime, backWithin)
	c.Assert(err, qt.IsNil)
}
