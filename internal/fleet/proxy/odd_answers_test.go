package proxy

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"molepaddle/internal/fleet/externalapi"
)

// The lines of answers to the victim's request.
const (
	victimLine = externalapi.HeaderAttemptID + ": " + victimID + "\r\n"
	otherLine  = externalapi.HeaderAttemptID + ": other\r\n"
	sealLine   = externalapi.HeaderBackendSeal + ": of-" + victimID + "\r\n"
	otherSeal  = externalapi.HeaderBackendSeal + ": of-other\r\n"
	notRunLine = externalapi.HeaderNotRun + ": 1\r\n"
)

// surplusAnswer is a complete answer to another request.
var surplusAnswer = foreignAnswer(200, "", `{"kv_ref":"of-other","ntok":1,"note":"answer to other"}`)

// foreignAnswer is an answer to another request, with more lines in its head.
func foreignAnswer(status int, more, body string) string {
	head := fmt.Sprintf("HTTP/1.1 %d x\r\n%s%s%s", status, otherLine, otherSeal, more)
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// failureOf is a failure of the victim's request, with more lines in its head.
func failureOf(status int, more string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d x\r\n%s%sContent-Length: 4\r\n\r\nfull", status, victimLine, more)
}

// withoutID takes the victim's id out of an answer.
func withoutID(b []byte) []byte {
	return []byte(strings.Replace(string(b), victimLine, "", 1))
}

// oddAnswer has a backend answer with what says makes of the answer that the victim would get; fresh: nothing was sent
// on the connection before.
func oddAnswer(name string, says func(a *validAnswer, fresh bool) reply) breakage {
	return breakage{name, func(_ *exchangeRig, c *scriptedConn, _ []byte, a *validAnswer) reply {
		said := says(a, c.carried == 0)
		if said.taken == 0 {
			said.taken = -1
		}
		return said
	}}
}

// oddAnswers are answers that are none, are another's, come twice or at the wrong time, or say what they can't.
func oddAnswers(_ *requestKind, well sample) []breakage {
	return slices.Concat(
		foreignAnswers(),
		misnamedAnswers(),
		answersWithMore(),
		malformedAnswers(),
		notRunAnswers(),
		failuresWithoutProof(),
		answersCutAnywhere(well),
	)
}

// foreignAnswers are answers to other requests, ahead of the victim's or in its place.
func foreignAnswers() []breakage {
	return []breakage{
		oddAnswer("served: another's answer ahead", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(surplusAnswer), a.framed()...)}
		}),
		oddAnswer("served: two others' answers ahead", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(surplusAnswer+surplusAnswer), a.framed()...)}
		}),
		oddAnswer("another's answer, then silence", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(surplusAnswer)}
		}),
		oddAnswer("another's answer, then closed", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(surplusAnswer), end: io.EOF}
		}),
		oddAnswer("many answers of others", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Repeat(surplusAnswer, 20))}
		}),
		oddAnswer("another's answer without an end", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Replace(surplusAnswer, "Content-Length: 55\r\n", "", 1)), end: io.EOF}
		}),
		oddAnswer("another's answer that closes, and ours behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte(foreignAnswer(200, "Connection: close\r\n", "x")), a.framed()...)}
		}),
		oddAnswer("another's long answer, which holds one of ours", func(a *validAnswer, _ bool) reply {
			forged := strings.Replace(string(a.framed()), "answer to "+victimID, "answer to other", -1)
			return reply{bytes: []byte(foreignAnswer(200, "", strings.Repeat(" ", maxSurplusBody)+strings.Repeat(forged, 2)))}
		}),
		oddAnswer("another's that was not run", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(foreignAnswer(503, notRunLine, ""))}
		}),
		oddAnswer("another's that went to the wrong backend", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(foreignAnswer(421, "", ""))}
		}),
	}
}

// misnamedAnswers are answers that name no request, or several.
func misnamedAnswers() []breakage {
	return []breakage{
		oddAnswer("no id", func(a *validAnswer, _ bool) reply { return reply{bytes: withoutID(a.framed())} }),
		oddAnswer("not run, without an id", func(_ *validAnswer, fresh bool) reply {
			return reply{bytes: withoutID(failureOf(503, notRunLine)), proves: fresh}
		}),
		oddAnswer("421 without an id", func(_ *validAnswer, fresh bool) reply {
			return reply{bytes: withoutID(failureOf(421, "")), proves: fresh}
		}),
		oddAnswer("two ids", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), sealLine, otherLine+sealLine, 1))}
		}),
		oddAnswer("not run, of two ids", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine+otherLine)}
		}),
		oddAnswer("served: the id twice", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), victimLine, victimLine+victimLine, 1))}
		}),
	}
}

