package distribution

import (
	"net"
	"time"
)

// writeChunkBytes is how much of a message must be written within one time-out of a progressWriter.
const writeChunkBytes = 32 << 10

// progressWriter writes to a connection with a deadline for each chunk instead of one for the message: over a slow
// link a configuration's snapshot takes longer than a time-out that is short enough to detect a lost reader.
type progressWriter struct {
	conn    net.Conn
	timeout time.Duration
}

// Write writes p. It returns an error if a chunk isn't written within the time-out.
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

// progressReader is a connection whose read deadline is extended whenever data arrives, for the same reason as
// progressWriter's deadline. The caller sets the deadline for the first byte.
type progressReader struct {
	net.Conn
	timeout time.Duration
}

// Read reads from the connection, and extends the deadline if it read any data.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	if n > 0 {
		_ = r.SetReadDeadline(time.Now().Add(r.timeout))
	}
	return n, err
}
