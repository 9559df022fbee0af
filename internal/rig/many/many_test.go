package many

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/testkit/sites"
)

var (
	agents  = flag.Int("many.agents", 0, "measure with so many agents, for some minutes")
	servers = flag.Int("many.servers", 12, "and so many servers")
	rate    = flag.Float64("many.rate", 1000, "requests a second of all agents")
	off     = flag.Bool("many.off", false, "without the operator's fleet table")
	what    = flag.String("many.what", "day,cold,rollout,down,memory", "which parts")
)

// TestMain is also the process of the stand-ins.
func TestMain(m *testing.M) {
	if os.Getenv("MANY_STANDINS") != "" {
		standIns(os.Stdin, os.Stdout)
		return
	}
	os.Exit(m.Run())
}

// table is the operator's file of a measure.
func table(t testing.TB) *operator.Settings { return sites.Operator(t, "[fleet]\non = %v\n", !*off) }

// The figures of a row.
func row(name string, all []count) {
	s, connects, questions := sum(all)
	fmt.Printf("| %s | %.3f | %d, %.0f | %.1f, %d | %.1f, %d | %d |\n", name, float64(slices.Max(s.Came))/max(mean(s.Came), 1), slices.Max(s.Open), mean(s.Open),
		mean(s.Connects)/float64(len(all)), connects, float64(s.Questions)/float64(len(all)), questions, s.Watches)
}

func head() {
	fmt.Println("| | most loaded over the mean | open at the server with most, mean | connects a second at a server, most in one | questions a second, most in one | watches |")
	fmt.Println("|---|---|---|---|---|---|")
}

// TestMeasure is the long measurement.
func TestMeasure(t *testing.T) {
	if *agents == 0 {
		t.Skip("no measure is asked for")
	}
	fmt.Printf("\n%d agents, %d servers, %.0f requests a second of which ten agents have half; the fleet table is on: %v\n\n", *agents, *servers, *rate, !*off)
	for _, part := range strings.Split(*what, ",") {
		switch part {
		case "day":
			day(t)
		case "cold":
			cold(t)
		case "rollout":
			rollout(t)
		case "down":
			down(t)
		case "memory":
			memory(t)
		}
	}
}

func day(t *testing.T) {
	o, roster := start(t, *servers)
	known := json.RawMessage(o.say("list"))
	counted := make(chan []count)
	go func() { counted <- o.seconds(20) }()
	c := gather(t, *agents, roster, known, table(t))
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan map[int]int)
	go func() { done <- c.load(ctx, *rate) }()
	head()
	row("start, 20 s", <-counted)
	row("steady, 30 s", o.seconds(30))
	o.say("lose 1")
	row("a server is lost, 10 s", o.seconds(10))
	o.say("back 1")
	back := o.seconds(12)
	row("and comes back cold, 12 s", back)
	cancel()
	fmt.Printf("statuses %v; the cold server had at the most %.2f of its budget in a second\n", <-done, worst(back, 1, 2**rate/float64(*servers)))
}

// cold is a thousand agents, or as many as asked for, that start in one instant and have one
// server, which has just started.
func cold(t *testing.T) {
	o, roster := start(t, 1)
	o.say("lose 0")
	o.say("back 0")
	known := json.RawMessage(o.say("list"))
	counted := make(chan []count)
	go func() { counted <- o.seconds(12) }()
	c := gather(t, min(*agents, 1000), roster, known, table(t))
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan map[int]int)
	go func() { done <- c.load(ctx, *rate/5) }()
	all := <-counted
	cancel()
	head()
	row(fmt.Sprintf("%d agents, one cold server", len(c.bases)), all)
	fmt.Printf("statuses %v; at the most %.2f of its budget in a second;", <-done, worst(all, 0, *rate/5))
	for _, x := range all {
		fmt.Printf(" %d", x.Came[0])
	}
	fmt.Println(" came second by second")
}