// answersWithMore are the victim's answers with something ahead, behind or later.
func answersWithMore() []breakage {
	return []breakage{
		oddAnswer("served: twice", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), a.framed()...)}
		}),
		oddAnswer("served: another's behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), surplusAnswer...)}
		}),
		oddAnswer("served: bytes behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), "\x00\r\n\r\n"...)}
		}),
		oddAnswer("served: a byte behind", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), 'H')}
		}),
		oddAnswer("served: the same late", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), late: a.framed()}
		}),
		oddAnswer("served: another's late", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), late: []byte(surplusAnswer)}
		}),
		oddAnswer("served: closes, and says more", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.framed(), surplusAnswer...), end: io.EOF}
		}),
		oddAnswer("served: and reset", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.framed(), end: errReset}
		}),
		oddAnswer("served: no length, to its end", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.unframed(), end: io.EOF}
		}),
		oddAnswer("served: in chunks with trailers", func(a *validAnswer, _ bool) reply {
			return reply{bytes: a.chunked(otherSeal + otherLine)}
		}),
		oddAnswer("served: interim answers ahead", func(a *validAnswer, _ bool) reply {
			interim := []byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n")
			return reply{bytes: append(interim, a.framed()...)}
		}),
	}
}

// malformedAnswers are answers whose head or length is wrong.
func malformedAnswers() []breakage {
	return []breakage{
		oddAnswer("interim answers without end", func(*validAnswer, bool) reply {
			return reply{bytes: []byte(strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 5000))}
		}),
		oddAnswer("another protocol", func(a *validAnswer, _ bool) reply {
			return reply{bytes: append([]byte("HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n"), a.framed()...)}
		}),
		oddAnswer("no protocol", func(*validAnswer, bool) reply {
			return reply{bytes: []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")}
		}),
		oddAnswer("a head without end", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + strings.Repeat("X-More: and more\r\n", 1<<17))}
		}),
		oddAnswer("lengths that differ", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + "Content-Length: 3\r\nContent-Length: 5\r\n\r\n" + a.body)}
		}),
		oddAnswer("a length below 0", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(a.head + "Content-Length: -1\r\n\r\n" + a.body)}
		}),
		oddAnswer("served: the same length twice", func(a *validAnswer, _ bool) reply {
			line := fmt.Sprintf("Content-Length: %d\r\n", len(a.body))
			return reply{bytes: []byte(a.head + line + line + "\r\n" + a.body)}
		}),
		oddAnswer("served: a length beside chunks", func(a *validAnswer, _ bool) reply {
			const encoding = "Transfer-Encoding"
			both := strings.Replace(string(a.chunked("")), encoding, "Content-Length: 3\r\n"+encoding, 1)
			return reply{bytes: []byte(both)}
		}),
		oddAnswer("a length too long", func(a *validAnswer, _ bool) reply {
			return reply{bytes: fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", a.head, len(a.body)+1, a.body), end: io.EOF}
		}),
	}
}

// notRunAnswers are answers that prove, or seem to prove, that the request has not run.
func notRunAnswers() []breakage {
	return []breakage{
		oddAnswer("not run", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine), proves: true}
		}),
		oddAnswer("not run, 429", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(429, notRunLine), proves: true}
		}),
		oddAnswer("not run, and reset", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(503, notRunLine), end: errReset, proves: true}
		}),
		oddAnswer("the wrong backend", func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(421, ""), proves: true}
		}),
		oddAnswer("200 that says it has not run", func(a *validAnswer, _ bool) reply {
			return reply{bytes: []byte(strings.Replace(string(a.framed()), "\r\n", "\r\n"+notRunLine, 1))}
		}),
	}
}

// failuresWithoutProof are failures that do not say that the request has not run.
func failuresWithoutProof() (all []breakage) {
	for _, status := range []int{400, 404, 408, 413, 429, 500, 502, 503, 504} {
		name := fmt.Sprintf("status %d, without a word of not having run", status)
		all = append(all, oddAnswer(name, func(*validAnswer, bool) reply {
			return reply{bytes: failureOf(status, sealLine)}
		}))
	}
	return all
}

// answersCutAnywhere are answers that end, or turn into garbage, after each of their bytes.
func answersCutAnywhere(well sample) (all []breakage) {
	head := len(well.answer.head) + 2
	for k := range head {
		all = append(all, oddAnswer(fmt.Sprintf("garbage from byte %d of the head", k), func(a *validAnswer, _ bool) reply {
			return reply{bytes: append(a.unframed()[:k:k], "\x00\x01 no \x02 answer\r\n\r\n"...), end: io.EOF}
		}))
	}
	for k := range len(well.answer.unframed()) {
		all = append(all, oddAnswer(fmt.Sprintf("no length, reset after %d bytes", k), func(a *validAnswer, _ bool) reply {
			b := a.unframed()
			return reply{bytes: b[:min(k, len(b))], end: errReset}
		}))
	}
	for k := range len(failureOf(503, notRunLine)) {
		all = append(all, oddAnswer(fmt.Sprintf("not run, reset after %d bytes", k), func(*validAnswer, bool) reply {
			b := failureOf(503, notRunLine)
			return reply{bytes: b[:k], end: errReset, proves: k >= len(b)-4}
		}))
	}
	return all
}
