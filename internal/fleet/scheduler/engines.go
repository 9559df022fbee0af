package scheduler

import "math"

// EngineSpec is what the operator's configuration tells of a service's backends.
type EngineSpec struct {
	Capacity        int     // requests at once
	KVCacheTokens   int     // memory, in tokens
	KVBytesPerToken float64 // of one token
	LinkMbps        float64 // of a backend's moves
}

// Estimator is one proxy's reckoning of one service's backends. It belongs to one goroutine at a time.
type Estimator struct {
	spec               EngineSpec
	byID               map[string]*backendState
	prefillMsPerToken  float64 // ms a prefill backend takes for a token; learned
	meanUncachedTokens float64 // tokens that a prompt sent to be read has unkept, of late
	classes            map[string]requestClass
	longPool           int
	minTransferMs      float64 // ms
	longPoolChangedAt  float64
	expectedScale      float64 // than reckoned do waiting prompts take, as a factor
}

type backendState struct {
	id                   string
	zone                 string
	prefill              bool
	cache                *prefixCache
	pendingPrefillTokens float64      // tokens under way there that this proxy sent, not yet read
	inFlight             int          // requests under way there that this proxy sent
	outbound             decayingMean // how much longer than usual moves from it took
	inbound              decayingMean // and moves to it
	load
}

// PrefillSpeedup is how much faster a prefill backend reads a prompt than a decode backend (PROTOCOL).
const PrefillSpeedup = 2

const (
	// initialPrefillMsPerToken is where the learning of prefillMsPerToken starts, ms a token.
	initialPrefillMsPerToken = 1.0 / 250
	learningRate             = 0.05
	decodePrefillSlowdown    = PrefillSpeedup
	// crossZoneSlowdown is how much longer a move takes between zones (PROTOCOL).
	crossZoneSlowdown = 2
	// prefillingShare is the part of the requests at a decode backend, away from those with long answers, that still read.
	prefillingShare = 0.4
	// initialDecodeMs is how long the tokens of a request are taken to be made until that was seen.
	initialDecodeMs = 20
	// Backends for long answers are more above maxLongPoolFill of their places, and fewer where one less would be filled to
	// minLongPoolFill; not sooner than so many ms after the last change.
	minLongPoolFill, maxLongPoolFill           = 0.4, 0.65
	longPoolGrowAfterMs, longPoolShrinkAfterMs = 500, 8000
	// What is known of slow moves halves in so many ms, and each move has that part in it.
	transferDelayHalfLifeMs, transferDelayWeight = 2000, 0.3
	// minTransferDrift is how fast the least time to a first token after a move is believed to rise, a move.
	minTransferDrift = 0.002
	// maxExpectedScale bounds how wrong a reckoning is believed to be; minObservedPrefillMs is what is taken for one, ms.
	maxExpectedScale, minObservedPrefillMs = 4, 20
	// maxClasses bounds the kinds of requests that are told apart.
	maxClasses = 4096
)

// NewEstimator makes a reckoning for backends of which nothing is known yet.
func NewEstimator(set EngineSpec) *Estimator {
	return &Estimator{spec: set, byID: map[string]*backendState{}, prefillMsPerToken: initialPrefillMsPerToken, expectedScale: 1, classes: map[string]requestClass{}}
}

// UpdateSpec takes another version of what the configuration tells.
func (e *Estimator) UpdateSpec(set EngineSpec) { e.spec = set }

// Backend is a listed backend.
type Backend struct {
	ID, Zone string
	Prefill  bool
}

// SetBackends takes the whole list; what is gone is forgotten.
func (e *Estimator) SetBackends(all []Backend) {
	listed := make(map[string]bool, len(all))
	for _, b := range all {
		listed[b.ID] = true
		g := e.byID[b.ID]
		if g == nil {
			g = &backendState{id: b.ID, cache: newPrefixCache(max(e.spec.KVCacheTokens, 1)), load: load{reportedAt: math.Inf(-1)}}
			e.byID[b.ID] = g
		}
		g.zone, g.prefill = b.Zone, b.Prefill
	}
	for id := range e.byID {
		if !listed[id] {
			delete(e.byID, id)
		}
	}
}

// UncachedTokens is how many tokens of the prompt the backend would have to read.
func (e *Estimator) UncachedTokens(id string, p *Prompt) int {
	g := e.byID[id]
	if g == nil {
		return p.InputTokens
	}
	return p.InputTokens - g.cache.matchTokens(p)
}

// PrefillMs is how long reading the prompt would take there once it is its turn, if a backend keeps no more than is believed;
// at its home that is all that it shares.
func (e *Estimator) PrefillMs(id string, p *Prompt, home bool) float64 {
	return float64(e.tokensToPrefill(id, p, home)) * e.msPerToken(e.byID[id])
}

