package simulation

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// page is one page of the list, as the platform returns it.
type page struct {
	Backends []Backend `json:"backends"`
	Next     *string   `json:"next_marker"`
}

func list(c *qt.C, p *Platform, query string) (got page, status int) {
	c.Helper()
	resp := call(c, "GET", "http://"+p.Address()+"/backends"+query, "")
	if resp.StatusCode == http.StatusOK {
		c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	}
	return got, resp.StatusCode
}

// clock is a clock under the control of a test.
type clock struct{ ns atomic.Int64 }

func (k *clock) now() time.Time          { return time.Unix(0, k.ns.Load()) }
func (k *clock) advance(d time.Duration) { k.ns.Add(int64(d)) }

func TestPlatformList(t *testing.T) {
	c := qt.New(t)
	k := &clock{}
	var es []*Engine
	for _, zone := range []string{"a", "b", "a"} {
		es = append(es, StartEngine(t, EngineSettings{Zone: zone, Phase: PhaseDecode, Now: k.now}))
	}
	p := StartPlatform(t, PlatformSettings{Page: 2, Delay: time.Second, Now: k.now}, es...)
	one, _ := list(c, p, "")
	c.Assert(one.Backends, qt.HasLen, 2)
	c.Assert(one.Backends[0], qt.DeepEquals, Backend{
		ID: es[0].ID(), Service: "svc", Address: es[0].Address(), Zone: "a", Version: "v1", Capacity: 8, State: StateUp,
		Phase: PhaseDecode, Models: []Model{{"m", 1, []string{}}},
	})
	two, _ := list(c, p, "?marker="+*one.Next)
	c.Assert(two.Backends, qt.HasLen, 1)
	c.Assert(two.Next, qt.IsNil)
	az, _ := list(c, p, "?az=a")
	c.Assert(az.Backends, qt.HasLen, 2)
	c.Assert(az.Backends[1].ID, qt.Equals, es[2].ID())

	// A change is listed delay_ms later; a crashed backend stays on the list.
	p.Drain(es[0])
	es[1].Crash()
	k.advance(999 * time.Millisecond)
	got, _ := list(c, p, "")
	c.Assert(got.Backends[0].State, qt.Equals, StateUp)
	k.advance(time.Millisecond)
	got, _ = list(c, p, "")
	c.Assert(got.Backends[0].State, qt.Equals, StateDraining)
	c.Assert(got.Backends, qt.HasLen, 2)
	p.Remove(es[1])
	k.advance(time.Second)
	got, _ = list(c, p, "")
	c.Assert(got.Next, qt.IsNil)
	id := es[2].ID()
	es[2].Restart(t)
	k.advance(time.Second)
	got, _ = list(c, p, "")
	c.Assert(got.Backends[1].ID, qt.Not(qt.Equals), id)
}

func TestPlatformRate(t *testing.T) {
	c := qt.New(t)
	k := &clock{}
	p := StartPlatform(t, PlatformSettings{Rate: 2, Now: k.now})
	for _, want := range []int{200, 200, 429} {
		_, status := list(c, p, "")
		c.Assert(status, qt.Equals, want)
	}
	k.advance(time.Second)
	_, status := list(c, p, "")
	c.Assert(status, qt.Equals, 200)
	all, refused := p.Calls()
	c.Assert([]int{all, refused}, qt.DeepEquals, []int{4, 1})
}
