package controlplane

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/routingconfig"
	"molepaddle/internal/goldenbytes"
)

// TestStoredBytes checks the encoding of commands and snapshots, which this build must read and write like all earlier
// ones.
func TestStoredBytes(t *testing.T) {
	goldenbytes.Messages(t, map[string]goldenbytes.Message{
		"call":   new(Command),
		"stored": new(StoredState),
	})
}

// TestStoredBytesWithoutQuota checks that commands and snapshots of builds without quota ceilings are read, and written
// in the same form.
func TestStoredBytesWithoutQuota(t *testing.T) {
	for name, m := range map[string]goldenbytes.Message{"call": new(Command), "stored": new(StoredState)} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			old, err := os.ReadFile(filepath.Join("testdata", "wire", name+".without-quota.msgp"))
			c.Assert(err, qt.IsNil)
			rest, err := m.UnmarshalMsg(old)
			c.Assert(err, qt.IsNil)
			c.Assert(rest, qt.HasLen, 0)
			written, err := m.MarshalMsg(nil)
			c.Assert(err, qt.IsNil)
			c.Assert(written, qt.DeepEquals, old)
		})
	}
}

// TestStoredDigests checks the digests by which a resubmitted change is recognised, also by another build than the one
// that accepted it.
func TestStoredDigests(t *testing.T) {
	c := qt.New(t)
	body := []byte(`{"ver":8}`)
	c.Check((&Command{Replace: true, Base: 7, Body: body}).digest(), qt.Equals, uint64(13212804536780761002))
	c.Check((&Command{Base: 7, Body: body}).digest(), qt.Equals, uint64(4198221720812242868))
}

// TestWireBytesOfRefusal checks the body of the response to a rejected call.
func TestWireBytesOfRefusal(t *testing.T) {
	c := qt.New(t)
	w := httptest.NewRecorder()
	writeError(w, &callError{
		status: http.StatusBadRequest,
		reason: "the configuration is invalid",
		findings: routingconfig.Findings{
			{Path: "routing[0].pfx", Message: "must begin and end with a slash"},
			{Path: "ver", Message: "must be above 0"},
		},
	})
	c.Check(w.Code, qt.Equals, http.StatusBadRequest)
	c.Check(w.Header().Get("Content-Type"), qt.Equals, "application/json")
	goldenbytes.Check(t, "wire/refusal.json", w.Body.Bytes())
	w = httptest.NewRecorder()
	writeError(w, unavailable("not settled"))
	c.Check(w.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Check(w.Header().Get("Retry-After"), qt.Equals, "0.2")
	goldenbytes.Check(t, "wire/again.json", w.Body.Bytes())
}
