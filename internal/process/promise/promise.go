// Package promise replicates the promises of this agent's gateway (package promises) to other agents, stores replicas
// of other gateways' promises, and answers and forwards queries about them. Messages go over the links of the peers;
// epochs and seals go through the council. The rules are in decide/promises.
//
// The goroutine of Run owns all state. The exported methods may be used by any goroutine. Begin blocks its caller, at
// most until the deadline that it is given.
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

// Fleet is the agent's connection to its peers; peers.Peers implements it.
type Fleet interface {
	View() (members.View, time.Time)
	Say(to members.ID, w peers.Word) error
	Wish(who string, names []string)
	Set(change func(*members.Info))
}

// Options configures a Replicator.
type Options struct {
	Machine       string        // of this agent
	Zone          string        // of this agent
	Replicas      int           // wanted for the promises of this agent, if it has a far end
	AllowFewer    bool          // begin with fewer replicas if no more agents are available
	Retention     time.Duration // of records; longer than a request may be open
	MaxReplyBytes int           // limit of the replies held for other holders
	Folder        string        // persistent, of the journal; empty: replicas are in memory only
	Tick          time.Duration // a fraction of the period of the view
	Log           *slog.Logger
	// Set before Run.
	Fleet   Fleet
	Council func(ctx context.Context, c seat.Call) seat.Answer
}

// query asks what is known of a crossing, and queryResult is the response.
type query struct {
	_        struct{} `cbor:",toarray"`
	Holder   promises.Holder
	Key      promises.Key
	SinceUs  uint64
	AtHolder bool // the receiver is asked as the holder itself
}

type queryResult struct {
	_          struct{} `cbor:",toarray"`
	Verdict    promises.Verdict
	Reply      *promises.Reply
	FromHolder bool // the holder itself has answered
}

// journalState is the state of an agent's journal.
type journalState uint8

const (
	journalNone    journalState = iota // no folder is configured
	journalOpening                     // no replicas are accepted meanwhile
	journalOpen
	journalFailed // no more replicas are accepted; the present ones still answer queries
)

func (d journalState) String() string {
	return [...]string{"in memory", "its disk is being opened, nothing is held", "on disk", "its disk has FAILED, nothing more is held"}[d]
}

// Replicator holds an agent's promises and its replicas of others' promises.
type Replicator struct {
	opt    Options
	inputs chan func()
	ended  chan struct{}
	start  time.Time

	// Owned by Run.
	journalState        journalState
	journal             *journal.Journal // nil until it is open
	closed              chan struct{}    // closed when the journal's goroutine has ended
	openPending         bool             // an attempt to open it is in flight
	storesForOthers     bool             // as announced to the fleet
	ctx                 context.Context
	holder              *promises.Machine // nil: no gateway is attached
	own                 promises.Holder
	gateway             Gateway
	replicas            *promises.ReplicaStore
	waiters             map[promises.Key]chan bool // calls of Begin
	view                members.View
	ticks               int
	queryNumber         uint64
	pendingQueries      map[uint64]pendingQuery         // by number
	pendingSeals        map[promises.Holder][]sealQuery // queries that wait for a proposed seal
	replicaSets         []promises.ReplicaSet           // as the council last reported them
	replicaSetsAt       time.Time                       // time of that report
	awaitingReplicaSets []func()                        // queries that wait for the report
	shortfall           int                             // replicas missing when last reported
}

// pendingQuery is a query that was sent to another agent.
type pendingQuery struct {
	deliver  func(queryResult)
	deadline int // tick
}

// sealQuery is a query that waits for a seal.
type sealQuery struct {
	key     promises.Key
	since   time.Duration // age of the crossing's offer, less the Replicator's time at the query
	deliver func(queryResult)
}

// Gateway is the far end of the gateway links, whose begun crossings are promised.
type Gateway interface {
	// Own returns the verdict on a crossing in the holder's hands, with the same effect as a fence.
	Own(near string, inc, number uint64) (promises.Verdict, *promises.Reply)
	// Renew gives the far end a new incarnation towards the near ends and returns it.
	Renew() (inc uint64)
}

