// Package promise drives one agent's part in promises (package promises): as the holder where it is a far
// gateway, as a copy of others, and as whoever brings a near end's question to a copy. Messages go over the
// peers' links, epochs and seals to the council.
//
// One goroutine, Run's, owns all state. Whoever waits for a promise waits in his own goroutine, for
// no longer than his order has time.
package promise

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/decide/promises"
	"molepaddle/internal/process/journal"
	"molepaddle/internal/process/seat"
	"molepaddle/internal/process/store"
	"molepaddle/internal/protocol/gateway"
	"molepaddle/internal/protocol/peers"
)

// Fleet is the agent's end among its peers; peers.Peers is.
type Fleet interface {
	View() (members.View, time.Time)
	Say(to members.ID, w peers.Word) error
	Wish(who string, names []string)
	Set(change func(*members.Info))
}

// Options is what a Part is made of.
type Options struct {
	Machine  string
	Zone     string
	Copies   int           // of what this agent promises, if it is a far gateway
	Fewer    bool          // fewer do, where there are no more
	Remember time.Duration // longer than an order may be open
	Bytes    int           // of answers held for others
	Folder   string        // that lasts, where what is held is written before a word is given; empty: it is held in memory
	Tick     time.Duration // some part of the view's period
	Log      *slog.Logger
	// Set before Run.
	Fleet   Fleet
	Council func(ctx context.Context, c seat.Call) seat.Answer
}

// ask is a near end's question on its way, and verdict what comes of it.
type ask struct {
	_       struct{} `cbor:",toarray"`
	Holder  promises.Holder
	Key     promises.Key
	SinceUs uint64
	Own     bool // it is the holder itself that is asked
}

type verdict struct {
	_     struct{} `cbor:",toarray"`
	Word  promises.Verdict
	Reply *promises.Reply
	Alive bool // the holder itself says so, and the crossing is in its hands
}

// disk is how far an agent's journal is.
type disk uint8

const (
	none    disk = iota // it is not wanted
	opening             // nothing is held meanwhile
	open
	failed // nothing more is held; what was can still be proven with
)

func (d disk) String() string {
	return [...]string{"in memory", "its disk is being opened, nothing is held", "on disk", "its disk has FAILED, nothing more is held"}[d]
}

// Part is an agent's part.
type Part struct {
	opt   Options
	in    chan func()
	ended chan struct{}
	start time.Time

	// Run's.
	disk    disk
	journal *journal.Journal // once it is open
	closed  chan struct{}    // by its goroutine's end
	tries   bool             // it is being opened
	holds   bool             // as the view has it
	ctx     context.Context
	holder  *promises.Machine // nil: this agent is no far gateway, or has not begun to be
	own     promises.Holder
	far     Far
	copies  *promises.ReplicaStore
	waits   map[promises.Key]chan bool
	view    members.View
	ticks   int
	number  uint64
	asked   map[uint64]question
	sealing map[promises.Holder][]sealed
	settled []promises.ReplicaSet // as the council had them
	held    time.Time             // when
	asking  []func()              // questions that wait for that
	short   int
}

// question is one that was brought to another.
type question struct {
	tell  func(verdict)
	until int
}

// sealed is a question that waits for a seal.
type sealed struct {
	key   promises.Key
	since time.Duration
	tell  func(verdict)
}

// Far is the far end whose begun crossings are promised.
type Far interface {
	// Own answers for a crossing in the holder's hands, as a fence does.
	Own(near string, inc, number uint64) (promises.Verdict, *promises.Reply)
	// Renew makes it another process for near ends, and tells which.
	Renew() (inc uint64)
}

// New makes a part; Run drives it.
func New(o Options) *Part {
	return &Part{opt: o, in: make(chan func(), 4096), ended: make(chan struct{}), start: time.Now(), copies: promises.NewReplicaStore(o.Remember, o.Bytes),
		waits: map[promises.Key]chan bool{}, asked: map[uint64]question{}, sealing: map[promises.Holder][]sealed{}}
}

