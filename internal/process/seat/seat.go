// Package seat drives one agent's part in taking machines out for work: its member of the council, where it
// has a folder that lasts, and the calls of operators, which it brings to the member that leads.
//
// One goroutine, Run's, owns the member, its disk and all calls; whoever else has something for it
// hands it over and never waits for a disk. docs/design/work.md says why it is made so.
package seat

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"molepaddle/internal/decide/council"
	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/orders"
	"molepaddle/internal/decide/seats"
	"molepaddle/internal/decide/work"
	"molepaddle/internal/process/store"
	"molepaddle/internal/protocol/peers"
)

// Fleet is the agent's end among its peers; peers.Peers is.
type Fleet interface {
	View() (members.View, time.Time)
	Say(to members.ID, w peers.Word) error
	Wish(who string, names []string)
	Publish(orders string)
	Set(change func(*members.Info))
}

// Options is what a Seat is made of.
type Options struct {
	Name         string
	Folder       string // that lasts; empty: it sits nowhere, and only brings calls
	Seats        int    // of the council
	ReplaceAfter time.Duration
	Tick         time.Duration // some hundredth of what a person waits
	Seed         uint64
	Fleet        Fleet
	// Sight is what the agent sees, but for what the council itself knows; asked by the member that leads.
	Sight func(v members.View) work.Observation
	Log   *slog.Logger
}

// election is how many ticks a member waits for a leader, at the least; sights how many pass between two
// looks at the fleet; patience how many a call waits for the one that leads.
const (
	election = 8
	sights   = 5
	patience = 20
	keep     = 256 // entries behind a snapshot
)

// waiting is a call whose answer is awaited.
type waiting struct {
	answer func(Answer)
	until  int // tick
	do     Do
}

// input is what comes from other goroutines.
type input struct {
	from members.ID
	word *peers.Word
	call *Call
	tell func(Answer)
}

// Seat is an agent's part.
type Seat struct {
	opt   Options
	in    chan input
	ended chan struct{}

	// Run's.
	disk    *store.Store
	machine *council.Member // nil: it does not sit, or its disk is another process's still
	chooser seats.Chooser
	ticks   int
	number  uint64 // of the last call that was brought to another
	view    members.View
	told    []orders.List // by members of the council
	byseat  map[uint64][]members.ID
	names   map[uint64]string
	agreed  map[uint64][]waiting // calls by token, until the log has them
	brought map[uint64]waiting   // calls by number, until another answers
	asks    map[string]int       // whom calls are brought to, and until which tick a link is kept
	facts   uint64               // the token of those that are under way; 0: none
	since   int                  // the tick at which they were proposed
	joins   uint64               // the council that spoke to this member last: until it has that one's snapshot, it belongs to none
	logged  string               // the last line of the record that was logged
	rng     *rand.Rand
	dead    bool // the disk or the member has failed: it does not sit again
}

// New makes a part; Run drives it. An error is of a folder that can't be used; one whose contents are
// damaged is told, and the agent sits nowhere.
func New(o Options) (*Seat, error) {
	s := &Seat{opt: o, in: make(chan input, 1024), ended: make(chan struct{}), chooser: seats.Chooser{Size: o.Seats, ReplaceAfter: int(o.ReplaceAfter / (sights * o.Tick))},
		agreed: map[uint64][]waiting{}, brought: map[uint64]waiting{}, asks: map[string]int{}, rng: rand.New(rand.NewPCG(o.Seed, 0x73656174))}
	if err := s.open(); errors.Is(err, errContents) {
		s.opt.Log.Error("work: the agent serves without its seat; its folder has to be emptied, and it comes in as a new member", "err", err)
		s.dead = true
	} else if err != nil && !errors.Is(err, store.ErrHeld) {
		return nil, err
	}
	return s, nil
}

// errContents is what is wrapped where a folder can be read, and what is in it can't be used.
var errContents = errors.New("what is kept there can't be used")

