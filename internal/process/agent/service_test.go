package agent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"molepaddle/internal/process/config"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/protocol/httpfront"
	"molepaddle/internal/rig/testkit"
	"molepaddle/internal/rig/testkit/crowd"
)

func server(t *testing.T, work time.Duration) *crowd.Server {
	t.Helper()
	s, err := crowd.Serve(work)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// waitFor waits until done returns true, for at most 30 s.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not reached within 30 s:", what)
		}
	}
}

// No request is lost or run twice over fifty drains and rejoins under load. A drain also closes idle and silent
// connections.
func TestFiftyDrains(t *testing.T) {
	s := server(t, time.Millisecond)
	o := operator.Default()
	o.Front.HTTP.KeepIdle = operator.Duration(time.Hour) // so that only the drain closes idle connections
	a, err := New(parse(t, testkit.Config(unusedRegistry, s.Addr)), o, Network{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	base, _, _ := serveOn(t, a)
	addr := strings.TrimPrefix(base, "http://")
	ready := func() int {
		req, _ := http.NewRequest(http.MethodGet, base+"/ready", nil)
		status, _, _ := testkit.Do(t, req)
		return status
	}
	waitFor(t, "ready", func() bool { return ready() == 200 })
	c := crowd.Start(addr, 16, a.Lifecycle().Accepts, "look", "send", "order")
	defer func() {
		n := c.Stop()
		if len(n.Lost) > 0 || n.Door > 0 || n.Other > 0 || n.Served < 1000 {
			t.Errorf("lost %v, at the door %d, other %d, served %d", n.Lost, n.Door, n.Other, n.Served)
		}
		if twice := s.Twice(); len(twice) > 0 {
			t.Error("ran twice:", twice)
		}
	}()
	for i := range 50 {
		served := c.Count().Served
		waitFor(t, "load", func() bool { return c.Count().Served > served+20 })
		if i%10 == 0 { // idle connections are closed by the drain as well
			c.Hold(true)
			waitFor(t, "all wait", func() bool { return c.Asking() == 0 })
		}
		if err := a.Lifecycle().Evacuate(); err != nil {
			t.Fatal(err)
		}
		if got := ready(); got != 503 {
			t.Fatalf("/ready answers %d in a drain", got)
		}
		if i%10 == 0 {
			waitFor(t, "all connections closed", func() bool { return a.frontEnds[0].frontEnd.(*httpfront.Front).Connections() == 0 })
			c.Hold(false)
		}
		if err := a.Lifecycle().Rejoin(); err != nil {
			t.Fatal(err)
		}
		if got := ready(); got != 200 {
			t.Fatalf("/ready answers %d after a rejoin", got)
		}
	}
}

// Random valid and invalid files replace the settings under load. An invalid file changes nothing, and each request
// is answered by the version of the settings that it was accepted under.
func TestReloadsUnderLoad(t *testing.T) {
	s := server(t, time.Millisecond)
	whole := testkit.Config(unusedRegistry, s.Addr)
	a, base, _, _ := start(t, whole)
	path := filepath.Join(t.TempDir(), "config.json")
	c := crowd.Start(strings.TrimPrefix(base, "http://"), 8, nil, "look", "send", "order")
	rng := rand.New(rand.NewPCG(7, 7))
	now := parse(t, whole)
	load := func(text []byte) error {
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		next, err := config.LoadUpdate(now, path)
		if err == nil {
			if err = a.Reload(next, operator.Default()); err == nil {
				now = next
			}
		}
		return err
	}
	for i := range 60 {
		set := whole["settings"].(map[string]any)
		classes := set["classes"].([]any)[:3:3]
		first := classes[0].(map[string]any)
		extra := map[string]any{}
		for k, v := range first {
			extra[k] = v
		}
		extra["name"], extra["effect"] = fmt.Sprint("more", i%4), []string{"guarded", "single_shot"}[rng.IntN(2)]
		if rng.IntN(3) > 0 {
			classes = append(classes, extra)
		}
		set["classes"] = classes
		set["limits"].(map[string]any)["maxAttempts"] = 1 + rng.IntN(4)
		text, err := json.Marshal(whole)
		if err != nil {
			t.Fatal(err)
		}
		if err := load(text); err != nil {
			t.Fatal(err)
		}
		status, _, _ := testkit.Do(t, postRequest(base, extra["name"].(string)))
		if want := map[bool]int{true: 200, false: 404}[len(classes) == 4]; status != want {
			t.Fatalf("version %d: class %v answered %d, want %d", i, extra["name"], status, want)
		}
		if err := load(text[:rng.IntN(len(text))]); err == nil {
			t.Fatalf("version %d: a truncated file was accepted", i)
		}
		for key, bad := range map[string][2]string{
			"deadline 0":        {`"giveUpMs":30000`, `"giveUpMs":0`},
			"negative deadline": {`"giveUpMs":30000`, `"giveUpMs":-1`},
			"deadline as text":  {`"giveUpMs":30000`, `"giveUpMs":"30000"`},
			"NaN":               {`"giveUpMs":30000`, `"giveUpMs":NaN`},
			"huge":              {`"giveUpMs":30000`, `"giveUpMs":1e300`},
			"null":              {`"giveUpMs":30000`, `"giveUpMs":null`},
			"no attempts":       {`"maxAttempts":` + fmt.Sprint(set["limits"].(map[string]any)["maxAttempts"]), `"maxAttempts":0`},
			"half an attempt":   {`"maxAttempts":` + fmt.Sprint(set["limits"].(map[string]any)["maxAttempts"]), `"maxAttempts":1.5`},
			"lacks a key":       {`"coldMs":8000`, `"cold":8000`},
			"class lacks a key": {`"keyTtlMs"`, `"keyTtl"`},
		} {
			spoilt := strings.Replace(string(text), bad[0], bad[1], 1)
			if spoilt == string(text) {
				t.Fatalf("%s changes nothing", key)
			}
			if err := load([]byte(spoilt)); err == nil || !strings.Contains(err.Error(), path) {
				t.Fatalf("%s: %v", key, err)
			}
		}
	}
	n := c.Stop()
	if len(n.Lost) > 0 || n.Other > 0 || n.Served < 500 {
		t.Errorf("lost %v, other %d, served %d", n.Lost, n.Other, n.Served)
	}
	if twice := s.Twice(); len(twice) > 0 {
		t.Error("ran twice:", twice)
	}
}

// postRequest returns a POST request of a class with an idempotency key.
func postRequest(base, class string) *http.Request {
	req := testkit.Call(base, "send")
	req.URL.Path = "/" + class + "/u1"
	return req
}

// An open request keeps the settings that it was accepted under: it stays retryable, or not, whatever a later file
// says about its class.
func TestOpenRequestsKeepTheirVersion(t *testing.T) {
	for _, c := range []struct {
		before, after string
		attempts      int
	}{{"guarded", "single_shot", 3}, {"single_shot", "guarded", 1}} {
		came, release := make(chan string, 10), make(chan struct{})
		var addrs []string
		for range 3 {
			addr := testkit.Raw(t, func(conn net.Conn, r *bufio.Reader) {
				if _, err := testkit.ReadRequest(r); err != nil {
					return
				}
				came <- ""
				<-release
				fmt.Fprint(conn, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
			})
			addrs = append(addrs, addr)
		}
		whole := testkit.Config(unusedRegistry, addrs...)
		classes := whole["settings"].(map[string]any)["classes"].([]any)
		classes[1].(map[string]any)["effect"] = c.before
		a, err := New(parse(t, whole), operator.Default(), Network{}, slog.New(slog.DiscardHandler))
		if err != nil {
			t.Fatal(err)
		}
		base, _, _ := serveOn(t, a)
		done := make(chan int, 1)
		go func() {
			resp, err := testkit.Client.Do(testkit.Call(base, "send"))
			if err != nil {
				t.Error(err)
			}
			resp.Body.Close()
			done <- resp.StatusCode
		}()
		<-came
		classes[1].(map[string]any)["effect"] = c.after
		if err := a.Reload(parse(t, whole), operator.Default()); err != nil {
			t.Fatal(err)
		}
		close(release)
		<-done
		if got := 1 + len(came); got != c.attempts {
			t.Errorf("%s, then %s: %d attempts, want %d", c.before, c.after, got, c.attempts)
		}
	}
}
