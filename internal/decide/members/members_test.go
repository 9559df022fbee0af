package members

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const period = 500 * time.Millisecond

// simulation delivers messages between machines in rounds: all machines tick, then messages are delivered
// until none is in flight. A direction that is cut drops its messages. Two machines have a link as long as
// at least one of the two directions is open.
type simulation struct {
	t         interface{ Fatal(...any) }
	machines  []*Machine // nil: not running
	cut       func(from, to int) bool
	now       time.Duration
	onChange  func(by int, c Change)
	intercept func(from, to int, m *Message) // may modify the message
}

func newSimulation(t interface{ Fatal(...any) }, n int, o Options) *simulation {
	w := &simulation{t: t, cut: func(int, int) bool { return false }}
	for i := range n {
		w.machines = append(w.machines, nil)
		w.start(i, 1, o)
	}
	return w
}

func name(i int) string { return fmt.Sprint("n", i) }

func (w *simulation) start(i int, incarnation uint64, o Options) {
	o.ID = ID{name(i), incarnation}
	o.Info = Info{Machine: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%2), Address: fmt.Sprint("a", i)}
	o.Seeds = []string{"a0"}
	w.machines[i] = New(o, uint64(i))
}

func (w *simulation) index(id ID) int {
	for i, m := range w.machines {
		if m != nil && m.ID() == id {
			return i
		}
	}
	return -1
}

// round plays one period.
func (w *simulation) round() {
	w.now += period
	var inFlight []func()
	var deliver func(i int, out Output)
	deliver = func(i int, out Output) {
		if w.onChange != nil {
			for _, c := range out.Changes {
				w.onChange(i, c)
			}
		}
		for _, s := range out.Send {
			j := w.index(s.To)
			if j < 0 || w.cut(i, j) {
				continue
			}
			msg := s.Message
			if w.intercept != nil {
				w.intercept(i, j, &msg)
			}
			from := w.machines[i].ID()
			inFlight = append(inFlight, func() {
				if m := w.machines[j]; m != nil {
					deliver(j, m.Receive(w.now, from, msg))
				}
			})
		}
		if m := w.machines[i]; m.HasPending() {
			inFlight = append(inFlight, func() {
				if w.machines[i] == m {
					deliver(i, m.Flush(w.now))
				}
			})
		}
	}
	for i, m := range w.machines {
		for j, o := range w.machines {
			if m == nil || o == nil || i == j {
				continue
			}
			up := m.links[o.ID()] != nil
			if open := !w.cut(i, j) || !w.cut(j, i); open && !up {
				deliver(i, m.LinkUp(w.now, o.ID()))
			} else if !open && up {
				deliver(i, m.LinkDown(w.now, o.ID()))
			}
		}
	}
	for i, m := range w.machines {
		if m != nil {
			for id := range m.links {
				if w.index(id) < 0 {
					deliver(i, m.LinkDown(w.now, id))
				}
			}
			deliver(i, m.Tick(w.now))
		}
	}
	for steps := 0; len(inFlight) > 0; steps++ {
		if steps > 200000 {
			w.t.Fatal("messages are still in flight after 200000 steps")
		}
		next := inFlight[0]
		inFlight = inFlight[1:]
		next()
	}
}

func (w *simulation) rounds(n int) {
	for range n {
		w.round()
	}
}

func (w *simulation) state(by, of int) string {
	v := w.machines[by].View()
	for _, m := range v.Members {
		if m.ID.Name == name(of) && !(m.Twin && m.ID.Incarnation == 1) {
			return m.State.String()
		}
	}
	return "unknown"
}

// agreed returns an error unless all running machines have the same converged view, in which exactly they
// are alive.
func (w *simulation) agreed() error {
	var digest uint64
	for i, m := range w.machines {
		if m == nil {
			continue
		}
		v := m.View()
		if digest == 0 {
			digest = v.Digest
		}
		if !v.Converged || v.Digest != digest {
			return fmt.Errorf("%s: converged %v: %s", name(i), v.Converged, v.UnconvergedReason)
		}
		for j, o := range w.machines {
			if got := w.state(i, j); (got == "alive") != (o != nil) {
				return fmt.Errorf("%s believes that %s is %s", name(i), name(j), got)
			}
		}
	}
	return nil
}

