// Package intake reads requests as every front end takes them, whatever protocol brought them: which class,
// key, tenant and id they have, how long their clients wait, and what is wrong with them. It does no I/O;
// all of it are values.
package intake

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/budget"
	"molepaddle/internal/decide/settings"
	"molepaddle/internal/protocol/window"
)

const (
	// MaxTimeout is the longest deadline there is.
	MaxTimeout = time.Minute
	maxNameLength    = 256 // bytes of an id or a host
	// AcceptFor is how long connections are taken after SIGTERM: they go on coming for up to 0.4 s. SettleFor is
	// left to what was accepted last to be read; LeaveEvery is how often connections are looked through meanwhile.
	AcceptFor, SettleFor, LeaveEvery = 450 * time.Millisecond, 50 * time.Millisecond, 5 * time.Millisecond
	// ResponseStallTimeout is how long a client may take nothing of an answer that is passed on.
	ResponseStallTimeout = time.Minute
	// bodyRate is how many bytes a second a body has to bring on the mean, bodyPause how long nothing may come
	// of it: clients that are slow send twice as much.
	bodyRate, bodyPause = 32 << 10, 2 * time.Second
)

// MinPace is how slowly a body may come, with an allowance at its start.
func MinPace(allowance time.Duration) window.Pace {
	return window.Pace{Grace: allowance, Pause: bodyPause, Rate: bodyRate}
}

// Handler gives a request its one final answer; a core.Core is one.
type Handler interface {
	Do(ctx context.Context, r *core.Request) core.Answer
	Ready() bool
}

// View is one version of the settings, as requests are read by. It is not changed.
type View struct {
	Settings *settings.Settings
	Classes  map[string]int // numbers of the classes' names
	Tenants  map[string]int // numbers of the tenants' names
}

// ViewOf is the view of a version of the settings.
func ViewOf(t *settings.Table) View {
	return View{Settings: &t.Settings, Classes: t.Classes, Tenants: t.Tenants}
}

// Problem is why a request is not taken: an HTTP status of 4xx or 503, and a word on it.
type Problem struct {
	Status int
	Text   string
}

// Fields are what a front end has read of a request; empty ones were not sent.
type Fields struct {
	Method, Target string // Target: path and query
	Path           string // of Target, unescaped
	Host           string
	ID             string
	IdempotencyKey string
	ContentType    string
	Timeout        string // a number and a unit; see ParseTimeout
	Tenant         string
	Hint           string // the work, in microseconds
	Retry          string // "1": the client has asked for the same before
	Length         int64  // of the body; -1: not known
}

// ClientTimeout is how long a client waits for its answer.
type ClientTimeout struct {
	Requested   time.Duration // as it says
	ClassLimit time.Duration // as its class allows
}

// Read makes a request of what was read, but for its body and its deadline. patient says that a client which
// does not say how long it waits waits for as long as its class allows; else it is told to say so.
func Read(v *View, f *Fields, patient bool) (*core.Request, ClientTimeout, *Problem) {
	r := &core.Request{ID: f.ID, MaxAttempts: v.Settings.Limits.MaxAttempts, Retry: f.Retry == "1",
		Message: core.Message{Method: f.Method, Target: f.Target, Host: f.Host, ContentType: f.ContentType, IdempotencyKey: f.IdempotencyKey}}
	var p ClientTimeout
	if !strings.HasPrefix(f.Target, "/") || !strings.HasPrefix(f.Path, "/") {
		return nil, p, &Problem{http.StatusBadRequest, "no path: an agent is no proxy"}
	}
	parts := strings.Split(f.Path[1:], "/")
	class, known := v.Classes[parts[0]]
	if !known {
		return nil, p, &Problem{http.StatusNotFound, "unknown class of request"}
	}
	r.Class = class
	set := &v.Settings.Classes[class]
	want := http.MethodPost
	if set.Idempotency == settings.Idempotent {
		want = http.MethodGet
	}
	// A client may wait for longer than its class is worth anything, the agent does not.
	p.ClassLimit = time.Duration(set.ClientTimeoutMs * float64(time.Millisecond))
	var err error
	if p.Requested = p.ClassLimit; f.Timeout != "" || !patient {
		p.Requested, err = ParseTimeout(f.Timeout)
	}
	switch {
	case f.Method != want && (f.Method != http.MethodHead || want != http.MethodGet):
		return nil, p, &Problem{http.StatusMethodNotAllowed, "this class is asked with " + want}
	case want == http.MethodGet && f.Length != 0:
		return nil, p, &Problem{http.StatusBadRequest, "body: none belongs to GET"}
	case !Plain(f.Host):
		return nil, p, &Problem{http.StatusBadRequest, "Host: missing or no plain word"}
	case !Plain(f.ID):
		return nil, p, &Problem{http.StatusBadRequest, "Request-Id: missing or no plain word"}
	case set.Idempotency == settings.Deduplicated && f.IdempotencyKey == "":
		return nil, p, &Problem{http.StatusBadRequest, "Idempotency-Key: missing"}
	case err != nil:
		return nil, p, &Problem{http.StatusBadRequest, "Request-Timeout: " + err.Error()}
	}
	if len(parts) > 1 {
		r.Key = KeyOf(parts[len(parts)-1])
	}
	if len(v.Tenants) > 0 {
		if r.Tenant, known = v.Tenants[f.Tenant]; !known {
			r.Tenant = -1
		}
	}
	if hint, err := strconv.ParseFloat(f.Hint, 64); err == nil {
		r.HintMs, r.HasHint = hint/1000, true
	}
	return r, p, nil
}

// SetDeadline has a request's time begin when its last byte came; of one whose body is not whole, it reckons with
// the longest that the rest may take to come, and its time begins when all of it has.
func (p ClientTimeout) SetDeadline(r *core.Request, came time.Time, pace window.Pace) {
	r.Deadline = budget.From(came, p.Requested, p.ClassLimit).Deadline
	if r.Message.Stream == nil {
		return
	}
	r.TimeAfterBody = min(p.Requested, p.ClassLimit)
	most := r.Message.Length
	if most < 0 {
		most = window.Most
	}
	r.Deadline = time.Now().Add(pace.Longest(most) + r.TimeAfterBody)
}

// Plain tells whether an id or a name can be sent on as it is.
func Plain(id string) bool {
	if id == "" || len(id) > maxNameLength {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// ParseTimeout reads a number and a unit, m for milliseconds or u for microseconds, above 0 and up to
// MaxTimeout.
func ParseTimeout(text string) (time.Duration, error) {
	unit := time.Duration(0)
	switch {
	case strings.HasSuffix(text, "m"):
		unit = time.Millisecond
	case strings.HasSuffix(text, "u"):
		unit = time.Microsecond
	default:
		return 0, errors.New("no number with the unit m or u")
	}
	n, err := strconv.ParseUint(text[:len(text)-1], 10, 63)
	if err != nil || n == 0 || n > uint64(MaxTimeout/unit) {
		return 0, errors.New("no number above 0 and within a minute")
	}
	return time.Duration(n) * unit, nil
}

// KeyOf gives what a request is about its number, the same at every agent; 0 is none.
func KeyOf(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
