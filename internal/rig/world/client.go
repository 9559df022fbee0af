package world

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// client is the client's end of a connection to an agent.
type client struct {
	w      *World
	p      *process
	c      *conn
	asks   []*ask // sent and not answered, in order
	buf    []byte
	served int // answers that came
	sent   int64
	odd    bool // what is sent is not to be understood
	half   bool // what is sent is not whole
	closes bool // nothing more is asked on it
	next   *ask // of which rest is to come
	rest   string
}

// ask is one sending of a request.
type ask struct {
	op     Op
	id     string
	rec    *record
	again  bool  // sent before, on a connection that was closed under it
	start  int64 // where it begins in what its connection was sent
	second bool  // the same id once more: a rejection is owed, not an answer
}

// connect opens a client's connection; nil if the agent takes none.
func (p *process) connect() *client {
	w := p.w
	if p.gone {
		return nil
	}
	c := p.net.newConn("client", "")
	w.number(c)
	k := &client{w: w, p: p, c: c}
	c.peer = k
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	if p.net.shut || p.net.dead {
		return nil
	}
	p.net.accept = append(p.net.accept, c)
	p.net.accepts.Signal()
	p.net.open++
	p.conns = append(p.conns, c)
	return k
}

// pooled gives a connection that stands idle, or a new one.
func (p *process) pooled() *client {
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if !c.gone() {
			return c.peer.(*client)
		}
	}
	return p.connect()
}

// request is the text of a request.
func (w *World) request(a *ask) string {
	o := &a.op
	method, body := "POST", strings.Repeat("b", o.Body)
	if o.Class == look {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/u%d HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: %s\r\nRequest-Timeout: %du\r\n",
		method, classNames[o.Class], o.Key, a.id, o.Timeout.Microseconds())
	if o.Class == send {
		fmt.Fprintf(&b, "Idempotency-Key: k%d\r\n", o.ID)
	}
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	return b.String() + "\r\n" + body
}

// ask plays a request.
func (w *World) ask(o Op) {
	p := w.agents[o.Agent]
	a := &ask{op: o, id: fmt.Sprintf("r%04d", o.ID)}
	switch o.Fate {
	case "silent":
		if k := p.connect(); k != nil {
			k.odd = true
		}
		return
	case "noise", "half":
		k := p.connect()
		if k == nil {
			return
		}
		k.odd = true
		k.half = o.Fate == "half"
		text := "\x16\x03\x01 what is this\r\n\r\n"
		if o.Fate == "half" {
			text = w.request(a)
			text = text[:int(float64(len(text))*w.day.draw("half", uint64(o.ID)))]
		}
		k.c.deliver([]byte(text))
		if o.For > 20*ms {
			w.after(o.For, k.c.finish)
		}
		return
	}
	var k *client
	if o.Fate == "slow-reader" {
		if k = p.connect(); k != nil {
			k.c.room = 10
			k.closes = true
			w.after(ms, k.sip)
		}
	} else {
		k = p.pooled()
	}
	if k == nil {
		return // it is not there
	}
	switch o.Fate {
	case "pieces":
		k.pieces(a)
		return
	case "pipeline":
		next := o
		next.ID += 5000
		// All of the next request comes with this one but for its last byte, which the client
		// holds back until it is answered: what is one step must not be two things at once.
		b := &ask{op: next, id: fmt.Sprintf("r%04d", next.ID)}
		text := w.request(b)
		k.send(w.request(a), a)
		if k.c.deliver([]byte(text[:len(text)-1])) {
			k.sent += int64(len(text) - 1)
			k.next, k.rest = b, text[len(text)-1:]
		}
	default:
		k.send(w.request(a), a)
	}
	switch o.Fate {
	case "leave":
		w.after(o.For, func() { k.leave(a, true) })
	case "close", "half-close":
		w.after(o.For, func() { k.leave(a, false) })
	case "twice":
		w.after(o.For/8, func() {
			if k := p.pooled(); k != nil {
				k.send(w.request(a), &ask{op: o, id: a.id, second: true})
			}
		})
	}
}

// sip lets a slow reader take a little more.
func (k *client) sip() {
	if k.c.gone() || k.w.over {
		return
	}
	k.c.grant(15)
	k.w.after(4*ms, k.sip)
}

// send hands the agent whole requests; from then on it has taken them.
func (k *client) send(text string, asks ...*ask) {
	w := k.w
	at := k.sent
	for _, a := range asks {
		a.start = at
		at += int64(len(w.request(a)))
	}
	if !k.c.deliver([]byte(text)) {
		for _, a := range asks {
			k.resend(a)
		}
		return
	}
	k.sent += int64(len(text))
	for _, a := range asks {
		w.note("a%d is asked %s on c%d (%s %s)", k.p.index, a.id, k.c.id, classNames[a.op.Class], a.op.Fate)
		k.asks = append(k.asks, a)
		if !a.second {
			a.rec = w.check.taken(k.p, a)
		}
	}
}

