// Package seat runs an agent's side of machine maintenance: its member of the council, if it has a persistent folder,
// and the calls of operators, which it forwards to the council's leader. It decides nothing itself; the rules are in
// decide/council and decide/work.
//
// The goroutine of Run owns the member, its store and all calls. Receive and Call may be used by any goroutine: they
// pass their input to Run over a channel, so that no other goroutine waits for a disk. docs/design/work.md has the
// reasons for this design.
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

// Fleet is the agent's connection to its peers; peers.Peers implements it.
type Fleet interface {
	View() (members.View, time.Time)
	Say(to members.ID, w peers.Word) error
	Wish(who string, names []string)
	Publish(orders string)
	Set(change func(*members.Info))
}

// Options configures a Seat.
type Options struct {
	Name         string        // of the agent
	Folder       string        // persistent; empty: the agent has no member and only forwards calls
	Seats        int           // wanted number of voters of the council
	ReplaceAfter time.Duration // how long a member is unhealthy before it is replaced
	Tick         time.Duration // about a hundredth of the time that a person waits for an answer
	Seed         uint64        // of the random numbers
	Fleet        Fleet
	// Observe returns what the agent observes of the fleet, without the fields that the council fills in. Only the
	// leader calls it.
	Observe func(v members.View) work.Observation
	Log     *slog.Logger
}

// electionTicks is the minimum election time-out, observationTicks the interval between two observations of the fleet,
// and callTimeoutTicks how long a call waits for the leader.
const (
	electionTicks    = 8
	observationTicks = 5
	callTimeoutTicks = 20
	retainedEntries  = 256 // log entries kept behind a snapshot
)

// pendingCall is a call that waits for its answer.
type pendingCall struct {
	answer    func(Answer)
	deadline  int // tick
	operation Operation
}

// input is a message or a call passed to Run by another goroutine.
type input struct {
	from    members.ID
	message *peers.Word
	call    *Call
	reply   func(Answer)
}

// Seat is an agent's access to the council, with its own member if it has one.
type Seat struct {
	opt    Options
	inputs chan input
	ended  chan struct{}

	// Owned by Run.
	disk            *store.Store
	machine         *council.Member // nil: the agent has no member, or another process still has its file open
	chooser         seats.Chooser
	ticks           int
	callNumber      uint64 // of the last call that was forwarded
	view            members.View
	publishedLists  []orders.List // published by members of the council
	processesBySeat map[uint64][]members.ID
	nameBySeat      map[uint64]string
	proposed        map[uint64][]pendingCall // calls by token, until their entries are applied
	forwarded       map[uint64]pendingCall   // calls by number, until the other agent answers
	linkUntil       map[string]int           // last tick of the wanted link, by agent name
	fleetToken      uint64                   // token of the proposed fleet update in flight; 0: none
	fleetProposedAt int                      // tick at which it was proposed
	bootstrapToken  uint64                   // token of the call that made this agent the first member; 0: none
	joiningCouncil  uint64                   // sender's council of the last message, until a snapshot is applied
	lastLogged      string                   // last line of the record that was logged
	rng             *rand.Rand
	failed          bool // the store or the member has failed: it is not started again
}

// New returns a Seat, which Run drives. It returns an error if the folder can't be opened. If the contents of the
// folder are damaged, it logs that and the agent runs without a member.
func New(o Options) (*Seat, error) {
	s := &Seat{opt: o, inputs: make(chan input, 1024), ended: make(chan struct{}), chooser: seats.Chooser{Size: o.Seats, ReplaceAfter: int(o.ReplaceAfter / (observationTicks * o.Tick))},
		proposed: map[uint64][]pendingCall{}, forwarded: map[uint64]pendingCall{}, linkUntil: map[string]int{}, rng: rand.New(rand.NewPCG(o.Seed, 0x73656174))}
	if err := s.open(); errors.Is(err, errUnusable) {
		s.opt.Log.Error("work: stored council state is unusable, serving without a council member; empty the folder to join as a new one", "err", err)
		s.failed = true
	} else if err != nil && !errors.Is(err, store.ErrLocked) {
		return nil, err
	}
	return s, nil
}

// errUnusable is wrapped by errors of a folder that can be read but whose contents can't be used.
var errUnusable = errors.New("stored council state can't be used")

