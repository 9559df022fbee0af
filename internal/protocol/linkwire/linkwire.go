// Package linkwire is the wire of a link between two gateways: frames, and what is in them.
// docs/LINK.md writes it down for other programs. The package has no I/O but the reader and
// the buffer that it is handed, no state, and no goroutine.
//
// A frame is a length of four bytes, big endian, that counts what follows; a byte that tells
// its kind; and one CBOR array (RFC 8949), definite lengths only, with the fields of the
// kind's struct in their order. Nothing is believed: lengths are bounded before anything is
// read or held, and Decode checks every field that has bounds.
package linkwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"github.com/fxamacker/cbor/v2"
)

// The versions of the protocol that this package speaks.
const (
	MinVersion = 1
	MaxVersion = 2 // from 2 on: Query, Verdict
)

// Magic opens every Hello.
const Magic = "molepaddle-link"

// Bounds of the wire, in bytes but where it says otherwise.
const (
	MaxFrame      = 32 << 10 // of a frame, its length and kind left out
	MaxPart       = 16 << 10 // of a body in one frame
	MaxBody       = 64 << 10 // of a request or an answer
	MaxText       = 256      // of names, ids and keys
	MaxTarget       = 8 << 10  // of a target
	MaxAcks       = 1024     // numbers in an Ack, heads or wants in a News
	MaxRecordBody = 1024     // of one record
	MaxRecords    = 24       // in a News
	MaxTime       = 120e6    // of times that are spans, in microseconds
	maxClock      = 1 << 60  // of times that are readings of a clock
	maxTries      = 1 << 10
)

// Kind is what a frame holds.
type Kind byte

// The kinds.
const (
	KindHello   Kind = 1
	KindBeat    Kind = 2
	KindOffer   Kind = 3
	KindPart    Kind = 4
	KindFence   Kind = 5
	KindCancel  Kind = 6
	KindEnded   Kind = 7
	KindNever   Kind = 8
	KindBegun   Kind = 9
	KindUnsure  Kind = 10
	KindDrain   Kind = 11
	KindAck     Kind = 12
	KindBye     Kind = 13
	KindNews    Kind = 14
	KindWord    Kind = 15
	KindQuery   Kind = 16
	KindVerdict Kind = 17
)

// Frame is what a frame may hold: a pointer to one of the structs below.
type Frame interface {
	Kind() Kind
	check() error
}

// Hello is the first frame of each end. The near end speaks first.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Magic       string
	Least, Most uint64 // versions that it speaks
	Name        string // of the gateway
	Incarnation uint64 // drawn anew by each process; not 0
	Crossings   uint64 // of the far end: how many it takes of this near end at once
	Bytes       uint64 // and their bodies' bytes
	Now         uint64 // its clock, in microseconds
	Draining    bool
}

// Beat comes from each end all the time.
type Beat struct {
	_        struct{} `cbor:",toarray"`
	Now      uint64   // the sender's clock
	Echo     uint64   // the Now of the last beat that came; 0: none yet
	Held     uint64   // how long ago that was
	Open     uint64   // crossings that the sender holds
	Draining bool
}

// Lease is until when a crossing holds, by the far end's own clock: Quote is a reading of
// it that the far end has told, Begin and Life are spans from there. After Begin nothing of
// it begins, after Life nothing goes on.
type Lease struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the process whose clock is quoted
	Quote       uint64
	Begin       uint64
	Life        uint64
}

// Offer is a request. If Size is over the length of Body, Parts with the rest follow.
type Offer struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Lease       Lease
	Tries       uint64 // attempts that the far end may make
	Class       string
	Effect      string
	Tenant      string
	Key         uint64
	HintUs      uint64 // 0: none
	Retry       bool
	ID          string
	Method      string
	Target      string
	Host        string
	ContentType string
	Idempotency string
	Size        uint64
	Body        []byte
}

// Part is more of the body of an Offer or an Ended that came before it on its connection.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Body   []byte
}

// Fence asks what has become of a crossing, and bars it if it has not begun.
type Fence struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lease  Lease // that of its offer
}

// Cancel does the same, and ends what has begun.
type Cancel struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lease  Lease
}