// open opens the disk and makes the member, where there is a folder.
func (s *Seat) open() error {
	if s.opt.Folder == "" || s.dead {
		return nil
	}
	if s.disk == nil {
		disk, err := store.Open(s.opt.Folder)
		if errors.Is(err, store.ErrDamaged) {
			return fmt.Errorf("%w: %w", errContents, err)
		} else if err != nil {
			return err
		}
		s.disk = disk
	}
	saved, err := s.disk.Load()
	if err == nil {
		s.machine, err = council.New(council.Options{ID: s.disk.ID(), Seed: s.rng.Uint64(), ElectionTicks: election, RetainedEntries: keep, Bounds: work.DefaultBounds()}, saved)
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", errContents, errors.Join(err, s.disk.Close()))
		s.machine, s.disk = nil, nil
		return err
	}
	return nil
}

// Hear takes a word of a peer; it does not wait. One for which there is no room is lost, as a network
// loses it.
func (s *Seat) Hear(from members.ID, w peers.Word) {
	select {
	case s.in <- input{from: from, word: &w}:
	default:
	}
}

// Call brings a call to the council and waits for what comes of it, at most until the context ends.
func (s *Seat) Call(ctx context.Context, c Call) Answer {
	if err := c.check(); err != nil {
		return Answer{Error: err.Error()}
	}
	last := Answer{Again: true, Error: "no member of a council that leads can be reached"}
	again := time.NewTicker(max(s.opt.Tick, time.Millisecond))
	defer again.Stop()
	for {
		answers := make(chan Answer, 1)
		select {
		case s.in <- input{call: &c, tell: func(a Answer) { answers <- a }}:
		case <-ctx.Done():
			return last
		case <-s.ended:
			return last
		}
		select {
		case a := <-answers:
			if !a.Again {
				return a
			}
			last = a
		case <-ctx.Done():
			return last
		case <-s.ended:
			return last
		}
		select {
		case <-again.C:
		case <-ctx.Done():
			return last
		}
	}
}

// Run drives the part until the context ends.
func (s *Seat) Run(ctx context.Context) {
	defer close(s.ended)
	tick := time.NewTicker(s.opt.Tick)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			s.guard(s.tick)
		case in := <-s.in:
			s.guard(func() { s.take(&in) })
		case <-ctx.Done():
		}
		s.guard(s.carry)
	}
	if s.machine != nil {
		s.guard(func() { s.machine.Resign(); s.carry() })
	}
	if s.disk != nil {
		_ = s.disk.Close() // all that was said is on it
	}
}

// guard keeps a fault of the member or its disk from the agent, which serves without.
func (s *Seat) guard(do func()) {
	defer func() {
		if p := recover(); p != nil {
			s.fail(fmt.Errorf("%v", p))
		}
	}()
	do()
}

// fail ends the member.
func (s *Seat) fail(err error) {
	s.opt.Log.Error("work: this agent leaves the council, and serves on; its folder has to be looked at", "folder", s.opt.Folder, "err", err)
	s.machine, s.dead = nil, true
	s.opt.Fleet.Set(func(i *members.Info) { i.Seat = 0 })
	s.opt.Fleet.Publish("")
}

// tick is the passing of a tick.
func (s *Seat) tick() {
	s.ticks++
	if s.machine == nil && s.opt.Folder != "" && !s.dead && s.ticks%(2*sights) == 0 {
		if err := s.open(); err != nil && !errors.Is(err, store.ErrHeld) {
			s.fail(err)
		}
	}
	if s.ticks%sights == 1 {
		s.look()
	}
	s.lapse()
	if s.machine == nil {
		return
	}
	s.machine.Tick()
	if st := s.machine.Status(); st.Leader == st.ID {
		s.lead(&st)
	} else {
		s.machine.SetMembers(nil) // what it wanted as it led: when it leads again, others may be out
	}
	s.publish()
}

