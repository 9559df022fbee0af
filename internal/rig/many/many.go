// Package many plays very many agents on one machine against stand-ins: one process with all
// the agents, each whole and sharing nothing with another but the runtime, and one with the
// servers and the roster. Agents in one process are fair to measure by: none knows another, and
// what they share (collector, scheduler, poller) costs each less, not more, than its own would.
package many

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/testkit"
	"molepaddle/internal/rig/testkit/sites"
)

const (
	asksWithin = 10 * time.Second
	coldMs     = 8000
	coldFrom   = 0.3
	multiple   = 2.5
)

// count is what the stand-ins have seen since the last.
type count struct {
	Came, Connects, Open []int // by server
	Questions, Watches   int
}

// standIns plays servers and a roster until its input ends: a line of it is a command, and each
// is answered with a line.
func standIns(in io.Reader, out io.Writer) {
	var list []*standin.Server
	roster, err := standin.NewRoster()
	if err != nil {
		fmt.Fprintln(out, err)
		return
	}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var cmd string
		var n int
		fmt.Sscan(lines.Text(), &cmd, &n)
		switch cmd {
		case "servers":
			for i := range n {
				s, err := standin.NewServer(fmt.Sprint("s-", i), 5*time.Millisecond)
				if err != nil {
					fmt.Fprintln(out, err)
					return
				}
				list = append(list, s)
				roster.Set(s.Host([]string{"a", "b"}[i%2], "k", "ready"))
			}
			fmt.Fprintln(out, roster.Addr)
		case "list":
			fmt.Fprintln(out, string(roster.List()))
		case "count":
			var c count
			for _, s := range list {
				came, connects, open := s.Counts()
				c.Came, c.Connects, c.Open = append(c.Came, came), append(c.Connects, connects), append(c.Open, open)
			}
			c.Questions, c.Watches = roster.Counts()
			text, _ := json.Marshal(c) // plain values: no error
			fmt.Fprintln(out, string(text))
		case "lose": // a server's process ends, and the roster knows
			list[n].Close()
			h := list[n].Host([]string{"a", "b"}[n%2], "k", "gone")
			roster.Set(h)
			fmt.Fprintln(out, "lost")
		case "back": // another one starts under the same name; its port may be another's by now
			s, err := standin.NewServer(list[n].Name, 5*time.Millisecond)
			if err != nil {
				fmt.Fprintln(out, err)
				return
			}
			list[n] = s
			h := s.Host([]string{"a", "b"}[n%2], "k", "ready")
			h.BornMs = float64(time.Now().UnixMilli())
			roster.Set(h)
			fmt.Fprintln(out, "back")
		case "down":
			roster.Down(true)
			fmt.Fprintln(out, "down")
		case "up":
			roster.Down(false)
			fmt.Fprintln(out, "up")
		}
	}
}

// others is the process of the stand-ins.
type others struct {
	t     testing.TB
	in    io.Writer
	lines *bufio.Scanner
}

func start(t testing.TB, servers int) (o *others, roster string) {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "MANY_STANDINS=1")
	in, err := cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { in.Close(); cmd.Wait() })
	o = &others{t: t, in: in, lines: bufio.NewScanner(out)}
	o.lines.Buffer(nil, 4<<20)
	return o, o.say("servers %d", servers)
}

func (o *others) say(format string, args ...any) string {
	o.t.Helper()
	fmt.Fprintf(o.in, format+"\n", args...)
	if !o.lines.Scan() {
		o.t.Fatal("the stand-ins have ended")
	}
	return o.lines.Text()
}

func (o *others) count() (c count) {
	if err := json.Unmarshal([]byte(o.say("count")), &c); err != nil {
		o.t.Fatal(err)
	}
	return c
}

// crowd is the agents.
type crowd struct {
	mu    sync.Mutex // guards bases, where agents are restarted
	bases []string
	end   []func()
}

func (c *crowd) stop() {
	var wg sync.WaitGroup
	for _, f := range c.end {
		wg.Go(f)
	}
	wg.Wait()
}

// gather starts n agents at once. known says that they are told the list from the start.
func gather(t testing.TB, n int, roster string, known json.RawMessage, file *operator.Settings) *crowd {
	t.Helper()
	c := &crowd{bases: make([]string, n), end: make([]func(), n)}
	var wg sync.WaitGroup
	for part := range 4 {
		wg.Go(func() {
			for i := part; i < n; i += 4 {
				c.bases[i], c.end[i] = one(t, i, n, roster, known, file)
			}
		})
	}
	wg.Wait()
	return c
}

