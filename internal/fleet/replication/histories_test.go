package replication

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
)

// Operators order changes on top of the version that they know and read the newest one back, over the storms' faults.
// Their answers are judged together: they must be such as one machine could have given that did one thing after the
// other.

// order is a change of the configuration, as it stands in the record: its number and its author name it.
type order struct {
	base, ver int
	by        string
}

func (o order) body() string { return fmt.Sprintf("%d %d %s", o.base, o.ver, o.by) }

func orderOf(body string) (o order) {
	f := strings.Fields(body)
	o.base, _ = strconv.Atoi(f[0])
	o.ver, _ = strconv.Atoi(f[1])
	o.by = f[2]
	return o
}

// newest is the configuration after a record.
func newest(log []string) order {
	if len(log) == 0 {
		return order{}
	}
	return orderOf(log[len(log)-1])
}

// verdict is what a machine of the core answers to an order.
type verdict uint8

const (
	unclear verdict = iota // 503, or no answer: may have been taken
	taken                  // 200
	refused                // 412: another version is in place
	shown                  // 200 with a configuration
)

// operators is a storm's clients.
type operators struct {
	*sim
	ops       []porcupine.Operation
	lossy     float64 // share of answers that are lost
	blackouts bool    // all machines lose power in the middle of acknowledgements
	hasty     bool    // a fault: verdicts don't wait until what they are about is committed
	count     map[verdict]int
	again     int // orders sent again that had been taken
	open      int
	dark      int // blackouts
}

// input is an operator's call in the history.
type input struct {
	show  bool
	order order
}

type output struct {
	verdict verdict
	shown   order
}

