package simulation

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// keyBounds are the bounds of the tests of keys.
var keyBounds = Bounds{Revoke: 5 * time.Second, Apply: 2 * time.Second}

// withKey returns a request with a value of Authorization.
func withKey(authorization string) Request {
	return Request{Attempt: "a", Header: http.Header{"Authorization": {authorization}}}
}

// TestJudgeRevocations: a request that runs with a revoked key is found if it was sent later than the bound after the
// acknowledgement, however late it runs.
func TestJudgeRevocations(t *testing.T) {
	for _, tc := range []struct {
		name   string
		alter  func(r *Result, en *Entry, revoked *KeyRevocation)
		breach bool
	}{
		{"sent later than the bound", func(*Result, *Entry, *KeyRevocation) {}, true},
		{"sent at the bound", func(r *Result, _ *Entry, _ *KeyRevocation) { r.SentAt = after(5000) }, false},
		{"sent at the bound, ran long after", func(r *Result, en *Entry, _ *KeyRevocation) {
			r.SentAt, en.At = after(5000), after(30_000)
		}, false},
		{"sent before the acknowledgement", func(r *Result, _ *Entry, _ *KeyRevocation) { r.SentAt = after(-10) }, false},
		{"another key", func(r *Result, _ *Entry, _ *KeyRevocation) { r.Request = withKey("Bearer k12") }, false},
		{"no key", func(r *Result, _ *Entry, _ *KeyRevocation) { r.Header = nil; r.Request.Header = nil }, false},
		{"another scheme", func(r *Result, _ *Entry, _ *KeyRevocation) { r.Request = withKey("Basic k1") }, false},
		{"the scheme in other case, more spaces", func(r *Result, _ *Entry, _ *KeyRevocation) {
			r.Request = withKey("bearer  k1 ")
		}, true},
		{"it did not run", func(_ *Result, en *Entry, _ *KeyRevocation) { en.Ran = false }, false},
		{"a prompt was prefilled", func(_ *Result, en *Entry, _ *KeyRevocation) { en.Kind = KindPrefill }, true},
		{"it failed after it ran", func(r *Result, en *Entry, _ *KeyRevocation) { r.Status, en.Status = 503, 503 }, true},
		{"the key came back before", func(_ *Result, _ *Entry, k *KeyRevocation) { k.RestoredAt = after(5010) }, false},
		{"the key came back after", func(_ *Result, _ *Entry, k *KeyRevocation) { k.RestoredAt = after(5030) }, true},
	} {
		r := Result{Request: withKey("Bearer k1"), Edge: "edge", SentAt: after(5001), EndedAt: after(5040), Status: 200}
		en := Entry{Attempt: "a", Kind: KindRequest, At: after(5020), Ran: true, Status: 200}
		revoked := KeyRevocation{Key: "k1", AckedAt: start}
		tc.alter(&r, &en, &revoked)
		o := recorded(keyBounds, []Entry{en}, []Result{r})
		o.checkRevocations([]KeyRevocation{revoked})
		want := []Rule{}
		if tc.breach {
			want = append(want, CONFIG)
		}
		qt.Check(t, rules(o.findings), qt.DeepEquals, want, qt.Commentf("%s", tc.name))
	}
}

// TestJudgeAdditions: a machine in contact that rejects a key later than the bound after the acknowledgement of a
// configuration with it is found, but not one without contact.
func TestJudgeAdditions(t *testing.T) {
	for _, tc := range []struct {
		name   string
		alter  func(r *Result, added *KeyAddition)
		breach bool
	}{
		{"401", func(*Result, *KeyAddition) {}, true},
		{"403", func(r *Result, _ *KeyAddition) { r.Status = 403 }, true},
		{"404", func(r *Result, _ *KeyAddition) { r.Status = 404 }, true},
		{"503", func(r *Result, _ *KeyAddition) { r.Status = 503 }, false},
		{"429", func(r *Result, _ *KeyAddition) { r.Status = 429 }, false},
		{"200", func(r *Result, _ *KeyAddition) { r.Status = 200 }, false},
		{"within the bound", func(r *Result, _ *KeyAddition) { r.SentAt = after(2000) }, false},
		{"not in touch", func(r *Result, _ *KeyAddition) { r.Edge = "other" }, false},
		{"another key", func(r *Result, _ *KeyAddition) { r.Request = withKey("Bearer k2") }, false},
		{"taken away meanwhile", func(_ *Result, k *KeyAddition) { k.RevokedAt = after(2020) }, false},
		{"taken away afterwards", func(_ *Result, k *KeyAddition) { k.RevokedAt = after(2050) }, true},
	} {
		r := Result{Request: withKey("Bearer k1"), Edge: "edge", SentAt: after(2001), EndedAt: after(2040), Status: 401}
		added := KeyAddition{Key: "k1", AckedAt: start, Edges: []string{"edge"}}
		tc.alter(&r, &added)
		o := recorded(keyBounds, nil, []Result{r})
		o.checkAdditions([]KeyAddition{added})
		want := []Rule{}
		if tc.breach {
			want = append(want, CONFIG)
		}
		qt.Check(t, rules(o.findings), qt.DeepEquals, want, qt.Commentf("%s", tc.name))
	}
}
