package distribution

import (
	"net"
	"time"
)

// writeChunkBytes is how much of a message the link must take within one time-out of a progressWriter.
const writeChunkBytes = 32 << 10

// progressWriter writes to a connection with a deadline for each chunk instead of one for the message: a
// configuration's snapshot over a slow link takes longer than a time-out that notices a lost reader soon enough.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write writes p. It returns an error once the reader takes nothing for the time-out.
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

// progressReader is a connection whose read deadline moves on with whatever arrives, for the reason that progressWriter
// has. The caller sets the deadline for the first byte.
type progressReader struct {
	net.Conn
	timeout time.Duration
}

// Read reads what is there, and moves the deadline on where that is anything.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		_ = r.SetReadDeadline(time.Now().Add(r.timeout))
	}
	return n, err
}