// register is one machine that does one thing after the other.
var register = porcupine.Model{
	Init: func() any { return order{} },
	Step: func(state, in, out any) (bool, any) {
		now, call, got := state.(order), in.(input), out.(output)
		switch {
		case call.show: // one without an answer says nothing
			return got.verdict == unclear || got.shown == now, now
		case got.verdict == taken:
			return now.ver == call.order.base, call.order
		case got.verdict == refused:
			return now.ver != call.order.base, now
		case now.ver == call.order.base: // no clear answer until the end: it was taken, or comes after all else
			return true, call.order
		}
		return true, now
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// judge does at a box what the control server does with an order: one that was taken is acknowledged again, one on
// another base is refused, both only when the record it was judged by is committed; else it is proposed.
func (o *operators) judge(b *simNode, what order, tell func(verdict)) {
	o.token++
	t := o.token
	if b.m.Status().Role != Primary {
		tell(unclear)
		return
	}
	v, at := taken, b.m.Status().Seq
	known := false
	for _, body := range b.app.log {
		known = known || body == what.body()
	}
	switch {
	case known:
		o.again++
	case newest(b.app.log).ver != what.base:
		v = refused
	default:
		o.bodies[t] = what.body()
		o.calls[t] = func(_ pendingOutput, a Answer) {
			if a.Result == Committed {
				tell(taken)
				return
			}
			tell(unclear)
		}
		o.input(b, b.m.Propose(o.clock(b), t, []byte(what.body())))
		o.perhapsDark(20 * ms)
		return
	}
	o.floors[t] = o.ackedMax
	o.calls[t] = func(_ pendingOutput, a Answer) {
		if a.Result != Confirmed || a.Seq < at && !o.hasty {
			v = unclear
		}
		tell(v)
	}
	o.input(b, b.m.Read(o.clock(b), t))
}

func (o *operators) show(b *simNode, tell func(verdict, order)) {
	o.token++
	t := o.token
	o.floors[t] = o.ackedMax
	o.calls[t] = func(c pendingOutput, a Answer) {
		if a.Result != Confirmed {
			tell(unclear, order{})
			return
		}
		tell(shown, newest(c.log[:a.Seq]))
	}
	o.input(b, b.m.Read(o.clock(b), t))
}

// operator calls again and again: the same call until it has a clear answer, from one machine after the other.
func (o *operators) operator(id int) { (&operator{o: o, id: id}).next() }

// operator is one of the operators.
type operator struct {
	o     *operators
	id    int
	known int // the version that it builds on
	calls int
}

// next begins the operator's next call.
func (p *operator) next() {
	o := p.o
	p.calls++
	call := input{show: o.rng.IntN(3) == 0}
	if !call.show {
		call.order = order{p.known, p.known + 1 + o.rng.IntN(2), fmt.Sprintf("%d.%d", p.id, p.calls)}
	}
	began := int64(o.now)
	op := &operatorCall{operator: p, call: call, at: len(o.ops)}
	o.ops = append(o.ops, porcupine.Operation{
		ClientId: p.id,
		Input:    call,
		Call:     began,
		Output:   output{},
		Return:   math.MaxInt64,
	})
	o.open++
	op.attempt()
}

// operatorCall is one call, asked for again until it is answered.
type operatorCall struct {
	*operator
	call  input
	at    int // in the history
	ended bool
}

// attempt asks some machine, and again later while there is no answer.
func (p *operatorCall) attempt() {
	if p.ended {
		return
	}
	o := p.o
	if b := o.target(); b != nil {
		if p.call.show {
			o.show(b, func(v verdict, d order) { p.answer(output{v, d}) })
		} else {
			o.judge(b, p.call.order, func(v verdict) {
				if v == taken {
					o.perhapsDark(2 * ms)
				}
				p.answer(output{verdict: v})
			})
		}
	}
	o.after(50*ms+o.upTo(time.Second), p.attempt)
}

// answer brings an answer, unless it is lost or says nothing: then the call is asked for again.
func (p *operatorCall) answer(out output) {
	o := p.o
	if out.verdict == unclear || o.rng.Float64() < o.lossy {
		return
	}
	o.after(o.upTo(5*ms), func() { p.end(out) })
}

// end ends the call; the operator goes on from what it learned.
func (p *operatorCall) end(out output) {
	if p.ended {
		return
	}
	o := p.o
	p.ended = true
	o.open--
	o.count[out.verdict]++
	o.ops[p.at].Output, o.ops[p.at].Return = out, int64(o.now)
	switch out.verdict {
	case taken:
		p.known = p.call.order.ver
	case shown:
		p.known = out.shown.ver
	case refused: // the newest version is asked for next, mostly
		if o.rng.IntN(4) > 0 {
			p.known = max(p.known, newestAcked(o))
		}
	}
	o.after(o.upTo(300*ms), p.next)
}

// newestAcked is the version that was last acknowledged.
func newestAcked(o *operators) (ver int) {
	for _, op := range o.ops {
		if out := op.Output.(output); out.verdict == taken {
			ver = max(ver, op.Input.(input).order.ver)
		}
	}
	return ver
}

// perhapsDark has all machines lose power soon, at times.
func (o *operators) perhapsDark(soon time.Duration) {
	if o.blackouts && o.now > o.bootUntil && o.now < stormEnd && o.rng.IntN(30) == 0 {
		o.after(o.upTo(soon), func() { o.dark++; o.blackout() })
	}
}

// blackout takes the power of all machines at once.
func (o *operators) blackout() {
	o.note("blackout")
	for _, b := range o.nodes {
		if b.m != nil {
			o.kill(b)
			o.after(100*ms+o.upTo(700*ms), func() { o.start(b) })
		}
	}
}

func newOperators(seed uint64, n, nodes int) *operators {
	o := &operators{sim: newSim(seed, n, 3, FailureTolerance{Nodes: nodes}), count: map[verdict]int{}}
	o.lossy = 0.1 * float64(seed%3)
	o.blackouts = seed%2 == 0
	return o
}

// play runs a storm with up to eight orders at once and judges its history.
func (o *operators) play(seed uint64) error {
	o.storm(seed, func() {
		for id := range 1 + int(seed%8) {
			o.operator(id)
		}
	})
	if o.err != nil {
		return o.err
	}
	o.lossy = 0
	// Whoever asked before this has a clear answer soon.
	stop := o.now
	o.runUntil(stop+6*time.Second, nil)
	if o.err != nil {
		return o.err
	}
	for _, op := range o.ops {
		if op.Call <= int64(stop) && op.Output.(output).verdict == unclear {
			return fmt.Errorf("%v has no clear answer long after calm", op.Input)
		}
	}
	switch porcupine.CheckOperationsTimeout(register, o.ops, 20*time.Second) {
	case porcupine.Illegal:
		return fmt.Errorf("no order of %d calls explains their answers", len(o.ops))
	case porcupine.Unknown:
		return fmt.Errorf("%d calls weren't judged in time", len(o.ops))
	}
	return nil
}

// TestHistories: what operators are answered over storms is linearizable, also where answers are lost and orders are
// sent again to any machine, where two build on one version, and where all machines lose power while they acknowledge.
func TestHistories(t *testing.T) {
	for _, c := range []struct{ n, nodes int }{{1, 0}, {3, 1}, {4, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d-%d", c.n, c.nodes), func(t *testing.T) {
			t.Parallel()
			count, again, dark := map[verdict]int{}, 0, 0
			for seed := uint64(1); seed <= uint64(*nSeeds)/2; seed++ {
				o := newOperators(seed, c.n, c.nodes)
				if err := o.play(seed); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				for v, k := range o.count {
					count[v] += k
				}
				again += o.again
				dark += o.dark
			}
			t.Logf("%d taken, %d refused, %d shown; %d orders were found to be taken already; %d blackouts",
				count[taken], count[refused], count[shown], again, dark)
			qt.Assert(t, count[taken] > 0 && count[refused] > 0 && count[shown] > 0 && again > 0 || c.n == 1, qt.IsTrue)
		})
	}
}

// TestHastyVerdicts: an answer about a record whose end isn't committed yet is found out.
func TestHastyVerdicts(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		o := newOperators(seed, 3, 1)
		o.hasty = true
		if err := o.play(seed); err != nil {
			qt.Assert(t, err, qt.ErrorMatches, "no order of .*")
			return
		}
	}
	t.Error("not found")
}
