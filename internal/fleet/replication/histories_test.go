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

// Operators submit changes based on the version that they know, and read the newest version, under random faults. The
// history of their calls is checked for linearizability against a register.

// order is a change of the configuration as stored in the record. Its version and author identify it.
type order struct {
	base, ver int
	by        string
}

func (o order) body() string { return fmt.Sprintf("%d %d %s", o.base, o.ver, o.by) }

func parseOrder(body string) (o order) {
	f := strings.Fields(body)
	o.base, _ = strconv.Atoi(f[0])
	o.ver, _ = strconv.Atoi(f[1])
	o.by = f[2]
	return o
}

// newest returns the newest configuration of a record.
func newest(log []string) order {
	if len(log) == 0 {
		return order{}
	}
	return parseOrder(log[len(log)-1])
}

// verdict is the answer of a machine to an operator's call.
type verdict uint8

const (
	unclear verdict = iota // 503, or no answer: the order may have been committed
	taken                  // 200
	refused                // 412: another version is in place
	shown                  // 200 with a configuration
)

// operators are the clients of a simulated core under random faults.
type operators struct {
	*sim
	ops           []porcupine.Operation
	lossy         float64 // probability that an answer is lost
	blackouts     bool    // all machines lose power around acknowledgements
	hasty         bool    // planted fault: verdicts don't wait for the commit of the record that they are based on
	count         map[verdict]int
	resent        int // retried orders that were already in the record
	open          int
	blackoutCount int // number of blackouts
}

// input is the input of an operation of the history: a read (show) or an order.
type input struct {
	show  bool
	order order
}

type output struct {
	verdict verdict
	shown   order
}

// register is the sequential model: a single register with conditional writes.
var register = porcupine.Model{
	Init: func() any { return order{} },
	Step: func(state, in, out any) (bool, any) {
		now, call, got := state.(order), in.(input), out.(output)
		switch {
		case call.show: // a read without an answer is always legal
			return got.verdict == unclear || got.shown == now, now
		case got.verdict == taken:
			return now.ver == call.order.base, call.order
		case got.verdict == refused:
			return now.ver != call.order.base, now
		case now.ver == call.order.base: // no definite answer: committed now, or after all other operations
			return true, call.order
		}
		return true, now
	},
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, " ", out) },
}

// judge handles an order at a machine like the control server: an order that is already in the record is acknowledged
// again and one on another base is refused, both only once the record that this is based on is committed. Otherwise the
// order is proposed.
func (o *operators) judge(b *simNode, request order, reply func(verdict)) {
	o.token++
	t := o.token
	if b.m.Status().Role != Primary {
		reply(unclear)
		return
	}
	v, at := taken, b.m.Status().Seq
	known := false
	for _, body := range b.app.log {
		known = known || body == request.body()
	}
	switch {
	case known:
		o.resent++
	case newest(b.app.log).ver != request.base:
		v = refused
	default:
		o.bodies[t] = request.body()
		o.calls[t] = func(_ pendingOutput, a Answer) {
			if a.Result == Committed {
				reply(taken)
				return
			}
			reply(unclear)
		}
		o.input(b, b.m.Propose(o.clock(b), t, []byte(request.body())))
		o.maybeBlackout(20 * ms)
		return
	}
	o.floors[t] = o.ackedMax
	o.calls[t] = func(_ pendingOutput, a Answer) {
		if a.Result != Confirmed || a.Seq < at && !o.hasty {
			v = unclear
		}
		reply(v)
	}
	o.input(b, b.m.Read(o.clock(b), t))
}

func (o *operators) show(b *simNode, reply func(verdict, order)) {
	o.token++
	t := o.token
	o.floors[t] = o.ackedMax
	o.calls[t] = func(c pendingOutput, a Answer) {
		if a.Result != Confirmed {
			reply(unclear, order{})
			return
		}
		reply(shown, newest(c.log[:a.Seq]))
	}
	o.input(b, b.m.Read(o.clock(b), t))
}

