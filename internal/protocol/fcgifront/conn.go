package fcgifront

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"molepaddle/internal/core"
	"molepaddle/internal/decide/sharing"
	"molepaddle/internal/protocol/fcgi"
	"molepaddle/internal/protocol/intake"
	"molepaddle/internal/protocol/sockets"
	"molepaddle/internal/protocol/window"
)

// readSize is the size of a connection's read buffer, pieceSize that of the chunks in which bodies are forwarded.
const readSize, pieceSize = 4 << 10, 16 << 10

var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// conn is a client connection.
type conn struct {
	f *Front
	net.Conn
	writeMu sync.Mutex // held while writing

	mu     sync.Mutex
	state  *sharing.Conn
	open   map[uint16]*request
	since  time.Time // when it became idle
	ending bool      // input is discarded
}

// request is an open request. It belongs to the connection's reader until it is dispatched; fields guarded by the
// connection's lock are marked.
type request struct {
	c        *conn
	id       uint16
	params   []byte        // at most maxParams bytes; its capacity is taken from the budget
	body     []byte        // at most core.MaxBody bytes; likewise
	declared int64         // declared length of the body; -1: unknown
	received int64         // bytes of the body received; written under the connection's lock
	req      *core.Request // set once its params are complete
	wait     intake.ClientTimeout
	ready    bool // it is a request for /ready
	bodyDone bool
	ctx      context.Context
	cancel   context.CancelFunc
	waited   time.Duration // time during which the connection was not read because of its body

	// The fields below are guarded by the connection's lock.
	began       time.Time // when it began, plus the time during which the connection was not read
	last        time.Time // when bytes of it last arrived
	paramsDone  bool      // its params are complete
	allReceived bool      // params and body are complete
	dispatched  bool      // it has been given its goroutine or an answer
	bad         *intake.Problem
	flow        *flow // of a long body
	taken       int64 // bytes taken from the budget
	finished    bool  // its end is being sent
}

func newConn(f *Front, nc net.Conn) *conn {
	return &conn{f: f, Conn: nc, state: sharing.New(sharing.Limits{Requests: f.opt.Requests, Params: maxParams}),
		open: map[uint16]*request{}, since: time.Now()}
}

// idle reports whether no request is open, and since when.
func (c *conn) idle() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0, c.since
}

// end stops accepting requests unless one is open or bytes are unread, and reports whether it did.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 || sockets.Pending(c.Conn) == 1 {
		return false
	}
	c.ending = true
	return true
}

// check ends requests that are late, and the connection if it has been idle for too long or clients are sent away.
func (c *conn) check(now time.Time) {
	c.mu.Lock()
	var late []*request
	for _, q := range c.open {
		if q.allReceived || q.bad != nil {
			continue
		}
		due := q.began.Add(c.f.opt.HeadWithin)
		if q.paramsDone {
			due = c.f.pace().Until(q.began, q.last, q.received)
		}
		if now.After(due) {
			q.bad = &intake.Problem{Status: http.StatusRequestTimeout, Text: "did not come whole"}
			c.state.DiscardInput(q.id)
			late = append(late, q)
		}
	}
	leaving := c.f.life.Leaving()
	if leaving {
		c.state.CloseWhenIdle()
	}
	over := len(c.open) == 0 && !c.ending && (leaving || now.Sub(c.since) > c.f.opt.KeepIdle)
	c.mu.Unlock()
	for _, q := range late {
		go q.fail() // the client may not be reading, and the other connections still have to be checked
	}
	if over && c.end() {
		c.Close()
	}
}

// kinds maps record types to package sharing's kinds.
var kinds = map[fcgi.Type]sharing.Kind{fcgi.BeginRequest: sharing.BeginRequest, fcgi.AbortRequest: sharing.AbortRequest, fcgi.Params: sharing.ParamsStream,
	fcgi.Stdin: sharing.StdinStream, fcgi.Data: sharing.ExtraStream, fcgi.GetValues: sharing.ValuesQuery}

// read reads the connection until it ends, then ends its open requests.
func (c *conn) read() {
	defer c.endAll()
	in := fcgi.NewReader(bufio.NewReaderSize(c.Conn, readSize))
	for {
		h, err := in.Next()
		if err != nil {
			return
		}
		kind, known := kinds[h.Type]
		if !known {
			kind = sharing.Other
		}
		rec := sharing.Record{ID: h.ID, Kind: kind, Length: h.Length}
		if kind == sharing.BeginRequest {
			var content [fcgi.HeaderLen]byte
			raw, err := in.Content(content[:])
			if err != nil {
				return
			}
			b, err := fcgi.ParseBegin(raw)
			if err != nil {
				return
			}
			rec.Responder, rec.KeepConn = b.Role == fcgi.Responder, b.Keep
		}
		if !c.record(in, rec, h) {
			return
		}
	}
}

