package world

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var mutate = flag.String("world.mutants", "", "let the world find these deliberate faults, separated by commas, or all")

// mutant is a deliberate fault in the real code: one text for another. The tests alone
// switch it on, by building the world with the changed file laid over the real one.
type mutant struct{ name, file, old, new string }

// siteMutants are faults in what stands between two sites: days of two sites look for them.
var siteMutants = []mutant{
	{"what is lost is sent again without proof", "internal/protocol/gateway/sender.go",
		"		res = x.a.FailedResult(why, false)\n		res.ExtraAttempts", "		res = x.a.FailedResult(why, true)\n		res.ExtraAttempts"},
	{"an offer is taken after its lease", "internal/protocol/gateway/receiver.go",
		"crossing.Conditions{LeaseExpired: s.leaseExpired(&f.Lease, x.beginBy), Draining", "crossing.Conditions{LeaseExpired: false, Draining"},
	{"the gate before an attempt's first byte is open", "internal/protocol/gateway/receiver.go",
		"	return x.m.Start(crossing.Conditions{LeaseExpired: !time.Now().Before(x.beginBy)})", "	x.m.Start(crossing.Conditions{LeaseExpired: !time.Now().Before(x.beginBy)})\n	return true"},
	{"a fence leaves what waits", "internal/decide/crossing/crossing.go",
		"	case Accepted:\n		f.State = Fenced\n		return NotStarted, Stop\n	case Running:\n		return Started", "	case Accepted:\n		return NotStarted, NoAction\n	case Running:\n		return Started"},
	{"a fence bars nothing that has not come", "internal/decide/crossing/crossing.go",
		"		if t.LeaseExpired || t.Full {\n			return Indeterminate, NoAction\n		}\n		f.State = Fenced\n", "		if t.LeaseExpired || t.Full {\n			return Indeterminate, NoAction\n		}\n"},
	{"crossings are forgotten before their lease", "internal/decide/crossing/crossing.go",
		"	return (leaseExpired || acknowledged && f.Offered) && (", "	return (leaseExpired || !leaseExpired && acknowledged == acknowledged) && ("},
	{"begun is taken for never", "internal/decide/crossing/crossing.go",
		"	case Running:\n		return Started, NoAction", "	case Running:\n		return NotStarted, NoAction"},
	{"attempts made there are not counted here", "internal/protocol/gateway/sender.go",
		"return min(max(int(tries)-1, 0), max(x.a.AttemptsLeft-1, 0)) }", "return 0 * int(tries) }"},
	{"an offer does not say how many attempts it may have", "internal/protocol/gateway/sender.go",
		"MaxAttempts: uint64(max(x.a.AttemptsLeft, 1))", "MaxAttempts: 9"},
	{"keys of a zone are repeated from the other site", "internal/protocol/gateway/sender.go",
		"c.Idempotency == settings.Deduplicated && c.DedupScope != settings.DedupAll {", "c.Idempotency == settings.Deduplicated && c.DedupScope == \"nothing\" {"},
	{"the window of a key does not cross", "internal/protocol/gateway/sender.go",
		"by := a.BeginBy(); !by.IsZero()", "by := a.BeginBy(); by.IsZero() && false"},
	{"the lease outlasts the near end's wait", "internal/protocol/gateway/sender.go",
		"	life -= life/1000 + leaseMargin\n", "	life += 200 * time.Millisecond\n"},
	{"ids that were refused at once are not known", "internal/process/agent/gate.go",
		"		if !g.ids.Add(r.ID) {", "		if false {"},
	{"an answer goes to the next crossing", "internal/protocol/gateway/sender.go",
		"if x := p.open[num]; x != nil", "if x := p.open[num+1]; x != nil"},
	{"a crossing is known by its id there", "internal/protocol/gateway/receiver.go",
		"MaxAttempts: int(o.MaxAttempts), Deduplicated: true,", "MaxAttempts: int(o.MaxAttempts),"},
	{"a crossing is leaked", "internal/protocol/gateway/sender.go",
		"	delete(p.open, x.num)\n	x.conn.out--\n", "	x.conn.out--\n"},
	{"the far end's answer may never have run", "internal/protocol/gateway/receiver.go",
		"ran := x.m.State == crossing.Running && (a.Ran || a.Outcome == core.Served)", "ran := a.Outcome == core.Served"},
	{"an order begins before others know", "internal/protocol/gateway/receiver.go",
		"if first && !x.s.far.opt.Promises.Begin(x.inc, x.s.key.peer, x.s.key.inc, x.num, x.beginBy) {", "if first && x.s.far.opt.Promises == nil {"},
	{"an order begins though the promise was refused", "internal/process/promise/promise.go",
		"		p.resolveWaiter(k, false)\n	}\n	if out.Short", "		p.resolveWaiter(k, true)\n	}\n	if out.Short"},
	{"a copy proves without a seal", "internal/process/promise/promise.go",
		"		if p.replicas.Sealed(h, err) {", "		if p.replicas.Sealed(h, nil) {"},
	{"a sealed copy goes on taking promises", "internal/decide/promises/copies.go",
		"if h == nil || h.sealed || h.fromDisk", "if h == nil || h.fromDisk"},
	{"the word about one epoch is taken for the next", "internal/decide/promises/holder.go",
		"case m.phase != proposing || e.Epoch != m.epoch+1 || !slices.Equal(e.Replicas, m.replicas):", "case m.phase != proposing:"},
	{"one copy's word is enough", "internal/decide/promises/holder.go",
		"if m.inFlight[at].acked[from] = true; len(m.inFlight[at].acked) == len(m.replicas) {", "if m.inFlight[at].acked[from] = true; len(m.inFlight[at].acked) > 0 {"},
	{"the next epoch's copies are not told what has begun", "internal/decide/promises/holder.go",
		"	for k := range m.begun {\n		msg.Keys = append(msg.Keys, k)\n	}\n", ""},
	{"what had begun is taken for never", "internal/decide/promises/copies.go",
		"	if _, begun := d.begun[k]; begun {\n		return MayHaveRun, Reply{}\n	}\n", ""},
	{"who wakes in a sealed epoch goes on", "internal/decide/promises/holder.go",
		"case err == ErrSealed || err == ErrEpoch:", "case err == ErrSealed || err == ErrEpoch:\n		m.phase, m.phaseSince = active, m.ticks\n		m.epoch++\n		m.flush(&out)\n	case err == ErrNoCopy:"},
	{"what an earlier process was offered is promised by the next", "internal/process/promise/promise.go",
		"if p.holder == nil || p.own.Incarnation != hinc {", "if p.holder == nil {"},
}

