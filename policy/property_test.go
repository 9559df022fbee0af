package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"molepaddle/internal/decide/cluster"
	"molepaddle/internal/decide/settings"
)

// simulation runs random clients, servers and lists against one Balancer and
// checks the invariants on its actions alone.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	set      settings.Settings
	b        *Balancer
	now      float64
	next     RequestID
	reqs     map[RequestID]*simulatedRequest
	timers   []simulatedTimer
	list     map[cluster.Addr]cluster.Entry
	badSince map[cluster.Addr]float64 // since when a server is listed as draining or gone
	history  []Action
}

type simulatedAttempt struct {
	server cluster.Addr
	sentAt float64
	endsAt float64
	status Status
	ended  bool
}

type simulatedRequest struct {
	class    int
	deadline float64
	tries    []*simulatedAttempt
	final    int
}

type simulatedTimer struct {
	at    float64
	token uint32
}

func randomSettings(rng *rand.Rand) settings.Settings {
	s := testSettings()
	s.Limits.HedgedRequests = rng.IntN(2) == 0
	s.Limits.Cancellation = rng.IntN(2) == 0
	s.Limits.HealthChecks = rng.IntN(2) == 0
	s.Limits.MaxAttempts = 1 + rng.IntN(5)
	s.Classes[2].DedupScope = []settings.DedupScope{settings.DedupAll, settings.DedupZone, settings.DedupCell}[rng.IntN(3)]
	s.Classes[2].DedupTTLMs = 100 + 900*rng.Float64()
	for i := range s.Classes {
		s.Classes[i].LatencyTargetMs = 50 + 400*rng.Float64()
		s.Classes[i].LateValueFraction = []float64{0, 0.2}[rng.IntN(2)]
	}
	if rng.IntN(2) == 0 {
		s.Membership = "on_request"
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []settings.Tenant{{Name: "a", QuotaShare: 0.7}, {Name: "b", QuotaShare: 0.3}}
		s.OverQuotaValue = 0.1
	}
	s.Clients.MarksRetry = rng.IntN(2) == 0
	return s
}

func (w *simulation) apply(actions []Action) {
	w.history = append(w.history, actions...)
	for _, a := range actions {
		r := w.reqs[a.Request]
		switch a.Kind {
		case ActSend:
			w.checkSend(r, &a)
			ends := w.now + 1 + 150*w.rng.Float64()
			st := []Status{OK, OK, OK, OK, OK, Error, Full, Timeout, ConnectFailed, Reset}[w.rng.IntN(10)]
			if st == Timeout {
				ends = w.now + a.Ms
			}
			r.tries = append(r.tries, &simulatedAttempt{
				server: a.Server,
				sentAt: w.now,
				endsAt: min(ends, w.now+a.Ms),
				status: st,
			})
		case ActRefuse, ActFail:
			if r.final++; r.final > 1 {
				w.t.Fatalf("request %d: a second final answer", a.Request)
			}
			if w.now > r.deadline+w.set.Contract.AnswerSlackMs {
				w.t.Fatalf("request %d answered %.1f ms after its deadline", a.Request, w.now-r.deadline)
			}
			c := w.set.Classes[r.class]
			unsafe := c.Idempotency == settings.NonIdempotent || c.Idempotency == settings.Deduplicated && c.DedupScope != settings.DedupAll
			if a.Kind == ActRefuse && r.mayHaveRun() && unsafe {
				w.t.Fatalf("request %d of effect %s refused though it may have run", a.Request, c.Idempotency)
			}
		case ActCancel:
			if !w.set.Limits.Cancellation {
				w.t.Fatal("cancelled where it is not allowed")
			}
			if try := r.tries[a.Attempt]; !try.ended {
				try.status, try.endsAt = Cancelled, w.now+5
			}
		case ActProbe:
			if !w.set.Limits.HealthChecks {
				w.t.Fatal("probed where it is not allowed")
			}
		case ActTimer:
			w.timers = append(w.timers, simulatedTimer{w.now + a.Ms, a.Token})
		}
	}
}

func (r *simulatedRequest) mayHaveRun() bool {
	return slices.ContainsFunc(r.tries, func(t *simulatedAttempt) bool { return !t.ended || !t.status.NeverRan() })
}

func (w *simulation) checkSend(r *simulatedRequest, a *Action) {
	c := w.set.Classes[r.class]
	if r.final > 0 || w.now > r.deadline {
		w.t.Fatalf("request %d sent after its end", a.Request)
	}
	if len(r.tries) >= w.set.Limits.MaxAttempts {
		w.t.Fatalf("request %d: attempt %d of at most %d", a.Request, len(r.tries)+1, w.set.Limits.MaxAttempts)
	}
	if since, bad := w.badSince[a.Server]; bad && w.now-since > w.set.Contract.DrainGraceMs {
		w.t.Fatalf("sent to %v %.0f ms after it was listed as draining or gone", a.Server, w.now-since)
	}
	for _, t := range r.tries {
		if !t.ended && !w.set.Limits.HedgedRequests {
			w.t.Fatalf("request %d: two attempts in flight at once", a.Request)
		}
		if t.ended && t.status.NeverRan() {
			continue
		}
		x, y := w.list[t.server], w.list[a.Server]
		switch {
		case c.Idempotency == settings.NonIdempotent:
			w.t.Fatalf("request %d sent again though it may have run", a.Request)
		case c.Idempotency == settings.Deduplicated && w.now-t.sentAt > c.DedupTTLMs:
			w.t.Fatalf("request %d sent again %.0f ms after it may have run", a.Request, w.now-t.sentAt)
		case c.Idempotency == settings.Deduplicated &&
			(c.DedupScope == settings.DedupZone && x.Zone != y.Zone || c.DedupScope == settings.DedupCell && x.Cell != y.Cell):
			w.t.Fatalf("request %d sent again outside its group", a.Request)
		}
	}
}

