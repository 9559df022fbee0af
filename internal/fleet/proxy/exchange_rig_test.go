package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"molepaddle/internal/fleet/distribution"
	"molepaddle/internal/fleet/externalapi"
	"molepaddle/internal/fleet/residency"
	"molepaddle/internal/protocol/transport"
)

// reply is what a script says to a request.
type reply struct {
	taken    int   // bytes of the request that are taken; below 0: all
	writeEnd error // what the write of more gets; nil: it waits
	bytes    []byte
	end      error  // after the bytes: io.EOF, errReset, or nil for silence
	late     []byte // comes in the place of the next answer on the connection
	proves   bool   // it proves that the request has not run
}

// validAnswer is the answer of a healthy backend, in parts.
type validAnswer struct {
	id   string
	head string // without the empty line at its end, and without its framing
	body string // unframed
	bare bool   // it answers a HEAD: the body is not sent
}

func (a *validAnswer) framed() []byte {
	if strings.Contains(a.head, "text/event-stream") {
		return a.chunked("")
	}
	framed := fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", a.head, len(a.body))
	if a.bare {
		return framed
	}
	return append(framed, a.body...)
}

// chunked frames the body in chunks of an event each, with trailers.
func (a *validAnswer) chunked(trailers string) []byte {
	b := []byte(a.head + "Transfer-Encoding: chunked\r\n\r\n")
	for part := range strings.SplitAfterSeq(a.body, "\n\n") {
		if part != "" {
			b = fmt.Appendf(b, "%x\r\n%s\r\n", len(part), part)
		}
	}
	return append(b, "0\r\n"+trailers+"\r\n"...)
}

func (a *validAnswer) unframed() []byte { return []byte(a.head + "\r\n" + a.body) }

// script is what a backend does with a request, as far as it has come, that would get the answer.
type script func(r *exchangeRig, c *scriptedConn, request []byte, answer *validAnswer) reply

// breakage is what a backend does to the victim's request.
type breakage struct {
	name string
	does script
}

// onAnswer is a script that needs the answer alone.
func onAnswer(does func(answer *validAnswer) reply) script {
	return func(_ *exchangeRig, _ *scriptedConn, _ []byte, answer *validAnswer) reply { return does(answer) }
}

// always is a script that says the same to every request.
func always(says reply) script {
	return func(*exchangeRig, *scriptedConn, []byte, *validAnswer) reply { return says }
}

// requestKind is a kind of request, and the call of it that is struck.
type requestKind struct {
	name   string
	route  string
	staged bool   // its prompt is read at one backend, its tokens are made at another
	stage  string // the call that is struck, where it is staged
	body   string
	method string
}

func (k *requestKind) stream() bool { return k.route != "freeread" && k.route != "post" }

// idempotent tells whether the request may run more than once, or the struck call is one that does not run it.
func (k *requestKind) idempotent() bool { return k.route == "freeread" || k.route == "free" }

// scriptedBackend is a backend whose connections are scripted.
type scriptedBackend struct {
	rig                *exchangeRig
	id, service, phase string
	address            string
	conns              []*scriptedConn
}

// arrival is a request, or a part of one, that has come to a backend.
type arrival struct {
	id, backend, stage, handle string
	proved                     bool // that it has not run
	at                         time.Time
}

// exchangeRig is one proxy before scripted backends, for one victim's request that meets a fault and those before and
// after it.
type exchangeRig struct {
	proxy    *Proxy
	kind     requestKind
	breakage breakage
	backends []*scriptedBackend
	version  uint64
	script   func(a *validAnswer) reply // what all requests get; nil: their answers

	mu       sync.Mutex
	struck   *scriptedConn // where the fault struck
	asking   string        // id of the request under way
	cancel   context.CancelFunc
	left     time.Time // when the victim's client left
	came     time.Time
	deadline time.Duration // of the request under way
	reaches  []arrival
	handles  map[string]string // whose a handle is, by address and reference
	spent    map[string]bool   // handles that were sent to a decode backend
	found    []string
}

const (
	victimID = "victim"
	// exchangeDeadline is what the clients of these tests wait.
	exchangeDeadline = 2 * time.Second
	exchangeEvents   = 4
)

