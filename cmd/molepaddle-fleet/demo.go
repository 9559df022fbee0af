package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/simulation"
	"molepaddle/internal/fleet/status"
)

type demoCmd struct {
	Keep bool `help:"Leave the fleet running at the end, until Ctrl-C."`
}

// demoTimeout bounds the complete demo, which takes about fifteen seconds.
const demoTimeout = 90 * time.Second

// demoIntroduction is the first output of the demo.
const demoIntroduction = "A whole fleet on this machine. Its programs run for real, " +
	`as processes of this binary: 3 core machines (the control
plane), 2 edge machines (a proxy, and the agent that links it to the core). Backends, the platform's list of them and
clients are stand-ins. A prompt's token takes 20us to read, a token of an answer 5ms to make.`

// Run starts a small fleet on loopback and demonstrates requests, a rollout and a change of the primary.
func (c *demoCmd) Run(ctx context.Context, a *app) (err error) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Keep {
		defer func() {
			if err == nil {
				fmt.Fprintln(a.out, "All of it has ended.")
			}
		}()
	}
	play, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	s := &demoHarness{errOut: func(line string) { fmt.Fprintln(os.Stderr, line) }}
	defer s.cleanUp()
	defer func() {
		switch e := recover().(type) {
		case nil:
		case demoFailure:
			if err = e.error; ctx.Err() != nil {
				err = errors.New("interrupted")
			}
		default:
			panic(e)
		}
	}()
	d := &demo{
		startedAt: time.Now(),
		printLine: func(format string, args ...any) { fmt.Fprintf(a.out, format+"\n", args...) },
	}
	d.printLine(demoIntroduction)
	d.start(play, s)
	d.prompts()
	d.rollout()
	d.takeover()
	d.showStatus(a)
	d.printLine("\nPlayed in %v.", elapsed(d.startedAt))
	if c.Keep {
		d.printLine("The fleet runs on until Ctrl-C. In another terminal:\n"+
			"   molepaddle-fleet status --control %s\n   molepaddle-fleet show --control %s", d.leader, d.leader)
		<-ctx.Done()
	}
	return nil
}

// demo is the demo's state.
type demo struct {
	*demoFleet
	startedAt time.Time
	printLine func(format string, args ...any)
	version   int64
	leader    string // control address of the primary
}

func elapsed(at time.Time) time.Duration { return roundDuration(time.Since(at)) }

// roundDuration rounds a duration to tenths of a second from a second up, else to milliseconds.
func roundDuration(d time.Duration) time.Duration {
	if d >= time.Second {
		return d.Round(100 * time.Millisecond)
	}
	return d.Round(time.Millisecond)
}

func (d *demo) start(ctx context.Context, s *demoHarness) {
	d.demoFleet = startDemo(ctx, s)
	d.printLine("\n1  The start")
	d.change(externalapi.CallReplace, []byte(demoConfig))
	for i := range d.edge {
		if err := simulation.AwaitReady(ctx, d.edge[i].ready); err != nil {
			d.Fatalf("%s: %v", d.edge[i].name, err)
		}
	}
	d.printLine("   both proxies take requests %v after the start", elapsed(d.startedAt))
}

// change sends a configuration or an update on top of the newest version.
func (d *demo) change(call externalapi.Call, body []byte) {
	began := time.Now()
	response, err := d.control.Change(d.ctx, call, d.version, body)
	if err != nil {
		d.Fatalf("change: %v", err)
	}
	d.version++
	d.printLine("   version %d of the configuration: on the disks of the primary, %s, and its backup after %v",
		d.version, d.nameOf(response.Endpoint), elapsed(began))
}

// prompts sends two prompts with a common prefix.
func (d *demo) prompts() {
	d.printLine("\n2  A prompt is read at one backend, its answer made at another")
	shared := simulation.Part{ID: "5a", Tokens: 15_000}
	d.prompt(0, shared, simulation.Part{ID: "01", Tokens: 5_000})
	d.printLine("   Another one that begins alike, at the other proxy:")
	d.prompt(1, shared, simulation.Part{ID: "02", Tokens: 5_000})
}

