package scheduler

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestParsePrompt(t *testing.T) {
	c := qt.New(t)
	p, ok := ParsePrompt("m", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	c.Assert(ok, qt.IsTrue)
	c.Assert([]int{p.InputTokens, p.MaxOutputTokens, len(p.Segments)}, qt.DeepEquals, []int{1460, 80, 3})
	same, _ := ParsePrompt("m", "1500,10", "5c1e07a2:800,91bd3f06:410,aaaaaaaa:290")
	c.Assert(same.SharedPrefixKey(), qt.Equals, p.SharedPrefixKey(), qt.Commentf("what is shared is the same"))
	other, _ := ParsePrompt("n", "1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	c.Assert(other.SharedPrefixKey(), qt.Not(qt.Equals), p.SharedPrefixKey(), qt.Commentf("kept parts are a model's own"))
	moved, _ := ParsePrompt("m", "1460,80", "91bd3f06:410,5c1e07a2:800,e4402b7d:250")
	c.Assert(moved.SharedPrefixKey(), qt.Not(qt.Equals), p.SharedPrefixKey(), qt.Commentf("a part serves only with all before it"))
	for _, bad := range []string{"", "x,1", "-1,2", "1,y", "1,-2"} {
		_, ok := ParsePrompt("m", bad, "")
		c.Check(ok, qt.IsFalse, qt.Commentf("%q", bad))
	}
	long, ok := ParsePrompt("m", "10,1", "a:1,b:1,:,c:1")
	c.Assert(ok, qt.IsTrue)
	c.Assert(len(long.Segments), qt.Equals, 2, qt.Commentf("what can't be read ends the list"))
}

func prompt(in int, parts ...string) *Prompt {
	text := ""
	for i, p := range parts {
		if i > 0 {
			text += ","
		}
		text += p
	}
	p, _ := ParsePrompt("m", fmt.Sprintf("%d,80", in), text)
	return &p
}

func engines(t testing.TB, prefill, decode int) *Estimator {
	e := NewEstimator(EngineSpec{Capacity: 8, KVCacheTokens: 1000, KVBytesPerToken: 1000, LinkMbps: 1000})
	var all []Backend
	for i := range prefill {
		all = append(all, Backend{ID: fmt.Sprintf("p%d", i), Zone: "a", Prefill: true})
	}
	for i := range decode {
		all = append(all, Backend{ID: fmt.Sprintf("d%d", i), Zone: "b"})
	}
	e.SetBackends(all)
	return e
}

func TestKeptPartsGiveWayOldestFirst(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 1, 0)
	a, b := prompt(700, "s:400,a:300"), prompt(600, "s:400,b:200")
	c.Assert(e.PrefillStarted("p0", a, false), qt.Equals, 700)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 200, qt.Commentf("the shared part is there"))
	c.Assert(e.UncachedTokens("p0", prompt(500, "x:100,s:400")), qt.Equals, 500, qt.Commentf("not without what stands before it"))
	e.PrefillStarted("p0", b, false)                          // 900 kept
	e.PrefillStarted("p0", prompt(600, "s:400,c:200"), false) // a's own part is the one unused the longest
	c.Assert(e.UncachedTokens("p0", a), qt.Equals, 300)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 0)
	e.InvalidateCache("p0", b)
	c.Assert(e.UncachedTokens("p0", b), qt.Equals, 600, qt.Commentf("what may not have been read is not counted on"))
}

// Each of many proxies sees few of the prompts that share a part; it took a home for far behind that keeps the part from others.
func TestHomesKeepWhatOthersSent(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 2, 0)
	p := prompt(900, "s:400,a:200,b:300")
	c.Assert(p.UnsharedTokens(), qt.Equals, 300)
	c.Assert(e.PrefillStarted("p0", p, true), qt.Equals, 300)
	c.Assert(e.PrefillStarted("p1", p, false), qt.Equals, 900)
	c.Assert(e.QueueMs(0, "p0") < e.QueueMs(0, "p1"), qt.IsTrue)
	c.Assert(e.PrefillStarted("p1", p, true), qt.Equals, 0, qt.Commentf("what is known to be kept stays so"))
	alone := prompt(500, "z:500")
	c.Assert(e.PrefillStarted("p0", alone, true), qt.Equals, 500, qt.Commentf("it shares nothing"))
	odd := prompt(100, "s:400,a:200")
	c.Assert(odd.UnsharedTokens(), qt.Equals, 0)
}