func newExchangeRig(kind requestKind, breakage breakage) *exchangeRig {
	r := &exchangeRig{kind: kind, breakage: breakage, handles: map[string]string{}, spent: map[string]bool{}}
	zones := map[string]string{"e1": "east"}
	r.proxy = New(context.Background(), testSettings(zones), zap.NewNop())
	r.proxy.pool.Close()
	pool := transport.New(transport.Options{
		Dial:    r.dial,
		Timeout: connectTimeout,
		Idle:    10 * time.Second,
		Most:    100,
		Settle:  time.Millisecond,
		Resting: 4,
	})
	r.proxy.pool, r.proxy.gate = pool, residency.NewGate(pool, zones)
	for i, b := range []scriptedBackend{
		{id: "obs-a", service: "obs"}, {id: "obs-b", service: "obs"},
		{id: "prefill-a", service: "llm", phase: externalapi.PhasePrefill},
		{id: "prefill-b", service: "llm", phase: externalapi.PhasePrefill},
		{id: "decode-a", service: "llm", phase: externalapi.PhaseDecode},
		{id: "decode-b", service: "llm", phase: externalapi.PhaseDecode},
	} {
		b.rig, b.address = r, fmt.Sprintf("10.0.0.%d:80", i+1)
		r.backends = append(r.backends, &b)
	}
	doc := exchangeDocument()
	applyResource(r.proxy, distribution.ConfigType, 1, doc)
	r.list(true)
	return r
}

// applyResource gives a proxy a complete resource of the version.
func applyResource(p *Proxy, kind string, version uint64, snapshot []byte) {
	p.apply(&distribution.Response{Resources: []distribution.Resource{{
		Type:     kind,
		Version:  distribution.Version{Epoch: 1, Count: version},
		Snapshot: snapshot,
	}}}, time.Now())
}

// exchangeDocument is the configuration of these tests.
func exchangeDocument() []byte {
	route := func(name, kind, svc, more string) string {
		return fmt.Sprintf(`{"name":%[1]q,"hostname":"h","pfx":"/%[1]s/","kind":%[2]q,"deadline_ms":3000,`+
			`"target_ms":150,"svc":%[3]q,"tries":3%[4]s}`, name, kind, svc, more)
	}
	return fmt.Appendf(nil, `{"ver":1,"routing":[%s],"svcs":[{"name":"llm","probe":"/healthz","runtime":{"capacity":8,`+
		`"kv_ntok":1000000,"kv_tok_bytes":163840,"bw_mbps":8000000,"kv_ref_s":5}},{"name":"obs","probe":"/healthz"}]}`,
		strings.Join([]string{
			route("free", "stream", "llm", `,"pin":true,"resumable":true`),
			route("freeonce", "stream", "llm", `,"pin":true`),
			route("freeread", "readonly", "obs", ""),
			route("post", "mutating", "obs", ""),
		}, ","))
}

// struckBackend is the backend whose role is the one that the fault strikes.
func (r *exchangeRig) struckBackend() string {
	switch {
	case !r.kind.stream():
		return "obs-a"
	case r.kind.staged && r.kind.stage == externalapi.PhasePrefill:
		return "prefill-a"
	}
	return "decode-a"
}

// list has the proxy know the backends that the request's kind needs; alone: of the role that the fault strikes only
// the one.
func (r *exchangeRig) list(alone bool) {
	struck := r.struckBackend()
	var list distribution.BackendList
	for _, b := range r.backends {
		role, _, _ := strings.Cut(b.id, "-")
		if role == "prefill" && !r.kind.staged || alone && strings.HasPrefix(struck, role) && b.id != struck {
			continue
		}
		list.Backends = append(list.Backends, distribution.Backend{
			ID:       b.id,
			Service:  b.service,
			Address:  b.address,
			Zone:     "e1",
			Version:  "v1",
			Capacity: 8,
			Phase:    b.phase,
		})
	}
	whole, _ := list.MarshalMsg(nil)
	r.version++
	applyResource(r.proxy, distribution.BackendListType, r.version, whole)
}

func (r *exchangeRig) dial(_ context.Context, _, address string) (net.Conn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.backends {
		if b.address == address {
			c := newScriptedConn(b)
			b.conns = append(b.conns, c)
			return c, nil
		}
	}
	return nil, errDown
}

func (r *exchangeRig) find(format string, args ...any) {
	r.found = append(r.found, fmt.Sprintf(format, args...))
}

// note is find for who has not locked the rig.
func (r *exchangeRig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.find(format, args...)
}