// record handles one record; false: the connection must be closed.
func (c *conn) record(in *fcgi.Reader, rec sharing.Record, h fcgi.Header) bool {
	now := time.Now()
	c.mu.Lock()
	if c.ending {
		c.mu.Unlock()
		return true // read and discarded
	}
	v := c.state.Record(rec)
	q := c.open[rec.ID]
	switch v {
	case sharing.Begin:
		q = &request{c: c, id: rec.ID, declared: -1, began: now, last: now}
		q.ctx, q.cancel = context.WithCancel(context.Background())
		c.open[rec.ID] = q
	case sharing.AppendBody, sharing.AppendParams:
		q.last = now
	case sharing.ParamsComplete:
		q.began, q.last, q.paramsDone = now, now, true // the time for its body starts
	case sharing.BodyComplete:
		q.bodyDone = true
	}
	c.mu.Unlock()
	switch v {
	case sharing.AppendParams:
		return q.takeParams(in, rec.Length)
	case sharing.ParamsComplete:
		q.read()
	case sharing.AppendBody:
		return q.takeBody(in)
	case sharing.BodyComplete:
		q.complete()
	case sharing.Abort:
		q.cancel()
		q.refuse(&intake.Problem{}) // the client does not expect an answer
	case sharing.ParamsTooLong:
		q.refuse(&intake.Problem{Status: http.StatusRequestHeaderFieldsTooLarge, Text: "params: above 32 KiB"})
	case sharing.RejectOverloaded:
		return c.reject(rec.ID, fcgi.Overloaded)
	case sharing.RejectRole:
		return c.reject(rec.ID, fcgi.UnknownRole)
	case sharing.ReplyValues:
		return c.values(in)
	case sharing.ReplyUnknownType:
		return c.write(fcgi.AppendUnknown(nil, h.Type)) == nil
	case sharing.CloseConnection:
		return false
	}
	return true
}

// endAll ends all open requests of a connection that has ended.
func (c *conn) endAll() {
	c.Close()
	c.mu.Lock()
	c.ending = true
	open := make([]*request, 0, len(c.open))
	for _, q := range c.open {
		open = append(open, q)
	}
	c.mu.Unlock()
	for _, q := range open {
		q.cancel()
		q.refuse(&intake.Problem{})
	}
	c.f.drop(c)
}

// write writes complete records. If a write fails, the connection is closed.
func (c *conn) write(out []byte) error {
	c.mu.Lock()
	patience := intake.ResponseStallTimeout
	if len(c.open) > 1 {
		patience = sharedWriteTimeout
	}
	c.mu.Unlock()
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(patience))
	_, err := c.Conn.Write(out)
	if err != nil {
		c.Conn.Close()
	}
	return err
}

// reject rejects a request that has not been accepted.
func (c *conn) reject(id uint16, why fcgi.Status) bool {
	if c.write(fcgi.AppendEnd(nil, id, fcgi.End{Status: why})) != nil {
		return false
	}
	c.mu.Lock()
	ending := c.state.ShouldClose()
	c.mu.Unlock()
	if ending {
		c.linger()
	}
	return true
}

// values answers GET_VALUES with the requested variables that are known.
func (c *conn) values(in *fcgi.Reader) bool {
	var room [maxValues]byte
	raw, err := in.Content(room[:])
	if err != nil {
		return false
	}
	var pairs []byte
	for len(raw) > 0 {
		name, _, rest, err := fcgi.NextPair(raw)
		if err != nil {
			break
		}
		raw = rest
		switch string(name) {
		case fcgi.MaxConns:
			pairs = fcgi.AppendPair(pairs, fcgi.MaxConns, strconv.Itoa(c.f.opt.Connections))
		case fcgi.MaxReqs:
			pairs = fcgi.AppendPair(pairs, fcgi.MaxReqs, strconv.Itoa(c.f.opt.Connections*c.f.opt.Requests))
		case fcgi.MpxsConn:
			pairs = fcgi.AppendPair(pairs, fcgi.MpxsConn, "1")
		}
	}
	return c.write(fcgi.Append(nil, fcgi.GetValuesResult, 0, pairs)) == nil
}

