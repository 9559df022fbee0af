package replication

import (
	"fmt"
	"slices"
	"time"
)

// The search is an explicit-state model checker: it explores the states of small cores breadth first, with faults of
// network and disks, and checks the rules in every state that is reachable within the budgets. A sent message stays in
// flight forever: it may be delivered at any time, many times or never, which covers loss, duplication and reordering.
// Writes are on disk before anything is sent, so a crash with pending writes equals a crash before their inputs. A step
// of a machine depends only on its cell and the message, and is computed once.
//
// Files: cells_test.go has the state of a machine and its disk, search_test.go the steps of one machine,
// searchtime_test.go steps in which time passes for all machines, searchretry_test.go retried changes,
// searchrules_test.go the rules, searchrun_test.go the search itself, liveness_test.go the liveness rules,
// searchcases_test.go the cores and budgets.

// budget is the number of steps of each kind that may still happen.
type budget struct {
	writes, reads uint8
	heartbeats    uint8 // ticks of a primary
	waits         uint8 // the time of one machine passes until its protocol state changes
	crashes       uint8 // restarts with the disk
	wipes         uint8 // restarts with an empty disk
	starts        uint8 // machines that haven't started yet, started in order
	retries       uint8 // an earlier change is proposed again, at any primary
	freezes       uint8 // a machine detects at its next input that it was frozen
	passes        uint8 // time passes for all machines, with one network fault or none
	leaves        uint8 // a process is asked to shut down
}

// maxCells is the size of the largest core that is searched.
const maxCells = 5

// cellSet has the cell of each machine.
type cellSet [maxCells]uint32

// modelState is a state of the search.
type modelState struct {
	cells cellSet
	ghost uint32
	left  budget
	net   []uint32 // messages in flight, sorted
}

type packet struct {
	from, to int
	msg      Message
	text     string
}

// effect is the result of a step.
type effect struct {
	cell      uint32
	sent      []uint32
	violation string
	sighting
}

type stepKind uint8

const (
	stepDeliver stepKind = iota
	stepWrite
	stepRead
	stepHeartbeat
	stepWait
	stepCrash
	stepWipe
	stepStart
	stepRetry
	stepFreeze
	stepPass
	stepLeave
)

var stepNames = [...]string{
	"receives",
	"proposes",
	"reads",
	"sends heartbeats",
	"waits",
	"crashes and restarts",
	"loses its disk and restarts",
	"starts",
	"gets a retried change",
	"was frozen",
	"time passes for all machines,",
	"is asked to shut down",
}

// step is an event at a machine; arg is a message, a token or a fault.
type step struct {
	kind stepKind
	i    uint8
	arg  uint32
}

type stepOf struct {
	step
	cell uint32
}

// explorer is one search.
type explorer struct {
	n          int
	founders   int // number of machines that are members from the start; the others join
	timing     timing
	survive    FailureTolerance
	judged     bool // changes are compared with the record first, as in the control plane
	small      bool // a snapshot at every change
	chunkBytes int  // size of the chunks of a record; 0: the default
	limit      int  // maximum number of states
	addrs      []string

	err          error
	cells        []*cell
	cellIDs      map[string]uint32
	packets      []packet
	msgIDs       map[string]uint32
	ghosts       []ghost
	ghostIDs     map[string]uint32
	effects      map[stepOf]*effect // of all steps except deliveries
	deliveries   [][]*effect        // of deliveries, by cell and message
	todo         []uint32
	views        map[string]View // by their text
	kinds        []faultKind     // kinds of faults while time passes
	passes       map[passOf]*passing
	livenessRuns map[passOf]time.Duration // time to the next acknowledgement under a lasting fault

	// liveLate has liveness also checked with all messages in flight delivered.
	liveLate    bool
	lateRuns    int
	slowestLate time.Duration

	// check is an additional rule for every state; nil: none.
	check func(*modelState) string
}

// timing has the time-outs and intervals of Options.
type timing struct{ heartbeat, election, stagger, write, member time.Duration }