// tokensToPrefill is how many tokens of the prompt the backend is believed to have to read. At its home what it shares is believed kept:
// other proxies send there what shares it, of which this one knows nothing.
func (e *Estimator) tokensToPrefill(id string, p *Prompt, home bool) int {
	tokens := e.UncachedTokens(id, p)
	if home {
		tokens = min(tokens, p.UnsharedTokens())
	}
	return tokens
}

// ExpectedPrefillMs is how long it will take until the prompt is read there, as such expectations have turned out of late.
func (e *Estimator) ExpectedPrefillMs(now float64, id string, p *Prompt, home bool) float64 {
	return (e.QueueMs(now, id) + e.PrefillMs(id, p, home)) * e.expectedScale
}

// ObservePrefill takes how long a prompt that was read took, and how long that was expected to be, ms: both above 0.
func (e *Estimator) ObservePrefill(expected, took float64) {
	if expected < minObservedPrefillMs {
		return // what is short tells of the way, not of the queue
	}
	longer := min(max(took/expected*e.expectedScale, 1/maxExpectedScale), maxExpectedScale)
	e.expectedScale += (longer - e.expectedScale) * learningRate
}

func (e *Estimator) msPerToken(g *backendState) float64 {
	if g != nil && g.prefill {
		return e.prefillMsPerToken
	}
	return e.prefillMsPerToken * decodePrefillSlowdown
}

// QueueMs is how long what is under way there takes to be read: what this proxy sent, and as far as the backend has told
// of more, that of others: each taken for a usual one, half of which is read; of those at a decode backend as many still
// read as reading has part in a usual request's time there.
func (e *Estimator) QueueMs(now float64, id string) float64 {
	g := e.byID[id]
	if g == nil {
		return 0
	}
	ahead := g.pendingPrefillTokens
	if now-g.reportedAt < loadFreshMs {
		others := float64(max(g.reportedActive-g.inFlight, 0))
		if !g.prefill {
			others *= prefillingShare
		}
		ahead += (others/2 + float64(g.reportedQueued)) * e.meanUncachedTokens
	}
	return ahead * e.msPerToken(g)
}

// requestClass is what requests of a kind, such as a route's, usually are.
type requestClass struct {
	promptTokens float64 // tokens
	decodeMs     float64 // ms from the first of its tokens to the last
}

func (e *Estimator) class(name string, p *Prompt) requestClass {
	k, ok := e.classes[name]
	if !ok {
		k = requestClass{promptTokens: float64(p.InputTokens), decodeMs: initialDecodeMs}
	}
	return k
}

// DecodeLocalPrefillMs is how long a decode backend takes to read all of the prompt, between the tokens of others and at their expense.
func (e *Estimator) DecodeLocalPrefillMs(p *Prompt) float64 {
	return float64(p.InputTokens) * e.prefillMsPerToken * decodePrefillSlowdown
}

// LongDecode tells whether making the tokens of requests of a kind takes an engine longer than reading their prompts does:
// those and the ones with long prompts slow each other, and are kept apart.
func (e *Estimator) LongDecode(name string, p *Prompt) bool {
	k := e.class(name, p)
	return k.decodeMs > k.promptTokens*e.prefillMsPerToken*decodePrefillSlowdown
}

// ObserveDecode takes how long the tokens of a request of a kind were made after the first came, ms.
func (e *Estimator) ObserveDecode(name string, p *Prompt, ms float64) {
	k := e.class(name, p)
	if _, ok := e.classes[name]; !ok && len(e.classes) >= maxClasses {
		return
	}
	k.promptTokens += (float64(p.InputTokens) - k.promptTokens) * learningRate
	k.decodeMs += (ms - k.decodeMs) * learningRate
	e.classes[name] = k
}

// LongDecodePool is how many of the backends that decode are kept for long answers: the first ones of an order that all proxies
// share, enough for what runs there by the backends' own word, so that all proxies come to much the same. They become
// more at once and fewer slowly, since prompts whose home changes are read again.
func (e *Estimator) LongDecodePool(now float64, order []string) int {
	if len(order) < 2 || e.spec.Capacity <= 0 {
		return 0
	}
	if e.longPool == 0 {
		e.longPool, e.longPoolChangedAt = max(1, len(order)/4), now
	}
	active := 0.0
	for _, id := range order[:min(e.longPool, len(order)-1)] {
		active += e.Utilization(id)
	}
	switch n := float64(e.longPool); {
	case active > maxLongPoolFill*n:
		if now-e.longPoolChangedAt > longPoolGrowAfterMs {
			e.longPool++
			e.longPoolChangedAt = now
		}
	case e.longPool > 1 && active < minLongPoolFill*(n-1):
		if now-e.longPoolChangedAt > longPoolShrinkAfterMs {
			e.longPool--
			e.longPoolChangedAt = now
		}
	default:
		e.longPoolChangedAt = max(e.longPoolChangedAt, now-longPoolShrinkAfterMs/2)
	}
	e.longPool = min(e.longPool, len(order)-1)
	return e.longPool
}

