package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
)

// Judge finds breaches of RULES.md in the records of Engines and Clients. It must be called when all requests have
// ended, as it knows a request only by its Result. Its fields must not be changed during a call.
type Judge struct {
	Bounds  Bounds
	Engines []*Engine
	Clients []*Client
	Results []Result // results in addition to those of Clients

	// Tenants maps each API key to the tenants that had it in any configuration that may have been in force. "" among
	// them means that for a time no tenant had the key. Nil: no key was required, and tenants aren't judged.
	Tenants map[string][]string

	// Further actions and observations of the test, each of which is judged by a rule.
	Shutdowns   []Shutdown     // shutdowns of proxies
	Departures  []Departure    // departures of backends
	Changes     []ConfigChange // changes of the configuration
	Reads       []ConfigRead
	Orders      []Entry         // orders in addition to those that reached Engines
	Revocations []KeyRevocation // revocations of API keys
	Additions   []KeyAddition
	Accounts    []Account
}

// observations holds the records that one call of Judge examines, and its findings.
type observations struct {
	bounds  Bounds
	tenants map[string][]string // Judge.Tenants
	entries []Entry             // arrivals of requests and prompts, in the order of Seq
	orders  []Entry             // orders to change the phase
	results []Result

	// Indexes into entries and results. runBySeal maps seals to runs.
	runBySeal        map[string]*Entry
	entriesByAttempt map[string][]*Entry
	resultByAttempt  map[string]*Result

	findings []Finding
}

// observe copies the records of all Engines and Clients.
func (j *Judge) observe() *observations {
	o := &observations{
		bounds:           j.Bounds,
		tenants:          j.Tenants,
		runBySeal:        map[string]*Entry{},
		entriesByAttempt: map[string][]*Entry{},
		resultByAttempt:  map[string]*Result{},
	}
	for _, e := range j.Engines {
		for _, en := range e.Log.Entries() {
			if en.Kind == KindRequest || en.Kind == KindPrefill {
				o.entries = append(o.entries, en)
			}
			if en.Kind == KindOrder {
				o.orders = append(o.orders, en)
			}
		}
	}
	slices.SortFunc(o.entries, func(a, b Entry) int { return cmp.Compare(a.Seq, b.Seq) })
	for i := range o.entries {
		en := &o.entries[i]
		if en.Seal != "" {
			o.runBySeal[en.Seal] = en
		}
		o.entriesByAttempt[en.Attempt] = append(o.entriesByAttempt[en.Attempt], en)
	}
	o.results = slices.Clone(j.Results)
	for _, c := range j.Clients {
		o.results = append(o.results, c.Results()...)
	}
	slices.SortStableFunc(o.results, func(a, b Result) int { return a.SentAt.Compare(b.SentAt) })
	for i := range o.results {
		o.resultByAttempt[o.results[i].Attempt] = &o.results[i]
	}
	return o
}

// Findings returns all breaches, sorted by rule and time.
func (j *Judge) Findings() []Finding {
	o := j.observe()
	for i := range o.results {
		o.checkAnswer(&o.results[i])
		o.checkEventOrder(&o.results[i])
		o.checkRepeats(&o.results[i])
	}
	for i := range o.entries {
		o.checkArrival(&o.entries[i])
	}
	o.checkBudget()
	o.checkDeadlines()
	o.checkGone()
	o.checkOrders(slices.Concat(o.orders, j.Orders))
	o.checkShutdowns(j.Shutdowns)
	o.checkDepartures(j.Departures)
	o.checkReads(j.Changes, j.Reads)
	o.checkRevocations(j.Revocations)
	o.checkAdditions(j.Additions)
	o.checkKeys(j.Accounts)
	o.checkQuotas(j.Accounts)
	slices.SortStableFunc(o.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Rule, b.Rule), a.At.Compare(b.At))
	})
	return o.findings
}

