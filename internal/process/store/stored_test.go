package store

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"molepaddle/internal/decide/council"
	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/decide/work"
	"molepaddle/internal/goldenbytes"
)

// storedCouncil is a file written by an earlier build of the agent: a snapshot and a log behind it.
const storedCouncil = "testdata/stored/council.db"

// A build opens the council that an earlier build has stored, with the same requests, machines and holders, and
// continues its log.
func TestStoredByEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	if goldenbytes.Updating() {
		storeCouncil(t, dir)
	} else {
		copyFile(t, storedCouncil, filepath.Join(dir, file))
	}
	s := open(t, dir)
	saved := load(t, s)
	m := newMember(t, s, saved)
	text := fmt.Sprintf("council %x, %d entries behind the snapshot at %d, commit %d\n", m.Council(), len(saved.Entries),
		saved.Snapshot.GetMetadata().GetIndex(), saved.HardState.GetCommit())
	lead(t, s, m)
	for _, r := range m.State().Requests() {
		text += fmt.Sprintf("request %s of %s by %s: %v, permit %d, %d s, urgent %v, %q\n", r.ID, r.Machine, r.By, r.Phase, r.Permit, r.Seconds, r.Urgent, r.Why)
	}
	version, alone := m.State().Excluded()
	text += fmt.Sprintf("orders %d: %v\n", version, alone)
	for _, machine := range m.State().FleetState().Machines {
		text += fmt.Sprintf("machine %s in %s of %s: %v, %v\n", machine.Name, machine.Zone, machine.Kind, machine.Capacity, machine.Health)
	}
	for _, h := range m.Register().All() {
		text += fmt.Sprintf("holder %s/%d: epoch %d, %v, sealed %v\n", h.Holder.Name, h.Holder.Incarnation, h.Epoch, h.Replicas, h.Sealed)
	}
	goldenbytes.Check(t, "stored/council.txt", []byte(text))
	if err := agree(t, s, m, 1000, work.Entry{Kind: work.Cancel, At: 1000, ID: "r0"}); err != nil {
		t.Error(err)
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// storeCouncil creates a council of one member with a snapshot and entries behind it, and copies its file to testdata.
func storeCouncil(t *testing.T, dir string) {
	s := open(t, dir)
	if err := s.Bootstrap(time.Unix(1<<30, 0)); err != nil {
		t.Fatal(err)
	}
	m := newMember(t, s, load(t, s))
	lead(t, s, m)
	facts := &work.FleetState{ExclusionVersion: 1 << 62, Seats: 1}
	for i := range 6 {
		facts.Machines = append(facts.Machines, work.Machine{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%3), Kind: "k", Capacity: 1.5, Health: work.Up, Drained: true})
	}
	entries := []work.Entry{{Kind: work.UpdateFleet, At: 1, Fleet: facts}}
	for i := range 5 {
		entries = append(entries, work.Entry{Kind: work.Submit, At: int64(2 + i), Ask: &work.Ask{ID: fmt.Sprint("r", i), Machine: fmt.Sprint("m", i), Seconds: 60, By: "operator",
			Why: "kernel", Urgent: i == 1, NotBefore: 3, DueBy: 900}})
	}
	for i := range 40 {
		entries = append(entries, work.Entry{Kind: work.UpdateFleet, At: int64(10 + i), Fleet: facts})
	}
	for i, e := range entries {
		if err := agree(t, s, m, uint64(i+1), e); err != nil {
			t.Fatal(err)
		}
	}
	hold := &promises.Entry{Holder: promises.Holder{Name: "gw", Incarnation: 7}, Epoch: 1, Replicas: []promises.Peer{members.ID{Name: "n1", Incarnation: 8}}}
	if err := m.ProposePromise(500, 60, hold); err != nil {
		t.Fatal(err)
	}
	advance(t, s, m)
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	copyFile(t, filepath.Join(dir, file), storedCouncil)
}

func newMember(t *testing.T, s *Store, saved council.StoredState) *council.Member {
	t.Helper()
	m, err := council.New(council.Options{ID: s.ID(), Seed: 1, ElectionTicks: 8, RetainedEntries: 8, Bounds: work.DefaultBounds()}, saved)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// lead lets the only member of a council become its leader.
func lead(t *testing.T, s *Store, m *council.Member) {
	t.Helper()
	for range 100 {
		m.Tick()
		advance(t, s, m)
		if st := m.Status(); st.Leader == st.ID {
			return
		}
	}
	t.Fatal("the only member does not lead")
}

// advance saves and applies what the member has ready.
func advance(t *testing.T, s *Store, m *council.Member) (results []council.Result) {
	t.Helper()
	for {
		save, _, ok := m.Ready()
		if !ok {
			return results
		}
		if err := s.Save(save); err != nil {
			t.Fatal(err)
		}
		applied, err := m.Advance()
		if err != nil {
			t.Fatal(err)
		}
		results = append(results, applied...)
	}
}

// agree proposes an entry and returns the error of its application.
func agree(t *testing.T, s *Store, m *council.Member, token uint64, e work.Entry) error {
	t.Helper()
	if err := m.Propose(token, e); err != nil {
		t.Fatal(err)
	}
	for _, r := range advance(t, s, m) {
		if r.Token == token {
			return r.Err
		}
	}
	t.Fatalf("entry %d is not applied", token)
	return nil
}

func copyFile(t *testing.T, from, to string) {
	t.Helper()
	b, err := os.ReadFile(from)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(to, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
