// Package wire translates between the simulator's binary frames and the
// policy's events and actions. It makes no decisions. A Decoder or Encoder
// must not be used from several goroutines at once.
package wire

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
	"molepaddle/policy"
)

// Record sizes, in bytes.
const (
	EventSize  = 48
	ActionSize = 24
	entrySize  = 24
	maxFrame   = 1 << 30 // far above the size of any valid batch
)

// Event codes.
const (
	codeDropped  = 16
	codeAsk      = 17
	codeVerdict  = 18
	codePool     = 19
	codeFlowing  = 20
	codeKilled   = 21
	codeTargets  = 22
	codePeerData = 23
	codeHealth   = 24
	codeBoot     = 25
	codeFired    = 26
)

// Action codes.
const (
	codeHangUp      = 80
	codeNotNow      = 81
	codeTouch       = 82
	codeFollow      = 83
	codeCallOut     = 84
	codeReadList    = 85
	codeCrash       = 87
	codeNotifyMe    = 88
	codeRetract     = 89
	codeFinishError = 90
)

// Kind is the type of a record in a batch.
type Kind uint8

// The kinds of records, with the fields that they use.
const (
	Boot   Kind = iota + 1 // Instance, Seed, Settings
	Killed                 // Instance
	Event                  // Instance, Event
)

// Record is one event record of a batch, with the list of endpoints already resolved from its table number.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings []byte
	Event    policy.Event
}

// Decoder reads batches from a stream. It stores the numbered tables of
// endpoints, which all instances of the process share read-only.
type Decoder struct {
	r     io.Reader
	buf   []byte
	pools [16][]cluster.Entry
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder { return &Decoder{r: r} }

// Next reads one batch and calls fn for each record in order, with the batch's
// clock. It returns io.EOF if the input ends between two batches.
func (d *Decoder) Next(fn func(now float64, rec *Record) error) error {
	var head [8]byte
	if _, err := io.ReadFull(d.r, head[:]); err != nil {
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return io.EOF
		}
		return fmt.Errorf("batch header: truncated: %w", err)
	}
	count, size := binary.BigEndian.Uint32(head[:4]), binary.BigEndian.Uint32(head[4:])
	if size < 8 || size > maxFrame {
		return fmt.Errorf("batch header: length: %d is out of range", size)
	}
	if uint64(count)*EventSize > uint64(size)-8 {
		return fmt.Errorf("batch header: number of records: %d do not fit into %d bytes", count, size)
	}
	if err := d.readBody(int(size)); err != nil {
		return err
	}
	now := getF64(d.buf)
	if math.IsNaN(now) || math.IsInf(now, 0) {
		return fmt.Errorf("batch header: clock: not a number")
	}
	records := d.buf[8 : 8+int(count)*EventSize]
	tail := d.buf[8+len(records):]
	var rec Record
	for i := 0; i < int(count); i++ {
		raw := records[i*EventSize : (i+1)*EventSize]
		rec = Record{}
		if err := d.decode(raw, tail, &rec); err != nil {
			return fmt.Errorf("record %d: %w", i, err)
		}
		if rec.Kind == 0 {
			continue // a pool record: stored by decode, not passed to fn
		}
		if err := fn(now, &rec); err != nil {
			return err
		}
	}
	return nil
}

// readBody reads size bytes into the buffer in steps, so that a wrong length allocates
// no more than about twice the bytes that really arrive.
func (d *Decoder) readBody(size int) error {
	const step = 1 << 20
	d.buf = d.buf[:0]
	for len(d.buf) < size {
		n := min(step, size-len(d.buf))
		at := len(d.buf)
		if cap(d.buf) < at+n {
			d.buf = append(d.buf, make([]byte, n)...)
		}
		d.buf = d.buf[:at+n]
		if _, err := io.ReadFull(d.r, d.buf[at:]); err != nil {
			return fmt.Errorf("batch: truncated at %d of %d bytes: %w", at, size, err)
		}
	}
	return nil
}

// tailSpan returns the part of the tail that an (offset, length) field refers to. The length is in units of
// unit bytes.
func tailSpan(field string, raw, tail []byte, unit int) ([]byte, error) {
	off, n := uint64(binary.BigEndian.Uint32(raw)), uint64(binary.BigEndian.Uint32(raw[4:]))
	if off+n*uint64(unit) > uint64(len(tail)) {
		return nil, fmt.Errorf("%s: offset %d and length %d exceed the tail of %d bytes", field, off, n, len(tail))
	}
	return tail[off : off+n*uint64(unit)], nil
}

