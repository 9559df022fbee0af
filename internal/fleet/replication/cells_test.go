package replication

import (
	"encoding/binary"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

// cell is the state of one machine and its disk in the search. It is immutable once it is interned.
type cell struct {
	i           int // index of the machine
	m           *Machine
	app         *logApp
	disk        PersistentState
	identities  int // number of identities generated
	incarnation int // number of processes ended
	wiped       []ID
	// frozen is the clock jump of a frozen machine at its next input; 0: not frozen.
	frozen time.Duration

	// State examined by the rules.
	status    Status
	view      string
	durable   []string // the record on the disk
	heldEpoch uint64   // the epoch of which the disk makes the machine a holder, 0: none
}

// clone returns a copy to which a step can be applied.
func (c *cell) clone(err *error) *cell {
	n := &cell{i: c.i, disk: c.disk, identities: c.identities, incarnation: c.incarnation, wiped: c.wiped, frozen: c.frozen}
	n.disk.Changes = slices.Clip(c.disk.Changes)
	n.app = &logApp{log: slices.Clone(c.app.log), err: err}
	n.m = cloneMachine(c.m, n.app)
	n.seedRandom()
	return n
}

// seedRandom sets a deterministic source of random numbers: unique for each identity, otherwise the same in all states.
func (c *cell) seedRandom() {
	n := uint64(c.i+1)<<32 | uint64(c.identities)
	c.m.opt.Rand = func() uint64 { return n }
}

// clock returns the time of the next input, including the clock jump of a frozen machine, and ends the freeze.
func (c *cell) clock() time.Duration {
	now := c.m.now + c.frozen
	c.frozen = 0
	return now
}

// update sets the fields derived from the machine and its disk after a step.
func (c *cell) update(before ID) {
	if c.m.identity.ID != before {
		c.identities++
	}
	c.status = c.m.Status()
	c.view = fmt.Sprint(c.status.View)
	c.durable, c.heldEpoch = nil, 0
	if d := &c.disk; d.View.rank(d.Identity.ID) >= 0 && d.Replica.RecordEpoch == d.View.Epoch {
		c.heldEpoch = d.View.Epoch
	}
	if s := c.disk.Snapshot; s != nil && len(s.Body) > 0 {
		c.durable = strings.Split(string(s.Body), "\n")
	}
	for _, ch := range c.disk.Changes {
		c.durable = append(c.durable, string(ch.Body))
	}
}

// cloneMachine copies all state that inputs modify in place. Values that they only replace (views, messages' values)
// are shared.
func cloneMachine(m *Machine, app *logApp) *Machine {
	c := *m
	c.app = app
	c.log.changes = slices.Clone(m.log.changes)
	c.peers.lastActive = maps.Clone(m.peers.lastActive)
	c.peers.laggedAt = maps.Clone(m.peers.laggedAt)
	c.peers.foundersSeen = maps.Clone(m.peers.foundersSeen)
	c.primary.pendingWrites = slices.Clone(m.primary.pendingWrites)
	c.primary.pendingReads = slices.Clone(m.primary.pendingReads)
	c.primary.joiners = cloneValues(m.primary.joiners)
	c.primary.progress = cloneValues(m.primary.progress)
	c.transfers.positions = maps.Clone(m.transfers.positions)
	c.transfers.outgoing = cloneValues(m.transfers.outgoing)
	if m.transfers.incoming != nil {
		k := *m.transfers.incoming
		k.body = slices.Clip(k.body)
		c.transfers.incoming = &k
	}
	if m.candidacy != nil {
		k := *m.candidacy
		k.staged, k.accepted = maps.Clone(k.staged), maps.Clone(k.accepted)
		k.promises = cloneValues(k.promises)
		c.candidacy = &k
	}
	return &c
}

// cloneValues copies a map and the values that it points to.
func cloneValues[K comparable, V any](from map[K]*V) map[K]*V {
	if from == nil {
		return nil
	}
	to := make(map[K]*V, len(from))
	for k, v := range from {
		c := *v
		to[k] = &c
	}
	return to
}

// canonicalEncoder encodes values so that equal ones have equal encodings: maps sorted, pointers followed, times
// relative to now.
type canonicalEncoder struct {
	b   []byte
	now time.Duration
}

const longAgo = 20 * time.Second // longer than all time-outs in the search

// key returns the cell's identity in the search: cells with equal keys behave the same at every input.
func (c *cell) key() string {
	w := canonicalEncoder{now: c.m.now}
	w.num(uint64(c.i))
	w.num(uint64(c.identities))
	w.num(uint64(c.incarnation))
	m := reflect.ValueOf(c.m).Elem()
	for i := range m.NumField() {
		switch m.Type().Field(i).Name {
		case "opt", "app", "out", "write":
		default:
			w.value(m.Field(i))
		}
	}
	w.value(reflect.ValueOf(c.app.log))
	w.value(reflect.ValueOf(&c.disk).Elem())
	w.value(reflect.ValueOf(c.wiped))
	w.num(uint64(c.frozen))
	return string(w.b)
}

func (w *canonicalEncoder) num(n uint64) { w.b = binary.AppendUvarint(w.b, n) }

func (w *canonicalEncoder) value(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			w.num(0)
			return
		}
		w.num(1)
		w.value(v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			w.value(v.Field(i))
		}
	case reflect.Slice:
		w.num(uint64(v.Len()))
		for i := range v.Len() {
			w.value(v.Index(i))
		}
	case reflect.Map:
		var keys []string
		by := map[string]reflect.Value{}
		for _, k := range v.MapKeys() {
			keys = append(keys, k.String())
			by[k.String()] = v.MapIndex(k)
		}
		slices.Sort(keys)
		w.num(uint64(len(keys)))
		for _, k := range keys {
			w.num(uint64(len(k)))
			w.b = append(w.b, k...)
			w.value(by[k])
		}
	case reflect.String:
		w.num(uint64(v.Len()))
		w.b = append(w.b, v.String()...)
	case reflect.Bool:
		if v.Bool() {
			w.num(1)
		} else {
			w.num(0)
		}
	case reflect.Uint64, reflect.Uint8:
		w.num(v.Uint())
	case reflect.Int:
		w.num(uint64(v.Int()))
	case reflect.Int64: // a time
		d := time.Duration(v.Int())
		if d < 0 {
			w.num(0)
			return
		}
		d = max(d-w.now, -longAgo)
		w.num(uint64(d + longAgo + 1))
	default:
		panic("kind " + v.Kind().String())
	}
}
