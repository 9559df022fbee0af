package main

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/testkit/sites"
	"molepaddle/internal/rig/wan"
)

// Two sites of processes with TLS, connected by a slow network: the link stalls, and gateways are killed and
// shut down gracefully, in a fixed order and under load. The servers receive each order at most once, every client
// gets one answer or a broken connection, and the status command shows the state of the link.
func TestTwoSites(t *testing.T) {
	dir := t.TempDir()
	if err := run([]string{"keys", "make", dir, "near", "far"}, &output{}); err != nil {
		t.Fatal(err)
	}
	server, err := standin.NewServer("server-1", 2*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	file := func(name, more string) string {
		path := filepath.Join(dir, name+".toml")
		write(t, path, fmt.Sprintf("[gateway]\nname = %q\nstatus = %q\nredial_min = \"5ms\"\nredial_max = \"50ms\"\n%s\n[gateway.keys]\nca = %q\ncert = %q\nkey = %q\n",
			name, filepath.Join(dir, name+".sock"), more, filepath.Join(dir, "ca.pem"), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+".key")))
		return path
	}
	links, farListen, nearListen := freeAddress(t), freeAddress(t), freeAddress(t)
	between, err := wan.New(links, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer between.Close()
	for _, w := range []wan.Way{wan.There, wan.Back} {
		between.Set(w, wan.Path{Delay: 5 * time.Millisecond, Jitter: 3 * time.Millisecond})
	}
	farFile := file("far", fmt.Sprintf("listen = %q\npeers = [\"near\"]", links))
	nearFile := file("near", fmt.Sprintf("site = [{name = \"b\", peer = [{name = \"far\", address = %q}]}]\nroute = [{to = [\"b\"]}]", between.Addr))
	far := func() (*exec.Cmd, *output) {
		cmd, out, _ := startChild(t, agentConfig(farListen, "127.0.0.1:1", server.Addr), "--operator", farFile)
		awaitReady(t, farListen, out)
		return cmd, out
	}
	near := func() (*exec.Cmd, *output) {
		cmd, out, _ := startChild(t, agentConfig(nearListen, "127.0.0.1:1", "127.0.0.1:9"), "--operator", nearFile)
		return cmd, out
	}
	status := func(name string) (s agent.LinkStatus) {
		s, _ = agent.ReadStatus(filepath.Join(dir, name+".sock"))
		return s
	}
	ended := func(cmd *exec.Cmd, sig syscall.Signal) error {
		if err := cmd.Process.Signal(sig); err != nil {
			t.Fatal(err)
		}
		return cmd.Wait()
	}
	farCmd, farOut := far()
	nearCmd, nearOut := near()

	stop, done := make(chan struct{}), make(chan []sites.Answer)
	go func() {
		var mu sync.Mutex
		var wg sync.WaitGroup
		var all []sites.Answer
		tick := time.NewTicker(4 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-stop:
				wg.Wait()
				done <- all
				return
			case <-tick.C:
			}
			wg.Go(func() {
				a := sites.Ask(context.Background(), "http://"+nearListen, "order", 900*time.Millisecond, []byte("body"))
				mu.Lock()
				all = append(all, a)
				mu.Unlock()
			})
		}
	}()
	moves := func(what string) {
		t.Helper()
		n := len(server.Came())
		eventually(t, "orders cross "+what, nearOut, func() bool { return len(server.Came()) > n+40 })
	}
	moves("at first")
	for _, ways := range [][]wan.Way{{wan.There}, {wan.Back}} {
		between.Stall(ways...)
		eventually(t, "the status shows the link as stalled", nearOut, func() bool {
			s := status("near")
			return len(s.To) == 1 && len(s.To[0].Links) > 0 && s.To[0].Links[0].Stalled && !s.To[0].Reachable
		})
		between.Move(ways...)
		moves("after a stall")
	}
	if err := ended(farCmd, syscall.SIGKILL); err == nil {
		t.Errorf("the far gateway ended by itself before it was killed; it said %s", farOut)
	}
	farCmd, farOut = far()
	moves("to a far gateway that was killed and came back")
	_ = ended(nearCmd, syscall.SIGKILL)
	nearCmd, nearOut = near()
	moves("from a near gateway that was killed and came back")
	if err := ended(farCmd, syscall.SIGTERM); err != nil {
		t.Errorf("the far gateway ended with %v; it said %s", err, farOut)
	}
	farCmd, farOut = far()
	moves("to a far gateway that was restarted as planned")
	var shown output
	if err := run([]string{"link", "--operator", nearFile}, &shown); err != nil || !strings.Contains(shown.String(), "to   far: up, site b") {
		t.Errorf("%v; the status reads %s", err, &shown)
	}
	close(stop)
	answers := <-done
	if err := ended(nearCmd, syscall.SIGTERM); err != nil {
		t.Errorf("the near gateway ended with %v; it said %s", err, nearOut)
	}
	if err := ended(farCmd, syscall.SIGTERM); err != nil {
		t.Errorf("the far gateway ended with %v; it said %s", err, farOut)
	}
	checkAnswers(t, answers, server)
	count := map[int]int{}
	for _, a := range answers {
		count[a.Status]++
	}
	t.Logf("answers by status, 0 is a connection that broke: %v", count)
	if count[http.StatusOK] < 100 {
		t.Errorf("%v", count)
	}
}

// arrivals counts the requests that servers received, by id.
func arrivals(servers ...*standin.Server) map[string]int {
	n := map[string]int{}
	for _, s := range servers {
		for _, a := range s.Came() {
			n[a.ID]++
		}
	}
	return n
}

// checkAnswers compares the clients' answers with the requests that the servers received: no request arrives twice, each
// served one arrives once, and no refused one arrives.
func checkAnswers(t *testing.T, answers []sites.Answer, servers ...*standin.Server) {
	t.Helper()
	ran := arrivals(servers...)
	for _, a := range answers {
		switch n := ran[a.ID]; {
		case n > 1:
			t.Errorf("%s arrived %d times, want at most 1", a.ID, n)
		case a.Status == http.StatusOK && n != 1:
			t.Errorf("%s was served and arrived %d times, want 1", a.ID, n)
		case a.Status == http.StatusServiceUnavailable && n != 0:
			t.Errorf("%s was refused but arrived at a server", a.ID)
		}
	}
}
