package crossing

import (
	"flag"
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
	"time"
)

// The search runs the machines of both ends against a network that may do what networks
// do, breadth first, and holds the rules in every state that can be reached. A state is
// known by its 64-bit hash.

var deep = flag.Bool("crossing.deep", false, "search with all budgets at once, which takes minutes")

// shape is a setting of the search.
type shape struct {
	name    string
	resend  bool // slot 1 is the same request, offered again; else another request
	repeats bool // the request may run more than once, though never twice at a time
	budget  budget
}

// budget is what may still go wrong.
type budget struct{ cuts, nearEnds, farEnds, drains, cancels, lapses, leaves uint8 }

type packet struct {
	m    Msg
	slot uint8
}

const depth = 3 // packets that may lie in one direction of a connection

type pipe struct {
	p [depth]packet
	n uint8
}

func (q *pipe) push(p packet) bool {
	if q.n == depth {
		return false
	}
	q.p[q.n] = p
	q.n++
	return true
}

func (q *pipe) pop() packet {
	p := q.p[0]
	copy(q.p[:], q.p[1:])
	q.n--
	q.p[q.n] = packet{}
	return p
}

// wire is a connection; what lies in it may still come when it is cut, until its end sees.
type wire struct {
	nearUp, farUp bool // as each end sees it
	cut           bool
	there, back   pipe
}

// nearSlot is a crossing at the near end, with what its client was told.
type nearSlot struct {
	m       Near
	used    bool
	inc     uint8 // of the far process that was offered it
	verdict Verdict
	told    bool // its request was answered by this verdict
	acked   bool // the far end was told that it has its verdict
	broken  bool // its process has ended: nobody can be told
}

// farSlot is a crossing at the far end, with what its core does.
type farSlot struct {
	m       Far
	core    bool // the core holds it
	out     bool // an attempt is out
	stopped bool
	lapsed  bool
	begins  uint8 // over all processes
}

type state struct {
	wires    [2]wire
	near     [2]nearSlot
	far      [2]farSlot
	left     budget
	nearGen  uint8
	farGen   uint8
	knows    uint8 // the far process that the near end knows of
	draining bool
	heard    bool // the near end knows that the far end drains
	breach   string
}

// machines are the machines' steps, so that a test can break one.
type machines struct {
	write  func(*Near, Conn) bool
	lose   func(*Near, Conn, Conn) Msg
	got    func(*Near, Msg) Verdict
	expire func(*Near) Verdict
	offer  func(*Far, Conn, Terms) (Msg, Act)
	begin  func(*Far, Terms) bool
	fence  func(*Far, Conn, Terms) (Msg, Act)
	cancel func(*Far, Conn, Terms) (Msg, Act)
	forget func(*Far, bool, bool) bool
}

func whole() machines {
	return machines{(*Near).Write, (*Near).Lose, (*Near).Got, (*Near).Expire, (*Far).Offer, (*Far).Begin,
		(*Far).Fence, (*Far).Cancel, (*Far).Forget}
}

type search struct {
	shape
	x     machines
	seed  maphash.Seed
	next  []state
	label []string
}

func (s *search) add(st state, format string, args ...any) {
	s.next = append(s.next, st)
	s.label = append(s.label, fmt.Sprintf(format, args...))
}

// request is which request a slot carries.
func (s *search) request(slot int) int {
	if s.resend {
		return 0
	}
	return slot
}

func (st *state) other(not Conn) Conn {
	for i := range st.wires {
		if c := Conn(i + 1); st.wires[i].nearUp && c != not {
			return c
		}
	}
	return 0
}

// toFar writes a message of the near end; false: there is no room now.
func (st *state) toFar(on Conn, m Msg, slot int) bool {
	w := &st.wires[on-1]
	return w.cut || w.there.push(packet{m, uint8(slot)})
}

func (st *state) toNear(on Conn, m Msg, slot int) bool {
	if m == None || on == 0 || !st.wires[on-1].farUp || st.wires[on-1].cut {
		return true
	}
	return st.wires[on-1].back.push(packet{m, uint8(slot)})
}

func (s *search) breach(st *state, text string) {
	if st.breach == "" {
		st.breach = text
	}
}

// verdict notes what a crossing has come to, and answers or leaves it to a resend.
func (s *search) verdict(st *state, slot int, v Verdict) {
	n := &st.near[slot]
	if v == Open {
		return
	}
	n.verdict = v
	switch {
	case v == Answer || v == Lost && !s.repeats || n.m.Cancelled || slot == 1 || !s.resend:
		s.tell(st, slot)
	}
}

