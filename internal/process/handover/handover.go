// Package handover passes the work of an agent's process to its successor, the process that replaces it, over a Unix
// socket in a private directory: the listening sockets, the state that routing depends on, and the right to accept
// connections. If either process ends, the other sees the connection close, so neither waits for an ended process.
//
// The goroutine of Offer serves one successor at a time. A Successor belongs to its caller until Follow, which has a
// goroutine of its own.
//
// On the socket each message is a length of four bytes, big-endian, and that many bytes of JSON. The successor sends
// hello and receives the state (with the listening sockets attached to its first byte), sends take and receives the
// state as of then, and after that receives the sums of new ids as news. Each message has the version of its sender,
// and a process closes the connection if the version differs from its own.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"molepaddle/internal/core"
)

const (
	version = 1
	// mostBytes limits a message, maxSockets the sockets passed.
	maxMessageBytes, maxSockets = 16 << 20, 32
	// exchangeTimeout limits each exchange of messages, takeTimeout how long the first process waits for the
	// successor to take over, and updateInterval is the interval at which it then sends new ids.
	exchangeTimeout, takeTimeout, updateInterval = 2 * time.Second, 30 * time.Second, 20 * time.Millisecond
)

// ErrNoPredecessor is returned if no process is there to take over from.
var ErrNoPredecessor = errors.New("handover: no process to take over from")

// State is the state passed to the successor. Any of it may be missing.
type State struct {
	Endpoints core.EndpointSnapshot `json:"Known"`
	IDs       core.IDSnapshot
	Evacuated bool // clients are being sent away
}

// message is a message of either process.
type message struct {
	Version int      `json:"v"`
	Kind    string   `json:"say"`
	Sockets []string `json:"sockets,omitempty"` // network and address of each socket passed
	State   *State   `json:"state,omitempty"`
	Sums    []uint64 `json:"sums,omitempty"`
}

// Path returns the path of the socket of the process that listens for clients at an address. dir is private to the
// agent; without it, Path returns the empty string.
func Path(dir, listen string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New32a()
	io.WriteString(h, listen)
	return filepath.Join(dir, fmt.Sprintf("molepaddle-%08x", h.Sum32()))
}

func send(c *net.UnixConn, m *message, rights []byte) error {
	m.Version = version
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) > maxMessageBytes {
		return errors.New("handover: message exceeds 16 MiB")
	}
	text = append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	if rights != nil {
		// One byte alone: a write of more may be partial, and the sockets go with the first byte.
		if _, _, err := c.WriteMsgUnix(text[:1], rights, nil); err != nil {
			return err
		}
		text = text[1:]
	}
	_, err = c.Write(text)
	return err
}

func receive(r io.Reader) (*message, error) {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxMessageBytes {
		return nil, fmt.Errorf("handover: message of %d bytes exceeds the limit", n)
	}
	// The announced length is not allocated before the bytes have arrived.
	text, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(text) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	m := &message{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("handover: invalid message: %w", err)
	}
	if m.Version != version {
		return nil, fmt.Errorf("handover: version %d, this process has %d", m.Version, version)
	}
	return m, nil
}

// Source is the first process, as its successors see it. Its methods are called by one goroutine.
type Source interface {
	// Share limits the process to half of its resources, or lifts that limit.
	Share(half bool)
	// State returns the current state for a successor.
	State() State
	// HandOver stops accepting connections. After an error the process still accepts.
	HandOver() error
	// TakeBack resumes accepting, after the successor has ended.
	TakeBack()
	// Since returns the sums of the ids noted since the last call of State or Since.
	Since() []uint64
}

// Offer serves the successors of this process.
type Offer struct {
	path      string
	source    Source
	listeners []net.Listener

	mu     sync.Mutex
	ln     *net.UnixListener
	file   os.FileInfo // the socket file of ln
	closed bool
}

// NewOffer serves successors at the path, replacing any process that did so before. The listeners remain owned by the
// caller.
func NewOffer(path string, source Source, listeners []net.Listener) (*Offer, error) {
	o := &Offer{path: path, source: source, listeners: listeners}
	if err := o.listen(); err != nil {
		return nil, err
	}
	go o.serve()
	return o, nil
}

