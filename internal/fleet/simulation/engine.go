package simulation

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// registry finds Engines by address, for moves.
var registry sync.Map

// Engine is a backend on loopback, speaking HTTP/1.1 as PROTOCOL.md says. Its Log can be judged. It is safe for
// concurrent use.
//
// What it leaves out: requests are not preempted in the middle (a request takes its memory, all tokens to come
// included, before it begins), reports are not late, and the tokens of one request don't slow those of others.
type Engine struct {
	Log Log

	s      EngineSettings
	faults atomic.Pointer[Faults]

	mu       sync.Mutex
	listener net.Listener
	now      *life
	hold     chan struct{} // closed on release; nil when not held
	watchers []func()
}

// life is one incarnation: what a backend forgets when it restarts.
type life struct {
	e      *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	conns    int
	running  int
	queue    []*waiter
	mem      *memory
	handles  map[string]*handle
	orders   orders
	swapping bool
	models   []Model

	link     sync.Mutex // taken before mu, also that of others
	linkFree time.Time  // when the link is free for another move
}

func draw(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// StartEngine starts an Engine, which ends with the test.
func StartEngine(tb TB, s EngineSettings) *Engine {
	tb.Helper()
	if s.Service == "" {
		s.Service = "svc"
	}
	if s.Version == "" {
		s.Version = "v1"
	}
	if s.Address == "" {
		s.Address = "127.0.0.1:0"
	}
	if s.Probe == "" {
		s.Probe = "/healthz"
	}
	if s.Capacity == 0 {
		s.Capacity = 8
	}
	if s.KVTokens == 0 {
		s.KVTokens = 1_000_000
	}
	if s.KVTokenBytes == 0 {
		s.KVTokenBytes = 163_840
	}
	if s.Stride == 0 {
		s.Stride = 1
	}
	if s.Models == nil && s.Phase != PhaseNone {
		s.Models = []Model{{Name: "m", Ver: 1}}
	}
	if s.KVRef == 0 {
		s.KVRef = 5 * time.Second
	}
	if s.BodyBytes == 0 {
		s.BodyBytes = 64
	}
	if s.Tokens == 0 {
		s.Tokens = 3 * s.Stride
	}
	if s.Now == nil {
		s.Now = time.Now
	}
	e := &Engine{s: s}
	e.faults.Store(&Faults{})
	e.mu.Lock()
	e.begin(s.ID)
	err := e.listen()
	e.mu.Unlock()
	if err != nil {
		tb.Fatalf("simulation: engine: %v", err)
	}
	registry.Store(e.s.Address, e)
	tb.Cleanup(func() {
		e.Crash()
		registry.CompareAndDelete(e.s.Address, e)
	})
	return e
}

// listen opens the address and takes connections. e.mu is held.
func (e *Engine) listen() error {
	l, err := net.Listen("tcp", e.s.Address)
	if err != nil {
		return err
	}
	e.listener, e.s.Address = l, l.Addr().String()
	go e.accept(l)
	return nil
}

// begin starts an incarnation. e.mu is held.
func (e *Engine) begin(id string) {
	if id == "" {
		id = "i-" + draw(4)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{e: e, id: id, ctx: ctx, cancel: cancel, handles: map[string]*handle{}}
	l.orders = orders{fencing: e.s.Fencing, phase: e.s.Phase}
	for _, m := range e.s.Models {
		m.LoRAs = append([]string{}, m.LoRAs...)
		l.models = append(l.models, m)
	}
	l.mem = &memory{size: e.s.KVTokens, parts: map[partKey]*held{}, keep: l.keep, drop: l.drop}
	e.now = l
}

// keep records a part that is kept from now on.
func (l *life) keep(k partKey, tokens int, attempt string, moved bool) *KeptPart {
	s := &l.e.s
	rec := &KeptPart{
		Engine: l.id, Service: s.Service, Zone: s.Zone, Region: s.Region, Model: k.model, Ver: k.ver,
		Part: Part{k.id, tokens}, Attempt: attempt, Moved: moved, Since: s.Now(),
	}
	l.e.Log.edit(func() { l.e.Log.kept = append(l.e.Log.kept, rec) })
	return rec
}

// drop records that a part gave way.
func (l *life) drop(rec *KeptPart) {
	l.e.Log.edit(func() { rec.Until = l.e.s.Now() })
}

func (e *Engine) life() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.now
}

// ID returns the id of the incarnation.
func (e *Engine) ID() string { return e.life().id }

// Address returns the IP:PORT at which it listens.
func (e *Engine) Address() string { return e.s.Address }

// Settings returns its settings, with the defaults filled in; ID and Phase as they were at the start.
func (e *Engine) Settings() EngineSettings { return e.s }

// SetFaults changes its faults for the requests and connections that begin from now on.
func (e *Engine) SetFaults(f Faults) { e.faults.Store(&f) }

// Faults returns its faults.
func (e *Engine) Faults() Faults { return *e.faults.Load() }

// Hold stops the work on requests before the next step until release is called. Requests still take slots and memory.
// Calls do not nest.
func (e *Engine) Hold() (release func()) {
	ch := make(chan struct{})
	e.mu.Lock()
	e.hold = ch
	e.mu.Unlock()
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		close(ch)
		if e.hold == ch {
			e.hold = nil
		}
	})
}

// pass waits while the Engine is held.
func (e *Engine) pass(ctx context.Context) error {
	for {
		e.mu.Lock()
		ch := e.hold
		e.mu.Unlock()
		if ch == nil {
			return ctx.Err()
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// wait lets d pass, or ctx end.
func wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SetVersion changes the version of a model's weights.
func (e *Engine) SetVersion(model string, ver int) {
	l := e.life()
	l.mu.Lock()
	for i := range l.models {
		if l.models[i].Name == model {
			l.models[i].Ver = ver
		}
	}
	l.mu.Unlock()
	e.changed()
}

// Phase returns its phase now.
func (e *Engine) Phase() Phase {
	l := e.life()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.orders.phase
}

// Models returns its models now.
func (e *Engine) Models() []Model {
	l := e.life()
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.models)
}

// Load returns the requests running and waiting.
func (e *Engine) Load() (running, waiting int) {
	l := e.life()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running, len(l.queue)
}

// Restart ends the incarnation and starts a new one with a new id at the same address, also after a Crash; memory,
// handles, seqno and fences are forgotten, the Log and the faults stay.
func (e *Engine) Restart(tb TB) {
	tb.Helper()
	e.end()
	e.mu.Lock()
	e.begin("")
	if e.listener == nil {
		if err := e.listen(); err != nil {
			e.mu.Unlock()
			tb.Fatalf("simulation: engine: %v", err)
		}
	}
	e.mu.Unlock()
	e.changed()
}

// Crash closes the listener and all connections at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	e.mu.Unlock()
	e.end()
}

// end breaks off all of an incarnation.
func (e *Engine) end() {
	l := e.life()
	l.cancel()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handles = map[string]*handle{}
	l.mem.clear()
	for _, w := range l.queue {
		w.granted <- false
	}
	l.queue = nil
}

// watch calls f after each change of phase, models or incarnation.
func (e *Engine) watch(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watchers = append(e.watchers, f)
}

func (e *Engine) changed() {
	e.Log.edit(func() {}) // wakes tests that wait for Phase
	e.mu.Lock()
	fs := slices.Clone(e.watchers)
	e.mu.Unlock()
	for _, f := range fs {
		f()
	}
}
