// Package demo plays two short scenes on loopback for a person to watch. The first is a scenario of
// the lab: one of three servers fails and recovers, one drains. The second is played here: two
// sites with gateways and a slow network between. What came of each is counted and printed, and a
// broken rule is an error.
//
// Run's goroutine directs the scenes; each request of the second one's portal is a goroutine that
// hands its result back through a channel.
package demo

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"molepaddle/internal/process/agent"
	"molepaddle/internal/process/config"
	"molepaddle/internal/process/operator"
	"molepaddle/internal/rig/lab/live"
	"molepaddle/internal/rig/lab/report"
	"molepaddle/internal/rig/lab/trial"
	"molepaddle/internal/rig/scenario"
	"molepaddle/internal/rig/standin"
)

const (
	act       = 1200 * time.Millisecond // how long each part of the scene takes
	every     = 5 * time.Millisecond    // one request of the portal after the other
	patience  = 400 * time.Millisecond
	drainGone = 300 * time.Millisecond // nothing new may come after that
)

// result is what became of a request.
type result struct {
	id     string
	class  string
	status int // 0: no answer
	body   string
}

// settings are those of a small deployment: what is safe to repeat, and what must not run
// twice.
const settings = `{"classes":[
 {"name":"status","aimMs":150,"giveUpMs":400,"credit":1,"effect":"free"},
 {"name":"order","aimMs":200,"giveUpMs":400,"credit":3,"effect":"single_shot"}],
 "membershipMode":"on_request",
 "limits":{"cancelling":true,"maxAttempts":3,"connectTimeoutMs":150,"keepaliveMs":30000,"maxRetryAfterMs":600,"retryAfter":true},
 "contract":{"answerSlackMs":20,"askWithinMs":400,"coldFrom":0.3,"coldMs":2000,"drainGraceMs":250,"fallMultiple":2.5,"tipAfterMs":1000},
 "replicasOfMe":1,"roundMs":2,"weights":"nominal","failureDomains":["here"],"shapes":["plain"]}`

// Run plays the scenes and prints them to out.
func Run(ctx context.Context, out io.Writer) error {
	if err := oneSite(ctx, out); err != nil {
		return err
	}
	if err := sites(ctx, out); err != nil {
		return err
	}
	return views(ctx, out)
}

// oneSite plays the first scene, a scenario of the lab: a roster, three order servers and a portal
// with an agent between.
func oneSite(ctx context.Context, out io.Writer) error {
	s, err := scenario.Load("demo")
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "a roster, three order servers and the agent on loopback for %v; a portal asks %.0f times a second\n", time.Duration(s.Length), s.Portals[0].Rate)
	r, err := live.Play(ctx, s, live.Options{Seed: 1})
	if err != nil {
		return err
	}
	row := &trial.Row{Scenario: s.Name, Variant: "default", Chooser: s.Agent.Chooser, Mode: "live", Seed: 1, Result: r}
	if err := report.Text(out, []*trial.Row{row}); err != nil {
		return err
	}
	if r.Breaches > 0 || r.Served == 0 {
		return fmt.Errorf("demo: %d rules broken, %d served", r.Breaches, r.Served)
	}
	return nil
}

// judge counts the whole and says which rule was broken, if any was.
func judge(out io.Writer, servers []*standin.Server, all []result, last time.Duration) error {
	served, refused, failed, lost := count(all)
	runs := map[string]int{}
	for _, s := range servers {
		for _, a := range s.Came() {
			runs[a.ID]++
		}
	}
	twice := 0
	for _, r := range all {
		if r.class == "order" && runs[r.id] > 1 {
			twice++
		}
	}
	wrong := 0
	for _, r := range all {
		if r.status == http.StatusOK && !strings.HasPrefix(r.body, r.id+" by ") {
			wrong++
		}
	}
	fmt.Fprintf(out, "together: %d asked, %d served, %d refused, %d failed, %d lost, %d wrong answers, %d orders run twice\n",
		len(all), served, refused, failed, lost, wrong, twice)
	switch {
	case lost > 0 || wrong > 0:
		return fmt.Errorf("demo: %d requests lost, %d wrong answers", lost, wrong)
	case twice > 0:
		return fmt.Errorf("demo: %d orders ran twice", twice)
	case last > drainGone:
		return fmt.Errorf("demo: a drained server was sent to after %v", last)
	case served == 0:
		return fmt.Errorf("demo: nothing was served")
	}
	return nil
}

func count(results []result) (served, refused, failed, lost int) {
	for _, r := range results {
		switch {
		case r.status == http.StatusOK:
			served++
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
			refused++
		case r.status == 0:
			lost++
		default:
			failed++
		}
	}
	return served, refused, failed, lost
}

// start runs an agent that is told of the roster, and gives its address; links, if there are
// any, come in at a listener of their own. stop ends it at once.
func start(ctx context.Context, roster *standin.Roster, oper *operator.Settings, links net.Listener) (base string, stop func(), err error) {
	text, err := json.Marshal(map[string]any{"name": "demo", "listen": "127.0.0.1:0", "discovery": roster.Addr, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512}, "known": roster.List(),
		"settings": json.RawMessage(settings)})
	if err != nil {
		return "", nil, err
	}
	conf, err := config.Parse(text)
	if err != nil {
		return "", nil, err
	}
	a, err := agent.New(conf, oper, agent.Network{Links: links}, slog.New(slog.DiscardHandler))
	if err != nil {
		return "", nil, err
	}
	ln, err := net.Listen("tcp", conf.Listen)
	if err != nil {
		return "", nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- a.Serve(ctx, ln) }()
	return "http://" + ln.Addr().String(), sync.OnceFunc(func() {
		_ = a.Close()
		cancel()
		<-ended
	}), nil
}

// portal is the application beside the agent.
type portal struct {
	base   string
	name   string // opens its requests' ids
	client *http.Client
	asked  int
}

func newPortal(base, name string) *portal {
	return &portal{base: base, name: name, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
}

// untilReady waits until the agent can serve.
func (p *portal) untilReady(ctx context.Context) error {
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.base+"/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := p.client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("demo: the agent is not ready after 5 s")
}

// ask sends requests for a while, half of them orders, and waits for all answers.
func (p *portal) ask(ctx context.Context, for_ time.Duration) []result {
	tick := time.NewTicker(every)
	defer tick.Stop()
	results := make(chan result)
	n := 0
	for end := time.Now().Add(for_); time.Now().Before(end) && ctx.Err() == nil; <-tick.C {
		p.asked++
		n++
		r := result{id: fmt.Sprintf("%s-%04d", p.name, p.asked), class: []string{"status", "order"}[p.asked%2]}
		go func() { results <- p.one(r) }()
	}
	all := make([]result, 0, n)
	for range n {
		all = append(all, <-results)
	}
	return all
}

// one asks one request.
func (p *portal) one(r result) result {
	method := http.MethodGet
	if r.class == "order" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, p.base+"/"+r.class+"/"+r.id, nil)
	if err != nil {
		return r
	}
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Request-Timeout", fmt.Sprintf("%dm", patience.Milliseconds()))
	resp, err := p.client.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	if err != nil {
		return r
	}
	r.status, r.body = resp.StatusCode, string(body)
	return r
}