// The results of a crossing that ran.
const (
	Served  = 0 // Body is the answer
	Failed  = 1
	Refused = 2 // asking again is harmless, though it may have run
)

// Ended tells that a crossing ran, and its answer.
type Ended struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Result      uint64
	Tries       uint64 // attempts that were made
	RetryUs     uint64 // advice; 0: none
	ContentType string
	Size        uint64
	Body        []byte
}

// Why a crossing never began.
const (
	WhyRefused   = 0 // by the far end's decisions
	WhyLapsed    = 1 // it came too late
	WhyDraining  = 2
	WhyFull      = 3
	WhyBarred    = 4 // the near end has asked for it
	WhyUnknown   = 5 // its class is not known there, or another by its effect
	WhyCancelled = 6
)

// Never tells that a crossing never began and never will.
type Never struct {
	_       struct{} `cbor:",toarray"`
	Number  uint64
	Why     uint64
	Tries   uint64 // attempts that were made, all of which were turned away
	RetryUs uint64
}

// Begun tells, when asked, that a crossing has begun.
type Begun struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Unsure tells, when asked, that nothing is known and nothing can be barred.
type Unsure struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Drain tells that the sender takes nothing new. What it holds it finishes.
type Drain struct {
	_ struct{} `cbor:",toarray"`
}

// Ack tells the far end that these have their verdicts: their answers may be let go.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Numbers []uint64
}

// Bye is the last frame before the sender closes.
type Bye struct {
	_    struct{} `cbor:",toarray"`
	Text string
}

// News is what peers of one fleet tell each other of their views; package members says what the
// fields mean. It goes over links between peers, and no others.
type News struct {
	_       struct{} `cbor:",toarray"`
	Digest  uint64
	Stamp   uint64
	Echo    uint64
	Sums    []uint64
	Mask    uint64
	Heads   []Head
	Want    []uint64
	Records []Entry
}

// Word is a part of what one peer has to say to another, whole in order on its link. Topics that are
// not known are left alone.
type Word struct {
	_      struct{} `cbor:",toarray"`
	Topic  uint64   // 0: the council, 1: a call, 2: its answer
	Number uint64   // of a call, and of its answer
	More   bool     // parts with the same topic and number follow
	Body   []byte
}

// MaxTopic bounds topics.
const MaxTopic = 15

func (f *Word) check() error {
	return firstError(checkMax("topic", f.Topic, MaxTopic), checkMax("part", uint64(len(f.Body)), MaxPart))
}

// Kind tells what a frame is.
func (*Word) Kind() Kind { return KindWord }

// Query asks a far gateway what is known of a crossing that was offered to another one of its site, which
// can't be asked.
type Query struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64   // of the crossing
	Holder      string   // the gateway that it was offered to
	Incarnation uint64   // and its process
	SinceUs     uint64   // how long ago, by the near end's clock
}

// The words of a Verdict.
const (
	VerdictUnsure  = 0 // nothing can be proven
	VerdictNever   = 1 // it never began and never will
	VerdictOver    = 2 // it may have run, and nothing more of it begins
	VerdictReplied = 3 // it ran: the answer is with it
)

// Verdict answers a Query.
type Verdict struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Holder      string
	Incarnation uint64
	Word        uint64
	Result      uint64
	ContentType string
	Body        []byte
}

func (f *Query) check() error {
	return firstError(checkNumber(f.Number), checkText("holder", f.Holder, MaxText, true), checkMax("since", f.SinceUs, maxClock))
}

func (f *Verdict) check() error {
	return firstError(checkNumber(f.Number), checkText("holder", f.Holder, MaxText, true), checkMax("word", f.Word, VerdictReplied), checkMax("result", f.Result, Refused),
		checkText("content type", f.ContentType, MaxText, false), checkMax("body", uint64(len(f.Body)), MaxPart))
}

// Kind tells what a frame is.
func (*Query) Kind() Kind { return KindQuery }

// Kind tells what a frame is.
func (*Verdict) Kind() Kind { return KindVerdict }

// Head is a record's key and version.
type Head struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Version uint64
}

// Entry is one record of a view. Body is CBOR of its own, a Self or a list of Words by Subject, and
// is passed on as it came.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Subject     uint64 // 0: a Self, 1: a Watch, 2: Orders; later builds may have more
	Version     uint64
	Body        []byte
}

