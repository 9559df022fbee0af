package trial

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"molepaddle/internal/rig/lab/measure"
	"molepaddle/internal/rig/scenario"
)

// Metric is a figure of a play by which variants are compared.
type Metric struct {
	Value          func(r *measure.Result) float64
	HigherIsBetter bool // a larger value is better
}

func count(of func(r *measure.Result) int) func(*measure.Result) float64 {
	return func(r *measure.Result) float64 { return float64(of(r)) }
}

// Metrics are the metrics by name.
var Metrics = map[string]Metric{
	"worth":     {func(r *measure.Result) float64 { return r.Worth }, true},
	"p99":       {(*measure.Result).WorstP99, false},
	"waste":     {func(r *measure.Result) float64 { return r.Waste }, false},
	"retries":   {func(r *measure.Result) float64 { return r.Retries }, false},
	"cross":     {func(r *measure.Result) float64 { return r.Cross }, false},
	"imbalance": {func(r *measure.Result) float64 { return r.Imbalance }, false},
	"served":    {count(func(r *measure.Result) int { return r.Served }), true},
	"refused":   {count(func(r *measure.Result) int { return r.Refused }), false},
	"failed":    {count(func(r *measure.Result) int { return r.Failed + r.Lost }), false},
	"needless":  {count(func(r *measure.Result) int { return r.Needless }), false},
	"repeated":  {count(func(r *measure.Result) int { return r.Repeated }), false},
	"nobody":    {count(func(r *measure.Result) int { return r.AfterEnd }), false},
	"connects":  {count(func(r *measure.Result) int { return r.Connects }), false},
	"questions": {count(func(r *measure.Result) int { return r.Questions }), false},
	"breaches":  {count(func(r *measure.Result) int { return r.Breaches }), false},
}

// CompareOptions configures a comparison.
type CompareOptions struct {
	Metric    string  // empty: worth
	HalfWidth float64 // half the interval's width at which to stop
	MinPairs  int     // minimum number of pairs, 2 or more
	MaxPairs  int     // maximum number of pairs, with the void ones
	FirstSeed uint64  // first seed
	Unpaired  bool    // B uses different seeds than A
}

// Verdict is the result of a comparison.
type Verdict struct {
	Metric     string
	A, B       float64 // means
	Low, High  float64 // of the difference B - A, 95 %
	Pairs      int
	Void       int    // number of pairs with a void play
	Better     string // "better", "worse", or empty
	Rows       []*Row
	difference float64
}

func (v *Verdict) String() string {
	if v.Pairs < 2 {
		return fmt.Sprintf("%s: nothing to say of %d pairs", v.Metric, v.Pairs)
	}
	said := v.Better
	if said == "" {
		said = fmt.Sprintf("no difference above %.4g", max(-v.Low, v.High))
	}
	return fmt.Sprintf("%s: %s: A %.4f, B %.4f, difference %+.4f (95 %% interval %+.4f to %+.4f, %d pairs)", v.Metric, said, v.A, v.B, v.difference, v.Low, v.High, v.Pairs)
}

// unpairedSeedOffset is the distance of B's seeds from A's in an unpaired comparison.
const unpairedSeedOffset = 1 << 32