// cutPattern returns a cut function from a bit set with one bit for each ordered pair of n machines.
func cutPattern(n int, bits uint) func(from, to int) bool {
	return func(from, to int) bool {
		if to > from {
			to--
		}
		return bits>>(from*(n-1)+to)&1 == 1
	}
}

// reaches reports whether messages can get from one machine to another over any route.
func reaches(n int, cut func(from, to int) bool, gone, from, to int) bool {
	seen := make([]bool, n)
	var walk func(int)
	walk = func(i int) {
		seen[i] = true
		for j := range n {
			if !seen[j] && j != gone && !cut(i, j) {
				walk(j)
			}
		}
	}
	walk(from)
	return seen[to]
}

// playPartition plays a pattern of cut directions for some rounds, perhaps with one machine stopped. It
// checks that no machine is declared dead while it can be reached both ways, or because of one witness.
func (w *simulation) playPartition(bits uint, gone, rounds int) {
	n, was, since := len(w.machines), w.cut, w.now
	w.cut = cutPattern(n, bits)
	label := fmt.Sprintf("cut directions %0*b, stopped %d", n*(n-1), bits, gone)
	if gone >= 0 {
		w.machines[gone] = nil
	}
	before := w.onChange
	w.onChange = func(by int, c Change) {
		if before != nil {
			before(by, c)
		}
		if c.State != Dead {
			return
		}
		for _, id := range c.IDs {
			if strings.Count(c.Reason, ",") < 2 { // 'a, b, and it has not refuted'
				w.t.Fatal(fmt.Sprintf("%s: %s believes %v dead: %s", label, name(by), c.IDs, c.Reason))
			}
			both := func(cut func(from, to int) bool, of int) bool {
				return reaches(n, cut, gone, of, by) && reaches(n, cut, gone, by, of)
			}
			// A death that was about to be declared when the directions changed is allowed.
			if of := w.index(id); of >= 0 && both(w.cut, of) && (w.now-since > 4*period || both(was, of)) {
				w.t.Fatal(fmt.Sprintf("%s: %s believes %v dead, which can be reached: %s",
					label, name(by), c.IDs, c.Reason))
			}
		}
	}
	w.rounds(rounds)
	w.onChange = before
}

// TestEveryPartitionPattern plays every pair of sets of cut directions between three machines, and every
// set between four, with one machine stopped or none: no reachable machine is declared dead, and once all
// directions are open the views converge.
func TestEveryPartitionPattern(t *testing.T) {
	o := Options{WitnessAfter: 4}
	heal := func(w *simulation, label string, gone int) {
		w.cut = func(int, int) bool { return false }
		if gone >= 0 {
			w.start(gone, 2, o)
		}
		var err error
		for range 24 {
			if w.round(); w.agreed() == nil {
				return
			}
			err = w.agreed()
		}
		t.Fatalf("%s: %v", label, err)
	}
	runs, step := 0, uint(1)
	if testing.Short() || raceEnabled {
		step = 7
	}
	for first := uint(0); first < 1<<6; first += min(step, 3) {
		for second := range uint(1 << 6) {
			for gone := -1; gone < 3; gone += 2 {
				w := newSimulation(t, 3, o)
				w.rounds(8)
				w.playPartition(first, -1, 7)
				w.playPartition(second, gone, 7)
				heal(w, fmt.Sprintf("cut directions %06b, then %06b", first, second), gone)
				runs++
			}
		}
	}
	for ways := uint(0); ways < 1<<12; ways += step {
		for gone := -1; gone < 1; gone++ {
			w := newSimulation(t, 4, o)
			w.rounds(8)
			w.playPartition(ways, gone, 12)
			heal(w, fmt.Sprintf("cut directions %012b", ways), gone)
			runs++
		}
	}
	t.Logf("%d runs", runs)
}