// request is what a backend says to a request on a connection.
func (b *scriptedBackend) request(c *scriptedConn, raw []byte) reply {
	r := b.rig
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(raw)))
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.find("%s gets what is no request: %v", b.id, err)
		return reply{taken: -1, end: errReset}
	}
	well := b.answerTo(req)
	strikes := b.strikes(req)
	says := reply{taken: -1, bytes: well.framed()}
	if r.script != nil {
		says = r.script(well)
	}
	if strikes {
		r.mu.Lock()
		r.struck = c
		r.mu.Unlock()
		r.list(false) // from now on there is another
		says = r.breakage.does(r, c, raw, well)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	b.judge(req, says)
	return says
}

// strikes tells whether a request is the victim's call that meets the fault.
func (b *scriptedBackend) strikes(req *http.Request) bool {
	r := b.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.struck == nil &&
		req.Header.Get(externalapi.HeaderAttemptID) == victimID &&
		b.id == r.struckBackend() &&
		req.Method != externalapi.CallFreeKVHandle.Method
}

// answerTo is the answer that a request gets where all is well.
func (b *scriptedBackend) answerTo(req *http.Request) *validAnswer {
	id := req.Header.Get(externalapi.HeaderAttemptID)
	a := &validAnswer{
		id:   id,
		bare: req.Method == http.MethodHead,
		head: "HTTP/1.1 200 OK\r\n" + externalapi.HeaderAttemptID + ": " + id + "\r\n",
	}
	switch {
	case req.Method == externalapi.CallFreeKVHandle.Method:
	case req.Header.Get(externalapi.HeaderStage) != "":
		a.head += "Content-Type: application/json\r\n"
		a.body = fmt.Sprintf(`{"kv_ref":%q,"ntok":10,"ver":1}`, b.rig.newHandle(b.address, id))
	case b.service == "llm":
		a.head += externalapi.HeaderBackendSeal + ": of-" + id + "\r\nContent-Type: text/event-stream\r\n"
		last, _ := strconv.Atoi(req.Header.Get(externalapi.HeaderLastEventID))
		for i := last + 1; i <= exchangeEvents; i++ {
			a.body += fmt.Sprintf("id: %d\ndata: answer to %s\n\n", i, id)
		}
	default:
		a.head += externalapi.HeaderBackendSeal + ": of-" + id + "\r\n"
		a.body = "answer to " + id
	}
	return a
}

// newHandle makes a handle of a request's at an address.
func (r *exchangeRig) newHandle(address, id string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	ref := "of-" + id + "-" + strconv.Itoa(len(r.handles))
	r.handles[address+"/"+ref] = id
	return ref
}

// judge notes a request that has come, and what no request may do. The rig is locked.
func (b *scriptedBackend) judge(req *http.Request, says reply) {
	r := b.rig
	id := req.Header.Get(externalapi.HeaderAttemptID)
	at := arrival{
		id:      id,
		backend: b.id,
		stage:   req.Header.Get(externalapi.HeaderStage),
		handle:  req.Header.Get(externalapi.HeaderKVFrom),
		proved:  says.proves,
		at:      time.Now(),
	}
	freeing := req.Method == externalapi.CallFreeKVHandle.Method
	if freeing {
		at.stage = "free"
	}
	if ids := req.Header[externalapi.HeaderAttemptID]; len(ids) != 1 && !freeing {
		r.find("a request with the ids %q", ids)
	}
	b.judgeDeadline(req, freeing)
	if says.taken == 0 {
		return
	}
	r.reaches = append(r.reaches, at)
	switch {
	case freeing:
		ref := b.address + "/" + strings.TrimPrefix(req.URL.Path, externalapi.CallFreeKVHandle.Path)
		if owner := r.handles[ref]; owner != r.asking {
			r.find("%s's handle %s is freed as %s ends", owner, ref, r.asking)
		}
	case at.handle != "":
		if r.handles[at.handle] != id {
			r.find("%s takes the handle %s of %q", id, at.handle, r.handles[at.handle])
		}
		if r.spent[at.handle] {
			r.find("%s takes the handle %s a second time", id, at.handle)
		}
		r.spent[at.handle] = true
	}
	if id == victimID && !r.left.IsZero() && !freeing && time.Since(r.left) > 500*time.Millisecond {
		r.find("sent to %s %v after its client left", b.id, time.Since(r.left))
	}
}