// tell gives the request of a slot its final answer.
func (s *search) tell(st *state, slot int) {
	for i := range st.near {
		if i != slot && s.request(i) == s.request(slot) && st.near[i].told {
			s.breach(st, "two final answers")
		}
	}
	if st.near[slot].told {
		s.breach(st, "two final answers")
	}
	st.near[slot].told = true
	if st.near[slot].verdict != NeverIn || s.repeats || st.near[slot].m.Cancelled { // who left is told nothing
		return
	}
	for i := range st.far {
		if s.request(i) == s.request(slot) && st.far[i].begins > 0 {
			s.breach(st, "refused what may have run")
		}
	}
}

func (s *search) finish(st *state, slot int) {
	f := &st.far[slot]
	ran := f.m.State == Running
	m := f.m.Finish(ran)
	f.core, f.out, f.stopped = false, false, false
	st.toNear(f.m.On, m, slot)
}

func (s *search) acts(st *state, slot int, a Act) {
	f := &st.far[slot]
	switch a {
	case Run:
		f.core = true
		if st.draining {
			s.breach(st, "taken while it drains")
		}
	case Stop:
		f.stopped = f.core
	case Violates:
		s.breach(st, "an honest peer breaks the protocol")
	}
}

// steps lists all that may happen next.
func (s *search) steps(st state) {
	s.next, s.label = s.next[:0], s.label[:0]
	for slot := range st.near {
		n := st.near[slot]
		// The near end offers a crossing; the second one again, after proof that the first
		// never began, or, of what may be repeated, that nothing of it goes on.
		first := st.near[0]
		may := !n.used && st.nearGen == 0 && (slot == 0 || !s.resend ||
			first.used && !first.told && !first.m.Cancelled && (first.verdict == NeverIn || first.verdict == Lost && s.repeats))
		if may {
			for i := range st.wires {
				to := st
				c := Conn(i + 1)
				if !to.wires[i].nearUp || to.heard || !s.x.write(&to.near[slot].m, c) || !to.toFar(c, Offer, slot) {
					continue
				}
				to.near[slot].used, to.near[slot].inc = true, to.knows
				s.add(to, "near offers %d on connection %d", slot, c)
			}
		}
		if n.used && !n.told && !n.broken && n.verdict != Open && s.resend && slot == 0 && !st.near[1].used {
			to := st
			s.tell(&to, slot)
			s.add(to, "near refuses the request instead of offering it again")
		}
		if n.used && n.verdict == Open && !n.broken {
			for _, keep := range []bool{false, true} {
				to := st
				left := &to.left.cancels
				if keep { // who leaves where what has begun is let run
					left = &to.left.leaves
				}
				if *left == 0 || n.m.Cancelled {
					continue
				}
				*left--
				on := to.other(0)
				m, v := to.near[slot].m.Cancel(on, keep)
				s.verdict(&to, slot, v)
				if m == None || to.toFar(on, m, slot) {
					s.add(to, "the client of %d leaves: near writes %v on %d", slot, m, on)
				}
			}
			// The near end outwaits the lease, at the far end's clock or that process's end.
			if st.far[slot].lapsed && !st.far[slot].out && !st.far[slot].core || n.inc != st.farGen {
				to := st
				s.verdict(&to, slot, s.x.expire(&to.near[slot].m))
				s.add(to, "near: the time of %d is up, %v", slot, to.near[slot].m.State)
			}
		}
		f := st.far[slot]
		if f.core && !f.out && !f.stopped {
			to := st
			if s.x.begin(&to.far[slot].m, Terms{Lapsed: f.lapsed}) {
				s.begun(&to, slot)
				s.add(to, "far begins %d", slot)
			}
		}
		if f.core {
			to := st
			s.finish(&to, slot)
			s.add(to, "far's core ends %d", slot)
		}
		if !f.lapsed && n.used && st.left.lapses > 0 {
			to := st
			to.left.lapses--
			to.far[slot].lapsed = true
			m, a := to.far[slot].m.Lapse()
			s.acts(&to, slot, a)
			to.far[slot].stopped = to.far[slot].core
			if to.toNear(to.far[slot].m.On, m, slot) {
				s.add(to, "the lease of %d is over at the far end", slot)
			}
		}
		if f.m.State != Unknown && !f.core && s.x.forget(&f.m, f.lapsed, n.acked) {
			to := st
			to.far[slot].m = Far{}
			s.add(to, "far forgets %d", slot)
		}
	}
	s.network(st)
	s.ends(st)
}