// TestSingleByzantineMember: one member that sends false suspicions in its own name, in others' names and
// in invented ones causes no death, because it counts as one witness.
func TestSingleByzantineMember(t *testing.T) {
	w := newSimulation(t, 6, Options{})
	w.rounds(20)
	w.onChange = func(by int, c Change) {
		if c.State == Dead && by != 5 {
			t.Errorf("%s believes %v dead: %s", name(by), c.IDs, c.Reason)
		}
	}
	version, invented := uint64(100), uint64(0)
	w.intercept = func(from, to int, m *Message) {
		if from != 5 || len(m.Records)+len(m.Sums)+len(m.Want) > 0 || m.Mask != 0 {
			return // heartbeats only: answering each answer too would be a flood, which links bound
		}
		// It suspects members in its own name, in another member's and in names that don't exist.
		lie := []Suspicion{{ID{name(1), 1}.Hash(), 1 << 40}, {ID{name(2), 1}.Hash(), 1 << 40}}
		version++
		m.Records = append(slices.Clone(m.Records),
			Record{ID: ID{name(5), 1}, Kind: Suspects, Version: version, Suspicions: lie},
			Record{ID: ID{name(3), 1}, Kind: Suspects, Version: version, Suspicions: lie})
		for range 2 {
			invented++
			id := ID{fmt.Sprint("x", invented%16), 1}
			m.Records = append(m.Records,
				Record{ID: id, Kind: Self, Version: 1, Info: Info{Joined: true, Machine: "x", Zone: "z9"}},
				Record{ID: id, Kind: Suspects, Version: 1, Suspicions: lie})
		}
	}
	w.rounds(7)
	if w.state(0, 1) != "suspect" {
		t.Errorf("the false suspicions had no effect: n1 is %s", w.state(0, 1))
	}
	w.intercept = nil
	w.onChange = nil
	w.rounds(40)
	for i := range 5 {
		for j := range 6 {
			if got := w.state(i, j); got != "alive" {
				t.Errorf("after the false suspicions, %s believes that %s is %s", name(i), name(j), got)
			}
		}
	}
}

// TestForgedRecordsAreOverruled: a member overrules records that were forged in its name, also one that
// says it has left.
func TestForgedRecordsAreOverruled(t *testing.T) {
	w := newSimulation(t, 3, Options{})
	w.rounds(15)
	for what, r := range map[string]Record{
		"left":    {ID: ID{name(1), 1}, Kind: Self, Version: 50, Info: Info{Joined: true, Left: true, Address: "a1"}},
		"address": {ID: ID{name(1), 1}, Kind: Self, Version: 90, Info: Info{Joined: true, Address: "elsewhere"}},
		"suspicions": {ID: ID{name(1), 1}, Kind: Suspects, Version: 70,
			Suspicions: []Suspicion{{ID{name(2), 1}.Hash(), 1 << 30}}},
	} {
		w.machines[1].Receive(w.now, w.machines[0].ID(), Message{Records: []Record{r}})
		w.rounds(4)
		v := w.machines[2].View()
		for _, m := range v.Members {
			if m.State != Alive || m.Info.Address != "a"+m.ID.Name[1:] || len(m.SuspectedBy) > 0 {
				t.Errorf("%s: %+v", what, m)
			}
		}
	}
	// Invalid records, and one whose Self record is unknown, don't change the view.
	for _, r := range []Record{
		{ID: ID{"", 1}, Version: 1},
		{ID: ID{"q", 0}, Version: 1},
		{ID: ID{"q", 1}},
		{ID: ID{"q", 1}, Version: 1, Kind: 7},
		{ID: ID{"q", 1}, Version: 1, Kind: Suspects},
		{ID: ID{name(0), 1}, Kind: Suspects, Version: 9, Suspicions: make([]Suspicion, MaxSuspicions+1)},
	} {
		if m := w.machines[2]; m.merge(&r) {
			t.Errorf("%+v was merged", r)
		}
	}
}