// Bind says among whom the part is; before Run.
func (p *Part) Bind(f Fleet, council func(ctx context.Context, c seat.Call) seat.Answer, tick time.Duration) {
	p.opt.Fleet, p.opt.Council, p.opt.Tick = f, council, tick
}

func (p *Part) now() time.Duration { return time.Since(p.start) }

// post hands something to Run; false: there is no room, or Run has ended.
func (p *Part) post(do func()) bool {
	select {
	case p.in <- do:
		return true
	case <-p.ended:
		return false
	default:
		return false
	}
}

// Promises has a far end's begins promised from now on; its first incarnation comes with it.
func (p *Part) Promises(name string, inc uint64, far Far) {
	p.post(func() {
		p.far, p.own = far, promises.Holder{Name: name, Incarnation: inc}
		p.renew()
	})
}

func (p *Part) renew() {
	p.holder = promises.NewHolder(promises.Options{Me: p.own, Machine: p.opt.Machine, Zone: p.opt.Zone, Replicas: p.opt.Copies, AllowFewer: p.opt.Fewer,
		Retention: p.opt.Remember, TimeoutTicks: 5})
}

// Begin promises that a crossing which was offered to an incarnation of the far end begins, and waits for that at the most until the time given; false: it must
// not begin.
func (p *Part) Begin(hinc uint64, near string, inc, number uint64, until time.Time) bool {
	k := promises.Key{Origin: near, Incarnation: inc, Number: number}
	may := make(chan bool, 1)
	if !p.post(func() {
		if p.holder == nil || p.own.Incarnation != hinc {
			may <- false // what was offered to an earlier process, near ends ask that one's copies about
			return
		}
		p.tellWaits(k, false) // an attempt that was withdrawn meanwhile, and its request goes elsewhere
		p.waits[k] = may
		p.do(p.holder.Begin(p.now(), k))
	}) {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case ok := <-may:
		return ok
	case <-timer.C:
	case <-p.ended:
	}
	p.post(func() {
		if p.waits[k] == may {
			delete(p.waits, k)
			p.holder.Cancel(k)
		}
	})
	return false
}

// Answered has the copies know an answer. It does not wait.
func (p *Part) Answered(near string, inc, number uint64, r promises.Reply) {
	p.post(func() {
		if p.holder != nil {
			p.send(p.holder.ReplicateReply(promises.Key{Origin: near, Incarnation: inc, Number: number}, r))
		}
	})
}

// Query finds out what can be said of a crossing that was offered to another gateway so long ago. tell is
// called once, in another goroutine, and must not wait.
func (p *Part) Query(holder string, hinc uint64, near string, inc, number uint64, since time.Duration, tell func(promises.Verdict, *promises.Reply)) {
	h, k := promises.Holder{Name: holder, Incarnation: hinc}, promises.Key{Origin: near, Incarnation: inc, Number: number}
	answer := func(v verdict) { tell(v.Word, v.Reply) }
	if !p.post(func() {
		if _, held := p.copies.ProcessOf(h); held || p.sealedHere(h) {
			p.question(h, k, since, answer)
			return
		}
		p.elsewhere(h, k, since, answer)
	}) {
		answer(verdict{})
	}
}

func (p *Part) sealedHere(h promises.Holder) bool {
	return slices.ContainsFunc(p.copies.All(), func(o promises.ReplicaStatus) bool { return o.Holder == h && o.Sealed })
}

// Hear takes a word of a peer, where it is one of this package's; it does not wait.
func (p *Part) Hear(from members.ID, w peers.Word) (mine bool) {
	if w.Topic < peers.TopicPromise || w.Topic > peers.TopicVerdict {
		return false
	}
	p.post(func() { p.hear(from, &w) })
	return true
}

