package agent

import (
	"context"
	"log/slog"
	"net"
	"runtime/debug"
	"sync/atomic"
	"time"

	"molepaddle/internal/cluster"
	"molepaddle/internal/settings"
	"molepaddle/policy"
)

// inKind tells what happened.
type inKind uint8

// What may come in to the loop.
const (
	inRequest    inKind = iota // req
	inDropped                  // req: its handler answers or waits no longer
	inOutcome                  // att, res
	inTimer                    // token
	inFetched                  // list or err, gen
	inWatched                  // list, gen
	inWatchEnded               // err, gen
	inReload                   // text: the address of discovery
)

// duplicate is the answer to a request whose id came before.
const duplicate policy.Status = 1

// input is one thing that happened, on its way to the loop.
type input struct {
	kind  inKind
	req   *request
	att   *attempt
	res   result
	token uint32
	list  List
	err   error
	gen   int // of the discovery that was asked
	text  string
}

// request is what a client asked. The handler fills it in; what stands below
// answers belongs to the loop.
type request struct {
	class       int
	tenant      int
	key         uint64
	hintMs      float64
	hasHint     bool
	retry       bool
	deadline    time.Time
	method      string
	target      string // path and query, as they came
	host        string
	wireID      string
	idempotency string
	kind        string
	body        []byte
	answers     chan answer // room for the one that is sent

	id       policy.RequestID
	answered bool
	attempts []*attempt
	open     int
}

// answer is the final answer to a request.
type answer struct {
	status     policy.Status // OK: served; Full: refused; Error: failed; duplicate
	body       []byte
	kind       string
	retryAfter time.Duration
}

// loop owns the Balancer: one goroutine hands it what happens, in order, and
// carries out what it decides. Nothing in it blocks.
type loop struct {
	bal      *policy.Balancer
	set      *settings.Settings
	names    *names
	log      *slog.Logger
	in       chan input
	todo     []input // what the loop itself gave rise to, to be handled next
	base     time.Time
	baseMs   float64
	pool     *pool
	disc     *discovery
	requests map[policy.RequestID]*request
	backends map[cluster.Addr]*backend
	nextID   policy.RequestID
	ids      *idMemory
	seq      int64 // version of the list at hand; 0 after a change of discovery
	watching bool
	fetching bool
	actions  []policy.Action
	ready    atomic.Bool // a backend can be sent to
	ctx      context.Context
}

func newLoop(ctx context.Context, c *Config, log *slog.Logger) (*loop, error) {
	set := c.Settings
	if most := openRequests(c.Limits.Sockets); set.Limits.OpenCap <= 0 || set.Limits.OpenCap > most {
		set.Limits.OpenCap = most
	}
	bal, err := policy.New(set, c.Seed)
	if err != nil {
		return nil, err
	}
	// The module's clock is the Unix time of the start, then monotonic: born_ms needs
	// no translation, and steps of the system's clock don't show.
	base := time.Now()
	connect := ms(c.Settings.Limits.ConnectTimeoutMs)
	if connect <= 0 {
		connect = time.Second
	}
	l := &loop{bal: bal, set: &set, names: &c.Names, log: log, ctx: ctx,
		// Room for all that can be under way at once: a handler must not wait here
		// while its guard is not yet set.
		in: make(chan input, 4*c.Limits.Sockets), base: base, baseMs: float64(base.UnixMicro()) / 1000,
		requests: map[policy.RequestID]*request{}, backends: map[cluster.Addr]*backend{},
		pool: newPool((&net.Dialer{KeepAlive: -1}).DialContext, connect,
			ms(c.Settings.Limits.KeepaliveMs/2), backendSockets(c.Limits.Sockets))}
	longest := 0.0
	for _, class := range set.Classes {
		longest = max(longest, class.GiveUpMs)
	}
	l.ids = newIDMemory(ms(longest) + time.Second) // longer than any request is open
	l.disc = newDiscovery(ctx, c.Discovery, 0, l.post)
	l.actions = l.bal.Start(l.clock(), l.actions[:0])
	l.act()
	l.learn(cluster.ListCached, &c.Known)
	return l, nil
}

func ms(x float64) time.Duration { return time.Duration(x * float64(time.Millisecond)) }

func (l *loop) clock() float64 {
	return l.baseMs + float64(time.Since(l.base))/float64(time.Millisecond)
}

// post hands the loop something that happened. It waits while the queue is full and
// returns at once when the loop has ended.
func (l *loop) post(in input) {
	select {
	case l.in <- in:
	case <-l.ctx.Done():
	}
}

