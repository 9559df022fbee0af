// Package wan is the stand-in for the network between two sites: a relay on loopback that
// delays what passes, with jitter and a rate, stalls either direction, cuts a connection at
// a byte or at random, and falls silent towards who connects. Tests, the demo and trial set-ups
// put it between two gateways.
//
// Each connection has two goroutines a direction, one that reads and one that writes when a
// chunk is due. What a Net is set to is guarded by its lock, and changes hold for what passes
// from then on.
package wan

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Way is a direction.
type Way int

// The directions: from who has dialled, and to him.
const (
	There Way = iota
	Back
)

// Path is how one direction fares.
type Path struct {
	Delay  time.Duration // one way
	Jitter time.Duration // at most so much more, at random; bytes keep their order
	Rate   int           // bytes a second; 0: any number
}

// Net is one relay, and all connections through it.
type Net struct {
	Addr string // where to dial

	target string
	ln     net.Listener
	mu     sync.Mutex
	rng    *rand.Rand
	paths  [2]Path
	stall  [2]chan struct{} // closed when the direction moves again; nil: it does
	silent bool
	resets float64
	cutAt  [2]int64 // of the next connection: the byte before which it is cut; below 0: none
	passed [2]int64
	conns  map[*pair]bool
	closed chan struct{}
	wg     sync.WaitGroup
}

// pair is a connection and the one that goes on.
type pair struct {
	n     *Net
	ends  [2]net.Conn // the dialler's, the target's
	once  sync.Once
	over  chan struct{}
	cutAt [2]int64
}

// New starts a relay to a loopback address; the seed settles jitter and random resets.
func New(target string, seed uint64) (*Net, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Net{Addr: ln.Addr().String(), target: target, ln: ln, rng: rand.New(rand.NewPCG(seed, 0)),
		conns: map[*pair]bool{}, closed: make(chan struct{}), cutAt: [2]int64{-1, -1}}
	n.wg.Add(1)
	go n.accept()
	return n, nil
}

// Set changes how a direction fares.
func (n *Net) Set(w Way, p Path) {
	n.mu.Lock()
	n.paths[w] = p
	n.mu.Unlock()
}

// Stall holds a direction until Move; nothing is lost.
func (n *Net) Stall(ways ...Way) {
	n.mu.Lock()
	for _, w := range ways {
		if n.stall[w] == nil {
			n.stall[w] = make(chan struct{})
		}
	}
	n.mu.Unlock()
}

// Move lets a direction go on.
func (n *Net) Move(ways ...Way) {
	n.mu.Lock()
	for _, w := range ways {
		if n.stall[w] != nil {
			close(n.stall[w])
			n.stall[w] = nil
		}
	}
	n.mu.Unlock()
}

// Silent lets new connections come up and hear nothing, or no longer.
func (n *Net) Silent(on bool) {
	n.mu.Lock()
	n.silent = on
	n.mu.Unlock()
}

// Resets lets that share of new connections break within their first 20 kB.
func (n *Net) Resets(share float64) {
	n.mu.Lock()
	n.resets = share
	n.mu.Unlock()
}

// CutNext cuts the next connection that comes, and no other, before the byte with that
// number goes on; below 0: none.
func (n *Net) CutNext(w Way, at int64) {
	n.mu.Lock()
	n.cutAt[w] = at
	n.mu.Unlock()
}

// Cut breaks all connections now.
func (n *Net) Cut() {
	n.mu.Lock()
	var all []*pair
	for p := range n.conns {
		all = append(all, p)
	}
	n.mu.Unlock()
	for _, p := range all {
		p.cut()
	}
}

// Turn sends new connections to another target.
func (n *Net) Turn(target string) {
	n.mu.Lock()
	n.target = target
	n.mu.Unlock()
}

// Passed is how many bytes have gone on in a direction, over all connections.
func (n *Net) Passed(w Way) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.passed[w]
}

// Open is how many connections there are.
func (n *Net) Open() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.conns)
}

// Close ends the relay and all connections, and waits for its goroutines.
func (n *Net) Close() error {
	n.mu.Lock()
	select {
	case <-n.closed:
		n.mu.Unlock()
		return nil
	default:
	}
	close(n.closed)
	n.mu.Unlock()
	err := n.ln.Close()
	n.Cut()
	n.wg.Wait()
	return err
}