// New returns a Replicator, which Run drives.
func New(o Options) *Replicator {
	return &Replicator{opt: o, inputs: make(chan func(), 4096), ended: make(chan struct{}), start: time.Now(), replicas: promises.NewReplicaStore(o.Retention, o.MaxReplyBytes),
		waiters: map[promises.Key]chan bool{}, pendingQueries: map[uint64]pendingQuery{}, pendingSeals: map[promises.Holder][]sealQuery{}}
}

// Bind sets the fleet, the council and the tick; it must be called before Run.
func (p *Replicator) Bind(f Fleet, council func(ctx context.Context, c seat.Call) seat.Answer, tick time.Duration) {
	p.opt.Fleet, p.opt.Council, p.opt.Tick = f, council, tick
}

func (p *Replicator) now() time.Duration { return time.Since(p.start) }

// post passes a function to Run; it reports false if the queue is full or Run has ended.
func (p *Replicator) post(do func()) bool {
	select {
	case p.inputs <- do:
		return true
	case <-p.ended:
		return false
	default:
		return false
	}
}

// Attach makes this agent the holder for a gateway: from now on its crossings are promised before they begin. inc is
// the gateway's first incarnation.
func (p *Replicator) Attach(name string, inc uint64, gw Gateway) {
	p.post(func() {
		p.gateway, p.own = gw, promises.Holder{Name: name, Incarnation: inc}
		p.renew()
	})
}

// renew starts a new holder under the current incarnation.
func (p *Replicator) renew() {
	p.holder = promises.NewHolder(promises.Options{Me: p.own, Machine: p.opt.Machine, Zone: p.opt.Zone, Replicas: p.opt.Replicas, AllowFewer: p.opt.AllowFewer,
		Retention: p.opt.Retention, TimeoutTicks: 5})
}

// Begin promises that a crossing offered to the incarnation hinc of the far end begins, and waits for the replicas
// until the given time at most. It reports false if the crossing must not begin.
func (p *Replicator) Begin(hinc uint64, near string, inc, number uint64, until time.Time) bool {
	k := promises.Key{Origin: near, Incarnation: inc, Number: number}
	result := make(chan bool, 1)
	if !p.post(func() {
		if p.holder == nil || p.own.Incarnation != hinc {
			result <- false // offered to an earlier incarnation, whose replicas the near ends query
			return
		}
		p.resolveWaiter(k, false) // an earlier attempt that was cancelled meanwhile; its request goes elsewhere
		p.waiters[k] = result
		p.apply(p.holder.Begin(p.now(), k))
	}) {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case ok := <-result:
		return ok
	case <-timer.C:
	case <-p.ended:
	}
	p.post(func() {
		if p.waiters[k] == result {
			delete(p.waiters, k)
			p.holder.Cancel(k)
		}
	})
	return false
}

// Answered replicates the reply of a crossing. It does not block.
func (p *Replicator) Answered(near string, inc, number uint64, r promises.Reply) {
	p.post(func() {
		if p.holder != nil {
			p.send(p.holder.ReplicateReply(promises.Key{Origin: near, Incarnation: inc, Number: number}, r))
		}
	})
}

// Query finds out what is known of a crossing that was offered to another gateway the duration since ago. tell is
// called once, in another goroutine (or in the caller's if the Replicator is overloaded or has ended), and must not
// block.
func (p *Replicator) Query(holder string, hinc uint64, near string, inc, number uint64, since time.Duration, tell func(promises.Verdict, *promises.Reply)) {
	h, k := promises.Holder{Name: holder, Incarnation: hinc}, promises.Key{Origin: near, Incarnation: inc, Number: number}
	answer := func(v queryResult) { tell(v.Verdict, v.Reply) }
	if !p.post(func() {
		if _, held := p.replicas.ProcessOf(h); held || p.sealedHere(h) {
			p.queryReplica(h, k, since, answer)
			return
		}
		p.queryRemote(h, k, since, answer)
	}) {
		answer(queryResult{})
	}
}

func (p *Replicator) sealedHere(h promises.Holder) bool {
	return slices.ContainsFunc(p.replicas.All(), func(o promises.ReplicaStatus) bool { return o.Holder == h && o.Sealed })
}

// Receive passes a peer's message to Run, without blocking, and reports whether its topic belongs to this package.
func (p *Replicator) Receive(from members.ID, w peers.Word) (handled bool) {
	if w.Topic < peers.TopicPromise || w.Topic > peers.TopicVerdict {
		return false
	}
	p.post(func() { p.handleMessage(from, &w) })
	return true
}

