// Package weights lets answer times set the weights of servers that the list does not tell: of the
// agent's own zone and of each kind of machine. No I/O, no time; Weights belong to whoever holds them.
package weights

import "molepaddle/internal/decide/arith"

const (
	// ownZone is how much more a server of the own zone weighs at the least, ownPrice the most for
	// the whole worth as the price of crossing.
	ownZone, ownPrice = 1.5, 100.0
	// leastKind is what a slow kind of machine keeps, step how fast weights follow.
	leastKind, step = 0.25, 0.05
)

// Weights are one agent's.
type Weights struct {
	Home  float64 // of a server in the own zone
	zone  int
	price float64 // of a request that crosses zones, as a part of its worth
	kinds *[256]kind

	homeLat, awayLat, allLat float64
}

type kind struct{ lat, weight float64 }

// New makes the weights of an agent in a zone, where crossing has a price; byKind tells whether
// kinds of machines are to be weighed, as where the list says no weights.
func New(zone int, price float64, byKind bool) *Weights {
	w := &Weights{Home: ownZone, zone: zone, price: price}
	if byKind {
		w.kinds = new([256]kind)
		for i := range w.kinds {
			w.kinds[i].weight = 1
		}
	}
	return w
}

// Of is the weight of a server of a zone and a kind, beside what the list says of it.
func (w *Weights) Of(zone, kind int) float64 {
	x := 1.0
	if w.kinds != nil {
		x = w.kinds[kind&255].weight
	}
	if zone == w.zone {
		x *= w.Home
	}
	return x
}

// Answered takes an answer time, as a part of the aim, of a server of a zone and a kind. Where
// crossing has a price the own zone gets more in proportion, as long as it answers no slower than
// the rest: what has more traffic than it can carry gets slower. A kind that answers later than all
// gets less: equal shares choke the small ones (i5db14f).
func (w *Weights) Answered(zone, kind int, x float64) {
	lat := &w.awayLat
	if zone == w.zone {
		lat = &w.homeLat
	}
	*lat = arith.Mean(*lat, x, step)
	w.Home = arith.StepWeight(w.Home, step, w.homeLat > w.awayLat*(1+w.price), ownZone, max(ownPrice*w.price, ownZone))
	if w.kinds == nil {
		return
	}
	w.allLat = arith.Mean(w.allLat, x, step)
	k := &w.kinds[kind&255]
	k.lat = arith.Mean(k.lat, x, step)
	k.weight = arith.StepWeight(k.weight, step, k.lat > w.allLat, leastKind, 1)
}