// Self is what a process says of itself. Keys that are not known are left alone.
type Self struct {
	Machine  string  `cbor:"1,keyasint,omitempty"`
	Zone     string  `cbor:"2,keyasint,omitempty"`
	Role     string  `cbor:"3,keyasint,omitempty"`
	Build    string  `cbor:"4,keyasint,omitempty"`
	Settings string  `cbor:"5,keyasint,omitempty"`
	Process  string  `cbor:"6,keyasint,omitempty"`
	Address  string  `cbor:"7,keyasint,omitempty"`
	Load     float64 `cbor:"8,keyasint,omitempty"`
	Seat     uint64  `cbor:"12,keyasint,omitempty"`
	Stopped  uint64  `cbor:"13,keyasint,omitempty"`
	Rate     float64 `cbor:"14,keyasint,omitempty"`
	Holds    bool    `cbor:"15,keyasint,omitempty"`
	Silent   string  `cbor:"16,keyasint,omitempty"`
	Joined   bool    `cbor:"9,keyasint,omitempty"`
	Left     bool    `cbor:"10,keyasint,omitempty"`
	Twin     bool    `cbor:"11,keyasint,omitempty"`
}

// MaxSelf bounds a Self's body, in bytes.
const MaxSelf = 512

// EncodeSelf words a Self. One over its bounds is an error.
func EncodeSelf(s *Self) ([]byte, error) {
	text, err := enc.Marshal(s)
	if err == nil {
		err = s.check(len(text))
	}
	return text, err
}

// DecodeSelf reads one.
func DecodeSelf(body []byte) (s Self, err error) {
	if err = dec.Unmarshal(body, &s); err == nil {
		err = s.check(len(body))
	}
	return s, err
}

func (s *Self) check(size int) error {
	for _, x := range []float64{s.Load, s.Rate} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return errors.New("load or rate: no number")
		}
	}
	return firstError(checkMax("self", uint64(size), MaxSelf), checkText("machine", s.Machine, MaxText, false), checkText("zone", s.Zone, MaxText, false),
		checkText("role", s.Role, MaxText, false), checkText("build", s.Build, MaxText, false), checkText("settings", s.Settings, MaxText, false),
		checkText("process", s.Process, MaxText, false), checkText("address", s.Address, MaxText, false), checkText("silent", s.Silent, MaxText, false))
}

// EncodeSuspicions words a Watch; ReadWords reads one.
func EncodeSuspicions(words []Head) ([]byte, error) { return enc.Marshal(words) }

// DecodeSuspicions reads a Watch.
func DecodeSuspicions(body []byte) (words []Head, err error) {
	err = dec.Unmarshal(body, &words)
	return words, err
}

func (f *News) check() error {
	err := firstError(checkMax("sums", uint64(len(f.Sums)), 64), checkMax("mask", f.Mask, math.MaxUint32), checkMax("heads", uint64(len(f.Heads)), MaxAcks),
		checkMax("want", uint64(len(f.Want)), MaxAcks), checkMax("records", uint64(len(f.Records)), MaxRecords))
	for i := range f.Records {
		e := &f.Records[i]
		if err != nil {
			break
		}
		if e.Incarnation == 0 || e.Version == 0 {
			err = errors.New("record: without incarnation or version")
			break
		}
		err = firstError(checkText("record", e.Name, MaxText, true), checkMax("subject", e.Subject, 15), checkMax("body", uint64(len(e.Body)), MaxRecordBody))
	}
	return err
}

// Kind tells what a frame is.
func (*News) Kind() Kind { return KindNews }

// Kind tells what a frame is.
func (*Hello) Kind() Kind { return KindHello }

// Kind tells what a frame is.
func (*Beat) Kind() Kind { return KindBeat }

// Kind tells what a frame is.
func (*Offer) Kind() Kind { return KindOffer }

// Kind tells what a frame is.
func (*Part) Kind() Kind { return KindPart }

// Kind tells what a frame is.
func (*Fence) Kind() Kind { return KindFence }

// Kind tells what a frame is.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind tells what a frame is.
func (*Ended) Kind() Kind { return KindEnded }

// Kind tells what a frame is.
func (*Never) Kind() Kind { return KindNever }

