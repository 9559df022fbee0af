package world

import (
	"flag"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

var (
	from   = flag.Uint64("world.from", 1, "first seed to play")
	count  = flag.Uint64("world.count", 250, "how many seeds to play")
	stop   = flag.Bool("world.stop", false, "stop at the first seed with a breach")
	one    = flag.Uint64("world.seed", 0, "play this seed and write its trace")
	file   = flag.String("world.day", "", "play the day in this file and write its trace")
	logs   = flag.Bool("world.logs", false, "with a trace: the agents' logs as well")
	shrink = flag.Bool("world.shrink", false, "with a seed or a day: cut it down, and print what is left")
	sites  = flag.Bool("world.sites", false, "days of two sites")
	fast   = flag.Bool("world.fcgi", false, "servers speak FastCGI")
	surge  = flag.Bool("world.surge", false, "days on which clients give up")
	times  = flag.Int("world.times", 2, "how often each seed is played to compare its traces")
)

// day is the day that a seed draws.
func day(seed uint64) (d *Day) {
	defer func() { d.Fast = *fast }()
	if *surge {
		return NewSurgeDay(seed)
	}
	if *sites {
		return NewSitesDay(seed)
	}
	return NewDay(seed)
}

// play plays a day in a bubble of its own; what the bubble says of goroutines that are
// left over is a breach as well.
func play(t *testing.T, day *Day, trace io.Writer) (res Result) {
	defer func() {
		if p := recover(); p != nil {
			text, _, _ := strings.Cut(fmt.Sprint(p), "\n")
			res.Breaches = append(res.Breaches, Breach{Rule: "a panic or a goroutine left over", Text: text})
		}
	}()
	synctest.Test(t, func(*testing.T) { res = Play(day, trace) })
	return res
}

// TestSeeds plays days and holds all rules; its last line counts them.
func TestSeeds(t *testing.T) {
	if *one != 0 || *file != "" {
		t.Skip("one day is asked for")
	}
	began := time.Now()
	var mu sync.Mutex
	next, passed, failed, steps := *from, 0, 0, 0
	var virtual time.Duration
	seen := map[string]int{}
	t.Run("days", func(t *testing.T) {
		for range runtime.GOMAXPROCS(0) {
			t.Run("lane", func(t *testing.T) {
				t.Parallel()
				for {
					mu.Lock()
					seed := next
					next++
					done := seed >= *from+*count || *stop && failed > 0
					mu.Unlock()
					if done {
						return
					}
					res := play(t, day(seed), nil)
					mu.Lock()
					steps += res.Steps
					virtual += res.Virtual
					for what, n := range res.Counts {
						seen[what] += n
					}
					if len(res.Breaches) == 0 {
						passed++
					} else {
						failed++
						t.Errorf("seed %d: %v\n\treplay: go test ./internal/rig/world -run TestDay -v -world.seed=%d%s", seed, res.Breaches[0], seed, map[bool]string{true: " -world.sites"}[*sites]+map[bool]string{true: " -world.surge"}[*surge]+map[bool]string{true: " -world.fcgi"}[*fast])
					}
					mu.Unlock()
				}
			})
		}
	})
	took := time.Since(began)
	if asked := seen["asked"]; asked > 0 {
		for _, what := range []string{failedUnrun, refusedIdle, overOld} {
			fmt.Printf("%.2f in a thousand requests: %s\n", 1000*float64(seen[what])/float64(asked), what)
		}
	}
	fmt.Printf("%d steps, %.0f seeds a second, %.0f virtual seconds a second\n", steps, float64(passed+failed)/took.Seconds(), virtual.Seconds()/took.Seconds())
	if testing.Verbose() {
		for what, n := range seen {
			fmt.Printf("%8d %s\n", n, what)
		}
	}
	// What the world is for must have been in it.
	if *count >= 200 && failed == 0 && !*sites && !*surge {
		for _, what := range []string{"fault drain-at-reply", "fault crash-listed", "cancel-at-last-byte", "key window ends in a dial",
			"retries", "probes", "served", "refused", "failed", "attempts reset", "attempts never", "attempts spoilt", "attempts cut without a length", "fault old-delta", "attempts given up"} {
			if seen[what] == 0 {
				t.Errorf("no day had: %s", what)
			}
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
}

// asked is the day that the flags ask for.
func asked(t *testing.T) *Day {
	switch {
	case *file != "":
		text, err := os.ReadFile(*file)
		if err != nil {
			t.Fatal(err)
		}
		d, err := ReadDay(text)
		if err != nil {
			t.Fatal(err)
		}
		return d
	case *one != 0:
		return day(*one)
	}
	t.Skip("no day is asked for")
	return nil
}

// TestDay plays one day with its trace, or cuts it down.
func TestDay(t *testing.T) {
	day := asked(t)
	day.Logs = *logs
	if *shrink {
		small := Shrink(day, func(d *Day) Result { return play(t, d, nil) })
		if small == nil {
			t.Fatal("no rule is broken on this day")
		}
		fmt.Printf("%s\n", small.JSON())
		day = small
	}
	res := play(t, day, os.Stdout)
	for _, b := range res.Breaches {
		t.Error(b)
	}
}

// Days on which a rule was broken once, cut down to what it took, break none any more.
func TestKeptDays(t *testing.T) {
	files, err := filepath.Glob("testdata/days/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("no days: %v", err)
	}
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		day, err := ReadDay(text)
		if err != nil {
			t.Fatal(err)
		}
		res := play(t, day, nil)
		if res.Steps == 0 {
			t.Errorf("%s: nothing happens", name)
		}
		for _, b := range res.Breaches {
			t.Errorf("%s: %v\n\treplay: go test ./internal/rig/world -run TestDay -v -world.day=%s", name, b, name)
		}
	}
}

// The same seed gives the same trace, whatever runs it.
func TestSameTrace(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(0))
	all := fnv.New64a()
	n := *count
	if n == 250 { // nobody asks for more: a few, as each is played six times
		n = 12
	}
	for seed := *from; seed < *from+n; seed++ {
		var first uint64
		for i, procs := range []int{1, 2, 4} {
			runtime.GOMAXPROCS(procs)
			for k := range *times {
				h := fnv.New64a()
				play(t, day(seed), h)
				if i == 0 && k == 0 {
					first = h.Sum64()
					fmt.Fprintln(all, first)
				} else if h.Sum64() != first {
					t.Errorf("seed %d: the trace differs on %d processors", seed, procs)
				}
			}
		}
	}
	fmt.Printf("traces of %d seeds: %016x\n", n, all.Sum64())
}

// A few days of two sites break no rule. More of them are played by .ci/seeds with -world.sites.
func TestSites(t *testing.T) {
	crossed := 0
	for seed := uint64(1); seed <= 24; seed++ {
		res := play(t, NewSitesDay(seed), nil)
		for _, b := range res.Breaches {
			t.Errorf("seed %d: %v", seed, b)
		}
		crossed += res.Counts["crossed"]
	}
	if crossed < 500 {
		t.Errorf("%d attempts were made of what crossed", crossed)
	}
}

// Another seed is another day, and a day that is written and read again is the same.
func TestDaysDiffer(t *testing.T) {
	trace := func(d *Day) string {
		var b strings.Builder
		play(t, d, &b)
		return b.String()
	}
	if trace(NewDay(1)) == trace(NewDay(2)) {
		t.Error("two seeds, one day")
	}
	d, err := ReadDay(NewDay(3).JSON())
	if err != nil {
		t.Fatal(err)
	}
	if trace(d) != trace(NewDay(3)) {
		t.Error("a day that was kept is another")
	}
}
