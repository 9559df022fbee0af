package simulation

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// call makes a plain call to a fake server.
func call(c *qt.C, method, url, body string, headers ...string) *http.Response {
	c.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := (&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { resp.Body.Close() })
	return resp
}

// order posts an order and returns the status of the answer.
func order(c *qt.C, e *Engine, body string, headers ...string) int {
	c.Helper()
	return call(c, "POST", "http://"+e.Address()+PathOrder, body, headers...).StatusCode
}

// TestOrdersAreFenced checks all answers that PROTOCOL.md lists for an order.
func TestOrdersAreFenced(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{Phase: PhaseDecode, Fencing: true})
	phase := func(to Phase, gen int, more string) string {
		return fmt.Sprintf(`{"opcode":"phase","phase":%q,"owner":"a","gen":%d%s}`, to, gen, more)
	}
	c.Assert(order(c, e, `{"opcode":"phase","phase":"prefill","owner":"a"}`), qt.Equals, 400)
	c.Assert(order(c, e, `{"opcode":"phase","phase":"prefill","gen":1}`), qt.Equals, 400)
	c.Assert(order(c, e, `{"opcode":"dance","owner":"a","gen":1}`), qt.Equals, 400)
	c.Assert(order(c, e, phase(PhasePrefill, 5, ""), HeaderTarget, "i-other"), qt.Equals, 421)
	c.Assert(order(c, e, phase(PhasePrefill, 5, `,"expect":1`)), qt.Equals, 409)
	c.Assert(order(c, e, phase(PhasePrefill, 5, `,"expect":0`)), qt.Equals, 202)
	c.Assert(e.Phase(), qt.Equals, PhasePrefill)
	c.Assert(order(c, e, phase(PhaseDecode, 4, "")), qt.Equals, 412)
	c.Assert(order(c, e, phase(PhasePrefill, 6, "")), qt.Equals, 200)
	c.Assert(order(c, e, phase(PhaseDecode, 5, "")), qt.Equals, 412, qt.Commentf("200 has recorded the token 6"))
	id := e.ID()
	e.Restart(t)
	c.Assert(e.ID(), qt.Not(qt.Equals), id)
	c.Assert(order(c, e, phase(PhasePrefill, 1, `,"expect":0`)), qt.Equals, 202, qt.Commentf("a restart forgets"))
}

// TestOrderWaitsForRunningRequests: running requests are completed, queued ones get 503, and another
// order 409.
func TestOrderWaitsForRunningRequests(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{Phase: PhaseDecode})
	release := e.Hold()
	running := goDo(&Client{Edge: e.Address()}, prompt("a"))
	awaitRan(c, e, 1)
	c.Assert(order(c, e, `{"opcode":"phase","phase":"prefill","owner":"a","gen":1}`), qt.Equals, 202)
	c.Assert(order(c, e, `{"opcode":"phase","phase":"decode","owner":"a","gen":1}`), qt.Equals, 409)
	r := do(c, e, prompt("b"))
	c.Assert(r.Status, qt.Equals, 503)
	c.Assert(r.Header.Get(HeaderNotRun), qt.Not(qt.Equals), "")
	release()
	got := <-running
	c.Assert(got.OK(), qt.IsTrue, qt.Commentf("%v", got.Err))
	_, err := e.Log.Wait(c.Context(), func([]Entry) bool { return e.Phase() == PhasePrefill })
	c.Assert(err, qt.IsNil)
}
