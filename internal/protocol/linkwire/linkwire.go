// Package linkwire implements the wire format of a link: frames and their contents. docs/LINK.md
// specifies it for other programs. The package has no state and no goroutines, and does no I/O except
// through the readers and buffers that it is given.
//
// A frame consists of a length of four bytes, big endian, that counts the bytes after it; one byte for
// the kind; and one CBOR array (RFC 8949), definite lengths only, with the fields of the kind's struct
// in their order. Input is not trusted: lengths are checked before anything is read or allocated, and
// Decode checks every field that has bounds.
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

// Magic is the first field of every Hello.
const Magic = "molepaddle-link"

// Limits of the format, in bytes except where noted.
const (
	MaxFrame      = 32 << 10 // of a frame without its length and kind
	MaxPart       = 16 << 10 // of a body in one frame
	MaxBody       = 64 << 10 // of a request or an answer
	MaxText       = 256      // of names, ids and keys
	MaxTarget     = 8 << 10  // of a target
	MaxAcks       = 1024     // numbers in an Ack, heads or wants in a News
	MaxRecordBody = 1024     // of one record
	MaxRecords    = 24       // in a News
	MaxTime       = 120e6    // of time spans, in microseconds
	maxClock      = 1 << 60  // of clock readings, in microseconds
	maxAttempts   = 1 << 10
)

// Kind identifies the struct that a frame contains.
type Kind byte

// The kinds of frames.
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

// Frame is the contents of a frame: a pointer to one of the structs below.
type Frame interface {
	Kind() Kind
	check() error
}

// Hello is the first frame from each end. The near end sends its Hello first.
type Hello struct {
	_                      struct{} `cbor:",toarray"`
	Magic                  string
	MinVersion, MaxVersion uint64 // supported versions
	Name                   string // name of the process
	Incarnation            uint64 // random id of the process; not 0
	Crossings              uint64 // from the far end: limit of concurrent crossings per near end
	Bytes                  uint64 // from the far end: limit of the bytes of their bodies
	Now                    uint64 // the sender's clock, in microseconds
	Draining               bool
}

// Beat is the heartbeat that each end sends at a fixed interval.
type Beat struct {
	_        struct{} `cbor:",toarray"`
	Now      uint64   // the sender's clock
	Echo     uint64   // the latest Now received; 0: none yet
	EchoAge  uint64   // time since it was received, in microseconds
	Open     uint64   // crossings open at the sender
	Draining bool
}

// Lease limits the execution of a crossing in time, by the far end's own clock. Quote is a reading of
// that clock which the far end has sent; Begin and Life are spans after it. No attempt starts after
// Begin, and nothing of the crossing runs after Life.
type Lease struct {
	_           struct{} `cbor:",toarray"`
	Incarnation uint64   // of the process whose clock was read
	Quote       uint64
	Begin       uint64
	Life        uint64
}

// Offer carries a request. If Size is greater than the length of Body, Parts with the remainder
// follow.
type Offer struct {
	_              struct{} `cbor:",toarray"`
	Number         uint64
	Lease          Lease
	MaxAttempts    uint64 // limit of attempts by the far end
	Class          string
	Effect         string
	Tenant         string
	Key            uint64
	HintUs         uint64 // 0: none
	Retry          bool
	ID             string
	Method         string
	Target         string
	Host           string
	ContentType    string
	IdempotencyKey string
	Size           uint64
	Body           []byte
}

// Part carries more of the body of an Offer or an Ended that was sent before it on the same
// connection.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Body   []byte
}

// Fence asks for the outcome of a crossing, and prevents it from starting if it has not begun.
type Fence struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lease  Lease // the lease of its offer
}

// Cancel does the same as Fence, and also stops a crossing that has begun.
type Cancel struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
	Lease  Lease
}

// The results of a crossing that ran.
const (
	Served  = 0 // Body is the answer
	Failed  = 1
	Refused = 2 // it ran, and the far end's core refused it in the end; the near end handles it like Failed
)

// Ended reports that a crossing ran, with its answer.
type Ended struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Result      uint64
	Attempts    uint64 // attempts made
	RetryUs     uint64 // advised delay before a retry, in microseconds; 0: none
	ContentType string
	Size        uint64
	Body        []byte
}

// Why a crossing never began.
const (
	ReasonRejected     = 0 // rejected by the far end's Balancer
	ReasonLeaseExpired = 1 // its lease had expired
	ReasonDraining     = 2
	ReasonFull         = 3
	ReasonFenced       = 4 // it was fenced
	ReasonUnknownClass = 5 // its class is unknown to the far end, or has another effect there
	ReasonCancelled    = 6
)