// TransferMs is how long the prompt's memory takes from one backend to another.
func (e *Estimator) TransferMs(from, to string, p *Prompt) float64 {
	if e.spec.LinkMbps <= 0 {
		return 0
	}
	ms := float64(p.InputTokens) * e.spec.KVBytesPerToken * 8 / (e.spec.LinkMbps * 1000)
	if a, b := e.byID[from], e.byID[to]; a != nil && b != nil && a.zone != b.zone {
		ms *= crossZoneSlowdown
	}
	return ms
}

// PrefillStarted notes a prompt sent to be read there, at its home or not, and gives what Read is to be told.
func (e *Estimator) PrefillStarted(id string, p *Prompt, home bool) (tokens int) {
	g := e.byID[id]
	if g == nil {
		return 0
	}
	tokens = e.tokensToPrefill(id, p, home)
	e.meanUncachedTokens += (float64(tokens) - e.meanUncachedTokens) * learningRate
	g.pendingPrefillTokens += float64(tokens)
	g.inFlight++
	g.cache.touch(p) // whoever comes next finds it there, or waits behind it
	return tokens
}

// PrefillEnded notes that it was read: tokens as Sent gave them, took in ms; 0: it wasn't. Speed is learned only from what was read
// alone, as far as this proxy and the backend know.
func (e *Estimator) PrefillEnded(id string, tokens int, took float64) {
	g := e.byID[id]
	if g == nil {
		return
	}
	alone := g.inFlight <= 1 && g.reportedActive+g.reportedQueued <= 1
	g.pendingPrefillTokens = max(g.pendingPrefillTokens-float64(tokens), 0)
	if took > 0 && tokens >= 512 && alone {
		per := took / float64(tokens)
		if !g.prefill {
			per /= decodePrefillSlowdown
		}
		e.prefillMsPerToken += (min(per, 2*e.prefillMsPerToken) - e.prefillMsPerToken) * learningRate
	}
}

// ObserveTransfer notes that a backend took over the memory of a prompt from another, and how long it took to its first token, ms;
// 0: it came to nothing in that time.
func (e *Estimator) ObserveTransfer(now float64, from, to string, p *Prompt, ms float64, ok bool) {
	a, b := e.byID[from], e.byID[to]
	if b != nil && ok {
		b.cache.touch(p)
	}
	if a == nil || b == nil {
		return
	}
	// What usually is so short that the least of it is known soon.
	if e.minTransferMs == 0 || ms < e.minTransferMs {
		e.minTransferMs = ms
	}
	e.minTransferMs += e.minTransferMs * minTransferDrift
	// What one of them is known for is not the other's.
	over := max(ms-e.minTransferMs-e.TransferMs(from, to, p), 0)
	ofA, ofB := a.outbound.value(now), b.inbound.value(now)
	a.outbound.add(now, max(over-ofB, 0))
	b.inbound.add(now, max(over-ofA, 0))
}

// OutboundDelayMs and InboundDelayMs are how much longer than usual moves from a backend, and to it, took of late.
func (e *Estimator) OutboundDelayMs(now float64, id string) float64 {
	if g := e.byID[id]; g != nil {
		return g.outbound.value(now)
	}
	return 0
}

// InboundDelayMs is the same for moves to a backend.
func (e *Estimator) InboundDelayMs(now float64, id string) float64 {
	if g := e.byID[id]; g != nil {
		return g.inbound.value(now)
	}
	return 0
}

// decayingMean is a mean that is forgotten with time, so that what was slow is tried again.
type decayingMean struct{ ms, at float64 }

func (m *decayingMean) value(now float64) float64 {
	return m.ms * math.Exp2(-(now-m.at)/transferDelayHalfLifeMs)
}

func (m *decayingMean) add(now, ms float64) {
	was := m.value(now)
	m.ms, m.at = was+(ms-was)*transferDelayWeight, now
}

// DecodeStarted notes a request that is to make tokens there, without a prompt to be read.
func (e *Estimator) DecodeStarted(id string) {
	if g := e.byID[id]; g != nil {
		g.inFlight++
	}
}

// RequestEnded notes that a request sent there is over.
func (e *Estimator) RequestEnded(id string) {
	if g := e.byID[id]; g != nil {
		g.inFlight = max(g.inFlight-1, 0)
	}
}

// InvalidateCache notes that what was sent there may not have been read: nothing of the prompt is believed kept.
func (e *Estimator) InvalidateCache(id string, p *Prompt) {
	if g := e.byID[id]; g != nil {
		for _, part := range p.Segments {
			if el := g.cache.byHash[part.PrefixHash]; el != nil {
				g.cache.tokens -= el.Value.(cachedSegment).tokens
				g.cache.lru.Remove(el)
				delete(g.cache.byHash, part.PrefixHash)
			}
		}
	}
}