// begun notes the begin of an attempt, and holds the rules on it.
func (s *search) begun(st *state, slot int) {
	f := &st.far[slot]
	for i := range st.far {
		if s.request(i) != s.request(slot) {
			continue
		}
		switch {
		case !s.repeats && st.far[i].begins > 0:
			s.breach(st, "an effect twice")
		case i != slot && st.far[i].out:
			s.breach(st, "two attempts at once")
		case st.near[i].told && !st.near[i].m.Cancelled:
			s.breach(st, "begun after the near end has answered")
		}
	}
	f.begins++
	f.out = true
}

// network is what may happen to connections.
func (s *search) network(st state) {
	for i := range st.wires {
		w, c := st.wires[i], Conn(i+1)
		if w.farUp && w.there.n > 0 {
			to := st
			p := to.wires[i].there.pop()
			f := &to.far[p.slot]
			var m Msg
			var a Act
			terms := Terms{Lapsed: f.lapsed, Draining: to.draining}
			switch p.m {
			case Offer:
				m, a = s.x.offer(&f.m, c, terms)
			case Fence:
				m, a = s.x.fence(&f.m, c, terms)
			case Cancel:
				m, a = s.x.cancel(&f.m, c, terms)
			}
			s.acts(&to, int(p.slot), a)
			if to.toNear(f.m.On, m, int(p.slot)) {
				s.add(to, "far reads %v of %d on %d: %v", p.m, p.slot, c, m)
			}
		}
		if w.nearUp && w.back.n > 0 {
			to := st
			p := to.wires[i].back.pop()
			v := s.x.got(&to.near[p.slot].m, p.m)
			s.verdict(&to, int(p.slot), v)
			to.near[p.slot].acked = to.near[p.slot].acked || v != Open
			s.add(to, "near reads %v of %d on %d", p.m, p.slot, c)
		}
		if !w.cut && w.nearUp && w.farUp && st.left.cuts > 0 {
			to := st
			to.left.cuts--
			to.wires[i].cut = true
			s.add(to, "connection %d is cut", c)
		}
		if w.cut && w.nearUp {
			to := st
			s.nearLoses(&to, i)
			s.add(to, "near sees that connection %d is lost", c)
		}
		if w.cut && w.farUp {
			to := st
			s.farLoses(&to, i)
			s.add(to, "far sees that connection %d is lost", c)
		}
		if w.cut && !w.nearUp && !w.farUp && st.nearGen == 0 {
			to := st
			to.wires[i] = wire{nearUp: true, farUp: true}
			s.up(&to, c)
			s.add(to, "connection %d is up again", c)
		}
	}
}

func (s *search) nearLoses(st *state, i int) {
	c := Conn(i + 1)
	st.wires[i].nearUp = false
	st.wires[i].back = pipe{}
	for slot := range st.near {
		if n := &st.near[slot]; n.used && !n.broken {
			other := st.other(c)
			if m := s.x.lose(&n.m, c, other); m != None && !st.toFar(other, m, slot) {
				n.m.On = 0 // no room: asked when one is up again
			}
		}
	}
}

func (s *search) farLoses(st *state, i int) {
	c := Conn(i + 1)
	st.wires[i].farUp = false
	st.wires[i].there = pipe{}
	last := !st.wires[0].farUp && !st.wires[1].farUp
	for slot := range st.far {
		s.acts(st, slot, st.far[slot].m.Lose(c, last))
	}
}

// up tells the near end of a connection, and of the process at its other end.
func (s *search) up(st *state, c Conn) {
	st.knows, st.heard = st.farGen, st.draining
	for slot := range st.near {
		n := &st.near[slot]
		if !n.used || n.broken || n.verdict != Open {
			continue
		}
		if n.inc != st.farGen {
			s.verdict(st, slot, n.m.Gone())
		} else if m := n.m.Up(c); m != None && !st.toFar(c, m, slot) {
			n.m.On = 0
		}
	}
}

// ends is what may happen to the processes.
func (s *search) ends(st state) {
	if st.left.nearEnds > 0 {
		to := st
		to.left.nearEnds--
		to.nearGen++
		for i := range to.wires {
			to.wires[i].cut, to.wires[i].nearUp, to.wires[i].back = true, false, pipe{}
		}
		for slot := range to.near {
			to.near[slot].broken = to.near[slot].used && !to.near[slot].told
		}
		s.add(to, "the near gateway is killed")
	}
	if st.left.farEnds > 0 {
		to := st
		to.left.farEnds--
		to.farGen++
		to.draining = false
		for i := range to.wires {
			to.wires[i].cut, to.wires[i].farUp, to.wires[i].there = true, false, pipe{}
		}
		for slot := range to.far {
			f := &to.far[slot]
			*f = farSlot{lapsed: f.lapsed, begins: f.begins}
		}
		s.add(to, "the far gateway is killed, another comes up in its place")
	}
	if st.left.drains > 0 {
		to := st
		to.left.drains--
		to.draining = true
		s.add(to, "the far gateway drains")
	}
	if st.draining && !st.heard && st.other(0) != 0 && st.knows == st.farGen {
		to := st
		to.heard = true
		s.add(to, "near hears that the far gateway drains")
	}
}

