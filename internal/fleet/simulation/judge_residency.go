package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// ResidenceKind tells in which form a request's data was somewhere.
type ResidenceKind string

// The forms in which data rests at a backend.
const (
	ResidencePrefill ResidenceKind = "read"   // its prompt was read there
	ResidenceRun     ResidenceKind = "run"    // its tokens were made there
	ResidenceHandle  ResidenceKind = "handle" // its memory waited there for a taker
	ResidenceCached  ResidenceKind = "kept"   // a part of its prompt was kept there
)

// Rest is data of one request that was at one backend, by the backend's own record.
type Rest struct {
	Attempt string
	Kind    ResidenceKind
	Engine  string
	Zone    string
	Region  string
	From    time.Time
	Until   time.Time // zero: it is there still
}

func (r Rest) String() string {
	return fmt.Sprintf("%s of %s at %s in %s", r.Kind, r.Attempt, r.Engine, r.Region)
}

// Term is the regions allowed from a moment on. Nil Regions: anywhere; empty, not nil: nowhere.
type Term struct {
	From    time.Time
	Regions []string
}

func (t Term) allows(region string) bool {
	return t.Regions == nil || slices.Contains(t.Regions, region)
}

// Residences returns everywhere that data of requests was, by the Engines' own record, in order of time. It knows nothing of
// who chose the places.
func (j *Judge) Residences() []Rest {
	var out []Rest
	for _, e := range j.Engines {
		entries := e.Log.Entries()
		gone := map[string]time.Time{} // handles that aren't here any more, by the engine's word: freed, or taken before a move broke off
		for _, en := range entries {
			if en.Kind == KindFree && (en.Status == http.StatusOK || en.Status == http.StatusNotFound) {
				gone[en.Handle] = en.At
			}
		}
		for _, other := range j.Engines {
			for _, en := range other.Log.Entries() {
				if en.Kind == KindRequest && en.Handle != "" {
					gone[en.Handle] = en.Began
				}
			}
		}
		for _, en := range entries {
			rest := Rest{Attempt: en.Attempt, Engine: en.Engine, Zone: en.Zone, Region: en.Region, From: en.Began, Until: en.Ended}
			switch {
			case !en.Ran:
				continue
			case en.Kind == KindPrefill:
				rest.Kind = ResidencePrefill
			case en.Kind == KindRequest:
				rest.Kind = ResidenceRun
			default:
				continue
			}
			out = append(out, rest)
			if en.Kind == KindPrefill && en.Handle != "" {
				rest.Kind = ResidenceHandle
				if !rest.Until.IsZero() {
					rest.Until = en.Ended.Add(e.s.KVRef)
				}
				if at, ok := gone[en.Handle]; ok && (rest.Until.IsZero() || at.Before(rest.Until)) {
					rest.Until = at
				}
				out = append(out, rest)
			}
		}
	}
	for _, k := range j.CachedParts() {
		out = append(out, Rest{Attempt: k.Attempt, Kind: ResidenceCached, Engine: k.Engine, Zone: k.Zone, Region: k.Region, From: k.CachedAt, Until: k.EvictedAt})
	}
	slices.SortStableFunc(out, func(a, b Rest) int { return cmp.Compare(a.From.UnixNano(), b.From.UnixNano()) })
	return out
}

// Leaks audits a whole history against terms that may change: terms gives those of a request, the oldest first (none: it
// may be anywhere). Leaked is what came to rest outside the terms in force, or rested on outside them for longer than slack
// after a change. Kept parts that were there before a change can't be taken away by the protocol: they linger. A request
// that no Result tells of is judged by the terms of the zero Result.
func (j *Judge) Leaks(terms func(Result) []Term, slack time.Duration) (leaked, lingering []Rest) {
	o := j.observe()
	for _, r := range j.Residences() {
		var of Result
		if known := o.resultByAttempt[r.Attempt]; known != nil {
			of = *known
		}
		history := terms(of)
		end := r.Until
		if end.IsZero() {
			end = time.Now()
		}
		verdict := 0 // 1: lingers, 2: leaks
		for i, t := range history {
			from := t.From
			if i > 0 {
				from = from.Add(slack)
			}
			before := i+1 == len(history) || r.From.Before(history[i+1].From)
			after := end.After(from) || !r.From.Before(from)
			switch {
			case t.allows(r.Region) || !before || !after:
			case r.Kind == ResidenceCached && i > 0 && r.From.Before(from):
				verdict = max(verdict, 1)
			default:
				verdict = 2
			}
		}
		switch verdict {
		case 1:
			lingering = append(lingering, r)
		case 2:
			leaked = append(leaked, r)
		}
	}
	return leaked, lingering
}
