package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"reflect"
	"testing"
	"time"

	"molepaddle/internal/decide/members"
	"molepaddle/internal/protocol/link"
	"molepaddle/internal/protocol/linkwire"
	"molepaddle/internal/rig/testkit"
)

const beat = 20 * time.Millisecond

// end starts one agent's end on loopback; it is closed with the test.
func end(t *testing.T, name string, seeds ...Seed) (p *Peers, at string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = New(Options{Members: members.Options{ID: members.ID{Name: name, Incarnation: 1}, Period: beat,
		Info: members.Info{Address: ln.Addr().String(), Machine: name}},
		Seeds: seeds, Conns: 16, Queue: 64 << 10, Self: func() (string, float64) { return "ready", 1 },
		Log: slog.New(slog.DiscardHandler)})
	done := make(chan error, 1)
	go func() { done <- p.Serve(ln) }()
	t.Cleanup(func() {
		p.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return p, ln.Addr().String()
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for last := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(last) {
			t.Fatalf("never: %s", what)
		}
	}
}

func sees(p *Peers) (n int) {
	v, _ := p.View()
	return v.Reachable
}

// A peer that sends invalid frames is disconnected without effect on others, and a record with fields
// of a newer version is forwarded unchanged.
func TestStrangePeers(t *testing.T) {
	a, at := end(t, "a")
	b, _ := end(t, "b", Seed{"a", at})
	eventually(t, "two see each other", func() bool { return sees(a) == 2 && sees(b) == 2 })
	greet := func(name string) *link.Conn {
		conn, err := testkit.Dial("tcp", at)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		up, err := link.Greet(ctx, conn, linkwire.Hello{Magic: linkwire.Magic, MinVersion: 1, MaxVersion: 1, Name: name,
			Incarnation: 5, Now: 1},
			link.Options{Clock: link.NewClock(), HeartbeatInterval: beat, DeadAfter: time.Minute,
				Status: func() (uint64, bool) { return 0, false }})
		if err != nil {
			t.Fatal(err)
		}
		return up
	}
	for what, f := range map[string]linkwire.Frame{
		"another protocol's frame": &linkwire.Offer{Number: 1, Class: "order", Effect: "free", ID: "1", Method: "GET",
			Target: "/"},
		"a body that is no CBOR": &linkwire.News{Records: []linkwire.Entry{{Name: "x", Incarnation: 1, Version: 1,
			Body: []byte{0xff}}}},
		"words that are none": &linkwire.News{Records: []linkwire.Entry{{Name: "x", Incarnation: 1, Subject: 1,
			Version: 1, Body: []byte("words")}}},
	} {
		up := greet("strange")
		up.Urgent(f)
		if err := up.Run(func(linkwire.Frame) error { return nil }); err == nil {
			t.Errorf("%s: the link ended without a reason", what)
		}
	}
	// A record with a field of a later build, told by a peer that then goes on beating.
	// {1: "h", 9: true, 99: "new"}
	body := append([]byte{0xa3, 0x01, 0x61, 'h', 0x09, 0xf5}, 0x18, 99, 0x63, 'n', 'e', 'w')
	up := greet("newer")
	passed := make(chan string, 16)
	up.Bulk(linkwire.SingleFrame(&linkwire.News{Records: []linkwire.Entry{{Name: "newer", Incarnation: 5, Version: 1,
		Body: body}}}))
	go func() { _ = up.Run(func(linkwire.Frame) error { return nil }) }()
	eventually(t, "b knows the newer one", func() bool { return sees(b) == 3 })
	second := greet("reader")
	go func() {
		_ = second.Run(func(f linkwire.Frame) error {
			if n, ok := f.(*linkwire.News); ok {
				for _, e := range n.Records {
					if e.Name == "newer" {
						passed <- string(e.Body)
					}
				}
			}
			return nil
		})
	}()
	second.Bulk(linkwire.SingleFrame(&linkwire.News{Sums: make([]uint64, members.Buckets), Digest: 1}))
	second.Bulk(linkwire.SingleFrame(&linkwire.News{Mask: 1<<32 - 1, Digest: 1})) // has nothing: wants all
	if got := <-passed; got != string(body) {
		t.Errorf("passed on as %x, came as %x", got, body)
	}
	up.Close(nil)
	second.Close(nil)
}

// When two peers dial each other at once, both ends keep the same one of the two links. A graceful
// leave is reported.
func TestOneLinkEach(t *testing.T) {
	var ends []*Peers
	var seeds []Seed
	for i := range 4 {
		p, at := end(t, fmt.Sprint("n", i), seeds...)
		ends, seeds = append(ends, p), append(seeds, Seed{fmt.Sprint("n", i), at})
	}
	settled := func(n int) func() bool {
		return func() bool {
			for _, p := range ends[:n] {
				if v, _ := p.View(); !v.Converged || v.Reachable != n {
					return false
				}
			}
			return true
		}
	}
	eventually(t, "four have settled", settled(4))
	for _, p := range ends {
		p.mu.Lock()
		if len(p.links) != 3 || len(p.conns) > 4 {
			t.Errorf("%v has %d links, %d connections", p.view.ID(), len(p.links), len(p.conns))
		}
		p.mu.Unlock()
	}
	ends[3].Leave()
	eventually(t, "three have settled", settled(3))
	events := ends[0].Events()
	if last := events[len(events)-1]; last.State != "left" || last.Who[0] != "n3" {
		t.Errorf("%+v", last)
	}
}

// The queue of messages is bounded, and the oldest are dropped first.
func TestQueueIsBounded(t *testing.T) {
	l := &peer{}
	for i := range 1000 {
		f := &linkwire.News{Digest: uint64(i), Records: []linkwire.Entry{{Body: make([]byte, 500)}}}
		l.push(f, 10<<10)
	}
	if l.queuedBytes > 10<<10 || len(l.queue) < 10 || l.queue[len(l.queue)-1].Digest != 999 {
		t.Errorf("%d bytes, %d messages", l.queuedBytes, len(l.queue))
	}
}

// A message that was decoded is encoded to an equal message, and a view accepts any.
func FuzzMessage(f *testing.F) {
	text, _ := linkwire.Append(nil, &linkwire.News{Digest: 1, Heads: []linkwire.Head{{Key: 1, Version: 2}},
		Records: []linkwire.Entry{
			{Name: "a", Incarnation: 1, Version: 1, Body: []byte{0xa1, 0x01, 0x61, 'h'}}, {Name: "a", Incarnation: 1,
				Subject: 1, Version: 1, Body: []byte{0x81, 0x82, 1, 2}}}})
	f.Add(text[5:])
	f.Fuzz(func(t *testing.T, text []byte) {
		frame, err := linkwire.Decode(linkwire.KindNews, text)
		if err != nil {
			return
		}
		m, err := Message(frame.(*linkwire.News))
		if err != nil {
			return
		}
		again, err := Frame(&m)
		if err != nil {
			t.Fatal(err)
		}
		back, err := Message(again)
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Fatalf("%+v, %v, was %+v", back, err, m)
		}
		machine := members.New(members.Options{ID: members.ID{Name: "me", Incarnation: 1}}, 1)
		from := members.ID{Name: "you", Incarnation: 1}
		machine.LinkUp(0, from)
		machine.Receive(0, from, m)
		machine.Tick(0)
	})
}
