// Package weights adapts the weights of servers that the endpoint list does not specify to latency:
// that of the agent's own zone and that of each machine type. It has no I/O, no clock and no locks: a
// Weights is used by one goroutine at a time.
package weights

import "molepaddle/internal/decide/arith"

const (
	// minOwnZone is the minimum weight of servers in the own zone, relative to others; ownZonePerPrice
	// is the maximum, per unit of the price of crossing zones (where 1 is the full value of a
	// request).
	minOwnZone, ownZonePerPrice = 1.5, 100.0
	// minKindWeight is the minimum weight of a slow machine type; step is the rate at which weights
	// adapt.
	minKindWeight, step = 0.25, 0.05
)

// Weights holds the weights of one agent.
type Weights struct {
	OwnZone float64 // of a server in the own zone
	zone    int
	price   float64 // of a request that crosses zones, as a fraction of its value
	kinds   *[256]kind

	ownLatency, otherLatency, meanLatency float64
}

type kind struct{ latency, weight float64 }

// New returns the Weights of an agent in a zone, with the given price of crossing zones; byKind
// enables weights by machine type, for lists without weights.
func New(zone int, price float64, byKind bool) *Weights {
	w := &Weights{OwnZone: minOwnZone, zone: zone, price: price}
	if byKind {
		w.kinds = new([256]kind)
		for i := range w.kinds {
			w.kinds[i].weight = 1
		}
	}
	return w
}

// Of returns the weight of a server by its zone and machine type, by which its weight in the list is
// multiplied.
func (w *Weights) Of(zone, kind int) float64 {
	x := 1.0
	if w.kinds != nil {
		x = w.kinds[kind&255].weight
	}
	if zone == w.zone {
		x *= w.OwnZone
	}
	return x
}

// Observe records a latency, as a fraction of the latency target, of a server by its zone and machine
// type. Where crossing zones has a price, the own zone gets a higher weight for as long as it answers
// no slower than the others; with more traffic than it can carry it gets slower. A machine type that
// is slower than the mean gets a lower weight: equal shares overload the small machines (i5db14f).
func (w *Weights) Observe(zone, kind int, x float64) {
	latency := &w.otherLatency
	if zone == w.zone {
		latency = &w.ownLatency
	}
	*latency = arith.Mean(*latency, x, step)
	w.OwnZone = arith.StepWeight(w.OwnZone, step, w.ownLatency > w.otherLatency*(1+w.price),
		minOwnZone, max(ownZonePerPrice*w.price, minOwnZone))
	if w.kinds == nil {
		return
	}
	w.meanLatency = arith.Mean(w.meanLatency, x, step)
	k := &w.kinds[kind&255]
	k.latency = arith.Mean(k.latency, x, step)
	k.weight = arith.StepWeight(k.weight, step, k.latency > w.meanLatency, minKindWeight, 1)
}