// Never reports that a crossing never began and never will.
type Never struct {
	_        struct{} `cbor:",toarray"`
	Number   uint64
	Reason   uint64
	Attempts uint64 // attempts made, all of which were rejected
	RetryUs  uint64
}

// Begun reports, in response to a Fence or Cancel, that a crossing has begun.
type Begun struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Unsure reports, in response to a Fence or Cancel, that the crossing is unknown and can't be fenced.
type Unsure struct {
	_      struct{} `cbor:",toarray"`
	Number uint64
}

// Drain reports that the sender accepts nothing new. It finishes what is in flight.
type Drain struct {
	_ struct{} `cbor:",toarray"`
}

// Ack acknowledges the outcomes of these crossings to the far end, so that it can release their answers.
type Ack struct {
	_       struct{} `cbor:",toarray"`
	Numbers []uint64
}

// Bye is the last frame before the sender closes the connection.
type Bye struct {
	_    struct{} `cbor:",toarray"`
	Text string
}

// News carries a message between the membership views of two peers; package members defines the
// meaning of the fields. It is sent on links between peers only.
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

// Word carries a part of an application message between peers; the parts of a message arrive in order
// on one link. Unknown topics are ignored.
type Word struct {
	_      struct{} `cbor:",toarray"`
	Topic  uint64   // 0: the council, 1: a call, 2: its answer
	Number uint64   // links a call and its answer
	More   bool     // parts with the same topic and number follow
	Body   []byte
}

// MaxTopic is the highest valid topic.
const MaxTopic = 15

func (f *Word) check() error {
	return firstError(checkMax("topic", f.Topic, MaxTopic), checkMax("part", uint64(len(f.Body)), MaxPart))
}

// Kind returns KindWord.
func (*Word) Kind() Kind { return KindWord }

// Query asks a far gateway for the outcome of a crossing that was offered to another gateway of its
// site, which can't be reached.
type Query struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64   // of the crossing
	Holder      string   // name of the gateway that it was offered to
	Incarnation uint64   // incarnation of that gateway
	SinceUs     uint64   // time since the offer, by the near end's clock
}

// The values of Verdict.Outcome.
const (
	VerdictUnsure  = 0 // the outcome is not known
	VerdictNever   = 1 // it never began and never will
	VerdictOver    = 2 // it may have run, and nothing more of it begins
	VerdictReplied = 3 // it ran, and the Verdict carries the answer
)

// Verdict answers a Query.
type Verdict struct {
	_           struct{} `cbor:",toarray"`
	Number      uint64
	Holder      string
	Incarnation uint64
	Outcome     uint64
	Result      uint64
	ContentType string
	Body        []byte
}

func (f *Query) check() error {
	return firstError(checkNumber(f.Number), checkText("holder", f.Holder, MaxText, true),
		checkMax("since", f.SinceUs, maxClock))
}

func (f *Verdict) check() error {
	return firstError(checkNumber(f.Number), checkText("holder", f.Holder, MaxText, true),
		checkMax("word", f.Outcome, VerdictReplied), checkMax("result", f.Result, Refused),
		checkText("content type", f.ContentType, MaxText, false), checkMax("body", uint64(len(f.Body)), MaxPart))
}

// Kind returns KindQuery.
func (*Query) Kind() Kind { return KindQuery }

// Kind returns KindVerdict.
func (*Verdict) Kind() Kind { return KindVerdict }

// Head is a record's key and version.
type Head struct {
	_       struct{} `cbor:",toarray"`
	Key     uint64
	Version uint64
}

// Entry is one record of a view. Body is a separate CBOR item, a Self, a list of suspicions or
// orders, depending on Subject, and is forwarded unchanged.
type Entry struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
	Subject     uint64 // 0: a Self, 1: suspicions, 2: orders; later versions may add more
	Version     uint64
	Body        []byte
}

// Self is the record in which a process describes itself. Unknown keys are ignored.
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

// MaxSelf is the limit of an encoded Self, in bytes.
const MaxSelf = 512

// EncodeSelf returns the encoding of a Self. It returns an error if a field or the size is out of
// bounds.
func EncodeSelf(s *Self) ([]byte, error) {
	text, err := enc.Marshal(s)
	if err == nil {
		err = s.check(len(text))
	}
	return text, err
}

// DecodeSelf decodes a Self and checks its bounds.
func DecodeSelf(body []byte) (s Self, err error) {
	if err = dec.Unmarshal(body, &s); err == nil {
		err = s.check(len(body))
	}
	return s, err
}