// reportAtClient adds a finding that was observed at the client.
func (o *observations) reportAtClient(rule Rule, r *Result, format string, args ...any) {
	f := Finding{
		Rule:    rule,
		Attempt: r.Attempt,
		At:      r.SentAt,
		Message: fmt.Sprintf(format, args...),
	}
	if run := o.runBySeal[r.Seal]; run != nil {
		f.Engine = run.Engine
		f.Service = run.Service
	}
	o.findings = append(o.findings, f)
}

// reportAtEngine adds a finding that was observed at a backend.
func (o *observations) reportAtEngine(rule Rule, en *Entry, format string, args ...any) {
	o.findings = append(o.findings, Finding{
		Rule:    rule,
		Attempt: en.Attempt,
		Service: en.Service,
		Engine:  en.Engine,
		At:      en.At,
		Message: fmt.Sprintf(format, args...),
	})
}

// checkAnswer judges what a client received against what the backend of its seal sent.
func (o *observations) checkAnswer(r *Result) {
	broke := func(en *Entry) bool { return en.Broke }
	if r.Malformed && !slices.ContainsFunc(o.entriesByAttempt[r.Attempt], broke) {
		o.reportAtClient(MIXED, r, "the client got bytes that are no answer: %v", r.Err)
	}
	if r.Extra {
		o.reportAtClient(MIXED, r, "bytes came on a connection where no request was waiting")
	}
	if r.Status == 0 {
		return
	}
	if r.Answered != "" && r.Answered != r.Attempt {
		o.reportAtClient(MIXED, r, "the answer carries the attempt id %s", r.Answered)
	}
	run := o.runBySeal[r.Seal]
	if r.Seal != "" && run != nil && run.Attempt != r.Attempt {
		o.reportAtClient(MIXED, r, "the answer has the seal of a run of %s", run.Attempt)
		return
	}
	if r.Status/100 != 2 {
		return
	}
	switch {
	case r.Seal == "":
		o.reportAtClient(MIXED, r, "status %d without a seal", r.Status)
		return
	case run == nil:
		o.reportAtClient(MIXED, r, "status %d with the seal %s, which no backend gave", r.Status, r.Seal)
		return
	case run.Status/100 != 2:
		o.reportAtClient(MIXED, r, "status %d where the backend answered %d", r.Status, run.Status)
		return
	}
	if enc := r.Header.Get("Content-Encoding"); enc != "" {
		o.reportAtClient(MIXED, r, "the body is encoded as %s", enc)
	}
	hasBody := run.FirstEvent == 0 && r.Method != http.MethodHead
	if r.Complete && hasBody && r.AnswerHash != run.AnswerHash {
		o.reportAtClient(MIXED, r, "a complete body of %d bytes is not the backend's", len(r.AnswerBody))
	}
}

// checkEventOrder judges the events of a stream: in order, without gaps, and of other runs only where it may resume.
func (o *observations) checkEventOrder(r *Result) {
	head := o.runBySeal[r.Seal]
	if r.Status/100 != 2 || head == nil || head.Attempt != r.Attempt || head.FirstEvent == 0 {
		return
	}
	at := head // the run of the previous event
	last := r.LastEvent
	for _, ev := range r.Events {
		if ev.ID != last+1 {
			o.reportAtClient(ORDER, r, "event %d came after event %d", ev.ID, last)
		}
		last = ev.ID
		run := o.runBySeal[ev.Seal]
		switch {
		case run == nil:
			o.reportAtClient(ORDER, r, "event %d is of no run: %q", ev.ID, ev.Seal)
			continue
		case run.Attempt != r.Attempt:
			o.reportAtClient(MIXED, r, "event %d is of a run of %s", ev.ID, run.Attempt)
			continue
		case run != at && !r.Resumable:
			o.reportAtClient(ORDER, r, "event %d joins a second run, and the route has no resumable", ev.ID)
		case run != at && run.FirstEvent != ev.ID:
			o.reportAtClient(ORDER, r, "event %d joins a run that began at event %d", ev.ID, run.FirstEvent)
		}
		if ev.ID < run.FirstEvent || ev.ID > run.Total {
			o.reportAtClient(ORDER, r, "event %d is not of its run's events %d to %d", ev.ID, run.FirstEvent, run.Total)
		}
		at = run
	}
	if r.Complete && last < at.Total {
		o.reportAtClient(ORDER, r, "the stream was ended as complete after event %d of %d", last, at.Total)
	}
}

