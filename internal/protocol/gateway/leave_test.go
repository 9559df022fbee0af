package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit/sites"
	"molepaddle/internal/rig/wan"
)

// crowd sends n concurrent requests; leave disconnects all clients at once and waits for them.
func crowd(base string, n int, class string, patience time.Duration) (answers []sites.Answer, leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	answers = make([]sites.Answer, n)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = sites.Ask(ctx, base, class, patience, []byte("body"))
		}()
	}
	return answers, func() {
		cancel()
		wg.Wait()
	}
}

// patient sets the classes' client time-outs to a minute, so that no time-out decides a test.
func patient(cancelling bool) func(map[string]any) {
	return func(settings map[string]any) {
		for _, c := range settings["classes"].([]any) {
			class := c.(map[string]any)
			class["aimMs"], class["giveUpMs"] = 50000, 59000
		}
		settings["limits"].(map[string]any)["cancelling"] = cancelling
	}
}

// still raises the time after which a link counts as stalled, so that a late heartbeat on a busy
// machine doesn't cause refusals.
func still(o *operator.Settings) *operator.Settings {
	o.Gateway.StallAfter, o.Gateway.DeadAfter = operator.Duration(30*time.Second), operator.Duration(time.Minute)
	return o
}

// Many clients disconnect at once while most of their requests wait: at the near end, on the link with
// a delay of 16 ms each way, or in the far end's queue. No waiting request is started afterwards,
// whether or not running requests may be cancelled, and also if the link stalls meanwhile.
func TestCrowdLeavesBehindALink(t *testing.T) {
	for _, cancelling := range []bool{true, false} {
		for _, stalled := range []bool{false, true} {
			t.Run(fmt.Sprintf("cancelling=%v,stalled=%v", cancelling, stalled), func(t *testing.T) {
				ln := sites.Loopback(t)
				far := sites.Start(t, sites.Options{Servers: 1, Links: ln,
					Operator: still(farFile(t, ln.Addr().String(), "")), Config: patient(cancelling)})
				link, err := wan.New(ln.Addr().String(), 1)
				if err != nil {
					t.Fatal(err)
				}
				t.Cleanup(func() { link.Close() })
				for _, w := range []wan.Way{wan.There, wan.Back} {
					link.Set(w, wan.Path{Delay: 16 * time.Millisecond})
				}
				near := sites.Start(t, sites.Options{Operator: still(nearFile(t, link.Addr, "")),
					Config: patient(cancelling)})
				far.Ready(t)
				near.Ready(t)
				server := far.Servers[0]
				server.Hold(true)
				const n = 150
				answers, leave := crowd(near.Base, n, "order", 59*time.Second)
				sites.Eventually(t, "some have begun, the rest waits", func() bool {
					l := near.Agent.Load()
					return len(server.Came()) > 0 && l.Taken > n/2 && far.Agent.Load().Requests > len(server.Came())
				})
				if stalled {
					link.Stall(wan.There, wan.Back)
				}
				leave()
				if stalled {
					sites.Eventually(t, "the near end knows", func() bool { return near.Agent.Load().Taken == 0 })
					link.Move(wan.There, wan.Back)
				}
				// What has begun may stay until it is answered, no more than that.
				begun := func() int {
					if cancelling {
						return 0
					}
					return len(server.Came())
				}
				sites.Eventually(t, "only what has begun is left", func() bool {
					n, f := near.Agent.Load(), far.Agent.Load()
					return n.Taken == 0 && max(f.Requests, n.Requests, n.Crossings, f.Crossings) <= begun()
				})
				if cancelling { // what went out before its client left may not have been read
					sites.Eventually(t, "the server has seen all closes", func() bool { return server.Open() == 0 })
				}
				came := len(server.Came())
				server.Hold(false)
				sites.Eventually(t, "nothing is left", func() bool {
					n, f := near.Agent.Load(), far.Agent.Load()
					return n.Requests+n.Attempts+n.Crossings+f.Requests+f.Attempts == 0
				})
				if got := len(server.Came()); got != came {
					t.Errorf("%d were begun after their clients had left", got-came)
				}
				for _, a := range answers {
					if a.Status != 0 {
						t.Errorf("%s got %d though its client had gone", a.ID, a.Status)
					}
				}
				if a := sites.Ask(context.Background(), near.Base, "order", 30*time.Second, nil); a.Status != 200 {
					t.Errorf("the next got %d", a.Status)
				}
			})
		}
	}
}

// Many clients of one site disconnect at once while the queue is full and the servers still work on
// abandoned requests. No queued request is started, and a client that comes afterwards is answered in
// time.
func TestCrowdLeavesAFullQueue(t *testing.T) {
	near := sites.Start(t, sites.Options{Servers: 2, Config: func(settings map[string]any) {
		patient(true)(settings)
		settings["limits"].(map[string]any)["openCap"] = 120
	}})
	near.Ready(t)
	for _, s := range near.Servers {
		s.Hold(true)
	}
	const n = 250
	_, leave := crowd(near.Base, n, "order", 59*time.Second)
	sites.Eventually(t, "the queue is full", func() bool { return near.Agent.Load().Requests >= 110 })
	stay := make(chan sites.Answer, 1)
	leave()
	sites.Eventually(t, "they are gone", func() bool { l := near.Agent.Load(); return l.Taken+int64(l.Requests) == 0 })
	came := len(near.Came())
	go func() { stay <- sites.Ask(context.Background(), near.Base, "look", 30*time.Second, nil) }()
	sites.Eventually(t, "one who stays is begun", func() bool { return len(near.Came()) == came+1 })
	for _, s := range near.Servers {
		s.Hold(false)
	}
	if a := <-stay; a.Status != 200 || a.Took > 30*time.Second {
		t.Errorf("who stayed got %d after %v", a.Status, a.Took)
	}
	if got := len(near.Came()); got != came+1 {
		t.Errorf("%d more were begun", got-came-1)
	}
}

// With little time left a request is forwarded and answered, or rejected at once. None is started at
// the far end after its client's deadline, and each gets an answer.
func TestLittleTimeOnALink(t *testing.T) {
	p := startPair(t, 2, 5*time.Millisecond, "")
	for _, w := range []wan.Way{wan.There, wan.Back} {
		p.net.Set(w, wan.Path{Delay: 16 * time.Millisecond})
	}
	sites.Eventually(t, "one is served", func() bool { return p.ask("look", 10*time.Second).Status == 200 })
	ends := map[string]time.Time{}
	var all []sites.Answer
	for _, patience := range []time.Duration{1, 2, 10, 17, 33, 40, 60, 2000} {
		for _, class := range []string{"look", "send", "order"} {
			patience := patience * time.Millisecond
			end := time.Now().Add(patience)
			a := p.ask(class, patience)
			ends[a.ID] = end
			all = append(all, a)
			if a.Status == 0 {
				t.Errorf("%s with %v has no answer", class, patience)
			}
			if patience <= 17*time.Millisecond && a.Status == 200 {
				t.Errorf("%s with %v was served over two ways of 16 ms", class, patience)
			}
		}
	}
	judge(t, p.far.Came(), all...)
	for _, s := range p.far.Servers {
		for _, c := range s.Came() {
			if end, asked := ends[c.ID]; asked && c.At.After(end.Add(50*time.Millisecond)) {
				t.Errorf("%s came %v after its client's time", c.ID, c.At.Sub(end))
			}
		}
	}
}
