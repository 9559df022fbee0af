// Package intake validates requests for every front end, whatever the protocol: it determines their
// class, key, tenant, id and client time-out, or why they are invalid. It does no I/O and has no
// state.
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
	// MaxTimeout is the longest time-out of a client.
	MaxTimeout    = time.Minute
	maxNameLength = 256 // limit of an id or a host, in bytes
	// AcceptFor is how long connections are accepted after SIGTERM, as new ones arrive for up to 0.4 s.
	AcceptFor = 450 * time.Millisecond
	// LastReadTime is the time to read from the connections that were accepted last.
	LastReadTime = 50 * time.Millisecond
	// LeaveEvery is the interval of checks of the connections meanwhile.
	LeaveEvery = 5 * time.Millisecond
	// ResponseStallTimeout is how long a client may read nothing of an answer that is streamed to it.
	ResponseStallTimeout = time.Minute
	// bodyRate is the minimum mean rate of a request's body in bytes per second, bodyPause the longest pause
	// within it. Slow clients send at twice that rate.
	bodyRate, bodyPause = 32 << 10, 2 * time.Second
)

// MinPace returns the minimum speed of a request's body, with an allowance at its start.
func MinPace(allowance time.Duration) window.Pace {
	return window.Pace{Grace: allowance, Pause: bodyPause, Rate: bodyRate}
}

// Handler returns a request's one final answer; a core.Core is one.
type Handler interface {
	Do(ctx context.Context, r *core.Request) core.Answer
	Ready() bool
}

// View is one version of the settings, as used to read requests. It is immutable.
type View struct {
	Settings *settings.Settings
	Classes  map[string]int // class index by name
	Tenants  map[string]int // tenant index by name
}

// ViewOf returns the view of a version of the settings.
func ViewOf(t *settings.Table) View {
	return View{Settings: &t.Settings, Classes: t.Classes, Tenants: t.Tenants}
}

// Problem is why a request is rejected: an HTTP status of 4xx or 503, and a short text.
type Problem struct {
	Status int
	Text   string
}

// Fields are the parts of a request that a front end has read; empty ones were not sent.
type Fields struct {
	Method, Target string // Target: path and query
	Path           string // of Target, unescaped
	Host           string
	ID             string
	IdempotencyKey string
	ContentType    string
	Timeout        string // a number and a unit; see ParseTimeout
	Tenant         string
	Hint           string // estimated work, in microseconds
	Retry          string // "1": the client has sent the same request before
	Length         int64  // of the body; -1: not known
}

// ClientTimeout is how long a client waits for its answer.
type ClientTimeout struct {
	Requested  time.Duration // as the client requested
	ClassLimit time.Duration // limit of its class
}

// Read validates the fields and returns the request without its body and deadline. If patient is true,
// a client that sends no time-out gets that of its class; otherwise the request is rejected.
func Read(v *View, f *Fields, patient bool) (*core.Request, ClientTimeout, *Problem) {
	r := &core.Request{ID: f.ID, MaxAttempts: v.Settings.Limits.MaxAttempts, Retry: f.Retry == "1",
		Message: core.Message{Method: f.Method, Target: f.Target, Host: f.Host, ContentType: f.ContentType,
			IdempotencyKey: f.IdempotencyKey}}
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
	// A client may wait for longer than its class's answers have value; the agent does not.
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

// SetDeadline sets a request's deadline, counted from the arrival of its last byte. While a body is
// incomplete, the deadline allows the longest time that the remainder may take, and the client's time
// starts once all of it has arrived.
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

// Plain reports whether an id or a name can be forwarded as it is: 1 to 256 printable ASCII characters
// without spaces.
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

// ParseTimeout parses a number and a unit, m for milliseconds or u for microseconds. The time must be
// above 0 and at most MaxTimeout.
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

// KeyOf returns the routing key of a text, the same at every agent. It is never 0, which means no key.
func KeyOf(text string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, text)
	return max(h.Sum64(), 1)
}