// listen binds the path, replacing any file there.
func (o *Offer) listen() error {
	own := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	_ = os.Remove(own) // left by an earlier process with this pid
	ln, err := net.ListenUnix("unix", &net.UnixAddr{Name: own, Net: "unix"})
	if err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	ln.SetUnlinkOnClose(false)
	var file os.FileInfo
	if err = os.Chmod(own, 0o600); err == nil {
		err = os.Rename(own, o.path)
	}
	if err == nil {
		file, err = os.Lstat(o.path)
	}
	if err != nil {
		ln.Close()
		_ = os.Remove(own)
		return fmt.Errorf("handover: %w", err)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		ln.Close()
		_ = os.Remove(o.path)
		return net.ErrClosed
	}
	o.ln, o.file = ln, file
	return nil
}

// Close ends the offer, and removes its socket file unless another process has replaced it.
func (o *Offer) Close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.ln.Close()
	if now, err := os.Lstat(o.path); err == nil && os.SameFile(now, o.file) {
		_ = os.Remove(o.path)
	}
}

func (o *Offer) serve() {
	for {
		o.mu.Lock()
		ln := o.ln
		o.mu.Unlock()
		c, err := ln.AcceptUnix()
		if err != nil {
			return
		}
		if o.serveSuccessor(c) {
			// The successor had replaced the socket file, and has ended.
			err := o.listen() // before the old one is closed: a successor whose connection is refused removes the file
			ln.Close()
			if err != nil {
				return
			}
		}
	}
}

// serveSuccessor serves one successor until its connection ends, and reports whether it had taken over.
func (o *Offer) serveSuccessor(c *net.UnixConn) (taken bool) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout))
	if m, err := receive(c); err != nil || m.Kind != "hello" {
		return false
	}
	names, rights, err := socketRights(o.listeners)
	if err != nil {
		return false
	}
	o.source.Share(true)
	defer o.source.Share(false)
	state := o.source.State()
	if send(c, &message{Kind: "state", Sockets: names, State: &state}, rights) != nil {
		return false
	}
	_ = c.SetDeadline(time.Now().Add(takeTimeout))
	if m, err := receive(c); err != nil || m.Kind != "take" {
		return false
	}
	if o.source.HandOver() != nil {
		return false
	}
	setKeepSocketFiles(o.listeners, true) // they belong to the successor
	defer func() {
		setKeepSocketFiles(o.listeners, false)
		o.source.TakeBack()
	}()
	state = o.source.State()
	_ = c.SetDeadline(time.Now().Add(exchangeTimeout))
	if send(c, &message{Kind: "yours", State: &state}, nil) != nil {
		return true
	}
	_ = c.SetDeadline(time.Time{})
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, io.LimitReader(c, maxMessageBytes)) // the successor sends nothing more
	}()
	tick := time.NewTicker(updateInterval)
	defer tick.Stop()
	for {
		select {
		case <-gone:
			return true
		case <-tick.C:
		}
		if sums := o.source.Since(); len(sums) > 0 {
			_ = c.SetWriteDeadline(time.Now().Add(exchangeTimeout))
			if send(c, &message{Kind: "news", Sums: sums}, nil) != nil {
				return true
			}
		}
	}
}

// socketRights returns the names (network and address) of the listeners that have sockets, and the control message that
// carries those sockets.
func socketRights(listeners []net.Listener) (names []string, rights []byte, err error) {
	var fds []int
	for _, ln := range listeners {
		sc, ok := ln.(syscall.Conn)
		if !ok {
			continue
		}
		raw, err := sc.SyscallConn()
		if err != nil {
			return nil, nil, err
		}
		if err := raw.Control(func(fd uintptr) { fds = append(fds, int(fd)) }); err != nil {
			return nil, nil, err
		}
		names = append(names, ln.Addr().Network()+" "+ln.Addr().String())
	}
	if len(fds) == 0 {
		return nil, nil, errors.New("handover: no listener with a socket to pass")
	}
	return names, syscall.UnixRights(fds...), nil
}

// Successor is the second process's side of a handover.
type Successor struct {
	State     State
	conn      *net.UnixConn
	listeners map[string]net.Listener
	used      []net.Listener // returned by Listener
}