func (w *simulation) handle(ev Event) { w.apply(w.b.Handle(w.now, &ev, nil)) }

func (w *simulation) step() {
	w.now += w.set.RoundMs
	for i := 0; i < len(w.timers); i++ {
		if t := w.timers[i]; t.at <= w.now {
			w.timers = slices.Delete(w.timers, i, i+1)
			i--
			w.handle(Event{Kind: EvTimer, Token: t.token})
		}
	}
	for id := RequestID(1); id <= w.next; id++ {
		r := w.reqs[id]
		if r == nil {
			continue
		}
		open := false
		for i, t := range r.tries {
			if t.ended {
				continue
			}
			if t.endsAt > w.now {
				open = true
				continue
			}
			t.ended = true
			if t.status == OK {
				r.final++ // a second answer changes nothing
				r.final = min(r.final, 1)
			}
			w.handle(Event{Kind: EvOutcome, Request: id, Attempt: i, Server: t.server, Status: t.status,
				LatencyMs: w.now - t.sentAt, Final: r.final > 0})
		}
		if r.final == 0 && w.now > r.deadline+w.set.Contract.AnswerSlackMs {
			w.t.Fatalf("request %d of class %d lost: no answer %.0f ms after its deadline",
				id, r.class, w.now-r.deadline)
		}
		if r.final > 0 && !open && len(r.tries) > 0 && w.now > r.deadline+100 {
			delete(w.reqs, id)
		}
	}
}

func (w *simulation) changeList() {
	s := addr(w.rng.IntN(8))
	e := cluster.Entry{Server: s, Zone: int(s[3]) % 2, Cell: int(s[3]) % 3, Weight: 1 + w.rng.Float64(),
		Health: []cluster.Health{cluster.Ready, cluster.Ready, cluster.Draining, cluster.Gone}[w.rng.IntN(4)]}
	if w.rng.IntN(3) == 0 {
		e.SinceMs = w.now - 100*w.rng.Float64()
	}
	w.list[s] = e
	if e.Health == cluster.Ready {
		delete(w.badSince, s)
	} else if _, listed := w.badSince[s]; !listed {
		w.badSince[s] = w.now
	}
	w.handle(Event{Kind: EvList, List: cluster.ListDelta, Entries: []cluster.Entry{e}})
}

func simulate(t *testing.T, seed uint64) []Action {
	rng := rand.New(rand.NewPCG(seed, 7))
	w := &simulation{t: t, rng: rng, set: randomSettings(rng), now: 5000, reqs: map[RequestID]*simulatedRequest{},
		list: map[cluster.Addr]cluster.Entry{}, badSince: map[cluster.Addr]float64{}}
	var err error
	if w.b, err = New(w.set, seed); err != nil {
		t.Fatal(err)
	}
	w.apply(w.b.Start(w.now, nil))
	for range 10 {
		w.changeList()
	}
	for i := range 1500 {
		w.step()
		for i < 1200 && rng.IntN(3) == 0 {
			w.next++
			left := 20 + 800*rng.Float64()
			class := rng.IntN(len(w.set.Classes))
			w.reqs[w.next] = &simulatedRequest{class: class, deadline: w.now + left}
			w.handle(Event{
				Kind:    EvRequest,
				Request: w.next,
				Class:   class,
				Tenant:  rng.IntN(2),
				Key:     uint64(rng.IntN(30)),
				LeftMs:  left,
				HasHint: rng.IntN(2) == 0,
				HintMs:  100 * rng.Float64(),
				Retry:   rng.IntN(5) == 0,
			})
		}
		switch rng.IntN(40) {
		case 0:
			w.changeList()
		case 1:
			if r := w.reqs[w.next]; r != nil && r.final == 0 {
				r.final = 1
				w.handle(Event{Kind: EvDropped, Request: w.next})
			}
		case 2: // unknown and finished requests are ignored
			w.handle(Event{Kind: EvOutcome, Request: 1 << 30, Server: addr(1), Status: OK})
			w.handle(Event{Kind: EvDropped, Request: 1 << 30})
			w.handle(Event{Kind: EvTimer, Token: 99})
			w.handle(Event{Kind: EvList, List: cluster.ListFailed})
		}
	}
	if n := len(w.b.requests); n != 0 || len(w.b.queue) != 0 || w.b.inFlight != 0 {
		t.Errorf("seed %d: %d requests, %d queued, %d in flight left at the end", seed, n, len(w.b.queue), w.b.inFlight)
	}
	for _, s := range w.b.servers {
		if len(s.inFlight) != 0 {
			t.Errorf("seed %d: server %v keeps %d attempts", seed, s.id, len(s.inFlight))
		}
	}
	if w.b.unserved.Len() > maxQueued {
		t.Errorf("seed %d: %d unserved requests remembered, above the limit", seed, w.b.unserved.Len())
	}
	return w.history
}

func TestInvariantsUnderRandomLoad(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { simulate(t, seed) })
	}
}

func TestEqualInputsGiveEqualActions(t *testing.T) {
	for seed := range uint64(5) {
		if !reflect.DeepEqual(simulate(t, seed), simulate(t, seed)) {
			t.Errorf("seed %d: two runs gave different actions", seed)
		}
	}
}