func (d *Decoder) decode(raw, tail []byte, rec *Record) (err error) {
	be := binary.BigEndian
	rec.Kind = Event
	rec.Instance = be.Uint32(raw[1:])
	ev := &rec.Event
	switch raw[0] {
	case codeBoot:
		rec.Kind, rec.Seed = Boot, be.Uint64(raw[5:])
		rec.Settings, err = tailSpan("boot: settings", raw[13:], tail, 1)
		return err
	case codeKilled:
		rec.Kind = Killed
	case codePool:
		rec.Kind = 0
		return d.storePool(raw, tail)
	case codeTargets:
		ev.Kind, ev.List = policy.EvList, cluster.ListKind(raw[5])
		if raw[5] > uint8(cluster.ListFailed) {
			return fmt.Errorf("targets: mode: unknown value %d", raw[5])
		}
		if ev.List != cluster.ListFailed {
			table := be.Uint32(raw[10:])
			if int64(table) >= int64(len(d.pools)) {
				return fmt.Errorf("targets: table: %d is out of range", table)
			}
			ev.Entries = d.pools[table]
		}
	case codeAsk:
		ev.Kind, ev.Request = policy.EvRequest, policy.RequestID(be.Uint32(raw[5:]))
		ev.Class, ev.Tenant = int(be.Uint16(raw[9:])), int(be.Uint32(raw[11:]))
		ev.Key, ev.LeftMs, ev.HintMs = be.Uint64(raw[15:]), getF64(raw[23:]), getF64(raw[31:])
		ev.HasHint, ev.Retry = raw[39]&1 != 0, raw[39]&2 != 0
	case codeVerdict:
		ev.Kind, ev.Request = policy.EvOutcome, policy.RequestID(be.Uint32(raw[5:]))
		ev.Attempt, ev.Server = int(be.Uint16(raw[9:])), cluster.Addr(raw[11:17])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[17:])), getF64(raw[19:])
		ev.Final = raw[27] != 0
		ev.Report, err = decodeReport("verdict: report", raw[28:])
		if err == nil && (ev.Status != policy.OK && (ev.Status < policy.Error || ev.Status > policy.Abandoned)) {
			err = fmt.Errorf("verdict: ending: unknown value %d", ev.Status)
		}
	case codeFlowing:
		ev.Kind, ev.Request = policy.EvStarted, policy.RequestID(be.Uint32(raw[5:]))
		ev.Server, ev.LatencyMs, ev.Attempt = cluster.Addr(raw[9:15]), getF64(raw[15:]), int(be.Uint16(raw[23:]))
	case codeDropped:
		ev.Kind, ev.Request = policy.EvDropped, policy.RequestID(be.Uint32(raw[5:]))
	case codeHealth:
		ev.Kind, ev.Server = policy.EvProbed, cluster.Addr(raw[5:11])
		ev.Status, ev.LatencyMs = policy.Status(be.Uint16(raw[11:])), getF64(raw[13:])
		ev.Report, err = decodeReport("health: report", raw[21:])
	case codeFired:
		ev.Kind, ev.Token = policy.EvTimer, be.Uint32(raw[5:])
	case codePeerData:
		ev.Kind = policy.EvPeer
		_, err = tailSpan("peer_data: msg", raw[9:], tail, 1)
	default:
		return fmt.Errorf("code: unknown event %d", raw[0])
	}
	return err
}

func (d *Decoder) storePool(raw, tail []byte) error {
	be := binary.BigEndian
	table := be.Uint32(raw[1:])
	if int64(table) >= int64(len(d.pools)) {
		return fmt.Errorf("pool: table: %d is out of range", table)
	}
	lines, err := tailSpan("pool: hosts", raw[5:], tail, entrySize)
	if err != nil {
		return err
	}
	entries := make([]cluster.Entry, 0, len(lines)/entrySize)
	for ; len(lines) > 0; lines = lines[entrySize:] {
		if lines[10] > uint8(cluster.Gone) {
			return fmt.Errorf("pool: health: unknown value %d", lines[10])
		}
		entries = append(entries, cluster.Entry{
			Zone:    int(be.Uint16(lines)),
			SinceMs: getF64(lines[2:]),
			Health:  cluster.Health(lines[10]),
			Server:  cluster.Addr(lines[11:17]),
			Weight:  float64(math.Float32frombits(be.Uint32(lines[17:]))),
			Cell:    int(be.Uint16(lines[21:])),
			Kind:    int(lines[23]),
		})
	}
	d.pools[table] = entries // a new slice: earlier events still refer to the old one
	return nil
}

