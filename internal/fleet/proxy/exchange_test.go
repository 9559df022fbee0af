package proxy

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"molepaddle/internal/fleet/externalapi"
)

// exchangeKinds are the kinds of requests, by the call that is struck.
var exchangeKinds = []requestKind{
	{name: "readonly", route: "freeread"},
	{name: "HEAD", route: "freeread", method: http.MethodHead},
	{name: "mutating", route: "post"},
	{name: "mutating, long body", route: "post", body: strings.Repeat("d", 3*maxSyncWrite)},
	{name: "readonly, long body", route: "freeread", body: strings.Repeat("d", 3*maxSyncWrite)},
	{name: "stream", route: "freeonce"},
	{name: "resumable stream", route: "free"},
	{name: "stream, its prefill", route: "freeonce", staged: true, stage: externalapi.PhasePrefill},
	{name: "stream, its decode", route: "freeonce", staged: true, stage: externalapi.PhaseDecode},
	{name: "resumable stream, its prefill", route: "free", staged: true, stage: externalapi.PhasePrefill},
	{name: "resumable stream, its decode", route: "free", staged: true, stage: externalapi.PhaseDecode},
}

// prefill tells whether the struck call reads a prompt only: it may be repeated whatever the request is.
func (k *requestKind) prefill() bool { return k.stage == externalapi.PhasePrefill }

// casesAtOnce is how many cases share a clock.
const casesAtOnce = 100

// playExchange plays one case and tells whether the victim was served.
func playExchange(t *testing.T, kind requestKind, one breakage, pooled, must bool) (served bool) {
	o, found := newExchangeRig(kind, one).play(pooled)
	for _, f := range found {
		t.Errorf("%s: %s", one.name, f)
	}
	served = o.status == http.StatusOK && !o.broken
	if must && !served {
		t.Errorf("%s: not served: %d %q", one.name, o.status, o.body)
	}
	return served
}

// forEachExchange plays a list of breakages for each kind of request on a fresh connection and on one that has been
// used. The victim has to be served where must says so.
func forEachExchange(
	t *testing.T,
	breakages func(kind *requestKind, well sample) []breakage,
	must func(kind *requestKind, one breakage) bool,
) {
	for _, kind := range exchangeKinds {
		for _, pooled := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, pooled %v", kind.name, pooled), func(t *testing.T) {
				cases, served := 0, 0
				var all []breakage
				synctest.Test(t, func(*testing.T) { all = breakages(&kind, sampleExchange(kind)) })
				for some := range slices.Chunk(all, casesAtOnce) {
					synctest.Test(t, func(t *testing.T) {
						for _, one := range some {
							cases++
							if playExchange(t, kind, one, pooled, must != nil && must(&kind, one)) {
								served++
							}
						}
					})
					if t.Failed() {
						return
					}
				}
				t.Logf("%d cases, %d served", cases, served)
			})
		}
	}
}

var exchangeAll = flag.Bool("exchange.all", false, "requests end at every byte, rather than at some")

// everyByte gives the lengths 0 to n.
func everyByte(n int) []int {
	all := make([]int, n+1)
	for k := range all {
		all[k] = k
	}
	return all
}

// requestBytes gives the lengths up to n at which a request is to end: the first, the last, and some between. Of what
// is long a part at each step of a thousand: whether a byte more or less is taken makes no difference there.
func requestBytes(n int) (all []int) {
	const edge, step, long = 4, 23, 1024
	for k := range n + 1 {
		short := k <= long && (*exchangeAll || k%step == 0)
		if short || k <= edge || k >= n-edge || k%(long-3) == 0 || k >= maxSyncWrite-1 && k <= maxSyncWrite+1 {
			all = append(all, k)
		}
	}
	return all
}

