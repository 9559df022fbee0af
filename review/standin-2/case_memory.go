package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["burst-of-bodies"] = burstOfBodies }

// burstOfBodies has clients send requests whose bodies are just within body_max_bytes, to two edge machines. In a burst
// twice the usual number of them come at once. A process whose memory exceeds ram_mb is killed, as the bench does, and
// starts again.
func burstOfBodies(f *fleet) (broken bool) {
	const (
		ramMB    = 284
		usual    = 36 // clients of one machine
		factor   = 2  // of a burst
		bursts   = 6
		body     = 4<<20 - 1024
		deadline = 2500 * time.Millisecond
		pause    = 300 * time.Millisecond // until a process that has ended starts again
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	var books []*simulation.Engine
	for i := range 3 {
		books = append(books, simulation.StartEngine(f, simulation.EngineSettings{
			ID:       fmt.Sprintf("book-%d", i+1),
			Service:  plain,
			Zone:     "koto-hall",
			Region:   "kanto",
			Capacity: 6,
			Queue:    100,
			Step:     60 * time.Millisecond,
		}))
	}
	f.startPlatform(nil, books...)
	machines := f.startMachines(ctx, config(`{"name": "r-book", "hostname": "review.example", "pfx": "/book/",
   "kind": "mutating", "deadline_ms": 2500, "target_ms": 150, "prio": 2, "svc": "book", "tries": 1}`), 2,
		map[string]any{"ram_mb": ramMB})
	clients := usual
	if f.trouble {
		clients *= factor
	}
	payload := bytes.Repeat([]byte("z"), body)
	killed := make([]int, len(machines))
	unanswered := 0
	for burst := range bursts {
		f.note("%d clients of each machine send a request of %d bytes each", clients, body)
		var all, watched sync.WaitGroup
		var ended atomic.Bool
		highest := make([]int, len(machines))
		results := make([][]simulation.Result, len(machines))
		for i, m := range machines {
			pid := pidOf(m.boot.Path)
			if pid == 0 {
				f.Fatalf("the proxy of %s is not found", m.name)
			}
			watched.Go(func() {
				for !ended.Load() {
					mb := anonymousMB(pid)
					highest[i] = max(highest[i], mb)
					if mb > ramMB {
						m.proxy.Signal(syscall.SIGKILL)
						f.note("%s: the proxy has %d MB of its own, over ram_mb, %d: it is killed", m.name, mb, ramMB)
						killed[i]++
						return
					}
					time.Sleep(5 * time.Millisecond)
				}
			})
			results[i] = make([]simulation.Result, clients)
			for k := range clients {
				all.Go(func() {
					c := &simulation.Client{Edge: m.edge}
					results[i][k] = c.Do(ctx, simulation.Request{
						Attempt:  fmt.Sprintf("burst-%d-%s-%d", burst+1, m.name, k+1),
						Kind:     simulation.Mutating,
						Host:     host,
						Path:     "/book/",
						Body:     payload,
						Deadline: deadline,
					})
				})
			}
		}
		all.Wait()
		ended.Store(true)
		watched.Wait()
		for i, m := range machines {
			ends := map[string]int{}
			for k := range results[i] {
				r := &results[i][k]
				switch {
				case r.Complete:
					ends["status "+strconv.Itoa(r.Status)]++
				default:
					ends["no answer"]++
					unanswered++
				}
			}
			f.note("%s: at most %d MB, requests ended: %v", m.name, highest[i], ends)
			if highest[i] > ramMB {
				time.Sleep(pause)
				f.startProxy(m)
				if err := simulation.AwaitReady(ctx, m.ready); err != nil {
					f.Fatalf("%s does not become ready again: %v", m.name, err)
				}
				f.note("%s: the proxy is started again and ready", m.name)
			}
		}
		time.Sleep(2 * time.Second)
	}
	ran := 0
	for _, e := range books {
		for _, en := range e.Log.Entries() {
			if en.Ran && en.Kind == simulation.KindRequest {
				ran++
			}
		}
	}
	f.note("ends by memory, by machine: %v; %d requests without an answer; %d requests ran", killed, unanswered, ran)
	for _, n := range killed {
		if n < 3 {
			return false
		}
	}
	f.note("Fault: on two machines processes ended three times, by memory over the limit")
	return true
}

// pidOf returns the process id of the child with a settings file; 0: there is none.
func pidOf(settings string) int {
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, dir := range dirs {
		environ, err := os.ReadFile(filepath.Join(dir, "environ"))
		if err != nil || !bytes.Contains(environ, []byte("MOLEPADDLE_CONFIG="+settings+"\x00")) {
			continue
		}
		if parent := statusField(dir, "PPid:"); parent == os.Getpid() {
			pid, _ := strconv.Atoi(filepath.Base(dir))
			return pid
		}
	}
	return 0
}

// anonymousMB returns the memory of a process that is its own, not a file's, in MiB; 0: it has ended.
func anonymousMB(pid int) int { return statusField(fmt.Sprintf("/proc/%d", pid), "RssAnon:") >> 10 }

// statusField returns a number of a process's status; 0: there is none.
func statusField(dir, name string) int {
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.Atoi(strings.Fields(value)[0])
			return n
		}
	}
	return 0
}
