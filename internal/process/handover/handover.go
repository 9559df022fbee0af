// Package handover passes an agent's work from its process to the one that replaces it, over a Unix
// socket in a private directory: the listening sockets, what the rules rest on, and the word who
// accepts. Whichever end breaks tells the other, so neither waits for a process that is gone.
//
// Offer's goroutine serves one successor at a time; a Successor belongs to its caller until Follow,
// which has a goroutine of its own.
//
// On the socket each message is a length of four bytes, the highest first, and as many of JSON. The
// successor says hello, is sent the state (with the listening sockets beside its first byte), says
// take, is sent what has changed since, and from then on the news. Both ends name their version in
// the first message and part if the other's is not theirs.
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
	// mostBytes bounds a message, mostSockets the sockets passed.
	mostBytes, mostSockets = 16 << 20, 32
	// findWithin is how long a second process waits for the first one's state, takeWithin how long
	// the first waits for the second to take over, and updateInterval how often it then tells what is new.
	findWithin, takeWithin, updateInterval = 2 * time.Second, 30 * time.Second, 20 * time.Millisecond
)

// ErrNobody is that no process is there to take over from.
var ErrNobody = errors.New("handover: nobody is there")

// State is what the second process is told. All of it may be missing.
type State struct {
	Known     core.EndpointSnapshot
	IDs       core.IDSnapshot
	Evacuated bool // clients are being sent away
}

// message is one of either end's.
type message struct {
	V       int      `json:"v"`
	Say     string   `json:"say"`
	Sockets []string `json:"sockets,omitempty"` // what each that is passed listens on
	State   *State   `json:"state,omitempty"`
	Sums    []uint64 `json:"sums,omitempty"`
}

// Path is where the process that listens for clients at an address is found; dir is private to the
// agent. Empty: there is no such directory.
func Path(dir, listen string) string {
	if dir == "" {
		return ""
	}
	h := fnv.New32a()
	io.WriteString(h, listen)
	return filepath.Join(dir, fmt.Sprintf("molepaddle-%08x", h.Sum32()))
}

func send(c *net.UnixConn, m *message, rights []byte) error {
	m.V = version
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	if len(text) > mostBytes {
		return errors.New("handover: a message is too long")
	}
	text = append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
	if rights != nil {
		// One byte alone: a stream may take a part of more, and these go with the first.
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
	if n > mostBytes {
		return nil, fmt.Errorf("handover: a message of %d bytes", n)
	}
	// What is said to come is not believed before it has.
	text, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return nil, err
	}
	if len(text) < int(n) {
		return nil, io.ErrUnexpectedEOF
	}
	m := &message{}
	if err := json.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("handover: no message: %w", err)
	}
	if m.V != version {
		return nil, fmt.Errorf("handover: version %d, this process has %d", m.V, version)
	}
	return m, nil
}

// Source is the first process, as its successors see it. Its methods are called by one goroutine.
type Source interface {
	// Share has the process keep to half of what it may use, or to all of it again.
	Share(half bool)
	// State is what a successor is told, as of now.
	State() State
	// HandOver ends the accepting. An error means that it goes on.
	HandOver() error
	// TakeBack begins it again, as the successor has gone.
	TakeBack()
	// Since are the sums of ids noted since State was called last, or Since.
	Since() []uint64
}

// Offer is a process that can be taken over from.
type Offer struct {
	path      string
	source    Source
	listeners []net.Listener

	mu     sync.Mutex
	ln     *net.UnixListener
	file   os.FileInfo // what ln is in the directory
	closed bool
}

// NewOffer serves successors at the path, in the place of whoever did before. The listeners stay the
// caller's.
func NewOffer(path string, source Source, listeners []net.Listener) (*Offer, error) {
	o := &Offer{path: path, source: source, listeners: listeners}
	if err := o.listen(); err != nil {
		return nil, err
	}
	go o.serve()
	return o, nil
}

// listen takes the path, whatever is there.
func (o *Offer) listen() error {
	own := fmt.Sprintf("%s.%d", o.path, os.Getpid())
	_ = os.Remove(own) // of a process that had this number
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

// Close ends the offer, and takes its socket away unless it is another process's by now.
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
		if o.hand(c) {
			// The successor had taken the path, and has gone.
			err := o.listen() // before the old one is closed: who is refused takes the path away
			ln.Close()
			if err != nil {
				return
			}
		}
	}
}