// TestAnswerEndsAtEveryByte has an answer end after each of its bytes, in silence, closed or reset. What is
// idempotent is served elsewhere; what may not has come to one backend.
func TestAnswerEndsAtEveryByte(t *testing.T) {
	forEachExchange(t, func(_ *requestKind, well sample) (all []breakage) {
		whole := well.answer.framed()
		head := bytes.Index(whole, []byte("\r\n\r\n")) + 4
		for _, k := range everyByte(len(whole) - 1) {
			within := "head"
			if k >= head {
				within = "body"
			}
			all = append(all, breakage{fmt.Sprintf("silence in the %s after %d bytes", within, k), framedUntil(k, nil)},
				breakage{fmt.Sprintf("closed after %d bytes", k), framedUntil(k, io.EOF)},
				breakage{fmt.Sprintf("reset after %d bytes", k), framedUntil(k, errReset)})
		}
		return all
	}, func(kind *requestKind, one breakage) bool {
		// An answer that has begun is waited for.
		waited := !kind.prefill() && strings.HasPrefix(one.name, "silence in the body")
		return (kind.idempotent() || kind.prefill()) && !waited
	})
}

// TestRequestEndsAtItsBytes has a connection take so many bytes of a request and no more: it is reset, or takes
// nothing further. Only where not one byte was taken is the request known not to have run.
func TestRequestEndsAtItsBytes(t *testing.T) {
	forEachExchange(t, func(_ *requestKind, well sample) (all []breakage) {
		for _, k := range requestBytes(len(well.request) - 1) {
			all = append(all, breakage{
				name: fmt.Sprintf("reset after %d bytes of the request", k),
				does: always(reply{taken: k, writeEnd: errReset, end: errReset}),
			}, breakage{
				name: fmt.Sprintf("nothing taken after %d bytes of the request", k),
				does: always(reply{taken: k}),
			})
		}
		return all
	}, func(kind *requestKind, one breakage) bool {
		return kind.idempotent() || kind.prefill() || one.name == "reset after 0 bytes of the request"
	})
}

// TestAnswerBeforeTheBody has a backend answer when it has so many bytes of a request: its answer counts, whether it
// reads on or not, and no other request goes on a connection on which a part of this one is due.
func TestAnswerBeforeTheBody(t *testing.T) {
	const notRunHead = "HTTP/1.1 503 x\r\n" + victimLine + notRunLine + "Content-Length: 0\r\n\r\n"
	forEachExchange(t, func(_ *requestKind, well sample) (all []breakage) {
		head := strings.Index(string(well.request), "\r\n\r\n") + 4
		for _, k := range requestBytes(len(well.request) - 1) {
			if k < head || len(well.request) <= maxSyncWrite {
				continue // it has not seen whose request it is; what is short is written before the answer is read
			}
			for end, how := range map[error]string{nil: "it reads no more", errReset: "it resets", io.EOF: "it closes"} {
				all = append(all, breakage{
					name: fmt.Sprintf("answered after %d bytes, %s", k, how),
					does: onAnswer(func(a *validAnswer) reply {
						return reply{taken: k, bytes: a.framed(), end: end, writeEnd: end}
					}),
				}, breakage{
					name: fmt.Sprintf("rejected after %d bytes, %s", k, how),
					does: always(reply{taken: k, bytes: []byte(notRunHead), end: end, writeEnd: end, proves: true}),
				})
			}
		}
		return all
	}, func(*requestKind, breakage) bool { return true })
}

// TestOddAnswers plays the odd answers.
func TestOddAnswers(t *testing.T) {
	forEachExchange(t, oddAnswers, func(kind *requestKind, one breakage) bool {
		if kind.method == http.MethodHead {
			return false // what stands ahead of its answer has no end that could be found
		}
		return strings.HasPrefix(one.name, "served: ") || one.name == "not run" || one.name == "the wrong backend" ||
			strings.HasPrefix(one.name, "no length, reset") && (kind.idempotent() || kind.prefill())
	})
}

