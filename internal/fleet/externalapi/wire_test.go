package externalapi

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/goldenbytes"
)

// TestWireBytes checks the bodies of responses: a report, an element of the platform's list, and a residency report.
func TestWireBytes(t *testing.T) {
	goldenbytes.JSON(t, "report", new(BackendReport))
	goldenbytes.JSON(t, "listed", new(listedBackend))
	goldenbytes.JSON(t, "residency", new(ResidencyReport))
}

// TestWireBytesOfOrder checks the body of an order to a backend.
func TestWireBytesOfOrder(t *testing.T) {
	c := qt.New(t)
	bodies := make(chan []byte, 1)
	addr := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- body
	})
	order := PhaseOrder{BackendID: "b-1", Phase: PhaseDecode, Owner: "control-1", FencingToken: 4, ExpectedOrders: 9}
	_, err := NewBackendClient(testTimeout).Order(t.Context(), addr, order)
	c.Assert(err, qt.IsNil)
	goldenbytes.Check(t, "wire/order.json", <-bodies)
}

// TestWireCalls checks the names, methods and paths of all calls.
func TestWireCalls(t *testing.T) {
	c := qt.New(t)
	var calls []string
	for _, call := range []Call{
		CallReady, CallReplace, CallUpdate, CallShow, CallStatus, CallResidency, CallOrder, CallReport,
		CallFreeKVHandle, CallListBackends,
	} {
		calls = append(calls, call.Name+" "+call.Method+" "+call.Path)
	}
	c.Check(calls, qt.DeepEquals, []string{
		"ready GET /molepaddle/readyz",
		"replace POST /molepaddle/cfg/replace",
		"update POST /molepaddle/cfg/update",
		"show GET /molepaddle/cfg/show",
		"status GET /molepaddle/status",
		"residency GET /molepaddle/residency",
		"order POST /molepaddle/order",
		"report GET /molepaddle/report",
		"free DELETE /molepaddle/kv-handle/",
		"list GET /backends",
	})
	c.Check([]string{QueryLocal, QueryTenant, QueryRoute}, qt.DeepEquals, []string{"local", "tenant", "route"})
}

// TestWireHeaders checks the names of header fields and of phases.
func TestWireHeaders(t *testing.T) {
	c := qt.New(t)
	c.Check([]string{
		HeaderAttemptID, HeaderDeadlineMs, HeaderPromptPrefix, HeaderTokenCount, HeaderModel, HeaderStage, HeaderKVFrom,
		HeaderTargetBackend, HeaderBackendSeal, HeaderBackendLoad, HeaderNotRun, HeaderLastEventID, HeaderRetryAfter,
		HeaderBaseVersion, HeaderPriority, PhasePrefill, PhaseDecode,
	}, qt.DeepEquals, []string{
		"X-Molepaddle-Attempt-Id", "X-Molepaddle-Deadline-Ms", "X-Molepaddle-Prompt-Prefix",
		"X-Molepaddle-Token-Count", "X-Molepaddle-Model", "X-Molepaddle-Stage", "Kv-From",
		"X-Molepaddle-Target-Backend", "X-Molepaddle-Backend-Seal", "X-Molepaddle-Backend-Load", "X-Molepaddle-Not-Run", "Last-Event-Id", "Retry-After",
		"X-Molepaddle-Base-Version", "Priority", "prefill", "decode",
	})
}

// TestWireKeysOfList checks the keys by which a page of the platform's list is decoded.
func TestWireKeysOfList(t *testing.T) {
	c := qt.New(t)
	entry, second := new(listedBackend), 0
	goldenbytes.Fill(entry)
	entry.State = "draining"
	addr := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		var next any = "second"
		if r.URL.Query().Get("marker") == "second" {
			second++
			next = nil
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"backends": []any{entry}, "next_marker": next})
	})
	list, calls, err := NewPlatformClient(addr, testTimeout).List(t.Context())
	c.Assert(err, qt.IsNil)
	c.Check(calls, qt.Equals, 2)
	c.Check(second, qt.Equals, 1)
	c.Check(list.Backends, qt.HasLen, 2)
}
