package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"time"

	"molepaddle/internal/fleet/simulation"
)

// The case "cutstream": a backend crashes in the middle of an event of a stream that has no length.
const (
	cutStreamEvents = 12
	cutStreamAt     = 6
	cutStreamGap    = 20 * time.Millisecond
)

const cutStreamRoutes = `{"name":"r-digest","hostname":"ariake.example","pfx":"/digest/","kind":"stream","deadline_ms":2000,
"target_ms":150,"prio":1,"svc":"sora-llm","tries":2,"pin":true,"resumable":true,"gap_aim_ms":150}`

// startBackend starts a backend process and returns its address.
func startBackend(h *harness, rec *record, id string, crashAt int) string {
	self, err := os.Executable()
	if err != nil {
		h.Fatalf("%v", err)
	}
	cmd := exec.Command(self, "backend", "127.0.0.1:0", id, strconv.Itoa(crashAt))
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
	go func() {
		defer close(ended)
		for lines.Scan() {
			rec.now("backend %s: %s", id, lines.Text())
		}
		_ = cmd.Wait()
	}()
	h.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
	})
	return address
}

// startList serves a platform's list and returns its address.
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
	for i, id := range []string{"i-decode1", "i-decode2"} {
		crashAt := 0
		if trouble {
			crashAt = cutStreamAt
		}
		_ = i
		list = append(list, simulation.Backend{
			ID: id, Service: "sora-llm", Address: startBackend(h, rec, id, crashAt), Zone: zones[0], Version: "v1",
			Capacity: 64, State: simulation.StateUp, Phase: simulation.PhaseDecode,
			Models: []simulation.Model{{Name: "m", Ver: 1, LoRAs: []string{}}},
		})
	}
	f := startFleet(h, binary, startList(h, list), 1)
	f.await(ctx, h, config(cutStreamRoutes))
	rec.now("the proxy is ready")
	c := &simulation.Client{Edge: f.edge[0].edge}
	r := c.Do(ctx, simulation.Request{
		Attempt: "digest01", Kind: simulation.Stream, Resumable: true, Host: "ariake.example", Path: "/digest/1",
		Body: []byte("an archive"), Deadline: 2 * time.Second, Model: "m", Tokens: [2]int{220, cutStreamEvents},
		Parts: []simulation.Part{{ID: "5c1e07a2", Tokens: 79}, {ID: "91bd3f06", Tokens: 141}},
	})
	describe(rec, "stream", r)
	rec.now("body: %q, header %v", r.AnswerBody, r.Header)
	return 0
}
