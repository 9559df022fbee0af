package replication

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxJoiners bounds the number of machines that wait to become members.
	maxJoiners = 64
	// maxPending bounds the number of pending writes, and of pending reads.
	maxPending = 4096
	// defaultSnapshotBytes is the default of Options.SnapshotBytes.
	defaultSnapshotBytes = 1 << 20
)

// Machine is the replication state machine of one core machine. Its inputs are Step, Tick, Propose, Read and Leave. It
// is not safe for concurrent use; one goroutine owns it.
//
// Its state is grouped by durability and role. persistentState and log are on disk; the rest is volatile, and safety
// doesn't depend on it. primary is valid while this process is primary, candidacy while it proposes a view.
type Machine struct {
	opt Options
	app App

	persistentState
	log recordLog

	election  electionState
	peers     peerState
	transfers transferState
	primary   primaryState
	candidacy *candidacy // nil: none
	departure departure  // graceful shutdown of this machine

	// The input being processed.
	diskLost bool // the disk was unreadable: never bootstrap
	started  bool // the first input was processed
	now      time.Duration
	tickDue  time.Duration // when Tick was due after the last input
	out      Output
	write    Write
}

// New returns a machine with the state read from its disk; the zero PersistentState is an empty disk. The app must be
// empty; New restores the record into it. It fails if an option is out of range, if the disk belongs to another
// address, if the changes have a gap or if the app can't restore the snapshot.
func New(opt Options, from PersistentState, app App) (*Machine, error) {
	if opt.SnapshotBytes <= 0 {
		opt.SnapshotBytes = defaultSnapshotBytes
	}
	if opt.ChunkBytes <= 0 {
		opt.ChunkBytes = defaultChunkBytes
	}
	if err := opt.validate(); err != nil {
		return nil, err
	}
	if from.Identity.ID != "" && from.Identity.Addr != opt.Self.Addr {
		return nil, errors.Errorf(
			"replication: disk belongs to %s, own address is %s", from.Identity.Addr, opt.Self.Addr,
		)
	}
	m := &Machine{
		opt:      opt,
		app:      app,
		diskLost: from.DiskLost,
		peers: peerState{
			lastActive:   map[ID]time.Duration{},
			laggedAt:     map[ID]time.Duration{},
			foundersSeen: map[string]bool{},
		},
		primary: primaryState{
			joiners: map[string]*joiner{},
		},
		transfers: transferState{
			outgoing:  map[ID]*transfer{},
			positions: map[ID]position{},
		},
	}
	if from.Identity.ID == "" {
		return m, nil
	}
	m.persistentState = persistentState{
		identity: from.Identity,
		view:     from.View,
		vote:     from.Vote,
		replica:  from.Replica,
	}
	if err := m.restore(from); err != nil {
		return nil, err
	}
	return m, nil
}

// validate returns an error if an option is missing or out of range.
func (o *Options) validate() error {
	for _, d := range []time.Duration{
		o.HeartbeatInterval,
		o.ElectionTimeout,
		o.ElectionStagger,
		o.WriteTimeout,
		o.MemberTimeout,
	} {
		if d <= 0 {
			return errors.New("replication: options: every duration must be above 0")
		}
	}
	if o.Rand == nil || o.Self.Addr == "" {
		return errors.New("replication: options: Self.Addr and Rand must be set")
	}
	if t := o.Tolerance; min(t.Nodes, t.Zones, t.Regions) < 0 || t.Replicas() > maxMembers {
		return errors.Errorf("replication: options: survive out of range: %+v", t)
	}
	return nil
}

// restore loads the record from the disk's state into the app.
func (m *Machine) restore(from PersistentState) error {
	if s := from.Snapshot; s != nil {
		if err := m.app.Restore(s.Seq, s.Body); err != nil {
			return errors.Wrapf(err, "replication: restore snapshot %d", s.Seq)
		}
		m.log.reset(s.Seq, s.Digest)
	}
	for _, c := range from.Changes {
		if !m.log.extendedBy(c) {
			return errors.Errorf("replication: stored change %d doesn't follow change %d", c.Seq, m.log.seq)
		}
		m.applyChange(c)
	}
	m.log.committed = min(from.Replica.Committed, m.log.seq)
	return nil
}