// TestDuplicateNames: of two processes with the same name both are marked, and neither replaces the other.
// A later process replaces one that has ended.
func TestDuplicateNames(t *testing.T) {
	w := newSimulation(t, 4, Options{})
	w.rounds(12)
	w.machines = append(w.machines, nil)
	w.start(4, 2, Options{})
	w.machines[4].options.ID = ID{name(1), 9}
	w.machines[4].reset()
	w.rounds(12)
	for i := range w.machines {
		twins := 0
		for _, m := range w.machines[i].View().Members {
			if m.ID.Name == name(1) && m.Twin && m.State == Alive {
				twins++
			}
		}
		if twins != 2 {
			t.Errorf("machine %d sees %d of the two processes", i, twins)
		}
		if n, _ := w.machines[i].AgentRank(); n != 4 {
			t.Errorf("machine %d counts %d names", i, n)
		}
	}
	w.machines[1] = nil // the earlier process ends
	w.rounds(20)
	for _, m := range w.machines[0].View().Members {
		if m.Twin || m.ID == (ID{name(1), 9}) && m.State != Alive {
			t.Errorf("after one of the two has ended: %+v", m)
		}
	}
	w.machines[0] = nil
	w.start(0, 2, Options{})
	w.rounds(10)
	if got := len(w.machines[2].View().Members); w.state(2, 0) != "alive" || got > 5 {
		t.Errorf("after a restart: %s, %d members", w.state(2, 0), got)
	}
}

// TestDeadMembersAreForgotten: dead members are forgotten, also by a member that was partitioned all the
// time, and their records don't return. A process that was paused for longer joins as a new incarnation.
func TestDeadMembersAreForgotten(t *testing.T) {
	o := Options{ForgetAfter: 30 * period}
	w := newSimulation(t, 5, o)
	w.rounds(12)
	w.machines[3] = nil
	w.cut = func(a, b int) bool { return (a == 4) != (b == 4) } // partitioned, it never has a quorum
	w.rounds(48)
	for _, by := range []int{0, 4} {
		if got := w.state(by, 3); got != "unknown" {
			t.Errorf("%s still believes that n3 is %s", name(by), got)
		}
	}
	late := w.machines[0].view.records
	zombie := Record{ID: ID{name(3), 1}, Kind: Self, Version: 3, Info: Info{Joined: true}}
	if w.machines[0].merge(&zombie); len(late) != len(w.machines[0].view.records) {
		t.Error("a record of a dead member was merged")
	}
	w.cut = func(int, int) bool { return false }
	w.onChange = func(by int, c Change) {
		for _, id := range c.IDs {
			if id.Name == name(3) {
				t.Errorf("%s: %v", name(by), c)
			}
		}
	}
	w.rounds(12)
	for i := range 5 {
		if i != 3 && w.state(0, i) != "alive" {
			t.Errorf("%s is %s", name(i), w.state(0, i))
		}
	}
	w.onChange = nil
	m := w.machines[2]
	out := m.Tick(w.now + 31*period)
	if m.ID().Incarnation != 2 || len(out.Drop) != 3 || len(m.View().Members) != 1 {
		t.Errorf("after a long pause: %v, %d links dropped, %d members", m.ID(), len(out.Drop), len(m.View().Members))
	}
}

// TestPausedProcessSuspectsNobody: a process that was paused for less suspects no member when it resumes,
// though it had no contact; nor does a clock that steps back cause suspicions.
func TestPausedProcessSuspectsNobody(t *testing.T) {
	w := newSimulation(t, 5, Options{})
	w.rounds(12)
	m := w.machines[0]
	for step, at := range []time.Duration{
		w.now + 60*period,
		w.now + 61*period,
		w.now,
		w.now + 62*period,
		w.now + 63*period,
	} {
		m.Tick(at)
		if len(m.suspected) > 0 {
			t.Fatalf("it suspects %v after %d steps", m.suspected, step+1)
		}
		if v := m.View(); step == 0 && (v.Converged || v.SelfSuspicion == "") {
			t.Errorf("it doesn't suspect itself: %+v", v)
		}
	}
}

