package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// The case "cutstream": a backend crashes in the middle of an event of a stream that has no length.
const (
	cutBackends = 6 // of which one crashes: a share of 0.167
	cutEvents   = 12
	cutAt       = 6
	cutGap      = 100 * time.Millisecond // between two events, less than gap_aim_ms
)

const cutRoutes = `{"name":"r-digest","hostname":"ariake.example","pfx":"/digest/","kind":"stream","deadline_ms":2000,
"target_ms":150,"prio":1,"svc":"sora-llm","tries":2,"pin":true,"resumable":true,"gap_aim_ms":150}`

// startBackend starts a backend process and returns its address. printed is called with each line that it prints.
func startBackend(h *harness, id string, printed func(kill func(), line string)) string {
	self, err := os.Executable()
	if err != nil {
		h.Fatalf("%v", err)
	}
	cmd := exec.Command(self, "backend", "127.0.0.1:0", id, strconv.Itoa(cutAt))
	out, err := cmd.StdoutPipe()
	if err != nil {
		h.Fatalf("%v", err)
	}
	if err := cmd.Start(); err != nil {
		h.Fatalf("%v", err)
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		h.Fatalf("backend %s did not start", id)
	}
	address := lines.Text()
	ended := make(chan struct{})
	kill := func() { _ = cmd.Process.Kill() }
	go func() {
		defer close(ended)
		for lines.Scan() {
			printed(kill, lines.Text())
		}
		_ = cmd.Wait()
	}()
	h.Cleanup(func() {
		kill()
		<-ended
	})
	return address
}

// startList serves a platform's list, which does not change, and returns its address.
func startList(h *harness, backends []simulation.Backend) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.Fatalf("%v", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /backends", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"backends": backends, "next_marker": nil})
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(ln) }()
	h.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

func playCutStream(ctx context.Context, h *harness, rec *record, binary string, trouble bool) (broken int) {
	var list []simulation.Backend
	var crashed atomic.Bool
	for i := range cutBackends {
		id := fmt.Sprintf("i-decode%d", i+1)
		address := startBackend(h, id, func(kill func(), line string) {
			rec.now("backend %s: %s", id, line)
			if trouble && strings.HasPrefix(line, halfWritten) && !crashed.Swap(true) {
				rec.now("SIGKILL to backend %s", id)
				kill()
			}
		})
		list = append(list, simulation.Backend{
			ID: id, Service: "sora-llm", Address: address, Zone: zones[i%len(zones)], Version: "v1", Capacity: 64,
			State: simulation.StateUp, Phase: simulation.PhaseDecode,
			Models: []simulation.Model{{Name: "m", Ver: 1, LoRAs: []string{}}},
		})
	}
	f := startFleet(h, binary, startList(h, list), 1)
	f.await(ctx, h, config(cutRoutes))
	rec.now("the proxy is ready")
	for i := range 3 {
		r := streamOf(ctx, f.edge[0].edge, "/digest/1", fmt.Sprintf("digest%02d", i), cutEvents)
		r.describe(rec)
		switch {
		case r.err == nil && r.status == http.StatusOK && !r.served:
			broken++
			rec.now("ORDER: the answer of %s was ended as complete after %d of %d events; after the last one came %q", r.id,
				r.events, cutEvents, r.rest)
		case !trouble && !r.served:
			h.Fatalf("%s was not served: %v", r.id, r.err)
		}
	}
	rec.now("ORDER broken %d times", broken)
	return broken
}