var (
	// quickTiming has round values.
	quickTiming = timing{100 * ms, 500 * ms, 150 * ms, 600 * ms, 3 * time.Second}
	// productionTiming has the control plane's values, with the default of sync_s.
	productionTiming = timing{150 * ms, 700 * ms, 250 * ms, 600 * ms, 4 * time.Second}
)

func newExplorer(n int, sv FailureTolerance, small bool, limit int) *explorer {
	x := &explorer{
		n:        n,
		founders: n,
		timing:   quickTiming,
		survive:  sv,
		small:    small,
		limit:    limit,
		cellIDs:  map[string]uint32{},
		msgIDs:   map[string]uint32{},
		ghostIDs: map[string]uint32{}, effects: map[stepOf]*effect{}, ghosts: []ghost{{}}, views: map[string]View{},
		passes: map[passOf]*passing{}, livenessRuns: map[passOf]time.Duration{},
	}
	for i := range n {
		x.addrs = append(x.addrs, fmt.Sprintf("10.0.%d.1:7000", i))
	}
	return x
}

func (x *explorer) options(i int, bootstrap bool) Options {
	o := Options{
		Self: Member{Addr: x.addrs[i], Zone: fmt.Sprint("z", i), Region: "r"}, Tolerance: x.survive, Bootstrap: bootstrap,
		HeartbeatInterval: x.timing.heartbeat, ElectionTimeout: x.timing.election, ElectionStagger: x.timing.stagger,
		WriteTimeout: x.timing.write, MemberTimeout: x.timing.member,
		Rand: func() uint64 { return 0 },
	}
	o.Seeds, o.ChunkBytes = x.addrs[:x.founders], x.chunkBytes
	if x.small {
		o.SnapshotBytes = 1
	}
	return o
}

// boot starts a cell's next process from its disk, with the first tick.
func (x *explorer) boot(c *cell, bootstrap bool) Output {
	c.app = &logApp{err: &x.err}
	m, err := New(x.options(c.i, bootstrap), c.disk, c.app)
	if err != nil {
		if x.err == nil {
			x.err = err
		}
		return Output{}
	}
	c.m = m
	c.seedRandom()
	return m.Tick(time.Second)
}

func (x *explorer) internCell(c *cell) uint32 {
	k := c.key()
	id, ok := x.cellIDs[k]
	if !ok {
		id = uint32(len(x.cells))
		x.cells = append(x.cells, c)
		x.views[c.view] = c.status.View
		x.cellIDs[k] = id
	}
	return id
}

func (x *explorer) internMsg(from int, e Envelope) (uint32, bool) {
	to := slices.Index(x.addrs, e.To)
	if to < 0 {
		return 0, false
	}
	body, err := e.Msg.MarshalMsg(nil)
	if err != nil {
		x.err = err
		return 0, false
	}
	k := string(append([]byte{byte(from), byte(to)}, body...))
	id, ok := x.msgIDs[k]
	if !ok {
		p := packet{from: from, to: to}
		if _, err := p.msg.UnmarshalMsg(body); err != nil {
			x.err = err
		}
		m := &p.msg
		p.text = fmt.Sprintf("%s of %d: epoch %d ballot %d/%.8s seq %d round %d in sync %v stopped %v",
			kindNames[m.Kind], from, m.Epoch, m.Ballot.N, m.Ballot.ID, m.Seq, m.Round, m.InSync, m.Stopped)
		id = uint32(len(x.packets))
		x.packets = append(x.packets, p)
		x.msgIDs[k] = id
	}
	return id, true
}

var kindNames = map[Kind]string{
	KindHello: "hello", KindView: "view", KindHeartbeat: "heartbeat", KindHeartbeatAck: "ack", KindAppend: "append",
	KindSnapshot: "snapshot", KindStage: "stage", KindStaged: "staged", KindPrepare: "prepare", KindPromise: "promise",
	KindAccept: "accept", KindAccepted: "accepted", KindReject: "reject", KindHandover: "handover",
	KindTransferAck: "transfer ack", KindStageChanges: "stage changes",
}

