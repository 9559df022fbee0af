package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"molepaddle/internal/rig/testkit"
	"molepaddle/policy"
)

// Connections of an age at which they tend to be dropped unseen are not used again;
// what ends at any age alike says nothing, and in time all is tried anew.
func TestAges(t *testing.T) {
	now, most := time.Now(), time.Minute
	var s ages
	for i := range 100 {
		broke := i%20 == 0 // as often at any age
		s.learn(time.Millisecond, broke, now)
		s.learn(300*time.Millisecond, broke, now)
	}
	if got := s.limit(most); got != most {
		t.Fatalf("%v though young ones end as often", got)
	}
	for i := range 10 {
		s.learn(110*time.Millisecond, i%3 == 0, now)
	}
	if got := s.limit(most); got < 64*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("%v though a third end from 110 ms on", got)
	}
	s.learn(time.Millisecond, false, now.Add(10*ageMemory))
	if got := s.limit(most); got != most {
		t.Fatalf("%v after what was seen is old", got)
	}
}

// A backend that drops what stands idle without a word is met with new connections
// after a few requests that ended so.
func TestDroppedUnseen(t *testing.T) {
	addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, okAnswer)
		testkit.ReadRequest(r) // and ends it when the next one comes
	})
	p := testPool()
	g := p.endpoint(addr)
	for range 40 {
		p.ages.learn(time.Millisecond, false, time.Now())
	}
	broken := 0
	for range 20 {
		res := newTry(g, http.MethodPost, never).run()
		if res.Status != policy.OK {
			broken++
		}
		p.mu.Lock()
		for _, c := range g.spare {
			c.since = c.since.Add(-time.Second) // as if it had stood idle
		}
		p.mu.Unlock()
	}
	if broken != leastEnds {
		t.Fatalf("%d requests ended as a reset, want %d", broken, leastEnds)
	}
}
