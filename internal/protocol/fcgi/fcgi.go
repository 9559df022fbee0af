// Package fcgi encodes and decodes FastCGI 1.0: records, name-value pairs and record contents. It does no I/O beyond
// its Reader's source, opens no connections and sets no deadlines. Values are not safe for concurrent use; a Reader
// belongs to one goroutine.
//
// Numbers are big-endian. A record holds at most MaxContent bytes of content and 255 of padding.
package fcgi

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	// Version is the only protocol version.
	Version = 1
	// HeaderLen is the length of a record's header, MaxContent the largest content of a record, in bytes.
	HeaderLen, MaxContent = 8, 65535
	// bodyLen is the length of BEGIN_REQUEST's and END_REQUEST's content.
	bodyLen = 8
	// KeepConn is BEGIN_REQUEST's flag: the connection stays open after the answer.
	KeepConn = 1
)

// Type is a record's type.
type Type uint8

// The record types, numbered as on the wire.
const (
	BeginRequest Type = iota + 1
	AbortRequest
	EndRequest
	Params
	Stdin
	Stdout
	Stderr
	Data
	GetValues
	GetValuesResult
	UnknownType
)

// Role is the role that BEGIN_REQUEST asks of the application.
type Role uint16

// The roles, numbered as on the wire.
const (
	Responder Role = iota + 1
	Authorizer
	Filter
)

// Status is END_REQUEST's protocol status.
type Status uint8

// The protocol statuses, numbered as on the wire.
const (
	Complete    Status = iota // REQUEST_COMPLETE
	CantMux                   // CANT_MPX_CONN: rejected, the connection takes one request at a time
	Overloaded                // OVERLOADED: rejected, no resources
	UnknownRole               // UNKNOWN_ROLE: rejected
)

// The variables that GET_VALUES may ask for.
const (
	MaxConns = "FCGI_MAX_CONNS"
	MaxReqs  = "FCGI_MAX_REQS"
	MpxsConn = "FCGI_MPXS_CONNS"
)

// Header is a record's header.
type Header struct {
	Type    Type
	ID      uint16 // 0: about the connection, not a request
	Length  int    // length of the content in bytes, 0 to MaxContent
	Padding int    // bytes after the content, 0 to 255
}

// Management reports whether the record is about the connection.
func (h Header) Management() bool { return h.ID == 0 }

// ErrVersion is returned for a header of another version, or for bytes that are no record: nothing after it can be
// parsed.
var ErrVersion = errors.New("fcgi: not a record of version 1")

// ErrShort is returned for a content whose length does not fit its type or the buffer.
var ErrShort = errors.New("fcgi: unexpected content length")

// ParseHeader decodes a header.
func ParseHeader(raw [HeaderLen]byte) (Header, error) {
	if raw[0] != Version {
		return Header{}, ErrVersion
	}
	return Header{Type: Type(raw[1]), ID: binary.BigEndian.Uint16(raw[2:]),
		Length: int(binary.BigEndian.Uint16(raw[4:])), Padding: int(raw[6])}, nil
}

// AppendHeader appends a header. Length and Padding must be within their bounds.
func AppendHeader(out []byte, h Header) []byte {
	out = append(out, Version, byte(h.Type))
	out = binary.BigEndian.AppendUint16(out, h.ID)
	out = binary.BigEndian.AppendUint16(out, uint16(h.Length))
	return append(out, byte(h.Padding), 0)
}

var padding [8]byte

// Append appends a record padded to a multiple of eight bytes. content must be at most MaxContent bytes.
func Append(out []byte, t Type, id uint16, content []byte) []byte {
	pad := -len(content) & 7
	out = AppendHeader(out, Header{t, id, len(content), pad})
	return append(append(out, content...), padding[:pad]...)
}

// AppendStream appends data as records of a stream. None of them is empty, as an empty record ends the stream.
func AppendStream(out []byte, t Type, id uint16, data []byte) []byte {
	for len(data) > 0 {
		n := min(len(data), MaxContent&^7)
		out = Append(out, t, id, data[:n])
		data = data[n:]
	}
	return out
}

// Begin is BEGIN_REQUEST's content.
type Begin struct {
	Role Role
	Keep bool // KEEP_CONN
}

// AppendBegin appends a BEGIN_REQUEST.
func AppendBegin(out []byte, id uint16, b Begin) []byte {
	var content [bodyLen]byte
	binary.BigEndian.PutUint16(content[:], uint16(b.Role))
	if b.Keep {
		content[2] = KeepConn
	}
	return Append(out, BeginRequest, id, content[:])
}