// checkRepeats judges TWICE and REFUSED: how often a request that isn't idempotent ran.
func (o *observations) checkRepeats(r *Result) {
	if r.Idempotent() {
		return
	}
	runs := 0
	for _, en := range o.entriesByAttempt[r.Attempt] {
		if en.Kind != KindRequest || !en.Ran {
			continue
		}
		runs++
		if runs == 2 {
			o.reportAtEngine(TWICE, en, "a %s request ran for the second time", r.Kind)
		}
		switch r.Status {
		case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout,
			http.StatusMisdirectedRequest:
			o.reportAtEngine(REFUSED, en, "the client was given %d, but it ran", r.Status)
		}
	}
}

// checkArrival judges what a backend ran or prefilled against what the client sent.
func (o *observations) checkArrival(en *Entry) {
	if !en.Ran {
		return
	}
	r := o.resultByAttempt[en.Attempt]
	switch {
	case r == nil:
		o.reportAtEngine(UNASKED, en, "no client sent the attempt %q", en.Attempt)
		return
	case r.Method != en.Method || r.Path != en.Path:
		o.reportAtEngine(UNASKED, en, "%s %s was sent as %s %s", en.Method, en.Path, r.Method, r.Path)
	case r.BodyHash != en.BodyHash:
		o.reportAtEngine(UNASKED, en, "a body of %d bytes was sent with %d other ones", len(en.Body), len(r.Body))
	}
	o.checkTenant(r, en)
	if en.HandleOwner != "" && en.HandleOwner != en.Attempt {
		o.reportAtEngine(MIXED, en, "it goes on from the handle of %s", en.HandleOwner)
	}
	if r.Services != nil && !slices.Contains(r.Services, en.Service) {
		o.reportAtEngine(ROUTE, en, "%s ran it, but only %v may", en.Service, r.Services)
	}
}

// Executions returns where each attempt ran or was prefilled, in order of arrival.
func (j *Judge) Executions() []Execution {
	var out []Execution
	for _, en := range j.observe().entries {
		if !en.Ran {
			continue
		}
		out = append(out, Execution{
			Attempt: en.Attempt,
			Stage:   en.Kind,
			Service: en.Service,
			Engine:  en.Engine,
			Zone:    en.Zone,
			Region:  en.Region,
			At:      en.Began,
		})
	}
	return out
}

// CachedParts returns each part that was cached at any Engine, in order of time.
func (j *Judge) CachedParts() []CachedPart {
	var out []CachedPart
	for _, e := range j.Engines {
		out = append(out, e.Log.CachedParts()...)
	}
	slices.SortStableFunc(out, func(a, b CachedPart) int { return a.CachedAt.Compare(b.CachedAt) })
	return out
}

// OutsideRegions returns the executions and cached parts outside the Regions of the request that caused them.
func (j *Judge) OutsideRegions() (executions []Execution, cached []CachedPart) {
	o := j.observe()
	outside := func(attempt, region string) bool {
		r := o.resultByAttempt[attempt]
		return r != nil && r.Regions != nil && !slices.Contains(r.Regions, region)
	}
	for _, x := range j.Executions() {
		if outside(x.Attempt, x.Region) {
			executions = append(executions, x)
		}
	}
	for _, part := range j.CachedParts() {
		if outside(part.Attempt, part.Region) {
			cached = append(cached, part)
		}
	}
	return executions, cached
}
