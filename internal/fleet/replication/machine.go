package replication

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

const (
	maxJoiners = 64
	maxPending = 4096
)

// Machine is one core machine's part in the replication. It is not safe for concurrent use.
type Machine struct {
	opt Options
	app App

	// What is on disk, or will be once the Output in the making is carried out.
	identity           Identity
	view               View
	vote               Vote
	replica            ReplicaState
	base               Snapshot // what changes follow on; Body is not kept
	changes            []Change // the newest, after base: those since the snapshot on the disk, and some before it
	logBytes, logCount int      // of the changes since the snapshot on the disk

	seq, digest    uint64
	committed      uint64
	reportedCommit uint64 // by primaries, whatever of it this machine has

	started           bool
	now               time.Duration
	tickDue           time.Duration // when Tick was due after the last input
	out               Output
	write             Write
	diskLost          bool
	viewSince         time.Duration
	lastHeartbeat     time.Duration // of the primary; also when another's proposal was promised
	helloAt           time.Duration
	campaignNotBefore time.Duration // not before this a new candidacy
	rejections        uint64        // in this epoch: back-off grows with them
	highestRejection  uint64        // ballot number seen in refusals of this epoch

	lastActive   map[ID]time.Duration // answers to this machine, by member
	laggedAt     map[ID]time.Duration // left out at
	foundersSeen map[string]bool      // founders heard
	joiners      map[string]*joiner   // by address
	departing    map[ID]bool          // members about to end; replaced, never changed in place
	departure    departure

	// As primary.
	isPrimary     bool // became primary of the view in this life
	viewStartSeq  uint64
	heartbeatAt   time.Duration
	readRound     uint64
	progress      map[ID]*progress
	contact       quorumContact
	pendingWrites []pendingRequest
	pendingReads  []pendingRequest

	candidacy *candidacy

	transfers     map[ID]*transfer // records on their way to others
	image         *image           // what the transfers share
	incoming      *assembly        // the record on its way to this machine
	positions     map[ID]position  // where others' records stood when last heard
	learnerSendAt time.Duration    // not before this changes for learners
}

// progress is a backup as its primary knows it.
type progress struct {
	inSync            bool
	stopped           bool
	match             uint64
	readRound         uint64
	matchAtRoundStart uint64        // seq when the primary's round began
	sentAt            time.Duration // last record sent
	everSent          bool
	stalledSince      time.Duration // since when nothing moved while something is owed; <0: nothing is owed
}

// pendingRequest is a write with its seq, or a read with its round (0: none yet).
type pendingRequest struct {
	token, at uint64
}

// New makes a machine from what its disk held; the zero State is an empty disk. The app must be empty; New restores the
// record into it. It fails on settings out of bounds, on a disk that belongs to another address, on changes with
// a gap and when the app can't restore.
func New(opt Options, from PersistentState, app App) (*Machine, error) {
	if opt.SnapshotBytes <= 0 {
		opt.SnapshotBytes = 1 << 20
	}
	if opt.ChunkBytes <= 0 {
		opt.ChunkBytes = defaultChunkBytes
	}
	for _, d := range []time.Duration{opt.HeartbeatInterval, opt.ElectionTimeout, opt.ElectionStagger, opt.WriteTimeout, opt.MemberTimeout} {
		if d <= 0 {
			return nil, errors.New("replication: a duration is not above 0")
		}
	}
	if opt.Rand == nil || opt.Self.Addr == "" {
		return nil, errors.New("replication: no own address or no source of random numbers")
	}
	if s := opt.Tolerance; min(s.Nodes, s.Zones, s.Regions) < 0 || s.Replicas() > maxMembers {
		return nil, errors.Errorf("replication: survive out of bounds: %+v", s)
	}
	if from.Identity.ID != "" && from.Identity.Addr != opt.Self.Addr {
		return nil, errors.Errorf("replication: the disk belongs to %s, not to %s", from.Identity.Addr, opt.Self.Addr)
	}
	m := &Machine{
		opt: opt, app: app, identity: from.Identity, view: from.View, vote: from.Vote, replica: from.Replica, diskLost: from.DiskLost,
		lastActive: map[ID]time.Duration{}, laggedAt: map[ID]time.Duration{}, foundersSeen: map[string]bool{},
		joiners: map[string]*joiner{}, committed: from.Replica.Committed,
		transfers: map[ID]*transfer{}, positions: map[ID]position{},
	}
	if m.identity.ID == "" {
		m.view, m.vote, m.replica, m.committed = View{}, Vote{}, ReplicaState{}, 0
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
		if c.Seq != m.seq+1 || c.Digest != ChainDigest(m.digest, c.Seq, c.Body) {
			return nil, errors.Errorf("replication: change %d doesn't follow %d", c.Seq, m.seq)
		}
		m.applyChange(c)
	}
	m.committed = min(m.committed, m.seq)
	return m, nil
}

