package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// ResidenceKind is the form in which a backend held a request's data.
type ResidenceKind string

// The forms in which a backend holds data.
const (
	ResidencePrefill ResidenceKind = "read"   // its prompt was prefilled there
	ResidenceRun     ResidenceKind = "run"    // it ran there
	ResidenceHandle  ResidenceKind = "handle" // its memory could be fetched there
	ResidenceCached  ResidenceKind = "kept"   // a part of its prompt was cached there
)

// Residence is data of one request that one backend held, according to the backend's log.
type Residence struct {
	Attempt string
	Kind    ResidenceKind
	Engine  string // id
	Zone    string
	Region  string
	From    time.Time
	Until   time.Time // zero while the backend still holds it
}

// String returns the kind, attempt, engine and region in a few words.
func (r Residence) String() string {
	return fmt.Sprintf("%s of %s at %s in %s", r.Kind, r.Attempt, r.Engine, r.Region)
}

// Term is the set of regions that are allowed since a time. Nil Regions: any; empty, not nil: none.
type Term struct {
	From    time.Time
	Regions []string
}

func (t Term) allows(region string) bool {
	return t.Regions == nil || slices.Contains(t.Regions, region)
}

// Residences returns all residences of requests' data according to the Engines' logs, in order of time. It doesn't use
// records of the proxies under test.
func (j *Judge) Residences() []Residence {
	var out []Residence
	for _, e := range j.Engines {
		entries := e.Log.Entries()
		removed := j.handleRemovals(entries)
		for _, en := range entries {
			r, ok := runResidence(en)
			if !ok {
				continue
			}
			out = append(out, r)
			if en.Kind == KindPrefill && en.Handle != "" {
				out = append(out, handleResidence(r, en, e.s.HandleTTL, removed))
			}
		}
	}
	for _, part := range j.CachedParts() {
		out = append(out, Residence{
			Attempt: part.Attempt,
			Kind:    ResidenceCached,
			Engine:  part.Engine,
			Zone:    part.Zone,
			Region:  part.Region,
			From:    part.CachedAt,
			Until:   part.EvictedAt,
		})
	}
	slices.SortStableFunc(out, func(a, b Residence) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	return out
}

// handleRemovals returns when handles were removed before they expired: freed at the engine of these entries, which
// answers 404 when a transfer that broke off had taken the handle, or fetched by any engine's run.
func (j *Judge) handleRemovals(entries []Entry) map[string]time.Time {
	removed := map[string]time.Time{}
	for _, en := range entries {
		if en.Kind == KindFree && (en.Status == http.StatusOK || en.Status == http.StatusNotFound) {
			removed[en.Handle] = en.At
		}
	}
	for _, other := range j.Engines {
		for _, en := range other.Log.Entries() {
			if en.Kind == KindRequest && en.Handle != "" {
				removed[en.Handle] = en.Began
			}
		}
	}
	return removed
}

// runResidence returns the residence of a request's run or prefill; ok is false when there was none.
func runResidence(en Entry) (r Residence, ok bool) {
	r = Residence{
		Attempt: en.Attempt,
		Engine:  en.Engine,
		Zone:    en.Zone,
		Region:  en.Region,
		From:    en.Began,
		Until:   en.Ended,
	}
	switch {
	case !en.Ran:
		return r, false
	case en.Kind == KindPrefill:
		r.Kind = ResidencePrefill
	case en.Kind == KindRequest:
		r.Kind = ResidenceRun
	default:
		return r, false
	}
	return r, true
}

// handleResidence returns the residence of the handle that a prefill made: until it was removed, or at the latest
// expired.
func handleResidence(prefill Residence, en Entry, ttl time.Duration, removed map[string]time.Time) Residence {
	r := prefill
	r.Kind = ResidenceHandle
	if !r.Until.IsZero() {
		r.Until = en.Ended.Add(ttl)
	}
	if at, ok := removed[en.Handle]; ok && (r.Until.IsZero() || at.Before(r.Until)) {
		r.Until = at
	}
	return r
}

// verdict is the result of checking a residence against the terms of its request; of several, the highest counts.
type verdict int

const (
	allowed  verdict = iota
	lingered         // a cached part that was there before a change
	leaked
)

// Leaks audits a complete history against terms that may change: terms returns those of a request, the oldest first
// (none: it may be anywhere). Leaked are the residences that began outside the terms in force, or went on outside them
// for longer than slack after a change. Cached parts that were there before a change can't be removed by the protocol:
// they are returned as lingering. A request without a Result is judged by the terms of the zero Result.
func (j *Judge) Leaks(terms func(Result) []Term, slack time.Duration) (leaking, lingering []Residence) {
	o := j.observe()
	for _, r := range j.Residences() {
		var of Result
		if known := o.resultByAttempt[r.Attempt]; known != nil {
			of = *known
		}
		switch r.judge(terms(of), slack) {
		case lingered:
			lingering = append(lingering, r)
		case leaked:
			leaking = append(leaking, r)
		}
	}
	return leaking, lingering
}

// judge compares a residence with its request's terms, the oldest first. Each term but the first is in force only slack
// after its change, and each until the next one's change.
func (r Residence) judge(history []Term, slack time.Duration) verdict {
	end := r.Until
	if end.IsZero() {
		end = time.Now()
	}
	result := allowed
	for i, t := range history {
		from := t.From
		if i > 0 {
			from = from.Add(slack)
		}
		beganBeforeNext := i+1 == len(history) || r.From.Before(history[i+1].From)
		wentOnAfter := end.After(from) || !r.From.Before(from)
		switch {
		case t.allows(r.Region) || !beganBeforeNext || !wentOnAfter:
		case r.Kind == ResidenceCached && i > 0 && r.From.Before(from):
			result = max(result, lingered)
		default:
			result = leaked
		}
	}
	return result
}
