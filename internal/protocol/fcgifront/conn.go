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

// readSize is the buffer that a connection is read through, pieceSize what is passed on at once.
const readSize, pieceSize = 4 << 10, 16 << 10

var pieces = sync.Pool{New: func() any { b := make([]byte, pieceSize); return &b }}

// conn is a client's connection.
type conn struct {
	f *Front
	net.Conn
	turn sync.Mutex // whoever writes has it

	mu     sync.Mutex
	state  *sharing.Conn
	open   map[uint16]*request
	since  time.Time // when it came to be idle
	ending bool      // nothing is taken any more
}

// request is one on its way. Until it is handed on it belongs to the connection's reader; what the
// connection's lock guards is said.
type request struct {
	c      *conn
	id     uint16
	params []byte        // at most maxParams; what it can hold is taken from the budget
	body   []byte        // the same; at most core.MaxBody
	told   int64         // the body's length; -1: not told
	came   int64         // bytes of it; written under the connection's lock
	req    *core.Request // once its params are whole
	wait   intake.ClientTimeout
	ready  bool // it asks for /ready
	whole  bool
	ctx    context.Context
	cancel context.CancelFunc
	waited time.Duration // with nothing read from the connection, for its body's sake

	// What stands below is guarded by the connection's lock.
	began  time.Time // when it began, later by what was not read in the meantime
	last   time.Time // when something of it came
	asked  bool      // its params have come
	all    bool      // all of it has come
	handed bool      // it has a goroutine
	bad    *intake.Problem
	flow   *flow // of a long body
	taken  int64 // bytes of the budget
	over   bool  // its end is sent
}

func newConn(f *Front, nc net.Conn) *conn {
	return &conn{f: f, Conn: nc, state: sharing.New(sharing.Limits{Requests: f.opt.Requests, Params: maxParams}),
		open: map[uint16]*request{}, since: time.Now()}
}

// idle tells whether nothing is open, and since when.
func (c *conn) idle() (bool, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) == 0, c.since
}

// end has nothing taken any more, unless something is open or has come; it reports whether it has.
func (c *conn) end() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) > 0 || sockets.Pending(c.Conn) == 1 {
		return false
	}
	c.ending = true
	return true
}