// surgeMutants are for days on which clients give up.
var surgeMutants = []mutant{
	{"what waits at the far end is not barred when its client leaves", "internal/protocol/gateway/sender.go",
		"	a.OnAbandoned = x.abandoned\n", ""},
	{"a cancel is not passed over the link", "internal/protocol/gateway/sender.go",
		"		x.sendCancel(false)\n", ""},
	{"a hop is told of time that is not there", "internal/decide/budget/time.go",
		"return max(given, 0), given >= MinHopTime", "return max(given, MinHopTime), true"},
	{"what can't end in time is tried", "policy/request.go",
		"return b.now+b.expectedAnswerMs(r)/2 > b.latestUseful(r)",
		"return b.now+b.expectedAnswerMs(r)/2 > b.latestUseful(r)+1e9"},
	{"a dial may take what time there is", "policy/attempts.go",
		"begin := b.latestUseful(r) - b.minRemaining(s, r)",
		"begin := b.latestUseful(r) + 1e9 + 0*b.minRemaining(s, r)"},
	{"a time counts 20 ms too long", "internal/decide/budget/time.go",
		"received.Add(max(", "received.Add(20*time.Millisecond + max("},
	{"a time counts from the handler's start", "internal/protocol/httpfront/places.go",
		"return c.places.made.Add(time.Duration(c.last.Load()))", "return time.Now()"},
	{"the far end has a time of its own", "internal/protocol/gateway/receiver.go",
		"r.Deadline = earlier(r.Deadline, x.leaseEnd)", "r.Deadline = r.Deadline.Add(0)"},
	{"what waits in the queue is not dropped", "internal/core/core.go",
		"			c.dispatch(&policy.Event{Kind: policy.EvDropped, Request: r.id})\n", ""},
	{"an attempt that is to end goes on", "internal/core/core.go",
		"					a.Cancel(ErrCancelled)\n", ""},
	{"nothing expires in the queue", "policy/balancer.go",
		"		b.expire()\n", ""},
}