// linger closes the sending side and discards input for a while: if the connection were closed with unread bytes, the
// resulting reset could destroy an answer that the client has not read.
func (c *conn) linger() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerFor))
}

// finish sends the last of a request's answer and its END_REQUEST. The id is free just before that, as the client may
// reuse it as soon as it has read the record.
func (q *request) finish(out []byte, app uint32) {
	c := q.c
	q.cancel()
	c.mu.Lock()
	c.state.End(q.id)
	delete(c.open, q.id)
	taken := q.taken
	q.taken, q.finished, c.since = 0, true, time.Now()
	if c.f.life.Leaving() {
		c.state.CloseWhenIdle()
	}
	ending := c.state.ShouldClose()
	c.mu.Unlock()
	c.f.opt.Budget.Give(taken)
	if c.write(fcgi.AppendEnd(out, q.id, fcgi.End{App: app})) == nil && ending {
		c.linger()
	}
}

// stdout returns the STDOUT records of a short answer, without END_REQUEST.
func (q *request) stdout(head string, body []byte) []byte {
	out := make([]byte, 0, len(head)+len(body)+64)
	out = fcgi.AppendStream(out, fcgi.Stdout, q.id, append([]byte(head), body...))
	return fcgi.Append(out, fcgi.Stdout, q.id, nil)
}

// refuse ends a request because of a problem: at once if it was not dispatched; otherwise its goroutine writes the
// answer, which may be on its way already. A problem without a status is not answered.
func (q *request) refuse(bad *intake.Problem) {
	c := q.c
	c.mu.Lock()
	if q.bad == nil {
		q.bad = bad
	}
	c.state.DiscardInput(q.id)
	c.mu.Unlock()
	q.fail()
}

// fail ends the request as q.bad requires.
func (q *request) fail() {
	q.c.mu.Lock()
	handed, flow, bad := q.dispatched, q.flow, q.bad
	q.dispatched = true // ended only once
	q.c.mu.Unlock()
	if flow != nil {
		flow.end(errors.New("body: " + bad.Text))
	}
	if !handed {
		q.answerProblem(bad)
	}
}

func (q *request) answerProblem(bad *intake.Problem) {
	if bad.Status == 0 {
		q.finish(nil, 0)
		return
	}
	q.finish(q.stdout(statusLine(bad.Status)+"Content-Type: text/plain\r\n\r\n", []byte(bad.Text+"\n")), 0)
}

// grow grows a slice for n more bytes, up to most, and takes the growth from the budget; false: no memory is left.
func (q *request) grow(have []byte, n, most int) ([]byte, bool) {
	if len(have)+n <= cap(have) {
		return have, true
	}
	size := min(max(2*cap(have), len(have)+n, 512), most)
	more := int64(size - cap(have))
	if !q.c.f.opt.Budget.Take(more) || !q.account(more) {
		q.c.f.opt.Budget.Give(more)
		return have, false
	}
	next := make([]byte, len(have), size)
	copy(next, have)
	return next, true
}

// account records bytes taken from the budget or, if negative, returned to it; false: the request is finished.
func (q *request) account(bytes int64) bool {
	q.c.mu.Lock()
	defer q.c.mu.Unlock()
	if !q.finished {
		q.taken += bytes
	}
	return !q.finished
}

var errNoMemory = intake.Problem{Status: http.StatusServiceUnavailable, Text: "no memory left"}

func (q *request) takeParams(in *fcgi.Reader, n int) bool {
	params, ok := q.grow(q.params, n, maxParams)
	if !ok {
		q.refuse(&errNoMemory)
		return true
	}
	at := len(params)
	q.params = params[:at+n]
	_, err := io.ReadFull(in, q.params[at:])
	return err == nil
}

// read parses the request's params, once they are complete.
func (q *request) read() {
	f, bad := fields(q.params)
	if held := int64(cap(q.params)); q.account(-held) {
		q.c.f.opt.Budget.Give(held)
	}
	q.params = nil
	if bad != nil {
		q.refuse(bad)
		return
	}
	q.declared = f.Length
	if q.ready = f.Method == http.MethodGet && f.Path == "/ready"; !q.ready {
		if f.ID == "" {
			f.ID = q.c.f.ids.next()
		}
		if q.req, q.wait, bad = intake.Read(q.c.f.view.Load(), f, true); bad != nil {
			q.refuse(bad)
			return
		}
	}
	switch {
	case q.bodyDone:
		q.complete()
	case q.declared >= 0 && q.received > q.declared:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: longer than CONTENT_LENGTH"})
	}
}

