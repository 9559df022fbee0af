// Package peers runs one agent's membership view (package members) over links to other agents: it
// listens, dials the members that the view asks for, carries messages, and drives the view's periodic
// work.
//
// One lock guards the view and the set of links. One goroutine accepts connections, one runs the
// periods, and each link has a reader and a writer. The queue of messages to each link is bounded in
// bytes; the oldest messages are dropped first, which is safe as views that differ are compared again.
package peers

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/protocol/link"
	"molepaddle/internal/protocol/linkwire"
)

// Seed is a peer whose address is configured.
type Seed struct {
	Name    string // name in its certificate
	Address string
}

// Options configures an agent's end of its links to peers.
type Options struct {
	Members members.Options // its Seeds are those below
	Seeds   []Seed
	Seed    uint64
	Conns   int // limit of concurrent connections
	Queue   int // limit of the bytes queued to one link
	// Dial opens a connection; nil: from the listener's own address, so that peers can identify
	// the source.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Client and Server return the TLS configuration for each dialled or accepted link; nil: no TLS.
	Client func(peer string) *tls.Config
	Server func() *tls.Config
	// Self returns the state and load of the process. It is called once per period and must not block.
	Self func() (process string, load float64)
	// OnCount is called with the number of agents that share the fleet's limits and this agent's rank
	// among them, when either changes; nil: not called.
	OnCount func(agents, rank int)
	// OnWord is called with each word from a peer, in the order in which they arrive on its link. It must not
	// block; nil: words are ignored.
	OnWord func(from members.ID, w Word)
	// OnPeriod is called once per period, after the view has processed it; nil: not called.
	OnPeriod func()
	// OnAvoid is called with the names of the gateways to avoid, when they change; nil: not called.
	OnAvoid func(names []string)
	Log     *slog.Logger
}

// Word is an application message from one peer to another.
type Word struct {
	Topic  uint64
	Number uint64
	Body   []byte // at most MaxWord bytes
}

// The topics of words: for the council and its members, and for replicated promises.
const (
	TopicCouncil = iota
	TopicCall
	TopicAnswer
	TopicPromise
	TopicAsk
	TopicVerdict
)

// MaxWord is the limit of a Word's body in bytes: a council's snapshot has to fit.
const MaxWord = 8 << 20

// ErrQueueFull is returned by Say if there is no link to the process, its queue is full, or the body is
// over MaxWord.
var ErrQueueFull = errors.New("peers: no link, or its queue is full")

// maxEvents is the number of latest changes that are kept for operators.
const maxEvents = 256

// Event is a change of the view as shown to operators.
type Event struct {
	At    time.Time `json:"at"`
	State string    `json:"state"`
	Who   []string  `json:"who"`
	Why   string    `json:"why"`
}

// Peers is one agent's end of its links to peers.
type Peers struct {
	opt           Options
	clock         link.Clock
	start         time.Time
	acceptLimiter *rate.Limiter
	wg            sync.WaitGroup
	stop          context.CancelFunc
	ctx           context.Context

	mu             sync.Mutex
	view           *members.Machine
	links          map[members.ID]*peer
	conns          map[net.Conn]bool
	dialing        map[string]bool
	requestedLinks map[string][]string
	flush          *time.Timer
	events         []Event
	closed         bool
}

// peer is one link.
type peer struct {
	id     members.ID
	conn   *link.Conn
	dialer string // the name of the end that dialled

	mu          sync.Mutex
	queue       []*linkwire.News
	queuedBytes int
	words       []Word // queued words; parts of the first may have been written
	wordBytes   int    // bytes of their bodies not yet written

	incoming *Word // partly received word; used by the reader only
}