func (m *Machine) saveVote()     { v := m.vote; m.write.Vote = &v }
func (m *Machine) saveIdentity() { v := m.identity; m.write.Identity = &v }
func (m *Machine) saveView()     { v := m.view; m.write.View = &v }
func (m *Machine) saveReplica() {
	m.replica.Committed = m.committed
	v := m.replica
	m.write.Replica = &v
}

// beginInput opens an input.
func (m *Machine) beginInput(now time.Duration) {
	m.out, m.write = Output{}, Write{}
	if now < m.now {
		now = m.now
	}
	frozen := m.started && now-max(m.now, m.tickDue) > m.opt.ElectionTimeout/2
	m.now = now
	if !m.started {
		m.started = true
		m.lastHeartbeat, m.viewSince, m.helloAt, m.heartbeatAt = now, now, now, now
		m.campaignNotBefore = now
		if r := m.view.rank(m.identity.ID); r > 0 {
			m.campaignNotBefore = now + time.Duration(r)*m.opt.ElectionStagger
		}
		if m.identity.ID == "" {
			founder := m.opt.Bootstrap && !m.diskLost && slices.Contains(m.opt.Seeds, m.opt.Self.Addr)
			if founder {
				m.view = firstView(m.opt.Seeds)
			}
			m.drawIdentity(founder)
		}
		m.out.StatusChanged = true
	}
	if frozen { // this machine slept: the others' silence says nothing
		m.lastHeartbeat = now
		for id := range m.lastActive {
			m.lastActive[id] = now
		}
		for _, p := range m.progress {
			if p.stalledSince >= 0 {
				p.stalledSince = now
			}
		}
		for _, j := range m.joiners {
			j.firstActive = now
		}
	}
}

// endInput closes an input.
func (m *Machine) endInput(before Status) Output {
	after := m.Status()
	if before.ID != after.ID || before.Role != after.Role || before.Epoch != after.Epoch || before.Ready != after.Ready ||
		before.Released != after.Released {
		m.out.StatusChanged = true
	}
	if !m.write.Empty() {
		w := m.write
		m.out.Write = &w
	}
	m.out.Committed = m.committed
	m.tickDue = m.NextTick()
	out := m.out
	m.out, m.write = Output{}, Write{}
	return out
}

func (m *Machine) stopped() bool { return m.replica.StoppedEpoch == m.view.Epoch+1 }

// leading reports whether this machine answers as primary.
func (m *Machine) leading() bool { return m.isPrimary && !m.stopped() }