func (s *Self) check(size int) error {
	for _, x := range []float64{s.Load, s.Rate} {
		if math.IsNaN(x) || math.IsInf(x, 0) {
			return errors.New("load or rate: not a finite number")
		}
	}
	return firstError(checkMax("self", uint64(size), MaxSelf), checkText("machine", s.Machine, MaxText, false),
		checkText("zone", s.Zone, MaxText, false),
		checkText("role", s.Role, MaxText, false), checkText("build", s.Build, MaxText, false),
		checkText("settings", s.Settings, MaxText, false),
		checkText("process", s.Process, MaxText, false), checkText("address", s.Address, MaxText, false),
		checkText("silent", s.Silent, MaxText, false))
}

// EncodeSuspicions returns the encoding of a list of suspicions: the keys and versions of their
// targets.
func EncodeSuspicions(words []Head) ([]byte, error) { return enc.Marshal(words) }

// DecodeSuspicions decodes a list of suspicions.
func DecodeSuspicions(body []byte) (words []Head, err error) {
	err = dec.Unmarshal(body, &words)
	return words, err
}

func (f *News) check() error {
	err := firstError(checkMax("sums", uint64(len(f.Sums)), 64), checkMax("mask", f.Mask, math.MaxUint32),
		checkMax("heads", uint64(len(f.Heads)), MaxAcks),
		checkMax("want", uint64(len(f.Want)), MaxAcks), checkMax("records", uint64(len(f.Records)), MaxRecords))
	for i := range f.Records {
		e := &f.Records[i]
		if err != nil {
			break
		}
		if e.Incarnation == 0 || e.Version == 0 {
			err = errors.New("record: incarnation or version is missing")
			break
		}
		err = firstError(checkText("record", e.Name, MaxText, true), checkMax("subject", e.Subject, 15),
			checkMax("body", uint64(len(e.Body)), MaxRecordBody))
	}
	return err
}

// Kind returns KindNews.
func (*News) Kind() Kind { return KindNews }

// Kind returns KindHello.
func (*Hello) Kind() Kind { return KindHello }

// Kind returns KindBeat.
func (*Beat) Kind() Kind { return KindBeat }

// Kind returns KindOffer.
func (*Offer) Kind() Kind { return KindOffer }

// Kind returns KindPart.
func (*Part) Kind() Kind { return KindPart }

// Kind returns KindFence.
func (*Fence) Kind() Kind { return KindFence }

// Kind returns KindCancel.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind returns KindEnded.
func (*Ended) Kind() Kind { return KindEnded }

// Kind returns KindNever.
func (*Never) Kind() Kind { return KindNever }

// Kind returns KindBegun.
func (*Begun) Kind() Kind { return KindBegun }

// Kind returns KindUnsure.
func (*Unsure) Kind() Kind { return KindUnsure }

// Kind returns KindDrain.
func (*Drain) Kind() Kind { return KindDrain }

// Kind returns KindAck.
func (*Ack) Kind() Kind { return KindAck }

// Kind returns KindBye.
func (*Bye) Kind() Kind { return KindBye }

// newFrame returns a zero frame of the kind, or nil if the kind is unknown.
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

// firstError returns the first error of a list of checks.
func firstError(checks ...error) error {
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// checkMax returns an error if x is greater than bound.
func checkMax(what string, x, bound uint64) error {
	if x > bound {
		return fmt.Errorf("%s: %d exceeds %d", what, x, bound)
	}
	return nil
}

// checkText returns an error if a text has control characters other than tab, or more than bound bytes, or if it is
// needed and empty.
func checkText(what, text string, bound int, needed bool) error {
	if len(text) > bound {
		return fmt.Errorf("%s: %d bytes exceed %d", what, len(text), bound)
	}
	if needed && text == "" {
		return fmt.Errorf("%s: missing", what)
	}
	for _, c := range []byte(text) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return fmt.Errorf("%s: has a control character", what)
		}
	}
	return nil
}

// ValidText reports whether a text has at most MaxText bytes and no control characters other than tab.
func ValidText(text string) bool { return checkText("", text, MaxText, false) == nil }

func checkNumber(n uint64) error {
	if n == 0 || n > math.MaxInt64 {
		return fmt.Errorf("number: %d is out of range", n)
	}
	return nil
}

func checkBody(part []byte, size uint64) error {
	switch {
	case size > MaxBody:
		return fmt.Errorf("size: %d exceeds %d", size, MaxBody)
	case uint64(len(part)) > size || len(part) > MaxPart:
		return fmt.Errorf("body: %d bytes of %d", len(part), size)
	case size > 0 && len(part) == 0:
		return errors.New("body: empty, but size is not 0")
	}
	return nil
}