// Run processes ticks and inputs until the context ends.
func (p *Replicator) Run(ctx context.Context) {
	defer close(p.ended)
	p.ctx = ctx
	p.view, _ = p.opt.Fleet.View()
	if p.opt.Folder != "" {
		p.journalState = journalOpening
	}
	defer func() {
		if p.journal != nil {
			<-p.closed // all acknowledged records are on disk, and the next process can open the file
		}
	}()
	tick := time.NewTicker(p.opt.Tick)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.tick()
		case do := <-p.inputs:
			do()
		case <-ctx.Done():
			return
		}
	}
}

// tick advances the time by one tick.
func (p *Replicator) tick() {
	p.ticks++
	p.view, _ = p.opt.Fleet.View()
	for n, q := range p.pendingQueries {
		if q.deadline < p.ticks {
			delete(p.pendingQueries, n)
			q.deliver(queryResult{})
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
		p.dropRows(p.replicas.Expire(p.now(), func(id promises.Peer) bool { return runs[id] })...)
	}
	if p.journalState == journalOpening && !p.openPending && p.ticks%10 == 1 {
		p.open()
	}
	if p.journalState == journalOpen {
		if err := p.journal.Err(); err != nil {
			p.fail(err)
		}
	}
	if stores := p.journalState == journalNone || p.journalState == journalOpen; stores != p.storesForOthers {
		p.storesForOthers = stores
		p.opt.Fleet.Set(func(i *members.Info) { i.Holds = stores })
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
	p.apply(p.holder.Tick(p.now(), council, all))
	var names []string
	if _, replicas, _ := p.holder.Epoch(); len(replicas) > 0 {
		for _, id := range replicas {
			names = append(names, id.Name)
		}
	}
	for _, h := range p.replicas.All() { // links to holders, so that a query can be forwarded to them
		if from, found := p.replicas.ProcessOf(h.Holder); found {
			names = append(names, from.Name)
		}
	}
	p.opt.Fleet.Wish("promises", names)
}

// open opens the journal in a goroutine of its own: a process that ran before may still have it open.
func (p *Replicator) open() {
	p.openPending = true
	go func() {
		type kept struct {
			of  promises.Holder
			row *promises.Row
		}
		var rows []kept
		var records []*promises.Record
		j, err := journal.Open(p.opt.Folder, p.opt.Retention, func(h promises.Holder, r *promises.Row) { rows = append(rows, kept{h, r}) },
			func(r *promises.Record) { records = append(records, r) })
		closed := make(chan struct{})
		if err == nil {
			go func() { defer close(closed); j.Run(p.ctx.Done()) }()
		}
		select {
		case p.inputs <- func() {
			switch p.openPending = false; {
			case errors.Is(err, store.ErrLocked):
				return // the next attempt follows shortly
			case err != nil:
				p.fail(err)
				return
			}
			for _, k := range rows {
				p.replicas.RestoreRow(p.now(), k.of, k.row)
			}
			for _, r := range records {
				p.replicas.RestoreRecord(p.now(), r)
			}
			p.journalState, p.journal, p.closed = journalOpen, j, closed
			p.opt.Log.Info("promises: journal read", "holders", len(rows), "records", len(records))
		}:
		case <-p.ctx.Done():
			if err == nil {
				<-closed
			}
		}
	}()
}

// fail records that the journal has failed.
func (p *Replicator) fail(err error) {
	if p.journalState != journalFailed {
		p.journalState = journalFailed
		p.opt.Log.Error("promises: journal failed, no more replicas are accepted and the agent serves on; check the folder", "folder", p.opt.Folder, "err", err)
	}
}

// dropRows deletes the rows of holders from the journal.
func (p *Replicator) dropRows(all ...promises.Holder) {
	if p.journalState == journalOpen {
		for _, h := range all {
			p.journal.Drop(h)
		}
	}
}

// store processes a holder's message and acknowledges it once it is written to the journal, if there is one.
func (p *Replicator) store(from members.ID, m *promises.Msg) {
	if p.journalState == journalOpening || p.journalState == journalFailed {
		if m.Kind != promises.Answered {
			p.send([]promises.Send{{To: from, Msg: promises.Msg{Kind: promises.Nack, Holder: m.Holder, Epoch: m.Epoch, Seq: m.Seq}}})
			return
		}
	}
	reply, ok := p.replicas.Receive(p.now(), p.view.Self, from, m)
	acks := []promises.Send{{To: from, Msg: reply}}
	if !ok {
		acks = nil
	}
	writes := reply.Kind == promises.Joined || reply.Kind == promises.Ack || m.Kind == promises.Answered
	if p.journalState != journalOpen || !writes {
		p.send(acks)
		return
	}
	var row *promises.Row
	if m.Kind == promises.Join {
		r := p.replicas.Row(m.Holder)
		row = &r
	}
	var record *promises.Record
	if len(m.Keys) > 0 {
		record = &promises.Record{Holder: m.Holder, Keys: m.Keys, Reply: m.Reply}
	}
	// A record for which the queue has no room is not acknowledged, and its holder continues without this replica.
	p.journal.Add(m.Holder, row, record, func(err error) {
		if err == nil {
			p.send(acks)
		}
	})
}

// apply carries out the output of the holder.
func (p *Replicator) apply(out promises.Output) {
	p.send(out.Send)
	for _, k := range out.Begin {
		p.resolveWaiter(k, true)
	}
	for _, k := range out.Reject {
		p.resolveWaiter(k, false)
	}
	if out.Short > 0 {
		p.opt.Log.Warn("promises: fewer replicas than wanted", "short", out.Short, "begins", p.opt.AllowFewer)
	} else if out.Short == 0 && p.shortfall > 0 {
		p.opt.Log.Info("promises: as many replicas as wanted")
	}
	if out.Short >= 0 {
		p.shortfall = out.Short
	}
	if e := out.Propose; e != nil {
		holder := p.holder
		p.propose(e, func(err error) {
			if p.holder == holder {
				was, _, _ := holder.Epoch()
				p.apply(holder.ProposalResult(e, err))
				if epoch, copies, _ := holder.Epoch(); epoch != was {
					p.opt.Log.Info("promises: epoch committed", "epoch", epoch, "copies", names(copies))
				}
			}
		})
	}
	if out.Sealed {
		p.opt.Log.Warn("promises: sealed while this process was unreachable: crossings not begun are rejected, continuing as a new incarnation")
		p.own.Incarnation = p.gateway.Renew()
		p.renew()
	}
}

func names(ids []members.ID) (all []string) {
	for _, id := range ids {
		all = append(all, id.Name)
	}
	return all
}

// resolveWaiter passes the decision on a crossing to its Begin call, if one waits.
func (p *Replicator) resolveWaiter(k promises.Key, begin bool) {
	if w := p.waiters[k]; w != nil {
		delete(p.waiters, k)
		w <- begin
	}
}

// send sends messages to the peers.
func (p *Replicator) send(all []promises.Send) {
	for i := range all {
		if text, err := cbor.Marshal(&all[i].Msg); err == nil { // cannot fail: plain values only
			// The holder repeats a message that is lost.
			_ = p.opt.Fleet.Say(all[i].To, peers.Word{Topic: peers.TopicPromise, Body: text})
		}
	}
}

// propose proposes an entry to the council in a goroutine of its own, and passes the result to Run.
func (p *Replicator) propose(e *promises.Entry, done func(error)) {
	// Tokens are random: with tokens from the clock, agents that start together would draw equal ones, and only one of
	// their calls would count.
	token := rand.Uint64() | 1
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, 40*p.opt.Tick)
		defer cancel()
		a := p.opt.Council(ctx, seat.Call{Token: token, Operation: seat.ProposePromise, Promise: e})
		err := proposalError(&a)
		select {
		case p.inputs <- func() { done(err) }:
		case <-p.ctx.Done():
		}
	}()
}

