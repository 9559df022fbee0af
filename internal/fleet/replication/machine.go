package replication

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	id      Identity
	view    View
	vote    Vote
	stand   Standing
	base    Snapshot // Body is not kept
	changes []Change // after base
	bytes   int      // bodies of changes

	seq, digest uint64
	committed   uint64

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
}

type joiner struct {
	Member
	heard     time.Duration
	confirmed bool // answered a beat of ours by this identity
}

// peer is a backup as its primary knows it.
type peer struct {
	step    bool
	stopped bool
	seq     uint64
	round   uint64
	sent    time.Duration // last record sent
	sentAny bool
	behind  time.Duration // since when nothing moved while something is owed; <0: nothing is owed
}

// waiting is a write with its seq, or a read with its round (0: none yet).
type waiting struct {
	token, at uint64
}

type phase uint8

const (
	preparing phase = iota
	staging
	accepting
)

type promise struct {
	member   Member
	accepted Ballot
	value    *View
	holder   bool
	at       time.Duration
	bad      bool // didn't take the stage
}

// candidacy is this machine's proposal for the next epoch.
type candidacy struct {
	ballot   Ballot
	phase    phase
	since    time.Duration // the phase
	resendAt time.Duration
	promises map[ID]*promise // by identity in the view
	value    *View
	staged   map[ID]bool
	accepted map[ID]bool
}

// New makes a machine from what its disk held; the zero State is an empty disk. The app must be empty; New restores the
// record into it. It fails on settings out of bounds, on a disk that belongs to another address, on changes with
// a gap and when the app can't restore.
func New(opt Options, from State, app App) (*Machine, error) {
	if opt.SnapshotBytes <= 0 {
		opt.SnapshotBytes = 1 << 20
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

// Chain is the digest of a record after a change, from the digest before it; an empty record's is 0.
func Chain(before, seq uint64, body []byte) uint64 {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], before)
	binary.LittleEndian.PutUint64(head[8:], seq)
	d := xxhash.New()
	_, _ = d.Write(head[:])
	_, _ = d.Write(body)
	return d.Sum64()
}

// take applies c, which follows the record.
func (m *Machine) take(c Change) {
	m.app.Apply(c.Seq, c.Body)
	m.seq, m.digest = c.Seq, c.Digest
	m.changes = append(m.changes, c)
	m.bytes += len(c.Body)
}

// keep writes changes that were taken, as a snapshot when they are many.
func (m *Machine) keep(cs ...Change) {
	if m.bytes > m.opt.SnapshotBytes {
		m.putSnapshot(m.app.Snapshot())
		return
	}
	m.write.Changes = append(m.write.Changes, cs...)
}

// putSnapshot writes the record as it stands in the place of all changes.
func (m *Machine) putSnapshot(body []byte) {
	m.base = Snapshot{Seq: m.seq, Digest: m.digest}
	m.changes, m.bytes = nil, 0
	m.write.Snapshot = &Snapshot{Seq: m.seq, Digest: m.digest, Body: body}
	m.write.Changes = nil
}

// replace puts another's record in the place of ours.
func (m *Machine) replace(seq, digest uint64, body []byte) bool {
	if err := m.app.Restore(seq, body); err != nil {
		return false
	}
	m.seq, m.digest = seq, digest
	m.committed = min(m.committed, seq)
	m.putSnapshot(body)
	return true
}

// digestAt is the digest of our record at seq, if it is still known.
func (m *Machine) digestAt(seq uint64) (uint64, bool) {
	switch {
	case seq == m.seq:
		return m.digest, true
	case seq == m.base.Seq:
		return m.base.Digest, true
	case seq > m.base.Seq && seq < m.seq:
		return m.changes[seq-m.base.Seq-1].Digest, true
	}
	return 0, false
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
	}
}

// drawIdentity starts as a machine with an empty disk that knows m.view.
func (m *Machine) drawIdentity(founder bool) {
	m.id = Identity{
		ID:   ID(fmt.Sprintf("%016x%016x", m.opt.Rand(), m.opt.Rand())),
		Addr: m.opt.Self.Addr, Founder: founder, Joined: founder,
	}
	m.vote, m.stand = Vote{}, Standing{}
	m.seq, m.digest, m.committed, m.base, m.changes, m.bytes = 0, 0, 0, Snapshot{}, nil, 0
	m.write = Write{Reset: true}
	m.putIdentity()
	m.putView()
	m.putVote()
	m.putStanding()
}

