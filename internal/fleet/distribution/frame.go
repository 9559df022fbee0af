package distribution

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"

	"molepaddle/internal/protocol/sockets"
)

// MaxFrameBytes bounds a message between own processes, in bytes.
const MaxFrameBytes = 32 << 20

// WriteFrame writes one message. The caller sets the deadline.
func WriteFrame(w io.Writer, m msgp.Marshaler) error {
	b, err := m.MarshalMsg(make([]byte, 4, 512))
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	if len(b)-4 > MaxFrameBytes {
		return errors.Errorf("message of %d bytes is over the bound of %d", len(b)-4, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-4))
	_, err = w.Write(b)
	return err
}

// writeChunkBytes is how much of a message has to get into the link within one silence.
const writeChunkBytes = 32 << 10

// progressWriter writes to a connection that has time for as long as its reader takes what comes: a whole configuration over a
// thin link takes longer than a silence.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
}

func (w *progressWriter) Write(p []byte) (written int, err error) {
	for written < len(p) && err == nil {
		if err = w.conn.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
			break
		}
		var n int
		n, err = w.conn.Write(p[written:min(written+writeChunkBytes, len(p))])
		written += n
	}
	return written, err
}

// ReadFrame reads one message into m. A frame over MaxFrameBytes is an error before anything is kept; memory grows
// with what has come, not with what a length claims.
func ReadFrame(r *bufio.Reader, m msgp.Unmarshaler) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > MaxFrameBytes {
		return errors.Errorf("frame of %d bytes is over the bound of %d", n, MaxFrameBytes)
	}
	b := make([]byte, 0, min(n, 64<<10))
	for len(b) < n {
		part := min(n-len(b), 64<<10)
		at := len(b)
		b = append(b, make([]byte, part)...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return errors.Wrap(err, "frame cut short")
		}
	}
	if _, err := m.UnmarshalMsg(b); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}

// DialFunc opens a connection to an own process, within a bound by which one whose machine is silent breaks, too.
type DialFunc func(addr string, within time.Duration) (net.Conn, error)

// Dial connects to an own process; one whose machine is silent for the bound given breaks.
func Dial(addr string, within time.Duration) (net.Conn, error) { return DialThrough(addr, within) }

// DialThrough makes the connections of Dial. It may be replaced before the first of them, by one that leads through a
// relay between processes.
var DialThrough = dialTCP

func dialTCP(addr string, within time.Duration) (net.Conn, error) {
	return (&net.Dialer{Timeout: within, KeepAlive: -1, Control: sockets.UserTimeout(within)}).Dial("tcp", addr)
}