var mutants = []mutant{
	{"what is left alone is sent to", "internal/core/servers.go", "s.Health == cluster.Ready && c.excluded[s.Server]", "s.Health == cluster.Ready && c.excluded == nil"},
	{"what is left alone is ready again with the next list", "internal/core/servers.go", "	c.apply(kind, c.withExclusions(list), 0)\n}\n\n// Exclude", "	c.apply(kind, list, 0)\n}\n\n// Exclude"},
	{"unsafe work is retried after a reset", "internal/core/transport.go",
		"status := policy.Reset", "status := policy.ConnectFailed"},
	{"every ending is taken for one that never ran", "policy/attempts.go",
		"if ev.Status.NeverRan() {", "if true {"},
	{"drains are heard 400 ms late", "internal/protocol/roster/roster.go",
		"		d.notify(core.Update{Kind: core.Changed, List: l})", "		time.AfterFunc(400*time.Millisecond, func() { d.notify(core.Update{Kind: core.Changed, List: l}) })"},
	{"what waits for a connection is not withdrawn at a drain", "internal/core/servers.go",
		"	for _, a := range b.attempts {\n		c.stop(a, ErrDrained, policy.Full)\n	}\n", ""},
	{"probes of a drained server go on", "internal/core/servers.go",
		"	b.cancelProbes()\n", ""},
	{"withdrawn attempts are sent all the same", "internal/protocol/transport/attempt.go",
		"if !a.Begin() {", "if !a.Begin() && x.incomplete {"},
	{"answers are sent twice", "internal/protocol/httpfront/places.go",
		"func (c *clientConn) Close() error {", "func (c *clientConn) Write(p []byte) (int, error) {\n	c.Conn.Write(p)\n	return c.Conn.Write(p)\n}\n\nfunc (c *clientConn) Close() error {"},
	{"a cold server is taken for warm", "policy/capacity.go",
		"	age := b.now - s.startedAt\n", "	age := b.now - s.startedAt\n	if age >= 0 {\n		return 1\n	}\n"},
	{"checks of a failing server don't count against its cold credit", "policy/capacity.go",
		"	if s.state >= UnhealthyPending {\n		if len(s.inFlight) > 0 {\n			return false\n		}\n	} else",
		"	if s.state >= UnhealthyPending {\n		return len(s.inFlight) == 0\n	} else"},
	{"an attempt is leaked", "internal/core/core.go",
		"	r.inFlight--\n", ""},
	{"a connection is leaked where it can't be kept", "internal/protocol/transport/attempt.go",
		"		} else {\n			c.Close()\n		}", "		}"},
	{"what waits on a kept connection is not looked for", "internal/protocol/transport/pool.go",
		"c.age <= limit && sockets.Pending(c.Conn) == 0", "c.age <= limit"},
	{"bytes behind an answer are not looked for", "internal/protocol/transport/attempt.go",
		" && r.Buffered() == 0", ""},
	{"a short body passes", "internal/protocol/transport/attempt.go",
		"	if err != nil {\n		return res, false, fmt.Errorf(\"answer: %w\", err)\n	}\n	res.Load", "	res.Load"},
	{"any 503 is taken for turned away", "internal/protocol/transport/attempt.go",
		" &&\n		resp.Header.Get(\"Not-Started\") == \"1\"", ""},
	{"one attempt more than allowed", "internal/core/core.go",
		"	var decider Decider\n", "	set.Limits.MaxAttempts++\n	var decider Decider\n"},
	{"keyed repeats go anywhere", "policy/attempts.go",
		"return c.DedupScope == settings.DedupAll ||", "return true || c.DedupScope == settings.DedupAll ||"},
	{"the window of a key is not looked at", "policy/attempts.go",
		"if b.now-r.ranAt > c.DedupTTLMs-2*b.set.RoundMs {", "if b.now < 0 {"},
	{"a repeat begins after the window of its key", "internal/core/core.go",
		"if act.BeginMs > 0 {", "if act.BeginMs < 0 {"},
	{"what may have run is refused", "policy/attempts.go",
		"harmless := r.maybeRan == 0 ||", "harmless := true ||"},
	{"deadlines are counted 200 ms too long", "internal/protocol/intake/intake.go",
		"budget.From(came,", "budget.From(came.Add(200*time.Millisecond),"},
	{"ids that came before are taken", "internal/core/core.go",
		"if !r.Deduplicated && !c.ids.add(r.ID, time.Now()) {", "if c.ids.add(r.ID, time.Now()); false {"},
	{"a client that leaves is not noticed", "internal/core/core.go",
		"	case <-ctx.Done():\n			end.Outcome = ClientGone", "	case <-make(chan int):\n			end.Outcome = ClientGone"},
	{"a broken attempt is sent again by the transport", "internal/protocol/transport/attempt.go",
		"	res, err := x.roundTrip()\n", "	res, err := x.roundTrip()\n	if err != nil && !x.incomplete {\n		if up, bad := e.pool.opt.Dial(a.Context(), \"tcp\", e.dial); bad == nil {\n			e.pool.mu.Lock()\n			e.pool.open++\n			e.pool.mu.Unlock()\n			y := exchange{a: core.NewAttempt(a.Context(), a.Request, time.Second, func(core.Result) {}), c: &conn{Conn: up, end: e}, e: e}\n			res, err = y.roundTrip()\n		}\n	}\n"},
	{"an older whole list is applied", "internal/core/roster.go",
		"case n.List.Seq >= c.seq:", "case true:"},
	{"a half-closed client gets an empty 200", "internal/protocol/httpfront/front.go",
		"		w.Header().Set(\"Connection\", \"close\")\n		a.write(w, http.StatusBadGateway, \"\", nil)\n	case core.DeadlineExceeded:", "	case core.DeadlineExceeded:"},
	{"what has not begun goes on when its request is over", "internal/core/core.go",
		"if !c.stop(a, ErrCancelled, policy.Cancelled) && !a.ended", "if !a.ended"},
	{"dials to the roster outlive it", "internal/protocol/roster/roster.go",
		"dialing, cancel := context.WithTimeout(ctx, fetchTimeout)", "dialing, cancel := context.WithTimeout(context.Background(), time.Hour)"},
	{"idle connections outlive the agent", "internal/process/agent/agent.go",
		"	defer a.transport.Close()\n", ""},
	{"an answer that a reset ends is taken for whole", "internal/protocol/transport/answer.go",
		"case now == nil && err == io.EOF:", "case now == nil && err != nil:"},
	{"an older change is applied", "internal/core/roster.go",
		"case n.List.Seq > c.seq:", "case true:"},
	{"the watch is not followed again", "internal/core/roster.go",
		"		c.watching = false\n		c.log", "		c.log"},
	{"a body that was cut goes on", "internal/protocol/httpfront/bodies.go",
		"		case err != nil:\n			return n, false, broken(err)\n		case n == len", "		case err != nil:\n			return n, true, nil\n		case n == len"},
	{"in a fleet, a change of a server is not taken over", "internal/core/fleet.go",
		"				complete.Servers[i] = s\n", "				complete.Servers[i].Weight = s.Weight\n"},
	{"in a fleet, the watch is put off for too long", "internal/decide/fleet/fleet.go",
		"math.Max(math.Min(every, left), 0) * m.rng.Float64()", "math.Max(left, 0) + 20*every"},
	{"in a fleet, a draining server is as good as another", "internal/decide/fleet/fleet.go",
		"		if e := &entries[i]; e.Health == cluster.Ready {\n", "		if e := &entries[i]; e.Health != cluster.Gone {\n			e.Health = cluster.Ready\n"},
	{"a failed request gets no answer of its own", "internal/core/core.go",
		"				c.answer(r, Answer{Outcome: Failed})\n", "				r.Deadline = r.Deadline.Add(time.Hour)\n"},
}