// proposalError returns the error in the council's answer to an entry.
func proposalError(a *seat.Answer) error {
	for _, err := range []error{promises.ErrSealed, promises.ErrEpoch, promises.ErrNoCopy} {
		if a.Error == err.Error() && !a.Retryable {
			return err
		}
	}
	if a.Error != "" || a.Retryable {
		return errors.New(a.Error)
	}
	return nil
}

// handleMessage processes a peer's message.
func (p *Replicator) handleMessage(from members.ID, w *peers.Word) {
	switch w.Topic {
	case peers.TopicPromise:
		var m promises.Msg
		if cbor.Unmarshal(w.Body, &m) != nil || m.Check() != nil {
			return
		}
		switch m.Kind {
		case promises.Join, promises.Batch, promises.Answered:
			p.store(from, &m)
		default:
			if p.holder != nil {
				p.apply(p.holder.Receive(p.now(), from, &m))
			}
		}
	case peers.TopicAsk:
		var a query
		if cbor.Unmarshal(w.Body, &a) != nil {
			return
		}
		number := w.Number
		p.answerQuery(&a, func(v queryResult) {
			if text, err := cbor.Marshal(&v); err == nil {
				// The near end repeats the query if the response is lost.
				_ = p.opt.Fleet.Say(from, peers.Word{Topic: peers.TopicVerdict, Number: number, Body: text})
			}
		})
	case peers.TopicVerdict:
		if q, known := p.pendingQueries[w.Number]; known {
			delete(p.pendingQueries, w.Number)
			var v queryResult
			if cbor.Unmarshal(w.Body, &v) != nil || v.Verdict == promises.Replied && v.Reply == nil {
				v = queryResult{}
			}
			q.deliver(v)
		}
	}
}

