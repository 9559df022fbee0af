package isobar

// Engine is what the operator's configuration tells of a service's backends.
type Engine struct {
	Capacity int     // requests at once
	KVTokens int     // memory, in tokens
	KVBytes  float64 // of one token
	LinkMbps float64 // of a backend's moves
}

// Engines is one proxy's reckoning of one service's backends. It belongs to one goroutine at a time.
type Engines struct {
	set    Engine
	byID   map[string]*engine
	perTok float64 // ms a prefill backend takes for a token; learned
}

type engine struct {
	id      string
	zone    string
	prefill bool
	kept    *kept
	reading float64 // tokens under way there that this proxy sent, not yet read
	running int     // requests under way there that this proxy sent
	// As the backend last told of itself with an answer.
	told       float64 // ms
	toldActive int
	toldWait   int
}

const (
	// firstPerTok is where the learning of perTok starts, ms a token.
	firstPerTok = 1.0 / 250
	learnPart   = 0.05
	// directSlower is how much slower a decode backend reads a prompt than a prefill backend (PROTOCOL).
	directSlower = 2
	// apartSlower is how much longer a move takes between zones (PROTOCOL).
	apartSlower = 2
	// toldFor is how long what a backend told of its load counts, ms.
	toldFor = 400
)

// New makes a reckoning for backends of which nothing is known yet.
func New(set Engine) *Engines {
	return &Engines{set: set, byID: map[string]*engine{}, perTok: firstPerTok}
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
			g = &engine{id: b.ID, kept: newKept(max(e.set.KVTokens, 1))}
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

// ReadMs is how long reading the prompt would take there, what is under way included.
func (e *Engines) ReadMs(now float64, id string, p *Prompt) float64 {
	g := e.byID[id]
	if g == nil {
		return float64(p.In) * e.perTok * directSlower
	}
	per := e.perTok
	if !g.prefill {
		per *= directSlower
	}
	ahead := g.reading
	if now-g.told < toldFor {
		// Others send there as well: what waits beyond what this proxy has out counts as much as one of ours.
		others := max(g.toldActive+g.toldWait-g.running, 0)
		if g.toldWait > 0 {
			others += g.toldWait
		}
		if g.prefill || g.toldWait > 0 {
			ahead += float64(others) * float64(e.Unkept(id, p))
		}
	}
	return (float64(e.Unkept(id, p)) + ahead) * per
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

// Sent notes a prompt sent to be read there, and gives what Read is to be told.
func (e *Engines) Sent(id string, p *Prompt) (tokens int) {
	g := e.byID[id]
	if g == nil {
		return 0
	}
	tokens = e.Unkept(id, p)
	g.reading += float64(tokens)
	g.running++
	g.kept.use(p) // whoever comes next finds it there, or waits behind it
	return tokens
}

// Read notes that it was read: tokens as Sent gave them, took in ms; 0: it wasn't, or nothing is to be learned.
func (e *Engines) Read(id string, tokens int, took float64) {
	g := e.byID[id]
	if g == nil {
		return
	}
	g.reading = max(g.reading-float64(tokens), 0)
	if took > 0 && tokens >= 512 {
		per := took / float64(tokens)
		if !g.prefill {
			per /= directSlower
		}
		// One that waited tells too much; the least of what is seen counts more.
		if part := learnPart; per < e.perTok {
			e.perTok += (per - e.perTok) * part * 4
		} else {
			e.perTok += (min(per, e.perTok*2) - e.perTok) * part
		}
	}
}

// Moved notes that the reader took over the memory of a prompt.
func (e *Engines) Moved(to string, p *Prompt) {
	if g := e.byID[to]; g != nil {
		g.kept.use(p)
	}
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

// Told takes what a backend said of its load.
func (e *Engines) Told(now float64, id string, active, waiting int) {
	if g := e.byID[id]; g != nil {
		g.told, g.toldActive, g.toldWait = now, active, waiting
	}
}

// Full tells whether the backend is known to have no place now.
func (e *Engines) Full(now float64, id string) bool {
	g := e.byID[id]
	return g != nil && e.set.Capacity > 0 && (g.running >= e.set.Capacity || now-g.told < toldFor && g.toldWait > 0 && g.toldActive >= e.set.Capacity)
}