// run handles what comes in until the context ends.
func (l *loop) run() {
	for {
		select {
		case in := <-l.in:
			l.handle(in)
			for len(l.todo) > 0 {
				in, l.todo = l.todo[0], l.todo[1:]
				l.handle(in)
			}
		case <-l.ctx.Done():
			return
		}
	}
}

// handle takes one input. A panic costs the request at hand its decision, and its
// guard answers it: one bad event must not take down all that the agent holds.
func (l *loop) handle(in input) {
	defer func() {
		if p := recover(); p != nil {
			l.log.Error("panic in the loop", "input", in.kind, "panic", p, "stack", string(debug.Stack()))
		}
	}()
	switch in.kind {
	case inRequest:
		l.onRequest(in.req)
	case inDropped:
		if r := in.req; r.id != 0 && !r.answered {
			r.answered = true
			l.tell(&policy.Event{Kind: policy.EvDropped, Request: r.id})
			l.forget(r)
		}
	case inOutcome:
		l.onOutcome(in.att, &in.res)
	case inTimer:
		l.tell(&policy.Event{Kind: policy.EvTimer, Token: in.token})
	case inReload:
		l.reload(in.text)
	case inFetched, inWatched, inWatchEnded:
		if in.gen == l.disc.gen { // else of a discovery that is asked no more
			l.onDiscovery(&in)
		}
	}
}

