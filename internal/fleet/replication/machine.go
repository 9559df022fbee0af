package replication

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxJoiners = 64
	maxWaiting = 4096
)

// Machine is one core machine's part in the replication. It is not safe for concurrent use.
type Machine struct {
	opt Options
	app App

	// What is on disk, or will be once the Output in the making is carried out.
	id                 Identity
	view               View
	vote               Vote
	stand              Standing
	base               Snapshot // what changes follow on; Body is not kept
	changes            []Change // the newest, after base: those since the snapshot on the disk, and some before it
	logBytes, logCount int      // of the changes since the snapshot on the disk

	seq, digest   uint64
	committed     uint64
	toldCommitted uint64 // by primaries, whatever of it this machine has

	started   bool
	now       time.Duration
	due       time.Duration // when Tick was due after the last input
	out       Output
	write     Write
	lost      bool
	viewSince time.Duration
	lastBeat  time.Duration // of the primary; also when another's proposal was promised
	helloAt   time.Duration
	retryAt   time.Duration // not before this a new candidacy
	refusals  uint64        // in this epoch: back-off grows with them
	highest   uint64        // ballot number seen in refusals of this epoch

	heard   map[ID]time.Duration // answers to this machine, by member
	slow    map[ID]time.Duration // left out at
	seeds   map[string]bool      // founders heard
	joiners map[string]*joiner   // by address
	leavers map[ID]bool          // members about to end; replaced, never changed in place
	leave   leave

	// As primary.
	led     bool // became primary of the view in this life
	leadSeq uint64
	beatAt  time.Duration
	round   uint64
	peers   map[ID]*peer
	contact contact
	writes  []waiting
	reads   []waiting

	cand *candidacy

	transfers map[ID]*transfer // records on their way to others
	image     *image           // what the transfers share
	incoming  *assembly        // the record on its way to this machine
	positions map[ID]position  // where others' records stood when last heard
	learnAt   time.Duration    // not before this changes for learners
}

// peer is a backup as its primary knows it.
type peer struct {
	step     bool
	stopped  bool
	seq      uint64
	round    uint64
	roundSeq uint64        // seq when the primary's round began
	sent     time.Duration // last record sent
	sentAny  bool
	behind   time.Duration // since when nothing moved while something is owed; <0: nothing is owed
}

// waiting is a write with its seq, or a read with its round (0: none yet).
type waiting struct {
	token, at uint64
}

// New makes a machine from what its disk held; the zero State is an empty disk. The app must be empty; New restores the
// record into it. It fails on settings out of bounds, on a disk that belongs to another address, on changes with
// a gap and when the app can't restore.
func New(opt Options, from State, app App) (*Machine, error) {
	if opt.SnapshotBytes <= 0 {
		opt.SnapshotBytes = 1 << 20
	}
	if opt.ChunkBytes <= 0 {
		opt.ChunkBytes = defaultChunkBytes
	}
	for _, d := range []time.Duration{opt.BeatEvery, opt.SuspectAfter, opt.StaggerEach, opt.WriteWithin, opt.ForgetAfter} {
		if d <= 0 {
			return nil, errors.New("replication: a duration is not above 0")
		}
	}
	if opt.Rand == nil || opt.Self.Addr == "" {
		return nil, errors.New("replication: no own address or no source of random numbers")
	}
	if s := opt.Survive; min(s.Nodes, s.Zones, s.Regions) < 0 || s.Copies() > maxMembers {
		return nil, errors.Errorf("replication: survive out of bounds: %+v", s)
	}
	if from.Identity.ID != "" && from.Identity.Addr != opt.Self.Addr {
		return nil, errors.Errorf("replication: the disk belongs to %s, not to %s", from.Identity.Addr, opt.Self.Addr)
	}
	m := &Machine{
		opt: opt, app: app, id: from.Identity, view: from.View, vote: from.Vote, stand: from.Standing, lost: from.Lost,
		heard: map[ID]time.Duration{}, slow: map[ID]time.Duration{}, seeds: map[string]bool{},
		joiners: map[string]*joiner{}, committed: from.Standing.Committed,
		transfers: map[ID]*transfer{}, positions: map[ID]position{},
	}
	if m.id.ID == "" {
		m.view, m.vote, m.stand, m.committed = View{}, Vote{}, Standing{}, 0
		return m, nil
	}
	if s := from.Snapshot; s != nil {
		if err := app.Restore(s.Seq, s.Body); err != nil {
			return nil, errors.Wrapf(err, "replication: restore snapshot %d", s.Seq)
		}
		m.base = Snapshot{Seq: s.Seq, Digest: s.Digest}
	}
	m.seq, m.digest = m.base.Seq, m.base.Digest
	for _, c := range from.Changes {
		if c.Seq != m.seq+1 || c.Digest != Chain(m.digest, c.Seq, c.Body) {
			return nil, errors.Errorf("replication: change %d doesn't follow %d", c.Seq, m.seq)
		}
		m.take(c)
	}
	m.committed = min(m.committed, m.seq)
	return m, nil
}

