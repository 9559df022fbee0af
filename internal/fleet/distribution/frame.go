package distribution

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/go-faster/errors"
	"github.com/tinylib/msgp/msgp"
)

const (
	// MaxFrameBytes bounds one message between the fleet's own processes.
	MaxFrameBytes = 32 << 20
	// frameHeaderBytes is the length of a frame's header: the message's length, big-endian.
	frameHeaderBytes = 4
	// readChunkBytes bounds the memory that is allocated ahead of the received bytes of a frame.
	readChunkBytes = 64 << 10
)

// WriteFrame writes one message. It returns an error, and writes nothing, if the message is over MaxFrameBytes. It
// blocks until the frame is written; the caller sets the deadline.
func WriteFrame(w io.Writer, m msgp.Marshaler) error {
	b, err := m.MarshalMsg(make([]byte, frameHeaderBytes, 512))
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	size := len(b) - frameHeaderBytes
	if size > MaxFrameBytes {
		return errors.Errorf("message of %d bytes is over the bound of %d", size, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(b, uint32(size))
	_, err = w.Write(b)
	return err
}

// ReadFrame reads one message into m. It blocks until the frame is complete; the caller sets the deadline. A frame over
// MaxFrameBytes is an error before any of it is read. Memory grows with the received bytes, not with the length in the
// header, so that a corrupt header can't exhaust it.
func ReadFrame(r *bufio.Reader, m msgp.Unmarshaler) error {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > MaxFrameBytes {
		return errors.Errorf("frame of %d bytes is over the bound of %d", size, MaxFrameBytes)
	}
	b := make([]byte, 0, min(size, readChunkBytes))
	for len(b) < size {
		at := len(b)
		b = append(b, make([]byte, min(size-at, readChunkBytes))...)
		if _, err := io.ReadFull(r, b[at:]); err != nil {
			return errors.Wrap(err, "frame cut short")
		}
	}
	if _, err := m.UnmarshalMsg(b); err != nil {
		return errors.Wrap(err, "decode")
	}
	return nil
}
