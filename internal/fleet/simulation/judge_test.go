package simulation

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// rules returns the rules of findings, in order.
func rules(fs []Finding) []Rule {
	out := []Rule{}
	for _, f := range fs {
		out = append(out, f.Rule)
	}
	return out
}

// fixture is one plain and one stream backend with one successful request at each.
type fixture struct {
	plain, model *Engine
	read, stream Result
}

func newScene(c *qt.C) fixture {
	s := fixture{
		plain: StartEngine(c, EngineSettings{Service: "plain", Region: "east"}),
		model: StartEngine(c, EngineSettings{Service: "model", Region: "west", Phase: PhaseDecode}),
	}
	s.read = do(c, s.plain, Request{Path: "/a/", Body: []byte("x"), Services: []string{"plain"}})
	r := prompt("a")
	r.Services = []string{"model"}
	s.stream = do(c, s.model, r)
	c.Assert(s.read.OK() && s.stream.OK(), qt.IsTrue)
	return s
}

func (s fixture) judge(rs ...Result) *Judge {
	return &Judge{Engines: []*Engine{s.plain, s.model}, Results: rs}
}

func TestJudgeWithoutBreaches(t *testing.T) {
	c := qt.New(t)
	s := newScene(c)
	c.Assert(s.judge(s.read, s.stream).Findings(), qt.HasLen, 0)
}

// TestJudge changes what a client observed, and expects the rule that it breaks.
func TestJudge(t *testing.T) {
	c := qt.New(t)
	s := newScene(c)
	for _, tc := range []struct {
		name  string
		alter func(read, stream *Result)
		want  Rule
	}{
		{"no seal", func(r, _ *Result) { r.Seal = "" }, MIXED},
		{"unknown seal", func(r, _ *Result) { r.Seal = "x" }, MIXED},
		{"another's answer", func(r, st *Result) { r.Seal = st.Seal }, MIXED},
		{"another's id", func(r, _ *Result) { r.Answered = "x" }, MIXED},
		{"cut body seems whole", func(r, _ *Result) { r.AnswerHash++ }, MIXED},
		{"encoded", func(r, _ *Result) { r.Header = http.Header{"Content-Encoding": {"gzip"}} }, MIXED},
		{"bytes for nobody", func(r, _ *Result) { r.Extra = true }, MIXED},
		{"no answer in the protocol", func(r, _ *Result) { r.Malformed = true }, MIXED},
		{"changed path", func(r, _ *Result) { r.Path = "/b/" }, UNASKED},
		{"changed body", func(r, _ *Result) { r.BodyHash++ }, UNASKED},
		{"refused though it ran", func(r, _ *Result) { r.Kind, r.Status = Mutating, 503 }, REFUSED},
		{"refused stream", func(_, st *Result) { st.Status = 408 }, REFUSED},
		{"wrong service", func(r, _ *Result) { r.Services = []string{"other"} }, ROUTE},
		{"no service", func(r, _ *Result) { r.Services = []string{} }, ROUTE},
		{"lost event", func(_, st *Result) { st.Events = append(st.Events[:1:1], st.Events[2:]...) }, ORDER},
		{"repeated event", func(_, st *Result) { st.Events = append(st.Events[:2:2], st.Events[1:]...) }, ORDER},
		{"early end", func(_, st *Result) { st.Events = st.Events[:4:4] }, ORDER},
	} {
		read, stream := s.read, s.stream
		tc.alter(&read, &stream)
		fs := s.judge(read, stream).Findings()
		c.Check(rules(fs), qt.DeepEquals, []Rule{tc.want}, qt.Commentf("%s: %v", tc.name, fs))
	}
	c.Check(rules(s.judge(s.stream).Findings()), qt.DeepEquals, []Rule{UNASKED})
}

func TestJudgeTwice(t *testing.T) {
	c := qt.New(t)
	s := newScene(c)
	again := s.read.Request
	do(c, s.plain, again)
	c.Assert(s.judge(s.read, s.stream).Findings(), qt.HasLen, 0)
	once := s.read
	once.Kind = Mutating
	fs := s.judge(once, s.stream).Findings()
	c.Assert(rules(fs), qt.DeepEquals, []Rule{TWICE})
	c.Assert(fs[0].Engine, qt.Equals, s.plain.ID())
	c.Assert(fs[0].Attempt, qt.Equals, s.read.Attempt)
}

// TestJudgeFailureAsSuccess: a 500 of the backend reaches the client as a success.
func TestJudgeFailureAsSuccess(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{})
	e.SetFaults(Faults{Fail: 500})
	r := do(c, e, Request{Path: "/a/"})
	c.Assert((&Judge{Engines: []*Engine{e}, Results: []Result{r}}).Findings(), qt.HasLen, 0)
	r.Status = 200
	c.Assert(rules((&Judge{Engines: []*Engine{e}, Results: []Result{r}}).Findings()), qt.DeepEquals, []Rule{MIXED})
}