// answerQuery answers another agent's query.
func (p *Replicator) answerQuery(a *query, tell func(queryResult)) {
	if a.AtHolder {
		if p.gateway == nil || a.Holder != p.own {
			tell(queryResult{}) // a later incarnation can't answer for the earlier one
			return
		}
		verdict, reply := p.gateway.Own(a.Key.Origin, a.Key.Incarnation, a.Key.Number)
		tell(queryResult{Verdict: verdict, Reply: reply, FromHolder: true})
		return
	}
	p.queryReplica(a.Holder, a.Key, time.Duration(a.SinceUs)*time.Microsecond, tell)
}

// sendQuery sends a query to another agent; without a response within ticks, the result is the zero queryResult.
func (p *Replicator) sendQuery(to members.ID, a query, ticks int, tell func(queryResult)) {
	text, err := cbor.Marshal(&a)
	if err == nil {
		p.queryNumber++
		err = p.opt.Fleet.Say(to, peers.Word{Topic: peers.TopicAsk, Number: p.queryNumber, Body: text})
	}
	if err != nil {
		tell(queryResult{})
		return
	}
	p.pendingQueries[p.queryNumber] = pendingQuery{tell, p.ticks + ticks}
}

// holderTimeoutTicks is how long a linked holder has to answer a query itself.
const holderTimeoutTicks = 3

// queryReplica answers a query from the replica of this agent. If the holder is not sealed, it asks the holder first;
// if that is unreachable or does not answer, it has the holder sealed and answers from the replica then.
func (p *Replicator) queryReplica(h promises.Holder, k promises.Key, since time.Duration, tell func(queryResult)) {
	from, open := p.replicas.ProcessOf(h)
	if !open {
		v, reply := p.replicas.Query(h, k, since)
		tell(resultOf(v, reply))
		return
	}
	reachable := slices.ContainsFunc(p.view.Members, func(m members.Member) bool {
		return m.ID == from && m.Linked && m.State < members.Dead
	})
	if !reachable || len(p.pendingSeals[h]) > 0 {
		p.seal(h, k, since, tell)
		return
	}
	p.sendQuery(from, query{Holder: h, Key: k, AtHolder: true}, holderTimeoutTicks, func(v queryResult) {
		if v.FromHolder {
			tell(v)
			return
		}
		p.seal(h, k, since, tell)
	})
}

// resultOf returns the result for a verdict of a replica. A verdict that is still pending counts as unknown.
func resultOf(v promises.Verdict, reply promises.Reply) queryResult {
	if v == promises.Replied {
		return queryResult{Verdict: v, Reply: &reply}
	}
	if v == promises.Pending {
		v = promises.Unknown
	}
	return queryResult{Verdict: v}
}

// seal has a holder sealed by the council and answers the query then.
func (p *Replicator) seal(h promises.Holder, k promises.Key, since time.Duration, tell func(queryResult)) {
	began := p.now()
	if v, reply := p.replicas.Query(h, k, since); v != promises.Pending {
		tell(resultOf(v, reply))
		return
	}
	p.pendingSeals[h] = append(p.pendingSeals[h], sealQuery{k, since - began, tell})
	if len(p.pendingSeals[h]) > 1 {
		return
	}
	p.proposeSeal(h, p.replicas.Identities(h))
}

