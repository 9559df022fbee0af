package promises

import (
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

var deep = flag.Bool("promises.deep", false, "search more states, for minutes")

var errLost = errors.New("the outcome is unknown")

// scenario simulates a holder, replica stores, the council's register, and a network that delays and reorders
// messages.
type scenario struct {
	holder     *Machine
	replicas   []*ReplicaStore // nil: it has crashed
	reg        *Register
	net        []packet
	proposals  []*Entry // from the holder to the council, in flight
	results    []result // from the council to the holder, in flight
	seals      []Holder // by replica: request to the council in flight; empty name: none
	holderRuns bool     // the holder has not crashed
	healthy    []bool   // by replica: what the holder believes
	faultsLeft int      // number of faults, losses and queries still to come
	wanted     []Key
	began      map[Key]bool
	never      map[Key]bool
	rejected   map[Key]bool
	noCrashes  bool // without crashes and queries
	history    []string
	disks      []*disk // by replica; nil: the stores are in memory only
}

// disk is what a replica has written, and the queue of writes with the replies that depend on them.
type disk struct {
	rows  map[Holder]Row
	log   []Record
	queue []pendingWrite
	me    Peer // the replica's process
}

type pendingWrite struct {
	row   *Row
	rec   *Record
	reply packet
}

// id returns a replica's process.
func (p *scenario) id(i int) Peer {
	if p.disks != nil {
		return p.disks[i].me
	}
	return peer(i)
}

// write completes all queued writes of a replica's disk, and sends the replies that depend on them.
func (p *scenario) write(i int) {
	d := p.disks[i]
	for _, w := range d.queue {
		if w.row != nil {
			d.rows[me] = *w.row
		}
		if w.rec != nil {
			d.log = append(d.log[:len(d.log):len(d.log)], *w.rec)
		}
		if w.reply.msg.Holder.Name != "" {
			p.net = append(p.net, w.reply)
		}
	}
	d.queue = nil
}

// restart restarts a replica from its disk, as a new process.
func (p *scenario) restart(i int) {
	d := p.disks[i]
	d.queue = nil
	d.me.Incarnation++
	p.replicas[i], p.seals[i] = NewReplicaStore(time.Hour, 1<<20), Holder{}
	for h, r := range d.rows {
		p.replicas[i].RestoreRow(0, h, &r)
	}
	for k := range d.log {
		p.replicas[i].RestoreRecord(0, &d.log[k])
	}
}

// deliver delivers a holder's message to a replica.
func (p *scenario) deliver(i int, m *Msg) {
	c := p.replicas[i]
	reply, ok := c.Receive(0, p.id(i), Peer{Name: "h", Incarnation: 1}, m)
	word := packet{to: -1, from: p.id(i), msg: reply}
	if p.disks == nil || reply.Kind == Nack {
		if ok {
			p.net = append(p.net, word)
		}
		return
	}
	w := pendingWrite{reply: word}
	if m.Kind == Join {
		r := c.Row(m.Holder)
		r.Identities = slices.Clone(r.Identities)
		w.row = &r
	}
	if len(m.Keys) > 0 {
		w.rec = &Record{Holder: m.Holder, Keys: m.Keys, Reply: m.Reply}
	}
	p.disks[i].queue = append(p.disks[i].queue[:len(p.disks[i].queue):len(p.disks[i].queue)], w)
}

// seal asks the council to seal the holder by a replica, as each of its identities in turn.
func (p *scenario) seal(i int) {
	err := ErrNoCopy
	for _, as := range p.replicas[i].Identities(me) {
		if err = p.reg.Apply(0, &Entry{Holder: me, By: as}); err != ErrNoCopy {
			break
		}
	}
	p.replicas[i].Sealed(me, err)
}

// result is the council's result of an entry.
type result struct {
	e   *Entry
	err error
}

type packet struct {
	to   int  // index of a replica, or -1 for the holder
	as   Peer // process of the receiving replica
	from Peer // process of the sending replica
	msg  Msg
}

var me = Holder{Name: "h", Incarnation: 1}

func peer(i int) Peer { return Peer{Name: fmt.Sprint("c", i), Incarnation: 1} }

func (p *scenario) candidates() (all []Candidate) {
	for i := range p.replicas {
		all = append(all, Candidate{ID: p.id(i), Machine: fmt.Sprint("m", i), Zone: "z", Healthy: p.healthy[i]})
	}
	return all
}

// useDisks has the replicas write to disk before they reply.
func (p *scenario) useDisks() *scenario {
	for i := range p.replicas {
		p.disks = append(p.disks, &disk{rows: map[Holder]Row{}, me: peer(i)})
	}
	return p
}

func newScenario(replicas, want, faults int, keys ...uint64) *scenario {
	p := &scenario{
		holder: NewHolder(Options{
			Me:           me,
			Machine:      "mh",
			Zone:         "z",
			Replicas:     want,
			Retention:    time.Hour,
			TimeoutTicks: 2,
		}),
		reg:        NewRegister(),
		holderRuns: true,
		faultsLeft: faults,
		began:      map[Key]bool{},
		never:      map[Key]bool{},
		rejected:   map[Key]bool{},
		seals:      make([]Holder, replicas),
	}
	for range replicas {
		p.replicas = append(p.replicas, NewReplicaStore(time.Hour, 1<<20))
		p.healthy = append(p.healthy, true)
	}
	for _, n := range keys {
		p.wanted = append(p.wanted, Key{Origin: "n", Incarnation: 1, Number: n})
	}
	return p
}

func (p *scenario) clone() *scenario {
	q := *p
	h := *p.holder
	h.replicas, h.inFlight, h.waiting = slices.Clone(h.replicas), slices.Clone(h.inFlight), slices.Clone(h.waiting)
	for i := range h.inFlight {
		h.inFlight[i].acked = maps.Clone(h.inFlight[i].acked)
	}
	h.joined, h.begun, h.excludedUntil = maps.Clone(h.joined), maps.Clone(h.begun), maps.Clone(h.excludedUntil)
	q.holder = &h
	q.replicas = nil
	for _, c := range p.replicas {
		if c == nil {
			q.replicas = append(q.replicas, nil)
			continue
		}
		n := *c
		n.replicas = map[Holder]*replica{}
		for k, v := range c.replicas {
			d := *v
			d.begun, d.replies = maps.Clone(v.begun), maps.Clone(v.replies)
			n.replicas[k] = &d
		}
		q.replicas = append(q.replicas, &n)
	}
	q.reg, _ = RestoreRegister(p.reg.All())
	q.net, q.proposals, q.results, q.seals, q.healthy =
		slices.Clone(p.net), slices.Clone(p.proposals), slices.Clone(p.results),
		slices.Clone(p.seals), slices.Clone(p.healthy)
	q.wanted, q.began, q.never, q.history =
		slices.Clone(p.wanted), maps.Clone(p.began), maps.Clone(p.never), slices.Clone(p.history)
	q.rejected = maps.Clone(p.rejected)
	q.disks = nil
	for _, d := range p.disks {
		n := *d
		n.rows, n.log, n.queue = maps.Clone(d.rows), slices.Clone(d.log), slices.Clone(d.queue)
		q.disks = append(q.disks, &n)
	}
	return &q
}

// fingerprint returns a hash of all that the further run depends on.
func (p *scenario) fingerprint() uint64 {
	var b strings.Builder
	h := p.holder
	fmt.Fprint(&b, h.phase, h.epoch, h.replicas, h.joined, h.seq, h.inFlight, h.waiting, h.begun, h.excludedUntil,
		h.ticks-h.phaseSince, h.ticks-h.lastSent, len(p.proposals), len(p.results), p.seals, p.holderRuns, p.healthy,
		p.faultsLeft, p.wanted, p.began, p.never)
	for _, e := range p.proposals {
		fmt.Fprint(&b, *e)
	}
	for _, x := range p.results {
		fmt.Fprint(&b, *x.e, x.err)
	}
	for _, c := range p.replicas {
		if c != nil {
			fmt.Fprint(&b, c.All(), c.replicas)
			for _, d := range c.replicas {
				fmt.Fprint(&b, *d)
			}
		}
		fmt.Fprint(&b, "|")
	}
	for _, d := range p.disks {
		fmt.Fprint(&b, d.rows, d.log, len(d.queue), d.me)
		for _, w := range d.queue {
			fmt.Fprint(&b, w.reply)
		}
	}
	var lines []string
	for _, x := range p.net {
		lines = append(lines, fmt.Sprint(x))
	}
	slices.Sort(lines)
	fmt.Fprint(&b, lines, p.reg.All())
	f := fnv.New64a()
	f.Write([]byte(b.String()))
	return f.Sum64()
}

// perform carries out an output of the holder.
func (p *scenario) perform(out Output) {
	for _, s := range out.Send {
		for i := range p.replicas {
			if p.id(i) == s.To {
				p.net = append(p.net, packet{to: i, as: s.To, msg: s.Msg})
			}
		}
	}
	if out.Propose != nil {
		p.proposals = append(p.proposals, out.Propose)
	}
	for _, k := range out.Begin {
		p.began[k] = true
	}
	for _, k := range out.Reject {
		p.rejected[k] = true
	}
}

// queryAll has origin gateways query all running replicas, in random order, until they give a verdict.
func (p *scenario) queryAll(rng *rand.Rand) {
	for _, i := range rng.Perm(len(p.replicas)) {
		c := p.replicas[i]
		if c == nil {
			continue
		}
		for n := range uint64(4) {
			k := Key{Origin: "n", Incarnation: 1, Number: n + 1}
			v, _ := c.Query(me, k, 0)
			if v == Pending {
				p.seal(i)
				v, _ = c.Query(me, k, 0)
			}
			if v == NeverBegun {
				p.never[k] = true
				p.history = append(p.history, fmt.Sprintf("%d proves that %d never begins", i, n+1))
			}
		}
	}
}

// violation describes a violated invariant; empty: there is none.
func (p *scenario) violation() string {
	for k := range p.never {
		if p.began[k] {
			return fmt.Sprintf("%v was proven never to begin, and began", k.Number)
		}
	}
	return ""
}

// establish plays the scenario until the first epoch is active.
func (p *scenario) establish() *scenario {
	for p.holder.phase != active {
		steps, _ := p.steps()
		if p.holder.phase == idle {
			p.perform(p.holder.Tick(0, true, p.candidates()))
		} else {
			steps[len(steps)-1](p) // deliver the latest message
		}
	}
	return p
}

// steps returns the possible next steps without and with a fault.
func (p *scenario) steps() (next, wrong []func(*scenario)) {
	add := func(what string, do func(*scenario)) {
		next = append(next, func(q *scenario) { q.history = append(q.history, what); do(q) })
	}
	if p.holderRuns {
		// Beyond 4 ticks, another tick has no further effect.
		if h := p.holder; h.phase == idle || h.ticks-h.phaseSince < 4 ||
			len(h.inFlight) > 0 && h.ticks-h.inFlight[0].sentAt < 4 {
			add("tick", func(q *scenario) { q.perform(q.holder.Tick(0, true, q.candidates())) })
		}
		if len(p.wanted) > 0 {
			add(fmt.Sprint("begin ", p.wanted[0].Number), func(q *scenario) {
				k := q.wanted[0]
				q.wanted = q.wanted[1:]
				q.perform(q.holder.Begin(0, k))
			})
		}
		if len(p.results) > 0 {
			add(fmt.Sprintf("the holder receives the result of epoch %d: %v",
				p.results[0].e.Epoch, p.results[0].err), func(q *scenario) {
				x := q.results[0]
				q.results = q.results[1:]
				q.perform(q.holder.ProposalResult(x.e, x.err))
			})
		}
	}
	if len(p.proposals) > 0 {
		add("the council commits an epoch", func(q *scenario) {
			e := q.proposals[0]
			q.proposals = q.proposals[1:]
			q.results = append(q.results, result{e, q.reg.Apply(0, e)})
		})
	}
	for i := range p.net {
		add(fmt.Sprintf("delivers %d to %d", p.net[i].msg.Kind, p.net[i].to), func(q *scenario) {
			x := q.net[i]
			q.net = slices.Delete(q.net, i, i+1)
			switch {
			case x.to < 0 && q.holderRuns:
				q.perform(q.holder.Receive(0, x.from, &x.msg))
			case x.to >= 0 && q.replicas[x.to] != nil && q.id(x.to) == x.as:
				q.deliver(x.to, &x.msg)
			}
		})
	}
	for i := range p.seals {
		if p.seals[i].Name != "" {
			add(fmt.Sprint("the council is asked to seal by ", i), func(q *scenario) {
				q.seals[i] = Holder{}
				if q.replicas[i] != nil {
					q.seal(i)
				} else {
					_ = q.reg.Apply(0, &Entry{Holder: me, By: q.id(i)})
				}
			})
		}
	}
	for i, d := range p.disks {
		if len(d.queue) > 0 && p.replicas[i] != nil {
			add(fmt.Sprint(i, " writes"), func(q *scenario) { q.write(i) })
		}
	}
	if p.faultsLeft == 0 {
		return next, nil
	}
	right := next
	next = nil
	fault := func(what string, do func(*scenario)) { add(what, func(q *scenario) { q.faultsLeft--; do(q) }) }
	for i, c := range p.replicas {
		if c == nil {
			continue
		}
		if d := c.replicas[me]; !p.noCrashes && d != nil && (!d.sealWanted || d.sealed) {
			add(fmt.Sprint("an origin gateway queries ", i), func(q *scenario) {
				for n := range uint64(2) {
					k := Key{Origin: "n", Incarnation: 1, Number: n + 1}
					switch v, _ := q.replicas[i].Query(me, k, 0); v {
					case Pending:
						q.seals[i] = me
					case NeverBegun:
						q.never[k] = true
					}
				}
			})
		}
		if !p.noCrashes {
			fault(fmt.Sprint(i, " crashes"), func(q *scenario) { q.replicas[i] = nil })
		}
		if p.disks != nil {
			fault(fmt.Sprint(i, " restarts from its disk"), func(q *scenario) { q.restart(i) })
		}
		fault(fmt.Sprint(i, " is believed dead, or alive again"), func(q *scenario) { q.healthy[i] = !q.healthy[i] })
	}
	for i := range p.net {
		fault("a message is lost", func(q *scenario) { q.net = slices.Delete(q.net, i, i+1) })
	}
	if p.holderRuns && !p.noCrashes {
		fault("the holder crashes", func(q *scenario) { q.holderRuns = false })
	}
	return right, next
}

// TestExploreStates explores every order of messages, losses, crashes, beliefs and queries to a depth: no request
// that was proven never to begin has begun or begins later.
func TestExploreStates(t *testing.T) {
	for _, c := range []struct {
		copies, want, faults, depth, states int
		keys                                []uint64
		disk                                bool
	}{
		{2, 1, 2, 30, 40_000, []uint64{1, 2}, false},
		{3, 2, 1, 30, 40_000, []uint64{1}, false},
		{3, 1, 2, 30, 40_000, []uint64{1}, false},
		{2, 1, 2, 30, 40_000, []uint64{1}, true},
	} {
		if *deep {
			c.faults, c.states = c.faults+1, 3_000_000
		}
		seen := map[uint64]bool{}
		first := newScenario(c.copies, c.want, c.faults, c.keys...)
		if c.disk {
			first.useDisks()
		}
		level := []*scenario{first.establish()}
		states, proofs, begun := 0, 0, 0
		for depth := 0; depth < c.depth && len(level) > 0 && states < c.states; depth++ {
			var next []*scenario
			for _, p := range level {
				right, wrong := p.steps()
				for _, step := range append(right, wrong...) {
					q := p.clone()
					step(q)
					if why := q.violation(); why != "" {
						t.Fatalf("%s:\n%s", why, strings.Join(q.history, "\n"))
					}
					if x := q.fingerprint(); !seen[x] {
						seen[x] = true
						states++
						if len(q.never) > 0 {
							proofs++
						}
						if len(q.began) > 0 {
							begun++
						}
						next = append(next, q)
					}
				}
			}
			level = next
		}
		t.Logf("%d replicas, %d wanted: %d states, %d of them with a proof, %d with a request begun",
			c.copies, c.want, states, proofs, begun)
	}
}

// TestIdleHolderNoticesFailures: a holder without requests notices that it has been sealed and that a replica
// doesn't respond. One without replicas sends nothing.
func TestIdleHolderNoticesFailures(t *testing.T) {
	for _, silent := range []bool{false, true} {
		p := newScenario(2, 1, 0).establish()
		of := slices.IndexFunc(p.replicas, func(c *ReplicaStore) bool { return len(c.All()) > 0 })
		if p.replicas[of].Query(me, Key{Origin: "n", Incarnation: 1, Number: 1}, 0); silent {
			p.replicas[of] = nil
		} else {
			p.replicas[of].Sealed(me, p.reg.Apply(0, &Entry{Holder: me, By: peer(of)}))
		}
		for range 200 {
			if steps, _ := p.steps(); len(steps) > 1 { // the last one is the latest, and isn't a tick
				steps[len(steps)-1](p)
			} else {
				p.perform(p.holder.Tick(0, true, p.candidates()))
			}
		}
		if h := p.holder; (h.phase == sealed) == silent ||
			silent && (h.phase != active || h.epoch != 2 || h.replicas[0] == peer(of)) {
			t.Errorf("its replica is unresponsive: %v; it is in phase %d of epoch %d with %v:\n%s",
				silent, h.phase, h.epoch, h.replicas, strings.Join(p.history, "\n"))
		}
	}
	m := NewHolder(Options{Me: me, Machine: "mh", Replicas: 1, AllowFewer: true, Retention: time.Hour, TimeoutTicks: 1})
	for range 100 {
		if out := m.Tick(0, true, nil); out.Propose != nil {
			m.ProposalResult(out.Propose, nil)
		}
	}
	if m.phase != active || m.WaitingCount() > 0 || len(m.inFlight) > 0 {
		t.Errorf("without replicas: %+v", m)
	}
}

// TestRandomRuns plays random runs that are longer than the exhaustive search: epochs change repeatedly, with
// queries in between. Once the faults end, each waiting request begins or is rejected.
func TestRandomRuns(t *testing.T) {
	runs := 4000
	if *deep {
		runs = 200_000
	}
	proofs, begun, epochs, read := 0, 0, uint64(0), 0
	for seed := range runs {
		rng := rand.New(rand.NewPCG(uint64(seed), 7))
		p, rounds := newScenario(3+rng.IntN(2), 1+rng.IntN(2), 4+rng.IntN(8), 1, 2, 3, 4), 120
		if p.noCrashes = seed%2 == 0; p.noCrashes {
			// Changing beliefs and lost messages lead to epochs with replicas of earlier ones.
			p.faultsLeft, rounds = 50, 400
		}
		if seed%4 >= 2 {
			p.useDisks()
		}
		for range rounds {
			steps, wrong := p.steps()
			if len(wrong) > 0 && (rng.IntN(8) == 0 || len(steps) == 0) {
				steps = wrong
			}
			if len(steps) == 0 {
				break
			}
			steps[rng.IntN(len(steps))](p)
			if why := p.violation(); why != "" {
				t.Fatalf("seed %d: %s:\n%s", seed, why, strings.Join(p.history, "\n"))
			}
		}
		if rng.IntN(2) == 0 {
			p.queryAll(rng)
		}
		p.faultsLeft = 0
		if p.disks != nil && rng.IntN(2) == 0 { // power failure: all but the holder restart
			p.holderRuns = false
			for i := range p.replicas {
				p.restart(i)
			}
		}
		for i := range p.healthy {
			p.healthy[i] = p.replicas[i] != nil
		}
		for n := range 600 { // replicas that don't respond are replaced after some ticks
			if n%6 == 0 {
				p.perform(p.holder.Tick(0, true, p.candidates()))
			} else if steps, _ := p.steps(); len(steps) > 0 {
				steps[rng.IntN(len(steps))](p)
			}
		}
		if why := p.violation(); why != "" {
			t.Fatalf("seed %d: %s:\n%s", seed, why, strings.Join(p.history, "\n"))
		}
		p.queryAll(rng)
		if why := p.violation(); why != "" {
			t.Fatalf("seed %d: %s:\n%s", seed, why, strings.Join(p.history, "\n"))
		}
		for n := range uint64(4 - len(p.wanted)) {
			if k := (Key{Origin: "n", Incarnation: 1, Number: n + 1}); p.holderRuns && !p.began[k] && !p.rejected[k] {
				t.Fatalf("seed %d: %d neither begins nor is rejected; %+v:\n%s",
					seed, n+1, p.holder, strings.Join(p.history, "\n"))
			}
		}
		if p.disks != nil && !p.holderRuns {
			read += len(p.never)
		}
		proofs, begun, epochs = proofs+len(p.never), begun+len(p.began), max(epochs, p.holder.epoch)
	}
	t.Logf("%d runs: %d proofs, %d of them from stores read from disk, %d begun, up to %d epochs",
		runs, proofs, read, begun, epochs)
	if proofs < runs/20 || read < runs/20 || begun < runs/4 || epochs < 3 {
		t.Error("too few proofs, begun requests or epochs for a meaningful run")
	}
}

// TestRetention: keys past their retention prove nothing, so the verdict on a request that was offered earlier is
// Unknown. Replies are returned as long as their key is kept, if there was room for them.
func TestRetention(t *testing.T) {
	const minute = time.Minute
	c := NewReplicaStore(minute, 10)
	from, key := Peer{Name: "h", Incarnation: 1}, func(n uint64) Key {
		return Key{Origin: "n", Incarnation: 1, Number: n}
	}
	hear := func(now time.Duration, want Kind, m Msg) {
		t.Helper()
		m.Holder = me
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		if r, ok := c.Receive(now, Peer{Name: "c", Incarnation: 1}, from, &m); ok != (want != Answered) ||
			ok && r.Kind != want {
			t.Errorf("%+v: %+v, %v", m, r, ok)
		}
	}
	verdict := func(n uint64, since time.Duration, want Verdict, body string) {
		t.Helper()
		if v, r := c.Query(me, key(n), since); v != want || string(r.Body) != body {
			t.Errorf("request %d, offered %v ago: %d %q, want %d %q", n, since, v, r.Body, want, body)
		}
	}
	verdict(1, 0, Unknown, "")
	hear(0, Nack, Msg{Kind: Batch, Epoch: 1, Keys: []Key{key(1)}})
	hear(0, Joined, Msg{Kind: Join, Epoch: 1, Keys: []Key{key(1)}, Ages: []uint64{30_000}})
	hear(minute/4, Ack, Msg{Kind: Batch, Epoch: 1, Keys: []Key{key(2), key(3)}})
	hear(minute/4, Nack, Msg{Kind: Batch, Epoch: 2, Keys: []Key{key(4)}})
	hear(minute/4, Answered, Msg{Kind: Answered, Keys: []Key{key(2)}, Reply: &Reply{Body: []byte("123456")}})
	hear(minute/4, Answered, Msg{Kind: Answered, Keys: []Key{key(3)}, Reply: &Reply{Body: []byte("12345")}}) // no room
	// This key has not begun.
	hear(minute/4, Answered, Msg{Kind: Answered, Keys: []Key{key(9)}, Reply: &Reply{}})
	if p, ok := c.ProcessOf(me); !ok || p != from {
		t.Error(p, ok)
	}
	verdict(5, 0, Pending, "")
	c.Sealed(me, errLost)
	verdict(5, 0, Pending, "")
	c.Sealed(me, nil)
	if _, ok := c.ProcessOf(me); ok || len(c.SealsWanted()) > 0 {
		t.Error("it is sealed, and still waits for a seal")
	}
	hear(minute/4, Nack, Msg{Kind: Batch, Epoch: 1, Keys: []Key{key(6)}})
	hear(minute/4, Nack, Msg{Kind: Join, Epoch: 2})
	verdict(1, 0, MayHaveRun, "")
	verdict(2, 0, Replied, "123456")
	verdict(3, 0, MayHaveRun, "")
	verdict(5, minute/2, NeverBegun, "")
	verdict(5, minute*9/10, Unknown, "")
	c.Expire(minute/2+1, func(Peer) bool { return false })
	verdict(1, minute/2, NeverBegun, "") // its key has expired, so it was offered earlier than this query claims
	verdict(2, 0, Replied, "123456")
	c.Expire(3*minute, func(Peer) bool { return true })
	if len(c.All()) > 0 || c.bytes != 0 {
		t.Errorf("%+v, %d bytes", c.All(), c.bytes)
	}
	for _, m := range []Msg{
		{},
		{Kind: 9, Holder: me},
		{Kind: Join, Holder: me, Keys: []Key{key(1)}},
		{Kind: Answered, Holder: me},
		{Kind: Batch, Holder: me, Keys: make([]Key, maxBatch+1)},
		{Kind: Batch, Holder: me, Keys: []Key{{Origin: strings.Repeat("x", 300)}}},
	} {
		if m.Check() == nil {
			t.Errorf("an invalid message of kind %+v passes the check", m.Kind)
		}
	}
}

// TestReplicaChoice: replicas are on other machines, in other zones if possible, and current ones stay. With too few
// candidates requests are rejected, or begin with AllowFewer. Without a council no verdict is possible, and no
// request waits.
func TestReplicaChoice(t *testing.T) {
	all := []Candidate{
		{peer(0), "mh", "a", true},
		{peer(1), "m1", "z", true},
		{peer(2), "m2", "a", true},
		{peer(3), "m2", "b", true},
		{peer(4), "m4", "b", false},
	}
	if got := chooseReplicas(me, "mh", "z", 2, nil, all); len(got) != 2 || slices.Contains(got, peer(0)) ||
		!slices.Contains(got, peer(1)) || slices.Contains(got, peer(4)) {
		t.Errorf("chose %v, want one on m2 in another zone, then m1", got)
	}
	if got := chooseReplicas(me, "mh", "z", 1, []Peer{peer(1)}, all); len(got) != 1 || got[0] != peer(1) {
		t.Errorf("chose %v, want the current replica", got)
	}
	k := Key{Origin: "n", Incarnation: 1, Number: 1}
	for _, fewer := range []bool{false, true} {
		m := NewHolder(Options{
			Me:           me,
			Machine:      "mh",
			Replicas:     2,
			AllowFewer:   fewer,
			Retention:    time.Hour,
			TimeoutTicks: 1,
		})
		if out := m.Begin(0, k); len(out.Begin) == 1 != fewer {
			t.Errorf("fewer %v, before the first tick: %+v", fewer, out)
		}
		for range 3 {
			m.Tick(0, false, all[:1])
		}
		if out := m.Begin(0, Key{Number: 2}); len(out.Begin) == 1 != fewer || len(out.Reject) == 1 == fewer {
			t.Errorf("fewer %v, no council: %+v", fewer, out)
		}
		out := m.Tick(0, true, all[:1])
		if (out.Propose != nil) != fewer || fewer && (len(out.Propose.Replicas) != 0 || out.Short != 2) {
			t.Errorf("fewer %v, no candidate on another machine: %+v", fewer, out)
		}
	}
}

// TestAllReplicasJoinBeforeProposal: no epoch is proposed before all its replicas have received the retained keys. A
// replica of an earlier epoch that has missed later keys would otherwise give false verdicts.
func TestAllReplicasJoinBeforeProposal(t *testing.T) {
	m := NewHolder(Options{Me: me, Machine: "mh", Replicas: 2, Retention: time.Hour, TimeoutTicks: 3})
	all := []Candidate{{peer(0), "m0", "a", true}, {peer(1), "m1", "b", true}}
	out := m.Tick(0, true, all)
	if len(out.Send) != 2 || out.Propose != nil {
		t.Fatalf("%+v", out)
	}
	for i := range 2 {
		if out = m.Receive(0, peer(0), &Msg{Kind: Joined, Holder: me, Epoch: 1}); out.Propose != nil {
			t.Fatalf("one of two has joined, %d times: %+v", i+1, out)
		}
	}
	if out = m.Receive(0, peer(1), &Msg{Kind: Joined, Holder: me, Epoch: 1}); out.Propose == nil ||
		out.Propose.Epoch != 1 || len(out.Propose.Replicas) != 2 {
		t.Fatalf("%+v", out)
	}
}
