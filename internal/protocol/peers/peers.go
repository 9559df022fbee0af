// Package peers drives one agent's view of its fleet (package members) over links to others: it
// listens, dials whom the view wants, carries messages, and lets the view have its periods.
//
// A lock guards the view and the list of links. A goroutine takes connections, one beats, each
// link has its reader and its writer. What waits to be written to a link is bounded in bytes; the
// oldest goes first, since views that differ are compared again.
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

// Seed is a peer that is known by its address before anything else is.
type Seed struct {
	Name    string // as its certificate has it
	Address string
}

// Options is what an agent's end of its links to peers is made of.
type Options struct {
	Members members.Options // its Seeds are those below
	Seeds   []Seed
	Seed    uint64
	Conns   int // links at once, at the most
	Queue   int // bytes that wait to be written to one link
	// Dial opens a connection; nil: from the listener's own address, so that others can tell
	// who comes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Client and Server are how links are dialled and taken, anew each time; nil: plain.
	Client func(peer string) *tls.Config
	Server func() *tls.Config
	// Self tells what the process is and holds, once a period; it must not wait.
	Self func() (process string, load float64)
	// Count is told how many agents share the fleet's bounds and which of them this one is, when
	// that changes. nil: nobody.
	Count func(agents, rank int)
	// Word is handed what a peer says, in the order in which it comes on its link; it must not wait. nil:
	// nobody listens.
	Word func(from members.ID, w Word)
	// Beaten is told, once a period, that the view has had it. nil: nobody.
	Beaten func()
	// Avoid is told which gateways are better left alone, when that changes. nil: nobody.
	Avoid func(names []string)
	Log   *slog.Logger
}

// Word is something that one peer says to another.
type Word struct {
	Topic  uint64
	Number uint64
	Body   []byte // at most MaxWord bytes
}

// The topics of words: to the council and its members, and between those who promise and hold.
const (
	TopicCouncil = iota
	TopicCall
	TopicAnswer
	TopicPromise
	TopicAsk
	TopicVerdict
)

// MaxWord bounds a Word's body, in bytes: a council's snapshot has to fit.
const MaxWord = 8 << 20

// ErrNoRoom is why a word was not taken: too much waits for that link, or there is none.
var ErrNoRoom = errors.New("peers: no link, or no room on it")

// kept is how many changes are remembered for operators.
const kept = 256

// Event is a change as an operator reads it.
type Event struct {
	At    time.Time `json:"at"`
	State string    `json:"state"`
	Who   []string  `json:"who"`
	Why   string    `json:"why"`
}

// Peers is one agent's end.
type Peers struct {
	opt   Options
	clock link.Clock
	start time.Time
	pace  *rate.Limiter
	wg    sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context

	mu      sync.Mutex
	view    *members.Machine
	links   map[members.ID]*peer
	conns   map[net.Conn]bool
	dialing map[string]bool
	wishes  map[string][]string
	flush   *time.Timer
	events  []Event
	closed  bool
}

// peer is one link.
type peer struct {
	id     members.ID
	conn   *link.Conn
	dialer string // the name of the end that dialled

	mu     sync.Mutex
	queue  []*linkwire.News
	queued int
	words  []Word // that wait; of the first a part may have gone out
	worded int    // bytes of them

	partly *Word // of which a part has come; the reader's
}

// New makes an agent's end; Serve runs it.
func New(o Options) *Peers {
	p := &Peers{
		opt:     o,
		clock:   link.NewClock(),
		start:   time.Now(),
		pace:    rate.NewLimiter(rate.Limit(200), 200),
		links:   map[members.ID]*peer{},
		conns:   map[net.Conn]bool{},
		dialing: map[string]bool{},
		wishes:  map[string][]string{},
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

// Name is the process's own.
func (p *Peers) Name() string { return p.opt.Members.ID.Name }

// Period is that of the view.
func (p *Peers) Period() time.Duration { return p.opt.Members.Period }

func (p *Peers) now() time.Duration { return time.Since(p.start) }

// Serve takes links on the listener and keeps the view until Leave or Close, or until the
// listener fails.
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
		if !p.admit(conn) {
			conn.Close() // it comes again
			continue
		}
		p.wg.Go(func() { p.take(conn) })
	}
}

// admit counts a connection, if there is room.
func (p *Peers) admit(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.conns) >= p.opt.Conns || !p.pace.Allow() {
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *Peers) release(conn net.Conn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	conn.Close()
}

