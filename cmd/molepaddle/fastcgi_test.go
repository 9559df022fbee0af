package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/rig/testkit"
)

// webConn is a web server's FastCGI connection with several multiplexed requests.
type webConn struct{ *testkit.Web }

func webServer(t *testing.T, socket string) *webConn {
	t.Helper()
	c, err := testkit.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &webConn{testkit.NewWeb(c)}
}

// beginRequest begins a request and leaves its body open; endBody ends the body.
func (s *webConn) beginRequest(id uint16, class string) {
	s.Write(testkit.FastBegun(id, map[string]string{"REQUEST_METHOD": "POST", "REQUEST_URI": "/" + class + "/u1", "SERVER_NAME": "portal",
		"HTTP_IDEMPOTENCY_KEY": fmt.Sprint("k", id)}, ""))
}

func (s *webConn) endBody(id uint16) { s.Write(fcgi.Append(nil, fcgi.Stdin, id, nil)) }

// nextAnswer returns the id and the answer of the next request that ends; 0: the connection has ended.
func (s *webConn) nextAnswer() (id uint16, text string) {
	id, text, _, err := s.Next()
	if err != nil {
		text = err.Error()
	}
	return id, text
}

func (s *webConn) checkServed(t *testing.T, id uint16) {
	t.Helper()
	if got, text := s.nextAnswer(); got != id || !strings.HasPrefix(text, "Status: 200 OK") {
		t.Errorf("%d got %d %q", id, got, text)
	}
}

// A web server's multiplexed connection lives through a reload of the settings, a handover and the end of the
// process: requests that are open or still begin on it are answered, then it ends; new connections reach the
// second process.
func TestWebServersAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	socket, file := filepath.Join(dir, "web.sock"), filepath.Join(dir, "operator.toml")
	write(t, file, "[[front.fastcgi.listen]]\nunix = \""+socket+"\"\n")
	p := &replacedAgent{t: t, listen: freeAddress(t), dir: t.TempDir()}
	p.config = strings.Replace(agentConfig(p.listen, "127.0.0.1:1", newBulkServer(t, 100)), settings, serviceSettings, 1)
	next := func() (path string) {
		p.addr = freeAddress(t)
		p.cmd, p.out, path = startChildEnv(t, p.config, []string{"TMPDIR=" + p.dir, "EDGE_MANAGEMENT=" + p.addr}, "--operator", file)
		p.awaitReady()
		return path
	}
	path := next()
	c := webServer(t, socket)
	c.beginRequest(1, "order")
	c.beginRequest(2, "order")
	c.endBody(2)
	c.checkServed(t, 2)
	// A reload removes one class and adds another, which is usable at once; an open request keeps its class.
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write(t, path, strings.Replace(string(raw), `"name":"order"`, `"name":"bulletin"`, 1))
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the new class", p.out, func() bool {
		c.beginRequest(3, "bulletin")
		c.endBody(3)
		_, text := c.nextAnswer()
		return strings.HasPrefix(text, "Status: 200 OK")
	})
	c.endBody(1)
	c.checkServed(t, 1)
	// Another process takes over, and the first one is terminated.
	c.beginRequest(4, "send")
	old, out := p.cmd, p.out
	p.config = strings.Replace(p.config, `"name":"order"`, `"name":"bulletin"`, 1)
	next()
	_ = old.Process.Signal(syscall.SIGTERM)
	eventually(t, "its end begins", out, func() bool { c, err := testkit.Dial("unix", socket); return err == nil && c.Close() == nil })
	c.beginRequest(5, "send")
	c.endBody(5)
	c.checkServed(t, 5)
	c.endBody(4)
	c.checkServed(t, 4)
	if id, text := c.nextAnswer(); id != 0 || text != "EOF" {
		t.Errorf("the old connection goes on: %d %q", id, text)
	}
	if err := old.Wait(); err != nil {
		t.Fatalf("%v; it said %s", err, out)
	}
	d := webServer(t, socket)
	d.beginRequest(1, "bulletin")
	d.endBody(1)
	d.checkServed(t, 1)
	terminate(t, p.cmd, p.out)
	if _, err := os.Stat(socket); err == nil {
		t.Error("the last process leaves its socket behind")
	}
}