func (m *Machine) ready() bool {
	if !m.leading() {
		return false
	}
	for _, p := range m.progress {
		if !p.inSync || p.match < m.viewStartSeq {
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
	msg.From, msg.Epoch, msg.Founder = m.self(), m.view.Epoch, m.identity.Founder && m.view.Epoch == 0
	msg.Leaving = m.departure.begun
	switch msg.Kind {
	case KindView, KindHeartbeat, KindPrepare, KindAccept, KindStage, KindStageChanges, KindSnapshot:
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

// Step takes a message. from is the address by which the transport knows the sender, "" when it knows none; a message
// that names another is dropped. msg stays unchanged and may be kept in part.
func (m *Machine) Step(now time.Duration, from string, msg *Message) Output {
	before := m.Status()
	m.beginInput(now)
	if msg.From.Addr == "" || msg.From.Addr == m.opt.Self.Addr || from != "" && from != msg.From.Addr {
		return m.endInput(before)
	}
	if msg.View != nil {
		m.installView(*msg.View)
	}
	m.step(msg)
	return m.endInput(before)
}

func (m *Machine) step(msg *Message) {
	addr := msg.From.Addr
	if j := m.joiners[addr]; j != nil && msg.Leaving {
		m.rejectJoiner(j)
	}
	if msg.Kind == KindHello {
		m.handleHello(msg)
		return
	}
	if msg.Epoch < m.view.Epoch {
		if msg.Kind != KindView {
			m.send(addr, Message{Kind: KindView})
		}
		return
	}
	if msg.Epoch > m.view.Epoch {
		if msg.Kind != KindView && m.now >= m.helloAt-m.opt.HeartbeatInterval/2 {
			m.send(addr, m.helloMessage())
		}
		return
	}
	if _, ok := m.lastActive[msg.From.ID]; ok || m.view.has(msg.From.ID) {
		m.lastActive[msg.From.ID] = m.now
	}
	m.recordDeparture(msg)
	switch msg.Kind {
	case KindView:
		if m.view.Epoch == 0 && m.senderVoter(msg) != "" {
			m.foundersSeen[addr] = true
			m.tickFounder()
		}
	case KindHeartbeat:
		m.handleHeartbeat(msg)
	case KindHeartbeatAck:
		m.handleHeartbeatAck(msg)
	case KindAppend:
		m.handleAppend(msg)
	case KindSnapshot:
		m.handleSnapshot(msg)
	case KindStage:
		m.handleStage(msg)
	case KindStageChanges:
		m.handleStageChanges(msg)
	case KindTransferAck:
		m.handleTransferAck(msg)
	case KindStaged:
		m.handleStaged(msg)
	case KindPrepare:
		m.handlePrepare(msg)
	case KindPromise:
		m.handlePromise(msg)
	case KindAccept:
		m.handleAccept(msg)
	case KindAccepted:
		m.handleAccepted(msg)
	case KindReject:
		m.handleReject(msg)
	case KindHandover:
		m.handleHandover(msg)
	}
}

// Tick lets time pass. It is due at Next and may come at any time.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.Status()
	m.beginInput(now)
	m.tick()
	return m.endInput(before)
}

func (m *Machine) tick() {
	if m.leading() && m.now >= m.heartbeatAt {
		m.broadcastHeartbeat()
		m.resend()
		m.catchUpLearners()
		m.handOver()
		m.reconfigure()
	}
	m.tickFounder()
	m.expireAssembly()
	if m.candidacy == nil && m.holdsRecord() && m.view.Epoch > 0 && !m.isPrimary {
		overdue := m.now >= m.lastHeartbeat+m.opt.ElectionTimeout+time.Duration(m.rank()-1)*m.opt.ElectionStagger
		if m.rank() == 0 || m.stopped() || overdue {
			m.campaign()
		}
	}
	if m.candidacy == nil && m.isPrimary && m.stopped() {
		m.campaign()
	}
	if m.candidacy != nil && m.now >= m.candidacy.resendAt {
		m.candidacy.resendAt = m.now + m.opt.HeartbeatInterval
		m.runPhase(true)
	}
	if m.now >= m.helloAt {
		m.sendHello()
	}
}

// NextTick tells when Tick is due. It never lies before the last input.
func (m *Machine) NextTick() time.Duration {
	if !m.started {
		return 0
	}
	next := m.helloAt
	if m.leading() {
		next = min(next, m.heartbeatAt)
	}
	if m.candidacy != nil {
		next = min(next, m.candidacy.resendAt)
	} else if m.holdsRecord() && m.view.Epoch > 0 && (!m.isPrimary || m.stopped()) {
		if m.stopped() || m.rank() == 0 {
			next = min(next, m.campaignNotBefore)
		} else {
			next = min(next, max(m.campaignNotBefore, m.lastHeartbeat+m.opt.ElectionTimeout+time.Duration(m.rank()-1)*m.opt.ElectionStagger))
		}
	}
	if s := m.lastHeartbeat + m.opt.ElectionTimeout; !m.isPrimary && s > m.now {
		next = min(next, s)
	}
	return max(next, m.now)
}