// keep cuts the day down on which a fault was found, and writes it to the days that are
// played ever after.
func (m *mutant) keep(t *testing.T, bin, seed string) {
	out, _ := exec.Command(bin, "-test.run", "^TestDay$", "-world.shrink", "-world.seed="+seed, fmt.Sprintf("-world.sites=%v", *sites), fmt.Sprintf("-world.surge=%v", *surge), "-test.timeout=10m").Output()
	text, _, ok := strings.Cut(string(out), "\n}\n")
	if !ok {
		t.Errorf("%s: seed %s can't be cut down", m.name, seed)
		return
	}
	name := strings.ReplaceAll(strings.ReplaceAll(m.name, " ", "-"), "'", "")
	if err := os.WriteFile(filepath.Join("testdata", "days", name+".json"), []byte(text+"\n}\n"), 0o644); err != nil {
		t.Error(err)
	}
}

// root is the module's folder.
const root = "../../.."

// source reads the real file that a mutant changes, and the changed text.
func (m *mutant) source(t *testing.T) (path, text string) {
	path, err := filepath.Abs(filepath.Join(root, m.file))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(string(raw), m.old); n != 1 {
		t.Fatalf("%s: what it changes stands %d times in %s", m.name, n, m.file)
	}
	return path, strings.Replace(string(raw), m.old, m.new, 1)
}