// TestMinoritySuspectsItself: an agent without any contact suspects itself first, and two of twelve agents
// never declare the other ten dead.
func TestMinoritySuspectsItself(t *testing.T) {
	w := newSimulation(t, 12, Options{})
	w.rounds(14)
	w.cut = func(a, b int) bool { return (a < 2) != (b < 2) }
	w.rounds(5)
	if v := w.machines[11].View(); v.SelfSuspicion != "" {
		t.Errorf("one of the ten suspects itself: %s", v.SelfSuspicion)
	}
	w.rounds(25)
	for i := range 2 {
		v := w.machines[i].View()
		if !strings.Contains(v.SelfSuspicion, "I see 2 of 12") || v.Converged {
			t.Errorf("%+v", v.SelfSuspicion)
		}
	}
	if n, rank := w.machines[11].AgentRank(); n != 12 || rank != 3 { // n10 and n11 sort before n2
		t.Errorf("dead members no longer count: %d agents, rank %d", n, rank)
	}
	w.cut = func(a, b int) bool { return (a == 0) != (b == 0) }
	w.rounds(14)
	if v := w.machines[0].View(); !strings.Contains(v.SelfSuspicion, "partitioned") {
		t.Errorf("with no peer reachable: %q", v.SelfSuspicion)
	}
}

// TestMergeIsOrderIndependent: merging is idempotent and commutative, so that the view doesn't depend on the
// order in which records arrive.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for range rapid.IntRange(1, 20).Draw(t, "records") {
			r := Record{
				ID: ID{
					name(rapid.IntRange(0, 4).Draw(t, "member")),
					uint64(rapid.IntRange(1, 2).Draw(t, "incarnation")),
				},
				Version: uint64(rapid.IntRange(1, 4).Draw(t, "version")),
			}
			r.Info = Info{Joined: true, Load: float64(r.Version)}
			records = append(records, r)
		}
		view := func(order []Record) uint64 {
			m := New(Options{ID: ID{"me", 1}}, 1)
			for i := range order {
				m.merge(&order[i])
			}
			return m.view.digest
		}
		want := view(records)
		if got := view(append(rapid.Permutation(records).Draw(t, "order"), records...)); got != want {
			t.Fatalf("digest %x, want %x", got, want)
		}
	})
}

// TestDeathQuorum: a death takes suspicions by three different names, each a witness, that stay unrefuted
// for the grace.
func TestDeathQuorum(t *testing.T) {
	m := New(Options{ID: ID{"me", 1}, Info: Info{Machine: "h", Zone: "z"}}, 1)
	now := time.Duration(0)
	link := ID{"a", 1}
	m.LinkUp(now, link)
	hear := func(records ...Record) { m.Receive(now, link, Message{Records: records, Digest: 1}) }
	tick := func(n int) {
		for range n {
			now += period
			m.Tick(now)
			hear() // the link is up
		}
	}
	self := func(name string, incarnation, version uint64, twin bool) Record {
		return Record{
			ID:      ID{name, incarnation},
			Version: version,
			Info:    Info{Joined: true, Machine: name, Zone: name, Twin: twin},
		}
	}
	words := func(name string, incarnation, version, of uint64) Record {
		return Record{
			ID:         ID{name, incarnation},
			Kind:       Suspects,
			Version:    version,
			Suspicions: []Suspicion{{ID{"x", 1}.Hash(), of}},
		}
	}
	state := func() State { return m.nodes[ID{"x", 1}.Hash()].state }
	hear(self("a", 1, 1, false), self("b", 1, 1, true), self("b", 2, 1, true), self("c", 1, 1, false),
		self("d", 1, 1, false), self("e", 1, 1, false), self("x", 1, 1, false))
	m.options.SuspectAfter = 1000 // it suspects no member itself
	tick(2)
	hear(words("a", 1, 1, 1), words("c", 1, 1, 1), words("d", 1, 1, 1))
	if tick(m.options.WitnessAfter - 2); state() != Suspect {
		t.Errorf("new members count as witnesses: %v", state())
	}
	hear(words("a", 1, 2, 0), words("c", 1, 2, 0), words("d", 1, 2, 0)) // withdrawn, as to this version
	tick(m.options.WitnessAfter + 4)
	hear(words("a", 1, 3, 1), words("b", 1, 1, 1), words("b", 2, 1, 1))
	if tick(12); state() != Suspect {
		t.Errorf("three processes with two names count as a quorum: %v", state())
	}
	hear(words("c", 1, 3, 1))
	if tick(m.options.Grace); state() != Suspect {
		t.Errorf("declared dead within the grace: %v", state())
	}
	hear(self("x", 1, 2, false))
	if tick(12); state() != Suspect || m.nodes[ID{"x", 1}.Hash()].quorumPeriods != 0 {
		t.Errorf("after it has refuted the suspicions: %v", state())
	}
	hear(words("a", 1, 4, 2), words("c", 1, 4, 2), words("d", 1, 4, 2))
	if tick(m.options.Grace + m.options.CoalescePeriods + 2); state() != Dead {
		t.Errorf("with three unrefuted suspicions: %v", state())
	}
	hear(words("c", 1, 5, 0)) // as if a witness had restarted
	if tick(3); state() != Dead {
		t.Errorf("with two of three suspicions left: %v", state())
	}
	hear(self("x", 1, 3, false))
	if tick(1); state() == Dead {
		t.Error("it has refuted the suspicions, and is still dead")
	}
}

