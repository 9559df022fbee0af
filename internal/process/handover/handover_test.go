package handover

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/rig/testkit"
)

// fakeSource is a first process that records the calls made to it.
type fakeSource struct {
	mu    sync.Mutex
	calls []string
	sums  []uint64
	state State
}

func (f *fakeSource) note(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
}

func (f *fakeSource) Share(half bool) { f.note(map[bool]string{true: "half", false: "all"}[half]) }
func (f *fakeSource) State() State    { f.note("state"); return f.state }
func (f *fakeSource) HandOver() error { f.note("over"); return nil }
func (f *fakeSource) TakeBack()       { f.note("back") }
func (f *fakeSource) Since() (sums []uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sums, f.sums = f.sums, nil
	return sums
}

func (f *fakeSource) recorded(want ...string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Equal(f.calls, want)
}

func startOffer(t *testing.T) (*fakeSource, string, net.Listener) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	f := &fakeSource{state: State{Endpoints: core.EndpointSnapshot{Roster: "r", List: cluster.List{Seq: 7, Servers: []cluster.Server{{Dial: "d", Entry: cluster.Entry{Server: cluster.Addr{1, 2}, SinceMs: 1.5}}}}},
		IDs: core.IDSnapshot{Key: 1 << 63, Recent: []uint64{1<<64 - 1}}, Evacuated: true}}
	path := Path(t.TempDir(), ln.Addr().String())
	o, err := NewOffer(path, f, []net.Listener{ln})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(o.Close)
	return f, path, ln
}

func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("never:", what)
		}
	}
}

func TestTakeOver(t *testing.T) {
	f, path, ln := startOffer(t)
	s, err := Connect(path)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s.State, f.state) {
		t.Errorf("received state %+v", s.State)
	}
	mine := s.Listener("tcp", ln.Addr().String())
	if mine == nil || s.Listener("tcp", ln.Addr().String()) != nil {
		t.Fatal("the socket must be returned exactly once")
	}
	go testkit.Dial("tcp", mine.Addr().String())
	if c, err := mine.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	mine.Close()
	if _, err := s.Take(); err != nil || !f.recorded("half", "state", "over", "state") {
		t.Fatal(err, f.calls)
	}
	f.mu.Lock()
	f.sums = []uint64{5, 6}
	f.mu.Unlock()
	got := make(chan []uint64, 1)
	followed := make(chan struct{})
	go func() { s.Follow(func(sums []uint64) { got <- sums }); close(followed) }()
	if sums := <-got; !slices.Equal(sums, []uint64{5, 6}) {
		t.Error(sums)
	}
	// The successor ends: the first process takes everything back and accepts another successor.
	s.Close()
	<-followed
	eventually(t, "back", func() bool { return f.recorded("half", "state", "over", "state", "back", "all") })
	eventually(t, "another offer", func() bool {
		again, err := Connect(path)
		if err == nil {
			again.Close()
		}
		return err == nil
	})
}

// A successor that ends before it takes over, or sends invalid messages, leaves the first process as it was.
func TestInvalidSuccessors(t *testing.T) {
	f, path, _ := startOffer(t)
	for _, say := range []string{"", "x", "\xff\xff\xff\xff", "\x00\x00\x00\x02{}", "\x00\x00\x00\x05hello"} {
		c, err := testkit.Dial("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, say)
		c.Close()
	}
	s, err := Connect(path)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	eventually(t, "all", func() bool { return f.recorded("half", "state", "all") })
}

// A first process of another version, or one that sends invalid messages, is rejected; a path without a process gives
// ErrNoPredecessor at once.
func TestInvalidPredecessors(t *testing.T) {
	dir := t.TempDir()
	for name, say := range map[string][]byte{"nothing": nil, "noise": []byte("noise, noise"), "another version": framed(`{"v":2,"say":"state","state":{}}`),
		"cut": framed(`{"v":1,"say":"state"}`)[:9], "endless": {0x7f, 0, 0, 0}, "no sockets": framed(`{"v":1,"say":"state","sockets":["tcp x"],"state":{}}`)} {
		path := filepath.Join(dir, "s")
		_ = os.Remove(path)
		ln, err := net.Listen("unix", path)
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			if c, err := ln.Accept(); err == nil {
				c.Write(say)
				c.Close()
			}
		}()
		if s, err := Connect(path); err == nil || errors.Is(err, ErrNoPredecessor) {
			t.Errorf("%s: %v, %v", name, s, err)
		}
		ln.Close()
	}
	for _, path := range []string{"", filepath.Join(dir, "none")} {
		if _, err := Connect(path); !errors.Is(err, ErrNoPredecessor) {
			t.Error(path, err)
		}
	}
}

func framed(text string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...)
}

// No input makes the reader panic, accept another version or allocate more than it has received.
func FuzzReceive(f *testing.F) {
	f.Add(framed(`{"v":1,"say":"news","sums":[1,18446744073709551615]}`))
	f.Add([]byte{0, 255, 255, 255, '{'})
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := receive(bytes.NewReader(data))
		if err == nil && (m.Version != version || len(data) < 4+len(`{"v":1}`)) {
			t.Fatalf("%q: %+v", data, m)
		}
	})
}