// Run drives the part until the context ends.
func (p *Part) Run(ctx context.Context) {
	defer close(p.ended)
	p.ctx = ctx
	p.view, _ = p.opt.Fleet.View()
	if p.opt.Folder != "" {
		p.disk = opening
	}
	defer func() {
		if p.journal != nil {
			<-p.closed // what it has acknowledged is on it, and a process that comes after may open it
		}
	}()
	tick := time.NewTicker(p.opt.Tick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.tick()
		case do := <-p.in:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// tick is the passing of a tick.
func (p *Part) tick() {
	p.ticks++
	p.view, _ = p.opt.Fleet.View()
	for n, q := range p.asked {
		if q.until < p.ticks {
			delete(p.asked, n)
			q.tell(verdict{})
		}
	}
	runs := map[members.ID]bool{}
	council := false
	for i := range p.view.Members {
		m := &p.view.Members[i]
		runs[m.ID] = m.State < members.Dead
		council = council || m.Orders != "" && m.State < members.Dead
	}
	if p.ticks%50 == 0 {
		p.drop(p.copies.Expire(p.now(), func(id promises.Peer) bool { return runs[id] })...)
	}
	if p.disk == opening && !p.tries && p.ticks%10 == 1 {
		p.open()
	}
	if p.disk == open {
		if err := p.journal.Failed(); err != nil {
			p.fail(err)
		}
	}
	if holds := p.disk == none || p.disk == open; holds != p.holds {
		p.holds = holds
		p.opt.Fleet.Set(func(i *members.Info) { i.Holds = holds })
	}
	if p.holder == nil {
		return
	}
	var all []promises.Candidate
	for i := range p.view.Members {
		m := &p.view.Members[i]
		if m.ID != p.view.Self && m.Info.Holds && m.State < members.Dead && !m.Twin {
			all = append(all, promises.Candidate{ID: m.ID, Machine: m.Info.Machine, Zone: m.Info.Zone, Healthy: m.State == members.Alive && len(m.SuspectedBy) == 0 && m.Info.Process != "ending"})
		}
	}
	p.do(p.holder.Tick(p.now(), council, all))
	var names []string
	if _, copies, _ := p.holder.Epoch(); len(copies) > 0 {
		for _, id := range copies {
			names = append(names, id.Name)
		}
	}
	for _, h := range p.copies.All() { // so that a question can be passed on
		if from, held := p.copies.ProcessOf(h.Holder); held {
			names = append(names, from.Name)
		}
	}
	p.opt.Fleet.Wish("promises", names)
}

// open opens the journal in a goroutine of its own: the process that wrote it may still have it.
func (p *Part) open() {
	p.tries = true
	go func() {
		type kept struct {
			of  promises.Holder
			row *promises.Row
		}
		var rows []kept
		var records []*promises.Record
		j, err := journal.Open(p.opt.Folder, p.opt.Remember, func(h promises.Holder, r *promises.Row) { rows = append(rows, kept{h, r}) },
			func(r *promises.Record) { records = append(records, r) })
		closed := make(chan struct{})
		if err == nil {
			go func() { defer close(closed); j.Run(p.ctx.Done()) }()
		}
		select {
		case p.in <- func() {
			switch p.tries = false; {
			case errors.Is(err, store.ErrHeld):
				return // again, soon
			case err != nil:
				p.fail(err)
				return
			}
			for _, k := range rows {
				p.copies.RestoreRow(p.now(), k.of, k.row)
			}
			for _, r := range records {
				p.copies.RestoreRecord(p.now(), r)
			}
			p.disk, p.journal, p.closed = open, j, closed
			p.opt.Log.Info("promises: what was held before is read", "holders", len(rows), "records", len(records))
		}:
		case <-p.ctx.Done():
			if err == nil {
				<-closed
			}
		}
	}()
}

// fail takes that the journal can't be used.
func (p *Part) fail(err error) {
	if p.disk != failed {
		p.disk = failed
		p.opt.Log.Error("promises: this agent holds nothing more for others, and serves on; its folder has to be looked at", "folder", p.opt.Folder, "err", err)
	}
}

// drop has the disk forget holders.
func (p *Part) drop(all ...promises.Holder) {
	if p.disk == open {
		for _, h := range all {
			p.journal.Drop(h)
		}
	}
}

// hold takes a holder's message, and gives the word once it is on the disk, where there is to be one.
func (p *Part) hold(from members.ID, m *promises.Msg) {
	if p.disk == opening || p.disk == failed {
		if m.Kind != promises.Answered {
			p.send([]promises.Send{{To: from, Msg: promises.Msg{Kind: promises.Nack, Holder: m.Holder, Epoch: m.Epoch, Seq: m.Seq}}})
			return
		}
	}
	reply, ok := p.copies.Receive(p.now(), p.view.Self, from, m)
	word := []promises.Send{{To: from, Msg: reply}}
	if !ok {
		word = nil
	}
	takes := reply.Kind == promises.Joined || reply.Kind == promises.Ack || m.Kind == promises.Answered
	if p.disk != open || !takes {
		p.send(word)
		return
	}
	var row *promises.Row
	if m.Kind == promises.Join {
		r := p.copies.Row(m.Holder)
		row = &r
	}
	var record *promises.Record
	if len(m.Keys) > 0 {
		record = &promises.Record{Holder: m.Holder, Keys: m.Keys, Reply: m.Reply}
	}
	// What finds no room is not acknowledged, and its holder goes on without this copy.
	p.journal.Add(m.Holder, row, record, func(err error) {
		if err == nil {
			p.send(word)
		}
	})
}

// do carries out what the holder wants.
func (p *Part) do(out promises.Output) {
	p.send(out.Send)
	for _, k := range out.Begin {
		p.tellWaits(k, true)
	}
	for _, k := range out.Reject {
		p.tellWaits(k, false)
	}
	if out.Short > 0 {
		p.opt.Log.Warn("promises: fewer copies than wanted", "short", out.Short, "begins", p.opt.Fewer)
	} else if out.Short == 0 && p.short > 0 {
		p.opt.Log.Info("promises: as many copies as wanted")
	}
	if out.Short >= 0 {
		p.short = out.Short
	}
	if e := out.Propose; e != nil {
		holder := p.holder
		p.settle(e, func(err error) {
			if p.holder == holder {
				was, _, _ := holder.Epoch()
				p.do(holder.ProposalResult(e, err))
				if epoch, copies, _ := holder.Epoch(); epoch != was {
					p.opt.Log.Info("promises: an epoch is settled", "epoch", epoch, "copies", names(copies))
				}
			}
		})
	}
	if out.Sealed {
		p.opt.Log.Warn("promises: sealed while nobody heard this process: what had not begun never will, and near ends meet another process")
		p.own.Incarnation = p.far.Renew()
		p.renew()
	}
}

func names(ids []members.ID) (all []string) {
	for _, id := range ids {
		all = append(all, id.Name)
	}
	return all
}

func (p *Part) tellWaits(k promises.Key, may bool) {
	if w := p.waits[k]; w != nil {
		delete(p.waits, k)
		w <- may
	}
}

func (p *Part) send(all []promises.Send) {
	for i := range all {
		if text, err := cbor.Marshal(&all[i].Msg); err == nil { // values only
			_ = p.opt.Fleet.Say(all[i].To, peers.Word{Topic: peers.TopicPromise, Body: text}) // what is lost is missed, and said again
		}
	}
}

// settle has the council settle an entry, in a goroutine of its own, and tells Run what came of it.
func (p *Part) settle(e *promises.Entry, done func(error)) {
	token := rand.Uint64() | 1 // two of one token count once: times of many that start together would do for that
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, 40*p.opt.Tick)
		defer cancel()
		a := p.opt.Council(ctx, seat.Call{Token: token, Do: seat.Hold, Hold: e})
		err := outcome(&a)
		select {
		case p.in <- func() { done(err) }:
		case <-p.ctx.Done():
		}
	}()
}