// Connect receives the state and the sockets of the process at the path. It returns ErrNoPredecessor if there is none,
// and removes a socket file that such a process has left behind.
func Connect(path string) (*Successor, error) {
	if path == "" {
		return nil, ErrNoPredecessor
	}
	before, _ := os.Lstat(path)
	c, err := net.DialTimeout("unix", path, exchangeTimeout)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if now, err := os.Lstat(path); err == nil && before != nil && os.SameFile(before, now) {
			_ = os.Remove(path)
		}
		return nil, ErrNoPredecessor
	case errors.Is(err, os.ErrNotExist):
		return nil, ErrNoPredecessor
	case err != nil:
		return nil, fmt.Errorf("handover: %w", err)
	}
	s := &Successor{conn: c.(*net.UnixConn), listeners: map[string]net.Listener{}}
	if err := s.hello(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Successor) hello() error {
	_ = s.conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := send(s.conn, &message{Kind: "hello"}, nil); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var first [1]byte
	room := make([]byte, syscall.CmsgSpace(4*maxSockets))
	n, got, _, _, err := s.conn.ReadMsgUnix(first[:], room)
	if err != nil || n != 1 {
		return fmt.Errorf("handover: no state received: %w", errors.Join(err, io.ErrUnexpectedEOF))
	}
	sockets, err := listenersOf(room[:got])
	defer func() {
		for _, ln := range sockets {
			if ln != nil {
				ln.Close()
			}
		}
	}()
	if err != nil {
		return err
	}
	m, err := receive(io.MultiReader(newByte(first[0]), s.conn))
	if err != nil {
		return err
	}
	if m.Kind != "state" || m.State == nil || len(m.Sockets) != len(sockets) {
		return errors.New("handover: message without a state or with missing sockets")
	}
	for i, name := range m.Sockets {
		if s.listeners[name] == nil {
			s.listeners[name], sockets[i] = sockets[i], nil
		}
	}
	s.State = *m.State
	return nil
}

func newByte(b byte) io.Reader { return &oneByte{b: b} }

type oneByte struct {
	b    byte
	done bool
}

func (o *oneByte) Read(p []byte) (int, error) {
	if o.done || len(p) == 0 {
		return 0, io.EOF
	}
	o.done, p[0] = true, o.b
	return 1, nil
}

// listenersOf opens the sockets that were received with a message.
func listenersOf(control []byte) (all []net.Listener, err error) {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			f := os.NewFile(uintptr(fd), "listener")
			ln, err := net.FileListener(f)
			f.Close()
			if err != nil {
				return all, fmt.Errorf("handover: %w", err)
			}
			if u, ok := ln.(*net.UnixListener); ok {
				u.SetUnlinkOnClose(false)
			}
			all = append(all, ln)
		}
	}
	return all, nil
}

// Listener returns the listening socket received for an address, or nil if there is none. The caller owns it.
func (s *Successor) Listener(network, address string) net.Listener {
	name := network + " " + address
	ln := s.listeners[name]
	delete(s.listeners, name)
	if ln != nil {
		s.used = append(s.used, ln)
		setKeepSocketFiles(s.used, true) // until Take the first process owns the files
	}
	return ln
}

// setKeepSocketFiles sets whether the files of Unix sockets are kept when their listeners are closed: the files belong
// to the process that goes on.
func setKeepSocketFiles(listeners []net.Listener, keep bool) {
	for _, ln := range listeners {
		if u, ok := ln.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(!keep)
		}
	}
}

// Take asks the first process to stop accepting, and returns its state as of then. After an error the first process
// still accepts, or has ended.
func (s *Successor) Take() (State, error) {
	setKeepSocketFiles(s.used, false) // also if the first process has ended
	_ = s.conn.SetDeadline(time.Now().Add(exchangeTimeout))
	if err := send(s.conn, &message{Kind: "take"}, nil); err != nil {
		return State{}, fmt.Errorf("handover: %w", err)
	}
	m, err := receive(s.conn)
	if err != nil {
		return State{}, err
	}
	if m.Kind != "yours" || m.State == nil {
		return State{}, errors.New("handover: the first process did not hand over")
	}
	_ = s.conn.SetDeadline(time.Time{})
	return *m.State, nil
}

// Follow passes the sums of ids noted by the first process to the callback until that process has ended.
func (s *Successor) Follow(noted func(sums []uint64)) {
	for {
		m, err := receive(s.conn)
		if err != nil {
			return
		}
		if m.Kind == "news" {
			noted(m.Sums)
		}
	}
}

// Close ends the handover: if the first process is still running, it takes everything back. Sockets that Listener has
// not returned are closed.
func (s *Successor) Close() {
	s.conn.Close()
	for _, ln := range s.listeners {
		ln.Close()
	}
}