// TestZoneFailureIsOneChange: the failure of a zone is reported as one change, though contact with its
// members is lost at different times.
func TestZoneFailureIsOneChange(t *testing.T) {
	w := newSimulation(t, 12, Options{})
	w.rounds(14)
	var changes []Change
	w.onChange = func(by int, c Change) {
		if by == 0 && c.State == Dead {
			changes = append(changes, c)
		}
	}
	w.machines[1], w.machines[3], w.machines[5] = nil, nil, nil
	w.round()
	w.machines[7], w.machines[9], w.machines[11] = nil, nil, nil
	w.rounds(16)
	if len(changes) != 1 || len(changes[0].IDs) != 6 || !strings.Contains(changes[0].Reason, "all in zone z1") {
		t.Errorf("%+v", changes)
	}
}

// TestObserversAreOnOtherMachines: a member's observers are on other machines, and mostly in other zones.
func TestObserversAreOnOtherMachines(t *testing.T) {
	w := newSimulation(t, 12, Options{})
	for i, m := range w.machines {
		m.local.self.Info.Machine = fmt.Sprint("h", i/2) // two on each
		m.options.Info.Machine = m.local.self.Info.Machine
	}
	w.rounds(14)
	elsewhere, all := 0, 0
	for i, m := range w.machines {
		if len(m.observers) != Rings {
			t.Errorf("%s has %d observers", name(i), len(m.observers))
		}
		for id := range m.observers {
			o := m.nodes[id.Hash()].self.Info
			if o.Machine == m.local.self.Info.Machine {
				t.Errorf("%s is observed by %s on its own machine", name(i), id.Name)
			}
			if all++; o.Zone != m.local.self.Info.Zone {
				elsewhere++
			}
		}
	}
	if elsewhere*10 < all*8 {
		t.Errorf("%d of %d observers are in another zone", elsewhere, all)
	}
}

// playSteps plays single steps of single members. choose draws each choice: a number below of.
func (w *simulation) playSteps(steps int, choose func(what string, of int) int) {
	type sent struct {
		from ID
		to   int
		msg  Message
	}
	var inFlight []sent
	collect := func(i int, out Output) {
		if w.onChange != nil {
			for _, c := range out.Changes {
				w.onChange(i, c)
			}
		}
		for _, s := range out.Send {
			if j := w.index(s.To); j >= 0 {
				inFlight = append(inFlight, sent{w.machines[i].ID(), j, s.Message})
			}
		}
	}
	incarnation := uint64(1)
	for range steps {
		i := choose("who", len(w.machines))
		m := w.machines[i]
		switch what := choose("what", 10); {
		case what < 4 && m != nil: // machines tick independently: some often, some never
			w.now += period / 4
			collect(i, m.Tick(w.now))
		case what < 7 && len(inFlight) > 0: // any message in flight, perhaps late, perhaps twice
			k := choose("which", len(inFlight))
			s := inFlight[k]
			if what < 6 {
				inFlight = append(inFlight[:k:k], inFlight[k+1:]...)
			}
			if to := w.machines[s.to]; to != nil {
				collect(s.to, to.Receive(w.now, s.from, s.msg))
			}
		case what == 7 && m != nil:
			w.machines[i] = nil
		case what == 8 && m == nil:
			incarnation++
			w.start(i, incarnation, Options{WitnessAfter: 4})
		case what == 9 && m != nil:
			collect(i, m.Flush(w.now))
		}
	}
	for i := range len(w.machines)/2 + 1 { // fewer would suspect themselves, and rightly so
		if w.machines[i] == nil {
			incarnation++
			w.start(i, incarnation, Options{WitnessAfter: 4})
		}
	}
}