// look ends what is late, and the connection when it has been idle for too long or is to leave.
func (c *conn) look(now time.Time) {
	c.mu.Lock()
	var late []*request
	for _, q := range c.open {
		if q.all || q.bad != nil {
			continue
		}
		due := q.began.Add(c.f.opt.HeadWithin)
		if q.asked {
			due = c.f.pace().Until(q.began, q.last, q.came)
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
		go q.fail() // its client may read nothing for a while, and others wait to be looked at
	}
	if over && c.end() {
		c.Close()
	}
}

// kinds are the records' types as sharing has them.
var kinds = map[fcgi.Type]sharing.Kind{fcgi.BeginRequest: sharing.BeginRequest, fcgi.AbortRequest: sharing.AbortRequest, fcgi.Params: sharing.ParamsStream,
	fcgi.Stdin: sharing.StdinStream, fcgi.Data: sharing.ExtraStream, fcgi.GetValues: sharing.ValuesQuery}

// read reads the connection to its end, and ends what is open on it then.
func (c *conn) read() {
	defer c.over()
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

// record does what a record calls for; false: the connection is to end.
func (c *conn) record(in *fcgi.Reader, rec sharing.Record, h fcgi.Header) bool {
	now := time.Now()
	c.mu.Lock()
	if c.ending {
		c.mu.Unlock()
		return true // read and dropped
	}
	v := c.state.Record(rec)
	q := c.open[rec.ID]
	switch v {
	case sharing.Begin:
		q = &request{c: c, id: rec.ID, told: -1, began: now, last: now}
		q.ctx, q.cancel = context.WithCancel(context.Background())
		c.open[rec.ID] = q
	case sharing.AppendBody, sharing.AppendParams:
		q.last = now
	case sharing.ParamsComplete:
		q.began, q.last, q.asked = now, now, true // its body's time begins
	case sharing.BodyComplete:
		q.whole = true
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
		q.refuse(&intake.Problem{}) // nobody reads its answer
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

// over ends all that is open on a connection that has ended.
func (c *conn) over() {
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

// write writes whole records. A connection on which no more can be written is closed.
func (c *conn) write(out []byte) error {
	c.mu.Lock()
	patience := intake.ResponseStallTimeout
	if len(c.open) > 1 {
		patience = stuckFor
	}
	c.mu.Unlock()
	c.turn.Lock()
	defer c.turn.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(patience))
	_, err := c.Conn.Write(out)
	if err != nil {
		c.Conn.Close()
	}
	return err
}

// reject rejects a request that has not been taken.
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

// values answers GET_VALUES: what is asked for and known.
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

// linger ends the sending, and has what still comes dropped for a while: closed with bytes unread, the
// connection would take the answer back that its client has not read.
func (c *conn) linger() {
	c.mu.Lock()
	c.ending = true
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerFor))
}

// finish sends the last of a request's answer and its end. Its id is free from just before that, as its client
// may begin another as soon as it has read it.
func (q *request) finish(out []byte, app uint32) {
	c := q.c
	q.cancel()
	c.mu.Lock()
	c.state.End(q.id)
	delete(c.open, q.id)
	taken := q.taken
	q.taken, q.over, c.since = 0, true, time.Now()
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

// stdout is a short answer's records, without its end.
func (q *request) stdout(head string, body []byte) []byte {
	out := make([]byte, 0, len(head)+len(body)+64)
	out = fcgi.AppendStream(out, fcgi.Stdout, q.id, append([]byte(head), body...))
	return fcgi.Append(out, fcgi.Stdout, q.id, nil)
}

// refuse ends a request for what is wrong with it: at once if it was not handed on; else whoever has it words
// the answer, as it may be on its way. A problem without a status is nobody's to read.
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

// fail does what q.bad calls for.
func (q *request) fail() {
	q.c.mu.Lock()
	handed, flow, bad := q.handed, q.flow, q.bad
	q.handed = true // it is ended once
	q.c.mu.Unlock()
	if flow != nil {
		flow.end(errors.New("body: " + bad.Text))
	}
	if !handed {
		q.answerBad(bad)
	}
}

func (q *request) answerBad(bad *intake.Problem) {
	if bad.Status == 0 {
		q.finish(nil, 0)
		return
	}
	q.finish(q.stdout(word(bad.Status)+"Content-Type: text/plain\r\n\r\n", []byte(bad.Text+"\n")), 0)
}

// room takes bytes from the budget for a slice that is to hold n more, and grows it.
func (q *request) room(have []byte, n, most int) ([]byte, bool) {
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

// account notes bytes that were taken from the budget, or are given back; false: the request is over.
func (q *request) account(bytes int64) bool {
	q.c.mu.Lock()
	defer q.c.mu.Unlock()
	if !q.over {
		q.taken += bytes
	}
	return !q.over
}

var errNoMemory = intake.Problem{Status: http.StatusServiceUnavailable, Text: "no memory left"}

func (q *request) takeParams(in *fcgi.Reader, n int) bool {
	params, ok := q.room(q.params, n, maxParams)
	if !ok {
		q.refuse(&errNoMemory)
		return true
	}
	at := len(params)
	q.params = params[:at+n]
	_, err := io.ReadFull(in, q.params[at:])
	return err == nil
}

// read reads the request's params, now that they are whole.
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
	q.told = f.Length
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
	case q.whole:
		q.complete()
	case q.told >= 0 && q.came > q.told:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: longer than CONTENT_LENGTH"})
	}
}

// takeBody takes a piece of the body: short ones are held, of a long one the first part; the rest goes into
// its window.
func (q *request) takeBody(in *fcgi.Reader) bool {
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	for {
		n, err := in.Read(*buf)
		if n > 0 {
			q.c.mu.Lock()
			q.came += int64(n)
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
	case bad != nil: // it is over
		return
	case q.came > window.Most:
		q.refuse(&intake.Problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 32 MiB"})
		return
	case q.told >= 0 && q.came > q.told:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: longer than CONTENT_LENGTH"})
		return
	case flow != nil:
		q.put(flow, piece)
		return
	}
	if len(q.body)+len(piece) <= core.MaxBody {
		if body, ok := q.room(q.body, len(piece), core.MaxBody); ok {
			q.body = append(body, piece...)
			return
		}
	}
	// It is long, or there is no memory to hold it.
	if q.c.f.opt.Short && q.came > core.MaxBody {
		q.refuse(&intake.Problem{Status: http.StatusRequestEntityTooLarge, Text: "body: above 64 KiB"})
		return
	}
	if q.req == nil || q.c.f.opt.Short || len(q.body) == 0 && q.told >= 0 && q.told <= core.MaxBody {
		q.refuse(&errNoMemory)
		return
	}
	q.req.Message.Body, q.req.Message.Length = q.body[:len(q.body):len(q.body)], q.told
	flow = newFlow(q.c.f.opt.Budget)
	q.req.Message.Stream = flow.pipe
	q.wait.SetDeadline(q.req, time.Now(), q.c.f.pace())
	q.c.mu.Lock()
	q.flow = flow
	q.c.mu.Unlock()
	go flow.pump(q.ctx)
	q.handOn()
	q.put(flow, piece)
}

// put passes a piece of a long body on, holds it, waits, or has the request give way, as sharing has it.
func (q *request) put(flow *flow, piece []byte) {
	c, budget := q.c, q.c.f.opt.Budget
	for {
		left := flow.changed()
		room := budget.Take(int64(len(piece)))
		c.mu.Lock()
		others := len(c.open) - 1
		c.mu.Unlock()
		hold, most := sharing.BackpressureFor(len(piece), sharing.Body{Buffered: flow.held(), Received: q.came, Paused: q.waited, OtherRequests: others, HasBudget: room})
		switch hold {
		case sharing.Buffer:
			flow.put(piece) // and gives back what was taken
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
		c.mu.Lock() // what was not read is not its client's time
		q.began, q.last = q.began.Add(waited), time.Now()
		c.mu.Unlock()
	}
}

// complete is for a request of which all has come, but perhaps its params.
func (q *request) complete() {
	c := q.c
	c.mu.Lock()
	asked, flow, bad := q.asked, q.flow, q.bad
	q.all = asked
	c.mu.Unlock()
	switch {
	case bad != nil || !asked:
	case q.told >= 0 && q.came != q.told:
		q.refuse(&intake.Problem{Status: http.StatusBadRequest, Text: "body: not as long as CONTENT_LENGTH"})
	case flow != nil:
		flow.end(nil)
	case q.ready:
		q.handOn()
	default:
		q.req.Message.Body = q.body
		q.wait.SetDeadline(q.req, time.Now(), c.f.pace())
		q.handOn()
	}
}

// handOn gives the request its goroutine.
func (q *request) handOn() {
	q.c.mu.Lock()
	first := !q.handed
	q.handed = true
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
			f.opt.Log.Error("panic in a handler", "panic", p, "stack", string(debug.Stack()))
			if !answered {
				q.finish(q.stdout(word(http.StatusInternalServerError)+"\r\n", nil), 1)
			}
		}
	}()
	if q.ready {
		status := http.StatusOK
		if !f.life.AnswerReady(f.core.Ready()) {
			status = http.StatusServiceUnavailable
		}
		answered = true
		q.finish(q.stdout(word(status)+"\r\n", nil), 0)
		return
	}
	ans := f.core.Do(q.ctx, q.req)
	if q.flow != nil {
		q.flow.leave()
		q.c.mu.Lock()
		bad := q.bad
		q.c.state.DiscardInput(q.id) // what still comes of it is nobody's
		q.c.mu.Unlock()
		if bad != nil && ans.Outcome != core.Served && bad.Status != http.StatusServiceUnavailable {
			answered = true
			q.answerBad(bad)
			return
		}
	}
	answered = true
	switch ans.Outcome {
	case core.ClientGone:
		q.finish(nil, 0) // its client has aborted it
	case core.Served:
		if ans.Stream != nil {
			q.pass(ans)
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
		q.finish(q.stdout(word(http.StatusServiceUnavailable)+more+"\r\n", nil), 0)
	case core.Duplicate:
		q.answerBad(&intake.Problem{Status: http.StatusConflict, Text: "Request-Id: came before"})
	case core.DeadlineExceeded:
		q.finish(q.stdout(word(http.StatusGatewayTimeout)+"\r\n", nil), 0)
	default:
		q.finish(q.stdout(word(http.StatusBadGateway)+"\r\n", nil), 0)
	}
}

// head is the head of a served answer; a length below 0 is not told.
func head(kind string, length int64) string {
	text := word(http.StatusOK)
	if kind != "" {
		text += "Content-Type: " + kind + "\r\n"
	}
	if length >= 0 {
		text += "Content-Length: " + strconv.FormatInt(length, 10) + "\r\n"
	}
	return text + "\r\n"
}

// pass passes on an answer as it comes. One that breaks ends with an application status, and where that is all
// by which its client could tell, and nobody shares the connection, with the connection.
func (q *request) pass(ans core.Answer) {
	defer ans.Stream.Leave()
	c := q.c
	out := fcgi.AppendStream(nil, fcgi.Stdout, q.id, append([]byte(head(ans.ContentType, ans.Length)), ans.Body...))
	buf := pieces.Get().(*[]byte)
	defer pieces.Put(buf)
	for {
		if !ans.Stream.Waiting() && len(out) > 0 { // nothing that is here is held back
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
			q.finish(nil, 0) // its client has aborted it
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
