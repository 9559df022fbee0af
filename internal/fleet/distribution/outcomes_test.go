package distribution

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveCache answers pulls from a cache until the test ends, and gives where.
func serveCache(c *qt.C, name string, s *Cache) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(func() {
		cancel()
		ln.Close()
	})
	go Serve(ctx, ln, name, s, 10*time.Second, s.LastContact)
	return ln.Addr().String()
}

// TestOutcomesReachPrimary: what a proxy tells of backends reaches the primary through a node agent and a control server, while a pull of each
// waits for news; and what it is answered brings no news of its own.
func TestOutcomesReachPrimary(t *testing.T) {
	c := qt.New(t)
	primary, relay, agent := NewCache(), NewCache(), NewCache()
	primary.SetSnapshot(ConfigType, v(1), []byte("whole"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	proxy := NewOutcomeQueue()
	taken := make(chan string, 16)
	follow := func(name, addr string, box *OutcomeQueue, into *Cache) {
		go func() {
			_ = Watch(ctx, addr, &Watcher{Name: name, MaxWait: time.Minute, ReadTimeout: 5 * time.Second, Outcomes: box,
				Members: func() []Member { return nil }, Versions: into.Versions,
				Apply: func(n *Response) []string { taken <- name; return into.Apply(n, time.Now()) }})
		}()
	}
	follow("relay", serveCache(c, "primary", primary), relay.Outcomes, relay)
	follow("agent", serveCache(c, "relay", relay), agent.Outcomes, agent)
	last := NewCache()
	follow("proxy", serveCache(c, "agent", agent), proxy, last)
	for range 3 {
		<-taken // each has the configuration, and its next pull waits
	}
	for i := range 3 {
		sent := OutcomeReport{Proxy: "p", Zone: "z", Outcomes: []Outcome{{Backend: fmt.Sprint("b", i), Attempts: 3, Failed: 1, Slow: 1, Overdue: 1, Late: 2}}}
		proxy.Put(sent)
		select {
		case <-primary.Outcomes.Arrived():
			c.Assert(primary.Outcomes.Take(), qt.DeepEquals, []OutcomeReport{sent})
		case <-time.After(10 * time.Second):
			c.Fatal("the report did not come")
		}
	}
	c.Assert(len(taken), qt.Equals, 0, qt.Commentf("a push is no pull"))
	// The word on it goes down as any news does.
	primary.SetSnapshot(EjectionsType, v(1), []byte("ejected"))
	for range 3 {
		<-taken
	}
	at, _ := last.Version(EjectionsType)
	c.Assert(at, qt.Equals, v(1))
}

// TestOutcomesAreBounded: reports that nobody takes give way to newer ones.
func TestOutcomesAreBounded(t *testing.T) {
	c := qt.New(t)
	b := NewOutcomeQueue()
	for i := range 2 * maxOutcomeReports {
		b.Put(OutcomeReport{Proxy: fmt.Sprint(i)})
	}
	all := b.Take()
	c.Assert(all, qt.HasLen, maxOutcomeReports)
	c.Assert(all[len(all)-1].Proxy, qt.Equals, fmt.Sprint(2*maxOutcomeReports-1))
	c.Assert(b.Take(), qt.HasLen, 0)
}