// New returns an agent's end; Serve runs it.
func New(o Options) *Peers {
	p := &Peers{
		opt:            o,
		clock:          link.NewClock(),
		start:          time.Now(),
		acceptLimiter:  rate.NewLimiter(rate.Limit(200), 200),
		links:          map[members.ID]*peer{},
		conns:          map[net.Conn]bool{},
		dialing:        map[string]bool{},
		requestedLinks: map[string][]string{},
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	for _, s := range o.Seeds {
		p.opt.Members.Seeds = append(p.opt.Members.Seeds, s.Address)
	}
	if p.opt.Members.Period == 0 {
		p.opt.Members.Period = members.Default().Period
	}
	p.view = members.New(p.opt.Members, o.Seed)
	return p
}

// Name returns the name of this process.
func (p *Peers) Name() string { return p.opt.Members.ID.Name }

// Period returns the view's period.
func (p *Peers) Period() time.Duration { return p.opt.Members.Period }

func (p *Peers) now() time.Duration { return time.Since(p.start) }

// Serve accepts links on the listener and runs the view until Leave or Close, or until the listener
// fails.
func (p *Peers) Serve(ln net.Listener) error {
	if p.opt.Dial == nil {
		dialer := net.Dialer{KeepAlive: -1}
		if a, ok := ln.Addr().(*net.TCPAddr); ok && !a.IP.IsUnspecified() {
			dialer.LocalAddr = &net.TCPAddr{IP: a.IP}
		}
		p.opt.Dial = dialer.DialContext
	}
	defer ln.Close()
	stop := context.AfterFunc(p.ctx, func() { ln.Close() })
	defer stop()
	p.wg.Go(p.heartbeats)
	defer p.wg.Wait()
	for {
		conn, err := ln.Accept()
		if err != nil {
			if p.ctx.Err() != nil {
				return nil
			}
			p.Close()
			return err
		}
		if !p.reserveConn(conn) {
			conn.Close() // the peer dials again
			continue
		}
		p.wg.Go(func() { p.accept(conn) })
	}
}

// reserveConn counts a connection, and reports whether the limits allow it.
func (p *Peers) reserveConn(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns) >= p.opt.Conns || !p.acceptLimiter.Allow() {
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Peers) releaseConn(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	conn.Close()
}

// heartbeats drives the view's periodic work.
func (p *Peers) heartbeats() {
	tick := time.NewTicker(p.opt.Members.Period)
	defer tick.Stop()
	periods := 0
	var told struct{ agents, rank int }
	var avoided []string
	for {
		process, load := p.opt.Self()
		p.mu.Lock()
		// a process that is shutting down reports each period, as others wait for it
		if periods%10 == 0 || process != "ready" {
			p.apply(p.view.Set(p.now(), func(i *members.Info) { i.Process, i.Load = process, load }))
		} else {
			p.apply(p.view.Set(p.now(), func(i *members.Info) { i.Process = process }))
		}
		periods++
		p.apply(p.view.Tick(p.now()))
		agents, rank := p.view.AgentRank()
		var avoid []string
		if p.opt.OnAvoid != nil {
			view := p.view.View()
			avoid = view.Avoid("gateway")
		}
		p.mu.Unlock()
		if !slices.Equal(avoid, avoided) {
			avoided = avoid
			p.opt.OnAvoid(avoid)
		}
		if p.opt.OnPeriod != nil {
			p.opt.OnPeriod()
		}
		if p.opt.OnCount != nil && (agents != told.agents || rank != told.rank) {
			told.agents, told.rank = agents, rank
			p.opt.OnCount(agents, rank)
		}
		select {
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// apply carries out the view's output. The caller holds the lock.
func (p *Peers) apply(out members.Output) {
	for _, c := range out.Changes {
		e := Event{At: p.start.Add(c.At), State: c.State.String(), Why: c.Reason}
		for _, id := range c.IDs {
			e.Who = append(e.Who, id.Name)
		}
		if p.events = append(p.events, e); len(p.events) > maxEvents {
			p.events = slices.Delete(p.events, 0, len(p.events)-maxEvents)
		}
		p.opt.Log.Info("fleet: "+e.State, "who", e.Who, "why", e.Why)
	}
	for i := range out.Send {
		if to := p.links[out.Send[i].To]; to != nil {
			if f, err := Frame(&out.Send[i].Message); err == nil { // cannot fail for our own messages
				to.send(f, p.opt.Queue)
			}
		}
	}
	for _, id := range out.Drop {
		if l := p.links[id]; l != nil {
			l.conn.Close(errors.New("link is no longer needed"))
		}
	}
	for _, t := range out.Dial {
		p.startDial(t)
	}
	if p.flush == nil && !p.closed && p.view.HasPending() {
		p.flush = time.AfterFunc(p.opt.Members.Period/20, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.flush = nil
			p.apply(p.view.Flush(p.now()))
		})
	}
}

// maxDials is the limit of concurrent dials.
const maxDials = 16

// startDial opens a link in a goroutine, unless there is one or a dial is under way. The caller holds
// the lock.
func (p *Peers) startDial(t members.Target) {
	if p.closed || p.dialing[t.Address] || len(p.dialing) >= maxDials || t.Address == "" || p.links[t.ID] != nil {
		return
	}
	name := t.ID.Name
	for _, s := range p.opt.Seeds {
		if name == "" && s.Address == t.Address {
			name = s.Name
		}
	}
	p.dialing[t.Address] = true
	p.wg.Go(func() {
		err := p.dial(name, t)
		if err != nil {
			p.opt.Log.Debug("fleet: dial failed", "to", t.Address, "err", err)
		}
	})
}

// dial opens a link and serves it until it ends.
func (p *Peers) dial(name string, t members.Target) error {
	done := func() {
		p.mu.Lock()
		delete(p.dialing, t.Address)
		p.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(p.ctx, max(2*p.opt.Members.Period, 200*time.Millisecond))
	defer cancel()
	conn, err := p.opt.Dial(ctx, "tcp", t.Address)
	if err != nil {
		done()
		return err
	}
	if !p.reserveConn(conn) {
		done()
		conn.Close()
		return errors.New("connection limit or accept rate reached")
	}
	defer p.releaseConn(conn)
	if p.opt.Client != nil {
		secure := tls.Client(conn, p.opt.Client(name))
		if err := secure.HandshakeContext(ctx); err != nil {
			done()
			return err
		}
		conn = secure
	}
	up, err := link.Greet(ctx, conn, p.hello(), p.options())
	if err == nil {
		err = p.checkPeer(&up.Peer, name, t.ID)
		if err != nil {
			up.Close(err)
		}
	}
	if err != nil {
		done()
		return err
	}
	return p.serve(up, p.opt.Members.ID.Name, done)
}

// checkPeer returns an error if the process that answered is not the one that was dialled.
func (p *Peers) checkPeer(peer *linkwire.Hello, name string, id members.ID) error {
	if name != "" && peer.Name != name {
		return fmt.Errorf("name: dialled %[2]q, but %[1]q answered", peer.Name, name)
	}
	if id.Incarnation != 0 && peer.Incarnation < id.Incarnation {
		return fmt.Errorf("incarnation: an earlier process of %q answered", name)
	}
	return nil
}

func (p *Peers) hello() linkwire.Hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.view.ID()
	return linkwire.Hello{Magic: linkwire.Magic, MinVersion: linkwire.MinVersion, MaxVersion: linkwire.MaxVersion,
		Name:        id.Name,
		Incarnation: id.Incarnation, Now: p.clock.Now()}
}

func (p *Peers) options() link.Options {
	return link.Options{Clock: p.clock, HeartbeatInterval: p.opt.Members.Period, DeadAfter: 6 * p.opt.Members.Period,
		Status: func() (uint64, bool) { return 0, false }}
}

// accept serves a connection that a peer opened until it ends.
func (p *Peers) accept(conn net.Conn) {
	defer p.releaseConn(conn)
	ctx, cancel := context.WithTimeout(p.ctx, 4*p.opt.Members.Period)
	defer cancel()
	proven := ""
	if p.opt.Server != nil {
		secure := tls.Server(conn, p.opt.Server())
		if secure.HandshakeContext(ctx) != nil {
			return
		}
		conn = secure
		if certs := secure.ConnectionState().PeerCertificates; len(certs) > 0 && len(certs[0].DNSNames) > 0 {
			proven = certs[0].DNSNames[0]
		}
	}
	up, err := link.Welcome(ctx, conn, func(peer *linkwire.Hello) (linkwire.Hello, error) {
		if p.opt.Server != nil && peer.Name != proven {
			return linkwire.Hello{}, fmt.Errorf("name: %q is not what its certificate says", peer.Name)
		}
		return p.hello(), nil
	}, p.options())
	if err != nil {
		p.opt.Log.Debug("fleet: link rejected", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	_ = p.serve(up, up.Peer.Name, func() {})
}

// serve runs an established link until it ends; added is called once the link is registered or
// rejected.
func (p *Peers) serve(up *link.Conn, dialer string, added func()) error {
	l := &peer{id: members.ID{Name: up.Peer.Name, Incarnation: up.Peer.Incarnation}, conn: up, dialer: dialer}
	p.mu.Lock()
	if err := p.addLink(l); err != nil {
		p.mu.Unlock()
		added()
		up.Close(err)
		return err
	}
	p.mu.Unlock()
	added()
	err := up.Run(func(f linkwire.Frame) error {
		if w, ok := f.(*linkwire.Word); ok {
			return p.receiveWord(l, w)
		}
		news, ok := f.(*linkwire.News)
		if !ok {
			return fmt.Errorf("unexpected frame of kind %d from a peer", f.Kind())
		}
		msg, err := Message(news)
		if err != nil {
			return err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.links[l.id] == l {
			p.apply(p.view.Receive(p.now(), l.id, msg))
		}
		return nil
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.id] == l {
		delete(p.links, l.id)
		p.apply(p.view.LinkDown(p.now(), l.id))
	}
	p.opt.Log.Debug("fleet: link ended", "peer", l.id.Name, "err", err)
	return err
}

// addLink registers a link. The caller holds the lock. Where both ends have dialled, both keep the
// link that the lower name dialled, unless nothing has been received on it for two periods.
func (p *Peers) addLink(l *peer) error {
	me := p.view.ID()
	if p.closed || l.id == me {
		return errors.New("closing, or link to this process itself")
	}
	if old := p.links[l.id]; old != nil {
		s := old.conn.State()
		if time.Since(s.ReceivedAt) < 2*p.opt.Members.Period && old.dialer <= l.dialer {
			return errors.New("a link to this peer already exists")
		}
		delete(p.links, l.id)
		old.conn.Close(errors.New("replaced by another link"))
		p.apply(p.view.LinkDown(p.now(), l.id))
	}
	p.links[l.id] = l
	p.apply(p.view.LinkUp(p.now(), l.id))
	return nil
}

// receiveWord handles a part of a word. It runs in the link's reader.
func (p *Peers) receiveWord(l *peer, f *linkwire.Word) error {
	w := l.incoming
	switch {
	case w == nil:
		w = &Word{Topic: f.Topic, Number: f.Number}
	case w.Topic != f.Topic || w.Number != f.Number:
		return fmt.Errorf("word %d of topic %d began before word %d of topic %d was complete", f.Number, f.Topic,
			w.Number, w.Topic)
	}
	if len(w.Body)+len(f.Body) > MaxWord {
		return fmt.Errorf("word exceeds %d bytes", MaxWord)
	}
	w.Body = append(w.Body, f.Body...)
	if l.incoming = w; f.More {
		return nil
	}
	l.incoming = nil
	if p.opt.OnWord != nil {
		p.opt.OnWord(l.id, *w)
	}
	return nil
}

// Say queues a word for a process, completely or not at all; in the latter case it returns ErrQueueFull.
// It does not block. A nil error does not mean that the word will be delivered.
func (p *Peers) Say(to members.ID, w Word) error {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l == nil || len(w.Body) > MaxWord {
		return ErrQueueFull
	}
	l.mu.Lock()
	// an empty queue accepts a word of any allowed size
	if len(l.words) > 0 && l.wordBytes+len(w.Body) > max(4*p.opt.Queue, 1<<20) {
		l.mu.Unlock()
		return ErrQueueFull
	}
	l.words = append(l.words, w)
	l.wordBytes += len(w.Body)
	l.mu.Unlock()
	l.conn.Bulk(l.nextWordPart)
	return nil
}

// nextWordPart appends the next part of the oldest word. It runs in the link's writer. Other items may
// be written between parts, but no other word.
func (l *peer) nextWordPart(buf []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.words) == 0 {
		return buf, false
	}
	w := &l.words[0]
	f := linkwire.Word{Topic: w.Topic, Number: w.Number, Body: w.Body}
	if f.More = len(f.Body) > linkwire.MaxPart; f.More {
		f.Body = f.Body[:linkwire.MaxPart]
	}
	buf, _ = linkwire.Append(buf, &f) // cannot fail for parts of a valid word
	l.wordBytes -= len(f.Body)
	if w.Body = w.Body[len(f.Body):]; !f.More {
		l.words[0] = Word{}
		l.words = l.words[1:]
	}
	return buf, len(l.words) > 0
}

// Wish sets the members with which the caller named by who wants links in addition to the view's own.
// It replaces the caller's previous names.
func (p *Peers) Wish(who string, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestedLinks[who] = names
	var all []string
	for _, names := range p.requestedLinks {
		all = append(all, names...)
	}
	p.view.RequestLinks(all)
}

// Set changes the record in which this process describes itself.
func (p *Peers) Set(change func(*members.Info)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.view.Set(p.now(), change))
}

// Publish sets this process's orders, if they differ from the current ones.
func (p *Peers) Publish(orders string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.apply(p.view.Publish(p.now(), orders))
}

// send queues a message; while the queue exceeds most bytes, the oldest are dropped.
func (l *peer) send(f *linkwire.News, most int) {
	l.push(f, most)
	l.conn.Bulk(l.nextMessage)
}

func (l *peer) push(f *linkwire.News, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f)
	l.queuedBytes += cost(f)
	for l.queuedBytes > most && len(l.queue) > 1 {
		l.queuedBytes -= cost(l.queue[0])
		l.queue[0] = nil
		l.queue = l.queue[1:]
	}
}

// cost returns the approximate size of a message in the queue, in bytes.
func cost(f *linkwire.News) int {
	size := 64 + 8*len(f.Sums) + 16*len(f.Heads) + 8*len(f.Want)
	for i := range f.Records {
		size += 64 + len(f.Records[i].Body)
	}
	return size
}

// nextMessage appends the oldest queued message. It runs in the link's writer.
func (l *peer) nextMessage(buf []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return buf, false
	}
	f := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.queuedBytes -= cost(f)
	buf, _ = linkwire.Append(buf, f)
	return buf, false
}

// empty reports whether no messages are queued.
func (l *peer) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// Leave announces that the process is leaving, waits for at most one period until that is written, and
// closes.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.apply(p.view.Leave(p.now()))
	var all []*peer
	for _, l := range p.links {
		all = append(all, l)
	}
	p.mu.Unlock()
	for end := time.Now().Add(p.opt.Members.Period); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if !slices.ContainsFunc(all, func(l *peer) bool { return !l.empty() }) {
			break
		}
	}
	time.Sleep(5 * time.Millisecond) // the queues are empty, but the last writes may be under way
	p.Close()
}

// Close closes all links at once.
func (p *Peers) Close() {
	p.mu.Lock()
	p.closed = true
	if p.flush != nil {
		p.flush.Stop()
		p.flush = nil
	}
	for c := range p.conns {
		c.Close()
	}
	p.mu.Unlock()
	p.stop()
}

// View returns the agent's current view, and the time from which its times count.
func (p *Peers) View() (members.View, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.View(), p.start
}

// Events returns the latest changes, oldest first.
func (p *Peers) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.events)
}