func (n *Net) accept() {
	defer n.wg.Done()
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			n.relay(c)
		}()
	}
}

func (n *Net) relay(c net.Conn) {
	n.mu.Lock()
	target, silent := n.target, n.silent
	p := &pair{n: n, over: make(chan struct{}), cutAt: n.cutAt}
	p.ends[0] = c
	n.cutAt = [2]int64{-1, -1}
	if n.rng.Float64() < n.resets {
		p.cutAt[n.rng.IntN(2)] = n.rng.Int64N(20 << 10)
	}
	n.conns[p] = true
	select {
	case <-n.closed: // too late for Cut to find it
		n.mu.Unlock()
		p.cut()
		return
	default:
	}
	n.mu.Unlock()
	defer p.cut()
	if silent {
		select {
		case <-p.over:
		case <-n.closed:
		}
		return
	}
	to, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	n.mu.Lock()
	p.ends[1] = to
	n.mu.Unlock()
	select {
	case <-p.over: // cut meanwhile
		to.Close()
		return
	default:
	}
	var both sync.WaitGroup
	for _, w := range []Way{There, Back} {
		both.Add(1)
		go func() {
			defer both.Done()
			p.carry(w)
		}()
	}
	both.Wait()
}

// chunk is bytes on their way; none is the end of what is sent.
type chunk struct {
	text []byte
	due  time.Time
}

// carry takes one direction to its end.
func (p *pair) carry(w Way) {
	from, to := p.ends[w], p.ends[1-w]
	way := make(chan chunk, 256)
	var read sync.WaitGroup
	read.Add(1)
	go func() {
		defer read.Done()
		defer close(way)
		p.read(w, from, way)
	}()
	at, limit := int64(0), p.cutAt[w]
	for c := range way {
		if !p.wait(w, c.due) {
			break
		}
		cut := false
		if limit >= 0 && at+int64(len(c.text)) > limit {
			c.text, cut = c.text[:limit-at], true
		}
		at += int64(len(c.text))
		p.n.mu.Lock()
		p.n.passed[w] += int64(len(c.text))
		p.n.mu.Unlock()
		if _, err := to.Write(c.text); err != nil || cut {
			p.cut()
			break
		}
	}
	for range way { // let the reader end
	}
	read.Wait()
	if t, ok := to.(*net.TCPConn); ok {
		_ = t.CloseWrite()
	}
}

// read takes what comes and settles when it is due.
func (p *pair) read(w Way, from net.Conn, way chan<- chunk) {
	last := time.Now()
	for {
		buf := make([]byte, 8<<10)
		k, err := from.Read(buf)
		if k > 0 {
			path, extra := p.n.path(w)
			due := time.Now().Add(path.Delay + extra)
			if path.Rate > 0 {
				due = later(due, last.Add(time.Duration(float64(k)/float64(path.Rate)*float64(time.Second))))
			}
			last = later(due, last)
			select {
			case way <- chunk{buf[:k], last}:
			case <-p.over:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (n *Net) path(w Way) (Path, time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.paths[w]
	return p, time.Duration(n.rng.Float64() * float64(p.Jitter))
}

// wait waits until a chunk is due and its direction moves; false: the connection is over.
func (p *pair) wait(w Way, due time.Time) bool {
	if left := time.Until(due); left > 0 {
		t := time.NewTimer(left)
		select {
		case <-t.C:
		case <-p.over:
			t.Stop()
			return false
		}
	}
	for {
		p.n.mu.Lock()
		held := p.n.stall[w]
		p.n.mu.Unlock()
		if held == nil {
			return true
		}
		select {
		case <-held:
		case <-p.over:
			return false
		}
	}
}

// cut breaks the connection towards both ends, by resets.
func (p *pair) cut() {
	p.once.Do(func() {
		close(p.over)
		p.n.mu.Lock()
		ends := p.ends
		delete(p.n.conns, p)
		p.n.mu.Unlock()
		for _, c := range ends {
			if t, ok := c.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			if c != nil {
				c.Close()
			}
		}
	})
}
