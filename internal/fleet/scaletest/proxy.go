package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
)

// ProxyTrial is one measurement of a real proxy between simulated clients and fake backends: its cost per request, per
// event and by the length of the backend list.
type ProxyTrial struct {
	Backends      int
	Routes        int
	Rates         []float64 // rates to measure in turn, requests a second; at most MaxRate
	Events        int       // number of events in each response
	EventInterval time.Duration
	RateDuration  time.Duration // duration of each rate
	StartTimeout  time.Duration // time limit until the proxy is ready
	Program       string        // binary of the fleet's programs
	Out           io.Writer
}

// MaxRate is the highest rate of a ProxyTrial in requests a second.
const MaxRate = 5000

// Sizes of the simulated requests: bodyBytes is the length of the body, promptTokens that of the prompt.
const (
	bodyBytes    = 4096
	promptTokens = 1460
	tenants      = 1900 // the operators' target; the tenants' requests share the first parts of their prompts
)

// Run runs the trial and writes its results.
func (t *ProxyTrial) Run(ctx context.Context) error {
	if t.Backends < 1 || t.Backends > MaxBackends || t.Routes < 1 || t.Routes > MaxRoutes || t.Events < 1 ||
		t.RateDuration <= 0 || t.StartTimeout <= 0 {
		return errors.New("backends, routes, events, for or within out of bounds")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dir, err := os.MkdirTemp("", "molepaddle-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	engines, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer engines.Close()
	go t.serveBackends(engines)
	first, err := choosePorts(8, "127.0.0.1")
	if err != nil {
		return err
	}
	at := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(first+offset)) }
	m := machine{name: "edge-real-proxy", zone: Zone(0), ip: "127.0.0.1", ports: [2]int{first, first + 3}, seeds: []string{at(4)}, edge: at(5), ready: at(6),
		heartbeat: 1200 * time.Millisecond, apply: 2 * time.Second, rate: 42}
	feed, err := net.Listen("tcp", distribution.NodeAgentAddr(m.ports))
	if err != nil {
		return err
	}
	defer feed.Close()
	if err := t.serveConfig(ctx, feed, m.heartbeat, engines.Addr().String()); err != nil {
		return err
	}
	path, err := m.write(dir)
	if err != nil {
		return err
	}
	proxy, _, err := start("proxy", t.Program, []string{"proxy"}, []string{"MOLEPADDLE_CONFIG=" + path, "GOMAXPROCS=1"}, func(*process, []byte) {})
	if err != nil {
		return err
	}
	defer proxy.kill()
	fmt.Fprintf(t.Out, "proxy: backends %d, routes %d, events %d, one each %v, body %d B, prompt %d tokens\n", t.Backends, t.Routes, t.Events, t.EventInterval, bodyBytes, promptTokens)
	if err := awaitReady(ctx, m.ready, t.StartTimeout); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4096}, Timeout: 30 * time.Second}
	for _, rate := range t.Rates {
		if rate > MaxRate {
			return errors.Errorf("rate: at most %d", MaxRate)
		}
		if err := t.runRate(ctx, client, m.edge, proxy, rate); err != nil {
			return err
		}
	}
	return nil
}

// serveConfig serves the backend list and the configuration in place of a node agent.
func (t *ProxyTrial) serveConfig(ctx context.Context, ln net.Listener, beat time.Duration, engines string) error {
	list := Backends(t.Backends)
	for i := range list.Backends {
		list.Backends[i].Address = engines
	}
	b, err := list.MarshalMsg(nil)
	if err != nil {
		return err
	}
	doc, err := json.Marshal(newDocument(1, t.Routes))
	if err != nil {
		return err
	}
	s := distribution.NewCache()
	s.SetSnapshot(distribution.BackendListType, distribution.Version{Epoch: 1, Count: 1}, b)
	s.SetSnapshot(distribution.ConfigType, distribution.Version{Count: 1}, doc)
	go distribution.Serve(ctx, ln, "feed", s, 3*beat+time.Second, s.LastContact)
	return nil
}

func awaitReady(ctx context.Context, addr string, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		req, err := http.NewRequestWithContext(ctx, externalapi.CallReady.Method, "http://"+addr+externalapi.CallReady.Path, nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !pause(ctx, 20*time.Millisecond) {
			return errors.New("proxy is not ready within the start time-out")
		}
	}
}

