package council

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"molepaddle/internal/decide/work"
)

// disk is what a member has made durable; it survives its process.
type disk struct {
	id uint64
	Saved
}

func (d *disk) save(s Save) {
	if s.Hard != nil {
		d.Hard = proto.Clone(s.Hard).(*pb.HardState)
	}
	if s.Snapshot != nil {
		d.Snapshot = s.Snapshot
		upTo := s.Compact
		if s.Whole {
			upTo = 1<<64 - 1
		}
		d.Entries = slices.DeleteFunc(d.Entries, func(e *pb.Entry) bool { return e.GetIndex() <= upTo })
	}
	if len(s.Entries) > 0 {
		first := s.Entries[0].GetIndex()
		d.Entries = slices.DeleteFunc(d.Entries, func(e *pb.Entry) bool { return e.GetIndex() >= first })
		d.Entries = append(d.Entries, s.Entries...)
	}
}

// rig is members with a network that loses, delays and cuts.
type rig struct {
	t       testing.TB
	rng     *rand.Rand
	disks   []*disk
	all     []*Machine // nil: not running
	under   []Message
	cut     func(from, to int) bool
	loss    float64
	nextID  uint64
	results map[uint64]error // by token: the first result
	granted map[uint64]string
}

var bounds = work.DefaultBounds()

func newRig(t testing.TB, n int, seed uint64) *rig {
	r := &rig{t: t, rng: rand.New(rand.NewPCG(seed, 1)), cut: func(int, int) bool { return false }, results: map[uint64]error{}, granted: map[uint64]string{}}
	for i := range n {
		r.nextID++
		d := &disk{id: r.nextID}
		if i == 0 {
			d.Saved = Found(d.id, 99, 0)
			d.Saved.Snapshot = proto.Clone(d.Saved.Snapshot).(*pb.Snapshot)
		}
		r.disks, r.all = append(r.disks, d), append(r.all, nil)
		r.start(i)
	}
	return r
}

func (r *rig) start(i int) {
	d := r.disks[i]
	m, err := New(Options{ID: d.id, Seed: r.rng.Uint64(), Election: 10, Keep: 20, Bounds: bounds}, Saved{d.Hard, d.Snapshot, slices.Clone(d.Entries)})
	if err != nil {
		r.t.Fatal(err)
	}
	r.all[i] = m
}

// lose takes a member's disk: whoever stands in its place is another.
func (r *rig) lose(i int) {
	r.nextID++
	r.disks[i] = &disk{id: r.nextID}
	r.all[i] = nil
}

func (r *rig) index(id uint64) int {
	return slices.IndexFunc(r.disks, func(d *disk) bool { return d.id == id })
}

// carry does what a member has ready. crash: it dies in between, after the disk or before.
func (r *rig) carry(i int, crash bool) {
	m := r.all[i]
	for m != nil {
		save, send, ok := m.Ready()
		if !ok {
			return
		}
		if crash && r.rng.IntN(2) == 0 {
			r.all[i] = nil
			return
		}
		r.disks[i].save(save)
		if crash {
			r.all[i] = nil
			return
		}
		for _, msg := range send {
			if to := r.index(msg.To); to >= 0 && !r.cut(i, to) && r.rng.Float64() >= r.loss {
				r.under = append(r.under, msg)
			}
		}
		results, err := m.Advance()
		if err != nil {
			r.t.Fatalf("member %d: %v", i, err)
		}
		for _, x := range results {
			if _, known := r.results[x.Token]; !known { // it may be agreed on twice
				r.results[x.Token] = x.Err
			}
		}
		r.look(m)
	}
}

// look holds what must always be: a permit's number is one request's, for ever.
func (r *rig) look(m *Machine) {
	for _, q := range m.State().Requests() {
		if q.Permit == 0 {
			continue
		}
		if was := r.granted[q.Permit]; was != "" && was != q.ID {
			r.t.Fatalf("permit %d is %s's and %s's", q.Permit, was, q.ID)
		}
		r.granted[q.Permit] = q.ID
	}
}

// step is a tick of all, and the delivery of most of what is under way, in any order.
func (r *rig) step() {
	for i, m := range r.all {
		if m != nil {
			m.Tick()
			r.carry(i, false)
		}
	}
	for range 4 {
		under := r.under
		r.under = nil
		r.rng.Shuffle(len(under), func(a, b int) { under[a], under[b] = under[b], under[a] })
		for _, msg := range under {
			if i := r.index(msg.To); i >= 0 && r.all[i] != nil {
				if err := r.all[i].Step(msg.Data); err != nil {
					r.t.Fatal(err)
				}
				r.carry(i, false)
			}
		}
	}
}

