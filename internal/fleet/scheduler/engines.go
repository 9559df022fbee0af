package scheduler

import "math"

// Engine is what the operator's configuration tells of a service's backends.
type Engine struct {
	Capacity int     // requests at once
	KVTokens int     // memory, in tokens
	KVBytes  float64 // of one token
	LinkMbps float64 // of a backend's moves
}

// Engines is one proxy's reckoning of one service's backends. It belongs to one goroutine at a time.
type Engines struct {
	set       Engine
	byID      map[string]*engine
	perTok    float64 // ms a prefill backend takes for a token; learned
	usual     float64 // tokens that a prompt sent to be read has unkept, of late
	kinds     map[string]kind
	apart     int
	moveLeast float64 // ms
	apartAt   float64
	longer    float64 // than reckoned do waiting prompts take, as a factor
}

type engine struct {
	id      string
	zone    string
	prefill bool
	kept    *kept
	reading float64 // tokens under way there that this proxy sent, not yet read
	running int     // requests under way there that this proxy sent
	outward late    // how much longer than usual moves from it took
	inward  late    // and moves to it
	load
}

// PrefillFaster is how much faster a prefill backend reads a prompt than a decode backend (PROTOCOL).
const PrefillFaster = 2

const (
	// firstPerTok is where the learning of perTok starts, ms a token.
	firstPerTok  = 1.0 / 250
	learnPart    = 0.05
	directSlower = PrefillFaster
	// apartSlower is how much longer a move takes between zones (PROTOCOL).
	apartSlower = 2
	// readingPart is the part of the requests at a decode backend, away from those with long answers, that still read.
	readingPart = 0.4
	// firstMakingMs is how long the tokens of a request are taken to be made until that was seen.
	firstMakingMs = 20
	// Backends for long answers are more above fillMost of their places, and fewer where one less would be filled to
	// fillLeast; not sooner than so many ms after the last change.
	fillLeast, fillMost   = 0.4, 0.65
	moreAfter, fewerAfter = 500, 8000
	// What is known of slow moves halves in so many ms, and each move has that part in it.
	lateHalf, latePart = 2000, 0.3
	// moveLeastRise is how fast the least time to a first token after a move is believed to rise, a move.
	moveLeastRise = 0.002
	// mostLonger bounds how wrong a reckoning is believed to be; leastTurned is what is taken for one, ms.
	mostLonger, leastTurned = 4, 20
	// maxKinds bounds the kinds of requests that are told apart.
	maxKinds = 4096
)

// New makes a reckoning for backends of which nothing is known yet.
func New(set Engine) *Engines {
	return &Engines{set: set, byID: map[string]*engine{}, perTok: firstPerTok, longer: 1, kinds: map[string]kind{}}
}

// Turn takes another version of what the configuration tells.
func (e *Engines) Turn(set Engine) { e.set = set }

// Backend is a listed backend.
type Backend struct {
	ID, Zone string
	Prefill  bool
}