// operator starts an operator, which makes one call after the other and retries each, at any machine, until it has a
// definite answer.
func (o *operators) operator(id int) { (&operator{o: o, id: id}).next() }

// operator is the state of one operator.
type operator struct {
	o     *operators
	id    int
	known int // the version on which it bases its next order
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

// operatorCall is one call, which is retried until it is answered.
type operatorCall struct {
	*operator
	call  input
	at    int // index in the history
	ended bool
}

// attempt sends the call to a machine, and schedules a retry.
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
					o.maybeBlackout(2 * ms)
				}
				p.answer(output{verdict: v})
			})
		}
	}
	o.after(50*ms+o.upTo(time.Second), p.attempt)
}

// answer delivers an answer, unless it is lost or not definite; then the call is retried.
func (p *operatorCall) answer(out output) {
	o := p.o
	if out.verdict == unclear || o.rng.Float64() < o.lossy {
		return
	}
	o.after(o.upTo(5*ms), func() { p.end(out) })
}

// end ends the call, updates the operator's known version and schedules its next call.
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
	case refused: // mostly learns the newest acknowledged version
		if o.rng.IntN(4) > 0 {
			p.known = max(p.known, newestAcked(o))
		}
	}
	o.after(o.upTo(300*ms), p.next)
}

// newestAcked returns the highest acknowledged version.
func newestAcked(o *operators) (ver int) {
	for _, op := range o.ops {
		if out := op.Output.(output); out.verdict == taken {
			ver = max(ver, op.Input.(input).order.ver)
		}
	}
	return ver
}

// maybeBlackout schedules a blackout within the time soon, with a probability of 1/30.
func (o *operators) maybeBlackout(soon time.Duration) {
	if o.blackouts && o.now > o.bootUntil && o.now < stormEnd && o.rng.IntN(30) == 0 {
		o.after(o.upTo(soon), func() { o.blackoutCount++; o.blackout() })
	}
}

// blackout models a simultaneous power loss of all machines.
func (o *operators) blackout() {
	o.logf("blackout")
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

// play runs random faults with up to eight concurrent operators and checks their history.
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
	// Every call begun before this must get a definite answer.
	stop := o.now
	o.runUntil(stop+6*time.Second, nil)
	if o.err != nil {
		return o.err
	}
	for _, op := range o.ops {
		if op.Call <= int64(stop) && op.Output.(output).verdict == unclear {
			return fmt.Errorf("%v has no definite answer 6 s after the recovery", op.Input)
		}
	}
	switch porcupine.CheckOperationsTimeout(register, o.ops, 20*time.Second) {
	case porcupine.Illegal:
		return fmt.Errorf("no order of %d calls explains their answers", len(o.ops))
	case porcupine.Unknown:
		return fmt.Errorf("history of %d calls was not checked within 20 s", len(o.ops))
	}
	return nil
}

// TestHistories: the answers to operators under random faults are linearizable, also when answers are lost and orders
// are retried at any machine, when two orders have the same base, and when all machines lose power around an
// acknowledgement.
func TestHistories(t *testing.T) {
	for _, c := range []struct{ n, nodes int }{{1, 0}, {3, 1}, {4, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d-%d", c.n, c.nodes), func(t *testing.T) {
			t.Parallel()
			count, resent, blackoutCount := map[verdict]int{}, 0, 0
			for seed := uint64(1); seed <= uint64(*nSeeds)/2; seed++ {
				o := newOperators(seed, c.n, c.nodes)
				if err := o.play(seed); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
				for v, k := range o.count {
					count[v] += k
				}
				resent += o.resent
				blackoutCount += o.blackoutCount
			}
			t.Logf("%d taken, %d refused, %d shown; %d retried orders were already in the record; %d blackouts",
				count[taken], count[refused], count[shown], resent, blackoutCount)
			qt.Assert(t, count[taken] > 0 && count[refused] > 0 && count[shown] > 0 && resent > 0 || c.n == 1, qt.IsTrue)
		})
	}
}

// TestHastyVerdicts: the linearizability check detects answers that are based on an uncommitted record.
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