func (r *rig) leader() int {
	return slices.IndexFunc(r.all, func(m *Machine) bool { return m != nil && m.leads() })
}

// until steps until something holds; it must, in that many ticks.
func (r *rig) until(what string, most int, holds func() bool) int {
	r.t.Helper()
	for n := range most {
		if holds() {
			return n
		}
		r.step()
	}
	for i, m := range r.all {
		if m != nil {
			r.t.Logf("%d: %+v", i, m.Status())
		}
	}
	r.t.Fatalf("never: %s", what)
	return 0
}

// want tells all which members there should be.
func (r *rig) want() {
	var ids []uint64
	for _, d := range r.disks {
		ids = append(ids, d.id)
	}
	for _, m := range r.all {
		if m != nil {
			m.Want(ids)
		}
	}
}

// whole tells whether all are voters by the leader's word, and no others.
func (r *rig) whole() bool {
	l := r.leader()
	if l < 0 {
		return false
	}
	s := r.all[l].Status()
	if len(s.Voters) != len(r.disks) || len(s.Learners) > 0 {
		return false
	}
	for _, d := range r.disks {
		if !slices.Contains(s.Voters, d.id) {
			return false
		}
	}
	return true
}

// agree proposes until an entry has a result.
func (r *rig) agree(token uint64, e work.Entry) error {
	r.t.Helper()
	r.until(fmt.Sprintf("token %d is agreed on", token), 400, func() bool {
		if _, known := r.results[token]; known {
			return true
		}
		if l := r.leader(); l >= 0 && r.rng.IntN(5) == 0 {
			_ = r.all[l].Propose(token, e) // it comes again
			r.carry(l, false)
		}
		return false
	})
	return r.results[token]
}

func facts(n int) *work.Facts {
	f := &work.Facts{Orders: 1 << 62}
	for i := range n {
		f.Machines = append(f.Machines, work.Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Kind: "k", Capacity: 1, Health: work.Up, Empty: true})
	}
	return f
}

// One founds, four come in, one at a time; the log is cut, who was away catches up by a snapshot; the
// leader dies and another leads; a member that lost its disk comes in as another.
func TestCouncil(t *testing.T) {
	r := newRig(t, 5, 1)
	r.want()
	r.until("five vote", 2000, r.whole)
	if err := r.agree(1, work.Entry{Kind: work.See, Facts: facts(9)}); err != nil {
		t.Fatal(err)
	}
	if err := r.agree(2, work.Entry{Kind: work.Want, At: 5, Ask: &work.Ask{ID: "r", Machine: "m1", Seconds: 60}}); err != nil {
		t.Fatal(err)
	}
	away := (r.leader() + 1) % 5
	r.all[away] = nil
	for k := range uint64(100) {
		if err := r.agree(100+k, work.Entry{Kind: work.See, At: int64(k), Facts: facts(9)}); err != nil {
			t.Fatal(err)
		}
	}
	lead := r.leader()
	if first, _ := r.all[lead].mem.FirstIndex(); first < 40 || len(r.disks[lead].Entries) > 80 {
		t.Errorf("the log is not cut: it begins at %d, %d entries on the disk", first, len(r.disks[lead].Entries))
	}
	r.start(away)
	r.want()
	r.until("the one that was away has caught up", 400, func() bool {
		return r.all[away].Status().Applied >= r.all[lead].Status().Applied
	})
	r.all[lead] = nil
	took := r.until("another leads", 400, func() bool { return r.leader() >= 0 })
	t.Logf("another leads after %d ticks of a tenth of the time in which a member stands", took)
	if q := r.all[r.leader()].State().Requests(); len(q) != 1 || q[0].Phase != work.Granted {
		t.Errorf("what was granted is forgotten: %+v", q)
	}
	r.lose(lead)
	r.start(lead)
	r.want()
	r.until("it has come in as another", 3000, r.whole)
	if err := r.agree(500, work.Entry{Kind: work.Take, ID: "r", Permit: 1}); err != nil {
		t.Error(err)
	}
	if err := r.agree(501, work.Entry{Kind: work.Take, ID: "r", Permit: 2}); err == nil {
		t.Error("a permit that was never given was taken")
	}
}