// rollout ends every agent and starts it anew within a minute, one after the other, under load.
func rollout(t *testing.T) {
	o, roster := start(t, *servers)
	known := json.RawMessage(o.say("list"))
	c := gather(t, *agents, roster, known, table(t))
	defer func() { c.stop() }()
	o.seconds(15)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan map[int]int)
	go func() { done <- c.load(ctx, *rate) }()
	counted := make(chan []count)
	go func() { counted <- o.seconds(60) }()
	begin := time.Now()
	for i := range c.end {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * time.Minute / time.Duration(len(c.end)))))
		c.end[i]()
		base, end := one(t, i, len(c.end), roster, known, table(t))
		c.mu.Lock()
		c.bases[i], c.end[i] = base, end
		c.mu.Unlock()
	}
	head()
	row("all restarted within 60 s", <-counted)
	cancel()
	fmt.Printf("statuses %v (0: the agent was killed)\n", <-done)
}

// down is the roster down for 30 s and back.
func down(t *testing.T) {
	o, roster := start(t, *servers)
	c := gather(t, *agents, roster, json.RawMessage(o.say("list")), table(t))
	defer c.stop()
	o.seconds(15)
	o.say("down")
	head()
	o.seconds(30)
	o.say("up")
	row("the roster is back, 15 s", o.seconds(15))
}

func memory(t *testing.T) {
	o, roster := start(t, *servers)
	known := json.RawMessage(o.say("list"))
	held := func() (heap uint64, goroutines int) {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc + m.StackInuse, runtime.NumGoroutine()
	}
	h0, g0 := held()
	n := min(*agents, 500)
	c := gather(t, n, roster, known, table(t))
	defer c.stop()
	o.seconds(12) // all watch
	h1, g1 := held()
	fmt.Printf("an idle agent: %.1f kB of heap and stacks, %.1f goroutines (%d agents, %d watches)\n", float64(h1-h0)/1024/float64(n), float64(g1-g0)/float64(n), n, o.count().Watches)
	for i := range c.bases {
		ask(c.bases[i])
	}
	client.CloseIdleConnections()
	o.seconds(8)
	h2, g2 := held()
	fmt.Printf("one that has served a request some seconds ago: %.1f kB, %.1f goroutines\n", float64(h2-h0)/1024/float64(n), float64(g2-g0)/float64(n))
}

// Fifty agents of which ten carry half the traffic keep within their bounds when a server is
// lost and comes back cold, and when the roster goes and comes back.
func TestFifty(t *testing.T) {
	const n, servers = 50, 6
	o, roster := start(t, servers)
	file := sites.Operator(t, "[fleet]\non = true\nconnections = 25.0\nleast = 1\nmost = 2\nkeep_idle = \"500ms\"\n")
	c := gather(t, n, roster, json.RawMessage(o.say("list")), file)
	defer c.stop()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan map[int]int)
	go func() { done <- c.load(ctx, 300) }()
	// Starts at the roster are spread over half the contract's time.
	sites.Eventually(t, "all watch", func() bool { return o.count().Watches == n })
	steady, _, _ := sum(o.seconds(4))
	if x := float64(slices.Max(steady.Came)) / mean(steady.Came); x > 1.6 || math.IsNaN(x) {
		t.Errorf("the most loaded server has %.2f of the mean: %v", x, steady.Came)
	}
	for i, open := range steady.Open {
		if open > n { // a sixth of 50 times 3, ten times more for who carries much
			t.Errorf("server %d has %d connections", i, open)
		}
	}
	if steady.Watches != n || steady.Questions > n {
		t.Errorf("%d watches, %d questions", steady.Watches, steady.Questions)
	}
	o.say("lose 1")
	o.say("down")
	o.say("back 1")
	o.say("up")
	back := o.seconds(3)
	if x := worst(back, 1, 100); x > 1 {
		t.Errorf("the cold server had %.2f of its budget in a second", x)
	}
	sites.Eventually(t, "all watch again", func() bool { return o.count().Watches == n })
	sites.Eventually(t, "the new process is used", func() bool { return o.count().Came[1] > 0 })
	cancel()
	statuses := <-done
	if statuses[200] == 0 || statuses[0] > 0 || statuses[502]+statuses[504] > 5 {
		t.Errorf("statuses %v", statuses)
	}
	sites.Eventually(t, "idle agents give their connections back", func() bool { return slices.Max(o.count().Open) == 0 })
}