// Kind tells what a frame is.
func (*Begun) Kind() Kind { return KindBegun }

// Kind tells what a frame is.
func (*Unsure) Kind() Kind { return KindUnsure }

// Kind tells what a frame is.
func (*Drain) Kind() Kind { return KindDrain }

// Kind tells what a frame is.
func (*Ack) Kind() Kind { return KindAck }

// Kind tells what a frame is.
func (*Bye) Kind() Kind { return KindBye }

func newFrame(k Kind) Frame {
	switch k {
	case KindHello:
		return new(Hello)
	case KindBeat:
		return new(Beat)
	case KindOffer:
		return new(Offer)
	case KindPart:
		return new(Part)
	case KindFence:
		return new(Fence)
	case KindCancel:
		return new(Cancel)
	case KindEnded:
		return new(Ended)
	case KindNever:
		return new(Never)
	case KindBegun:
		return new(Begun)
	case KindUnsure:
		return new(Unsure)
	case KindDrain:
		return new(Drain)
	case KindAck:
		return new(Ack)
	case KindBye:
		return new(Bye)
	case KindNews:
		return new(News)
	case KindWord:
		return new(Word)
	case KindQuery:
		return new(Query)
	case KindVerdict:
		return new(Verdict)
	}
	return nil
}

// firstError is the firstError error of a list of checks.
func firstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkMax(what string, x, bound uint64) error {
	if x > bound {
		return fmt.Errorf("%s: %d is over %d", what, x, bound)
	}
	return nil
}

// checkText checks a text that is to hold no control characters and no more than bound bytes.
func checkText(what, text string, bound int, needed bool) error {
	if len(text) > bound {
		return fmt.Errorf("%s: %d bytes are over %d", what, len(text), bound)
	}
	if needed && text == "" {
		return fmt.Errorf("%s: missing", what)
	}
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fmt.Errorf("%s: a control character", what)
		}
	}
	return nil
}

// ValidText tells whether a text may stand in a frame where a word is called for.
func ValidText(text string) bool { return checkText("", text, MaxText, false) == nil }

func checkNumber(n uint64) error {
	if n == 0 || n > math.MaxInt64 {
		return fmt.Errorf("number: %d is none", n)
	}
	return nil
}

func checkBody(part []byte, size uint64) error {
	switch {
	case size > MaxBody:
		return fmt.Errorf("size: %d is over %d", size, MaxBody)
	case uint64(len(part)) > size || len(part) > MaxPart:
		return fmt.Errorf("body: %d bytes of %d", len(part), size)
	case size > 0 && len(part) == 0:
		return errors.New("body: none of it")
	}
	return nil
}

func (f *Hello) check() error {
	if f.Magic != Magic {
		return errors.New("magic: another protocol's")
	}
	if f.Least == 0 || f.Most < f.Least || f.Incarnation == 0 {
		return errors.New("versions or incarnation: none")
	}
	return firstError(checkText("name", f.Name, MaxText, true), checkMax("now", f.Now, maxClock))
}

func (f *Beat) check() error {
	return firstError(checkMax("now", f.Now, maxClock), checkMax("echo", f.Echo, maxClock), checkMax("held", f.Held, maxClock))
}

func (l *Lease) check() error {
	if l.Begin > l.Life {
		return errors.New("lease: begins after its end")
	}
	return firstError(checkMax("quote", l.Quote, maxClock), checkMax("life", l.Life, MaxTime))
}

func (f *Offer) check() error {
	return firstError(checkNumber(f.Number), f.Lease.check(), checkMax("tries", f.Tries, maxTries), checkMax("hint", f.HintUs, MaxTime),
		checkText("class", f.Class, MaxText, true), checkText("effect", f.Effect, MaxText, true), checkText("tenant", f.Tenant, MaxText, false),
		checkText("id", f.ID, MaxText, true), checkText("method", f.Method, 16, true), checkText("target", f.Target, MaxTarget, true),
		checkText("host", f.Host, MaxText, false), checkText("content type", f.ContentType, MaxText, false),
		checkText("idempotency key", f.Idempotency, MaxText, false), checkBody(f.Body, f.Size))
}