// proposeSeal proposes the seal under each of these identities, until the council accepts one as a replica of the
// epoch, and answers the waiting queries.
func (p *Replicator) proposeSeal(h promises.Holder, identities []promises.Peer) {
	p.propose(&promises.Entry{Holder: h, By: identities[0]}, func(err error) {
		if errors.Is(err, promises.ErrNoCopy) && len(identities) > 1 {
			p.proposeSeal(h, identities[1:])
			return
		}
		if p.replicas.Sealed(h, err) {
			p.dropRows(h)
		}
		if err == nil {
			p.opt.Log.Warn("promises: unreachable gateway is sealed", "holder", h.Name, "incarnation", h.Incarnation)
		}
		all := p.pendingSeals[h]
		delete(p.pendingSeals, h)
		for _, q := range all {
			v, reply := p.replicas.Query(h, q.key, q.since+p.now())
			q.deliver(resultOf(v, reply))
		}
	})
}

// queryRemote sends a query to an agent that has a replica, by the replica sets that the council has committed.
func (p *Replicator) queryRemote(h promises.Holder, k promises.Key, since time.Duration, tell func(queryResult)) {
	began := p.now()
	request := query{Holder: h, Key: k}
	send := func() {
		for _, set := range p.replicaSets {
			if set.Holder != h {
				continue
			}
			request.SinceUs = uint64((since + p.now() - began).Microseconds())
			if id, found := p.replicaProcess(set.Replicas); found {
				p.opt.Fleet.Wish("question", []string{id.Name})
				p.sendQuery(id, request, 40, tell)
				return
			}
		}
		tell(queryResult{})
	}
	if time.Since(p.replicaSetsAt) < 10*p.opt.Tick {
		send()
		return
	}
	if p.awaitingReplicaSets = append(p.awaitingReplicaSets, send); len(p.awaitingReplicaSets) > 1 {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(p.ctx, 20*p.opt.Tick)
		defer cancel()
		a := p.opt.Council(ctx, seat.Call{Operation: seat.ReplicaSets})
		select {
		case p.inputs <- func() {
			if a.Report != nil {
				p.replicaSets, p.replicaSetsAt = a.Report.ReplicaSets, time.Now()
			}
			all := p.awaitingReplicaSets
			p.awaitingReplicaSets = nil
			for _, do := range all {
				do()
			}
		}:
		case <-p.ctx.Done():
		}
	}()
}

// replicaProcess returns a live process that can answer for one of these replicas: the process itself, else one that
// has the same name now and may have read its journal.
func (p *Replicator) replicaProcess(replicas []members.ID) (id members.ID, found bool) {
	for _, same := range []func(a, b members.ID) bool{
		func(a, b members.ID) bool { return a == b },
		func(a, b members.ID) bool { return a.Name == b.Name },
	} {
		for _, c := range replicas {
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

// Report is the state of an agent's promises.
type Report struct {
	Journal        string                   `json:"journal"`          // state of the journal, as text
	Holder         string                   `json:"holder,omitempty"` // name of this gateway; empty: none is attached
	Epoch          uint64                   `json:"epoch,omitempty"`
	HolderReplicas []string                 `json:"copies,omitempty"`
	EpochActive    bool                     `json:"settled"`
	PromisedCount  int                      `json:"promised"` // crossings that have begun and are still retained
	WaitingCount   int                      `json:"waits"`
	Replicas       []promises.ReplicaStatus `json:"held"` // held for other holders
}

// Report returns the current state; ok is false if the context ended first or the queue is full.
func (p *Replicator) Report(ctx context.Context) (r Report, ok bool) {
	out := make(chan Report, 1)
	if !p.post(func() {
		r := Report{Journal: p.journalState.String(), Replicas: p.replicas.All()}
		if p.holder != nil {
			epoch, copies, settled := p.holder.Epoch()
			r.Holder, r.Epoch, r.HolderReplicas, r.EpochActive, r.PromisedCount, r.WaitingCount = p.own.Name, epoch, names(copies), settled, p.holder.PromisedCount(), p.holder.WaitingCount()
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

var _ gateway.Promises = (*Replicator)(nil)