// Under twice the load that could be read, prompts that waited were given up at half of their time and read again elsewhere:
// what waits has to be reckoned, and the reckoning to be held against what came.
func TestExpectationsFollowWhatCame(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 1, 0)
	p := prompt(900, "s:600,a:300")
	one := e.ExpectedPrefillMs(0, "p0", p, true)
	c.Assert(one, qt.Equals, 300*e.prefillMsPerToken)
	c.Assert(e.ExpectedPrefillMs(0, "p0", p, false), qt.Equals, 900*e.prefillMsPerToken)
	for range 10 {
		e.PrefillStarted("p0", prompt(900, "t:900"), false)
	}
	c.Assert(e.ExpectedPrefillMs(0, "p0", p, true) > one, qt.IsTrue)
	e.ObservePrefill(1, 1000)
	c.Assert(e.expectedScale, qt.Equals, 1.0, qt.Commentf("a short wait tells nothing of the queue"))
	for range 500 {
		e.ObservePrefill(100*e.expectedScale, 250)
	}
	c.Assert(e.expectedScale > 2.4 && e.expectedScale < 2.6, qt.IsTrue, qt.Commentf("%v", e.expectedScale))
	for range 500 {
		e.ObservePrefill(100*e.expectedScale, 1e9)
	}
	c.Assert(e.expectedScale <= maxExpectedScale, qt.IsTrue)
}

// A prompt that waited must not make all others look slow: that sent prompts away from their homes.
func TestSpeedIsLearnedFromWhatWasAlone(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 1, 0)
	before := e.prefillMsPerToken
	p, q := prompt(900, "a:900"), prompt(900, "b:900")
	n, m := e.PrefillStarted("p0", p, false), e.PrefillStarted("p0", q, false)
	e.PrefillEnded("p0", n, 5000)
	c.Assert(e.prefillMsPerToken, qt.Equals, before, qt.Commentf("another was under way"))
	e.RequestEnded("p0")
	e.ObserveResponseLoad(1, "p0", 7, 0)
	e.PrefillEnded("p0", m, 5000)
	c.Assert(e.prefillMsPerToken, qt.Equals, before, qt.Commentf("others' requests were"))
	e.RequestEnded("p0")
	e.ObserveResponseLoad(2, "p0", 1, 0)
	for i := range 200 {
		n := e.PrefillStarted("p0", prompt(900, fmt.Sprint("c", i, ":900")), false)
		e.PrefillEnded("p0", n, 9)
		e.RequestEnded("p0")
	}
	c.Assert(e.prefillMsPerToken > 0.0099 && e.prefillMsPerToken < 0.0101, qt.IsTrue, qt.Commentf("%v ms a token", e.prefillMsPerToken))
}

// Moves at a slow link are known by the backend whose link it is, and are tried again after a while.
func TestSlowMovesAreKnownByBackend(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 3, 3)
	p := prompt(900, "a:900")
	now := 0.0
	for i := range 60 {
		from, to := fmt.Sprint("p", i%3), fmt.Sprint("d", (i/3)%3)
		ms := 10 + e.TransferMs(from, to, p)
		if to == "d1" {
			ms += 300
		}
		now += 10
		e.ObserveTransfer(now, from, to, p, ms, true)
	}
	c.Assert(e.InboundDelayMs(now, "d1") > 200, qt.IsTrue, qt.Commentf("%v", e.InboundDelayMs(now, "d1")))
	c.Assert(e.InboundDelayMs(now, "d0") < 40, qt.IsTrue, qt.Commentf("%v", e.InboundDelayMs(now, "d0")))
	for _, id := range []string{"p0", "p1", "p2"} {
		c.Assert(e.OutboundDelayMs(now, id) < 60, qt.IsTrue, qt.Commentf("%s %v", id, e.OutboundDelayMs(now, id)))
	}
	c.Assert(e.InboundDelayMs(now+10*transferDelayHalfLifeMs, "d1") < 1, qt.IsTrue)
}

