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

// enginesByAddress finds Engines by address, for moves.
var enginesByAddress sync.Map

// Engine is a backend on loopback, speaking HTTP/1.1 as PROTOCOL.md says. Its Log can be judged. It is safe for
// concurrent use.
//
// What it leaves out: requests are not preempted in the middle (a request takes its memory, all tokens to come
// included, before it begins), reports are not late, and the tokens of one request don't slow those of others.
type Engine struct {
	Log Log

	s      EngineSettings
	faults atomic.Pointer[Faults]

	mu          sync.Mutex
	listener    net.Listener
	current     *incarnation
	held        chan struct{} // closed on release; nil when not held
	changeHooks []func()
}

// incarnation is one incarnation: what a backend forgets when it restarts.
type incarnation struct {
	e      *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	conns          int
	running        int
	queue          []*waiter
	mem            *memory
	handles        map[string]*handle
	orders         orderState
	orderFinishing bool
	models         []Model

	link       sync.Mutex // taken before mu, also that of others
	linkFreeAt time.Time  // when the link is free for another move
}

func randomHex(bytes int) string {
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
	e.startIncarnation(s.ID)
	err := e.listen()
	e.mu.Unlock()
	if err != nil {
		tb.Fatalf("simulation: engine: %v", err)
	}
	enginesByAddress.Store(e.s.Address, e)
	tb.Cleanup(func() {
		e.Crash()
		enginesByAddress.CompareAndDelete(e.s.Address, e)
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
	go e.acceptConns(l)
	return nil
}

// startIncarnation starts an incarnation. e.mu is held.
func (e *Engine) startIncarnation(id string) {
	if id == "" {
		id = "i-" + randomHex(4)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ic := &incarnation{e: e, id: id, ctx: ctx, cancel: cancel, handles: map[string]*handle{}}
	ic.orders = orderState{fencing: e.s.Fencing, phase: e.s.Phase}
	for _, m := range e.s.Models {
		m.LoRAs = append([]string{}, m.LoRAs...)
		ic.models = append(ic.models, m)
	}
	ic.mem = &memory{size: e.s.KVTokens, parts: map[cacheKey]*memoryPart{}, onCached: ic.recordCached, onEvicted: ic.recordEvicted}
	e.current = ic
}

// onCached records a part that is kept from now on.
func (ic *incarnation) recordCached(k cacheKey, tokens int, attempt string, moved bool) *CachedPart {
	s := &ic.e.s
	rec := &CachedPart{
		Engine: ic.id, Service: s.Service, Zone: s.Zone, Region: s.Region, Model: k.model, Ver: k.ver,
		Part: Part{k.partID, tokens}, Attempt: attempt, Transferred: moved, CachedAt: s.Now(),
	}
	ic.e.Log.edit(func() { ic.e.Log.cachedParts = append(ic.e.Log.cachedParts, rec) })
	return rec
}

// onEvicted records that a part gave way.
func (ic *incarnation) recordEvicted(rec *CachedPart) {
	ic.e.Log.edit(func() { rec.EvictedAt = ic.e.s.Now() })
}

func (e *Engine) incarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// ID returns the id of the incarnation.
func (e *Engine) ID() string { return e.incarnation().id }

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
	e.held = ch
	e.mu.Unlock()
	return sync.OnceFunc(func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		close(ch)
		if e.held == ch {
			e.held = nil
		}
	})
}

// copyDirection waits while the Engine is held.
func (e *Engine) awaitRelease(ctx context.Context) error {
	for {
		e.mu.Lock()
		ch := e.held
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

// sleep lets d pass, or ctx end.
func sleep(ctx context.Context, d time.Duration) error {
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
	ic := e.incarnation()
	ic.mu.Lock()
	for i := range ic.models {
		if ic.models[i].Name == model {
			ic.models[i].Ver = ver
		}
	}
	ic.mu.Unlock()
	e.notifyChange()
}

// Phase returns its phase now.
func (e *Engine) Phase() Phase {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase
}

// Models returns its models now.
func (e *Engine) Models() []Model {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return slices.Clone(ic.models)
}

// Load returns the requests running and waiting.
func (e *Engine) Load() (running, waiting int) {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.running, len(ic.queue)
}

// Restart ends the incarnation and starts a new one with a new id at the same address, also after a Crash; memory,
// handles, seqno and fences are forgotten, the Log and the faults stay.
func (e *Engine) Restart(tb TB) {
	tb.Helper()
	e.endIncarnation()
	e.mu.Lock()
	e.startIncarnation("")
	if e.listener == nil {
		if err := e.listen(); err != nil {
			e.mu.Unlock()
			tb.Fatalf("simulation: engine: %v", err)
		}
	}
	e.mu.Unlock()
	e.notifyChange()
}

// Crash closes the listener and all connections at once.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.listener != nil {
		e.listener.Close()
		e.listener = nil
	}
	e.mu.Unlock()
	e.endIncarnation()
}

// endIncarnation breaks off all of an incarnation.
func (e *Engine) endIncarnation() {
	ic := e.incarnation()
	ic.cancel()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.handles = map[string]*handle{}
	ic.mem.clear()
	for _, w := range ic.queue {
		w.granted <- false
	}
	ic.queue = nil
}

// onChange calls f after each change of phase, models or incarnation.
func (e *Engine) onChange(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changeHooks = append(e.changeHooks, f)
}

func (e *Engine) notifyChange() {
	e.Log.edit(func() {}) // wakes tests that wait for Phase
	e.mu.Lock()
	fs := slices.Clone(e.changeHooks)
	e.mu.Unlock()
	for _, f := range fs {
		f()
	}
}
