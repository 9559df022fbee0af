package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/fleet/simulation"
)

func init() { cases["cut-in-event"] = cutInEvent }

// cutInEvent kills a backend whose streams have no length while it is in the middle of an event. The streams may be
// resumed, and another backend could continue them.
func cutInEvent(f *fleet) (broken bool) {
	const (
		events   = 40
		requests = 6
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	set := simulation.EngineSettings{
		ID:              "prefill-1",
		Service:         llm,
		Zone:            "koto-hall",
		Region:          "kanto",
		Phase:           simulation.PhasePrefill,
		Capacity:        64,
		KVTokens:        600_000,
		Step:            unframedStep,
		PrefillPerToken: 4 * time.Microsecond,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	prefill := simulation.StartEngine(f, set)
	set.ID, set.Phase = "decode-2", simulation.PhaseDecode
	other := simulation.StartEngine(f, set)
	own := f.startBackendProcess("decode-1", "koto-hall")
	f.startPlatform([]simulation.Backend{{
		ID:       "decode-1",
		Service:  llm,
		Address:  own.address,
		Zone:     "koto-hall",
		Version:  "v1",
		Capacity: 64,
		State:    simulation.StateUp,
		Phase:    simulation.PhaseDecode,
		Models:   []simulation.Model{{Name: "m", Ver: 1, LoRAs: []string{}}},
	}}, prefill, other)
	f.startPrograms(ctx, config(`{"name": "r-talk", "hostname": "review.example", "pfx": "/talk/", "kind": "stream",
   "deadline_ms": 20000, "target_ms": 2000, "prio": 0, "svc": "llm", "tries": 3, "pin": true, "resumable": true,
   "gap_aim_ms": 150}`))

	results := make([]streamResult, requests)
	var all sync.WaitGroup
	for i := range results {
		r := &results[i]
		r.attempt = fmt.Sprintf("talk-%d", i+1)
		all.Go(func() { r.send(f.edge, fmt.Sprintf("%x:220", 0x7a10+i), events) })
	}
	if f.trouble {
		time.Sleep(time.Second) // all streams of that backend are in the middle of an event
		own.kill()
		f.note("decode-1 is killed")
	}
	all.Wait()
	said := own.said()
	for _, line := range said {
		f.note("decode-1 said: %s", line)
	}
	for _, en := range other.Log.Entries() {
		if en.Kind == simulation.KindRequest {
			f.noteAt(en.At, "decode-2: %s arrives, Last-Event-Id %q, status %d", en.Attempt,
				en.Header.Get(simulation.HeaderLastEvent), en.Status)
		}
	}
	for i := range results {
		r := &results[i]
		f.noteAt(r.endedAt, "%s: status %d, answer complete %v, %d whole events, last id %d, %d bytes after the last one (%v)",
			r.attempt, r.status, r.complete, r.events, r.lastID, r.rest, r.err)
		cut := false
		for _, line := range said {
			cut = cut || strings.HasPrefix(line, "half of event ") && strings.HasSuffix(line, " of "+r.attempt)
		}
		if f.trouble && cut && r.complete && r.events < events {
			f.noteAt(r.endedAt, "ORDER broken: %s was ended as complete after %d of %d events", r.attempt, r.events, events)
			broken = true
		}
		if !f.trouble && (!r.complete || r.status != http.StatusOK || r.events != events || r.lastID != events || r.rest != 0) {
			f.note("without a disruption %s was not served", r.attempt)
			broken = true
		}
	}
	return broken
}

// streamResult is what a client saw of one stream.
type streamResult struct {
	attempt  string
	status   int
	complete bool // the answer ended as HTTP ends a complete one
	events   int  // whole events
	lastID   int  // id of the last whole event; 0 if the ids are not 1, 2, 3 and so on
	rest     int  // bytes after the last whole event
	err      error
	endedAt  time.Time
}

// send sends the request on a connection of its own and reads the answer to its end.
func (r *streamResult) send(edge, prefix string, tokens int) {
	defer func() { r.endedAt = time.Now() }()
	c, err := net.DialTimeout("tcp", edge, time.Second)
	if err != nil {
		r.err = err
		return
	}
	defer c.Close()
	const limit = 20 * time.Second
	_ = c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "POST /talk/ HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: m\r\n%s: 220,%d\r\n%s: %s\r\n"+
		"Content-Length: 2\r\n\r\n{}", host, simulation.HeaderAttempt, r.attempt, simulation.HeaderDeadline,
		limit.Milliseconds(), simulation.HeaderModel, simulation.HeaderTokens, tokens, simulation.HeaderPrefix, prefix)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		r.err = err
		return
	}
	r.status = resp.StatusCode
	body, err := io.ReadAll(resp.Body)
	r.err = err
	r.complete = err == nil
	parts := strings.Split(string(body), "\n\n")
	r.rest = len(parts[len(parts)-1])
	for i, event := range parts[:len(parts)-1] {
		r.events++
		if strings.HasPrefix(event, fmt.Sprintf("id: %d\n", i+1)) {
			r.lastID = i + 1
		} else {
			r.lastID = 0
		}
	}
}

// backendProcess is a backend of its own process.
type backendProcess struct {
	address string
	kill    func()

	mu    sync.Mutex
	lines []string
}

// read collects what the process says until its output ends.
func (b *backendProcess) read(out *bufio.Scanner) {
	for out.Scan() {
		b.mu.Lock()
		b.lines = append(b.lines, out.Text())
		b.mu.Unlock()
	}
}

// said returns the lines that the process has written so far.
func (b *backendProcess) said() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string{}, b.lines...)
}