// The faults can be made: what they change is there.
func TestMutantsApply(t *testing.T) {
	for _, m := range slices.Concat(siteMutants, surgeMutants, mutants) {
		m.source(t)
	}
}

// TestMutants lets the world look for deliberate faults, and prints a table of the seeds
// until each was found. It builds the world once for each.
func TestMutants(t *testing.T) {
	if *mutate == "" {
		t.Skip("no faults are asked for")
	}
	breach := regexp.MustCompile(`seed (\d+): ([^:]*):`)
	list := mutants
	switch {
	case *surge:
		list = surgeMutants
	case *sites:
		list = siteMutants
	}
	for _, m := range list {
		if *mutate != "all" && !strings.Contains(*mutate, m.name) {
			continue
		}
		dir := t.TempDir()
		path, text := m.source(t)
		changed := filepath.Join(dir, "changed.go")
		overlay, _ := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
		for name, content := range map[string][]byte{changed: []byte(text), filepath.Join(dir, "overlay.json"): overlay} {
			if err := os.WriteFile(name, content, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		bin := filepath.Join(dir, "world.test")
		build := exec.Command("go", "test", "-c", "-vet=off", "-overlay", filepath.Join(dir, "overlay.json"), "-o", bin, ".")
		if out, err := build.CombinedOutput(); err != nil {
			t.Errorf("%s: %v\n%s", m.name, err, out)
			continue
		}
		out, _ := exec.Command(bin, "-test.run", "^TestSeeds$", "-world.stop", fmt.Sprintf("-world.from=%d", *from),
			fmt.Sprintf("-world.count=%d", *count), fmt.Sprintf("-world.sites=%v", *sites), fmt.Sprintf("-world.surge=%v", *surge), "-test.timeout=10m").CombinedOutput()
		if found := breach.FindSubmatch(out); found != nil {
			fmt.Printf("| %s | %s | %s |\n", m.name, found[1], found[2])
			if *shrink {
				m.keep(t, bin, string(found[1]))
			}
		} else {
			tail := out[max(0, len(out)-300):]
			t.Errorf("%s: not found in %d seeds\n%s", m.name, *count, tail)
			fmt.Printf("| %s | not found in %d | |\n", m.name, *count)
		}
	}
}