// Who has not caught up does not vote: it would only weaken those who do.
func TestCaughtUpFirst(t *testing.T) {
	r := newRig(t, 3, 4)
	r.all[2] = nil
	r.want()
	r.until("two vote and one learns", 2000, func() bool {
		l := r.leader()
		return l >= 0 && len(r.all[l].Status().Voters) == 2 && len(r.all[l].Status().Learners) == 1
	})
	for range 200 {
		r.step()
	}
	if s := r.all[r.leader()].Status(); len(s.Voters) != 2 {
		t.Errorf("it votes and has heard nothing: %+v", s)
	}
	r.start(2)
	r.want()
	r.until("three vote", 2000, r.whole)
}

// Who votes and is well stays until the one that is to take the seat votes, also where that one isn't there yet, and whenever
// raft forgets for a moment who was active.
func TestSeatIsKeptUntilTaken(t *testing.T) {
	for seed := range uint64(30) {
		r := newRig(t, 4, seed)
		r.all[3] = nil
		want := func(ids ...uint64) {
			for _, m := range r.all {
				if m != nil {
					m.Want(ids)
				}
			}
		}
		voters := func() []uint64 {
			if l := r.leader(); l >= 0 {
				return r.all[l].Status().Voters
			}
			return nil
		}
		want(1, 2, 3)
		r.until("three vote", 2000, func() bool { return len(voters()) == 3 })
		leaves := r.disks[(r.leader()+1)%3].id
		next := slices.DeleteFunc([]uint64{1, 2, 3, 4}, func(id uint64) bool { return id == leaves })
		want(next...)
		kept := func() {
			if v := voters(); v != nil && len(v) < 3 {
				t.Fatalf("seed %d: only %v vote", seed, v)
			}
		}
		for range 100 + seed {
			r.step()
			kept()
		}
		r.start(3)
		r.loss = 0.2
		r.until("the seat has gone over", 3000, func() bool {
			kept()
			v := slices.Clone(voters())
			slices.Sort(v)
			return slices.Equal(v, next)
		})
	}
}

// The smaller part grants nothing, and says how old what it shows is.
func TestSmallerPart(t *testing.T) {
	r := newRig(t, 5, 2)
	r.want()
	r.until("five vote", 2000, r.whole)
	lead := r.leader()
	other := (lead + 1) % 5
	r.cut = func(a, b int) bool { return (a == lead || a == other) != (b == lead || b == other) }
	r.under = nil
	_ = r.all[lead].Propose(7, work.Entry{Kind: work.See, Facts: facts(3)})
	r.carry(lead, false)
	r.until("the old leader knows that it leads nobody", 100, func() bool { return !r.all[lead].leads() })
	if _, known := r.results[7]; known {
		t.Error("two of five agreed")
	}
	if err := r.all[lead].Propose(8, work.Entry{Kind: work.See, Facts: facts(3)}); !errors.Is(err, ErrNotLeader) {
		t.Error(err)
	}
	r.until("the greater part has a leader", 200, func() bool { return r.leader() >= 0 })
	if err := r.agree(9, work.Entry{Kind: work.See, Facts: facts(4)}); err != nil {
		t.Fatal(err)
	}
	if age := r.all[lead].Status().Age; age < 5 {
		t.Errorf("the smaller part says that it has heard a leader %d ticks ago", age)
	}
	r.cut = func(int, int) bool { return false }
	r.until("all are level", 400, func() bool {
		return r.all[lead].Status().Applied == r.all[r.leader()].Status().Applied
	})
	if n := len(r.all[lead].State().Snapshot().Facts.Machines); n != 4 {
		t.Errorf("what the smaller part was told counts: %d machines", n)
	}
}

