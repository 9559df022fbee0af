package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
)

// Judge holds what Engines and Clients saw and finds what broke a rule of RULES.md. Ask it when all requests have ended:
// it knows a request by its Result.
type Judge struct {
	Bounds  Bounds
	Engines []*Engine
	Clients []*Client
	Results []Result // beside those of Clients
}

// view is what one judgement is made of.
type view struct {
	bounds   Bounds
	entries  []Entry           // arrivals of requests and prompts, in the order of Seq
	runs     map[string]*Entry // by seal
	of       map[string][]*Entry
	results  []Result
	result   map[string]*Result
	findings []Finding
}

func (j *Judge) view() *view {
	v := &view{bounds: j.Bounds, runs: map[string]*Entry{}, of: map[string][]*Entry{}, result: map[string]*Result{}}
	for _, e := range j.Engines {
		for _, en := range e.Log.Entries() {
			if en.Kind == KindRequest || en.Kind == KindPrefill {
				v.entries = append(v.entries, en)
			}
		}
	}
	slices.SortFunc(v.entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := range v.entries {
		en := &v.entries[i]
		if en.Seal != "" {
			v.runs[en.Seal] = en
		}
		v.of[en.Attempt] = append(v.of[en.Attempt], en)
	}
	v.results = slices.Clone(j.Results)
	for _, c := range j.Clients {
		v.results = append(v.results, c.Results()...)
	}
	slices.SortStableFunc(v.results, func(a, b Result) int { return a.SentAt.Compare(b.SentAt) })
	for i := range v.results {
		v.result[v.results[i].Attempt] = &v.results[i]
	}
	return v
}

// Findings returns all breaches, ordered by rule and time.
func (j *Judge) Findings() []Finding {
	v := j.view()
	for i := range v.results {
		v.mixed(&v.results[i])
		v.order(&v.results[i])
		v.repeats(&v.results[i])
	}
	for i := range v.entries {
		v.arrival(&v.entries[i])
	}
	v.budget()
	slices.SortStableFunc(v.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), a.At.Compare(b.At))
	})
	return v.findings
}

// seen notes a finding at the client.
func (v *view) seen(rule Rule, r *Result, format string, args ...any) {
	f := Finding{Rule: rule, Attempt: r.Attempt, At: r.SentAt, What: fmt.Sprintf(format, args...)}
	if run := v.runs[r.Seal]; run != nil {
		f.Engine, f.Service = run.Engine, run.Service
	}
	v.findings = append(v.findings, f)
}

// did notes a finding at a backend.
func (v *view) did(rule Rule, en *Entry, format string, args ...any) {
	v.findings = append(v.findings, Finding{
		Rule: rule, Attempt: en.Attempt, Service: en.Service, Engine: en.Engine, At: en.At, What: fmt.Sprintf(format, args...),
	})
}

// mixed judges what a client got against what the backend of its seal sent.
func (v *view) mixed(r *Result) {
	if r.Malformed && !slices.ContainsFunc(v.of[r.Attempt], func(en *Entry) bool { return en.Broke }) {
		v.seen(MIXED, r, "the client got bytes that are no answer: %v", r.Err)
	}
	if r.Extra {
		v.seen(MIXED, r, "bytes came on a connection where no request was waiting")
	}
	if r.Status == 0 {
		return
	}
	if r.Answered != "" && r.Answered != r.Attempt {
		v.seen(MIXED, r, "the answer carries the attempt id %s", r.Answered)
	}
	run := v.runs[r.Seal]
	if r.Seal != "" && run != nil && run.Attempt != r.Attempt {
		v.seen(MIXED, r, "the answer has the seal of a run of %s", run.Attempt)
		return
	}
	if r.Status/100 != 2 {
		return
	}
	switch {
	case r.Seal == "":
		v.seen(MIXED, r, "status %d without a seal", r.Status)
		return
	case run == nil:
		v.seen(MIXED, r, "status %d with the seal %s, which no backend gave", r.Status, r.Seal)
		return
	case run.Status/100 != 2:
		v.seen(MIXED, r, "status %d where the backend answered %d", r.Status, run.Status)
		return
	}
	if enc := r.Header.Get("Content-Encoding"); enc != "" {
		v.seen(MIXED, r, "the body is encoded as %s", enc)
	}
	if r.Complete && run.FirstEvent == 0 && r.Method != http.MethodHead && r.AnswerHash != run.AnswerHash {
		v.seen(MIXED, r, "a complete body of %d bytes is not the backend's whole body", len(r.AnswerBody))
	}
}

