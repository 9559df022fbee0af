package proxy

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"molepaddle/internal/fleet/externalapi"
)

// Header lines of responses to the victim's request.
const (
	victimLine = externalapi.HeaderAttemptID + ": " + victimID + "\r\n"
	otherLine  = externalapi.HeaderAttemptID + ": other\r\n"
	sealLine   = externalapi.HeaderBackendSeal + ": of-" + victimID + "\r\n"
	otherSeal  = externalapi.HeaderBackendSeal + ": of-other\r\n"
	notRunLine = externalapi.HeaderNotRun + ": 1\r\n"
)

// surplusAnswer is a complete response to another request.
var surplusAnswer = otherAnswer(200, "", `{"kv_ref":"of-other","ntok":1,"note":"answer to other"}`)

// otherAnswer returns a response to another request, with additional header lines.
func otherAnswer(status int, more, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s%s%s", status, otherLine, otherSeal, more)
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// failureOf returns an error response to the victim's request, with additional header lines.
func failureOf(status int, more string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%s%sContent-Length: 4\r\n\r\nfull", status, victimLine, more)
}

// removeID removes the victim's id from a response.
func removeID(b []byte) []byte {
	return []byte(strings.Replace(string(b), victimLine, "", 1))
}

// unexpectedAnswer returns a fault in which a backend sends a modified form of the victim's response. fresh means that
// no request was sent on the connection before.
func unexpectedAnswer(name string, modify func(a *validAnswer, fresh bool) reply) injectedFault {
	return injectedFault{name, func(_ *exchangeRig, c *scriptedConn, _ []byte, a *validAnswer) reply {
		answer := modify(a, c.requests == 0)
		if answer.accepted == 0 {
			answer.accepted = -1
		}
		return answer
	}}
}

// unexpectedAnswers returns responses that are invalid, belong to another request, are repeated, arrive at the wrong
// time, or contradict themselves.
func unexpectedAnswers(_ *requestKind, well healthyExchange) []injectedFault {
	return slices.Concat(
		otherAnswers(),
		answersWithWrongID(),
		answersWithMore(),
		malformedAnswers(),
		notRunAnswers(),
		failuresWithoutProof(),
		answersCutAnywhere(well),
	)
}

// otherAnswers returns responses to other requests, ahead of the victim's or in its place.
func otherAnswers() []injectedFault {
	return []injectedFault{
		unexpectedAnswer("served: another's answer ahead", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(surplusAnswer), a.framed()...)}
		}),
		unexpectedAnswer("served: two others' answers ahead", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(surplusAnswer+surplusAnswer), a.framed()...)}
		}),
		unexpectedAnswer("another's answer, then silence", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(surplusAnswer)}
		}),
		unexpectedAnswer("another's answer, then closed", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(surplusAnswer), readErr: io.EOF}
		}),
		unexpectedAnswer("many answers of others", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Repeat(surplusAnswer, 20))}
		}),
		unexpectedAnswer("another's answer without an end", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Replace(surplusAnswer, "Content-Length: 55\r\n", "", 1)), readErr: io.EOF}
		}),
		unexpectedAnswer("another's answer that closes, and ours behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(otherAnswer(200, "Connection: close\r\n", "x")), a.framed()...)}
		}),
		unexpectedAnswer("another's long answer, which holds one of ours", func(a *validAnswer, _ bool) reply {
			forged := strings.Replace(string(a.framed()), "answer to "+victimID, "answer to other", -1)
			return reply{bytes: []byte(otherAnswer(200, "", strings.Repeat(" ", maxSurplusBody)+strings.Repeat(forged, 2)))}
		}),
		unexpectedAnswer("another's that was not run", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(otherAnswer(503, notRunLine, ""))}
		}),
		unexpectedAnswer("another's that went to the wrong backend", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(otherAnswer(421, "", ""))}
		}),
	}
}

// answersWithWrongID returns responses without an attempt id, or with several.
func answersWithWrongID() []injectedFault {
	return []injectedFault{
		unexpectedAnswer("no id", func(a *validAnswer, _ bool) reply { return reply{bytes: removeID(a.framed())} }),
		unexpectedAnswer("not run, without an id", func(_ *validAnswer, fresh bool) reply {
			return reply{bytes: removeID(failureOf(503, notRunLine)), provesNotRun: fresh}
		}),
		unexpectedAnswer("421 without an id", func(_ *validAnswer, fresh bool) reply {
			return reply{bytes: removeID(failureOf(421, "")), provesNotRun: fresh}
		}),
		unexpectedAnswer("two ids", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), sealLine, otherLine+sealLine, 1))}
		}),
		unexpectedAnswer("not run, of two ids", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine+otherLine)}
		}),
		unexpectedAnswer("served: the id twice", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), victimLine, victimLine+victimLine, 1))}
		}),
	}
}

