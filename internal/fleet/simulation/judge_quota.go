package simulation

import (
	"math"
	"slices"
	"time"
)

// Account is a tenant in a test, with the keys and limits that any configuration of the test gave it.
type Account struct {
	Name   string
	Keys   []string
	Limits []Limit // no quota when empty
}

// Limit is a tenant's quota, for the time in which it may be in force at a proxy.
type Limit struct {
	Rate  float64 // requests a second; 0: no limit
	Burst float64 // requests in a window in addition
	// From is when the configuration with the limit was sent; Until is when all proxies have a later one. Zero means
	// the beginning and the end of the test.
	From, Until time.Time
}

// overlaps reports whether the limit may be in force at any time of a window.
func (l *Limit) overlaps(from, to time.Time) bool {
	return (l.From.IsZero() || !l.From.After(to)) && (l.Until.IsZero() || !l.Until.Before(from))
}

// checkKeys judges runs by their API keys: ROUTE if no configuration ever had the key, and UNASKED if the backend got
// the name of another tenant than the key's. They are not judged if there are no accounts.
func (o *observations) checkKeys(accounts []Account) {
	if accounts == nil {
		return
	}
	tenants := map[string][]string{} // by key
	for _, a := range accounts {
		for _, key := range a.Keys {
			tenants[key] = append(tenants[key], a.Name)
		}
	}
	for i := range o.entries {
		en := &o.entries[i]
		r := o.resultByAttempt[en.Attempt]
		if !en.Ran || r == nil {
			continue
		}
		names, known := tenants[r.SentKey()]
		if !known && !r.Public {
			o.reportAtEngine(ROUTE, en, "no configuration ever held its key %q", r.Key)
			continue
		}
		told := en.Header.Values(HeaderTenant)
		if !known && len(told) > 0 || known && (len(told) != 1 || !slices.Contains(names, told[0])) {
			o.reportAtEngine(UNASKED, en, "it ran for %q, but its key is of %q", told, names)
		}
	}
}

// quotaRequest is a request that a backend ran.
type quotaRequest struct {
	sentAt  time.Time
	arrival *Entry // first arrival at a backend that ran it
}

// checkQuotas judges QUOTA: in no window may more requests of a tenant both leave the client and reach a backend that
// runs them than its quota allows. A request that ran at two backends counts once.
func (o *observations) checkQuotas(accounts []Account) {
	if o.bounds.QuotaWindow <= 0 {
		return
	}
	for i := range accounts {
		if a := &accounts[i]; len(a.Limits) > 0 {
			o.checkQuota(a, o.requestsOf(a))
		}
	}
}

// requestsOf returns the requests of a tenant that ran, in the order in which they were sent.
func (o *observations) requestsOf(a *Account) []quotaRequest {
	var out []quotaRequest
	for i := range o.results {
		r := &o.results[i]
		if !slices.Contains(a.Keys, r.SentKey()) {
			continue
		}
		var first *Entry
		for _, en := range o.entriesByAttempt[r.Attempt] {
			if en.Kind == KindRequest && en.Ran && (first == nil || en.At.Before(first.At)) {
				first = en
			}
		}
		if first != nil {
			out = append(out, quotaRequest{sentAt: r.SentAt, arrival: first})
		}
	}
	slices.SortStableFunc(out, func(a, b quotaRequest) int { return a.sentAt.Compare(b.sentAt) })
	return out
}

// checkQuota judges one tenant's requests, which are sorted by sentAt. Windows that begin with a request and those that
// end with an arrival are enough: any other has no more requests than one of these. Of windows that overlap one finding
// is reported.
func (o *observations) checkQuota(a *Account, requests []quotaRequest) {
	var windows []time.Time // where they begin
	for _, r := range requests {
		windows = append(windows, r.sentAt, r.arrival.At.Add(-o.bounds.QuotaWindow))
	}
	slices.SortFunc(windows, time.Time.Compare)
	reportedTo := time.Time{}
	for _, from := range windows {
		if !from.After(reportedTo) {
			continue
		}
		to := from.Add(o.bounds.QuotaWindow)
		n, last := countSentAndRun(requests, from, to)
		if allowed := o.mostAllowed(a, from, to); float64(n) > allowed {
			o.reportAtEngine(QUOTA, last, "the %dth request of %s in %v, but %.1f are allowed in a window", n, a.Name,
				last.At.Sub(from), allowed)
			reportedTo = to
		}
	}
}

// countSentAndRun returns how many of the requests, which are sorted by sentAt, were sent and arrived within a window,
// and the last arrival of them; nil where there is none.
func countSentAndRun(requests []quotaRequest, from, to time.Time) (n int, last *Entry) {
	first, _ := slices.BinarySearchFunc(requests, from, func(r quotaRequest, t time.Time) int {
		return r.sentAt.Compare(t)
	})
	for _, r := range requests[first:] {
		if r.sentAt.After(to) {
			break
		}
		if r.arrival.At.After(to) {
			continue
		}
		n++
		if last == nil || r.arrival.At.After(last.At) {
			last = r.arrival
		}
	}
	return n, last
}

// mostAllowed returns the number of requests of a tenant allowed in a window, by the highest limit that may be in force
// in it.
func (o *observations) mostAllowed(a *Account, from, to time.Time) float64 {
	quota := 0.0
	for i := range a.Limits {
		l := &a.Limits[i]
		switch {
		case !l.overlaps(from, to):
		case l.Rate <= 0:
			return math.Inf(1)
		default:
			quota = max(quota, l.Rate*o.bounds.QuotaWindow.Seconds()+l.Burst)
		}
	}
	return quota*(1+o.bounds.QuotaExcess) + o.bounds.QuotaExtra
}