// order judges the events of a stream.
func (v *view) order(r *Result) {
	head := v.runs[r.Seal]
	if r.Status/100 != 2 || head == nil || head.Attempt != r.Attempt || head.FirstEvent == 0 {
		return
	}
	at, last := head, r.LastEvent
	for _, ev := range r.Events {
		if ev.ID != last+1 {
			v.seen(ORDER, r, "event %d came after event %d", ev.ID, last)
		}
		last = ev.ID
		run := v.runs[ev.Seal]
		switch {
		case run == nil:
			v.seen(ORDER, r, "event %d is of no run: %q", ev.ID, ev.Seal)
			continue
		case run.Attempt != r.Attempt:
			v.seen(MIXED, r, "event %d is of a run of %s", ev.ID, run.Attempt)
			continue
		case run != at && !r.Resumable:
			v.seen(ORDER, r, "event %d joins a second run, and the route has no resumable", ev.ID)
		case run != at && run.FirstEvent != ev.ID:
			v.seen(ORDER, r, "event %d joins a run that began at event %d", ev.ID, run.FirstEvent)
		}
		if ev.ID < run.FirstEvent || ev.ID > run.Total {
			v.seen(ORDER, r, "event %d is not of its run's events %d to %d", ev.ID, run.FirstEvent, run.Total)
		}
		at = run
	}
	if r.Complete && last < at.Total {
		v.seen(ORDER, r, "the stream was ended as complete after event %d of %d", last, at.Total)
	}
}

// repeats judges TWICE and REFUSED.
func (v *view) repeats(r *Result) {
	if r.Idempotent() {
		return
	}
	runs := 0
	for _, en := range v.of[r.Attempt] {
		if en.Kind != KindRequest || !en.Ran {
			continue
		}
		if runs++; runs == 2 {
			v.did(TWICE, en, "a %s request ran for the second time", r.Kind)
		}
		switch r.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			v.did(REFUSED, en, "the client was given %d, but it ran", r.Status)
		}
	}
}

// arrival judges what a backend ran or read against what the client sent.
func (v *view) arrival(en *Entry) {
	if !en.Ran {
		return
	}
	r := v.result[en.Attempt]
	switch {
	case r == nil:
		v.did(UNASKED, en, "no client sent the attempt %q", en.Attempt)
		return
	case r.Method != en.Method || r.Path != en.Path:
		v.did(UNASKED, en, "%s %s was sent as %s %s", en.Method, en.Path, r.Method, r.Path)
	case r.BodyHash != en.BodyHash:
		v.did(UNASKED, en, "a body of %d bytes was sent with %d other ones", len(en.Body), len(r.Body))
	}
	if en.HandleOwner != "" && en.HandleOwner != en.Attempt {
		v.did(MIXED, en, "it goes on from the handle of %s", en.HandleOwner)
	}
	if r.Services != nil && !slices.Contains(r.Services, en.Service) {
		v.did(ROUTE, en, "%s ran it, but only %v may", en.Service, r.Services)
	}
}

// Places returns where each attempt was run or read, in order of arrival.
func (j *Judge) Places() []Place {
	var out []Place
	for _, en := range j.view().entries {
		if en.Ran {
			out = append(out, Place{en.Attempt, en.Kind, en.Service, en.Engine, en.Zone, en.Region, en.Began})
		}
	}
	return out
}

// Kept returns each part that was kept anywhere, in order of time.
func (j *Judge) Kept() []KeptPart {
	var out []KeptPart
	for _, e := range j.Engines {
		out = append(out, e.Log.Kept()...)
	}
	slices.SortStableFunc(out, func(a, b KeptPart) int { return a.Since.Compare(b.Since) })
	return out
}

// Outside returns the places and kept parts outside the Regions of the request that led there.
func (j *Judge) Outside() (places []Place, kept []KeptPart) {
	v := j.view()
	outside := func(attempt, region string) bool {
		r := v.result[attempt]
		return r != nil && r.Regions != nil && !slices.Contains(r.Regions, region)
	}
	for _, p := range j.Places() {
		if outside(p.Attempt, p.Region) {
			places = append(places, p)
		}
	}
	for _, k := range j.Kept() {
		if outside(k.Attempt, k.Region) {
			kept = append(kept, k)
		}
	}
	return places, kept
}