// heartbeats lets the view have its periods.
func (p *Peers) heartbeats() {
	tick := time.NewTicker(p.opt.Members.Period)
	defer tick.Stop()
	periods := 0
	var told struct{ agents, rank int }
	var avoided []string
	for {
		process, load := p.opt.Self()
		p.mu.Lock()
		if periods%10 == 0 || process != "ready" { // who is leaving is waited for
			p.act(p.view.Set(p.now(), func(i *members.Info) { i.Process, i.Load = process, load }))
		} else {
			p.act(p.view.Set(p.now(), func(i *members.Info) { i.Process = process }))
		}
		periods++
		p.act(p.view.Tick(p.now()))
		agents, rank := p.view.AgentRank()
		var avoid []string
		if p.opt.Avoid != nil {
			view := p.view.View()
			avoid = view.Avoid("gateway")
		}
		p.mu.Unlock()
		if !slices.Equal(avoid, avoided) {
			avoided = avoid
			p.opt.Avoid(avoid)
		}
		if p.opt.Beaten != nil {
			p.opt.Beaten()
		}
		if p.opt.Count != nil && (agents != told.agents || rank != told.rank) {
			told.agents, told.rank = agents, rank
			p.opt.Count(agents, rank)
		}
		select {
		case <-tick.C:
		case <-p.ctx.Done():
			return
		}
	}
}

// act does what the view wants, under the lock.
func (p *Peers) act(out members.Output) {
	for _, c := range out.Changes {
		e := Event{At: p.start.Add(c.At), State: c.State.String(), Why: c.Reason}
		for _, id := range c.IDs {
			e.Who = append(e.Who, id.Name)
		}
		if p.events = append(p.events, e); len(p.events) > kept {
			p.events = slices.Delete(p.events, 0, len(p.events)-kept)
		}
		p.opt.Log.Info("fleet: "+e.State, "who", e.Who, "why", e.Why)
	}
	for i := range out.Send {
		if to := p.links[out.Send[i].To]; to != nil {
			if f, err := Frame(&out.Send[i].Message); err == nil { // our own words keep their bounds
				to.send(f, p.opt.Queue)
			}
		}
	}
	for _, id := range out.Drop {
		if l := p.links[id]; l != nil {
			l.conn.Close(errors.New("the link is not needed"))
		}
	}
	for _, t := range out.Dial {
		p.reach(t)
	}
	if p.flush == nil && !p.closed && p.view.HasPending() {
		p.flush = time.AfterFunc(p.opt.Members.Period/20, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.flush = nil
			p.act(p.view.Flush(p.now()))
		})
	}
}

// dials is how many connections are being opened at once.
const dials = 16

// reach opens a link, unless that is under way; under the lock.
func (p *Peers) reach(t members.Target) {
	if p.closed || p.dialing[t.Address] || len(p.dialing) >= dials || t.Address == "" || p.links[t.ID] != nil {
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
			p.opt.Log.Debug("fleet: no link", "to", t.Address, "err", err)
		}
	})
}

// dial opens a link and serves it to its end.
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
	if !p.admit(conn) {
		done()
		conn.Close()
		return errors.New("no room")
	}
	defer p.release(conn)
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
		err = p.fits(&up.Peer, name, t.ID)
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

// fits tells whether the process that has answered is the one that was dialled.
func (p *Peers) fits(peer *linkwire.Hello, name string, id members.ID) error {
	if name != "" && peer.Name != name {
		return fmt.Errorf("name: %q answers where %q was dialled", peer.Name, name)
	}
	if id.Incarnation != 0 && peer.Incarnation < id.Incarnation {
		return fmt.Errorf("incarnation: an earlier process of %q answers", name)
	}
	return nil
}

func (p *Peers) hello() linkwire.Hello {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := p.view.ID()
	return linkwire.Hello{Magic: linkwire.Magic, Least: linkwire.MinVersion, Most: linkwire.MaxVersion, Name: id.Name,
		Incarnation: id.Incarnation, Now: p.clock.Now()}
}

func (p *Peers) options() link.Options {
	return link.Options{Clock: p.clock, Beat: p.opt.Members.Period, DeadAfter: 6 * p.opt.Members.Period,
		Status: func() (uint64, bool) { return 0, false }}
}

// take takes a connection of a peer to its end.
func (p *Peers) take(conn net.Conn) {
	defer p.release(conn)
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
		p.opt.Log.Debug("fleet: a link was not taken", "from", conn.RemoteAddr().String(), "err", err)
		return
	}
	_ = p.serve(up, up.Peer.Name, func() {})
}