// final tells whether nothing is owed or under way any more.
func (s *search) final(st *state) bool {
	for slot := range st.near {
		n, f := &st.near[slot], &st.far[slot]
		if f.core || n.used && !n.told && !n.broken && n.verdict == Open {
			return false
		}
	}
	return true
}

// found is what a search came to.
type found struct {
	states int
	edges  int
	took   time.Duration
	breach string
	trace  []string
	stuck  int // states from which no final one can be reached
}

func (f *found) String() string {
	return fmt.Sprintf("%d states, %d steps, %v", f.states, f.edges, f.took.Round(time.Millisecond))
}

// run searches until all states are known, or a rule is broken.
func (s *search) run() found {
	began := time.Now()
	s.seed = maphash.MakeSeed()
	first := state{left: s.budget}
	for i := range first.wires {
		first.wires[i] = wire{nearUp: true, farUp: true}
	}
	index := map[uint64]uint32{maphash.Comparable(s.seed, first): 0}
	front := []state{first}
	parents := []uint32{0}
	var from, into []uint32
	var ends []bool
	var res found
	ends = append(ends, s.final(&first))
	for at := uint32(0); len(front) > 0; at++ {
		st := front[0]
		front = front[1:]
		s.steps(st)
		for k, to := range s.next {
			res.edges++
			h := maphash.Comparable(s.seed, to)
			id, known := index[h]
			if !known {
				id = uint32(len(parents))
				index[h] = id
				parents = append(parents, at)
				ends = append(ends, s.final(&to))
				front = append(front, to)
			}
			from, into = append(from, at), append(into, id)
			if to.breach != "" {
				res.breach = to.breach
				res.trace = append(s.path(first, parents, at), s.label[k])
				res.states, res.took = len(parents), time.Since(began)
				return res
			}
		}
	}
	res.states = len(parents)
	res.stuck = stuck(from, into, ends)
	res.took = time.Since(began)
	return res
}

// path plays the way to a state again and words it.
func (s *search) path(st state, parents []uint32, to uint32) (trace []string) {
	way := []uint32{to}
	for way[0] != 0 {
		way = append([]uint32{parents[way[0]]}, way...)
	}
	// The numbers of states follow from the order of the search: the same search finds them.
	again := &search{shape: s.shape, x: s.x, seed: s.seed}
	index := map[uint64]uint32{maphash.Comparable(s.seed, st): 0}
	wanted := map[uint32]int{}
	for i, id := range way {
		wanted[id] = i
	}
	trace = make([]string, len(way)-1)
	front, count := []state{st}, uint32(1)
	for at := uint32(0); at <= to && len(front) > 0; at++ {
		st := front[0]
		front = front[1:]
		again.steps(st)
		for k, next := range again.next {
			h := maphash.Comparable(s.seed, next)
			if _, known := index[h]; !known {
				index[h] = count
				if i, on := wanted[count]; on && parents[count] == at {
					trace[i-1] = again.label[k]
				}
				count++
				front = append(front, next)
			}
		}
	}
	return trace
}

// stuck counts the states from which no final one can be reached.
func stuck(from, into []uint32, ends []bool) int {
	good := append([]bool{}, ends...)
	for changed := true; changed; {
		changed = false
		for i := len(from) - 1; i >= 0; i-- {
			if good[into[i]] && !good[from[i]] {
				good[from[i]], changed = true, true
			}
		}
	}
	n := 0
	for _, ok := range good {
		if !ok {
			n++
		}
	}
	return n
}