// List takes the whole list; what is gone is forgotten.
func (e *Engines) List(all []Backend) {
	listed := make(map[string]bool, len(all))
	for _, b := range all {
		listed[b.ID] = true
		g := e.byID[b.ID]
		if g == nil {
			g = &engine{id: b.ID, kept: newKept(max(e.set.KVTokens, 1)), load: load{told: math.Inf(-1)}}
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

// Unkept is how many tokens of the prompt the backend would have to read.
func (e *Engines) Unkept(id string, p *Prompt) int {
	g := e.byID[id]
	if g == nil {
		return p.In
	}
	return p.In - g.kept.front(p)
}

// ReadMs is how long reading the prompt would take there once it is its turn, if a backend keeps no more than is believed;
// at its home that is all that it shares.
func (e *Engines) ReadMs(id string, p *Prompt, home bool) float64 {
	return float64(e.toRead(id, p, home)) * e.per(e.byID[id])
}

// toRead is how many tokens of the prompt the backend is believed to have to read. At its home what it shares is believed kept:
// other proxies send there what shares it, of which this one knows nothing.
func (e *Engines) toRead(id string, p *Prompt, home bool) int {
	tokens := e.Unkept(id, p)
	if home {
		tokens = min(tokens, p.Own())
	}
	return tokens
}

// ExpectMs is how long it will take until the prompt is read there, as such expectations have turned out of late.
func (e *Engines) ExpectMs(now float64, id string, p *Prompt, home bool) float64 {
	return (e.AheadMs(now, id) + e.ReadMs(id, p, home)) * e.longer
}

// Turned takes how long a prompt that was read took, and how long that was expected to be, ms: both above 0.
func (e *Engines) Turned(expected, took float64) {
	if expected < leastTurned {
		return // what is short tells of the way, not of the queue
	}
	longer := min(max(took/expected*e.longer, 1/mostLonger), mostLonger)
	e.longer += (longer - e.longer) * learnPart
}

func (e *Engines) per(g *engine) float64 {
	if g != nil && g.prefill {
		return e.perTok
	}
	return e.perTok * directSlower
}

// AheadMs is how long what is under way there takes to be read: what this proxy sent, and as far as the backend has told
// of more, that of others: each taken for a usual one, half of which is read; of those at a decode backend as many still
// read as reading has part in a usual request's time there.
func (e *Engines) AheadMs(now float64, id string) float64 {
	g := e.byID[id]
	if g == nil {
		return 0
	}
	ahead := g.reading
	if now-g.told < toldFor {
		others := float64(max(g.toldActive-g.running, 0))
		if !g.prefill {
			others *= readingPart
		}
		ahead += (others/2 + float64(g.toldWait)) * e.usual
	}
	return ahead * e.per(g)
}

// kind is what requests of a kind, such as a route's, usually are.
type kind struct {
	prompt float64 // tokens
	making float64 // ms from the first of its tokens to the last
}

func (e *Engines) kind(name string, p *Prompt) kind {
	k, ok := e.kinds[name]
	if !ok {
		k = kind{prompt: float64(p.In), making: firstMakingMs}
	}
	return k
}

// InPlaceMs is how long a decode backend takes to read all of the prompt, between the tokens of others and at their expense.
func (e *Engines) InPlaceMs(p *Prompt) float64 {
	return float64(p.In) * e.perTok * directSlower
}

// Long tells whether making the tokens of requests of a kind takes an engine longer than reading their prompts does:
// those and the ones with long prompts slow each other, and are kept apart.
func (e *Engines) Long(name string, p *Prompt) bool {
	k := e.kind(name, p)
	return k.making > k.prompt*e.perTok*directSlower
}

// Made takes how long the tokens of a request of a kind were made after the first came, ms.
func (e *Engines) Made(name string, p *Prompt, ms float64) {
	k := e.kind(name, p)
	if _, ok := e.kinds[name]; !ok && len(e.kinds) >= maxKinds {
		return
	}
	k.prompt += (float64(p.In) - k.prompt) * learnPart
	k.making += (ms - k.making) * learnPart
	e.kinds[name] = k
}

// Apart is how many of the backends that decode are kept for long answers: the first ones of an order that all proxies
// share, enough for what runs there by the backends' own word, so that all proxies come to much the same. They become
// more at once and fewer slowly, since prompts whose home changes are read again.
func (e *Engines) Apart(now float64, order []string) int {
	if len(order) < 2 || e.set.Capacity <= 0 {
		return 0
	}
	if e.apart == 0 {
		e.apart, e.apartAt = max(1, len(order)/4), now
	}
	active := 0.0
	for _, id := range order[:min(e.apart, len(order)-1)] {
		active += e.Busy(id)
	}
	switch n := float64(e.apart); {
	case active > fillMost*n:
		if now-e.apartAt > moreAfter {
			e.apart++
			e.apartAt = now
		}
	case e.apart > 1 && active < fillLeast*(n-1):
		if now-e.apartAt > fewerAfter {
			e.apart--
			e.apartAt = now
		}
	default:
		e.apartAt = max(e.apartAt, now-fewerAfter/2)
	}
	e.apart = min(e.apart, len(order)-1)
	return e.apart
}

// MoveMs is how long the prompt's memory takes from one backend to another.
func (e *Engines) MoveMs(from, to string, p *Prompt) float64 {
	if e.set.LinkMbps <= 0 {
		return 0
	}
	ms := float64(p.In) * e.set.KVBytes * 8 / (e.set.LinkMbps * 1000)
	if a, b := e.byID[from], e.byID[to]; a != nil && b != nil && a.zone != b.zone {
		ms *= apartSlower
	}
	return ms
}

// Sent notes a prompt sent to be read there, at its home or not, and gives what Read is to be told.
func (e *Engines) Sent(id string, p *Prompt, home bool) (tokens int) {
	g := e.byID[id]
	if g == nil {
		return 0
	}
	tokens = e.toRead(id, p, home)
	e.usual += (float64(tokens) - e.usual) * learnPart
	g.reading += float64(tokens)
	g.running++
	g.kept.use(p) // whoever comes next finds it there, or waits behind it
	return tokens
}

// Read notes that it was read: tokens as Sent gave them, took in ms; 0: it wasn't. Speed is learned only from what was read
// alone, as far as this proxy and the backend know.
func (e *Engines) Read(id string, tokens int, took float64) {
	g := e.byID[id]
	if g == nil {
		return
	}
	alone := g.running <= 1 && g.toldActive+g.toldWait <= 1
	g.reading = max(g.reading-float64(tokens), 0)
	if took > 0 && tokens >= 512 && alone {
		per := took / float64(tokens)
		if !g.prefill {
			per /= directSlower
		}
		e.perTok += (min(per, 2*e.perTok) - e.perTok) * learnPart
	}
}

// Moved notes that a backend took over the memory of a prompt from another, and how long it took to its first token, ms;
// 0: it came to nothing in that time.
func (e *Engines) Moved(now float64, from, to string, p *Prompt, ms float64, ok bool) {
	a, b := e.byID[from], e.byID[to]
	if b != nil && ok {
		b.kept.use(p)
	}
	if a == nil || b == nil {
		return
	}
	// What usually is so short that the least of it is known soon.
	if e.moveLeast == 0 || ms < e.moveLeast {
		e.moveLeast = ms
	}
	e.moveLeast += e.moveLeast * moveLeastRise
	// What one of them is known for is not the other's.
	over := max(ms-e.moveLeast-e.MoveMs(from, to, p), 0)
	ofA, ofB := a.outward.now(now), b.inward.now(now)
	a.outward.learn(now, max(over-ofB, 0))
	b.inward.learn(now, max(over-ofA, 0))
}

// OutwardMs and InwardMs are how much longer than usual moves from a backend, and to it, took of late.
func (e *Engines) OutwardMs(now float64, id string) float64 {
	if g := e.byID[id]; g != nil {
		return g.outward.now(now)
	}
	return 0
}

// InwardMs is the same for moves to a backend.
func (e *Engines) InwardMs(now float64, id string) float64 {
	if g := e.byID[id]; g != nil {
		return g.inward.now(now)
	}
	return 0
}

// late is a mean that is forgotten with time, so that what was slow is tried again.
type late struct{ ms, at float64 }

func (l *late) now(now float64) float64 { return l.ms * math.Exp2(-(now-l.at)/lateHalf) }

func (l *late) learn(now, ms float64) {
	was := l.now(now)
	l.ms, l.at = was+(ms-was)*latePart, now
}

// Began notes a request that is to make tokens there, without a prompt to be read.
func (e *Engines) Began(id string) {
	if g := e.byID[id]; g != nil {
		g.running++
	}
}

// Ended notes that a request sent there is over.
func (e *Engines) Ended(id string) {
	if g := e.byID[id]; g != nil {
		g.running = max(g.running-1, 0)
	}
}

// Forget notes that what was sent there may not have been read: nothing of the prompt is believed kept.
func (e *Engines) Forget(id string, p *Prompt) {
	if g := e.byID[id]; g != nil {
		for _, part := range p.Parts {
			if el := g.kept.byChain[part.Chain]; el != nil {
				g.kept.tokens -= el.Value.(keptPart).tokens
				g.kept.order.Remove(el)
				delete(g.kept.byChain, part.Chain)
			}
		}
	}
}