// pieces sends a request bit by bit.
func (k *client) pieces(a *ask) {
	w := k.w
	text := w.request(a)
	n := 2 + int(4*w.day.draw("pieces", uint64(a.op.ID)))
	apart := min(a.op.For, 600*ms) / time.Duration(n)
	start := k.sent
	for i := range n - 1 {
		from, to := i*len(text)/n, (i+1)*len(text)/n
		w.after(time.Duration(i)*apart, func() {
			if k.c.deliver([]byte(text[from:to])) {
				k.sent += int64(to - from)
			}
		})
	}
	w.after(time.Duration(n)*apart, func() {
		if k.c.gone() {
			return // closed before the last byte: not taken
		}
		k.send(text[(n-1)*len(text)/n:], a)
		a.start = start
	})
}

// resend asks once more, on a new connection, what an agent closed a connection under.
func (k *client) resend(a *ask) {
	if a.again || a.second {
		return
	}
	b := &ask{op: a.op, id: a.id, again: true}
	if n := k.p.connect(); n != nil {
		n.send(k.w.request(b), b)
	}
}

// leave is a client that goes while it waits.
func (k *client) leave(a *ask, abruptly bool) {
	if a.rec == nil || a.rec.final != "" || k.c.gone() {
		return
	}
	k.w.note("the client of %s leaves", a.id)
	k.closes = true
	for _, o := range k.asks {
		if o.rec != nil {
			k.w.check.leaves(o.rec)
		}
	}
	if abruptly {
		k.c.reset()
	} else {
		k.c.finish()
	}
}

// unchunk takes a body out of its chunks; false: it is not whole.
func unchunk(text string) (body, behind string, whole bool) {
	for {
		line, rest, found := strings.Cut(text, "\r\n")
		size, err := strconv.ParseUint(line, 16, 31)
		if !found || err != nil || len(rest) < int(size)+2 {
			return "", "", false
		}
		body, text = body+rest[:size], rest[size+2:]
		if size == 0 {
			return body, text, true
		}
	}
}

// acted takes up what the agent did on the connection.
func (k *client) acted(p *process, a act) {
	w := k.w
	k.buf = append(k.buf, a.out...)
	for len(k.buf) > 0 {
		head, rest, whole := strings.Cut(string(k.buf), "\r\n\r\n")
		if !whole {
			break
		}
		status := 0
		if _, err := fmt.Sscanf(head, "HTTP/1.1 %d", &status); err != nil {
			w.check.breach("an answer that can't be read", "c%d %.60q", k.c.id, head)
			return
		}
		length := 0
		if text := headerOf(head, "Content-Length"); text != "" {
			var err error
			if length, err = strconv.Atoi(text); err != nil {
				w.check.breach("an answer that can't be read", "c%d %.60q", k.c.id, head)
				return
			}
		} else if a.closed {
			length = len(rest)
		}
		body, behind := "", ""
		if strings.EqualFold(headerOf(head, "Transfer-Encoding"), "chunked") {
			if body, behind, whole = unchunk(rest); !whole {
				break
			}
		} else if len(rest) < length {
			break
		} else {
			body, behind = rest[:length], rest[length:]
		}
		k.buf = []byte(behind)
		k.served++
		if k.odd {
			if status < 400 || k.half && status >= 500 {
				// An agent that words it as its own or its servers' failure has taken it.
				w.check.breach("an answer to what was no request", "c%d %d", k.c.id, status)
			}
			continue
		}
		if len(k.asks) == 0 {
			w.check.breach("something is sent after the final answer", "c%d %d %.60q", k.c.id, status, body)
			return
		}
		ask := k.asks[0]
		k.asks = k.asks[1:]
		if ask.second {
			if status < 400 {
				w.check.breach("an id that came before was served", "%s", ask.id)
			}
		} else {
			w.check.final(ask.rec, status, body)
		}
		if strings.EqualFold(headerOf(head, "Connection"), "close") {
			k.closes = true
		}
	}
	if a.closed || a.ended {
		asks := k.asks
		k.asks = nil
		for _, o := range asks {
			read := k.c.read
			switch {
			case o.second || o.rec.left != 0:
			case len(k.buf) > 0:
				w.check.cut(o.rec) // begun to be passed on: the client can tell
			case read <= o.start && k.served > 0 || k.closes:
				w.check.untaken(o.rec)
				k.resend(o)
			case read <= o.start:
				w.check.untaken(o.rec) // the first on its connection, and nothing sent on
			default:
				w.check.breach("a request is lost", "%s: c%d was closed with no answer", o.id, k.c.id)
			}
		}
		return
	}
	if b := k.next; b != nil && len(k.asks) == 0 && k.served > 0 && !k.closes {
		k.next = nil
		w.after(20*time.Microsecond, func() {
			if !k.c.gone() {
				k.send(k.rest, b)
				b.start = k.sent - int64(len(w.request(b)))
			}
		})
		return
	}
	if len(k.asks) == 0 && k.served > 0 && !k.closes && !k.odd && !slices.Contains(p.idle, k.c) {
		p.idle = append(p.idle, k.c)
	}
}