func (l *loop) onDiscovery(in *input) {
	switch in.kind {
	case inFetched:
		l.fetching = false
		switch {
		case in.err != nil:
			l.log.Warn("discovery: fetch failed", "err", in.err)
			l.tell(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
		case in.list.Seq >= l.seq: // the watch may have told more meanwhile
			l.learn(cluster.ListFull, &in.list)
		}
	case inWatched:
		switch {
		case in.list.Whole:
			l.learn(cluster.ListFull, &in.list)
		case in.list.Seq > l.seq:
			l.learn(cluster.ListDelta, &in.list)
		}
	case inWatchEnded:
		l.watching = false
		l.log.Warn("discovery: watch ended", "err", in.err)
		l.tell(&policy.Event{Kind: policy.EvList, List: cluster.ListFailed})
	}
}

// reload turns to another discovery: the old one's calls end and their results no
// longer count, the new one is asked for all that it knows, at once. Until it tells, the
// list at hand and all connections stay. Its versions have nothing to do with the old.
func (l *loop) reload(addr string) {
	if addr == l.disc.addr {
		return
	}
	l.log.Info("discovery: changed", "from", l.disc.addr, "to", addr)
	l.disc.close()
	l.disc = newDiscovery(l.ctx, addr, l.disc.gen+1, l.post)
	l.seq, l.fetching, l.watching = 0, true, true
	go l.disc.fetch(true)
	go l.disc.watch(0, true)
}

// tell hands the module one event and carries out what it decides.
func (l *loop) tell(ev *policy.Event) {
	l.actions = l.bal.Handle(l.clock(), ev, l.actions[:0])
	l.act()
}

func (l *loop) onRequest(r *request) {
	if !l.ids.add(r.wireID, time.Now()) {
		l.answer(r, answer{status: duplicate})
		return
	}
	l.nextID++
	if l.nextID == 0 {
		l.nextID++
	}
	r.id = l.nextID
	l.requests[r.id] = r
	l.tell(&policy.Event{Kind: policy.EvRequest, Request: r.id, Class: r.class, Tenant: r.tenant,
		Key: r.key, LeftMs: float64(time.Until(r.deadline)) / float64(time.Millisecond),
		HintMs: r.hintMs, HasHint: r.hasHint, Retry: r.retry})
}

func (l *loop) onOutcome(a *attempt, res *result) {
	r, b := a.req, a.backend
	delete(b.attempts, a)
	l.drop(b)
	r.open--
	if res.broken != nil {
		l.log.Error("attempt ended", "err", res.broken)
	}
	if res.status == policy.OK {
		l.answer(r, answer{status: policy.OK, body: res.body, kind: res.kind})
	}
	if res.status == policy.Timeout {
		// The machine may have vanished; its other connections would be as silent.
		b.group.closeIdle()
	}
	l.tell(&policy.Event{Kind: policy.EvOutcome, Request: r.id, Attempt: a.index, Server: b.addr,
		Status: res.status, LatencyMs: float64(res.took) / float64(time.Millisecond),
		Final: r.answered, Report: report(res.load, l.set.Report.Names)})
	l.forget(r)
}

// answer gives a request its final answer, unless it has one.
func (l *loop) answer(r *request, a answer) {
	if !r.answered {
		r.answered = true
		r.answers <- a
	}
}

// forget drops a request that is answered and has no attempt out.
func (l *loop) forget(r *request) {
	if r.answered && r.open == 0 {
		delete(l.requests, r.id)
	}
}

// act carries out the module's actions in their order.
func (l *loop) act() {
	for i := range l.actions {
		act := &l.actions[i]
		r := l.requests[act.Request]
		switch act.Kind {
		case policy.ActSend:
			if r != nil {
				l.send(r, act)
			}
		case policy.ActCancel:
			if r != nil && act.Attempt >= 0 && act.Attempt < len(r.attempts) {
				r.attempts[act.Attempt].cancel(errCancelled)
			}
		case policy.ActRefuse:
			if r != nil {
				l.answer(r, answer{status: policy.Full, retryAfter: ms(act.Ms)})
				l.forget(r)
			}
		case policy.ActFail:
			if r != nil {
				l.answer(r, answer{status: policy.Error})
				l.forget(r)
			}
		case policy.ActTimer:
			token := act.Token
			time.AfterFunc(ms(act.Ms), func() { l.post(input{kind: inTimer, token: token}) })
		case policy.ActFollow:
			if !l.watching {
				l.watching = true
				go l.disc.watch(l.seq, false)
			}
		case policy.ActFetch:
			if !l.fetching {
				l.fetching = true
				go l.disc.fetch(false)
			}
		case policy.ActClose:
			if b := l.backends[act.Server]; b != nil {
				b.group.closeIdle()
			}
		case policy.ActLog:
			l.log.Info(act.Text)
		}
	}
}

// send starts an attempt.
func (l *loop) send(r *request, act *policy.Action) {
	b := l.backends[act.Server]
	if b == nil {
		b = &backend{addr: act.Server, group: l.pool.group("")}
	}
	a := &attempt{req: r, index: len(r.attempts), backend: b, group: b.group, started: time.Now()}
	ctx, cancel := context.WithCancelCause(l.ctx)
	var stop context.CancelFunc
	a.ctx, stop = context.WithTimeout(ctx, ms(act.Ms))
	a.cancel = func(cause error) {
		cancel(cause)
		stop()
	}
	r.attempts = append(r.attempts, a)
	r.open++
	if !b.usable || r.answered {
		// The module sends to what is listed as ready only; should it not, nothing goes out.
		a.cancel(nil)
		l.todo = append(l.todo, input{kind: inOutcome, att: a, res: result{status: policy.Moot}})
		return
	}
	b.attempts[a] = struct{}{}
	go func() { l.post(input{kind: inOutcome, att: a, res: a.run()}) }()
}

// learn applies a list: to the connections first, then the module is told.
func (l *loop) learn(kind cluster.ListKind, list *List) {
	l.seq = list.Seq
	entries := make([]cluster.Entry, len(list.Hosts))
	named := map[cluster.Addr]bool{}
	for i := range list.Hosts {
		h := &list.Hosts[i]
		entries[i] = l.names.entry(h)
		addr := entries[i].Server
		named[addr] = true
		b := l.backends[addr]
		if b == nil {
			if entries[i].Health == cluster.Gone {
				continue
			}
			b = &backend{addr: addr, attempts: map[*attempt]struct{}{}}
			l.backends[addr] = b
		}
		if entries[i].Health != cluster.Gone && (b.group == nil || b.group.dial != h.Dial || b.bornMs != h.BornMs) {
			// Connections to another address or to the process before are of no use, and
			// what has not begun there must not.
			if b.group != nil {
				b.withdraw()
				b.group.retire()
			}
			b.bornMs, b.group = h.BornMs, l.pool.group(h.Dial)
		}
		b.usable = entries[i].Health == cluster.Ready
	}
	for addr, b := range l.backends {
		if kind != cluster.ListDelta && !named[addr] {
			b.usable = false
		}
		if !b.usable {
			b.withdraw()
		}
		l.drop(b)
	}
	l.tell(&policy.Event{Kind: policy.EvList, List: kind, Entries: entries})
	usable := false
	for _, b := range l.backends {
		usable = usable || b.usable
	}
	l.ready.Store(usable)
}

// withdraw stops the attempts of which no byte has gone out, and closes the connections
// that stand idle: a backend that drains, is gone or is another now gets nothing more.
func (b *backend) withdraw() {
	for a := range b.attempts {
		if a.withdraw() {
			a.cancel(errDrained)
		}
	}
	b.group.closeIdle()
}

// drop forgets a backend that is not to be sent to and has no attempt out.
func (l *loop) drop(b *backend) {
	if !b.usable && len(b.attempts) == 0 {
		b.group.retire()
		if l.backends[b.addr] == b {
			delete(l.backends, b.addr)
		}
	}
}