// Drawn days of losses, cuts, crashes in the middle of a write, lost disks (never a majority's) and
// operators: no number is two requests', nothing that was agreed on is forgotten, and in the end all
// have the same state.
func TestDrawnDays(t *testing.T) {
	days := uint64(40)
	if testing.Short() {
		days = 10
	}
	for seed := range days {
		n := 3 + 2*int(seed%2)
		r := newRig(t, n, seed+10)
		r.want()
		r.until("all vote", 4000, r.whole)
		if err := r.agree(1, work.Entry{Kind: work.See, Facts: facts(9)}); err != nil {
			t.Fatal(err)
		}
		token, asked := uint64(1), 0
		for range 300 {
			switch x := r.rng.IntN(100); {
			case x < 3:
				part := r.rng.IntN(1 << n)
				r.cut = func(a, b int) bool { return part>>a&1 != part>>b&1 }
			case x < 6:
				r.cut = func(int, int) bool { return false }
			case x < 8:
				r.loss = r.rng.Float64() * 0.3
			case x < 12:
				if i := r.rng.IntN(n); r.all[i] != nil {
					r.all[i].Tick()
					r.carry(i, true) // dies before the disk has it, or after
					r.all[i] = nil
				}
			case x < 20:
				if i := r.rng.IntN(n); r.all[i] == nil {
					r.start(i)
					r.want()
				}
			case x < 21:
				// A disk is lost only while all the others are well and level, as one machine's.
				if l := r.leader(); l >= 0 && r.whole() && !slices.Contains(r.all, nil) {
					level := true
					for _, m := range r.all {
						level = level && m.Status().Applied == r.all[l].Status().Applied
					}
					if level {
						i := r.rng.IntN(n)
						r.cut, r.loss = func(int, int) bool { return false }, 0
						r.lose(i)
						r.start(i)
						r.want()
						r.until("the lost one has come in", 4000, r.whole)
					}
				}
			case x < 70:
				l := r.leader()
				if l < 0 {
					break
				}
				token++
				e := work.Entry{Kind: work.See, At: int64(token), Facts: facts(9)}
				q := r.all[l].State().Requests()
				switch {
				case x < 40:
					asked++
					e = work.Entry{Kind: work.Want, At: int64(token), Ask: &work.Ask{ID: fmt.Sprint("r", asked), Machine: fmt.Sprint("m", r.rng.IntN(9)), Seconds: 10}}
				case x < 55 && len(q) > 0:
					of := q[r.rng.IntN(len(q))]
					e = work.Entry{Kind: []work.Kind{work.Take, work.Back, work.Cancel}[r.rng.IntN(3)], ID: of.ID, Permit: of.Permit}
				}
				_ = r.all[l].Propose(token, e) // some are lost
				r.carry(l, false)
			}
			r.step()
		}
		r.cut, r.loss = func(int, int) bool { return false }, 0
		for i := range r.all {
			if r.all[i] == nil {
				r.start(i)
			}
		}
		r.want()
		r.until(fmt.Sprintf("seed %d: all are level", seed), 4000, func() bool {
			l := r.leader()
			if l < 0 || !r.whole() {
				return false
			}
			for _, m := range r.all {
				if m.Status().Applied != r.all[l].Status().Applied {
					return false
				}
			}
			return true
		})
		first := fmt.Sprint(r.all[0].State().Snapshot())
		for i, m := range r.all {
			if got := fmt.Sprint(m.State().Snapshot()); got != first {
				t.Fatalf("seed %d: member %d has another state:\n%s\n%s", seed, i, got, first)
			}
		}
	}
}

// Messages that nobody else may send, or that can't be read, change nothing.
func TestStrangeMessages(t *testing.T) {
	r := newRig(t, 1, 3)
	r.until("one leads itself", 100, func() bool { return r.leader() == 0 })
	for what, msg := range map[string]*pb.Message{
		"for another": {To: proto.Uint64(99), Type: pb.MsgApp.Enum()},
		"stand":       {To: proto.Uint64(1), Type: pb.MsgHup.Enum()},
		"propose":     {To: proto.Uint64(1), Type: pb.MsgProp.Enum(), Entries: []*pb.Entry{{Data: []byte("x")}}},
	} {
		data, _ := proto.Marshal(msg)
		if r.all[0].Step(data) == nil {
			t.Errorf("%s is taken", what)
		}
	}
	if r.all[0].Propose(0, work.Entry{}) == nil {
		t.Error("an entry without a token is proposed")
	}
	if r.all[0].Step([]byte{0xff}) == nil {
		t.Error("noise is taken")
	}
	if _, err := New(Options{ID: 1, Election: 10, Keep: 1, Bounds: bounds}, Saved{Entries: []*pb.Entry{{Index: proto.Uint64(5), Term: proto.Uint64(1)}}}); err == nil {
		t.Error("a log with a hole is taken")
	}
	if _, err := New(Options{ID: 1, Election: 10, Keep: 1, Bounds: bounds}, Saved{Hard: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(9)}}); err == nil {
		t.Error("a log that has lost what was agreed on is taken")
	}
}
