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

// An idle time at which reused connections break clearly more often than young ones limits the reuse; breaks that are
// as frequent at every age do not, and the limit is lifted once the counts have decayed.
func TestAges(t *testing.T) {
	now, most := time.Now(), time.Minute
	var s ageStats
	for i := range 100 {
		broke := i%20 == 0 // as often at any age
		s.observe(time.Millisecond, broke, now)
		s.observe(300*time.Millisecond, broke, now)
	}
	if got := s.idleLimit(most); got != most {
		t.Fatalf("%v though young ones end as often", got)
	}
	for i := range 10 {
		s.observe(110*time.Millisecond, i%3 == 0, now)
	}
	if got := s.idleLimit(most); got < 64*time.Millisecond || got > 110*time.Millisecond {
		t.Fatalf("%v though a third end from 110 ms on", got)
	}
	s.observe(time.Millisecond, false, now.Add(10*ageHalfLife))
	if got := s.idleLimit(most); got != most {
		t.Fatalf("%v after what was seen is old", got)
	}
}

// A backend that silently drops idle connections fails minBreaks requests; after that new connections are used.
func TestDroppedUnseen(t *testing.T) {
	addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
		if _, err := testkit.ReadRequest(r); err != nil {
			return
		}
		io.WriteString(conn, okAnswer)
		testkit.ReadRequest(r) // and closes the connection at the next request
	})
	p := testPool()
	g := p.endpoint(addr)
	for range 40 {
		p.ages.observe(time.Millisecond, false, time.Now())
	}
	broken := 0
	for range 20 {
		res := newTry(g, http.MethodPost, never).run()
		if res.Status != policy.OK {
			broken++
		}
		p.mu.Lock()
		for _, c := range g.idle {
			c.since = c.since.Add(-time.Second) // simulates a second of idle time
		}
		p.mu.Unlock()
	}
	if broken != minBreaks {
		t.Fatalf("%d requests ended as a reset, want %d", broken, minBreaks)
	}
}