func (m *Machine) putVote()     { v := m.vote; m.write.Vote = &v }
func (m *Machine) putIdentity() { v := m.id; m.write.Identity = &v }
func (m *Machine) putView()     { v := m.view; m.write.View = &v }
func (m *Machine) putStanding() {
	m.stand.Committed = m.committed
	v := m.stand
	m.write.Standing = &v
}

// begin opens an input.
func (m *Machine) begin(now time.Duration) {
	m.out, m.write = Output{}, Write{}
	if now < m.now {
		now = m.now
	}
	frozen := m.started && now-max(m.now, m.due) > m.opt.SuspectAfter/2
	m.now = now
	if !m.started {
		m.started = true
		m.lastBeat, m.viewSince, m.helloAt, m.beatAt = now, now, now, now
		m.retryAt = now
		if r := m.view.rank(m.id.ID); r > 0 {
			m.retryAt = now + time.Duration(r)*m.opt.StaggerEach
		}
		if m.id.ID == "" {
			founder := m.opt.Bootstrap && !m.lost && slices.Contains(m.opt.Seeds, m.opt.Self.Addr)
			if founder {
				m.view = firstView(m.opt.Seeds)
			}
			m.drawIdentity(founder)
		}
		m.out.Changed = true
	}
	if frozen { // this machine slept: the others' silence says nothing
		m.lastBeat = now
		for id := range m.heard {
			m.heard[id] = now
		}
		for _, p := range m.peers {
			if p.behind >= 0 {
				p.behind = now
			}
		}
		for _, j := range m.joiners {
			j.since = now
		}
	}
}

// end closes an input.
func (m *Machine) end(before Status) Output {
	after := m.Status()
	if before.ID != after.ID || before.Role != after.Role || before.Epoch != after.Epoch || before.Ready != after.Ready ||
		before.Released != after.Released {
		m.out.Changed = true
	}
	if !m.write.Empty() {
		w := m.write
		m.out.Write = &w
	}
	m.out.Committed = m.committed
	m.due = m.Next()
	out := m.out
	m.out, m.write = Output{}, Write{}
	return out
}

func (m *Machine) stopped() bool { return m.stand.StoppedEpoch == m.view.Epoch+1 }

// leading reports whether this machine answers as primary.
func (m *Machine) leading() bool { return m.led && !m.stopped() }

func (m *Machine) ready() bool {
	if !m.leading() {
		return false
	}
	for _, p := range m.peers {
		if !p.step || p.seq < m.leadSeq {
			return false
		}
	}
	return true
}

// send queues a message.
func (m *Machine) send(to string, msg Message) {
	if to == "" || to == m.opt.Self.Addr {
		return
	}
	msg.From, msg.Epoch, msg.Founder = m.self(), m.view.Epoch, m.id.Founder && m.view.Epoch == 0
	msg.Leaving = m.leave.begun
	switch msg.Kind {
	case KindView, KindBeat, KindPrepare, KindAccept, KindStage, KindStageChanges, KindSnapshot:
		if m.view.Epoch > 0 {
			v := m.view
			msg.View = &v
		}
	}
	m.out.Send = append(m.out.Send, Envelope{To: to, Msg: msg})
}

func (m *Machine) answer(token uint64, r Result, seq uint64) {
	m.out.Answer = append(m.out.Answer, Answer{Token: token, Result: r, Seq: seq})
}