// answersWithMore returns the victim's responses with additional bytes ahead, behind or later.
func answersWithMore() []injectedFault {
	return []injectedFault{
		unexpectedAnswer("served: twice", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), a.framed()...)}
		}),
		unexpectedAnswer("served: another's behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), surplusAnswer...)}
		}),
		unexpectedAnswer("served: bytes behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), "\x00\r\n\r\n"...)}
		}),
		unexpectedAnswer("served: a byte behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), 'H')}
		}),
		unexpectedAnswer("served: the same late", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), late: a.framed()}
		}),
		unexpectedAnswer("served: another's late", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), late: []byte(surplusAnswer)}
		}),
		unexpectedAnswer("served: closes, and says more", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), surplusAnswer...), readErr: io.EOF}
		}),
		unexpectedAnswer("served: and reset", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), readErr: errReset}
		}),
		unexpectedAnswer("served: no length, to its end", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.unframed(), readErr: io.EOF}
		}),
		unexpectedAnswer("served: in chunks with trailers", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.chunked(otherSeal + otherLine)}
		}),
		unexpectedAnswer("served: interim answers ahead", func(a *validAnswer, _ bool) reply {
			interim := []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			return reply{bytes: append(interim, a.framed()...)}
		}),
	}
}

// malformedAnswers returns responses with an invalid head or length.
func malformedAnswers() []injectedFault {
	return []injectedFault{
		unexpectedAnswer("interim answers without end", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 5000))}
		}),
		unexpectedAnswer("another protocol", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"), a.framed()...)}
		}),
		unexpectedAnswer("no protocol", func(*validAnswer, bool) reply {
			return reply{bytes: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")}
		}),
		unexpectedAnswer("a head without end", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + strings.Repeat("X-More: and more\r\n", 1<<17))}
		}),
		unexpectedAnswer("lengths that differ", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\n" + a.body)}
		}),
		unexpectedAnswer("a length below 0", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + "Content-Length: -1\r\n\r\n" + a.body)}
		}),
		unexpectedAnswer("served: the same length twice", func(a *validAnswer, _ bool) reply {
			line := fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
			return reply{bytes: []byte(a.head + line + line + "\r\n" + a.body)}
		}),
		unexpectedAnswer("served: a length beside chunks", func(a *validAnswer, _ bool) reply {
			const encoding = "Transfer-Encoding"
			both := strings.Replace(string(a.chunked("")), encoding, "Content-Length: 3\r\n"+encoding, 1)
			return reply{bytes: []byte(both)}
		}),
		unexpectedAnswer("a length too long", func(a *validAnswer, _ bool) reply {
			return reply{bytes: fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", a.head, len(a.body)+1, a.body), readErr: io.EOF}
		}),
	}
}

// notRunAnswers returns responses that prove, or seem to prove, that the request has not run.
func notRunAnswers() []injectedFault {
	return []injectedFault{
		unexpectedAnswer("not run", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine), provesNotRun: true}
		}),
		unexpectedAnswer("not run, 429", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(429, notRunLine), provesNotRun: true}
		}),
		unexpectedAnswer("not run, and reset", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine), readErr: errReset, provesNotRun: true}
		}),
		unexpectedAnswer("the wrong backend", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(421, ""), provesNotRun: true}
		}),
		unexpectedAnswer("200 that says it has not run", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), "\r\n", "\r\n"+notRunLine, 1))}
		}),
	}
}

// failuresWithoutProof returns error responses that do not state that the request has not run.
func failuresWithoutProof() (all []injectedFault) {
	for _, status := range []int{400, 404, 408, 413, 429, 500, 502, 503, 504} {
		name := fmt.Sprintf("status %d, not marked as not run", status)
		all = append(all, unexpectedAnswer(name, func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(status, sealLine)}
		}))
	}
	return all
}

// answersCutAnywhere returns responses that end, or become invalid, after each of their bytes.
func answersCutAnywhere(well healthyExchange) (all []injectedFault) {
	head := len(well.answer.head) + 2
	for k := range head {
		all = append(all, unexpectedAnswer(fmt.Sprintf("garbage from byte %d of the head", k), func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.unframed()[:k:k], "\x00\x01 no \x02 answer\r\n\r\n"...), readErr: io.EOF}
		}))
	}
	for k := range len(well.answer.unframed()) {
		all = append(all, unexpectedAnswer(fmt.Sprintf("no length, reset after %d bytes", k), func(a *validAnswer, _ bool) reply {
			b := a.unframed()
			return reply{bytes: b[:min(k, len(b))], readErr: errReset}
		}))
	}
	for k := range len(failureOf(503, notRunLine)) {
		all = append(all, unexpectedAnswer(fmt.Sprintf("not run, reset after %d bytes", k), func(*validAnswer, bool) reply {
			b := failureOf(503, notRunLine)
			return reply{bytes: b[:k], readErr: errReset, provesNotRun: k >= len(b)-4}
		}))
	}
	return all
}
