package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkBudget judges BUDGET per service: within each window, the arrivals beyond the first of each request, the first taken
// call that only reads a prompt left out, against ratio x requests + extra. The windows tried are those that end with
// such an arrival and those that begin with one; the first window of each service that breaks the rule is a finding.
// A request counts for each service of its Services, or where it arrived when they are not told.
func (o *observations) checkBudget() {
	w := o.bounds.RetryWindow
	if w <= 0 {
		return
	}
	extra := map[string][]*Entry{}
	asked := map[string][]time.Time{}
	for i := range o.results {
		r := &o.results[i]
		services := slices.Clone(r.Services)
		if r.Services == nil {
			for _, en := range o.entriesByAttempt[r.Attempt] {
				if !slices.Contains(services, en.Service) {
					services = append(services, en.Service)
				}
			}
		}
		for _, s := range services {
			asked[s] = append(asked[s], r.SentAt)
		}
	}
	first := map[[2]string]bool{}
	read := map[string]bool{}
	for i := range o.entries {
		en := &o.entries[i]
		if en.Kind == KindPrefill && en.Status == http.StatusOK && !read[en.Attempt] {
			read[en.Attempt] = true
			continue
		}
		k := [2]string{en.Service, en.Attempt}
		if !first[k] {
			first[k] = true
			continue
		}
		extra[en.Service] = append(extra[en.Service], en)
	}
	for service, ens := range extra {
		times := make([]time.Time, len(ens))
		for i, en := range ens {
			times[i] = en.At
		}
		for i := range 2 * len(ens) {
			en := ens[i/2]
			end := en.At // of the window (end-w, end]
			if i%2 == 1 {
				end = en.At.Add(w - 1)
			}
			n := countWithin(times, end, w)
			requests := max(countWithin(asked[service], end, w), countWithin(asked[service], end.Add(-w), w),
				countWithin(asked[service], end.Add(-w/2), w))
			if most := o.bounds.RetryRatio*float64(requests) + o.bounds.RetryExtra; float64(n) > most {
				o.findings = append(o.findings, Finding{
					Rule: BUDGET, Service: service, Attempt: en.Attempt, Engine: en.Engine, At: en.At,
					What: fmt.Sprintf("%d further arrivals in the window to %s, %g are paid for by %d requests",
						n, end.Format(time.TimeOnly), most, requests),
				})
				break
			}
		}
	}
}

// countWithin counts the times in (end-w, end].
func countWithin(times []time.Time, end time.Time, w time.Duration) (n int) {
	for _, t := range times {
		if !t.After(end) && t.After(end.Add(-w)) {
			n++
		}
	}
	return n
}