func (d *demo) prompt(edge int, parts ...simulation.Part) {
	const out = 12
	tokens := 0
	for _, p := range parts {
		tokens += p.Tokens
	}
	d.printLine("   POST /chat/ at %s: a prompt of %d tokens, %d to come", d.edge[edge].name, tokens, out)
	r := d.clients[edge].Do(d.ctx, simulation.Request{
		Kind:      simulation.Stream,
		Resumable: true,
		Host:      demoHost,
		Path:      "/chat/1",
		Body:      []byte("tell me"),
		Deadline:  8 * time.Second,
		Model:     "m",
		Tokens:    [2]int{tokens, out},
		Parts:     parts,
	})
	if !r.OK() || len(r.Events) != out {
		d.Fatalf("POST /chat/: status %d, %d of %d tokens, %v: %s", r.Status, len(r.Events), out, r.Err, r.AnswerBody)
	}
	if e, ok := d.entryOf(r.Attempt, simulation.KindPrefill); ok {
		d.printLine("   read at %s: %d tokens in %v, %d were kept from before", e.Engine, e.PrefillTokens,
			roundDuration(e.Ended.Sub(e.Began)), e.CachedTokens)
	}
	if e, ok := d.entryOf(r.Attempt, simulation.KindRequest); ok {
		d.printLine("   made at %s: %d tokens, on the memory of %d taken over",
			e.Engine, len(r.Events), e.TransferredTokens)
	}
	d.printLine("   the first token came after %v, the last after %v", roundDuration(r.Events[0].At.Sub(r.SentAt)),
		roundDuration(r.EndedAt.Sub(r.SentAt)))
}

// probeRoute requests the route that a version adds, at each proxy.
func (d *demo) probeRoute(version int64) (line string) {
	var all []string
	for i, client := range d.clients {
		r := client.Do(d.ctx, routeRequest(version))
		all = append(all, fmt.Sprintf("%d at %s", r.Status, d.edge[i].name))
	}
	return strings.Join(all, ", ")
}

func routeRequest(version int64) simulation.Request {
	return simulation.Request{
		Kind:     simulation.ReadOnly,
		Method:   http.MethodGet,
		Host:     demoHost,
		Path:     fmt.Sprintf("/news-%d/today", version),
		Deadline: 4 * time.Second,
	}
}

func (d *demo) rollout() {
	d.printLine("\n3  A change of the configuration reaches every proxy")
	next := d.version + 1
	d.printLine("   GET /news-%d/ before: %s", next, d.probeRoute(next))
	d.change(externalapi.CallUpdate, demoChange(next))
	d.awaitRollout()
	d.printLine("   GET /news-%d/ after: %s", next, d.probeRoute(next))
}

// awaitRollout waits until the newest version is in force at every proxy, as `molepaddle-fleet watch` does.
func (d *demo) awaitRollout() {
	d.printLine("   molepaddle-fleet watch %d:", d.version)
	if _, err := watch(d.ctx, d.control, d.version, demoTimeout,
		func(line string) { d.printLine("     %s", line) }); err != nil {
		d.Fatalf("watch: %v", err)
	}
}

// primary returns the status and records the primary's address.
func (d *demo) primary() *status.Fleet {
	f, _, err := d.control.Status(d.ctx, false)
	if err != nil {
		d.Fatalf("status: %v", err)
	}
	d.leader = f.View.Primary
	return f
}

// takeover kills the primary while requests are sent.
func (d *demo) takeover() {
	d.printLine("\n4  The primary of the core is killed, amid requests")
	was := d.primary()
	ctx, stop := context.WithCancel(d.ctx)
	defer stop()
	var served, other int
	var mu sync.Mutex
	var all sync.WaitGroup
	var warm sync.WaitGroup // done when each proxy has answered one request
	for _, client := range d.clients {
		warm.Add(1)
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				r := client.Do(d.ctx, routeRequest(2))
				mu.Lock()
				if r.OK() {
					served++
				} else {
					other++
				}
				mu.Unlock()
				if n == 0 {
					warm.Done()
				}
			}
		})
	}
	warm.Wait()
	killed := time.Now()
	for i := range d.core {
		if d.core[i].control == d.leader {
			for _, p := range d.core[i].programs {
				p.Kill()
			}
		}
	}
	d.printLine("   %s, which led view %d, is killed", d.nameOf(d.leader), was.View.Epoch)
	now := d.primary()
	d.printLine("   %s leads view %d %v later; the configuration there is version %d", d.nameOf(d.leader),
		now.View.Epoch, elapsed(killed), now.Configuration.Version)
	d.change(externalapi.CallUpdate, demoChange(d.version+1))
	d.awaitRollout()
	stop()
	all.Wait()
	d.printLine("   requests meanwhile: %d served, %d not", served, other)
	if other > 0 {
		d.Fatalf("requests were not served while the core changed its primary")
	}
}

// showStatus prints the output of `molepaddle-fleet status`.
func (d *demo) showStatus(a *app) {
	f := d.primary()
	d.printLine("\n5  molepaddle-fleet status --control %s\n", d.leader)
	if err := writeStatus(a.out, f, d.leader); err != nil {
		d.Fatalf("%v", errors.Wrap(err, "status"))
	}
}