// ParseBegin decodes BEGIN_REQUEST's content.
func ParseBegin(content []byte) (Begin, error) {
	if len(content) != bodyLen {
		return Begin{}, fmt.Errorf("BEGIN_REQUEST: %w", ErrShort)
	}
	return Begin{Role: Role(binary.BigEndian.Uint16(content)), Keep: content[2]&KeepConn != 0}, nil
}

// End is END_REQUEST's content.
type End struct {
	App    uint32 // application status, as an exit status: 0 is success
	Status Status
}

// AppendEnd appends an END_REQUEST.
func AppendEnd(out []byte, id uint16, e End) []byte {
	var content [bodyLen]byte
	binary.BigEndian.PutUint32(content[:], e.App)
	content[4] = byte(e.Status)
	return Append(out, EndRequest, id, content[:])
}

// ParseEnd decodes END_REQUEST's content.
func ParseEnd(content []byte) (End, error) {
	if len(content) != bodyLen {
		return End{}, fmt.Errorf("END_REQUEST: %w", ErrShort)
	}
	return End{App: binary.BigEndian.Uint32(content), Status: Status(content[4])}, nil
}

// AppendUnknown appends an UNKNOWN_TYPE record, the answer to a management record of unknown type t.
func AppendUnknown(out []byte, t Type) []byte {
	return Append(out, UnknownType, 0, []byte{byte(t), 0, 0, 0, 0, 0, 0, 0})
}

// AppendPair appends a name-value pair; each length takes one byte up to 127, else four.
func AppendPair(out []byte, name, value string) []byte {
	out = appendLength(appendLength(out, len(name)), len(value))
	return append(append(out, name...), value...)
}

func appendLength(out []byte, n int) []byte {
	if n < 128 {
		return append(out, byte(n))
	}
	return binary.BigEndian.AppendUint32(out, uint32(n)|1<<31)
}

// ErrPair is returned when the stream ends within a name-value pair.
var ErrPair = errors.New("fcgi: truncated name-value pair")

// NextPair splits the first name-value pair off data; the results alias data. Both length encodings are accepted for
// any length.
func NextPair(data []byte) (name, value, rest []byte, err error) {
	n, data, ok := cutLength(data)
	if !ok {
		return nil, nil, nil, ErrPair
	}
	v, data, ok := cutLength(data)
	if !ok || n > len(data) || v > len(data)-n {
		return nil, nil, nil, ErrPair
	}
	return data[:n], data[n : n+v], data[n+v:], nil
}

func cutLength(data []byte) (n int, rest []byte, ok bool) {
	switch {
	case len(data) > 0 && data[0] < 128:
		return int(data[0]), data[1:], true
	case len(data) >= 4:
		return int(binary.BigEndian.Uint32(data) &^ (1 << 31)), data[4:], true
	}
	return 0, nil, false
}

// Reader reads records one after the other without buffering their content.
type Reader struct {
	r    *bufio.Reader
	left int // unread bytes of the content
	pad  int
	raw  [HeaderLen]byte
}

// NewReader returns a Reader from r, whose buffer bounds the memory used.
func NewReader(r *bufio.Reader) *Reader { return &Reader{r: r} }

// Reset makes the Reader read from another source, as if new.
func (r *Reader) Reset(from *bufio.Reader) { *r = Reader{r: from} }

// Next skips the rest of the current record and reads the next header. The error is io.EOF if the input ends between
// two records, io.ErrUnexpectedEOF if it ends within one, or ErrVersion.
func (r *Reader) Next() (Header, error) {
	if skip := r.left + r.pad; skip > 0 {
		n, err := r.r.Discard(skip)
		if r.left -= n; r.left < 0 {
			r.pad, r.left = r.pad+r.left, 0
		}
		if err != nil {
			return Header{}, cutShort(err)
		}
		r.left, r.pad = 0, 0
	}
	if _, err := io.ReadFull(r.r, r.raw[:]); err != nil {
		return Header{}, err
	}
	h, err := ParseHeader(r.raw)
	if err != nil {
		return Header{}, err
	}
	r.left, r.pad = h.Length, h.Padding
	return h, nil
}

func cutShort(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Read reads from the content of the current record; it returns io.EOF at the end of the content.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	n, err := r.r.Read(p[:min(len(p), r.left)])
	r.left -= n
	return n, cutShort(err)
}

// Content reads the complete content into buf; it returns ErrShort if the content is longer than buf.
func (r *Reader) Content(buf []byte) ([]byte, error) {
	if r.left > len(buf) {
		return nil, ErrShort
	}
	n, err := io.ReadFull(r, buf[:r.left])
	return buf[:n], err
}

// Buffered returns the number of buffered bytes after the current record.
func (r *Reader) Buffered() int { return max(r.r.Buffered()-r.left-r.pad, 0) }