// Compare plays A and B over the same seeds until the interval of the difference is narrow enough or
// MaxPairs are played; the order within a pair alternates. The stopping rule depends on the interval's
// width only, never on its position.
func (l *Lab) Compare(ctx context.Context, s *scenario.Scenario, a, b Variant, o CompareOptions) (*Verdict, error) {
	if o.Metric == "" {
		o.Metric = "worth"
	}
	m, ok := Metrics[o.Metric]
	if !ok {
		return nil, fmt.Errorf("unknown metric %q; want one of %s", o.Metric, strings.Join(slices.Sorted(maps.Keys(Metrics)), ", "))
	}
	if o.MinPairs < 2 || o.MaxPairs < o.MinPairs || !(o.HalfWidth >= 0) || o.MaxPairs > maxPlays/2 {
		return nil, fmt.Errorf("the minimum of pairs must be 2 or more, the maximum between the minimum and %d, and the interval 0 or more", maxPlays/2)
	}
	v := &Verdict{Metric: o.Metric}
	var as, bs []float64
	at := 0
	for at < o.MaxPairs {
		batch := max(l.Jobs, 1) / 2
		if at == 0 {
			batch = o.MinPairs
		}
		batch = min(max(batch, 1), o.MaxPairs-at)
		var jobs []*job
		for i := at; i < at+batch; i++ {
			seedA := o.FirstSeed + uint64(i)
			seedB := seedA
			if o.Unpaired {
				seedB += unpairedSeedOffset
			}
			ja, err := l.plan(s, a, seedA)
			if err != nil {
				return nil, err
			}
			jb, err := l.plan(s, b, seedB)
			if err != nil {
				return nil, err
			}
			if i%2 == 1 {
				ja, jb = jb, ja
			}
			jobs = append(jobs, ja, jb)
		}
		rows, err := l.runAll(ctx, jobs)
		if err != nil {
			return nil, err
		}
		for i := range batch {
			ra, rb := rows[2*i], rows[2*i+1]
			if (at+i)%2 == 1 {
				ra, rb = rb, ra
			}
			if ra.Result.Void != "" || rb.Result.Void != "" {
				v.Void++
				continue
			}
			v.Rows = append(v.Rows, ra, rb)
			as, bs = append(as, m.Value(ra.Result)), append(bs, m.Value(rb.Result))
			if v.update(as, bs, o, m.HigherIsBetter) {
				return v, nil
			}
		}
		at += batch
	}
	return v, nil
}

// update recomputes the verdict and reports whether its interval is narrow enough.
func (v *Verdict) update(as, bs []float64, o CompareOptions, more bool) bool {
	n := len(as)
	v.Pairs, v.A, v.B = n, stat.Mean(as, nil), stat.Mean(bs, nil)
	v.difference = v.B - v.A
	if n < max(o.MinPairs, 2) {
		return false
	}
	v.Low, v.High = interval(as, bs, o.Unpaired)
	v.Better = ""
	if v.Low > 0 == more && (v.Low > 0 || v.High < 0) {
		v.Better = "better"
	} else if v.Low > 0 || v.High < 0 {
		v.Better = "worse"
	}
	return (v.High-v.Low)/2 <= o.HalfWidth
}

// resamples is the number of bootstrap samples: at 2000, the ends of a 95 % interval vary by a few
// hundredths of its width.
const resamples = 2000

// interval returns the 95 % bootstrap percentile interval of the mean of b - a. It is widened for small
// samples as the expanded percentile interval is (Hesterberg, 2015): by Student's t over the normal
// quantile, and for the bootstrap's underestimate of the variance.
func interval(a, b []float64, unpaired bool) (low, high float64) {
	rng := rand.New(rand.NewPCG(uint64(len(a)), 0x6c6162))
	n := len(a)
	means := make([]float64, resamples)
	for i := range means {
		sum := 0.0
		for range n {
			x := rng.IntN(n)
			y := x
			if unpaired {
				y = rng.IntN(n)
			}
			sum += b[y] - a[x]
		}
		means[i] = sum / float64(n)
	}
	slices.Sort(means)
	df := float64(n - 1)
	if unpaired {
		df *= 2
	}
	wide := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: df}.Quantile(0.975) / distuv.UnitNormal.Quantile(0.975) * math.Sqrt(float64(n)/float64(n-1))
	mid := stat.Mean(b, nil) - stat.Mean(a, nil)
	low = stat.Quantile(0.025, stat.Empirical, means, nil)
	high = stat.Quantile(0.975, stat.Empirical, means, nil)
	return mid - wide*(mid-low), mid + wide*(high-mid)
}