// outcome is what the council has said to an entry.
func outcome(a *seat.Answer) error {
	for _, err := range []error{promises.ErrSealed, promises.ErrEpoch, promises.ErrNoCopy} {
		if a.Error == err.Error() && !a.Again {
			return err
		}
	}
	if a.Error != "" || a.Again {
		return errors.New(a.Error)
	}
	return nil
}

// hear takes a word.
func (p *Part) hear(from members.ID, w *peers.Word) {
	switch w.Topic {
	case peers.TopicPromise:
		var m promises.Msg
		if cbor.Unmarshal(w.Body, &m) != nil || m.Check() != nil {
			return
		}
		switch m.Kind {
		case promises.Join, promises.Batch, promises.Answered:
			p.hold(from, &m)
		default:
			if p.holder != nil {
				p.do(p.holder.Receive(p.now(), from, &m))
			}
		}
	case peers.TopicAsk:
		var a ask
		if cbor.Unmarshal(w.Body, &a) != nil {
			return
		}
		number := w.Number
		p.answer(&a, func(v verdict) {
			if text, err := cbor.Marshal(&v); err == nil {
				_ = p.opt.Fleet.Say(from, peers.Word{Topic: peers.TopicVerdict, Number: number, Body: text}) // the near end asks again
			}
		})
	case peers.TopicVerdict:
		if q, known := p.asked[w.Number]; known {
			delete(p.asked, w.Number)
			var v verdict
			if cbor.Unmarshal(w.Body, &v) != nil || v.Word == promises.Replied && v.Reply == nil {
				v = verdict{}
			}
			q.tell(v)
		}
	}
}

