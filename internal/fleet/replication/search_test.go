package replication

import (
	"fmt"
	"slices"
	"time"
)

// The search runs small cores against a network and disks that may do what networks and disks do, breadth first, and
// holds the rules in every state that can be reached within the budgets. A message that was sent stays in flight for
// good: it may come at any time, many times or never, so that loss, doubling and overtaking are all in. What is to be
// on disk is there before anything is sent, so a crash with writes pending equals one before their inputs. A step of
// a machine depends on its cell and the message alone and is worked out once.
//
// The files: cells_test.go a machine with its disk, search_test.go the steps of one machine, searchtime_test.go time
// that passes for all, searchretry_test.go changes that are asked for again, searchrules_test.go the rules,
// searchrun_test.go the search itself, liveness_test.go what must happen when calm, searchcases_test.go the cores and
// budgets.

// budget is what may still happen.
type budget struct {
	writes, reads uint8
	heartbeats    uint8 // ticks of who leads
	waits         uint8 // a machine's time passes until it does something by itself
	crashes       uint8 // restarts with the disk
	wipes         uint8 // restarts with an empty disk
	starts        uint8 // machines that haven't started yet, in their order
	retries       uint8 // a change that was asked for before is asked for again, at any primary
	freezes       uint8 // a machine finds at its next input that it was frozen
	passes        uint8 // time passes for all machines, with one fault of the network or none
	leaves        uint8 // a process is told that it is about to end
}

// maxCells is the size of the largest core that is searched.
const maxCells = 5

// cellSet is the cell of each machine.
type cellSet [maxCells]uint32

// modelState is one state.
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

// effect is what a step led to.
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
	"gets",
	"is to write",
	"is to read",
	"beats",
	"waits",
	"crashes and restarts",
	"loses its disk and restarts",
	"starts",
	"is asked again for",
	"was frozen",
	"time passes for all,",
	"is told to end",
}

// inSync is one thing that happens to a machine; arg is a message or a token.
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
	founders   int // the first so many machines are there from the start, the others join
	timing     timing
	survive    FailureTolerance
	judged     bool // changes are judged by the record, as the control plane does it
	small      bool // snapshots at every change
	chunkBytes int  // of a record; 0: the usual size
	limit      int  // states
	addrs      []string

	err      error
	cells    []*cell
	cellIDs  map[string]uint32
	packets  []packet
	msgIDs   map[string]uint32
	ghosts   []ghost
	ghostIDs map[string]uint32
	effects  map[stepOf]*effect // of all steps but deliveries
	gets     [][]*effect        // of deliveries, by cell and message
	todo     []uint32
	views    map[string]View // by their words
	kinds    []faultKind     // of faults while time passes
	passes   map[passOf]*passing
	calms    map[passOf]time.Duration // how long the next acknowledgement takes, with a fault that lasts

	// late has liveness tried with all that is in flight coming, too.
	late        bool
	lateCalms   int
	slowestLate time.Duration

	// check is a further rule that every state must hold, nil when there is none.
	check func(*modelState) string
}

// timing is the part of Options that says how long things take.
type timing struct{ heartbeat, election, stagger, write, member time.Duration }

var (
	// quickTiming has round figures.
	quickTiming = timing{100 * ms, 500 * ms, 150 * ms, 600 * ms, 3 * time.Second}
	// servedTiming is the control plane's, with the default of sync_s.
	servedTiming = timing{150 * ms, 700 * ms, 250 * ms, 600 * ms, 4 * time.Second}
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
		passes: map[passOf]*passing{}, calms: map[passOf]time.Duration{},
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

// boot makes a cell's next process from its disk and lets it begin.
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
	c.draw()
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
		p.text = fmt.Sprintf("%s of %d: epoch %d ballot %d/%.8s seq %d round %d step %v stopped %v",
			kindNames[m.Kind], from, m.Epoch, m.Ballot.N, m.Ballot.ID, m.Seq, m.Round, m.InSync, m.Stopped)
		id = uint32(len(x.packets))
		x.packets = append(x.packets, p)
		x.msgIDs[k] = id
	}
	return id, true
}

var kindNames = map[Kind]string{
	KindHello: "hello", KindView: "view", KindHeartbeat: "beat", KindHeartbeatAck: "ack", KindAppend: "append",
	KindSnapshot: "snapshot", KindStage: "stage", KindStaged: "staged", KindPrepare: "prepare", KindPromise: "promise",
	KindAccept: "accept", KindAccepted: "accepted", KindReject: "refuse", KindHandover: "handover",
	KindTransferAck: "received", KindStageChanges: "stage changes",
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

// play works out what a step does to a cell; nil: nothing.
func (x *explorer) play(id uint32, s step) *effect {
	k := stepOf{s, id}
	if s.kind == stepDeliver {
		for len(x.gets) <= int(id) {
			x.gets = append(x.gets, nil)
		}
		if g := x.gets[id]; int(s.arg) < len(g) && g[s.arg] != nil {
			return g[s.arg]
		}
	} else if e, ok := x.effects[k]; ok {
		return e
	}
	old := x.cells[id]
	c := old.grow(&x.err)
	before := c.m.identity.ID
	was := x.cellIDs[old.key()]
	out, ok := x.input(c, s)
	var e *effect
	if ok {
		save(&c.disk, out.Write)
		c.done(before)
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
	g := x.gets[id]
	if int(s.arg) >= len(g) {
		g = append(g, make([]*effect, int(s.arg)+1-len(g))...)
		x.gets[id] = g
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
		return x.waitUntilMark(c)
	case stepCrash, stepWipe, stepStart:
		if s.kind == stepWipe {
			c.wiped = append(slices.Clip(c.wiped), m.identity.ID)
			c.disk = PersistentState{}
		}
		if s.kind != stepStart {
			c.life++
		}
		c.frozen = 0
		return x.boot(c, s.kind == stepStart), true
	}
	return Output{}, false
}

// waitUntilMark lets a machine's time pass until it does something by itself. What it sends meanwhile is lost, but for
// the last.
func (x *explorer) waitUntilMark(c *cell) (Output, bool) {
	first := markOf(c.m)
	for range 60 {
		out := c.m.Tick(max(c.m.NextTick(), c.m.now+1, c.clock()))
		if markOf(c.m) != first {
			return out, true
		}
		save(&c.disk, out.Write)
	}
	return Output{}, false
}