func (f *Part) check() error {
	if len(f.Body) == 0 || len(f.Body) > MaxPart {
		return fmt.Errorf("part: %d bytes", len(f.Body))
	}
	return checkNumber(f.Number)
}

func (f *Fence) check() error  { return firstError(checkNumber(f.Number), f.Lease.check()) }
func (f *Cancel) check() error { return firstError(checkNumber(f.Number), f.Lease.check()) }

func (f *Ended) check() error {
	return firstError(checkNumber(f.Number), checkMax("result", f.Result, Refused), checkMax("tries", f.Tries, maxTries),
		checkMax("retry", f.RetryUs, MaxTime), checkText("content type", f.ContentType, MaxText, false), checkBody(f.Body, f.Size))
}

func (f *Never) check() error {
	return firstError(checkNumber(f.Number), checkMax("why", f.Why, WhyCancelled), checkMax("tries", f.Tries, maxTries), checkMax("retry", f.RetryUs, MaxTime))
}

func (f *Begun) check() error  { return checkNumber(f.Number) }
func (f *Unsure) check() error { return checkNumber(f.Number) }
func (f *Drain) check() error  { return nil }
func (f *Bye) check() error    { return checkText("text", f.Text, 4*MaxText, false) }

func (f *Ack) check() error {
	for _, n := range f.Numbers {
		if err := checkNumber(n); err != nil {
			return err
		}
	}
	return checkMax("acks", uint64(len(f.Numbers)), MaxAcks)
}

var (
	enc = must(cbor.EncOptions{}.EncMode())
	dec = must(cbor.DecOptions{MaxArrayElements: MaxAcks, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](x T, err error) T {
	if err != nil {
		panic(err)
	}
	return x
}

// Append appends a frame to a buffer. A frame that its own bounds forbid is an error.
func Append(buf []byte, f Frame) ([]byte, error) {
	if err := f.check(); err != nil {
		return buf, err
	}
	text, err := enc.Marshal(f)
	if err != nil {
		return buf, err
	}
	if len(text) > MaxFrame {
		return buf, fmt.Errorf("frame: %d bytes are over %d", len(text), MaxFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(text)+1))
	buf = append(buf, byte(f.Kind()))
	return append(buf, text...), nil
}

// Decode reads what is in a frame of the kind.
func Decode(k Kind, text []byte) (Frame, error) {
	f := newFrame(k)
	if f == nil {
		return nil, fmt.Errorf("frame: kind %d is not known", k)
	}
	if err := dec.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("frame of kind %d: %w", k, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("frame of kind %d: %w", k, err)
	}
	return f, nil
}

// Reader reads frames. It holds one frame at the most.
type Reader struct {
	r   io.Reader
	buf []byte
}

// NewReader makes a reader of frames; r should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads the next frame. io.EOF is an end between two frames; in one it is
// io.ErrUnexpectedEOF.
func (r *Reader) Next() (Frame, error) {
	var head [5]byte
	if _, err := io.ReadFull(r.r, head[:4]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n < 1 || n > MaxFrame+1 {
		return nil, fmt.Errorf("frame: %d bytes", n)
	}
	if cap(r.buf) < int(n) {
		r.buf = make([]byte, max(int(n), 512))
	}
	buf := r.buf[:n]
	if _, err := io.ReadFull(r.r, buf); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return Decode(Kind(buf[0]), buf[1:])
}

// SingleFrame is one frame as what a link queues.
func SingleFrame(f Frame) func(buf []byte) (out []byte, more bool) {
	return func(buf []byte) ([]byte, bool) {
		buf, _ = Append(buf, f) // our own frames keep their bounds
		return buf, false
	}
}

// Item is an Ended and its parts as what a link queues: each call appends one frame.
func (f *Ended) Item() func(buf []byte) (out []byte, more bool) {
	sent := -1
	return func(buf []byte) ([]byte, bool) {
		var next Frame
		from := max(sent, 0)
		to := min(from+MaxPart, len(f.Body))
		if sent < 0 {
			head := *f
			head.Body = f.Body[:to]
			next = &head
		} else {
			next = &Part{Number: f.Number, Body: f.Body[from:to]}
		}
		sent = to
		buf, _ = Append(buf, next) // our own answers keep their bounds
		return buf, to < len(f.Body)
	}
}
