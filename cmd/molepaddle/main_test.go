package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
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

func child(t *testing.T, config string) (*exec.Cmd, *bytes.Buffer) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	cmd, out := exec.Command(exe), &bytes.Buffer{}
	cmd.Env = append(os.Environ(), "MOLEPADDLE_CHILD=1", "EDGE_CONFIG="+path)
	cmd.Stderr = out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	return cmd, out
}

// The program serves a request and ends on SIGTERM with exit code 0.
func TestProgram(t *testing.T) {
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "done ", r.URL.Path)
	}))
	defer backend.Close()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := free.Addr().String()
	free.Close()
	cmd, out := child(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1f",
 "limits":{"cores":1,"memory_mb":192,"sockets":1024},"settings":%s,
 "known":{"seq":1,"whole":true,"hosts":[{"host":"s-1","dial":%q,"site":"a","class":"k","health":"ready","share":1}]}}`,
		listen, settings, backend.Listener.Addr().String()))
	for tries := 0; ; tries++ {
		resp, err := http.Get("http://" + listen + "/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		if tries > 3000 {
			t.Fatalf("not ready: %v; it said %s", err, out)
		}
		time.Sleep(10 * time.Millisecond)
	}
	ask := func() *http.Response {
		req, _ := http.NewRequest(http.MethodPost, "http://"+listen+"/order/u1", strings.NewReader("x"))
		req.Header.Set("Request-Id", "1")
		req.Header.Set("Request-Timeout", "30000m")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatalf("%v; it said %s", err, out)
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("status %d; it said %s", resp.StatusCode, out)
		}
		return resp
	}
	ask()
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Fatalf("after SIGTERM: %v; it said %s", err, out)
	}
}

func TestBadConfig(t *testing.T) {
	cmd, out := child(t, `{"name":"n0","listen":"127.0.0.1"}`)
	if err := cmd.Wait(); err == nil {
		t.Fatal("started with a bad configuration")
	}
	if got := out.String(); strings.Count(got, "\n") != 1 || !strings.Contains(got, "config: listen:") {
		t.Fatalf("said %q, want one line that names listen", got)
	}
}
