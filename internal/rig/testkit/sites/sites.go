// Package sites starts whole sites on loopback for tests: an agent in this process with its
// roster and order servers as stand-ins, and gateways between them. All of it ends with its
// test.
package sites

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/standin"
	"molepaddle/internal/rig/testkit"
)

// Options is what a site is made of.
type Options struct {
	Servers  int
	Work     time.Duration
	Operator *operator.Settings            // nil: none
	Links    net.Listener                  // where its links come in; nil: nowhere
	Config   func(settings map[string]any) // changes the settings
	Sockets  int                           // 0: as testkit has it
}

// Site is a site that is up.
type Site struct {
	Base    string // of the agent, for clients
	Roster  *standin.Roster
	Servers []*standin.Server
	Agent   *agent.Agent
	Conf    *config.Config
	Links   net.Listener

	cancel context.CancelFunc
	ended  chan error
	once   sync.Once
}

// Host words a server of the site for its roster.
func (s *Site) Host(i int, health string) standin.Host {
	return s.Servers[i].Host("a", "k", health)
}

// Loopback opens a listener on a free port.
func Loopback(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// Start starts a site.
func Start(t testing.TB, o Options) *Site {
	t.Helper()
	s := &Site{Links: o.Links, ended: make(chan error, 1)}
	var err error
	if s.Roster, err = standin.NewRoster(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Roster.Close() })
	for i := range o.Servers {
		server, err := standin.NewServer(fmt.Sprint("server-", i+1), o.Work)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { server.Hold(false); server.Close() })
		s.Servers = append(s.Servers, server)
		s.Roster.Set(s.Host(i, "ready"))
	}
	raw := testkit.Config(s.Roster.Addr)
	raw["known"] = s.Roster.List()
	if o.Sockets > 0 {
		raw["limits"].(map[string]any)["sockets"] = o.Sockets
	}
	for _, c := range raw["settings"].(map[string]any)["classes"].([]any) {
		class := c.(map[string]any)
		class["aimMs"], class["giveUpMs"], class["lateShare"] = 300, 3000, 0.2
	}
	if o.Config != nil {
		o.Config(raw["settings"].(map[string]any))
	}
	text, err := json.Marshal(raw)
	if err != nil {
		t.Fatal(err)
	}
	if s.Conf, err = config.Parse(text); err != nil {
		t.Fatal(err)
	}
	if o.Operator == nil {
		o.Operator = operator.Default()
	}
	log := slog.New(slog.DiscardHandler)
	if s.Agent, err = agent.New(s.Conf, o.Operator, agent.Network{Links: o.Links}, log); err != nil {
		t.Fatal(err)
	}
	ln := Loopback(t)
	s.Base = "http://" + ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go func() { s.ended <- s.Agent.Serve(ctx, ln) }()
	t.Cleanup(s.Kill)
	return s
}

// Term ends the agent as SIGTERM does; Ended waits for it.
func (s *Site) Term() { s.cancel() }

// Ended waits until the agent has ended, and gives how.
func (s *Site) Ended() error {
	err := <-s.ended
	s.ended <- err
	return err
}

// Kill ends the agent at once, with all that it holds.
func (s *Site) Kill() {
	s.once.Do(func() {
		s.Agent.Close()
		s.cancel()
		<-s.ended
		s.ended <- nil
	})
}

// Ready waits until the agent can serve.
func (s *Site) Ready(t testing.TB) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			var text strings.Builder
			links := s.Agent.LinkStatus()
			links.Print(&text)
			t.Log(text.String())
		}
	})
	Eventually(t, "the agent is ready", func() bool {
		resp, err := testkit.Client.Get(s.Base + "/ready")
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// Came counts how often each request has come to the site's servers.
func (s *Site) Came() map[string]int {
	n := map[string]int{}
	for _, server := range s.Servers {
		for _, a := range server.Came() {
			n[a.ID]++
		}
	}
	return n
}

// Eventually waits until something holds, for as long as no machine needs.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Operator reads an operator's file.
func Operator(t testing.TB, format string, args ...any) *operator.Settings {
	t.Helper()
	o, err := operator.Parse("operator.toml", fmt.Appendf(nil, format, args...))
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// Answer is what a client got.
type Answer struct {
	ID     string
	Class  string
	Status int // 0: none; the connection broke
	Body   string
	Took   time.Duration
}

// Ask sends a request of a class with a body and waits for its end.
func Ask(ctx context.Context, base, class string, patience time.Duration, body []byte) Answer {
	req := testkit.Call(base, class)
	if req.Body, req.ContentLength = nil, 0; class != "look" && len(body) > 0 {
		req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	id := req.Header.Get("Request-Id")
	req.URL.Path = "/" + class + "/u" + id // a key of its own, so that all servers have their part
	req.Header.Set("Request-Timeout", fmt.Sprintf("%dm", patience.Milliseconds()))
	if class == "send" {
		req.Header.Set("Idempotency-Key", "k"+id)
	}
	a := Answer{ID: id, Class: class}
	began := time.Now()
	resp, err := client.Do(req.WithContext(ctx))
	if err == nil {
		defer resp.Body.Close()
		var text []byte
		if text, err = io.ReadAll(resp.Body); err == nil {
			a.Status, a.Body = resp.StatusCode, string(text)
		}
	}
	a.Took = time.Since(began)
	return a
}

// client gives up after a minute, which no request here has.
var client = &http.Client{Timeout: time.Minute, Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