func TestLongAnswersAreTold(t *testing.T) {
	c := qt.New(t)
	e := engines(t, 0, 4)
	read, talk := prompt(9000, "a:6000,b:3000"), prompt(200, "c:100,d:100")
	c.Assert(e.LongDecode("read", read), qt.IsFalse)
	c.Assert(e.LongDecode("talk", talk), qt.IsTrue)
	for range 50 {
		e.ObserveDecode("read", read, 30)
		e.ObserveDecode("talk", talk, 4000)
	}
	c.Assert(e.LongDecode("read", read), qt.IsFalse)
	c.Assert(e.LongDecode("talk", talk), qt.IsTrue)
	// Those kept for them grow with what runs, and don't take all.
	order := []string{"d0", "d1", "d2", "d3"}
	c.Assert(e.LongDecodePool(0, order), qt.Equals, 1)
	e.ObserveResponseLoad(1000, "d0", 8, 3)
	c.Assert(e.LongDecodePool(1000, order), qt.Equals, 2)
	for now := 2000.0; now < 9000; now += 1000 {
		e.ObserveResponseLoad(now, "d0", 8, 8)
		e.ObserveResponseLoad(now, "d1", 8, 8)
		e.ObserveResponseLoad(now, "d2", 8, 8)
		c.Assert(e.LongDecodePool(now, order) <= 3, qt.IsTrue)
	}
	c.Assert(e.LongDecodePool(0, order[:1]), qt.Equals, 0)
}

// fleet is a stand-in of a service's backends for Phases: orders take a while.
type fleet struct {
	states []BackendReport
	until  map[string]float64
	to     map[string]bool
	reads  int // prompts under way at those that read
}

func newFleet(prefill, decode int) *fleet {
	f := &fleet{until: map[string]float64{}, to: map[string]bool{}}
	for i := range prefill + decode {
		f.states = append(f.states, BackendReport{ID: fmt.Sprintf("b%02d", i), Prefill: i < prefill, Usable: true})
	}
	return f
}

func (f *fleet) count() (prefill, decode int) {
	for _, s := range f.states {
		if s.Prefill {
			prefill++
		} else {
			decode++
		}
	}
	return
}

// step plays one round: orders take effect, active requests spread over those that decode.
func (f *fleet) step(p *PhasePlanner, now float64, capacity, active int) []Transition {
	decode, prefill := 0, 0
	for i := range f.states {
		s := &f.states[i]
		if at, ok := f.until[s.ID]; ok && now >= at {
			s.Prefill, s.Changing = f.to[s.ID], false
			delete(f.until, s.ID)
		}
		if !s.Prefill && s.Usable {
			decode++
		} else if s.Usable {
			prefill++
		}
	}
	for i := range f.states {
		f.states[i].Active = 0
		if !f.states[i].Prefill && decode > 0 {
			f.states[i].Active = active / decode
		} else if f.states[i].Prefill && prefill > 0 {
			f.states[i].Active = f.reads / prefill
		}
	}
	moves := p.Step(now, capacity, f.states)
	for _, m := range moves {
		if !m.Due {
			continue
		}
		for i := range f.states {
			if f.states[i].ID == m.ID {
				f.states[i].Changing = true
				f.until[m.ID], f.to[m.ID] = now+500, m.Prefill
			}
		}
	}
	return moves
}

func TestPhasesBeforeThereIsWork(t *testing.T) {
	for _, n := range []struct{ prefill, decode, want int }{{4, 5, 4}, {16, 28, 22}, {1, 2, 2}, {0, 2, 2}, {2, 4, 3}} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			f, p := newFleet(n.prefill, n.decode), NewPhasePlanner()
			for now := 0.0; now < 8000; now += 500 {
				f.step(p, now, 64, 0)
			}
			_, decode := f.count()
			c.Assert(decode, qt.Equals, n.want)
			c.Assert(p.InTransition(), qt.HasLen, 0)
		})
	}
}

// With three of 44 making tokens, full batches hid how much more would come: a quiet day was lost.
func TestPhasesGrowFromFullBatches(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(41, 3), NewPhasePlanner()
	f.step(p, 0, 48, 3*48)
	for now := 500.0; now < 12000; now += 500 {
		_, decode := f.count()
		f.step(p, now, 48, min(600, decode*48))
	}
	_, decode := f.count()
	c.Assert(decode >= 14 && decode <= 22, qt.IsTrue, qt.Commentf("%d make tokens", decode))
}

// One that makes tokens may be lost while no order can be given: one more than needed is kept.
func TestPhasesKeepOneToSpareAndReadAgain(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(6, 3), NewPhasePlanner()
	for now := 0.0; now < 20000; now += 500 {
		f.step(p, now, 64, 171)
	}
	_, decode := f.count()
	c.Assert(decode, qt.Equals, 4, qt.Commentf("171 requests at 64 places"))
	for now := 20000.0; now < 80000; now += 500 {
		f.step(p, now, 64, 40)
	}
	_, decode = f.count()
	c.Assert(decode, qt.Equals, 4, qt.Commentf("while those that read are at ease, homes stay where they are"))
	f.reads = 15
	for now := 80000.0; now < 140000; now += 500 {
		f.step(p, now, 64, 40)
	}
	_, decode = f.count()
	c.Assert(decode, qt.Equals, 3, qt.Commentf("when prompts need them they read again"))
}

