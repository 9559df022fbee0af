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

// cutInEvent kills one of seven backends while it is in the middle of an event of a stream that has no length; one in 51
// of its answers has none. The streams may be resumed, and other backends could continue them.
func cutInEvent(f *fleet) (broken bool) {
	const (
		events   = 40
		requests = 300
		between  = 20 * time.Millisecond
	)
	ctx, cancel := context.WithTimeout(context.Background(), longestRun)
	defer cancel()
	set := simulation.EngineSettings{
		Service:         llm,
		Zone:            "koto-hall",
		Region:          "kanto",
		Capacity:        64,
		Queue:           192,
		KVTokens:        600_000,
		Step:            unframedStep,
		PrefillPerToken: 4 * time.Microsecond,
		HandleTTL:       4400 * time.Millisecond,
		Fencing:         true,
	}
	var engines []*simulation.Engine
	for _, id := range []string{"prefill-1", "prefill-2", "prefill-3", "prefill-4", "decode-2", "decode-3"} {
		set.ID, set.Phase = id, simulation.PhasePrefill
		if strings.HasPrefix(id, "decode") {
			set.Phase = simulation.PhaseDecode
		}
		engines = append(engines, simulation.StartEngine(f, set))
	}
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
	}}, engines...)
	f.startPrograms(ctx, config(`{"name": "r-talk", "hostname": "review.example", "pfx": "/talk/", "kind": "stream",
   "deadline_ms": 20000, "target_ms": 2000, "prio": 0, "svc": "llm", "tries": 3, "pin": true, "resumable": true,
   "gap_aim_ms": 150}`))

	results := make([]streamResult, requests)
	var all sync.WaitGroup
	if f.trouble {
		all.Go(func() {
			select {
			case <-own.inEvent:
				own.kill()
				f.note("decode-1 is killed")
			case <-ctx.Done():
			}
		})
	}
	f.note("%d streams are sent, one each %v", requests, between)
	for i := range results {
		r := &results[i]
		r.attempt = fmt.Sprintf("talk-%d", i+1)
		all.Go(func() { r.send(f.edge, fmt.Sprintf("%x:220", 0x7a1000+i*13), events) })
		time.Sleep(between)
	}
	if len(own.said()) == 0 {
		f.Fatalf("decode-1 got fewer than %d requests", unframedEvery)
	}
	all.Wait()
	said := own.said()
	for _, line := range said {
		f.note("decode-1 said: %s", line)
	}
	for _, e := range engines {
		for _, en := range e.Log.Entries() {
			if last := en.Header.Get(simulation.HeaderLastEvent); en.Kind == simulation.KindRequest && last != "" {
				f.noteAt(en.At, "%s: %s is resumed after event %s, status %d", en.Engine, en.Attempt, last, en.Status)
			}
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

	inEvent chan struct{} // closed once a stream is in the middle of an event

	mu    sync.Mutex
	lines []string
}

// read collects what the process says until its output ends.
func (b *backendProcess) read(out *bufio.Scanner) {
	halves := 0
	for out.Scan() {
		if strings.HasPrefix(out.Text(), "half of event ") {
			if halves++; halves == 1 {
				close(b.inEvent)
			}
		}
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
