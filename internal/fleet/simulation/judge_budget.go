package simulation

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// checkBudget judges BUDGET per service: within each window, the arrivals beyond the first of each request, the first
// successful prefill left out, against ratio x requests + extra. For each such arrival, two windows are checked: one
// that ends with it and one that begins with it; the first window of each service that breaks the rule is a finding. A
// request counts for each service of its Services, or where it arrived when they are nil.
func (o *observations) checkBudget() {
	if o.bounds.RetryWindow <= 0 {
		return
	}
	sentAt := o.requestTimes()
	for service, further := range o.furtherArrivals() {
		if f := o.overBudget(service, further, sentAt[service]); f != nil {
			o.findings = append(o.findings, *f)
		}
	}
}

// requestTimes returns when requests were sent, by service.
func (o *observations) requestTimes() map[string][]time.Time {
	sentAt := map[string][]time.Time{}
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
		for _, service := range services {
			sentAt[service] = append(sentAt[service], r.SentAt)
		}
	}
	return sentAt
}

// furtherArrivals returns the arrivals that count against the budget, by service.
func (o *observations) furtherArrivals() map[string][]*Entry {
	type arrival struct{ service, attempt string }
	further := map[string][]*Entry{}
	arrived := map[arrival]bool{}
	prefilled := map[string]bool{} // attempts
	for i := range o.entries {
		en := &o.entries[i]
		if en.Kind == KindPrefill && en.Status == http.StatusOK && !prefilled[en.Attempt] {
			prefilled[en.Attempt] = true
			continue
		}
		a := arrival{en.Service, en.Attempt}
		if !arrived[a] {
			arrived[a] = true
			continue
		}
		further[en.Service] = append(further[en.Service], en)
	}
	return further
}

// overBudget returns a finding for the first window of a service that has more further arrivals than the requests of
// that time allow, or nil. Of the windows that end at the same time, w/2 and w earlier, the one with the most requests
// counts: an arrival comes after its request.
func (o *observations) overBudget(service string, further []*Entry, sentAt []time.Time) *Finding {
	w := o.bounds.RetryWindow
	times := make([]time.Time, len(further))
	for i, en := range further {
		times[i] = en.At
	}
	for _, en := range further {
		for _, end := range []time.Time{en.At, en.At.Add(w - 1)} { // of the window (end-w, end]
			n := countWithin(times, end, w)
			requests := max(
				countWithin(sentAt, end, w),
				countWithin(sentAt, end.Add(-w), w),
				countWithin(sentAt, end.Add(-w/2), w),
			)
			limit := o.bounds.RetryRatio*float64(requests) + o.bounds.RetryExtra
			if float64(n) <= limit {
				continue
			}
			return &Finding{
				Rule:    BUDGET,
				Service: service,
				Attempt: en.Attempt,
				Engine:  en.Engine,
				At:      en.At,
				Message: fmt.Sprintf("%d further arrivals in the window to %s, %g are allowed for %d requests",
					n, end.Format(time.TimeOnly), limit, requests),
			}
		}
	}
	return nil
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
