package scheduler

import (
	"math"
	"slices"
)

// load is what is known of how busy a backend is: as it last told with an answer, or as the holder of the duty of orders
// heard from it, whichever is newer; and which requests of this proxy still wait there for the head of their answer.
type load struct {
	told        float64 // ms
	toldActive  int
	toldWait    int
	toldRunning int       // running then
	waiting     []float64 // since when, the oldest first
	heard       float64   // when this proxy last heard of it itself
	mute        float64   // when it was last found silent; 0: it was heard since
	shed        float64   // when it last turned a request away; 0: it took one since
}

const (
	// toldFor is how long what a backend told of its load counts for how much it has to read, ms.
	toldFor = 400
	// gaugedFor is how long it counts for how many places are taken, ms: answers that are made for seconds hold them.
	gaugedFor = 3000
	// gaugeLag is how old a gauged load is when it comes, ms: reports lag, rounds of them take a while.
	gaugeLag = 300
	// shedFor is how long a backend that turned a request away is taken for full, ms: one whose phase changes does so until its
	// last answer has ended.
	shedFor = 2000
	// muteAfter is half of the time after which clients give a silent stream up at the soonest (PROTOCOL), ms; muteFor is how
	// long a backend is taken for silent; muteLag is how much newer this proxy's word has to be than the control plane's.
	muteAfter, muteFor, muteLag = 1000, 2500, 700
	// maxWaiting bounds the waiting requests that are told apart at one backend.
	maxWaiting = 256
)

// Told takes what a backend said of its load.
func (e *Engines) Told(now float64, id string, active, waiting int) {
	if g := e.byID[id]; g != nil {
		g.heard, g.mute = now, 0
		g.told, g.toldActive, g.toldWait, g.toldRunning = now, active, waiting, g.running
	}
}

// Gauged takes how many requests were at a backend by its report; it counts unless the backend told of itself since.
func (e *Engines) Gauged(now float64, id string, active int) {
	if g := e.byID[id]; g != nil && g.told < now-gaugeLag {
		room := max(e.set.Capacity, 1)
		g.told, g.toldActive, g.toldWait, g.toldRunning = now-gaugeLag, min(active, room), max(active-room, 0), g.running
	}
}

// taken is how many of a backend's places are taken, by its own word and by what this proxy sent since.
func (g *engine) taken() int {
	return max(g.toldActive+g.toldWait+max(g.running-g.toldRunning, 0), g.running)
}

// Busy is how full a backend's batch is: 0 to 1 and above.
func (e *Engines) Busy(id string) float64 {
	g := e.byID[id]
	if g == nil || e.set.Capacity <= 0 {
		return 0
	}
	return float64(g.taken()) / float64(e.set.Capacity)
}

// Full tells whether the backend is believed to have no place now.
func (e *Engines) Full(now float64, id string) bool {
	g := e.byID[id]
	if g == nil || e.set.Capacity <= 0 {
		return false
	}
	if g.shed > 0 && now-g.shed < shedFor {
		return true
	}
	if g.prefill {
		return g.running >= e.set.Capacity || now-g.told < toldFor && g.toldWait > 0 && g.toldActive >= e.set.Capacity
	}
	return g.running >= e.set.Capacity || now-g.told < gaugedFor && g.taken() >= e.set.Capacity
}

// Awaits notes that the head of an answer is waited for, and gives what Heard is to be told.
func (e *Engines) Awaits(now float64, id string) (since float64) {
	if g := e.byID[id]; g != nil && len(g.waiting) < maxWaiting {
		g.waiting = append(g.waiting, now)
	}
	return now
}

// Heard notes that a head came, or is waited for no more: a backend of which nothing came for muteAfter is taken for silent.
func (e *Engines) Heard(now float64, id string, since float64, came bool) {
	g := e.byID[id]
	if g == nil {
		return
	}
	if i := slices.Index(g.waiting, since); i >= 0 {
		g.waiting = slices.Delete(g.waiting, i, i+1)
	}
	switch {
	case came:
		g.heard, g.mute = now, 0
	case now-since > muteAfter && g.heard < since:
		g.mute = now
	}
}

// Muted notes that the control plane did not hear a backend; this proxy's own word counts where it is newer.
func (e *Engines) Muted(now float64, id string) {
	if g := e.byID[id]; g != nil && g.heard < now-muteLag {
		g.mute = now
	}
}

// Mute tells whether a backend was found silent of late.
func (e *Engines) Mute(now float64, id string) bool {
	g := e.byID[id]
	return g != nil && g.mute > 0 && now-g.mute < muteFor
}

// Silent tells whether a backend was found silent of late, or a request has waited there for so many ms for the head of its
// answer.
func (e *Engines) Silent(now float64, id string, patience float64) bool {
	g := e.byID[id]
	return e.Mute(now, id) || g != nil && len(g.waiting) > 0 && now-g.waiting[0] > patience
}

// Shed notes that a backend turned a request away, Took that it took one.
func (e *Engines) Shed(now float64, id string) {
	if g := e.byID[id]; g != nil {
		g.shed = max(now, math.SmallestNonzeroFloat64)
	}
}

// Took notes that a backend took a request.
func (e *Engines) Took(id string) {
	if g := e.byID[id]; g != nil {
		g.shed = 0
	}
}