// judgeDeadline looks at how much time a backend is given. The rig is locked.
func (b *scriptedBackend) judgeDeadline(req *http.Request, freeing bool) {
	r := b.rig
	given, err := strconv.Atoi(req.Header.Get(externalapi.HeaderDeadlineMs))
	if err != nil || len(req.Header[externalapi.HeaderDeadlineMs]) != 1 {
		r.find("%s is given the deadline %q", b.id, req.Header[externalapi.HeaderDeadlineMs])
		return
	}
	left := r.deadline - time.Since(r.came)
	if freeing {
		left += 500 * time.Millisecond
	}
	if time.Duration(given)*time.Millisecond > max(left, time.Millisecond) {
		r.find("%s is given %d ms, %v are left", b.id, given, left)
	}
}

// outcome is what a client has got.
type outcome struct {
	status int
	header http.Header
	body   string
	broken bool
	took   time.Duration
}

// newRequest makes a request of the rig's kind.
func (r *exchangeRig) newRequest(ctx context.Context, id string) *http.Request {
	body, method := "", r.method(id)
	if method == http.MethodPost {
		body = "data"
	}
	if id == victimID && r.kind.body != "" {
		body = r.kind.body
	}
	req := httptest.NewRequestWithContext(ctx, method, "/"+r.kind.route+"/x", strings.NewReader(body))
	req.Host = "h"
	req.Header.Set(externalapi.HeaderAttemptID, id)
	req.Header.Set(externalapi.HeaderDeadlineMs, strconv.FormatInt(exchangeDeadline.Milliseconds(), 10))
	if r.kind.stream() {
		req.Header.Set(externalapi.HeaderModel, "m")
		req.Header.Set(externalapi.HeaderTokenCount, "6000,2")
		req.Header.Set(externalapi.HeaderPromptPrefix, "fa01:5980,"+strconv.Itoa(len(id))+":20")
	}
	return req
}

// ask makes one request of the rig's kind.
func (r *exchangeRig) ask(id string) outcome {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	req := r.newRequest(ctx, id)
	r.mu.Lock()
	r.asking, r.cancel, r.came, r.deadline = id, cancel, time.Now(), exchangeDeadline
	r.mu.Unlock()
	w := &once{ResponseRecorder: httptest.NewRecorder()}
	began := time.Now()
	broken := serveUntilAborted(r.proxy, w, req)
	out := outcome{w.Code, w.Header(), w.Body.String(), broken, time.Since(began)}
	if w.answers == 0 && !broken {
		out.status = http.StatusOK // what the library makes of a handler that says nothing
	}
	if w.answers == 0 && broken {
		out.status = 0
	}
	r.proxy.background.Wait()
	return out
}

// method is that of a request: only the victim's is not the usual one.
func (r *exchangeRig) method(id string) string {
	if id == victimID && r.kind.method != "" {
		return r.kind.method
	}
	return http.MethodPost
}

// serveUntilAborted has a proxy serve a request; aborted: it broke the answer off.
func serveUntilAborted(p *Proxy, w http.ResponseWriter, req *http.Request) (aborted bool) {
	defer func() {
		switch e := recover(); e {
		case nil:
		case http.ErrAbortHandler:
			aborted = true
		default:
			panic(e)
		}
	}()
	p.ServeHTTP(w, req)
	return false
}

// ran is how many times a request has come to backends without proof that it did not run; prefills don't count.
func (r *exchangeRig) ran(id string) int {
	n := 0
	for _, at := range r.reaches {
		if at.id == id && at.stage == "" && !at.proved {
			n++
		}
	}
	return n
}

// completeAnswer is the body of a complete answer to a request.
func (r *exchangeRig) completeAnswer(id string) string {
	if !r.kind.stream() {
		return "answer to " + id
	}
	var b strings.Builder
	for i := range exchangeEvents {
		fmt.Fprintf(&b, "id: %d\ndata: answer to %s\n\n", i+1, id)
	}
	return b.String()
}