// Receive takes a message. from is the address by which the transport knows the sender, "" when it knows none; a message
// that names another is dropped. msg stays unchanged and may be kept in part.
func (m *Machine) Receive(now time.Duration, from string, msg *Message) Output {
	before := m.Status()
	m.begin(now)
	if msg.From.Addr == "" || msg.From.Addr == m.opt.Self.Addr || from != "" && from != msg.From.Addr {
		return m.end(before)
	}
	if msg.View != nil {
		m.adopt(*msg.View)
	}
	m.receive(msg)
	return m.end(before)
}

func (m *Machine) receive(msg *Message) {
	addr := msg.From.Addr
	if j := m.joiners[addr]; j != nil && msg.Leaving {
		m.turnAway(j)
	}
	if msg.Kind == KindHello {
		m.onHello(msg)
		return
	}
	if msg.Epoch < m.view.Epoch {
		if msg.Kind != KindView {
			m.send(addr, Message{Kind: KindView})
		}
		return
	}
	if msg.Epoch > m.view.Epoch {
		if msg.Kind != KindView && m.now >= m.helloAt-m.opt.BeatEvery/2 {
			m.send(addr, m.hello())
		}
		return
	}
	if _, ok := m.heard[msg.From.ID]; ok || m.view.has(msg.From.ID) {
		m.heard[msg.From.ID] = m.now
	}
	m.noteLeaver(msg)
	switch msg.Kind {
	case KindView:
		if m.view.Epoch == 0 && m.voterOf(msg) != "" {
			m.seeds[addr] = true
			m.tickFounder()
		}
	case KindBeat:
		m.onBeat(msg)
	case KindBeatAck:
		m.onBeatAck(msg)
	case KindAppend:
		m.onAppend(msg)
	case KindSnapshot:
		m.onSnapshot(msg)
	case KindStage:
		m.onStage(msg)
	case KindStageChanges:
		m.onStageChanges(msg)
	case KindReceived:
		m.onReceived(msg)
	case KindStaged:
		m.onStaged(msg)
	case KindPrepare:
		m.onPrepare(msg)
	case KindPromise:
		m.onPromise(msg)
	case KindAccept:
		m.onAccept(msg)
	case KindAccepted:
		m.onAccepted(msg)
	case KindRefuse:
		m.onRefuse(msg)
	case KindHandover:
		m.onHandover(msg)
	}
}

// Tick lets time pass. It is due at Next and may come at any time.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.Status()
	m.begin(now)
	m.tick()
	return m.end(before)
}

func (m *Machine) tick() {
	if m.leading() && m.now >= m.beatAt {
		m.beat()
		m.resend()
		m.bringLearners()
		m.handOver()
		m.reform()
	}
	m.tickFounder()
	m.forgetAssembly()
	if m.cand == nil && m.holder() && m.view.Epoch > 0 && !m.led {
		overdue := m.now >= m.lastBeat+m.opt.SuspectAfter+time.Duration(m.rank()-1)*m.opt.StaggerEach
		if m.rank() == 0 || m.stopped() || overdue {
			m.campaign()
		}
	}
	if m.cand == nil && m.led && m.stopped() {
		m.campaign()
	}
	if m.cand != nil && m.now >= m.cand.resendAt {
		m.cand.resendAt = m.now + m.opt.BeatEvery
		m.propose(true)
	}
	if m.now >= m.helloAt {
		m.sayHello()
	}
}

// Next tells when Tick is due. It never lies before the last input.
func (m *Machine) Next() time.Duration {
	if !m.started {
		return 0
	}
	next := m.helloAt
	if m.leading() {
		next = min(next, m.beatAt)
	}
	if m.cand != nil {
		next = min(next, m.cand.resendAt)
	} else if m.holder() && m.view.Epoch > 0 && (!m.led || m.stopped()) {
		if m.stopped() || m.rank() == 0 {
			next = min(next, m.retryAt)
		} else {
			next = min(next, max(m.retryAt, m.lastBeat+m.opt.SuspectAfter+time.Duration(m.rank()-1)*m.opt.StaggerEach))
		}
	}
	if s := m.lastBeat + m.opt.SuspectAfter; !m.led && s > m.now {
		next = min(next, s)
	}
	return max(next, m.now)
}