// open opens the store and creates the member, if a folder is configured.
func (s *Seat) open() error {
	if s.opt.Folder == "" || s.failed {
		return nil
	}
	if s.disk == nil {
		disk, err := store.Open(s.opt.Folder)
		if errors.Is(err, store.ErrDamaged) {
			return fmt.Errorf("%w: %w", errUnusable, err)
		} else if err != nil {
			return err
		}
		s.disk = disk
	}
	saved, err := s.disk.Load()
	if err == nil {
		s.machine, err = council.New(council.Options{ID: s.disk.ID(), Seed: s.rng.Uint64(), ElectionTicks: electionTicks, RetainedEntries: retainedEntries, Bounds: work.DefaultBounds()}, saved)
	}
	if err != nil {
		err = fmt.Errorf("%w: %w", errUnusable, errors.Join(err, s.disk.Close()))
		s.machine, s.disk = nil, nil
		return err
	}
	return nil
}

// Receive passes a peer's message to Run without blocking. If the queue is full, the message is dropped, as a network
// may drop it.
func (s *Seat) Receive(from members.ID, w peers.Word) {
	select {
	case s.inputs <- input{from: from, message: &w}:
	default:
	}
}

// Call sends a call to the council, repeats it while the answer is retryable, and returns the answer, or the last
// retryable one when the context ends.
func (s *Seat) Call(ctx context.Context, c Call) Answer {
	if err := c.check(); err != nil {
		return Answer{Error: err.Error()}
	}
	last := Answer{Retryable: true, Error: "no leader of a council can be reached"}
	again := time.NewTicker(max(s.opt.Tick, time.Millisecond))
	defer again.Stop()
	for {
		answers := make(chan Answer, 1)
		select {
		case s.inputs <- input{call: &c, reply: func(a Answer) { answers <- a }}:
		case <-ctx.Done():
			return last
		case <-s.ended:
			return last
		}
		select {
		case a := <-answers:
			if !a.Retryable {
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

// Run processes ticks and inputs until the context ends.
func (s *Seat) Run(ctx context.Context) {
	defer close(s.ended)
	tick := time.NewTicker(s.opt.Tick)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
			s.guard(s.tick)
		case in := <-s.inputs:
			s.guard(func() { s.handle(&in) })
		case <-ctx.Done():
		}
		s.guard(s.processReady)
	}
	if s.machine != nil {
		s.guard(func() { s.machine.Resign(); s.processReady() })
	}
	if s.disk != nil {
		_ = s.disk.Close() // all acknowledged state is on disk
	}
}

// guard recovers a panic of the member or its store, so that the agent continues without a member.
func (s *Seat) guard(do func()) {
	defer func() {
		if p := recover(); p != nil {
			s.fail(fmt.Errorf("%v", p))
		}
	}()
	do()
}

// fail stops the member for good and withdraws it from the fleet.
func (s *Seat) fail(err error) {
	s.opt.Log.Error("work: council member failed, this agent leaves the council and serves on; check the folder", "folder", s.opt.Folder, "err", err)
	s.machine, s.failed = nil, true
	s.opt.Fleet.Set(func(i *members.Info) { i.Seat = 0 })
	s.opt.Fleet.Publish("")
}

// tick advances the time by one tick.
func (s *Seat) tick() {
	s.ticks++
	if s.machine == nil && s.opt.Folder != "" && !s.failed && s.ticks%(2*observationTicks) == 0 {
		if err := s.open(); err != nil && !errors.Is(err, store.ErrLocked) {
			s.fail(err)
		}
	}
	if s.ticks%observationTicks == 1 {
		s.refreshView()
	}
	s.expireCalls()
	if s.machine == nil {
		return
	}
	s.machine.Tick()
	if st := s.machine.Status(); st.Leader == st.ID {
		s.leaderTick(&st)
	} else {
		// What this member requested as leader is stale when it leads again: other machines may be excluded by then.
		s.machine.SetMembers(nil)
	}
	s.publish()
}

// refreshView reads the view of the fleet: the members of the council, the lists they publish and the links wanted.
func (s *Seat) refreshView() {
	s.view, _ = s.opt.Fleet.View()
	s.publishedLists, s.processesBySeat, s.nameBySeat = orders.PublishedLists(&s.view), map[uint64][]members.ID{}, map[uint64]string{}
	for _, m := range s.view.Members {
		if m.State == members.Left || m.Info.Left {
			continue
		}
		if m.Info.Seat != 0 {
			s.processesBySeat[m.Info.Seat] = append(s.processesBySeat[m.Info.Seat], m.ID)
			if s.nameBySeat[m.Info.Seat] == "" || m.State != members.Dead {
				s.nameBySeat[m.Info.Seat] = m.ID.Name
			}
		}
	}
	var links []string
	if s.machine != nil {
		seat := s.disk.ID()
		s.opt.Fleet.Set(func(i *members.Info) { i.Seat = seat })
		st := s.machine.Status()
		for _, id := range append(st.Voters, st.Learners...) {
			if name := s.nameBySeat[id]; name != "" && id != seat {
				links = append(links, name)
			}
		}
	}
	for name, until := range s.linkUntil {
		if until < s.ticks {
			delete(s.linkUntil, name)
		} else {
			links = append(links, name)
		}
	}
	slices.Sort(links)
	s.opt.Fleet.Wish("council", slices.Compact(links))
}

// nameOf returns the name of the agent that has a seat, or the seat number if no such agent is known.
func (s *Seat) nameOf(seat uint64) string {
	if seat == 0 {
		return ""
	}
	if name := s.nameBySeat[seat]; name != "" {
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

// expireCalls answers calls whose time-out has passed.
func (s *Seat) expireCalls() {
	for token, all := range s.proposed {
		if all[0].deadline < s.ticks {
			for _, w := range all {
				w.answer(Answer{Retryable: true, Error: "the council has not committed the call in time; a majority may be unreachable"})
			}
			delete(s.proposed, token)
		}
	}
	for number, w := range s.forwarded {
		if w.deadline < s.ticks {
			w.answer(Answer{Retryable: true, Error: "the council member that the call was sent to did not answer in time"})
			delete(s.forwarded, number)
		}
	}
}

// leaderTick does the leader's work: it chooses the council's members and proposes updates of the fleet state.
func (s *Seat) leaderTick(st *council.Status) {
	if s.ticks%observationTicks != 1 {
		return
	}
	state := s.machine.State()
	_, excluded := state.Excluded()
	var all []seats.Candidate
	for _, m := range s.view.Members {
		if m.Info.Seat != 0 && m.State != members.Left && !m.Info.Left {
			all = append(all, seats.Candidate{Seat: m.Info.Seat, Machine: m.Info.Machine, Zone: m.Info.Zone, Healthy: m.State == members.Alive && len(m.SuspectedBy) == 0,
				Excluded: slices.Contains(excluded, m.Info.Machine)})
		}
	}
	current := append(slices.Clone(st.Voters), st.Learners...)
	wanted := current
	if s.view.SelfSuspicion == "" {
		wanted = s.chooser.Next(current, all)
		s.machine.SetMembers(wanted)
	}
	for _, id := range wanted { // a wanted member has to be linked
		if name := s.nameBySeat[id]; name != "" && id != st.ID {
			s.linkUntil[name] = max(s.linkUntil[name], s.ticks+10*observationTicks)
		}
	}
	if s.fleetToken != 0 && s.ticks-s.fleetProposedAt < callTimeoutTicks {
		return
	}
	now := time.Now().Unix()
	observation := s.opt.Observe(s.view)
	observation.View, observation.Seats, observation.Voters, observation.Excluded = s.view, len(st.Voters), st.Voters, map[string]uint64{}
	observation.ExclusionVersion, _ = state.Excluded()
	for _, r := range state.Requests() {
		if r.ExclusionVersion != 0 {
			observation.Excluded[r.Machine] = r.ExclusionVersion
		}
	}
	for _, id := range st.Voters {
		if !slices.Contains(wanted, id) {
			observation.Moving = append(observation.Moving, id)
		}
	}
	f, ok := observation.FleetState()
	if !ok || equalFleet(f, state.FleetState()) && !state.NeedsFleetUpdate(now) {
		return
	}
	if token := s.token(); s.machine.Propose(token, work.Entry{Kind: work.UpdateFleet, At: now, Fleet: &f}) == nil {
		s.fleetToken, s.fleetProposedAt = token, s.ticks
	}
}

// equalFleet reports whether two fleet states are equal, apart from the exclusion version that was known.
func equalFleet(a, b work.FleetState) bool {
	a.ExclusionVersion, b.ExclusionVersion = 0, 0
	x, err1 := cbor.Marshal(a)
	y, err2 := cbor.Marshal(b)
	return err1 == nil && err2 == nil && bytes.Equal(x, y)
}

func (s *Seat) token() uint64 { return s.rng.Uint64() | 1 }

// publish announces the excluded machines to the fleet, if this member is a voter.
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

// processReady saves and sends the member's pending updates, applies committed entries and answers their calls.
func (s *Seat) processReady() {
	for s.machine != nil {
		save, send, ok := s.machine.Ready()
		if !ok {
			return
		}
		if err := s.disk.Save(save); err != nil {
			s.fail(err)
			return
		}
		of := cmp.Or(s.machine.Council(), s.joiningCouncil)
		for _, m := range send {
			for _, id := range s.processesBySeat[m.To] {
				// The council repeats a message that is lost.
				_ = s.opt.Fleet.Say(id, peers.Word{Topic: peers.TopicCouncil, Number: of, Body: m.Data})
			}
		}
		results, err := s.machine.Advance()
		for _, r := range results {
			if r.Token == s.fleetToken {
				s.fleetToken = 0
			}
			for _, w := range s.proposed[r.Token] {
				a := Answer{}
				if w.operation != ProposePromise {
					a.Report = s.report(w.operation)
				}
				if r.Err != nil {
					a = Answer{Error: r.Err.Error()}
				}
				w.answer(a)
			}
			delete(s.proposed, r.Token)
		}
		if err != nil {
			s.fail(err)
			return
		}
		s.logRecord()
	}
}

// logRecord logs the decisions committed since the last call, on the leader only, so that each is logged once in the
// council.
func (s *Seat) logRecord() {
	record := s.machine.State().Record()
	if len(record) == 0 || record[len(record)-1] == s.lastLogged {
		return
	}
	from := len(record) - 1
	for from > 0 && record[from-1] != s.lastLogged && len(record)-from < 50 {
		from--
	}
	if s.lastLogged == "" {
		from = len(record) - 1 // earlier decisions are in the record already
	}
	if st := s.machine.Status(); st.Leader == st.ID {
		for _, line := range record[from:] {
			s.opt.Log.Info("work: " + line)
		}
	}
	s.lastLogged = record[len(record)-1]
}

// handle processes an input.
func (s *Seat) handle(in *input) {
	switch {
	case in.call != nil:
		s.handleCall(in.call, in.reply, true)
	case in.message.Topic == peers.TopicCouncil:
		if s.machine == nil || s.machine.Council() != 0 && s.machine.Council() != in.message.Number {
			return // from another council, whose terms can't be compared
		}
		s.joiningCouncil = in.message.Number
		if by, err := council.Sender(in.message.Body); err != nil || !slices.Contains(s.processesBySeat[by], in.from) {
			return // the sender is not the process that has this seat
		}
		if err := s.machine.Step(in.message.Body); err != nil {
			s.opt.Log.Debug("work: invalid council message", "from", in.from.Name, "err", err)
		}
	case in.message.Topic == peers.TopicCall:
		from, number := in.from, in.message.Number
		answer := func(a Answer) {
			text, err := json.Marshal(&a)
			if err != nil {
				return // cannot happen: plain values only
			}
			// The caller repeats the call if the answer is lost.
			_ = s.opt.Fleet.Say(from, peers.Word{Topic: peers.TopicAnswer, Number: number, Body: text})
		}
		c, err := ReadCall(in.message.Body)
		if err != nil {
			answer(Answer{Error: err.Error()})
			return
		}
		s.handleCall(&c, answer, false)
	case in.message.Topic == peers.TopicAnswer:
		w, known := s.forwarded[in.message.Number]
		if !known {
			return
		}
		delete(s.forwarded, in.message.Number)
		var a Answer
		if err := json.Unmarshal(in.message.Body, &a); err != nil {
			a = Answer{Retryable: true, Error: "invalid answer: " + err.Error()}
		}
		w.answer(a)
	}
}

// handleCall executes a call here or forwards it; a call that was forwarded to this agent is not forwarded again.
func (s *Seat) handleCall(c *Call, answer func(Answer), mayForward bool) {
	votes := false
	if s.machine != nil {
		st := s.machine.Status()
		votes = slices.Contains(st.Voters, st.ID)
	}
	now := time.Now().Unix()
	e, changes := c.entry(now)
	switch {
	case c.Operation == Bootstrap:
		if !mayForward {
			answer(Answer{Error: "found: only at the agent itself"})
			return
		}
		answer(s.bootstrap(c.Token))
	case changes && votes:
		propose := func() error { return s.machine.Propose(c.Token, e) }
		if c.Operation == ProposePromise {
			propose = func() error { return s.machine.ProposePromise(c.Token, now, c.Promise) }
		}
		if err := propose(); err == nil {
			s.proposed[c.Token] = append(s.proposed[c.Token], pendingCall{answer, s.ticks + callTimeoutTicks, c.Operation})
			return
		} else if !errors.Is(err, council.ErrNotLeader) {
			answer(Answer{Retryable: errors.Is(err, council.ErrBusy), Error: err.Error()})
			return
		}
		s.forward(c, answer, mayForward)
	case !changes && votes && s.machine.Status().LeaderAge < 2*electionTicks, !changes && votes && !mayForward:
		answer(Answer{Report: s.report(c.Operation)})
	case !changes && votes:
		// This member has had no leader for long; another one may have a newer state.
		s.forward(c, func(a Answer) {
			if a.Retryable && s.machine != nil {
				a = Answer{Report: s.report(c.Operation)}
			}
			answer(a)
		}, mayForward)
	default:
		s.forward(c, answer, mayForward)
	}
}

// forward sends a call to the leader, or to any member if no leader is known.
func (s *Seat) forward(c *Call, answer func(Answer), mayForward bool) {
	if !mayForward {
		answer(Answer{Retryable: true, Error: "the council member that the call was sent to is not the leader"})
		return
	}
	leader, all := orders.Leader(s.publishedLists)
	if s.machine != nil {
		if st := s.machine.Status(); st.Leader != 0 && st.Leader != st.ID && st.LeaderAge < 2*electionTicks {
			leader = st.Leader // the member is more current than the view
		}
		all = slices.DeleteFunc(all, func(id uint64) bool { return id == s.disk.ID() })
	}
	if leader == 0 && len(all) > 0 {
		leader = all[s.rng.IntN(len(all))]
	}
	ids := s.processesBySeat[leader]
	if leader == 0 || len(ids) == 0 {
		answer(Answer{Retryable: true, Error: "no council member is known; 'molepaddle work found' creates a council"})
		return
	}
	text, err := json.Marshal(c)
	if err != nil {
		answer(Answer{Error: err.Error()})
		return
	}
	s.linkUntil[s.nameOf(leader)] = s.ticks + 10*observationTicks
	s.callNumber++
	for _, id := range ids {
		if err = s.opt.Fleet.Say(id, peers.Word{Topic: peers.TopicCall, Number: s.callNumber, Body: text}); err == nil {
			s.forwarded[s.callNumber] = pendingCall{answer, s.ticks + callTimeoutTicks, c.Operation}
			return
		}
	}
	s.refreshView() // requests the link
	answer(Answer{Retryable: true, Error: fmt.Sprintf("no link to %s, which leads the council, yet", s.nameOf(leader))})
}

// bootstrap makes this agent the first member of a new council. The repeat of a call whose answer was late gets that
// answer.
func (s *Seat) bootstrap(token uint64) Answer {
	s.refreshView()
	switch {
	case s.machine == nil:
		return Answer{Error: "found: this agent has no usable folder for council state (work.folder)"}
	case token != 0 && token == s.bootstrapToken:
		return Answer{Report: s.report(Show)}
	case s.machine.Council() != 0:
		return Answer{Error: "found: this agent belongs to a council already"}
	case len(s.publishedLists) > 0:
		return Answer{Error: fmt.Sprintf("found: there is a council; %s is a member", s.nameOf(s.publishedLists[0].Seat))}
	case s.view.SelfSuspicion != "":
		return Answer{Error: "found: " + s.view.SelfSuspicion}
	}
	if err := s.disk.Bootstrap(time.Now()); err != nil {
		return Answer{Error: err.Error()}
	}
	if err := s.open(); err != nil {
		s.fail(err)
		return Answer{Error: err.Error()}
	}
	s.bootstrapToken = token
	return Answer{Report: s.report(Show)}
}