// judgeOutcome holds what a client has got against what it may get: its own answer, or none.
func (r *exchangeRig) judgeOutcome(id string, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	bad := func(format string, args ...any) {
		r.find("%s: status %d, broken off %v, after %v, %q, reached %v: %s",
			id, o.status, o.broken, o.took, o.body, r.reaches, fmt.Sprintf(format, args...))
	}
	if o.took > exchangeDeadline {
		bad("too late")
	}
	if got := o.header[externalapi.HeaderAttemptID]; o.status != 0 && !slices.Equal(got, []string{id}) {
		bad("it bears the ids %q", got)
	}
	seal := o.header.Get(externalapi.HeaderBackendSeal)
	if seal != "" && seal != "of-"+id {
		bad("it bears the seal %q", seal)
	}
	switch {
	case o.status == 0:
	case o.status < 300 && seal == "":
		bad("a success without a seal")
	case o.status == http.StatusOK && o.broken:
		if !strings.HasPrefix(r.completeAnswer(id), o.body) {
			bad("another's bytes")
		}
	case o.status == http.StatusOK:
		if o.body != r.completeAnswer(id) && r.method(id) != http.MethodHead {
			bad("not its answer")
		}
	case impliesNotRun(o.status):
		if r.ran(id) > 0 {
			bad("promises that it has not run")
		}
		if seal != "" {
			bad("a promise of the proxy's own with a seal")
		}
	case strings.Contains(o.body, "answer to "):
		bad("a failure with an answer")
	}
	if !r.kind.idempotent() && r.ran(id) > 1 {
		bad("it has come to backends %d times", r.ran(id))
	}
}

// play plays one case: a request before, where the connection is to be one that has been used, the victim's, and others
// after it on what it left behind. It returns what the victim got, and what was found.
func (r *exchangeRig) play(pooled bool) (victim outcome, found []string) {
	defer r.proxy.pool.Close()
	if pooled {
		r.judgeServed("before")
		settle()
	}
	victim = r.ask(victimID)
	r.judgeOutcome(victimID, victim)
	if r.struck == nil {
		r.find("the fault did not strike")
		return victim, r.found
	}
	if pooled != (r.struck.carried > 1) {
		r.find("the connection that breaks has carried %d requests", r.struck.carried)
	}
	if !r.left.IsZero() {
		r.judgeLeft()
	}
	r.list(true) // what follows goes where the fault struck
	for _, id := range []string{"after", "after-that"} {
		settle()
		r.judgeServed(id)
	}
	return victim, r.found
}

// settle lets the pool's rest of a connection pass, on the clock of the test.
func settle() { time.Sleep(5 * time.Millisecond) }

// judgeServed makes a request that has to be served.
func (r *exchangeRig) judgeServed(id string) {
	o := r.ask(id)
	r.judgeOutcome(id, o)
	if o.status != http.StatusOK || o.broken {
		r.find("%s is not served: %d %q", id, o.status, o.body)
	}
}

// judgeLeft looks at what remains of a request half a second after its client left.
func (r *exchangeRig) judgeLeft() {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.struck
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed || c.closedAt.Sub(r.left) > 500*time.Millisecond {
		r.find("the backend's connection outlives the client's by %v", c.closedAt.Sub(r.left))
	}
}

// framedUntil gives the bytes of an answer up to k, and then the end given.
func framedUntil(k int, end error) func(*exchangeRig, *scriptedConn, []byte, *validAnswer) reply {
	return func(_ *exchangeRig, _ *scriptedConn, _ []byte, a *validAnswer) reply {
		b := a.framed()
		return reply{taken: -1, bytes: b[:min(k, len(b)-1)], end: end}
	}
}

// sample is the struck call as it is where all is well: the request as it goes out, and its answer.
type sample struct {
	request []byte
	answer  *validAnswer
}

// sampleExchange gives the sample of a kind of request.
func sampleExchange(kind requestKind) (s sample) {
	r := newExchangeRig(kind, breakage{"sample", func(_ *exchangeRig, _ *scriptedConn, raw []byte, a *validAnswer) reply {
		s = sample{bytes.Clone(raw), a}
		return reply{taken: -1, bytes: a.framed()}
	}})
	if o, found := r.play(false); s.answer == nil || o.status != http.StatusOK || len(found) > 0 {
		panic(fmt.Sprintf("%s without a fault: %d %q, %v", kind.name, o.status, o.body, found))
	}
	return s
}

// clientLeaves has the victim's client leave once what its backend says now has been read.
func (r *exchangeRig) clientLeaves(c *scriptedConn) {
	go func() {
		time.Sleep(time.Millisecond) // on the clock of the test: all that can be read until then is read
		r.mu.Lock()
		r.left = time.Now()
		r.cancel()
		r.mu.Unlock()
	}()
}
