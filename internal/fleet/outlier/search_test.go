package outlier

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
)

var searchSeeds = flag.Int("outlier.seeds", 120, "how many drawn days TestSearch plays")

// What is required of a fleet whose backends get enough requests: a faulty one is ejected within outWithin of its
// start and back within backWithin of its end, ms; most of the time, as both come by chance.
const (
	outWithin, backWithin = 2000, 8000
	troubleFrom           = 4000.0
	troubleFor            = 14_000.0
	leastKept             = 0.8 // of ill backends that are out, and of those back, in time
)

// drawDay draws a fleet and one trouble.
func drawDay(seed uint64) (modelSettings, string) {
	random := rand.New(rand.NewPCG(seed, 1))
	set := modelSettings{
		zones:    2 + random.IntN(3),
		proxies:  12 + random.IntN(70),
		backends: 10 + random.IntN(40),
		perSec:   8 + 30*random.Float64(),
		load:     1,
		greyPart: 0.45 + 0.4*random.Float64(),
		until:    troubleFrom + troubleFor + 12_000,
	}
	ill := random.Perm(set.backends)[:1+random.IntN(max(set.backends/7, 1))]
	of := trouble{from: troubleFrom, to: troubleFrom + troubleFor, backends: ill}
	kinds := []string{"errors", "grey", "hang", "slow", "path", "liar", "load", "flap", "away", "calm"}
	kind := kinds[seed%uint64(len(kinds))]
	switch kind {
	case "errors":
		of.kind = errs
	case "grey":
		of.kind = grey
	case "hang":
		of.kind = hangs
	case "slow":
		of.kind = slows
	case "path":
		of.kind, of.zone = hangs, zoneName(random.IntN(set.zones))
		set.perSec += 10
	case "liar":
		set.liars = 2
	case "load":
		set.load = 4
	case "flap":
		of.kind, of.flap = errs, 1500
	case "away":
		of.kind = errs
		set.cut = [2]float64{troubleFrom + 4000, troubleFrom + troubleFor - 2000}
	}
	set.troubles = []trouble{of}
	return set, kind
}

// tallyOf counts what a search found over all of its days.
type tallyOf struct{ ill, outInTime, backInTime int }

// judgeDay tells which promise a day broke.
func judgeDay(f *modelFleet, kind string, sum *tallyOf) error {
	bad := f.set.troubles[0]
	ill := map[string]bool{}
	if bad.kind != well {
		for _, b := range bad.backends {
			ill[backendName(b)] = true
		}
	}
	for at := 0.0; at < f.set.until; at += 100 {
		ejected := f.ejectedAt(at)
		if len(ejected) > f.set.backends/maxEjectedDivisor {
			return fmt.Errorf("%d of %d are ejected at %v", len(ejected), f.set.backends, at)
		}
		for id, zone := range ejected {
			if !ill[id] {
				return fmt.Errorf("%s is ejected at %v, and is well", id, at)
			}
			if kind == "path" && zone != bad.zone {
				return fmt.Errorf("%s is ejected at %v for %q, and only the path from %q is broken",
					id, at, zone, bad.zone)
			}
		}
	}
	if bad.kind == well || kind == "flap" {
		return nil
	}
	out, back := f.ejectedAt(bad.from+outWithin), f.ejectedAt(bad.to+backWithin)
	for id := range ill {
		sum.ill++
		if _, gone := out[id]; gone {
			sum.outInTime++
		}
		if _, gone := back[id]; !gone {
			sum.backInTime++
		}
	}
	return nil
}

// searchDays plays drawn days and gives the first broken promise.
func searchDays(n int) (sum tallyOf, err error) {
	for seed := range uint64(n) {
		set, kind := drawDay(seed)
		f := newModelFleet(seed, set)
		f.run()
		if err := judgeDay(f, kind, &sum); err != nil {
			return sum, fmt.Errorf("seed %d, %s: %w", seed, kind, err)
		}
	}
	if float64(sum.outInTime) < leastKept*float64(sum.ill) || float64(sum.backInTime) < leastKept*float64(sum.ill) {
		return sum, errors.New("too few ill backends were out or back in time")
	}
	return sum, nil
}

// TestSearch plays drawn fleets with one trouble each: ill backends of each kind, a broken path, proxies that lie,
// load that slows all alike, flapping, the control plane away.
func TestSearch(t *testing.T) {
	c := qt.New(t)
	sum, err := searchDays(*searchSeeds)
	t.Logf("%d faulty backends: %d ejected within %d ms, %d restored within %d ms",
		sum.ill, sum.outInTime, outWithin, sum.backInTime, backWithin)
	c.Assert(err, qt.IsNil)
}