// answer answers another agent's question.
func (p *Part) answer(a *ask, tell func(verdict)) {
	if a.Own {
		if p.far == nil || a.Holder != p.own {
			tell(verdict{}) // it is another process by now, and that one's word is no proof of the earlier's
			return
		}
		word, reply := p.far.Own(a.Key.Origin, a.Key.Incarnation, a.Key.Number)
		tell(verdict{Word: word, Reply: reply, Alive: true})
		return
	}
	p.question(a.Holder, a.Key, time.Duration(a.SinceUs)*time.Microsecond, tell)
}

// bring asks another agent.
func (p *Part) bring(to members.ID, a ask, ticks int, tell func(verdict)) {
	text, err := cbor.Marshal(&a)
	if err == nil {
		p.number++
		err = p.opt.Fleet.Say(to, peers.Word{Topic: peers.TopicAsk, Number: p.number, Body: text})
	}
	if err != nil {
		tell(verdict{})
		return
	}
	p.asked[p.number] = question{tell, p.ticks + ticks}
}

// patience is how many ticks a holder that is linked has to answer for itself.
const patience = 3

// question is asked of this agent as a copy: of the holder, while that is heard, else of what is held here
// once it is sealed.
func (p *Part) question(h promises.Holder, k promises.Key, since time.Duration, tell func(verdict)) {
	from, open := p.copies.ProcessOf(h)
	if !open {
		v, reply := p.copies.Query(h, k, since)
		tell(word(v, reply))
		return
	}
	heard := slices.ContainsFunc(p.view.Members, func(m members.Member) bool {
		return m.ID == from && m.Linked && m.State < members.Dead
	})
	if !heard || len(p.sealing[h]) > 0 {
		p.seal(h, k, since, tell)
		return
	}
	p.bring(from, ask{Holder: h, Key: k, Own: true}, patience, func(v verdict) {
		if v.Alive {
			tell(v)
			return
		}
		p.seal(h, k, since, tell)
	})
}

func word(v promises.Verdict, reply promises.Reply) verdict {
	if v == promises.Replied {
		return verdict{Word: v, Reply: &reply}
	}
	if v == promises.Pending {
		v = promises.Unknown
	}
	return verdict{Word: v}
}

// seal seals a holder and answers then.
func (p *Part) seal(h promises.Holder, k promises.Key, since time.Duration, tell func(verdict)) {
	began := p.now()
	if v, reply := p.copies.Query(h, k, since); v != promises.Pending {
		tell(word(v, reply))
		return
	}
	p.sealing[h] = append(p.sealing[h], sealed{k, since - began, tell})
	if len(p.sealing[h]) > 1 {
		return
	}
	p.sealAs(h, p.copies.Identities(h))
}