// look takes the view anew: who sits, who says that it leads, with whom links are wanted.
func (s *Seat) look() {
	s.view, _ = s.opt.Fleet.View()
	s.told, s.byseat, s.names = orders.PublishedLists(&s.view), map[uint64][]members.ID{}, map[uint64]string{}
	for _, m := range s.view.Members {
		if m.State == members.Left || m.Info.Left {
			continue
		}
		if m.Info.Seat != 0 {
			s.byseat[m.Info.Seat] = append(s.byseat[m.Info.Seat], m.ID)
			if s.names[m.Info.Seat] == "" || m.State != members.Dead {
				s.names[m.Info.Seat] = m.ID.Name
			}
		}
	}
	var wish []string
	if s.machine != nil {
		seat := s.disk.ID()
		s.opt.Fleet.Set(func(i *members.Info) { i.Seat = seat })
		st := s.machine.Status()
		for _, id := range append(st.Voters, st.Learners...) {
			if name := s.names[id]; name != "" && id != seat {
				wish = append(wish, name)
			}
		}
	}
	for name, until := range s.asks {
		if until < s.ticks {
			delete(s.asks, name)
		} else {
			wish = append(wish, name)
		}
	}
	slices.Sort(wish)
	s.opt.Fleet.Wish("council", slices.Compact(wish))
}

func (s *Seat) nameOf(seat uint64) string {
	if seat == 0 {
		return ""
	}
	if name := s.names[seat]; name != "" {
		return name
	}
	return fmt.Sprintf("seat %x", seat)
}

func (s *Seat) namesOf(seats []uint64) []string {
	names := []string{}
	for _, id := range seats {
		names = append(names, s.nameOf(id))
	}
	slices.Sort(names)
	return names
}

// lapse answers calls that have waited long enough.
func (s *Seat) lapse() {
	for token, all := range s.agreed {
		if all[0].until < s.ticks {
			for _, w := range all {
				w.answer(Answer{Again: true, Error: "the council has not agreed yet; it may be that most of it can't be reached"})
			}
			delete(s.agreed, token)
		}
	}
	for number, w := range s.brought {
		if w.until < s.ticks {
			w.answer(Answer{Again: true, Error: "the member of the council that was asked does not answer"})
			delete(s.brought, number)
		}
	}
}

// lead does what the member that leads has to: who sits, and what is seen.
func (s *Seat) lead(st *council.Status) {
	if s.ticks%sights != 1 {
		return
	}
	state := s.machine.State()
	_, alone := state.Excluded()
	var all []seats.Candidate
	for _, m := range s.view.Members {
		if m.Info.Seat != 0 && m.State != members.Left && !m.Info.Left {
			all = append(all, seats.Candidate{Seat: m.Info.Seat, Machine: m.Info.Machine, Zone: m.Info.Zone, Healthy: m.State == members.Alive && len(m.SuspectedBy) == 0,
				Excluded: slices.Contains(alone, m.Info.Machine)})
		}
	}
	sits := append(slices.Clone(st.Voters), st.Learners...)
	want := sits
	if s.view.SelfSuspicion == "" {
		want = s.chooser.Next(sits, all)
		s.machine.SetMembers(want)
	}
	for _, id := range want { // who is to come in has to be heard of
		if name := s.names[id]; name != "" && id != st.ID {
			s.asks[name] = max(s.asks[name], s.ticks+10*sights)
		}
	}
	if s.facts != 0 && s.ticks-s.since < patience {
		return
	}
	now := time.Now().Unix()
	sight := s.opt.Sight(s.view)
	sight.View, sight.Seats, sight.Voters, sight.Excluded = s.view, len(st.Voters), st.Voters, map[string]uint64{}
	sight.ExclusionVersion, _ = state.Excluded()
	for _, r := range state.Requests() {
		if r.ExclusionVersion != 0 {
			sight.Excluded[r.Machine] = r.ExclusionVersion
		}
	}
	for _, id := range st.Voters {
		if !slices.Contains(want, id) {
			sight.Moving = append(sight.Moving, id)
		}
	}
	f, ok := sight.FleetState()
	if !ok || same(f, state.FleetState()) && !state.NeedsFleetUpdate(now) {
		return
	}
	if token := s.token(); s.machine.Propose(token, work.Entry{Kind: work.UpdateFleet, At: now, Fleet: &f}) == nil {
		s.facts, s.since = token, s.ticks
	}
}

