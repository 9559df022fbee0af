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

// testDisk holds the durable state of a member. It survives a crash of the member.
type testDisk struct {
	id uint64
	StoredState
}

func (d *testDisk) save(s DurableUpdate) {
	if s.HardState != nil {
		d.HardState = proto.Clone(s.HardState).(*pb.HardState)
	}
	if s.Snapshot != nil {
		d.Snapshot = s.Snapshot
		upTo := s.CompactTo
		if s.FromPeer {
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

// testCluster runs members over a simulated network that loses and delays messages and can be partitioned.
type testCluster struct {
	t           testing.TB
	rng         *rand.Rand
	disks       []*testDisk
	members     []*Member // nil: not running
	inFlight    []Message
	partitioned func(from, to int) bool
	lossRate    float64
	nextID      uint64
	results     map[uint64]error // the first result by token
	granted     map[uint64]string
}

var bounds = work.DefaultBounds()

func newTestCluster(t testing.TB, n int, seed uint64) *testCluster {
	r := &testCluster{t: t, rng: rand.New(rand.NewPCG(seed, 1)), partitioned: func(int, int) bool { return false }, results: map[uint64]error{}, granted: map[uint64]string{}}
	for i := range n {
		r.nextID++
		d := &testDisk{id: r.nextID}
		if i == 0 {
			d.StoredState = Bootstrap(d.id, 99, 0)
			d.StoredState.Snapshot = proto.Clone(d.StoredState.Snapshot).(*pb.Snapshot)
		}
		r.disks, r.members = append(r.disks, d), append(r.members, nil)
		r.start(i)
	}
	return r
}

func (r *testCluster) start(i int) {
	d := r.disks[i]
	m, err := New(Options{ID: d.id, Seed: r.rng.Uint64(), ElectionTicks: 10, RetainedEntries: 20, Bounds: bounds}, StoredState{d.HardState, d.Snapshot, slices.Clone(d.Entries)})
	if err != nil {
		r.t.Fatal(err)
	}
	r.members[i] = m
}

// loseDisk replaces a member's disk by an empty one with another ID.
func (r *testCluster) loseDisk(i int) {
	r.nextID++
	r.disks[i] = &testDisk{id: r.nextID}
	r.members[i] = nil
}

func (r *testCluster) index(id uint64) int {
	return slices.IndexFunc(r.disks, func(d *testDisk) bool { return d.id == id })
}

// processReady processes what a member has ready. With crash the member crashes before or after the write.
func (r *testCluster) processReady(i int, crash bool) {
	m := r.members[i]
	for m != nil {
		save, send, ok := m.Ready()
		if !ok {
			return
		}
		if crash && r.rng.IntN(2) == 0 {
			r.members[i] = nil
			return
		}
		r.disks[i].save(save)
		if crash {
			r.members[i] = nil
			return
		}
		for _, msg := range send {
			if to := r.index(msg.To); to >= 0 && !r.partitioned(i, to) && r.rng.Float64() >= r.lossRate {
				r.inFlight = append(r.inFlight, msg)
			}
		}
		results, err := m.Advance()
		if err != nil {
			r.t.Fatalf("member %d: %v", i, err)
		}
		for _, x := range results {
			if _, known := r.results[x.Token]; !known { // an entry may be committed twice
				r.results[x.Token] = x.Err
			}
		}
		r.checkPermits(m)
	}
}

// checkPermits checks that a permit number is never used for two requests.
func (r *testCluster) checkPermits(m *Member) {
	for _, q := range m.State().Requests() {
		if q.Permit == 0 {
			continue
		}
		if was := r.granted[q.Permit]; was != "" && was != q.ID {
			r.t.Fatalf("permit %d belongs to both %s and %s", q.Permit, was, q.ID)
		}
		r.granted[q.Permit] = q.ID
	}
}

// step advances all members by a tick and delivers most messages in flight, in random order.
func (r *testCluster) step() {
	for i, m := range r.members {
		if m != nil {
			m.Tick()
			r.processReady(i, false)
		}
	}
	for range 4 {
		under := r.inFlight
		r.inFlight = nil
		r.rng.Shuffle(len(under), func(a, b int) { under[a], under[b] = under[b], under[a] })
		for _, msg := range under {
			if i := r.index(msg.To); i >= 0 && r.members[i] != nil {
				if err := r.members[i].Step(msg.Data); err != nil {
					r.t.Fatal(err)
				}
				r.processReady(i, false)
			}
		}
	}
}

func (r *testCluster) leader() int {
	return slices.IndexFunc(r.members, func(m *Member) bool { return m != nil && m.isLeader() })
}

// waitFor steps until a condition holds, and fails the test if it doesn't within that many ticks.
func (r *testCluster) waitFor(what string, most int, holds func() bool) int {
	r.t.Helper()
	for n := range most {
		if holds() {
			return n
		}
		r.step()
	}
	for i, m := range r.members {
		if m != nil {
			r.t.Logf("%d: %+v", i, m.Status())
		}
	}
	r.t.Fatalf("timed out waiting until %s", what)
	return 0
}

// setMembers sets the wanted members at all running members.
func (r *testCluster) setMembers() {
	var ids []uint64
	for _, d := range r.disks {
		ids = append(ids, d.id)
	}
	for _, m := range r.members {
		if m != nil {
			m.SetMembers(ids)
		}
	}
}

// allVote reports whether the leader lists exactly the members of the test as voters.
func (r *testCluster) allVote() bool {
	l := r.leader()
	if l < 0 {
		return false
	}
	s := r.members[l].Status()
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

// commit proposes an entry until it has a result.
func (r *testCluster) commit(token uint64, e work.Entry) error {
	r.t.Helper()
	r.waitFor(fmt.Sprintf("token %d is committed", token), 400, func() bool {
		if _, known := r.results[token]; known {
			return true
		}
		if l := r.leader(); l >= 0 && r.rng.IntN(5) == 0 {
			_ = r.members[l].Propose(token, e) // a lost proposal is repeated
			r.processReady(l, false)
		}
		return false
	})
	return r.results[token]
}

func facts(n int) *work.FleetState {
	f := &work.FleetState{ExclusionVersion: 1 << 62}
	for i := range n {
		f.Machines = append(f.Machines, work.Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Kind: "k", Capacity: 1, Health: work.Up, Drained: true})
	}
	return f
}

// A bootstrapped council grows to five members; the log is compacted and a member that was down catches up
// by a snapshot; the leader crashes and another is elected; a member that lost its disk joins as a new one.
func TestBootstrapCatchUpAndFailover(t *testing.T) {
	r := newTestCluster(t, 5, 1)
	r.setMembers()
	r.waitFor("five vote", 2000, r.allVote)
	if err := r.commit(1, work.Entry{Kind: work.UpdateFleet, Fleet: facts(9)}); err != nil {
		t.Fatal(err)
	}
	if err := r.commit(2, work.Entry{Kind: work.Submit, At: 5, Ask: &work.Ask{ID: "r", Machine: "m1", Seconds: 60}}); err != nil {
		t.Fatal(err)
	}
	away := (r.leader() + 1) % 5
	r.members[away] = nil
	for k := range uint64(100) {
		if err := r.commit(100+k, work.Entry{Kind: work.UpdateFleet, At: int64(k), Fleet: facts(9)}); err != nil {
			t.Fatal(err)
		}
	}
	lead := r.leader()
	if first, _ := r.members[lead].storage.FirstIndex(); first < 40 || len(r.disks[lead].Entries) > 80 {
		t.Errorf("the log is not compacted: it begins at %d, %d entries on the disk", first, len(r.disks[lead].Entries))
	}
	r.start(away)
	r.setMembers()
	r.waitFor("the restarted member has caught up", 400, func() bool {
		return r.members[away].Status().Applied >= r.members[lead].Status().Applied
	})
	r.members[lead] = nil
	took := r.waitFor("another leader is elected", 400, func() bool { return r.leader() >= 0 })
	t.Logf("another leader after %d ticks; the election time-out is 10 ticks or more", took)
	if q := r.members[r.leader()].State().Requests(); len(q) != 1 || q[0].Phase != work.Granted {
		t.Errorf("the granted permit is lost: %+v", q)
	}
	r.loseDisk(lead)
	r.start(lead)
	r.setMembers()
	r.waitFor("it has joined as a new member", 3000, r.allVote)
	if err := r.commit(500, work.Entry{Kind: work.Take, ID: "r", Permit: 1}); err != nil {
		t.Error(err)
	}
	if err := r.commit(501, work.Entry{Kind: work.Take, ID: "r", Permit: 2}); err == nil {
		t.Error("a permit that was never issued was accepted")
	}
}

// A learner that has not caught up isn't promoted, since it would only weaken the quorum.
func TestLearnerCatchesUpBeforeVoting(t *testing.T) {
	r := newTestCluster(t, 3, 4)
	r.members[2] = nil
	r.setMembers()
	r.waitFor("there are two voters and one learner", 2000, func() bool {
		l := r.leader()
		return l >= 0 && len(r.members[l].Status().Voters) == 2 && len(r.members[l].Status().Learners) == 1
	})
	for range 200 {
		r.step()
	}
	if s := r.members[r.leader()].Status(); len(s.Voters) != 2 {
		t.Errorf("a member that got no entries was promoted: %+v", s)
	}
	r.start(2)
	r.setMembers()
	r.waitFor("there are three voters", 2000, r.allVote)
}

// An active voter that is to be replaced stays until its replacement votes, even if that isn't running yet, and
// even while raft has just reset its activity flags.
func TestVoterStaysUntilReplaced(t *testing.T) {
	for seed := range uint64(30) {
		r := newTestCluster(t, 4, seed)
		r.members[3] = nil
		want := func(ids ...uint64) {
			for _, m := range r.members {
				if m != nil {
					m.SetMembers(ids)
				}
			}
		}
		voters := func() []uint64 {
			if l := r.leader(); l >= 0 {
				return r.members[l].Status().Voters
			}
			return nil
		}
		want(1, 2, 3)
		r.waitFor("there are three voters", 2000, func() bool { return len(voters()) == 3 })
		leaves := r.disks[(r.leader()+1)%3].id
		next := slices.DeleteFunc([]uint64{1, 2, 3, 4}, func(id uint64) bool { return id == leaves })
		want(next...)
		kept := func() {
			if v := voters(); v != nil && len(v) < 3 {
				t.Fatalf("seed %d: only %v are voters", seed, v)
			}
		}
		for range 100 + seed {
			r.step()
			kept()
		}
		r.start(3)
		r.lossRate = 0.2
		r.waitFor("the voter is replaced", 3000, func() bool {
			kept()
			v := slices.Clone(voters())
			slices.Sort(v)
			return slices.Equal(v, next)
		})
	}
}

// The minority side of a partition commits nothing, and reports the age of its state.
func TestMinorityPartition(t *testing.T) {
	r := newTestCluster(t, 5, 2)
	r.setMembers()
	r.waitFor("five vote", 2000, r.allVote)
	lead := r.leader()
	other := (lead + 1) % 5
	r.partitioned = func(a, b int) bool { return (a == lead || a == other) != (b == lead || b == other) }
	r.inFlight = nil
	_ = r.members[lead].Propose(7, work.Entry{Kind: work.UpdateFleet, Fleet: facts(3)})
	r.processReady(lead, false)
	r.waitFor("the old leader has stepped down", 100, func() bool { return !r.members[lead].isLeader() })
	if _, known := r.results[7]; known {
		t.Error("two of five members committed an entry")
	}
	if err := r.members[lead].Propose(8, work.Entry{Kind: work.UpdateFleet, Fleet: facts(3)}); !errors.Is(err, ErrNotLeader) {
		t.Error(err)
	}
	r.waitFor("the majority has a leader", 200, func() bool { return r.leader() >= 0 })
	if err := r.commit(9, work.Entry{Kind: work.UpdateFleet, Fleet: facts(4)}); err != nil {
		t.Fatal(err)
	}
	if age := r.members[lead].Status().LeaderAge; age < 5 {
		t.Errorf("the minority reports that a leader was active %d ticks ago", age)
	}
	r.partitioned = func(int, int) bool { return false }
	r.waitFor("the old leader has caught up", 400, func() bool {
		return r.members[lead].Status().Applied == r.members[r.leader()].Status().Applied
	})
	if n := len(r.members[lead].State().Snapshot().Fleet.Machines); n != 4 {
		t.Errorf("an entry of the minority was applied: %d machines", n)
	}
}

// Random message loss, partitions, crashes during a write, lost disks (never a majority's) and operator calls:
// no permit number is used for two requests, no committed entry is lost, and in the end all members have the
// same state.
func TestRandomFaults(t *testing.T) {
	days := uint64(40)
	if testing.Short() {
		days = 10
	}
	for seed := range days {
		n := 3 + 2*int(seed%2)
		r := newTestCluster(t, n, seed+10)
		r.setMembers()
		r.waitFor("all members are voters", 4000, r.allVote)
		if err := r.commit(1, work.Entry{Kind: work.UpdateFleet, Fleet: facts(9)}); err != nil {
			t.Fatal(err)
		}
		token, asked := uint64(1), 0
		for range 300 {
			switch x := r.rng.IntN(100); {
			case x < 3:
				part := r.rng.IntN(1 << n)
				r.partitioned = func(a, b int) bool { return part>>a&1 != part>>b&1 }
			case x < 6:
				r.partitioned = func(int, int) bool { return false }
			case x < 8:
				r.lossRate = r.rng.Float64() * 0.3
			case x < 12:
				if i := r.rng.IntN(n); r.members[i] != nil {
					r.members[i].Tick()
					r.processReady(i, true) // crashes before or after the write
					r.members[i] = nil
				}
			case x < 20:
				if i := r.rng.IntN(n); r.members[i] == nil {
					r.start(i)
					r.setMembers()
				}
			case x < 21:
				// A disk is lost only while all members run and have applied the same, as if one machine failed.
				if l := r.leader(); l >= 0 && r.allVote() && !slices.Contains(r.members, nil) {
					level := true
					for _, m := range r.members {
						level = level && m.Status().Applied == r.members[l].Status().Applied
					}
					if level {
						i := r.rng.IntN(n)
						r.partitioned, r.lossRate = func(int, int) bool { return false }, 0
						r.loseDisk(i)
						r.start(i)
						r.setMembers()
						r.waitFor("the member with the lost disk has joined", 4000, r.allVote)
					}
				}
			case x < 70:
				l := r.leader()
				if l < 0 {
					break
				}
				token++
				e := work.Entry{Kind: work.UpdateFleet, At: int64(token), Fleet: facts(9)}
				q := r.members[l].State().Requests()
				switch {
				case x < 40:
					asked++
					e = work.Entry{Kind: work.Submit, At: int64(token), Ask: &work.Ask{ID: fmt.Sprint("r", asked), Machine: fmt.Sprint("m", r.rng.IntN(9)), Seconds: 10}}
				case x < 55 && len(q) > 0:
					of := q[r.rng.IntN(len(q))]
					e = work.Entry{Kind: []work.Kind{work.Take, work.Complete, work.Cancel}[r.rng.IntN(3)], ID: of.ID, Permit: of.Permit}
				}
				_ = r.members[l].Propose(token, e) // some are lost
				r.processReady(l, false)
			}
			r.step()
		}
		r.partitioned, r.lossRate = func(int, int) bool { return false }, 0
		for i := range r.members {
			if r.members[i] == nil {
				r.start(i)
			}
		}
		r.setMembers()
		r.waitFor(fmt.Sprintf("seed %d: all members have applied the same", seed), 4000, func() bool {
			l := r.leader()
			if l < 0 || !r.allVote() {
				return false
			}
			for _, m := range r.members {
				if m.Status().Applied != r.members[l].Status().Applied {
					return false
				}
			}
			return true
		})
		first := fmt.Sprint(r.members[0].State().Snapshot())
		for i, m := range r.members {
			if got := fmt.Sprint(m.State().Snapshot()); got != first {
				t.Fatalf("seed %d: member %d has another state:\n%s\n%s", seed, i, got, first)
			}
		}
	}
}

// Messages of local types, for another member or that can't be decoded are rejected, and so are invalid states.
func TestInvalidMessages(t *testing.T) {
	r := newTestCluster(t, 1, 3)
	r.waitFor("the only member leads", 100, func() bool { return r.leader() == 0 })
	for what, msg := range map[string]*pb.Message{
		"for another": {To: proto.Uint64(99), Type: pb.MsgApp.Enum()},
		"campaign":    {To: proto.Uint64(1), Type: pb.MsgHup.Enum()},
		"propose":     {To: proto.Uint64(1), Type: pb.MsgProp.Enum(), Entries: []*pb.Entry{{Data: []byte("x")}}},
	} {
		data, _ := proto.Marshal(msg)
		if r.members[0].Step(data) == nil {
			t.Errorf("%s is accepted", what)
		}
	}
	if r.members[0].Propose(0, work.Entry{}) == nil {
		t.Error("an entry without a token was accepted")
	}
	if r.members[0].Step([]byte{0xff}) == nil {
		t.Error("an undecodable message was accepted")
	}
	if _, err := New(Options{ID: 1, ElectionTicks: 10, RetainedEntries: 1, Bounds: bounds}, StoredState{Entries: []*pb.Entry{{Index: proto.Uint64(5), Term: proto.Uint64(1)}}}); err == nil {
		t.Error("a log with a gap was accepted")
	}
	if _, err := New(Options{ID: 1, ElectionTicks: 10, RetainedEntries: 1, Bounds: bounds}, StoredState{HardState: &pb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(9)}}); err == nil {
		t.Error("a log that ends before the committed index was accepted")
	}
}
