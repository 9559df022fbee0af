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

// enginesByAddress holds the Engines of this process (string to *Engine): transfers find their source there.
var enginesByAddress sync.Map

// Engine is a fake backend on loopback that implements the HTTP/1.1 interface of PROTOCOL.md. A Judge can check its
// Log. It is safe for concurrent use.
//
// It doesn't simulate preemption (a request reserves its memory, with that of all output tokens, before it begins),
// late load reports, or requests that slow each other down.
type Engine struct {
	Log Log // arrivals, and the cached parts of prompts

	s      EngineSettings // with the defaults; not changed after StartEngine
	faults atomic.Pointer[Faults]

	mu          sync.Mutex
	listener    net.Listener  // nil after Crash
	current     *incarnation  // never nil
	held        chan struct{} // closed on release; nil when not held
	changeHooks []func()
}

// incarnation is the state of a backend that is lost at a restart. ctx ends with it.
type incarnation struct {
	e      *Engine
	id     string
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	conns          int
	running        int
	queue          []*waiter // the most urgent first
	mem            *memory
	handles        map[string]*handle
	orders         orderState
	orderFinishing bool // the phase change of an order is in progress
	models         []Model

	link       sync.Mutex // locked before mu, also before that of the incarnation at a transfer's other end
	linkFreeAt time.Time  // when the link is free for another transfer
}

// randomHex returns random bytes in hex.
func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// StartEngine starts an Engine, which ends with the test. It fails the test when it can't listen.
func StartEngine(tb TB, s EngineSettings) *Engine {
	tb.Helper()
	s.setDefaults()
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

// listen listens at the address and accepts connections until the listener is closed. e.mu is held.
func (e *Engine) listen() error {
	ln, err := net.Listen("tcp", e.s.Address)
	if err != nil {
		return err
	}
	e.listener = ln
	e.s.Address = ln.Addr().String()
	go e.acceptConns(ln)
	return nil
}

// startIncarnation starts an incarnation, with a random id when id is empty. e.mu is held.
func (e *Engine) startIncarnation(id string) {
	if id == "" {
		id = "i-" + randomHex(4)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ic := &incarnation{
		e:       e,
		id:      id,
		ctx:     ctx,
		cancel:  cancel,
		handles: map[string]*handle{},
		orders:  orderState{fencing: e.s.Fencing, phase: e.s.Phase},
	}
	for _, m := range e.s.Models {
		m.LoRAs = append([]string{}, m.LoRAs...)
		ic.models = append(ic.models, m)
	}
	ic.mem = &memory{
		size:      e.s.KVTokens,
		parts:     map[cacheKey]*memoryPart{},
		onCached:  ic.recordCached,
		onEvicted: ic.recordEvicted,
	}
	e.current = ic
}

// recordCached records a part that is cached from now on.
func (ic *incarnation) recordCached(k cacheKey, tokens int, attempt string, transferred bool) *CachedPart {
	s := &ic.e.s
	record := &CachedPart{
		Engine:      ic.id,
		Service:     s.Service,
		Zone:        s.Zone,
		Region:      s.Region,
		Model:       k.model,
		Ver:         k.ver,
		Part:        Part{k.partID, tokens},
		Attempt:     attempt,
		Transferred: transferred,
		CachedAt:    s.Now(),
	}
	ic.e.Log.edit(func() { ic.e.Log.cachedParts = append(ic.e.Log.cachedParts, record) })
	return record
}

// recordEvicted records that a part was evicted.
func (ic *incarnation) recordEvicted(record *CachedPart) {
	ic.e.Log.edit(func() { record.EvictedAt = ic.e.s.Now() })
}

// incarnation returns the current incarnation, or the last one after Crash.
func (e *Engine) incarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// ID returns the id of the current incarnation of the backend.
func (e *Engine) ID() string { return e.incarnation().id }

// Address returns the IP:PORT at which the Engine listens.
func (e *Engine) Address() string { return e.s.Address }

// Settings returns the Engine's settings with the defaults filled in; ID and Phase are the initial ones.
func (e *Engine) Settings() EngineSettings { return e.s }

// SetFaults changes the faults for the requests and connections that begin from now on.
func (e *Engine) SetFaults(f Faults) { e.faults.Store(&f) }

// Faults returns the current faults.
func (e *Engine) Faults() Faults { return *e.faults.Load() }

// Hold stops the work on requests before the next step until release is called. Requests still get slots and memory.
// Calls don't nest.
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

// awaitRelease blocks while the Engine is held, or until ctx ends.
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

// sleep blocks for d or until ctx ends, and returns ctx's error.
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

// SetVersion changes the version of a model's weights, until Restart.
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

// Phase returns the Engine's current phase.
func (e *Engine) Phase() Phase {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.orders.phase
}

// Models returns the Engine's models at their current versions.
func (e *Engine) Models() []Model {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return slices.Clone(ic.models)
}

// Load returns the number of running requests and the number of queued ones.
func (e *Engine) Load() (running, waiting int) {
	ic := e.incarnation()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	return ic.running, len(ic.queue)
}

// Restart ends the incarnation and starts another one with another id at the same address, also after a Crash; memory,
// handles, seqno and fencing tokens are forgotten, the Log and the faults stay.
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

// endIncarnation ends the current incarnation with its requests, connections, handles and cached parts.
func (e *Engine) endIncarnation() {
	ic := e.incarnation()
	ic.cancel()
	ic.mu.Lock()
	defer ic.mu.Unlock()
	ic.handles = map[string]*handle{}
	ic.mem.clear()
	ic.rejectWaiting()
}

// rejectWaiting rejects all queued requests. ic.mu is held.
func (ic *incarnation) rejectWaiting() {
	for _, w := range ic.queue {
		w.granted <- false
	}
	ic.queue = nil
}

// onChange has f called after each change of phase, models or incarnation.
func (e *Engine) onChange(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.changeHooks = append(e.changeHooks, f)
}

// notifyChange calls the hooks, and wakes tests that wait on the Log. No lock is held.
func (e *Engine) notifyChange() {
	e.Log.edit(func() {}) // wakes tests that wait for Phase
	e.mu.Lock()
	hooks := slices.Clone(e.changeHooks)
	e.mu.Unlock()
	for _, hook := range hooks {
		hook()
	}
}