// TestJudgeUnframed: an answer without a length that ends early looks complete, and is distinguished from the complete
// one.
func TestJudgeUnframed(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	var behind Result
	done := make(chan struct{})
	go func() {
		defer close(done)
		nc, err := ln.Accept()
		if err != nil {
			return
		}
		defer nc.Close()
		req, err := http.ReadRequest(bufio.NewReader(nc))
		if err != nil {
			return
		}
		behind = do(c, e, Request{Attempt: req.Header.Get(HeaderAttempt), Path: req.RequestURI})
		fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", HeaderSeal, behind.Seal, behind.AnswerBody[:9])
	}()
	r := (&Client{Edge: ln.Addr().String()}).Do(c.Context(), Request{Path: "/a/"})
	<-done
	c.Assert(behind.OK(), qt.IsTrue)
	c.Assert(r.Complete, qt.IsTrue)
	c.Assert(rules((&Judge{Engines: []*Engine{e}, Results: []Result{r}}).Findings()), qt.DeepEquals, []Rule{MIXED})
}

// TestJudgeForeignHandle: backends don't check to which attempt a handle belongs, Judge does.
func TestJudgeForeignHandle(t *testing.T) {
	c := qt.New(t)
	p := StartEngine(t, EngineSettings{Phase: PhasePrefill})
	d := StartEngine(t, EngineSettings{Phase: PhaseDecode})
	a, b := prompt("a"), prompt("b")
	a.Attempt = "aa"
	from := prefillAt(c, p, a)
	got := do(c, d, with(b, HeaderKVFrom, from))
	c.Assert(got.OK(), qt.IsTrue)
	j := &Judge{Engines: []*Engine{p, d}, Results: []Result{got, {Request: a, BodyHash: hashed(a.Body)}}}
	j.Results[1].Method = "POST"
	fs := j.Findings()
	c.Assert(rules(fs), qt.DeepEquals, []Rule{MIXED}, qt.Commentf("%v", fs))
}

// TestJudgeResumed: on resumable routes another run may continue from Last-Event-Id, on others it may not.
func TestJudgeResumed(t *testing.T) {
	c := qt.New(t)
	e := StartEngine(t, EngineSettings{Phase: PhaseDecode})
	r := prompt("a")
	r.Resumable, r.Attempt = true, "aa"
	e.SetFaults(Faults{CutAfter: 2})
	joined := do(c, e, r)
	e.SetFaults(Faults{})
	rest := do(c, e, with(r, HeaderLastEvent, "2"))
	c.Assert(rest.OK(), qt.IsTrue)
	cut := len(joined.Events)
	joined.Events = append(joined.Events[:cut:cut], rest.Events...)
	joined.Complete = true
	judge := func(r Result) []Finding { return (&Judge{Engines: []*Engine{e}, Results: []Result{r}}).Findings() }
	c.Assert(judge(joined), qt.HasLen, 0)
	joined.Resumable = false
	c.Assert(rules(judge(joined)), qt.DeepEquals, []Rule{ORDER, TWICE})
	joined.Resumable = true
	joined.Events = joined.Events[:3:3]
	c.Assert(rules(judge(joined)), qt.DeepEquals, []Rule{ORDER})
}

// TestJudgeBudget: the requests of a window allow a number of arrivals beyond the first; the first successful prefill
// doesn't count.
func TestJudgeBudget(t *testing.T) {
	c := qt.New(t)
	p := StartEngine(t, EngineSettings{Service: "model", Phase: PhasePrefill})
	d := StartEngine(t, EngineSettings{Service: "model", Phase: PhaseDecode})
	cl := &Client{Edge: d.Address()}
	var first Request
	for range 4 {
		r := prompt("a")
		r.Resumable, r.Services = true, []string{"model"}
		r.Attempt = randomHex(8)
		from := prefillAt(c, p, r)
		c.Assert(cl.Do(c.Context(), with(r, HeaderKVFrom, from)).OK(), qt.IsTrue)
		first = r
	}
	j := &Judge{
		Bounds:  Bounds{RetryRatio: 0.25, RetryWindow: time.Minute, RetryExtra: 0},
		Engines: []*Engine{p, d},
		Clients: []*Client{cl},
	}
	c.Assert(j.Findings(), qt.HasLen, 0)
	prefillAt(c, p, first)
	c.Assert(j.Findings(), qt.HasLen, 0, qt.Commentf("one is allowed for four requests"))
	prefillAt(c, p, first)
	fs := j.Findings()
	c.Assert(rules(fs), qt.DeepEquals, []Rule{BUDGET})
	c.Assert(fs[0].Service, qt.Equals, "model")
}

// TestJudgeRegions lists where requests ran and parts were cached.
func TestJudgeRegions(t *testing.T) {
	c := qt.New(t)
	s := newScene(c)
	j := s.judge(s.read, s.stream)
	c.Assert(j.Executions(), qt.HasLen, 2)
	c.Assert(j.CachedParts(), qt.HasLen, 3)
	places, kept := j.OutsideRegions()
	c.Assert([]int{len(places), len(kept)}, qt.DeepEquals, []int{0, 0})
	j.Results[1].Regions = []string{"east"}
	places, kept = j.OutsideRegions()
	c.Assert([]int{len(places), len(kept)}, qt.DeepEquals, []int{1, 3})
	c.Assert(kept[0].Region, qt.Equals, "west")
}