func shapes() []shape {
	list := []shape{
		{"an order offered again", true, false, budget{cuts: 2, farEnds: 1, cancels: 1, lapses: 2}},
		{"an order, both ends restart", true, false, budget{cuts: 1, nearEnds: 1, farEnds: 1, drains: 1, lapses: 1}},
		{"what may be repeated", true, true, budget{cuts: 2, farEnds: 1, lapses: 2}},
		{"two orders", false, false, budget{cuts: 1, nearEnds: 1, farEnds: 1, lapses: 1}},
		{"an order whose client leaves", true, false, budget{cuts: 1, farEnds: 1, leaves: 1, lapses: 2}},
	}
	if *deep {
		all := budget{cuts: 2, nearEnds: 1, farEnds: 1, drains: 1, cancels: 1, leaves: 1, lapses: 2}
		list = []shape{{"an order offered again", true, false, all}, {"what may be repeated", true, true, all}, {"two orders", false, false, all}}
	}
	return list
}

// No state that both ends, the network and the clock can come to breaks a rule, and from
// each of them all can come to an end.
func TestSearch(t *testing.T) {
	for _, sh := range shapes() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			res := (&search{shape: sh, x: whole()}).run()
			t.Logf("%s: %v", sh.name, &res)
			if res.breach != "" {
				t.Fatalf("%s:\n  %s", res.breach, strings.Join(res.trace, "\n  "))
			}
			if res.stuck > 0 {
				t.Errorf("%d states have no way to an end", res.stuck)
			}
		})
	}
}

// A machine that is broken in any of these ways shows it by a short trace.
func TestBrokenMachines(t *testing.T) {
	for _, c := range []struct {
		name, want string
		spoil      func(*machines)
	}{
		{"a lost connection is taken for proof", "refused what may have run", func(x *machines) {
			x.lose = func(n *Near, lost, other Conn) Msg {
				m := n.Lose(lost, other)
				if n.State == Asking {
					n.State = Queued // and offered again
				}
				return m
			}
			x.expire = func(n *Near) Verdict {
				v := n.Expire()
				if v == Lost {
					return NeverIn
				}
				return v
			}
		}},
		{"an offer is taken after its lease", "begun after the near end has answered", func(x *machines) {
			x.offer = func(f *Far, on Conn, t Terms) (Msg, Act) { t.Lapsed = false; return f.Offer(on, t) }
			x.begin = func(f *Far, t Terms) bool { t.Lapsed = false; return f.Begin(t) }
		}},
		{"a fence says never and bars nothing", "refused what may have run", func(x *machines) {
			x.fence = func(f *Far, on Conn, terms Terms) (Msg, Act) {
				if f.State == Unknown {
					f.On = on
					return Never, Nothing
				}
				return f.Fence(on, terms)
			}
		}},
		{"a fence takes what waits for ended and leaves it", "refused what may have run", func(x *machines) {
			x.fence = func(f *Far, on Conn, terms Terms) (Msg, Act) {
				if f.State == Taken {
					f.On = on
					return Never, Nothing
				}
				return f.Fence(on, terms)
			}
		}},
		{"what is barred is forgotten before its lease", "refused what may have run", func(x *machines) {
			x.forget = func(f *Far, _, _ bool) bool { return f.State == Barred }
		}},
		{"what is forgotten is taken for what never came", "refused what may have run", func(x *machines) {
			x.fence = func(f *Far, on Conn, terms Terms) (Msg, Act) { return f.Fence(on, Terms{}) }
		}},
		{"what is barred is forgotten when it is acknowledged", "begun after the near end has answered", func(x *machines) {
			x.forget = func(f *Far, lapsed, acked bool) bool { return (lapsed || acked) && f.State == Barred }
		}},
		{"begun is taken for never", "refused what may have run", func(x *machines) {
			x.got = func(n *Near, m Msg) Verdict {
				if m == Begun {
					m = Never
				}
				return n.Got(m)
			}
		}},
		{"a draining gateway takes what comes", "taken while it drains", func(x *machines) {
			x.offer = func(f *Far, on Conn, t Terms) (Msg, Act) { t.Draining = false; return f.Offer(on, t) }
		}},
		{"a verdict is given twice", "two final answers", func(x *machines) {
			x.got = func(n *Near, m Msg) Verdict {
				was := n.State
				v := n.Got(m)
				if was == Closed && m == Ended {
					return Answer
				}
				return v
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := whole()
			c.spoil(&x)
			for _, sh := range shapes() {
				res := (&search{shape: sh, x: x}).run()
				if res.breach == "" {
					continue
				}
				if res.breach != c.want {
					t.Errorf("shows as %q, want %q", res.breach, c.want)
				}
				t.Logf("%s, found with %q after %v:\n  %s", res.breach, sh.name, &res, strings.Join(res.trace, "\n  "))
				if len(res.trace) > 14 {
					t.Errorf("%d steps are no short trace", len(res.trace))
				}
				return
			}
			t.Error("not found")
		})
	}
}