func (f *Hello) check() error {
	if f.Magic != Magic {
		return errors.New("magic: not a molepaddle link")
	}
	if f.MinVersion == 0 || f.MaxVersion < f.MinVersion || f.Incarnation == 0 {
		return errors.New("versions or incarnation: missing or invalid")
	}
	return firstError(checkText("name", f.Name, MaxText, true), checkMax("now", f.Now, maxClock))
}

func (f *Beat) check() error {
	return firstError(checkMax("now", f.Now, maxClock), checkMax("echo", f.Echo, maxClock),
		checkMax("held", f.EchoAge, maxClock))
}

func (l *Lease) check() error {
	if l.Begin > l.Life {
		return errors.New("lease: begin is after its end")
	}
	return firstError(checkMax("quote", l.Quote, maxClock), checkMax("life", l.Life, MaxTime))
}

func (f *Offer) check() error {
	return firstError(checkNumber(f.Number), f.Lease.check(), checkMax("tries", f.MaxAttempts, maxAttempts),
		checkMax("hint", f.HintUs, MaxTime),
		checkText("class", f.Class, MaxText, true), checkText("effect", f.Effect, MaxText, true),
		checkText("tenant", f.Tenant, MaxText, false),
		checkText("id", f.ID, MaxText, true), checkText("method", f.Method, 16, true),
		checkText("target", f.Target, MaxTarget, true),
		checkText("host", f.Host, MaxText, false), checkText("content type", f.ContentType, MaxText, false),
		checkText("idempotency key", f.IdempotencyKey, MaxText, false), checkBody(f.Body, f.Size))
}

func (f *Part) check() error {
	if len(f.Body) == 0 || len(f.Body) > MaxPart {
		return fmt.Errorf("part: length %d is out of range", len(f.Body))
	}
	return checkNumber(f.Number)
}

func (f *Fence) check() error  { return firstError(checkNumber(f.Number), f.Lease.check()) }
func (f *Cancel) check() error { return firstError(checkNumber(f.Number), f.Lease.check()) }

func (f *Ended) check() error {
	return firstError(checkNumber(f.Number), checkMax("result", f.Result, Refused),
		checkMax("tries", f.Attempts, maxAttempts),
		checkMax("retry", f.RetryUs, MaxTime), checkText("content type", f.ContentType, MaxText, false),
		checkBody(f.Body, f.Size))
}

func (f *Never) check() error {
	return firstError(checkNumber(f.Number), checkMax("why", f.Reason, ReasonCancelled),
		checkMax("tries", f.Attempts, maxAttempts), checkMax("retry", f.RetryUs, MaxTime))
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

// Append appends an encoded frame to a buffer. It returns an error if a field is out of bounds.
func Append(buf []byte, f Frame) ([]byte, error) {
	if err := f.check(); err != nil {
		return buf, err
	}
	text, err := enc.Marshal(f)
	if err != nil {
		return buf, err
	}
	if len(text) > MaxFrame {
		return buf, fmt.Errorf("frame: %d bytes exceed %d", len(text), MaxFrame)
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(text)+1))
	buf = append(buf, byte(f.Kind()))
	return append(buf, text...), nil
}

// Decode decodes the contents of a frame of the kind, and checks their bounds.
func Decode(k Kind, text []byte) (Frame, error) {
	f := newFrame(k)
	if f == nil {
		return nil, fmt.Errorf("frame: unknown kind %d", k)
	}
	if err := dec.Unmarshal(text, f); err != nil {
		return nil, fmt.Errorf("frame of kind %d: %w", k, err)
	}
	if err := f.check(); err != nil {
		return nil, fmt.Errorf("frame of kind %d: %w", k, err)
	}
	return f, nil
}

// Reader reads frames. It buffers at most one frame.
type Reader struct {
	r   io.Reader
	buf []byte
}

// NewReader returns a Reader of frames; r should be buffered.
func NewReader(r io.Reader) *Reader { return &Reader{r: r} }

// Next reads the next frame. It returns io.EOF at an end of input between two frames, and
// io.ErrUnexpectedEOF within a frame.
func (r *Reader) Next() (Frame, error) {
	var head [5]byte
	if _, err := io.ReadFull(r.r, head[:4]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:4])
	if n < 1 || n > MaxFrame+1 {
		return nil, fmt.Errorf("frame: length %d is out of range", n)
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

// SingleFrame returns a link's queue item that appends one frame.
func SingleFrame(f Frame) func(buf []byte) (out []byte, more bool) {
	return func(buf []byte) ([]byte, bool) {
		buf, _ = Append(buf, f) // cannot fail for our own frames
		return buf, false
	}
}

// Item returns a link's queue item that appends an Ended and its Parts, one frame with each call.
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
		buf, _ = Append(buf, next) // cannot fail for our own answers
		return buf, to < len(f.Body)
	}
}