// Step processes a received message. from is the sender's address as the transport knows it, "" if unknown; a message
// whose From.Addr differs is dropped. Step doesn't change msg, but may keep references to parts of it.
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

// step dispatches a message by its epoch. Only messages of this machine's own epoch are processed: the sender of an
// older one may have been removed since, and a newer one can't be judged before its view is installed.
func (m *Machine) step(msg *Message) {
	if j := m.primary.joiners[msg.From.Addr]; j != nil && msg.Leaving {
		m.rejectJoiner(j)
	}
	if msg.Kind == KindHello {
		m.handleHello(msg)
		return
	}
	if msg.Epoch < m.view.Epoch {
		m.sendView(msg)
		return
	}
	if msg.Epoch > m.view.Epoch {
		m.askForView(msg)
		return
	}
	if _, ok := m.peers.lastActive[msg.From.ID]; ok || m.view.has(msg.From.ID) {
		m.peers.lastActive[msg.From.ID] = m.now
	}
	m.recordDeparture(msg)
	m.stepInView(msg)
}

// stepInView passes a message of this machine's epoch to its handler.
func (m *Machine) stepInView(msg *Message) {
	switch msg.Kind {
	case KindView:
		m.handleView(msg)
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

// Tick processes the passage of time. It is due at NextTick, and may be called at any time.
func (m *Machine) Tick(now time.Duration) Output {
	before := m.Status()
	m.beginInput(now)
	m.tick()
	return m.endInput(before)
}

func (m *Machine) tick() {
	if m.leading() && m.now >= m.primary.heartbeatAt {
		m.broadcastHeartbeat()
		m.resend()
		m.catchUpLearners()
		m.handOver()
		m.reconfigure()
	}
	m.tickFounder()
	m.expireAssembly()
	m.tickElection()
	if m.candidacy != nil && m.now >= m.candidacy.resendAt {
		m.candidacy.resendAt = m.now + m.opt.HeartbeatInterval
		m.runPhase(true)
	}
	if m.now >= m.election.helloAt {
		m.sendHello()
	}
}

// tickElection begins a candidacy when the primary has timed out, and begins another after a rejection or a restart
// ended one.
func (m *Machine) tickElection() {
	if m.candidacy == nil && m.canCampaign() && !m.primary.active {
		if m.campaignsAtOnce() || m.now >= m.electionDeadline() {
			m.campaign()
		}
	}
	if m.candidacy == nil && m.primary.active && m.stopped() {
		m.campaign()
	}
}

// canCampaign reports whether this machine may propose the next view. The bootstrap has its own trigger (tickFounder).
func (m *Machine) canCampaign() bool { return m.holdsRecord() && m.view.Epoch > 0 }

// campaignsAtOnce reports whether there is no election timer to wait for: this machine is the view's primary, or it is
// stopped in the view.
func (m *Machine) campaignsAtOnce() bool { return m.rank() == 0 || m.stopped() }

// electionDeadline returns the time at which this backup considers the primary lost. It is staggered by rank, so that
// the backups don't campaign at the same time.
func (m *Machine) electionDeadline() time.Duration {
	turn := time.Duration(m.rank()-1) * m.opt.ElectionStagger
	return m.election.lastHeartbeat + m.opt.ElectionTimeout + turn
}

// NextTick returns the time at which Tick is due. It is never before the last input.
func (m *Machine) NextTick() time.Duration {
	if !m.started {
		return 0
	}
	next := m.election.helloAt
	if m.leading() {
		next = min(next, m.primary.heartbeatAt)
	}
	switch {
	case m.candidacy != nil:
		next = min(next, m.candidacy.resendAt)
	case !m.canCampaign() || m.leading():
	case m.campaignsAtOnce():
		next = min(next, m.election.campaignNotBefore)
	default:
		next = min(next, max(m.election.campaignNotBefore, m.electionDeadline()))
	}
	if lost := m.election.lastHeartbeat + m.opt.ElectionTimeout; !m.primary.active && lost > m.now {
		next = min(next, lost)
	}
	return max(next, m.now)
}