func one(t testing.TB, index, n int, roster string, known json.RawMessage, file *operator.Settings) (base string, end func()) {
	raw := testkit.Config(roster)
	raw["known"] = known
	raw["seed"] = fmt.Sprintf("%x", 1000+index)
	raw["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}
	s := raw["settings"].(map[string]any)
	s["index"], s["replicasOfMe"], s["membershipMode"], s["zone"] = index, n, "on_request", index%2
	s["contract"] = map[string]any{"askWithinMs": asksWithin.Milliseconds(), "coldFrom": coldFrom, "coldMs": coldMs,
		"drainGraceMs": 250, "fallMultiple": multiple, "tipAfterMs": 1000}
	for _, x := range s["classes"].([]any) {
		class := x.(map[string]any)
		class["aimMs"], class["giveUpMs"], class["lateShare"] = 300, 3000, 0.2
	}
	text, err := json.Marshal(raw)
	if err != nil {
		t.Error(err)
		return
	}
	conf, err := config.Parse(text)
	if err != nil {
		t.Error(err)
		return
	}
	a, err := agent.New(conf, file, agent.Network{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Error(err)
		return
	}
	ln := sites.Loopback(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Serve(ctx, ln) }()
	return "http://" + ln.Addr().String(), func() { a.Close(); cancel(); <-ended }
}

// client keeps few connections: most agents are asked seldom.
var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{MaxIdleConns: 256, MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Second,
	DialContext: (&net.Dialer{}).DialContext}}

var lastID atomic.Int64

// ask sends one order and reports its status; 0: none.
func ask(base string) int {
	id := lastID.Add(1)
	req, err := http.NewRequest("POST", fmt.Sprintf("%s/order/u%d", base, id), strings.NewReader("body"))
	if err != nil {
		return 0
	}
	req.Header.Set("Request-Id", fmt.Sprint("m", id))
	req.Header.Set("Request-Timeout", "3000m")
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// load asks at a rate, ten agents half of it, until the context ends; it counts the statuses.
func (c *crowd) load(ctx context.Context, perSecond float64) map[int]int {
	var mu sync.Mutex
	statuses := map[int]int{}
	rng := rand.New(rand.NewPCG(5, 5))
	var wg sync.WaitGroup
	begin, due := time.Now(), 0.0
	for ctx.Err() == nil {
		due += rng.ExpFloat64() / perSecond
		select {
		case <-time.After(time.Until(begin.Add(time.Duration(due * float64(time.Second))))):
		case <-ctx.Done():
		}
		i := rng.IntN(len(c.bases))
		if rng.IntN(2) == 0 {
			i = rng.IntN(min(10, len(c.bases)))
		}
		wg.Go(func() {
			c.mu.Lock()
			base := c.bases[i]
			c.mu.Unlock()
			s := ask(base)
			mu.Lock()
			statuses[s]++
			mu.Unlock()
		})
	}
	wg.Wait()
	return statuses
}

// seconds counts what the stand-ins see, second by second.
func (o *others) seconds(n int) (all []count) {
	o.count()
	for range n {
		time.Sleep(time.Second) // a second is what is counted by
		all = append(all, o.count())
	}
	return all
}

// sum is what came in several seconds; Open and Watches are the last.
func sum(all []count) (s count, mostConnects, mostQuestions int) {
	for _, c := range all {
		if s.Came == nil {
			s.Came, s.Connects, s.Open = make([]int, len(c.Came)), make([]int, len(c.Came)), make([]int, len(c.Came))
		}
		for i := range c.Came {
			s.Came[i] += c.Came[i]
			s.Connects[i] += c.Connects[i]
			s.Open[i] = c.Open[i]
		}
		s.Questions += c.Questions
		s.Watches = c.Watches
		mostConnects, mostQuestions = max(mostConnects, slices.Max(c.Connects)), max(mostQuestions, c.Questions)
	}
	return s, mostConnects, mostQuestions
}

func mean(x []int) float64 {
	n := 0
	for _, v := range x {
		n += v
	}
	return float64(n) / float64(len(x))
}

// worst is the most work that came to a server in a second, as a part of its budget while it
// warms: capacity is what it does a second when warm.
func worst(all []count, server int, capacity float64) (share float64) {
	for s, c := range all {
		budget := multiple * capacity * min(coldFrom+(1-coldFrom)*float64(s)*1000/coldMs, 1)
		share = max(share, float64(c.Came[server])/budget)
	}
	return share
}
