package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"molepaddle/internal/rig/testkit"
)

// TestMain makes the test binary the program itself when it is started as a child.
func TestMain(m *testing.M) {
	if os.Getenv("MOLEPADDLE_CHILD") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

const settings = `{"classes":[{"name":"order","aimMs":500,"giveUpMs":1000,"credit":1,"effect":"single_shot"}],
 "membershipMode":"on_request","limits":{"maxAttempts":3,"connectTimeoutMs":150,"keepaliveMs":30000,"maxRetryAfterMs":600},
 "contract":{"answerSlackMs":20,"askWithinMs":10000,"coldFrom":0.3,"coldMs":8000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":5,"weights":"nominal","failureDomains":["a"],"shapes":["k"]}`

// startChild starts the program with the configuration and returns the path of the configuration file.
func startChild(t *testing.T, config string, args ...string) (cmd *exec.Cmd, out *output, path string) {
	t.Helper()
	return startChildEnv(t, config, nil, args...)
}

// startChildEnv starts the program like startChild, with additional environment variables.
func startChildEnv(t *testing.T, config string, env []string, args ...string) (cmd *exec.Cmd, out *output, path string) {
	t.Helper()
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	return startProgram(t, exe, config, env, args...)
}

// startBuild starts the program at the path binary; an empty path is this build.
func startBuild(t *testing.T, binary, config string, args ...string) (cmd *exec.Cmd, out *output, path string) {
	t.Helper()
	if binary == "" {
		return startChild(t, config, args...)
	}
	return startProgram(t, binary, config, nil, args...)
}

// startProgram starts the program at the path exe, which may be another build.
func startProgram(t *testing.T, exe, config string, env []string, args ...string) (cmd *exec.Cmd, out *output, path string) {
	t.Helper()
	path = filepath.Join(t.TempDir(), "config.json")
	write(t, path, config)
	cmd, out = exec.Command(exe, args...), &output{}
	cmd.Env = append(os.Environ(), "MOLEPADDLE_CHILD=1", "EDGE_CONFIG="+path, "GORACE=atexit_sleep_ms=0")
	cmd.Env = append(cmd.Env, env...)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, out, path
}

// output collects what a program writes. It may be read while the program runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// tail returns the last 40 lines, without the repeated ones about refused connections.
func (o *output) tail() string {
	var lines []string
	for line := range strings.Lines(o.String()) {
		if !strings.Contains(line, "connection refused") {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines[max(len(lines)-40, 0):], "")
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Ports that processes under test bind again later. They are below the system's range of local ports for
// outgoing connections, one of which could occupy such a port.
const (
	firstFreePort = 16000
	freePorts     = 16000
	freeTries     = 100
)

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range freeTries {
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(firstFreePort+rand.IntN(freePorts)))
		free, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		free.Close()
		return address
	}
	t.Fatal("no port is free")
	return ""
}

// agentConfig returns a complete agent configuration with one backend.
func agentConfig(listen, discovery, backend string) string {
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}}`,
		listen, discovery, settings, backend)
}

// eventually waits until done returns true, for at most 30 seconds.
func eventually(t *testing.T, what string, out *output, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s; it said %s", what, out)
		}
	}
}

func awaitReady(t *testing.T, listen string, out *output) {
	t.Helper()
	eventually(t, "ready", out, func() bool {
		resp, err := testkit.Client.Get("http://" + listen + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// The program serves a request and ends on SIGTERM with exit code 0.
func TestProgram(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "done ", r.URL.Path)
	}))
	defer backend.Close()
	listen := freeAddress(t)
	cmd, out, _ := startChild(t, agentConfig(listen, "127.0.0.1:1", backend.Listener.Addr().String()))
	awaitReady(t, listen, out)
	req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/order/u1", strings.NewReader("x"))
	req.Header.Set("Request-Id", "1")
	req.Header.Set("Request-Timeout", "30000m")
	resp, err := testkit.Client.Do(req)
	if err != nil {
		t.Fatalf("%v; it said %s", err, out)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d; it said %s", resp.StatusCode, out)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

// SIGHUP reloads the configuration: an invalid one changes nothing and is reported in one line, a valid one
// switches to another discovery address. Neither ends the program.
func TestReloadByProgram(t *testing.T) {
	asked := make(chan string, 100)
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	defer disc.Close()
	listen := freeAddress(t)
	cmd, out, path := startChild(t, agentConfig(listen, "127.0.0.1:1", "127.0.0.1:1"))
	awaitReady(t, listen, out)
	hup := func(config string) {
		write(t, path, config)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	hup(agentConfig(listen, "nowhere", "127.0.0.1:1"))
	eventually(t, "the error of the invalid configuration is logged", out, func() bool {
		return strings.Count(out.String(), "config: discovery:") == 1
	})
	hup(agentConfig(listen, disc.Listener.Addr().String(), "127.0.0.1:1"))
	if got := map[string]bool{<-asked: true, <-asked: true}; !got[""] || !got["follow=1&since=0"] {
		t.Fatalf("asked %v", got)
	}
	awaitReady(t, listen, out)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

func TestBadConfig(t *testing.T) {
	cmd, out, _ := startChild(t, `{"name":"n0","listen":"127.0.0.1"}`)
	if err := cmd.Wait(); err == nil {
		t.Fatal("started with a bad configuration")
	}
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("said %q, want one line that names listen", got)
	}
}

// Commands print the enabled features, and each error is one line.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	conf, good, bad := filepath.Join(dir, "c.json"), filepath.Join(dir, "good.toml"), filepath.Join(dir, "bad.toml")
	write(t, conf, agentConfig("127.0.0.1:1", "127.0.0.1:1", "127.0.0.1:1"))
	write(t, good, "[transport.http]\nresting = 3\n")
	peers, apart := filepath.Join(dir, "peers.toml"), filepath.Join(dir, "apart.json")
	write(t, peers, "[peers]\nname = \"n0\"\nmachine = \"h0\"\nzone = \"a\"\nlisten = \"127.0.0.1:0\"\nplain = true\n")
	write(t, apart, strings.Replace(agentConfig("127.0.0.1:0", "127.0.0.1:1", "127.0.0.1:1"), `"maxAttempts"`, `"peerMessages":false,"maxAttempts"`, 1))
	write(t, bad, "[transport.http]\nrestless = 3\n")
	for _, c := range []struct {
		args []string
		path string
		want string // of the output, or of the error
	}{
		{[]string{"check"}, conf, "on: nothing beyond the defaults"},
		{[]string{"check", "--operator", good}, conf, "on: transport.http.resting = 3 (default 64)"},
		{[]string{"check", "--operator", bad}, conf, "bad.toml:2: transport.http.restless: not known"},
		{[]string{"check", "--operator", filepath.Join(dir, "none")}, conf, "operator: open"},
		{[]string{"check", "--operator", peers}, conf, "on: a view of the fleet as n0 (machine h0, zone a)"},
		{[]string{"--operator", peers}, apart, "operator: peers.listen: the platform's settings.limits.peerMessages forbids"},
		{[]string{"fleet", "show"}, conf, "no door for operators"},
		{[]string{"fleet", "show", "--door", "127.0.0.1:1"}, conf, "connection refused"},
		{[]string{"check"}, "", "EDGE_CONFIG: not set"},
		{[]string{"--operator", bad}, conf, "bad.toml:2"},
		{[]string{"version"}, "", "molepaddle"},
		{[]string{"version", "--operator", good}, "", "unknown flag: --operator"},
		{[]string{"--help"}, "", "check       Read both files"},
		{[]string{"demonstrate"}, "", "no command"},
		{[]string{"check", "this"}, conf, "not understood"},
		{[]string{"lab", "play"}, "", "no command"},
		{[]string{"lab", "run", "nowhere"}, "", "shipped are agents-restarted"},
		{[]string{"lab", "run", "calm", "-v", "chooser=best"}, "", "is no chooser"},
		{[]string{"lab", "run", "calm", "--set", "speed=2"}, "", "is no knob"},
		{[]string{"lab", "sweep", "calm", "--over", "load=3:1:1"}, "", "want values"},
		{[]string{"lab", "list"}, "", "What if a zone is lost at noon?"},
		{[]string{"completion", "bash"}, "", "bash completion"},
	} {
		t.Setenv("EDGE_CONFIG", c.path)
		var out strings.Builder
		err := run(c.args, &out)
		said := out.String()
		if err != nil {
			said = err.Error()
			if strings.Contains(said, "\n") {
				t.Errorf("%q: more than a line: %q", c.args, said)
			}
		}
		if !strings.Contains(said, c.want) {
			t.Errorf("%q: said %q, want %q", c.args, said, c.want)
		}
	}
}