// end closes an input.
func (m *Machine) end(before Status) Output {
	after := m.Status()
	if before.ID != after.ID || before.Role != after.Role || before.Epoch != after.Epoch || before.Ready != after.Ready {
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

// self is this machine as a member.
func (m *Machine) self() Member {
	s := m.opt.Self
	s.ID = m.id.ID
	return s
}

// voter is the identity by which this machine votes in its view; "" when it has no vote.
func (m *Machine) voter() ID {
	id := m.id.ID
	if m.view.Epoch == 0 {
		if !m.id.Founder {
			return ""
		}
		id = seedID(m.id.Addr)
	}
	if !m.view.has(id) {
		return ""
	}
	return id
}

// voterOf is the identity by which the sender votes in our view.
func (m *Machine) voterOf(msg *Message) ID {
	id := msg.From.ID
	if m.view.Epoch == 0 {
		if !msg.Founder {
			return ""
		}
		id = seedID(msg.From.Addr)
	}
	if !m.view.has(id) {
		return ""
	}
	return id
}

// holder reports whether this machine holds the record of its view.
func (m *Machine) holder() bool {
	if m.view.Epoch == 0 {
		return m.voter() != ""
	}
	return m.view.rank(m.id.ID) >= 0 && m.stand.RecordEpoch == m.view.Epoch
}

// rank is this machine's turn among the holders.
func (m *Machine) rank() int {
	if m.view.Epoch > 0 {
		return max(m.view.rank(m.id.ID), 0)
	}
	return max(slices.IndexFunc(m.view.Members, func(o Member) bool { return o.Addr == m.id.Addr }), 0)
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

// Status tells how things stand. It may be called between inputs.
func (m *Machine) Status() Status {
	s := Status{ID: m.id.ID, View: m.view, Epoch: m.view.Epoch, Committed: m.committed, Seq: m.seq}
	if p, ok := m.view.member(m.view.Primary); ok {
		s.PrimaryAddr = p.Addr
	}
	switch {
	case m.led:
		s.Role, s.Ready = Primary, m.ready()
	case m.view.Epoch == 0 || !m.view.has(m.id.ID):
		s.Role = Outside
	case m.view.rank(m.id.ID) >= 0:
		s.Role = Backup
	default:
		s.Role = Witness
	}
	if s.Role == Backup || s.Role == Witness {
		s.Ready = m.started && m.now-m.lastBeat < m.opt.SuspectAfter
	}
	return s
}

// send queues a message.
func (m *Machine) send(to string, msg Message) {
	if to == "" || to == m.opt.Self.Addr {
		return
	}
	msg.From, msg.Epoch, msg.Founder = m.self(), m.view.Epoch, m.id.Founder && m.view.Epoch == 0
	switch msg.Kind {
	case KindView, KindBeat, KindPrepare, KindAccept, KindStage, KindSnapshot:
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

// adopt takes over a decided view that is newer than ours.
func (m *Machine) adopt(v View) {
	if v.Epoch <= m.view.Epoch || !v.valid() {
		return
	}
	known := m.view.Epoch > 0 || m.id.Founder
	next := known && v.Epoch == m.view.Epoch+1 && m.stand.RecordEpoch == m.view.Epoch
	m.view, m.vote, m.cand = v, Vote{}, nil
	m.viewSince, m.lastBeat, m.retryAt, m.helloAt = m.now, m.now, m.now, m.now+m.opt.BeatEvery
	m.refusals, m.highest = 0, 0
	m.seeds = map[string]bool{}
	if m.id.Joined && !v.has(m.id.ID) {
		// Left out: what this identity holds and promised is over.
		if m.app.Restore(0, nil) == nil {
			m.drawIdentity(false)
		}
	} else {
		if v.has(m.id.ID) && !m.id.Joined {
			m.id.Joined = true
			m.putIdentity()
		}
		if next && v.rank(m.id.ID) >= 0 {
			m.stand.RecordEpoch = v.Epoch
			m.putStanding()
		}
		m.putView()
		m.putVote()
	}
	heard := map[ID]time.Duration{}
	for _, o := range v.Members {
		if at, ok := m.heard[o.ID]; ok {
			heard[o.ID] = at
		}
	}
	m.heard = heard
	for id := range m.slow {
		if !v.has(id) {
			delete(m.slow, id)
		}
	}
	m.led = v.Primary == m.id.ID && m.holder()
	m.peers = nil
	if !m.led {
		m.abandon()
		clear(m.joiners)
		return
	}
	for a, j := range m.joiners {
		if v.has(j.ID) {
			delete(m.joiners, a)
		}
	}
	m.leadSeq, m.round, m.beatAt = m.seq, 0, m.now
	m.peers, m.contact = map[ID]*peer{}, contact{}
	for _, b := range v.Backups {
		m.peers[b] = &peer{behind: m.now}
	}
	for _, o := range v.Members { // grace for those not heard yet
		if m.now-m.heard[o.ID] > m.opt.SuspectAfter/2 && v.rank(o.ID) > 0 || m.heard[o.ID] == 0 {
			m.heard[o.ID] = m.now
		}
	}
	for i := range m.reads {
		m.reads[i].at = 0
	}
	m.beat()
	m.advance()
}

// abandon answers all that waits: another leads.
func (m *Machine) abandon() {
	for _, w := range m.writes {
		m.answer(w.token, LostPrimacy, w.at)
	}
	for _, w := range m.reads {
		m.answer(w.token, LostPrimacy, 0)
	}
	m.writes, m.reads = nil, nil
}

// alive reports whether a member answered lately.
func (m *Machine) alive(id ID) bool {
	at, ok := m.heard[id]
	return id == m.id.ID || ok && m.now-at < m.opt.SuspectAfter
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
		m.reform()
	}
	m.tickFounder()
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

// hello asks for the view, and to be taken in where this machine is no member.
func (m *Machine) hello() Message {
	return Message{Kind: KindHello, Join: m.voter() == ""}
}

// sayHello asks around when there is a reason: no member yet, or no word of a primary.
func (m *Machine) sayHello() {
	outside := m.view.Epoch == 0 || !m.view.has(m.id.ID)
	silent := m.now-m.lastBeat >= m.opt.SuspectAfter
	if m.led {
		silent = !m.majorityAlive()
	}
	m.helloAt = m.now + m.opt.SuspectAfter
	if outside {
		m.helloAt = m.now + m.opt.BeatEvery
	}
	if outside && !silent && m.view.Epoch > 0 {
		if p, ok := m.view.member(m.view.Primary); ok {
			m.send(p.Addr, m.hello())
		}
		return
	}
	if !outside && !silent {
		return
	}
	to := slices.Clone(m.opt.Seeds)
	for _, o := range m.view.Members {
		to = append(to, o.Addr)
	}
	slices.Sort(to)
	for _, a := range slices.Compact(to) {
		m.send(a, m.hello())
	}
}

func (m *Machine) onHello(msg *Message) {
	m.send(msg.From.Addr, Message{Kind: KindView})
	if m.view.Epoch == 0 {
		if m.voterOf(msg) != "" {
			m.seeds[msg.From.Addr] = true
			m.tickFounder()
		}
		return
	}
	if !m.leading() || !msg.Join || msg.From.ID == "" || m.view.has(msg.From.ID) {
		return
	}
	j := m.joiners[msg.From.Addr]
	if j == nil || j.ID != msg.From.ID {
		if j == nil && len(m.joiners) >= maxJoiners {
			return
		}
		j = &joiner{Member: msg.From}
		m.joiners[msg.From.Addr] = j
	}
	j.heard = m.now
	m.send(j.Addr, m.beatMessage()) // its answer shows that this identity lives
}

// tickFounder begins the first candidacy of all: the lowest address when all founders were heard, else whose turn it
// is when a majority was.
func (m *Machine) tickFounder() {
	if m.view.Epoch > 0 || m.voter() == "" || m.cand != nil {
		return
	}
	heard := 1
	for _, o := range m.view.Members {
		if o.Addr != m.id.Addr && m.seeds[o.Addr] {
			heard++
		}
	}
	turn := m.now >= m.viewSince+m.opt.SuspectAfter+time.Duration(m.rank())*m.opt.StaggerEach
	if heard == len(m.view.Members) && (m.rank() == 0 || m.stopped()) || heard >= m.view.majority() && turn {
		m.campaign()
	}
}