// takeBody reads one record of the body. Short bodies are held, of a long one the first part; the rest goes into its
// window.
func (q *request) takeBody(in *fcgi.Reader) bool {
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for {
		n, err := in.Read(*buf)
		if n > 0 {
			q.c.mu.Lock()
			q.received += int64(n)
			q.c.mu.Unlock()
			q.take((*buf)[:n])
		}
		if err == io.EOF {
			return true
		} else if err != nil {
			return false
		}
	}
}

func (q *request) take(piece []byte) {
	q.c.mu.Lock()
	flow, bad := q.flow, q.bad
	q.c.mu.Unlock()
	switch {
	case bad != nil: // the request has failed
		return
	case q.received > window.Most:
		q.refuse(&intake.Problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 32 MiB"})
		return
	case q.declared >= 0 && q.received > q.declared:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: longer than CONTENT_LENGTH"})
		return
	case flow != nil:
		q.put(flow, piece)
		return
	}
	if len(q.body)+len(piece) <= core.MaxBody {
		if body, ok := q.grow(q.body, len(piece), core.MaxBody); ok {
			q.body = append(body, piece...)
			return
		}
	}
	// The body is long, or there is no memory to hold it.
	if q.c.f.opt.Short && q.received > core.MaxBody {
		q.refuse(&intake.Problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 64 KiB"})
		return
	}
	if q.req == nil || q.c.f.opt.Short || len(q.body) == 0 && q.declared >= 0 && q.declared <= core.MaxBody {
		q.refuse(&errNoMemory)
		return
	}
	q.req.Message.Body, q.req.Message.Length = q.body[:len(q.body):len(q.body)], q.declared
	flow = newFlow(q.c.f.opt.Budget)
	q.req.Message.Stream = flow.pipe
	q.wait.SetDeadline(q.req, time.Now(), q.c.f.pace())
	q.c.mu.Lock()
	q.flow = flow
	q.c.mu.Unlock()
	go flow.pump(q.ctx)
	q.dispatch()
	q.put(flow, piece)
}

// put forwards or buffers a piece of a long body, waits, or ends the request, as package sharing decides.
func (q *request) put(flow *flow, piece []byte) {
	c, budget := q.c, q.c.f.opt.Budget
	for {
		left := flow.changed()
		room := budget.Take(int64(len(piece)))
		c.mu.Lock()
		others := len(c.open) - 1
		c.mu.Unlock()
		hold, most := sharing.BackpressureFor(len(piece), sharing.Body{Buffered: flow.held(), Received: q.received, Paused: q.waited, OtherRequests: others, HasBudget: room})
		switch hold {
		case sharing.Buffer:
			flow.put(piece) // returns the bytes to the budget later
			return
		case sharing.Terminate:
			budget.Give(int64(len(piece)))
			q.refuse(&intake.Problem{Status: http.StatusServiceUnavailable, Text: "body: its server is too slow for a shared connection"})
			return
		}
		budget.Give(int64(len(piece)))
		began, enough := time.Now(), (<-chan time.Time)(nil)
		if most > 0 {
			enough = time.After(most)
		}
		select {
		case <-left:
		case <-enough:
		case <-q.ctx.Done():
			return
		}
		waited := time.Since(began)
		q.waited += waited
		c.mu.Lock() // the client is not charged for the time when nothing was read
		q.began, q.last = q.began.Add(waited), time.Now()
		c.mu.Unlock()
	}
}

// complete handles the end of a body; the params may still be incomplete.
func (q *request) complete() {
	c := q.c
	c.mu.Lock()
	asked, flow, bad := q.paramsDone, q.flow, q.bad
	q.allReceived = asked
	c.mu.Unlock()
	switch {
	case bad != nil || !asked:
	case q.declared >= 0 && q.received != q.declared:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: not as long as CONTENT_LENGTH"})
	case flow != nil:
		flow.end(nil)
	case q.ready:
		q.dispatch()
	default:
		q.req.Message.Body = q.body
		q.wait.SetDeadline(q.req, time.Now(), c.f.pace())
		q.dispatch()
	}
}

// dispatch starts the request's goroutine, at most once.
func (q *request) dispatch() {
	q.c.mu.Lock()
	first := !q.dispatched
	q.dispatched = true
	q.c.mu.Unlock()
	if first {
		q.c.f.working.Add(1)
		go q.serve()
	}
}

func (q *request) serve() {
	f, answered := q.c.f, false
	defer f.working.Add(-1)
	defer func() {
		if p := recover(); p != nil {
			f.opt.Log.Error("panic in request handler", "panic", p, "stack", string(debug.Stack()))
			if !answered {
				q.finish(q.stdout(statusLine(http.StatusInternalServerError)+"\r\n", nil), 1)
			}
		}
	}()
	if q.ready {
		status := http.StatusOK
		if !f.life.AnswerReady(f.core.Ready()) {
			status = http.StatusServiceUnavailable
		}
		answered = true
		q.finish(q.stdout(statusLine(status)+"\r\n", nil), 0)
		return
	}
	ans := f.core.Do(q.ctx, q.req)
	if q.flow != nil {
		q.flow.leave()
		q.c.mu.Lock()
		bad := q.bad
		q.c.state.DiscardInput(q.id) // input that still arrives for it is discarded
		q.c.mu.Unlock()
		if bad != nil && ans.Outcome != core.Served && bad.Status != http.StatusServiceUnavailable {
			answered = true
			q.answerProblem(bad)
			return
		}
	}
	answered = true
	switch ans.Outcome {
	case core.ClientGone:
		q.finish(nil, 0) // the client aborted it
	case core.Served:
		if ans.Stream != nil {
			q.streamAnswer(ans)
			return
		}
		length := int64(len(ans.Body))
		if q.req.Message.Method == http.MethodHead {
			length = ans.Length
		}
		q.finish(q.stdout(head(ans.ContentType, length), ans.Body), 0)
	case core.Refused:
		more := ""
		if ans.RetryAfter > 0 {
			more = "Retry-After: " + strconv.FormatFloat(ans.RetryAfter.Seconds(), 'f', -1, 64) + "\r\n"
		}
		q.finish(q.stdout(statusLine(http.StatusServiceUnavailable)+more+"\r\n", nil), 0)
	case core.Duplicate:
		q.answerProblem(&intake.Problem{Status: http.StatusConflict, Text: "Request-Id: came before"})
	case core.DeadlineExceeded:
		q.finish(q.stdout(statusLine(http.StatusGatewayTimeout)+"\r\n", nil), 0)
	default:
		q.finish(q.stdout(statusLine(http.StatusBadGateway)+"\r\n", nil), 0)
	}
}

// head returns the CGI header of a served answer; a negative length is omitted.
func head(kind string, length int64) string {
	text := statusLine(http.StatusOK)
	if kind != "" {
		text += "Content-Type: " + kind + "\r\n"
	}
	if length >= 0 {
		text += "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n"
	}
	return text + "\r\n"
}

// streamAnswer forwards an answer as it arrives. If it breaks off, the request ends with an application status. If the
// length is unknown and no other request shares the connection, the connection is closed too, as the client could not
// otherwise tell.
func (q *request) streamAnswer(ans core.Answer) {
	defer ans.Stream.Leave()
	c := q.c
	out := fcgi.AppendStream(nil, fcgi.Stdout, q.id, append([]byte(head(ans.ContentType, ans.Length)), ans.Body...))
	buf := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(buf)
	for {
		if !ans.Stream.Waiting() && len(out) > 0 { // write before waiting: bytes that have arrived are not delayed
			if c.write(out) != nil {
				q.finish(nil, 1)
				return
			}
			out = out[:0]
		}
		n, err := ans.Stream.Read(q.ctx, *buf)
		out = fcgi.AppendStream(out, fcgi.Stdout, q.id, (*buf)[:n])
		switch {
		case err == io.EOF:
			q.finish(fcgi.Append(out, fcgi.Stdout, q.id, nil), 0)
			return
		case q.ctx.Err() != nil:
			q.finish(nil, 0) // the client aborted it
			return
		case err != nil:
			c.mu.Lock()
			alone := len(c.open) == 1
			c.mu.Unlock()
			if alone && ans.Length < 0 {
				c.Conn.Close()
			}
			out = fcgi.Append(out, fcgi.Stderr, q.id, []byte("molepaddle: the server's answer broke off\n"))
			q.finish(out, 1)
			return
		case len(out) >= pieceSize:
			if c.write(out) != nil {
				q.finish(nil, 1)
				return
			}
			out = out[:0]
		}
	}
}