// converges plays whole rounds, at most so many, until all running machines agree.
func (w *simulation) converges(most int) (err error) {
	for range most {
		if w.round(); w.agreed() == nil {
			return nil
		}
		err = w.agreed()
	}
	return err
}

// TestConvergesAfterRandomSteps: after random deliveries, duplicates, losses, crashes and restarts, all
// running machines have the same converged view again.
func TestConvergesAfterRandomSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, rapid.IntRange(3, 4).Draw(t, "members"), Options{WitnessAfter: 4})
		w.rounds(rapid.IntRange(0, 6).Draw(t, "before"))
		w.playSteps(rapid.IntRange(0, 80).Draw(t, "steps"), func(what string, of int) int {
			return rapid.IntRange(0, of-1).Draw(t, what)
		})
		if err := w.converges(30); err != nil {
			t.Fatal(err)
		}
	})
}

var interleavings = flag.Int("members.depth", 3, "steps of each interleaving that TestEveryInterleaving plays")

// TestEveryInterleaving plays every order of steps up to a depth, with three and four members, while they
// join and after. A step is a tick, a flush, a message that is delivered, reordered, duplicated or lost, a
// crash or a restart. No member is declared dead because of one witness, no process is believed alive that
// was replaced or never existed, and all running machines converge.
func TestEveryInterleaving(t *testing.T) {
	for _, c := range []struct{ members, before int }{{3, 0}, {3, 8}, {4, 8}} {
		var runs atomic.Int64
		var wg sync.WaitGroup
		for first := range c.members {
			wg.Go(func() {
				// path has the choice at each branch, sizes the number of alternatives there. The next path is
				// the successor of path, counted like a number.
				path, sizes := []int{first}, []int{c.members}
				for !t.Failed() {
					w := newSimulation(t, c.members, Options{WitnessAfter: 4})
					witnesses := map[string]bool{}
					w.onChange = func(_ int, ch Change) {
						if ch.State == Dead && !strings.Contains(ch.Reason, ", ") {
							witnesses[ch.Reason] = true
						}
					}
					w.rounds(c.before)
					at := 0
					w.playSteps(*interleavings, func(what string, of int) int {
						if what == "what" {
							of = 6 // tick, message, duplicate message, crash, restart, flush
						} else if what == "which" {
							of = min(of, 2) // the oldest message, or the next
						}
						if at == len(path) {
							path, sizes = append(path, 0), append(sizes, of)
						}
						choice := path[at]
						at++
						if what == "what" {
							return []int{0, 4, 6, 7, 8, 9}[choice]
						}
						return choice
					})
					err := w.converges(30)
					if err == nil {
						for by, m := range w.machines {
							if m == nil {
								continue
							}
							for _, x := range m.View().Members {
								if i := w.index(x.ID); i < 0 && x.State == Alive {
									err = fmt.Errorf("%d believes that %v is alive, which isn't running", by, x.ID)
								}
							}
						}
					}
					if len(witnesses) > 0 {
						err = fmt.Errorf("declared dead because of one witness: %v", witnesses)
					}
					if err != nil {
						t.Errorf("%d members, %d rounds before, choices %v: %v", c.members, c.before, path, err)
						return
					}
					runs.Add(1)
					path, sizes = path[:at], sizes[:at]
					last := at - 1
					for last > 0 && path[last]+1 == sizes[last] {
						last--
					}
					if last == 0 { // the first choice is fixed for this goroutine
						return
					}
					path, sizes = path[:last+1], sizes[:last+1]
					path[last]++
				}
			})
		}
		wg.Wait()
		t.Logf("%d members, %d rounds before: %d interleavings of %d steps",
			c.members, c.before, runs.Load(), *interleavings)
	}
}