// runRate sends requests at one rate and writes the proxy's usage meanwhile.
func (t *ProxyTrial) runRate(
	ctx context.Context, client *http.Client, edge string, proxy *process, rate float64,
) error {
	before, err := ReadUsage(proxy.pid())
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	var served, failed atomic.Int64
	var mu sync.Mutex
	var firsts []time.Duration
	began := time.Now()
	n := int(rate * t.RateDuration.Seconds())
	for i := range n {
		if !pause(ctx, time.Until(began.Add(time.Duration(float64(i)/rate*float64(time.Second))))) {
			return ctx.Err()
		}
		all.Go(func() {
			first, err := t.sendRequest(ctx, client, edge, i)
			if err != nil {
				failed.Add(1)
				return
			}
			served.Add(1)
			mu.Lock()
			firsts = append(firsts, first)
			mu.Unlock()
		})
	}
	if n == 0 && !pause(ctx, t.RateDuration) {
		return ctx.Err()
	}
	all.Wait()
	after, err := ReadUsage(proxy.pid())
	if err != nil {
		return err
	}
	cpu, seconds := after.CPU-before.CPU, after.At.Sub(before.At).Seconds()
	fmt.Fprintf(t.Out, "proxy: rate %6.0f/s: served %d, failed %d; proxy: cpu %.2f %% of a core, %.4f ms a request; in %.0f B, out %.0f B a request; resident %.1f MB, peak %.1f MB",
		rate, served.Load(), failed.Load(), 100*cpu.Seconds()/seconds, ms(cpu)/float64(max(n, 1)), float64(after.Read-before.Read)/float64(max(n, 1)),
		float64(after.Written-before.Written)/float64(max(n, 1)), float64(after.Resident)/1e6, float64(after.Peak)/1e6)
	if len(firsts) > 0 {
		(&Trial{Out: t.Out}).reportQuantiles("; first event", firsts)
	} else {
		fmt.Fprintln(t.Out)
	}
	return nil
}

// sendRequest sends one request, reads the complete response and returns the time to its first byte.
func (t *ProxyTrial) sendRequest(
	ctx context.Context, client *http.Client, edge string, i int,
) (first time.Duration, err error) {
	r := route(rand.IntN(t.Routes), 0)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+edge+r.Prefix+"chat", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		return 0, err
	}
	tenant := rand.IntN(tenants)
	req.Host = r.Host
	req.Header.Set(externalapi.HeaderAttemptID, fmt.Sprintf("%08x%08x", i, rand.Uint32()))
	req.Header.Set(externalapi.HeaderModel, "m")
	req.Header.Set(externalapi.HeaderTokenCount, fmt.Sprintf("%d,%d", promptTokens, t.Events))
	req.Header.Set(externalapi.HeaderPromptPrefix, fmt.Sprintf("aaaaaaaa:800,%08x:410,%08x:250", tenant, rand.Uint32()))
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	body := bufio.NewReader(resp.Body)
	if _, err := body.Peek(1); err != nil {
		return 0, err
	}
	first = time.Since(began)
	b, err := io.ReadAll(body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || bytes.Count(b, []byte("\n\n")) != t.Events {
		return 0, errors.Errorf("status %d, %d B", resp.StatusCode, len(b))
	}
	return first, nil
}

// serveBackends serves all fake backends: prefill takes no time, and one event is sent per EventInterval.
func (t *ProxyTrial) serveBackends(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, req.Body); err != nil {
					return
				}
				if t.respond(c, req) != nil {
					return
				}
			}
		}()
	}
}

func (t *ProxyTrial) respond(c net.Conn, req *http.Request) error {
	id := req.Header.Get(externalapi.HeaderAttemptID)
	if req.Header.Get(externalapi.HeaderStage) == externalapi.PhasePrefill || strings.HasPrefix(req.URL.Path, externalapi.CallFreeKVHandle.Path) {
		body := fmt.Sprintf(`{"kv_ref":"h%s","ntok":%d,"ver":1}`, id, promptTokens)
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: 3,0,64\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", externalapi.HeaderAttemptID, id, externalapi.HeaderBackendLoad, len(body), body)
		return err
	}
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s: 3,0,64\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		externalapi.HeaderAttemptID, id, externalapi.HeaderBackendSeal, externalapi.HeaderBackendLoad); err != nil {
		return err
	}
	for i := range t.Events {
		event := fmt.Sprintf("id: %d\ndata: 3e1b.07.5a2.600.0.c9f2a4d1 1\n\n", i+1)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(t.EventInterval)
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}