// sealAs has the council seal a holder by the first of these processes that is of its epoch, and answers then.
func (p *Part) sealAs(h promises.Holder, as []promises.Peer) {
	p.settle(&promises.Entry{Holder: h, By: as[0]}, func(err error) {
		if errors.Is(err, promises.ErrNoCopy) && len(as) > 1 {
			p.sealAs(h, as[1:])
			return
		}
		if p.copies.Sealed(h, err) {
			p.drop(h)
		}
		if err == nil {
			p.opt.Log.Warn("promises: a gateway that can't be heard is sealed", "holder", h.Name, "incarnation", h.Incarnation)
		}
		all := p.sealing[h]
		delete(p.sealing, h)
		for _, q := range all {
			v, reply := p.copies.Query(h, q.key, q.since+p.now())
			q.tell(word(v, reply))
		}
	})
}

// elsewhere brings a question to a copy, by the council's word of who that is.
func (p *Part) elsewhere(h promises.Holder, k promises.Key, since time.Duration, tell func(verdict)) {
	began := p.now()
	ask := ask{Holder: h, Key: k}
	bring := func() {
		for _, hold := range p.settled {
			if hold.Holder != h {
				continue
			}
			ask.SinceUs = uint64((since + p.now() - began).Microseconds())
			if id, there := p.stands(hold.Replicas); there {
				p.opt.Fleet.Wish("question", []string{id.Name})
				p.bring(id, ask, 40, tell)
				return
			}
		}
		tell(verdict{})
	}
	if time.Since(p.held) < 10*p.opt.Tick {
		bring()
		return
	}
	if p.asking = append(p.asking, bring); len(p.asking) > 1 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, 20*p.opt.Tick)
		defer cancel()
		a := p.opt.Council(ctx, seat.Call{Do: seat.Holds})
		select {
		case p.in <- func() {
			if a.Report != nil {
				p.settled, p.held = a.Report.Holds, time.Now()
			}
			all := p.asking
			p.asking = nil
			for _, do := range all {
				do()
			}
		}:
		case <-p.ctx.Done():
		}
	}()
}

// stands is a process that can answer for one of these copies: itself, else one that has its name now, and may have
// read what it has written.
func (p *Part) stands(copies []members.ID) (id members.ID, there bool) {
	for _, same := range []func(a, b members.ID) bool{
		func(a, b members.ID) bool { return a == b },
		func(a, b members.ID) bool { return a.Name == b.Name },
	} {
		for _, c := range copies {
			i := slices.IndexFunc(p.view.Members, func(m members.Member) bool {
				return same(m.ID, c) && m.State < members.Dead && m.Info.Holds && m.ID != p.view.Self
			})
			if i >= 0 {
				return p.view.Members[i].ID, true
			}
		}
	}
	return id, false
}

// Report is what an agent has of promises.
type Report struct {
	Journal  string                   `json:"journal"`          // where it holds for others, in words
	Holder   string                   `json:"holder,omitempty"` // this gateway; empty: it promises nothing
	Epoch    uint64                   `json:"epoch,omitempty"`
	Copies   []string                 `json:"copies,omitempty"`
	Settled  bool                     `json:"settled"`
	Promised int                      `json:"promised"` // that count
	Waits    int                      `json:"waits"`
	Held     []promises.ReplicaStatus `json:"held"` // for others
}

// Report tells what the agent has; ok: in time.
func (p *Part) Report(ctx context.Context) (r Report, ok bool) {
	out := make(chan Report, 1)
	if !p.post(func() {
		r := Report{Journal: p.disk.String(), Held: p.copies.All()}
		if p.holder != nil {
			epoch, copies, settled := p.holder.Epoch()
			r.Holder, r.Epoch, r.Copies, r.Settled, r.Promised, r.Waits = p.own.Name, epoch, names(copies), settled, p.holder.PromisedCount(), p.holder.WaitingCount()
		}
		out <- r
	}) {
		return r, false
	}
	select {
	case r = <-out:
		return r, true
	case <-ctx.Done():
		return r, false
	}
}

var _ gateway.Promises = (*Part)(nil)