// Two of nine stood idle beside readers with forty prompts each: both loads decide.
func TestPhasesHeedWhatIsToBeRead(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(4, 5), NewPhasePlanner()
	f.reads = 2
	for now := 0.0; now < 10000; now += 500 {
		f.step(p, now, 64, 115)
	}
	_, decode := f.count()
	c.Assert(decode, qt.Equals, 5, qt.Commentf("at ease"))
	f.reads = 40
	at := 0.0
	for now := 10000.0; at == 0 && now < 20000; now += 500 {
		f.step(p, now, 64, 115)
		if _, decode = f.count(); decode == 4 {
			at = now
		}
	}
	c.Assert(at > 0 && at <= 10000+2*prefillHalfLifeMs+announceMs+1000, qt.IsTrue, qt.Commentf("pressed readers wait for nothing but the announcement: %v", at))
	// More tokens to make don't take those that read while they are busy.
	f, p = newFleet(5, 4), NewPhasePlanner()
	f.reads = 15
	for now := 0.0; now < 20000; now += 500 {
		f.step(p, now, 64, 230)
	}
	prefill, _ := f.count()
	c.Assert(prefill, qt.Equals, 4, qt.Commentf("half of all read"))
}

func TestPhasesAnnounceBeforeTheyOrder(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(3, 6), NewPhasePlanner()
	moves := f.step(p, 0, 64, 0)
	c.Assert(len(moves), qt.Equals, 2)
	c.Assert(moves[0].Due, qt.IsFalse)
	c.Assert(p.InTransition(), qt.HasLen, 2, qt.Commentf("nobody is to send there"))
	c.Assert(f.step(p, announceMs/2, 64, 0), qt.HasLen, 0)
	moves = f.step(p, announceMs, 64, 0)
	c.Assert(len(moves), qt.Equals, 2)
	c.Assert(moves[0].Due && moves[1].Due, qt.IsTrue)
	// Backends that are lost meanwhile are forgotten; what is left has its own changes.
	lost := p.InTransition()
	f.states = f.states[:3]
	f.step(p, announceMs+100, 64, 0)
	for _, id := range p.InTransition() {
		c.Assert(slices.Contains(lost, id), qt.IsFalse, qt.Commentf("%s is gone", id))
	}
}

// An order that could not be confirmed in time was not sent again: its backend had no work for 20 s.
func TestPhasesOrderAgain(t *testing.T) {
	c := qt.New(t)
	f, p := newFleet(4, 5), NewPhasePlanner()
	due := func(now float64) (ids []string) {
		for _, m := range p.Step(now, 64, f.states) {
			if m.Due {
				ids = append(ids, m.ID)
			}
		}
		return ids
	}
	c.Assert(due(0), qt.HasLen, 0)
	first := due(announceMs)
	c.Assert(first, qt.HasLen, 1)
	c.Assert(due(announceMs+1500), qt.HasLen, 0)
	p.RetryOrder(first[0])
	p.RetryOrder("gone")
	c.Assert(due(announceMs+3000), qt.DeepEquals, first)
}

func TestPhasesProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 30).Draw(t, "backends")
		f, p := newFleet(rapid.IntRange(0, n).Draw(t, "prefill"), 0), NewPhasePlanner()
		for len(f.states) < n {
			f.states = append(f.states, BackendReport{ID: fmt.Sprintf("d%02d", len(f.states)), Usable: true})
		}
		now := 0.0
		for range 40 {
			now += float64(rapid.IntRange(50, 3000).Draw(t, "ms"))
			for i := range f.states {
				f.states[i].Usable = rapid.IntRange(0, 9).Draw(t, "up") > 0
			}
			due := map[string]bool{}
			for _, m := range f.step(p, now, 8, rapid.IntRange(0, 8*30).Draw(t, "active")) {
				for _, s := range f.states {
					if s.ID == m.ID && !s.Usable {
						t.Fatalf("a move of %s, which isn't usable", m.ID)
					}
				}
				if m.Due && due[m.ID] {
					t.Fatalf("two orders to %s in one step", m.ID)
				}
				due[m.ID] = m.Due
			}
			if len(p.InTransition()) > n {
				t.Fatalf("%d moving of %d", len(p.InTransition()), n)
			}
		}
	})
}