// hand serves one successor until it has gone, and reports whether it had taken over.
func (o *Offer) hand(c *net.UnixConn) (taken bool) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(findWithin))
	if m, err := receive(c); err != nil || m.Say != "hello" {
		return false
	}
	names, rights, err := passable(o.listeners)
	if err != nil {
		return false
	}
	o.source.Share(true)
	defer o.source.Share(false)
	state := o.source.State()
	if send(c, &message{Say: "state", Sockets: names, State: &state}, rights) != nil {
		return false
	}
	_ = c.SetDeadline(time.Now().Add(takeWithin))
	if m, err := receive(c); err != nil || m.Say != "take" {
		return false
	}
	if o.source.HandOver() != nil {
		return false
	}
	leave(o.listeners, true) // to the other process
	defer func() {
		leave(o.listeners, false)
		o.source.TakeBack()
	}()
	state = o.source.State()
	_ = c.SetDeadline(time.Now().Add(findWithin))
	if send(c, &message{Say: "yours", State: &state}, nil) != nil {
		return true
	}
	_ = c.SetDeadline(time.Time{})
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, io.LimitReader(c, mostBytes)) // it says nothing more
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
			_ = c.SetWriteDeadline(time.Now().Add(findWithin))
			if send(c, &message{Say: "news", Sums: sums}, nil) != nil {
				return true
			}
		}
	}
}

// passable names listeners by their addresses, with the message that carries their sockets.
func passable(listeners []net.Listener) (names []string, rights []byte, err error) {
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
		return nil, nil, errors.New("handover: nothing that can be passed")
	}
	return names, syscall.UnixRights(fds...), nil
}

// Successor is the second process's end.
type Successor struct {
	State     State
	conn      *net.UnixConn
	listeners map[string]net.Listener
	used      []net.Listener // of those, what Listener gave
}

// Find takes what the process at the path tells. ErrNobody: there is none, and a socket that it may
// have left is taken away.
func Find(path string) (*Successor, error) {
	if path == "" {
		return nil, ErrNobody
	}
	before, _ := os.Lstat(path)
	c, err := net.DialTimeout("unix", path, findWithin)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		if now, err := os.Lstat(path); err == nil && before != nil && os.SameFile(before, now) {
			_ = os.Remove(path)
		}
		return nil, ErrNobody
	case errors.Is(err, os.ErrNotExist):
		return nil, ErrNobody
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
	_ = s.conn.SetDeadline(time.Now().Add(findWithin))
	if err := send(s.conn, &message{Say: "hello"}, nil); err != nil {
		return fmt.Errorf("handover: %w", err)
	}
	var first [1]byte
	room := make([]byte, syscall.CmsgSpace(4*mostSockets))
	n, got, _, _, err := s.conn.ReadMsgUnix(first[:], room)
	if err != nil || n != 1 {
		return fmt.Errorf("handover: no state: %w", errors.Join(err, io.ErrUnexpectedEOF))
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
	if m.Say != "state" || m.State == nil || len(m.Sockets) != len(sockets) {
		return errors.New("handover: no state")
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

// listenersOf opens the sockets that came with a message.
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

// Listener is the listening socket passed for an address; nil: there is none. It is the caller's.
func (s *Successor) Listener(network, address string) net.Listener {
	name := network + " " + address
	ln := s.listeners[name]
	delete(s.listeners, name)
	if ln != nil {
		s.used = append(s.used, ln)
		leave(s.used, true) // until they are this process's alone
	}
	return ln
}

// leave has the files of Unix sockets stay, or go, when their listeners are closed: they are whose process
// goes on.
func leave(listeners []net.Listener, stay bool) {
	for _, ln := range listeners {
		if u, ok := ln.(*net.UnixListener); ok {
			u.SetUnlinkOnClose(!stay)
		}
	}
}

// Take asks the first process to stop accepting, and returns what it knows by then. After an error
// it goes on, or has gone.
func (s *Successor) Take() (State, error) {
	leave(s.used, false) // also where the first has gone
	_ = s.conn.SetDeadline(time.Now().Add(findWithin))
	if err := send(s.conn, &message{Say: "take"}, nil); err != nil {
		return State{}, fmt.Errorf("handover: %w", err)
	}
	m, err := receive(s.conn)
	if err != nil {
		return State{}, err
	}
	if m.Say != "yours" || m.State == nil {
		return State{}, errors.New("handover: not handed over")
	}
	_ = s.conn.SetDeadline(time.Time{})
	return *m.State, nil
}

// Follow tells news until the first process has gone.
func (s *Successor) Follow(news func(sums []uint64)) {
	for {
		m, err := receive(s.conn)
		if err != nil {
			return
		}
		if m.Say == "news" {
			news(m.Sums)
		}
	}
}

// Close ends the successor's part: unless the first process has gone, it takes everything back. It
// closes the sockets that nobody asked for.
func (s *Successor) Close() {
	s.conn.Close()
	for _, ln := range s.listeners {
		ln.Close()
	}
}
