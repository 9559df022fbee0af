package crossing

import (
	"flag"
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
	"time"
)

// The tests of this file search the state space of both machines breadth first, over a network that
// may cut and delay connections, and check the invariants in each reachable state. States are
// identified by their 64-bit hash.

var deep = flag.Bool("crossing.deep", false, "search with all fault budgets at once; takes minutes")

// searchConfig configures a search.
type searchConfig struct {
	name        string
	retry       bool // slot 1 is the request of slot 0, retried; else another request
	idempotent  bool // the request may run more than once, though never twice at a time
	faultBudget faultBudget
}

// faultBudget is how many faults of each kind may still happen.
type faultBudget struct{ cuts, senderCrashes, receiverCrashes, drains, cancels, leaseExpiries, departures uint8 }

type packet struct {
	m    Msg
	slot uint8
}

const maxInFlight = 3 // packets in flight in one direction of a connection

type pipe struct {
	p [maxInFlight]packet
	n uint8
}

func (q *pipe) push(p packet) bool {
	if q.n == maxInFlight {
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

// connection is a connection of a link. After a cut, packets in flight may still arrive until their
// end detects the loss.
type connection struct {
	senderUp, receiverUp bool // as seen by the sender and by the receiver
	cut                  bool
	toReceiver, toSender pipe
}

// senderSlot is a crossing at the sender, with the answer to its client.
type senderSlot struct {
	m            Sender
	used         bool
	incarnation  uint8 // incarnation of the receiver that was offered it
	outcome      Outcome
	responded    bool // its request was answered with this outcome
	acknowledged bool // the receiver was notified that the sender has the outcome
	crashed      bool // the process of the sender has ended
}

// receiverSlot is a crossing at the receiver, with the state of its core.
type receiverSlot struct {
	m            Receiver
	inCore       bool // the core works on it
	inFlight     bool // an attempt is in flight
	stopped      bool
	leaseExpired bool
	starts       uint8 // over all incarnations
}

type state struct {
	connections      [2]connection
	senders          [2]senderSlot
	receivers        [2]receiverSlot
	left             faultBudget
	senderGen        uint8
	receiverGen      uint8
	knownReceiverGen uint8 // the incarnation of the receiver that the sender knows
	draining         bool
	knowsDrain       bool // the sender knows that the receiver drains
	violation        string
}

// machines holds the functions of both state machines, so that a test can replace one by a faulty one.
type machines struct {
	write     func(*Sender, Conn) bool
	connLost  func(*Sender, Conn, Conn) Msg
	receive   func(*Sender, Msg) Outcome
	expire    func(*Sender) Outcome
	offer     func(*Receiver, Conn, Conditions) (Msg, Action)
	start     func(*Receiver, Conditions) bool
	query     func(*Receiver, Conn, Conditions) (Msg, Action)
	cancel    func(*Receiver, Conn, Conditions) (Msg, Action)
	canForget func(*Receiver, bool, bool) bool
}

func correctMachines() machines {
	return machines{(*Sender).Write, (*Sender).ConnLost, (*Sender).Receive, (*Sender).ExpireLease, (*Receiver).Offer,
		(*Receiver).Start,
		(*Receiver).Query, (*Receiver).Cancel, (*Receiver).CanForget}
}

type search struct {
	searchConfig
	x     machines
	seed  maphash.Seed
	next  []state
	label []string
}

func (s *search) add(st state, format string, args ...any) {
	s.next = append(s.next, st)
	s.label = append(s.label, fmt.Sprintf(format, args...))
}

// request returns the number of the request that a slot carries.
func (s *search) request(slot int) int {
	if s.retry {
		return 0
	}
	return slot
}

func (st *state) other(not Conn) Conn {
	for i := range st.connections {
		if c := Conn(i + 1); st.connections[i].senderUp && c != not {
			return c
		}
	}
	return 0
}

// writeToReceiver writes a message of the sender and reports false if there is no room.
func (st *state) writeToReceiver(on Conn, m Msg, slot int) bool {
	w := &st.connections[on-1]
	return w.cut || w.toReceiver.push(packet{m, uint8(slot)})
}

func (st *state) writeToSender(on Conn, m Msg, slot int) bool {
	if m == None || on == 0 || !st.connections[on-1].receiverUp || st.connections[on-1].cut {
		return true
	}
	return st.connections[on-1].toSender.push(packet{m, uint8(slot)})
}

func (s *search) violation(st *state, text string) {
	if st.violation == "" {
		st.violation = text
	}
}

// outcome records the outcome of a crossing, and answers the request unless it is left to a retry.
func (s *search) outcome(st *state, slot int, v Outcome) {
	n := &st.senders[slot]
	if v == Pending {
		return
	}
	n.outcome = v
	switch {
	case v == Answered || v == Lost && !s.idempotent || n.m.Cancelled || slot == 1 || !s.retry:
		s.respond(st, slot)
	}
}

// respond gives the request of a slot its final answer.
func (s *search) respond(st *state, slot int) {
	for i := range st.senders {
		if i != slot && s.request(i) == s.request(slot) && st.senders[i].responded {
			s.violation(st, "two final answers")
		}
	}
	if st.senders[slot].responded {
		s.violation(st, "two final answers")
	}
	st.senders[slot].responded = true
	// A client that has left gets no answer.
	if st.senders[slot].outcome != NeverRan || s.idempotent || st.senders[slot].m.Cancelled {
		return
	}
	for i := range st.receivers {
		if s.request(i) == s.request(slot) && st.receivers[i].starts > 0 {
			s.violation(st, "rejected a request that may have run")
		}
	}
}

func (s *search) finish(st *state, slot int) {
	f := &st.receivers[slot]
	ran := f.m.State == Running
	m := f.m.Finish(ran)
	f.inCore, f.inFlight, f.stopped = false, false, false
	st.writeToSender(f.m.On, m, slot)
}

func (s *search) apply(st *state, slot int, a Action) {
	f := &st.receivers[slot]
	switch a {
	case Run:
		f.inCore = true
		if st.draining {
			s.violation(st, "accepted while draining")
		}
	case Stop:
		f.stopped = f.inCore
	case ProtocolError:
		s.violation(st, "a correct peer violates the protocol")
	}
}

// steps lists all possible next states.
func (s *search) steps(st state) {
	s.next, s.label = s.next[:0], s.label[:0]
	for slot := range st.senders {
		n := st.senders[slot]
		// The sender offers a crossing. The retry in slot 1 needs proof that the first never started,
		// or, if the request is idempotent, that no work on it continues.
		first := st.senders[0]
		may := !n.used && st.senderGen == 0 && (slot == 0 || !s.retry ||
			first.used && !first.responded && !first.m.Cancelled &&
				(first.outcome == NeverRan || first.outcome == Lost && s.idempotent))
		if may {
			for i := range st.connections {
				to := st
				c := Conn(i + 1)
				if !to.connections[i].senderUp || to.knowsDrain || !s.x.write(&to.senders[slot].m, c) ||
					!to.writeToReceiver(c, Offer, slot) {
					continue
				}
				to.senders[slot].used, to.senders[slot].incarnation = true, to.knownReceiverGen
				s.add(to, "sender offers %d on connection %d", slot, c)
			}
		}
		if n.used && !n.responded && !n.crashed && n.outcome != Pending && s.retry && slot == 0 && !st.senders[1].used {
			to := st
			s.respond(&to, slot)
			s.add(to, "sender rejects the request instead of retrying it")
		}
		if n.used && n.outcome == Pending && !n.crashed {
			for _, keep := range []bool{false, true} {
				to := st
				left := &to.left.cancels
				if keep { // the client leaves, but running work may finish
					left = &to.left.departures
				}
				if *left == 0 || n.m.Cancelled {
					continue
				}
				*left--
				on := to.other(0)
				m, v := to.senders[slot].m.Cancel(on, keep)
				s.outcome(&to, slot, v)
				if m == None || to.writeToReceiver(on, m, slot) {
					s.add(to, "client of %d leaves: sender writes %v on %d", slot, m, on)
				}
			}
			// The sender waits until the lease is over at the receiver, or until that process has ended.
			if st.receivers[slot].leaseExpired && !st.receivers[slot].inFlight && !st.receivers[slot].inCore ||
				n.incarnation != st.receiverGen {
				to := st
				s.outcome(&to, slot, s.x.expire(&to.senders[slot].m))
				s.add(to, "sender: lease of %d is over, %v", slot, to.senders[slot].m.State)
			}
		}
		f := st.receivers[slot]
		if f.inCore && !f.inFlight && !f.stopped {
			to := st
			if s.x.start(&to.receivers[slot].m, Conditions{LeaseExpired: f.leaseExpired}) {
				s.recordStart(&to, slot)
				s.add(to, "receiver starts %d", slot)
			}
		}
		if f.inCore {
			to := st
			s.finish(&to, slot)
			s.add(to, "receiver's core ends %d", slot)
		}
		if !f.leaseExpired && n.used && st.left.leaseExpiries > 0 {
			to := st
			to.left.leaseExpiries--
			to.receivers[slot].leaseExpired = true
			m, a := to.receivers[slot].m.ExpireLease()
			s.apply(&to, slot, a)
			to.receivers[slot].stopped = to.receivers[slot].inCore
			if to.writeToSender(to.receivers[slot].m.On, m, slot) {
				s.add(to, "lease of %d is over at the receiver", slot)
			}
		}
		if f.m.State != Unknown && !f.inCore && s.x.canForget(&f.m, f.leaseExpired, n.acknowledged) {
			to := st
			to.receivers[slot].m = Receiver{}
			s.add(to, "receiver forgets %d", slot)
		}
	}
	s.networkEvents(st)
	s.processEvents(st)
}

// recordStart records the start of an attempt and checks the invariants on it.
func (s *search) recordStart(st *state, slot int) {
	f := &st.receivers[slot]
	for i := range st.receivers {
		if s.request(i) != s.request(slot) {
			continue
		}
		switch {
		case !s.idempotent && st.receivers[i].starts > 0:
			s.violation(st, "executed twice")
		case i != slot && st.receivers[i].inFlight:
			s.violation(st, "two attempts at the same time")
		case st.senders[i].responded && !st.senders[i].m.Cancelled:
			s.violation(st, "started after the sender has answered")
		}
	}
	f.starts++
	f.inFlight = true
}

// networkEvents lists the possible events of connections.
func (s *search) networkEvents(st state) {
	for i := range st.connections {
		w, c := st.connections[i], Conn(i+1)
		if w.receiverUp && w.toReceiver.n > 0 {
			to := st
			p := to.connections[i].toReceiver.pop()
			f := &to.receivers[p.slot]
			var m Msg
			var a Action
			terms := Conditions{LeaseExpired: f.leaseExpired, Draining: to.draining}
			switch p.m {
			case Offer:
				m, a = s.x.offer(&f.m, c, terms)
			case Query:
				m, a = s.x.query(&f.m, c, terms)
			case Cancel:
				m, a = s.x.cancel(&f.m, c, terms)
			}
			s.apply(&to, int(p.slot), a)
			if to.writeToSender(f.m.On, m, int(p.slot)) {
				s.add(to, "receiver reads %v of %d on %d: %v", p.m, p.slot, c, m)
			}
		}
		if w.senderUp && w.toSender.n > 0 {
			to := st
			p := to.connections[i].toSender.pop()
			v := s.x.receive(&to.senders[p.slot].m, p.m)
			s.outcome(&to, int(p.slot), v)
			to.senders[p.slot].acknowledged = to.senders[p.slot].acknowledged || v != Pending
			s.add(to, "sender reads %v of %d on %d", p.m, p.slot, c)
		}
		if !w.cut && w.senderUp && w.receiverUp && st.left.cuts > 0 {
			to := st
			to.left.cuts--
			to.connections[i].cut = true
			s.add(to, "connection %d is cut", c)
		}
		if w.cut && w.senderUp {
			to := st
			s.senderLosesConn(&to, i)
			s.add(to, "sender detects that connection %d is lost", c)
		}
		if w.cut && w.receiverUp {
			to := st
			s.receiverLosesConn(&to, i)
			s.add(to, "receiver detects that connection %d is lost", c)
		}
		if w.cut && !w.senderUp && !w.receiverUp && st.senderGen == 0 {
			to := st
			to.connections[i] = connection{senderUp: true, receiverUp: true}
			s.up(&to, c)
			s.add(to, "connection %d is up again", c)
		}
	}
}

func (s *search) senderLosesConn(st *state, i int) {
	c := Conn(i + 1)
	st.connections[i].senderUp = false
	st.connections[i].toSender = pipe{}
	for slot := range st.senders {
		if n := &st.senders[slot]; n.used && !n.crashed {
			other := st.other(c)
			if m := s.x.connLost(&n.m, c, other); m != None && !st.writeToReceiver(other, m, slot) {
				n.m.On = 0 // no room: the receiver is asked when another connection is up
			}
		}
	}
}

func (s *search) receiverLosesConn(st *state, i int) {
	c := Conn(i + 1)
	st.connections[i].receiverUp = false
	st.connections[i].toReceiver = pipe{}
	last := !st.connections[0].receiverUp && !st.connections[1].receiverUp
	for slot := range st.receivers {
		s.apply(st, slot, st.receivers[slot].m.ConnLost(c, last))
	}
}

// up notifies the sender of a connection and of the incarnation of the receiver at its other end.
func (s *search) up(st *state, c Conn) {
	st.knownReceiverGen, st.knowsDrain = st.receiverGen, st.draining
	for slot := range st.senders {
		n := &st.senders[slot]
		if !n.used || n.crashed || n.outcome != Pending {
			continue
		}
		if n.incarnation != st.receiverGen {
			s.outcome(st, slot, n.m.PeerRestarted())
		} else if m := n.m.ConnUp(c); m != None && !st.writeToReceiver(c, m, slot) {
			n.m.On = 0
		}
	}
}

// processEvents lists the possible events of processes.
func (s *search) processEvents(st state) {
	if st.left.senderCrashes > 0 {
		to := st
		to.left.senderCrashes--
		to.senderGen++
		for i := range to.connections {
			to.connections[i].cut, to.connections[i].senderUp, to.connections[i].toSender = true, false, pipe{}
		}
		for slot := range to.senders {
			to.senders[slot].crashed = to.senders[slot].used && !to.senders[slot].responded
		}
		s.add(to, "sender is killed")
	}
	if st.left.receiverCrashes > 0 {
		to := st
		to.left.receiverCrashes--
		to.receiverGen++
		to.draining = false
		for i := range to.connections {
			to.connections[i].cut, to.connections[i].receiverUp, to.connections[i].toReceiver = true, false, pipe{}
		}
		for slot := range to.receivers {
			f := &to.receivers[slot]
			*f = receiverSlot{leaseExpired: f.leaseExpired, starts: f.starts}
		}
		s.add(to, "receiver is killed and restarted")
	}
	if st.left.drains > 0 {
		to := st
		to.left.drains--
		to.draining = true
		s.add(to, "receiver starts draining")
	}
	if st.draining && !st.knowsDrain && st.other(0) != 0 && st.knownReceiverGen == st.receiverGen {
		to := st
		to.knowsDrain = true
		s.add(to, "sender learns that the receiver drains")
	}
}

// final reports whether no answer is owed and no work is in progress.
func (s *search) final(st *state) bool {
	for slot := range st.senders {
		n, f := &st.senders[slot], &st.receivers[slot]
		if f.inCore || n.used && !n.responded && !n.crashed && n.outcome == Pending {
			return false
		}
	}
	return true
}

// searchResult is the result of a search.
type searchResult struct {
	states    int
	edges     int
	took      time.Duration
	violation string
	trace     []string
	stuck     int // states from which no final one can be reached
}

func (f *searchResult) String() string {
	return fmt.Sprintf("%d states, %d steps, %v", f.states, f.edges, f.took.Round(time.Millisecond))
}

// run searches until all states are known or an invariant is violated.
func (s *search) run() searchResult {
	began := time.Now()
	s.seed = maphash.MakeSeed()
	first := state{left: s.faultBudget}
	for i := range first.connections {
		first.connections[i] = connection{senderUp: true, receiverUp: true}
	}
	index := map[uint64]uint32{maphash.Comparable(s.seed, first): 0}
	front := []state{first}
	parents := []uint32{0}
	var from, into []uint32
	var ends []bool
	var res searchResult
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
			if to.violation != "" {
				res.violation = to.violation
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

// path repeats the search and returns the labels of the steps to a state.
func (s *search) path(st state, parents []uint32, to uint32) (trace []string) {
	way := []uint32{to}
	for way[0] != 0 {
		way = append([]uint32{parents[way[0]]}, way...)
	}
	// States are numbered in the order of the search, so the same search reproduces the numbers.
	again := &search{searchConfig: s.searchConfig, x: s.x, seed: s.seed}
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

func searchConfigs() []searchConfig {
	list := []searchConfig{
		{"retry of a non-idempotent request", true, false,
			faultBudget{cuts: 2, receiverCrashes: 1, cancels: 1, leaseExpiries: 2}},
		{"non-idempotent request, both ends restart", true, false,
			faultBudget{cuts: 1, senderCrashes: 1, receiverCrashes: 1, drains: 1, leaseExpiries: 1}},
		{"idempotent request", true, true, faultBudget{cuts: 2, receiverCrashes: 1, leaseExpiries: 2}},
		{"two non-idempotent requests", false, false,
			faultBudget{cuts: 1, senderCrashes: 1, receiverCrashes: 1, leaseExpiries: 1}},
		{"non-idempotent request whose client leaves", true, false,
			faultBudget{cuts: 1, receiverCrashes: 1, departures: 1, leaseExpiries: 2}},
	}
	if *deep {
		all := faultBudget{cuts: 2, senderCrashes: 1, receiverCrashes: 1, drains: 1, cancels: 1, departures: 1,
			leaseExpiries: 2}
		list = []searchConfig{{"retry of a non-idempotent request", true, false, all},
			{"idempotent request", true, true, all}, {"two non-idempotent requests", false, false, all}}
	}
	return list
}

// No reachable state of both ends, the network and the clock violates an invariant, and from each of
// them a final state can be reached.
func TestSearchFindsNoViolation(t *testing.T) {
	for _, sh := range searchConfigs() {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			res := (&search{searchConfig: sh, x: correctMachines()}).run()
			t.Logf("%s: %v", sh.name, &res)
			if res.violation != "" {
				t.Fatalf("%s:\n  %s", res.violation, strings.Join(res.trace, "\n  "))
			}
			if res.stuck > 0 {
				t.Errorf("%d states from which no final state can be reached", res.stuck)
			}
		})
	}
}

// Each of these faults in a machine is detected, with a short trace.
func TestFaultyMachinesAreDetected(t *testing.T) {
	for _, c := range []struct {
		name, want string
		spoil      func(*machines)
	}{
		{"lost connection treated as proof", "rejected a request that may have run", func(x *machines) {
			x.connLost = func(n *Sender, lost, other Conn) Msg {
				m := n.ConnLost(lost, other)
				if n.State == Querying {
					n.State = Queued // and offered a second time
				}
				return m
			}
			x.expire = func(n *Sender) Outcome {
				v := n.ExpireLease()
				if v == Lost {
					return NeverRan
				}
				return v
			}
		}},
		{"offer accepted after its lease", "started after the sender has answered", func(x *machines) {
			x.offer = func(f *Receiver, on Conn, t Conditions) (Msg,
				Action) {
				t.LeaseExpired = false
				return f.Offer(on, t)
			}
			x.start = func(f *Receiver, t Conditions) bool { t.LeaseExpired = false; return f.Start(t) }
		}},
		{"query answered not started without fencing", "rejected a request that may have run", func(x *machines) {
			x.query = func(f *Receiver, on Conn, terms Conditions) (Msg, Action) {
				if f.State == Unknown {
					f.On = on
					return NotStarted, NoAction
				}
				return f.Query(on, terms)
			}
		}},
		{"query leaves accepted work running", "rejected a request that may have run", func(x *machines) {
			x.query = func(f *Receiver, on Conn, terms Conditions) (Msg, Action) {
				if f.State == Accepted {
					f.On = on
					return NotStarted, NoAction
				}
				return f.Query(on, terms)
			}
		}},
		{"fenced crossing forgotten before its lease ends", "rejected a request that may have run", func(x *machines) {
			x.canForget = func(f *Receiver, _, _ bool) bool { return f.State == Fenced }
		}},
		{"forgotten crossing treated as never received", "rejected a request that may have run", func(x *machines) {
			x.query = func(f *Receiver, on Conn, terms Conditions) (Msg, Action) { return f.Query(on, Conditions{}) }
		}},
		{"fenced crossing forgotten when acknowledged", "started after the sender has answered", func(x *machines) {
			x.canForget = func(f *Receiver, lapsed, acked bool) bool { return (lapsed || acked) && f.State == Fenced }
		}},
		{"started treated as not started", "rejected a request that may have run", func(x *machines) {
			x.receive = func(n *Sender, m Msg) Outcome {
				if m == Started {
					m = NotStarted
				}
				return n.Receive(m)
			}
		}},
		{"draining gateway accepts offers", "accepted while draining", func(x *machines) {
			x.offer = func(f *Receiver, on Conn, t Conditions) (Msg,
				Action) {
				t.Draining = false
				return f.Offer(on, t)
			}
		}},
		{"outcome returned twice", "two final answers", func(x *machines) {
			x.receive = func(n *Sender, m Msg) Outcome {
				was := n.State
				v := n.Receive(m)
				if was == Closed && m == Completed {
					return Answered
				}
				return v
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := correctMachines()
			c.spoil(&x)
			for _, sh := range searchConfigs() {
				res := (&search{searchConfig: sh, x: x}).run()
				if res.violation == "" {
					continue
				}
				if res.violation != c.want {
					t.Errorf("detected as %q, want %q", res.violation, c.want)
				}
				t.Logf("%s, found with %q after %v:\n  %s", res.violation, sh.name, &res,
					strings.Join(res.trace, "\n  "))
				if len(res.trace) > 14 {
					t.Errorf("trace of %d steps, want at most 14", len(res.trace))
				}
				return
			}
			t.Error("fault not detected")
		})
	}
}