// same tells whether two facts are the same but for the version of the orders that was known.
func same(a, b work.FleetState) bool {
	a.ExclusionVersion, b.ExclusionVersion = 0, 0
	x, err1 := cbor.Marshal(a)
	y, err2 := cbor.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

func (s *Seat) token() uint64 { return s.rng.Uint64() | 1 }

// publish has everybody know which machines are left alone, as far as this member votes.
func (s *Seat) publish() {
	st := s.machine.Status()
	if !slices.Contains(st.Voters, st.ID) {
		s.opt.Fleet.Publish("")
		return
	}
	l := orders.List{Council: st.Council, Seat: st.ID, Seats: uint64(len(st.Voters)), IsLeader: st.Leader == st.ID}
	var names []string
	l.Version, names = s.machine.State().Excluded()
	for _, name := range names {
		l.Machines = append(l.Machines, orders.MachineHash(name))
	}
	slices.Sort(l.Machines)
	s.opt.Fleet.Publish(l.Encode())
}

// carry makes durable what the member has ready, sends it, and answers whose entries were applied.
func (s *Seat) carry() {
	for s.machine != nil {
		save, send, ok := s.machine.Ready()
		if !ok {
			return
		}
		if err := s.disk.Save(save); err != nil {
			s.fail(err)
			return
		}
		of := cmp.Or(s.machine.Council(), s.joins)
		for _, m := range send {
			for _, id := range s.byseat[m.To] {
				_ = s.opt.Fleet.Say(id, peers.Word{Topic: peers.TopicCouncil, Number: of, Body: m.Data}) // what is lost is said again
			}
		}
		results, err := s.machine.Advance()
		for _, r := range results {
			if r.Token == s.facts {
				s.facts = 0
			}
			for _, w := range s.agreed[r.Token] {
				a := Answer{}
				if w.do != Hold {
					a.Report = s.report(w.do)
				}
				if r.Err != nil {
					a = Answer{Error: r.Err.Error()}
				}
				w.answer(a)
			}
			delete(s.agreed, r.Token)
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.log()
	}
}

// log writes what was settled since the last time, where this member leads: once for all of them.
func (s *Seat) log() {
	record := s.machine.State().Record()
	if len(record) == 0 || record[len(record)-1] == s.logged {
		return
	}
	from := len(record) - 1
	for from > 0 && record[from-1] != s.logged && len(record)-from < 50 {
		from--
	}
	if s.logged == "" {
		from = len(record) - 1 // what was settled before this process is told by the record
	}
	if st := s.machine.Status(); st.Leader == st.ID {
		for _, line := range record[from:] {
			s.opt.Log.Info("work: " + line)
		}
	}
	s.logged = record[len(record)-1]
}

// take takes an input.
func (s *Seat) take(in *input) {
	switch {
	case in.call != nil:
		s.call(in.call, in.tell, true)
	case in.word.Topic == peers.TopicCouncil:
		if s.machine == nil || s.machine.Council() != 0 && s.machine.Council() != in.word.Number {
			return // another council's: its terms mean nothing here
		}
		s.joins = in.word.Number
		if by, err := council.Sender(in.word.Body); err != nil || !slices.Contains(s.byseat[by], in.from) {
			return // nobody speaks for another's seat
		}
		if err := s.machine.Step(in.word.Body); err != nil {
			s.opt.Log.Debug("work: a word of the council makes no sense", "from", in.from.Name, "err", err)
		}
	case in.word.Topic == peers.TopicCall:
		from, number := in.from, in.word.Number
		answer := func(a Answer) {
			text, err := json.Marshal(&a)
			if err != nil {
				return // values only
			}
			_ = s.opt.Fleet.Say(from, peers.Word{Topic: peers.TopicAnswer, Number: number, Body: text}) // the caller asks again
		}
		c, err := ReadCall(in.word.Body)
		if err != nil {
			answer(Answer{Error: err.Error()})
			return
		}
		s.call(&c, answer, false)
	case in.word.Topic == peers.TopicAnswer:
		w, known := s.brought[in.word.Number]
		if !known {
			return
		}
		delete(s.brought, in.word.Number)
		var a Answer
		if err := json.Unmarshal(in.word.Body, &a); err != nil {
			a = Answer{Again: true, Error: "an answer makes no sense: " + err.Error()}
		}
		w.answer(a)
	}
}

// call does a call here, or brings it to another; one that was brought here goes no further.
func (s *Seat) call(c *Call, answer func(Answer), bring bool) {
	sits := false
	if s.machine != nil {
		st := s.machine.Status()
		sits = slices.Contains(st.Voters, st.ID)
	}
	now := time.Now().Unix()
	e, changes := c.entry(now)
	switch {
	case c.Do == Found:
		if !bring {
			answer(Answer{Error: "found: only at the agent itself"})
			return
		}
		answer(s.found())
	case changes && sits:
		propose := func() error { return s.machine.Propose(c.Token, e) }
		if c.Do == Hold {
			propose = func() error { return s.machine.ProposePromise(c.Token, now, c.Hold) }
		}
		if err := propose(); err == nil {
			s.agreed[c.Token] = append(s.agreed[c.Token], waiting{answer, s.ticks + patience, c.Do})
			return
		} else if !errors.Is(err, council.ErrNotLeader) {
			answer(Answer{Again: errors.Is(err, council.ErrBusy), Error: err.Error()})
			return
		}
		s.bring(c, answer, bring)
	case !changes && sits && s.machine.Status().LeaderAge < 2*election, !changes && sits && !bring:
		answer(Answer{Report: s.report(c.Do)})
	case !changes && sits:
		// It has heard no leader for long; somebody else may have.
		s.bring(c, func(a Answer) {
			if a.Again && s.machine != nil {
				a = Answer{Report: s.report(c.Do)}
			}
			answer(a)
		}, bring)
	default:
		s.bring(c, answer, bring)
	}
}

// bring brings a call to the member that leads, else to any that sits.
func (s *Seat) bring(c *Call, answer func(Answer), bring bool) {
	if !bring {
		answer(Answer{Again: true, Error: "the member of the council that was asked does not lead it"})
		return
	}
	leader, all := orders.Leader(s.told)
	if s.machine != nil {
		if st := s.machine.Status(); st.Leader != 0 && st.Leader != st.ID && st.LeaderAge < 2*election {
			leader = st.Leader // it knows better than the view
		}
		all = slices.DeleteFunc(all, func(id uint64) bool { return id == s.disk.ID() })
	}
	if leader == 0 && len(all) > 0 {
		leader = all[s.rng.IntN(len(all))]
	}
	ids := s.byseat[leader]
	if leader == 0 || len(ids) == 0 {
		answer(Answer{Again: true, Error: "no member of a council is known; 'molepaddle work found' makes the first"})
		return
	}
	text, err := json.Marshal(c)
	if err != nil {
		answer(Answer{Error: err.Error()})
		return
	}
	s.asks[s.nameOf(leader)] = s.ticks + 10*sights
	s.number++
	for _, id := range ids {
		if err = s.opt.Fleet.Say(id, peers.Word{Topic: peers.TopicCall, Number: s.number, Body: text}); err == nil {
			s.brought[s.number] = waiting{answer, s.ticks + patience, c.Do}
			return
		}
	}
	s.look() // the wish for a link
	answer(Answer{Again: true, Error: fmt.Sprintf("no link to %s, which leads the council, yet", s.nameOf(leader))})
}

// found makes this agent the first member of a council.
func (s *Seat) found() Answer {
	s.look()
	switch {
	case s.machine == nil:
		return Answer{Error: "found: this agent has no folder to sit with (work.folder), or it can't be used"}
	case s.machine.Council() != 0:
		return Answer{Error: "found: this agent belongs to a council already"}
	case len(s.told) > 0:
		return Answer{Error: fmt.Sprintf("found: there is a council; %s is of it", s.nameOf(s.told[0].Seat))}
	case s.view.SelfSuspicion != "":
		return Answer{Error: "found: " + s.view.SelfSuspicion}
	}
	if err := s.disk.Found(time.Now()); err != nil {
		return Answer{Error: err.Error()}
	}
	if err := s.open(); err != nil {
		s.fail(err)
		return Answer{Error: err.Error()}
	}
	return Answer{Report: s.report(Show)}
}