// serve carries a link that is up until it ends; added is called once it is known, or is not.
func (p *Peers) serve(up *link.Conn, dialer string, added func()) error {
	l := &peer{id: members.ID{Name: up.Peer.Name, Incarnation: up.Peer.Incarnation}, conn: up, dialer: dialer}
	p.mu.Lock()
	if err := p.add(l); err != nil {
		p.mu.Unlock()
		added()
		up.Close(err)
		return err
	}
	p.mu.Unlock()
	added()
	err := up.Run(func(f linkwire.Frame) error {
		if w, ok := f.(*linkwire.Word); ok {
			return p.hear(l, w)
		}
		news, ok := f.(*linkwire.News)
		if !ok {
			return fmt.Errorf("a frame of kind %d between peers", f.Kind())
		}
		msg, err := Message(news)
		if err != nil {
			return err
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.links[l.id] == l {
			p.act(p.view.Receive(p.now(), l.id, msg))
		}
		return nil
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[l.id] == l {
		delete(p.links, l.id)
		p.act(p.view.LinkDown(p.now(), l.id))
	}
	p.opt.Log.Debug("fleet: link ended", "peer", l.id.Name, "err", err)
	return err
}

// add takes a link into use, under the lock. Where both ends have dialled, both keep the one that
// the lower name dialled, unless that has been silent.
func (p *Peers) add(l *peer) error {
	me := p.view.ID()
	if p.closed || l.id == me {
		return errors.New("closed, or a link to oneself")
	}
	if old := p.links[l.id]; old != nil {
		s := old.conn.State()
		if time.Since(s.Heard) < 2*p.opt.Members.Period && old.dialer <= l.dialer {
			return errors.New("there is a link")
		}
		delete(p.links, l.id)
		old.conn.Close(errors.New("another link has taken its place"))
		p.act(p.view.LinkDown(p.now(), l.id))
	}
	p.links[l.id] = l
	p.act(p.view.LinkUp(p.now(), l.id))
	return nil
}

// hear takes a part of a word. It runs in the link's reader.
func (p *Peers) hear(l *peer, f *linkwire.Word) error {
	w := l.partly
	switch {
	case w == nil:
		w = &Word{Topic: f.Topic, Number: f.Number}
	case w.Topic != f.Topic || w.Number != f.Number:
		return fmt.Errorf("a word %d of topic %d within %d of %d", f.Number, f.Topic, w.Number, w.Topic)
	}
	if len(w.Body)+len(f.Body) > MaxWord {
		return fmt.Errorf("a word is over %d bytes", MaxWord)
	}
	w.Body = append(w.Body, f.Body...)
	if l.partly = w; f.More {
		return nil
	}
	l.partly = nil
	if p.opt.Word != nil {
		p.opt.Word(l.id, *w)
	}
	return nil
}

// Say says a word to a process, whole or not at all; ErrNoRoom: not at all. It does not wait. That it
// was taken does not mean that it comes.
func (p *Peers) Say(to members.ID, w Word) error {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l == nil || len(w.Body) > MaxWord {
		return ErrNoRoom
	}
	l.mu.Lock()
	if len(l.words) > 0 && l.worded+len(w.Body) > max(4*p.opt.Queue, 1<<20) { // one always fits
		l.mu.Unlock()
		return ErrNoRoom
	}
	l.words = append(l.words, w)
	l.worded += len(w.Body)
	l.mu.Unlock()
	l.conn.Bulk(l.part)
	return nil
}

// part appends the next part of the oldest word; it runs in the link's writer. Others' items come
// between parts, never another word.
func (l *peer) part(buf []byte) ([]byte, bool) {
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
	buf, _ = linkwire.Append(buf, &f) // parts keep their bounds
	l.worded -= len(f.Body)
	if w.Body = w.Body[len(f.Body):]; !f.More {
		l.words[0] = Word{}
		l.words = l.words[1:]
	}
	return buf, len(l.words) > 0
}

// Wish names members with which somebody wants links beside the view's own, in the place of those that he
// named before.
func (p *Peers) Wish(who string, names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wishes[who] = names
	var all []string
	for _, names := range p.wishes {
		all = append(all, names...)
	}
	p.view.RequestLinks(all)
}

// Set changes what the process says of itself.
func (p *Peers) Set(change func(*members.Info)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(p.view.Set(p.now(), change))
}

// Publish writes the process's orders anew, if they are others.
func (p *Peers) Publish(orders string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.act(p.view.Publish(p.now(), orders))
}

// send queues a message; what is too much is dropped, the oldest first.
func (l *peer) send(f *linkwire.News, most int) {
	l.push(f, most)
	l.conn.Bulk(l.next)
}

func (l *peer) push(f *linkwire.News, most int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f)
	l.queued += cost(f)
	for l.queued > most && len(l.queue) > 1 {
		l.queued -= cost(l.queue[0])
		l.queue[0] = nil
		l.queue = l.queue[1:]
	}
}

// cost is what a message counts as in the queue, in bytes.
func cost(f *linkwire.News) int {
	size := 64 + 8*len(f.Sums) + 16*len(f.Heads) + 8*len(f.Want)
	for i := range f.Records {
		size += 64 + len(f.Records[i].Body)
	}
	return size
}

// next appends the oldest message that waits; it runs in the link's writer.
func (l *peer) next(buf []byte) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) == 0 {
		return buf, false
	}
	f := l.queue[0]
	l.queue[0] = nil
	l.queue = l.queue[1:]
	l.queued -= cost(f)
	buf, _ = linkwire.Append(buf, f)
	return buf, false
}

// empty tells whether nothing waits.
func (l *peer) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// Leave says that the process ends, waits for at most a period until that is written, and closes.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.act(p.view.Leave(p.now()))
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
	time.Sleep(5 * time.Millisecond) // the writers are past their queues, not past their writes
	p.Close()
}

// Close ends all links at once.
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

// View is what the agent believes, and the clock that its times are of.
func (p *Peers) View() (members.View, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.view.View(), p.start
}

// Events is the last changes, the oldest first.
func (p *Peers) Events() []Event {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.events)
}