func (x *explorer) internGhost(g ghost) uint32 {
	k := fmt.Sprint(g)
	id, ok := x.ghostIDs[k]
	if !ok {
		id = uint32(len(x.ghosts))
		x.ghosts = append(x.ghosts, g)
		x.ghostIDs[k] = id
	}
	return id
}

// execute returns the effect of a step on a cell, computed once; nil if the step isn't possible.
func (x *explorer) execute(id uint32, s step) *effect {
	k := stepOf{s, id}
	if s.kind == stepDeliver {
		for len(x.deliveries) <= int(id) {
			x.deliveries = append(x.deliveries, nil)
		}
		if g := x.deliveries[id]; int(s.arg) < len(g) && g[s.arg] != nil {
			return g[s.arg]
		}
	} else if e, ok := x.effects[k]; ok {
		return e
	}
	old := x.cells[id]
	c := old.clone(&x.err)
	before := c.m.identity.ID
	was := x.cellIDs[old.key()]
	out, ok := x.input(c, s)
	var e *effect
	if ok {
		save(&c.disk, out.Write)
		c.update(before)
		e = &effect{sighting: sightingOf(c, out)}
		e.cell = x.internCell(c)
		for _, env := range out.Send {
			if e.violation == "" {
				e.violation = voteViolation(c, &env.Msg)
			}
			if m, ok := x.internMsg(c.i, env); ok && !slices.Contains(e.sent, m) {
				e.sent = append(e.sent, m)
			}
		}
		if x.err != nil && e.violation == "" {
			e.violation = x.err.Error()
		}
	}
	if again, ok := x.cellIDs[old.key()]; !ok || again != was {
		panic("a step changed the cell it began from")
	}
	if s.kind != stepDeliver {
		x.effects[k] = e
		return e
	}
	g := x.deliveries[id]
	if int(s.arg) >= len(g) {
		g = append(g, make([]*effect, int(s.arg)+1-len(g))...)
		x.deliveries[id] = g
	}
	g[s.arg] = e
	return e
}

func (x *explorer) input(c *cell, s step) (Output, bool) {
	m := c.m
	switch s.kind {
	case stepDeliver:
		p := &x.packets[s.arg]
		return m.Step(c.clock(), x.addrs[p.from], &p.msg), true
	case stepWrite:
		if !m.primary.active {
			return Output{}, false
		}
		return m.Propose(c.clock(), uint64(s.arg), fmt.Appendf(nil, "w%d", s.arg)), true
	case stepRead:
		if !m.primary.active {
			return Output{}, false
		}
		return m.Read(c.clock(), uint64(s.arg)), true
	case stepRetry:
		return x.retry(c, s.arg)
	case stepFreeze:
		if c.frozen > 0 || !m.started {
			return Output{}, false
		}
		c.frozen = freezeTime
		return Output{}, true
	case stepLeave:
		if m.departure.begun || !m.started {
			return Output{}, false
		}
		return m.Leave(c.clock()), true
	case stepHeartbeat:
		if !m.leading() {
			return Output{}, false
		}
		return m.Tick(max(m.NextTick(), m.now+1, c.clock())), true
	case stepWait:
		return x.waitUntilTransition(c)
	case stepCrash, stepWipe, stepStart:
		if s.kind == stepWipe {
			c.wiped = append(slices.Clip(c.wiped), m.identity.ID)
			c.disk = PersistentState{}
		}
		if s.kind != stepStart {
			c.incarnation++
		}
		c.frozen = 0
		return x.boot(c, s.kind == stepStart), true
	}
	return Output{}, false
}

// waitUntilTransition lets a machine's time pass until its protocol state changes. Only the messages of the last tick
// are sent; those before are lost.
func (x *explorer) waitUntilTransition(c *cell) (Output, bool) {
	first := protocolStateOf(c.m)
	for range 60 {
		out := c.m.Tick(max(c.m.NextTick(), c.m.now+1, c.clock()))
		if protocolStateOf(c.m) != first {
			return out, true
		}
		save(&c.disk, out.Write)
	}
	return Output{}, false
}