// TestClientLeavesAtEveryByte has a client leave when so many bytes of its answer have come to the proxy: the
// backend's connection is closed at once, nothing of the request is sent any more, and what is left of the answer
// comes to nobody.
func TestClientLeavesAtEveryByte(t *testing.T) {
	forEachExchange(t, func(_ *requestKind, well sample) (all []breakage) {
		for _, k := range everyByte(len(well.answer.framed()) - 1) {
			for _, rest := range []bool{false, true} {
				name := fmt.Sprintf("the client leaves after %d bytes, the rest comes %v", k, rest)
				all = append(all, breakage{name, func(r *exchangeRig, c *scriptedConn, _ []byte, a *validAnswer) reply {
					says := reply{taken: -1, bytes: a.framed()[:k]}
					if rest {
						says.late = a.framed()[k:]
					}
					r.clientLeaves(c)
					return says
				}})
			}
		}
		return all
	}, nil)
}

// TestReusedID has two requests of one id follow each other, and the answer to the first come once more in the place
// of the second's: the second is not sent on that connection.
func TestReusedID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		said := 0
		r := newExchangeRig(requestKind{name: "readonly", route: "freeread"}, breakage{})
		defer r.proxy.pool.Close()
		r.struck = &scriptedConn{} // no fault strikes
		r.script = func(a *validAnswer) reply {
			said++
			a.body += fmt.Sprintf(", number %d", said)
			return reply{taken: -1, bytes: a.framed(), late: a.framed()}
		}
		for i := range 3 {
			o := r.ask(victimID)
			c.Check(o.body, qt.Equals, fmt.Sprintf("answer to victim, number %d", i+1))
			settle()
		}
		c.Check(r.backends[0].conns, qt.HasLen, 3)
	})
}

// failingWriter is a client's connection that takes so many writes and no more.
type failingWriter struct {
	*once
	takes int
}

func (w *failingWriter) Write(b []byte) (int, error) {
	if w.takes--; w.takes < 0 {
		return 0, errReset
	}
	return w.once.Write(b)
}

// TestUnreadStreamIsNotResumed has a client's connection fail under a stream, at the first backend and once a second
// one has resumed it: nobody is asked for the rest.
func TestUnreadStreamIsNotResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for _, tc := range []struct{ takes, reached int }{{0, 1}, {1, 2}} {
			cut := onAnswer(func(a *validAnswer) reply {
				b := a.framed()
				return reply{taken: -1, bytes: b[:len(b)-20], end: errReset}
			})
			r := newExchangeRig(requestKind{name: "resumable stream", route: "free"}, breakage{"cut within", cut})
			w := &failingWriter{&once{ResponseRecorder: httptest.NewRecorder()}, tc.takes}
			r.came, r.deadline = time.Now(), exchangeDeadline
			broken := serveUntilAborted(r.proxy, w, r.newRequest(t.Context(), victimID))
			c.Check(broken, qt.IsTrue)
			c.Check(r.reaches, qt.HasLen, tc.reached)
			c.Check(r.found, qt.HasLen, 0)
			r.proxy.pool.Close()
		}
	})
}

// TestHeadKeepsItsLength has the answer to a HEAD tell the length that the backend told, and none where that told none.
func TestHeadKeepsItsLength(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		for length, says := range map[string]func(a *validAnswer) []byte{
			"16": (*validAnswer).framed,
			"":   func(a *validAnswer) []byte { return []byte(a.head + "\r\n") },
		} {
			r := newExchangeRig(requestKind{name: "HEAD", route: "freeread", method: http.MethodHead}, breakage{})
			r.struck = &scriptedConn{} // no fault strikes
			r.script = func(a *validAnswer) reply { return reply{taken: -1, bytes: says(a)} }
			o := r.ask(victimID)
			c.Check(o.status, qt.Equals, http.StatusOK)
			c.Check(o.header.Get("Content-Length"), qt.Equals, length)
			r.proxy.pool.Close()
		}
	})
}