func decodeReport(field string, raw []byte) ([]float32, error) {
	if raw[0] == 0 {
		return nil, nil
	}
	if raw[0] > 4 {
		return nil, fmt.Errorf("%s: %d values, at most 4", field, raw[0])
	}
	values := make([]float32, raw[0])
	for i := range values {
		values[i] = math.Float32frombits(binary.BigEndian.Uint32(raw[1+4*i:]))
	}
	return values, nil
}

// ParseSettings parses the JSON settings of a boot record. Unknown keys are ignored.
func ParseSettings(text []byte) (settings.Settings, error) {
	var s settings.Settings
	if err := json.Unmarshal(text, &s); err != nil {
		var bad *json.UnmarshalTypeError
		if errors.As(err, &bad) {
			return s, fmt.Errorf("settings: %s: cannot be a %s", bad.Field, bad.Value)
		}
		return s, fmt.Errorf("settings: no JSON: %w", err)
	}
	return s, nil
}

// Encoder builds a reply frame from actions. Reset starts the next frame.
type Encoder struct {
	count   uint32
	records []byte
	tail    []byte
}

// Reset clears the reply.
func (e *Encoder) Reset() { e.count, e.records, e.tail = 0, e.records[:0], e.tail[:0] }

func (e *Encoder) record(code byte, instance uint32) []byte {
	at := len(e.records)
	e.records = append(e.records, make([]byte, ActionSize)...)
	e.count++
	raw := e.records[at:]
	raw[0] = code
	binary.BigEndian.PutUint32(raw[1:], instance)
	return raw
}

func (e *Encoder) text(code byte, instance uint32, text string) {
	raw := e.record(code, instance)
	binary.BigEndian.PutUint32(raw[5:], uint32(len(e.tail)))
	binary.BigEndian.PutUint32(raw[9:], uint32(len(text)))
	e.tail = append(e.tail, text...)
}

// Crash appends a crash report of an instance, with the text of its error.
func (e *Encoder) Crash(instance uint32, text string) { e.text(codeCrash, instance, text) }

// Add appends an action of an instance.
func (e *Encoder) Add(instance uint32, a *policy.Action) {
	be := binary.BigEndian
	switch a.Kind {
	case policy.ActSend:
		raw := e.record(codeCallOut, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		copy(raw[9:15], a.Server[:])
		putF64(raw[15:], a.Ms)
	case policy.ActCancel:
		raw := e.record(codeRetract, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		be.PutUint16(raw[9:], uint16(a.Attempt))
	case policy.ActRefuse:
		raw := e.record(codeNotNow, instance)
		be.PutUint32(raw[5:], uint32(a.Request))
		putF64(raw[9:], a.Ms)
	case policy.ActFail:
		be.PutUint32(e.record(codeFinishError, instance)[5:], uint32(a.Request))
	case policy.ActProbe:
		copy(e.record(codeTouch, instance)[5:11], a.Server[:])
	case policy.ActTimer:
		raw := e.record(codeNotifyMe, instance)
		putF64(raw[5:], a.Ms)
		be.PutUint32(raw[13:], a.Token)
	case policy.ActFollow:
		e.record(codeFollow, instance)[5] = 1
	case policy.ActFetch:
		e.record(codeReadList, instance)
	case policy.ActClose:
		copy(e.record(codeHangUp, instance)[5:11], a.Server[:])
	}
}

// WriteTo writes the reply frame.
func (e *Encoder) WriteTo(w io.Writer) (int64, error) {
	var head [8]byte
	binary.BigEndian.PutUint32(head[:], e.count)
	binary.BigEndian.PutUint32(head[4:], uint32(len(e.records)+len(e.tail)))
	var total int64
	for _, part := range [][]byte{head[:], e.records, e.tail} {
		n, err := w.Write(part)
		total += int64(n)
		if err != nil {
			return total, err
		}
	}
	return total, nil
}

func getF64(raw []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(raw)) }

func putF64(raw []byte, v float64) { binary.BigEndian.PutUint64(raw, math.Float64bits(v)) }
