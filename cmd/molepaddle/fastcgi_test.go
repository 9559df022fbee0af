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

// shared is a web server's connection with several requests on it.
type shared struct{ *testkit.Web }

func webServer(t *testing.T, socket string) *shared {
	t.Helper()
	c, err := testkit.Dial("unix", socket)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &shared{testkit.NewWeb(c)}
}

// begin begins a request and leaves its body open; whole ends it.
func (s *shared) begin(id uint16, class string) {
	s.Write(testkit.FastBegun(id, map[string]string{"REQUEST_METHOD": "POST", "REQUEST_URI": "/" + class + "/u1", "SERVER_NAME": "portal",
		"HTTP_IDEMPOTENCY_KEY": fmt.Sprint("k", id)}, ""))
}

func (s *shared) whole(id uint16) { s.Write(fcgi.Append(nil, fcgi.Stdin, id, nil)) }

// next is the next request that ends; 0: the connection has.
func (s *shared) next() (id uint16, text string) {
	id, text, _, err := s.Next()
	if err != nil {
		text = err.Error()
	}
	return id, text
}

func (s *shared) served(t *testing.T, id uint16) {
	t.Helper()
	if got, text := s.next(); got != id || !strings.HasPrefix(text, "Status: 200 OK") {
		t.Errorf("%d got %d %q", id, got, text)
	}
}

// A web server's connection that is shared by several requests sees other settings, a replacement and the end
// of a process: what is open on it is answered, what still begins there too, then it ends; new ones come to the
// second process.
func TestWebServersAcrossProcesses(t *testing.T) {
	dir := t.TempDir()
	socket, file := filepath.Join(dir, "web.sock"), filepath.Join(dir, "operator.toml")
	write(t, file, "[[front.fastcgi.listen]]\nunix = \""+socket+"\"\n")
	p := &inService{t: t, listen: freeAddress(t), dir: t.TempDir()}
	p.config = strings.Replace(wholeConfig(p.listen, "127.0.0.1:1", bulk(t, 100)), settings, serviceSettings, 1)
	next := func() (path string) {
		p.addr = freeAddress(t)
		p.cmd, p.out, path = childIn(t, p.config, []string{"TMPDIR=" + p.dir, "EDGE_MANAGEMENT=" + p.addr}, "--operator", file)
		p.awaitYes()
		return path
	}
	path := next()
	c := webServer(t, socket)
	c.begin(1, "order")
	c.begin(2, "order")
	c.whole(2)
	c.served(t, 2)
	// Other settings: a class is gone, and one that has come is known at once; what is open stays what it was.
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write(t, path, strings.Replace(string(raw), `"name":"order"`, `"name":"bulletin"`, 1))
	_ = p.cmd.Process.Signal(syscall.SIGHUP)
	eventually(t, "the new class", p.out, func() bool {
		c.begin(3, "bulletin")
		c.whole(3)
		_, text := c.next()
		return strings.HasPrefix(text, "Status: 200 OK")
	})
	c.whole(1)
	c.served(t, 1)
	// Another process takes over, and the first one ends.
	c.begin(4, "send")
	old, out := p.cmd, p.out
	p.config = strings.Replace(p.config, `"name":"order"`, `"name":"bulletin"`, 1)
	next()
	_ = old.Process.Signal(syscall.SIGTERM)
	eventually(t, "its end begins", out, func() bool { c, err := testkit.Dial("unix", socket); return err == nil && c.Close() == nil })
	c.begin(5, "send")
	c.whole(5)
	c.served(t, 5)
	c.whole(4)
	c.served(t, 4)
	if id, text := c.next(); id != 0 || text != "EOF" {
		t.Errorf("the old connection goes on: %d %q", id, text)
	}
	if err := old.Wait(); err != nil {
		t.Fatalf("%v; it said %s", err, out)
	}
	d := webServer(t, socket)
	d.begin(1, "bulletin")
	d.whole(1)
	d.served(t, 1)
	end(t, p.cmd, p.out)
	if _, err := os.Stat(socket); err == nil {
		t.Error("the last process leaves its socket behind")
	}
}
